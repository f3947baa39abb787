"""The agent's table of attempts."""

import collections
from collections.abc import Iterator
import dataclasses
import enum
import math

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import verdicts

# How long an attempt stays known after its deadline. It must exceed the time
# in which a gateway notices silence and asks what became of the attempt.
KEEP_SECONDS = 30.0
# Entries are never forgotten early: an unknown id is answered as not run.
MAX_ATTEMPTS = 20_000
BUFFER_BYTES = 48 * 1024 * 1024
NEVER = math.inf


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

    Attributes:
        id: Attempt id.
        request: Id of the billed request.
        organisation: Name of the organisation.
        deadline: Monotonic deadline of the request.
        keep_until: Deadline after which the entry may be dropped.
        state: What became of it.
        idempotent: Whether the request may run more than once.
        status: HTTP status of the answer, zero before its head.
        headers: Headers of the answer.
        body: Buffered part of the answer, from ``base`` on.
        base: Bytes of the answer that are no longer buffered.
        verdict: Whether the request may have run.
        error: Why it failed, empty for a whole answer.
        detail: Explanation of a refusal.
        retry_after_ms: Milliseconds after which a retry makes sense.
        usage: Token counts.
        changed: Set and replaced at each change of state.
        cancel_scope: Scope of the task that runs it.
        cancelled: Whether it was cancelled before that task began.
        was_full: Whether it took the last free place of the window.
        orphan_deadline: When it counts as abandoned by its gateway.
        sent: Whether its end was sent over a link.
        owner: Name and incarnation of the gateway that sent it.
    """

    id: str
    request: str
    organisation: str
    deadline: float
    keep_until: float
    state: AttemptState
    idempotent: bool = False
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    base: int = 0
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    error: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    usage: dict = dataclasses.field(default_factory=dict)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cancel_scope: anyio.CancelScope | None = None
    cancelled: bool = False
    was_full: bool = False
    orphan_deadline: float = NEVER
    sent: bool = False
    owner: tuple[str, str] = ('', '')

    @property
    def length(self) -> int:
        """Bytes of the answer so far, buffered or not."""
        return self.base + len(self.body)

    @property
    def ended(self) -> bool:
        """Whether the attempt will not change any more."""
        return self.state not in (AttemptState.QUEUED, AttemptState.RUNNING)

    def notify(self) -> None:
        """Wakes all that wait for a change."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def read(self, offset: int, size: int) -> bytes | None:
        """Returns buffered bytes, or None if they are gone."""
        if offset < self.base:
            return None
        begin = offset - self.base
        return bytes(self.body[begin : begin + size])


class AttemptTable:
    """Attempts by id.

    An attempt id runs at most once: an id that was refused, blocked or run
    is never admitted again while the entry is kept. All buffered answers
    together stay below a limit: the oldest finished ones are dropped first,
    and their entries stay.

    Args:
        buffer_bytes: Limit of all buffered answers together.
    """

    def __init__(self, buffer_bytes: int = BUFFER_BYTES):
        self._limit = buffer_bytes
        self.buffered = 0
        self._finished: collections.deque[Attempt] = collections.deque()
        self._attempts: dict[str, Attempt] = {}
        self._order: collections.deque[str] = collections.deque()

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt with an id, or None."""
        return self._attempts.get(attempt_id)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self._attempts.values()))

    def admit(
        self,
        attempt_id: str,
        request: str,
        organisation: str,
        deadline: float,
        idempotent: bool = False,
    ) -> Attempt:
        """Adds an attempt that waits for its turn.

        Raises:
            RefusalError: The table is full of attempts that a gateway may
                still ask for.
            InvariantViolation: The id is already known.
        """
        if attempt_id in self._attempts:
            raise errors.InvariantViolation(
                'at_most_once', f'attempt {attempt_id} is admitted twice'
            )
        self._expire()
        if len(self._attempts) >= MAX_ATTEMPTS:
            raise errors.RefusalError(
                'overloaded', 'the attempt table is full'
            )
        attempt = self._add(
            attempt_id, request, organisation, deadline, AttemptState.QUEUED
        )
        attempt.idempotent = idempotent
        return attempt

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
        self._finished.append(attempt)
        self._shed()
        attempt.notify()

    def append(self, attempt: Attempt, payload: bytes) -> None:
        """Adds a part of an answer; does not wake those that wait."""
        attempt.body += payload
        self.buffered += len(payload)
        self._shed()

    def trim(self, attempt: Attempt, offset: int) -> None:
        """Drops the buffered bytes of an answer before an offset."""
        size = min(offset - attempt.base, len(attempt.body))
        if size > 0:
            del attempt.body[:size]
            attempt.base += size
            self.buffered -= size

    def _shed(self) -> None:
        while self.buffered > self._limit and self._finished:
            oldest = self._finished.popleft()
            self.trim(oldest, oldest.length)

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
            if not attempt.ended or attempt.keep_until >= now:
                self._order.rotate(-1)
                continue
            self.trim(attempt, attempt.length)
            del self._attempts[self._order.popleft()]
        while self._finished and not self._finished[0].body:
            self._finished.popleft()
