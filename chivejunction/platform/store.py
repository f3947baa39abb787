"""Client of the platform's metadata store."""

import base64
import json
from urllib import parse

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import http_client
from chivejunction.transport import stores

# Time for an answer that keeps coming: a configuration of 1 MB takes a second
# over the slowest link of the users (10 Mbit/s), with callers beside it more.
BODY_SECONDS = 4.0
# Longest page count of a listing before it is given up.
MAX_PAGES = 200


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _parse_entry(item: dict) -> stores.Entry:
    return stores.Entry(
        key=item['key'],
        value=base64.b64decode(item.get('value') or ''),
        revision=int(item['revision']),
        lease=int(item.get('lease') or 0),
    )


def _parse_change(item: dict) -> stores.Change:
    revision = int(item['revision'])
    if item.get('deleted'):
        return stores.Change(item['key'], revision, None)
    return stores.Change(item['key'], revision, _parse_entry(item))


class PlatformStore(stores.Store, stores.ChangeFeed):
    """Calls the platform's store.

    Args:
        address: ``IP:PORT`` of the store.
        client: HTTP client to use.
    """

    def __init__(self, address: str, client: http_client.Client):
        self._url = f'http://{address}/v1/'
        self._client = client

    async def get(self, key: str) -> stores.Entry | None:
        """Returns the entry of a key, or None."""
        status, answer = await self._read('kv-key', {'key': key}, (404,))
        return None if status == 404 else _parse_entry(answer)

    async def list_prefix(self, prefix: str) -> list[stores.Entry]:
        """Returns all entries whose keys start with a prefix."""
        entries, _ = await self.read_all(prefix)
        return entries

    async def read_all(self, prefix: str) -> tuple[list[stores.Entry], int]:
        """Returns the entries of a prefix and the revision to follow from.

        Pages are not a snapshot, so changes are followed from the revision
        of the first one.
        """
        entries, revision, after = [], None, None
        for _ in range(MAX_PAGES):
            query = {'prefix': prefix}
            if after is not None:
                query['after'] = after
            _, answer = await self._read('kv-range', query)
            if revision is None:
                revision = int(answer['store_revision'])
            entries.extend(_parse_entry(item) for item in answer['items'])
            if not answer.get('has_more') or not answer['items']:
                return entries, revision
            after = entries[-1].key
        raise errors.StoreError(f'{prefix} has more than {MAX_PAGES} pages')

    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        patience: float = stores.PATIENCE_SECONDS,
    ) -> stores.Poll:
        """Waits for changes after a revision."""
        status, answer = await self._read(
            'kv-watch',
            {
                'prefix': prefix,
                'after': str(after),
                'wait_ms': str(int(seconds * 1000)),
            },
            (410,),
            seconds + patience,
        )
        if status == 410:
            raise errors.HistoryLost(f'no history after {after}')
        changes = [_parse_change(item) for item in answer.get('events', [])]
        # An empty answer was made when the wait was over, not before.
        waited = 0.0 if changes else seconds
        return stores.Poll(changes, int(answer['store_revision']), waited)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        also: dict[str, bytes] | None = None,
    ) -> int:
        """Writes a key if its modification revision is the expected one."""
        rows = [(key, value, lease)]
        rows.extend((name, text, 0) for name, text in (also or {}).items())
        writes = [
            {'key': name, 'value': _encode(text)}
            | ({'lease': number} if number else {})
            for name, text, number in rows
        ]
        return await self._commit(key, expected, writes, [])

    async def delete(self, key: str, expected: int) -> None:
        """Deletes a key if it has the expected modification revision."""
        await self._commit(key, expected, [], [key])

    async def grant_lease(self, seconds: int) -> int:
        """Returns the id of a new lease."""
        _, answer = await self._write(
            'POST', 'kv-lease', {'ttl_ms': seconds * 1000}
        )
        return int(answer['lease'])

    async def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns the seconds left, 0 if it has expired."""
        status, answer = await self._write(
            'POST', f'kv-keep/{lease}', None, (404,)
        )
        return 0 if status == 404 else int(answer['ttl_ms']) // 1000

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        await self._write('DELETE', f'kv-lease-end/{lease}', None, (404,))

    async def _commit(self, key, expected, writes, deletes) -> int:
        status, answer = await self._write(
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
            raise errors.StoreConflict(f'{key} is not at {expected}')
        if status == 404:
            raise errors.StoreError(f'{key}: the lease has ended')
        return int(answer['revision'])

    async def _read(
        self, call, query, accepted=(), seconds=stores.PATIENCE_SECONDS
    ):
        url = f'{self._url}{call}?{parse.urlencode(query)}'
        try:
            return await self._call('GET', url, None, accepted, seconds)
        except errors.TransportError as exc:
            if isinstance(exc, errors.StoreError):
                raise
            raise errors.StoreError(f'{call}: {exc}') from exc

    async def _write(self, method, call, value, accepted=()):
        try:
            return await self._call(
                method,
                self._url + call,
                value,
                accepted,
                stores.PATIENCE_SECONDS,
            )
        except errors.StoreError:
            raise
        except errors.TransportError as exc:
            if exc.connected:
                raise errors.StoreResultUnknown(f'{call}: {exc}') from exc
            raise errors.StoreError(f'{call}: {exc}') from exc

    async def _call(self, method, url, value, accepted, seconds):
        body = b'' if value is None else json.dumps(value).encode()
        headers = {'content-type': 'application/json'} if body else {}
        status, _, content = await self._client.call(
            method,
            url,
            clock.make_deadline(seconds),
            headers,
            body,
            BODY_SECONDS,
        )
        if status != 200 and status not in accepted:
            raise errors.StoreError(f'store answered {status} to {url}')
        try:
            answer = json.loads(content) if content else {}
        except ValueError as exc:
            raise errors.TransportError(f'{url}: not JSON') from exc
        return status, answer
