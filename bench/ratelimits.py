"""Error of divided rate limits: ``python -m bench.ratelimits --seed N``.

Limiters of several gateways exchange digests in one process under a stepped
clock; the demand of organisations moves between gateways. Prints one JSON
object with the admitted requests relative to the limit.
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

LIMIT = 50.0
STEP_SECONDS = 0.01
EXCHANGE_SECONDS = 1.0
MOVE_SECONDS = 10
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


class Deployment:
    """Limiters of several gateways and the requests they admitted."""

    def __init__(self, gateways: int, names: list[str], seed: int):
        view = views.ConfigView()
        view.apply(
            make_document(
                {
                    name: {
                        'requests_per_second': LIMIT,
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

    def offer(self, name: str, rate: float, weights: list[float]) -> None:
        """Offers the requests of one step."""
        count = int(rate * STEP_SECONDS)
        count += self.rng.random() < rate * STEP_SECONDS - count
        for limiter in self.rng.choices(self.limiters, weights, k=count):
            self.offered[name] += 1
            try:
                limiter.acquire(name)
                self.admitted[name] += 1
            except errors.RefusalError:
                pass

    def exchange(self) -> None:
        """Sends each gateway's digest to one other."""
        for limiter in self.limiters:
            others = [x for x in self.limiters if x is not limiter]
            other = self.rng.choice(others)
            other.merge(limiter.digest())
            limiter.merge(other.digest())


def measure(
    seed: int,
    seconds: int = 120,
    gateways: int = 3,
    silent_from: float = 1e9,
) -> dict:
    """Returns the error of the limits.

    Args:
        seed: Seed of all random numbers.
        seconds: Length of the run.
        gateways: Number of gateways.
        silent_from: Second from which no exchange gets through.
    """
    large = {f'large-{i}': 10 * LIMIT for i in range(3)}
    small = {f'small-{i}': 0.3 * LIMIT for i in range(7)}
    rates = {**large, **small}
    now = [1000.0]
    with mock.patch.object(time, 'monotonic', lambda: now[0]):
        fleet = Deployment(gateways, list(rates), seed)
        weights = {}
        for step in range(int(seconds / STEP_SECONDS)):
            now[0] = 1000.0 + step * STEP_SECONDS
            if step % int(MOVE_SECONDS / STEP_SECONDS) == 0:
                for name in rates:
                    weights[name] = [
                        fleet.rng.paretovariate(0.8) for _ in range(gateways)
                    ]
            for name, rate in rates.items():
                fleet.offer(name, rate, weights[name])
            passed = step * STEP_SECONDS
            if passed < silent_from and (
                step % int(EXCHANGE_SECONDS / STEP_SECONDS) == 0
            ):
                fleet.exchange()
    # The burst may be used once on top of the rate.
    allowed = LIMIT * (seconds + BURST_SECONDS)
    over = {n: fleet.admitted[n] / allowed - 1 for n in large}
    return {
        'seed': seed,
        'seconds': seconds,
        'gateways': gateways,
        'silent_from': silent_from if silent_from < seconds else None,
        'over_limit_max': round(max(over.values()), 4),
        'large_admitted_min': round(
            min(fleet.admitted[n] / (LIMIT * seconds) for n in large), 4
        ),
        'small_admitted_min': round(
            min(fleet.admitted[n] / fleet.offered[n] for n in small), 4
        ),
    }


def main(seed: int = 1, seconds: int = 120, gateways: int = 3) -> None:
    """Prints the error with exchanges and with silence from one third on."""
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
