"""Token buckets and rate meters."""

import math

from chivejunction import clock


class TokenBucket:
    """Token bucket whose level may become negative.

    Args:
        rate: Units added per second.
        burst: Capacity in units; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_at = clock.now()

    @property
    def level(self) -> float:
        """Units in the bucket now; negative after an overdraft."""
        now = clock.now()
        filled = self._level + self.rate * (now - self._updated_at)
        self._level = min(self.burst, filled)
        self._updated_at = now
        return self._level

    def resize(self, rate: float, burst: float) -> None:
        """Changes rate and burst.

        A smaller burst scales a positive level down in proportion. A larger
        burst leaves the level as it is: the added share was another
        gateway's until now, which may have spent these units already.

        Args:
            rate: Units added per second.
            burst: Capacity in units.
        """
        level = self.level
        if level > 0 and burst < self.burst:
            level *= burst / self.burst
        self.rate, self.burst, self._level = rate, burst, level

    def get_wait_seconds(self, amount: float) -> float:
        """Returns the seconds until an amount may be taken, 0 for now.

        An amount above the burst may be taken from a full bucket, whose
        level then becomes negative; otherwise it would never be available.

        Args:
            amount: Units to take.
        """
        missing = min(amount, self.burst) - self.level
        # Rounding errors of the level must not cause a wait of nanoseconds.
        return missing / self.rate if missing > 1e-9 else 0.0

    def take(self, amount: float) -> None:
        """Takes an amount, also below level 0; a negative one is returned."""
        self._level = min(self.burst, self.level - amount)


class RateMeter:
    """Exponential moving average of a rate.

    Args:
        time_constant_seconds: Time constant of the average.
    """

    def __init__(self, time_constant_seconds: float):
        self._time_constant_seconds = time_constant_seconds
        self._rate = 0.0
        self._updated_at = clock.now()

    @property
    def rate(self) -> float:
        """Units per second now."""
        now = clock.now()
        self._rate *= math.exp(
            (self._updated_at - now) / self._time_constant_seconds
        )
        self._updated_at = now
        return self._rate

    def add(self, amount: float) -> None:
        """Adds an amount at the current time."""
        self._rate = self.rate + amount / self._time_constant_seconds
