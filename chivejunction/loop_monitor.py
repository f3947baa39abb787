"""Detection of a blocked event loop and of hung tasks.

While one task keeps the event loop, nothing else runs, so a stall is reported
when it has ended. A process that was suspended, or got no processor, looks
the same from inside but for the processor time that it used.
"""

from collections.abc import Callable
import time

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import logs
from chivejunction import metrics

INTERVAL_SECONDS = 0.1
# A longer delay of this task is a stall.
STALL_SECONDS = 0.25
# Share of a stall in which a blocked process uses the processor at least. One
# that was suspended uses none; other processes may leave it a small part.
BLOCKED_SHARE = 0.1
STALLS = metrics.make_counter(
    'event_loop_stalls',
    'Times at which the event loop served no task for 0.25 s or more.',
    'cause',
)
STALLED_SECONDS = metrics.make_counter(
    'event_loop_stalled_seconds', 'Seconds of these stalls.', 'cause'
)


class LoopMonitor:
    """Measures the delays of the event loop and watches supervised tasks.

    Args:
        tasks: The supervised tasks.
        handle_stall: Called with the seconds of each stall.
    """

    def __init__(
        self,
        tasks: containment.Supervisor,
        handle_stall: Callable[[float], None] = lambda seconds: None,
    ):
        self._tasks = tasks
        self._handle_stall = handle_stall
        self._hung: set[str] = set()

    async def run(self) -> None:
        """Monitors until cancelled."""
        while True:
            started_at, used_before = clock.now(), time.process_time()
            await anyio.sleep(INTERVAL_SECONDS)
            seconds = clock.now() - started_at - INTERVAL_SECONDS
            if seconds >= STALL_SECONDS:
                self._report_stall(seconds, time.process_time() - used_before)
            else:
                # After a stall, the tasks must have a turn first.
                self._check_tasks()

    def _report_stall(self, seconds: float, used_seconds: float) -> None:
        is_blocked = used_seconds >= BLOCKED_SHARE * seconds
        cause = 'blocked' if is_blocked else 'suspended'
        STALLS.labels(cause).inc()
        STALLED_SECONDS.labels(cause).inc(seconds)
        logs.LOG.warning(
            'event loop stalled for %.2f s',
            seconds,
            extra={
                'fields': {
                    'event': 'stall',
                    'cause': cause,
                    'processor_seconds': round(used_seconds, 3),
                }
            },
        )
        self._handle_stall(seconds)

    def _check_tasks(self) -> None:
        hung = set(self._tasks.list_hung())
        for name in sorted(hung - self._hung):
            logs.LOG.error(
                'task %s makes no progress',
                name,
                extra={'fields': {'event': 'hung task', 'task': name}},
            )
        for name in sorted(self._hung - hung):
            logs.LOG.info(
                'task %s makes progress again',
                name,
                extra={'fields': {'event': 'hung task', 'task': name}},
            )
        self._hung = hung
