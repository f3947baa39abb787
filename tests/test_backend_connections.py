"""Tests of the connections to backend servers."""

import anyio
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import backend_connections
from tests import forward_rig
from tests.forward_rig import run_async


class SlowConnection:
    """Connection whose close yields to other tasks."""

    def __init__(self, idle_deadline):
        self.idle_deadline = idle_deadline
        self.released_at = clock.now()
        self.is_closed = False

    def has_no_pending_input(self):
        return True

    async def close(self):
        await anyio.sleep(0.01)
        self.is_closed = True


class TestConnectionPool:
    @run_async
    async def test_concurrent_changes_while_expired_connections_close(self):
        """Guards against a gateway crash when the pool changes during a close.

        Closing a connection yields, and other tasks then remove connections
        from the pool. Found by bench.forward_soak with seed 13.
        """
        pool = backend_connections.ConnectionPool()
        connections = [SlowConnection(0.0) for _ in range(3)]
        pool._idle['i-1'] = list(connections)

        async def acquire():
            with pytest.raises(errors.TransportError):
                await pool.acquire(
                    'i-1', '127.0.0.1', 1, 9, clock.make_deadline(1)
                )

        async with anyio.create_task_group() as group:
            group.start_soon(pool.close_expired)
            group.start_soon(pool.close_expired)
            group.start_soon(acquire)
        assert all(connection.is_closed for connection in connections)

    @run_async
    async def test_refused_connect_is_reported_as_not_connected(self):
        pool = backend_connections.ConnectionPool()
        with pytest.raises(errors.TransportError) as caught:
            await pool.acquire(
                'i-1', '127.0.0.1', 1, 9, clock.make_deadline(1)
            )
        assert not caught.value.connected
        assert pool.count_open('i-1') == 0

    @run_async
    async def test_idle_timeout_of_the_server_is_respected(self):
        async def respond(request, stream):
            await stream.send(
                forward_rig.encode_response(request, Keep_Alive='timeout=0')
            )

        async with forward_rig.start() as rig:
            server = await rig.add_server(respond)
            for number in range(2):
                await rig.call('/safe/x', Request_Id=f'r-{number}')
            assert (
                len(
                    {
                        request.connection
                        for request in server.received_requests
                    }
                )
                == 2
            )


class TestServerAddresses:
    """Guards against errors of addresses that no connection is made to."""

    @pytest.mark.parametrize(
        'address, port',
        [
            ('a..b', 80),
            ('x' * 300, 80),
            ('127.0.0.1', 0),
            ('127.0.0.1', 70000),
            ('127.0.0.1', -1),
            ('127.0.0.1\0', 80),
            ('', 80),
            ('\udc80', 80),
        ],
    )
    def test_odd_address_counts_as_unreachable(self, address, port):
        @run_async
        async def play():
            pool = backend_connections.ConnectionPool()
            with pytest.raises(errors.TransportError) as caught:
                await pool.acquire('i-1', address, port, 1.0, 1e12)
            assert not caught.value.connected
            assert pool.count_open('i-1') == 0

        play()

    @run_async
    async def test_connection_closed_while_idle_is_replaced(self):
        """The descriptor of a closed connection cannot be polled."""
        async with anyio.create_task_group() as group:
            rig = forward_rig.Rig(group)
            server = await rig.add_server(forward_rig.respond_ok)
            pool = backend_connections.ConnectionPool()
            address = ('127.0.0.1', server.port)
            first = await pool.acquire('i-1', *address, 9.0, 1e12)
            pool.release('i-1', first, None)
            await first.close()
            second = await pool.acquire('i-1', *address, 9.0, 1e12)
            assert second is not first
            assert pool.count_open('i-1') == 1
            await second.close()
            group.cancel_scope.cancel()


class BrokenConnection(SlowConnection):
    """Connection whose close fails unexpectedly."""

    async def close(self):
        raise KeyError('x')


class TestFailingCloses:
    """Guards against connections that stay open beside one that fails."""

    @pytest.mark.parametrize('way', ['expired', 'instance', 'acquire'])
    def test_other_connections_are_closed(self, way):
        @run_async
        async def play():
            pool = backend_connections.ConnectionPool()
            sound = [SlowConnection(0.0) for _ in range(2)]
            pool._idle['i-1'] = [sound[0], BrokenConnection(0.0), sound[1]]
            pool._open['i-1'] = 3
            if way == 'expired':
                await pool.close_expired()
            elif way == 'instance':
                await pool.close_instance('i-1')
            else:
                with pytest.raises(errors.TransportError):
                    await pool.acquire(
                        'i-1', '127.0.0.1', 1, 9, clock.make_deadline(1)
                    )
            assert all(connection.is_closed for connection in sound)
            assert pool.count_open('i-1') == 0

        play()
