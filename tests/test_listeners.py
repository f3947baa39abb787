"""Tests of listeners whose connections or accepts fail."""

import asyncio
import contextlib
import errno
import os
import socket
import struct
import time

import anyio
from anyio import abc
from anyio._backends import _asyncio
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


class FailingSocket(socket.socket):
    """Listening socket whose accepts fail as a script says.

    Attributes:
        failures: Error numbers of the next accepts.
        accepts: Number of accepts so far.
    """

    failures: tuple | list = ()
    accepts = 0

    def accept(self):
        """Accepts a connection, or fails."""
        self.accepts += 1
        if self.failures:
            number = self.failures.pop(0)
            raise OSError(number, os.strerror(number))
        return super().accept()


def bind_failing_socket(address, port):
    """Returns a listening socket whose accepts can fail."""
    plain = listening.bind_socket(address, port)
    return FailingSocket(fileno=plain.detach())


class TestFailedAccepts:
    """Guards against an accept whose error ends all connections."""

    @pytest.mark.parametrize(
        'name',
        [
            'ECONNABORTED',
            'EPROTO',
            'ENETDOWN',
            'EHOSTUNREACH',
            'EPERM',
            'EMFILE',
            'ENFILE',
            'ENOBUFS',
            'ENOMEM',
            'EIO',
        ],
    )
    @run_async
    async def test_listener_goes_on(self, name, monkeypatch):
        monkeypatch.setattr(caller_connections, 'MIN_CLOSED_IDLE', 0)
        sock = bind_failing_socket('127.0.0.1', 0)
        async with (
            start(make_socket=lambda *_: sock) as rig,
            await rig.connect() as kept,
        ):
            assert await rig.call(kept) == 200
            sock.failures = [getattr(errno, name)] * 3
            assert await rig.call() == 200
            assert not sock.failures
            assert await rig.call(kept) == 200

    def test_connections_behind_an_aborted_one_are_accepted(self):
        sock = bind_failing_socket('127.0.0.1', 0)
        sock.setblocking(False)
        sock.failures = [errno.ECONNABORTED]
        with sock, socket.create_connection(sock.getsockname(), 2):
            accepted = list(listening.accept_queued(sock))
            assert len(accepted) == 1
            accepted[0].close()

    def test_endless_errors_of_connections_do_not_hang(self):
        sock = bind_failing_socket('127.0.0.1', 0)
        sock.setblocking(False)
        sock.failures = [errno.EPERM] * 100_000
        with sock, pytest.raises(PermissionError):
            list(listening.accept_queued(sock))

    @run_async
    async def test_lack_of_descriptors_is_no_busy_loop(self, monkeypatch):
        monkeypatch.setattr(caller_connections, 'ACCEPT_REPORT_SECONDS', 0.2)
        sock = bind_failing_socket('127.0.0.1', 0)
        recorded = containment.ERRORS.labels('accept')._value
        counted = caller_connections.ACCEPT_FAILURES.labels('EMFILE')._value
        recorded_before, counted_before = recorded.get(), counted.get()
        async with start(make_socket=lambda *_: sock) as rig:
            sock.failures = [errno.EMFILE] * 100_000
            async with await rig.connect() as stream:
                await anyio.sleep(0.5)
                assert 3 < sock.accepts < 20
                assert counted.get() - counted_before == sock.accepts
                # One line for each time without descriptors.
                assert recorded.get() - recorded_before == 1
                sock.failures = []
                assert await rig.call(stream) == 200
                await anyio.sleep(0.2)
                sock.failures = [errno.EMFILE]
                assert await rig.call() == 200
                assert recorded.get() - recorded_before == 2

    @run_async
    async def test_longest_idle_connections_are_closed(self, monkeypatch):
        monkeypatch.setattr(caller_connections, 'MIN_CLOSED_IDLE', 2)
        sock = bind_failing_socket('127.0.0.1', 0)
        async with (
            start(make_socket=lambda *_: sock) as rig,
            await rig.connect() as first,
            await rig.connect() as second,
            await rig.connect() as third,
        ):
            for stream in (second, third, first):
                assert await rig.call(stream) == 200
                await anyio.sleep(0.02)
            sock.failures = [errno.EMFILE]
            assert await rig.call() == 200
            for stream in (second, third):
                assert (await forward_rig.read_response(stream)).status == 0
            assert await rig.call(first) == 200

    @run_async
    async def test_connections_of_another_listener_give_descriptors(self):
        """A starved readiness endpoint would take the gateway out of use."""
        sock = bind_failing_socket('127.0.0.1', 0)
        async with (
            start() as callers,
            start(make_socket=lambda *_: sock) as readiness,
            await callers.connect() as idle,
        ):
            assert await callers.call(idle) == 200
            sock.failures = [errno.EMFILE]
            assert await readiness.call() == 200
            assert (await forward_rig.read_response(idle)).status == 0

    @run_async
    async def test_some_descriptors_are_left_to_outgoing_connections(self):
        async with start() as rig, contextlib.AsyncExitStack() as stack:
            rig.listener.max_sockets = 5
            for _ in range(5):
                stream = await stack.enter_async_context(await rig.connect())
                assert await rig.call(stream) == 200
            assert rig.listener.accepted_sockets == 5
            with anyio.fail_after(1):
                assert await rig.call() == 200
            assert rig.listener.accepted_sockets <= 5


