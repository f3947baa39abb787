"""Entries by which backend servers list themselves in the store."""

import json

import pydantic

from chivejunction import clock
from chivejunction import errors
from chivejunction.platform import settings
from chivejunction.state import backends

PREFIX = 'servers/'
STATES = {'ready': False, 'draining': True}
# An entry may be old when it is read, and clocks differ a little.
COLD_SLACK_SECONDS = 0.2


class ServerRow(settings.Model):
    """A server's entry; ``cold_left_ms`` counts from its writing."""

    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    service: str
    address: str
    zone: str
    version: str = ''
    slots: int = pydantic.Field(1, ge=1)
    state: str
    cold_left_ms: float = 0
    born: int = 0


def read_server(
    key: str, value: bytes, regions: dict[str, str]
) -> backends.Backend:
    """Decodes a server's entry.

    Args:
        key: Key of the entry.
        value: Its bytes.
        regions: Region of each failure domain.

    Raises:
        ProtocolError: The entry names no server to use.
    """
    try:
        row = ServerRow.model_validate(json.loads(value))
        is_leaving = STATES[row.state]
        address, port = settings.split_address(row.address)
        region = regions[row.zone]
    except (ValueError, KeyError, errors.SettingError) as exc:
        raise errors.ProtocolError(f'entry {key}: {exc!r}') from exc
    cold = row.cold_left_ms / 1000
    return backends.Backend(
        instance=key[len(PREFIX) :],
        service=row.service,
        address=address,
        port=port,
        failure_domain=row.zone,
        region=region,
        version=row.version,
        slots=row.slots,
        is_leaving=is_leaving,
        cold_until=(
            clock.make_deadline(cold + COLD_SLACK_SECONDS) if cold > 0 else 0
        ),
        started_at_ms=row.born,
    )
