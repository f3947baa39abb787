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
    silenced.

    Args:
        target_port: TCP port on 127.0.0.1 of the target.
    """

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._delay = 0.0
        self._connections: set[Connection] = set()

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the fault switches."""
        return [routing.Route('/faults', self._set_faults, methods=['POST'])]

    async def _set_faults(self, request: requests.Request):
        faults = await request.json()
        self._delay = faults.get('delay', self._delay)
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
        return responses.JSONResponse({'open': len(self._connections)})

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
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            if not connection.silenced_directions:
                connection.scope.cancel()


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
