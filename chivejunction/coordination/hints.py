"""Hints that gateways send one another about the load of servers.

A hint is one datagram with the whole present state of its sender, so that a
lost one needs no repair and a late one is replaced by the next. pynng has no
datagrams; a connection would deliver old hints after a pause.
"""

from collections.abc import Callable
import socket

import anyio
import msgpack

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import members
from chivejunction.state import backlogs
from chivejunction.state import prompt_holdings

# Shortest time between two hints, and longest without one while work waits.
MIN_SECONDS = 0.05
REPEAT_SECONDS = 0.5
# Work below this is not worth a datagram of its own.
MIN_CHANGE_SECONDS = 0.03
MAX_DATAGRAM_BYTES = 1200
# Peers that one gateway tells; more would pass the bytes for control that a
# process may use at the target size.
MAX_PEERS = 40
# New prompt beginnings in one hint.
MAX_PREFIXES = 12
RECEIVED = metrics.make_counter('hints_received', 'Hints from gateways.')


class Hints:
    """Exchanges hints with the other gateways.

    Args:
        name: Name of this gateway.
        address: IP address and port for datagrams.
        peers: The other gateways.
        work: Work that waits at servers.
        holdings: Prompt beginnings that servers hold.
        find_memory: Returns the memory of a server in tokens.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        peers: members.Members,
        work: backlogs.Backlogs,
        holdings: prompt_holdings.PromptHoldings,
        find_memory: Callable[[str], int],
    ):
        self._name = name
        self._address = address
        self._peers = peers
        self._work = work
        self._holdings = holdings
        self._find_memory = find_memory
        self._prefixes: list[tuple[str, str, int]] = []
        self._changed = anyio.Event()
        self._sent: dict[str, float] = {}
        self._sent_at = 0.0

    def add_prefixes(
        self, instance: str, prefixes: list[tuple[str, int]]
    ) -> None:
        """Tells the others that a server reads a prompt's beginnings."""
        before = 0
        for key, end in prefixes:
            self._prefixes.append((instance, key, end - before))
            before = end
        del self._prefixes[:-MAX_PREFIXES]
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
            name, sums, prefixes = msgpack.unpackb(data)
            sums = {str(k): float(v) / 1000 for k, v in sums.items()}
            rows = [(str(i), str(k), int(n)) for i, k, n in prefixes]
        except (ValueError, TypeError, AttributeError) as exc:
            raise errors.ProtocolError(f'hint is not valid: {exc}') from exc
        RECEIVED.inc()
        self._work.set_peer(name, sums)
        chains: dict[str, list[tuple[str, int]]] = {}
        ends: dict[str, int] = {}
        for instance, key, tokens in rows:
            ends[instance] = ends.get(instance, 0) + tokens
            chains.setdefault(instance, []).append((key, ends[instance]))
        for instance, chain in chains.items():
            memory = self._find_memory(instance)
            if memory:
                self._holdings.add(instance, chain, memory)

    async def _send_all(self, udp) -> None:
        while True:
            with anyio.move_on_after(REPEAT_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            sums = self._work.sum_own()
            if self._is_worth_sending(sums):
                await self._send(udp, sums)
                await anyio.sleep(MIN_SECONDS)

    def _is_worth_sending(self, sums: dict[str, float]) -> bool:
        if self._prefixes:
            return True
        keys = sums.keys() | self._sent.keys()
        change = max(
            (abs(sums.get(k, 0) - self._sent.get(k, 0)) for k in keys),
            default=0.0,
        )
        is_old = clock.now() - self._sent_at > REPEAT_SECONDS
        return change >= MIN_CHANGE_SECONDS or (is_old and bool(sums))

    async def _send(self, udp, sums: dict[str, float]) -> None:
        self._sent, self._sent_at = sums, clock.now()
        prefixes, self._prefixes = self._prefixes, []
        values = {k: int(1000 * v) for k, v in sums.items()}
        data = msgpack.packb([self._name, values, prefixes])
        if len(data) > MAX_DATAGRAM_BYTES:
            data = msgpack.packb([self._name, values, []])
        for address in self._peers.list_addresses(MAX_PEERS):
            try:
                await udp.sendto(data, *address)
            except OSError as exc:
                logs.LOG.debug('hint to %s not sent: %s', address, exc)
