"""Compares cost at the quality target with baselines and an oracle.

The routing classes of a gateway run in this process on a simulated clock.
Only the oracle and the rating simulator know the true quality of versions.
Prints one JSON object; costs are in cost units per request.
"""

import collections
import dataclasses
import itertools
import json
import random
import statistics

import fire

from chivejunction.coordination import ratings
from chivejunction.coordination import routing
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views
from fakes import ratings as rating_service

REQUEST_CLASSES = ('faq', 'order', 'advice', 'translate')
ORGANISATIONS = 10
VERSIONS = 9
REQUESTS_PER_SECOND = 34
OFFSET_UPDATE_REQUESTS = 340
QUALITY_TARGET = 0.8
CHECK_COST = 0.05
RATING_BIAS = -0.06
RATING_DELAY_SECONDS = 30.0
MISSING_SHARE = 0.2


@dataclasses.dataclass
class Scenario:
    """True qualities by version and class, and the declared configuration."""

    quality: dict[tuple[str, str], float]
    view: views.ConfigView


def make_scenario(rng: random.Random, prior_error: float) -> Scenario:
    """Returns nine versions; more expensive ones tend to be better.

    Args:
        rng: Random generator.
        prior_error: Standard deviation of the declared qualities from the
            true ones.
    """
    quality = {}
    versions = {}
    for i in range(VERSIONS):
        name = f'v{i}'
        for request_class in REQUEST_CLASSES:
            value = 0.58 + 0.042 * i + rng.gauss(0, 0.05)
            quality[name, request_class] = min(max(value, 0.05), 0.97)
        cost = 1.4**i
        versions[name] = {
            'name': name,
            'model': f'm{i % 3}',
            'pool': 'p',
            'input_cost': cost,
            'output_cost': 2 * cost,
            'quality': {
                c: min(
                    max(quality[name, c] + rng.gauss(0, prior_error), 0.0), 1.0
                )
                for c in REQUEST_CLASSES
            },
        }
    organisations = {
        f'o{i}': {'name': f'o{i}', 'models': ['m0', 'm1', 'm2']}
        for i in range(ORGANISATIONS)
    }
    view = views.ConfigView()
    view.apply(
        resources.Document(
            revision=1,
            resources={
                'modelversion': versions,
                'organisation': organisations,
            },
        )
    )
    return Scenario(quality, view)


class CheckStatistics:
    """Smoothed share of checks that end in time, as a gateway measures it."""

    cost = CHECK_COST

    def __init__(self):
        self.success_share = 1.0

    def estimate_success(self, now: float) -> float:
        """Returns the smoothed share of checks that ended in time."""
        return self.success_share

    def record_outcome(self, succeeded: bool) -> None:
        """Updates the share with the outcome of a check."""
        self.success_share += ratings.SUCCESS_SMOOTHING_FACTOR * (
            succeeded - self.success_share
        )


class RatingSimulator:
    """Rating service with faults, on the simulated clock.

    Args:
        rng: Random generator.
        bias: Value added to each rating.
        missing: Share of ratings that are never delivered.
        late: Share of ratings that arrive RATING_DELAY_SECONDS late.
    """

    def __init__(
        self,
        rng: random.Random,
        bias: float,
        missing_share: float,
        delayed_share: float,
    ):
        self._rng = rng
        self._bias = bias
        self._missing_share = missing_share
        self._delayed_share = delayed_share
        self.delayed_ratings: collections.deque = collections.deque()

    def rate(self, quality: float, entry: tuple, now: float) -> float | None:
        """Returns the rating of a response, or None if delayed or missing.

        Args:
            quality: True quality of the response.
            entry: Request id and version, kept with a delayed rating.
            now: Simulated time in seconds.
        """
        if self._rng.random() < self._missing_share:
            return None
        rating = min(max(quality + self._bias, 0.0), 1.0)
        if self._rng.random() < self._delayed_share:
            self.delayed_ratings.append(
                (now + RATING_DELAY_SECONDS, entry, rating)
            )
            return None
        return rating


def make_call(rng: random.Random, number: int) -> calls.Call:
    """Returns a request of a random organisation and request class."""
    return calls.Call(
        id=str(number),
        organisation=f'o{rng.randrange(ORGANISATIONS)}',
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        deadline=1e12,
        model='auto',
        request_class=rng.choice(REQUEST_CLASSES),
        quality_target=QUALITY_TARGET,
    )


