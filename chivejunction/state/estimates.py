"""Estimates of quality and cost for each version and request class.

Ratings are kept in histograms with exponential decay, so that one histogram
gives the mean, the variance and the share of responses above any target. The
argument ``now`` is the monotonic time in seconds.
"""

import collections
import dataclasses
import math
import random
import statistics

from chivejunction.protocol import resources

BIN_COUNT = 101
HALF_LIFE_SECONDS = 6 * 3600.0
# Histograms are not decayed more often: the decay in this time is below 0.2%.
DECAY_INTERVAL_SECONDS = 60.0
# Number of ratings that the quality declared by operators counts as. It is
# fixed, so that a wrong declaration cannot outweigh many ratings.
PRIOR_WEIGHT = 20.0
# Prior of a version without a declared quality.
DEFAULT_PRIOR_QUALITY = 0.5
DEFAULT_PRIOR_WEIGHT = 2.0
# Ratings of an organisation at which their mean has half of the weight.
SHRINKAGE_WEIGHT = 50.0
# Standard deviation of a rating under the prior, used where there are too few
# ratings to measure it.
PRIOR_DEVIATION = 0.25
CONFIDENCE_Z = 1.64
# Quality by which an unrated response counts as worse in lower bounds.
# Only missing ratings above the typical share count: ratings that are missing
# for all versions alike shift the rater's offset instead.
MISSING_DISCOUNT = 0.2
# A single version must not determine the rater's offset, as its own quality
# may have dropped.
MIN_OFFSET_HISTOGRAMS = 3
MIN_OFFSET_RATINGS = 10.0
OFFSET_SHRINKAGE = 0.9
MAX_OFFSET = 0.2
MAX_ORGANISATION_HISTOGRAMS = 20_000
# Estimates change little in this time. Bad versions are detected by the test
# of their rollout, not here.
CACHE_TTL_SECONDS = 5.0
# Prompt and completion tokens.
DEFAULT_TOKEN_COUNTS = (200.0, 200.0)
# Weight of a new response in the moving average of token counts.
SMOOTHING_FACTOR = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Quality:
    """Estimated quality of the responses of a version.

    Attributes:
        mean: Expected quality, 0 to 1.
        lower: Lower confidence bound of the mean.
        upper: Upper confidence bound of the mean.
        weight: Number of ratings in the estimate, after decay and without the
            prior.
        passing: Share of responses whose quality reaches the target.
        passing_lower: Lower confidence bound of this share.
        passing_quality: Mean quality of these responses.
    """

    mean: float
    lower: float
    upper: float
    weight: float
    passing: float
    passing_lower: float
    passing_quality: float


class RatingHistogram:
    """Histogram of ratings with exponential decay.

    Args:
        now: Monotonic time in seconds.

    Attributes:
        counts: Decayed number of ratings by bin.
        weight: Decayed number of ratings.
        total: Decayed sum of the ratings.
        squares: Decayed sum of their squares.
        missing: Decayed number of missing ratings.
        updated: Monotonic time in seconds of the last decay.
    """

    __slots__ = ('counts', 'missing', 'squares', 'total', 'updated', 'weight')

    def __init__(self, now: float):
        self.counts = [0.0] * BIN_COUNT
        self.weight = self.total = self.squares = 0.0
        self.missing = 0.0
        self.updated = now

    def decay(self, now: float) -> None:
        """Decays all counts and sums to the time ``now``."""
        if now <= self.updated + DECAY_INTERVAL_SECONDS:
            return
        factor = 0.5 ** ((now - self.updated) / HALF_LIFE_SECONDS)
        self.counts = [count * factor for count in self.counts]
        self.weight *= factor
        self.total *= factor
        self.squares *= factor
        self.missing *= factor
        self.updated = now

    def add(self, rating: float) -> None:
        """Adds a rating, divided between the two nearest bins."""
        rating = min(max(rating, 0.0), 1.0)
        position = rating * (BIN_COUNT - 1)
        low = min(int(position), BIN_COUNT - 2)
        fraction = position - low
        self.counts[low] += 1 - fraction
        self.counts[low + 1] += fraction
        self.weight += 1
        self.total += rating
        self.squares += rating * rating

    def summarise(self) -> tuple[float, float, float]:
        """Returns the weight, mean and variance of the ratings."""
        if not self.weight:
            return 0.0, 0.0, 0.0
        mean = self.total / self.weight
        variance = self.squares / self.weight - mean * mean
        return self.weight, mean, max(0.0, variance)


