"""Keeps the memory held for callers below the bound of this host."""

from collections.abc import Callable
import typing

from chivejunction import clock
from chivejunction import logs
from chivejunction import metrics
from chivejunction.scheduling import memory_pressure
from chivejunction.state import held_memory

# Time without a release after which the next one is a new episode.
EPISODE_SECONDS = 10.0
# Time for which a search that found nothing to release is not repeated.
SEARCH_PAUSE_SECONDS = 0.05
RELEASES = metrics.make_counter(
    'caller_releases',
    'Callers refused or closed for lack of memory or descriptors.',
    'reason',
    'phase',
)


class Owner(typing.Protocol):
    """Connection that bytes are held for."""

    def release(self) -> None:
        """Gives back what the connection can, refusing or closing it."""


class MemoryGuard:
    """Decides which callers give way when memory is short.

    Args:
        memory_bytes: Memory of the host; None if it is not known.

    Attributes:
        account: Bytes held for all callers.
        bound: Limits in force.
    """

    def __init__(self, memory_bytes: float | None = None):
        self.account = held_memory.Account()
        self.bound = memory_pressure.compute_bound(memory_bytes)
        self._episode_until = clock.now()
        # Monotonic times of the next search, by whether it is for a long
        # request.
        self._search_at = {True: clock.now(), False: clock.now()}

    @property
    def is_exhausted(self) -> bool:
        """Whether there is no memory for a further connection."""
        return self.account.total >= self.bound.total

    def set_memory(self, memory_bytes: float | None) -> None:
        """Applies a changed memory of the host."""
        self.bound = memory_pressure.compute_bound(memory_bytes)

    def make_room(self, hold: held_memory.Hold) -> bool:
        """Frees memory if a holder has taken more than there is.

        Args:
            hold: The holder.

        Returns:
            Whether it may keep what it holds.
        """
        total = self.account.total
        if total <= self.bound.long:
            return True
        is_long = memory_pressure.is_long(hold)
        limit = self.bound.long if is_long else self.bound.total
        if total <= limit:
            return True
        if not clock.has_passed(self._search_at[is_long]):
            self._record('memory', hold)
            return False
        released = memory_pressure.choose_released(
            list(self.account.holds), hold, total, self.bound, clock.now()
        )
        for other in released:
            self._record('memory', other)
            if other is hold:
                self._search_at[is_long] = clock.make_deadline(
                    SEARCH_PAUSE_SECONDS
                )
                return False
            self.account.holds[other].release()
        return True

    def close_stalled(self, count: int) -> int:
        """Closes connections without progress for lack of descriptors.

        Args:
            count: Number of connections.

        Returns:
            The number that was closed.
        """
        closed = memory_pressure.choose_closed(
            list(self.account.holds), count, clock.now()
        )
        for hold in closed:
            self._record('descriptors', hold)
            self.account.holds[hold].release()
        return len(closed)

    def _record(self, reason: str, hold: held_memory.Hold) -> None:
        RELEASES.labels(reason, hold.phase.value).inc()
        if clock.has_passed(self._episode_until):
            logs.log_decision(
                'callers give way',
                reason=reason,
                bound=self.bound.total,
                held=self.account.total,
                connections=len(self.account.holds),
                **{
                    f'held_{kind.value}': amount
                    for kind, amount in self.account.amounts.items()
                },
            )
        self._episode_until = clock.make_deadline(EPISODE_SECONDS)

    def register_gauge(self) -> None:
        """Registers the gauges of the bytes held and of their bound."""
        held = metrics.make_labelled_gauge(
            'caller_held_bytes', 'Bytes held for callers.', 'kind'
        )

        def make_reader(kind: held_memory.Kind) -> Callable[[], float]:
            return lambda: self.account.amounts[kind]

        for kind in held_memory.Kind:
            held.labels(kind.value).set_function(make_reader(kind))
        metrics.make_gauge(
            'caller_held_bytes_bound',
            'Bytes that may be held for callers.',
            lambda: self.bound.total,
        )
