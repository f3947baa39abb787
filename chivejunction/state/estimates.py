"""Estimates of quality and cost for each version and request class.

Ratings are kept as histograms with exponential decay, so that one record
gives the mean, the variance and the share of answers above any target. All
functions take the time as an argument, in monotonic seconds.
"""

import collections
import dataclasses
import math
import random
import statistics

from chivejunction.protocol import resources

BINS = 101
HALF_LIFE_SECONDS = 6 * 3600.0
# Decay within a step is below 0.2% and not worth its time.
DECAY_STEP_SECONDS = 60.0
# The operators' prior counts as this many ratings, whatever they claim.
PRIOR_WEIGHT = 20.0
UNKNOWN_QUALITY = 0.5
UNKNOWN_WEIGHT = 2.0
# Ratings of an organisation at which its own mean has half of the weight.
SHRINKAGE_WEIGHT = 50.0
# Standard deviation of one rating where too few are known to measure it.
PRIOR_DEVIATION = 0.25
CONFIDENCE_Z = 1.64
# How much worse an answer without a rating is taken to be in lower bounds. It
# applies to the share above the usual one: what goes missing of all versions
# alike moves the rater's offset instead.
MISSING_DISCOUNT = 0.2
# One version alone never moves the estimate of the rater's offset: it may
# have turned bad itself.
MIN_OFFSET_CELLS = 3
MIN_OFFSET_RATINGS = 10.0
OFFSET_SHRINKAGE = 0.9
MAX_OFFSET = 0.2
MAX_ORGANISATION_CELLS = 20_000
# Ratings move an estimate little in this time; a bad version is found by the
# test of its rollout, not here.
CACHE_SECONDS = 5.0
DEFAULT_TOKENS = (200.0, 200.0)
TOKEN_STEP = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Quality:
    """Estimated quality of the answers of a version.

    Attributes:
        mean: Expected quality, 0 to 1.
        lower: Lower confidence bound of the mean.
        upper: Upper confidence bound of the mean.
        weight: Ratings behind the estimate after decay, without the prior.
        passing: Share of answers whose rating reaches the target.
        passing_lower: Lower confidence bound of this share.
        passing_quality: Mean quality of these answers.
    """

    mean: float
    lower: float
    upper: float
    weight: float
    passing: float
    passing_lower: float
    passing_quality: float


class Cell:
    """Decayed histogram of ratings, with the weight of missing ones."""

    __slots__ = ('counts', 'missing', 'squares', 'total', 'updated', 'weight')

    def __init__(self, now: float):
        self.counts = [0.0] * BINS
        self.weight = self.total = self.squares = 0.0
        self.missing = 0.0
        self.updated = now

    def decay(self, now: float) -> None:
        """Reduces all weights to their value at a time."""
        if now <= self.updated + DECAY_STEP_SECONDS:
            return
        factor = 0.5 ** ((now - self.updated) / HALF_LIFE_SECONDS)
        self.counts = [count * factor for count in self.counts]
        self.weight *= factor
        self.total *= factor
        self.squares *= factor
        self.missing *= factor
        self.updated = now

    def add(self, rating: float) -> None:
        """Adds a rating, split over the two bins around it."""
        rating = min(max(rating, 0.0), 1.0)
        position = rating * (BINS - 1)
        low = min(int(position), BINS - 2)
        part = position - low
        self.counts[low] += 1 - part
        self.counts[low + 1] += part
        self.weight += 1
        self.total += rating
        self.squares += rating * rating

    def summarise(self) -> tuple[float, float, float]:
        """Returns weight, mean and variance of the ratings."""
        if not self.weight:
            return 0.0, 0.0, 0.0
        mean = self.total / self.weight
        variance = self.squares / self.weight - mean * mean
        return self.weight, mean, max(0.0, variance)


def find_prior(
    version: resources.ModelVersion, request_class: str
) -> tuple[float, float]:
    """Returns the quality that operators expect, and its weight.

    A class without an entry gets the mean of the declared classes at half
    the weight.
    """
    if request_class in version.quality:
        return version.quality[request_class], PRIOR_WEIGHT
    if version.quality:
        return statistics.fmean(version.quality.values()), PRIOR_WEIGHT / 2
    return UNKNOWN_QUALITY, UNKNOWN_WEIGHT


