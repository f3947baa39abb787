"""Exception tree of the project."""

from chivejunction.protocol import verdicts


class Error(Exception):
    """Base of all errors raised by chivejunction."""


class SettingError(Error):
    """A setting has a value that is not accepted."""


class InvariantViolation(Error):
    """A property that must always hold was found broken.

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
        connected: Whether the peer may have received anything.
    """

    def __init__(self, detail: str, connected: bool = True):
        super().__init__(detail)
        self.connected = connected


class LinkClosed(TransportError):
    """The data link to a peer is closed or was declared dead."""


class StoreError(TransportError):
    """The key-value store could not be reached or refused a call."""


class StoreConflict(StoreError):
    """A compare-and-swap found another value than the expected one."""


class StoreResultUnknown(StoreError):
    """A write was sent and its answer was lost; it may have taken effect."""


class LeaseExpired(Error):
    """A lease has ended or does not last long enough."""


class OrderError(Error):
    """An engine refused an order or did not carry it out in time."""


class ProtocolError(Error):
    """A peer sent a message that does not follow the protocol."""


class CodecError(ProtocolError):
    """Bytes could not be decoded."""


class HistoryLost(StoreError):
    """The store no longer has the changes since a revision."""


class RequestRejected(Error):
    """A caller's request could not be read whole.

    Args:
        status: HTTP status of the answer.
        detail: Explanation for the caller.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class RefusalError(Error):
    """A request is refused.

    Args:
        code: Stable refusal code, a key of refusals.REFUSALS.
        detail: Explanation for the caller.
        verdict: Whether the request may have run.
        retry_after: Seconds after which a retry makes sense, or None.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
        self.verdict = verdict
        self.retry_after = retry_after
