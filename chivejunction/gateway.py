"""chivejunction-gateway: serves callers and operators on an entry host."""

import contextlib
import signal
import time
from typing import Literal
import uuid

import anyio
import pydantic
from starlette import responses
from starlette import routing as web_routing

from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import loop_monitor
from chivejunction import metrics
from chivejunction import settings
from chivejunction.coordination import agent_links
from chivejunction.coordination import billing
from chivejunction.coordination import caller_api
from chivejunction.coordination import cascades
from chivejunction.coordination import config_sync
from chivejunction.coordination import configuration
from chivejunction.coordination import dispatch
from chivejunction.coordination import idempotency
from chivejunction.coordination import operators
from chivejunction.coordination import peers
from chivejunction.coordination import pins
from chivejunction.coordination import rate_limits
from chivejunction.coordination import ratings
from chivejunction.coordination import rollouts
from chivejunction.coordination import routing
from chivejunction.coordination import selection
from chivejunction.coordination import store_reader
from chivejunction.coordination import usage_api
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.state import estimates
from chivejunction.state import members
from chivejunction.state import servers
from chivejunction.state import sessions
from chivejunction.state import views
from chivejunction.transport import exchanges
from chivejunction.transport import host_list
from chivejunction.transport import http_client
from chivejunction.transport import http_server
from chivejunction.transport import links
from chivejunction.transport import listening
from chivejunction.transport import store_client
from chivejunction.transport import traffic

HELP = """Serves callers and operators on an entry host.

Example:
    chivejunction-gateway --host entry-1 --failure-domain bkk-a
    --listen-port 8000 --admin-port 8001 --data-port 8002
    --control-port 8003 --store-url http://127.0.0.1:2379
    --hosts-url http://127.0.0.1:2400 --operator-token secret
"""

# Time limit at exit to save usage records. Agents hand over the remaining ones
# to another gateway.
USAGE_SAVE_TIMEOUT_SECONDS = 10.0
# Length of the queue of handovers to save. Further ones are dropped, and the
# agents send them again.
MAX_QUEUED_HANDOVERS = 1000


class GatewaySettings(settings.DaemonSettings):
    """Settings of chivejunction-gateway."""

    listen_port: settings.Port = pydantic.Field(
        description="TCP port of the callers' API."
    )
    admin_port: settings.Port = pydantic.Field(
        description="TCP port of the operators' API, metrics and health."
    )
    data_port: settings.Port = pydantic.Field(
        description='TCP port on which agents send answers.'
    )
    data_address: str = pydantic.Field(
        '',
        description='Address that agents dial to send answers, '
        'tcp://ip:port; the own address and data port by default.',
    )
    control_port: settings.Port = pydantic.Field(
        description='TCP port of the control exchange.'
    )
    store_url: settings.Url = pydantic.Field(
        description="URL of the platform's key-value store."
    )
    ratings_url: str = pydantic.Field(
        '', description="URL of the platform's rating service."
    )
    session_key: str = pydantic.Field(
        '',
        description='Key of session tokens, the same at all gateways; '
        "derived from the operators' credential by default.",
        json_schema_extra=settings.SECRET,
    )
    previous_session_key: str = pydantic.Field(
        '',
        description='Key whose session tokens are accepted too.',
        json_schema_extra=settings.SECRET,
    )
    check_cost: float = pydantic.Field(
        0.0, description='Cost of one rating in cost units.', ge=0
    )
    operator_token: str = pydantic.Field(
        description='Credential of the operators.',
        min_length=6,
        json_schema_extra=settings.SECRET,
    )
    max_links: int = pydantic.Field(
        90,
        ge=1,
        description='Agents above which only a subset of each pool is linked.',
    )
    server_policy: Literal[
        'affinity', 'round_robin', 'random', 'two_choices'
    ] = pydantic.Field(
        'affinity', description='Policy that chooses backend servers.'
    )


