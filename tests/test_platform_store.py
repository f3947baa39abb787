"""Tests of the platform's store client with a fake store over TCP."""

import contextlib
import json

import anyio
import pytest

from chivejunction import errors
from chivejunction.platform import store as platform_store
from chivejunction.transport import http_client
from chivejunction.transport import http_server
from chivejunction.transport import listening
from fakes import metadata_store
from tests.forward_rig import run_async


@contextlib.asynccontextmanager
async def start_store():
    """Yields a client and the store that it calls."""
    store = metadata_store.MetadataStore()
    sock = listening.bind_socket('127.0.0.1', 0)
    port = sock.getsockname()[1]
    client = http_client.Client()
    async with anyio.create_task_group() as group:
        group.start_soon(store.run_lease_expiry)
        group.start_soon(
            http_server.serve,
            metadata_store.make_app(store),
            sock,
            anyio.Event(),
        )
        yield platform_store.PlatformStore(f'127.0.0.1:{port}', client), store
        await client.close()
        group.cancel_scope.cancel()


class TestReads:
    @run_async
    async def test_get_of_existing_and_missing_key(self):
        async with start_store() as (client, store):
            store.put('op/config', b'{}')
            entry = await client.get('op/config')
            assert (entry.value, entry.revision) == (b'{}', 2)
            assert await client.get('none') is None

    @run_async
    async def test_read_all_returns_all_pages_and_first_revision(self):
        async with start_store() as (client, store):
            for number in range(120):
                store.put(f'servers/{number:03d}', b'x')
            entries, revision = await client.read_all('servers/')
            assert len(entries) == 120
            assert revision == store.revision

    @run_async
    async def test_error_status_is_a_store_error(self):
        async with start_store() as (client, store):
            for fault in ('down', 'busy'):
                store.faults[fault] = True
                with pytest.raises(errors.StoreError, match='answered'):
                    await client.get('x')
                store.faults[fault] = False

    @run_async
    async def test_missing_response_times_out(self):
        async with start_store() as (client, store):
            store.faults['silent'] = True
            with pytest.raises(errors.StoreError):
                await client.get('x')


class TestChanges:
    @run_async
    async def test_poll_returns_writes_and_deletions(self):
        async with start_store() as (client, store):
            after = store.revision
            store.put('a', b'1')
            store.remove('a')
            poll = await client.poll_changes('', after, 1)
            changes, after = poll.changes, poll.after
            assert poll.waited_seconds == 0
            assert [c.key for c in changes] == ['a', 'a']
            assert changes[0].entry.value == b'1'
            assert changes[1].entry is None
            assert after == store.revision

    @run_async
    async def test_poll_without_changes_waits_and_returns_none(self):
        async with start_store() as (client, store):
            poll = await client.poll_changes('', store.revision, 0.1)
            assert not poll.changes and poll.after == store.revision
            assert (
                poll.waited_seconds == 0.1
                and poll.age == 0
                and poll.is_billable
            )

    @run_async
    async def test_dropped_history_is_reported(self):
        async with start_store() as (client, store):
            store.put('a', b'1')
            store.drop_history()
            with pytest.raises(errors.RevisionCompacted):
                await client.poll_changes('', 1, 1)


class TestWrites:
    @run_async
    async def test_conditional_write_and_conflict(self):
        async with start_store() as (client, store):
            revision = await client.swap(
                'a', b'1', 0, extra_entries={'b': b'2'}
            )
            assert (await client.get('b')).value == b'2'
            assert (await client.get('a')).revision <= revision
            with pytest.raises(errors.StoreConflict):
                await client.swap('a', b'2', 0)

    @run_async
    async def test_lost_response_leaves_the_result_unknown(self):
        async with start_store() as (client, store):
            store.faults['lose_answers'] = 1
            with pytest.raises(errors.StoreResultUnknown):
                await client.swap('a', b'1', 0)
            assert (await client.get('a')).value == b'1'

    @run_async
    async def test_refused_write_is_known_to_have_no_effect(self):
        async with start_store() as (client, store):
            store.faults['down'] = True
            with pytest.raises(errors.StoreError) as caught:
                await client.swap('a', b'1', 0)
            assert not isinstance(caught.value, errors.StoreResultUnknown)

    @run_async
    async def test_revoked_lease_removes_its_keys(self):
        async with start_store() as (client, store):
            lease = await client.grant_lease(1)
            await client.swap('a', b'1', 0, lease)
            assert await client.keep_alive(lease) == 1
            await client.revoke_lease(lease)
            assert await client.get('a') is None
            assert await client.keep_alive(lease) == 0
            with pytest.raises(errors.StoreError, match='lease'):
                await client.swap('a', b'1', 0, lease)


class ScriptedClient:
    """HTTP client whose response bodies a test sets."""

    def __init__(self, *bodies, status=200):
        self.bodies = [
            body if isinstance(body, bytes) else json.dumps(body).encode()
            for body in bodies
        ]
        self.status = status
        self.urls = []

    async def call(self, method, url, *args, **kwargs):
        self.urls.append(url)
        return self.status, {}, self.bodies.pop(0)


def make_client(*bodies, **options):
    """Returns a client of a store that gives these responses."""
    client = ScriptedClient(*bodies, **options)
    return platform_store.PlatformStore('127.0.0.1:1', client)


def make_item(key, revision=3, value='YQ==', **fields):
    """Returns an item of a response."""
    return {'key': key, 'revision': revision, 'value': value, **fields}


