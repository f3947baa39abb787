"""Tests of bulletins, which gateways pass on without the store."""

import json
import random

import anyio
import msgpack
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async


class VirtualTime:
    """Replaces the monotonic clock; moves only when told."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(clock.time, 'monotonic', lambda: self.now)


@pytest.fixture
def virtual_time(monkeypatch):
    return VirtualTime(monkeypatch)


def run_now(coroutine):
    """Runs a coroutine that never waits."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


class Fleet:
    """Gateways whose datagrams are delivered in the same instant.

    Args:
        count: Number of gateways.
        loss: Share of the datagrams that are lost.
    """

    def __init__(self, count, loss=0.0):
        self._random = random.Random(7)
        self.loss = loss
        self.datagrams = 0
        self.largest = 0
        self.heard = {}
        self.boards = {}
        for number in range(count):
            self.add(number)

    def add(self, number, knows_members=True):
        """Adds a gateway; all others know it."""
        name = f'gw-{number}'
        members = gateway_membership.GatewayMembership(
            stores.MemoryStore(), name, make_address(name), 'bkk'
        )
        board = bulletins.BulletinBoard(name, members)
        self.heard[name] = []
        board.listen('crash', self.heard[name].append)
        self.boards[name] = board, members
        for other, (_, other_members) in self.boards.items():
            if knows_members:
                add_member(members, other)
            add_member(other_members, name)
        return name

    def board(self, number):
        """Returns the board of a gateway."""
        return self.boards[f'gw-{number}'][0]

    def play_round(self):
        """Lets each gateway send once."""
        for name, (board, _) in self.boards.items():
            run_now(board._send_round(FakeSender(self, name)))

    def deliver(self, name, data, address):
        """Delivers a datagram unless it is lost."""
        self.datagrams += 1
        self.largest = max(self.largest, len(data))
        if self._random.random() >= self.loss:
            receiver = f'gw-{address[1] - 1}'
            self.boards[receiver][0].handle_datagram(data, make_address(name))


