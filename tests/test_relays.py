"""Tests of the relays that pass store changes on to other gateways."""

import json
import math
import zlib

import anyio
import msgpack
import pytest

from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import mirrors
from chivejunction.coordination import relays
from chivejunction.state import freshness
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests import test_bad_backends
from tests.forward_rig import run_async


class FakeStore(transport_stores.ChangeFeed):
    """Change feed of a store whose changes and faults a test controls."""

    def __init__(self):
        self.changes = []
        self.revision = 1
        self.is_down = False
        self.poll_count = 0

    def put(self, key, value=b'v'):
        """Writes a key."""
        self.revision += 1
        entry = transport_stores.Entry(key, value, self.revision, 0)
        self.changes.append(transport_stores.Change(key, self.revision, entry))

    def delete(self, key):
        """Deletes a key."""
        self.revision += 1
        self.changes.append(transport_stores.Change(key, self.revision, None))

    async def read_all(self, prefix):
        if self.is_down:
            raise errors.StoreError('down')
        entries = {change.key: change.entry for change in self.changes}
        return [e for e in entries.values() if e is not None], self.revision

    async def poll_changes(self, prefix, after, seconds, response_timeout=1.0):
        self.poll_count += 1
        pauses = max(1, int(seconds / 0.02))
        for number in range(pauses + 1):
            if number:
                await anyio.sleep(0.02)
            if self.is_down:
                raise errors.StoreError('down')
            changes = [c for c in self.changes if c.revision > after]
            if changes:
                return transport_stores.PollResult(changes, self.revision)
        return transport_stores.PollResult([], self.revision, seconds)


class StalledStore(FakeStore):
    """Change feed that does not respond until it resumes."""

    def __init__(self):
        super().__init__()
        self._source = None
        self._resumed = anyio.Event()

    def resume_with(self, store):
        """Responds with the changes of another feed from now on."""
        self._source = store
        self._resumed.set()

    async def poll_changes(self, *args):
        self.poll_count += 1
        await self._resumed.wait()
        return await self._source.poll_changes(*args)


class Gateway:
    """The parts of a gateway that follow the store.

    The gateways of a test are in one membership list. Each has its own
    connection to the store.
    """

    def __init__(self, name, port, store, capacity=1.0):
        self.capacity = capacity
        self.name = name
        self.port = port
        self.store = store
        self.members = gateway_membership.GatewayMembership(
            stores.MemoryStore(), name, ('127.0.0.1', port), 'bkk'
        )
        self.client = http_client.Client()
        self.feed = relays.RelayedFeed(store, self.members, self.client)
        self.config_freshness = freshness.Freshness(4.5)
        self.applied = {}
        self.maybe_expired = set()
        self.mirror = mirrors.StoreMirror(
            self.feed, '', self.apply, self.config_freshness
        )
        self.is_leaving = False
        self.server = relays.RelayServer(
            self.mirror, self.config_freshness, lambda: self.is_leaving
        )

    def apply(self, change, may_have_expired):
        """Records a change in ``applied`` and ``maybe_expired``."""
        if change.entry is not None:
            self.applied[change.key] = change.entry.value
        else:
            self.applied.pop(change.key, None)
        if may_have_expired:
            self.maybe_expired.add(change.key)

    async def serve(self):
        """Serves polls of the other gateways."""
        listener = caller_connections.Listener(self.server.handle)
        await listener.serve('127.0.0.1', self.port)

    async def wait_until(self, condition, seconds=5.0):
        """Waits until a condition is true.

        Raises:
            TimeoutError: It was not true in time.
        """
        gaps = test_bad_backends.LoopGaps()
        async with anyio.create_task_group() as group:
            group.start_soon(gaps.run)
            with anyio.move_on_after(seconds) as scope:
                while not condition(self):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise TimeoutError(
                f'{self.name}: applied {self.applied} at revision '
                f'{self.mirror.change_log.revision}, confirmed '
                f'{self.config_freshness.age:.2f} s ago, passed over '
                f'{self.feed._relay_backoff_until} at {clock.now():.2f}, '
                f'loaded {self.mirror._is_loaded}, {gaps}'
            )


def make_gateways(count, shared=None):
    """Returns gateways that know each other, the relays first."""
    gateways = [
        Gateway(f'gw-{n}', fleet.find_port(), shared or FakeStore())
        for n in range(count)
    ]
    register_all(gateways)
    return sorted(gateways, key=lambda g: not g.members.should_poll_store())


