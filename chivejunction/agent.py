"""chivejunction-agent: admits and executes requests at a backend server."""

import contextlib
import signal
import time
from typing import Annotated
from typing import Literal
import uuid

import anyio
import pydantic
from starlette import responses
from starlette import routing as web_routing

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import loop_monitor
from chivejunction import metrics
from chivejunction import settings
from chivejunction.coordination import admission
from chivejunction.coordination import billing
from chivejunction.coordination import config_sync
from chivejunction.coordination import configuration
from chivejunction.coordination import draining
from chivejunction.coordination import execution
from chivejunction.coordination import load_reports
from chivejunction.coordination import operators
from chivejunction.coordination import orders
from chivejunction.coordination import peers
from chivejunction.coordination import placement
from chivejunction.coordination import store_reader
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.state import attempts
from chivejunction.state import ledger
from chivejunction.state import views
from chivejunction.state import windows
from chivejunction.transport import exchanges
from chivejunction.transport import host_list
from chivejunction.transport import http_client
from chivejunction.transport import http_server
from chivejunction.transport import links
from chivejunction.transport import listening
from chivejunction.transport import store_client
from chivejunction.transport import traffic

HELP = """Admits and executes requests at one backend server.

Example:
    chivejunction-agent --host gpu-1 --failure-domain bkk-a --pool lm-pool
    --data-port 9000 --admin-port 9001 --server-url http://127.0.0.1:9100
    --hosts-url http://127.0.0.1:2400 --versions small-1
"""


Seconds = Annotated[float, pydantic.Field(gt=0)]

# Time limit at exit for the gateways to save the remaining usage records.
USAGE_SAVE_TIMEOUT_SECONDS = 20.0


class AgentSettings(settings.DaemonSettings):
    """Settings of chivejunction-agent."""

    pool: settings.HostName = pydantic.Field(
        description='Pool of the backend server.'
    )
    kind: Literal['engine', 'service'] = pydantic.Field(
        'engine', description='Whether the server is a model engine.'
    )
    data_port: settings.Port = pydantic.Field(
        description='TCP port on which gateways send requests.'
    )
    admin_port: settings.Port = pydantic.Field(
        description='TCP port of metrics and health.'
    )
    server_url: settings.Url = pydantic.Field(
        description='URL of the engine or plain service.'
    )
    order_versions: bool = pydantic.Field(
        False,
        description='Whether the agent orders its engine to load and unload '
        'versions; needs the URL of the store.',
    )
    store_url: Literal[''] | settings.Url = pydantic.Field(
        '',
        description="URL of the platform's key-value store, read when no "
        'gateway has a fresh configuration; empty for never.',
        validate_default=True,
    )
    versions: str = pydantic.Field(
        '', description='Model versions loaded at the start, comma-separated.'
    )
    load_seconds: Seconds = pydantic.Field(
        0.5, description="Seconds between two reads of the engine's load."
    )
    first_token_target: Seconds = pydantic.Field(
        1.6,
        description='Longest time to first token, in seconds, with which '
        'the concurrency window grows.',
    )
    first_token_seconds: Seconds = pydantic.Field(
        30.0,
        description='Silence in seconds before the first token after which '
        'a stream is given up.',
    )
    next_token_seconds: Seconds = pydantic.Field(
        10.0,
        description='Silence in seconds within an answer after which it is '
        'given up.',
    )
    answer_seconds: Seconds = pydantic.Field(
        120.0,
        description='Silence in seconds before an answer that is not '
        'streamed after which it is given up.',
    )
    gateway_gone_seconds: Seconds = pydantic.Field(
        10.0,
        description='Seconds after which idempotent attempts of a gateway '
        'that is gone are cancelled.',
    )
    buffer_bytes: int = pydantic.Field(
        attempts.BUFFER_BYTES,
        ge=1024,
        description='Bytes of answers kept for gateways that reconnect.',
    )
    leaving_seconds: Seconds = pydantic.Field(
        2.0,
        description='Seconds in which a leaving server still starts '
        'attempts that waited already.',
    )
    max_drain_seconds: Seconds = pydantic.Field(
        60.0, description='Longest time in seconds from SIGTERM to exit.'
    )

    @pydantic.field_validator('store_url')
    @classmethod
    def check_store_url(cls, url: str, info: pydantic.ValidationInfo) -> str:
        """Rejects order_versions without a store, which holds the leases."""
        if info.data.get('order_versions') and not url:
            raise ValueError('must be set with --order-versions')
        return url


