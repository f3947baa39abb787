"""Client of the platform's host list, which lags behind the hosts' state."""

import dataclasses
import json
import zlib

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction.transport import http_client
from chivejunction.transport import traffic

CALL_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 2.0
# Makes zlib expect the gzip format. The list is compressed because 2,350 hosts
# take about 600 KB, and a tenth of that with gzip.
GZIP_WINDOW_BITS = 31
MAX_LIST_BYTES = http_client.MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """Entry of the host list.

    ``control_address`` and ``data_address`` are ``tcp://ip:port``.
    """

    host: str
    role: str
    failure_domain: str
    region: str
    pool: str
    control_address: str
    data_address: str
    leaving: bool


def read_text(value) -> str:
    """Returns a value that must be a text without half surrogates."""
    if not isinstance(value, str):
        raise TypeError(f'expected a text, got a {type(value).__name__}')
    value.encode()
    return value


def decompress_list(content: bytes) -> bytes:
    """Returns the content of a gzip file.

    Raises:
        TransportError: The file is malformed, cut or too large.
    """
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        text = decompressor.decompress(content, MAX_LIST_BYTES)
    except zlib.error as exc:
        raise errors.TransportError(f'malformed host list: {exc}') from exc
    if decompressor.unconsumed_tail:
        raise errors.TransportError('the host list is too large')
    if not decompressor.eof:
        raise errors.TransportError('the host list is cut')
    return text


def parse_hosts(value: dict) -> list[ListedHost]:
    """Returns the entries of a decoded host list.

    Raises:
        TransportError: A field is missing or has a wrong type.
    """
    try:
        return [
            ListedHost(
                host=read_text(item['host']),
                role=read_text(item['role']),
                failure_domain=read_text(item['failure_domain']),
                region=read_text(item['region']),
                pool=read_text(item.get('pool', '')),
                control_address=read_text(item.get('control_address', '')),
                data_address=read_text(item.get('data_address', '')),
                leaving=item.get('state') == 'leaving',
            )
            for item in value['hosts']
        ]
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise errors.TransportError(f'malformed host list: {exc!r}') from exc


class HostDirectory:
    """Latest host list, which is kept while the list is unavailable.

    A list that has become empty is treated as unavailable.

    Args:
        client: HTTP client.
        url: Base URL of the host list.

    Attributes:
        hosts: Entries by host name.
        is_loaded: Whether the list has been read at least once.
    """

    def __init__(self, client: http_client.Client, url: str):
        self._client = client
        self._url = url
        self._etag = ''
        self._changed = anyio.Event()
        self.hosts: dict[str, ListedHost] = {}
        self.is_loaded = False

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            containment.expect_progress()
            try:
                await self.read()
            except errors.TransportError as exc:
                logs.LOG.warning('reading the host list failed: %s', exc)
            await anyio.sleep(clock.jitter(POLL_INTERVAL_SECONDS))

    async def wait_for_change(self, seconds: float) -> None:
        """Waits until the list changes, for the given seconds at most."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    async def read(self) -> None:
        """Reads the list if it has changed.

        Raises:
            TransportError: The list could not be read.
        """
        headers = {'accept-encoding': 'gzip'}
        if self._etag:
            headers['if-none-match'] = self._etag
        status, response_headers, content = await self._client.call(
            'GET',
            f'{self._url}/v1/hosts',
            clock.make_deadline(CALL_TIMEOUT_SECONDS),
            headers,
        )
        traffic.CONTROL.count('hosts', 0, len(content))
        if status == 304:
            return
        if status != 200:
            raise errors.TransportError(
                f'host list request returned status {status}'
            )
        try:
            if response_headers.get('content-encoding') == 'gzip':
                content = decompress_list(content)
            value = json.loads(content)
        except (ValueError, RecursionError) as exc:
            raise errors.TransportError(f'malformed host list: {exc}') from exc
        self._replace(parse_hosts(value))
        self._etag = response_headers.get('etag', '')

    def _replace(self, entries: list[ListedHost]) -> None:
        hosts = {host.host: host for host in entries}
        if self.hosts and not hosts:
            # The process reading the list is listed itself, so an empty list
            # is faulty. Without entries a gateway would not know its region
            # or which gateways watch the store.
            logs.LOG.warning(
                'received an empty host list, keeping the previous list'
            )
            return
        if self.is_loaded and hosts == self.hosts:
            return
        self.hosts = hosts
        self.is_loaded = True
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def find_region(self, host: str, failure_domain: str) -> str:
        """Returns the region of a host, or '' if it is unknown.

        Args:
            host: Name of the host.
            failure_domain: Failure domain of the host; the region of another
                host in it is returned if the host is not listed.
        """
        entry = self.hosts.get(host)
        if entry is not None:
            return entry.region
        for other in self.hosts.values():
            if other.failure_domain == failure_domain:
                return other.region
        return ''
