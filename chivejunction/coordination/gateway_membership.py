"""Membership list of the running forwarding gateways, kept in the store."""

import dataclasses
import ipaddress
import json
import math
import random
from typing import Annotated

import anyio
import pydantic

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import rendezvous
from chivejunction.transport import stores

PREFIX = 'chivejunction/members/'
LEASE_SECONDS = 12
# Renewals are most of the calls to the store in steady state, and are billed.
RENEWAL_INTERVAL_SECONDS = 4.0
# Pause after a failed call, doubled up to the renewal interval. During an
# outage all gateways make such calls.
RETRY_DELAY_SECONDS = 0.7
# Time for which a gateway is kept whose entry expired during an outage of the
# store. It joins again within the longest delay between two calls.
LAPSE_GRACE_SECONDS = 6.0
# Number of gateways assumed until the list is loaded. A high number errs on
# the safe side: shares of common budgets come out too small rather than too
# large.
ASSUMED_GATEWAY_COUNT = 8
# One in this many gateways of a region is a relay, see ``relays``. Serving its
# followers then costs a relay about 2% of a core. More relays would cost more
# calls to the store, which are billed.
GATEWAYS_PER_RELAY = 12
MAX_CACHED_COUNTS = 4096
# Two, so that one may fail.
MIN_RELAYS = 2
MAX_PORT = 65535
# An entry with more cores is invalid.
MAX_CAPACITY = 1e6


def _check_address(text: str) -> str:
    ipaddress.IPv4Address(text)
    return text


