"""Time of one server choice: ``python -m bench.serverchoice``.

Prints one JSON object; times are in microseconds per decision.
"""

import json
import random
import time

import fire

from chivejunction import clock
from chivejunction.coordination import policies
from chivejunction.coordination import selection
from chivejunction.protocol import resources
from chivejunction.state import servers
from chivejunction.state import views


def make_selector(count: int, policy: str, seed: int) -> selection.Selector:
    """Returns a selector over servers in five regions, eleven failure domains.

    Args:
        count: Number of servers.
        policy: Server policy.
        seed: Seed of the load and the latency of the servers.
    """
    rng = random.Random(seed)
    view = views.ConfigView()
    domains = [f'd-{i}' for i in range(11)]
    view.apply(
        resources.Document(
            revision=1,
            resources={
                'failuredomain': {
                    name: {'name': name, 'region': f'r-{i % 5}'}
                    for i, name in enumerate(domains)
                }
            },
        )
    )
    table = servers.ServerTable()
    for i in range(count):
        server = servers.Server(f'host-{i}', 'pool', domains[i % 11])
        server.connected = True
        server.versions = frozenset({'v-1', 'v-2'})
        server.first_token_seconds = rng.uniform(0.05, 0.2)
        server.observed_at = clock.now()
        server.apply_load({'r': rng.randrange(16), 'w': 16})
        table.add(server)
    return selection.Selector(table, view, 'd-0', policy)


def measure(count: int, policy: str, seed: int, decisions: int) -> dict:
    """Returns decision time percentiles, with and without a session key."""
    result = {}
    for kind in ('key', 'no_key'):
        selector = make_selector(count, policy, seed)
        times = []
        for i in range(decisions):
            key = f'session-{i}' if kind == 'key' else ''
            start = time.perf_counter()
            server = selector.choose('pool', 'v-1', key)
            times.append(time.perf_counter() - start)
            server.sent_since_report = 0
        times.sort()
        result[kind] = {
            'p50_us': round(times[len(times) // 2] * 1e6, 1),
            'p99_us': round(times[int(len(times) * 0.99)] * 1e6, 1),
        }
    return result


def main(count: int = 100, seed: int = 1, decisions: int = 5000) -> None:
    """Measures all policies.

    Args:
        count: Number of servers.
        seed: Seed of the servers' state.
        decisions: Measured decisions for each policy and kind of key.
    """
    print(
        json.dumps(
            {
                'servers': count,
                'seed': seed,
                'decisions': decisions,
                **{
                    policy: measure(count, policy, seed, decisions)
                    for policy in policies.POLICIES
                },
            }
        )
    )


if __name__ == '__main__':
    fire.Fire(main)
