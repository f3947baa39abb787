"""Tests of the connections from callers."""

import contextlib

import anyio
from anyio import abc

from chivejunction.coordination import forward_gateway
from chivejunction.protocol import forwarding
from chivejunction.transport import caller_connections
from chivejunction.transport import listening
from tests import forward_rig
from tests.forward_rig import run_async

LIMITS = forwarding.CallerLimits(
    header_bytes=600, body_bytes=100, header_seconds=0.3, idle_seconds=0.4
)


async def echo(raw, reply):
    """Responds with the body of the request."""
    await reply.send_response(200, [], raw.body or b'-')


@contextlib.asynccontextmanager
async def start(handle=echo):
    """Starts a listener; yields it and a function that connects to it."""
    listener = caller_connections.Listener(handle, lambda: LIMITS)
    tcp = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
    port = tcp.extra(abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(tcp.serve, listener.serve_stream)
        yield listener, lambda: anyio.connect_tcp('127.0.0.1', port)
        group.cancel_scope.cancel()


async def send(connect, data):
    """Sends data on a new connection and returns the response."""
    async with await connect() as stream:
        await stream.send(data)
        return await forward_rig.read_response(stream)


class TestLimits:
    @run_async
    async def test_malformed_request(self):
        async with start() as (_, connect):
            assert (await send(connect, b'\x00\x01\r\n\r\n')).status == 400

    @run_async
    async def test_headers_too_large(self):
        async with start() as (_, connect):
            data = b'GET / HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n' % (b'a' * 900)
            assert (await send(connect, data)).status == 431

    @run_async
    async def test_body_too_large(self):
        async with start() as (_, connect):
            head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n'
            assert (await send(connect, head + b'x' * 200)).status == 413

    @run_async
    async def test_header_timeout(self):
        async with start() as (_, connect):
            assert (await send(connect, b'GET / HT')).status == 408

    @run_async
    async def test_body_timeout(self):
        async with start() as (_, connect):
            head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
            assert (await send(connect, head + b'x')).status == 408

    @run_async
    async def test_idle_connection_is_closed_without_a_response(self):
        async with start() as (_, connect), await connect() as stream:
            response = await forward_rig.read_response(stream)
            assert response.status == 0

    @run_async
    async def test_chunked_body(self):
        async with start() as (_, connect):
            data = (
                b'POST / HTTP/1.1\r\nHost: x\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n'
            )
            assert (await send(connect, data)).body == b'ab'


class TestClosing:
    @run_async
    async def test_idle_connections_are_closed_on_shutdown(self):
        async with start() as (listener, connect), await connect() as stream:
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            assert (await forward_rig.read_response(stream)).status == 200
            listener.close_idle()
            assert (await forward_rig.read_response(stream)).status == 0

    @run_async
    async def test_response_in_progress_is_completed_and_announces_close(self):
        async def respond_slowly(raw, reply):
            await anyio.sleep(0.2)
            await reply.send_response(200, [], b'whole')

        async with (
            start(respond_slowly) as (listener, connect),
            await connect() as stream,
        ):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await anyio.sleep(0.05)
            listener.close_idle()
            response = await forward_rig.read_response(stream)
            assert (response.body, response.is_complete) == (b'whole', True)
            assert response.headers['connection'] == 'close'

    @run_async
    async def test_failed_handler_gets_a_502_and_leaves_the_listener_running(
        self,
    ):
        async def fail(raw, reply):
            raise ValueError('bug')

        async with start(fail) as (_, connect):
            data = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
            assert (await send(connect, data)).status == 502
            assert (await send(connect, data)).status == 502

    @run_async
    async def test_aborted_response_does_not_look_complete(self):
        async def send_partial(raw, reply):
            await reply.start(200, [])
            await reply.send(b'part')

        async with start(send_partial) as (_, connect):
            response = await send(
                connect, b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            assert not response.is_complete

    @run_async
    async def test_new_connection_is_served_while_stopping(self):
        """A load balancer sends callers until it sees the readiness change.

        A connection that was accepted then must not close without an answer.
        """
        async with start() as (listener, connect):
            listener.is_closing = True
            async with await connect() as stream:
                await anyio.sleep(0.1)
                await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
                response = await forward_rig.read_response(stream)
            assert (response.status, response.is_complete) == (200, True)
            assert response.headers['connection'] == 'close'

    @run_async
    async def test_connection_accepted_after_the_idle_ones_were_closed(self):
        async with start() as (listener, connect):
            listener.close_idle()
            async with await connect() as stream:
                await anyio.sleep(0.05)
                assert listener.has_unread_requests()
                await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
                response = await forward_rig.read_response(stream)
            assert response.status == 200
            assert not listener.has_unread_requests()

    @run_async
    async def test_request_in_transfer_is_not_cut_by_close_idle(self):
        async with start() as (listener, connect), await connect() as stream:
            await stream.send(b'GET / HTTP/1.1\r\nHo')
            await anyio.sleep(0.05)
            listener.close_idle()
            assert listener.has_unread_requests()
            await stream.send(b'st: x\r\n\r\n')
            response = await forward_rig.read_response(stream)
            assert response.status == 200

    @run_async
    async def test_no_request_is_cut_in_the_last_moments(self):
        """Guards against callers accepted between the last check and the exit.

        In run trouble-3 of the small siamsound-rfp-large, a request came while
        the gateway removed its entry from a store that was down, and was cut.
        """
        results = []

        async def leave():
            await anyio.sleep(0.3)

        async def call(port, number):
            try:
                stream = await anyio.connect_tcp('127.0.0.1', port)
            except OSError:
                results.append('refused')
                return
            async with stream:
                await stream.send(
                    forward_rig.Rig.write_request(
                        '/once/x', Request_Id=f'r-{number}'
                    )
                )
                response = await forward_rig.read_response(stream)
                results.append(response.status)

        async def respond_late(request, stream):
            await anyio.sleep(0.04)
            await forward_rig.respond_ok(request, stream)

        async with forward_rig.start() as rig, anyio.create_task_group() as g:
            await rig.add_server(respond_late)
            rig.gateway.members.leave = leave
            sock = listening.bind_socket('127.0.0.1', 0)
            port = sock.getsockname()[1]
            drain = forward_gateway.READINESS_DRAIN_SECONDS
            forward_gateway.READINESS_DRAIN_SECONDS = 0.5
            try:
                async with anyio.create_task_group() as gateway_group:
                    gateway_group.start_soon(
                        rig.gateway.caller_listener.serve_socket, sock
                    )

                    async def stop():
                        await rig.gateway._shut_down()
                        gateway_group.cancel_scope.cancel()

                    g.start_soon(stop)
                    for number in range(80):
                        g.start_soon(call, port, number)
                        # The pause lets the gateway find no request.
                        await anyio.sleep(0.3 if number == 10 else 0.01)
            finally:
                forward_gateway.READINESS_DRAIN_SECONDS = drain
        assert set(results) <= {200, 'refused'}
        assert results.count(200) > 10
