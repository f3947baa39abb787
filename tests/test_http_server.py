"""Tests of the server of ASGI applications."""

import anyio

from chivejunction.transport import http_server
from chivejunction.transport import listening


class TestTick:
    def test_idle_server_sleeps_between_ticks_and_stops_at_once(
        self, monkeypatch
    ):
        """Guards against processor time spent by idle daemons.

        Each daemon runs two servers.
        """
        ticks = []
        on_tick = http_server.Server.on_tick

        async def count_tick(self, counter):
            ticks.append(counter)
            return await on_tick(self, counter)

        monkeypatch.setattr(http_server.Server, 'on_tick', count_tick)
        monkeypatch.setattr(http_server, 'TICK_INTERVAL_SECONDS', 60)

        async def work():
            stop = anyio.Event()
            sock = listening.bind_socket('127.0.0.1', 0)
            async with anyio.create_task_group() as group:
                group.start_soon(http_server.serve, None, sock, stop)
                await anyio.sleep(1.5)
                assert len(ticks) == 1
                stop.set()
                with anyio.fail_after(10):
                    while sock.fileno() >= 0:
                        await anyio.sleep(0.01)

        anyio.run(work)
