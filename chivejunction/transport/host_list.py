"""Client of the platform's lagging list of hosts."""

import dataclasses

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import http_client

CALL_SECONDS = 2.0


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


async def fetch_hosts(
    client: http_client.Client, url: str
) -> list[ListedHost]:
    """Returns the hosts that the platform lists.

    Raises:
        TransportError: The list could not be read.
    """
    status, value = await client.call_json(
        'GET', f'{url}/v1/hosts', clock.make_deadline(CALL_SECONDS)
    )
    if status != 200:
        raise errors.TransportError(f'host list answered {status}')
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
    except (KeyError, TypeError) as exc:
        raise errors.TransportError(f'malformed host list: {exc!r}') from exc
