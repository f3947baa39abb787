"""Tests of a gateway in which one task or port fails."""

import contextlib
import json
import logging
import os
import signal
import socket

import anyio
import pytest

from bench import fleet
from chivejunction.platform import configuration
from chivejunction.platform import entries
from chivejunction.transport import listening
from chivejunction.transport import stores as protocol
from tests import forward_rig
from tests.forward_rig import run_async


class SteadyFeed(protocol.ChangeFeed):
    """Feed with a configuration that never changes."""

    async def read_all(self, prefix):
        value = json.dumps(forward_rig.make_config()).encode()
        return [protocol.Entry(configuration.CONFIG_KEY, value, 1, 0)], 1

    async def poll_changes(self, prefix, after, seconds, response_timeout=0):
        await anyio.sleep(min(seconds, 0.1))
        return protocol.PollResult([], after)


class RunningGateway:
    """A gateway that runs with all its tasks.

    Attributes:
        rig: Rig of the gateway.
        ports: Port of callers, readiness, metrics and other gateways.
        has_ended: Event that is set when all tasks have ended.
    """

    NAMES = ('caller', 'readiness', 'metrics', 'peer')

    def __init__(self, group):
        self.rig = forward_rig.Rig(group, False)
        self.gateway = self.rig.gateway
        self.ports = {name: fleet.find_port() for name in self.NAMES}
        for name, port in self.ports.items():
            object.__setattr__(
                self.gateway._options, f'{name}_address', ('127.0.0.1', port)
            )
        self.gateway._hint_exchange._address = (
            '127.0.0.1',
            self.ports['peer'],
        )
        self.gateway._feed = SteadyFeed()
        self.rig.port = self.ports['caller']
        # A process has one set of gauges.
        self.gateway._register_gauges = lambda: None
        self.has_ended = anyio.Event()
        self._group = group

    async def start(self):
        reader = entries.EntryReader(self.gateway, {'bkk-a': 'bkk'})
        await self.rig.add_server(forward_rig.respond_ok)
        self._group.start_soon(self._run, reader)

    async def _run(self, reader):
        await self.gateway.run(reader.apply, lambda: None)
        self.has_ended.set()

    async def fetch(self, name):
        """Returns the response of an endpoint, tried for 3 seconds."""
        with anyio.fail_after(3):
            while True:
                with contextlib.suppress(OSError):
                    async with await anyio.connect_tcp(
                        '127.0.0.1', self.ports[name]
                    ) as stream:
                        return await self.rig.exchange(stream, '/safe/x')
                await anyio.sleep(0.05)


class TestFailingTask:
    """Guards against a task whose error ends the whole gateway."""

    @pytest.mark.parametrize(
        ('name', 'owner', 'method'),
        [
            ('membership', 'members', 'run'),
            ('version moves', 'moves', 'run'),
            ('hints', '_hint_exchange', 'run'),
            ('prompt guard', 'prompt_guard', 'run'),
            ('relay', '', '_serve_relay'),
            ('maintenance', '', '_run_maintenance'),
        ],
    )
    @run_async
    async def test_callers_are_served_on(
        self, monkeypatch, name, owner, method
    ):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)
            target = running.gateway
            if owner:
                target = getattr(target, owner)
            run, errors = getattr(target, method), [RecursionError('deep')]

            async def fail_once(*args):
                if errors:
                    raise errors.pop()
                await run(*args)

            monkeypatch.setattr(target, method, fail_once)
            await running.start()
            response = await running.fetch('caller')
            assert response.status == 200
            assert not errors
            metrics = await running.fetch('metrics')
            assert f'task_failures_total{{task="{name}"}}' in (
                metrics.body.decode()
            )
            state = json.loads((await running.fetch('readiness')).body)
            assert name in state['recent_errors']
            group.cancel_scope.cancel()

    @run_async
    async def test_failing_maintenance_step_leaves_the_others(
        self, monkeypatch
    ):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)

            async def fail():
                raise KeyError('i-1')

            steps = []
            pool = running.gateway._pool
            monkeypatch.setattr(pool, 'close_expired', fail)
            monkeypatch.setattr(
                running.gateway, '_reload', lambda: steps.append(1)
            )
            await running.start()
            await anyio.sleep(0.8)
            assert len(steps) > 1
            group.cancel_scope.cancel()


class TestPortInUse:
    """Guards against a held port that keeps a gateway from serving."""

    @pytest.mark.parametrize('name', RunningGateway.NAMES)
    @run_async
    async def test_port_is_opened_once_it_is_free(self, name):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)
            with listening.bind_socket('127.0.0.1', running.ports[name]):
                await running.start()
                if name == 'caller':
                    readiness = await running.fetch('readiness')
                    assert readiness.status == 503
                    state = json.loads(readiness.body)
                    assert state['failing_tasks'] == ['callers']
                else:
                    assert (await running.fetch('caller')).status == 200
            assert (await running.fetch(name)).status
            assert (await running.fetch('caller')).status == 200
            assert (await running.fetch('readiness')).status == 200
            group.cancel_scope.cancel()

    @run_async
    async def test_datagram_port_in_use_leaves_callers_served(self):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)
            with socket.socket(type=socket.SOCK_DGRAM) as holder:
                holder.bind(('127.0.0.1', running.ports['peer']))
                await running.start()
                assert (await running.fetch('caller')).status == 200
            group.cancel_scope.cancel()


class TestOrderlyStop:
    """Guards against a stop that looks like a fault in log and metrics."""

    @run_async
    async def test_stop_reports_no_error(self, caplog):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)
            await running.start()
            assert (await running.fetch('caller')).status == 200
            os.kill(os.getpid(), signal.SIGTERM)
            with anyio.fail_after(8):
                await running.has_ended.wait()
            group.cancel_scope.cancel()
        assert not [r for r in caplog.records if r.levelno >= logging.ERROR]

    @run_async
    async def test_reload_signal_at_the_exit_does_not_end_the_process(self):
        try:
            async with anyio.create_task_group() as group:
                running = RunningGateway(group)
                await running.start()
                assert (await running.fetch('caller')).status == 200
                os.kill(os.getpid(), signal.SIGTERM)
                with anyio.fail_after(8):
                    await running.has_ended.wait()
                assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
                group.cancel_scope.cancel()
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_DFL)


class TestStopWithFailingStep:
    """Guards against a stop that never ends since one step failed."""

    @run_async
    async def test_error_in_the_shutdown_still_ends_the_tasks(
        self, monkeypatch
    ):
        async with anyio.create_task_group() as group:
            running = RunningGateway(group)

            async def fail():
                raise ValueError('odd member entry')

            monkeypatch.setattr(running.gateway, '_shut_down', fail)
            await running.start()
            assert (await running.fetch('caller')).status == 200
            os.kill(os.getpid(), signal.SIGTERM)
            with anyio.fail_after(3):
                await running.has_ended.wait()
            group.cancel_scope.cancel()
