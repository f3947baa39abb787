"""Hints that gateways send one another about the load of servers.

A hint is one datagram with the whole present state of its sender, so that a
lost one needs no repair and a late one is replaced by the next. Gateways of
another region are told less often: bytes between regions are dear. pynng has
no datagrams; a connection would deliver old hints after a pause.
"""

from collections.abc import Callable
import dataclasses
import socket

import anyio
import msgpack

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import members
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import prefix_caches

# Shortest time between two hints, and longest without one while work waits.
MIN_SECONDS = 0.05
REPEAT_SECONDS = 0.5
# Shortest time between two hints to another region: bytes there are dear.
FAR_MIN_SECONDS = 0.2
# Work below this is not worth a datagram of its own.
MIN_CHANGE_SECONDS = 0.03
MAX_DATAGRAM_BYTES = 1200
# Peers of a region that one gateway tells; more would pass the bytes for
# control that a process may use at the target size.
MAX_PEERS = 16
# New prompt beginnings in one hint.
MAX_PREFIXES = 12
RECEIVED = metrics.make_counter('hints_received', 'Hints from gateways.')
SENT_BYTES = metrics.make_counter(
    'hints_sent_bytes', 'Bytes of hints to other gateways, without headers.'
)


@dataclasses.dataclass(slots=True)
class Audience:
    """Gateways of one region that are told the same.

    Attributes:
        region: Their region.
        is_near: Whether this gateway is in the region too.
        sent: Work that they were told last, by server.
        sent_at: Monotonic time of the latest hint.
        prefixes: New prompt beginnings that they were not told yet: server,
            key and tokens.
    """

    region: str
    is_near: bool
    sent: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at: float = 0.0
    prefixes: list[tuple[str, int, int]] = dataclasses.field(
        default_factory=list
    )


class Hints:
    """Exchanges hints with the other gateways.

    Args:
        name: Name of this gateway.
        region: Region of this gateway.
        address: IP address and port for datagrams.
        peers: The other gateways.
        table: Backend servers.
        work: Work that waits at servers.
        holdings: Prompt beginnings that servers hold.
        find_memory: Returns the memory of a server in tokens.
    """

    def __init__(
        self,
        name: str,
        region: str,
        address: tuple[str, int],
        peers: members.Members,
        table: backends.BackendTable,
        work: backlogs.Backlogs,
        holdings: prefix_caches.PrefixCacheIndex,
        find_memory: Callable[[str], int],
    ):
        self._name = name
        self._region = region
        self._address = address
        self._peers = peers
        self._table = table
        self._work = work
        self._holdings = holdings
        self._find_memory = find_memory
        self._audiences: dict[str, Audience] = {}
        self._changed = anyio.Event()

    def _list_audiences(self) -> list[Audience]:
        for region in self._peers.list_regions():
            if region not in self._audiences:
                self._audiences[region] = Audience(
                    region, region == self._region
                )
        return list(self._audiences.values())

    def add_prefixes(
        self, instance: str, prefixes: list[tuple[int, int]]
    ) -> None:
        """Tells the others that a server reads a prompt's beginnings."""
        for audience in self._list_audiences():
            before = 0
            for key, end in prefixes:
                audience.prefixes.append((instance, key, end - before))
                before = end
            del audience.prefixes[:-MAX_PREFIXES]
        self._changed.set()

    def notify(self) -> None:
        """Notes that the work of this gateway has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Sends and receives until cancelled."""
        address, port = self._address
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=address, local_port=port
            ) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, udp)
            await self._send_all(udp)

    async def _receive(self, udp) -> None:
        async for data, _ in udp:
            try:
                self._take(data)
            except errors.ProtocolError as exc:
                logs.LOG.warning('hint left out: %s', exc)

    def _take(self, data: bytes) -> None:
        try:
            name, work, prefixes = msgpack.unpackb(data)
            sums = [(int(c), float(v) / 1000) for c, v in work]
            rows = [(int(c), int(k), int(n)) for c, k, n in prefixes]
        except (ValueError, TypeError, AttributeError) as exc:
            raise errors.ProtocolError(f'hint is not valid: {exc}') from exc
        RECEIVED.inc()
        # Servers that are not listed here yet are left out.
        found = self._table.find_by_id_hash
        self._work.set_peer_backlogs(
            str(name),
            {b.instance: v for c, v in sums if (b := found(c)) is not None},
        )
        chains: dict[str, list[tuple[int, int]]] = {}
        ends: dict[str, int] = {}
        for code, key, tokens in rows:
            backend = found(code)
            if backend is None:
                continue
            instance = backend.instance
            ends[instance] = ends.get(instance, 0) + tokens
            chains.setdefault(instance, []).append((key, ends[instance]))
        for instance, chain in chains.items():
            memory = self._find_memory(instance)
            if memory:
                self._holdings.add(instance, chain, memory)

    async def _send_all(self, udp) -> None:
        while True:
            with anyio.move_on_after(FAR_MIN_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            sums = self._work.sum_local()
            has_sent = False
            for audience in self._list_audiences():
                if self._is_worth_sending(audience, sums):
                    await self._send(udp, audience, sums)
                    has_sent = True
            if has_sent:
                await anyio.sleep(MIN_SECONDS)

    def _is_worth_sending(
        self, audience: Audience, sums: dict[str, float]
    ) -> bool:
        age = clock.now() - audience.sent_at
        if not audience.is_near and age < FAR_MIN_SECONDS:
            return False
        if audience.prefixes or (
            age > REPEAT_SECONDS and (sums or audience.sent)
        ):
            return True
        keys = sums.keys() | audience.sent.keys()
        change = max(
            (abs(sums.get(k, 0) - audience.sent.get(k, 0)) for k in keys),
            default=0.0,
        )
        return change >= MIN_CHANGE_SECONDS

    async def _send(
        self, udp, audience: Audience, sums: dict[str, float]
    ) -> None:
        audience.sent, audience.sent_at = sums, clock.now()
        prefixes, audience.prefixes = audience.prefixes, []
        code = backends.hash_instance_id
        work = [(code(k), int(1000 * v)) for k, v in sums.items()]
        rows = [(code(i), key, tokens) for i, key, tokens in prefixes]
        data = msgpack.packb([self._name, work, rows])
        if len(data) > MAX_DATAGRAM_BYTES:
            data = msgpack.packb([self._name, work, []])
        for address in self._peers.list_addresses(audience.region, MAX_PEERS):
            SENT_BYTES.inc(len(data))
            try:
                await udp.sendto(data, *address)
            except OSError as exc:
                logs.LOG.debug('hint to %s not sent: %s', address, exc)