def find_prior(
    version: resources.ModelVersion, request_class: str
) -> tuple[float, float]:
    """Returns the quality declared by operators, and its weight in ratings.

    A class without a declared quality gets the mean of the declared classes
    at half the weight.
    """
    if request_class in version.quality:
        return version.quality[request_class], PRIOR_WEIGHT
    if version.quality:
        return statistics.fmean(version.quality.values()), PRIOR_WEIGHT / 2
    return DEFAULT_PRIOR_QUALITY, DEFAULT_PRIOR_WEIGHT


def estimate_quality(
    prior: tuple[float, float],
    histogram: RatingHistogram | None,
    organisation_histogram: RatingHistogram | None,
    offset: float,
    target: float,
    typical_missing_share: float = 0.0,
) -> Quality:
    """Combines the prior, the ratings of a class and of an organisation.

    Args:
        prior: Expected quality and its weight in ratings.
        histogram: Ratings of the version in the request class, of all
            organisations.
        organisation_histogram: Those of them that are of the organisation.
        offset: Typical difference of ratings from the true quality.
        target: Quality that a response has to reach.
        typical_missing_share: Typical share of missing ratings, of all
            versions.
    """
    prior_quality, prior_weight = prior
    weight, mean, variance = (
        histogram.summarise() if histogram else (0.0, 0.0, 0.0)
    )
    total_weight = weight + prior_weight
    pooled_mean = (
        weight * (mean - offset) + prior_weight * prior_quality
    ) / total_weight
    pooled_variance = (
        weight * variance + prior_weight * PRIOR_DEVIATION**2
    ) / total_weight + weight * prior_weight * (
        mean - offset - prior_quality
    ) ** 2 / total_weight**2
    effective_weight = total_weight
    estimated_mean = pooled_mean
    if organisation_histogram is not None:
        organisation_weight, organisation_mean, _ = (
            organisation_histogram.summarise()
        )
        share = organisation_weight / (organisation_weight + SHRINKAGE_WEIGHT)
        estimated_mean = (1 - share) * pooled_mean + share * (
            organisation_mean - offset
        )
        # The two parts count as independent, so their variances add up.
        effective_weight = 1 / (
            (1 - share) ** 2 / total_weight
            + (
                share * share / organisation_weight
                if organisation_weight
                else 0.0
            )
        )
    estimated_mean = min(max(estimated_mean, 0.0), 1.0)
    radius = CONFIDENCE_Z * math.sqrt(pooled_variance / effective_weight)
    extra_missing = (
        compute_missing_share(histogram, weight + prior_weight)
        - typical_missing_share
    )
    passing, passing_quality = _estimate_passing(
        histogram,
        weight,
        estimated_mean,
        pooled_variance,
        offset,
        target,
        prior_weight,
    )
    return Quality(
        mean=estimated_mean,
        lower=max(
            0.0,
            estimated_mean
            - radius
            - MISSING_DISCOUNT * max(0.0, extra_missing),
        ),
        upper=min(1.0, estimated_mean + radius),
        weight=weight,
        passing=passing,
        passing_lower=max(
            0.0,
            passing
            - CONFIDENCE_Z * math.sqrt(passing * (1 - passing) / total_weight),
        ),
        passing_quality=passing_quality,
    )


