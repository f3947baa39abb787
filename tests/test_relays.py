"""Changes of the store that gateways pass on to one another."""

import json
import zlib

import anyio
import pytest

from chivejunction import errors
from chivejunction.coordination import members
from chivejunction.coordination import mirrors
from chivejunction.coordination import relays
from chivejunction.state import freshness
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import stores as transport_stores
from tests import stores
from tests.forward_rig import run_async

PORT = 28700


class FakeStore(transport_stores.ChangeFeed):
    """Store whose changes and faults a test sets."""

    def __init__(self):
        self.changes = []
        self.revision = 1
        self.is_down = False
        self.polls = 0

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
        return [], self.revision

    async def poll_changes(self, prefix, after, seconds, patience=1.0):
        self.polls += 1
        for _ in range(max(1, int(seconds / 0.02))):
            if self.is_down:
                raise errors.StoreError('down')
            found = [c for c in self.changes if c.revision > after]
            if found:
                return transport_stores.Poll(found, self.revision)
            await anyio.sleep(0.02)
        return transport_stores.Poll([], self.revision, seconds)


class Gateway:
    """The parts of a gateway that follow the store.

    Gateways of one test know one another; each has its own way to the store.
    """

    def __init__(self, name, port, store, capacity=1.0):
        self.capacity = capacity
        self.name = name
        self.port = port
        self.store = store
        self.members = members.Members(
            stores.MemoryStore(), name, ('127.0.0.1', port), 'bkk'
        )
        self.client = http_client.Client()
        self.feed = relays.RelayedFeed(store, self.members, self.client)
        self.proof = freshness.Freshness(4.5)
        self.applied = {}
        self.lapsed = set()
        self.mirror = mirrors.Mirror(self.feed, '', self.apply, self.proof)
        self.is_leaving = False
        self.server = relays.RelayServer(
            self.mirror, self.proof, lambda: self.is_leaving
        )

    def apply(self, change, has_lapsed):
        """Takes a change."""
        if change.entry is not None:
            self.applied[change.key] = change.entry.value
        else:
            self.applied.pop(change.key, None)
        if has_lapsed:
            self.lapsed.add(change.key)

    async def serve(self):
        """Answers the others."""
        listener = caller_connections.Listener(self.server.handle)
        await listener.serve('127.0.0.1', self.port)

    async def wait(self, check, seconds=5.0):
        """Waits until a check holds."""
        with anyio.fail_after(seconds):
            while not check(self):
                await anyio.sleep(0.01)


def make_gateways(count, port, shared=None):
    """Returns gateways, the ones that follow the store itself first."""
    made = [
        Gateway(f'gw-{n}', port + n, shared or FakeStore())
        for n in range(count)
    ]
    introduce(made)
    return sorted(made, key=lambda g: not g.members.is_direct())


def introduce(gateways):
    """Lists gateways with one another."""
    for one in gateways:
        for other in gateways:
            value = json.dumps(
                ['127.0.0.1', other.port, 'bkk', other.capacity]
            ).encode()
            key = members.PREFIX + other.name
            one.members.apply(
                transport_stores.Change(
                    key, 1, transport_stores.Entry(key, value, 1, 0)
                )
            )


def start(group, gateways):
    """Starts gateways."""
    for gateway in gateways:
        group.start_soon(gateway.serve)
        group.start_soon(gateway.mirror.run)


class TestFollowers:
    @run_async
    async def test_changes_come_without_calls_to_the_store(self):
        store = FakeStore()
        gateways = make_gateways(4, PORT, store)
        follower = gateways[-1]
        follower.store = follower.feed._store = FakeStore()
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait(lambda g: g.mirror.has_loaded.is_set())
            store.put('a', b'1')
            await follower.wait(lambda g: g.applied == {'a': b'1'})
            store.delete('a')
            await follower.wait(lambda g: g.applied == {})
            await anyio.sleep(1.0)
            assert follower.store.polls == 0
            assert follower.proof.age < 2.5
            group.cancel_scope.cancel()

    @run_async
    async def test_follower_turns_to_another_one_when_its_relay_dies(self):
        store = FakeStore()
        gateways = make_gateways(4, PORT + 10, store)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            # Nobody serves the relays' ports.
            group.start_soon(follower.mirror.run)
            await follower.wait(lambda g: g.mirror.has_loaded.is_set())
            store.put('a', b'1')
            await follower.wait(lambda g: g.applied == {'a': b'1'}, 3.0)
            group.cancel_scope.cancel()

    @run_async
    async def test_relay_that_lost_the_store_is_not_believed(self):
        gateways = make_gateways(3, PORT + 20)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait(lambda g: g.mirror.has_loaded.is_set())
            for relay in gateways[:2]:
                relay.store.is_down = True
            follower.store.put('b', b'2')
            await follower.wait(lambda g: 'b' in g.applied, 5.0)
            await anyio.sleep(0.3)
            assert follower.proof.age < 1.5
            group.cancel_scope.cancel()

    @run_async
    async def test_leaving_relay_sends_its_followers_away(self):
        gateways = make_gateways(3, PORT + 30)
        follower = gateways[-1]
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait(lambda g: g.mirror.has_loaded.is_set())
            for relay in gateways[:2]:
                relay.is_leaving = True
            follower.store.put('b', b'2')
            await follower.wait(lambda g: 'b' in g.applied, 3.0)
            group.cancel_scope.cancel()

    @run_async
    async def test_large_configuration_is_passed_on_small(self):
        """Found on raamwerk-hub-grown fresh-16ca, links of 10 Mbit/s."""
        store = FakeStore()
        gateways = make_gateways(3, PORT + 80, store)
        follower = gateways[-1]
        row = b'{"name": "r-1", "host": "shop.example", "prefix": "/a/"}'
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await follower.wait(lambda g: g.mirror.has_loaded.is_set())
            store.put('config', row * 8000)
            await follower.wait(lambda g: g.applied == {'config': row * 8000})
            group.cancel_scope.cancel()
        body = zlib.compress(row * 8000, relays.COMPRESSION_LEVEL)
        assert len(body) < len(row * 8000) / 10


