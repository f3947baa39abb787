"""Time since the local configuration was last confirmed to be current."""

import time


def read_boot_clock() -> float:
    """Returns the time since boot in seconds, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Tracks when the local configuration was last confirmed as current.

    A confirmation is a response of the store, possibly passed on by a relay,
    which shows that there was no newer configuration at some time.

    Args:
        max_age_seconds: Age in seconds at which a confirmation expires.
    """

    def __init__(self, max_age_seconds: float):
        self.max_age_seconds = max_age_seconds
        self._confirmed_at = float('-inf')

    @property
    def age(self) -> float:
        """Seconds since the latest confirmation, infinite without one."""
        return read_boot_clock() - self._confirmed_at

    def confirm(self, at: float) -> None:
        """Records that the configuration was current at a time.

        Args:
            at: Time as returned by ``read_boot_clock``. It has no effect if
                it is before the latest confirmation; a later time than now
                counts as now.
        """
        self._confirmed_at = max(
            self._confirmed_at, min(at, read_boot_clock())
        )

    def is_current(self) -> bool:
        """Returns whether the latest confirmation has not expired."""
        return self.age < self.max_age_seconds
