"""Test rig: a forwarding gateway with scripted backend servers.

All of them run in the event loop of the test. A script is a coroutine
function that receives a ``ReceivedRequest`` and the TCP stream, and writes the
response byte by byte. It returns False to close the connection.
"""

import contextlib
import functools
import json

import anyio
from anyio import abc
import h11

from chivejunction.coordination import forward_gateway
from chivejunction.platform import configuration
from chivejunction.platform import headers as platform_headers
from chivejunction.state import backends
from chivejunction.state import freshness
from chivejunction.transport import sockets
from tests import stores

SEAL = 'seal-1'
# Time that a crashed server needs to serve again.
RESTART_SECONDS = 0.4


def run_async(test):
    """Runs an asynchronous test method in anyio, at most 20 seconds."""

    @functools.wraps(test)
    def run(*args, **fixtures):
        async def limited():
            with anyio.fail_after(20):
                await test(*args, **fixtures)

        anyio.run(limited)

    return run


def make_route(name, prefix, kind='idempotent', **fields):
    """Returns a route as in the configuration of the platform."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'kind': kind,
        'service': 'desk',
        'timeout_ms': 3000,
        'target_latency_ms': 400,
        'max_attempts': 3,
        **fields,
    }


def make_config(version=1, routes=None, **fields):
    """Returns a configuration document as the platform stores it."""
    streaming = {
        'kind': 'streaming',
        'service': 'pool',
        'can_resume': True,
        'gap_target_ms': 400,
        'sticky': True,
    }
    return {
        'version': version,
        'routes': routes
        or [
            make_route('safe', '/safe/'),
            make_route('once', '/once/', 'non_idempotent', max_attempts=1),
            make_route('stream', '/stream/', **streaming),
            make_route(
                'tiers', '/tiers/', **streaming, model_tiers=['small', 'large']
            ),
        ],
        'services': [
            {'name': 'desk', 'max_conns': 100},
            {'name': 'pool', 'max_conns': 100, 'engine': {'kv_tokens': 9000}},
        ],
        'tenants': [{'name': 'temple', 'api_keys': ['key-1']}],
        **fields,
    }


class ReceivedRequest:
    """A request as a scripted server received it.

    Attributes:
        connection: Number of the connection that it arrived on, from 1.
    """

    def __init__(self, request: h11.Request, body: bytes, number: int):
        self.method = request.method.decode()
        self.target = request.target.decode()
        self.headers = {k.decode(): v.decode() for k, v in request.headers}
        self.body = body
        self.connection = number

    @property
    def id(self) -> str:
        """Value of the Request-Id header."""
        return self.headers.get('request-id', '')


class Server:
    """Backend server whose responses a script writes byte by byte.

    Attributes:
        received_requests: Requests received so far, without probes.
        closed: Numbers of the connections that were closed.
        port: TCP port; 0 until the server runs.
        crashes: Number of calls of ``crash``.

    Args:
        script: Script that writes the responses.
    """

    def __init__(self, script):
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.closed: list[int] = []
        self.port = 0
        self.crashes = 0
        self._connections = 0
        self._scope = anyio.CancelScope()

    async def run(self, *, task_status):
        """Serves until cancelled, again after each crash."""
        status = task_status
        while True:
            listener = await anyio.create_tcp_listener(
                local_host='127.0.0.1', local_port=self.port
            )
            self.port = listener.extra(abc.SocketAttribute.local_port)
            if status is not None:
                status.started()
                status = None
            with anyio.CancelScope() as self._scope:
                await listener.serve(self._serve)
            with anyio.CancelScope(shield=True):
                await listener.aclose()
            if not self._scope.cancel_called:
                return
            await anyio.sleep(RESTART_SECONDS)

    def crash(self):
        """Ends all connections and refuses new ones for a while."""
        self.crashes += 1
        self._scope.cancel()

    async def _serve(self, stream):
        self._connections += 1
        number = self._connections
        with contextlib.suppress(*sockets.DISCONNECT_ERRORS):
            async with stream:
                await self._handle_requests(stream, number)
        self.closed.append(number)

    async def _handle_requests(self, stream, number):
        conn = h11.Connection(h11.SERVER)
        while True:
            request, body = None, b''
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    try:
                        conn.receive_data(await stream.receive())
                    except anyio.EndOfStream:
                        return
                elif isinstance(event, h11.Request):
                    request = event
                    if self.script is respond_early:
                        break
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    break
            received = ReceivedRequest(request, body, number)
            if received.target == '/v1/report':
                # A liveness probe of the gateway.
                await stream.send(encode_response(received, b'{}', seal=''))
                return
            self.received_requests.append(received)
            if await self.script(received, stream) is False:
                return
            conn = h11.Connection(h11.SERVER)


def encode_response(request, body=b'ok', status=200, seal=SEAL, **headers):
    """Returns the bytes of a response that is not streamed.

    Args:
        request: Request that the response belongs to.
        body: Body of the response.
        status: HTTP status.
        seal: Value of the Response-Seal header; empty to omit it.
        **headers: Further headers, with underscores for hyphens.
    """
    lines = [f'HTTP/1.1 {status} X', f'Request-Id: {request.id}']
    if seal:
        lines.append(f'Response-Seal: {seal}')
    lines.extend(f'{k.replace("_", "-")}: {v}' for k, v in headers.items())
    if 'Content_Length' not in headers:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def encode_stream_head(request, **headers):
    """Returns the bytes of the head of a chunked event stream."""
    lines = [
        'HTTP/1.1 200 OK',
        f'Request-Id: {request.id}',
        f'Response-Seal: {SEAL}',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        *(f'{k}: {v}' for k, v in headers.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def encode_event(number):
    """Returns the bytes of an event in a chunk of its own."""
    return encode_chunk(f'id: {number}\ndata: w{number}\n\n'.encode())


def encode_chunk(data):
    """Returns the bytes of a chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


