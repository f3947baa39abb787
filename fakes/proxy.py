"""TCP proxy on loopback with faults of open connections."""

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
    """A proxied connection; silent directions hold their bytes.

    Directions are ``forward`` (from the dialler) and ``backward``.
    """

    def __init__(self, scope: anyio.CancelScope):
        self.scope = scope
        self.silent: set[str] = set()
        self.released = anyio.Event()


class Proxy:
    """Passes connections on to one target.

    Faults (``POST /faults``): ``delay`` holds each chunk for seconds,
    ``silence`` is ``forward``, ``backward`` or ``both`` and stops the
    connections that are open now, ``release`` sends what they held, ``cut``
    closes them. New connections work in any case.

    Args:
        target_port: TCP port on 127.0.0.1 to pass connections on to.
    """

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._delay = 0.0
        self._open: set[Connection] = set()

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the fault switches."""
        return [routing.Route('/faults', self._set_faults, methods=['POST'])]

    async def _set_faults(self, request: requests.Request):
        faults = await request.json()
        self._delay = faults.get('delay', self._delay)
        wanted = faults.get('silence', '')
        directions = {'both': ('forward', 'backward')}.get(wanted, (wanted,))
        for connection in list(self._open):
            connection.silent.update(filter(None, directions))
            if faults.get('release'):
                connection.silent.clear()
                connection.released.set()
                connection.released = anyio.Event()
            if faults.get('cut'):
                connection.scope.cancel()
        return responses.JSONResponse({'open': len(self._open)})

    async def serve(self, port: int) -> None:
        """Takes connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=port
        )
        await listener.serve(self._connect)

    async def _connect(self, dialler: abc.SocketStream) -> None:
        try:
            target = await anyio.connect_tcp('127.0.0.1', self._target_port)
        except OSError:
            await dialler.aclose()
            return
        async with dialler, target, anyio.create_task_group() as group:
            connection = Connection(group.cancel_scope)
            self._open.add(connection)
            try:
                async with anyio.create_task_group() as pumps:
                    pumps.start_soon(
                        self._pump, connection, 'forward', dialler, target
                    )
                    pumps.start_soon(
                        self._pump, connection, 'backward', target, dialler
                    )
            finally:
                self._open.discard(connection)

    async def _pump(self, connection, direction, source, sink) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self._delay:
                    await anyio.sleep(self._delay)
                while direction in connection.silent:
                    await connection.released.wait()
                await sink.send(chunk)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            if not connection.silent:
                connection.scope.cancel()


def run(port: int, control_port: int, target_port: int) -> None:
    """Runs a proxy until the process ends.

    Args:
        port: TCP port on 127.0.0.1 to listen on.
        control_port: TCP port of the fault switches.
        target_port: TCP port to pass connections on to.
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
