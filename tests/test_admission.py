"""The agent's fair admission and its checks."""

import collections

import anyio
import pytest

from chivejunction import metrics
from chivejunction.protocol import messages
from chivejunction.state import attempts
from tests import rig as rigs

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def read_violations(name):
    return (
        metrics.REGISTRY.get_sample_value(
            'invariant_violations_total', {'name': name}
        )
        or 0
    )


async def hold(rig, organisation='temple'):
    """Makes the engine hold all answers; returns the event that ends it."""
    gate = anyio.Event()

    async def script(stream, attempt):
        await gate.wait()
        await rig.engine.answer(stream, attempt)

    rig.engine.script = script
    rig.start('first', organisation)
    await rig.wait_until(lambda: rig.engine.runs == ['first'])
    return gate


class TestFairAdmission:
    """Guards against an organisation that takes the share of others."""

    async def test_engine_runs_follow_the_weights(self):
        async with rigs.open_rig() as rig:
            rig.configure(
                2,
                weights={'temple': 1, 'school': 2, 'clinic': 4, 'other': 1},
                queue_length=500,
            )
            # The time that it holds the server is charged to another one.
            gate = await hold(rig, 'other')
            for name in ('temple', 'school', 'clinic'):
                for number in range(40):
                    rig.start(f'{name}-{number}', name, 60)
            gate.set()
            await rig.wait_until(lambda: len(rig.engine.runs) >= 36)
            counts = collections.Counter(
                run.split('-')[0] for run in rig.engine.runs[1:36]
            )
            assert counts['temple'] == pytest.approx(5, abs=2)
            assert counts['school'] == pytest.approx(10, abs=2)
            assert counts['clinic'] == pytest.approx(20, abs=3)

    async def test_priority_runs_first_within_the_organisation(self):
        async with rigs.open_rig() as rig:
            gate = await hold(rig)
            rig.start('low', priority=1)
            rig.start('high', priority=8)
            gate.set()
            await rig.wait_until(lambda: len(rig.engine.runs) == 3)
            assert rig.engine.runs == ['first', 'high', 'low']


class TestWaitingPlaces:
    """Guards against places held by nobody and against wasted deadlines."""

    async def test_cancel_gives_the_place_back(self):
        async with rigs.open_rig() as rig:
            gate = await hold(rig)
            rig.start('waits')
            rig.start('next')
            assert rig.gate.queued == 2
            rig.handle(messages.Cancel('waits'))
            await rig.wait_until(lambda: rig.gate.queued == 1)
            gate.set()
            await rig.peer.wait_end('next')
            assert rig.engine.runs == ['first', 'next']
            assert rig.gate.running == 0

    async def test_deadline_gives_the_place_back_as_not_run(self):
        async with rigs.open_rig() as rig:
            await hold(rig)
            rig.start('waits', seconds=0.1)
            end = await rig.peer.wait_end('waits')
            assert (type(end), end.error) == (messages.Refused, 'overloaded')
            assert rig.gate.queued == 0
            assert rig.engine.runs == ['first']

    async def test_hopeless_wait_is_refused_at_once(self):
        async with rigs.open_rig() as rig:
            await hold(rig)
            rig.gate.run_seconds = 2.0
            rig.start('hopeful', seconds=4.5)
            rig.start('hopeless', seconds=4.5)
            end = rig.peer.find('hopeless', messages.Refused)
            await rig.wait_until(
                lambda: rig.peer.find('hopeless', messages.Refused)
            )
            end = rig.peer.find('hopeless', messages.Refused)[0]
            assert end.error == 'overloaded'
            assert end.retry_after_ms == pytest.approx(4000, abs=100)
            assert rig.gate.queued == 1

    async def test_varying_run_times_count_towards_the_wait(self):
        # With the mean alone half of such answers would break off.
        async with rigs.open_rig() as rig:
            for seconds in (0.5, 1.5) * 20:
                rig.gate.record_run(seconds)
            await hold(rig)
            rig.start('late', seconds=2 * rig.gate.run_seconds + 0.5)
            end = await rig.peer.wait_for('late', messages.Refused, seconds=1)
            assert end.error == 'overloaded'
            rig.start('waits', seconds=2 * rig.gate.run_seconds + 3)
            await rig.wait_until(lambda: rig.gate.queued == 1)

    async def test_idle_server_takes_work_despite_a_long_mean(self):
        async with rigs.open_rig() as rig:
            rig.gate.run_seconds = 100.0
            rig.start('one', seconds=5)
            end = await rig.peer.wait_end('one')
            assert isinstance(end, messages.End)

    async def test_queue_is_bounded_and_pushes_out_the_largest(self):
        async with rigs.open_rig() as rig:
            rig.configure(
                2, weights={'temple': 1, 'school': 1}, queue_length=4
            )
            await hold(rig)
            for number in range(5):
                rig.start(f'temple-{number}')
            await rig.peer.wait_for('temple-4', messages.Refused)
            rig.start('school-0', 'school')
            end = await rig.peer.wait_end('temple-3')
            assert end.error == 'overloaded'
            assert rig.gate.queued == 4


