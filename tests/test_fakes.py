"""Tests of the functions that all fakes share."""

import logging

import anyio
from starlette import applications
from starlette import responses
from starlette import routing

from chivejunction.transport import http_server
from chivejunction.transport import listening
from fakes import programs
from tests.forward_rig import run_async


class TestClientDisconnects:
    """Guards against errors logged when a client disconnects in its body.

    Seen under load in bench.soak, seed 4, when an agent was restarted.
    """

    @run_async
    async def test_disconnect_inside_the_body_logs_no_error(self):
        error_records = []
        handler = logging.Handler(logging.ERROR)
        handler.emit = error_records.append
        logger = logging.getLogger('uvicorn.error')
        logger.addHandler(handler)

        async def read_body(request):
            await request.json()
            return responses.Response()

        app = applications.Starlette(
            routes=[routing.Route('/', read_body, methods=['POST'])]
        )
        programs.ignore_disconnects(app)
        sock = listening.bind_socket('127.0.0.1', 0)
        port = sock.getsockname()[1]
        async with anyio.create_task_group() as group:
            group.start_soon(http_server.serve, app, sock, anyio.Event())
            stream = await anyio.connect_tcp('127.0.0.1', port)
            head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
            await stream.send(head + b'{')
            await anyio.sleep(0.1)
            await stream.aclose()
            await anyio.sleep(0.3)
            group.cancel_scope.cancel()
        logger.removeHandler(handler)
        assert not error_records