LARGE_NUMBERS = [2**63, 2**64, 10**30, -1, True, 1.5, '3', None]
BAD_KEYS = ['half \ud800', 'x' * 5000, '', None, 7, ['a']]


class TestMalformedItems:
    """One item that cannot be read must not hide the others."""

    @run_async
    async def test_listing_skips_an_item_without_a_readable_key(self):
        for item in [make_item(key) for key in BAD_KEYS] + [None, 3, []]:
            client = make_client(
                {'items': [make_item('a'), item], 'store_revision': 3}
            )
            entries, revision = await client.read_all('')
            assert [e.key for e in entries] == ['a'] and revision == 3

    @run_async
    async def test_entry_with_an_unreadable_value_is_not_missing(self):
        for value in ('?', 'YQ', 7, '\ud800', ['a']):
            client = make_client(
                {'items': [make_item('a', 2, value)], 'store_revision': 3}
            )
            (entry,), _ = await client.read_all('')
            assert entry.key == 'a' and entry.value == b''

    @run_async
    async def test_entry_with_an_unreadable_revision_keeps_its_value(self):
        for revision in [*LARGE_NUMBERS, 4, 0]:
            client = make_client(
                {'items': [make_item('a', revision)], 'store_revision': 3}
            )
            (entry,), _ = await client.read_all('')
            assert (entry.value, entry.revision) == (b'a', 3)

    @run_async
    async def test_unreadable_lease_counts_as_none(self):
        for lease in (-1, 2**63, 'x', [1], 1.5):
            client = make_client(
                {'items': [make_item('a', lease=lease)], 'store_revision': 3}
            )
            (entry,), _ = await client.read_all('')
            assert (entry.value, entry.lease) == (b'a', 0)

    @run_async
    async def test_event_with_an_unreadable_value_is_passed_on(self):
        client = make_client(
            {
                'events': [make_item('a', 2, '?'), make_item('b', 3)],
                'store_revision': 3,
            }
        )
        poll = await client.poll_changes('', 1, 1.0)
        assert [c.entry.value for c in poll.changes] == [b'', b'a']

    @run_async
    async def test_event_without_a_key_or_revision_asks_for_a_listing(self):
        events = [make_item(key) for key in BAD_KEYS]
        events += [make_item('a', revision) for revision in LARGE_NUMBERS]
        events += [make_item('a', 4), {'deleted': True, 'revision': 3}, None]
        for event in events:
            client = make_client(
                {'events': [make_item('b'), event], 'store_revision': 3}
            )
            with pytest.raises(errors.RevisionCompacted):
                await client.poll_changes('', 1, 1.0)

    @run_async
    async def test_unreadable_entry_can_be_replaced(self):
        client = make_client(make_item('a', 3, '?'))
        entry = await client.get('a')
        assert (entry.value, entry.revision) == (b'', 3)


class TestMalformedResponses:
    DEEP = b'[' * 100_000
    BODIES = [
        b'',
        b'x',
        DEEP,
        b'{"store_revision": 3, "items": ' + DEEP,
        b'null',
        b'[]',
        b'7',
        {'store_revision': 3, 'items': None},
        {'store_revision': 3, 'items': {'a': 1}},
        {'store_revision': 3, 'events': None},
        {'store_revision': 3, 'events': 'ab'},
        *[
            {'store_revision': number, 'items': [], 'events': []}
            for number in [*LARGE_NUMBERS, 0]
        ],
    ]

    @pytest.mark.parametrize('body', BODIES)
    def test_response_is_rejected(self, body):
        async def call():
            for name, args in (
                ('read_all', ('',)),
                ('poll_changes', ('', 1, 1.0)),
                ('get', ('a',)),
                ('grant_lease', (5,)),
                ('keep_alive', (5,)),
                ('swap', ('a', b'', 3)),
            ):
                with pytest.raises(errors.StoreError) as caught:
                    await getattr(make_client(body), name)(*args)
                assert not isinstance(caught.value, errors.RevisionCompacted)

        anyio.run(call)

    @run_async
    async def test_responses_of_other_calls_are_rejected(self):
        listing = {'items': [make_item('a')], 'store_revision': 3}
        with pytest.raises(errors.StoreError):
            await make_client(listing).poll_changes('', 1, 1.0)
        with pytest.raises(errors.StoreError):
            await make_client(make_item('b')).get('a')
        with pytest.raises(errors.StoreError):
            await make_client({'events': [], 'store_revision': 3}).read_all('')

    @run_async
    async def test_incomplete_listing_is_rejected(self):
        """Keys that a listing lacks are taken as deleted."""
        page = {'items': [], 'has_more': True, 'store_revision': 3}
        with pytest.raises(errors.StoreError):
            await make_client(page).read_all('')
        page['items'] = [make_item('a')]
        with pytest.raises(errors.StoreError):
            await make_client(page, page, page).read_all('')
        older_page = {'items': [make_item('b', 1)], 'store_revision': 2}
        with pytest.raises(errors.StoreError):
            await make_client(page, older_page).read_all('')

    @run_async
    async def test_lease_that_is_none_is_rejected(self):
        for lease in [0, *LARGE_NUMBERS]:
            with pytest.raises(errors.StoreError):
                await make_client({'lease': lease}).grant_lease(5)

    @run_async
    async def test_key_that_cannot_be_sent_is_a_store_error(self):
        with pytest.raises(errors.StoreError):
            await make_client().get('half \ud800')
