"""Tests of moves of a service to a new software version."""

import functools
import json
import pathlib
import random

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


def make_moves(store=None, rank=0):
    """Returns version moves with an order to move service pool to v2."""
    moves = version_moves.VersionMoves(
        store or stores.MemoryStore(),
        configuration.encode_move_status,
        find_rank=lambda service: rank,
    )
    moves.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
    return moves


def make_open_moves(now):
    """Returns version moves whose new version may already serve sessions."""
    moves = make_moves()
    now.value += version_moves.SETTLE_SECONDS
    return moves


def make_gateways(count):
    """Returns version moves without an order that hear of each other."""
    gateways = []

    def announce_session(sender, session_hash):
        for number, gateway in enumerate(gateways):
            if number != sender:
                gateway.keep_on_old_version(session_hash)

    gateways += [
        version_moves.VersionMoves(
            stores.MemoryStore(),
            configuration.encode_move_status,
            functools.partial(announce_session, number),
        )
        for number in range(count)
    ]
    return gateways


def set_stage(moves, stage, state='running', order=5, revision=9, elapsed=0):
    """Applies a record from the store."""
    value = {
        'order': order,
        'stage': stage,
        'state': state,
        'elapsed': elapsed,
    }
    key = version_moves.PREFIX + 'pool'
    moves.apply_record(
        transport_stores.Entry(key, json.dumps(value).encode(), revision, 0)
    )


def count_new(moves, sessions):
    """Returns the number of sessions that the new version serves."""
    return sum(moves.make_version_filter('pool', s)('v2') for s in sessions)


async def advance(moves, seconds=1.0):
    """Runs the moves for a number of seconds of real time."""
    with anyio.move_on_after(seconds):
        await moves.run()


class TestShares:
    def test_first_stage_stays_below_accepted_exposure(self, now):
        moves = make_open_moves(now)
        new_sessions = count_new(moves, [f's{n}' for n in range(2000)])
        assert 100 < new_sessions < 0.12 * 2000

    def test_session_keeps_its_version_in_first_stage(self, now):
        moves = make_open_moves(now)
        sessions = [f's{n}' for n in range(200)]
        first = [moves.make_version_filter('pool', s)('v2') for s in sessions]
        now.value += 4
        again = [moves.make_version_filter('pool', s)('v2') for s in sessions]
        assert first == again

    def test_session_on_new_version_keeps_it_in_later_stages(self, now):
        moves = make_open_moves(now)
        sessions = [f's{n}' for n in range(500)]
        new = {
            s for s in sessions if moves.make_version_filter('pool', s)('v2')
        }
        set_stage(moves, 2)
        assert count_new(moves, new) == len(new)

    def test_no_session_starts_on_version_without_capacity(self, now):
        moves = make_open_moves(now)
        for number in range(500):
            allows = moves.make_version_filter(
                'pool', f's{number}', lambda version: False
            )
            assert allows('v1') and not allows('v2')

    def test_last_stage_moves_all_sessions(self, now):
        moves = make_open_moves(now)
        set_stage(moves, 3)
        assert count_new(moves, [f's{n}' for n in range(50)]) == 50

    def test_reverted_version_gets_no_sessions(self, now):
        moves = make_open_moves(now)
        set_stage(moves, 1, 'reverted')
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_service_without_order_allows_every_version(self, now):
        assert make_moves().make_version_filter('desk', 's')('v7')


class TestSessionsAcrossGateways:
    """Sessions whose requests reach one gateway and then another."""

    SESSIONS = [f's{n}' for n in range(500)]

    @pytest.mark.parametrize('first_at', [-4, 0.5])
    def test_session_begun_before_the_share_opened_stays_on_old_version(
        self, now, first_at
    ):
        gateways = make_gateways(2)
        started_at = now.value
        order = version_moves.Order('pool', 'v2', 20.0, 5)
        if first_at > 0:
            for gateway in gateways:
                gateway.set_order(order)
        now.value = started_at + first_at
        for session in self.SESSIONS:
            allows = gateways[0].make_version_filter('pool', session)
            assert allows('v1')
        now.value = started_at
        for gateway in gateways:
            gateway.set_order(order)
        now.value = started_at + version_moves.SETTLE_SECONDS + 1
        assert count_new(gateways[1], self.SESSIONS) == 0
        assert count_new(gateways[1], [f't{n}' for n in range(500)])

    def test_session_kept_for_lack_of_warm_servers_stays_everywhere(self, now):
        gateways = make_gateways(2)
        for gateway in gateways:
            gateway.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
        now.value += 5
        for session in self.SESSIONS:
            gateways[0].make_version_filter('pool', session, lambda v: False)
        assert count_new(gateways[1], self.SESSIONS) == 0

    def test_sessions_start_on_new_version_where_its_share_is_open(self, now):
        """Covers a gateway that starts while the move is running."""
        moves = make_gateways(1)[0]
        moves.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
        set_stage(moves, 0, elapsed=0.2)
        assert count_new(moves, self.SESSIONS)

    def test_next_move_begins_with_all_sessions_on_its_old_version(self, now):
        moves = make_open_moves(now)
        assert count_new(moves, self.SESSIONS)
        set_stage(moves, 3, 'complete')
        now.value += 3
        assert count_new(moves, self.SESSIONS) == len(self.SESSIONS)
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 7))
        for session in self.SESSIONS:
            assert moves.make_version_filter('pool', session)('v2')


