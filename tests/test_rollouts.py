"""Rollouts: shares, sequential tests, halts and stored changes."""

import itertools
import random

import anyio
import pytest

from chivejunction import errors
from chivejunction import rendezvous
from chivejunction.coordination import configuration
from chivejunction.coordination import ratings
from chivejunction.coordination import rollouts
from chivejunction.protocol import resources
from chivejunction.state import estimates
from tests import stores
from tests import test_routing

ROLLOUT = {
    'name': 'r',
    'model': 'small',
    'from_version': 'small-1',
    'to_version': 'small-2',
    'share': 0.25,
    'stages': [0.01, 0.05, 0.25, 1.0],
}
SMALL_2 = {
    'name': 'small-2',
    'model': 'small',
    'pool': 'p',
    'input_cost': 3.0,
    'output_cost': 3.0,
}


def make_view(**options):
    view = test_routing.make_view()
    document = view.document.model_copy(deep=True)
    document.revision += 1
    document.resources['modelversion']['small-2'] = SMALL_2
    document.resources['rollout'] = {'r': {**ROLLOUT, **options}}
    view.apply(document)
    return view


def make_table(view, rating_count=rollouts.MIN_RATINGS):
    table = rollouts.RolloutTable(view)
    test = table._get_test(view.rollouts['r'])
    test.rating_count = rating_count
    return table


def make_router(table, view):
    return test_routing.make_router(view, rollouts=table, exploration_share=0)


def make_response(version, request='x'):
    return ratings.RatedResponse(request, version, 'faq', 'a', b'')


def draw_rating(rng, quality):
    return rng.betavariate(20 * quality, 20 * (1 - quality))


def count_until_halt(
    test, rng, new_quality, count=200, old_quality=0.85, old_count=300
):
    """Returns the ratings of the new version before a halt, or None."""
    for _ in range(old_count):
        test.add_rating('small-1', draw_rating(rng, old_quality))
    for i in range(count):
        test.add_rating('small-2', draw_rating(rng, new_quality))
        if test.reason:
            return i + 1
        test.add_rating('small-1', draw_rating(rng, old_quality))
    return None


class TestRolloutTest:
    """Guards against late halts of bad versions and halts of good ones."""

    def make_test(self, **options):
        return rollouts.RolloutTest(
            resources.Rollout.model_validate(ROLLOUT), **options
        )

    def test_bad_version_is_halted_after_few_ratings(self):
        rng = random.Random(1)
        counts = [
            count_until_halt(self.make_test(), rng, 0.3) for _ in range(50)
        ]
        assert None not in counts
        assert sorted(counts)[45] <= 10

    def test_good_version_is_seldom_halted(self):
        rng = random.Random(2)
        halts = 0
        for _ in range(300):
            halts += (
                count_until_halt(
                    self.make_test(false_halt_rate=0.05), rng, 0.80
                )
                is not None
            )
        # The quality is at the edge of the allowed drop, where the bound of
        # 5% of 300 tests is 15 halts. The test stays far below its bound,
        # and 25 is 2.6 standard deviations above it.
        assert halts <= 25

    def test_many_gateways_share_the_bound(self):
        rng = random.Random(3)
        one = count_until_halt(self.make_test(), rng, 0.3)
        many = count_until_halt(
            self.make_test(gateways=350), random.Random(3), 0.3
        )
        assert one < many <= 30

    def test_higher_error_share_halts(self):
        test = self.make_test()
        for _ in range(100):
            test.add_step('small-1', 0.1, False)
        count = 0
        while not test.reason and count < 100:
            test.add_step('small-2', None, True)
            count += 1
        assert test.reason.startswith('errors')
        assert count <= 10

    def test_slow_first_tokens_halt(self):
        rng = random.Random(4)
        test = self.make_test()
        for _ in range(100):
            test.add_step('small-1', rng.uniform(0.1, 0.2), False)
            test.add_step('small-2', rng.uniform(0.1, 0.28), False)
        assert not test.reason
        for _ in range(100):
            test.add_step('small-2', rng.uniform(0.4, 0.6), False)
        assert test.reason.startswith('first-token times')

    def test_missing_ratings_halt(self):
        test = self.make_test()
        for _ in range(100):
            test.add_rating('small-1', 0.85)
        for _ in range(60):
            test.add_rating('small-2', None)
        assert test.reason.startswith('missing ratings')