class Agent:
    """Creates the components of an agent and runs them.

    Args:
        config: Validated settings.
    """

    def __init__(self, config: AgentSettings):
        self.config = config
        self.incarnation = uuid.uuid4().hex
        self.codec = codecs.CODECS.get(config.codec)
        self.view = views.ConfigView()
        self.http_client = http_client.Client()
        self.host_directory = host_list.HostDirectory(
            self.http_client, config.hosts_url
        )
        self.store_reader = store_reader.StoreReader(
            self.view,
            configuration.ConfigStore(
                store_client.StoreClient(config.store_url, self.http_client)
            ),
        )
        self.config_sync = config_sync.ConfigSync(
            config_sync.Identity(
                config.host,
                'agent',
                self.incarnation,
                time.time_ns() // 1_000_000,
                config.failure_domain,
            ),
            self.view,
            self.store_reader,
            self.host_directory,
            self._make_exchange,
        )
        self.attempt_table = attempts.AttemptTable(config.buffer_bytes)
        self.window = windows.SlowStartWindow(
            config.first_token_target, self._get_window_limits
        )
        self.admission = admission.AdmissionController(
            self.view,
            config.pool,
            config.failure_domain,
            self.window,
            config.leaving_seconds,
        )
        self.admission.versions = frozenset(
            v for v in config.versions.split(',') if v
        )
        self.executor = execution.Executor(
            config.server_url,
            self.incarnation,
            self.attempt_table,
            self.admission,
            self.window,
            self.http_client,
            config.kind == 'engine',
            execution.AttemptTimeouts(
                config.first_token_seconds,
                config.next_token_seconds,
                config.answer_seconds,
                config.gateway_gone_seconds,
            ),
            self._record_usage,
        )
        self.billing = billing.AgentBilling(self.incarnation, self._get_links)
        self.version_reconciler = orders.VersionReconciler(
            store_client.StoreClient(config.store_url, self.http_client),
            orders.EngineClient(self.http_client, config.server_url),
            config.host,
            config.pool,
            self.incarnation,
            self._choose_versions,
            self._get_permits,
            self.admission.count_running,
        )
        self.load_report_poller = load_reports.LoadReportPoller(
            config.server_url,
            self.http_client,
            self.admission,
            self.window,
            config.load_seconds,
            self._send_heartbeats,
        )
        self._peers: dict[str, peers.GatewayPeer] = {}
        self._reporters: dict[str, StatusReporter] = {}

    def _record_usage(
        self, attempt: attempts.Attempt, start: messages.Start
    ) -> None:
        self.billing.add_record(
            *attempt.owner,
            ledger.UsageRecord(
                request=attempt.request,
                organisation=attempt.organisation,
                target=start.version or self.config.pool,
                prompt_tokens=attempt.usage.get('prompt_tokens', 0),
                completion_tokens=attempt.usage.get('completion_tokens', 0),
            ),
        )

    def _get_links(self) -> dict:
        return {
            (peer.gateway, peer.incarnation): peer.send
            for peer in self._peers.values()
            if not peer.closed
        }

    def _choose_versions(self) -> list[str]:
        return placement.choose_versions(
            self.view,
            self.config.pool,
            self.config.host,
            [
                entry.host
                for entry in self.host_directory.hosts.values()
                if entry.role == 'agent'
                and entry.pool == self.config.pool
                and not entry.leaving
            ],
        )

    def _get_permits(self) -> int:
        pool = self.view.pools.get(self.config.pool)
        return pool.load_permits if pool else 1

    def _get_window_limits(self) -> tuple[int, int]:
        pool = self.view.pools.get(self.config.pool)
        return (pool.cold_window, pool.warm_window) if pool else (1, 1)

    async def _receive_batches(self) -> None:
        receiver = links.Receiver(
            f'tcp://{self.config.address}:{self.config.data_port}',
            self.codec,
            lambda exc: logs.LOG.warning('dropped an invalid batch: %s', exc),
        )
        with contextlib.closing(receiver):
            async with anyio.create_task_group() as group:
                async for (
                    sender,
                    epoch,
                    sequence,
                    frames,
                ) in receiver.receive_batches():
                    # One batch must not end the attempts of all gateways.
                    with containment.contain('batch', sender=sender):
                        self._handle_batch(
                            group, sender, epoch, sequence, frames
                        )

    def _handle_batch(self, group, sender, epoch, sequence, frames) -> None:
        peer = self._peers.get(sender)
        for frame in frames:
            if isinstance(frame, messages.Hello):
                peer = self._open_peer(group, peer, frame)
        if peer is None or peer.epoch != epoch or peer.closed:
            return
        if not peer.accept_batch(sequence):
            return
        for frame in frames:
            if isinstance(frame, messages.Heartbeat):
                peer.revision = frame.revision
            elif isinstance(frame, messages.USAGE_ACK_FRAMES):
                self.billing.handle(frame)
            elif not isinstance(frame, messages.Hello):
                try:
                    self.executor.handle(group, peer, frame)
                except errors.InvariantViolation as exc:
                    metrics.count_violation(exc)

    def _open_peer(
        self, group, previous, hello: messages.Hello
    ) -> peers.GatewayPeer:
        if previous is not None:
            if previous.epoch >= hello.epoch:
                return previous
            previous.close()
        peer = peers.GatewayPeer(
            self.config.host, self.incarnation, hello, self.codec
        )
        self._peers[hello.gateway] = peer
        reporter = StatusReporter(self)
        self._reporters[hello.gateway] = reporter
        group.start_soon(self._run_peer, peer, reporter)
        self.billing.resend_unsaved_records(hello.gateway, hello.incarnation)
        return peer

    async def _run_peer(
        self, peer: peers.GatewayPeer, reporter: 'StatusReporter'
    ) -> None:
        """Runs a link; an error closes it, and the gateway opens another."""
        with containment.contain('gateway link', gateway=peer.gateway):
            await peer.run(reporter.describe, reporter.make_heartbeat)
        peer.close()

    def _announce_leaving(self) -> None:
        self.config_sync.leave()
        self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        for gateway, peer in self._peers.items():
            peer.send(self._reporters[gateway].make_heartbeat())

    async def _check_health(self, request):
        ready = self.view.is_ready and not self.admission.leaving
        return responses.JSONResponse(
            {
                'host': self.config.host,
                'ready': ready,
                'leaving': self.admission.leaving,
                'revision': self.view.revision,
                'running': self.admission.running,
                'control': traffic.CONTROL.describe(),
                'recent_errors': containment.list_recent_errors(),
            },
            200 if ready else 503,
        )

    def _make_exchange(self, address: str) -> exchanges.ExchangeClient:
        return exchanges.ExchangeClient(
            address, self.config.host, self.incarnation, self.codec
        )

    async def _render_metrics(self, request):
        content, kind = metrics.render_metrics()
        return responses.Response(content, media_type=kind)

    def _add_gauges(self) -> None:
        for name, documentation, read in (
            ('running', 'Attempts that run.', lambda: self.admission.running),
            ('queued', 'Attempts that wait.', lambda: self.admission.queued),
            (
                'window',
                'Attempts that may run.',
                lambda: self.admission.window,
            ),
            (
                'window_resets',
                'Times that slow start began again.',
                lambda: self.window.reset_count,
            ),
            (
                'buffered_bytes',
                'Bytes of answers that are kept.',
                lambda: self.attempt_table.buffered_bytes,
            ),
            (
                'config_revision',
                'Applied configuration revision.',
                lambda: self.view.revision,
            ),
        ):
            metrics.make_gauge(f'chivejunction_{name}', documentation, read)

    async def run(self) -> bool:
        """Serves until a termination signal, then drains.

        Returns:
            Whether all attempts and responses were completed.
        """
        self._add_gauges()
        admin_app = operators.make_app(
            [
                web_routing.Route('/healthz', self._check_health),
                web_routing.Route('/metrics', self._render_metrics),
            ]
        )
        admin_socket = listening.bind_socket(
            self.config.address, self.config.admin_port
        )
        drain = draining.Drain(
            self.admission,
            self.executor,
            self._announce_leaving,
            self.config.max_drain_seconds,
        )
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with anyio.create_task_group() as group:
                tasks = containment.Supervisor(group)
                monitor = loop_monitor.LoopMonitor(tasks)
                tasks.start('loop monitor', monitor.run)
                metrics.make_gauge(
                    'chivejunction_hung_tasks',
                    'Tasks that make no progress.',
                    lambda: len(tasks.list_hung()),
                )
                tasks.start('batches', self._receive_batches)
                tasks.start('admission', self.admission.run)
                tasks.start('attempts', self.executor.run)
                if self.config.kind == 'engine':
                    tasks.start('load reports', self.load_report_poller.run)
                tasks.start('billing', self.billing.run)
                if self.config.order_versions:
                    tasks.start('versions', self.version_reconciler.run)
                tasks.start('host list', self.host_directory.run)
                tasks.start('configuration', self.config_sync.run)
                if self.config.store_url:
                    tasks.start(
                        'store',
                        self.store_reader.run,
                        clock.jitter(2 * store_reader.READ_DELAY_SECONDS, 0.5),
                    )
                tasks.start(
                    'operators',
                    http_server.serve_address,
                    admin_app,
                    self.config.address,
                    self.config.admin_port,
                    [admin_socket],
                )
                is_drained = await drain.run(signals)
                await self._wait_for_saved_usage()
                group.cancel_scope.cancel()
        return is_drained

    async def _wait_for_saved_usage(self) -> None:
        with anyio.move_on_after(USAGE_SAVE_TIMEOUT_SECONDS):
            while self.billing.ledger.count_records():
                await anyio.sleep(0.1)
            return
        logs.LOG.warning(
            'exiting with %d usage records that no gateway has saved',
            self.billing.ledger.count_records(),
        )


