"""Time of one routing decision over 100 servers and 9 versions.

Prints one JSON object; times are in microseconds of wall time.
"""

import json
import random
import time

import fire

from chivejunction.coordination import routing
from chivejunction.coordination import selection
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import servers
from chivejunction.state import views

VERSIONS = 9
SERVERS = 100
ORGANISATIONS = 10
REQUEST_CLASSES = ('faq', 'order', 'advice', 'translate')


class ReliableChecks:
    """Checks by a rating service that always responds in time."""

    cost = 0.01

    def estimate_success(self, now: float) -> float:
        """Returns the expected share of checks that end in time."""
        return 1.0


def make_view() -> views.ConfigView:
    """Returns a configuration with nine versions of three models."""
    view = views.ConfigView()
    versions = {
        f'v{i}': {
            'name': f'v{i}',
            'model': f'm{i % 3}',
            'pool': 'p',
            'input_cost': 1.0 + 2 * i,
            'output_cost': 2.0 + 4 * i,
            'quality': dict.fromkeys(REQUEST_CLASSES, 0.5 + 0.05 * i),
        }
        for i in range(VERSIONS)
    }
    organisations = {
        f'o{i}': {'name': f'o{i}', 'models': ['m0', 'm1', 'm2']}
        for i in range(ORGANISATIONS)
    }
    view.apply(
        resources.Document(
            revision=1,
            resources={
                'modelversion': versions,
                'organisation': organisations,
            },
        )
    )
    return view


def make_table() -> servers.ServerTable:
    """Returns a table of servers that have all versions loaded."""
    table = servers.ServerTable()
    names = frozenset(f'v{i}' for i in range(VERSIONS))
    for i in range(SERVERS):
        table.add(
            servers.Server(
                host=f'h{i}',
                pool='p',
                failure_domain=f'd{i % 11}',
                versions=names,
                window=16,
                connected=True,
            )
        )
    return table


def measure(action, count: int) -> dict[str, float]:
    """Returns mean, median and 99th percentile of the time of an action."""
    times = []
    for i in range(count):
        start = time.perf_counter()
        action(i)
        times.append((time.perf_counter() - start) * 1e6)
    times.sort()
    return {
        'mean_us': round(sum(times) / count, 1),
        'p50_us': round(times[count // 2], 1),
        'p99_us': round(times[int(count * 0.99)], 1),
    }


def run(count: int = 20_000, seed: int = 1) -> str:
    """Measures routing decisions.

    Args:
        count: Number of decisions; a quarter of it without cached plans.
        seed: Seed of the random choices.
    """
    rng = random.Random(seed)
    random.seed(seed)
    view = make_view()
    qualities = estimates.QualityEstimates()
    for i in range(VERSIONS):
        for name in REQUEST_CLASSES:
            for _ in range(200):
                qualities.add_rating(
                    f'v{i}',
                    name,
                    f'o{rng.randrange(ORGANISATIONS)}',
                    rng.betavariate(10 + i, 8 - i / 2),
                    0.0,
                )
    router = routing.Router(view, qualities, checks=ReliableChecks())
    selector = selection.Selector(make_table(), view, 'd0')

    def make_call(i: int) -> calls.Call:
        return calls.Call(
            id=str(i),
            organisation=f'o{rng.randrange(ORGANISATIONS)}',
            method='POST',
            path='/v1/chat/completions',
            headers={},
            body=b'',
            deadline=1e9,
            model='auto',
            request_class=rng.choice(REQUEST_CLASSES),
            quality_target=0.8,
        )

    requests = [make_call(i) for i in range(count)]

    def decide(i: int) -> None:
        # A gateway that receives 34 requests/s.
        plan = router.plan(requests[i], i / 34)
        selector.choose('p', plan.steps[0])

    def plan_cached(i: int) -> None:
        router.plan(requests[i], 1e6)

    def plan_fresh(i: int) -> None:
        # 10 s pass between calls, so cached plans and estimates are expired.
        router.plan(requests[i], 2e6 + 10 * i)

    def choose(i: int) -> None:
        selector.choose('p', 'v3')

    return json.dumps(
        {
            'decision_at_34_per_s': measure(decide, count),
            'plan_cached': measure(plan_cached, count),
            'plan_fresh': measure(plan_fresh, count // 4),
            'server_choice': measure(choose, count),
        }
    )


if __name__ == '__main__':
    fire.Fire(run)