class TestRolloutTable:
    """Guards against sessions on the new version beyond a rollout's share."""

    def test_share_follows_the_hash_of_the_session(self):
        view = make_view()
        router = make_router(make_table(view), view)
        moved = set()
        for i in range(400):
            call = test_routing.make_call(model='small', session=f's{i}')
            plan = router.plan(call, 1.0)
            if plan.steps == ['small-2']:
                moved.add(i)
                assert plan.rollout == 'r'
        hashes = {
            i: rendezvous.hash_to_fraction('r', f'a/s{i}') for i in range(400)
        }
        assert moved == {i for i in hashes if hashes[i] < 0.25}
        assert 70 <= len(moved) <= 130

    def test_higher_share_keeps_all_moved_sessions(self):
        before = make_view(share=0.05)
        after = make_view(share=0.25)
        for i in range(200):
            keys = ('small-1', f'a/s{i}', f'q{i}', 1.0)
            if make_table(before).assign_version(*keys)[1]:
                assert make_table(after).assign_version(*keys)[1]

    def test_halted_rollout_gets_no_new_session(self):
        view = make_view(share=1.0)
        table = make_table(view)
        router = make_router(table, view)
        call = test_routing.make_call(model='small')
        assert router.plan(call, 1.0).steps == ['small-2']
        table.halt('r', 'bad')
        router.clear_cached_plans()
        plan = router.plan(call, 1.0)
        assert plan.steps == ['small-1']
        assert plan.excluded['small-2'] == 'rollout r is halted'
        named = test_routing.make_call(model='small-2')
        with pytest.raises(errors.RefusalError):
            router.plan(named, 1.0)
        pinned = test_routing.make_call(session='s', pin='small-2')
        assert router.plan(pinned, 1.0).steps == ['small-2']

    def test_ratings_halt_at_once(self):
        view = make_view(share=1.0)
        halted = []
        table = rollouts.RolloutTable(view, on_halt=halted.append)
        for _ in range(200):
            table.add_rating(make_response('small-1'), 0.85, 0.0)
        for _ in range(20):
            table.add_rating(make_response('small-2'), 0.1, 0.0)
        assert halted == ['r']
        assert table.assign_version('small-1', 'k', 'q', 0.0) == (
            'small-1',
            '',
        )

    def test_unrated_responses_are_limited(self):
        view = make_view(share=1.0)
        table = make_table(view, rating_count=0)
        moved = [
            table.assign_version('small-1', 'k', f'q{i}', 0.0)[1]
            for i in range(50)
        ]
        assert moved.count('r') == rollouts.INITIAL_UNRATED_LIMIT
        table.add_rating(make_response('small-2', 'q0'), 0.9, 0.0)
        assert table.assign_version('small-1', 'k', 'q60', 0.0)[1] == 'r'
        assert table.assign_version('small-1', 'k', 'q61', 0.0)[1] == ''
        # Slots of requests whose caller disconnected expire.
        later = ratings.RATING_TIMEOUT_SECONDS + 1
        assert table.assign_version('small-1', 'k', 'q62', later)[1] == 'r'

    def test_failed_step_releases_its_slot(self):
        view = make_view(share=1.0)
        table = make_table(view, rating_count=0)
        for i in range(rollouts.INITIAL_UNRATED_LIMIT):
            assert table.assign_version('small-1', 'k', f'q{i}', 0.0)[1] == 'r'
        call = test_routing.make_call(id='q0')
        table.add_step(call, 'small-2', None, True)
        assert table.assign_version('small-1', 'k', 'q9', 0.0)[1] == 'r'

    def test_refusal_before_a_run_is_not_counted_as_an_error(self):
        view = make_view(share=1.0)
        table = make_table(view, rating_count=0)
        call = test_routing.make_call(id='q0')
        for _ in range(100):
            table.add_step(call, 'small-1', 0.1, False)
        assert table.assign_version('small-1', 'k', 'q0', 0.0)[1] == 'r'
        for _ in range(100):
            table.add_step(call, 'small-2', None, None)
        assert table.halts == {}
        assert table._unrated_requests['r'] == {}

    def test_sessions_of_the_next_stage_are_found_before_it_starts(self):
        table = make_table(make_view(share=0.01))
        sessions = [
            i for i in range(1000) if table.find_session_rollout(f'a/{i}')
        ]
        assert 30 <= len(sessions) <= 75

    def test_observer_of_the_rating_tracker_counts_ratings(self):
        view = make_view(share=1.0)
        table = rollouts.RolloutTable(view)
        tracker = ratings.RatingTracker(estimates.QualityEstimates())
        tracker.add_observer(table.add_rating)
        tracker.add_outstanding(make_response('small-2', 'q'), 0.0)
        tracker.record_rating('q', 'small-2', 0.9, 1.0)
        assert table.count_ratings('r') == 1


