"""Counts the responses of a bad version before its rollout is halted.

The rollout classes of several gateways run in this process on a simulated
clock, with the metadata store available or unavailable. The baseline is a
fixed share of 10% that operators halt after one minute. Prints one JSON
object.
"""

import dataclasses
import heapq
import json
import random
import statistics

import anyio
import fire

from chivejunction import errors
from chivejunction.coordination import configuration
from chivejunction.coordination import ratings
from chivejunction.coordination import rollouts
from chivejunction.coordination import routing
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views
from chivejunction.transport import stores
from fakes import ratings as rating_service

REQUESTS_PER_SECOND = 34
CONFIG_SYNC_SECONDS = 2.0
HALT_CHECK_SECONDS = 1.0
BASELINE_QUALITY = 0.88
FIXED_SHARE = 0.1
MANUAL_HALT_SECONDS = 60.0
WARMUP_SECONDS = 60.0
RUN_SECONDS = 240.0


class InMemoryStore:
    """In-memory key-value store that fails while `down` is set."""

    def __init__(self):
        self._entries: dict[str, stores.Entry] = {}
        self.down = False

    async def get(
        self, key: str, is_local: bool = False
    ) -> stores.Entry | None:
        """Returns the entry of a key, or None.

        Raises:
            StoreError: The store is down.
        """
        if self.down:
            raise errors.StoreError('in-memory store is down')
        return self._entries.get(key)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        extra_entries: dict[str, bytes] | None = None,
    ) -> int:
        """Writes entries by compare-and-swap on the first one.

        Args:
            key: Key of the first entry.
            value: Value of the first entry.
            expected: Revision that the first entry must have; 0 if absent.
            lease: Ignored.
            extra_entries: Further entries, written without a check.

        Returns:
            The new revision.

        Raises:
            StoreConflict: The first entry has another revision.
            StoreError: The store is down.
        """
        entry = await self.get(key)
        revision = entry.revision if entry else 0
        if revision != expected:
            raise errors.StoreConflict(key)
        for name, content in {key: value, **(extra_entries or {})}.items():
            self._entries[name] = stores.Entry(name, content, revision + 1, 0)
        return revision + 1


@dataclasses.dataclass
class Gateway:
    """Routing and rollout components of one gateway."""

    view: views.ConfigView
    table: rollouts.RolloutTable
    router: routing.Router
    tracker: ratings.RatingTracker
    reconciler: rollouts.RolloutReconciler


def make_gateway(
    config_store: configuration.ConfigStore, gateway_count: int
) -> Gateway:
    """Returns the rollout components of a gateway.

    Args:
        config_store: Store of the configuration.
        gateway_count: Number of gateways in the deployment.
    """
    view = views.ConfigView()
    table = rollouts.RolloutTable(view, lambda: gateway_count)
    qualities = estimates.QualityEstimates()
    tracker = ratings.RatingTracker(qualities)
    tracker.add_observer(table.add_rating)
    router = routing.Router(view, qualities, rollouts=table)
    reconciler = rollouts.RolloutReconciler(
        view, table, rollouts.RolloutControl(config_store)
    )
    return Gateway(view, table, router, tracker, reconciler)


async def declare_resources(config_store: configuration.ConfigStore) -> None:
    """Writes the pool, model, organisation and both versions."""
    await config_store.put('pool', {'name': 'p'})
    await config_store.put('model', {'name': 'm'})
    await config_store.put('organisation', {'name': 'o', 'models': ['m']})
    for name in ('m-1', 'm-2'):
        await config_store.put(
            'modelversion',
            {
                'name': name,
                'model': 'm',
                'pool': 'p',
                'quality': {'faq': BASELINE_QUALITY},
            },
        )


async def start_rollout(config_store: configuration.ConfigStore) -> None:
    """Starts a rollout whose first stage has a share of 10%."""
    control = rollouts.RolloutControl(config_store)
    await control.start(
        {
            'name': 'r',
            'model': 'm',
            'from_version': 'm-1',
            'to_version': 'm-2',
            'stages': [FIXED_SHARE, 1.0],
        }
    )
    await control.advance('r', 0.0)


def make_call(number: int, now: float) -> calls.Call:
    """Returns a request without a session.

    Args:
        number: Number of the request, used as its id.
        now: Simulated time in seconds.
    """
    return calls.Call(
        id=str(number),
        organisation='o',
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        deadline=now + 100,
        model='m',
        request_class='faq',
        quality_target=0.8,
    )


