"""Tests of session tokens and session pins."""

import http.client
import json
import math
import urllib.parse

import anyio
from anyio import lowlevel
import pytest

from chivejunction import errors
from chivejunction.coordination import pins
from chivejunction.state import sessions
from tests import stores
from tests import test_routing

KEY = ('a', 's1', 'auto')
SESSION = sessions.Session('a', 's1', 'auto', 'small-1')


class TestTokenSigner:
    """Guards against invalid tokens that are accepted, and valid ones refused.

    Forged tokens and those of other organisations must be refused; tokens
    must remain valid at every gateway and while the keys are rotated.
    """

    def test_any_gateway_verifies_a_token(self):
        token = sessions.TokenSigner('key-one').sign(SESSION)
        assert sessions.TokenSigner('key-one').verify(token, 'a') == SESSION

    def test_token_of_another_organisation_is_refused(self):
        signer = sessions.TokenSigner('key-one')
        with pytest.raises(errors.RefusalError) as info:
            signer.verify(signer.sign(SESSION), 'b')
        assert info.value.code == 'forbidden'

    def test_forged_token_is_refused(self):
        signer = sessions.TokenSigner('key-one')
        forged = sessions.TokenSigner('key-two').sign(SESSION)
        for token in (forged, 'x', signer.sign(SESSION)[:-2]):
            with pytest.raises(errors.RefusalError):
                signer.verify(token, 'a')

    def test_tokens_remain_valid_during_key_rotation(self):
        old = sessions.TokenSigner('key-one').sign(SESSION)
        rotated = sessions.TokenSigner('key-two', 'key-one')
        assert rotated.verify(old, 'a') == SESSION
        assert sessions.TokenSigner('key-two').verify(
            rotated.sign(SESSION), 'a'
        )


class TestPinTable:
    """Guards against sessions that change their version without a reason."""

    def test_change_without_reason_is_a_violation(self):
        table = sessions.PinTable()
        table.save(KEY, 'small-1', 0.0)
        with pytest.raises(errors.InvariantViolation) as info:
            table.save(KEY, 'large-1', 1.0)
        assert info.value.name == 'session_version'
        table.save(KEY, 'large-1', 1.0, may_change=True)
        assert table.lookup(KEY, 2.0) == 'large-1'

    def test_idle_pins_expire_and_their_number_is_limited(self):
        table = sessions.PinTable(max_pins=2)
        for i in range(3):
            table.save(('a', str(i), 'auto'), 'small-1', 0.0)
        assert len(table) == 2
        assert table.lookup(('a', '2', 'auto'), 1.0) == 'small-1'
        late = sessions.IDLE_TIMEOUT_SECONDS + 1
        assert table.lookup(('a', '2', 'auto'), late) == ''

    def test_expired_pins_are_not_listed(self):
        table = sessions.PinTable()
        late = sessions.IDLE_TIMEOUT_SECONDS + 1
        table.save(('a', 's1', 'auto'), 'small-1', 0.0)
        table.save(('a', 's2', 'auto'), 'large-1', late)
        assert table.list_pins(late) == [(('a', 's2', 'auto'), 'large-1')]


class FakeRollouts:
    revision = 1

    def __init__(self, name='r'):
        self.name = name

    def find_session_rollout(self, key):
        return self.name