class Deployment:
    """Two gateways with one store."""

    def __init__(self):
        self.store = stores.MemoryStore()
        self.sources = [
            configuration.ConfigStore(self.store) for _ in range(2)
        ]
        self.controls = [rollouts.RolloutControl(s) for s in self.sources]

    async def prepare(self):
        view = test_routing.make_view()
        await self.sources[0].put('pool', {'name': 'p'})
        for name in ('tiny', 'small', 'large'):
            await self.sources[0].put('model', {'name': name})
        for name, value in view.document.resources['modelversion'].items():
            await self.sources[0].put('modelversion', value)
            assert name == value['name']
        await self.sources[0].put('modelversion', SMALL_2)
        await self.controls[0].start(ROLLOUT)

    async def read(self):
        document, _ = await self.sources[0].read()
        return resources.Rollout.model_validate(
            document.resources['rollout']['r']
        )

    async def make_view(self):
        view = test_routing.views.ConfigView()
        view.apply((await self.sources[0].read())[0])
        return view


def run_with_deployment(check):
    async def run():
        deployment = Deployment()
        await deployment.prepare()
        await check(deployment)

    anyio.run(run)


class TestRolloutControl:
    """Guards against concurrent changes that overwrite each other."""

    def test_advance_is_idempotent(self):
        async def check(deployment):
            for control in deployment.controls:
                await control.advance('r', 0.0)
            assert (await deployment.read()).share == 0.01
            for share in (0.01, 0.05, 0.25, 1.0):
                for control in deployment.controls:
                    if share < 1:
                        await control.advance('r', share)
                if share < 1:
                    assert (await deployment.read()).share > share
            await deployment.controls[0].advance('r', 1.0)
            rollout = await deployment.read()
            assert rollout.state is rollouts.COMPLETE
            assert rollout.share == 1.0

        run_with_deployment(check)

    @pytest.mark.parametrize('order', list(itertools.permutations(range(3))))
    def test_halt_wins_over_concurrent_changes(self, order):
        async def check(deployment):
            first, second = deployment.controls
            actions = [
                (first.advance, 'r', 0.0),
                (second.halt, 'r', 'bad'),
                (first.pause, 'r'),
            ]

            async def attempt(function, *args):
                try:
                    await function(*args)
                except errors.RefusalError as exc:
                    # Any action may be refused after the halt, and advance
                    # also after the pause; the halt is never refused.
                    assert function != second.halt
                    assert exc.detail in (
                        'rollout r is halted',
                        'rollout r is paused',
                    )

            async with anyio.create_task_group() as group:
                for i in order:
                    group.start_soon(attempt, *actions[i])
            rollout = await deployment.read()
            assert rollout.state is rollouts.HALTED
            assert rollout.share == 0
            assert rollout.reason == 'bad'

        run_with_deployment(check)

    def test_paused_rollout_resumes_at_its_share(self):
        async def check(deployment):
            first, second = deployment.controls
            await first.advance('r')
            await first.pause('r')
            with pytest.raises(errors.RefusalError):
                await second.advance('r', 0.01)
            await second.resume('r')
            assert (await deployment.read()).share == 0.01
            await second.halt('r', 'bad')
            await first.resume('r')
            rollout = await deployment.read()
            assert (rollout.share, rollout.reason) == (0, '')

        run_with_deployment(check)

    def test_start_refuses_a_running_rollout_and_another_model(self):
        async def check(deployment):
            control = deployment.controls[1]
            with pytest.raises(errors.RefusalError) as info:
                await control.start(ROLLOUT)
            assert info.value.code == 'conflict'
            other_model = {**ROLLOUT, 'name': 'q', 'to_version': 'large-1'}
            with pytest.raises(errors.RefusalError):
                await control.start(other_model)

        run_with_deployment(check)


