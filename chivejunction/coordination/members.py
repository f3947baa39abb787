"""Gateways at work, as they list themselves in the store."""

import dataclasses
import json
import math
import random

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
# Gateways of a region that follow the store itself, see ``relays``: one in
# this many, so that a relay's followers cost it about 1% of a core, and two
# at least, so that one may fail.
FOLLOWERS = 8
MIN_DIRECT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A gateway at work.

    Attributes:
        address: IP address for hints and polls.
        port: Port for both.
        region: Its region.
        capacity: Cores of its host.
    """

    address: str
    port: int
    region: str
    capacity: float


class Members:
    """Keeps this gateway listed and counts the others.

    Args:
        store: Store with the list.
        name: Name of this gateway.
        address: IP address and port for hints from the others.
        region: Region of this gateway.
        capacity: Cores of this host.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        address: tuple[str, int],
        region: str,
        capacity: float = 1.0,
    ):
        self._store = store
        self.name = name
        self._address = address
        self._region = region
        self._capacity = capacity
        self._members: dict[str, Member] = {}

    def count(self) -> int:
        """Returns the number of gateways at work, this one included."""
        return len(self._members) or ASSUMED_GATEWAYS

    def apply(self, change: stores.Change) -> None:
        """Takes a change of the list."""
        name = change.key[len(PREFIX) :]
        if change.entry is None:
            self._members.pop(name, None)
            return
        try:
            address, port, region, capacity = json.loads(change.entry.value)
            found = Member(
                str(address), int(port), str(region), float(capacity)
            )
        except (ValueError, TypeError) as exc:
            raise errors.ProtocolError(f'member {name}: {exc}') from exc
        self._members[name] = found

    def count_sharing(self, key: str, most: int) -> int:
        """Returns among how many gateways this one shares something.

        Args:
            key: What is shared, for example an instance id.
            most: Gateways that share it, chosen by rendezvous hashing.

        Returns:
            The number of them; 0 if this gateway is none of them.
        """
        chosen = rendezvous.rank_hosts(key, self._members)[:most]
        return len(chosen) if self.name in chosen else 0

    def _list_region(self, region: str) -> list[str]:
        return [
            name
            for name, member in self._members.items()
            if member.region == region
        ]

    def _rank_direct(self) -> list[str]:
        """Returns who follows the store itself, from the largest hosts."""
        names = self._list_region(self._region)
        most = max(MIN_DIRECT, math.ceil(len(names) / FOLLOWERS))
        ranked = rendezvous.rank_hosts('store', names)
        ranked.sort(key=lambda name: -self._members[name].capacity)
        return ranked[:most]

    def is_direct(self) -> bool:
        """Tells whether this gateway follows the store itself."""
        return self.name not in self._members or (
            self.name in self._rank_direct()
        )

    def list_direct(self) -> list[str]:
        """Returns the others of this region that follow the store itself."""
        return [name for name in self._rank_direct() if name != self.name]

    def sample_others(self, most: int) -> list[str]:
        """Returns some other gateways at random, of any region."""
        others = [name for name in self._members if name != self.name]
        return random.sample(others, min(most, len(others)))

    def count_followers(self) -> int:
        """Returns the gateways of this region that follow another one."""
        near = self._list_region(self._region)
        return len(near) - len(self._rank_direct())

    def get_address(self, name: str) -> tuple[str, int]:
        """Returns where a gateway takes hints and polls."""
        member = self._members[name]
        return member.address, member.port

    def list_regions(self) -> set[str]:
        """Returns the regions of all gateways at work."""
        return {member.region for member in self._members.values()}

    def list_addresses(self, region: str, most: int) -> list[tuple[str, int]]:
        """Returns addresses of other gateways of a region.

        Args:
            region: Their region.
            most: Limit; beyond it the ones closest by rendezvous hashing.
        """
        others = [n for n in self._list_region(region) if n != self.name]
        if len(others) > most:
            others = rendezvous.rank_hosts(self.name, others)[:most]
        return [self.get_address(name) for name in others]

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
        key = PREFIX + self.name
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = await self._store.get(key)
        value = json.dumps(
            [*self._address, self._region, self._capacity]
        ).encode()
        await self._store.swap(
            key, value, entry.revision if entry else 0, lease
        )
        return lease

    async def leave(self) -> None:
        """Takes this gateway off the list."""
        try:
            entry = await self._store.get(PREFIX + self.name)
            if entry is not None:
                await self._store.delete(entry.key, entry.revision)
        except errors.StoreError as exc:
            logs.LOG.info('member entry not removed: %s', exc)
