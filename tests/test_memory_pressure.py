"""Tests of who gives way when memory is short, without a network."""

import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.scheduling import memory_pressure
from chivejunction.state import held_memory
from chivejunction.transport import caller_memory

MEGABYTE = 1_000_000
BOUND = memory_pressure.Bound.make(12 * MEGABYTE)
KIND = held_memory.Kind
PHASE = held_memory.Phase


class Crowd:
    """Holders in an account of their own."""

    def __init__(self):
        self.account = held_memory.Account()
        self.now = clock.now()

    def add(self, size, address='10.0.0.1', phase=PHASE.READING, **options):
        """Adds a holder of a body.

        Args:
            size: Bytes of the body.
            address: Address of the caller.
            phase: What it does.
            **options: ``stalled`` seconds and ``kind`` of the bytes.
        """
        hold = self.account.open(address, None)
        hold.phase = phase
        hold.set(options.get('kind', KIND.BODY), size)
        hold.progress_at = self.now - options.get('stalled', 0.0)
        return hold

    def choose(self, requester):
        """Returns the holders that give way to a requester."""
        return list(
            memory_pressure.choose_released(
                list(self.account.holds),
                requester,
                self.account.total,
                BOUND,
                self.now,
            )
        )


@pytest.fixture
def crowd():
    """A crowd without holders."""
    return Crowd()


class TestBound:
    def test_smallest_host(self):
        bound = memory_pressure.compute_bound(128 * MEGABYTE)
        # Requests and responses of the largest size at once, several times.
        assert bound.total == 38_400_000
        assert bound.long >= 3 * 2 * 4 * 1024 * 1024

    @pytest.mark.parametrize('megabytes', [1, 64, 70])
    def test_one_request_fits_on_any_host(self, megabytes):
        bound = memory_pressure.compute_bound(megabytes * MEGABYTE)
        assert bound.long >= 7 * MEGABYTE

    def test_unknown_memory(self):
        bound = memory_pressure.compute_bound(None)
        assert bound.total == memory_pressure.DEFAULT_BOUND_BYTES

    @pytest.mark.parametrize('descriptors', [1, 200, 3075])
    def test_sockets(self, descriptors):
        sockets = memory_pressure.compute_max_sockets(descriptors)
        assert 1 <= sockets <= descriptors


class TestOrder:
    def test_nobody_gives_way_below_the_bound(self, crowd):
        crowd.add(3 * MEGABYTE, stalled=9)
        assert crowd.choose(crowd.add(4 * MEGABYTE)) == []

    def test_oldest_progress_of_an_address_goes_first(self, crowd):
        late = crowd.add(6 * MEGABYTE, stalled=2)
        old = crowd.add(6 * MEGABYTE, stalled=5)
        chosen = crowd.choose(crowd.add(1000))
        assert chosen == [old]
        assert late not in chosen

    def test_address_that_holds_most_goes_first(self, crowd):
        crowd.add(2 * MEGABYTE, '10.0.0.2', stalled=9)
        greedy = crowd.add(10 * MEGABYTE, '10.0.0.3', stalled=2)
        assert crowd.choose(crowd.add(1000)) == [greedy]

    def test_idle_connections_go_after_stalled_requests(self, crowd):
        idle = crowd.add(
            MEGABYTE, phase=PHASE.IDLE, kind=KIND.CONNECTION, stalled=9
        )
        stalled = crowd.add(11 * MEGABYTE, stalled=2)
        chosen = crowd.choose(crowd.add(1000))
        assert chosen == [stalled]
        assert idle not in chosen

    def test_only_what_was_read_ahead_of_a_request_in_progress(self, crowd):
        running = crowd.add(12 * MEGABYTE, phase=PHASE.RUNNING, stalled=9)
        requester = crowd.add(1000)
        assert crowd.choose(requester) == [requester]
        running.set(KIND.AHEAD, MEGABYTE)
        assert running in crowd.choose(requester)

    def test_released_holder_is_not_chosen_again(self, crowd):
        crowd.add(12 * MEGABYTE, phase=PHASE.CLOSING, stalled=9)
        requester = crowd.add(1000)
        assert crowd.choose(requester) == [requester]


class TestLongRequests:
    def test_long_request_leaves_those_with_progress_alone(self, crowd):
        for _ in range(2):
            crowd.add(4 * MEGABYTE)
        requester = crowd.add(4 * MEGABYTE)
        assert crowd.choose(requester) == [requester]

    def test_long_request_gives_way_to_an_ordinary_one(self, crowd):
        longest = crowd.add(9 * MEGABYTE)
        short = [crowd.add(50_000) for _ in range(60)]
        assert crowd.choose(crowd.add(10_000)) == [longest]
        assert short

    def test_room_for_ordinary_requests_beside_long_ones(self, crowd):
        crowd.add(BOUND.long - 1000)
        ordinary = crowd.add(100_000, kind=KIND.CONNECTION)
        assert crowd.choose(ordinary) == []
        requester = crowd.add(100_000)
        assert crowd.choose(requester) == [requester]


class TestDescriptors:
    def test_stalled_requests_are_closed_up_to_the_count(self, crowd):
        old = crowd.add(1, stalled=9)
        crowd.add(1, stalled=3)
        crowd.add(1)
        crowd.add(1, phase=PHASE.RUNNING, stalled=9)
        holds = list(crowd.account.holds)
        assert memory_pressure.choose_closed(holds, 1, crowd.now) == [old]
        closed = memory_pressure.choose_closed(holds, 9, crowd.now)
        assert len(closed) == 2


class TestAccount:
    def test_closed_holds_give_back_everything(self, crowd):
        hold = crowd.add(5000)
        hold.set(KIND.AHEAD, 300)
        hold.set(KIND.AHEAD, 200)
        assert crowd.account.total == 5200
        crowd.account.check()
        crowd.account.close(hold)
        crowd.account.close(hold)
        crowd.account.check()
        assert crowd.account.total == 0

    def test_drift_is_found(self, crowd):
        crowd.add(5000)
        crowd.account.change(KIND.BODY, 1)
        with pytest.raises(errors.InvariantViolation):
            crowd.account.check()


class TestGuard:
    class Connection:
        """Records that it was released."""

        def __init__(self):
            self.is_released = False

        def release(self):
            """Gives back what the connection can."""
            self.is_released = True

    def test_one_log_line_for_an_episode(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            caller_memory.logs,
            'log_decision',
            lambda kind, **fields: lines.append(fields),
        )
        guard = caller_memory.MemoryGuard(84 * MEGABYTE)
        connections = [self.Connection() for _ in range(20)]
        for connection in connections:
            hold = guard.account.open('10.0.0.1', connection)
            hold.phase = PHASE.READING
            hold.set(KIND.BODY, MEGABYTE)
            hold.progress_at -= 5
        hold = guard.account.open('10.0.0.2', self.Connection())
        hold.set(KIND.BODY, 1000)
        assert guard.make_room(hold)
        released = sum(c.is_released for c in connections)
        assert 8 < released < 12
        (line,) = lines
        assert (line['reason'], line['held_body']) == ('memory', 20_001_000)
