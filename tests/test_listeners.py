"""Tests of listeners whose connections or accepts fail."""

import asyncio
import contextlib
import os
import socket
import struct

import anyio
import pytest

from chivejunction import containment
from chivejunction.protocol import forwarding
from chivejunction.transport import caller_connections
from chivejunction.transport import listening
from tests import forward_rig
from tests.forward_rig import run_async

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
LIMITS = forwarding.CallerLimits(header_seconds=1, idle_seconds=5)


async def echo(raw, reply):
    """Responds with an empty body."""
    await reply.send_response(200, [], b'')


class Rig:
    """Running listener.

    Attributes:
        listener: The listener.
        address: Its address.
    """

    def __init__(self, handle, sock):
        self.listener = caller_connections.Listener(handle, lambda: LIMITS)
        self.address = sock.getsockname()

    def connect_blocking(self):
        """Returns a connection that the listener has not accepted yet."""
        return socket.create_connection(self.address, 2)

    async def connect(self):
        """Returns a connection."""
        return await anyio.connect_tcp(*self.address)

    async def call(self, stream=None):
        """Returns the status of the response to a request; 0 without one."""
        async with contextlib.AsyncExitStack() as stack:
            if stream is None:
                stream = await stack.enter_async_context(await self.connect())
            await stream.send(REQUEST)
            return (await forward_rig.read_response(stream)).status


@contextlib.asynccontextmanager
async def start(handle=echo, make_socket=listening.bind_socket):
    """Starts a listener on a free port."""
    sock = make_socket('127.0.0.1', 0)
    rig = Rig(handle, sock)
    async with anyio.create_task_group() as group:
        group.start_soon(rig.listener.serve_socket, sock)
        yield rig
        group.cancel_scope.cancel()


def reset(sock):
    """Closes a connection by a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


def count_descriptors():
    """Returns the number of open descriptors of this process."""
    return len(os.listdir('/proc/self/fd'))


class TestFailedConnections:
    """Guards against a connection whose error ends those of the others."""

    @run_async
    async def test_reset_before_the_accept(self):
        async with start() as rig, await rig.connect() as kept:
            assert await rig.call(kept) == 200
            before = count_descriptors()
            errors = containment.ERRORS.labels('caller connection')
            errors_before = errors._value.get()
            for _ in range(20):
                # Nothing is accepted meanwhile, as nothing is awaited.
                reset(rig.connect_blocking())
            await anyio.sleep(0.1)
            assert await rig.call(kept) == 200
            assert await rig.call() == 200
            await anyio.sleep(0.05)
            assert count_descriptors() == before
            assert errors._value.get() == errors_before

    @pytest.mark.parametrize(
        'error',
        [
            ValueError('bug'),
            RecursionError('deep'),
            ExceptionGroup('group', [OSError('closed')]),
            # asyncio raises this for a future that is cancelled.
            asyncio.CancelledError(),
        ],
    )
    @run_async
    async def test_unexpected_error_of_a_connection(self, error, monkeypatch):
        serve = caller_connections.CallerConnection.serve
        failing = [True]

        async def fail_once(connection):
            if failing:
                failing.clear()
                raise error
            await serve(connection)

        monkeypatch.setattr(
            caller_connections.CallerConnection, 'serve', fail_once
        )
        async with start() as rig:
            async with await rig.connect() as stream:
                assert (await forward_rig.read_response(stream)).status == 0
            assert await rig.call() == 200
            await anyio.sleep(0.05)
            assert not rig.listener.connections
        assert 'caller connection' in containment.list_recent_errors()
