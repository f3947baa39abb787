"""Runs a fake as a process of its own."""

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


async def handle_disconnect(
    request: requests.Request, exc: Exception
) -> responses.Response:
    """Returns an empty response to a client that closed the connection."""
    return responses.Response(status_code=400)


def ignore_disconnects(app: applications.Starlette) -> None:
    """Handles clients that disconnect before the body is complete.

    Without the handler, such a disconnect is logged as an error of the fake.
    """
    app.add_exception_handler(requests.ClientDisconnect, handle_disconnect)


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
        make_context: Returns an asynchronous context manager for the
            application, which stays open while the application is served.
        **options: Arguments of make_app.
    """
    logs.configure_logs(f'fake-{port}', 'warning')

    async def serve() -> None:
        app = make_app(**options)
        ignore_disconnects(app)
        sock = listening.bind_socket('127.0.0.1', port)
        context = (
            make_context(app) if make_context else contextlib.nullcontext()
        )
        async with context:
            await http_server.serve(app, sock, anyio.Event())

    anyio.run(serve, backend_options={'use_uvloop': True})


def run_from_command_line(
    make_app: Callable, make_context: Callable | None = None
) -> None:
    """Serves a fake with the options of the command line.

    Args:
        make_app: Returns the application; its arguments are the options.
        make_context: As for run_app.
    """

    def start(port: int, **options) -> None:
        run_app(make_app, port, make_context, **options)

    fire.Fire(start)