def register_all(gateways):
    """Adds all gateways to the membership list of each of them."""
    for one in gateways:
        for other in gateways:
            value = json.dumps(
                ['127.0.0.1', other.port, 'bkk', other.capacity]
            ).encode()
            key = gateway_membership.PREFIX + other.name
            one.members.apply(
                transport_stores.Change(
                    key, 1, transport_stores.Entry(key, value, 1, 0)
                )
            )


def start(group, gateways):
    """Starts the servers and mirrors of gateways."""
    for gateway in gateways:
        group.start_soon(gateway.serve)
        group.start_soon(gateway.mirror.run)


class TestFakeStore:
    @run_async
    async def test_poll_that_ends_as_a_key_is_written_has_the_change(self):
        """Guards against a revision without its changes."""
        store = FakeStore()
        async with anyio.create_task_group() as group:

            async def put():
                await anyio.sleep(0.01)
                store.put('a')

            group.start_soon(put)
            poll = await store.poll_changes('', 1, 0.02)
        assert [change.key for change in poll.changes] == ['a']


class TestFollowers:
    @run_async
    async def test_follower_gets_changes_without_calls_to_the_store(self):
        store = FakeStore()
        gateways = make_gateways(4, store)
        follower = gateways[-1]
        follower.store = follower.feed._store = FakeStore()
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait_until(lambda g: g.mirror.has_loaded.is_set())
            store.put('a', b'1')
            await follower.wait_until(lambda g: g.applied == {'a': b'1'})
            store.delete('a')
            await follower.wait_until(lambda g: g.applied == {})
            await anyio.sleep(1.0)
            assert follower.store.poll_count == 0
            assert follower.config_freshness.age < 2.5
            group.cancel_scope.cancel()

    @run_async
    async def test_follower_gets_changes_when_its_relays_are_down(self):
        store = FakeStore()
        gateways = make_gateways(4, store)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            # The relays do not run.
            group.start_soon(follower.mirror.run)
            await follower.wait_until(lambda g: g.mirror.has_loaded.is_set())
            store.put('a', b'1')
            await follower.wait_until(lambda g: g.applied == {'a': b'1'}, 3.0)
            group.cancel_scope.cancel()

    @run_async
    async def test_response_of_relay_without_store_is_rejected(self):
        gateways = make_gateways(3)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait_until(lambda g: g.mirror.has_loaded.is_set())
            for relay in gateways[:2]:
                relay.store.is_down = True
            follower.store.put('b', b'2')
            await follower.wait_until(lambda g: 'b' in g.applied, 5.0)
            await anyio.sleep(0.3)
            assert follower.config_freshness.age < 1.5
            group.cancel_scope.cancel()

    @run_async
    async def test_follower_leaves_a_relay_that_shuts_down(self):
        gateways = make_gateways(3)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait_until(lambda g: g.mirror.has_loaded.is_set())
            for relay in gateways[:2]:
                relay.is_leaving = True
            follower.store.put('b', b'2')
            await follower.wait_until(lambda g: 'b' in g.applied, 3.0)
            group.cancel_scope.cancel()

    @run_async
    async def test_large_configuration_is_compressed(self):
        """Guards against slow relaying of large configurations.

        Uncompressed ones took too long on links of 10 Mbit/s.
        """
        store = FakeStore()
        gateways = make_gateways(3, store)
        follower = gateways[-1]
        row = b'{"name": "r-1", "host": "shop.example", "prefix": "/a/"}'
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait_until(lambda g: g.mirror.has_loaded.is_set())
            store.put('config', row * 8000)
            await follower.wait_until(
                lambda g: g.applied == {'config': row * 8000}
            )
            group.cancel_scope.cancel()
        body = zlib.compress(row * 8000, relays.COMPRESSION_LEVEL)
        assert len(body) < len(row * 8000) / 10


