"""Error of divided rate limits: ``python -m bench.ratelimits --seed N``.

The rate limiters of several gateways exchange digests in one process on a
simulated clock, while the demand of organisations moves between gateways.
Prints one JSON object with the admitted requests relative to the limit.
"""

import json
import random
import time
from unittest import mock

import fire

from chivejunction import errors
from chivejunction.coordination import rate_limits
from chivejunction.protocol import resources
from chivejunction.state import views

LIMIT_PER_SECOND = 50.0
STEP_SECONDS = 0.01
EXCHANGE_SECONDS = 1.0
DEMAND_MOVE_SECONDS = 10
BURST_SECONDS = 2.0


def make_document(
    organisations: dict[str, dict], revision: int = 1
) -> resources.Document:
    """Returns a configuration with one limit for each organisation."""
    return resources.Document(
        revision=revision,
        resources={
            'limit': {
                name: {'name': name, 'organisation': name, **limit}
                for name, limit in organisations.items()
            }
        },
    )


class GatewayLimiters:
    """Rate limiters of several gateways, with counts of requests."""

    def __init__(self, gateways: int, names: list[str], seed: int):
        view = views.ConfigView()
        view.apply(
            make_document(
                {
                    name: {
                        'requests_per_second': LIMIT_PER_SECOND,
                        'burst_seconds': BURST_SECONDS,
                    }
                    for name in names
                }
            )
        )
        self.limiters = [
            rate_limits.RateLimiter(view, f'gw-{i}', 1, lambda: gateways)
            for i in range(gateways)
        ]
        self.rng = random.Random(seed)
        self.offered = dict.fromkeys(names, 0)
        self.admitted = dict.fromkeys(names, 0)

    def offer_requests(
        self, name: str, rate: float, weights: list[float]
    ) -> None:
        """Sends the requests of one organisation in one time step.

        Args:
            name: Name of the organisation.
            rate: Requests per second.
            weights: Relative demand at each gateway.
        """
        count = int(rate * STEP_SECONDS)
        count += self.rng.random() < rate * STEP_SECONDS - count
        for limiter in self.rng.choices(self.limiters, weights, k=count):
            self.offered[name] += 1
            try:
                limiter.acquire(name)
                self.admitted[name] += 1
            except errors.RefusalError:
                pass

    def exchange_digests(self) -> None:
        """Lets each gateway exchange digests with a random other one."""
        for limiter in self.limiters:
            peers = [x for x in self.limiters if x is not limiter]
            peer = self.rng.choice(peers)
            peer.merge(limiter.digest())
            limiter.merge(peer.digest())


def measure(
    seed: int,
    seconds: int = 120,
    gateways: int = 3,
    silent_from: float = 1e9,
) -> dict:
    """Returns the error of the limits.

    Args:
        seed: Seed of all random numbers.
        seconds: Simulated seconds of the run.
        gateways: Number of gateways.
        silent_from: Second from which all exchanges fail.
    """
    large = {f'large-{i}': 10 * LIMIT_PER_SECOND for i in range(3)}
    small = {f'small-{i}': 0.3 * LIMIT_PER_SECOND for i in range(7)}
    rates = {**large, **small}
    now = [1000.0]
    with mock.patch.object(time, 'monotonic', lambda: now[0]):
        limiters = GatewayLimiters(gateways, list(rates), seed)
        weights = {}
        for step in range(int(seconds / STEP_SECONDS)):
            now[0] = 1000.0 + step * STEP_SECONDS
            if step % int(DEMAND_MOVE_SECONDS / STEP_SECONDS) == 0:
                for name in rates:
                    weights[name] = [
                        limiters.rng.paretovariate(0.8)
                        for _ in range(gateways)
                    ]
            for name, rate in rates.items():
                limiters.offer_requests(name, rate, weights[name])
            elapsed = step * STEP_SECONDS
            if elapsed < silent_from and (
                step % int(EXCHANGE_SECONDS / STEP_SECONDS) == 0
            ):
                limiters.exchange_digests()
    # The burst may be used once on top of the rate.
    allowed = LIMIT_PER_SECOND * (seconds + BURST_SECONDS)
    excess = {n: limiters.admitted[n] / allowed - 1 for n in large}
    return {
        'seed': seed,
        'seconds': seconds,
        'gateways': gateways,
        'silent_from': silent_from if silent_from < seconds else None,
        'over_limit_max': round(max(excess.values()), 4),
        'large_admitted_min': round(
            min(
                limiters.admitted[n] / (LIMIT_PER_SECOND * seconds)
                for n in large
            ),
            4,
        ),
        'small_admitted_min': round(
            min(limiters.admitted[n] / limiters.offered[n] for n in small), 4
        ),
    }


def main(seed: int = 1, seconds: int = 120, gateways: int = 3) -> None:
    """Prints the error with exchanges, and without them after one third.

    Args:
        seed: Seed of all random numbers.
        seconds: Simulated seconds of each run.
        gateways: Number of gateways.
    """
    print(
        json.dumps(
            {
                'exchange': measure(seed, seconds, gateways),
                'silence': measure(seed, seconds, gateways, seconds / 3),
            }
        )
    )


if __name__ == '__main__':
    fire.Fire(main)
