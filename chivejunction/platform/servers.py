"""Entries with which backend servers register themselves in the store."""

import pydantic

from chivejunction import clock
from chivejunction import errors
from chivejunction.platform import settings
from chivejunction.state import backends

PREFIX = 'servers/'
# Accepted states, and whether a server in this state is leaving.
IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}
# Added to the remaining cold time: an entry may be old when it is read, and
# the clocks of hosts differ slightly.
COLD_TIME_MARGIN_SECONDS = 0.2


class ServerEntry(settings.SettingsModel):
    """Entry of a backend server.

    Attributes:
        cold_left_ms: Remaining cold time when the entry was written.
        born: Unix time in milliseconds at which the server started.
    """

    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: str
    zone: str
    version: str
    slots: settings.PositiveCount
    state: str
    cold_left_ms: float = pydantic.Field(le=settings.MAX_NUMBER)
    born: settings.Count = 0


def decode_server_entry(
    key: str, value: bytes, regions: dict[str, str]
) -> backends.Backend:
    """Decodes the entry of a backend server.

    Args:
        key: Key of the entry; the part after the prefix is the instance id.
        value: JSON of the entry.
        regions: Region of each failure domain.

    Raises:
        ProtocolError: The entry is not valid or its failure domain unknown.
    """
    instance = key[len(PREFIX) :]
    if not settings.is_header_value(instance):
        raise errors.ProtocolError(f'{key!r} has no instance id')
    try:
        record = ServerEntry.model_validate_json(value)
        is_leaving = IS_LEAVING_BY_STATE[record.state]
        address, port = settings.split_address(record.address)
        region = regions[record.zone]
    except (ValueError, KeyError, errors.SettingError) as exc:
        raise errors.ProtocolError(
            f'server entry {key!r} is not valid: {exc!r}'
        ) from exc
    cold_seconds = record.cold_left_ms / 1000
    return backends.Backend(
        instance=instance,
        service=record.service,
        address=address,
        port=port,
        failure_domain=record.zone,
        region=region,
        version=record.version,
        slots=record.slots,
        is_leaving=is_leaving,
        cold_until=(
            clock.make_deadline(cold_seconds + COLD_TIME_MARGIN_SECONDS)
            if cold_seconds > 0
            else 0
        ),
        started_at_ms=record.born,
    )
