"""Continuous batching of a model engine."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import time

import anyio


@dataclasses.dataclass(slots=True)
class Sequence:
    """A request that waits or runs in the engine.

    Attributes:
        attempt: Id of the attempt.
        prefill_remaining: Prompt tokens that are not computed yet.
        response_tokens: Length of the response in tokens.
        step_time_factor: Factor of its version on the step time of the engine.
        priority: Priority from 0 to 9, higher first.
        first_index: Index of its first token, above 0 for a continuation.
        produced_tokens: Tokens generated so far.
        closed: Whether the sequence is complete or cancelled.
        changed: Set and replaced when the sequence makes progress.
    """

    attempt: str
    prefill_remaining: int
    response_tokens: int
    step_time_factor: float = 1.0
    priority: int = 4
    first_index: int = 0
    produced_tokens: int = 0
    closed: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wakes the tasks that wait for progress."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    async def wait_for_progress(self, known_tokens: int) -> None:
        """Waits until it has more tokens than known or is closed."""
        while self.produced_tokens <= known_tokens and not self.closed:
            await self.changed.wait()


class Batch:
    """Scheduler that generates tokens for all running sequences in steps.

    A step generates one token for every sequence whose prefill is done. It
    takes ``step_seconds`` for one sequence, ``growth`` of that more for each
    further one, and ``prefill_seconds`` for each prompt token computed in
    it. A step computes at most ``prefill_chunk`` prompt tokens.

    Args:
        slots: Maximum number of sequences that run at the same time.
        step_seconds: Time of a step with one sequence in seconds.
        growth: Relative growth of the step time per further sequence.
        prefill_seconds: Time per prompt token in seconds.
        prefill_chunk: Maximum number of prompt tokens in a step.
        get_slowdown_factor: Returns the current factor on all step times.
        on_change: Called when a sequence is queued, starts or ends.
    """

    def __init__(
        self,
        slots: int,
        step_seconds: float,
        growth: float,
        prefill_seconds: float,
        prefill_chunk: int,
        get_slowdown_factor: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._slots = slots
        self._step_seconds = step_seconds
        self._growth = growth
        self._prefill_seconds = prefill_seconds
        self._prefill_chunk = prefill_chunk
        self._get_slowdown_factor = get_slowdown_factor
        self._on_change = on_change
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._work_available = anyio.Event()

    @property
    def running(self) -> int:
        """Number of sequences in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of open sequences that wait for a slot."""
        return sum(not s.closed for _, _, s in self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence, by priority and then in order of arrival."""
        heapq.heappush(
            self._waiting,
            (-sequence.priority, next(self._arrival_numbers), sequence),
        )
        self._work_available.set()
        self._on_change()

    def close(self, sequence: Sequence) -> None:
        """Closes a sequence; its slot is free from the next step on."""
        sequence.closed = True
        sequence.notify()
        self._work_available.set()

    def close_all(self) -> None:
        """Closes all sequences."""
        for sequence in [*self._running, *(w[2] for w in self._waiting)]:
            self.close(sequence)

    async def run(self) -> None:
        """Executes steps until cancelled."""
        deadline = time.monotonic()
        while True:
            self._fill_slots()
            if not self._running:
                self._work_available = anyio.Event()
                await self._work_available.wait()
                deadline = time.monotonic()
                continue
            prefill_tokens = self._prefill()
            # Deadlines follow from each other, not from the wake-up times,
            # so that timer delays on a busy host do not accumulate. At most
            # 50 ms of delay are caught up.
            deadline = max(
                deadline + self._compute_step_seconds(prefill_tokens),
                time.monotonic() - 0.05,
            )
            await anyio.sleep(max(0.0, deadline - time.monotonic()))
            self._generate_tokens()

    def _fill_slots(self) -> None:
        previous_count = len(self._running)
        self._running = [s for s in self._running if not s.closed]
        changed = len(self._running) != previous_count
        while self._waiting and len(self._running) < self._slots:
            sequence = heapq.heappop(self._waiting)[2]
            if not sequence.closed:
                self._running.append(sequence)
                changed = True
        if changed:
            self._on_change()

    def _prefill(self) -> int:
        budget = self._prefill_chunk
        for sequence in self._running:
            computed = min(budget, sequence.prefill_remaining)
            sequence.prefill_remaining -= computed
            budget -= computed
        return self._prefill_chunk - budget

    def _compute_step_seconds(self, prefill_tokens: int) -> float:
        step_time_factor = max(s.step_time_factor for s in self._running)
        decode_seconds = self._step_seconds * (
            1 + self._growth * (len(self._running) - 1)
        )
        return (
            (decode_seconds + self._prefill_seconds * prefill_tokens)
            * step_time_factor
            * self._get_slowdown_factor()
        )

    def _generate_tokens(self) -> None:
        for sequence in self._running:
            if sequence.prefill_remaining or sequence.closed:
                continue
            sequence.produced_tokens += 1
            if sequence.produced_tokens >= sequence.response_tokens:
                sequence.closed = True
            sequence.notify()