class TestEvaluation:
    def test_failing_version_is_halted_immediately(self, now):
        moves = make_open_moves(now)
        for _ in range(30):
            moves.record('pool', 'v1', True)
        for is_success in (True, False, False, False):
            moves.record('pool', 'v2', is_success)
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_failures_of_both_versions_do_not_halt(self, now):
        moves = make_open_moves(now)
        for _ in range(10):
            moves.record('pool', 'v1', True)
            moves.record('pool', 'v1', False)
        for is_success in (True, False, False, False, True, True):
            moves.record('pool', 'v2', is_success)
        assert count_new(moves, [f's{n}' for n in range(500)]) > 0

    def test_slow_version_is_halted(self, now):
        moves = make_open_moves(now)
        for _ in range(10):
            moves.record('pool', 'v1', True, 0.6)
            moves.record('pool', 'v2', True, 5.0)
        assert count_new(moves, [f's{n}' for n in range(500)]) == 0

    def test_uncached_prompts_do_not_halt_new_version(self, now):
        """Guards against a halt because new servers start without a cache.

        Their responses take longer than those of the old servers, but not
        longer than estimated.
        """
        moves = make_open_moves(now)
        for _ in range(20):
            moves.record('pool', 'v1', True, 0.4)
            moves.record('pool', 'v2', True, 1.1)
        assert count_new(moves, [f's{n}' for n in range(500)]) > 0

    def test_version_failing_in_last_stage_is_halted(self, now):
        moves = make_open_moves(now)
        set_stage(moves, 3)
        for _ in range(20):
            moves.record('pool', 'v2', True)
        for _ in range(12):
            moves.record('pool', 'v2', False)
        assert count_new(moves, ['a', 'b', 'c']) == 0


