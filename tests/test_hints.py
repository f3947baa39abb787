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
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import prompt_holdings
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async


def make_peer(name, port):
    """Returns the hints of a gateway with what they fill."""
    found = members.Members(stores.MemoryStore(), name, ('127.0.0.1', port))
    work = backlogs.Backlogs()
    holdings = prompt_holdings.PromptHoldings()
    peer = hints.Hints(
        name, ('127.0.0.1', port), found, work, holdings, lambda i: 1000
    )
    return peer, found, work, holdings


def list_member(found, name, port):
    """Lists a gateway."""
    value = json.dumps(['127.0.0.1', port]).encode()
    key = members.PREFIX + name
    found.apply(
        transport_stores.Change(
            key, 1, transport_stores.Entry(key, value, 1, 0)
        )
    )


class TestHints:
    @run_async
    async def test_work_and_prompts_reach_the_others(self):
        one, known, work, _ = make_peer('gw-1', 28611)
        two, _, seen, holdings = make_peer('gw-2', 28612)
        list_member(known, 'gw-1', 28611)
        list_member(known, 'gw-2', 28612)
        async with anyio.create_task_group() as group:
            group.start_soon(one.run)
            group.start_soon(two.run)
            await anyio.sleep(0.1)
            work.start('i-1', 0.5)
            one.add_prefixes('i-1', [('m/x', 100), ('m/x/y', 300)])
            with anyio.fail_after(5):
                while seen.estimate() != {'i-1': 0.5}:
                    await anyio.sleep(0.01)
            rows = [('m/x', 100), ('m/x/y', 300)]
            assert holdings.count_held('i-1', rows) == 300
            group.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'data', [b'', b'\xc1', msgpack.packb([1]), msgpack.packb(['a', 1, 2])]
    )
    def test_hint_that_is_not_valid(self, data):
        peer, *_ = make_peer('gw-1', 1)
        with pytest.raises(errors.ProtocolError):
            peer._take(data)

    def test_small_changes_are_not_worth_a_datagram(self):
        peer, *_ = make_peer('gw-1', 1)
        peer._sent_at = clock.now()
        assert not peer._is_worth_sending({'i-1': 0.01})
        assert peer._is_worth_sending({'i-1': 0.1})


class TestMembers:
    def test_counts_gateways_at_work(self):
        _, found, _, _ = make_peer('gw-1', 1)
        assert found.count() == members.ASSUMED_GATEWAYS
        list_member(found, 'gw-1', 1)
        list_member(found, 'gw-2', 2)
        assert found.count() == 2
        assert found.list_addresses(5) == [('127.0.0.1', 2)]
        found.apply(transport_stores.Change(members.PREFIX + 'gw-2', 3, None))
        assert found.count() == 1

    def test_most_peers(self):
        _, found, _, _ = make_peer('gw-1', 1)
        for number in range(40):
            list_member(found, f'gw-{number}', number + 1)
        assert len(found.list_addresses(16)) == 16

    @run_async
    async def test_is_listed_again_when_its_lease_has_ended(self):
        store = stores.MemoryStore()
        found = members.Members(store, 'gw-1', ('127.0.0.1', 7))
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
