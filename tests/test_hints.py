"""Hints between gateways, limits of extra attempts and bounded logs."""

import json
import logging
import os

import anyio
import msgpack
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import hints
from chivejunction.coordination import members
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import prefix_caches
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async


class Peer:
    """Hints of a gateway with what they fill.

    Servers i-1 and i-2 stand in the regions bkk and cnx.
    """

    def __init__(self, name, port, region='bkk'):
        address = ('127.0.0.1', port)
        self.members = make_members(name, port, region)
        self.work = backlogs.Backlogs()
        self.holdings = prefix_caches.PrefixCacheIndex()
        self.table = backends.BackendTable()
        for number, home in enumerate(('bkk', 'cnx'), 1):
            self.table.update(
                backends.Backend(
                    f'i-{number}', 'pool', '127.0.0.1', 1, home, home, 'v1'
                )
            )
        self.hints = hints.Hints(
            name,
            region,
            address,
            self.members,
            self.table,
            self.work,
            self.holdings,
            lambda i: 1000,
        )

    def tell(self, region, sums):
        """Returns whether a region is told, and notes that it was."""
        audience = next(
            a for a in self.hints._list_audiences() if a.region == region
        )
        is_told = self.hints._is_worth_sending(audience, sums)
        if is_told:
            audience.sent, audience.sent_at = sums, clock.now()
            audience.prefixes = []
        return is_told


def make_members(name, port, region='bkk'):
    """Returns the list of gateways as one of them keeps it."""
    return members.Members(
        stores.MemoryStore(), name, ('127.0.0.1', port), region
    )


def list_member(found, name, port, region='bkk'):
    """Lists a gateway."""
    value = json.dumps(['127.0.0.1', port, region, 1]).encode()
    key = members.PREFIX + name
    found.apply(
        transport_stores.Change(
            key, 1, transport_stores.Entry(key, value, 1, 0)
        )
    )


class TestHints:
    @run_async
    async def test_work_and_prompts_reach_the_others(self):
        one, two = Peer('gw-1', 28611), Peer('gw-2', 28612)
        list_member(one.members, 'gw-1', 28611)
        list_member(one.members, 'gw-2', 28612)
        async with anyio.create_task_group() as group:
            group.start_soon(one.hints.run)
            group.start_soon(two.hints.run)
            await anyio.sleep(0.1)
            one.work.start('i-1', 0.5)
            one.hints.add_prefixes('i-1', [(7, 100), (2**63, 300)])
            with anyio.fail_after(5):
                while two.work.estimate() != {'i-1': 0.5}:
                    await anyio.sleep(0.01)
            rows = [(7, 100), (2**63, 300)]
            assert two.holdings.count_cached_tokens('i-1', rows) == 300
            group.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'data',
        [
            b'',
            b'\xc1',
            msgpack.packb([1]),
            msgpack.packb(['a', 1, 2]),
            msgpack.packb(['a', [[1]], []]),
            msgpack.packb(['a', [], [[1, None, 2]]]),
        ],
    )
    def test_hint_that_is_not_valid(self, data):
        with pytest.raises(errors.ProtocolError):
            Peer('gw-1', 1).hints._take(data)

    def test_servers_that_are_not_listed_are_left_out(self):
        peer = Peer('gw-1', 1)
        unknown = backends.hash_instance_id('i-9')
        data = msgpack.packb(['gw-2', [[unknown, 500]], [[unknown, 7, 100]]])
        peer.hints._take(data)
        assert peer.work.estimate() == {}

    def test_small_changes_are_not_worth_a_datagram(self):
        peer = Peer('gw-1', 1)
        list_member(peer.members, 'gw-2', 2)
        assert not peer.tell('bkk', {})
        assert peer.tell('bkk', {'i-1': 0.2})
        assert not peer.tell('bkk', {'i-1': 0.21})
        assert peer.tell('bkk', {'i-1': 0.3})

    def test_another_region_is_told_less_often(self):
        peer = Peer('gw-1', 1)
        list_member(peer.members, 'gw-2', 2)
        list_member(peer.members, 'gw-3', 3, 'cnx')
        for region in ('bkk', 'cnx'):
            assert peer.tell(region, {'i-1': 0.1})
        assert peer.tell('bkk', {'i-1': 0.9})
        assert not peer.tell('cnx', {'i-1': 0.9})
        peer.hints.add_prefixes('i-1', [(7, 100)])
        assert peer.tell('bkk', {'i-1': 0.9})
        assert not peer.tell('cnx', {'i-1': 0.9})
        for audience in peer.hints._list_audiences():
            audience.sent_at -= hints.FAR_MIN_SECONDS
        assert peer.tell('cnx', {'i-1': 0.9})

    def test_state_is_repeated_before_it_is_forgotten(self):
        assert hints.REPEAT_SECONDS < backlogs.PEER_REPORT_TTL_SECONDS / 3
        peer = Peer('gw-1', 1)
        list_member(peer.members, 'gw-3', 3, 'cnx')
        peer.tell('cnx', {'i-1': 0.1})
        audience = peer.hints._list_audiences()[0]
        audience.sent_at -= hints.REPEAT_SECONDS
        assert peer.tell('cnx', {'i-1': 0.1})


