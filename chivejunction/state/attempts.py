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

# Time for which the entry of an attempt is kept after its deadline. It must
# exceed the time in which a gateway detects a silent link and asks for the
# state of the attempt.
RETENTION_SECONDS = 30.0
# A full table refuses new attempts instead of removing entries early, because
# for an id without an entry the agent reports that the attempt has not run.
MAX_ATTEMPTS = 20_000
BUFFER_BYTES = 48 * 1024 * 1024
NO_DEADLINE = math.inf


class AttemptState(enum.StrEnum):
    """State of an attempt at this agent.

    BLOCKED marks an id that the agent did not know when a gateway asked for
    it, and that it will never run.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    REFUSED = 'refused'
    BLOCKED = 'blocked'


# States in which the request has not run and will not run.
NOT_RUN_STATES = frozenset({AttemptState.REFUSED, AttemptState.BLOCKED})


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt with its buffered response.

    Attributes:
        id: Attempt id.
        request: Id of the request, under which usage is billed.
        organisation: Name of the organisation.
        deadline: Monotonic deadline of the request in seconds.
        expires_at: Monotonic time in seconds after which the entry of an
            ended attempt may be removed.
        state: Current state.
        idempotent: Whether the request may run more than once.
        status: HTTP status of the response, zero before its head.
        headers: Headers of the response.
        body: Buffered part of the response, from ``body_offset`` on.
        body_offset: Offset of the first buffered byte; earlier bytes were
            dropped.
        verdict: Whether the request may have run.
        error: Refusal code or error, empty for a complete response.
        detail: Explanation of a refusal.
        retry_after_ms: Milliseconds after which a retry may succeed, zero if
            unknown.
        usage: Token counts.
        changed: Event that is set and replaced at each change.
        cancel_scope: Scope of the task that runs the attempt.
        cancelled: Whether it was cancelled before that task began.
        has_filled_window: Whether it took the last free place of the
            concurrency window.
        orphan_deadline: Monotonic time in seconds at which the attempt counts
            as abandoned by its gateway.
        is_end_sent: Whether the end of the response was sent over a link or
            is no longer needed, as the gateway has cancelled the attempt.
        owner: Name and incarnation of the gateway that started the attempt.
    """

    id: str
    request: str
    organisation: str
    deadline: float
    expires_at: float
    state: AttemptState
    idempotent: bool = False
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    body_offset: int = 0
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    error: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    usage: dict = dataclasses.field(default_factory=dict)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cancel_scope: anyio.CancelScope | None = None
    cancelled: bool = False
    has_filled_window: bool = False
    orphan_deadline: float = NO_DEADLINE
    is_end_sent: bool = False
    owner: tuple[str, str] = ('', '')

    @property
    def length(self) -> int:
        """Bytes of the response so far, buffered or dropped."""
        return self.body_offset + len(self.body)

    @property
    def ended(self) -> bool:
        """Whether the attempt is in a final state."""
        return self.state not in (AttemptState.QUEUED, AttemptState.RUNNING)

    def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def read(self, offset: int, size: int) -> bytes | None:
        """Returns buffered bytes of the response.

        Args:
            offset: Offset of the first byte within the response.
            size: Largest number of bytes to return.

        Returns:
            The bytes, or None if the buffer no longer holds the first one.
        """
        if offset < self.body_offset:
            return None
        begin = offset - self.body_offset
        return bytes(self.body[begin : begin + size])


