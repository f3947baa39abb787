"""Start of a fake as a process of its own."""

from collections.abc import Callable
import contextlib

import anyio
import fire
from starlette import applications
from starlette import requests
from starlette import responses

from chivejunction import logs
from chivejunction.transport import http_server
from chivejunction.transport import listening


async def answer_nobody(
    request: requests.Request, exc: Exception
) -> responses.Response:
    """Ends a request whose caller left before its body had come."""
    return responses.Response(status_code=400)


def tolerate_leavers(app: applications.Starlette) -> None:
    """Makes a caller that leaves early no error of the fake."""
    app.add_exception_handler(requests.ClientDisconnect, answer_nobody)


def run_app(
    make_app: Callable,
    port: int,
    make_context: Callable | None = None,
    **options,
) -> None:
    """Serves an ASGI application on loopback until the process ends.

    Args:
        make_app: Returns the application.
        port: TCP port on 127.0.0.1.
        make_context: Returns an asynchronous context manager of the
            application, entered while it is served.
        **options: Passed on to make_app.
    """
    logs.configure_logs(f'fake-{port}', 'warning')

    async def serve() -> None:
        app = make_app(**options)
        tolerate_leavers(app)
        sock = listening.bind_socket('127.0.0.1', port)
        context = (
            make_context(app) if make_context else contextlib.nullcontext()
        )
        async with context:
            await http_server.serve(app, sock, anyio.Event())

    anyio.run(serve, backend_options={'use_uvloop': True})


def run_fire(make_app: Callable, make_context: Callable | None = None) -> None:
    """Runs a fake with its options from the command line."""

    def start(port: int, **options) -> None:
        run_app(make_app, port, make_context, **options)

    fire.Fire(start)
