"""The agent's table of attempts."""

import collections
import dataclasses
import enum

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import verdicts

# How long an attempt stays known after its deadline. It must exceed the time
# in which a gateway notices silence and asks what became of the attempt.
KEEP_SECONDS = 30.0
MAX_FINISHED = 20_000


class AttemptState(enum.StrEnum):
    """What became of an attempt at this agent."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    REFUSED = 'refused'
    BLOCKED = 'blocked'


# States in which the request has not run and will not run.
NOT_RUN_STATES = frozenset({AttemptState.REFUSED, AttemptState.BLOCKED})


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt with its buffered answer.

    ``keep_until`` is the deadline after which the entry may be dropped.
    """

    id: str
    request: str
    organisation: str
    deadline: float
    keep_until: float
    state: AttemptState
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    error: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    usage: dict = dataclasses.field(default_factory=dict)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cancel_scope: anyio.CancelScope | None = None

    @property
    def ended(self) -> bool:
        """Whether the attempt will not change any more."""
        return self.state not in (AttemptState.QUEUED, AttemptState.RUNNING)

    def notify(self) -> None:
        """Wakes all that wait for a change."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def append(self, payload: bytes) -> None:
        """Adds a part of the answer."""
        self.body += payload
        self.notify()


class AttemptTable:
    """Attempts by id.

    An attempt id runs at most once: an id that was refused, blocked or run
    is never admitted again while the entry is kept.
    """

    def __init__(self):
        self._attempts: dict[str, Attempt] = {}
        self._order: collections.deque[str] = collections.deque()

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt with an id, or None."""
        return self._attempts.get(attempt_id)

    def admit(
        self, attempt_id: str, request: str, organisation: str, deadline: float
    ) -> Attempt:
        """Adds an attempt that waits for its turn.

        Raises:
            InvariantViolation: The id is already known.
        """
        if attempt_id in self._attempts:
            raise errors.InvariantViolation(
                'at_most_once', f'attempt {attempt_id} is admitted twice'
            )
        return self._add(
            attempt_id, request, organisation, deadline, AttemptState.QUEUED
        )

    def block(self, attempt_id: str, deadline: float) -> Attempt:
        """Adds a tombstone: the id will never run at this agent."""
        return self._add(attempt_id, '', '', deadline, AttemptState.BLOCKED)

    def mark_running(self, attempt: Attempt) -> None:
        """Records that the request is about to reach the engine.

        Raises:
            InvariantViolation: The attempt was not waiting.
        """
        if attempt.state is not AttemptState.QUEUED:
            raise errors.InvariantViolation(
                'at_most_once', f'{attempt.id} starts from {attempt.state}'
            )
        attempt.state = AttemptState.RUNNING
        attempt.verdict = verdicts.Verdict.MAY_HAVE_RUN

    def refuse(
        self, attempt: Attempt, error: str, detail: str, retry_after_ms: int
    ) -> None:
        """Ends an attempt that has not run."""
        attempt.state = AttemptState.REFUSED
        attempt.verdict = verdicts.Verdict.NOT_RUN
        attempt.error = error
        attempt.detail = detail
        attempt.retry_after_ms = retry_after_ms
        attempt.notify()

    def finish(
        self, attempt: Attempt, verdict: verdicts.Verdict, error: str = ''
    ) -> None:
        """Ends an attempt that has run or may have run."""
        attempt.state = AttemptState.FINISHED
        attempt.verdict = verdict
        attempt.error = error
        attempt.notify()

    def _add(
        self,
        attempt_id: str,
        request: str,
        organisation: str,
        deadline: float,
        state: AttemptState,
    ) -> Attempt:
        self._expire()
        attempt = Attempt(
            id=attempt_id,
            request=request,
            organisation=organisation,
            deadline=deadline,
            keep_until=deadline + KEEP_SECONDS,
            state=state,
        )
        self._attempts[attempt_id] = attempt
        self._order.append(attempt_id)
        return attempt

    def _expire(self) -> None:
        now = clock.now()
        for _ in range(min(2, len(self._order))):
            attempt = self._attempts[self._order[0]]
            over_limit = len(self._order) > MAX_FINISHED
            if not attempt.ended or not (
                over_limit or attempt.keep_until < now
            ):
                self._order.rotate(-1)
                continue
            del self._attempts[self._order.popleft()]
