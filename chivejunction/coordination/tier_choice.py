"""Choice of the model tier of a forwarded request, and of escalation.

The smallest tier answers first; its answer is dropped for a larger tier
while none of it was passed on, if the model itself has little confidence in
it. That pays while the larger tier has time left to answer.
"""

import dataclasses

# Confidence below which an answer is asked for again from a larger tier.
ESCALATION_CONFIDENCE = 0.6
# Part of the objective after which a larger tier would be late for sure.
LATEST_SHARE = 1.0
# Mean work that waits at the servers, in parts of the objective, beyond which
# the answer at hand stays, by the rank of the route (0 is first; the last one
# holds for all further ranks). A larger tier takes ten times the time of the
# engines; when that runs short, it goes to the more urgent routes.
BUSY_SHARES = (1.0, 0.25, 0.2)


@dataclasses.dataclass(slots=True)
class TierChoice:
    """Tiers of one request.

    Attributes:
        tiers: Models that may answer, the smallest first.
        index: Tier in use.
    """

    tiers: tuple[str, ...]
    index: int = 0

    @classmethod
    def start(cls, tiers: tuple[str, ...], may_repeat: bool) -> 'TierChoice':
        """Returns the first choice for a request.

        Args:
            tiers: Models that may answer, the smallest first.
            may_repeat: Whether the request may run again. Otherwise the
                first answer is the last, so the largest model makes it.
        """
        index = 0 if may_repeat or not tiers else len(tiers) - 1
        return cls(tiers, index)

    @property
    def model(self) -> str:
        """Model of the tier in use, empty without tiers."""
        return self.tiers[self.index] if self.tiers else ''

    @property
    def is_last(self) -> bool:
        """Tells whether there is no larger tier."""
        return self.index >= len(self.tiers) - 1

    def escalate(self) -> None:
        """Moves on to the largest tier.

        The tiers between cost nearly as much time and seldom suffice where
        the smallest one did not.
        """
        self.index = len(self.tiers) - 1

    @property
    def largest(self) -> str:
        """Model of the largest tier, empty without tiers."""
        return self.tiers[-1] if self.tiers else ''

    def wants_more(self, confidence: float | None) -> bool:
        """Tells whether an answer is likely to be too poor.

        Args:
            confidence: The model's opinion of its answer, 0 to 1, or None.
        """
        if self.is_last or confidence is None:
            return False
        return confidence < ESCALATION_CONFIDENCE

    @staticmethod
    def is_worth(
        arrival: float,
        received_at: float,
        objective: float,
        busy_seconds: float = 0.0,
        rank: int = 0,
    ) -> bool:
        """Tells whether a larger tier is worth its time.

        Args:
            arrival: Monotonic time at which its answer would begin.
            received_at: Monotonic time of the request.
            objective: Seconds within which an answer is on time.
            busy_seconds: Mean work that waits at the servers.
            rank: Rank of the route, 0 is first.
        """
        share = BUSY_SHARES[min(max(rank, 0), len(BUSY_SHARES) - 1)]
        return (
            arrival < received_at + LATEST_SHARE * objective
            and busy_seconds <= share * objective
        )