class TestRecords:
    @run_async
    async def test_halt_is_written_to_store(self):
        store = stores.MemoryStore()
        moves = make_moves(store)
        for _ in range(4):
            moves.record('pool', 'v2', False)
        await advance(moves)
        status = json.loads(store.entries['status/rollout/pool'].value)
        assert status == {'state': 'rolled_back', 'target': 'v2'}

    @run_async
    async def test_gateways_write_in_turn(self):
        store = stores.MemoryStore()
        moves = make_moves(store, rank=2)
        await advance(moves, 0.9)
        assert not store.writes
        await advance(moves, 0.9)
        assert store.writes == 1

    @run_async
    async def test_write_with_lost_response_is_not_repeated(self):
        """Guards against a second write after the store's response is lost."""
        store = stores.MemoryStore()
        store.lose_answers = 1
        moves = make_moves(store)
        await advance(moves)
        record = json.loads(store.entries['chivejunction/moves/pool'].value)
        assert record['state'] == 'running'
        assert store.writes == 1

    @run_async
    async def test_conflict_applies_record_of_other_gateway(self):
        store = stores.MemoryStore()
        moves, other_moves = make_moves(store), make_moves(store)
        for _ in range(4):
            moves.record('pool', 'v2', False)
        await advance(moves)
        await advance(other_moves)
        assert count_new(other_moves, [f's{n}' for n in range(500)]) == 0

    @run_async
    async def test_record_of_earlier_order_is_replaced(self):
        store = stores.MemoryStore()
        old_moves = make_moves(store)
        await advance(old_moves)
        moves = version_moves.VersionMoves(
            store, configuration.encode_move_status
        )
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 77))
        moves.apply_record(store.entries['chivejunction/moves/pool'])
        await advance(moves)
        record = json.loads(store.entries['chivejunction/moves/pool'].value)
        assert record['order'] == 77

    def test_restart_keeps_elapsed_time(self, now):
        moves = make_moves()
        set_stage(moves, 2, elapsed=0.62)
        elapsed = moves._moves['pool'].find_elapsed_share()
        assert elapsed == pytest.approx(0.62)

    @pytest.mark.parametrize(
        'value',
        [
            b'\xff',
            b'[' * 2000,
            b'{"order":' * 2000,
            b'7',
            b'null',
            b'{"order": 5, "stage": -1, "state": "running", "elapsed": 0}',
            b'{"order": 5, "stage": 1e999, "state": "running", "elapsed": 0}',
            b'{"order": 5, "stage": "3", "state": "running", "elapsed": 0}',
            b'{"order": 5, "stage": 3, "state": "over", "elapsed": 0}',
            b'{"order": 5, "stage": 3, "state": ["x"], "elapsed": 0}',
            b'{"order": 5, "stage": 3, "state": "running", "elapsed": NaN}',
            b'{"order": 5, "stage": 3, "state": "running", "elapsed": 1e300}',
            b'{"order": 5, "stage": 3, "state": "running", "elapsed": -1}',
            b'{"order": 5, "stage": 3, "state": "running"}',
            b'{"order": 5, "stage": 3, "state": "running", "elapsed": '
            + b'9' * 400
            + b'}',
        ],
    )
    @run_async
    async def test_invalid_record_is_ignored_and_replaced(self, value):
        """Guards against a move that another writer stops for good."""
        store = stores.MemoryStore()
        moves = make_moves(store)
        key = version_moves.PREFIX + 'pool'
        await store.swap(key, value, 0)
        moves.apply_record(store.entries[key])
        move = moves._moves['pool']
        assert (move.stage, move.state) == (0, version_moves.State.RUNNING)
        await advance(moves, 0.5)
        assert json.loads(store.entries[key].value)['order'] == 5
        assert move.is_recorded

    @run_async
    async def test_deleted_record_is_written_again(self):
        store = stores.MemoryStore()
        moves = make_moves(store)
        await advance(moves, 0.1)
        key = version_moves.PREFIX + 'pool'
        await store.delete(key, store.entries[key].revision)
        moves._moves['pool'].is_halted = True
        await advance(moves, 0.7)
        assert json.loads(store.entries[key].value)['state'] == 'reverted'

    def test_record_with_new_fields_is_applied(self, now):
        moves = make_moves()
        value = {
            'order': 5,
            'stage': 9,
            'state': 'running',
            'elapsed': 0,
            'new': None,
        }
        key = version_moves.PREFIX + 'pool'
        moves.apply_record(
            transport_stores.Entry(key, json.dumps(value).encode(), 9, 0)
        )
        assert moves._moves['pool'].stage == 3

    def test_stage_is_never_lowered(self, now):
        moves = make_moves()
        set_stage(moves, 2, revision=9)
        set_stage(moves, 1, revision=8)
        assert moves._moves['pool'].stage == 2


class TestPlan:
    def test_successful_move_completes_before_deadline(self, now):
        moves = make_moves()
        set_stage(moves, 3)
        ordered_at = now.value
        now.value += 0.89 * 20
        move = moves._moves['pool']
        assert moves._plan(move)[1] is version_moves.State.RUNNING
        now.value += 0.02 * 20
        assert moves._plan(move)[1] is version_moves.State.COMPLETE
        assert now.value < ordered_at + move.order.seconds

    def test_move_is_not_complete_before_last_stage_is_recorded(self, now):
        moves = make_moves()
        now.value += 19.5
        stage, state = moves._plan(moves._moves['pool'])
        assert (stage, state) == (3, version_moves.State.RUNNING)


def make_pool(count):
    """Returns version moves of gateways that share their results."""
    gateways = []

    def publish(sender, key, row):
        expires_at = clock.make_deadline(version_moves.WINDOW_SECONDS)
        for number, gateway in enumerate(gateways):
            if number != sender:
                gateway.apply_peer_results(sender, (key, *row), expires_at)

    for number in range(count):
        gateways.append(
            version_moves.VersionMoves(
                stores.MemoryStore(),
                configuration.encode_move_status,
                publish_results=functools.partial(publish, number),
            )
        )
    for gateway in gateways:
        gateway.set_order(version_moves.Order('pool', 'v2', 15.0, 5))
    return gateways


