"""Client of the platform's lagging list of hosts."""

import dataclasses
import json
import zlib

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.transport import http_client
from chivejunction.transport import traffic

CALL_SECONDS = 2.0
POLL_SECONDS = 2.0
# The list of 2,350 hosts is about 600 KB; compressed it is a tenth.
GZIP_WINDOW_BITS = 31


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the host list.

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


def parse_hosts(value: dict) -> list[ListedHost]:
    """Returns the hosts of a list.

    Raises:
        TransportError: The list is malformed.
    """
    try:
        return [
            ListedHost(
                host=item['host'],
                role=item['role'],
                failure_domain=item['failure_domain'],
                region=item['region'],
                pool=item.get('pool', ''),
                control_address=item.get('control_address', ''),
                data_address=item.get('data_address', ''),
                leaving=item.get('state') == 'leaving',
            )
            for item in value['hosts']
        ]
    except (KeyError, TypeError, AttributeError) as exc:
        raise errors.TransportError(f'malformed host list: {exc!r}') from exc


class HostDirectory:
    """The host list as it was last read; an outage changes nothing.

    A list that has become empty is an outage too.

    Args:
        client: HTTP client.
        url: Base URL of the host list.
    """

    def __init__(self, client: http_client.Client, url: str):
        self._client = client
        self._url = url
        self._tag = ''
        self._changed = anyio.Event()
        self.hosts: dict[str, ListedHost] = {}
        self.is_known = False

    async def run(self) -> None:
        """Reads the list again and again until cancelled."""
        while True:
            try:
                await self.read()
            except errors.TransportError as exc:
                logs.LOG.warning('host list cannot be read: %s', exc)
            await anyio.sleep(clock.jitter(POLL_SECONDS))

    async def wait_change(self, seconds: float) -> None:
        """Waits until the list has changed, but not longer than seconds."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    async def read(self) -> None:
        """Reads the list if it has changed.

        Raises:
            TransportError: The list could not be read.
        """
        headers = {'accept-encoding': 'gzip'}
        if self._tag:
            headers['if-none-match'] = self._tag
        status, names, content = await self._client.call(
            'GET',
            f'{self._url}/v1/hosts',
            clock.make_deadline(CALL_SECONDS),
            headers,
        )
        traffic.CONTROL.count('hosts', 0, len(content))
        if status == 304:
            return
        if status != 200:
            raise errors.TransportError(f'host list answered {status}')
        try:
            if names.get('content-encoding') == 'gzip':
                content = zlib.decompress(content, GZIP_WINDOW_BITS)
            value = json.loads(content)
        except (zlib.error, ValueError) as exc:
            raise errors.TransportError(f'malformed host list: {exc}') from exc
        self._replace(parse_hosts(value))
        self._tag = names.get('etag', '')

    def _replace(self, listed: list[ListedHost]) -> None:
        hosts = {host.host: host for host in listed}
        if self.hosts and not hosts:
            # A process that reads the list is listed itself, so an empty
            # list is a fault of the list. Without its entries a gateway
            # would lose its region and the place that watches the store.
            logs.LOG.warning('host list is empty; the last one is kept')
            return
        if self.is_known and hosts == self.hosts:
            return
        self.hosts = hosts
        self.is_known = True
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def find_region(self, host: str, failure_domain: str) -> str:
        """Returns the region of a host, or '' if it is not known."""
        own = self.hosts.get(host)
        if own is not None:
            return own.region
        for listed in self.hosts.values():
            if listed.failure_domain == failure_domain:
                return listed.region
        return ''
