"""A forwarding gateway and scripted servers in the test's own event loop."""

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


def run_async(test):
    """Runs an asynchronous test method by anyio."""

    @functools.wraps(test)
    def run(*args):
        async def limited():
            with anyio.fail_after(20):
                await test(*args)

        anyio.run(limited)

    return run


def make_route(name, prefix, kind='idempotent', **fields):
    """Returns a route of the platform's configuration."""
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
    """Returns a configuration document of the platform."""
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


class Seen:
    """One request as a scripted server saw it."""

    def __init__(self, request: h11.Request, body: bytes, number: int):
        self.method = request.method.decode()
        self.target = request.target.decode()
        self.headers = {k.decode(): v.decode() for k, v in request.headers}
        self.body = body
        self.connection = number

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get('request-id', '')


class Server:
    """Backend server whose answers a test writes byte by byte.

    Args:
        script: Coroutine function with the request and the stream.
    """

    def __init__(self, script):
        self.script = script
        self.seen: list[Seen] = []
        self.closed: list[int] = []
        self.port = 0
        self._connections = 0

    async def run(self, *, task_status):
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        self.port = listener.extra(abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream):
        self._connections += 1
        number = self._connections
        with contextlib.suppress(*sockets.LOST):
            async with stream:
                await self._talk(stream, number)
        self.closed.append(number)

    async def _talk(self, stream, number):
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
                    if self.script is answer_early:
                        break
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    break
            seen = Seen(request, body, number)
            if seen.target == '/v1/report':
                await stream.send(write_plain(seen, b'{}', seal=''))
                return
            self.seen.append(seen)
            if await self.script(seen, stream) is False:
                return
            conn = h11.Connection(h11.SERVER)


def write_plain(seen, body=b'ok', status=200, seal=SEAL, **headers):
    """Returns the bytes of a plain answer."""
    rows = [f'HTTP/1.1 {status} X', f'Request-Id: {seen.id}']
    if seal:
        rows.append(f'Response-Seal: {seal}')
    rows.extend(f'{k.replace("_", "-")}: {v}' for k, v in headers.items())
    if 'Content_Length' not in headers:
        rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*rows, '', '']).encode() + body


def write_head(seen, **headers):
    """Returns the head of a chunked event stream."""
    rows = [
        'HTTP/1.1 200 OK',
        f'Request-Id: {seen.id}',
        f'Response-Seal: {SEAL}',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        *(f'{k}: {v}' for k, v in headers.items()),
    ]
    return '\r\n'.join([*rows, '', '']).encode()


def write_event(number):
    """Returns one chunk with one event."""
    return write_chunk(f'id: {number}\ndata: w{number}\n\n'.encode())


def write_chunk(data):
    """Returns one chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


END = b'0\r\n\r\n'


async def answer(seen, stream):
    """Answers with ``ok``."""
    await stream.send(write_plain(seen))


async def answer_early(seen, stream):
    """Answers before the body has been read, then reads on."""
    await stream.send(write_plain(seen, b'early', 500))
    await anyio.sleep(5)
    return False


def stream_events(count, last=None, confidence=None, pause=0.0):
    """Returns a script that streams events after the one asked for."""

    async def script(seen, stream):
        first = int(seen.headers.get('last-event-id', '0')) + 1
        extra = {} if confidence is None else {'Confidence': confidence}
        await stream.send(write_head(seen, **extra))
        for number in range(first, (last or count) + 1):
            await stream.send(write_event(number))
            await anyio.sleep(pause)
        if last:
            return False
        await stream.send(END)
        return True

    return script


class Rig:
    """A gateway with its servers.

    Attributes:
        gateway: The gateway.
        port: Port for callers.
    """

    def __init__(self, group, config=None):
        self._group = group
        self.gateway = forward_gateway.ForwardGateway(
            forward_gateway.GatewayOptions(
                name='gw-1',
                region='bkk',
                front=('127.0.0.1', 0),
                ready=('127.0.0.1', 0),
                metrics=('127.0.0.1', 0),
                hints=('127.0.0.1', 0),
                key_seconds=4.5,
                grace_seconds=8,
                retry_share=0.7,
                retry_allowance=80,
                retry_window=10,
            ),
            stores.MemoryStore(),
            None,
            platform_headers.PlatformFormat(),
            configuration.write_status,
        )
        if config is not False:
            self.set_config(config or make_config())
        self.prove()
        self.port = 0

    def prove(self):
        """Notes that the configuration is the newest one."""
        self.gateway.proof.prove(freshness.read_clock())

    def set_config(self, config):
        """Puts a configuration in force."""
        table = configuration.read_table(json.dumps(config).encode())
        self.gateway.set_table(table)

    async def add(self, script, service='desk', instance=None, **fields):
        """Starts a server and lists it."""
        server = Server(script)
        await self._group.start(server.run)
        self.list_server(
            server, service, instance or f'i-{server.port}', **fields
        )
        return server

    def list_server(self, server, service, instance, **fields):
        """Lists a server as the store does."""
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
        """Opens the callers' port."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        self.port = listener.extra(abc.SocketAttribute.local_port)
        front = self.gateway.front
        self._group.start_soon(listener.serve, front.serve_stream)

    async def call(self, target, body=b'', **headers):
        """Makes a request on a connection of its own."""
        async with await self.connect() as stream:
            return await self.exchange(stream, target, body, **headers)

    async def connect(self):
        """Opens a connection to the gateway."""
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
        rows = [f'{"POST" if body else "GET"} {target} HTTP/1.1']
        rows.extend(f'{k}: {v}' for k, v in values.items() if v is not None)
        return '\r\n'.join([*rows, '', '']).encode() + body

    async def exchange(self, stream, target, body=b'', **headers):
        """Makes a request on a connection; returns the whole answer."""
        await stream.send(self.write_request(target, body, **headers))
        return await read_answer(stream)


class Answer:
    """An answer as a caller got it.

    ``is_whole`` tells whether it ended as complete.
    """

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = {k.decode(): v.decode() for k, v in headers}
        self.body = body
        self.is_whole = is_whole


async def read_answer(stream) -> Answer:
    """Reads one answer."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    conn.send(h11.EndOfMessage())
    status, headers, body = 0, [], b''
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            try:
                conn.receive_data(await stream.receive())
            except sockets.LOST:
                return Answer(status, headers, body, False)
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, list(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return Answer(status, headers, body, True)


@contextlib.asynccontextmanager
async def start(config=None):
    """Yields a rig that serves."""
    async with anyio.create_task_group() as group:
        rig = Rig(group, config)
        await rig.serve()
        yield rig
        group.cancel_scope.cancel()
