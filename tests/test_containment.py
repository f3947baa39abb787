"""Tests of the containment of unexpected errors."""

import asyncio
import math

import anyio

from chivejunction import containment
from chivejunction import metrics
from tests.forward_rig import run_async


async def run_until(is_done, **tasks):
    """Runs supervised tasks until a condition holds."""
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            supervisor = containment.Supervisor(group)
            for name, run in tasks.items():
                supervisor.start(name, run)
            while not is_done():
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()


class Recorder:
    """Task whose runs end as a script says; the last one waits."""

    def __init__(self, *ends):
        self._ends = list(ends)
        self.runs = 0

    async def run(self):
        self.runs += 1
        if self._ends:
            end = self._ends.pop(0)
            if end is not None:
                raise end
            return
        await anyio.sleep(math.inf)


class TestSupervisedTasks:
    """Guards against a task whose error or silent end stops the others."""

    @run_async
    async def test_error_of_a_task_leaves_the_others_running(self):
        failing = Recorder(RecursionError('deep'), MemoryError())
        steady = Recorder()
        await run_until(
            lambda: failing.runs == 3, failing=failing.run, steady=steady.run
        )
        assert steady.runs == 1

    @run_async
    async def test_task_that_returns_runs_again(self):
        task = Recorder(None)
        await run_until(lambda: task.runs == 2, task=task.run)

    @run_async
    async def test_cancelled_future_does_not_end_a_task_silently(self):
        task = Recorder(asyncio.CancelledError())
        await run_until(lambda: task.runs == 2, task=task.run)

    @run_async
    async def test_error_in_a_nested_group_is_contained(self):
        inner = Recorder(KeyError('gw-1'))

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(inner.run)
                await anyio.sleep(math.inf)

        await run_until(lambda: inner.runs == 2, nested=run)

    @run_async
    async def test_failing_task_is_named_until_it_runs(self):
        async def fail():
            raise OSError('address in use')

        async with anyio.create_task_group() as group:
            supervisor = containment.Supervisor(group)
            supervisor.start('metrics', fail)
            supervisor.start('callers', Recorder().run)
            await anyio.sleep(0.05)
            assert supervisor.list_failing() == ['metrics']
            assert supervisor.is_failing('metrics')
            assert not supervisor.is_failing('callers')
            group.cancel_scope.cancel()

    @run_async
    async def test_contained_errors_are_counted_and_reported(self):
        with containment.contain('test part', key='k'):
            raise ValueError('odd')
        body, _ = metrics.render_metrics()
        assert b'contained_errors_total{part="test part"} 1.0' in body
        assert 'test part' in containment.list_recent_errors()
