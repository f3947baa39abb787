"""Load hints that gateways exchange by UDP.

A hint is one datagram with the complete current backlogs of its sender, so a
lost hint needs no retransmission and the next one supersedes a late one. The
prompt prefixes and sessions in a hint are the exception: they are sent once,
and sessions go to all gateways, not only to some of each region. Gateways in
other regions receive hints less often because traffic between regions is
expensive. The hints use UDP directly: pynng has no datagrams, and a
connection would deliver outdated hints after a stall.

A hint is a MessagePack array of five items: the name of the sender, its
backlogs as triples of a server's id hash, milliseconds and the number of
attempts in progress, prefixes as triples of a server's id hash, the prefix key
and the tokens of its last part, hashes of sessions that stay on the old
version of their service, and a mapping with the rows of each section.
Backlogs are None in a datagram with sessions.
"""

from collections.abc import Callable
import dataclasses
import math
import socket

import anyio
import msgpack

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import prefix_caches
from chivejunction.transport import datagrams

MIN_INTERVAL_SECONDS = 0.05
# While a gateway has a backlog, it repeats its hint after this time even if
# nothing has changed.
REPEAT_INTERVAL_SECONDS = 0.5
# Shortest interval between hints to another region. Traffic between regions
# is expensive.
REMOTE_MIN_INTERVAL_SECONDS = 0.2
# Backlog changes below this do not justify a datagram of their own.
MIN_BACKLOG_CHANGE_SECONDS = 0.03
MAX_DATAGRAM_BYTES = 1200
# Most bytes by which the header of a mapping grows with its entries.
MAP_HEADER_BYTES = 2
# Gateways per region that receive the hints of one gateway. With more of them
# a process would exceed its limit on control traffic at the target size.
MAX_PEERS_PER_REGION = 16
MAX_PREFIXES_PER_HINT = 12
MAX_SESSIONS_PER_HINT = 100
# Sessions that wait for a socket; the oldest ones are dropped beyond it.
MAX_PENDING_SESSIONS = 10_000
# A longer backlog does not make a server less suitable.
MAX_BACKLOG_SECONDS = 3600.0
MAX_ATTEMPTS_PER_SERVER = 1_000_000
# A prompt part with more tokens is in no cache.
MAX_PART_TOKENS = 2**31
# Pause after an unexpected error.
ERROR_DELAY_SECONDS = 0.5
PART = 'hints'
RECEIVED = metrics.make_counter('hints_received', 'Hints from gateways.')
SENT_BYTES = metrics.make_counter(
    'hints_sent_bytes', 'Bytes of hints to other gateways, without headers.'
)


def _decode_backlog(row: list) -> tuple[int, float, int]:
    """Decodes id hash, backlog in seconds and attempts of a server."""
    id_hash, milliseconds, count = row
    seconds, count = float(milliseconds) / 1000, int(count)
    # The comparisons are also false for a number that is none.
    if not (0 <= seconds < math.inf and count >= 0):
        raise ValueError('a backlog is negative or not finite')
    return (
        int(id_hash),
        min(seconds, MAX_BACKLOG_SECONDS),
        min(count, MAX_ATTEMPTS_PER_SERVER),
    )


def _decode_prefix(row: list) -> tuple[int, int, int]:
    id_hash, key, tokens = (int(item) for item in row)
    if not 0 <= tokens <= MAX_PART_TOKENS:
        raise ValueError(f'a prompt part of {tokens} tokens')
    return id_hash, key, tokens


def _limit(number: float, maximum: float) -> float:
    """Returns a number from 0 to a maximum, also for one that is none."""
    return max(0.0, min(maximum, number)) if number == number else 0.0


