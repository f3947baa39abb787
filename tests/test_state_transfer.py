"""Tests of the transfer of state to a gateway that has just started."""

import json

import anyio
import msgpack
import pytest

from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import state_transfer
from chivejunction.coordination import version_moves
from chivejunction.platform import configuration
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import stores as protocol
from tests import forward_rig
from tests import stores
from tests import test_gateway_tasks
from tests.forward_rig import run_async

ORDER = {'service': 'pool', 'target': 'v2', 'duration_s': 24}


class MoveFeed(test_gateway_tasks.SteadyFeed):
    """Feed with a configuration, gateways and an ordered version move."""

    def __init__(self, ports):
        self._values = {
            configuration.CONFIG_KEY: forward_rig.make_config(),
            configuration.ROLLOUT_PREFIX + 'pool': ORDER,
            **{
                gateway_membership.PREFIX + name: ['127.0.0.1', p, 'bkk', 1.0]
                for name, p in ports.items()
            },
        }

    async def read_all(self, prefix):
        entries = [
            protocol.Entry(key, json.dumps(value).encode(), 1, 0)
            for key, value in self._values.items()
        ]
        return entries, 1


class Peer:
    """The parts of a gateway that take part in transfers."""

    def __init__(self, name, is_complete=True):
        self.name = name
        self.port = fleet.find_port()
        self.members = gateway_membership.GatewayMembership(
            stores.MemoryStore(), name, ('127.0.0.1', self.port), 'bkk'
        )
        self.board = bulletins.BulletinBoard(name, self.members)
        self.heard = []
        self.board.listen('limit', self.heard.append)
        self.moves = version_moves.VersionMoves(
            stores.MemoryStore(),
            configuration.encode_move_status,
            knows_sessions=lambda: self.transfer.is_complete,
        )
        self.moves.set_order(version_moves.Order('pool', 'v2', 24.0, 5))
        move = self.moves._moves['pool']
        move.started_at -= version_moves.SETTLE_SECONDS
        self.transfer = state_transfer.StateTransfer(
            self.members, self.moves, self.board, http_client.Client()
        )
        self.transfer.is_complete = is_complete
        self.has_loaded = anyio.Event()
        self.has_loaded.set()

    def add_member(self, other):
        """Lists another gateway, or this one, in the membership list."""
        value = json.dumps(['127.0.0.1', other.port, 'bkk', 1.0]).encode()
        key = gateway_membership.PREFIX + other.name
        self.members.apply(
            protocol.Change(key, 1, protocol.Entry(key, value, 1, 0))
        )

    async def serve(self):
        """Responds to other gateways."""
        listener = caller_connections.Listener(self.transfer.handle)
        await listener.serve('127.0.0.1', self.port)

    async def run(self):
        """Takes over the state of other gateways."""
        await self.transfer.run(self.has_loaded)

    def count_old(self, sessions):
        """Returns the number of sessions that the old version serves."""
        return sum(
            self.moves.make_version_filter('pool', s)('v1') for s in sessions
        )


def list_first_share(count):
    """Returns ids of sessions in the share of the first stage."""
    names = (f's{n}' for n in range(100 * count))
    hashes = ((s, version_moves.rendezvous.hash_key('pool', s)) for s in names)
    chosen = [s for s, h in hashes if version_moves.is_in_first_share(h)]
    return chosen[:count]


async def wait_until(condition):
    """Waits up to 3 seconds until a condition is true."""
    with anyio.fail_after(3):
        while not condition():
            await anyio.sleep(0.01)


class TestRestartedGateway:
    """Sessions on the old version whose gateway was restarted."""

    @run_async
    async def test_restarted_gateway_keeps_sessions_on_the_old_version(self):
        """Guards against sessions moved by a gateway that knows none."""
        sessions = list_first_share(50)
        async with anyio.create_task_group() as group:
            first, second = (
                test_gateway_tasks.RunningGateway(group) for _ in range(2)
            )
            feed = MoveFeed(
                {'gw-1': first.ports['peer'], 'gw-2': second.ports['peer']}
            )
            for number, running in enumerate((first, second), 1):
                running.gateway._feed = feed
                running.gateway.members.name = f'gw-{number}'
                running.gateway._board._name = f'gw-{number}'
            await first.start()
            assert (await first.fetch('readiness')).status == 200
            for session in sessions:
                allows = first.gateway.moves.make_version_filter(
                    'pool', session
                )
                assert allows('v1')
            first.gateway._hint_exchange._pending_sessions.clear()
            # The move began before the second gateway was started.
            first.gateway.moves._moves['pool'].started_at -= 3
            await second.start()
            assert (await second.fetch('caller')).status == 200
            second.gateway.moves._moves['pool'].started_at -= 3
            moved = [
                session
                for session in sessions
                if second.gateway.moves.make_version_filter('pool', session)(
                    'v2'
                )
            ]
            group.cancel_scope.cancel()
        assert moved == []

    @run_async
    async def test_session_announced_before_the_listing_is_kept(
        self, monkeypatch
    ):
        """Guards against a gap between the first request and the listing."""
        monkeypatch.setattr(state_transfer, 'LISTING_SECONDS', 0.1)
        sessions = list_first_share(20)
        peer, newcomer = Peer('gw-1'), Peer('gw-2', False)
        newcomer.add_member(peer)
        async with anyio.create_task_group() as group:
            group.start_soon(peer.serve)
            group.start_soon(newcomer.run)
            await wait_until(lambda: newcomer.transfer.is_complete)
            for session in sessions:
                peer.moves.keep_on_old_version(
                    version_moves.rendezvous.hash_key('pool', session)
                )
            newcomer.add_member(newcomer)
            await wait_until(
                lambda: (
                    len(newcomer.moves.list_old_sessions()) == len(sessions)
                )
            )
            assert newcomer.count_old(sessions) == len(sessions)
            group.cancel_scope.cancel()