def record_old_intervals(gateways, generator):
    """Records the intervals of streams of the old version."""
    for gateway in gateways:
        for _ in range(30):
            gateway.record_interval(
                'pool', 'v1', generator.lognormvariate(-3.4, 0.6), 4
            )


def is_halted(gateway):
    """Returns whether a gateway found the new version bad."""
    return gateway._moves['pool'].is_halted


# Share of the requests in the ordered time that a bad version may get, the
# lowest one on the users' data sheets (expose_share).
MAX_EXPOSURE = 0.12


def compute_exposure(elapsed, seconds):
    """Returns the share of requests that a new version got.

    Args:
        elapsed: Seconds from the order until the move was halted.
        seconds: Ordered time.
    """
    exposure, stages = 0.0, version_moves.STAGES
    for number, stage in enumerate(stages):
        start = max(stage.starts_at * seconds, version_moves.SETTLE_SECONDS)
        end = elapsed
        if number + 1 < len(stages):
            end = min(end, stages[number + 1].starts_at * seconds)
        exposure += stage.share * max(0.0, end - start)
    return exposure / seconds


class TestSlowVersion:
    """A version whose streams are several times slower is not kept."""

    def test_gateways_that_see_one_stream_each_find_it(self, now):
        gateways = make_pool(68)
        record_old_intervals(gateways, random.Random(1))
        for number, gateway in enumerate(gateways[:12]):
            assert number < 9 or any(map(is_halted, gateways))
            gateway.record_interval('pool', 'v2', 0.15, 0)
        # Gateways whose old intervals vary more need more evidence.
        assert sum(map(is_halted, gateways)) > len(gateways) / 2

    def test_failures_at_different_gateways_add_up(self, now):
        gateways = make_pool(10)
        for gateway in gateways:
            for _ in range(10):
                gateway.record('pool', 'v1', True)
        for gateway in gateways[:5]:
            gateway.record('pool', 'v2', False)
            gateway.record('pool', 'v2', True)
        assert all(is_halted(gateway) for gateway in gateways)

    @pytest.mark.parametrize(
        'row',
        [
            (3, -9, 0, 0),
            (-3, 9, 0, 0),
            (10, 9, 0, 0),
            (0, 9, -1, 0),
            (0, 9, 0, -1),
            (2**64, 2**64, 0, 0),
            (1.5, 9, 0, 0),
            (True, 9, 0, 0),
            (3, 9, 0),
            (3, 9, 0, 0, 0),
        ],
    )
    def test_odd_results_of_peers_are_malformed(self, now, row):
        """They would count in each evaluation until they expire."""
        moves = make_moves()
        key = moves._moves['pool'].results_key
        with pytest.raises(ValueError):
            moves.apply_peer_results(1, (key, *row), now.value + 9)
        assert not moves._moves['pool'].peer_results

    def test_results_of_peers_expire(self, now):
        gateways = make_pool(3)
        gateways[0].record('pool', 'v2', False)
        gateways[1].record('pool', 'v2', False)
        now.value += version_moves.WINDOW_SECONDS
        gateways[2].record('pool', 'v2', False)
        assert not any(is_halted(gateway) for gateway in gateways)

    def test_sound_version_is_kept(self, now):
        """The ratio of the test allows one error in 200 moves."""
        generator = random.Random(5)
        wrong = 0
        for _ in range(400):
            gateways = make_pool(4)
            record_old_intervals(gateways, generator)
            for _ in range(20):
                generator.choice(gateways).record_interval(
                    'pool', 'v2', generator.lognormvariate(-3.4, 0.6), 1
                )
            wrong += is_halted(gateways[0])
        assert wrong <= 400 / 200

    def test_load_does_not_make_a_version_slow(self, now):
        gateways = make_pool(2)
        record_old_intervals(gateways, random.Random(1))
        for _ in range(20):
            gateways[0].record_interval('pool', 'v2', 0.3, 9)
        assert not is_halted(gateways[0])

    @pytest.mark.parametrize('day', [0, 1, 2])
    def test_recorded_days(self, now, day):
        """Two of these moves were completed; ordered at 4 s, for 15 s."""
        path = pathlib.Path(__file__).parent / 'records/slow_version.json'
        rows = json.loads(path.read_text())[day]
        gateways = make_pool(4)
        halted_at = None
        for at, number, version, seconds, running in rows:
            now.value = 1000 + at
            gateways[number].record_interval('pool', version, seconds, running)
            if halted_at is None and is_halted(gateways[number]):
                halted_at = at
        assert compute_exposure(halted_at - 4, 15) <= MAX_EXPOSURE


