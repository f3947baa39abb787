"""Tests of orders to engines: fencing, leases, permits, placement."""

import anyio
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction import rendezvous
from chivejunction.coordination import leases
from chivejunction.coordination import orders
from chivejunction.coordination import placement
from chivejunction.protocol import resources
from chivejunction.state import views
from tests import stores


class FakeEngine:
    """In-memory engine.

    Attributes:
        checks_fencing: Whether orders with an old fencing token are refused.
    """

    def __init__(self, checks_fencing=True):
        self.checks_fencing = checks_fencing
        self.versions = []
        self.orders = []
        self.highest_token = 0

    async def read_versions(self):
        return list(self.versions)

    async def send(self, order, version, lock):
        lock.lease.check(orders.ORDER_TIMEOUT_SECONDS)
        if self.checks_fencing and lock.fencing_token < self.highest_token:
            raise errors.OrderError('old fencing token')
        self.highest_token = max(self.highest_token, lock.fencing_token)
        self.orders.append((order, version, lock.fencing_token))
        if order == 'load':
            self.versions.append(version)
        else:
            self.versions.remove(version)


def make_reconciler(store, engine, target_versions, owner='a', busy=()):
    return orders.VersionReconciler(
        store,
        engine,
        'lm-1',
        'lm-pool',
        owner,
        lambda: target_versions,
        lambda: 1,
        lambda version: version in busy,
    )


class TestVersionReconciler:
    """Guards against engines that hold the wrong versions.

    Versions are loaded without a permit or while the store is unavailable, or
    unloaded while attempts still run on them.
    """

    @stores.run_async
    async def test_loads_and_unloads_to_the_wanted_versions(self):
        store, engine = stores.MemoryStore(), FakeEngine()
        engine.versions = ['old-1']
        await make_reconciler(store, engine, ['new-1']).reconcile()
        assert engine.versions == ['new-1']
        assert [o[0] for o in engine.orders] == ['unload', 'load']

    @stores.run_async
    async def test_version_with_running_work_is_not_unloaded(self):
        store, engine = stores.MemoryStore(), FakeEngine()
        engine.versions = ['old-1']
        await make_reconciler(store, engine, [], busy=['old-1']).reconcile()
        assert engine.versions == ['old-1']

    @stores.run_async
    async def test_no_order_while_the_store_is_unavailable(self):
        store, engine = stores.MemoryStore(), FakeEngine()
        store.is_down = True
        with pytest.raises(errors.StoreError):
            await make_reconciler(store, engine, ['new-1']).reconcile()
        assert engine.orders == []

    @stores.run_async
    async def test_no_load_without_a_permit(self):
        store, engine = stores.MemoryStore(), FakeEngine()
        permit = orders.LoadPermit(store, 'lm-pool', 1, 'b')
        assert await permit.acquire()
        await make_reconciler(store, engine, ['new-1']).reconcile()
        assert engine.versions == []
        await permit.lease.release()
        await make_reconciler(store, engine, ['new-1']).reconcile()
        assert engine.versions == ['new-1']


class TestFencing:
    """Guards against orders of an agent whose lock another agent holds.

    The lease of a paused agent expires, or responses of the store are lost.
    """

    @stores.run_async
    async def test_fencing_token_increases_with_each_holder(self):
        store = stores.MemoryStore()
        tokens = []
        for owner in ('a', 'b', 'c'):
            lock = orders.FencedLock(store, 'lm-1', owner)
            assert await lock.acquire()
            tokens.append(lock.fencing_token)
            await lock.lease.release()
        assert tokens == [1, 2, 3]

    @stores.run_async
    async def test_lost_store_responses_give_distinct_tokens(self):
        store = stores.MemoryStore()
        tokens = []
        for owner in ('a', 'b'):
            lock = orders.FencedLock(store, 'lm-1', owner)
            store.lose_answers = 2
            assert await lock.acquire()
            tokens.append(lock.fencing_token)
            await lock.lease.release()
        assert tokens == sorted(set(tokens))

    @stores.run_async
    async def test_second_agent_acquires_the_lock_after_expiry(self):
        store = stores.MemoryStore()
        first = orders.FencedLock(store, 'lm-1', 'a')
        second = orders.FencedLock(store, 'lm-1', 'b')
        assert await first.acquire()
        assert not await second.acquire()
        store.expire(first.lease.id)
        assert await second.acquire()

    @stores.run_async
    async def test_paused_holder_sends_no_order(self, monkeypatch):
        store = stores.MemoryStore()
        engine = FakeEngine(checks_fencing=False)
        lock = orders.FencedLock(store, 'lm-1', 'a')
        assert await lock.acquire()
        later = clock.now() + orders.LEASE_TTL_SECONDS
        monkeypatch.setattr(clock.time, 'monotonic', lambda: later)
        with pytest.raises(errors.LeaseExpired):
            await engine.send('load', 'new-1', lock)
        assert engine.orders == []

    @stores.run_async
    async def test_engine_that_checks_fencing_refuses_a_former_holder(self):
        store, engine = stores.MemoryStore(), FakeEngine()
        first = orders.FencedLock(store, 'lm-1', 'a')
        await first.acquire()
        store.expire(first.lease.id)
        second = orders.FencedLock(store, 'lm-1', 'b')
        await second.acquire()
        await engine.send('load', 'new-1', second)
        with pytest.raises(errors.OrderError):
            await engine.send('load', 'old-1', first)