def compute_missing_share(
    histogram: RatingHistogram | None, weight: float
) -> float:
    """Returns the share of ratings that are missing, 0 to 1.

    Args:
        histogram: Ratings, or None.
        weight: Weight of the ratings that are not missing.
    """
    if histogram is None or not histogram.missing:
        return 0.0
    return histogram.missing / (weight + histogram.missing)


def _estimate_passing(
    histogram,
    weight,
    estimated_mean,
    pooled_variance,
    offset,
    target,
    prior_weight,
) -> tuple[float, float]:
    """Returns the share of responses that reach the target, and their quality.

    The counts of the histogram are combined with a normal distribution, which
    has the weight of the prior.
    """
    deviation = max(math.sqrt(pooled_variance), 1e-3)
    z = (target - estimated_mean) / deviation
    expected_share = 0.5 * math.erfc(z / math.sqrt(2))
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    passing_quality = estimated_mean + deviation * density / max(
        expected_share, 1e-6
    )
    passing_quality = min(max(passing_quality, target), 1.0)
    if not weight:
        return expected_share, passing_quality
    scale = BIN_COUNT - 1
    position = min(max((target + offset) * scale, 0.0), float(scale))
    start = int(position + 0.5)
    # A bin holds ratings from both sides of its centre, so only a part of the
    # first one may be above the target.
    passing_counts = histogram.counts[start:]
    passing_counts[0] *= min(max(start + 0.5 - position, 0.0), 1.0)
    count = sum(passing_counts)
    if count > 0:
        mean = sum((start + i) * c for i, c in enumerate(passing_counts))
        mean = mean / scale / count - offset
        measured = min(max(mean, target), 1.0)
        passing_quality = (
            count * measured + prior_weight * expected_share * passing_quality
        ) / (count + prior_weight * expected_share)
    share = (count + prior_weight * expected_share) / (weight + prior_weight)
    return min(share, 1.0), passing_quality