END = b'0\r\n\r\n'


async def respond_ok(request, stream):
    """Responds with ``ok``."""
    await stream.send(encode_response(request))


async def respond_early(request, stream):
    """Responds before the body was read, and leaves the body unread."""
    await stream.send(encode_response(request, b'early', 500))
    await anyio.sleep(5)
    return False


def make_event_stream(count, last=None, confidence=None, pause=0.0):
    """Returns a script that streams events after the requested one.

    Args:
        count: Number of events of the whole stream.
        last: Event after which the connection is closed; None to complete
            the stream.
        confidence: Value of the Confidence header; None to omit it.
        pause: Seconds after each event.
    """

    async def script(request, stream):
        first = int(request.headers.get('last-event-id', '0')) + 1
        headers = {} if confidence is None else {'Confidence': confidence}
        await stream.send(encode_stream_head(request, **headers))
        for number in range(first, (last or count) + 1):
            await stream.send(encode_event(number))
            await anyio.sleep(pause)
        if last:
            return False
        await stream.send(END)
        return True

    return script


class Rig:
    """A gateway with scripted backend servers.

    Attributes:
        gateway: The gateway.
        port: Port for callers; 0 until the gateway serves.

    Args:
        group: Task group that runs the gateway and the servers.
        config: Configuration document; None for the default one, False for
            a gateway without configuration.
        features: Optional features of the gateway.
    """

    def __init__(self, group, config=None, features=frozenset()):
        self._group = group
        self.gateway = forward_gateway.ForwardGateway(
            forward_gateway.GatewayOptions(
                name='gw-1',
                region='bkk',
                caller_address=('127.0.0.1', 0),
                readiness_address=('127.0.0.1', 0),
                metrics_address=('127.0.0.1', 0),
                peer_address=('127.0.0.1', 0),
                max_config_age_seconds=4.5,
                grace_period_seconds=8,
                retry_share=0.7,
                retry_allowance=80,
                retry_window_seconds=10,
                features=features,
            ),
            stores.MemoryStore(),
            None,
            platform_headers.PlatformFormat(),
            configuration.encode_move_status,
        )
        if config is not False:
            self.set_config(config or make_config())
        self.mark_config_fresh()
        self.port = 0

    def mark_config_fresh(self):
        """Marks the configuration as up to date now."""
        self.gateway.config_freshness.confirm(freshness.read_boot_clock())

    async def keep_config_fresh(self):
        """Marks the configuration as up to date until cancelled."""
        while True:
            self.mark_config_fresh()
            await anyio.sleep(0.5)

    def set_config(self, config):
        """Loads a configuration document into the gateway."""
        table = configuration.decode_route_table(json.dumps(config).encode())
        self.gateway.set_route_table(table)

    async def add_server(
        self, script, service='desk', instance=None, **fields
    ):
        """Starts a backend server and registers it with the gateway."""
        server = Server(script)
        await self._group.start(server.run)
        self.register_server(
            server, service, instance or f'i-{server.port}', **fields
        )
        return server

    def register_server(self, server, service, instance, **fields):
        """Registers a backend server as an entry of the store does."""
        values = {
            'failure_domain': 'bkk-a',
            'region': 'bkk',
            'version': 'v1',
            'slots': 8,
            **fields,
        }
        self.gateway.update_backend(
            backends.Backend(
                instance=instance,
                service=service,
                address='127.0.0.1',
                port=server.port,
                **values,
            )
        )

    async def serve(self):
        """Starts to serve callers, on a free port."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        self.port = listener.extra(abc.SocketAttribute.local_port)
        caller_listener = self.gateway.caller_listener
        self._group.start_soon(listener.serve, caller_listener.serve_stream)
        self._group.start_soon(self.gateway.prompt_guard.run)

    async def call(self, target, body=b'', **headers):
        """Sends a request on a new connection; returns the response."""
        async with await self.connect() as stream:
            return await self.exchange(stream, target, body, **headers)

    async def connect(self):
        """Opens a caller's connection to the gateway."""
        return await anyio.connect_tcp('127.0.0.1', self.port)

    @staticmethod
    def write_request(target, body=b'', **headers):
        """Returns the bytes of a request."""
        values = {
            'Host': 'shop.example',
            'Request-Id': 'r-1',
            'X-Api-Key': 'key-1',
            'Deadline-Ms': '3000',
            **{k.replace('_', '-'): v for k, v in headers.items()},
        }
        if body:
            values['Content-Length'] = str(len(body))
        lines = [f'{"POST" if body else "GET"} {target} HTTP/1.1']
        lines.extend(f'{k}: {v}' for k, v in values.items() if v is not None)
        return '\r\n'.join([*lines, '', '']).encode() + body

    async def exchange(self, stream, target, body=b'', **headers):
        """Sends a request on a connection; returns the response."""
        await stream.send(self.write_request(target, body, **headers))
        return await read_response(stream)


class CallerResponse:
    """A response as a caller received it.

    Attributes:
        status: HTTP status; 0 if the connection ended before the head.
        headers: Headers by name.
        body: Bytes of the body received.
        is_complete: Whether the response was complete.
    """

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = {k.decode(): v.decode() for k, v in headers}
        self.body = body
        self.is_complete = is_complete


async def read_response(stream) -> CallerResponse:
    """Reads a response up to its end or the end of the connection."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    conn.send(h11.EndOfMessage())
    status, headers, body = 0, [], b''
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            try:
                conn.receive_data(await stream.receive())
            except sockets.DISCONNECT_ERRORS:
                return CallerResponse(status, headers, body, False)
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, list(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return CallerResponse(status, headers, body, True)


@contextlib.asynccontextmanager
async def start(config=None, features=frozenset()):
    """Yields a rig whose gateway serves callers."""
    async with anyio.create_task_group() as group:
        rig = Rig(group, config, features)
        await rig.serve()
        yield rig
        group.cancel_scope.cancel()
