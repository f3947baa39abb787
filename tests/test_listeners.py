"""Tests of listeners whose connections or accepts fail."""

import asyncio
import contextlib
import errno
import gc
import os
import resource
import socket
import struct
import sys
import time
import types

import anyio
from anyio import abc
import pytest

from chivejunction import containment
from chivejunction import errors
from chivejunction.protocol import forwarding
from chivejunction.scheduling import memory_pressure
from chivejunction.state import held_memory
from chivejunction.transport import accepted_streams
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
    """Returns the number of open descriptors that are in use.

    Sockets of earlier tests may still wait for the garbage collector.
    """
    gc.collect()
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
    async def test_lasting_lack_stays_in_readiness(self, monkeypatch):
        monkeypatch.setattr(containment, 'REPORT_SECONDS', 0.2)
        sock = bind_failing_socket('127.0.0.1', 0)
        async with start(make_socket=lambda *_: sock) as rig:
            sock.failures = [errno.EMFILE] * 100_000
            async with await rig.connect():
                await anyio.sleep(0.5)
                assert 'accept' in containment.list_recent_errors()

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

    @pytest.mark.parametrize(
        ('limits', 'sockets'),
        [
            ((1000, 4000), 750),
            ((1, 1), 1),
            ((resource.RLIM_INFINITY, resource.RLIM_INFINITY), sys.maxsize),
            (OSError(errno.ENOSYS, 'no such call'), sys.maxsize),
        ],
    )
    def test_number_of_sockets(self, limits, sockets, monkeypatch):
        def getrlimit(kind):
            if isinstance(limits, OSError):
                raise limits
            return limits

        monkeypatch.setattr(resource, 'getrlimit', getrlimit)
        assert caller_connections.Listener(echo).max_sockets == sockets

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
            accepted = connection._stream
            accepted_socket = accepted._socket

            def close_and_receive(size):
                accepted._socket = accepted_socket
                rig.listener.close_idle()
                return accepted_socket.recv(size)

            accepted._socket = types.SimpleNamespace(recv=close_and_receive)
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
        receive = accepted_streams.AcceptedStream.receive
        read, handled = [], []

        async def record_data(self, max_bytes):
            data = await receive(self, max_bytes)
            if data == REQUEST:
                read.append(data)
            return data

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

        monkeypatch.setattr(
            accepted_streams.AcceptedStream, 'receive', record_data
        )
        limits = forwarding.CallerLimits(header_seconds=1, idle_seconds=0.5)
        async with start(handle) as rig:
            rig.listener.get_limits = lambda: limits
            async with anyio.create_task_group() as group:
                for number in range(60):
                    group.start_soon(call, rig, 0.35 + number / 100)
        assert len(read) == len(handled) >= 60


async def raise_group(raw, reply):
    """Fails as a task group does whose task lost a connection."""
    async with anyio.create_task_group() as group:

        async def fail():
            raise anyio.BrokenResourceError

        group.start_soon(fail)


async def raise_cancelled(raw, reply):
    """Fails as a wait for a future does that was cancelled."""
    raise asyncio.CancelledError


async def raise_lost_connection(raw, reply):
    """Fails as a lost connection to another server does."""
    raise ConnectionResetError('another server')


async def return_nothing(raw, reply):
    """Returns without a response."""


async def respond_too_late(raw, reply):
    """Responds when the time limit of the request has passed."""
    with anyio.move_on_after(0):
        await reply.send_response(200, [], b'body')


async def send_odd_header(raw, reply):
    """Responds with a header that HTTP does not allow."""
    await reply.send_response(200, [(b'a', b'b\r\nc: d')], b'body')


async def send_odd_status(raw, reply):
    """Responds with a status that HTTP does not know."""
    await reply.send_response(7, [], b'')


async def send_odd_body(raw, reply):
    """Responds with a body of another type."""
    await reply.send_response(200, [(b'a', b'b')], ['x'])


async def send_too_much(raw, reply):
    """Responds with a body where none is allowed."""
    await reply.send_response(204, [], b'body')


async def send_wrong_length(raw, reply):
    """Responds with two lengths."""
    await reply.send_response(200, [(b'content-length', b'7')], b'body')


