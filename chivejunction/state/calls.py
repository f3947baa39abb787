"""A caller's request inside the gateway."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes:
        id: Id of the request, billed once.
        organisation: Name of the organisation.
        method: HTTP method for the backend server.
        path: Path for the backend server.
        headers: Headers for the backend server.
        body: Request body.
        deadline: Monotonic deadline in seconds.
        idempotent: Whether the request may run more than once.
        session: Session id, empty without a session.
        model: Model named by the caller, empty for a plain service.
        service: Plain service, empty for a model.
        request_class: Class of the request, for example ``faq``.
        quality_target: Quality to reach, 0 to 1.
        stream: Whether the caller reads an event stream.
        priority: Priority from 0 to 9, higher first.
        affinity: Key of the prompt prefix for cache affinity.
        key: Idempotency key, empty without one.
        request_hash: Hash of what the caller sent, to compare repeats.
        contested: Whether an earlier step of a cascade has run.
        pin: Version that the session has had so far, empty if unknown.
        is_pin_signed: Whether a token of the caller says so.
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
    contested: bool = False
    pin: str = ''
    is_pin_signed: bool = False
