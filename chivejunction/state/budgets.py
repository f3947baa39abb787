"""Retry budgets and the latency samples that determine hedge delays."""

import collections
import math

from chivejunction import clock

# Tokens earned by each success. Failed calls earn none, so under overload
# retries stay below a tenth of all attempts.
TOKENS_PER_SUCCESS = 0.1
# Allows a gateway that has just started or has little traffic to retry after a
# fault.
RESERVE_TOKENS = 10.0
REFILL_TOKENS_PER_SECOND = 0.1
# Tokens earned in half a minute at the target load of 34 requests per second.
MAX_TOKENS = 100.0
MAX_HEDGE_SAMPLES = 200
MIN_HEDGE_SAMPLES = 20
HEDGE_QUANTILE = 0.95
MIN_HEDGE_SECONDS = 0.02


class RetryBudget:
    """Token bucket for retries and hedges, filled by successes.

    Below ``RESERVE_TOKENS`` the bucket also refills slowly with time.
    """

    def __init__(self):
        self._tokens = RESERVE_TOKENS
        self._refilled_at = clock.now()

    @property
    def tokens(self) -> float:
        """Number of extra attempts that are allowed now."""
        now = clock.now()
        earned = REFILL_TOKENS_PER_SECOND * (now - self._refilled_at)
        self._refilled_at = now
        if self._tokens < RESERVE_TOKENS:
            self._tokens = min(RESERVE_TOKENS, self._tokens + earned)
        return self._tokens

    def add_success(self) -> None:
        """Adds the tokens earned by a complete response."""
        self._tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_SUCCESS)

    def take(self) -> bool:
        """Consumes one token; returns False if there is none."""
        if self.tokens < 1:
            return False
        self._tokens -= 1
        return True


class FirstTokenTimes:
    """Recent times to first token by kind of request."""

    def __init__(self):
        self._samples: dict[tuple, collections.deque[float]] = {}

    def record(self, kind: tuple, seconds: float) -> None:
        """Adds the time to first token of an attempt in seconds."""
        samples = self._samples.setdefault(
            kind, collections.deque(maxlen=MAX_HEDGE_SAMPLES)
        )
        samples.append(seconds)

    def hedge_delay(self, kind: tuple) -> float:
        """Returns the delay in seconds after which a hedge is sent.

        The delay is the 95th percentile of the samples, but at least
        ``MIN_HEDGE_SECONDS``; infinite with too few samples.
        """
        samples = self._samples.get(kind, ())
        if len(samples) < MIN_HEDGE_SAMPLES:
            return math.inf
        ordered = sorted(samples)
        p95 = ordered[
            min(len(ordered) - 1, int(HEDGE_QUANTILE * len(ordered)))
        ]
        return max(MIN_HEDGE_SECONDS, p95)


class WindowedBudget:
    """Limit of extra attempts, relative to the requests in a sliding window.

    Limits the extra attempts of several gateways in total: each gateway has
    its part of the allowance, plus a share of its own requests.

    Args:
        share: Extra attempts per request.
        allowance: Extra attempts that are allowed regardless of requests.
        window_seconds: Length of the window in seconds.
    """

    def __init__(self, share: float, allowance: float, window_seconds: float):
        self.set_limits(share, allowance, window_seconds)
        self._request_times: collections.deque[float] = collections.deque()
        self._extra_attempt_times: collections.deque[float] = (
            collections.deque()
        )

    def set_limits(
        self, share: float, allowance: float, window_seconds: float
    ) -> None:
        """Changes the limits and keeps the record of past attempts.

        Args:
            share: Extra attempts per request.
            allowance: Extra attempts that are allowed regardless of requests.
            window_seconds: Length of the window in seconds.
        """
        self._share = share
        self._allowance = allowance
        self._window_seconds = window_seconds

    def _remove_expired(self) -> None:
        since = clock.now() - self._window_seconds
        for times in (self._request_times, self._extra_attempt_times):
            while times and times[0] < since:
                times.popleft()

    @property
    def remaining(self) -> float:
        """Number of extra attempts that are allowed now."""
        self._remove_expired()
        allowed = self._share * len(self._request_times) + self._allowance
        return allowed - len(self._extra_attempt_times)

    def add_request(self) -> None:
        """Records the first attempt of a request."""
        self._remove_expired()
        self._request_times.append(clock.now())

    def take(self, reserve: float = 0.0) -> bool:
        """Consumes one extra attempt; returns False if none is allowed.

        Args:
            reserve: Number of attempts to leave for more important uses.
        """
        if self.remaining < 1 + reserve:
            return False
        self._extra_attempt_times.append(clock.now())
        return True