class TestRolloutReconciler:
    """Guards against lost halts and rollouts that never advance."""

    def test_halt_is_stored_after_an_outage(self):
        async def check(deployment):
            view = await deployment.make_view()
            table = rollouts.RolloutTable(view)
            reconciler = rollouts.RolloutReconciler(
                view, table, deployment.controls[0]
            )
            deployment.store.is_down = True
            table.halt('r', 'bad')
            with pytest.raises(errors.StoreError):
                await reconciler.store_halts()
            assert table.is_halted(view.rollouts['r'])
            deployment.store.is_down = False
            await reconciler.store_halts()
            assert (await deployment.read()).state is rollouts.HALTED
            assert table.halts == {}
            assert table.is_halted(view.rollouts['r'])

        run_with_deployment(check)

    def test_refused_change_does_not_end_the_task(self, monkeypatch):
        monkeypatch.setattr(rollouts, 'RECONCILE_INTERVAL_SECONDS', 0.01)

        async def check(deployment):
            view = await deployment.make_view()
            reconciler = rollouts.RolloutReconciler(
                view, rollouts.RolloutTable(view), deployment.controls[0]
            )
            calls = []

            async def refuse():
                calls.append('halt')
                raise errors.RefusalError('not_found', 'no rollout r')

            reconciler.store_halts = refuse
            with anyio.move_on_after(0.2):
                await reconciler.run()
            assert len(calls) > 1

        run_with_deployment(check)

    def test_any_gateway_advances_a_rollout(self):
        async def check(deployment):
            now = 0.0
            for i in range(5):
                # A gateway that has just started advances each stage.
                view = await deployment.make_view()
                table = rollouts.RolloutTable(view)
                test = table._get_test(view.rollouts['r'])
                test.rating_count = rollouts.MIN_RATINGS
                reconciler = rollouts.RolloutReconciler(
                    view, table, deployment.controls[i % 2]
                )
                await reconciler.advance_stages(now)
                await reconciler.advance_stages(now + 1)
                assert view.rollouts['r'].share == ([0] + ROLLOUT['stages'])[i]
                await reconciler.advance_stages(now + 400)
            rollout = await deployment.read()
            assert rollout.state is rollouts.COMPLETE

        run_with_deployment(check)

    def test_stage_waits_for_ratings(self):
        async def check(deployment):
            view = await deployment.make_view()
            reconciler = rollouts.RolloutReconciler(
                view,
                rollouts.RolloutTable(view),
                deployment.controls[0],
            )
            for i in range(6):
                await reconciler.advance_stages(i * 400.0)
            assert view.rollouts['r'].share == 0.01

        run_with_deployment(check)