class AttemptTable:
    """Attempts by id.

    An attempt id runs at most once: while an entry is kept, its id is not
    admitted again. When the buffered responses exceed a limit, those of
    attempts that finished first are dropped, but their entries are kept.

    Args:
        buffer_bytes: Limit of the bytes of all buffered responses.

    Attributes:
        buffered_bytes: Bytes of all buffered responses.
    """

    def __init__(self, buffer_bytes: int = BUFFER_BYTES):
        self._max_buffered_bytes = buffer_bytes
        self.buffered_bytes = 0
        self._evictable: collections.deque[Attempt] = collections.deque()
        self._attempts: dict[str, Attempt] = {}
        self._expiry_queue: collections.deque[str] = collections.deque()

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
        """Adds a queued attempt.

        Args:
            attempt_id: Id of the attempt.
            request: Id of the request.
            organisation: Name of the organisation.
            deadline: Monotonic deadline of the request in seconds.
            idempotent: Whether the request may run more than once.

        Raises:
            RefusalError: The table is full, and gateways may still ask for
                the state of its attempts.
            InvariantViolation: The table has an entry of this id.
        """
        if attempt_id in self._attempts:
            raise errors.InvariantViolation(
                'at_most_once', f'attempt {attempt_id} was admitted twice'
            )
        self._remove_expired()
        if len(self._attempts) >= MAX_ATTEMPTS:
            self._remove_expired(MAX_ATTEMPTS)
        if len(self._attempts) >= MAX_ATTEMPTS:
            raise errors.RefusalError(
                'overloaded',
                'the attempt table is full',
            )
        attempt = self._insert(
            attempt_id, request, organisation, deadline, AttemptState.QUEUED
        )
        attempt.idempotent = idempotent
        return attempt

    def block(self, attempt_id: str, deadline: float) -> Attempt:
        """Adds a tombstone: an attempt with this id will never run here."""
        return self._insert(attempt_id, '', '', deadline, AttemptState.BLOCKED)

    def mark_running(self, attempt: Attempt) -> None:
        """Marks an attempt whose request is about to be sent to the server.

        Raises:
            InvariantViolation: The attempt is not queued.
        """
        if attempt.state is not AttemptState.QUEUED:
            raise errors.InvariantViolation(
                'at_most_once',
                f'attempt {attempt.id} starts in state {attempt.state}, '
                'not in state queued',
            )
        attempt.state = AttemptState.RUNNING
        attempt.verdict = verdicts.Verdict.MAY_HAVE_RUN

    def refuse(
        self, attempt: Attempt, error: str, detail: str, retry_after_ms: int
    ) -> None:
        """Ends an attempt that has not run.

        Args:
            attempt: The attempt.
            error: Refusal code.
            detail: Explanation of the refusal.
            retry_after_ms: Milliseconds after which a retry may succeed, zero
                if unknown.
        """
        attempt.state = AttemptState.REFUSED
        attempt.verdict = verdicts.Verdict.NOT_RUN
        attempt.error = error
        attempt.detail = detail
        attempt.retry_after_ms = retry_after_ms
        attempt.notify()

    def finish(
        self, attempt: Attempt, verdict: verdicts.Verdict, error: str = ''
    ) -> None:
        """Ends an attempt that has run or may have run.

        Args:
            attempt: The attempt.
            verdict: Whether the request has run.
            error: Why the attempt failed, empty for a complete response.
        """
        attempt.state = AttemptState.FINISHED
        attempt.verdict = verdict
        attempt.error = error
        self._evictable.append(attempt)
        self._evict_buffers()
        attempt.notify()

    def append(self, attempt: Attempt, payload: bytes) -> None:
        """Buffers a part of a response, without waking waiting tasks."""
        attempt.body += payload
        self.buffered_bytes += len(payload)
        self._evict_buffers()

    def trim(self, attempt: Attempt, offset: int) -> None:
        """Drops the buffered bytes of a response before an offset."""
        size = min(offset - attempt.body_offset, len(attempt.body))
        if size > 0:
            del attempt.body[:size]
            attempt.body_offset += size
            self.buffered_bytes -= size

    def _evict_buffers(self) -> None:
        while (
            self.buffered_bytes > self._max_buffered_bytes and self._evictable
        ):
            oldest = self._evictable.popleft()
            self.trim(oldest, oldest.length)

    def _insert(
        self,
        attempt_id: str,
        request: str,
        organisation: str,
        deadline: float,
        state: AttemptState,
    ) -> Attempt:
        self._remove_expired()
        attempt = Attempt(
            id=attempt_id,
            request=request,
            organisation=organisation,
            deadline=deadline,
            expires_at=deadline + RETENTION_SECONDS,
            state=state,
        )
        self._attempts[attempt_id] = attempt
        self._expiry_queue.append(attempt_id)
        return attempt

    def _remove_expired(self, limit: int = 2) -> None:
        """Checks the next entries and removes those that have expired.

        Args:
            limit: Maximum number of entries to check.
        """
        now = clock.now()
        for _ in range(min(limit, len(self._expiry_queue))):
            attempt = self._attempts[self._expiry_queue[0]]
            if not attempt.ended or attempt.expires_at >= now:
                self._expiry_queue.rotate(-1)
                continue
            self.trim(attempt, attempt.length)
            del self._attempts[self._expiry_queue.popleft()]
        while self._evictable and not self._evictable[0].body:
            self._evictable.popleft()
