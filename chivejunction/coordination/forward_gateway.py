"""Gateway that forwards requests directly to backend servers."""

from collections.abc import Callable
import dataclasses
import json
import signal
import socket

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import loop_monitor
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import bulletins
from chivejunction.coordination import departures
from chivejunction.coordination import direct_attempts
from chivejunction.coordination import forwarding
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import harmful_prompts
from chivejunction.coordination import hints
from chivejunction.coordination import mirrors
from chivejunction.coordination import pace_hints
from chivejunction.coordination import prefix_usage
from chivejunction.coordination import relays
from chivejunction.coordination import server_notices
from chivejunction.coordination import state_transfer
from chivejunction.coordination import version_moves
from chivejunction.protocol import features as protocol_features
from chivejunction.protocol import forwarding as protocol
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import domain_shares
from chivejunction.scheduling import memory_pressure
from chivejunction.scheduling import prefix_placement
from chivejunction.scheduling import server_paces as pace_scheduling
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import copy_links
from chivejunction.state import freshness
from chivejunction.state import prefix_caches
from chivejunction.state import prefix_rates
from chivejunction.state import route_tables
from chivejunction.state import server_paces
from chivejunction.transport import backend_connections
from chivejunction.transport import caller_connections
from chivejunction.transport import caller_memory
from chivejunction.transport import http_client
from chivejunction.transport import listening
from chivejunction.transport import stores

