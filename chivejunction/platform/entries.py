"""Applies changes of the platform's store to the gateway."""

from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import forward_gateway
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import harmful_prompts
from chivejunction.coordination import version_moves
from chivejunction.platform import configuration
from chivejunction.platform import servers
from chivejunction.registry import Registry
from chivejunction.transport import stores

ENTRY_READERS: Registry = Registry('store prefix')


class EntryReader:
    """Decodes changed store entries and applies them to a gateway.

    Args:
        gateway: Gateway to update.
        regions: Region of each failure domain.
    """

    def __init__(
        self,
        gateway: forward_gateway.ForwardGateway,
        regions: dict[str, str],
    ):
        self.gateway = gateway
        self.regions = regions

    def apply(self, change: stores.Change, may_have_expired: bool) -> None:
        """Applies a change; an invalid entry is logged and skipped.

        An unexpected error is left to the caller, which applies the change
        again later. The readers leave the gateway as it was before, except
        that the server of an entry that cannot be applied is removed.

        Args:
            change: Changed or deleted entry. Keys with an unknown prefix are
                ignored.
            may_have_expired: Whether a deleted entry may have expired only
                because the store was unavailable.
        """
        try:
            prefix = _find_prefix(change.key)
            if prefix is not None:
                ENTRY_READERS.get(prefix)(self, change, may_have_expired)
        except errors.ProtocolError as exc:
            logs.LOG.warning('invalid store entry skipped: %s', exc)


def _find_prefix(key: str) -> str | None:
    """Returns the prefix of the reader of a key, None without a reader.

    Raises:
        ProtocolError: The key cannot be encoded, so that it can neither be
            hashed nor logged.
    """
    if not isinstance(key, str) or not _is_encodable(key):
        raise errors.ProtocolError(f'{key!r} is no key')
    for prefix in ENTRY_READERS:
        # A name that does not end with a slash is a whole key.
        if key == prefix or (prefix.endswith('/') and key.startswith(prefix)):
            return prefix
    return None


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


@ENTRY_READERS.register(configuration.CONFIG_KEY)
def _read_configuration(reader, change, may_have_expired) -> None:
    if change.entry is not None:
        table = configuration.decode_route_table(change.entry.value)
        reader.gateway.set_route_table(table)


@ENTRY_READERS.register(configuration.ROLLOUT_PREFIX)
def _read_rollout(reader, change, may_have_expired) -> None:
    moves = reader.gateway.moves
    service = change.key[len(configuration.ROLLOUT_PREFIX) :]
    if change.entry is None:
        moves.remove_order(service)
        return
    order = configuration.decode_rollout_order(
        change.entry.value, change.revision
    )
    # The order is removed by its key.
    if order.service != service:
        raise errors.ProtocolError(
            f'{change.key!r} orders a move of service {order.service!r}'
        )
    moves.set_order(order)


@ENTRY_READERS.register(configuration.EVACUATION_PREFIX)
def _read_evacuation(reader, change, may_have_expired) -> None:
    domain = change.key[len(configuration.EVACUATION_PREFIX) :]
    if not domain:
        raise errors.ProtocolError(f'{change.key!r} names no failure domain')
    reader.gateway.set_domain(domain, change.entry is not None)


@ENTRY_READERS.register(servers.PREFIX)
def _read_server(reader, change, may_have_expired) -> None:
    instance = change.key[len(servers.PREFIX) :]
    if change.entry is None:
        reader.gateway.remove_backend(instance, may_have_expired)
        return
    try:
        entry = servers.decode_server_entry(
            change.key, change.entry.value, reader.regions
        )
        reader.gateway.update_backend(entry)
    except Exception:
        # The server of the previous entry must not stay in use.
        reader.gateway.remove_backend(instance, False)
        raise


@ENTRY_READERS.register(gateway_membership.PREFIX)
def _read_member(reader, change, may_have_expired) -> None:
    reader.gateway.members.apply(change, may_have_expired)


@ENTRY_READERS.register(version_moves.PREFIX)
def _read_move(reader, change, may_have_expired) -> None:
    if change.entry is not None:
        reader.gateway.moves.apply_record(change.entry)


@ENTRY_READERS.register(harmful_prompts.PREFIX)
def _read_harmful_part(reader, change, may_have_expired) -> None:
    reader.gateway.prompt_guard.apply_change(change, may_have_expired)
