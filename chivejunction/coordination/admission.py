"""The agent's last check before a request reaches its engine."""

import time

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import messages
from chivejunction.state import attempts
from chivejunction.state import views


class Admission:
    """Checks attempts and limits how many run at a time.

    Args:
        view: Configuration of the agent.
        pool: Pool of the backend server.
        failure_domain: Failure domain of the backend server.
    """

    def __init__(self, view: views.ConfigView, pool: str, failure_domain: str):
        self._view = view
        self._pool = pool
        self._failure_domain = failure_domain
        self.leaving = False
        self.running = 0
        self.queued = 0
        self._freed = anyio.Event()

    @property
    def window(self) -> int:
        """Requests that may run at the same time."""
        pool = self._view.pools.get(self._pool)
        return pool.warm_window if pool else 1

    def check(self, start: messages.Start) -> None:
        """Checks whether an attempt may run on this backend server.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        view = self._view
        view.check_ready()
        if view.revision < start.revision:
            raise errors.RefusalError(
                'stale_config', f'agent is at revision {view.revision}'
            )
        if self.leaving:
            raise errors.RefusalError('leaving', 'the server is leaving')
        if start.target != self._pool:
            raise errors.RefusalError(
                'wrong_pool', f'the server belongs to pool {self._pool}'
            )
        if not view.is_open(self._failure_domain):
            raise errors.RefusalError(
                'domain_closed',
                f'failure domain {self._failure_domain} is closed',
            )
        if start.version:
            self._check_version(start)

    def _check_version(self, start: messages.Start) -> None:
        if not self._view.takes_new_work(start.version, bool(start.session)):
            raise errors.RefusalError(
                'version_withdrawn', f'{start.version} takes no new work'
            )
        if not self._view.is_allowed(start.organisation, start.version):
            raise errors.RefusalError(
                'version_not_allowed',
                f'{start.organisation} may not use {start.version}',
            )

    async def acquire(self, attempt: attempts.Attempt) -> None:
        """Waits for a free place in the window.

        Raises:
            RefusalError: No place came free before the deadline.
        """
        self.queued += 1
        try:
            with anyio.fail_after(clock.remaining(attempt.deadline)):
                while self.running >= self.window:
                    await self._freed.wait()
        except TimeoutError as exc:
            raise errors.RefusalError(
                'overloaded', 'no place came free before the deadline'
            ) from exc
        finally:
            self.queued -= 1
        self.running += 1

    def release(self, attempt: attempts.Attempt) -> None:
        """Frees the place of an attempt."""
        self.running -= 1
        freed, self._freed = self._freed, anyio.Event()
        freed.set()

    def load(self) -> dict:
        """Returns the load for heartbeats; see state.servers."""
        return {
            'r': self.running,
            'q': self.queued,
            'w': self.window,
            's': 'leaving' if self.leaving else 'ready',
        }


def unix_deadline(deadline: float) -> float:
    """Returns a monotonic deadline as seconds since the epoch."""
    return time.time() + clock.remaining(deadline)