class TestCloseOfIdleConnections:
    """Guards against a close that crosses a request that has been read."""

    async def connect_idle(self, rig):
        """Returns a connection that waits for its second request."""
        sock = rig.connect_blocking()
        sock.setblocking(False)
        stream = await abc.SocketStream.from_socket(sock)
        assert await rig.call(stream) == 200
        await anyio.sleep(0.02)
        return sock, stream

    @run_async
    async def test_request_that_arrives_just_before(self):
        async with start() as rig:
            sock, stream = await self.connect_idle(rig)
            async with stream:
                sock.send(REQUEST)
                rig.listener.close_idle()
                response = await forward_rig.read_response(stream)
                assert response.status == 200
                assert response.headers['connection'] == 'close'
                # The connection is closed after the response.
                assert (await forward_rig.read_response(stream)).status == 0

    @run_async
    async def test_request_that_is_read_in_the_same_turn(self):
        async with start() as rig:
            sock, stream = await self.connect_idle(rig)
            (connection,) = rig.listener.connections
            protocol = connection._stream._protocol
            data_received = protocol.data_received

            def close_and_receive(data):
                protocol.data_received = data_received
                rig.listener.close_idle()
                data_received(data)

            protocol.data_received = close_and_receive
            async with stream:
                sock.send(REQUEST)
                response = await forward_rig.read_response(stream)
                assert response.status == 200

    @run_async
    async def test_part_of_a_request_counts_as_unread_request(self):
        async with start() as rig:
            sock, stream = await self.connect_idle(rig)
            async with stream:
                sock.send(REQUEST[:5])
                rig.listener.close_idle()
                for _ in range(5):
                    await anyio.sleep(0.01)
                    assert rig.listener.has_unread_requests()
                sock.send(REQUEST[5:])
                response = await forward_rig.read_response(stream)
                assert response.status == 200
                assert not rig.listener.has_unread_requests()

    @run_async
    async def test_request_at_the_end_of_the_idle_timeout(self, monkeypatch):
        """The timer and the data may be due in the same turn."""
        protocol = _asyncio.StreamProtocol
        receive = protocol.data_received
        read, handled = [], []

        def data_received(self, data):
            if data == REQUEST:
                read.append(data)
            receive(self, data)

        async def handle(raw, reply):
            handled.append(raw)
            await echo(raw, reply)

        async def call(rig, seconds):
            sock, stream = await self.connect_idle(rig)
            async with stream:
                await anyio.sleep(seconds)
                with contextlib.suppress(OSError):
                    sock.send(REQUEST)
                # Delays the turn, so that the timer is due as well.
                time.sleep(0.005)
                await forward_rig.read_response(stream)

        monkeypatch.setattr(protocol, 'data_received', data_received)
        limits = forwarding.CallerLimits(header_seconds=1, idle_seconds=0.5)
        async with start(handle) as rig:
            rig.listener.get_limits = lambda: limits
            async with anyio.create_task_group() as group:
                for number in range(60):
                    group.start_soon(call, rig, 0.35 + number / 100)
        assert len(read) == len(handled) >= 60
