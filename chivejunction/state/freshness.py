"""Age of the newest proof that the configuration is the newest one."""

import time


def read_clock() -> float:
    """Returns seconds that also pass while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Tells how long the store's word on the configuration holds.

    Args:
        bound: Seconds after a proof at which it no longer holds.
    """

    def __init__(self, bound: float):
        self.bound = bound
        self._proved_at = float('-inf')

    @property
    def age(self) -> float:
        """Seconds since the latest proof."""
        return read_clock() - self._proved_at

    def prove(self, at: float) -> None:
        """Notes that at a time of ``read_clock`` nothing newer existed."""
        self._proved_at = max(self._proved_at, at)

    def holds(self) -> bool:
        """Tells whether the latest proof is young enough."""
        return self.age < self.bound