class TestChecksAfterTheQueue:
    """Guards against work that waited through a change and still runs."""

    @pytest.mark.parametrize(
        ('options', 'code'),
        [
            ({'state': 'withdrawn'}, 'version_withdrawn'),
            ({'domain': 'closed'}, 'domain_closed'),
            ({'weights': {'school': 1.0}}, 'version_not_allowed'),
        ],
    )
    async def test_change_refuses_what_waits(self, options, code):
        async with rigs.open_rig() as rig:
            gate = await hold(rig)
            rig.start('waits')
            rig.configure(2, **options)
            end = await rig.peer.wait_end('waits')
            gate.set()
            await rig.peer.wait_end('first')
            assert (type(end), end.error) == (messages.Refused, code)
            assert rig.engine.runs == ['first']

    async def test_check_holds_without_the_sweep(self):
        async with rigs.open_rig() as rig:
            rig.gate.sweep = lambda: None
            gate = await hold(rig)
            rig.start('waits')
            rig.configure(2, state='withdrawn')
            gate.set()
            end = await rig.peer.wait_end('waits')
            assert end.error == 'version_withdrawn'
            assert rig.engine.runs == ['first']

    async def test_leaving_server_starts_nothing_after_the_grace(self):
        async with rigs.open_rig() as rig:
            gate = await hold(rig)
            rig.start('waits')
            rig.gate.leave()
            rig.start('late')
            assert (await rig.peer.wait_end('late')).error == 'leaving'
            assert (await rig.peer.wait_end('waits')).error == 'leaving'
            gate.set()
            await rig.peer.wait_end('first')
            assert rig.engine.runs == ['first']

    async def test_leaving_server_refuses_new_work_at_once(self):
        async with rigs.open_rig() as rig:
            rig.gate._leaving_seconds = 30
            rig.gate.leave()
            rig.start('late')
            assert (await rig.peer.wait_end('late')).error == 'leaving'
            assert rig.engine.runs == []

    async def test_unloaded_version_is_refused(self):
        async with rigs.open_rig() as rig:
            rig.start('other', version='small-2')
            end = await rig.peer.wait_end('other')
            assert end.error == 'version_not_loaded'
            assert rig.engine.runs == []


class TestInvariants:
    """Guards against a fault in the checks that reaches the engine."""

    @pytest.mark.parametrize(
        ('name', 'options'),
        [
            ('withdrawn_version', {'state': 'withdrawn'}),
            ('closed_domain', {'domain': 'closed'}),
            ('allowed_version', {'weights': {'school': 1.0}}),
        ],
    )
    async def test_violation_refuses_and_counts(self, name, options):
        async with rigs.open_rig() as rig:
            before = read_violations(name)
            # Stands for a fault in the ordinary checks.
            rig.gate._check_configuration = lambda start: None
            rig.configure(2, **options)
            rig.start('one')
            end = await rig.peer.wait_end('one')
            assert (type(end), end.error) == (messages.Refused, 'internal')
            assert rig.engine.runs == []
            assert read_violations(name) == before + 1

    async def test_attempt_that_ran_is_not_run_again(self):
        async with rigs.open_rig() as rig:
            before = read_violations('at_most_once')
            gate = await hold(rig)
            rig.start('waits')
            rig.table.get('waits').state = attempts.AttemptState.RUNNING
            gate.set()
            await rig.peer.wait_end('waits')
            assert rig.engine.runs == ['first']
            assert read_violations('at_most_once') == before + 1

    async def test_same_attempt_id_runs_once(self):
        async with rigs.open_rig() as rig:
            rig.start('one')
            rig.start('one')
            await rig.peer.wait_end('one')
            rig.start('one')
            await anyio.sleep(0.05)
            assert rig.engine.runs == ['one']