def make_true_candidates(scenario: Scenario, request_class: str) -> list:
    """Returns candidates whose quality estimate is the true quality."""
    candidates = []
    costs = estimates.CostEstimates()
    rng = random.Random(0)
    for version in scenario.view.versions.values():
        quality = scenario.quality[version.name, request_class]
        samples = [
            rating_service.sample_quality(rng, quality) for _ in range(4000)
        ]
        passing_samples = [
            sample for sample in samples if sample >= QUALITY_TARGET
        ]
        candidates.append(
            routing.Candidate(
                version.name,
                costs.estimate(version, request_class),
                estimates.Quality(
                    quality,
                    quality,
                    quality,
                    0.0,
                    len(passing_samples) / len(samples),
                    len(passing_samples) / len(samples),
                    statistics.fmean(passing_samples)
                    if passing_samples
                    else QUALITY_TARGET,
                ),
            )
        )
    return candidates


def find_oracle_plan(candidates: list) -> tuple[list[str], float]:
    """Returns the cheapest plan that meets the target, and its cost.

    Unlike the router it searches all orders of up to MAX_STEPS versions. If
    no plan meets the target, it returns the best version alone.
    """
    best = None
    for length in range(1, routing.MAX_STEPS + 1):
        for steps in itertools.permutations(candidates, length):
            cost = steps[-1].cost
            quality = steps[-1].quality.mean
            for step in reversed(steps[:-1]):
                passing = step.quality.passing
                cost = step.cost + CHECK_COST + (1 - passing) * cost
                quality = (
                    passing * step.quality.passing_quality
                    + (1 - passing) * quality
                )
            if quality >= QUALITY_TARGET and (best is None or cost < best[1]):
                best = ([step.version for step in steps], cost)
    if best is None:
        last = max(candidates, key=lambda c: c.quality.mean)
        best = ([last.version], last.cost)
    return best


@dataclasses.dataclass
class PolicyTotals:
    """Totals over the requests of one policy."""

    cost: float = 0.0
    quality: float = 0.0
    count: int = 0
    by_class: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def add(self, request_class: str, cost: float, quality: float) -> None:
        """Adds the cost and quality of a request."""
        self.cost += cost
        self.quality += quality
        self.count += 1
        self.by_class[request_class].append(quality)

    def summarise(self) -> dict:
        """Returns mean cost and quality, and mean quality by class."""
        return {
            'cost': round(self.cost / self.count, 4),
            'quality': round(self.quality / self.count, 4),
            'quality_by_class': {
                name: round(statistics.fmean(values), 4)
                for name, values in sorted(self.by_class.items())
            },
        }


def run_plan(rng, scenario, call, steps, target, rate):
    """Runs the steps of a plan until a response passes its check.

    Args:
        rng: Random generator of the true qualities.
        scenario: Versions and their true qualities.
        call: The request.
        steps: Names of the versions in order.
        target: Unused.
        rate: Returns whether a response passes, given the version, the
            quality and whether the step is the last.

    Returns:
        Total cost, and true quality of the response that the caller gets.
    """
    costs = estimates.CostEstimates()
    cost = 0.0
    for i, name in enumerate(steps):
        cost += costs.estimate(
            scenario.view.versions[name], call.request_class
        )
        quality = rating_service.sample_quality(
            rng, scenario.quality[name, call.request_class]
        )
        is_last = i == len(steps) - 1
        if not is_last:
            cost += CHECK_COST
        if rate(name, quality, is_last) or is_last:
            break
    return cost, quality


def run_fixed(
    scenario: Scenario, count: int, seed: int, steps_by_class: dict
) -> PolicyTotals:
    """Runs fixed steps for each class, with exact and immediate ratings."""
    rng = random.Random(seed)
    result = PolicyTotals()
    for i in range(count):
        call = make_call(rng, i)
        steps = steps_by_class[call.request_class]
        cost, quality = run_plan(
            rng,
            scenario,
            call,
            steps,
            QUALITY_TARGET,
            lambda name, quality, is_last: quality >= QUALITY_TARGET,
        )
        result.add(call.request_class, cost, quality)
    return result


