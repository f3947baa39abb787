"""Idempotency keys over a store in memory."""

import time
import types

import anyio
import pytest

from chivejunction import errors
from chivejunction.coordination import dispatch
from chivejunction.coordination import idempotency
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.transport import stores
from tests import test_attempts


class MemoryStore:
    """Store client whose next writes can fail in a given way."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.faults = []
        self.leases = []

    async def get(self, key):
        self._fail('get')
        return self.entries.get(key)

    async def grant_lease(self, seconds):
        self._fail('lease')
        self.leases.append(seconds)
        return len(self.leases)

    async def swap(self, key, value, expected, lease=0):
        assert lease
        fault = self._take('swap')
        if fault == 'lost before':
            raise errors.StoreResultUnknown('lost')
        entry = self.entries.get(key)
        if (entry.revision if entry else 0) != expected:
            raise errors.StoreConflict(key)
        self.revision += 1
        self.entries[key] = stores.Entry(key, value, self.revision, lease)
        if fault == 'lost after':
            raise errors.StoreResultUnknown('lost')
        return self.revision

    def _take(self, operation):
        if self.faults and self.faults[0][0] == operation:
            return self.faults.pop(0)[1]
        return ''

    def _fail(self, operation):
        if self._take(operation):
            raise errors.StoreError('down')


@pytest.fixture
def store():
    return MemoryStore()


def answer_resolve(state):
    """Returns an agent that knows earlier attempts in one state."""

    def answer(peer, frame):
        if isinstance(frame, messages.Resolve):
            yield messages.Resolved(frame.attempt, 'inc-1', state, 0)
        else:
            yield from test_attempts.send_full_response(peer, frame)

    return answer


def make_call(request_hash='h1', organisation='temple'):
    call = test_attempts.make_call(idempotent=False)
    call.key, call.request_hash = 'a/b', request_hash
    call.organisation = organisation
    return call


def make_dispatcher(store, *peers):
    return dispatch.Dispatcher(
        test_attempts.FixedSelector(peers),
        {p.name: p for p in peers},
        types.SimpleNamespace(revision=1),
        idempotency.KeyStore(store, 'gw-1'),
    )


def write_record(store, until, request_hash='h1', agent='lm-1'):
    record = idempotency.Record(
        'gw-2', 'old', agent, 'inc-1', request_hash, until
    )
    anyio.run(store.swap, 'idempotency/temple/a%2Fb', record.encode(), 0, 1)


class TestKeyStore:
    """Guards against second runs and false verdicts under one key."""

    @pytest.mark.parametrize('fault', ['lost before', 'lost after'])
    def test_lost_answer_is_decided_by_a_read(self, store, fault):
        store.faults = [('swap', fault)]
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert peer.count(messages.Start) == 1
        assert len(store.entries) == 1

    @pytest.mark.parametrize(
        'fault',
        [
            [('lease', 'down')],
            [('swap', 'lost after'), ('get', 'down')],
        ],
    )
    def test_store_down_means_not_run(self, store, fault):
        store.faults = fault
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as caught:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert caught.value.code == 'store_unavailable'
        assert caught.value.verdict is verdicts.Verdict.NOT_RUN
        assert peer.sent == []

    def test_attempt_that_never_came_is_taken_over(self, store):
        write_record(store, time.time() + 60)
        peer = test_attempts.ScriptedPeer(answer_resolve('blocked'))
        test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert peer.count(messages.Start) == 1
        (entry,) = store.entries.values()
        record = idempotency.decode_record(entry.value)
        assert record.gateway == 'gw-1'

    def test_attempt_that_the_agent_may_have_forgotten_is_not(self, store):
        write_record(store, time.time() - 1)
        peer = test_attempts.ScriptedPeer(answer_resolve('blocked'))
        with pytest.raises(errors.RefusalError) as caught:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert caught.value.code == 'duplicate'
        assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert peer.count(messages.Start) == 0

    def test_record_of_a_server_that_has_gone(self, store):
        write_record(store, time.time() + 60, agent='lm-9')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as caught:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert peer.sent == []

    def test_another_request_is_refused(self, store):
        write_record(store, time.time() + 60, request_hash='h2')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as caught:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert caught.value.code == 'key_reused'
        assert peer.sent == []

    def test_organisations_have_keys_of_their_own(self, store):
        write_record(store, time.time() + 60, request_hash='h2')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        call = make_call(organisation='school')
        test_attempts.run_call(make_dispatcher(store, peer), call)
        assert set(store.entries) == {
            'idempotency/temple/a%2Fb',
            'idempotency/school/a%2Fb',
        }

    def test_retry_after_a_refusal_moves_the_record(self, store):
        first = test_attempts.ScriptedPeer(
            test_attempts.refuse_with('overloaded')
        )
        second = test_attempts.ScriptedPeer(
            test_attempts.send_full_response, 'lm-2'
        )
        dispatcher = make_dispatcher(store, first, second)
        test_attempts.run_call(dispatcher, make_call())
        (entry,) = store.entries.values()
        record = idempotency.decode_record(entry.value)
        assert record.agent == 'lm-2'
        assert record.attempt == second.sent[0].attempt

    def test_one_lease_covers_many_keys(self, store):
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        dispatcher = make_dispatcher(store, peer)

        async def run():
            for number in range(5):
                call = make_call()
                call.key = f'key-{number}'
                async for _ in dispatcher.run(call, 'lm-pool'):
                    pass

        anyio.run(run)
        assert len(store.leases) == 1
        assert store.revision == 5
