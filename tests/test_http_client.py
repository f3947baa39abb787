"""HTTP calls over connections that are slow or silent."""

import contextlib

import anyio
from anyio import abc
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import http_client
from chivejunction.transport import sockets
from tests.forward_rig import run_async

PARTS = 8


@contextlib.asynccontextmanager
async def serve(pause, parts=PARTS):
    """Yields the URL of a server that sends its body in slow parts."""

    async def answer(stream):
        with contextlib.suppress(*sockets.LOST):
            await stream.receive()
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {10 * PARTS}\r\n\r\n'
            await stream.send(head.encode())
            for _ in range(parts):
                await anyio.sleep(pause)
                await stream.send(b'x' * 10)
            await anyio.sleep(5)
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        yield f'http://127.0.0.1:{port}/'
        group.cancel_scope.cancel()


async def call(url, body_seconds):
    """Calls a server that must begin to answer within 0.5 s."""
    client = http_client.Client()
    deadline = clock.make_deadline(0.5)
    return await client.call('GET', url, deadline, body_seconds=body_seconds)


class TestSlowAnswers:
    """Answers over links of 10 Mbit/s.

    Found on raamwerk-hub-grown fresh-16ca: a configuration of 0.6 MB was
    given up and asked for again, for seconds.
    """

    @run_async
    async def test_answer_that_keeps_coming_is_read(self):
        async with serve(0.1) as url:
            _, _, body = await call(url, 3.0)
            assert len(body) == 10 * PARTS

    @run_async
    async def test_time_for_the_answer_is_bounded(self):
        async with serve(0.1) as url:
            for seconds in (0.0, 0.1):
                with pytest.raises(errors.TransportError):
                    await call(url, seconds)

    @run_async
    async def test_silence_ends_it(self):
        async with serve(0.01, parts=2) as url:
            started = clock.now()
            with pytest.raises(errors.TransportError):
                await call(url, 5.0)
            assert clock.now() - started < 1.5