class TestStoreOutages:
    @run_async
    async def test_outage_does_not_multiply_calls_to_the_store(self):
        """Calls to the store are billed, also those that it refuses.

        In run trouble-3 of siamsound-rfp-large, 68 gateways made half of the
        day's calls in an outage of 8 s.
        """
        store = FakeStore()
        gateways = make_gateways(12, store)
        followers = [g for g in gateways if not g.members.should_poll_store()]
        async with anyio.create_task_group() as group:
            start(group, gateways)
            for gateway in gateways:
                await gateway.wait_until(
                    lambda g: g.mirror.has_loaded.is_set()
                )
            stores_polled = []
            for gateway in followers:
                gateway.feed._store = FakeStore()
                gateway.feed._store.is_down = True
                stores_polled.append(gateway.feed._store)
            store.is_down = True
            await anyio.sleep(4.0)
            group.cancel_scope.cancel()
        # At once, when the relays lose the store, and after each interval.
        polls = sum(store.poll_count for store in stores_polled)
        assert len(followers) <= polls <= 3 * len(followers)

    @run_async
    async def test_relay_without_store_connection_polls_another_relay(self):
        store = FakeStore()
        gateways = make_gateways(3, store)
        cut = gateways[0]
        assert cut.members.should_poll_store()
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await cut.wait_until(lambda g: g.mirror.has_loaded.is_set())
            cut.feed._store = FakeStore()
            cut.feed._store.is_down = True
            store.put('c', b'3')
            await cut.wait_until(lambda g: 'c' in g.applied, 3.0)
            await anyio.sleep(2.0)
            assert (
                cut.config_freshness.is_current()
                and cut.config_freshness.age < 3.0
            )
            assert not cut.mirror.is_recovering()
            group.cancel_scope.cancel()

    @run_async
    async def test_gateway_without_relays_and_store_polls_any_other(self):
        """Guards against losing all sources when relays and store fail.

        This happened when both relays of a region had lost power while a
        third of the gateways had no connection to the store.
        """
        store = FakeStore()
        gateways = make_gateways(5, store)
        cut, others = gateways[-1], gateways[2:-1]
        cut.feed._store = FakeStore()
        async with anyio.create_task_group() as group:
            # The relays do not run.
            start(group, [cut, *others])
            await cut.wait_until(lambda g: g.mirror.has_loaded.is_set())
            cut.feed._store.is_down = True
            store.put('d', b'4')
            await cut.wait_until(lambda g: 'd' in g.applied, 4.5)
            group.cancel_scope.cancel()

    @run_async
    async def test_no_gateway_confirms_the_configuration_during_an_outage(
        self,
    ):
        store = FakeStore()
        gateways = make_gateways(4, store)
        async with anyio.create_task_group() as group:
            start(group, gateways)
            for gateway in gateways:
                await gateway.wait_until(
                    lambda g: g.mirror.has_loaded.is_set()
                )
            await anyio.sleep(0.3)
            lost_at = freshness.read_boot_clock()
            store.is_down = True
            await anyio.sleep(3.0)
            outage_seconds = freshness.read_boot_clock() - lost_at
            assert all(
                g.config_freshness.age > outage_seconds - 0.05
                for g in gateways
            )
            store.is_down = False
            store.delete('a')
            for gateway in gateways:
                await gateway.wait_until(
                    lambda g: g.config_freshness.age < 0.5, 3.0
                )
                assert 'a' in gateway.maybe_expired
            group.cancel_scope.cancel()


