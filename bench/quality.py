"""Cost at the quality target against baselines and an oracle.

The classes that decide at a gateway run in this process under a virtual
clock. The true quality of versions is known to the oracle and the rater
only. Prints one JSON object; costs are in cost units for one request.
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

CLASSES = ('faq', 'order', 'advice', 'translate')
ORGANISATIONS = 10
VERSIONS = 9
REQUESTS_PER_SECOND = 34
OFFSET_REQUESTS = 340
TARGET = 0.8
CHECK_COST = 0.05
BIAS = -0.06
LATE_SECONDS = 30.0
MISSING_SHARE = 0.2


@dataclasses.dataclass
class World:
    """True qualities by version and class, and the operators' view."""

    quality: dict[tuple[str, str], float]
    view: views.ConfigView


def make_world(rng: random.Random, prior_error: float) -> World:
    """Returns nine versions; dearer ones tend to be better.

    Args:
        rng: Random source.
        prior_error: Deviation of the operators' declared qualities.
    """
    quality = {}
    versions = {}
    for i in range(VERSIONS):
        name = f'v{i}'
        for request_class in CLASSES:
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
                for c in CLASSES
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
    return World(quality, view)


class Checks:
    """Share of checks that end in time, as the gateway measures it."""

    cost = CHECK_COST

    def __init__(self):
        self.success = 1.0

    def estimate_success(self, now: float) -> float:
        """Returns the measured share."""
        return self.success

    def note(self, good: bool) -> None:
        """Takes the outcome of a check over."""
        self.success += ratings.SUCCESS_SMOOTHING_FACTOR * (
            good - self.success
        )


class Rater:
    """Rating service with its faults, under the virtual clock.

    Args:
        rng: Random source.
        bias: Added to each rating.
        missing: Share of ratings that never come.
        late: Share of ratings that come after LATE_SECONDS.
    """

    def __init__(
        self, rng: random.Random, bias: float, missing: float, late: float
    ):
        self._rng = rng
        self._bias = bias
        self._missing = missing
        self._late = late
        self.queue: collections.deque = collections.deque()

    def rate(self, quality: float, entry: tuple, now: float) -> float | None:
        """Returns the rating of an answer if it comes at once."""
        if self._rng.random() < self._missing:
            return None
        rating = min(max(quality + self._bias, 0.0), 1.0)
        if self._rng.random() < self._late:
            self.queue.append((now + LATE_SECONDS, entry, rating))
            return None
        return rating


def make_call(rng: random.Random, number: int) -> calls.Call:
    """Returns a request of a random organisation and class."""
    return calls.Call(
        id=str(number),
        organisation=f'o{rng.randrange(ORGANISATIONS)}',
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        deadline=1e12,
        model='auto',
        request_class=rng.choice(CLASSES),
        quality_target=TARGET,
    )


def true_candidates(world: World, request_class: str) -> list:
    """Returns candidates with their true quality, without uncertainty."""
    found = []
    costs = estimates.CostEstimates()
    rng = random.Random(0)
    for version in world.view.versions.values():
        quality = world.quality[version.name, request_class]
        drawn = [
            rating_service.sample_quality(rng, quality) for _ in range(4000)
        ]
        passing = [x for x in drawn if x >= TARGET]
        found.append(
            routing.Candidate(
                version.name,
                costs.estimate(version, request_class),
                estimates.Quality(
                    quality,
                    quality,
                    quality,
                    0.0,
                    len(passing) / len(drawn),
                    len(passing) / len(drawn),
                    statistics.fmean(passing) if passing else TARGET,
                ),
            )
        )
    return found


