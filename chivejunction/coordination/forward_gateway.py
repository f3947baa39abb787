"""Gateway that forwards requests straight to backend servers."""

from collections.abc import Callable
import dataclasses
import signal
import socket

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import backend_selection
from chivejunction.coordination import direct_attempts
from chivejunction.coordination import forwarding
from chivejunction.coordination import hints
from chivejunction.coordination import members
from chivejunction.coordination import mirrors
from chivejunction.coordination import relays
from chivejunction.coordination import version_moves
from chivejunction.protocol import forwarding as protocol
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import freshness
from chivejunction.state import prefix_caches
from chivejunction.state import route_tables
from chivejunction.transport import backend_connections
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import listening
from chivejunction.transport import stores

TICK_SECONDS = 0.25
# A balancer that asks once a second and wants two misses has turned to other
# gateways by then.
LEAVE_SECONDS = 2.4
# Time that callers wait for the first configuration; they give a gateway that
# does not read their request up after a second.
FIRST_LOAD_SECONDS = 0.4
# Left of the grace period for the end of the process itself.
EXIT_SECONDS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of a forwarding gateway.

    Attributes:
        name: Name of this host.
        region: Region of this host.
        front: IP address and port for callers.
        ready: IP address and port that tell whether it is ready.
        metrics: IP address and port of the metrics.
        hints: IP address and port for hints (UDP) and polls (TCP) of other
            gateways.
        key_seconds: Age of the configuration up to which keys are honoured.
        grace_seconds: Seconds from SIGTERM to the end.
        retry_share: Extra attempts for each request, all gateways together.
        retry_allowance: Extra attempts that need no requests, all gateways
            together.
        retry_window: Seconds over which they are counted.
        capacity: Cores of this host.
    """

    name: str
    region: str
    front: tuple[str, int]
    ready: tuple[str, int]
    metrics: tuple[str, int]
    hints: tuple[str, int]
    key_seconds: float
    grace_seconds: float
    retry_share: float
    retry_allowance: float
    retry_window: float
    capacity: float = 1.0


class ForwardGateway:
    """Runs the tasks of a forwarding gateway.

    Args:
        options: Options of this gateway.
        store: Store with configuration, servers and shared records.
        feed: The store's changes.
        wire: Wire format of callers and servers.
        describe_move: Returns further keys to write with a move's state.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: stores.Store,
        feed: stores.ChangeFeed,
        wire: protocol.WireFormat,
        describe_move: Callable,
    ):
        self._options = options
        self.table: route_tables.RouteTable | None = None
        self.backends = backends.BackendTable()
        self.moves = version_moves.VersionMoves(store, describe_move)
        self.members = members.Members(
            store,
            options.name,
            options.hints,
            options.region,
            options.capacity,
        )
        self._work = backlogs.Backlogs()
        self._speeds = backlogs.PrefillTimeEstimator()
        self._holdings = prefix_caches.PrefixCacheIndex()
        self._hints = hints.Hints(
            options.name,
            options.region,
            options.hints,
            self.members,
            self.backends,
            self._work,
            self._holdings,
            self._find_memory,
        )
        self.proof = freshness.Freshness(options.key_seconds)
        self._feed = relays.RelayedFeed(
            feed, self.members, http_client.Client()
        )
        self._pool = backend_connections.ConnectionPool()
        selector = backend_selection.BackendSelector(
            self.backends,
            options.region,
            self.members.count,
            self.members.count_sharing,
            self._work,
            self._speeds,
            self._holdings,
        )
        self._chooser = attempt_choice.AttemptChooser(
            selector,
            self._make_budget,
            self.moves,
            self._work,
            self._holdings,
            self._hints,
        )
        attempts = direct_attempts.DirectAttempts(
            self.backends,
            self._pool,
            wire,
            self.proof,
            self.moves,
            self._speeds,
            self._chooser,
        )
        self._forwarder = forwarding.Forwarder(
            lambda: self.table,
            wire,
            self.proof,
            self._chooser,
            attempts,
        )
        self.front = caller_connections.Listener(
            self._forwarder.handle, self._get_limits
        )
        self._read_options: Callable = lambda: None
        self._is_leaving = False
        self._gone: list[str] = []

    def _find_allowance(self) -> float:
        return self._options.retry_allowance / self.members.count()

    def _make_budget(self) -> budgets.WindowedBudget:
        return budgets.WindowedBudget(
            self._options.retry_share,
            self._find_allowance(),
            self._options.retry_window,
        )

    def _find_memory(self, instance: str) -> int:
        backend = self.backends.get(instance)
        if backend is None or self.table is None:
            return 0
        service = self.table.services.get(backend.service)
        return service.cache_tokens if service else 0

    def _get_limits(self) -> protocol.CallerLimits:
        return self.table.limits if self.table else protocol.CallerLimits()

    def set_table(self, table: route_tables.RouteTable) -> None:
        """Puts a configuration in force unless it is older."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logs.log_decision(
            'configuration in force',
            version=table.version,
            routes=sum(len(rows) for rows in table.routes.values()),
            keys=len(table.organisations),
        )

    def update_backend(self, entry: backends.Backend) -> None:
        """Takes a backend server's entry."""
        known = self.backends.get(entry.instance)
        was_leaving = known.is_leaving if known else None
        found = self.backends.update(entry)
        if found is not known or was_leaving != found.is_leaving:
            logs.log_decision(
                'server listed',
                instance=found.instance,
                service=found.service,
                domain=found.failure_domain,
                version=found.version,
                leaving=found.is_leaving,
                cold_seconds=round(clock.remaining(found.cold_until), 2),
            )

    def remove_backend(self, instance: str, has_lapsed: bool) -> None:
        """Takes the end of a backend server's entry.

        Args:
            instance: Instance id.
            has_lapsed: Whether the store was away, so that the server may
                still live.
        """
        if has_lapsed:
            self.backends.start_grace_period(instance)
        elif self.backends.remove(instance) is not None:
            self._gone.append(instance)
        logs.log_decision(
            'server missing', instance=instance, may_return=has_lapsed
        )

    def set_domain(self, domain: str, is_closed: bool) -> None:
        """Closes or reopens a failure domain."""
        if is_closed:
            self.backends.closed_domains.add(domain)
        else:
            self.backends.closed_domains.discard(domain)
        logs.log_decision('failure domain', domain=domain, closed=is_closed)

    @property
    def is_ready(self) -> bool:
        """Tells whether new callers should come here."""
        return (
            self.table is not None
            and not self._is_leaving
            and self.proof.holds()
        )

    async def run(
        self,
        apply: Callable,
        read_options: Callable[[], GatewayOptions | None],
        front: socket.socket | None = None,
    ) -> None:
        """Serves until SIGTERM.

        Args:
            apply: Takes the changes of the store, see ``mirrors.Mirror``.
            read_options: Returns the options if they have changed. Bounds
                are taken over; addresses stay until the next start.
            front: Listening socket for callers; None to make it here.
        """
        self._read_options = read_options
        self._register_gauges()
        mirror = mirrors.Mirror(self._feed, '', apply, self.proof)
        async with anyio.create_task_group() as group:
            group.start_soon(self._handle_signals, group.cancel_scope)
            group.start_soon(mirror.run)
            group.start_soon(self._serve_relay, mirror)
            group.start_soon(self.members.run)
            group.start_soon(self.moves.run)
            group.start_soon(self._hints.run)
            group.start_soon(self._tidy)
            group.start_soon(self._serve_ready)
            group.start_soon(self._serve_metrics)
            group.start_soon(self._serve_front, mirror, front)
        logs.LOG.info('stopped', extra={'fields': {'event': 'stop'}})

    def _register_gauges(self) -> None:
        metrics.make_gauge(
            'forward_active_requests',
            'Requests in progress.',
            lambda: self.front.active,
        )
        metrics.make_gauge(
            'configuration_age_seconds',
            'Age of the proof that the configuration is the newest.',
            lambda: min(self.proof.age, 1e6),
        )

    async def _serve_front(
        self, mirror: mirrors.Mirror, sock: socket.socket | None
    ) -> None:
        """Takes callers, who wait meanwhile for the first configuration."""
        sock = sock or listening.bind_socket(*self._options.front)
        with anyio.move_on_after(FIRST_LOAD_SECONDS):
            await mirror.has_loaded.wait()
        await self.front.serve_socket(sock)

    async def _serve_relay(self, mirror: mirrors.Mirror) -> None:
        relay = relays.RelayServer(
            mirror, self.proof, lambda: self._is_leaving
        )
        listener = caller_connections.Listener(relay.handle)
        await listener.serve(*self._options.hints)

    async def _serve_ready(self) -> None:
        async def answer(raw, reply) -> None:
            await reply.answer(200 if self.is_ready else 503, [], b'')

        listener = caller_connections.Listener(answer)
        await listener.serve(*self._options.ready)

    async def _serve_metrics(self) -> None:
        async def answer(raw, reply) -> None:
            body, kind = metrics.render_metrics()
            await reply.answer(200, [(b'content-type', kind.encode())], body)

        listener = caller_connections.Listener(answer)
        await listener.serve(*self._options.metrics)

    async def _tidy(self) -> None:
        """Closes what is over, and shares common budgets anew."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            for backend in self.backends.remove_expired():
                self._gone.append(backend.instance)
            gone, self._gone = self._gone, []
            for instance in gone:
                self._holdings.remove_server(instance)
                await self._pool.close_instance(instance)
            await self._pool.close_expired()
            self._chooser.set_allowance(self._find_allowance())
            # The file may also change without a signal.
            self._reload()

    async def _handle_signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                break
            await self._leave()
            scope.cancel()

    def _reload(self) -> None:
        """Takes over options that have changed."""
        try:
            found = self._read_options()
        except errors.SettingError as exc:
            logs.LOG.error(
                'changed settings are not accepted, the former ones stay: %s',
                exc,
                extra={'fields': {'event': 'reload'}},
            )
            return
        if found is None:
            return
        self._options = found
        self.proof.bound = found.key_seconds
        logs.LOG.info(
            'settings changed; addresses stay as they are',
            extra={'fields': {'event': 'reload'}},
        )

    async def _leave(self) -> None:
        """Ends gracefully: no new callers, then the answers in progress."""
        deadline = clock.make_deadline(
            self._options.grace_seconds - EXIT_SECONDS
        )
        self._is_leaving = True
        self.front.is_closing = True
        logs.LOG.info(
            'stopping with %d requests in progress',
            self.front.active,
            extra={'fields': {'event': 'stopping'}},
        )
        with anyio.move_on_at(deadline):
            await anyio.sleep(LEAVE_SECONDS)
            self.front.close_idle()
            while self.front.active:
                await anyio.sleep(0.05)
            await self.members.leave()