class TestSwitchesBetweenSources:
    """No source may make a gateway drop a change or take an older one."""

    async def load(self, group, gateways):
        start(group, gateways)
        for gateway in gateways:
            await gateway.wait_until(lambda g: g.mirror.has_loaded.is_set())

    @run_async
    async def test_relay_that_lags_gives_nothing_older(self):
        store, stalled_store = FakeStore(), StalledStore()
        gateways = make_gateways(3, store)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            await self.load(group, gateways)
            follower.feed._store = FakeStore()
            follower.feed._store.is_down = True
            first, second = (
                next(g for g in gateways if g.name == name)
                for name in follower.feed._list_available_relays()
            )
            second.feed._store = stalled_store
            await second.wait_until(lambda g: stalled_store.poll_count)
            for number in range(3):
                store.put('a', b'%d' % number)
            store.delete('b')
            await follower.wait_until(lambda g: g.applied == {'a': b'2'})
            revision = follower.mirror.change_log.revision
            # Only the relay that lags is left.
            first.is_leaving = True
            await anyio.sleep(0.8)
            assert second.mirror.change_log.revision < revision
            assert follower.applied == {'a': b'2'}
            assert follower.mirror.change_log.revision == revision
            assert not follower.mirror.is_recovering()
            stalled_store.resume_with(store)
            store.put('c', b'3')
            await follower.wait_until(
                lambda g: g.applied == {'a': b'2', 'c': b'3'}
            )
            group.cancel_scope.cancel()

    @run_async
    async def test_restarted_relay_does_not_hide_changes(self):
        """Its log begins at the listing that it has read."""
        store = FakeStore()
        first, second, follower = make_gateways(3, store)
        async with anyio.create_task_group() as group:
            await self.load(group, [first, second, follower])
            for relay in (first, second):
                relay.is_leaving = True
            follower.feed._store = FakeStore()
            follower.feed._store.is_down = True
            await anyio.sleep(0.8)
            store.put('a', b'1')
            store.put('b', b'2')
            for relay in (first, second):
                await relay.wait_until(
                    lambda g: g.applied.keys() == {'a', 'b'}
                )
                relay.mirror._is_loaded = False
                await relay.wait_until(
                    lambda g: g.mirror.change_log.list_after(1) is None
                )
                relay.is_leaving = False
            await anyio.sleep(1.0)
            # Without the store, the follower knows that changes are missing.
            assert follower.applied == {}
            assert follower.config_freshness.age > 1.0
            follower.feed._store = store
            await follower.wait_until(lambda g: g.applied.keys() == {'a', 'b'})
            group.cancel_scope.cancel()

    @run_async
    async def test_relay_whose_revision_leaped_does_not_stop_its_followers(
        self,
    ):
        store = FakeStore()
        first, second, follower = make_gateways(3, store)
        async with anyio.create_task_group() as group:
            await self.load(group, [first, second, follower])
            for relay in (first, second):
                relay.mirror.change_log.extend([], 10**15)
                relay.mirror._notify_followers()
            await follower.wait_until(
                lambda g: g.mirror.change_log.revision == 10**15
            )
            await anyio.sleep(0.1)
            store.put('a', b'1')
            for gateway in (first, second, follower):
                await gateway.wait_until(lambda g: g.applied == {'a': b'1'})
            group.cancel_scope.cancel()

    @run_async
    async def test_change_that_cannot_be_encoded_comes_from_the_store(self):
        store = FakeStore()
        first, second, follower = make_gateways(3, store)
        async with anyio.create_task_group() as group:
            await self.load(group, [first, second, follower])
            store.put('half \ud800')
            store.put('a', b'1')
            await follower.wait_until(lambda g: 'a' in g.applied, 3.0)
            store.put('b', b'2')
            await follower.wait_until(lambda g: 'b' in g.applied, 6.0)
            group.cancel_scope.cancel()

    @run_async
    async def test_unexpected_error_of_a_source_leads_to_the_next(self):
        store = FakeStore()
        gateways = make_gateways(3, store)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            await self.load(group, gateways)
            follower.feed._client = LeavingClient(lambda: 1 / 0)
            store.put('a', b'1')
            await follower.wait_until(lambda g: 'a' in g.applied)
            relay = gateways[0]
            relay.feed._store = None
            store.put('b', b'2')
            await relay.wait_until(lambda g: 'b' in g.applied)
            group.cancel_scope.cancel()


class LeavingClient:
    """HTTP client whose calls fail while a callback changes the members."""

    def __init__(self, on_call):
        self.on_call = on_call
        self.call_count = 0

    async def call(self, *args, **kwargs):
        self.call_count += 1
        self.on_call()
        raise errors.TransportError('down')


class TestMembersThatLeave:
    @run_async
    @pytest.mark.parametrize('has_relays', [False, True])
    async def test_gateway_removed_during_a_poll_is_not_polled(
        self, has_relays
    ):
        store = FakeStore()
        store.is_down = True
        gateways = make_gateways(5, store)
        gateway = gateways[-1]
        if not has_relays:
            for relay in gateways[:2]:
                gateway.feed._relay_backoff_until[relay.name] = math.inf

        def remove_others():
            for other in gateways:
                if other is not gateway:
                    key = gateway_membership.PREFIX + other.name
                    gateway.members.apply(
                        transport_stores.Change(key, 2, None)
                    )

        client = gateway.feed._client = LeavingClient(remove_others)
        with pytest.raises(errors.StoreError):
            await gateway.feed.poll_changes('', 1, 0.1)
        assert client.call_count == 1


class TestRelayChoice:
    def test_gateways_on_the_largest_hosts_are_relays(self):
        gateways = [
            Gateway(
                f'gw-{n}',
                fleet.find_port(),
                FakeStore(),
                2.1 if n > 6 else 0.4,
            )
            for n in range(10)
        ]
        register_all(gateways)
        relay_gateways = [g for g in gateways if g.members.should_poll_store()]
        assert len(relay_gateways) == gateway_membership.MIN_RELAYS
        assert all(g.capacity == 2.1 for g in relay_gateways)

    def test_few_gateways_are_relays_and_share_the_followers(self):
        gateways = make_gateways(70, FakeStore())
        relay_gateways = [g for g in gateways if g.members.should_poll_store()]
        # One in twelve.
        assert len(relay_gateways) == 6
        follower_counts = {}
        for gateway in gateways[6:]:
            name = gateway.feed._list_available_relays()[0]
            follower_counts[name] = follower_counts.get(name, 0) + 1
        assert set(follower_counts) == {g.name for g in relay_gateways}
        assert max(follower_counts.values()) <= (
            2.5 * gateway_membership.GATEWAYS_PER_RELAY
        )


