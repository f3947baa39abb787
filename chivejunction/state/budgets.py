"""Budget of extra attempts and the times that decide on a hedge."""

import collections
import math

from chivejunction import clock

# Extra attempts for each success. Under overload more calls fail than this
# adds, so retries stay below a tenth of all attempts.
RETRY_SHARE = 0.1
# Lets a gateway that has just started, or serves little, retry after a fault.
RESERVE_TOKENS = 10.0
REFILL_TOKENS_PER_SECOND = 0.1
# A tenth of the successes of half a minute at the target load of 34/s.
MAX_TOKENS = 100.0
HEDGE_SAMPLES = 200
MIN_HEDGE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
MIN_HEDGE_SECONDS = 0.02


class RetryBudget:
    """Tokens for retries and hedges, earned by successes.

    Below RESERVE_TOKENS the budget also refills slowly with time.
    """

    def __init__(self):
        self._tokens = RESERVE_TOKENS
        self._refilled = clock.now()

    @property
    def tokens(self) -> float:
        """Extra attempts that may be made now."""
        now = clock.now()
        earned = REFILL_TOKENS_PER_SECOND * (now - self._refilled)
        self._refilled = now
        if self._tokens < RESERVE_TOKENS:
            self._tokens = min(RESERVE_TOKENS, self._tokens + earned)
        return self._tokens

    def add_success(self) -> None:
        """Records a complete answer."""
        self._tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self.tokens < 1:
            return False
        self._tokens -= 1
        return True


class FirstTokenTimes:
    """Recent times to first token in seconds, by kind of request."""

    def __init__(self):
        self._samples: dict[tuple, collections.deque[float]] = {}

    def record(self, kind: tuple, seconds: float) -> None:
        """Adds the time to first token of an attempt."""
        samples = self._samples.setdefault(
            kind, collections.deque(maxlen=HEDGE_SAMPLES)
        )
        samples.append(seconds)

    def hedge_delay(self, kind: tuple) -> float:
        """Returns the p95 in seconds; infinite with too few samples."""
        samples = self._samples.get(kind, ())
        if len(samples) < MIN_HEDGE_SAMPLES:
            return math.inf
        ordered = sorted(samples)
        p95 = ordered[
            min(len(ordered) - 1, int(HEDGE_QUANTILE * len(ordered)))
        ]
        return max(MIN_HEDGE_SECONDS, p95)


class WindowedBudget:
    """Extra attempts by the requests of a sliding window.

    Bounds the extra attempts of several gateways together: each one takes
    its part of the allowance, and a share of its own requests.

    Args:
        share: Extra attempts for each request.
        allowance: Extra attempts that need no requests.
        seconds: Length of the window.
    """

    def __init__(self, share: float, allowance: float, seconds: float):
        self._share = share
        self.allowance = allowance
        self._seconds = seconds
        self._requests: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def _trim(self) -> None:
        since = clock.now() - self._seconds
        for times in (self._requests, self._extras):
            while times and times[0] < since:
                times.popleft()

    @property
    def left(self) -> float:
        """Extra attempts that may be made now."""
        self._trim()
        allowed = self._share * len(self._requests) + self.allowance
        return allowed - len(self._extras)

    def add_request(self) -> None:
        """Counts the first attempt of a request."""
        self._requests.append(clock.now())

    def take(self, reserve: float = 0.0) -> bool:
        """Takes one extra attempt; returns False if none is left.

        Args:
            reserve: Attempts that must stay for more important ones.
        """
        if self.left < 1 + reserve:
            return False
        self._extras.append(clock.now())
        return True
