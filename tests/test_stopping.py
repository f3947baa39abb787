"""Tests of a gateway that is stopped while callers keep coming."""

import socket

import anyio

from chivejunction import clock
from chivejunction.coordination import forward_gateway
from tests import forward_rig
from tests.forward_rig import run_async

DRAIN_SECONDS = 0.3
RESPONSE_SECONDS = 0.4


async def respond_slowly(request, stream):
    """Responds after some time."""
    await anyio.sleep(RESPONSE_SECONDS)
    await stream.send(forward_rig.encode_response(request))


class Callers:
    """Callers that connect one after the other, whatever they are told.

    Attributes:
        refused_at: Monotonic times of refused connections.
        responses: Responses of the others.
    """

    def __init__(self, port):
        self._port = port
        self.refused_at = []
        self.responses = []

    async def call(self):
        """Sends one request on a new connection."""
        try:
            stream = await anyio.connect_tcp('127.0.0.1', self._port)
        except OSError:
            self.refused_at.append(clock.now())
            return
        async with stream:
            await stream.send(forward_rig.Rig.write_request('/safe/x'))
            self.responses.append(await forward_rig.read_response(stream))

    async def run(self):
        """Calls until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(self.call)
                await anyio.sleep(0.02)


class TestStopWhileCallersKeepComing:
    @run_async
    async def test_no_late_request_is_taken_and_cut(self, monkeypatch):
        """A load balancer without another gateway sends callers on and on."""
        monkeypatch.setattr(
            forward_gateway, 'READINESS_DRAIN_SECONDS', DRAIN_SECONDS
        )
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            port = free.getsockname()[1]
        async with anyio.create_task_group() as group:
            rig = forward_rig.Rig(group)
            await rig.add_server(respond_slowly)
            listener = rig.gateway.caller_listener
            group.start_soon(listener.serve, '127.0.0.1', port)
            callers = Callers(port)
            async with anyio.create_task_group() as callers_group:
                callers_group.start_soon(callers.run)
                await anyio.sleep(0.2)
                started_at = clock.now()
                await rig.gateway._shut_down()
                ended_at = clock.now()
                callers_group.cancel_scope.cancel()
            # Half the grace period, of which the users excuse the first 3 s.
            assert ended_at - started_at < 4
            accepted = [r for r in callers.responses if r.status]
            assert len(accepted) > 10
            assert all(r.is_complete for r in accepted)
            assert callers.refused_at
            group.cancel_scope.cancel()