class TestDirect:
    @run_async
    async def test_gateway_cut_from_the_store_goes_on_by_another_one(self):
        store = FakeStore()
        gateways = make_gateways(3, PORT + 40, store)
        cut = gateways[0]
        assert cut.members.is_direct()
        async with anyio.create_task_group() as group:
            start(group, gateways)
            await cut.wait(lambda g: g.mirror.has_loaded.is_set())
            cut.feed._store = FakeStore()
            cut.feed._store.is_down = True
            store.put('c', b'3')
            await cut.wait(lambda g: 'c' in g.applied, 3.0)
            await anyio.sleep(2.0)
            assert cut.proof.holds() and cut.proof.age < 3.0
            assert not cut.mirror.is_recovering()
            group.cancel_scope.cancel()

    @run_async
    async def test_any_gateway_with_a_way_to_the_store_helps(self):
        """Load of raamwerk-hub-grown scale-2 from second 7 to 13.

        Both relays of a region had no power while a third of the gateways
        were cut from the store.
        """
        store = FakeStore()
        gateways = make_gateways(5, PORT + 90, store)
        cut, others = gateways[-1], gateways[2:-1]
        cut.feed._store = FakeStore()
        async with anyio.create_task_group() as group:
            # The direct ones do not run.
            start(group, [cut, *others])
            await cut.wait(lambda g: g.mirror.has_loaded.is_set())
            cut.feed._store.is_down = True
            store.put('d', b'4')
            await cut.wait(lambda g: 'd' in g.applied, 4.5)
            group.cancel_scope.cancel()

    @run_async
    async def test_nobody_believes_what_the_store_did_not_say(self):
        store = FakeStore()
        gateways = make_gateways(4, PORT + 50, store)
        async with anyio.create_task_group() as group:
            start(group, gateways)
            for gateway in gateways:
                await gateway.wait(lambda g: g.mirror.has_loaded.is_set())
            await anyio.sleep(0.3)
            lost_at = freshness.read_clock()
            store.is_down = True
            await anyio.sleep(3.0)
            away = freshness.read_clock() - lost_at
            assert all(g.proof.age > away - 0.05 for g in gateways)
            store.is_down = False
            store.delete('a')
            for gateway in gateways:
                await gateway.wait(lambda g: g.proof.age < 0.5, 3.0)
                assert 'a' in gateway.lapsed
            group.cancel_scope.cancel()


class TestSize:
    def test_the_largest_hosts_follow_the_store_itself(self):
        gateways = [
            Gateway(f'gw-{n}', PORT + n, FakeStore(), 2.1 if n > 6 else 0.4)
            for n in range(10)
        ]
        introduce(gateways)
        direct = [g for g in gateways if g.members.is_direct()]
        assert len(direct) == members.MIN_DIRECT
        assert all(g.capacity == 2.1 for g in direct)

    def test_few_follow_the_store_itself(self):
        gateways = make_gateways(70, PORT + 100, FakeStore())
        direct = [g for g in gateways if g.members.is_direct()]
        assert len(direct) == 9
        follows = {}
        for gateway in gateways[9:]:
            name = gateway.feed._list_relays()[0]
            follows[name] = follows.get(name, 0) + 1
        assert set(follows) == {g.name for g in direct}
        assert max(follows.values()) <= 2.5 * members.FOLLOWERS


class TestAnswers:
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
    def test_answer_that_is_not_valid(self, body):
        with pytest.raises(errors.ProtocolError):
            relays.read_poll(body)

    @run_async
    async def test_poll_that_is_not_valid(self):
        gateway = make_gateways(1, PORT + 60)[0]
        async with anyio.create_task_group() as group:
            group.start_soon(gateway.serve)
            await anyio.sleep(0.1)
            for target, expected in (
                ('/changes', 400),
                ('/changes?after=x&wait_ms=1', 400),
                ('/other?after=1&wait_ms=1', 404),
            ):
                status, _, _ = await gateway.client.call(
                    'GET',
                    f'http://127.0.0.1:{gateway.port}{target}',
                    anyio.current_time() + 2,
                )
                assert status == expected
            group.cancel_scope.cancel()
