"""Token buckets and meters for rate limits."""

import math

from chivejunction import clock


class TokenBucket:
    """Bucket that fills at a rate and may go into debt.

    Args:
        rate: Units per second.
        burst: Most units that it holds.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_at = clock.now()

    @property
    def level(self) -> float:
        """Units in the bucket at present, below zero for a debt."""
        now = clock.now()
        filled = self._level + self.rate * (now - self._updated_at)
        self._level = min(self.burst, filled)
        self._updated_at = now
        return self._level

    def resize(self, rate: float, burst: float) -> None:
        """Changes rate and burst; what the bucket holds stays in proportion.

        A bucket that grew from a small share must not start full: the units
        would have been handed out twice, here and at the earlier holder.
        """
        level = self.level
        if level > 0 and burst < self.burst:
            level *= burst / self.burst
        self.rate, self.burst, self._level = rate, burst, level

    def find_wait(self, amount: float) -> float:
        """Returns the seconds until an amount may be taken, 0 for now.

        An amount above the burst may be taken from a full bucket, which
        then is in debt; otherwise it could never be taken.
        """
        missing = min(amount, self.burst) - self.level
        # Rounding of the level must not turn into a wait of a nanosecond.
        return missing / self.rate if missing > 1e-9 else 0.0

    def take(self, amount: float) -> None:
        """Takes an amount, into debt if need be; negative gives it back."""
        self._level = min(self.burst, self.level - amount)


class Meter:
    """Rate of events, averaged exponentially.

    Args:
        seconds: Time constant in seconds.
    """

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._value = 0.0
        self._updated_at = clock.now()

    @property
    def rate(self) -> float:
        """Units per second at present."""
        now = clock.now()
        self._value *= math.exp((self._updated_at - now) / self._seconds)
        self._updated_at = now
        return self._value

    def add(self, amount: float) -> None:
        """Counts an amount."""
        self._value = self.rate + amount / self._seconds
