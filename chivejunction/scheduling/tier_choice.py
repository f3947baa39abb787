"""Choice of the model tier of a forwarded request, and of escalation.

The smallest tier handles a request first. If the model reports a low
confidence in its response, the response is discarded before any of it was
forwarded, and the request is repeated with a larger tier, provided that the
larger tier can respond in time.

Load pattern: about half of the requests are too hard for the smallest tier,
and the largest takes ten times its engine time. Those that fell just short
take an intermediate tier, which leaves the engines to the others.
"""

import dataclasses
import math

# Responses with a lower confidence are requested again from a larger tier.
MIN_CONFIDENCE = 0.6
# The same for responses of an intermediate tier: repeating those costs more.
MIN_INTERMEDIATE_CONFIDENCE = 0.5
# Confidence by which an intermediate tier exceeds the smallest one, before
# there are samples, and its weight in samples. From the users' data sheets.
DEFAULT_CONFIDENCE_GAIN = 0.13
DEFAULT_WEIGHT = 10
MAX_SAMPLE_WEIGHT = 50
# Beyond these, a confidence does not tell how hard a request was.
SATURATED_CONFIDENCES = (0.05, 0.95)
# Latest start of the larger tier's response, as a share of the objective.
MAX_ARRIVAL_SHARE = 1.0
# Backlog ahead of the larger tier's attempt, as a share of the objective, up
# to which a request may escalate. Indexed by the urgency of the route, 0 being
# the most urgent; the last value applies to all further ranks. A larger tier
# needs ten times the engine time, so where all servers have a backlog, the
# less urgent routes leave it to the others.
MAX_WAIT_SHARES = (0.75, 0.35, 0.15)
# The same for the median backlog of all servers, to be divided by the square
# root of their number: at equal utilization, the backlogs of a small pool are
# longer. Engines process prompts between the tokens of their streams: where
# most of them have a backlog, streams slow down until they miss their
# deadlines, even if one server is free.
MAX_MEDIAN_BACKLOG_SHARES = (3.0, 1.25, 1.25)


class ConfidenceGains:
    """Learns by how much larger models raise the confidence of a response."""

    def __init__(self):
        self._gains: dict[tuple[str, str], tuple[float, int]] = {}

    def record(
        self, small: str, large: str, before: float, after: float
    ) -> None:
        """Adds the confidences of two models for the same request.

        Args:
            small: The smaller model.
            large: The larger model.
            before: Confidence of the smaller model, 0 to 1.
            after: Confidence of the larger model, 0 to 1.
        """
        lowest, highest = SATURATED_CONFIDENCES
        if before < lowest or after > highest:
            return
        gain, weight = self._get(small, large)
        weight = min(weight + 1, MAX_SAMPLE_WEIGHT)
        gain += (after - before - gain) / weight
        self._gains[small, large] = gain, weight

    def _get(self, small: str, large: str) -> tuple[float, int]:
        return self._gains.get(
            (small, large), (DEFAULT_CONFIDENCE_GAIN, DEFAULT_WEIGHT)
        )

    def estimate(self, small: str, large: str) -> float:
        """Returns the expected difference of two models' confidences."""
        return self._get(small, large)[0]


@dataclasses.dataclass(slots=True)
class TierChoice:
    """Model tiers of one request.

    Attributes:
        tiers: Models that may handle the request, the smallest first.
        index: Index of the tier in use.
        confidence: Confidence of the latest response, which was discarded;
            None without one.
    """

    tiers: tuple[str, ...]
    index: int = 0
    confidence: float | None = None

    @classmethod
    def start(cls, tiers: tuple[str, ...], may_repeat: bool) -> 'TierChoice':
        """Returns the initial choice for a request.

        Args:
            tiers: Models that may handle the request, the smallest first.
            may_repeat: Whether the request may run again. If not, it cannot
                escalate and starts at the largest model.
        """
        index = 0 if may_repeat or not tiers else len(tiers) - 1
        return cls(tiers, index)

    @property
    def model(self) -> str:
        """Model of the tier in use; empty without tiers."""
        return self.tiers[self.index] if self.tiers else ''

    @property
    def is_last(self) -> bool:
        """Whether there is no larger tier."""
        return self.index >= len(self.tiers) - 1

    def escalate(self, index: int, confidence: float) -> None:
        """Switches to a larger tier.

        Args:
            index: Index of the tier.
            confidence: Confidence of the response that is discarded.
        """
        self.index, self.confidence = index, confidence

    def find_sufficient_tier(
        self, confidence: float | None, gains: ConfidenceGains
    ) -> int | None:
        """Returns the tier to request a response from that is good enough.

        Args:
            confidence: Confidence that the model reported for its response,
                from 0 to 1, or None if it reported none.
            gains: Differences between the models' confidences.

        Returns:
            Index of the smallest tier that is likely to suffice; None if the
            response suffices or there is no larger tier.
        """
        if self.is_last or confidence is None:
            return None
        if self.index > 0:
            is_sufficient = confidence >= MIN_INTERMEDIATE_CONFIDENCE
            return None if is_sufficient else len(self.tiers) - 1
        if confidence >= MIN_CONFIDENCE:
            return None
        for index in range(1, len(self.tiers) - 1):
            gain = gains.estimate(self.model, self.tiers[index])
            if confidence + gain >= MIN_CONFIDENCE:
                return index
        return len(self.tiers) - 1

    def record_gain(
        self, confidence: float | None, gains: ConfidenceGains
    ) -> None:
        """Records how much a larger tier raised the confidence.

        Args:
            confidence: Confidence of its response, or None.
            gains: Differences between the models' confidences; updated.
        """
        if self.confidence is not None and confidence is not None:
            gains.record(
                self.tiers[0], self.model, self.confidence, confidence
            )

    @staticmethod
    def is_escalation_worthwhile(
        arrival: float,
        received_at: float,
        objective: float,
        wait: float = 0.0,
        median_backlog: float = 0.0,
        server_count: int = 1,
        urgency: int = 0,
    ) -> bool:
        """Returns whether an escalation is in time and the load allows it.

        Args:
            arrival: Estimated monotonic time at which the response of the
                larger tier begins.
            received_at: Monotonic time at which the request was received.
            objective: Latency objective of the route in seconds.
            wait: Backlog ahead of the attempt at the best server, in
                seconds. Servers whose backlog is long do not count: one that
                stopped responding has the longest.
            median_backlog: Median backlog of all servers in seconds.
            server_count: Number of servers.
            urgency: Rank of the route, 0 being the most urgent.
        """
        rank = min(max(urgency, 0), len(MAX_WAIT_SHARES) - 1)
        return (
            arrival < received_at + MAX_ARRIVAL_SHARE * objective
            and wait <= MAX_WAIT_SHARES[rank] * objective
            and median_backlog * math.sqrt(server_count)
            <= MAX_MEDIAN_BACKLOG_SHARES[rank] * objective
        )