# Value of a gateway's entry: the fields of ``Member``.
ENTRY_VALUE = pydantic.TypeAdapter(
    tuple[
        Annotated[str, pydantic.AfterValidator(_check_address)],
        Annotated[int, pydantic.Field(gt=0, le=MAX_PORT)],
        str,
        Annotated[float, pydantic.Field(ge=0, le=MAX_CAPACITY)],
    ],
    config=pydantic.ConfigDict(strict=True, allow_inf_nan=False),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A running gateway.

    Attributes:
        address: IP address for hints (UDP) and polls (TCP).
        port: Port for both.
        region: Region of the gateway.
        capacity: Cores of its host.
    """

    address: str
    port: int
    region: str
    capacity: float


class GatewayMembership:
    """Registers this gateway in the store and tracks the other gateways.

    Args:
        store: Store with the membership list.
        name: Name of this gateway.
        address: IP address and port for hints and polls from other gateways.
        region: Region of this gateway.
        capacity: Cores of this host.

    Attributes:
        name: Name of this gateway.
        region: Region of this gateway.
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
        self.region = region
        self._own_member = Member(*address, region, capacity)
        # Whether another writer removed or changed the entry of this gateway.
        self._is_own_entry_lost = False
        self._has_left = False
        self._members: dict[str, Member] = {}
        # Monotonic times until which gateways are kept whose entry may have
        # expired during an outage of the store.
        self._lapsed: dict[str, float] = {}
        # Results of count_sharing_gateways for the present members.
        self._sharing_counts: dict[tuple, int] = {}

    def count(self) -> int:
        """Returns the number of running gateways, including this one."""
        return len(self._members) or ASSUMED_GATEWAY_COUNT

    def apply(
        self, change: stores.Change, may_have_expired: bool = False
    ) -> None:
        """Applies a change of the membership list.

        Args:
            change: Change of a key below ``PREFIX``.
            may_have_expired: Whether an entry may be gone only because the
                store was away; the gateway is then kept for a while.

        Raises:
            ProtocolError: The entry is malformed.
        """
        name = change.key[len(PREFIX) :]
        self._sharing_counts.clear()
        if name == self.name:
            # Until its value proves to be the one that was written.
            self._is_own_entry_lost = True
        if change.entry is None:
            if may_have_expired and name in self._members:
                self._lapsed[name] = clock.make_deadline(LAPSE_GRACE_SECONDS)
            else:
                self._members.pop(name, None)
            return
        try:
            member = Member(*ENTRY_VALUE.validate_json(change.entry.value))
        except pydantic.ValidationError as exc:
            raise errors.ProtocolError(
                f'malformed entry of member {name!r}: {exc!r}'
            ) from exc
        if name == self.name:
            self._is_own_entry_lost = member != self._own_member
        self._members[name] = member
        self._lapsed.pop(name, None)

    def remove_lapsed(self) -> None:
        """Removes the gateways that did not come back after an outage."""
        for name, deadline in list(self._lapsed.items()):
            if clock.has_passed(deadline):
                del self._lapsed[name]
                self._members.pop(name, None)
                self._sharing_counts.clear()

    def count_sharing_gateways(
        self, key: str, limit: int, region: str | None = None
    ) -> int:
        """Returns the number of gateways that share a resource.

        Args:
            key: Key of the resource, for example an instance id.
            limit: Maximum number of gateways that share it. They are chosen
                by rendezvous hashing.
            region: Region whose gateways are chosen first, None for any.

        Returns:
            The number of these gateways, 0 if this gateway is not among them.
        """
        cache_key = (key, limit, region)
        count = self._sharing_counts.get(cache_key)
        if count is None:
            ranked = rendezvous.rank_hosts(key, self._members)
            if region is not None:
                ranked.sort(
                    key=lambda name: self._members[name].region != region
                )
            chosen = ranked[:limit]
            count = len(chosen) if self.name in chosen else 0
            if len(self._sharing_counts) >= MAX_CACHED_COUNTS:
                self._sharing_counts.clear()
            self._sharing_counts[cache_key] = count
        return count

    def find_rank(self, key: str) -> int:
        """Returns the rank of this gateway for a task that one should do.

        Args:
            key: Key of the task.

        Returns:
            0 for the first gateway in order of rendezvous hashing; a gateway
            that is not listed yet ranks last.
        """
        ranked = rendezvous.rank_hosts(key, self._members)
        return ranked.index(self.name) if self.name in ranked else len(ranked)

    def _list_region(self, region: str) -> list[str]:
        return [
            name
            for name, member in self._members.items()
            if member.region == region
        ]

    def _rank_relays(self) -> list[str]:
        """Returns the relays of this region, those on large hosts first."""
        names = self._list_region(self.region)
        count = max(MIN_RELAYS, math.ceil(len(names) / GATEWAYS_PER_RELAY))
        ranked = rendezvous.rank_hosts('store', names)
        ranked.sort(key=lambda name: -self._members[name].capacity)
        return ranked[:count]

    @property
    def is_listed(self) -> bool:
        """Whether the membership list names this gateway."""
        return self.name in self._members

    def should_poll_store(self) -> bool:
        """Returns whether this gateway polls the store and not a relay.

        This is so for relays, and for a gateway that is not listed yet.
        """
        return not self.is_listed or self.name in self._rank_relays()

    def list_relays(self) -> list[str]:
        """Returns the names of the other relays in this region."""
        return [name for name in self._rank_relays() if name != self.name]

    def sample_others(
        self, limit: int, region: str | None = None
    ) -> list[str]:
        """Returns some random other gateways.

        Args:
            limit: Maximum number of gateways.
            region: Region of the gateways, None for any.
        """
        others = [
            name
            for name, member in self._members.items()
            if name != self.name and region in (None, member.region)
        ]
        return random.sample(others, min(limit, len(others)))

    def count_followers(self) -> int:
        """Returns the number of gateways in this region that poll a relay."""
        names = self._list_region(self.region)
        return len(names) - len(self._rank_relays())

    def find_address(self, name: str) -> tuple[str, int] | None:
        """Returns the IP address and port of a gateway, None if unknown.

        A name that was listed before a wait may be gone after it.
        """
        member = self._members.get(name)
        return None if member is None else (member.address, member.port)

    def list_regions(self) -> set[str]:
        """Returns the regions of all running gateways."""
        return {member.region for member in self._members.values()}

    def list_addresses(
        self, region: str, limit: int | None = None
    ) -> list[tuple[str, int]]:
        """Returns the addresses of the other gateways in a region.

        Args:
            region: Region of the gateways.
            limit: Maximum number of addresses; None for all. If there are
                more, the gateways are chosen by rendezvous hashing.
        """
        others = [n for n in self._list_region(region) if n != self.name]
        if limit is not None and len(others) > limit:
            others = rendezvous.rank_hosts(self.name, others)[:limit]
        return [
            (self._members[name].address, self._members[name].port)
            for name in others
        ]

    async def run(self) -> None:
        """Keeps this gateway registered until it leaves."""
        lease = 0
        retry_delay = RETRY_DELAY_SECONDS
        while not self._has_left:
            containment.expect_progress()
            try:
                if lease and self._is_own_entry_lost:
                    logs.LOG.warning('member entry lost, joining again')
                    lease = 0
                if lease and not await self._store.keep_alive(lease):
                    lease = 0
                if not lease:
                    lease = await self._join()
            except errors.StoreError as exc:
                logs.LOG.info('member entry not renewed: %s', exc)
                delay = retry_delay
                retry_delay = min(2 * retry_delay, RENEWAL_INTERVAL_SECONDS)
            else:
                delay = RENEWAL_INTERVAL_SECONDS
                retry_delay = RETRY_DELAY_SECONDS
            await anyio.sleep(clock.jitter(delay))
        containment.expect_progress(math.inf)
        await anyio.sleep_forever()

    async def _join(self) -> int:
        """Writes the entry of this gateway; returns the id of its lease."""
        key = PREFIX + self.name
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = await self._store.get(key)
        value = json.dumps(dataclasses.astuple(self._own_member)).encode()
        # Changes of the entry that arrive from now on may be later ones.
        self._is_own_entry_lost = False
        await self._store.swap(
            key, value, entry.revision if entry else 0, lease
        )
        return lease

    async def leave(self) -> None:
        """Removes this gateway from the membership list for good."""
        self._has_left = True
        try:
            entry = await self._store.get(PREFIX + self.name)
            if entry is not None:
                await self._store.delete(entry.key, entry.revision)
        except errors.StoreError as exc:
            logs.LOG.info('member entry not removed: %s', exc)