async def run_once(
    gateway_count: int,
    bad_quality: float,
    store_down: bool,
    rating_seconds: float,
    missing: float,
    seed: int,
) -> tuple[int, float, bool]:
    """Simulates one rollout of a new version.

    Args:
        gateway_count: Number of gateways in the deployment.
        bad_quality: True quality of the new version.
        store_down: Whether the store fails once the rollout has started.
        rating_seconds: Mean delay of a rating in seconds.
        missing: Share of ratings that are never delivered.
        seed: Seed of all random choices.

    Returns:
        Responses of the new version, seconds from the start of the rollout
        to the last of them, and whether a gateway halted the rollout.
    """
    rng = random.Random(seed)
    # The router draws from the global random generator.
    random.seed(seed)
    store = InMemoryStore()
    config_store = configuration.ConfigStore(store)
    await declare_resources(config_store)
    gateways = [
        make_gateway(config_store, gateway_count) for _ in range(gateway_count)
    ]
    for gateway in gateways:
        gateway.view.apply((await config_store.read())[0])
    true_quality = {'m-1': BASELINE_QUALITY, 'm-2': bad_quality}
    pending_ratings: list[tuple[float, int, int, str, float]] = []
    bad_count, last_bad_at, now, request_number = 0, WARMUP_SECONDS, 0.0, 0
    next_halt_check, next_sync = WARMUP_SECONDS, WARMUP_SECONDS
    started = False
    while now < WARMUP_SECONDS + RUN_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND * gateway_count)
        request_number += 1
        while pending_ratings and pending_ratings[0][0] <= now:
            _, _, index, key, rating = heapq.heappop(pending_ratings)
            request, version = key.split('/')
            gateways[index].tracker.record_rating(
                request, version, rating, now
            )
        if now >= WARMUP_SECONDS and not started:
            started = True
            await start_rollout(config_store)
            document = (await config_store.read())[0]
            for gateway in gateways:
                gateway.view.apply(document)
            store.down = store_down
        if now >= next_halt_check:
            next_halt_check = now + HALT_CHECK_SECONDS
            for gateway in gateways:
                gateway.tracker.expire(now)
                try:
                    await gateway.reconciler.store_halts()
                except errors.StoreError:
                    continue
        if now >= next_sync and not store.down:
            next_sync = now + CONFIG_SYNC_SECONDS
            document = (await config_store.read())[0]
            for gateway in gateways:
                gateway.view.apply(document)
        index = rng.randrange(gateway_count)
        gateway = gateways[index]
        plan = gateway.router.plan(make_call(request_number, now), now)
        version = plan.steps[0]
        if version == 'm-2':
            bad_count, last_bad_at = bad_count + 1, now
        response = ratings.RatedResponse(
            str(request_number), version, 'faq', 'o', b''
        )
        gateway.tracker.add_outstanding(response, now)
        if rng.random() >= missing:
            rating = rating_service.sample_quality(rng, true_quality[version])
            rating_at = now + rng.expovariate(1 / rating_seconds)
            heapq.heappush(
                pending_ratings,
                (
                    rating_at,
                    request_number,
                    index,
                    f'{request_number}/{version}',
                    rating,
                ),
            )
    halted = any(
        gateway.table.find_halted_rollout('m-2', now) for gateway in gateways
    )
    return bad_count, last_bad_at - WARMUP_SECONDS, halted


def measure(
    gateway_count: int,
    bad_quality: float,
    store_down: bool,
    rating_seconds: float,
    missing: float,
    seeds: int,
    seed: int,
) -> dict:
    """Returns the results over several seeds beside the fixed share.

    Arguments are those of run_once; `seeds` is the number of runs and `seed`
    the seed of the first one.
    """
    results = [
        anyio.run(
            run_once,
            gateway_count,
            bad_quality,
            store_down,
            rating_seconds,
            missing,
            seed + i,
        )
        for i in range(seeds)
    ]
    fixed_share_count = (
        FIXED_SHARE * REQUESTS_PER_SECOND * gateway_count * MANUAL_HALT_SECONDS
    )
    mean = statistics.fmean(bad for bad, _, _ in results)
    return {
        'bad_answers': round(mean, 1),
        'most_bad_answers': max(bad for bad, _, _ in results),
        'last_after_seconds': round(
            statistics.fmean(last for _, last, _ in results), 1
        ),
        'halted_runs': sum(halted for _, _, halted in results),
        'fixed_share_answers': round(fixed_share_count),
        'part_of_fixed': round(mean / fixed_share_count, 4),
    }


def run(
    gateways: int = 3,
    seeds: int = 5,
    seed: int = 1,
    rating_seconds: float = 5.0,
    missing: float = 0.2,
) -> str:
    """Counts the responses of a bad version in several cases.

    Args:
        gateways: Number of gateways, each with 34 requests/s.
        seeds: Number of runs of each case.
        seed: Seed of the first run.
        rating_seconds: Mean delay of a rating in seconds.
        missing: Share of ratings that are never delivered.
    """
    cases = {}
    for bad_quality in (0.2, 0.5, 0.7):
        for store_down in (False, True):
            name = (
                f'quality {bad_quality}, store '
                f'{"down" if store_down else "up"}'
            )
            cases[name] = measure(
                gateways,
                bad_quality,
                store_down,
                rating_seconds,
                missing,
                seeds,
                seed,
            )
    cases['good version'] = measure(
        gateways, BASELINE_QUALITY, False, rating_seconds, missing, seeds, seed
    )
    return json.dumps(
        {
            'gateways': gateways,
            'rating_seconds': rating_seconds,
            'missing': missing,
            'old_quality': BASELINE_QUALITY,
            'seeds': seeds,
            'cases': cases,
        },
        indent=1,
    )


if __name__ == '__main__':
    fire.Fire(run)