def estimate_quality(
    prior: tuple[float, float],
    cell: Cell | None,
    own: Cell | None,
    offset: float,
    target: float,
    usual_missing: float = 0.0,
) -> Quality:
    """Combines prior, ratings of a class and those of an organisation.

    Args:
        prior: Expected quality and its weight in ratings.
        cell: Ratings of the version in the request class, of all
            organisations.
        own: The part of them that comes from the organisation.
        offset: What the rater adds to the true quality.
        target: Quality that an answer has to reach.
        usual_missing: Share of ratings that are missing of most versions.
    """
    base, base_weight = prior
    weight, mean, variance = cell.summarise() if cell else (0.0, 0.0, 0.0)
    total = weight + base_weight
    pooled = (weight * (mean - offset) + base_weight * base) / total
    spread = (
        weight * variance + base_weight * PRIOR_DEVIATION**2
    ) / total + weight * base_weight * (mean - offset - base) ** 2 / total**2
    effective = total
    centre = pooled
    if own is not None:
        own_weight, own_mean, _ = own.summarise()
        share = own_weight / (own_weight + SHRINKAGE_WEIGHT)
        centre = (1 - share) * pooled + share * (own_mean - offset)
        # Variances of the two independent parts add up.
        effective = 1 / (
            (1 - share) ** 2 / total
            + (share * share / own_weight if own_weight else 0.0)
        )
    centre = min(max(centre, 0.0), 1.0)
    radius = CONFIDENCE_Z * math.sqrt(spread / effective)
    missing = find_missing(cell, weight + base_weight) - usual_missing
    passing, passing_quality = _estimate_passing(
        cell, weight, centre, spread, offset, target, base_weight
    )
    return Quality(
        mean=centre,
        lower=max(0.0, centre - radius - MISSING_DISCOUNT * max(0.0, missing)),
        upper=min(1.0, centre + radius),
        weight=weight,
        passing=passing,
        passing_lower=max(
            0.0,
            passing
            - CONFIDENCE_Z * math.sqrt(passing * (1 - passing) / total),
        ),
        passing_quality=passing_quality,
    )


def find_missing(cell: Cell | None, weight: float) -> float:
    """Returns the share of ratings that are missing, 0 to 1.

    Args:
        cell: Ratings, or None.
        weight: Weight of the ratings that came.
    """
    if cell is None or not cell.missing:
        return 0.0
    return cell.missing / (weight + cell.missing)


def _estimate_passing(
    cell, weight, centre, spread, offset, target, base_weight
) -> tuple[float, float]:
    deviation = max(math.sqrt(spread), 1e-3)
    z = (target - centre) / deviation
    expected = 0.5 * math.erfc(z / math.sqrt(2))
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    level = centre + deviation * density / max(expected, 1e-6)
    level = min(max(level, target), 1.0)
    if not weight:
        return expected, level
    scale = BINS - 1
    position = min(max((target + offset) * scale, 0.0), float(scale))
    start = int(position + 0.5)
    # A bin holds ratings from both sides of its centre.
    above = cell.counts[start:]
    above[0] *= min(max(start + 0.5 - position, 0.0), 1.0)
    count = sum(above)
    if count > 0:
        seen = sum((start + i) * c for i, c in enumerate(above))
        seen = seen / scale / count - offset
        measured = min(max(seen, target), 1.0)
        level = (count * measured + base_weight * expected * level) / (
            count + base_weight * expected
        )
    share = (count + base_weight * expected) / (weight + base_weight)
    return min(share, 1.0), level


