"""Answers of a bad version until the last one.

The rollout classes of several gateways run in this process under a virtual
clock, with the store up or down, against a fixed share of 10% that operators
halt after a minute. Prints one JSON object.
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
SPREAD_SECONDS = 2.0
HALT_TICK_SECONDS = 1.0
OLD_QUALITY = 0.88
FIXED_SHARE = 0.1
MANUAL_HALT_SECONDS = 60.0
WARMUP_SECONDS = 60.0
RUN_SECONDS = 240.0


class Store:
    """Key-value store in memory; fails while it is down."""

    def __init__(self):
        self._entries: dict[str, stores.Entry] = {}
        self.down = False

    async def get(
        self, key: str, is_local: bool = False
    ) -> stores.Entry | None:
        """Returns an entry."""
        if self.down:
            raise errors.StoreError('the store is down')
        return self._entries.get(key)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        extra_entries: dict[str, bytes] | None = None,
    ) -> int:
        """Writes entries by compare-and-swap of the first one."""
        entry = await self.get(key)
        revision = entry.revision if entry else 0
        if revision != expected:
            raise errors.StoreConflict(key)
        for name, content in {key: value, **(extra_entries or {})}.items():
            self._entries[name] = stores.Entry(name, content, revision + 1, 0)
        return revision + 1


@dataclasses.dataclass
class Gateway:
    """Decision classes of one gateway."""

    view: views.ConfigView
    table: rollouts.RolloutTable
    router: routing.Router
    log: ratings.RatingTracker
    keeper: rollouts.RolloutReconciler


def make_gateway(source: configuration.ConfigStore, count: int) -> Gateway:
    """Returns the parts of a gateway that decide about rollouts."""
    view = views.ConfigView()
    table = rollouts.RolloutTable(view, lambda: count)
    qualities = estimates.QualityEstimates()
    log = ratings.RatingTracker(qualities)
    log.add_observer(table.add_rating)
    router = routing.Router(view, qualities, rollouts=table)
    keeper = rollouts.RolloutReconciler(
        view, table, rollouts.RolloutControl(source)
    )
    return Gateway(view, table, router, log, keeper)


async def declare(source: configuration.ConfigStore) -> None:
    """Declares the organisation, both versions and the rollout."""
    await source.put('pool', {'name': 'p'})
    await source.put('model', {'name': 'm'})
    await source.put('organisation', {'name': 'o', 'models': ['m']})
    for name in ('m-1', 'm-2'):
        await source.put(
            'modelversion',
            {
                'name': name,
                'model': 'm',
                'pool': 'p',
                'quality': {'faq': OLD_QUALITY},
            },
        )


async def start_rollout(source: configuration.ConfigStore) -> None:
    """Starts a rollout at 10% from the first stage on."""
    control = rollouts.RolloutControl(source)
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


def make_call(number: int, at: float) -> calls.Call:
    """Returns a request without a session."""
    return calls.Call(
        id=str(number),
        organisation='o',
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        deadline=at + 100,
        model='m',
        request_class='faq',
        quality_target=0.8,
    )


async def run_once(
    gateways: int,
    bad_quality: float,
    store_down: bool,
    rating_seconds: float,
    missing: float,
    seed: int,
) -> tuple[int, float, bool]:
    """Returns bad answers, seconds until the last, and whether it halted.

    Args:
        gateways: Gateways of the deployment.
        bad_quality: True quality of the new version.
        store_down: Whether the store goes down as the share rises.
        rating_seconds: Mean seconds until a rating comes.
        missing: Share of ratings that never come.
        seed: Seed of all choices.
    """
    rng = random.Random(seed)
    # The classes under test draw from the global source.
    random.seed(seed)
    store = Store()
    source = configuration.ConfigStore(store)
    await declare(source)
    members = [make_gateway(source, gateways) for _ in range(gateways)]
    for member in members:
        member.view.apply((await source.read())[0])
    quality = {'m-1': OLD_QUALITY, 'm-2': bad_quality}
    due: list[tuple[float, int, int, str, float]] = []
    bad, last, now, number = 0, WARMUP_SECONDS, 0.0, 0
    next_tick, next_spread = WARMUP_SECONDS, WARMUP_SECONDS
    started = False
    while now < WARMUP_SECONDS + RUN_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND * gateways)
        number += 1
        while due and due[0][0] <= now:
            _, _, index, key, rating = heapq.heappop(due)
            request, version = key.split('/')
            members[index].log.record_rating(request, version, rating, now)
        if now >= WARMUP_SECONDS and not started:
            started = True
            await start_rollout(source)
            document = (await source.read())[0]
            for member in members:
                member.view.apply(document)
            store.down = store_down
        if now >= next_tick:
            next_tick = now + HALT_TICK_SECONDS
            for member in members:
                member.log.expire(now)
                try:
                    await member.keeper.store_halts()
                except errors.StoreError:
                    continue
        if now >= next_spread and not store.down:
            next_spread = now + SPREAD_SECONDS
            document = (await source.read())[0]
            for member in members:
                member.view.apply(document)
        index = rng.randrange(gateways)
        member = members[index]
        plan = member.router.plan(make_call(number, now), now)
        version = plan.steps[0]
        if version == 'm-2':
            bad, last = bad + 1, now
        answer = ratings.RatedResponse(str(number), version, 'faq', 'o', b'')
        member.log.add_outstanding(answer, now)
        if rng.random() >= missing:
            rating = rating_service.sample_quality(rng, quality[version])
            at = now + rng.expovariate(1 / rating_seconds)
            heapq.heappush(
                due, (at, number, index, f'{number}/{version}', rating)
            )
    halted = any(
        member.table.find_halted_rollout('m-2', now) for member in members
    )
    return bad, last - WARMUP_SECONDS, halted


def measure(
    gateways: int,
    bad_quality: float,
    store_down: bool,
    rating_seconds: float,
    missing: float,
    seeds: int,
    seed: int,
) -> dict:
    """Returns means over several seeds."""
    found = [
        anyio.run(
            run_once,
            gateways,
            bad_quality,
            store_down,
            rating_seconds,
            missing,
            seed + i,
        )
        for i in range(seeds)
    ]
    fixed = FIXED_SHARE * REQUESTS_PER_SECOND * gateways * MANUAL_HALT_SECONDS
    mean = statistics.fmean(bad for bad, _, _ in found)
    return {
        'bad_answers': round(mean, 1),
        'most_bad_answers': max(bad for bad, _, _ in found),
        'last_after_seconds': round(
            statistics.fmean(last for _, last, _ in found), 1
        ),
        'halted_runs': sum(halted for _, _, halted in found),
        'fixed_share_answers': round(fixed),
        'part_of_fixed': round(mean / fixed, 4),
    }


def run(
    gateways: int = 3,
    seeds: int = 5,
    seed: int = 1,
    rating_seconds: float = 5.0,
    missing: float = 0.2,
) -> str:
    """Counts answers of a bad version.

    Args:
        gateways: Gateways of the deployment, 34 requests/s each.
        seeds: Runs of each case.
        seed: First seed.
        rating_seconds: Mean seconds until a rating comes.
        missing: Share of ratings that never come.
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
        gateways, OLD_QUALITY, False, rating_seconds, missing, seeds, seed
    )
    return json.dumps(
        {
            'gateways': gateways,
            'rating_seconds': rating_seconds,
            'missing': missing,
            'old_quality': OLD_QUALITY,
            'seeds': seeds,
            'cases': cases,
        },
        indent=1,
    )


if __name__ == '__main__':
    fire.Fire(run)
