"""Admission control of the agent.

Checks attempts against the configuration and queues them fairly before they
reach the backend server.
"""

import collections
import dataclasses

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import metrics
from chivejunction.protocol import messages
from chivejunction.protocol import resources
from chivejunction.state import attempts
from chivejunction.state import queues
from chivejunction.state import views
from chivejunction.state import windows

# Smoothing factor of the moving averages of run time and its deviation.
RUN_TIME_SMOOTHING_FACTOR = 0.1
# Mean deviations added to the mean run time, as in the retransmission timer
# of TCP.
RUN_TIME_DEVIATION_MULTIPLIER = 4.0
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0

QUEUE_WAITS = metrics.LatencySummary(
    'chivejunction_queue_seconds',
    'Time that attempts waited for a place.',
    'outcome',
)


@dataclasses.dataclass(slots=True, eq=False)
class QueuedAttempt:
    """Attempt in the queue, or running after it was admitted.

    Attributes:
        attempt: The attempt.
        start: Message that requested it.
        enqueued_at: Monotonic time of its arrival in seconds.
        charged_seconds: Run time charged to its organisation so far.
        is_granted: Whether it holds a slot of the window.
        refusal: Reason why it will not run, or None.
        decided: Set when it was granted a slot or refused.
        queue_entry: Its entry in the fair queue.
    """

    attempt: attempts.Attempt
    start: messages.Start
    enqueued_at: float
    charged_seconds: float = 0.0
    is_granted: bool = False
    refusal: errors.RefusalError | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    queue_entry: queues.QueueEntry | None = None


