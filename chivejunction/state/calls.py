"""Request of a caller, as the gateway processes it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes:
        id: Id of the request, under which usage is billed.
        organisation: Name of the organisation.
        method: HTTP method for the backend server.
        path: Path for the backend server.
        headers: Headers for the backend server.
        body: Request body.
        deadline: Monotonic deadline in seconds.
        idempotent: Whether the request may run more than once.
        session: Session id, empty without a session.
        model: Model requested by the caller, empty for a plain service.
        service: Name of the plain service, empty for a model.
        request_class: Class of the request, for example ``faq``.
        quality_target: Target quality of the response, 0 to 1.
        stream: Whether the caller requested an event stream.
        priority: Priority from 0 to 9; higher values are served first.
        affinity: Key of the prompt prefix, for affinity to the server that
            has the prefix in its cache.
        key: Idempotency key, empty without one.
        request_hash: Hash of the request, to check that calls with the same
            idempotency key are equal.
        has_earlier_attempts: Whether an earlier step of a cascade has run.
        pin: Version that the session has used so far, empty if unknown.
        is_pin_signed: Whether the pin comes from a signed session token of
            the caller.
    """

    id: str
    organisation: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    idempotent: bool = True
    session: str = ''
    model: str = ''
    service: str = ''
    request_class: str = ''
    quality_target: float = 0.0
    stream: bool = False
    priority: int = 4
    affinity: str = ''
    key: str = ''
    request_hash: str = ''
    has_earlier_attempts: bool = False
    pin: str = ''
    is_pin_signed: bool = False