class FakeSender:
    """Sends the datagrams of one gateway through the fleet."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def send(self, data, address):
        """Hands over a datagram."""
        self._fleet.deliver(self._name, data, address)


def make_address(name):
    """Returns the IP address and port of the gateway with a name."""
    return '127.0.0.1', int(name.removeprefix('gw-')) + 1


def add_member(members, name):
    """Adds a gateway to a membership list."""
    key = gateway_membership.PREFIX + name
    entry = transport_stores.Entry(
        key, json.dumps([*make_address(name), 'bkk', 1]).encode(), 1, 0
    )
    members.apply(transport_stores.Change(key, 1, entry))


class TestSpread:
    @pytest.mark.parametrize('loss', [0.0, 0.4])
    def test_reaches_hundreds_of_gateways_in_time(self, virtual_time, loss):
        """Within the 4 s in which all gateways must heed a notice."""
        fleet = Fleet(300, loss)
        fleet.board(0).publish('crash', 5, (1, 2), 60)
        for _ in range(int(4 / bulletins.ROUND_SECONDS)):
            fleet.play_round()
            virtual_time.now += bulletins.ROUND_SECONDS
        assert all(
            [b.value for b in heard] == [(1, 2)]
            for name, heard in fleet.heard.items()
            if name != 'gw-0'
        )

    def test_gateway_that_starts_later_catches_up(self, virtual_time):
        fleet = Fleet(60, 0.3)
        for key in range(8):
            fleet.board(key).publish('crash', key, (key,), 600)
        for _ in range(40):
            fleet.play_round()
            virtual_time.now += bulletins.ROUND_SECONDS
        name = fleet.add(99)
        for _ in range(int(4 / bulletins.ROUND_SECONDS)):
            fleet.play_round()
            virtual_time.now += bulletins.ROUND_SECONDS
        assert {b.key for b in fleet.heard[name]} == set(range(8))

    def test_membership_list_that_is_empty_is_replaced(self, virtual_time):
        """All leases may run out while the store is away."""
        fleet = Fleet(2)
        fleet.board(0).publish('crash', 1, (1,), 60)
        fleet.play_round()
        _, members = fleet.boards['gw-1']
        members._members.clear()
        fleet.board(1).publish('crash', 2, (2,), 60)
        fleet.play_round()
        assert [b.key for b in fleet.heard['gw-0']] == [2]

    def test_age_is_kept_on_the_way(self, virtual_time):
        fleet = Fleet(2)
        fleet.board(0).publish('crash', 1, (1,), 60)
        virtual_time.now += 20
        fleet.play_round()
        bulletin = fleet.heard['gw-1'][0]
        assert bulletin.issued_at == pytest.approx(1000, abs=0.01)
        assert bulletin.expires_at == pytest.approx(1060, abs=0.01)
        virtual_time.now += 41
        assert fleet.board(1).get('crash', 1) is None

    def test_idle_board_sends_nothing(self, virtual_time):
        fleet = Fleet(5)
        fleet.board(0).publish('crash', 1, (1,), 2)
        fleet.play_round()
        virtual_time.now += 3
        sent = fleet.datagrams
        for _ in range(10):
            fleet.play_round()
            virtual_time.now += bulletins.ROUND_SECONDS
        assert fleet.datagrams == sent


class TestOrder:
    def test_later_bulletin_replaces_earlier_one_only(self, virtual_time):
        fleet = Fleet(2)
        fleet.board(0).publish('crash', 1, (1,), 60)
        virtual_time.now += 5
        fleet.board(1).publish('crash', 1, (2,), 60)
        fleet.play_round()
        assert fleet.board(0).get('crash', 1).value == (2,)
        assert fleet.board(1).get('crash', 1).value == (2,)
        assert not fleet.heard['gw-1']


class TestBounds:
    def test_memory_and_datagrams_are_bounded(self, virtual_time):
        fleet = Fleet(2)
        for key in range(1000):
            virtual_time.now += 0.001
            fleet.board(0).publish('crash', key, tuple(range(10)), 600)
        fleet.play_round()
        board = fleet.board(0)
        assert len(board._bulletins['crash']) == (
            bulletins.MAX_BULLETINS_PER_KIND
        )
        assert fleet.largest <= bulletins.MAX_DATAGRAM_BYTES
        assert fleet.datagrams <= 2 * (bulletins.MAX_DATAGRAMS_PER_ROUND + 1)

    @pytest.mark.parametrize(
        'row',
        [
            [],
            ['crash', 1, [1], -5, 10],
            ['crash', 1, [1], 5, 10**9],
            ['crash', 'x', [1], 5, 10],
            ['crash', 1, ['x'], 5, 10],
            ['crash', 1, [float('nan')], 5, 10],
            ['crash', 1, [float('inf')], 5, 10],
            ['crash', 1, list(range(99)), 5, 10],
            [7, 1, [1], 5, 10],
        ],
    )
    def test_malformed_bulletin_is_refused(self, row):
        fleet = Fleet(1)
        data = msgpack.packb(['gw-5', [row]])
        with pytest.raises(errors.ProtocolError):
            fleet.board(0).handle_datagram(data, ('x', 1))
        assert not fleet.heard['gw-0']

    def test_value_that_the_listener_cannot_read_is_not_passed_on(self):
        fleet = Fleet(1)
        board = fleet.board(0)
        board.listen('crash', lambda bulletin: bulletin.value[1])
        data = msgpack.packb(['gw-5', [['crash', 1, [1], 5, 1000]]])
        with pytest.raises(errors.ProtocolError):
            board.handle_datagram(data, ('x', 1))
        assert board.get('crash', 1) is None


class TestUnexpectedErrors:
    """One bulletin must not keep the others from being passed on."""

    def test_malformed_bulletin_does_not_stop_the_others(self):
        fleet = Fleet(1)
        rows = [['crash', 1, ['x'], 5, 10], 7, ['crash', 2, [1], 5, 1000]]
        with pytest.raises(errors.ProtocolError):
            fleet.board(0).handle_datagram(
                msgpack.packb(['gw-5', rows]), ('x', 1)
            )
        assert [b.key for b in fleet.heard['gw-0']] == [2]

    def test_failure_of_a_listener_does_not_stop_the_others(self):
        fleet = Fleet(1)
        heard = []

        def listen(bulletin):
            if bulletin.key == 1:
                raise RuntimeError('not foreseen')
            heard.append(bulletin.key)

        fleet.board(0).listen('crash', listen)
        rows = [['crash', key, [1], 5, 1000] for key in (1, 2)]
        data = msgpack.packb(['gw-5', rows])
        fleet.board(0).handle_datagram(data, ('x', 1))
        assert heard == [2]
        assert fleet.board(0).get('crash', 1) is None

    def test_bulletin_that_cannot_be_encoded_is_dropped(self, virtual_time):
        fleet = Fleet(2)
        fleet.board(0).publish('crash', 1, (10**30,), 600)
        fleet.board(0).publish('crash', 2, (1,), 600)
        fleet.play_round()
        assert [b.key for b in fleet.heard['gw-1']] == [2]
        assert fleet.board(0).get('crash', 1) is None

    @run_async
    async def test_error_of_a_round_does_not_end_the_task(self):
        fleet = Fleet(2)
        board = fleet.board(0)
        board.publish('crash', 1, (1,), 600)
        sent = []

        class Sender:
            async def send(self, data, address):
                sent.append(address)
                if len(sent) == 1:
                    raise RuntimeError('not foreseen')

        with anyio.move_on_after(1.5):
            await board.run(Sender())
        assert len(sent) > 1
        count = len(sent)
        with anyio.move_on_after(1.5):
            await board.run(Sender())
        assert len(sent) > count
