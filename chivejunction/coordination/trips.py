"""Requests on their way through attempts at backend servers."""

import dataclasses
import enum

from chivejunction import errors
from chivejunction.coordination import backend_selection
from chivejunction.coordination import tier_choice
from chivejunction.protocol import forwarding
from chivejunction.protocol import verdicts
from chivejunction.transport import caller_connections

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


class Step(enum.Enum):
    """What follows an attempt."""

    DONE = 'done'
    RETRY = 'retry'
    ESCALATE = 'escalate'
    STOP = 'stop'


@dataclasses.dataclass(slots=True)
class KeptAnswer:
    """A failure of a backend server that may be passed on at the end."""

    status: int
    headers: forwarding.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Trip:
    """One request on its way through attempts.

    Attributes:
        request: The request.
        route: Its route.
        service: Service that answers it.
        organisation: Organisation of the caller, or None.
        reply: Writes the answer.
        tier: Model tier in use.
        deadline: Monotonic time of the final answer.
        verdict: Strictest verdict of all attempts.
        sends: Attempts that were sent.
        tried: Instances that failed it.
        resume_after: Last event passed on.
        kept: Failure of a server to pass on if nothing better comes.
        first_byte_at: Monotonic time of the first byte passed on.
        events: Events passed on.
        reason: Why the latest attempt failed.
        confidence: The latest model's opinion of its answer, or None.
        wish: What the latest server had to offer.
        choice: The latest server.
        next_choice: Server that was chosen for the next attempt already.
        work: Number of the latest attempt's work.
    """

    request: forwarding.ForwardRequest
    route: forwarding.Route
    service: forwarding.BackendService
    organisation: forwarding.ForwardOrganisation | None
    reply: caller_connections.Reply
    tier: tier_choice.TierChoice
    deadline: float
    verdict: verdicts.Verdict = NOT_RUN
    sends: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    resume_after: int | None = None
    kept: KeptAnswer | None = None
    first_byte_at: float = 0.0
    events: int = 0
    reason: str = ''
    confidence: float | None = None
    wish: backend_selection.BackendRequirements | None = None
    choice: backend_selection.Choice | None = None
    next_choice: backend_selection.Choice | None = None
    work: int = 0

    @property
    def may_repeat(self) -> bool:
        """Tells whether the request may run once more."""
        return self.verdict.allows_retry(
            self.route.repeat is not forwarding.Repeat.NEVER
        )

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 is the most urgent."""
        own = self.organisation.urgency if self.organisation else None
        return self.route.urgency if own is None else own


class AttemptFailed(errors.Error):
    """An attempt did not bring a whole answer.

    Args:
        detail: What happened.
        verdict: Whether the request may have run.
    """

    def __init__(self, detail: str, verdict: verdicts.Verdict):
        super().__init__(detail)
        self.verdict = verdict


def find_session(request: forwarding.ForwardRequest) -> str:
    """Returns what ties requests together: session, or the last part."""
    if request.session:
        return request.session
    return request.prompt[-1].id if request.prompt else request.id