class TestMembers:
    def test_counts_gateways_at_work(self):
        found = make_members('gw-1', 1)
        assert found.count() == members.ASSUMED_GATEWAYS
        list_member(found, 'gw-1', 1)
        list_member(found, 'gw-2', 2)
        assert found.count() == 2
        assert found.list_addresses('bkk', 5) == [('127.0.0.1', 2)]
        found.apply(transport_stores.Change(members.PREFIX + 'gw-2', 3, None))
        assert found.count() == 1

    def test_regions(self):
        found = make_members('gw-1', 1)
        list_member(found, 'gw-2', 2)
        list_member(found, 'gw-3', 3, 'cnx')
        assert found.list_regions() == {'bkk', 'cnx'}
        assert found.list_addresses('cnx', 5) == [('127.0.0.1', 3)]

    def test_most_peers(self):
        found = make_members('gw-1', 1)
        for number in range(40):
            list_member(found, f'gw-{number}', number + 1)
        assert len(found.list_addresses('bkk', 16)) == 16

    @run_async
    async def test_is_listed_again_when_its_lease_has_ended(self):
        store = stores.MemoryStore()
        found = members.Members(store, 'gw-1', ('127.0.0.1', 7), 'bkk')
        lease = await found._join()
        assert store.entries[members.PREFIX + 'gw-1'].lease == lease
        await found.leave()
        assert not store.entries


class TestWindowedBudget:
    def test_extras_stay_within_share_and_allowance(self, monkeypatch):
        now = [0.0]
        monkeypatch.setattr(clock, 'now', lambda: now[0])
        budget = budgets.WindowedBudget(0.5, 2, 10)
        taken, log = 0, []
        for number in range(3000):
            now[0] = number * 0.01
            if number % 5 == 0:
                budget.add_request()
            if budget.take():
                taken += 1
                log.append(now[0])
        for start in log:
            window = [at for at in log if start <= at < start + 10]
            assert len(window) <= 0.5 * 201 + 2 + 1
        assert taken > 100

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

    def test_never_blocks_on_a_reader_that_does_not_read(self):
        handler, _ = self.make()
        started = clock.now()
        for number in range(5000):
            self.emit(handler, number)
        assert clock.now() - started < 5
        assert len(handler._pending) < 2 * logs.MAX_PENDING_BYTES

    def test_counts_what_it_leaves_out(self):
        handler, reader = self.make()
        for number in range(logs.BURST_LINES + 50):
            self.emit(handler, number)
            if number % 100 == 0:
                os.read(reader, 1 << 20)
        handler._left = 5.0
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