class QualityEstimates:
    """Quality of each version by request class and organisation.

    The estimate for an organisation depends only on its own ratings and on
    those of all organisations together. Above MAX_ORGANISATION_HISTOGRAMS,
    the least recently updated histogram of an organisation is evicted.
    """

    def __init__(self):
        self._histograms: dict[tuple[str, str], RatingHistogram] = {}
        self._organisation_histograms: collections.OrderedDict[
            tuple[str, str, str], RatingHistogram
        ] = collections.OrderedDict()
        self._offset = 0.0
        self._typical_missing_share = 0.0
        self._cache: dict[tuple, tuple[float, Quality]] = {}

    def add_rating(
        self,
        version: str,
        request_class: str,
        organisation: str,
        rating: float,
        now: float,
    ) -> None:
        """Adds a rating from 0 to 1, not corrected for the offset."""
        for histogram in self._get_histograms(
            version, request_class, organisation, now
        ):
            histogram.add(rating)

    def add_missing(
        self, version: str, request_class: str, organisation: str, now: float
    ) -> None:
        """Counts the rating of a response as missing."""
        for histogram in self._get_histograms(
            version, request_class, organisation, now
        ):
            histogram.missing += 1

    def remove_missing(
        self, version: str, request_class: str, organisation: str, now: float
    ) -> None:
        """Removes a missing rating that arrived late."""
        for histogram in self._get_histograms(
            version, request_class, organisation, now
        ):
            histogram.missing = max(0.0, histogram.missing - 1)

    def _get_histograms(self, version, request_class, organisation, now):
        """Returns the decayed histograms of the class and organisation.

        Missing ones are created.
        """
        key = (version, request_class)
        organisation_key = (version, request_class, organisation)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = RatingHistogram(now)
        organisation_histogram = self._organisation_histograms.get(
            organisation_key
        )
        if organisation_histogram is None:
            organisation_histogram = self._organisation_histograms[
                organisation_key
            ] = RatingHistogram(now)
        self._organisation_histograms.move_to_end(organisation_key)
        if len(self._organisation_histograms) > MAX_ORGANISATION_HISTOGRAMS:
            self._organisation_histograms.popitem(last=False)
        histogram.decay(now)
        organisation_histogram.decay(now)
        return histogram, organisation_histogram

    def estimate(
        self,
        version: resources.ModelVersion,
        request_class: str,
        organisation: str,
        target: float,
        now: float,
    ) -> Quality:
        """Returns the estimated quality of a version for a request.

        Results are cached for about CACHE_TTL_SECONDS.

        Args:
            version: The version.
            request_class: Class of the request.
            organisation: Organisation of the request.
            target: Quality that the response has to reach.
            now: Monotonic time in seconds.
        """
        key = (version.name, request_class, organisation, target)
        cached = self._cache.get(key)
        if cached is not None and cached[0] > now:
            return cached[1]
        if len(self._cache) > 4 * MAX_ORGANISATION_HISTOGRAMS:
            self._cache.clear()
        histogram = self._histograms.get(key[:2])
        organisation_histogram = self._organisation_histograms.get(key[:3])
        for item in (histogram, organisation_histogram):
            if item is not None:
                item.decay(now)
        quality = estimate_quality(
            find_prior(version, request_class),
            histogram,
            organisation_histogram,
            self._offset,
            target,
            self._typical_missing_share,
        )
        # Expiry times are randomised, so that no single decision has to
        # compute all estimates.
        expiry = now + CACHE_TTL_SECONDS * (0.5 + random.random())
        self._cache[key] = (expiry, quality)
        return quality

    @property
    def offset(self) -> float:
        """Estimated typical difference of ratings from the true quality."""
        return self._offset

    def update_offset(
        self,
        versions: dict[str, resources.ModelVersion],
        untrusted: frozenset[str] = frozenset(),
    ) -> None:
        """Updates the rater's offset and the typical share of missing ratings.

        The offset is the median difference between ratings and the declared
        quality, over versions and classes, shrunk and limited to MAX_OFFSET.
        The median keeps a version whose quality has dropped from shifting the
        estimates of the others.

        Args:
            versions: Versions of the configuration.
            untrusted: Versions to leave out, such as those that a rollout
                introduces.
        """
        residuals = []
        missing_shares = []
        for (name, request_class), histogram in self._histograms.items():
            version = versions.get(name)
            if version is None or name in untrusted:
                continue
            weight, mean, _ = histogram.summarise()
            if weight < MIN_OFFSET_RATINGS:
                continue
            missing_shares.append(compute_missing_share(histogram, weight))
            if request_class in version.quality:
                residuals.append(mean - version.quality[request_class])
        self._typical_missing_share = (
            statistics.median(missing_shares)
            if len(missing_shares) >= MIN_OFFSET_HISTOGRAMS
            else 0.0
        )
        if len(residuals) < MIN_OFFSET_HISTOGRAMS:
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
        """Adds the token counts of a response to the moving average."""
        mean = self._tokens.get((version, request_class), DEFAULT_TOKEN_COUNTS)
        counts = (
            usage.get('prompt_tokens', mean[0]),
            usage.get('completion_tokens', mean[1]),
        )
        self._tokens[version, request_class] = (
            mean[0] + SMOOTHING_FACTOR * (counts[0] - mean[0]),
            mean[1] + SMOOTHING_FACTOR * (counts[1] - mean[1]),
        )

    def estimate(
        self, version: resources.ModelVersion, request_class: str
    ) -> float:
        """Returns the expected cost of a response in cost units."""
        tokens = self._tokens.get((version.name, request_class))
        prompt, completion = tokens or DEFAULT_TOKEN_COUNTS
        return (
            prompt * version.input_cost + completion * version.output_cost
        ) / 1000


def compute_cost(
    version: resources.ModelVersion, usage: dict[str, int]
) -> float:
    """Returns the cost of a response in cost units.

    Args:
        version: Version that made the response.
        usage: Token counts by name.
    """
    return (
        usage.get('prompt_tokens', 0) * version.input_cost
        + usage.get('completion_tokens', 0) * version.output_cost
    ) / 1000