MAINTENANCE_INTERVAL_SECONDS = 0.25
# A stall after which the kernel may have dropped datagrams.
LOST_DATAGRAMS_STALL_SECONDS = 1.0
# Name of the task that accepts callers; without it the gateway is not ready.
CALLERS_TASK = 'callers'
# Kind of the bulletins with the results of a new version at a gateway.
VERSION_RESULTS_KIND = 'version'
# Time for which a stopping gateway still serves new connections. A load
# balancer that checks readiness once a second and needs two failed checks has
# stopped sending callers by then. The share of the grace period limits it
# where that is short.
READINESS_DRAIN_SECONDS = 2.4
READINESS_DRAIN_SHARE = 0.3
# Time in which a stopping gateway passes requests on. One that is read later,
# on a connection that was accepted before, is refused: its caller can still
# go to another gateway, and nothing was run.
ADMISSION_SECONDS = 2.9
ADMISSION_SHARE = 0.36
# Longest delay of the first callers until the first configuration is loaded.
# Callers time out if a gateway does not read their request within a second.
FIRST_CONFIG_TIMEOUT_SECONDS = 0.4
# Interval at which a stopping gateway checks for requests in progress.
REQUEST_POLL_SECONDS = 0.05
# Part of the grace period that is reserved for the final responses to
# requests in progress and the exit of the process. Servers that are still at
# work have had five sixths of it.
EXIT_RESERVE_SECONDS = 1.2
EXIT_RESERVE_SHARE = 0.15
# Part of the reserve for the final responses.
FINAL_RESPONSE_SHARE = 0.3
# Time limit for the removal of the membership entry.
LEAVE_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of a forwarding gateway.

    Attributes:
        name: Name of this host.
        region: Region of this host.
        caller_address: IP address and port for callers.
        readiness_address: IP address and port of the readiness endpoint.
        metrics_address: IP address and port of the metrics endpoint.
        peer_address: IP address and port for hints (UDP) and polls (TCP) of
            other gateways.
        max_config_age_seconds: Largest age of the configuration at which
            organisation keys are accepted.
        grace_period_seconds: Seconds from SIGTERM to the exit of the process.
        retry_share: Extra attempts allowed for each request, over all
            gateways.
        retry_allowance: Extra attempts allowed regardless of the number of
            requests, over all gateways.
        retry_window_seconds: Seconds over which extra attempts are counted.
        capacity: Number of CPU cores of this host.
        failure_domain: Failure domain of this host.
        features: Optional features that are switched on.
        domain_regions: Region of each failure domain.
        link_costs: Costs of links between failure domains and regions.
        memory_bytes: Memory of this host; None if it is not known.
        max_descriptors: Descriptors of this process, those of files included;
            None if only the kernel limits them.
    """

    name: str
    region: str
    caller_address: tuple[str, int]
    readiness_address: tuple[str, int]
    metrics_address: tuple[str, int]
    peer_address: tuple[str, int]
    max_config_age_seconds: float
    grace_period_seconds: float
    retry_share: float
    retry_allowance: float
    retry_window_seconds: float
    capacity: float = 1.0
    failure_domain: str = ''
    features: frozenset[protocol_features.Feature] = frozenset()
    domain_regions: dict[str, str] = dataclasses.field(default_factory=dict)
    link_costs: domain_shares.LinkCosts = domain_shares.LinkCosts()
    memory_bytes: float | None = None
    max_descriptors: int | None = None


class ForwardGateway:
    """Runs the tasks of a forwarding gateway.

    Args:
        options: Options of this gateway.
        store: Store with the configuration, the backend servers and records
            that gateways share.
        feed: Provides the changes of the store.
        wire_format: Encodes and decodes HTTP messages of callers and backend
            servers.
        describe_move: Returns further keys to write with the state of a
            version move.
    """

    def __init__(
        self,
        options: GatewayOptions,
        store: stores.Store,
        feed: stores.ChangeFeed,
        wire_format: protocol.WireFormat,
        describe_move: Callable,
    ):
        self._options = options
        self.route_table: route_tables.RouteTable | None = None
        self.backends = backends.BackendTable()
        self.moves = version_moves.VersionMoves(
            store,
            describe_move,
            lambda session_hash: self._hint_exchange.add_session(session_hash),
            lambda service: self.members.find_rank(service),
            self._publish_version_results,
            lambda: self._transfer.is_complete,
        )
        self.members = gateway_membership.GatewayMembership(
            store,
            options.name,
            options.peer_address,
            options.region,
            options.capacity,
        )
        self._board = bulletins.BulletinBoard(options.name, self.members)
        self._board.listen(
            VERSION_RESULTS_KIND,
            lambda bulletin: self.moves.apply_peer_results(
                bulletin.key, bulletin.value, bulletin.expires_at
            ),
        )
        self.prompt_guard = harmful_prompts.HarmfulPromptGuard(
            store, self._board, self.members
        )
        self._notices = server_notices.ServerNotices(
            self._board, self.backends
        )
        self._server_backlogs = backlogs.Backlogs()
        self._running_attempts = backlogs.Backlogs()
        self._prefill_times = backlogs.PrefillTimeEstimator()
        self._prefix_cache_index = prefix_caches.PrefixCacheIndex()
        self._hint_exchange = hints.HintExchange(
            options.name,
            options.region,
            options.peer_address,
            self.members,
            self.backends,
            self._server_backlogs,
            self._running_attempts,
            self._prefix_cache_index,
            self._get_cache_tokens,
            self.moves.keep_on_old_version,
            self._board,
        )
        self.config_freshness = freshness.Freshness(
            options.max_config_age_seconds
        )
        client = http_client.Client()
        self._feed = relays.RelayedFeed(feed, self.members, client)
        self._transfer = state_transfer.StateTransfer(
            self.members, self.moves, self._board, client
        )
        self._pool = backend_connections.ConnectionPool()
        self._server_paces = server_paces.ServerPaces()
        pace_estimator = self._make_pace_estimator()
        self._departures = self._make_departures()
        placer = self._make_prefix_placer()
        usage = None
        if placer is not None:
            usage = prefix_usage.PrefixUsage(placer)
            self._hint_exchange.add_section(usage)
            metrics.make_gauge(
                'prefixes_replicated',
                'Prompt prefixes that more than one server is to have.',
                usage.count_replicated,
            )
        selector = backend_selection.BackendSelector(
            self.backends,
            options.region,
            self.members.count,
            self.members.count_sharing_gateways,
            self._server_backlogs,
            self._running_attempts,
            self._prefill_times,
            self._prefix_cache_index,
            paces=pace_estimator,
            shares=self._departures.shares if self._departures else None,
            prefix_placer=placer,
        )
        self._chooser = attempt_choice.AttemptChooser(
            selector,
            self._make_budget,
            self.moves,
            self._server_backlogs,
            self._running_attempts,
            self._prefix_cache_index,
            self._hint_exchange,
            enabled_features=options.features,
            domain_departures=self._departures,
            prefix_usage=usage,
        )
        attempts = direct_attempts.DirectAttempts(
            self.backends,
            self._pool,
            wire_format,
            self.config_freshness,
            self.moves,
            self._prefill_times,
            self._chooser,
            self.prompt_guard,
            self._notices,
            pace_estimator,
        )
        self._forwarder = forwarding.Forwarder(
            lambda: self.route_table,
            wire_format,
            self.config_freshness,
            self._chooser,
            attempts,
            self.prompt_guard,
        )
        self.memory_guard = caller_memory.MemoryGuard(options.memory_bytes)
        self.caller_listener = caller_connections.Listener(
            self._forwarder.handle, self._get_limits, guard=self.memory_guard
        )
        logs.log_decision('features', enabled=sorted(options.features))
        if options.max_descriptors is not None:
            self.caller_listener.max_sockets = min(
                self.caller_listener.max_sockets,
                memory_pressure.compute_max_sockets(options.max_descriptors),
            )
        self._read_options: Callable = lambda: None
        self._is_stopping = False
        self._removed_instances: list[str] = []
        self._tasks: containment.Supervisor | None = None
        self._caller_socket: socket.socket | None = None

    def _make_pace_estimator(self) -> pace_scheduling.PaceEstimator | None:
        """Returns the estimator of server paces, None if it is off."""
        if protocol_features.Feature.SERVER_PACES not in (
            self._options.features
        ):
            return None
        estimator = pace_scheduling.PaceEstimator(
            self._options.name,
            self._options.region,
            self._server_paces,
            self.members.count,
            pace_hints.report_change,
        )
        self._hint_exchange.add_section(
            pace_hints.PaceSection(self._server_paces, estimator)
        )
        return estimator

    def _make_departures(self) -> departures.Departures | None:
        """Creates the shares of failure domains where there are several."""
        options = self._options
        regions = dict(options.domain_regions)
        regions[options.failure_domain] = options.region
        if (
            protocol_features.Feature.DOMAIN_SHARES not in options.features
            or len(regions) < 2
        ):
            return None
        domain_departures = departures.Departures(
            options.failure_domain,
            regions,
            options.link_costs,
            self.backends,
            self._server_backlogs,
        )
        self._hint_exchange.add_section(domain_departures.section)
        return domain_departures

    def _make_prefix_placer(self) -> prefix_placement.PrefixPlacer | None:
        feature = protocol_features.Feature.PREFIX_PLACEMENT
        if feature not in self._options.features:
            return None
        return prefix_placement.PrefixPlacer(
            prefix_rates.PrefixRates(),
            copy_links.CopyLinks(self.members.count),
        )

    def _publish_version_results(self, move: int, row: tuple) -> None:
        """Tells the other gateways of the results of a new version here."""
        self._board.publish(
            VERSION_RESULTS_KIND,
            rendezvous.hash_key(self._options.name, str(move)),
            (move, *row),
            version_moves.WINDOW_SECONDS,
        )

    def _compute_retry_limits(self) -> tuple[float, float, float]:
        """Returns this gateway's share, allowance and window in seconds."""
        return (
            self._options.retry_share,
            self._options.retry_allowance / self.members.count(),
            self._options.retry_window_seconds,
        )

    def _make_budget(self) -> budgets.WindowedBudget:
        return budgets.WindowedBudget(*self._compute_retry_limits())

    def _get_cache_tokens(self, instance: str) -> int:
        backend = self.backends.get(instance)
        if backend is None or self.route_table is None:
            return 0
        service = self.route_table.services.get(backend.service)
        return service.cache_tokens if service else 0

    def _get_limits(self) -> protocol.CallerLimits:
        return (
            self.route_table.limits
            if self.route_table
            else protocol.CallerLimits()
        )

    def set_route_table(self, table: route_tables.RouteTable) -> None:
        """Activates a configuration if it is newer than the active one."""
        if (
            self.route_table is not None
            and table.version <= self.route_table.version
        ):
            return
        self.route_table = table
        for tiers in {r.tiers for rows in table.routes.values() for r in rows}:
            self._prefill_times.set_tiers(tiers)
        if self._chooser.shares:
            self._chooser.shares.set_table(table)
        logs.log_decision(
            'configuration in force',
            version=table.version,
            routes=sum(len(rows) for rows in table.routes.values()),
            keys=len(table.organisations),
        )

    def update_backend(self, entry: backends.Backend) -> None:
        """Adds or updates a backend server from its entry in the store."""
        previous = self.backends.get(entry.instance)
        was_leaving = previous.is_leaving if previous else None
        backend = self.backends.update(entry)
        if backend is not previous:
            self._notices.apply_known(backend)
        self._chooser.wake_waiting(backend.service)
        if backend is not previous or was_leaving != backend.is_leaving:
            logs.log_decision(
                'server listed',
                instance=backend.instance,
                service=backend.service,
                domain=backend.failure_domain,
                version=backend.version,
                leaving=backend.is_leaving,
                cold_seconds=round(clock.remaining(backend.cold_until), 2),
            )

    def remove_backend(self, instance: str, may_have_expired: bool) -> None:
        """Removes a backend server whose entry in the store is gone.

        Args:
            instance: Instance id.
            may_have_expired: Whether the entry may have expired only because
                the store was unavailable; the server is then kept for a while.
        """
        if may_have_expired:
            self.backends.start_grace_period(instance)
        elif self.backends.remove(instance) is not None:
            self._removed_instances.append(instance)
        logs.log_decision(
            'server missing', instance=instance, may_return=may_have_expired
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
        """Whether the gateway accepts new callers."""
        return (
            self.route_table is not None
            and not self._is_stopping
            and self.config_freshness.is_current()
            and not (self._tasks and self._tasks.is_failing(CALLERS_TASK))
        )

    async def run(
        self,
        apply_change: Callable,
        read_options: Callable[[], GatewayOptions | None],
        caller_socket: socket.socket | None = None,
        required_keys: frozenset[str] = frozenset(),
    ) -> None:
        """Serves until SIGTERM.

        Args:
            apply_change: Applies a change of the store, see
                ``mirrors.StoreMirror``.
            read_options: Returns the options if they have changed, else None.
                Changed bounds are applied, changed addresses need a restart.
            caller_socket: Listening socket for callers; None to create it.
            required_keys: Keys of the store whose changes must have been
                applied, see ``mirrors.StoreMirror``.
        """
        self._read_options = read_options
        self._register_gauges()
        mirror = mirrors.StoreMirror(
            self._feed,
            '',
            apply_change,
            self.config_freshness,
            required_keys,
        )
        self._caller_socket = caller_socket
        async with anyio.create_task_group() as group:
            self._tasks = tasks = containment.Supervisor(group)
            tasks.start('signals', self._handle_signals, group.cancel_scope)
            monitor = loop_monitor.LoopMonitor(tasks, self._handle_stall)
            tasks.start('loop monitor', monitor.run)
            tasks.start('store mirror', mirror.run)
            tasks.start('relay', self._serve_relay, mirror)
            tasks.start('membership', self.members.run)
            tasks.start(
                'state transfer', self._transfer.run, mirror.has_loaded
            )
            tasks.start('version moves', self.moves.run)
            tasks.start('hints', self._hint_exchange.run)
            tasks.start('prompt guard', self.prompt_guard.run)
            if self._chooser.shares:
                tasks.start('shares', self._chooser.shares.run)
            tasks.start('maintenance', self._run_maintenance)
            tasks.start('readiness', self._serve_readiness)
            tasks.start('metrics', self._serve_metrics)
            tasks.start(CALLERS_TASK, self._serve_callers, mirror)
        logs.LOG.info('stopped', extra={'fields': {'event': 'stop'}})

    def _register_gauges(self) -> None:
        if self._chooser.shares:
            self._chooser.shares.register_gauges()
        self.memory_guard.register_gauge()
        metrics.make_gauge(
            'forward_active_requests',
            'Requests in progress.',
            lambda: self.caller_listener.active_requests,
        )
        metrics.make_gauge(
            'configuration_age_seconds',
            'Age of the proof that the configuration is the newest.',
            lambda: min(self.config_freshness.age, 1e6),
        )
        metrics.make_gauge(
            'lost_log_lines',
            'Log lines that were dropped or could not be written.',
            logs.count_lost_lines,
        )
        metrics.make_gauge(
            'failing_tasks',
            'Tasks that have failed and wait to run again.',
            lambda: len(self._tasks.list_failing()) if self._tasks else 0,
        )
        metrics.make_gauge(
            'hung_tasks',
            'Tasks that make no progress.',
            lambda: len(self._tasks.list_hung()) if self._tasks else 0,
        )
        metrics.make_gauge(
            'slow_servers',
            'Servers found slow that have not recovered.',
            self._server_paces.count_slow,
        )

        if self._departures is not None:
            metrics.make_gauge(
                'domain_away_share',
                'Largest share of a service that is to leave the domain.',
                self._departures.shares.get_max_away_share,
            )

    def _handle_stall(self, seconds: float) -> None:
        """Makes up for datagrams that a long stall has let the kernel drop."""
        if seconds >= LOST_DATAGRAMS_STALL_SECONDS:
            self._transfer.request_again()

    async def _serve_callers(self, mirror: mirrors.StoreMirror) -> None:
        """Serves callers once the first configuration is loaded or late.

        While the other gateways keep sessions on an old version, this one
        asks for them first.
        """
        caller_socket, self._caller_socket = self._caller_socket, None
        if caller_socket is None and not self._is_stopping:
            caller_socket = listening.bind_socket(
                *self._options.caller_address
            )
        if caller_socket is not None:
            with anyio.move_on_after(FIRST_CONFIG_TIMEOUT_SECONDS):
                await mirror.has_loaded.wait()
                if self.moves.is_in_first_stage:
                    await self._transfer.has_asked.wait()
            await self.caller_listener.serve_socket(caller_socket)
        if self._is_stopping:
            await anyio.sleep_forever()

    async def _serve_relay(self, mirror: mirrors.StoreMirror) -> None:
        relay = relays.RelayServer(
            mirror, self.config_freshness, lambda: self._is_stopping
        )

        async def handle(raw, reply) -> None:
            if raw.target == state_transfer.PATH:
                await self._transfer.handle(raw, reply)
            else:
                await relay.handle(raw, reply)

        listener = caller_connections.Listener(handle)
        await listener.serve(*self._options.peer_address)

    async def _serve_readiness(self) -> None:
        async def handle(raw, reply) -> None:
            is_ready = self.is_ready
            state = {
                'ready': is_ready,
                'failing_tasks': self._tasks.list_failing(),
                'hung_tasks': self._tasks.list_hung(),
                'recent_errors': containment.list_recent_errors(),
            }
            await reply.send_response(
                200 if is_ready else 503,
                [(b'content-type', b'application/json')],
                json.dumps(state).encode(),
            )

        listener = caller_connections.Listener(handle)
        await listener.serve(*self._options.readiness_address)

    async def _serve_metrics(self) -> None:
        async def handle(raw, reply) -> None:
            body, kind = metrics.render_metrics()
            await reply.send_response(
                200, [(b'content-type', kind.encode())], body
            )

        listener = caller_connections.Listener(handle)
        await listener.serve(*self._options.metrics_address)

    async def _run_maintenance(self) -> None:
        """Runs periodic maintenance until cancelled.

        Releases the state of removed backend servers, closes expired
        connections, updates this gateway's part of the retry allowance and
        reloads changed settings.
        """
        while True:
            containment.expect_progress()
            await anyio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            with containment.contain('release of removed servers'):
                await self._release_removed_servers()
            with containment.contain('release of connections'):
                await self._pool.close_expired()
            self.members.remove_lapsed()
            # The settings file may also change without a SIGHUP.
            with containment.contain('reload'):
                self._reload()
            try:
                self.memory_guard.account.check()
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
            self._chooser.set_retry_limits(*self._compute_retry_limits())

    async def _release_removed_servers(self) -> None:
        for backend in self.backends.remove_expired():
            self._removed_instances.append(backend.instance)
        removed, self._removed_instances = self._removed_instances, []
        for instance in removed:
            self._prefix_cache_index.remove_server(instance)
            self._server_paces.remove(instance)
            await self._pool.close_instance(instance)

    async def _handle_signals(self, scope: anyio.CancelScope) -> None:
        try:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    with containment.contain('reload'):
                        self._reload()
                with containment.contain('shutdown'):
                    await self._shut_down()
                scope.cancel()
                # The supervisor must not take the stop for a failure.
                await anyio.sleep_forever()
        finally:
            # The receiver restores the default, which ends the process.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _reload(self) -> None:
        """Applies options that have changed."""
        try:
            options = self._read_options()
        except errors.SettingError as exc:
            logs.LOG.error(
                'changed settings are not valid, keeping previous ones: %s',
                exc,
                extra={'fields': {'event': 'reload'}},
            )
            return
        if options is None:
            return
        self._options = options
        self.memory_guard.set_memory(options.memory_bytes)
        self.config_freshness.max_age_seconds = options.max_config_age_seconds
        self._chooser.set_retry_limits(*self._compute_retry_limits())
        logs.LOG.info(
            'settings reloaded; changed addresses apply after a restart',
            extra={'fields': {'event': 'reload'}},
        )

    async def _shut_down(self) -> None:
        """Shuts down gracefully within the grace period.

        The gateway reports that it is not ready, closes idle connections and
        waits for the requests in progress. Those that are left near the end
        of the grace period get a final response.
        """
        grace = self._options.grace_period_seconds
        now = clock.now()
        drain_until = now + min(
            READINESS_DRAIN_SECONDS, READINESS_DRAIN_SHARE * grace
        )
        admit_until = now + min(ADMISSION_SECONDS, ADMISSION_SHARE * grace)
        reserve = min(EXIT_RESERVE_SECONDS, EXIT_RESERVE_SHARE * grace)
        stop_at = now + grace - reserve
        self._is_stopping = True
        self.caller_listener.is_closing = True
        self._forwarder.schedule_stop(admit_until, stop_at)
        cut_at = stop_at + FINAL_RESPONSE_SHARE * reserve
        self.caller_listener.schedule_cut(cut_at)
        logs.LOG.info(
            'stopping with %d requests in progress',
            self.caller_listener.active_requests,
            extra={'fields': {'event': 'stopping'}},
        )
        with anyio.move_on_at(cut_at):
            await anyio.sleep(clock.remaining(drain_until))
            with containment.contain('stop'):
                self.caller_listener.close_idle()
            # A load balancer without another gateway may send callers on and
            # on. Whoever connects from now on is refused and goes to another
            # gateway, while there is time to answer those accepted before.
            with containment.contain('stop'):
                self.caller_listener.stop_accepting()
            # Requests that are read meanwhile are waited for, too.
            await self._leave()
            await self._wait_for_requests()

    async def _leave(self) -> None:
        """Leaves the membership list, unless that takes too long."""
        with (
            containment.contain('stop'),
            anyio.move_on_after(LEAVE_TIMEOUT_SECONDS),
        ):
            await self.members.leave()

    async def _wait_for_requests(self) -> None:
        """Waits until no request is in progress or being sent.

        Connections that were accepted, or closed as idle, just now show only
        after a while whether they bring a request.
        """
        is_busy = True
        while is_busy:
            await anyio.sleep(REQUEST_POLL_SECONDS)
            is_busy = (
                self.caller_listener.active_requests
                or self.caller_listener.has_unread_requests()
            )
