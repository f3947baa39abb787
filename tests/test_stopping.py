"""Tests of a gateway that is stopped while callers keep coming."""

import asyncio
import dataclasses
import socket

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import forward_gateway
from chivejunction.transport import caller_connections
from tests import forward_rig
from tests.forward_rig import run_async

DRAIN_SECONDS = 0.3
RESPONSE_SECONDS = 0.4
# Time between a caller's connection and its request.
FIRST_REQUEST_LAG = 0.9


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


def set_grace_period(rig, seconds):
    """Sets the grace period of a rig's gateway."""
    rig.gateway._options = dataclasses.replace(
        rig.gateway._options, grace_period_seconds=seconds
    )


def make_slow_server(seconds):
    """Returns a script that responds after some time."""

    async def script(request, stream):
        await anyio.sleep(seconds)
        await stream.send(forward_rig.encode_response(request))

    return script


class Stop:
    """A stop of a rig's gateway, as SIGTERM begins it.

    Attributes:
        started_at: Monotonic time of its begin.
        ended_at: Monotonic time at which the gateway's tasks were cancelled.
    """

    def __init__(self, rig, group):
        self._rig = rig
        self._group = group
        self.started_at = self.ended_at = 0.0

    async def run(self):
        """Stops the gateway and ends all connections."""
        self.started_at = clock.now()
        await self._rig.gateway._shut_down()
        self.ended_at = clock.now()
        self._group.cancel_scope.cancel()

    @property
    def seconds(self):
        """Duration of the stop."""
        return self.ended_at - self.started_at


async def play_stop(
    grace, scripts, calls, config=None, prepare=None, count=1
):
    """Plays a stop; returns it, the responses and the servers.

    Args:
        grace: Grace period in seconds.
        scripts: Script of the server of each service.
        calls: Seconds after the signal (negative: before it) and paths.
        config: Configuration document; None for the default one.
        prepare: Called with the rig before the stop.
        count: Number of servers of each service.
    """
    responses = {}
    servers = {}
    async with anyio.create_task_group() as callers:
        async with anyio.create_task_group() as group:
            rig = forward_rig.Rig(group, config)
            set_grace_period(rig, grace)
            for service, script in scripts.items():
                servers[service] = [
                    await rig.add_server(script, service)
                    for _ in range(count)
                ]
            await rig.serve()
            if prepare is not None:
                prepare(rig)
            begin_at = clock.make_deadline(0.3)

            async def call(seconds, target):
                await anyio.sleep_until(begin_at + seconds - FIRST_REQUEST_LAG)
                stream = await rig.connect()
                await anyio.sleep_until(begin_at + seconds)
                name = f'r-{seconds}-{target}'
                async with stream:
                    responses[seconds, target] = await rig.exchange(
                        stream, target, Request_Id=name, Deadline_Ms='12000'
                    )

            for seconds, target in calls:
                callers.start_soon(call, seconds, target)
            await anyio.sleep_until(begin_at)
            stop = Stop(rig, group)
            group.start_soon(stop.run)
    return stop, responses, servers


LONG_ROUTES = [
    forward_rig.make_route(
        'once', '/once/', 'non_idempotent', max_attempts=1, timeout_ms=12000
    ),
    forward_rig.make_route('safe', '/safe/', timeout_ms=12000),
    forward_rig.make_route(
        'stream',
        '/stream/',
        'streaming',
        service='pool',
        timeout_ms=12000,
        max_attempts=1,
        gap_target_ms=60000,
    ),
]


class TestGracePeriods:
    """Guards against a drain that is longer than the grace period."""

    @pytest.mark.parametrize('grace', [1.0, 2.0, 3.0])
    def test_short_grace_period_closes_the_socket(self, monkeypatch, grace):
        closed_at = []
        monkeypatch.setattr(
            caller_connections.Listener,
            'stop_accepting',
            lambda _: closed_at.append(clock.now()),
        )

        @run_async
        async def play():
            stop, responses, _ = await play_stop(
                grace,
                {'desk': make_slow_server(grace / 3)},
                [(grace / 4, '/once/a')],
                forward_rig.make_config(routes=LONG_ROUTES),
            )
            assert responses[grace / 4, '/once/a'].status == 200
            assert stop.seconds < grace
            assert closed_at[0] - stop.started_at < grace / 2

        play()


class TestHangingStop:
    """Guards against a stop that does not end or cuts what is in progress."""

    @pytest.mark.parametrize(
        'error',
        [KeyError('x'), OSError('x'), asyncio.CancelledError(), None],
    )
    def test_failing_leave_does_not_cut_requests(self, error):
        """A membership entry that cannot be removed; None hangs."""

        async def leave():
            if error is None:
                await anyio.sleep(60)
            raise error

        def prepare(rig):
            rig.gateway.members.leave = leave

        @run_async
        async def play():
            stop, responses, _ = await play_stop(
                2.0,
                {'desk': make_slow_server(1.0)},
                [(0.1, '/once/a')],
                forward_rig.make_config(routes=LONG_ROUTES),
                prepare,
            )
            assert responses[0.1, '/once/a'].status == 200
            assert stop.seconds < 2.0

        play()
