"""Tests of the detection of a blocked event loop and of hung tasks."""

import logging
import time

import anyio

from chivejunction import containment
from chivejunction import loop_monitor
from chivejunction import metrics
from tests.forward_rig import run_async


def burn(seconds):
    """Keeps the event loop until so much processor time is used."""
    until = time.process_time() + seconds
    while time.process_time() < until:
        pass


def read_metric(name):
    """Returns the value of a sample of the exposition, 0 without it."""
    for line in metrics.render_metrics()[0].decode().splitlines():
        if line.startswith(name + ' '):
            return float(line.split()[-1])
    return 0.0


class TestStalls:
    """Guards against a blocked event loop that leaves no trace."""

    @run_async
    async def test_blocked_loop_is_counted_and_logged(self, caplog):
        caplog.set_level(logging.INFO)
        name = 'event_loop_stalls_total{cause="blocked"}'
        before, stalls = read_metric(name), []
        async with anyio.create_task_group() as group:
            tasks = containment.Supervisor(group)
            monitor = loop_monitor.LoopMonitor(tasks, stalls.append)
            tasks.start('loop monitor', monitor.run)
            await anyio.sleep(0.15)
            burn(0.6)
            await anyio.sleep(0.15)
            group.cancel_scope.cancel()
        assert len(stalls) == 1
        assert stalls[0] > 0.4
        assert read_metric(name) == before + 1
        records = [r for r in caplog.records if 'stalled' in r.message]
        assert [r.fields['cause'] for r in records] == ['blocked']

    @run_async
    async def test_suspended_process_is_told_apart(self, caplog):
        async with anyio.create_task_group() as group:
            monitor = loop_monitor.LoopMonitor(containment.Supervisor(group))
            group.start_soon(monitor.run)
            await anyio.sleep(0.15)
            # Uses no processor time, like a process that was stopped.
            time.sleep(0.6)  # noqa: ASYNC251
            await anyio.sleep(0.15)
            group.cancel_scope.cancel()
        records = [r for r in caplog.records if 'stalled' in r.message]
        assert [r.fields['cause'] for r in records] == ['suspended']


class TestHungTasks:
    """Guards against a task that waits for ever and leaves no trace."""

    @run_async
    async def test_task_without_progress_is_named_until_it_goes_on(
        self, caplog
    ):
        caplog.set_level(logging.INFO)
        may_go_on = anyio.Event()

        async def run():
            containment.expect_progress(0.2)
            await may_go_on.wait()
            containment.expect_progress()
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            tasks = containment.Supervisor(group)
            monitor = loop_monitor.LoopMonitor(tasks)
            tasks.start('mirror', run)
            tasks.start('loop monitor', monitor.run)
            await anyio.sleep(0.05)
            assert tasks.list_hung() == []
            await anyio.sleep(0.4)
            assert tasks.list_hung() == ['mirror']
            may_go_on.set()
            await anyio.sleep(0.25)
            assert tasks.list_hung() == []
            group.cancel_scope.cancel()
        lines = [r.message for r in caplog.records if 'progress' in r.message]
        assert lines == [
            'task mirror makes no progress',
            'task mirror makes progress again',
        ]

    @run_async
    async def test_parts_of_a_task_report_for_it(self):
        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                await anyio.sleep_forever()

        async def wait():
            containment.expect_progress(0.1)
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            tasks = containment.Supervisor(group)
            tasks.start('hints', run)
            await anyio.sleep(0.3)
            assert tasks.list_hung() == ['hints']
            group.cancel_scope.cancel()