class AdmissionController:
    """Checks attempts and limits how many run at the same time.

    Organisations share the window by weight. An attempt is refused on
    arrival if its expected wait and run time exceed its deadline. It is
    checked again under the newest configuration when it leaves the queue.

    Args:
        view: Configuration of the agent.
        pool: Pool of the backend server.
        failure_domain: Failure domain of the backend server.
        window: Concurrency window of the backend server.
        leaving_seconds: How long a leaving server still starts attempts
            that were queued when it began to leave.

    Attributes:
        versions: Versions that the backend server has loaded.
        is_server_reachable: Whether the backend server accepts connections.
        running: Number of attempts that run.
        mean_run_seconds: Moving average of the run time of complete
            responses; 0 before the first.
    """

    def __init__(
        self,
        view: views.ConfigView,
        pool: str,
        failure_domain: str,
        window: windows.SlowStartWindow,
        leaving_seconds: float = 2.0,
    ):
        self._view = view
        self._pool = pool
        self._failure_domain = failure_domain
        self._leaving_seconds = leaving_seconds
        self._leaving_deadline: float | None = None
        self._queue = queues.FairQueue()
        self._window = window
        self.versions: frozenset[str] = frozenset()
        self.is_server_reachable = True
        self.running = 0
        self._running_by_version: collections.Counter[str] = (
            collections.Counter()
        )
        self.mean_run_seconds = 0.0
        self._run_seconds_deviation = 0.0

    @property
    def leaving(self) -> bool:
        """Whether new attempts are refused because the server is leaving."""
        return self._leaving_deadline is not None

    @property
    def queued(self) -> int:
        """Attempts that wait for a slot."""
        return len(self._queue)

    @property
    def window(self) -> int:
        """Attempts that may run at the same time."""
        return self._window.size

    def leave(self) -> None:
        """Refuses new attempts from now on."""
        if not self.leaving:
            self._leaving_deadline = clock.make_deadline(self._leaving_seconds)

    def check(self, start: messages.Start) -> None:
        """Checks whether an attempt may run on this backend server.

        Args:
            start: Message that requests the attempt.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        self._view.check_ready()
        if self._view.revision < start.revision:
            raise errors.RefusalError(
                'stale_config',
                f'agent is at revision {self._view.revision}',
            )
        if self.leaving:
            raise errors.RefusalError('leaving', 'the server is leaving')
        if start.target != self._pool:
            raise errors.RefusalError(
                'wrong_pool',
                f'the server belongs to pool {self._pool}',
            )
        self._check_configuration(start)

    def _check_configuration(self, start: messages.Start) -> None:
        if not self._view.is_domain_open(self._failure_domain):
            raise errors.RefusalError(
                'domain_closed',
                f'failure domain {self._failure_domain} is closed',
            )
        if start.version:
            self._check_version(start)
        else:
            self._check_service(start)

    def _check_version(self, start: messages.Start) -> None:
        if not self._view.accepts_new_work(start.version, bool(start.session)):
            raise errors.RefusalError(
                'version_withdrawn',
                f'{start.version} takes no new work',
            )
        if not self._view.is_allowed(start.organisation, start.version):
            raise errors.RefusalError(
                'version_not_allowed',
                f'{start.organisation} may not use {start.version}',
            )
        if start.version not in self.versions:
            raise errors.RefusalError(
                'version_not_loaded', f'{start.version} is not loaded'
            )

    def _check_service(self, start: messages.Start) -> None:
        organisation = self._view.organisations.get(start.organisation)
        allowed = organisation.services if organisation else ()
        if not any(
            s.pool == self._pool and s.name in allowed
            for s in self._view.services.values()
        ):
            raise errors.RefusalError(
                'service_not_allowed',
                f'{start.organisation} may not use pool {self._pool}',
            )

    def enqueue(
        self, attempt: attempts.Attempt, start: messages.Start
    ) -> QueuedAttempt:
        """Queues an attempt, or grants it a slot at once if one is free.

        Args:
            attempt: The attempt.
            start: Message that requested it.

        Returns:
            The queued attempt, for ``wait`` and ``release``.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        self.check(start)
        organisation = self._view.organisations.get(start.organisation)
        weight = organisation.weight if organisation else 1.0
        entry = QueuedAttempt(attempt, start, clock.now())
        if self._queue or self.running >= self.window:
            self._check_wait(attempt, start, weight)
            self._ensure_queue_capacity(start, weight)
        entry.queue_entry = queues.QueueEntry(
            start.organisation, weight, start.priority, entry
        )
        self._queue.push(entry.queue_entry)
        self._grant_free_slots()
        return entry

    def _check_wait(self, attempt, start, weight: float) -> None:
        wait = self.estimate_wait(start.organisation, weight, start.priority)
        if wait + self._run_seconds_bound > clock.remaining(attempt.deadline):
            raise self._make_overload_refusal(
                f'the expected wait is {wait:.2f} s',
                wait,
            )

    def estimate_wait(
        self, organisation: str, weight: float, priority: int
    ) -> float:
        """Returns the seconds that a new attempt is expected to wait.

        Args:
            organisation: Name of its organisation.
            weight: Weight of the organisation.
            priority: Priority of the attempt.
        """
        ahead = self._queue.count_ahead(organisation, weight, priority)
        # After the window has shrunk, attempts above its size must end before
        # another one starts.
        excess = max(0, self.running - self.window)
        return (ahead + excess + 1) * self.mean_run_seconds / self.window

    def _ensure_queue_capacity(
        self, start: messages.Start, weight: float
    ) -> None:
        pool = self._view.pools.get(self._pool)
        limit = pool.queue_length if pool else 0
        if len(self._queue) < limit:
            return
        evicted = self._queue.find_eviction_candidate(
            start.organisation, weight
        )
        if limit == 0 or evicted is None:
            raise self._make_overload_refusal('the queue is full')
        self._queue.remove(evicted)
        self._set_outcome(
            evicted.item, self._make_overload_refusal('the queue is full')
        )

    def _make_overload_refusal(
        self, detail: str, wait: float | None = None
    ) -> errors.RefusalError:
        if wait is None:
            wait = (self.queued + 1) * self.mean_run_seconds / self.window
        return errors.RefusalError(
            'overloaded',
            detail,
            retry_after=min(
                max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
            ),
        )

    async def wait(self, entry: QueuedAttempt) -> None:
        """Waits until an attempt is granted a slot of the window.

        Args:
            entry: Queued attempt, from ``enqueue``.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        try:
            with anyio.fail_after(clock.remaining(entry.attempt.deadline)):
                await entry.decided.wait()
        except TimeoutError as exc:
            self._cancel(entry)
            raise self._make_overload_refusal(
                'no place came free before the deadline'
            ) from exc
        except BaseException:
            self._cancel(entry)
            raise
        if entry.refusal is not None:
            raise entry.refusal

    def _cancel(self, entry: QueuedAttempt) -> None:
        if entry.is_granted:
            self.release(entry)
        else:
            self._queue.remove(entry.queue_entry)

    def release(self, entry: QueuedAttempt, run_seconds: float = 0.0) -> None:
        """Frees the slot of an attempt.

        Args:
            entry: Queued attempt, from ``enqueue``; must hold a slot.
            run_seconds: How long it used the server, 0 if not at all.
        """
        entry.is_granted = False
        self.running -= 1
        self._running_by_version[entry.start.version] -= 1
        self._queue.charge(
            entry.start.organisation, run_seconds - entry.charged_seconds
        )
        self._grant_free_slots()

    def count_running(self, version: str) -> int:
        """Returns the number of attempts that run on a version."""
        return self._running_by_version[version]

    def record_run(self, seconds: float) -> None:
        """Adds the run time of a complete response to the moving averages."""
        if not self.mean_run_seconds:
            self.mean_run_seconds = seconds
        error = seconds - self.mean_run_seconds
        self.mean_run_seconds += RUN_TIME_SMOOTHING_FACTOR * error
        self._run_seconds_deviation += RUN_TIME_SMOOTHING_FACTOR * (
            abs(error) - self._run_seconds_deviation
        )

    @property
    def _run_seconds_bound(self) -> float:
        """Time within which nearly all runs end.

        With the mean alone, half of the runs that start with barely enough
        time would reach their deadline in the middle of the response.
        """
        return (
            self.mean_run_seconds
            + RUN_TIME_DEVIATION_MULTIPLIER * self._run_seconds_deviation
        )

    def _grant_free_slots(self) -> None:
        while self.running < self.window:
            queue_entry = self._queue.pop(self.mean_run_seconds)
            if queue_entry is None:
                return
            entry = queue_entry.item
            refusal = self._recheck(entry)
            if refusal is None:
                entry.is_granted = True
                entry.charged_seconds = self.mean_run_seconds
                self.running += 1
                self._running_by_version[entry.start.version] += 1
                entry.attempt.has_filled_window = self.running >= self.window
            else:
                self._queue.charge(queue_entry.flow, -self.mean_run_seconds)
            self._set_outcome(entry, refusal)

    def _set_outcome(
        self, entry: QueuedAttempt, refusal: errors.RefusalError | None
    ) -> None:
        entry.refusal = refusal
        entry.decided.set()
        QUEUE_WAITS.record(
            'refused' if refusal else 'granted',
            clock.now() - entry.enqueued_at,
        )

    def _recheck(self, entry: QueuedAttempt) -> errors.RefusalError | None:
        """Returns why an attempt about to run is refused, or None."""
        try:
            self._check_configuration(entry.start)
            if self.leaving and clock.has_passed(self._leaving_deadline):
                return errors.RefusalError('leaving', 'the server is leaving')
            remaining = clock.remaining(entry.attempt.deadline)
            queued_seconds = clock.now() - entry.enqueued_at
            # A queued attempt that cannot end in time would only occupy a
            # slot that another attempt can use.
            if queued_seconds > 0.01 and remaining < self._run_seconds_bound:
                return self._make_overload_refusal('too little time is left')
            self._assert_invariants(entry)
        except errors.RefusalError as exc:
            return exc
        except errors.InvariantViolation as exc:
            metrics.count_violation(exc)
            return errors.RefusalError('internal', str(exc))
        return None

    def _assert_invariants(self, entry: QueuedAttempt) -> None:
        start, view = entry.start, self._view
        version = view.versions.get(start.version)
        withdrawn = version is not None and (
            version.state is resources.VersionState.WITHDRAWN
        )
        domain = view.failure_domains.get(self._failure_domain)
        leaving = self.leaving and clock.has_passed(self._leaving_deadline)
        violations = {
            'allowed_version': bool(start.version)
            and not view.is_allowed(start.organisation, start.version),
            'withdrawn_version': withdrawn,
            'closed_domain': domain is not None and domain.state == 'closed',
            'leaving_server': leaving,
            'slow_start': self.running >= self.window,
            'at_most_once': entry.attempt.state
            is not attempts.AttemptState.QUEUED,
        }
        for name, is_violated in violations.items():
            if is_violated:
                raise errors.InvariantViolation(
                    name, f'attempt {entry.attempt.id} was about to run'
                )

    def recheck_queue(self) -> None:
        """Refuses queued attempts that may no longer run here."""
        for queue_entry in list(self._queue):
            entry = queue_entry.item
            try:
                self._check_configuration(entry.start)
                if self.leaving and clock.has_passed(self._leaving_deadline):
                    raise errors.RefusalError(
                        'leaving', 'the server is leaving'
                    )
            except errors.RefusalError as exc:
                self._queue.remove(queue_entry)
                self._set_outcome(entry, exc)
        self._grant_free_slots()

    async def run(self, recheck_interval_seconds: float = 0.5) -> None:
        """Rechecks the queue after each configuration change and regularly.

        Args:
            recheck_interval_seconds: Longest time between two rechecks.
        """
        while True:
            with anyio.move_on_after(recheck_interval_seconds):
                await self._view.wait_newer(self._view.revision)
            self.recheck_queue()

    def _get_state(self) -> str:
        if self.leaving:
            return 'leaving'
        return 'ready' if self.is_server_reachable else 'down'

    def load(self) -> dict:
        """Returns the load as sent in heartbeats; see state.servers."""
        return {
            'r': self.running,
            'q': self.queued,
            'w': self.window,
            't': int(1000 * self._window.baseline_first_token_seconds),
            's': self._get_state(),
        }