class TestSharedPins:
    """Guards against gateways that disagree on a session during a rollout."""

    def make(self, store, name='r'):
        return pins.SharedPins(sessions.PinTable(), FakeRollouts(name), store)

    def make_call(self, session='s1'):
        return test_routing.make_call(session=session)

    def test_other_gateway_finds_a_saved_pin(self):
        async def check():
            store = stores.MemoryStore()
            first = self.make(store)
            first.save(self.make_call(), 'small-1')
            await first.flush()
            found = await self.make(store).lookup(self.make_call())
            assert found == 'small-1'

        anyio.run(check)

    def test_sessions_outside_a_rollout_make_no_store_call(self):
        async def check():
            store = stores.MemoryStore()
            shared_pins = self.make(store, name='')
            shared_pins.save(self.make_call(), 'small-1')
            await shared_pins.flush()
            assert await shared_pins.lookup(self.make_call()) == 'small-1'
            assert await shared_pins.lookup(self.make_call('s2')) == ''
            assert store.reads == 0

        anyio.run(check)

    def test_sessions_pinned_before_the_rollout_are_saved(self):
        async def check():
            store = stores.MemoryStore()
            shared_pins = self.make(store, name='')
            shared_pins.save(self.make_call(), 'small-1')
            await shared_pins.flush()
            assert store.writes == 0
            shared_pins._rollouts.name = 'r'
            shared_pins._rollouts.revision = 2
            await shared_pins.flush()
            assert store.writes == 1

        anyio.run(check)

    def test_first_saved_version_stays(self):
        async def check():
            store = stores.MemoryStore()
            for version in ('small-1', 'large-1'):
                shared_pins = self.make(store)
                shared_pins.save(self.make_call(), version)
                await shared_pins.flush()
            found = await self.make(store).lookup(self.make_call())
            assert found == 'small-1'

        anyio.run(check)

    def test_pin_made_during_a_lookup_is_found(self):
        async def check():
            store = stores.MemoryStore()
            shared_pins = self.make(store)
            found = []

            async def look_up():
                found.append(await shared_pins.lookup(self.make_call()))

            async with anyio.create_task_group() as group:
                group.start_soon(look_up)
                await lowlevel.checkpoint()
                assert store.reads == 1
                # A concurrent request of the session is pinned during the
                # read.
                shared_pins.save(self.make_call(), 'small-1')
            assert found == ['small-1']

        anyio.run(check)

    def test_pins_stay_pending_while_the_store_is_down(self):
        async def check():
            store = stores.MemoryStore()
            shared_pins = self.make(store)
            shared_pins.save(self.make_call(), 'small-1')
            store.is_down = True
            with pytest.raises(errors.StoreError):
                await shared_pins.flush()
            store.is_down = False
            await shared_pins.flush()
            assert store.writes == 1

        anyio.run(check)

    def test_many_pins_are_saved_in_few_writes(self):
        async def check():
            store = stores.MemoryStore()
            shared_pins = self.make(store)
            for i in range(1000):
                shared_pins.save(self.make_call(f's{i}'), 'small-1')
            await shared_pins.flush()
            assert store.writes <= pins.BUCKET_COUNT

        anyio.run(check)


class TestLargeBuckets:
    """Guards against pins that are lost because their bucket is full."""

    @pytest.fixture(autouse=True)
    def set_limits(self, monkeypatch):
        monkeypatch.setattr(pins, 'BUCKET_COUNT', 1)
        monkeypatch.setattr(pins, 'MAX_PAGE_PINS', 4)

    def make(self, store):
        return pins.SharedPins(sessions.PinTable(), FakeRollouts(), store)

    def make_call(self, number):
        return test_routing.make_call(session=f's{number}')

    async def save_all(self, store, numbers, version='small-1'):
        shared_pins = self.make(store)
        for number in numbers:
            shared_pins.save(self.make_call(number), version)
        await shared_pins.flush()
        return shared_pins

    @stores.run_async
    async def test_pins_above_the_limit_are_found_after_a_restart(self):
        store = stores.MemoryStore()
        await self.save_all(store, range(3))
        await self.save_all(store, range(3, 14))
        for entry in store.entries.values():
            assert len(json.loads(entry.value)) <= pins.MAX_PAGE_PINS
        restarted = self.make(store)
        for number in range(14):
            assert await restarted.lookup(self.make_call(number)) == 'small-1'

    @stores.run_async
    async def test_first_saved_version_stays_on_any_page(self):
        store = stores.MemoryStore()
        await self.save_all(store, range(14))
        writes = store.writes
        await self.save_all(store, range(14), 'large-1')
        assert store.writes == writes
        restarted = self.make(store)
        for number in range(14):
            assert await restarted.lookup(self.make_call(number)) == 'small-1'

    @stores.run_async
    async def test_gateways_that_fill_a_page_together_lose_no_pin(self):
        store = stores.MemoryStore()
        store.delay = 0.001
        async with anyio.create_task_group() as group:
            group.start_soon(self.save_all, store, range(6))
            group.start_soon(self.save_all, store, range(4, 10))
        restarted = self.make(store)
        for number in range(10):
            assert await restarted.lookup(self.make_call(number)) == 'small-1'

    @stores.run_async
    async def test_full_pages_are_read_once(self):
        store = stores.MemoryStore()
        shared_pins = await self.save_all(store, range(6))
        await shared_pins.lookup(self.make_call(20))
        store.reads = 0
        shared_pins._cached_buckets['pins/r/00'].deadline = -math.inf
        await shared_pins.lookup(self.make_call(21))
        assert store.reads == 1

    @stores.run_async
    async def test_bucket_without_free_page_keeps_no_other_waiting(
        self, monkeypatch
    ):
        monkeypatch.setattr(pins, 'MAX_PAGES', 2)
        store = stores.MemoryStore()
        shared_pins = await self.save_all(store, range(14))
        assert len(store.entries) == 2
        assert not shared_pins._pending_pins


