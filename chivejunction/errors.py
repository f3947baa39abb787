"""Exceptions raised by chivejunction."""

from chivejunction.protocol import verdicts

# Raised by the conversions of a decoder that meets a malformed document. An
# infinite number, for example, raises OverflowError, an ArithmeticError, and
# deep nesting raises RecursionError.
MALFORMED_DOCUMENT_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class Error(Exception):
    """Base of all errors raised by chivejunction."""


class SettingError(Error):
    """A setting is missing, unknown or has an invalid value."""


class InvariantViolation(Error):
    """A system invariant does not hold.

    Args:
        name: Name of the invariant, as listed in docs/design.md.
        detail: What was observed.
    """

    def __init__(self, name: str, detail: str):
        super().__init__(f'invariant {name} violated: {detail}')
        self.name = name
        self.detail = detail


class TransportError(Error):
    """A connection failed or timed out.

    Args:
        detail: What failed.
        connected: Whether the peer may have received any data.
    """

    def __init__(self, detail: str, connected: bool = True):
        super().__init__(detail)
        self.connected = connected


class LinkClosed(TransportError):
    """The data link to a peer is closed or has timed out."""


class StoreError(TransportError):
    """The key-value store is unreachable or rejected a call."""


class StoreConflict(StoreError):
    """A compare-and-swap found a value other than the expected one."""


class StoreResultUnknown(StoreError):
    """A write was sent but got no response; it may have taken effect."""


class LeaseExpired(Error):
    """A lease has expired or expires too soon for the operation."""


class OrderError(Error):
    """An engine rejected an order or did not complete it in time."""


class ProtocolError(Error):
    """A peer sent a message that does not follow the protocol."""


class CodecError(ProtocolError):
    """Bytes could not be decoded."""


class RevisionCompacted(StoreError):
    """The store no longer holds the changes since a revision."""


class RequestRejected(Error):
    """A caller's request exceeds a limit, is malformed or arrives too late.

    Args:
        status: HTTP status of the response.
        detail: Explanation for the caller.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class RefusalError(Error):
    """The router refuses a request.

    Args:
        code: Stable refusal code, a key of refusals.REFUSALS.
        detail: Explanation for the caller.
        verdict: Whether a backend server may have executed the request.
        retry_after: Seconds that the caller should wait before a retry, or
            None.
        share_used: Work of the caller's organisation over its share, or None.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after: float | None = None,
        share_used: float | None = None,
    ):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
        self.verdict = verdict
        self.retry_after = retry_after
        self.share_used = share_used
