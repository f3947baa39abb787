"""Kept connections to backend servers."""

import anyio
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import backend_connections
from tests import forward_rig
from tests.forward_rig import run_async


class SlowConnection:
    """Connection whose close lets other tasks run."""

    def __init__(self, idle_until):
        self.idle_until = idle_until
        self.released_at = clock.now()
        self.is_closed = False

    def is_quiet(self):
        return True

    async def close(self):
        await anyio.sleep(0.01)
        self.is_closed = True


class TestConnectionPool:
    @run_async
    async def test_connections_may_go_while_expired_ones_close(self):
        """Found by bench.forward_soak, seed 13: the gateway ended."""
        pool = backend_connections.ConnectionPool()
        kept = [SlowConnection(0.0) for _ in range(3)]
        pool._idle['i-1'] = list(kept)

        async def take():
            with pytest.raises(errors.TransportError):
                await pool.acquire(
                    'i-1', '127.0.0.1', 1, 9, clock.make_deadline(1)
                )

        async with anyio.create_task_group() as group:
            group.start_soon(pool.close_expired)
            group.start_soon(pool.close_expired)
            group.start_soon(take)
        assert all(connection.is_closed for connection in kept)

    @run_async
    async def test_refused_connection_was_not_used(self):
        pool = backend_connections.ConnectionPool()
        with pytest.raises(errors.TransportError) as caught:
            await pool.acquire(
                'i-1', '127.0.0.1', 1, 9, clock.make_deadline(1)
            )
        assert not caught.value.connected
        assert pool.count_open('i-1') == 0

    @run_async
    async def test_idle_time_of_the_server_is_kept(self):
        async def say(seen, stream):
            await stream.send(
                forward_rig.encode_response(seen, Keep_Alive='timeout=0')
            )

        async with forward_rig.start() as rig:
            server = await rig.add_server(say)
            for number in range(2):
                await rig.call('/safe/x', Request_Id=f'r-{number}')
            assert (
                len({seen.connection for seen in server.received_requests})
                == 2
            )