class QualityEstimates:
    """Quality of each version by request class and organisation.

    Organisations see only numbers that follow from their own ratings and
    from the mean of all; the least recently rated cells of organisations are
    dropped above MAX_ORGANISATION_CELLS.
    """

    def __init__(self):
        self._cells: dict[tuple[str, str], Cell] = {}
        self._own: collections.OrderedDict[tuple[str, str, str], Cell] = (
            collections.OrderedDict()
        )
        self._offset = 0.0
        self._usual_missing = 0.0
        self._cache: dict[tuple, tuple[float, Quality]] = {}

    def add_rating(
        self,
        version: str,
        request_class: str,
        organisation: str,
        rating: float,
        now: float,
    ) -> None:
        """Counts a rating from 0 to 1 as the rater gave it."""
        for cell in self._touch(version, request_class, organisation, now):
            cell.add(rating)

    def add_missing(
        self, version: str, request_class: str, organisation: str, now: float
    ) -> None:
        """Counts an answer whose rating did not come in time."""
        for cell in self._touch(version, request_class, organisation, now):
            cell.missing += 1

    def remove_missing(
        self, version: str, request_class: str, organisation: str, now: float
    ) -> None:
        """Takes back a missing rating that came late after all."""
        for cell in self._touch(version, request_class, organisation, now):
            cell.missing = max(0.0, cell.missing - 1)

    def _touch(self, version, request_class, organisation, now):
        key = (version, request_class)
        own_key = (version, request_class, organisation)
        cell = self._cells.get(key)
        if cell is None:
            cell = self._cells[key] = Cell(now)
        own = self._own.get(own_key)
        if own is None:
            own = self._own[own_key] = Cell(now)
        self._own.move_to_end(own_key)
        if len(self._own) > MAX_ORGANISATION_CELLS:
            self._own.popitem(last=False)
        cell.decay(now)
        own.decay(now)
        return cell, own

    def estimate(
        self,
        version: resources.ModelVersion,
        request_class: str,
        organisation: str,
        target: float,
        now: float,
    ) -> Quality:
        """Returns the quality of a version for a request.

        Results are kept for about CACHE_SECONDS.
        """
        key = (version.name, request_class, organisation, target)
        found = self._cache.get(key)
        if found is not None and found[0] > now:
            return found[1]
        if len(self._cache) > 4 * MAX_ORGANISATION_CELLS:
            self._cache.clear()
        cell = self._cells.get(key[:2])
        own = self._own.get(key[:3])
        for item in (cell, own):
            if item is not None:
                item.decay(now)
        value = estimate_quality(
            find_prior(version, request_class),
            cell,
            own,
            self._offset,
            target,
            self._usual_missing,
        )
        # Spread, so that no single decision renews all estimates.
        until = now + CACHE_SECONDS * (0.5 + random.random())
        self._cache[key] = (until, value)
        return value

    @property
    def offset(self) -> float:
        """What the rater adds to the true quality, as last estimated."""
        return self._offset

    def update_offset(
        self,
        versions: dict[str, resources.ModelVersion],
        untrusted: frozenset[str] = frozenset(),
    ) -> None:
        """Estimates the rater's offset and the usual share of missing ones.

        The offset comes from versions with a declared quality.

        The median over versions and classes is used, so that a version that
        has turned bad does not shift the others.

        Args:
            versions: Versions of the configuration.
            untrusted: Versions that must not count, such as those that a
                rollout introduces.
        """
        residuals = []
        missing = []
        for (name, request_class), cell in self._cells.items():
            version = versions.get(name)
            if version is None or name in untrusted:
                continue
            weight, mean, _ = cell.summarise()
            if weight < MIN_OFFSET_RATINGS:
                continue
            missing.append(find_missing(cell, weight))
            if request_class in version.quality:
                residuals.append(mean - version.quality[request_class])
        self._usual_missing = (
            statistics.median(missing)
            if len(missing) >= MIN_OFFSET_CELLS
            else 0.0
        )
        if len(residuals) < MIN_OFFSET_CELLS:
            self._offset = 0.0
            return
        offset = OFFSET_SHRINKAGE * statistics.median(residuals)
        self._offset = min(max(offset, -MAX_OFFSET), MAX_OFFSET)


class CostEstimates:
    """Expected tokens of a version in a request class, from past usage."""

    def __init__(self):
        self._tokens: dict[tuple[str, str], tuple[float, float]] = {}

    def add_usage(
        self, version: str, request_class: str, usage: dict[str, int]
    ) -> None:
        """Takes over the token counts of an answer."""
        old = self._tokens.get((version, request_class), DEFAULT_TOKENS)
        new = (
            usage.get('prompt_tokens', old[0]),
            usage.get('completion_tokens', old[1]),
        )
        self._tokens[version, request_class] = (
            old[0] + TOKEN_STEP * (new[0] - old[0]),
            old[1] + TOKEN_STEP * (new[1] - old[1]),
        )

    def estimate(
        self, version: resources.ModelVersion, request_class: str
    ) -> float:
        """Returns the expected cost of an answer in cost units."""
        tokens = self._tokens.get((version.name, request_class))
        prompt, completion = tokens or DEFAULT_TOKENS
        return (
            prompt * version.input_cost + completion * version.output_cost
        ) / 1000


def compute_cost(
    version: resources.ModelVersion, usage: dict[str, int]
) -> float:
    """Returns the cost of an answer with its token counts, in cost units."""
    return (
        usage.get('prompt_tokens', 0) * version.input_cost
        + usage.get('completion_tokens', 0) * version.output_cost
    ) / 1000
