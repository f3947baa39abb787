"""Gateways at work, as they list themselves in the store."""

import json

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import rendezvous
from chivejunction.transport import stores

PREFIX = 'chivejunction/members/'
LEASE_SECONDS = 8
RENEW_SECONDS = 2.5
RETRY_SECONDS = 0.7
# Gateways assumed before the first list is there; shares of common bounds
# are then rather too small than too large.
ASSUMED_GATEWAYS = 8


class Members:
    """Keeps this gateway listed and counts the others.

    Args:
        store: Store with the list.
        name: Name of this gateway.
        address: IP address and port for hints from the others.
    """

    def __init__(
        self, store: stores.Store, name: str, address: tuple[str, int]
    ):
        self._store = store
        self._name = name
        self._address = address
        self._addresses: dict[str, tuple[str, int]] = {}

    def count(self) -> int:
        """Returns the number of gateways at work, this one included."""
        return len(self._addresses) or ASSUMED_GATEWAYS

    def apply(self, change: stores.Change) -> None:
        """Takes a change of the list."""
        name = change.key[len(PREFIX) :]
        if change.entry is None:
            self._addresses.pop(name, None)
            return
        try:
            address, port = json.loads(change.entry.value)
        except (ValueError, TypeError) as exc:
            raise errors.ProtocolError(f'member {name}: {exc}') from exc
        self._addresses[name] = (str(address), int(port))

    def count_sharing(self, key: str, most: int) -> int:
        """Returns among how many gateways this one shares something.

        Args:
            key: What is shared, for example an instance id.
            most: Gateways that share it, chosen by rendezvous hashing.

        Returns:
            The number of them; 0 if this gateway is none of them.
        """
        chosen = rendezvous.rank_hosts(key, self._addresses)[:most]
        return len(chosen) if self._name in chosen else 0

    def list_addresses(self, most: int) -> list[tuple[str, int]]:
        """Returns addresses of other gateways.

        Args:
            most: Limit; beyond it the ones closest by rendezvous hashing.
        """
        others = [name for name in self._addresses if name != self._name]
        if len(others) > most:
            others = rendezvous.rank_hosts(self._name, others)[:most]
        return [self._addresses[name] for name in others]

    async def run(self) -> None:
        """Keeps this gateway listed until cancelled."""
        lease = 0
        while True:
            pause = RENEW_SECONDS
            try:
                if lease and not await self._store.keep_alive(lease):
                    lease = 0
                if not lease:
                    lease = await self._join()
            except errors.StoreError as exc:
                logs.LOG.info('member entry not renewed: %s', exc)
                pause = RETRY_SECONDS
            await anyio.sleep(clock.jitter(pause))

    async def _join(self) -> int:
        key = PREFIX + self._name
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = await self._store.get(key)
        value = json.dumps(self._address).encode()
        await self._store.swap(
            key, value, entry.revision if entry else 0, lease
        )
        return lease

    async def leave(self) -> None:
        """Takes this gateway off the list."""
        try:
            entry = await self._store.get(PREFIX + self._name)
            if entry is not None:
                await self._store.delete(entry.key, entry.revision)
        except errors.StoreError as exc:
            logs.LOG.info('member entry not removed: %s', exc)
