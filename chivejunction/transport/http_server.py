"""Serves ASGI applications by uvicorn under anyio."""

import contextlib
import socket

import anyio
import uvicorn

KEEP_ALIVE_SECONDS = 75
# uvicorn's own loop looks ten times a second whether it should end.
TICK_SECONDS = 1.0


class Server(uvicorn.Server):
    """uvicorn server that leaves signals to the program.

    Args:
        config: Options of uvicorn.
        stop: Set to stop taking connections.
    """

    def __init__(self, config: uvicorn.Config, stop: anyio.Event):
        super().__init__(config)
        self._stop = stop

    @contextlib.contextmanager
    def capture_signals(self):
        """Leaves the signal handlers as they are."""
        yield

    async def main_loop(self) -> None:
        """Brings the date header up to date until stop is set."""
        while not await self.on_tick(0):
            with anyio.move_on_after(TICK_SECONDS):
                await self._stop.wait()
                self.should_exit = True


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
    await Server(config, stop).serve(sockets=[sock])
