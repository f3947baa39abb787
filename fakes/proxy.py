"""TCP proxy on loopback that injects faults into open connections."""

import anyio
from anyio import abc
import fire
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from chivejunction import logs
from chivejunction.transport import http_server
from chivejunction.transport import listening

CHUNK_BYTES = 64 * 1024
# Interval between the pieces of a response without an end.
PIECE_INTERVAL_SECONDS = 0.005
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'


def _make_response(body: bytes, length: int | None = None) -> bytes:
    length = len(body) if length is None else length
    return _HEAD + b'Content-Length: %d\r\n\r\n%b' % (length, body)


# Responses that the proxy sends instead of those of its target: the first
# piece, and the piece that is repeated without an end; empty to close the
# connection after the first.
NONSENSE = {
    'no_http': (b'\x00\xff' * 200, b''),
    'no_json': (_make_response(b'<html>502 Bad Gateway</html>'), b''),
    'no_utf_8': (_make_response(b'{"items": "\xff\xfe"}'), b''),
    'list': (_make_response(b'[]'), b''),
    'null': (_make_response(b'null'), b''),
    'number': (_make_response(b'7'), b''),
    'other_fields': (_make_response(b'{"error": {"code": 5}}'), b''),
    'null_fields': (
        _make_response(
            b'{"items": null, "events": null, "store_revision": null,'
            b' "lease": null, "ttl_ms": null, "revision": null}'
        ),
        b'',
    ),
    'null_items': (
        _make_response(
            b'{"items": [null], "events": [null], "store_revision": 1}'
        ),
        b'',
    ),
    'deep_nesting': (_make_response(b'[' * 100_000), b''),
    'long_number': (
        _make_response(b'{"store_revision": ' + b'9' * 5000 + b'}'),
        b'',
    ),
    'longer_body': (_make_response(b'{}', 100), b''),
    'shorter_body': (_make_response(b'{"items": []}', 5), b''),
    'negative_length': (_make_response(b'{}', -1), b''),
    'endless_body': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'2000\r\n' + b' ' * 0x2000 + b'\r\n',
    ),
    'endless_head': (_HEAD, b'X-Field: ' + b'x' * 8000 + b'\r\n'),
}


class Connection:
    """A proxied connection.

    Directions are ``forward`` (from the client) and ``backward``. Bytes in a
    silenced direction are held back.

    Args:
        scope: Cancel scope of the connection.
    """

    def __init__(self, scope: anyio.CancelScope):
        self.scope = scope
        self.silenced_directions: set[str] = set()
        self.released = anyio.Event()


class Proxy:
    """Proxy that forwards connections to one target.

    Faults (``POST /faults``): ``delay`` delays each chunk by this many
    seconds, ``silence`` (``forward``, ``backward`` or ``both``) holds back
    the bytes of the currently open connections, ``release`` sends the bytes
    held back, ``cut`` closes these connections. New connections are not
    silenced. ``refuse`` closes new connections at once. ``nonsense`` names a
    response of ``NONSENSE`` that is sent instead of those of the target;
    empty for none.

    Args:
        target_port: TCP port on 127.0.0.1 of the target.
    """

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._delay = 0.0
        self._is_refusing = False
        self._nonsense = ''
        self._connections: set[Connection] = set()

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the fault switches."""
        return [routing.Route('/faults', self._set_faults, methods=['POST'])]

    async def _set_faults(self, request: requests.Request):
        self.set_faults(await request.json())
        return responses.JSONResponse({'open': len(self._connections)})

    def set_faults(self, faults: dict) -> None:
        """Sets faults, see the description of the class."""
        self._delay = faults.get('delay', self._delay)
        self._is_refusing = faults.get('refuse', self._is_refusing)
        self._nonsense = faults.get('nonsense', self._nonsense)
        direction = faults.get('silence', '')
        directions = {'both': ('forward', 'backward')}.get(
            direction, (direction,)
        )
        for connection in list(self._connections):
            connection.silenced_directions.update(filter(None, directions))
            if faults.get('release'):
                connection.silenced_directions.clear()
                connection.released.set()
                connection.released = anyio.Event()
            if faults.get('cut'):
                connection.scope.cancel()

    async def serve(self, port: int) -> None:
        """Accepts connections until cancelled.

        Args:
            port: TCP port on 127.0.0.1 to listen on.
        """
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=port
        )
        await listener.serve(self._handle_connection)

    async def _handle_connection(self, client: abc.SocketStream) -> None:
        if self._is_refusing:
            await client.aclose()
            return
        try:
            target = await anyio.connect_tcp('127.0.0.1', self._target_port)
        except OSError:
            await client.aclose()
            return
        async with client, target, anyio.create_task_group() as group:
            connection = Connection(group.cancel_scope)
            self._connections.add(connection)
            try:
                async with anyio.create_task_group() as relays:
                    relays.start_soon(
                        self._relay, connection, 'forward', client, target
                    )
                    relays.start_soon(
                        self._relay, connection, 'backward', target, client
                    )
            finally:
                self._connections.discard(connection)

    async def _relay(self, connection, direction, source, sink) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self._delay:
                    await anyio.sleep(self._delay)
                while direction in connection.silenced_directions:
                    await connection.released.wait()
                if self._nonsense and direction == 'forward':
                    await self._send_nonsense(source)
                    connection.scope.cancel()
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            if not connection.silenced_directions:
                connection.scope.cancel()

    async def _send_nonsense(self, client) -> None:
        name = self._nonsense
        first, repeated = NONSENSE[name]
        await client.send(first)
        while repeated and self._nonsense == name:
            await client.send(repeated)
            await anyio.sleep(PIECE_INTERVAL_SECONDS)


def run(port: int, control_port: int, target_port: int) -> None:
    """Runs a proxy until the process ends.

    Args:
        port: TCP port on 127.0.0.1 to listen on.
        control_port: TCP port on 127.0.0.1 of the fault switches.
        target_port: TCP port on 127.0.0.1 of the target.
    """
    logs.configure_logs(f'proxy-{port}', 'warning')

    async def start() -> None:
        proxy = Proxy(target_port)
        app = applications.Starlette(routes=proxy.routes())
        sock = listening.bind_socket('127.0.0.1', control_port)
        async with anyio.create_task_group() as group:
            group.start_soon(proxy.serve, port)
            await http_server.serve(app, sock, anyio.Event())
            group.cancel_scope.cancel()

    anyio.run(start, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    fire.Fire(run)
