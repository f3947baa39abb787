"""Tests of the platform's store client with a fake store over TCP."""

import contextlib

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