class RecordingClient:
    """HTTP client that records calls and responds with status 200."""

    def __init__(self):
        self.calls = []

    async def call_json(self, method, url, deadline, value=None):
        self.calls.append((method, url, value))
        return 200, {}


class TestEngineClient:
    """Guards against orders without a valid lease or a fencing token."""

    @stores.run_async
    async def test_order_contains_the_fencing_token(self):
        client = RecordingClient()
        lock = orders.FencedLock(stores.MemoryStore(), 'lm-1', 'a')
        await lock.acquire()
        engine = orders.EngineClient(client, 'http://127.0.0.1:1')
        await engine.send('load', 'new-1', lock)
        assert client.calls[0][2]['fencing'] == 1

    @stores.run_async
    async def test_no_order_is_sent_shortly_before_the_lease_expires(
        self, monkeypatch
    ):
        client = RecordingClient()
        lock = orders.FencedLock(stores.MemoryStore(), 'lm-1', 'a')
        await lock.acquire()
        engine = orders.EngineClient(client, 'http://127.0.0.1:1')
        margin = orders.ORDER_TIMEOUT_SECONDS - 0.5
        late = clock.now() + lock.lease.remaining() - margin
        monkeypatch.setattr(clock.time, 'monotonic', lambda: late)
        with pytest.raises(errors.LeaseExpired):
            await engine.send('load', 'new-1', lock)
        assert client.calls == []


class TestLease:
    """Guards against a lease that is assumed valid after its expiry.

    The store responds late, or has already dropped the lease.
    """

    @stores.run_async
    async def test_deadline_is_counted_from_before_the_request(self):
        store = stores.MemoryStore()
        store.delay = 0.3
        lease = leases.Lease(store, 10)
        await lease.acquire()
        assert lease.remaining() <= 9.7

    @stores.run_async
    async def test_lease_unknown_to_the_store_is_expired(self):
        store = stores.MemoryStore()
        lease = leases.Lease(store, 10)
        await lease.acquire()
        store.expire(lease.id)
        with pytest.raises(errors.LeaseExpired):
            await lease.renew()
        assert lease.remaining() == 0

    @stores.run_async
    async def test_lease_is_renewed_before_it_expires(self):
        store = stores.MemoryStore()
        lease = leases.Lease(store, 1)
        await lease.acquire()
        with anyio.move_on_after(1.5):
            await lease.keep_renewed()
        assert lease.remaining() > 0


def make_view(**versions) -> views.ConfigView:
    view = views.ConfigView()
    view.apply(
        resources.Document(
            revision=1,
            resources={
                'pool': {
                    'lm-pool': {'name': 'lm-pool', 'versions_per_server': 2}
                },
                'modelversion': {
                    name: {
                        'name': name,
                        'model': 'm',
                        'pool': 'lm-pool',
                        **fields,
                    }
                    for name, fields in versions.items()
                },
            },
        )
    )
    return view


class TestPlacement:
    """Guards against versions that are placed wrongly or moved needlessly.

    Each agent computes its placement alone, from the hosts that it knows.
    """

    def test_version_is_placed_on_as_many_hosts_as_replicas(self):
        view = make_view(v1={'replicas': 3})
        hosts = [f'h{i}' for i in range(9)]
        holders = [
            h
            for h in hosts
            if placement.choose_versions(view, 'lm-pool', h, hosts)
        ]
        assert len(holders) == 3

    def test_lost_host_moves_only_its_own_replica(self):
        view = make_view(v1={'replicas': 3})
        hosts = [f'h{i}' for i in range(9)]
        before = set(rendezvous.rank_hosts('v1', hosts)[:3])
        lost_host = sorted(before)[0]
        remaining_hosts = [h for h in hosts if h != lost_host]
        after = {
            h
            for h in remaining_hosts
            if placement.choose_versions(view, 'lm-pool', h, remaining_hosts)
        }
        assert before - {lost_host} <= after
        assert len(after) == 3

    def test_withdrawn_version_is_not_held(self):
        view = make_view(v1={'state': 'withdrawn'}, v2={})
        assert placement.choose_versions(view, 'lm-pool', 'h', ['h']) == ['v2']

    def test_versions_with_few_replicas_are_placed_first(self):
        view = make_view(v1={}, v2={}, v3={'replicas': 1})
        chosen = placement.choose_versions(view, 'lm-pool', 'h', ['h'])
        assert len(chosen) == 2
        assert 'v3' in chosen