class HintSection:
    """Rows that a part of the gateway adds to its hints.

    Rows are sent with hints that are due for another reason, and at least
    every ``REPEAT_INTERVAL_SECONDS`` while there are any.

    Attributes:
        name: Short name on the wire.
    """

    name = ''

    def collect_rows(self, region: str) -> list:
        """Returns the current rows for the gateways of a region.

        Each row is a list of numbers and short texts. All rows together take
        at most a few hundred bytes; a hint that is too long leaves them out.
        """
        raise NotImplementedError

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Applies the rows of another gateway.

        Args:
            gateway: Name of the gateway.
            rows: Decoded but unchecked rows.

        Raises:
            ValueError, TypeError, OverflowError: A row is malformed.
        """
        raise NotImplementedError


@dataclasses.dataclass(slots=True)
class RegionState:
    """Send state for the gateways of one region, which get the same hints.

    Attributes:
        region: Name of the region.
        is_local: Whether this gateway is in the region too.
        sent_backlogs: Backlog in seconds by server, as last sent.
        sent_at: Monotonic time of the latest hint.
        pending_prefixes: Prompt prefixes still to be sent, as tuples of the
            instance id, the prefix key and the tokens of its last part.
        waiting_rows: Rows of the sections that did not fit into the latest
            hint.
    """

    region: str
    is_local: bool
    sent_backlogs: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at: float = 0.0
    pending_prefixes: list[tuple[str, int, int]] = dataclasses.field(
        default_factory=list
    )
    waiting_rows: dict[str, list] = dataclasses.field(default_factory=dict)


class HintExchange:
    """Exchanges load hints with the other gateways.

    Args:
        name: Name of this gateway.
        region: Region of this gateway.
        address: Local IP address and UDP port.
        peers: The other gateways.
        backend_table: Backend servers.
        server_backlogs: Backlogs of the servers.
        running_attempts: Attempts in progress at the servers.
        prefix_cache_index: Prompt prefixes that servers have cached.
        get_cache_tokens: Returns the prefix cache size of a server in
            tokens, 0 if it is unknown.
        receive_session: Called with the hash of each session that another
            gateway announced.
        board: Bulletins, which use the same socket; None without them.
    """

    def __init__(
        self,
        name: str,
        region: str,
        address: tuple[str, int],
        peers: gateway_membership.GatewayMembership,
        backend_table: backends.BackendTable,
        server_backlogs: backlogs.Backlogs,
        running_attempts: backlogs.Backlogs,
        prefix_cache_index: prefix_caches.PrefixCacheIndex,
        get_cache_tokens: Callable[[str], int],
        receive_session: Callable[[int], None] = lambda session_hash: None,
        board: bulletins.BulletinBoard | None = None,
    ):
        self._name = name
        self._region = region
        self._address = address
        self._peers = peers
        self._backend_table = backend_table
        self._server_backlogs = server_backlogs
        self._running_attempts = running_attempts
        self._prefix_cache_index = prefix_cache_index
        self._get_cache_tokens = get_cache_tokens
        self._receive_session = receive_session
        self._board = board
        self._sections: dict[str, HintSection] = {}
        # Used as a set that keeps its order.
        self._pending_sessions: dict[int, None] = {}
        self._region_states: dict[str, RegionState] = {}
        self._changed = anyio.Event()

    def _list_region_states(self) -> list[RegionState]:
        for region in self._peers.list_regions():
            if region not in self._region_states:
                self._region_states[region] = RegionState(
                    region, region == self._region
                )
        return list(self._region_states.values())

    def add_prefixes(
        self, instance: str, prefixes: list[tuple[int, int]]
    ) -> None:
        """Queues prompt prefixes that a server processes for sending.

        Args:
            instance: Instance id of the server.
            prefixes: Key and length in tokens of each prefix, shortest first.
        """
        for region_state in self._list_region_states():
            previous_length = 0
            for key, length in prefixes:
                tokens = length - previous_length
                if not 0 <= tokens <= MAX_PART_TOKENS:
                    break
                region_state.pending_prefixes.append((instance, key, tokens))
                previous_length = length
            del region_state.pending_prefixes[:-MAX_PREFIXES_PER_HINT]
        self._changed.set()

    def add_session(self, session_hash: int) -> None:
        """Queues a session that stays on the old version for sending."""
        self._pending_sessions[session_hash] = None
        if len(self._pending_sessions) > MAX_PENDING_SESSIONS:
            del self._pending_sessions[next(iter(self._pending_sessions))]
        self._changed.set()

    def add_section(self, section: HintSection) -> None:
        """Adds a section to all later hints."""
        self._sections[section.name] = section

    def schedule_send(self) -> None:
        """Schedules a hint after a backlog of this gateway has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Sends and receives hints until cancelled.

        Raises:
            OSError: The port is in use.
            ExceptionGroup: The socket was closed by an error. A new run opens
                another one.
        """
        address, port = self._address
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=address, local_port=port
            ) as udp,
            anyio.create_task_group() as group,
        ):
            sender = datagrams.DatagramSender(udp)
            group.start_soon(self._receive, udp)
            if self._board is not None:
                group.start_soon(self._board.run, sender)
            await self._send_all(sender)

    async def _receive(self, udp) -> None:
        async for data, address in udp:
            try:
                if self._board and data.startswith(bulletins.FIRST_BYTE):
                    self._board.handle_datagram(data, address)
                else:
                    self._handle_datagram(data)
            except errors.ProtocolError as exc:
                logs.LOG.warning('hint ignored: %s', exc)
            except Exception as exc:
                containment.record_error(PART, exc)

    def _handle_datagram(self, data: bytes) -> None:
        """Applies the hint of another gateway.

        Args:
            data: The datagram.

        Raises:
            ProtocolError: The hint is malformed.
        """
        try:
            # Later versions may append items.
            gateway, backlog_items, prefix_items, session_items, *more = (
                msgpack.unpackb(data)
            )
            section_rows = more[0] if more else {}
            if not isinstance(section_rows, dict):
                section_rows = {}
            if not isinstance(gateway, str):
                raise TypeError('the name of the sender is no text')
            backlog_rows = [
                _decode_backlog(row) for row in backlog_items or ()
            ]
            prefix_rows = [_decode_prefix(row) for row in prefix_items]
            session_hashes = [int(h) for h in session_items]
        except errors.MALFORMED_DOCUMENT_ERRORS as exc:
            raise errors.ProtocolError(f'malformed hint: {exc}') from exc
        RECEIVED.inc()
        for session_hash in session_hashes:
            self._receive_session(session_hash)
        if backlog_items is None:
            return
        self._apply_sections(gateway, section_rows)
        # Servers that are not in the local table yet are skipped.
        find_backend = self._backend_table.find_by_id_hash
        server_seconds, attempt_counts = {}, {}
        for id_hash, seconds, count in backlog_rows:
            backend = find_backend(id_hash)
            if backend is not None:
                server_seconds[backend.instance] = seconds
                attempt_counts[backend.instance] = count
        self._server_backlogs.set_peer_backlogs(gateway, server_seconds)
        self._running_attempts.set_peer_backlogs(gateway, attempt_counts)
        prefixes_by_server: dict[str, list[tuple[int, int]]] = {}
        lengths: dict[str, int] = {}
        for id_hash, key, tokens in prefix_rows:
            backend = find_backend(id_hash)
            if backend is None:
                continue
            instance = backend.instance
            lengths[instance] = lengths.get(instance, 0) + tokens
            prefixes_by_server.setdefault(instance, []).append(
                (key, lengths[instance])
            )
        for instance, server_prefixes in prefixes_by_server.items():
            cache_tokens = self._get_cache_tokens(instance)
            if cache_tokens:
                self._prefix_cache_index.add(
                    instance, server_prefixes, cache_tokens
                )

    def _apply_sections(self, gateway: str, section_rows: dict) -> None:
        """Applies sections; a malformed one leaves the others in force."""
        for name, rows in section_rows.items():
            section = self._sections.get(name)
            if section is None:
                continue
            try:
                section.apply_rows(gateway, rows)
            except errors.MALFORMED_DOCUMENT_ERRORS as exc:
                logs.LOG.warning('section %s of a hint ignored: %r', name, exc)

    def _collect_sections(
        self, region_state: RegionState, free: int
    ) -> dict[str, list]:
        """Returns the rows of the sections that fit into a hint.

        Sections that did not fit into the hint before come first, with newer
        rows where there are any.

        Args:
            region_state: State of the region that gets the hint.
            free: Bytes that are free in the hint.
        """
        waiting, region_state.waiting_rows = region_state.waiting_rows, {}
        collected = {}
        for name in sorted(self._sections, key=lambda n: n not in waiting):
            with containment.contain(PART, section=name):
                rows = self._sections[name].collect_rows(region_state.region)
                rows = rows or waiting.get(name)
                size = len(msgpack.packb([name, rows]))
                if rows and size <= free:
                    collected[name] = rows
                    free -= size
                elif rows:
                    region_state.waiting_rows[name] = rows
        return collected

    def _has_sections(self, region: str) -> bool:
        """Returns whether any section has rows."""
        for name, section in self._sections.items():
            with containment.contain(PART, section=name):
                if section.collect_rows(region):
                    return True
        return False

    async def _send_all(self, sender) -> None:
        while True:
            containment.expect_progress()
            with anyio.move_on_after(REMOTE_MIN_INTERVAL_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            delay = ERROR_DELAY_SECONDS
            with containment.contain(PART):
                has_sent = await self._send_due(sender)
                delay = MIN_INTERVAL_SECONDS if has_sent else 0.0
            if delay:
                await anyio.sleep(delay)

    async def _send_due(self, sender) -> bool:
        """Sends the hints that are due; returns whether there were any."""
        local_backlogs = self._server_backlogs.sum_local()
        has_sent = bool(self._pending_sessions)
        await self._send_sessions(sender)
        for region_state in self._list_region_states():
            if self._should_send(region_state, local_backlogs):
                await self._send(sender, region_state, local_backlogs)
                has_sent = True
        return has_sent

    def _should_send(
        self, region_state: RegionState, local_backlogs: dict[str, float]
    ) -> bool:
        age = clock.now() - region_state.sent_at
        if not region_state.is_local and age < REMOTE_MIN_INTERVAL_SECONDS:
            return False
        if region_state.pending_prefixes or (
            age > REPEAT_INTERVAL_SECONDS
            and (
                local_backlogs
                or region_state.sent_backlogs
                or self._running_attempts.sum_local()
                or self._has_sections(region_state.region)
            )
        ):
            return True
        servers = local_backlogs.keys() | region_state.sent_backlogs.keys()
        change = max(
            (
                abs(
                    local_backlogs.get(server, 0)
                    - region_state.sent_backlogs.get(server, 0)
                )
                for server in servers
            ),
            default=0.0,
        )
        return change >= MIN_BACKLOG_CHANGE_SECONDS

    async def _send(
        self,
        sender,
        region_state: RegionState,
        local_backlogs: dict[str, float],
    ) -> None:
        region_state.sent_backlogs, region_state.sent_at = (
            local_backlogs,
            clock.now(),
        )
        prefixes, region_state.pending_prefixes = (
            region_state.pending_prefixes,
            [],
        )
        hash_id = backends.hash_instance_id
        attempt_counts = self._running_attempts.sum_local()
        backlog_rows = [
            (
                hash_id(i),
                int(
                    1000
                    * _limit(local_backlogs.get(i, 0.0), MAX_BACKLOG_SECONDS)
                ),
                int(_limit(attempt_counts.get(i, 0), MAX_ATTEMPTS_PER_SERVER)),
            )
            for i in local_backlogs.keys() | attempt_counts.keys()
        ]
        prefix_rows = [
            (hash_id(i), key, tokens) for i, key, tokens in prefixes
        ]
        data = msgpack.packb([self._name, backlog_rows, prefix_rows, [], {}])
        if len(data) > MAX_DATAGRAM_BYTES:
            # The prefixes do not fit.
            prefix_rows = []
            data = msgpack.packb([self._name, backlog_rows, [], [], {}])
        free = MAX_DATAGRAM_BYTES - len(data) - MAP_HEADER_BYTES
        sections = self._collect_sections(region_state, free)
        if sections:
            data = msgpack.packb(
                [self._name, backlog_rows, prefix_rows, [], sections]
            )
        await self._send_datagram(
            sender,
            data,
            self._peers.list_addresses(
                region_state.region, MAX_PEERS_PER_REGION
            ),
        )

    async def _send_sessions(self, sender) -> None:
        """Sends the pending sessions to all gateways."""
        sessions, self._pending_sessions = list(self._pending_sessions), {}
        for start in range(0, len(sessions), MAX_SESSIONS_PER_HINT):
            batch = sessions[start : start + MAX_SESSIONS_PER_HINT]
            data = msgpack.packb([self._name, None, [], batch, {}])
            for region in self._peers.list_regions():
                await self._send_datagram(
                    sender, data, self._peers.list_addresses(region)
                )

    @staticmethod
    async def _send_datagram(
        sender: datagrams.DatagramSender,
        data: bytes,
        addresses: list[tuple[str, int]],
    ) -> None:
        for address in addresses:
            with containment.contain(PART, address=str(address)):
                SENT_BYTES.inc(len(data))
                await sender.send(data, address)
