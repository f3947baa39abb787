"""Moves of a service to a new software version."""

import json

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import version_moves
from chivejunction.platform import configuration
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async


@pytest.fixture
def now(monkeypatch):
    """Lets a test set the monotonic time."""

    class Time:
        value = 1000.0

    monkeypatch.setattr(clock, 'now', lambda: Time.value)
    monkeypatch.setattr(
        clock, 'has_passed', lambda deadline: Time.value >= deadline
    )
    monkeypatch.setattr(
        clock, 'make_deadline', lambda budget: Time.value + budget
    )
    return Time


def make_moves(store=None):
    """Returns moves with one order."""
    moves = version_moves.VersionMoves(
        store or stores.MemoryStore(), configuration.write_status
    )
    moves.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
    return moves


def set_stage(moves, stage, state='running', order=5, revision=9, elapsed=0):
    """Takes a shared record."""
    value = {
        'order': order,
        'stage': stage,
        'state': state,
        'elapsed': elapsed,
    }
    key = version_moves.PREFIX + 'pool'
    moves.set_record(
        transport_stores.Entry(key, json.dumps(value).encode(), revision, 0)
    )


def count_new(moves, sessions):
    """Returns how many sessions the new version serves."""
    return sum(moves.choose_versions('pool', s)('v2') for s in sessions)


async def advance(moves, seconds=1.0):
    """Runs the moves for a while of real time."""
    with anyio.move_on_after(seconds):
        await moves.run()


class TestShares:
    def test_canary_share_stays_below_the_exposure(self, now):
        moves = make_moves()
        found = count_new(moves, [f's{n}' for n in range(2000)])
        assert 100 < found < 0.12 * 2000

    def test_a_session_keeps_its_version_in_the_first_half(self, now):
        moves = make_moves()
        sessions = [f's{n}' for n in range(200)]
        first = [moves.choose_versions('pool', s)('v2') for s in sessions]
        now.value += 4
        again = [moves.choose_versions('pool', s)('v2') for s in sessions]
        assert first == again

    def test_a_session_on_the_new_version_stays_there(self, now):
        moves = make_moves()
        sessions = [f's{n}' for n in range(500)]
        new = {s for s in sessions if moves.choose_versions('pool', s)('v2')}
        set_stage(moves, 2)
        assert count_new(moves, new) == len(new)

    def test_no_session_begins_on_a_version_without_room(self, now):
        moves = make_moves()
        for number in range(500):
            allows = moves.choose_versions(
                'pool', f's{number}', lambda version: False
            )
            assert allows('v1') and not allows('v2')

    def test_full_stage_moves_all(self, now):
        moves = make_moves()
        set_stage(moves, 3)
        assert count_new(moves, [f's{n}' for n in range(50)]) == 50

    def test_reverted_version_gets_nothing(self, now):
        moves = make_moves()
        set_stage(moves, 1, 'reverted')
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_service_without_an_order_allows_all(self, now):
        assert make_moves().choose_versions('desk', 's')('v7')


class TestJudgement:
    def test_failing_version_is_halted_at_once_here(self, now):
        moves = make_moves()
        for _ in range(30):
            moves.record('pool', 'v1', True)
        for is_good in (True, False, False, False):
            moves.record('pool', 'v2', is_good)
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_failures_of_both_versions_halt_nothing(self, now):
        moves = make_moves()
        for _ in range(10):
            moves.record('pool', 'v1', True)
            moves.record('pool', 'v1', False)
        for is_good in (True, False, False, False, True, True):
            moves.record('pool', 'v2', is_good)
        assert count_new(moves, [f's{n}' for n in range(500)]) > 0

    def test_slow_version_is_halted(self, now):
        moves = make_moves()
        for _ in range(10):
            moves.record('pool', 'v1', True, 0.6)
            moves.record('pool', 'v2', True, 5.0)
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_unread_prompts_do_not_halt_a_version(self, now):
        moves = make_moves()
        for _ in range(20):
            moves.record('pool', 'v1', True, 0.4)
            moves.record('pool', 'v2', True, 1.1)
        assert count_new(moves, [f's{n}' for n in range(500)]) > 0

    def test_late_fault_at_full_share_is_halted(self, now):
        moves = make_moves()
        set_stage(moves, 3)
        for _ in range(20):
            moves.record('pool', 'v2', True)
        for _ in range(12):
            moves.record('pool', 'v2', False)
        assert count_new(moves, ['a', 'b', 'c']) == 0


class TestRecords:
    @run_async
    async def test_halt_is_written_for_all(self):
        store = stores.MemoryStore()
        moves = make_moves(store)
        for _ in range(4):
            moves.record('pool', 'v2', False)
        await advance(moves)
        status = json.loads(store.entries['status/rollout/pool'].value)
        assert status == {'state': 'rolled_back', 'target': 'v2'}

    @run_async
    async def test_lost_answer_is_read_back(self):
        store = stores.MemoryStore()
        store.lose_answers = 1
        moves = make_moves(store)
        await advance(moves)
        record = json.loads(store.entries['chivejunction/moves/pool'].value)
        assert record['state'] == 'running'
        assert store.writes == 1

    @run_async
    async def test_conflict_takes_over_what_another_wrote(self):
        store = stores.MemoryStore()
        one, two = make_moves(store), make_moves(store)
        for _ in range(4):
            one.record('pool', 'v2', False)
        await advance(one)
        await advance(two)
        assert count_new(two, [f's{n}' for n in range(500)]) == 0

    @run_async
    async def test_record_of_an_earlier_order_is_replaced(self):
        store = stores.MemoryStore()
        old = make_moves(store)
        await advance(old)
        moves = version_moves.VersionMoves(store, configuration.write_status)
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 77))
        moves.set_record(store.entries['chivejunction/moves/pool'])
        await advance(moves)
        record = json.loads(store.entries['chivejunction/moves/pool'].value)
        assert record['order'] == 77

    def test_restart_keeps_the_time_that_has_passed(self, now):
        moves = make_moves()
        set_stage(moves, 2, elapsed=0.62)
        elapsed = moves._moves['pool'].find_elapsed()
        assert elapsed == pytest.approx(0.62)

    def test_a_record_that_is_not_valid_is_left_out(self, now):
        moves = make_moves()
        key = version_moves.PREFIX + 'pool'
        moves.set_record(transport_stores.Entry(key, b'\xff', 99, 0))
        assert moves._moves['pool'].revision == 0

    def test_a_stage_never_goes_back(self, now):
        moves = make_moves()
        set_stage(moves, 2, revision=9)
        set_stage(moves, 1, revision=8)
        assert moves._moves['pool'].stage == 2


class TestPlan:
    def test_good_move_is_complete_before_its_time(self, now):
        moves = make_moves()
        set_stage(moves, 3)
        now.value += 0.89 * 20
        move = moves._moves['pool']
        assert moves._plan(move)[1] is version_moves.State.RUNNING
        now.value += 0.02 * 20
        assert moves._plan(move)[1] is version_moves.State.COMPLETE
        assert now.value < move.deadline

    def test_not_complete_before_every_gateway_saw_the_last_stage(self, now):
        moves = make_moves()
        now.value += 19.5
        stage, state = moves._plan(moves._moves['pool'])
        assert (stage, state) == (3, version_moves.State.RUNNING)
