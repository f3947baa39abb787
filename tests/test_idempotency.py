"""Tests of idempotency keys with an in-memory store."""

import json
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
    """In-memory store client with scripted faults.

    Attributes:
        faults: Operation and fault of the next calls to fail, in order.
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.faults = []
        self.leases = []

    async def get(self, key):
        self._raise_fault('get')
        return self.entries.get(key)

    async def grant_lease(self, seconds):
        self._raise_fault('lease')
        self.leases.append(seconds)
        return len(self.leases)

    async def swap(self, key, value, expected, lease=0):
        assert lease
        fault = self._pop_fault('swap')
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

    def _pop_fault(self, operation):
        if self.faults and self.faults[0][0] == operation:
            return self.faults.pop(0)[1]
        return ''

    def _raise_fault(self, operation):
        if self._pop_fault(operation):
            raise errors.StoreError('down')


@pytest.fixture
def store():
    return MemoryStore()


def resolve_as(state):
    """Returns an agent script that reports a state for earlier attempts."""

    def respond(peer, frame):
        if isinstance(frame, messages.Resolve):
            yield messages.Resolved(frame.attempt, 'inc-1', state, 0)
        else:
            yield from test_attempts.send_full_response(peer, frame)

    return respond


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
    """Guards against repeated runs and wrong verdicts under one key.

    A call is repeated, store responses are lost, or the agent of the recorded
    attempt was removed or may have dropped the attempt.
    """

    @pytest.mark.parametrize('fault', ['lost before', 'lost after'])
    def test_lost_store_response_is_resolved_by_a_read(self, store, fault):
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
    def test_unavailable_store_means_not_run(self, store, fault):
        store.faults = fault
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as raised:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert raised.value.code == 'store_unavailable'
        assert raised.value.verdict is verdicts.Verdict.NOT_RUN
        assert peer.sent == []

    def test_record_of_an_attempt_that_never_arrived_is_replaced(self, store):
        write_record(store, time.time() + 60)
        peer = test_attempts.ScriptedPeer(resolve_as('blocked'))
        test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert peer.count(messages.Start) == 1
        (entry,) = store.entries.values()
        record = idempotency.decode_record(entry.value)
        assert record.gateway == 'gw-1'

    def test_record_past_its_deadline_is_not_replaced(self, store):
        write_record(store, time.time() - 1)
        peer = test_attempts.ScriptedPeer(resolve_as('blocked'))
        with pytest.raises(errors.RefusalError) as raised:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert raised.value.code == 'duplicate'
        assert raised.value.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert peer.count(messages.Start) == 0

    def test_record_of_a_removed_server_means_may_have_run(self, store):
        write_record(store, time.time() + 60, agent='lm-9')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as raised:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert raised.value.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert peer.sent == []

    def test_key_reused_with_another_request_is_refused(self, store):
        write_record(store, time.time() + 60, request_hash='h2')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        with pytest.raises(errors.RefusalError) as raised:
            test_attempts.run_call(make_dispatcher(store, peer), make_call())
        assert raised.value.code == 'key_reused'
        assert peer.sent == []

    def test_organisations_have_separate_keys(self, store):
        write_record(store, time.time() + 60, request_hash='h2')
        peer = test_attempts.ScriptedPeer(test_attempts.send_full_response)
        call = make_call(organisation='school')
        test_attempts.run_call(make_dispatcher(store, peer), call)
        assert set(store.entries) == {
            'idempotency/temple/a%2Fb',
            'idempotency/school/a%2Fb',
        }

    def test_retry_after_a_refusal_updates_the_record(self, store):
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


class TestOddRecords:
    """Guards against a store entry that ends a request with any error."""

    FIELDS = {
        'gateway': 'gw-1',
        'attempt': 'a',
        'agent': 'lm-1',
        'incarnation': 'i',
        'hash': 'h',
        'until': 1.0,
        'state': 'sent',
    }

    @pytest.mark.parametrize(
        'value',
        [
            b'',
            b'\xff',
            b'7',
            b'[' * 100_000,
            json.dumps({**FIELDS, 'until': 'x'}).encode(),
            json.dumps({**FIELDS, 'until': None}).encode(),
            json.dumps({**FIELDS, 'until': float('nan')}).encode(),
            json.dumps({**FIELDS, 'agent': []}).encode(),
            json.dumps({**FIELDS, 'state': 7}).encode(),
        ],
    )
    def test_record_is_refused(self, value):
        with pytest.raises(errors.RefusalError) as info:
            idempotency.decode_record(value)
        assert info.value.code == 'internal'
        assert info.value.verdict == verdicts.Verdict.MAY_HAVE_RUN

    def test_record_is_read(self):
        record = idempotency.decode_record(json.dumps(self.FIELDS).encode())
        assert record.is_within_deadline is False