class TestMalformedBuckets:
    """Guards against a bad store entry that ends a call or all writes."""

    VALUES = [
        b'',
        b'\xff',
        b'[' * 100_000,
        b'[]',
        b'{"a": 1}',
        b'{"a": "\\ud800"}',
    ]

    @pytest.mark.parametrize('value', VALUES)
    def test_lookup_and_flush_continue(self, monkeypatch, value):
        monkeypatch.setattr(pins, 'BUCKET_COUNT', 1)
        store = stores.MemoryStore()
        shared_pins = pins.SharedPins(
            sessions.PinTable(), FakeRollouts(), store
        )
        call = test_routing.make_call(session='s1')

        async def check():
            key = pins.make_bucket_key('r', shared_pins.make_key(call))
            await store.swap(key, value, 0)
            assert await shared_pins.lookup(call) == ''
            shared_pins.save(call, 'small-1')
            with pytest.raises(errors.StoreError):
                await shared_pins.flush()
            assert len(shared_pins._pending_pins) == 1

        anyio.run(check)


class TestSessionManager:
    """Guards against a selection that ignores the session's pin."""

    def test_unexplained_version_change_is_a_violation(self):
        shared_pins = pins.SharedPins(
            sessions.PinTable(), FakeRollouts(''), stores.MemoryStore()
        )
        manager = pins.SessionManager(
            sessions.TokenSigner('key-one'), shared_pins
        )
        call = test_routing.make_call(session='s', pin='small-1')
        with pytest.raises(errors.InvariantViolation):
            manager.pin_session(call, 'large-1', {}, True)
        manager.pin_session(call, 'large-1', {'small-1': 'withdrawn'}, True)


class TestSessionTokenHeader:
    """Guards against gateways that ignore or wrongly accept session tokens."""

    def send_request(self, small_fleet, key, model='auto', **headers):
        url = urllib.parse.urlsplit(small_fleet.members['gw-1'].url())
        connection = http.client.HTTPConnection(url.hostname, url.port)
        message = {'role': 'user', 'content': 'Bonjour'}
        connection.request(
            'POST',
            '/v1/chat/completions',
            json.dumps({'model': model, 'messages': [message]}),
            {'authorization': f'Bearer {key}', **headers},
        )
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response, json.loads(body)

    def test_token_keeps_the_version(self, small_fleet):
        first, _ = self.send_request(small_fleet, 'temple-key', 'large')
        token = first.headers['x-session-token']
        assert first.headers['x-model-version'] == 'large-1'
        second, body = self.send_request(
            small_fleet, 'temple-key', 'auto', **{'x-session-token': token}
        )
        assert second.status == 200
        assert body['model'] == 'large-1'

    def test_token_of_another_organisation_is_forbidden(self, small_fleet):
        first, _ = self.send_request(small_fleet, 'temple-key', 'small')
        token = first.headers['x-session-token']
        second, body = self.send_request(
            small_fleet, 'school-key', 'small', **{'x-session-token': token}
        )
        assert second.status == 403
        assert body['error']['code'] == 'forbidden'