def run_router(
    scenario: Scenario, count: int, seed: int, has_faulty_ratings: bool
) -> tuple[PolicyTotals, PolicyTotals]:
    """Runs the router; returns totals of the run and of its second half."""
    rng = random.Random(seed)
    # The router draws from the global random generator.
    random.seed(seed)
    qualities = estimates.QualityEstimates()
    tracker = ratings.RatingTracker(qualities)
    checks = CheckStatistics()
    router = routing.Router(scenario.view, qualities, checks=checks)
    rating_simulator = RatingSimulator(
        random.Random(seed + 1),
        RATING_BIAS if has_faulty_ratings else 0.0,
        MISSING_SHARE if has_faulty_ratings else 0.0,
        0.1 if has_faulty_ratings else 0.0,
    )
    whole, second_half = PolicyTotals(), PolicyTotals()
    for i in range(count):
        now = i / REQUESTS_PER_SECOND
        while (
            rating_simulator.delayed_ratings
            and rating_simulator.delayed_ratings[0][0] <= now
        ):
            _, entry, rating = rating_simulator.delayed_ratings.popleft()
            tracker.record_rating(*entry, rating, now)
        if i % OFFSET_UPDATE_REQUESTS == 0:
            tracker.expire(now)
            qualities.update_offset(scenario.view.versions)
        call = make_call(rng, i)
        plan = router.plan(call, now)

        def rate(
            name, quality, is_last, call=call, plan=plan, now=now
        ) -> bool:
            tracker.add_outstanding(
                ratings.RatedResponse(
                    call.id, name, call.request_class, call.organisation, b''
                ),
                now,
            )
            rating = rating_simulator.rate(quality, (call.id, name), now)
            if not is_last:
                checks.record_outcome(rating is not None)
            if rating is not None:
                tracker.record_rating(call.id, name, rating, now)
                return rating - qualities.offset >= plan.target
            estimate = qualities.estimate(
                scenario.view.versions[name],
                call.request_class,
                call.organisation,
                plan.target,
                now,
            )
            return estimate.lower >= plan.target

        cost, quality = run_plan(
            rng, scenario, call, plan.steps, QUALITY_TARGET, rate
        )
        whole.add(call.request_class, cost, quality)
        if i >= count // 2:
            second_half.add(call.request_class, cost, quality)
    return whole, second_half


def run(count: int = 60_000, seed: int = 1, prior_error: float = 0.04) -> str:
    """Compares the router with baselines and the oracle.

    Args:
        count: Number of requests, at 34 per simulated second.
        seed: Seed of the true qualities and of all responses.
        prior_error: Standard deviation of the declared qualities from the
            true ones.
    """
    scenario = make_scenario(random.Random(seed), prior_error)
    best_steps = {}
    oracle_plans = {}
    expected_costs = {}
    for name in REQUEST_CLASSES:
        candidates = make_true_candidates(scenario, name)
        best_steps[name] = [
            max(candidates, key=lambda c: c.quality.mean).version
        ]
        oracle_plans[name], expected_costs[name] = find_oracle_plan(candidates)
    fixed_steps = dict.fromkeys(REQUEST_CLASSES, ['v0', 'v4', 'v8'])
    results = {
        'always_best': run_fixed(scenario, count, seed, best_steps),
        'fixed_cascade': run_fixed(scenario, count, seed, fixed_steps),
        'oracle': run_fixed(scenario, count, seed, oracle_plans),
    }
    for name, has_faulty_ratings in (
        ('router', False),
        ('router_faulty_ratings', True),
    ):
        whole, second_half = run_router(
            scenario, count, seed, has_faulty_ratings
        )
        results[name] = whole
        results[f'{name}_second_half'] = second_half
    oracle_cost = results['oracle'].cost / results['oracle'].count
    summaries = {}
    for name, result in results.items():
        summaries[name] = result.summarise()
        summaries[name]['cost_to_oracle'] = round(
            result.cost / result.count / oracle_cost, 4
        )
    return json.dumps(
        {
            'target': QUALITY_TARGET,
            'requests': count,
            'seed': seed,
            'prior_error': prior_error,
            'check_cost': CHECK_COST,
            'faults': {
                'bias': RATING_BIAS,
                'missing': MISSING_SHARE,
                'late_share': 0.1,
                'late_seconds': RATING_DELAY_SECONDS,
            },
            'oracle_steps': oracle_plans,
            'oracle_expected_cost': expected_costs,
            'results': summaries,
        },
        indent=1,
    )


if __name__ == '__main__':
    fire.Fire(run)
