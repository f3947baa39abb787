"""State of a forwarded request across its attempts."""

import dataclasses
import enum
import math

from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import version_moves
from chivejunction.protocol import forwarding
from chivejunction.protocol import verdicts
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import tier_choice
from chivejunction.state import crash_evidence
from chivejunction.transport import caller_connections

# An attempt cannot complete in less remaining time than this.
MIN_REMAINING_SECONDS = 0.02
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


class NextAction(enum.Enum):
    """What the gateway does after an attempt.

    Attributes:
        DONE: Nothing; the response was sent completely.
        RETRY: Makes another attempt if the request and the budget allow it.
        ESCALATE: Makes an attempt with a larger model tier.
        STOP: Sends the final failure response.
    """

    DONE = 'done'
    RETRY = 'retry'
    ESCALATE = 'escalate'
    STOP = 'stop'


class Progress(enum.Enum):
    """How far an attempt has come.

    Attributes:
        UNSENT: The request was not sent.
        SENT: The request was sent, no response has begun.
        BEGUN: The head of the response has arrived.
        RESPONDED: An event, or a whole response, has arrived.
    """

    UNSENT = 'unsent'
    SENT = 'sent'
    BEGUN = 'begun'
    RESPONDED = 'responded'


@dataclasses.dataclass(slots=True)
class ErrorResponse:
    """Error response of a backend server.

    The caller receives it if no later attempt succeeds.
    """

    status: int
    headers: forwarding.Headers
    body: bytes


@dataclasses.dataclass(slots=True, eq=False)
class RequestContext:
    """State of one request across its attempts.

    Attributes:
        request: The decoded request.
        route: Route that matches the request.
        service: Service whose backend servers receive the request.
        organisation: Organisation of the caller, or None.
        reply: Writes the response to the caller.
        tier: Model tier in use.
        deadline: Monotonic time by which the final response is due.
        admit_until: Monotonic time after which a first attempt does not
            begin, since the gateway stops.
        stop_at: Monotonic time at which the gateway stops; the deadline is
            not later.
        verdict: Highest verdict of all attempts.
        sent_attempts: Number of attempts that were sent.
        failed_instances: Instances whose attempts failed.
        resume_after: Id of the last event sent to the caller.
        error_response: Latest error response of a backend server, sent to
            the caller if no attempt succeeds.
        first_byte_at: Monotonic time of the first byte sent to the caller.
        events: Number of events sent to the caller.
        reason: Why the latest attempt failed.
        confidence: Confidence that the latest model reported for its
            response, 0 to 1, or None.
        requirements: Requirements on the backend server of the latest
            attempt.
        choice: Backend server of the latest attempt, with its estimates.
        next_choice: Backend server already chosen for the next attempt, or
            None.
        work_id: Id of the latest attempt's entry in the backlog; 0 for none.
        progress: How far the latest attempt has come.
        begun_at: Monotonic time of the head of the latest response.
        responded_at: Monotonic time of its first event.
        version_result: Result of the latest attempt as recorded for its
            version; None if none was.
        event_interval: Typical seconds between the events of the latest
            attempt's stream; None if it has too few.
        broken_starts: Number of attempts that broke off between the head of
            the response and its first event.
        prompt_hashes: Hashes of the parts of the prompt.
    """

    request: forwarding.ForwardRequest
    route: forwarding.Route
    service: forwarding.BackendService
    organisation: forwarding.ForwardOrganisation | None
    reply: caller_connections.ResponseWriter
    tier: tier_choice.TierChoice
    deadline: float
    admit_until: float = math.inf
    stop_at: float = math.inf
    verdict: verdicts.Verdict = NOT_RUN
    sent_attempts: int = 0
    failed_instances: set[str] = dataclasses.field(default_factory=set)
    resume_after: int | None = None
    error_response: ErrorResponse | None = None
    first_byte_at: float = 0.0
    events: int = 0
    reason: str = ''
    confidence: float | None = None
    requirements: backend_selection.BackendRequirements | None = None
    choice: backend_selection.Choice | None = None
    next_choice: backend_selection.Choice | None = None
    work_id: int = 0
    progress: Progress = Progress.UNSENT
    begun_at: float = 0.0
    responded_at: float = 0.0
    version_result: version_moves.VersionResult | None = None
    event_interval: float | None = None
    broken_starts: int = 0
    prompt_hashes: crash_evidence.PromptHashes = dataclasses.field(init=False)

    def __post_init__(self):
        self.prompt_hashes = crash_evidence.PromptHashes.make(
            self.request.prompt
        )

    def set_stop_times(self, admit_until: float, stop_at: float) -> None:
        """Limits the request to the times of a stop of this gateway.

        Args:
            admit_until: Monotonic time after which no first attempt begins.
            stop_at: Monotonic time at which the gateway stops.
        """
        self.admit_until, self.stop_at = admit_until, stop_at
        self.deadline = min(self.deadline, stop_at)

    @property
    def last_attempt_at(self) -> float:
        """Monotonic time after which no attempt begins, by the gateway's stop.

        A request that was sent may be repeated for as long as a response is
        likely before the stop.
        """
        if self.sent_attempts:
            return self.stop_at - self.route.objective
        return self.admit_until

    @property
    def can_retry(self) -> bool:
        """Whether the request may be sent again after the attempts so far."""
        return (
            self.is_retry_safe
            and self.sent_attempts < self.route.max_attempts
            and self.broken_starts < crash_evidence.MAX_CRASHES_PER_REQUEST
            and clock.remaining(self.deadline) > MIN_REMAINING_SECONDS
            and not clock.has_passed(self.last_attempt_at)
        )

    @property
    def is_retry_safe(self) -> bool:
        """Whether the request may run again after the attempts so far."""
        return self.verdict.allows_retry(
            self.route.repeat_policy is not forwarding.RepeatPolicy.NEVER
        )

    @property
    def urgency(self) -> int:
        """Priority rank of the request; 0 is the most urgent."""
        organisation_rank = (
            self.organisation.urgency if self.organisation else None
        )
        return (
            self.route.urgency
            if organisation_rank is None
            else organisation_rank
        )


class AttemptFailed(errors.Error):
    """An attempt did not produce a complete response.

    Args:
        detail: Cause of the failure; the part before the first colon is the
            outcome in metrics.
        verdict: Whether the request may have run.
        is_broken: Whether the connection ended before the response did.
        is_server_fault: Whether the failure counts against the server.
    """

    def __init__(
        self,
        detail: str,
        verdict: verdicts.Verdict,
        is_broken: bool = False,
        is_server_fault: bool = True,
    ):
        super().__init__(detail)
        self.verdict = verdict
        self.is_broken = is_broken
        self.is_server_fault = is_server_fault


def get_affinity_key(request: forwarding.ForwardRequest) -> str:
    """Returns the key that related requests share.

    This is the session id, else the id of the last prompt part, else the
    request id.
    """
    if request.session:
        return request.session
    return request.prompt[-1].id if request.prompt else request.id
