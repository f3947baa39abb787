"""Containment of unexpected errors.

One bad connection, store entry or log line must not end a process that serves
others. An unexpected error ends only the work that it occurred in; it is
logged, counted and shown by the readiness endpoint.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import contextvars
import math

import anyio
from anyio import abc

from chivejunction import clock
from chivejunction import logs
from chivejunction import metrics

# Pause before a failed task runs again, doubled for each failure in a row.
MIN_RESTART_DELAY_SECONDS = 0.1
MAX_RESTART_DELAY_SECONDS = 1.0
# Longest time of one round of a periodic task: some calls that time out.
MAX_ROUND_SECONDS = 20.0
# Readiness reports an error for this time.
REPORT_SECONDS = 60.0
ERRORS = metrics.make_counter(
    'contained_errors',
    'Unexpected errors that ended only one piece of work.',
    'part',
)
FAILURES = metrics.make_counter(
    'task_failures',
    'Ends of tasks that run for the life of the process.',
    'task',
)
# Monotonic times until which readiness reports an error, by part.
_reported_until: dict[str, float] = {}
# Function that sets the time of the next progress of the supervised task.
_set_progress_due: contextvars.ContextVar[Callable[[float], None] | None] = (
    contextvars.ContextVar('set_progress_due', default=None)
)


def expect_progress(seconds: float = MAX_ROUND_SECONDS) -> None:
    """Reports the current task as hung unless it calls this again in time.

    Outside of a supervised task this does nothing.

    Args:
        seconds: Longest time in seconds until the next call.
    """
    set_progress_due = _set_progress_due.get()
    if set_progress_due is not None:
        set_progress_due(clock.make_deadline(seconds))


def record_error(part: str, error: BaseException, **fields) -> None:
    """Logs, counts and reports an unexpected error.

    Args:
        part: Part of the program that the error occurred in; one of a few.
        error: The error.
        **fields: Further fields of the log line.
    """
    ERRORS.labels(part).inc()
    extend_report(part)
    logs.LOG.error(
        'unexpected error in %s: %r',
        part,
        error,
        exc_info=error,
        extra={'fields': {'part': part, **fields}},
    )


def extend_report(part: str) -> None:
    """Lets readiness report an error that was recorded and lasts."""
    _reported_until[part] = clock.make_deadline(REPORT_SECONDS)


def is_unexpected(error: BaseException) -> bool:
    """Returns whether an error is a failure of the current task.

    Its cancellation and errors that end the process are none.
    """
    if isinstance(error, asyncio.CancelledError):
        # A cancelled future raises this too, without a cancellation of the
        # task that waits for it.
        return not (
            anyio.current_effective_deadline() == -math.inf
            or asyncio.current_task().cancelling()
        )
    return isinstance(error, Exception)


@contextlib.contextmanager
def contain(part: str, **fields) -> Iterator[None]:
    """Ends its body at an unexpected error, which is recorded.

    Args:
        part: Part of the program, see ``record_error``.
        **fields: Further fields of the log line.
    """
    try:
        yield
    except BaseException as exc:
        if not is_unexpected(exc):
            raise
        record_error(part, exc, **fields)


async def run_contained(
    part: str, run: Callable[..., Awaitable], *args
) -> None:
    """Runs a task that ends alone at an unexpected error.

    Args:
        part: Part of the program, see ``record_error``.
        run: Coroutine function of the task.
        *args: Its arguments.
    """
    with contain(part):
        await run(*args)


def list_recent_errors() -> list[str]:
    """Returns the parts in which an error occurred lately."""
    return sorted(
        part
        for part, until in _reported_until.items()
        if not clock.has_passed(until)
    )


class TaskEnded(Exception):
    """A task ended that has to run for the life of the process."""


class Supervisor:
    """Runs tasks of which none may end the others.

    A task that fails, or ends, runs again after a pause.

    Args:
        group: Group of the tasks; its cancellation ends them.
    """

    def __init__(self, group: abc.TaskGroup):
        self._group = group
        # Names of the tasks that have failed and wait to run again.
        self._failing: set[str] = set()
        # Monotonic times by which tasks must have made progress, by name.
        self._progress_due: dict[str, float] = {}

    def start(self, name: str, run: Callable[..., Awaitable], *args) -> None:
        """Starts a task that runs until the group is cancelled.

        Args:
            name: Name of the task in logs and metrics.
            run: Coroutine function of the task. It must be able to run again
                after it has failed.
            *args: Its arguments.
        """
        self._group.start_soon(self._run, name, run, args, name=name)

    def is_failing(self, name: str) -> bool:
        """Returns whether a task has failed and does not run at present."""
        return name in self._failing

    def list_failing(self) -> list[str]:
        """Returns the names of the tasks that do not run at present."""
        return sorted(self._failing)

    def list_hung(self) -> list[str]:
        """Returns the names of the tasks that make no progress."""
        return sorted(
            name
            for name, due_at in self._progress_due.items()
            if clock.has_passed(due_at)
        )

    async def _run(self, name: str, run: Callable, args: tuple) -> None:
        def set_progress_due(due_at: float) -> None:
            self._progress_due[name] = due_at

        _set_progress_due.set(set_progress_due)
        delay = MIN_RESTART_DELAY_SECONDS
        while True:
            started_at = clock.now()
            self._failing.discard(name)
            try:
                await run(*args)
                raise TaskEnded(f'task {name} has ended')
            except BaseException as exc:
                if not is_unexpected(exc):
                    raise
                error = exc
            self._failing.add(name)
            self._progress_due.pop(name, None)
            FAILURES.labels(name).inc()
            record_error(name, error)
            if clock.now() - started_at > MAX_RESTART_DELAY_SECONDS:
                delay = MIN_RESTART_DELAY_SECONDS
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_RESTART_DELAY_SECONDS)
