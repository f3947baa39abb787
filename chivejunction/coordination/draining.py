"""Orderly end of an agent: leave, finish all work, then exit."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import logs
from chivejunction.coordination import admission
from chivejunction.coordination import execution
from chivejunction.coordination import peers

POLL_SECONDS = 0.1
# A gateway whose link broke after the last frame asks again within the time
# in which it notices silence and dials anew.
SETTLE_SECONDS = peers.LINK_TIMEOUT_SECONDS + 1.5


class Drain:
    """Drains an agent after the first signal.

    It returns when no attempt waits or runs and every end was sent long
    enough ago that a gateway with a broken link would have come back. A
    second signal or the longest drain time ends it early.

    Args:
        gate: Admission of the agent.
        executor: Executor of the agent.
        announce: Sends a heartbeat to all gateways at once.
        max_seconds: Longest time for all of it.
    """

    def __init__(
        self,
        gate: admission.AdmissionController,
        executor: execution.Executor,
        announce: Callable[[], None],
        max_seconds: float,
    ):
        self._gate = gate
        self._executor = executor
        self._announce = announce
        self._max_seconds = max_seconds

    async def run(self, signals: AsyncIterator) -> bool:
        """Waits for a signal and drains; returns whether all work ended."""
        await anext(signals)
        logs.LOG.info('leaving; %d attempts to finish', self._executor.live)
        self._gate.leave()
        self._announce()
        finished = False
        with anyio.move_on_after(self._max_seconds):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._watch_signal, signals, group.cancel_scope
                )
                await self._finish()
                finished = True
                group.cancel_scope.cancel()
        if not finished:
            logs.LOG.warning(
                'exit cuts %d attempts and %d answers',
                self._executor.live,
                self._executor.unsent,
            )
        return finished

    async def _watch_signal(
        self, signals: AsyncIterator, scope: anyio.CancelScope
    ) -> None:
        await anext(signals)
        scope.cancel()

    async def _finish(self) -> None:
        executor = self._executor
        heard = clock.make_deadline(2 * peers.HEARTBEAT_INTERVAL_SECONDS)
        while (
            executor.live
            or executor.unsent
            or not clock.has_passed(heard)
            or not clock.has_passed(executor.last_sent + SETTLE_SECONDS)
        ):
            await anyio.sleep(POLL_SECONDS)
