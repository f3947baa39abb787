"""Continuous batching of a model engine."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import time

import anyio


@dataclasses.dataclass(slots=True)
class Sequence:
    """A request in the engine.

    Attributes:
        attempt: Id of the attempt.
        prefill_left: Prompt tokens that still have to be computed.
        tokens: Tokens of the answer.
        speed: Step time of its version relative to the engine's.
        priority: Priority from 0 to 9, higher first.
        first: Number of its first token, above 0 for a continued answer.
        produced: Tokens of the answer so far.
        closed: Whether the client has gone or the engine gave up.
        changed: Set and replaced when the sequence has progressed.
    """

    attempt: str
    prefill_left: int
    tokens: int
    speed: float = 1.0
    priority: int = 4
    first: int = 0
    produced: int = 0
    closed: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wakes the task that writes the answer."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    async def wait_beyond(self, produced: int) -> None:
        """Waits until more tokens exist or the sequence is closed."""
        while self.produced <= produced and not self.closed:
            await self.changed.wait()


class Batch:
    """Runs sequences in slots, one timer for each step of all of them.

    A step gives every sequence past its prefill one token. Its time is
    ``step_seconds`` for one sequence, grows by ``growth`` of that for each
    further one, and by ``prefill_seconds`` for each prompt token computed
    in it. A step computes at most ``prefill_chunk`` prompt tokens.

    Args:
        slots: Sequences that run at a time.
        step_seconds: Time of a step with one sequence in seconds.
        growth: Relative growth of the step time per further sequence.
        prefill_seconds: Time per prompt token in seconds.
        prefill_chunk: Most prompt tokens in a step.
        get_slowness: Returns the present factor on all times.
        on_change: Called when running or waiting numbers change.
    """

    def __init__(
        self,
        slots: int,
        step_seconds: float,
        growth: float,
        prefill_seconds: float,
        prefill_chunk: int,
        get_slowness: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._slots = slots
        self._step_seconds = step_seconds
        self._growth = growth
        self._prefill_seconds = prefill_seconds
        self._prefill_chunk = prefill_chunk
        self._get_slowness = get_slowness
        self._on_change = on_change
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._wake = anyio.Event()

    @property
    def running(self) -> int:
        """Sequences in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Sequences that wait for a slot."""
        return sum(not s.closed for _, _, s in self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence; higher priorities and earlier ones first."""
        heapq.heappush(
            self._waiting,
            (-sequence.priority, next(self._numbers), sequence),
        )
        self._wake.set()
        self._on_change()

    def close(self, sequence: Sequence) -> None:
        """Gives up a sequence; its slot is free from the next step on."""
        sequence.closed = True
        sequence.notify()
        self._wake.set()

    def close_all(self) -> None:
        """Gives up all sequences."""
        for sequence in [*self._running, *(w[2] for w in self._waiting)]:
            self.close(sequence)

    async def run(self) -> None:
        """Makes steps until cancelled."""
        due = time.monotonic()
        while True:
            self._fill_slots()
            if not self._running:
                self._wake = anyio.Event()
                await self._wake.wait()
                due = time.monotonic()
                continue
            prefilled = self._prefill()
            # The next step is due after this one's length, not after its
            # wake-up: late timers of a busy machine do not add up.
            due = max(
                due + self._measure_step(prefilled), time.monotonic() - 0.05
            )
            await anyio.sleep(max(0.0, due - time.monotonic()))
            self._advance()

    def _fill_slots(self) -> None:
        before = len(self._running)
        self._running = [s for s in self._running if not s.closed]
        changed = len(self._running) != before
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
            taken = min(budget, sequence.prefill_left)
            sequence.prefill_left -= taken
            budget -= taken
        return self._prefill_chunk - budget

    def _measure_step(self, prefilled: int) -> float:
        speed = max(s.speed for s in self._running)
        decode = self._step_seconds * (
            1 + self._growth * (len(self._running) - 1)
        )
        return (
            (decode + self._prefill_seconds * prefilled)
            * speed
            * self._get_slowness()
        )

    def _advance(self) -> None:
        for sequence in self._running:
            if sequence.prefill_left or sequence.closed:
                continue
            sequence.produced += 1
            if sequence.produced >= sequence.tokens:
                sequence.closed = True
            sequence.notify()
