"""Estimates of quality and cost."""

import random

from chivejunction.protocol import resources
from chivejunction.state import estimates


def make_version(name='v1', quality=None, **options):
    return resources.ModelVersion(
        name=name, model='m', pool='p', quality=quality or {}, **options
    )


def add_ratings(table, version, ratings, organisation='a', now=0.0):
    for rating in ratings:
        table.add_rating(version, 'faq', organisation, rating, now)


class TestQualityEstimates:
    """Guards against estimates that one source of error dominates.

    Such sources are a wrong prior, few or old ratings, an offset of the rater
    and missing ratings.
    """

    def test_prior_counts_as_a_bounded_number_of_ratings(self):
        table = estimates.QualityEstimates()
        version = make_version(quality={'faq': 0.95})
        add_ratings(table, 'v1', [0.4] * 200)
        quality = table.estimate(version, 'faq', 'a', 0.8, 1.0)
        assert abs(quality.mean - 0.4) < 0.06
        assert quality.upper < 0.8

    def test_lower_bound_holds_for_most_samples(self):
        rng = random.Random(5)
        below = 0
        for _ in range(200):
            table = estimates.QualityEstimates()
            version = make_version(quality={'faq': 0.8})
            add_ratings(
                table, 'v1', (rng.betavariate(16, 4) for _ in range(100))
            )
            quality = table.estimate(version, 'faq', 'a', 0.8, 1.0)
            below += quality.lower <= 0.8
            assert quality.lower > 0.7
        assert below >= 180

    def test_weight_of_ratings_decays(self):
        table = estimates.QualityEstimates()
        version = make_version()
        add_ratings(table, 'v1', [0.9] * 100)
        later = 4 * estimates.HALF_LIFE_SECONDS
        add_ratings(table, 'v1', [0.3] * 50, now=later)
        quality = table.estimate(version, 'faq', 'b', 0.8, later + 1)
        assert quality.mean < 0.4

    def test_estimate_of_a_small_organisation_is_shrunk_to_its_class(self):
        table = estimates.QualityEstimates()
        version = make_version()
        add_ratings(table, 'v1', [0.9] * 500, 'large')
        add_ratings(table, 'v1', [0.1] * 3, 'tiny')
        add_ratings(table, 'v1', [0.5] * 400, 'own')
        tiny_quality = table.estimate(version, 'faq', 'tiny', 0.8, 1.0)
        own_quality = table.estimate(version, 'faq', 'own', 0.8, 1.0)
        assert tiny_quality.mean > 0.65
        assert abs(own_quality.mean - 0.5) < 0.05

    def test_offset_of_the_rater_is_corrected(self):
        table = estimates.QualityEstimates()
        versions = {
            f'v{i}': make_version(f'v{i}', {'faq': 0.6 + 0.1 * i})
            for i in range(4)
        }
        for i in range(4):
            add_ratings(table, f'v{i}', [0.45 + 0.1 * i] * 100)
        table.update_offset(versions)
        assert -0.16 < table.offset < -0.12
        quality = table.estimate(versions['v2'], 'faq', 'a', 0.75, 1.0)
        assert abs(quality.mean - 0.8) < 0.03

    def test_one_bad_version_does_not_change_the_offset(self):
        table = estimates.QualityEstimates()
        versions = {
            f'v{i}': make_version(f'v{i}', {'faq': 0.8}) for i in range(4)
        }
        for i in range(4):
            add_ratings(table, f'v{i}', [0.1 if i == 0 else 0.8] * 100)
        table.update_offset(versions)
        assert abs(table.offset) < 0.01

    def test_missing_ratings_lower_the_bound(self):
        version = make_version()
        lower = []
        for missing in (0, 200):
            table = estimates.QualityEstimates()
            add_ratings(table, 'v1', [0.85] * 100)
            for _ in range(missing):
                table.add_missing('v1', 'faq', 'a', 0.0)
            quality = table.estimate(version, 'faq', 'a', 0.8, 1.0)
            lower.append(quality.lower)
        assert lower[1] < lower[0] - 0.05

    def test_share_of_passing_responses_follows_the_ratings(self):
        table = estimates.QualityEstimates()
        add_ratings(table, 'v1', [0.9] * 300 + [0.3] * 700)
        quality = table.estimate(make_version(), 'faq', 'a', 0.8, 1.0)
        assert abs(quality.passing - 0.3) < 0.02
        assert abs(quality.passing_quality - 0.9) < 0.02

    def test_typical_share_of_missing_ratings_is_ignored(self):
        table = estimates.QualityEstimates()
        versions = {f'v{i}': make_version(f'v{i}') for i in range(4)}
        for name in versions:
            add_ratings(table, name, [0.85] * 100)
            for _ in range(200 if name == 'v0' else 50):
                table.add_missing(name, 'faq', 'a', 0.0)
        table.update_offset(versions)
        lower = {
            name: table.estimate(version, 'faq', 'a', 0.8, 1.0).lower
            for name, version in versions.items()
        }
        assert lower['v1'] > 0.81
        assert lower['v0'] < lower['v1'] - 0.05

    def test_ratings_around_the_target_are_not_all_passing(self):
        rng = random.Random(7)
        table = estimates.QualityEstimates()
        ratings = [rng.uniform(0.79, 0.81) for _ in range(4000)]
        add_ratings(table, 'v1', ratings)
        quality = table.estimate(make_version(), 'faq', 'a', 0.8, 1.0)
        assert 0.46 < quality.passing < 0.54
        assert quality.passing_lower < quality.passing - 0.01


class TestCostEstimates:
    """Guards against costs that ignore the tokens used."""

    def test_cost_follows_usage(self):
        table = estimates.CostEstimates()
        version = make_version(input_cost=1.0, output_cost=4.0)
        before = table.estimate(version, 'faq')
        usage = {'prompt_tokens': 1000, 'completion_tokens': 500}
        for _ in range(200):
            table.add_usage('v1', 'faq', usage)
        assert before == 1.0
        assert abs(table.estimate(version, 'faq') - 3.0) < 0.01
        assert estimates.compute_cost(version, usage) == 3.0