class TestUnknownSessions:
    """What a gateway assumes until it has heard from another one."""

    @run_async
    async def test_sessions_stay_on_the_old_version_until_a_peer_knew(self):
        """Guards against an answer of a peer that has just started too."""
        sessions = list_first_share(20)
        peer, newcomer = Peer('gw-1', False), Peer('gw-2', False)
        newcomer.add_member(peer)
        async with anyio.create_task_group() as group:
            group.start_soon(peer.serve)
            group.start_soon(newcomer.run)
            await wait_until(newcomer.transfer.has_asked.is_set)
            assert not newcomer.transfer.is_complete
            assert newcomer.count_old(sessions[:10]) == 10
            peer.transfer.is_complete = True
            await wait_until(lambda: newcomer.transfer.is_complete)
            assert newcomer.count_old(sessions[:10]) == 10
            assert newcomer.count_old(sessions[10:]) == 0
            group.cancel_scope.cancel()

    @run_async
    async def test_lone_gateway_knows_all_after_the_time_to_live(
        self, monkeypatch
    ):
        """Guards against a version move that never begins."""
        monkeypatch.setattr(version_moves, 'SESSION_TTL_SECONDS', 0.3)
        lone = Peer('gw-1', False)
        async with anyio.create_task_group() as group:
            group.start_soon(lone.run)
            await wait_until(lone.transfer.has_asked.is_set)
            assert not lone.transfer.is_complete
            await wait_until(lambda: lone.transfer.is_complete)
            group.cancel_scope.cancel()

    @run_async
    async def test_peer_that_fails_is_passed_over(self):
        peer, dead, newcomer = Peer('gw-1'), Peer('gw-2'), Peer('gw-3', False)
        for other in (peer, dead):
            newcomer.add_member(other)
        async with anyio.create_task_group() as group:
            group.start_soon(peer.serve)
            group.start_soon(newcomer.run)
            await wait_until(lambda: newcomer.transfer.is_complete)
            group.cancel_scope.cancel()


class TestTransferredState:
    @run_async
    async def test_bulletins_reach_a_gateway_before_it_serves(self):
        """Guards against limits and drains that a newcomer learns late."""
        peer, newcomer = Peer('gw-1'), Peer('gw-2', False)
        newcomer.add_member(peer)
        for key in range(100):
            peer.board.publish('limit', key, (2.5,), 30.0)
        async with anyio.create_task_group() as group:
            group.start_soon(peer.serve)
            group.start_soon(newcomer.run)
            await wait_until(newcomer.transfer.has_asked.is_set)
            group.cancel_scope.cancel()
        assert {bulletin.key for bulletin in newcomer.heard} == set(range(100))

    def test_session_is_kept_no_longer_than_at_the_other_gateway(self):
        peer, newcomer = Peer('gw-1'), Peer('gw-2')
        session = list_first_share(1)[0]
        session_hash = version_moves.rendezvous.hash_key('pool', session)
        peer.moves.keep_on_old_version(session_hash, 4.0)
        ((_, seconds),) = peer.moves.list_old_sessions()
        assert 3.5 < seconds <= 4.0
        newcomer.moves.keep_on_old_version(session_hash, 8.0)
        newcomer.moves.keep_on_old_version(session_hash, seconds)
        ((_, seconds),) = newcomer.moves.list_old_sessions()
        assert 7.5 < seconds <= 8.0

    def test_nothing_is_kept_without_a_move_in_its_first_stage(self):
        peer = Peer('gw-1')
        peer.moves.keep_on_old_version(1)
        peer.moves.remove_order('pool')
        assert peer.moves.list_old_sessions() == []

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'\xc1',
            msgpack.packb(7),
            msgpack.packb([True, [[1]], []]),
            msgpack.packb([True, [['x', 1]], []]),
            msgpack.packb([True, [], [5]]),
            msgpack.packb(
                [True, [[1, 1]] * (version_moves.MAX_SESSIONS + 1), []]
            ),
        ],
    )
    def test_malformed_response_is_rejected(self, body):
        with pytest.raises(errors.ProtocolError):
            state_transfer.decode_state(body)


class TestTurns:
    @run_async
    async def test_many_sessions_do_not_block_the_event_loop(self):
        """Guards against a transfer that stalls the requests in progress."""
        peer, newcomer = Peer('gw-1'), Peer('gw-2', False)
        newcomer.add_member(peer)
        for number in range(version_moves.MAX_SESSIONS):
            peer.moves.keep_on_old_version(number)
        gaps = []

        async def measure_gaps():
            latest = clock.now()
            while True:
                await anyio.sleep(0.001)
                gaps.append(clock.now() - latest)
                latest = clock.now()

        async with anyio.create_task_group() as group:
            group.start_soon(peer.serve)
            group.start_soon(measure_gaps)
            group.start_soon(newcomer.run)
            await wait_until(lambda: newcomer.transfer.is_complete)
            group.cancel_scope.cancel()
        assert len(newcomer.moves.list_old_sessions()) == (
            version_moves.MAX_SESSIONS
        )
        assert max(gaps) < 0.5