class Gateway:
    """Creates the components of a gateway and runs them.

    Args:
        config: Validated settings.
    """

    def __init__(self, config: GatewaySettings):
        self.config = config
        self.incarnation = uuid.uuid4().hex
        self.codec = codecs.CODECS.get(config.codec)
        self.view = views.ConfigView()
        self.server_table = servers.ServerTable()
        self.http_client = http_client.Client()
        store = store_client.StoreClient(config.store_url, self.http_client)
        self.store = store
        self._handover_sender, self._handover_receiver = (
            anyio.create_memory_object_stream(MAX_QUEUED_HANDOVERS)
        )
        self.config_store = configuration.ConfigStore(store, self.view)
        self.host_directory = host_list.HostDirectory(
            self.http_client, config.hosts_url
        )
        started_at_ms = time.time_ns() // 1_000_000
        self.member_table = members.MemberTable(config.host, started_at_ms)
        self.store_reader = store_reader.StoreReader(
            self.view,
            self.config_store,
            lambda: self.config_sync.is_watcher(),
        )
        self.rate_limiter = rate_limits.RateLimiter(
            self.view,
            config.host,
            started_at_ms,
            lambda: self.agent_links.gateway_count,
        )
        self.config_sync = config_sync.ConfigSync(
            config_sync.Identity(
                config.host,
                'gateway',
                self.incarnation,
                started_at_ms,
                config.failure_domain,
            ),
            self.view,
            self.store_reader,
            self.host_directory,
            lambda address: exchanges.ExchangeClient(
                address, config.host, self.incarnation, self.codec
            ),
            self.member_table,
            self.rate_limiter,
        )
        self.agent_links = agent_links.AgentLinks(
            config.host,
            self.server_table,
            self.host_directory,
            self._make_peer,
            self.member_table.is_leaving,
            config.max_links,
        )
        self.billing = billing.GatewayBilling(
            config.host, self.incarnation, store, self.view
        )
        self.dispatcher = dispatch.Dispatcher(
            selection.Selector(
                self.server_table,
                self.view,
                config.failure_domain,
                config.server_policy,
            ),
            self.agent_links.peers,
            self.view,
            idempotency.KeyStore(store, config.host),
            self.billing.ledger.mark_multiple_attempts,
        )
        self.quality_estimates = estimates.QualityEstimates()
        self.cost_estimates = estimates.CostEstimates()
        self.rating_client = ratings.RatingClient(
            config.ratings_url,
            self.http_client,
            ratings.RatingTracker(self.quality_estimates),
            self.quality_estimates,
            self.view,
            config.check_cost,
        )
        self.rollout_table = rollouts.RolloutTable(
            self.view,
            on_halt=lambda name: self.router.clear_cached_plans(),
            count_gateways=lambda: self.agent_links.gateway_count,
        )
        self.rating_client.tracker.add_observer(self.rollout_table.add_rating)
        self.rollout_reconciler = rollouts.RolloutReconciler(
            self.view,
            self.rollout_table,
            rollouts.RolloutControl(self.config_store),
            needs_ratings=bool(config.ratings_url),
        )
        self.shared_pins = pins.SharedPins(
            sessions.PinTable(), self.rollout_table, store
        )
        self.session_manager = pins.SessionManager(
            sessions.TokenSigner(
                config.session_key
                or sessions.derive_key(config.operator_token),
                config.previous_session_key,
            ),
            self.shared_pins,
        )
        self.router = routing.Router(
            self.view,
            self.quality_estimates,
            self.cost_estimates,
            self.rollout_table,
            self.rating_client,
        )
        self.cascade_runner = cascades.CascadeRunner(
            self.dispatcher,
            self.view,
            self.rating_client,
            self.quality_estimates,
            self.cost_estimates,
            on_step=self.rollout_table.add_step,
            make_headers=self.session_manager.make_headers,
        )
        self.caller_api = caller_api.CallerApi(
            self.view,
            self.router,
            self.dispatcher,
            self.rate_limiter,
            self.cascade_runner,
            self.session_manager,
        )
        self.operators_api = operators.OperatorsApi(
            self.view,
            self.config_store,
            self.member_table,
            config.operator_token,
        )
        self.stop_event = anyio.Event()

    def _make_peer(
        self, server: servers.Server, address: str
    ) -> peers.AgentPeer:
        return peers.AgentPeer(
            gateway=self.config.host,
            incarnation=self.incarnation,
            reply_address=self.config.data_address
            or f'tcp://{self.config.address}:{self.config.data_port}',
            server=server,
            address=address,
            codec=self.codec,
            get_revision=lambda: self.view.revision,
            on_welcome=lambda peer, frame: None,
            on_heartbeat=lambda peer, frame: None,
            on_usage=self._receive_usage,
        )

    def _receive_usage(
        self, peer: peers.AgentPeer, frame: messages.Frame
    ) -> None:
        if isinstance(frame, messages.Handover):
            with contextlib.suppress(anyio.WouldBlock):
                self._handover_sender.send_nowait((peer, frame))
            return
        try:
            self.billing.receive(frame, peer.send)
        except errors.ProtocolError as exc:
            logs.LOG.warning(
                'dropped an invalid usage message from %s: %s', peer.name, exc
            )

    async def _save_handovers(self) -> None:
        async for peer, frame in self._handover_receiver:
            try:
                number = await self.billing.save_handover(frame)
                peer.send(messages.HandedOver(frame.stream, number))
            except (errors.StoreError, errors.ProtocolError) as exc:
                # The agent sends the handover again within seconds.
                logs.LOG.warning('failed to save a usage handover: %s', exc)
            except errors.LinkClosed:
                continue

    async def _render_metrics(self, request):
        content, kind = metrics.render_metrics()
        return responses.Response(content, media_type=kind)

    async def _check_health(self, request):
        ready = self.view.is_ready and not self.caller_api.leaving
        return responses.JSONResponse(
            {
                'host': self.config.host,
                'ready': ready,
                'leaving': self.caller_api.leaving,
                'revision': self.view.revision,
                'servers': sum(s.connected for s in self.server_table),
                'leaving_servers': [
                    s.host for s in self.server_table if s.leaving
                ],
                'control': traffic.CONTROL.describe(),
                'recent_errors': containment.list_recent_errors(),
            },
            200 if ready else 503,
        )

    async def _receive_batches(self) -> None:
        receiver = links.Receiver(
            f'tcp://{self.config.address}:{self.config.data_port}',
            self.codec,
            lambda exc: logs.LOG.warning('dropped an invalid batch: %s', exc),
        )
        with contextlib.closing(receiver):
            async for (
                sender,
                epoch,
                sequence,
                frames,
            ) in receiver.receive_batches():
                peer = self.agent_links.peers.get(sender)
                if peer is None:
                    continue
                # This task serves the links of all agents, so an error in
                # one batch must not end it.
                with containment.contain('batch', sender=sender):
                    try:
                        peer.receive(epoch, sequence, frames)
                    except errors.InvariantViolation as exc:
                        metrics.count_violation(exc)

    async def _serve_exchanges(self) -> None:
        server = exchanges.ExchangeServer(
            f'tcp://{self.config.address}:{self.config.control_port}',
            self.config_sync.handle_request,
            self.codec,
        )
        with contextlib.closing(server):
            await server.run()

    async def _drain_on_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                logs.LOG.info('received a termination signal, draining')
                with containment.contain('shutdown'):
                    self.config_sync.leave()
                    await self.caller_api.leave()
                    await self.billing.flush_before_exit(
                        USAGE_SAVE_TIMEOUT_SECONDS
                    )
                self.stop_event.set()
                return

    async def run(self) -> None:
        """Serves until a termination signal and the end of all requests."""
        config = self.config
        metrics.make_gauge(
            'chivejunction_config_revision',
            'Applied configuration revision.',
            lambda: self.view.revision,
        )
        admin_app = operators.make_app(
            [
                web_routing.Route('/healthz', self._check_health),
                web_routing.Route('/metrics', self._render_metrics),
                *usage_api.UsageApi(
                    self.store, self.operators_api.authenticate
                ).routes(),
                *self.operators_api.routes(),
            ]
        )
        # The callers' socket opens last: whoever can connect to it finds the
        # operators' one open.
        admin_socket = listening.bind_socket(config.address, config.admin_port)
        caller_socket = listening.bind_socket(
            config.address, config.listen_port
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._drain_on_signal)
            tasks = containment.Supervisor(group)
            monitor = loop_monitor.LoopMonitor(tasks)
            tasks.start('loop monitor', monitor.run)
            metrics.make_gauge(
                'chivejunction_hung_tasks',
                'Tasks that make no progress.',
                lambda: len(tasks.list_hung()),
            )
            tasks.start(
                'operators',
                http_server.serve_address,
                admin_app,
                self.config.address,
                self.config.admin_port,
                [admin_socket],
            )
            tasks.start('batches', self._receive_batches)
            tasks.start('exchanges', self._serve_exchanges)
            tasks.start('agent links', self.agent_links.run)
            tasks.start('billing', self.billing.run)
            tasks.start('handovers', self._save_handovers)
            tasks.start('ratings', self.rating_client.run)
            tasks.start('session pins', self.shared_pins.run)
            tasks.start('rollouts', self.rollout_reconciler.run)
            tasks.start('host list', self.host_directory.run)
            tasks.start('configuration', self.config_sync.run)
            tasks.start('store', self.store_reader.run, 0)
            tasks.start('store watch', self.store_reader.run_watcher)
            await http_server.serve(
                self.caller_api, caller_socket, self.stop_event
            )
            group.cancel_scope.cancel()


def run(config: GatewaySettings) -> None:
    """Runs a gateway with validated settings."""
    logs.configure_logs(config.host, config.log_level)

    async def start() -> None:
        await Gateway(config).run()

    try:
        anyio.run(start, backend_options={'use_uvloop': True})
    except OSError as exc:
        raise SystemExit(f'{errors.TransportError.__name__}: {exc}') from exc


def main() -> None:
    """Runs the program."""
    settings.run_program(GatewaySettings, run, HELP)


if __name__ == '__main__':
    main()
