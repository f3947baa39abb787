"""Tests of changes to the configuration document."""

import zlib

import anyio
import pytest

from bench import fleet
from chivejunction import errors
from chivejunction.coordination import configuration
from chivejunction.protocol import resources
from chivejunction.protocol import verdicts
from chivejunction.transport import http_client
from chivejunction.transport import store_client

Change = configuration.Change


@pytest.fixture(scope='module')
def platform(tmp_path_factory):
    """Runs the fake key-value store and host list as processes."""
    with fleet.Fleet(tmp_path_factory.mktemp('platform')) as started:
        started.start_platform()
        yield started


@pytest.fixture
def store_url(platform):
    url = platform.members['store'].url()
    yield url
    fleet.call_json(
        'POST',
        f'{url}/faults',
        {'down': False, 'lose_answers': 0, 'delay': 0, 'count': 0},
    )


def set_faults(url: str, **faults) -> None:
    fleet.call_json('POST', f'{url}/faults', faults)


def run(url: str, work):
    """Runs a coroutine function on a ConfigStore of the store at a URL."""

    async def start():
        client = http_client.Client()
        try:
            return await work(
                configuration.ConfigStore(
                    store_client.StoreClient(url, client)
                )
            )
        finally:
            await client.close()

    return anyio.run(start)


def put(kind: str, name: str, expected=None, /, **value) -> Change:
    return Change('put', kind, name, {'name': name, **value}, expected)


class TestStoredValue:
    def test_document_is_compressed_and_plain_json_is_read(self, store_url):
        """Guards against large transfers at each change.

        Also guards against values of earlier releases, plain JSON, that can
        no longer be read.
        """

        async def work(config_store):
            client = http_client.Client()
            store = store_client.StoreClient(store_url, client)
            await config_store.apply(
                [
                    put('model', f'm-{n}', None, description='x' * 100)
                    for n in range(100)
                ]
            )
            document, revision = await config_store.read()
            entry = await store.get(configuration.CONFIG_KEY)
            plain = resources.dump_document(document)
            await store.swap(configuration.CONFIG_KEY, plain, revision)
            again, _ = await config_store.read()
            await client.close()
            return len(entry.value), len(plain), document, again

        stored, plain, document, again = run(store_url, work)
        assert 5 * stored < plain
        assert again == document

    @pytest.mark.parametrize(
        'data',
        [b'x', zlib.compress(b'{"a":"' + 5_000_000 * b'x' + b'"}')],
    )
    def test_invalid_value_is_an_error(self, data):
        """Guards against memory exhaustion by a small compressed value."""
        with pytest.raises(errors.ProtocolError):
            configuration.decode_stored_document(data)


class TestLostResponse:
    def test_write_without_response_is_made_once(self, store_url):
        """Guards against a change made twice.

        The store commits the write but responds with a 5xx status, after
        which the change is retried.
        """
        set_faults(store_url, lose_answers=1)

        async def work(config_store):
            before, _ = await config_store.read()
            after = await config_store.apply([put('pool', 'lost')])
            stored, _ = await config_store.read()
            return before, after, stored

        before, after, stored = run(store_url, work)
        assert after.revision == stored.revision == before.revision + 1

    def test_repeated_change_id_is_made_once(self, store_url):
        """Guards against a second revision for a retry at another gateway."""

        async def work(config_store):
            first = await config_store.apply(
                [put('pool', 'twice')], None, 'id-1'
            )
            second = await config_store.apply(
                [put('pool', 'twice')], None, 'id-1'
            )
            return first, second

        first, second = run(store_url, work)
        assert first.revision == second.revision

    def test_outage_after_the_write_is_reported_as_unknown(
        self, store_url, monkeypatch
    ):
        """Guards against NOT_RUN for a write that the store may have made.

        The store commits the write, loses the response and goes down, so
        that no read shows the outcome before the timeout.
        """
        monkeypatch.setattr(configuration, 'CHANGE_TIMEOUT_SECONDS', 0.5)
        set_faults(store_url, lose_answers=1, down_after_write=True)

        async def work(config_store):
            with pytest.raises(errors.RefusalError) as caught:
                await config_store.apply([put('pool', 'unknown')])
            return caught.value

        refusal = run(store_url, work)
        assert refusal.code == 'result_unknown'
        assert refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN

    def test_store_down_changes_nothing(self, store_url):
        set_faults(store_url, down=True)

        async def work(config_store):
            with pytest.raises(errors.StoreError) as caught:
                await config_store.apply([put('pool', 'down')])
            return caught.value

        assert not isinstance(run(store_url, work), errors.StoreResultUnknown)


