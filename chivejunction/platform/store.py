"""Client of the platform's metadata store."""

import base64
import contextlib
import json
from typing import Any
from urllib import parse

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.transport import http_client
from chivejunction.transport import stores

# Further time for a response body: a configuration of 1 MB takes a second over
# the slowest link of the users (10 Mbit/s), and longer while callers use it.
BODY_TIMEOUT_SECONDS = 4.0
# A listing with more pages fails.
MAX_LISTING_PAGES = 200
# The store's own limit is 200.
MAX_KEY_BYTES = 1024
# MessagePack, in which changes are relayed, has no longer whole numbers.
MAX_NUMBER = 2**63 - 1
MALFORMED_ITEMS = metrics.make_counter(
    'store_malformed_items',
    'Items of store responses of which a field could not be read.',
    'endpoint',
)


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


@contextlib.contextmanager
def _reject_malformed(
    endpoint: str, error: type[errors.StoreError] = errors.StoreError
):
    """Reports a response without the expected fields as a store error."""
    try:
        yield
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise error(f'{endpoint}: malformed response: {exc!r}') from exc


def _record_malformed_item(endpoint: str, item: Any, exc: Exception) -> None:
    MALFORMED_ITEMS.labels(endpoint).inc()
    logs.LOG.warning(
        '%s: malformed item: %r: %s', endpoint, exc, ascii(item)[:200]
    )


def _parse_number(value: Any, least: int = 0, most: int = MAX_NUMBER) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError('not a whole number')
    if not least <= value <= most:
        raise ValueError(f'number not from {least} to {most}')
    return value


def _parse_key(item: dict) -> str:
    key = item['key']
    if not isinstance(key, str) or not key:
        raise TypeError('key is no text')
    if len(key.encode()) > MAX_KEY_BYTES:
        raise ValueError(f'key has over {MAX_KEY_BYTES} bytes')
    return key


def _parse_entry(
    endpoint: str, item: dict, store_revision: int
) -> stores.Entry:
    """Parses an item of the store.

    An entry whose value cannot be read must not look deleted. Its value is
    empty, which decoders refuse.

    Args:
        endpoint: Endpoint that returned the item.
        item: The item.
        store_revision: Revision of the store, which stands in for a revision
            of the item that cannot be read.

    Raises:
        MALFORMED_DOCUMENT_ERRORS: The key cannot be read.
    """
    entry = stores.Entry(_parse_key(item), b'', store_revision, 0)
    parsers = {
        'value': lambda text: base64.b64decode(text or '', validate=True),
        'revision': lambda number: _parse_number(number, 1, store_revision),
        'lease': lambda number: _parse_number(number or 0),
    }
    for name, parse_field in parsers.items():
        try:
            setattr(entry, name, parse_field(item.get(name)))
        except errors.MALFORMED_DOCUMENT_ERRORS as exc:
            _record_malformed_item(endpoint, item, exc)
    return entry


def _parse_change(item: dict, store_revision: int) -> stores.Change:
    # A change needs its own revision: it must not hide those that follow.
    key = _parse_key(item)
    revision = _parse_number(item['revision'], 1, store_revision)
    if item.get('deleted'):
        return stores.Change(key, revision, None)
    return stores.Change(
        key, revision, _parse_entry('kv-watch', item, store_revision)
    )


