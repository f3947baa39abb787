"""Backlogs of backend servers, as reported by all gateways."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from chivejunction import clock

# A report of another gateway expires after this time. Gateways repeat their
# reports more often.
PEER_REPORT_TTL_SECONDS = 1.9
# Prefill time of a model before there are samples. The users' data sheets give
# 61 prompt tokens per ms for a model of pace 1, and these paces for the
# smallest, the intermediate and the largest tier.
DEFAULT_PREFILL_SECONDS_PER_TOKEN = 1 / 61_000
SMALLEST_TIER_PACE = 0.3
INTERMEDIATE_TIER_PACE = 0.8
LARGEST_TIER_PACE = 3.0
# Weight of the default in the estimate, in samples.
DEFAULT_WEIGHT = 4
# Time to the first byte of an idle server for an empty prompt.
BASE_FIRST_BYTE_SECONDS = 0.015
MAX_SAMPLES = 60
# Attempts with fewer prompt tokens are not sampled: their time is mostly that
# of the network and of the requests that run beside them.
MIN_SAMPLE_TOKENS = 1000
# The quantile is low because some samples include queueing time.
PREFILL_QUANTILE = 0.25


class PrefillTimeEstimator:
    """Estimates prefill times by model from observed times to first byte."""

    def __init__(self):
        self._samples: dict[str, collections.deque[float]] = {}
        self._seconds_per_token: dict[str, float] = {}
        self._default_paces: dict[str, float] = {}

    def set_tiers(self, tiers: Sequence[str]) -> None:
        """Sets the default estimates of the models of a route.

        Args:
            tiers: Models, the smallest first.
        """
        if len(tiers) < 2:
            return
        for model in tiers[1:-1]:
            self._default_paces[model] = INTERMEDIATE_TIER_PACE
        self._default_paces[tiers[0]] = SMALLEST_TIER_PACE
        self._default_paces[tiers[-1]] = LARGEST_TIER_PACE

    def _get_default(self, model: str) -> float:
        pace = self._default_paces.get(model, 1.0)
        return DEFAULT_PREFILL_SECONDS_PER_TOKEN * pace

    def compute_pace(self, model: str) -> float:
        """Returns the estimate as a multiple of the default of the model."""
        seconds_per_token = self._seconds_per_token.get(model)
        if seconds_per_token is None:
            return 1.0
        return seconds_per_token / self._get_default(model)

    def record(self, model: str, tokens: int, seconds: float) -> None:
        """Adds the time to the first byte of an attempt.

        Args:
            model: Model of the attempt.
            tokens: Prompt tokens that were not cached.
            seconds: Time to the first byte in seconds.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        samples = self._samples.setdefault(
            model, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(max(0.0, seconds - BASE_FIRST_BYTE_SECONDS) / tokens)
        observed = sorted(samples)[int(PREFILL_QUANTILE * len(samples))]
        self._seconds_per_token[model] = (
            DEFAULT_WEIGHT * self._get_default(model) + len(samples) * observed
        ) / (DEFAULT_WEIGHT + len(samples))

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the estimated seconds to the first byte without queueing.

        Args:
            model: Model of the attempt.
            tokens: Prompt tokens that are not cached.
        """
        seconds_per_token = self._seconds_per_token.get(model)
        if seconds_per_token is None:
            seconds_per_token = self._get_default(model)
        return BASE_FIRST_BYTE_SECONDS + seconds_per_token * tokens


@dataclasses.dataclass(slots=True)
class PendingAttempt:
    """An attempt without its first byte yet.

    Attributes:
        instance: Instance id of the backend server.
        seconds: Estimated prefill time in seconds.
    """

    instance: str
    seconds: float


class Backlogs:
    """Backlog of each server: estimated engine time of pending attempts."""

    def __init__(self):
        self._pending: dict[int, PendingAttempt] = {}
        self._last_number = 0
        self._peers: dict[str, tuple[float, Mapping[str, float]]] = {}

    def start(self, instance: str, seconds: float) -> int:
        """Adds an attempt that was sent to a server.

        Args:
            instance: Instance id of the server.
            seconds: Estimated prefill time in seconds.

        Returns:
            The number of the attempt, for its removal.
        """
        self._last_number += 1
        self._pending[self._last_number] = PendingAttempt(instance, seconds)
        return self._last_number

    def end(self, number: int) -> None:
        """Removes an attempt that got its first byte or failed.

        Does nothing if the attempt was removed before.
        """
        self._pending.pop(number, None)

    def sum_local(self) -> dict[str, float]:
        """Returns this gateway's part of each server's backlog in seconds."""
        totals: dict[str, float] = {}
        for attempt in self._pending.values():
            totals[attempt.instance] = (
                totals.get(attempt.instance, 0.0) + attempt.seconds
            )
        return totals

    def set_peer_backlogs(
        self, name: str, seconds: Mapping[str, float]
    ) -> None:
        """Stores the report of another gateway and restarts its expiry.

        Args:
            name: Name of the gateway.
            seconds: Its part of each server's backlog in seconds.
        """
        self._peers[name] = (
            clock.make_deadline(PEER_REPORT_TTL_SECONDS),
            seconds,
        )

    def estimate(self) -> dict[str, float]:
        """Returns each server's backlog in seconds, from all gateways.

        Expired reports of other gateways are removed.
        """
        totals = self.sum_local()
        for name, (deadline, sums) in list(self._peers.items()):
            if clock.has_passed(deadline):
                del self._peers[name]
                continue
            for instance, seconds in sums.items():
                totals[instance] = totals.get(instance, 0.0) + seconds
        return totals