class TestConcurrentOperators:
    def test_all_changes_of_concurrent_operators_are_kept(self, store_url):
        """Guards against lost updates by changes between read and write."""

        async def work(config_store):
            async with anyio.create_task_group() as group:
                for number in range(10):
                    group.start_soon(
                        config_store.apply, [put('pool', f'race-{number}')]
                    )
            return (await config_store.read())[0]

        pools = run(store_url, work).resources['pool']
        assert {f'race-{n}' for n in range(10)} <= set(pools)

    def test_conflicting_change_gets_the_current_state(self, store_url):
        async def work(config_store):
            first = await config_store.apply([put('pool', 'raced', 0)])
            with pytest.raises(configuration.StateConflict) as caught:
                await config_store.apply(
                    [put('pool', 'raced', 0, queue_length=1)]
                )
            return first, caught.value

        first, refusal = run(store_url, work)
        assert refusal.code == 'conflict'
        assert refusal.current['changed_at'] == first.revision
        assert refusal.current['resource'] == {'name': 'raced'}

    def test_deleted_resource_can_be_created_again(self, store_url):
        """Guards against a conflict for If-Match 0 after a deletion.

        The document records the revision of the deletion, which must not
        count as the revision of an existing resource.
        """

        async def work(config_store):
            await config_store.apply([put('pool', 'again', 0)])
            await config_store.delete('pool', 'again')
            return await config_store.apply([put('pool', 'again', 0)])

        assert 'again' in run(store_url, work).resources['pool']


def make_document() -> resources.Document:
    return configuration.apply_changes(
        resources.Document(),
        [
            put('pool', 'p'),
            put('model', 'm'),
            put('model', 'other'),
            put('modelversion', 'm-1', model='m', pool='p'),
            put('modelversion', 'o-1', model='other', pool='p'),
            put('organisation', 'org', models=['m']),
            put('limit', 'org', organisation='org'),
        ],
        None,
        'first',
    )


class TestValidation:
    @pytest.mark.parametrize(
        ('change', 'text'),
        [
            (put('modelversion', 'x', model='no', pool='p'), 'no model no'),
            (put('modelversion', 'x', model='m', pool='no'), 'no pool no'),
            (
                put('cascade', 'x', request_classes=['a'], steps=['no']),
                'no modelversion or model no',
            ),
            (
                put(
                    'rollout',
                    'x',
                    model='m',
                    from_version='m-1',
                    to_version='o-1',
                ),
                'o-1 is a version of other, not of m',
            ),
            (put('limit', 'x', organisation='no'), 'no organisation no'),
            (put('pool', 'x', colour='red'), 'colour'),
        ],
    )
    def test_invalid_resource_is_refused(self, change, text):
        with pytest.raises(errors.RefusalError) as caught:
            configuration.apply_changes(make_document(), [change], None, 'x')
        assert caught.value.code == 'invalid_resource'
        assert text in caught.value.detail

    def test_deletion_names_the_referrers(self):
        with pytest.raises(configuration.StateConflict) as caught:
            configuration.apply_changes(
                make_document(), [Change('delete', 'pool', 'p')], None, 'x'
            )
        assert caught.value.code == 'referenced'
        assert caught.value.current['referrers'] == [
            'modelversion/m-1',
            'modelversion/o-1',
        ]

    def test_several_changes_are_atomic(self):
        document = make_document()
        assert document.revision == 1
        with pytest.raises(errors.RefusalError):
            configuration.apply_changes(
                document,
                [put('pool', 'new'), put('limit', 'x', organisation='no')],
                None,
                'x',
            )
        assert 'new' not in document.resources['pool']

    def test_resource_and_referrer_are_deleted_together(self):
        document = configuration.apply_changes(
            make_document(),
            [
                Change('delete', 'modelversion', 'o-1'),
                Change('delete', 'model', 'other'),
            ],
            None,
            'x',
        )
        assert set(document.resources['model']) == {'m'}

    def test_document_above_one_megabyte_is_refused(self):
        change = put('model', 'big', description='x' * 1_000_000)
        with pytest.raises(errors.RefusalError) as caught:
            configuration.apply_changes(make_document(), [change], None, 'x')
        assert caught.value.code == 'too_large'

    def test_oldest_deletion_records_are_dropped(self, monkeypatch):
        """Guards against deletion records that fill the 1 MB limit."""
        monkeypatch.setattr(resources, 'MAX_DELETIONS', 2)
        document = make_document()
        for number in range(4):
            name = f'short-{number}'
            for change in (put('pool', name), Change('delete', 'pool', name)):
                document = configuration.apply_changes(
                    document, [change], None, name
                )
        deleted = [key for key in document.changed if 'short' in key]
        assert deleted == ['pool/short-2', 'pool/short-3']
        assert document.forgotten == document.revision - 4


class TestWithdrawnVersion:
    def test_records_that_its_sessions_have_moved(self):
        document = make_document()
        for state in ('withdrawn', 'active'):
            version = put(
                'modelversion', 'm-1', model='m', pool='p', state=state
            )
            document = configuration.apply_changes(
                document, [version], None, state
            )
            stored = document.resources['modelversion']['m-1']
            assert stored['moved_sessions'] is True
        other = document.resources['modelversion']['o-1']
        assert 'moved_sessions' not in other
