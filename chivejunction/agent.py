"""chivejunction-agent: guards one backend server."""

import signal
import time
from typing import Literal
import uuid

import anyio
import pydantic
from starlette import responses
from starlette import routing as web_routing

from chivejunction import clock
from chivejunction import logs
from chivejunction import settings
from chivejunction.coordination import admission
from chivejunction.coordination import configuration
from chivejunction.coordination import execution
from chivejunction.coordination import operators
from chivejunction.coordination import peers
from chivejunction.coordination import spread
from chivejunction.coordination import watching
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.state import attempts
from chivejunction.state import views
from chivejunction.transport import exchanges
from chivejunction.transport import host_list
from chivejunction.transport import http_client
from chivejunction.transport import http_server
from chivejunction.transport import links
from chivejunction.transport import store_client
from chivejunction.transport import traffic

HELP = """Guards one backend server.

Example:
    chivejunction-agent --host gpu-1 --failure-domain bkk-a --pool lm-pool
    --data-port 9000 --admin-port 9001 --server-url http://127.0.0.1:9100
    --hosts-url http://127.0.0.1:2400 --versions small-1
"""


class AgentSettings(settings.Settings):
    """Settings of chivejunction-agent."""

    host: settings.HostName = pydantic.Field(description='Name of this host.')
    failure_domain: settings.HostName = pydantic.Field(
        description='Failure domain of this host.'
    )
    pool: settings.HostName = pydantic.Field(
        description='Pool of the backend server.'
    )
    kind: Literal['engine', 'service'] = pydantic.Field(
        'engine', description='Whether the server is a model engine.'
    )
    address: settings.Address = pydantic.Field(
        '127.0.0.1', description='IP address to listen on.'
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
    hosts_url: settings.Url = pydantic.Field(
        description="URL of the platform's host list."
    )
    store_url: Literal[''] | settings.Url = pydantic.Field(
        '',
        description="URL of the platform's key-value store, read when no "
        'gateway has a fresh configuration; empty for never.',
    )
    versions: str = pydantic.Field(
        '', description='Model versions loaded at the start, comma-separated.'
    )
    codec: Literal['msgpack', 'cbor'] = pydantic.Field(
        'msgpack', description='Codec between gateways and agents.'
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        'info', description='Least severe level that is logged.'
    )


class Agent:
    """Wires the parts of an agent.

    Args:
        config: Validated settings.
    """

    def __init__(self, config: AgentSettings):
        self.config = config
        self.incarnation = uuid.uuid4().hex
        self.codec = codecs.CODECS.get(config.codec)
        self.view = views.ConfigView()
        self.client = http_client.Client()
        self.directory = host_list.HostDirectory(self.client, config.hosts_url)
        self.reader = watching.StoreReader(
            self.view,
            configuration.Configuration(
                store_client.StoreClient(config.store_url, self.client)
            ),
        )
        self.spread = spread.Spread(
            spread.Identity(
                config.host,
                'agent',
                self.incarnation,
                time.time_ns() // 1_000_000,
                config.failure_domain,
            ),
            self.view,
            self.reader,
            self.directory,
            self._make_exchange,
        )
        self.table = attempts.AttemptTable()
        self.gate = admission.Admission(
            self.view, config.pool, config.failure_domain
        )
        self.executor = execution.Executor(
            config.server_url,
            self.incarnation,
            self.table,
            self.gate,
            self.client,
            config.kind == 'engine',
        )
        self.versions = [v for v in config.versions.split(',') if v]
        self._peers: dict[str, peers.GatewayPeer] = {}

    def _describe(self) -> dict:
        return {
            'host': self.config.host,
            'failure_domain': self.config.failure_domain,
            'pool': self.config.pool,
            'versions': self.versions,
        }

    def _make_heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(self.view.revision, self.gate.load())

    async def _receive(self) -> None:
        receiver = links.Receiver(
            f'tcp://{self.config.address}:{self.config.data_port}',
            self.codec,
            lambda exc: logs.LOG.warning('batch dropped: %s', exc),
        )
        async with anyio.create_task_group() as group:
            async for sender, epoch, sequence, frames in receiver.batches():
                self._accept(group, sender, epoch, sequence, frames)

    def _accept(self, group, sender, epoch, sequence, frames) -> None:
        peer = self._peers.get(sender)
        for frame in frames:
            if isinstance(frame, messages.Hello):
                peer = self._open(group, peer, frame)
        if peer is None or peer.epoch != epoch or peer.closed:
            return
        if not peer.accept(sequence):
            return
        for frame in frames:
            if isinstance(frame, messages.Heartbeat):
                peer.revision = frame.revision
            elif not isinstance(frame, messages.Hello):
                self.executor.handle(group, peer, frame)

    def _open(self, group, old, hello: messages.Hello) -> peers.GatewayPeer:
        if old is not None:
            if old.epoch >= hello.epoch:
                return old
            old.close()
        peer = peers.GatewayPeer(
            self.config.host, self.incarnation, hello, self.codec
        )
        self._peers[hello.gateway] = peer
        group.start_soon(peer.run, self._describe, self._make_heartbeat)
        return peer

    async def _check_health(self, request):
        ready = self.view.is_ready and not self.gate.leaving
        return responses.JSONResponse(
            {
                'host': self.config.host,
                'ready': ready,
                'leaving': self.gate.leaving,
                'revision': self.view.revision,
                'running': self.gate.running,
                'control': traffic.CONTROL.describe(),
            },
            200 if ready else 503,
        )

    def _make_exchange(self, address: str) -> exchanges.Exchange:
        return exchanges.Exchange(
            address, self.config.host, self.incarnation, self.codec
        )

    async def _leave_on_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                logs.LOG.info('leaving')
                self.gate.leaving = True
                self.spread.leave()
                while self.gate.running or self.gate.queued:
                    await anyio.sleep(0.1)
                # Lets the links carry the last frames and the heartbeat
                # that says that the server leaves.
                await anyio.sleep(2 * peers.HEARTBEAT_SECONDS)
                return

    async def run(self) -> None:
        """Serves until a signal comes and all attempts have ended."""
        admin = operators.make_app(
            [web_routing.Route('/healthz', self._check_health)]
        )
        admin_socket = http_server.bind_socket(
            self.config.address, self.config.admin_port
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive)
            group.start_soon(self.directory.run)
            group.start_soon(self.spread.run)
            if self.config.store_url:
                group.start_soon(
                    self.reader.run,
                    clock.jitter(2 * watching.START_SECONDS, 0.5),
                )
            group.start_soon(
                http_server.serve, admin, admin_socket, anyio.Event(), 1
            )
            await self._leave_on_signal()
            group.cancel_scope.cancel()


def run(config: AgentSettings) -> None:
    """Runs an agent with validated settings."""
    logs.configure_logs(config.host, config.log_level)

    async def start() -> None:
        await Agent(config).run()

    anyio.run(start, backend_options={'use_uvloop': True})


def main() -> None:
    """Runs the program."""
    settings.run_program(AgentSettings, run, HELP)


if __name__ == '__main__':
    main()
