"""Serves ASGI applications by uvicorn under anyio."""

import contextlib
import socket

import anyio
import uvicorn

KEEP_ALIVE_SECONDS = 75


class Server(uvicorn.Server):
    """uvicorn server that leaves signals to the program."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leaves the signal handlers as they are."""
        yield


def bind_socket(address: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Raises:
        OSError: The address is in use or is not one of this host.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(1024)
    return sock


async def serve(
    app,
    sock: socket.socket,
    stop: anyio.Event,
    graceful_seconds: float = 60,
    **options,
) -> None:
    """Serves an application until stop is set, then drains connections.

    Args:
        app: ASGI application.
        sock: Listening socket.
        stop: Set to stop taking connections.
        graceful_seconds: Longest time for running requests after stop.
        **options: Passed on to uvicorn.Config.
    """
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=int(graceful_seconds),
        **options,
    )
    server = Server(config)

    async def watch_stop() -> None:
        await stop.wait()
        server.should_exit = True

    async with anyio.create_task_group() as group:
        group.start_soon(watch_stop)
        await server.serve(sockets=[sock])
        group.cancel_scope.cancel()
