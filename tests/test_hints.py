"""Tests of load hints, gateway membership, retry budgets and logging."""

import json
import logging
import math
import os
import socket

import anyio
import msgpack
import pytest

from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import hints
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import prefix_caches
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async


def is_free(port):
    """Returns whether no socket has a UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class Peer:
    """The hints of one gateway and the state that they update.

    Server i-1 is in region bkk, server i-2 in region cnx.
    """

    def __init__(self, name, port, region='bkk'):
        address = ('127.0.0.1', port)
        self.members = make_members(name, port, region)
        self.server_backlogs = backlogs.Backlogs()
        self.running_attempts = backlogs.Backlogs()
        self.prefix_cache_index = prefix_caches.PrefixCacheIndex()
        self.backend_table = backends.BackendTable()
        for number, domain in enumerate(('bkk', 'cnx'), 1):
            self.backend_table.update(
                backends.Backend(
                    f'i-{number}', 'pool', '127.0.0.1', 1, domain, domain, 'v1'
                )
            )
        self.sessions = []
        self.hint_exchange = hints.HintExchange(
            name,
            region,
            address,
            self.members,
            self.backend_table,
            self.server_backlogs,
            self.running_attempts,
            self.prefix_cache_index,
            lambda instance: 1000,
            self.sessions.append,
        )

    def send_if_due(self, region, local_backlogs):
        """Returns whether a hint is due and marks it as sent if so.

        Args:
            region: Region to send to.
            local_backlogs: Backlog in seconds by server.
        """
        region_state = next(
            s
            for s in self.hint_exchange._list_region_states()
            if s.region == region
        )
        is_due = self.hint_exchange._should_send(region_state, local_backlogs)
        if is_due:
            region_state.sent_backlogs, region_state.sent_at = (
                local_backlogs,
                clock.now(),
            )
            region_state.pending_prefixes = []
        return is_due


def make_members(name, port, region='bkk'):
    """Returns the membership list of one gateway."""
    return gateway_membership.GatewayMembership(
        stores.MemoryStore(), name, ('127.0.0.1', port), region
    )


def add_member(gateways, name, port, region='bkk'):
    """Adds a gateway to a membership list."""
    value = json.dumps(['127.0.0.1', port, region, 1]).encode()
    key = gateway_membership.PREFIX + name
    gateways.apply(
        transport_stores.Change(
            key, 1, transport_stores.Entry(key, value, 1, 0)
        )
    )


class TestHintExchange:
    @run_async
    async def test_backlogs_and_prefixes_reach_other_gateways(self):
        one, two = Peer('gw-1', 28611), Peer('gw-2', 28612)
        add_member(one.members, 'gw-1', 28611)
        add_member(one.members, 'gw-2', 28612)
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.1)
            one.server_backlogs.start('i-1', 0.5)
            one.running_attempts.start('i-1', 1)
            one.running_attempts.start('i-2', 1)
            one.running_attempts.start('i-2', 1)
            one.hint_exchange.add_prefixes('i-1', [(7, 100), (2**63, 300)])
            with anyio.fail_after(5):
                while two.server_backlogs.estimate() != {
                    'i-1': 0.5,
                    'i-2': 0.0,
                }:
                    await anyio.sleep(0.01)
            assert two.running_attempts.estimate() == {'i-1': 1, 'i-2': 2}
            prefixes = [(7, 100), (2**63, 300)]
            assert (
                two.prefix_cache_index.count_cached_tokens('i-1', prefixes)
                == 300
            )
            group.cancel_scope.cancel()

    @run_async
    async def test_sessions_reach_all_gateways_and_keep_backlogs(
        self, monkeypatch
    ):
        # The report is to outlast the test on a busy machine.
        monkeypatch.setattr(backlogs, 'PEER_REPORT_TTL_SECONDS', 60.0)
        port_map = {f'gw-{n}': fleet.find_port() for n in range(20)}
        peers = [Peer(name, port) for name, port in port_map.items()]
        sender, receivers = peers[0], peers[1:]
        sessions = [2**64 - n for n in range(1, 151)]
        for name, port in port_map.items():
            add_member(sender.members, name, port)
        receivers[0].server_backlogs.set_peer_backlogs('gw-0', {'i-1': 0.5})
        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(peer.hint_exchange.run)
            # A datagram to a port without a socket is lost.
            while any(is_free(port) for port in port_map.values()):
                await anyio.sleep(0.01)
            for session_hash in sessions:
                sender.hint_exchange.add_session(session_hash)
            with anyio.fail_after(5):
                while any(len(p.sessions) < 150 for p in receivers):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert all(sorted(p.sessions) == sessions[::-1] for p in receivers)
        assert receivers[0].server_backlogs.estimate() == {'i-1': 0.5}

    @pytest.mark.parametrize(
        'data',
        [
            b'',
            b'\xc1',
            msgpack.packb([1]),
            msgpack.packb(['a', 1, 2, []]),
            msgpack.packb(['a', [], [], [None]]),
            msgpack.packb(['a', [[1, 5]], [], []]),
            msgpack.packb(['a', [], [[1, None, 2]], []]),
            msgpack.packb([7, [], [], []]),
            msgpack.packb(['a', [[1, math.nan, 1]], [], []]),
            msgpack.packb(['a', [[1, math.inf, 1]], [], []]),
            msgpack.packb(['a', [[1, -1, 1]], [], []]),
            msgpack.packb(['a', [[1, 5, -1]], [], []]),
            msgpack.packb(['a', [], [[1, 2, -1]], []]),
            msgpack.packb(['a', [], [[1, 2, 2**60]], []]),
            b'\x91' * 5000,
        ],
    )
    def test_malformed_hint_is_rejected(self, data):
        with pytest.raises(errors.ProtocolError):
            Peer('gw-1', 1).hint_exchange._handle_datagram(data)

    def test_huge_backlog_is_limited(self):
        peer = Peer('gw-1', 1)
        id_hash = backends.hash_instance_id('i-1')
        data = msgpack.packb(['gw-2', [[id_hash, 1e300, 2**63]], [], [], 'x'])
        peer.hint_exchange._handle_datagram(data)
        assert peer.server_backlogs.estimate() == {
            'i-1': hints.MAX_BACKLOG_SECONDS
        }
        assert peer.running_attempts.estimate() == {
            'i-1': hints.MAX_ATTEMPTS_PER_SERVER
        }

    def test_hint_about_unknown_server_is_ignored(self):
        peer = Peer('gw-1', 1)
        unknown = backends.hash_instance_id('i-9')
        data = msgpack.packb(
            ['gw-2', [[unknown, 500, 1]], [[unknown, 7, 100]], []]
        )
        peer.hint_exchange._handle_datagram(data)
        assert peer.server_backlogs.estimate() == {}

    def test_small_backlog_changes_are_not_sent(self):
        peer = Peer('gw-1', 1)
        add_member(peer.members, 'gw-2', 2)
        assert not peer.send_if_due('bkk', {})
        assert peer.send_if_due('bkk', {'i-1': 0.2})
        assert not peer.send_if_due('bkk', {'i-1': 0.21})
        assert peer.send_if_due('bkk', {'i-1': 0.3})

    def test_hints_to_another_region_are_less_frequent(self):
        peer = Peer('gw-1', 1)
        add_member(peer.members, 'gw-2', 2)
        add_member(peer.members, 'gw-3', 3, 'cnx')
        for region in ('bkk', 'cnx'):
            assert peer.send_if_due(region, {'i-1': 0.1})
        assert peer.send_if_due('bkk', {'i-1': 0.9})
        assert not peer.send_if_due('cnx', {'i-1': 0.9})
        peer.hint_exchange.add_prefixes('i-1', [(7, 100)])
        assert peer.send_if_due('bkk', {'i-1': 0.9})
        assert not peer.send_if_due('cnx', {'i-1': 0.9})
        for region_state in peer.hint_exchange._list_region_states():
            region_state.sent_at -= hints.REMOTE_MIN_INTERVAL_SECONDS
        assert peer.send_if_due('cnx', {'i-1': 0.9})

    def test_hints_are_repeated_before_peers_expire_them(self):
        assert (
            hints.REPEAT_INTERVAL_SECONDS
            < backlogs.PEER_REPORT_TTL_SECONDS / 3
        )
        peer = Peer('gw-1', 1)
        add_member(peer.members, 'gw-3', 3, 'cnx')
        peer.send_if_due('cnx', {'i-1': 0.1})
        region_state = peer.hint_exchange._list_region_states()[0]
        region_state.sent_at -= hints.REPEAT_INTERVAL_SECONDS
        assert peer.send_if_due('cnx', {'i-1': 0.1})


class TestUnexpectedErrors:
    """One datagram, server or address must not end the exchange."""

    def make_pair(self):
        one, two = (
            Peer(f'gw-{number}', fleet.find_port()) for number in (1, 2)
        )
        for peer in (one, two):
            for other in (one, two):
                exchange = other.hint_exchange
                add_member(peer.members, exchange._name, exchange._address[1])
        return one, two

    async def wait_until(self, condition):
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.01)

    @run_async
    async def test_datagram_that_causes_an_error_is_ignored(self):
        one, two = self.make_pair()

        def fail_once(session_hash):
            two.hint_exchange._receive_session = two.sessions.append
            raise RuntimeError('not foreseen')

        two.hint_exchange._receive_session = fail_once
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.1)
            one.hint_exchange.add_session(7)
            await self.wait_until(
                lambda: two.hint_exchange._receive_session != fail_once
            )
            one.hint_exchange.add_session(8)
            await self.wait_until(lambda: two.sessions == [8])
            group.cancel_scope.cancel()

    @run_async
    async def test_values_that_cannot_be_encoded_are_limited(self):
        one, two = self.make_pair()
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.1)
            one.server_backlogs.start('i-1', float('inf'))
            one.server_backlogs.start('i-2', float('nan'))
            one.hint_exchange.add_prefixes('i-1', [(7, 10**30)])
            await self.wait_until(
                lambda: two.server_backlogs.estimate().get('i-1')
            )
            assert two.server_backlogs.estimate() == {
                'i-1': hints.MAX_BACKLOG_SECONDS,
                'i-2': 0.0,
            }
            group.cancel_scope.cancel()

    @run_async
    async def test_address_that_cannot_be_reached_does_not_stop_the_others(
        self,
    ):
        one, two = self.make_pair()

        class Sender:
            addresses = []

            async def send(self, data, address):
                self.addresses.append(address)
                if len(self.addresses) == 1:
                    raise OverflowError('port must be 0-65535')

        add_member(one.members, 'gw-0', 1)
        one.hint_exchange.add_session(7)
        await one.hint_exchange._send_due(Sender())
        assert len(Sender.addresses) == 2

    @run_async
    async def test_error_while_sending_does_not_end_the_exchange(self):
        one, two = self.make_pair()
        region_state = one.hint_exchange._list_region_states()[0]
        region_state.pending_prefixes = [('i-1', object(), 1)]
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.3)
            one.hint_exchange.add_session(8)
            await self.wait_until(lambda: two.sessions == [8])
            group.cancel_scope.cancel()

    @run_async
    async def test_closed_socket_ends_the_run_and_the_next_one_works(self):
        """A loop that ends silently would not be started again."""
        one, two = self.make_pair()
        sockets = []
        create = anyio.create_udp_socket

        async def create_udp_socket(*args, **kwargs):
            sockets.append(await create(*args, **kwargs))
            return sockets[-1]

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(anyio, 'create_udp_socket', create_udp_socket)
            async with anyio.create_task_group() as group:
                group.start_soon(self.close_soon, sockets)
                with anyio.fail_after(3), pytest.raises(ExceptionGroup):
                    await one.hint_exchange.run()
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.1)
            one.hint_exchange.add_session(8)
            await self.wait_until(lambda: two.sessions == [8])
            group.cancel_scope.cancel()

    async def close_soon(self, sockets):
        """Closes the transport of a socket as a fatal error would."""
        await anyio.sleep(0.2)
        sockets[0]._transport.abort()

    @run_async
    async def test_port_in_use_fails_and_the_next_run_works(self):
        one, two = self.make_pair()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as predecessor:
            predecessor.bind(one.hint_exchange._address)
            with anyio.fail_after(3), pytest.raises(OSError):
                await one.hint_exchange.run()
        async with anyio.create_task_group() as group:
            group.start_soon(one.hint_exchange.run)
            group.start_soon(two.hint_exchange.run)
            await anyio.sleep(0.1)
            one.hint_exchange.add_session(8)
            await self.wait_until(lambda: two.sessions == [8])
            group.cancel_scope.cancel()

    def test_pending_sessions_are_bounded(self):
        one, _ = self.make_pair()
        for number in range(hints.MAX_PENDING_SESSIONS + 5):
            one.hint_exchange.add_session(number)
        pending = one.hint_exchange._pending_sessions
        assert len(pending) == hints.MAX_PENDING_SESSIONS
        assert hints.MAX_PENDING_SESSIONS + 4 in pending


class TestGatewayMembership:
    def test_address_of_a_gateway_that_left_is_unknown(self):
        gateways = make_members('gw-1', 1)
        add_member(gateways, 'gw-2', 2)
        assert gateways.find_address('gw-2') == ('127.0.0.1', 2)
        gateways.apply(
            transport_stores.Change(
                gateway_membership.PREFIX + 'gw-2', 3, None
            )
        )
        assert gateways.find_address('gw-2') is None

    def test_counts_listed_gateways(self):
        gateways = make_members('gw-1', 1)
        assert gateways.count() == gateway_membership.ASSUMED_GATEWAY_COUNT
        add_member(gateways, 'gw-1', 1)
        add_member(gateways, 'gw-2', 2)
        assert gateways.count() == 2
        assert gateways.list_addresses('bkk', 5) == [('127.0.0.1', 2)]
        gateways.apply(
            transport_stores.Change(
                gateway_membership.PREFIX + 'gw-2', 3, None
            )
        )
        assert gateways.count() == 1

    def test_lists_gateways_by_region(self):
        gateways = make_members('gw-1', 1)
        add_member(gateways, 'gw-2', 2)
        add_member(gateways, 'gw-3', 3, 'cnx')
        assert gateways.list_regions() == {'bkk', 'cnx'}
        assert gateways.list_addresses('cnx', 5) == [('127.0.0.1', 3)]

    def test_number_of_addresses_is_limited(self):
        gateways = make_members('gw-1', 1)
        for number in range(40):
            add_member(gateways, f'gw-{number}', number + 1)
        assert len(gateways.list_addresses('bkk', 16)) == 16

    def test_gateways_agree_on_their_ranks(self):
        names = [f'gw-{n}' for n in range(5)]
        ranks = []
        for name in names:
            gateways = make_members(name, 1)
            for other in names:
                add_member(gateways, other, 1)
            ranks.append(gateways.find_rank('pool'))
        assert sorted(ranks) == [0, 1, 2, 3, 4]

    @run_async
    async def test_joins_under_its_lease_and_leaves(self):
        store = stores.MemoryStore()
        gateways = gateway_membership.GatewayMembership(
            store, 'gw-1', ('127.0.0.1', 7), 'bkk'
        )
        lease = await gateways._join()
        assert store.entries[gateway_membership.PREFIX + 'gw-1'].lease == lease
        await gateways.leave()
        assert not store.entries

    @run_async
    async def test_does_not_join_again_once_it_has_left(self, monkeypatch):
        """A stop serves requests for seconds after the entry is removed."""
        monkeypatch.setattr(
            gateway_membership, 'RENEWAL_INTERVAL_SECONDS', 0.05
        )
        store = stores.MemoryStore()
        key = gateway_membership.PREFIX + 'gw-1'
        gateways = gateway_membership.GatewayMembership(
            store, 'gw-1', ('127.0.0.1', 7), 'bkk'
        )
        async with anyio.create_task_group() as group:
            group.start_soon(gateways.run)
            with anyio.fail_after(5):
                while key not in store.entries:
                    await anyio.sleep(0.01)
            await gateways.leave()
            assert key not in store.entries
            gateways.apply(transport_stores.Change(key, store.revision, None))
            await anyio.sleep(0.3)
            assert key not in store.entries
            group.cancel_scope.cancel()

    @run_async
    async def test_joins_again_after_its_lease_was_lost(self, monkeypatch):
        monkeypatch.setattr(
            gateway_membership, 'RENEWAL_INTERVAL_SECONDS', 0.05
        )
        store = stores.MemoryStore()
        key = gateway_membership.PREFIX + 'gw-1'
        gateways = gateway_membership.GatewayMembership(
            store, 'gw-1', ('127.0.0.1', 7), 'bkk'
        )
        async with anyio.create_task_group() as group:
            group.start_soon(gateways.run)
            with anyio.fail_after(5):
                while key not in store.entries:
                    await anyio.sleep(0.01)
                lost_lease = store.entries[key].lease
                await store.revoke_lease(lost_lease)
                while (
                    key not in store.entries
                    or store.entries[key].lease == lost_lease
                ):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'value',
        [
            b'\xff',
            b'[' * 2000,
            b'{}',
            b'["127.0.0.1", 2, "bkk"]',
            b'["127.0.0.1", 0, "bkk", 1]',
            b'["127.0.0.1", 65536, "bkk", 1]',
            b'["127.0.0.1", -1, "bkk", 1]',
            b'["127.0.0.1", 1e999, "bkk", 1]',
            b'["127.0.0.1", "2", "bkk", 1]',
            b'["host.example", 2, "bkk", 1]',
            b'["::1", 2, "bkk", 1]',
            b'["\\ud800", 2, "bkk", 1]',
            b'["127.0.0.1", 2, "\\ud800", 1]',
            b'["127.0.0.1", 2, null, 1]',
            b'["127.0.0.1", 2, "bkk", NaN]',
            b'["127.0.0.1", 2, "bkk", Infinity]',
            b'["127.0.0.1", 2, "bkk", -1]',
            b'["127.0.0.1", 2, "bkk", ' + b'9' * 400 + b']',
        ],
    )
    def test_invalid_entry_keeps_the_previous_one(self, value):
        gateways = make_members('gw-1', 1)
        add_member(gateways, 'gw-2', 7)
        key = gateway_membership.PREFIX + 'gw-2'
        entry = transport_stores.Entry(key, value, 5, 0)
        with pytest.raises(errors.ProtocolError):
            gateways.apply(transport_stores.Change(key, 5, entry))
        assert gateways.find_address('gw-2') == ('127.0.0.1', 7)

    @pytest.mark.parametrize(
        'value',
        [
            None,
            b'?',
            b'["127.0.0.9", 7, "bkk", 1]',
            b'["127.0.0.1", 7, "x", 1]',
        ],
    )
    @run_async
    async def test_joins_again_if_another_writer_changes_its_entry(
        self, monkeypatch, value
    ):
        monkeypatch.setattr(
            gateway_membership, 'RENEWAL_INTERVAL_SECONDS', 0.05
        )
        store = stores.MemoryStore()
        key = gateway_membership.PREFIX + 'gw-1'
        gateways = gateway_membership.GatewayMembership(
            store, 'gw-1', ('127.0.0.1', 7), 'bkk'
        )

        def notify():
            entry = store.entries.get(key)
            try:
                gateways.apply(
                    transport_stores.Change(key, store.revision, entry)
                )
            except errors.ProtocolError:
                pass

        async with anyio.create_task_group() as group:
            group.start_soon(gateways.run)
            with anyio.fail_after(5):
                while key not in store.entries:
                    await anyio.sleep(0.01)
                own = store.entries[key]
                notify()
                # In the normal case the entry is written once.
                await anyio.sleep(0.3)
                assert store.writes == 1
                if value is None:
                    await store.delete(key, own.revision)
                else:
                    await store.swap(key, value, own.revision)
                notify()
                while (
                    key not in store.entries
                    or store.entries[key].value != own.value
                ):
                    await anyio.sleep(0.01)
                writes = store.writes
                notify()
                await anyio.sleep(0.3)
                assert store.writes == writes
                assert store.entries[key].lease in store.leases
            group.cancel_scope.cancel()


class TestWindowedBudget:
    def test_extra_attempts_stay_within_share_and_allowance(self, monkeypatch):
        now = [0.0]
        monkeypatch.setattr(clock, 'now', lambda: now[0])
        budget = budgets.WindowedBudget(0.5, 2, 10)
        taken, taken_at = 0, []
        for number in range(3000):
            now[0] = number * 0.01
            if number % 5 == 0:
                budget.add_request()
            if budget.take():
                taken += 1
                taken_at.append(now[0])
        for start in taken_at:
            window = [at for at in taken_at if start <= at < start + 10]
            assert len(window) <= 0.5 * 201 + 2 + 1
        assert taken > 100

    def test_requests_without_retries_are_forgotten(self, monkeypatch):
        """A day without failures asks for no extra attempt."""
        now = [0.0]
        monkeypatch.setattr(clock, 'now', lambda: now[0])
        budget = budgets.WindowedBudget(0.5, 2, 10)
        for number in range(50_000):
            now[0] = number * 0.01
            budget.add_request()
        assert len(budget._request_times) <= 1002

    def test_reserve_is_kept(self):
        budget = budgets.WindowedBudget(0, 3, 10)
        assert budget.take(reserve=2)
        assert not budget.take(reserve=2)
        assert budget.take()


class TestBoundedLogs:
    def make(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer)
        handler.setFormatter(logs.JsonFormatter('gw-1'))
        return handler, reader

    def emit(self, handler, number):
        handler.emit(
            logging.LogRecord(
                'x', logging.INFO, '', 0, f'line {number}', (), None
            )
        )

    def test_does_not_block_when_the_pipe_is_not_read(self):
        handler, _ = self.make()
        started = clock.now()
        for number in range(5000):
            self.emit(handler, number)
        assert clock.now() - started < 5
        assert len(handler._pending) < 2 * logs.MAX_PENDING_BYTES

    def test_reports_the_number_of_dropped_lines(self):
        handler, reader = self.make()
        for number in range(logs.BURST_LINES + 50):
            self.emit(handler, number)
            if number % 100 == 0:
                os.read(reader, 1 << 20)
        handler._available_lines = 5.0
        os.set_blocking(reader, False)
        os.read(reader, 1 << 20)
        self.emit(handler, 'last')
        text = os.read(reader, 1 << 20).decode()
        dropped = [
            json.loads(line)['dropped_lines']
            for line in text.splitlines()
            if 'dropped_lines' in line
        ]
        assert dropped and dropped[0] > 0