class TestFailedHandlers:
    """Guards against a failed handler that leaves its caller unanswered."""

    @pytest.mark.parametrize(
        'handle',
        [
            raise_group,
            raise_cancelled,
            raise_lost_connection,
            return_nothing,
            respond_too_late,
            send_odd_header,
            send_odd_status,
            send_odd_body,
            send_too_much,
            send_wrong_length,
        ],
    )
    @run_async
    async def test_caller_gets_a_502(self, handle):
        failing = [True]

        async def fail_once(raw, reply):
            if failing:
                failing.clear()
                await handle(raw, reply)
            else:
                await echo(raw, reply)

        async with start(fail_once) as rig, await rig.connect() as kept:
            await kept.send(REQUEST)
            response = await forward_rig.read_response(kept)
            assert (response.status, response.is_complete) == (502, True)
            assert response.headers['connection'] == 'close'
            assert await rig.call() == 200
        assert 'request' in containment.list_recent_errors()

    @run_async
    async def test_caller_that_leaves_is_no_error(self, monkeypatch):
        monkeypatch.setattr(containment, '_reported_until', {})
        gone = anyio.Event()

        async def respond_late(raw, reply):
            with anyio.CancelScope(shield=True):
                await gone.wait()
                await anyio.sleep(0.02)
                await reply.start(200, [])
                for _ in range(3):
                    await reply.send(b'x' * 100_000)

        async with start(respond_late) as rig:
            sock = rig.connect_blocking()
            sock.send(REQUEST)
            await anyio.sleep(0.02)
            reset(sock)
            gone.set()
            await anyio.sleep(0.1)
            assert rig.listener.active_requests == 0
        assert containment.list_recent_errors() == []

    @run_async
    async def test_caller_that_leaves_before_the_502(self):
        gone = anyio.Event()

        async def fail_late(raw, reply):
            await gone.wait()
            raise ExceptionGroup('group', [ConnectionResetError('gone')])

        async with start(fail_late) as rig:
            sock = rig.connect_blocking()
            sock.send(REQUEST)
            await anyio.sleep(0.02)
            reset(sock)
            gone.set()
            assert await rig.call() == 502
            assert rig.listener.active_requests == 0

    @run_async
    async def test_error_after_the_start_cuts_the_response(self):
        async def fail(raw, reply):
            await reply.start(200, [])
            await reply.send(b'part')
            raise ExceptionGroup('group', [ValueError('bug')])

        async with start(fail) as rig, await rig.connect() as stream:
            await stream.send(REQUEST)
            response = await forward_rig.read_response(stream)
            assert (response.status, response.is_complete) == (200, False)

    @run_async
    async def test_odd_text_in_a_rejection(self):
        async with start() as rig:

            def get_limits():
                return LIMITS

            async def read_request(connection, limits):
                raise errors.RequestRejected(400, 'kit-\ud83d')

            read = caller_connections.CallerConnection._read_request
            caller_connections.CallerConnection._read_request = read_request
            try:
                assert await rig.call() == 400
            finally:
                caller_connections.CallerConnection._read_request = read
            assert await rig.call() == 200

    @pytest.mark.parametrize(
        'data',
        [
            b'GET / HTTP/1.1\r\nHost: x\r\n\xff\xfe: y\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nA: \xed\xa0\xbd\r\n\r\n',
            b'GET /\xed\xa0\xbd HTTP/1.1\r\nHost: x\r\n\r\n',
            b'\xed\xa0\xbd / HTTP/1.1\r\nHost: x\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nContent-Length: \xb2\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n'
            % (b'9' * 5000),
            b'GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\n',
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'%s\r\n' % (b'f' * 5000),
            b'GET / HTTP/9.9\r\nHost: x\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: x\r\n\r\n',
        ],
    )
    @run_async
    async def test_odd_request(self, data, monkeypatch):
        monkeypatch.setattr(containment, '_reported_until', {})
        async with start() as rig, await rig.connect() as stream:
            await stream.send(data)
            response = await forward_rig.read_response(stream)
            assert response.status in (200, 400, 413, 431, 501, 505)
            assert await rig.call() == 200
        assert containment.list_recent_errors() == []


class TestLongBodies:
    """Guards against bodies that together use up the memory."""

    HEAD = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 400000\r\n\r\n'

    @run_async
    async def test_bodies_beyond_the_sum_are_refused(self):
        async with start() as rig:
            # The first body fits besides both connections, not the second.
            account = rig.listener.guard.account
            rig.listener.guard.bound = memory_pressure.Bound(
                600_000, 540_000, 10_000
            )
            async with (
                await rig.connect() as first,
                await rig.connect() as late,
            ):
                await first.send(self.HEAD + b'x' * 300_000)
                while account.amounts[held_memory.Kind.BODY] < 300_000:
                    await anyio.sleep(0.01)
                await late.send(self.HEAD + b'x' * 300_000)
                response = await late.receive()
                assert response.startswith(b'HTTP/1.1 503')
                # A short body is read nevertheless.
                assert await rig.call() == 200
                await first.send(b'x' * 100_000)
                response = await first.receive()
                assert response.startswith(b'HTTP/1.1 200')
            with anyio.fail_after(2):
                while account.total:
                    await anyio.sleep(0.01)

    @run_async
    async def test_release_with_the_last_part_refuses_the_request(self):
        """Guards against a body whose first part was given back.

        The last part arrives in the turn in which memory runs short.
        """
        handled = []

        async def handle(raw, reply):
            handled.append(raw)
            await echo(raw, reply)

        async with start(handle) as rig, await rig.connect() as stream:
            await stream.send(self.HEAD + b'x' * 398_999)
            account = rig.listener.guard.account
            while account.amounts[held_memory.Kind.BODY] < 398_999:
                await anyio.sleep(0.01)
            (connection,) = rig.listener.connections
            receive = connection._stream.receive

            async def receive_and_release(size):
                data = await receive(size)
                connection.release()
                return data

            connection._stream.receive = receive_and_release
            # The wait that is in progress takes the next bytes.
            await stream.send(b'x')
            await anyio.sleep(0.05)
            await stream.send(b'x' * 1000)
            response = await stream.receive()
            assert response.startswith(b'HTTP/1.1 503')
            assert not handled

    @run_async
    async def test_many_requests_sent_ahead_are_all_served(self):
        """Guards against a full buffer that looks like a disconnect."""
        request = b'GET / HTTP/1.1\r\nHost: x\r\nA: ' + b'a' * 3000
        request += b'\r\n\r\n'
        served = []

        async def handle(raw, reply):
            await anyio.sleep(0.01)
            served.append(raw)
            await echo(raw, reply)

        async with start(handle) as rig, await rig.connect() as stream:
            async with anyio.create_task_group() as group:
                group.start_soon(stream.send, 60 * request)
                for _ in range(60):
                    response = await forward_rig.read_response(stream)
                    assert response.status == 200
            assert len(served) == 60
