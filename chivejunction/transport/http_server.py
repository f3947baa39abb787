"""Serves ASGI applications with uvicorn under anyio."""

import contextlib
import socket

import anyio
import uvicorn

from chivejunction.transport import listening

KEEP_ALIVE_TIMEOUT_SECONDS = 75
# Longer than the 0.1 s of uvicorn's own main loop, to save processor time.
TICK_INTERVAL_SECONDS = 1.0


class Server(uvicorn.Server):
    """uvicorn server that leaves signal handling to the program.

    Args:
        config: Options of uvicorn.
        stop: Set to stop accepting connections.
    """

    def __init__(self, config: uvicorn.Config, stop: anyio.Event):
        super().__init__(config)
        self._stop = stop

    @contextlib.contextmanager
    def capture_signals(self):
        """Does not install uvicorn's signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Updates the date header periodically until stop is set."""
        while not await self.on_tick(0):
            with anyio.move_on_after(TICK_INTERVAL_SECONDS):
                await self._stop.wait()
                self.should_exit = True


async def serve_address(
    app, address: str, port: int, opened: list[socket.socket]
) -> None:
    """Serves an application at an address until cancelled.

    Args:
        app: ASGI application.
        address: IP address.
        port: Port.
        opened: Listening sockets of the address, used up one after the other;
            without one the address is bound.

    Raises:
        OSError: The address is in use or not assigned to this host.
    """
    sock = opened.pop() if opened else listening.bind_socket(address, port)
    await serve(app, sock, anyio.Event(), 1)


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
        stop: Set to stop accepting connections.
        graceful_seconds: Time limit for requests in progress after stop.
        **options: Passed to uvicorn.Config.
    """
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
        timeout_graceful_shutdown=int(graceful_seconds),
        **options,
    )
    await Server(config, stop).serve(sockets=[sock])
