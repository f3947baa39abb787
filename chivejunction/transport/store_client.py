"""Client of the platform's key-value store (etcd v3 JSON gateway)."""

import base64
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import json

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import http_client
from chivejunction.transport import pieces
from chivejunction.transport import stores
from chivejunction.transport import traffic

CALL_TIMEOUT_SECONDS = 2.0
MAX_NUMBER = 2**63 - 1


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _parse_number(value: str | int) -> int:
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError('number out of range')
    return number


def _parse_entry(item: dict) -> stores.Entry:
    return stores.Entry(
        key=_decode(item['key']).decode(),
        value=_decode(item.get('value', '')),
        revision=_parse_number(item['mod_revision']),
        lease=_parse_number(item.get('lease', 0)),
    )


@contextlib.contextmanager
def _read_answer(
    path: str, error_class: type[errors.StoreError] = errors.StoreError
) -> Iterator[None]:
    """Turns the conversion errors of its body into an error of the store."""
    try:
        yield
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise error_class(f'{path}: malformed answer: {exc!r}') from exc


def range_end(prefix: str) -> bytes:
    """Returns the end of the key range that a prefix covers."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


class StoreClient(stores.Store):
    """Client of the key-value store.

    A failed read raises StoreError. A write whose response was lost raises
    StoreResultUnknown: only a read can show whether it took effect.

    Args:
        url: Base URL, ``http://ip:port``.
        client: HTTP client to use.
    """

    def __init__(self, url: str, client: http_client.Client):
        self._url = url.rstrip('/')
        self._client = client

    async def get(
        self, key: str, is_local: bool = False
    ) -> stores.Entry | None:
        """Returns the entry of a key, or None.

        Args:
            key: Key to read.
            is_local: Whether a single store member may respond without a
                quorum; the value may then be stale.
        """
        request = {'key': _encode(key)}
        if is_local:
            request['serializable'] = True
        response = await self._post('kv/range', request)
        with _read_answer('kv/range'):
            items = response.get('kvs', [])
            return _parse_entry(items[0]) if items else None

    async def list_prefix(self, prefix: str) -> list[stores.Entry]:
        """Returns all entries whose keys start with a prefix."""
        response = await self._post(
            'kv/range',
            {'key': _encode(prefix), 'range_end': _encode(range_end(prefix))},
        )
        with _read_answer('kv/range'):
            return [_parse_entry(item) for item in response.get('kvs', [])]

    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        extra_entries: dict[str, bytes] | None = None,
    ) -> int:
        """Writes a key if it has the expected modification revision.

        See ``stores.Store.swap``.
        """
        put = {'key': _encode(key), 'value': _encode(value)}
        if lease:
            put['lease'] = str(lease)
        response = await self._post(
            'kv/txn',
            {
                'compare': [self._make_comparison(key, expected)],
                'success': [
                    {'request_put': put},
                    *(
                        {
                            'request_put': {
                                'key': _encode(other),
                                'value': _encode(text),
                            }
                        }
                        for other, text in (extra_entries or {}).items()
                    ),
                ],
            },
            is_write=True,
        )
        if not response.get('succeeded'):
            raise errors.StoreConflict(f'{key} is not at {expected}')
        with _read_answer('kv/txn', errors.StoreResultUnknown):
            return _parse_number(response['header']['revision'])

    async def delete(self, key: str, expected: int) -> None:
        """Deletes a key if it has the expected modification revision."""
        response = await self._post(
            'kv/txn',
            {
                'compare': [self._make_comparison(key, expected)],
                'success': [{'request_delete_range': {'key': _encode(key)}}],
            },
            is_write=True,
        )
        if not response.get('succeeded'):
            raise errors.StoreConflict(f'{key} is not at {expected}')

    async def grant_lease(self, seconds: int) -> int:
        """Returns the id of a new lease."""
        response = await self._post(
            'lease/grant', {'TTL': str(seconds)}, is_write=True
        )
        with _read_answer('lease/grant', errors.StoreResultUnknown):
            return _parse_number(response['ID'])

    async def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns its remaining seconds, 0 if expired."""
        response = await self._post(
            'lease/keepalive', {'ID': str(lease)}, is_write=True
        )
        with _read_answer('lease/keepalive', errors.StoreResultUnknown):
            return _parse_number(response.get('result', {}).get('TTL', 0))

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease, which deletes its keys."""
        await self._post('lease/revoke', {'ID': str(lease)}, is_write=True)

    async def watch(
        self, key: str, start_revision: int, seconds: float
    ) -> AsyncIterator[stores.Entry]:
        """Yields the new entries of a key as they are written.

        Args:
            key: Key to watch.
            start_revision: First store revision to report.
            seconds: Longest wait for data before the watch times out.

        Raises:
            StoreError: The watch ended or timed out.
        """
        request = {
            'create_request': {
                'key': _encode(key),
                'start_revision': str(start_revision),
            }
        }
        try:
            async with self._client.stream(
                'POST',
                f'{self._url}/v3/watch',
                clock.make_deadline(CALL_TIMEOUT_SECONDS),
                {'content-type': 'application/json'},
                json.dumps(request).encode(),
                read_timeout=seconds,
            ) as response:
                self._check_status(response.status, 'watch')
                pending = b''
                counter = pieces.PieceCounter()
                async for chunk in response.aiter_stream():
                    await counter.take(len(chunk))
                    *lines, pending = (pending + chunk).split(b'\n')
                    if len(pending) > http_client.MAX_BODY_BYTES:
                        raise errors.StoreError(f'watch of {key}: too long')
                    traffic.CONTROL.count('watch', 0, len(chunk))
                    for line in filter(None, lines):
                        counter.reset()
                        for entry in self._parse_events(line):
                            yield entry
        except errors.StoreError:
            raise
        except (errors.ProtocolError, errors.TransportError) as exc:
            raise errors.StoreError(f'watch of {key}: {exc}') from exc
        raise errors.StoreError(f'watch of {key} ended')

    @staticmethod
    def _parse_events(line: bytes) -> list[stores.Entry]:
        with _read_answer('watch'):
            result = json.loads(line)['result']
            if result.get('canceled'):
                raise errors.StoreError(
                    f'watch canceled: {result.get("cancel_reason", "")}, '
                    f'compacted to {result.get("compact_revision", 0)}'
                )
            return [
                _parse_entry(event['kv'])
                for event in result.get('events', [])
                if event.get('type', 'PUT') == 'PUT'
            ]

    @staticmethod
    def _make_comparison(key: str, expected: int) -> dict:
        return {
            'key': _encode(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected),
        }

    @staticmethod
    def _check_status(status: int, path: str) -> None:
        if status >= 400:
            raise errors.StoreError(f'store answered {status} to {path}')

    async def _post(
        self, path: str, value: dict, is_write: bool = False
    ) -> dict:
        error_class = (
            errors.StoreResultUnknown if is_write else errors.StoreError
        )
        body = json.dumps(value).encode()
        try:
            status, _, content = await self._client.call(
                'POST',
                f'{self._url}/v3/{path}',
                clock.make_deadline(CALL_TIMEOUT_SECONDS),
                {'content-type': 'application/json'},
                body,
            )
            traffic.CONTROL.count('store', len(body), len(content))
        except errors.TransportError as exc:
            if is_write and not exc.connected:
                # No byte of the write was sent.
                raise errors.StoreError(f'{path}: {exc}') from exc
            raise error_class(f'{path}: {exc}') from exc
        if status >= 500 and is_write:
            raise error_class(f'store answered {status} to {path}')
        self._check_status(status, path)
        with _read_answer(path, error_class):
            response = json.loads(content)
        if not isinstance(response, dict):
            raise error_class(f'{path}: answer is no JSON object')
        return response