class PlatformStore(stores.Store, stores.ChangeFeed):
    """Client of the platform's store over HTTP.

    Args:
        address: ``IP:PORT`` of the store.
        client: HTTP client for the calls.
    """

    def __init__(self, address: str, client: http_client.Client):
        self._url = f'http://{address}/v1/'
        self._client = client

    async def get(self, key: str) -> stores.Entry | None:
        """Returns the entry of a key, or None."""
        status, response = await self._read('kv-key', {'key': key}, (404,))
        if status == 404:
            return None
        with _reject_malformed('kv-key'):
            revision = _parse_number(response['revision'], 1)
            entry = _parse_entry('kv-key', response, revision)
            if entry.key != key:
                raise ValueError(f'item of another key than {key}')
            return entry

    async def list_prefix(self, prefix: str) -> list[stores.Entry]:
        """Returns all entries whose keys start with a prefix."""
        entries, _ = await self.read_all(prefix)
        return entries

    async def read_all(self, prefix: str) -> tuple[list[stores.Entry], int]:
        """Returns the entries of a prefix and the revision to follow from.

        The pages of a listing are not one snapshot, so the revision is that
        of the first page; changes made during the listing come again.

        Raises:
            StoreError: A call failed or the listing has too many pages.
        """
        entries, revision, after = [], None, None
        for _ in range(MAX_LISTING_PAGES):
            query = {'prefix': prefix}
            if after is not None:
                query['after'] = after
            _, response = await self._read('kv-range', query)
            with _reject_malformed('kv-range'):
                page_revision = _parse_number(response['store_revision'], 1)
                if revision is None:
                    revision = page_revision
                elif page_revision < revision:
                    raise ValueError('revision of an earlier page was higher')
                page = self._parse_page(response, prefix, page_revision)
                entries.extend(page)
                if not response.get('has_more'):
                    return entries, revision
                # An incomplete listing would make the other keys look deleted.
                if not page or page[-1].key == after:
                    raise ValueError('more entries, but none to go on from')
            after = page[-1].key
        raise errors.StoreError(
            f'listing of {prefix} has more than {MAX_LISTING_PAGES} pages'
        )

    @staticmethod
    def _parse_page(
        response: dict, prefix: str, revision: int
    ) -> list[stores.Entry]:
        """Returns the entries of a page without those that have no key."""
        items = response['items']
        if not isinstance(items, list):
            raise TypeError('items is no list')
        page = []
        for item in items:
            try:
                entry = _parse_entry('kv-range', item, revision)
                if not entry.key.startswith(prefix):
                    raise ValueError(f'key outside of {prefix}')
            except errors.MALFORMED_DOCUMENT_ERRORS as exc:
                _record_malformed_item('kv-range', item, exc)
                continue
            page.append(entry)
        return page

    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        response_timeout: float = stores.RESPONSE_TIMEOUT_SECONDS,
    ) -> stores.PollResult:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to follow.
            after: Last known revision.
            seconds: Longest time to wait for a change.
            response_timeout: Further seconds until the store counts as
                unavailable.

        Raises:
            RevisionCompacted: The store no longer has these changes, or one of
                them has no key or revision that can be read, so that only a
                listing shows what has changed.
            StoreError: The call failed.
        """
        status, response = await self._read(
            'kv-watch',
            {
                'prefix': prefix,
                'after': str(after),
                'wait_ms': str(int(seconds * 1000)),
            },
            (410,),
            seconds + response_timeout,
        )
        if status == 410:
            raise errors.RevisionCompacted(
                f'store has no history after revision {after}'
            )
        with _reject_malformed('kv-watch'):
            revision = _parse_number(response['store_revision'], 1)
            items = response.get('events', [])
            if not isinstance(items, list) or 'items' in response:
                raise TypeError('events is no list')
        changes = []
        for item in items:
            try:
                changes.append(_parse_change(item, revision))
            except errors.MALFORMED_DOCUMENT_ERRORS as exc:
                _record_malformed_item('kv-watch', item, exc)
                raise errors.RevisionCompacted(
                    f'unreadable change after revision {after}'
                ) from exc
        # The store returns an empty response only at the end of the wait.
        waited = 0.0 if changes else seconds
        return stores.PollResult(changes, revision, waited)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        extra_entries: dict[str, bytes] | None = None,
    ) -> int:
        """Writes a key if its modification revision is the expected one."""
        items = [(key, value, lease)]
        items.extend(
            (name, content, 0)
            for name, content in (extra_entries or {}).items()
        )
        writes = [
            {'key': name, 'value': _encode_base64(content)}
            | ({'lease': lease_id} if lease_id else {})
            for name, content, lease_id in items
        ]
        return await self._commit(key, expected, writes, [])

    async def delete(self, key: str, expected: int) -> None:
        """Deletes a key if it has the expected modification revision."""
        await self._commit(key, expected, [], [key])

    async def grant_lease(self, seconds: int) -> int:
        """Returns the id of a new lease."""
        _, response = await self._write(
            'POST', 'kv-lease', {'ttl_ms': seconds * 1000}
        )
        with _reject_malformed('kv-lease'):
            # 0 would stand for keys without a lease.
            return _parse_number(response['lease'], 1)

    async def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns the seconds left, 0 if it has expired."""
        status, response = await self._write(
            'POST', f'kv-keep/{lease}', None, (404,)
        )
        if status == 404:
            return 0
        with _reject_malformed('kv-keep'):
            return _parse_number(response['ttl_ms']) // 1000

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        await self._write('DELETE', f'kv-lease-end/{lease}', None, (404,))

    async def _commit(self, key, expected, writes, deletes) -> int:
        status, response = await self._write(
            'POST',
            'kv-txn',
            {
                'expected_rev': [{'key': key, 'revision': expected}],
                'writes': writes,
                'deletes': deletes,
            },
            (404, 412),
        )
        if status == 412:
            raise errors.StoreConflict(f'{key} is not at revision {expected}')
        if status == 404:
            raise errors.StoreError(f'{key} not written: its lease has ended')
        with _reject_malformed('kv-txn', errors.StoreResultUnknown):
            return _parse_number(response['revision'], 1)

    async def _read(
        self,
        endpoint,
        query,
        accepted_statuses=(),
        timeout_seconds=stores.RESPONSE_TIMEOUT_SECONDS,
    ):
        try:
            url = f'{self._url}{endpoint}?{parse.urlencode(query)}'
        except UnicodeError as exc:
            raise errors.StoreError(f'{endpoint}: {exc}') from exc
        try:
            return await self._call(
                'GET', url, None, accepted_statuses, timeout_seconds
            )
        except errors.TransportError as exc:
            if isinstance(exc, errors.StoreError):
                raise
            raise errors.StoreError(f'{endpoint}: {exc}') from exc

    async def _write(self, method, endpoint, value, accepted_statuses=()):
        try:
            return await self._call(
                method,
                self._url + endpoint,
                value,
                accepted_statuses,
                stores.RESPONSE_TIMEOUT_SECONDS,
            )
        except errors.StoreError:
            raise
        except errors.TransportError as exc:
            if exc.connected:
                raise errors.StoreResultUnknown(f'{endpoint}: {exc}') from exc
            raise errors.StoreError(f'{endpoint}: {exc}') from exc

    async def _call(
        self, method, url, value, accepted_statuses, timeout_seconds
    ):
        body = b'' if value is None else json.dumps(value).encode()
        headers = {'content-type': 'application/json'} if body else {}
        status, _, content = await self._client.call(
            method,
            url,
            clock.make_deadline(timeout_seconds),
            headers,
            body,
            BODY_TIMEOUT_SECONDS,
        )
        if status != 200 and status not in accepted_statuses:
            raise errors.StoreError(f'store answered status {status} to {url}')
        try:
            response = json.loads(content) if content else {}
        except (ValueError, RecursionError) as exc:
            raise errors.TransportError(
                f'{url}: response body is not JSON'
            ) from exc
        return status, response