def find_oracle(candidates: list) -> tuple[list[str], float]:
    """Returns the cheapest of all plans that meet the target, and its cost.

    Unlike the router it tries every order of up to MAX_STEPS versions. When
    no plan meets the target, the best version runs alone.
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
            if quality >= TARGET and (best is None or cost < best[1]):
                best = ([step.version for step in steps], cost)
    if best is None:
        last = max(candidates, key=lambda c: c.quality.mean)
        best = ([last.version], last.cost)
    return best


@dataclasses.dataclass
class Result:
    """Sums over the requests of one policy."""

    cost: float = 0.0
    quality: float = 0.0
    count: int = 0
    by_class: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def add(self, request_class: str, cost: float, quality: float) -> None:
        """Adds a request."""
        self.cost += cost
        self.quality += quality
        self.count += 1
        self.by_class[request_class].append(quality)

    def describe(self) -> dict:
        """Returns means, and the mean quality of each class."""
        return {
            'cost': round(self.cost / self.count, 4),
            'quality': round(self.quality / self.count, 4),
            'quality_by_class': {
                name: round(statistics.fmean(values), 4)
                for name, values in sorted(self.by_class.items())
            },
        }


def run_steps(rng, world, call, steps, target, rate):
    """Returns cost and true quality of the answer that the caller gets."""
    costs = estimates.CostEstimates()
    cost = 0.0
    for i, name in enumerate(steps):
        cost += costs.estimate(world.view.versions[name], call.request_class)
        quality = rating_service.sample_quality(
            rng, world.quality[name, call.request_class]
        )
        is_last = i == len(steps) - 1
        if not is_last:
            cost += CHECK_COST
        if rate(name, quality, is_last) or is_last:
            break
    return cost, quality


def run_fixed(
    world: World, count: int, seed: int, steps_by_class: dict
) -> Result:
    """Runs the same steps for each class, with exact and instant ratings."""
    rng = random.Random(seed)
    result = Result()
    for i in range(count):
        call = make_call(rng, i)
        steps = steps_by_class[call.request_class]
        cost, quality = run_steps(
            rng,
            world,
            call,
            steps,
            TARGET,
            lambda name, quality, is_last: quality >= TARGET,
        )
        result.add(call.request_class, cost, quality)
    return result


def run_router(
    world: World, count: int, seed: int, faulty: bool
) -> tuple[Result, Result]:
    """Runs the router; returns the whole run and its second half."""
    rng = random.Random(seed)
    # The classes under test draw from the global source.
    random.seed(seed)
    qualities = estimates.QualityEstimates()
    log = ratings.RatingTracker(qualities)
    checks = Checks()
    router = routing.Router(world.view, qualities, checks=checks)
    rater = Rater(
        random.Random(seed + 1),
        BIAS if faulty else 0.0,
        MISSING_SHARE if faulty else 0.0,
        0.1 if faulty else 0.0,
    )
    whole, settled = Result(), Result()
    for i in range(count):
        now = i / REQUESTS_PER_SECOND
        while rater.queue and rater.queue[0][0] <= now:
            _, entry, rating = rater.queue.popleft()
            log.record_rating(*entry, rating, now)
        if i % OFFSET_REQUESTS == 0:
            log.expire(now)
            qualities.update_offset(world.view.versions)
        call = make_call(rng, i)
        plan = router.plan(call, now)

        def rate(
            name, quality, is_last, call=call, plan=plan, now=now
        ) -> bool:
            log.add_outstanding(
                ratings.RatedResponse(
                    call.id, name, call.request_class, call.organisation, b''
                ),
                now,
            )
            rating = rater.rate(quality, (call.id, name), now)
            if not is_last:
                checks.note(rating is not None)
            if rating is not None:
                log.record_rating(call.id, name, rating, now)
                return rating - qualities.offset >= plan.target
            found = qualities.estimate(
                world.view.versions[name],
                call.request_class,
                call.organisation,
                plan.target,
                now,
            )
            return found.lower >= plan.target

        cost, quality = run_steps(rng, world, call, plan.steps, TARGET, rate)
        whole.add(call.request_class, cost, quality)
        if i >= count // 2:
            settled.add(call.request_class, cost, quality)
    return whole, settled


def run(count: int = 60_000, seed: int = 1, prior_error: float = 0.04) -> str:
    """Compares the router with baselines and the oracle.

    Args:
        count: Requests; 34 of them take one second.
        seed: Seed of the true qualities and of all answers.
        prior_error: Deviation of the operators' declared qualities.
    """
    world = make_world(random.Random(seed), prior_error)
    best = {}
    oracle = {}
    expected = {}
    for name in CLASSES:
        candidates = true_candidates(world, name)
        best[name] = [max(candidates, key=lambda c: c.quality.mean).version]
        oracle[name], expected[name] = find_oracle(candidates)
    fixed = dict.fromkeys(CLASSES, ['v0', 'v4', 'v8'])
    results = {
        'always_best': run_fixed(world, count, seed, best),
        'fixed_cascade': run_fixed(world, count, seed, fixed),
        'oracle': run_fixed(world, count, seed, oracle),
    }
    for name, faulty in (('router', False), ('router_faulty_ratings', True)):
        whole, settled = run_router(world, count, seed, faulty)
        results[name] = whole
        results[f'{name}_second_half'] = settled
    base = results['oracle'].cost / results['oracle'].count
    lines = {}
    for name, result in results.items():
        lines[name] = result.describe()
        lines[name]['cost_to_oracle'] = round(
            result.cost / result.count / base, 4
        )
    return json.dumps(
        {
            'target': TARGET,
            'requests': count,
            'seed': seed,
            'prior_error': prior_error,
            'check_cost': CHECK_COST,
            'faults': {
                'bias': BIAS,
                'missing': MISSING_SHARE,
                'late_share': 0.1,
                'late_seconds': LATE_SECONDS,
            },
            'oracle_steps': oracle,
            'oracle_expected_cost': expected,
            'results': lines,
        },
        indent=1,
    )


if __name__ == '__main__':
    fire.Fire(run)
