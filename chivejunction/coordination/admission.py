"""The agent's last check before a request reaches its engine."""

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

# Weight of the newest run in the mean run time.
RUN_SHARE = 0.1
# Mean deviations above the mean run, as in the retransmission timer of TCP.
DEVIATIONS = 4.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 30.0

WAITS = metrics.Latency(
    'chivejunction_queue_seconds',
    'Time that attempts waited for a place.',
    'outcome',
)


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """An attempt that waits for a place in the window.

    Attributes:
        attempt: The attempt.
        start: Message that asked for it.
        since: Monotonic time of its arrival.
        cost: Run time in seconds charged to its organisation so far.
        granted: Whether it holds a place.
        refusal: Why it will not run, or None.
        settled: Set when it was granted or refused.
    """

    attempt: attempts.Attempt
    start: messages.Start
    since: float
    cost: float = 0.0
    granted: bool = False
    refusal: errors.RefusalError | None = None
    settled: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    place: queues.Place | None = None


class Admission:
    """Checks attempts and limits how many run at a time.

    Organisations share the window by weight. An attempt is refused on
    arrival when the expected wait and run time exceed its deadline, and it
    is checked again under the newest configuration when it leaves the
    queue.

    Args:
        view: Configuration of the agent.
        pool: Pool of the backend server.
        failure_domain: Failure domain of the backend server.
        window: Concurrency window of the backend server.
        leaving_seconds: How long a leaving server still starts attempts
            that waited when it began to leave.
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
        self.reachable = True
        self.running = 0
        self._by_version: collections.Counter[str] = collections.Counter()
        self.run_seconds = 0.0
        self._deviation = 0.0

    @property
    def leaving(self) -> bool:
        """Whether new work is refused because the server leaves."""
        return self._leaving_deadline is not None

    @property
    def queued(self) -> int:
        """Attempts that wait for a place."""
        return len(self._queue)

    @property
    def window(self) -> int:
        """Requests that may run at the same time."""
        return self._window.size

    def leave(self) -> None:
        """Refuses new work from now on."""
        if not self.leaving:
            self._leaving_deadline = clock.make_deadline(self._leaving_seconds)

    def check(self, start: messages.Start) -> None:
        """Checks whether an attempt may run on this backend server.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        self._view.check_ready()
        if self._view.revision < start.revision:
            raise errors.RefusalError(
                'stale_config', f'agent is at revision {self._view.revision}'
            )
        if self.leaving:
            raise errors.RefusalError('leaving', 'the server is leaving')
        if start.target != self._pool:
            raise errors.RefusalError(
                'wrong_pool', f'the server belongs to pool {self._pool}'
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
                'version_withdrawn', f'{start.version} takes no new work'
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
        who = self._view.organisations.get(start.organisation)
        allowed = who.services if who else ()
        if not any(
            s.pool == self._pool and s.name in allowed
            for s in self._view.services.values()
        ):
            raise errors.RefusalError(
                'service_not_allowed',
                f'{start.organisation} may not use pool {self._pool}',
            )

    def enter(
        self, attempt: attempts.Attempt, start: messages.Start
    ) -> Waiting:
        """Gives an attempt a waiting place, or a running one at once.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        self.check(start)
        who = self._view.organisations.get(start.organisation)
        weight = who.weight if who else 1.0
        entry = Waiting(attempt, start, clock.now())
        if self._queue or self.running >= self.window:
            self._check_wait(attempt, start, weight)
            self._make_room(start, weight)
        entry.place = queues.Place(
            start.organisation, weight, start.priority, entry
        )
        self._queue.push(entry.place)
        self._serve()
        return entry

    def _check_wait(self, attempt, start, weight: float) -> None:
        wait = self.expect_wait(start.organisation, weight, start.priority)
        if wait + self._needed_seconds > clock.remaining(attempt.deadline):
            raise self._make_overloaded(
                f'the expected wait is {wait:.2f} s', wait
            )

    def expect_wait(
        self, organisation: str, weight: float, priority: int
    ) -> float:
        """Returns the seconds that a new attempt is expected to wait."""
        ahead = self._queue.count_ahead(organisation, weight, priority)
        # A window that shrank must first drain before it takes more.
        excess = max(0, self.running - self.window)
        return (ahead + excess + 1) * self.run_seconds / self.window

    def _make_room(self, start: messages.Start, weight: float) -> None:
        pool = self._view.pools.get(self._pool)
        limit = pool.queue_length if pool else 0
        if len(self._queue) < limit:
            return
        excess = self._queue.find_excess(start.organisation, weight)
        if limit == 0 or excess is None:
            raise self._make_overloaded('the queue is full')
        self._queue.drop(excess)
        self._settle(excess.item, self._make_overloaded('the queue is full'))

    def _make_overloaded(
        self, detail: str, wait: float | None = None
    ) -> errors.RefusalError:
        if wait is None:
            wait = (self.queued + 1) * self.run_seconds / self.window
        return errors.RefusalError(
            'overloaded',
            detail,
            retry_after=min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
        )

    async def wait(self, entry: Waiting) -> None:
        """Waits for a free place in the window.

        Raises:
            RefusalError: The attempt is refused and has not run.
        """
        try:
            with anyio.fail_after(clock.remaining(entry.attempt.deadline)):
                await entry.settled.wait()
        except TimeoutError as exc:
            self._abandon(entry)
            raise self._make_overloaded(
                'no place came free before the deadline'
            ) from exc
        except BaseException:
            self._abandon(entry)
            raise
        if entry.refusal is not None:
            raise entry.refusal

    def _abandon(self, entry: Waiting) -> None:
        if entry.granted:
            self.release(entry)
        else:
            self._queue.drop(entry.place)

    def release(self, entry: Waiting, run_seconds: float = 0.0) -> None:
        """Frees the place of an attempt.

        Args:
            entry: What ``enter`` returned; must be granted.
            run_seconds: How long it used the server, zero if not at all.
        """
        entry.granted = False
        self.running -= 1
        self._by_version[entry.start.version] -= 1
        self._queue.charge(entry.start.organisation, run_seconds - entry.cost)
        self._serve()

    def count_version(self, version: str) -> int:
        """Returns the attempts that run on a version."""
        return self._by_version[version]

    def record_run(self, seconds: float) -> None:
        """Takes the run time of a whole answer into the mean."""
        if not self.run_seconds:
            self.run_seconds = seconds
        error = seconds - self.run_seconds
        self.run_seconds += RUN_SHARE * error
        self._deviation += RUN_SHARE * (abs(error) - self._deviation)

    @property
    def _needed_seconds(self) -> float:
        """Time within which nearly all runs end.

        With the mean alone, half of the runs that start with just enough
        time would break off inside their answer.
        """
        return self.run_seconds + DEVIATIONS * self._deviation

    def _serve(self) -> None:
        while self.running < self.window:
            place = self._queue.pop(self.run_seconds)
            if place is None:
                return
            entry = place.item
            refusal = self._judge(entry)
            if refusal is None:
                entry.granted = True
                entry.cost = self.run_seconds
                self.running += 1
                self._by_version[entry.start.version] += 1
                entry.attempt.has_filled_window = self.running >= self.window
            else:
                self._queue.charge(place.flow, -self.run_seconds)
            self._settle(entry, refusal)

    def _settle(
        self, entry: Waiting, refusal: errors.RefusalError | None
    ) -> None:
        entry.refusal = refusal
        entry.settled.set()
        WAITS.record(
            'refused' if refusal else 'granted', clock.now() - entry.since
        )

    def _judge(self, entry: Waiting) -> errors.RefusalError | None:
        """Checks an attempt that is about to run."""
        try:
            self._check_configuration(entry.start)
            if self.leaving and clock.has_passed(self._leaving_deadline):
                return errors.RefusalError('leaving', 'the server is leaving')
            left = clock.remaining(entry.attempt.deadline)
            waited = clock.now() - entry.since
            # After a wait, a run that cannot end in time would only take
            # the place of one that can.
            if waited > 0.01 and left < self._needed_seconds:
                return self._make_overloaded('too little time is left')
            self._assert_invariants(entry)
        except errors.RefusalError as exc:
            return exc
        except errors.InvariantViolation as exc:
            metrics.count_violation(exc)
            return errors.RefusalError('internal', str(exc))
        return None

    def _assert_invariants(self, entry: Waiting) -> None:
        start, view = entry.start, self._view
        version = view.versions.get(start.version)
        withdrawn = version is not None and (
            version.state is resources.VersionState.WITHDRAWN
        )
        domain = view.failure_domains.get(self._failure_domain)
        leaving = self.leaving and clock.has_passed(self._leaving_deadline)
        facts = {
            'allowed_version': bool(start.version)
            and not view.is_allowed(start.organisation, start.version),
            'withdrawn_version': withdrawn,
            'closed_domain': domain is not None and domain.state == 'closed',
            'leaving_server': leaving,
            'slow_start': self.running >= self.window,
            'at_most_once': entry.attempt.state
            is not attempts.AttemptState.QUEUED,
        }
        for name, broken in facts.items():
            if broken:
                raise errors.InvariantViolation(
                    name, f'attempt {entry.attempt.id} is about to run'
                )

    def sweep(self) -> None:
        """Refuses waiting attempts that may no longer run here."""
        for place in list(self._queue):
            entry = place.item
            try:
                self._check_configuration(entry.start)
                if self.leaving and clock.has_passed(self._leaving_deadline):
                    raise errors.RefusalError(
                        'leaving', 'the server is leaving'
                    )
            except errors.RefusalError as exc:
                self._queue.drop(place)
                self._settle(entry, exc)
        self._serve()

    async def run(self, sweep_seconds: float = 0.5) -> None:
        """Sweeps the queue at once after a change, and regularly."""
        while True:
            with anyio.move_on_after(sweep_seconds):
                await self._view.wait_newer(self._view.revision)
            self.sweep()

    def _name_state(self) -> str:
        if self.leaving:
            return 'leaving'
        return 'ready' if self.reachable else 'down'

    def load(self) -> dict:
        """Returns the load for heartbeats; see state.servers."""
        return {
            'r': self.running,
            'q': self.queued,
            'w': self.window,
            't': int(1000 * self._window.first_token),
            's': self._name_state(),
        }