class TestMalformedMessages:
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'\xc1',
            b'\x91\x01',
            b'\x78\x01zzz',
            b'\x95\x01\x02\x03\xc2\x91\x91\x01',
        ],
    )
    def test_malformed_response_is_rejected(self, body):
        with pytest.raises(errors.ProtocolError):
            relays.decode_poll(body)

    @pytest.mark.parametrize(
        'number',
        [math.nan, math.inf, -math.inf, -0.1, -(2**63), True, None, '1', b'1'],
    )
    def test_time_that_is_none_is_rejected(self, number):
        """A negative age would make an old configuration look new."""
        for items in ([3, 0.1, number, False, []], [3, number, 0.1, 0, []]):
            with pytest.raises(errors.ProtocolError):
                relays.decode_poll(msgpack.packb(items))

    @pytest.mark.parametrize(
        'number', [2**63, 2**64 - 1, -1, True, None, 1.5, '3']
    )
    def test_revision_that_is_none_is_rejected(self, number):
        for items in (
            [number, 0.1, 0.1, False, []],
            [9, 0.1, 0.1, False, [['a', number]]],
        ):
            with pytest.raises(errors.ProtocolError):
                relays.decode_poll(msgpack.packb(items))

    @pytest.mark.parametrize(
        'row',
        [
            ['a', 10],
            [7, 3],
            [None, 3, b'v', 0],
            ['a', 3, 'v', 0],
            ['a', 3, None, 0],
            ['a', 3, b'v'],
            ['a', 3, b'v', -1],
            {'a': 3, 'b': 4},
            'ab',
        ],
    )
    def test_response_with_a_malformed_change_is_rejected(self, row):
        body = msgpack.packb([9, 0.1, 0.1, False, [['b', 4], row]])
        with pytest.raises(errors.ProtocolError):
            relays.decode_poll(body)

    def test_items_of_later_versions_are_ignored(self):
        rows = [['a', 3, b'v', 5, 'new'], ['b', 4]]
        poll = relays.decode_poll(
            msgpack.packb([9, 0.1, 0.2, False, rows, 'new', 7])
        )
        assert [c.key for c in poll.changes] == ['a', 'b']
        assert poll.changes[0].entry.lease == 5 and poll.age == 0.2

    def test_odd_values_are_kept(self):
        for value in (b'', b'\xff\x00', b'\x78\x01', b'x' * 900_000):
            row = relays._encode_change(
                transport_stores.Change(
                    'a', 3, transport_stores.Entry('a', value, 3, 0)
                )
            )
            body = msgpack.packb([9, 0.1, 0.2, False, [row]])
            for encoded in (body, zlib.compress(body)):
                poll = relays.decode_poll(encoded)
                assert poll.changes[0].entry.value == value
        row = ['a', 3, b'v', None]
        poll = relays.decode_poll(msgpack.packb([9, 0, 0, False, [row]]))
        assert poll.changes[0].entry.lease == 0

    def test_compressed_response_is_bounded(self):
        size = relays.MAX_DECOMPRESSED_BYTES + 1_000_000
        row = ['a', 3, bytes(size), 0]
        body = zlib.compress(msgpack.packb([9, 0.1, 0.1, False, [row]]))
        with pytest.raises(errors.ProtocolError, match='too long'):
            relays.decode_poll(body)
        body = zlib.compress(msgpack.packb([9, 0.1, 0.1, False, []]))
        with pytest.raises(errors.ProtocolError, match='cut off'):
            relays.decode_poll(body[:-1])

    @run_async
    async def test_malformed_poll_gets_an_error_status(self):
        gateway = make_gateways(1)[0]
        async with anyio.create_task_group() as group:
            group.start_soon(gateway.serve)
            await anyio.sleep(0.1)
            for target, expected in (
                ('/changes', 400),
                ('/changes?after=x&wait_ms=1', 400),
                ('/changes?after=1&wait_ms=' + '9' * 400, 400),
                ('//[::1/changes?after=1&wait_ms=1', 400),
                ('/other?after=1&wait_ms=1', 404),
            ):
                status, _, _ = await gateway.client.call(
                    'GET',
                    f'http://127.0.0.1:{gateway.port}{target}',
                    anyio.current_time() + 2,
                )
                assert status == expected
            group.cancel_scope.cancel()