class StatusReporter:
    """Reports the state of the server to one gateway over one link.

    The welcome contains the loaded versions. A heartbeat contains them only
    after a change, since heartbeats are most of the idle traffic.

    Args:
        agent: The agent.
    """

    def __init__(self, agent: Agent):
        self._agent = agent
        self._versions: frozenset[str] = frozenset()

    def describe(self) -> dict:
        """Returns the description of the server for the welcome message."""
        config = self._agent.config
        self._versions = self._agent.admission.versions
        return {
            'host': config.host,
            'failure_domain': config.failure_domain,
            'pool': config.pool,
            'versions': sorted(self._versions),
        }

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns a heartbeat with the current load and revision."""
        load = self._agent.admission.load()
        if self._agent.admission.versions != self._versions:
            self._versions = self._agent.admission.versions
            load['v'] = sorted(self._versions)
        return messages.Heartbeat(self._agent.view.revision, load)


def run(config: AgentSettings) -> None:
    """Runs an agent with validated settings.

    Exits with status 1 if attempts were aborted by the drain time limit or a
    second signal.
    """
    logs.configure_logs(config.host, config.log_level)

    async def start() -> bool:
        return await Agent(config).run()

    if not anyio.run(start, backend_options={'use_uvloop': True}):
        raise SystemExit(1)


def main() -> None:
    """Runs the program."""
    settings.run_program(AgentSettings, run, HELP)


if __name__ == '__main__':
    main()
