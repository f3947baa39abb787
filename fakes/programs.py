"""Start of a fake as a process of its own."""

from collections.abc import Callable

import anyio
import fire

from chivejunction import logs
from chivejunction.transport import http_server


def run_app(make_app: Callable, port: int, **options) -> None:
    """Serves an ASGI application on loopback until the process ends.

    Args:
        make_app: Returns the application.
        port: TCP port on 127.0.0.1.
        **options: Passed on to make_app.
    """
    logs.configure_logs(f'fake-{port}', 'warning')

    async def serve() -> None:
        app = make_app(**options)
        sock = http_server.bind_socket('127.0.0.1', port)
        await http_server.serve(app, sock, anyio.Event())

    anyio.run(serve, backend_options={'use_uvloop': True})


def run_fire(make_app: Callable) -> None:
    """Runs a fake with its options from the command line."""

    def start(port: int, **options) -> None:
        run_app(make_app, port, **options)

    fire.Fire(start)
