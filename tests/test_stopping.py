"""Tests of a gateway that is stopped while callers keep coming."""

import asyncio
import dataclasses
import os
import signal
import socket
import subprocess
import sys
import time

import anyio
from anyio import abc
import pytest
import yaml

from bench import fleet
from chivejunction import clock
from chivejunction.coordination import forward_gateway
from chivejunction.platform import settings
from chivejunction.transport import caller_connections
from fakes import platform_documents
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


async def respond_never(request, stream):
    """Reads a request and does not respond."""
    await anyio.sleep(60)


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


async def play_stop(grace, scripts, calls, config=None, prepare=None, count=1):
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
    async with (
        anyio.create_task_group() as callers,
        anyio.create_task_group() as group,
    ):
        rig = forward_rig.Rig(group, config)
        set_grace_period(rig, grace)
        for service, script in scripts.items():
            servers[service] = [
                await rig.add_server(script, service) for _ in range(count)
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
                response = await rig.exchange(
                    stream, target, Request_Id=name, Deadline_Ms='12000'
                )
                response.received_at = clock.now()
                responses[seconds, target] = response

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


class TestLateRequests:
    """Guards against requests that are taken too late to be answered."""

    @run_async
    async def test_late_request_is_refused_and_not_passed_on(self):
        """A connection whose first request comes 0.9 s after its accept."""
        stop, responses, servers = await play_stop(
            4.0,
            {'desk': respond_never},
            [(1.7, '/once/a')],
            forward_rig.make_config(routes=LONG_ROUTES),
        )
        response = responses[1.7, '/once/a']
        assert response.status == 503
        assert response.is_complete
        assert float(response.headers['retry-after']) > 0
        assert response.headers['connection'] == 'close'
        assert not servers['desk'][0].received_requests

    @run_async
    async def test_request_in_the_drain_is_served(self):
        stop, responses, _ = await play_stop(
            4.0, {'desk': forward_rig.respond_ok}, [(0.5, '/once/a')]
        )
        assert responses[0.5, '/once/a'].status == 200

    @run_async
    async def test_waiting_request_is_refused_when_admission_ends(self):
        """No server has room, and the route allows a wait of 2.5 s."""
        routes = [
            forward_rig.make_route(
                'once',
                '/once/',
                'non_idempotent',
                max_attempts=1,
                timeout_ms=20000,
                target_latency_ms=20000,
            )
        ]
        stop, responses, _ = await play_stop(
            4.0,
            {},
            [(0.5, '/once/a')],
            forward_rig.make_config(routes=routes),
        )
        response = responses[0.5, '/once/a']
        assert response.status == 503
        assert response.received_at < stop.started_at + 2.0


class TestEndOfGracePeriod:
    """Guards against requests that end with a closed connection."""

    @run_async
    async def test_request_in_progress_is_answered(self):
        """Whether the server ran it is not known."""
        stop, responses, _ = await play_stop(
            2.0,
            {'desk': respond_never},
            [(-0.1, '/once/a'), (-0.1, '/safe/a'), (0.3, '/once/b')],
            forward_rig.make_config(routes=LONG_ROUTES),
        )
        for response in responses.values():
            assert response.status == 502
            assert response.is_complete
        assert 5 / 6 * 2.0 < stop.seconds < 2.0

    @run_async
    async def test_plain_response_without_its_body_is_answered(self):
        async def respond_head_only(request, stream):
            data = forward_rig.encode_response(request, b'x' * 100)
            await stream.send(data[:-50])
            await anyio.sleep(60)

        _, responses, _ = await play_stop(
            2.0,
            {'desk': respond_head_only},
            [(-0.1, '/once/a')],
            forward_rig.make_config(routes=LONG_ROUTES),
        )
        assert responses[-0.1, '/once/a'].status == 502

    @run_async
    async def test_stream_in_progress_does_not_look_complete(self):
        _, responses, _ = await play_stop(
            2.0,
            {'pool': forward_rig.make_event_stream(1000, pause=0.1)},
            [(-0.1, '/stream/a')],
            forward_rig.make_config(routes=LONG_ROUTES),
        )
        response = responses[-0.1, '/stream/a']
        assert response.status == 200
        assert not response.is_complete

    @run_async
    async def test_caller_that_does_not_read_delays_nothing(self):
        """Its response fills the socket buffers."""

        async def respond_large(request, stream):
            body = b'x' * 4_000_000
            await stream.send(forward_rig.encode_response(request, body))

        async with anyio.create_task_group() as group:
            rig = forward_rig.Rig(group)
            set_grace_period(rig, 2.0)
            await rig.add_server(respond_large)
            await rig.serve()
            async with await rig.connect() as stream:
                await stream.send(rig.write_request('/once/a'))
                await anyio.sleep(0.2)
                stop = Stop(rig, group)
                await stop.run()
        assert stop.seconds < 2.0

    @run_async
    async def test_failed_attempt_is_not_repeated_too_late(self):
        """The second server would be cut in the middle of its work."""

        async def break_off_late(request, stream):
            await anyio.sleep(1.4)
            return False

        _, responses, servers = await play_stop(
            2.0,
            {'desk': break_off_late},
            [(0.1, '/safe/a')],
            forward_rig.make_config(
                routes=[
                    forward_rig.make_route(
                        'safe',
                        '/safe/',
                        timeout_ms=12000,
                        target_latency_ms=3000,
                    )
                ]
            ),
            count=2,
        )
        assert responses[0.1, '/safe/a'].status == 502
        received = [len(s.received_requests) for s in servers['desk']]
        assert sorted(received) == [0, 1]


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


class TestSlowCallers:
    """Guards against callers whose request does not end, in a stop."""

    @pytest.mark.parametrize('share', [0.5, 0.95])
    def test_partial_request_does_not_delay_the_end(self, share):
        @run_async
        async def play():
            async with anyio.create_task_group() as group:
                rig = forward_rig.Rig(group)
                set_grace_period(rig, 2.0)
                await rig.add_server(forward_rig.respond_ok)
                await rig.serve()
                async with await rig.connect() as stream:
                    data = rig.write_request('/once/a', b'x' * 50)
                    await stream.send(data[: int(share * len(data))])
                    await anyio.sleep(0.1)
                    stop = Stop(rig, group)
                    await stop.run()
            assert stop.seconds < 2.0

        play()


class TestIdleConnections:
    """Guards against requests that arrive as an idle connection closes."""

    @run_async
    async def test_request_sent_before_the_close_is_answered(self):
        async with forward_rig.start() as rig:
            await rig.add_server(forward_rig.respond_ok)
            async with await rig.connect() as stream:
                await rig.exchange(stream, '/once/a')
                await anyio.sleep(0.05)
                await stream.send(rig.write_request('/once/b'))
                # The gateway's task has not run since.
                rig.gateway.caller_listener.close_idle()
                response = await forward_rig.read_response(stream)
                assert response.status == 200
                assert response.headers['connection'] == 'close'

    @run_async
    async def test_request_that_crosses_the_close_is_not_cut_by_the_leave(
        self, monkeypatch
    ):
        """The only request is read while the membership entry is removed."""
        monkeypatch.setattr(
            forward_gateway, 'READINESS_DRAIN_SECONDS', DRAIN_SECONDS
        )
        async with forward_rig.start() as rig:
            await rig.add_server(respond_slowly)
            listener = rig.gateway.caller_listener
            async with await rig.connect() as stream:
                await rig.exchange(stream, '/once/a')
                await anyio.sleep(0.05)
                raw = stream.extra(abc.SocketAttribute.raw_socket)
                close_idle = listener.close_idle

                async def leave():
                    await anyio.sleep(0.1)

                rig.gateway.members.leave = leave

                def send_and_close_idle():
                    os.write(raw.fileno(), rig.write_request('/once/b'))
                    close_idle()

                monkeypatch.setattr(
                    caller_connections.Listener,
                    'close_idle',
                    lambda self: send_and_close_idle(),
                )
                await rig.gateway._shut_down()
                # All tasks are cancelled from here on.
                assert listener.active_requests == 0
                with anyio.fail_after(0.5):
                    response = await forward_rig.read_response(stream)
                assert response.status == 200

    @run_async
    async def test_connection_without_a_request_is_closed(self):
        async with forward_rig.start() as rig:
            await rig.add_server(forward_rig.respond_ok)
            async with await rig.connect() as stream:
                await rig.exchange(stream, '/once/a')
                await anyio.sleep(0.05)
                rig.gateway.caller_listener.close_idle()
                with anyio.fail_after(0.5):
                    response = await forward_rig.read_response(stream)
                assert response.status == 0


class TestSignals:
    """Guards against further signals that cut or prolong a stop."""

    @pytest.mark.parametrize(
        'further',
        [
            [],
            [signal.SIGTERM, signal.SIGTERM],
            [signal.SIGHUP],
            [signal.SIGINT, signal.SIGHUP],
        ],
    )
    def test_process_ends_once_and_in_time(self, tmp_path, further):
        """No store is reached, so there is no configuration yet."""
        front = fleet.find_port()
        address = '127.{}.{}.9'.format(*divmod(front, 256))
        values = platform_documents.make_settings(
            'gw-1',
            ('bkk-a',),
            'bkk-a',
            address,
            (front, fleet.find_port(), fleet.find_port()),
            f'127.0.0.1:{fleet.find_port()}',
            grace_period_s=4,
        )
        path = tmp_path / 'boot.yaml'
        path.write_text(yaml.safe_dump(values))
        process = subprocess.Popen(
            [sys.executable, '-m', 'chivejunction.platform'],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, settings.PATH_VARIABLE: str(path)},
        )
        try:
            self.wait_for_refusal(address, front)
            deadline = clock.make_deadline(4)
            process.send_signal(signal.SIGTERM)
            for number in further:
                time.sleep(0.1)
                process.send_signal(number)
            # Callers are served on.
            self.wait_for_refusal(address, front)
            assert process.wait(clock.remaining(deadline)) == 0
        finally:
            process.kill()
            process.wait()

    @staticmethod
    def wait_for_refusal(address, port):
        """Waits for a response, which is 503 without a configuration."""
        deadline = clock.make_deadline(10)
        while True:
            try:
                with socket.create_connection((address, port), 1) as caller:
                    caller.settimeout(2)
                    caller.sendall(forward_rig.Rig.write_request('/once/a'))
                    assert caller.recv(12) == b'HTTP/1.1 503'
                    return
            except OSError:
                if clock.has_passed(deadline):
                    raise
                time.sleep(0.05)