class TestBrokenStreams:
    """Guards against a first event that counts as a success."""

    def test_stream_that_breaks_off_is_one_failure(self, now):
        moves = make_open_moves(now)
        for _ in range(9):
            moves.record('pool', 'v1', True)
        for _ in range(3):
            begun = moves.record('pool', 'v2', True, 1.0)
            now.value += version_moves.WINDOW_SECONDS + 1
            moves.record_failure('pool', 'v2', begun)
        assert moves._results['pool', 'v2'].count() == (1, 1)

    def test_version_that_breaks_its_streams_is_halted(self, now):
        """One in four streams breaks off: more than a fifth."""
        moves = make_open_moves(now)
        for number in range(40):
            moves.record('pool', 'v1', True)
            begun = moves.record('pool', 'v2', True, 1.0)
            if number % 4 == 3:
                moves.record_failure('pool', 'v2', begun)
        assert moves._moves['pool'].is_halted

    def test_failure_counts_after_many_other_results(self, now):
        """Guards against failures that leave the bounded list of results."""
        moves = make_open_moves(now)
        for _ in range(9):
            moves.record('pool', 'v1', True)
        begun = [moves.record('pool', 'v2', True, 1.0) for _ in range(10)]
        for _ in range(version_moves.MAX_WINDOW_RESULTS):
            moves.record('pool', 'v2', True, 1.0)
        for result in begun:
            moves.record_failure('pool', 'v2', result)
        assert moves._moves['pool'].is_halted

    def test_attempt_that_is_given_up_is_no_success(self, now):
        moves = make_open_moves(now)
        moves.record('pool', 'v2', None, 1.0)
        assert moves._results['pool', 'v2'].count() == (0, 0)


class TestWithdrawnVersions:
    """Guards against a bad version whose servers the next move uses again.

    They may still be listed when another version is ordered.
    """

    SESSIONS = [f's{n}' for n in range(300)]

    def count_bad(self, moves):
        """Returns the number of sessions that may use the bad version."""
        return sum(
            moves.make_version_filter('pool', s)('v2') for s in self.SESSIONS
        )

    def make_reverted_moves(self, now, store=None):
        moves = make_moves(store)
        now.value += version_moves.SETTLE_SECONDS
        for _ in range(4):
            moves.record('pool', 'v2', False)
        assert self.count_bad(moves) == 0
        return moves

    def test_next_move_does_not_use_it(self, now):
        moves = self.make_reverted_moves(now)
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 7))
        assert self.count_bad(moves) == 0
        now.value += version_moves.SETTLE_SECONDS
        assert self.count_bad(moves) == 0
        assert count_new(moves, self.SESSIONS) == 0
        assert all(
            moves.make_version_filter('pool', s)('v1')
            or moves.make_version_filter('pool', s)('v3')
            for s in self.SESSIONS
        )
        set_stage(moves, 3, 'complete', order=7)
        now.value += version_moves.OLD_SERVERS_REMOVED_SECONDS + 1
        assert self.count_bad(moves) == 0

    def test_it_may_be_ordered_again(self, now):
        moves = self.make_reverted_moves(now)
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 7))
        moves.set_order(version_moves.Order('pool', 'v2', 20.0, 8))
        now.value += version_moves.SESSION_TTL_SECONDS
        assert self.count_bad(moves)

    @run_async
    async def test_gateway_that_starts_later_reads_it_from_the_record(self):
        store = stores.MemoryStore()
        moves = make_moves(store)
        for _ in range(4):
            moves.record('pool', 'v2', False)
        await advance(moves)
        moves.set_order(version_moves.Order('pool', 'v3', 20.0, 7))
        for has_next_record in (False, True):
            if has_next_record:
                moves.apply_record(store.entries['chivejunction/moves/pool'])
                await advance(moves)
            newcomer = version_moves.VersionMoves(
                store, configuration.encode_move_status
            )
            newcomer.apply_record(store.entries['chivejunction/moves/pool'])
            newcomer.set_order(version_moves.Order('pool', 'v3', 20.0, 7))
            assert self.count_bad(newcomer) == 0

    def test_number_of_versions_is_limited(self, now):
        moves = make_moves()
        for number in range(3 * version_moves.MAX_WITHDRAWN_VERSIONS):
            moves._withdraw('pool', f'w{number}')
        assert len(moves._withdrawn['pool']) == (
            version_moves.MAX_WITHDRAWN_VERSIONS
        )
