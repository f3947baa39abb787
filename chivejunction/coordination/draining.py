"""Graceful shutdown of an agent."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import logs
from chivejunction.coordination import admission
from chivejunction.coordination import execution
from chivejunction.coordination import peers

POLL_INTERVAL_SECONDS = 0.1
# A gateway whose link failed after the last frame detects the silence,
# reconnects and asks again within this time.
RECONNECT_GRACE_SECONDS = peers.LINK_TIMEOUT_SECONDS + 1.5


class Drain:
    """Drains an agent after the first signal.

    The drain is complete when no attempt is queued or running and the last end
    was sent so long ago that a gateway with a failed link would have
    reconnected. A second signal or the time limit stops it earlier.

    Args:
        admission_control: Admission control of the agent.
        executor: Executor of the agent.
        send_heartbeats: Sends a heartbeat to all gateways without delay.
        max_seconds: Time limit of the drain in seconds.
    """

    def __init__(
        self,
        admission_control: admission.AdmissionController,
        executor: execution.Executor,
        send_heartbeats: Callable[[], None],
        max_seconds: float,
    ):
        self._admission = admission_control
        self._executor = executor
        self._send_heartbeats = send_heartbeats
        self._max_seconds = max_seconds

    async def run(self, signals: AsyncIterator) -> bool:
        """Waits for a signal and drains.

        Args:
            signals: Termination signals of the process.

        Returns:
            Whether the drain completed before a second signal or the time
            limit.
        """
        await anext(signals)
        logs.LOG.info(
            'draining: %d attempts are queued or running',
            self._executor.active_count,
        )
        self._admission.leave()
        self._send_heartbeats()
        finished = False
        with anyio.move_on_after(self._max_seconds):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_on_signal, signals, group.cancel_scope
                )
                await self._wait_until_idle()
                finished = True
                group.cancel_scope.cancel()
        if not finished:
            logs.LOG.warning(
                'drain incomplete: %d attempts are queued or running, the end '
                'of %d attempts was not sent',
                self._executor.active_count,
                self._executor.undelivered_count,
            )
        return finished

    async def _cancel_on_signal(
        self, signals: AsyncIterator, scope: anyio.CancelScope
    ) -> None:
        await anext(signals)
        scope.cancel()

    async def _wait_until_idle(self) -> None:
        executor = self._executor
        announce_deadline = clock.make_deadline(
            2 * peers.HEARTBEAT_INTERVAL_SECONDS
        )
        while (
            executor.active_count
            or executor.undelivered_count
            or not clock.has_passed(announce_deadline)
            or not clock.has_passed(
                executor.last_end_sent_at + RECONNECT_GRACE_SECONDS
            )
        ):
            await anyio.sleep(POLL_INTERVAL_SECONDS)
