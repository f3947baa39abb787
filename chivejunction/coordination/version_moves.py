"""Gradual moves of a service's requests to a new software version.

An operator orders a version move; servers of the new version run alongside
the old ones. Requests move in stages, which all gateways share through the
store. Each gateway evaluates the new version by the results of its own
attempts. A gateway that finds the version bad stops using it at once and
writes to the store that the move is reverted, for all other gateways.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import json
import math
import random
import statistics

import anyio
import pydantic

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import rendezvous
from chivejunction.transport import stores

PREFIX = 'chivejunction/moves/'


def allow_all(version: str) -> bool:
    """Allows every version."""
    return True


class State(enum.Enum):
    """State of a version move."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    REVERTED = 'reverted'


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a version move.

    Attributes:
        starts_at: Start of the stage, as a share of the ordered time.
        share: Share of the sessions that the new version serves.
    """

    starts_at: float
    share: float


# Sessions keep their version during the first half. The share of the first
# stage stays below the exposure that users accept for a bad version (12% and
# more). The later stages leave time to detect a version that fails only under
# full load.
STAGES = (
    Stage(0.0, 0.08),
    Stage(0.52, 0.3),
    Stage(0.6, 0.65),
    Stage(0.68, 1.0),
)
# Share of the ordered time after which a move without faults is declared
# complete. The old servers shut down then, so requests that still run on them
# have the time between the start of the last stage and this moment to finish.
COMPLETE_AT_SHARE = 0.9
ADVANCE_INTERVAL_SECONDS = 0.2
# Number of latest results of a version that are evaluated, and their maximum
# age. The age limit applies to the failure share, not to the latency ratios.
MAX_WINDOW_RESULTS = 40
WINDOW_SECONDS = 8.0
# A version is failing if it has at least MIN_FAILURES failures, and its share
# of failures exceeds both MAX_FAILURE_SHARE and MAX_FAILURE_SHARE_RATIO times
# the share of the old versions.
MIN_FAILURES = 3
MAX_FAILURE_SHARE = 0.2
MAX_FAILURE_SHARE_RATIO = 3.0
# A version is slow if the median of its latency ratios (time to the first byte
# divided by the estimate) exceeds both MAX_LATENCY_RATIO and
# MAX_RELATIVE_LATENCY_RATIO times the median of the old versions. Bad versions
# are several times slower (platform documentation on rollouts).
MIN_LATENCY_SAMPLES = 8
MAX_LATENCY_RATIO = 3.0
MAX_RELATIVE_LATENCY_RATIO = 3.0
# An interval between events that exceeds the lower quartile of those of the
# old versions by this factor is slow. Only intervals at servers with no more
# attempts in progress than usual are compared, since load slows them too.
SLOW_INTERVAL_RATIO = 2.5
MIN_INTERVAL_SAMPLES = 8
# Bounds of the share of slow intervals that the old versions are taken to
# have.
SLOW_SHARE_BOUNDS = (0.2, 0.5)
# A bad version is taken to have a share that is higher by this. A version is
# slow once the intervals are this many times as likely under that assumption
# (sequential probability ratio test).
SLOW_SHARE_DIFFERENCE = 0.4
MIN_LIKELIHOOD_RATIO = 200.0
# A session with a request within this time keeps its version.
SESSION_TTL_SECONDS = 10.0
# Time after the start of a move in which all gateways receive the order and
# tell each other of sessions on the old version. No session starts on the new
# version before.
SETTLE_SECONDS = 1.5
MAX_SESSIONS = 20_000
# Time after a complete move until the old servers are gone from the store.
OLD_SERVERS_REMOVED_SECONDS = 10.0
# Delay before a gateway writes a new stage, for each gateway that ranks before
# it, so that it finds the stage already written unless those are gone. News of
# a write reaches all gateways within about a second.
STAGE_WRITE_DELAY_SECONDS = 0.6
REVERT_WRITE_JITTER_SECONDS = 0.05
# Versions of a service that are remembered after their move was reverted.
MAX_WITHDRAWN_VERSIONS = 8
# A gateway that claims more results is not believed.
MAX_PEER_RESULTS = 2**32
# A record with a larger elapsed share of the ordered time is invalid.
MAX_ELAPSED_SHARE = 1e9


def is_latency_high(ratio: float | None, old_ratio: float) -> bool:
    """Returns whether a median latency ratio is far above the old one."""
    return ratio is not None and ratio > max(
        MAX_LATENCY_RATIO, MAX_RELATIVE_LATENCY_RATIO * old_ratio
    )


def is_in_first_share(session_hash: int) -> bool:
    """Returns whether a session belongs to the share of the first stage."""
    return rendezvous.to_fraction(session_hash) < STAGES[0].share


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service to another version.

    Attributes:
        service: Service to move.
        target: Version to move to.
        seconds: Time in seconds within which the move must be complete.
        revision: Revision of the order in the store. A higher revision
            starts a new move.
    """

    service: str
    target: str
    seconds: float
    revision: int


class MoveRecord(pydantic.BaseModel):
    """Record of a move in the store; unknown fields are ignored.

    Attributes:
        order: Revision of the operator's order.
        stage: Index into ``STAGES``.
        state: State of the move.
        elapsed: Elapsed share of the ordered time.
        withdrawn: Versions to which earlier moves were reverted, and the
            target of this one if it is.
    """

    model_config = pydantic.ConfigDict(strict=True, allow_inf_nan=False)

    order: int
    stage: int = pydantic.Field(ge=0)
    state: State
    elapsed: float = pydantic.Field(ge=0, le=MAX_ELAPSED_SHARE)
    withdrawn: list[str] = pydantic.Field(
        default_factory=list, max_length=MAX_WITHDRAWN_VERSIONS
    )


@dataclasses.dataclass(slots=True, eq=False)
class VersionResult:
    """Result of an attempt at a server of a version.

    Attributes:
        recorded_at: Monotonic time at which it was known.
        is_success: Whether the attempt succeeded, or has not failed so far;
            None if it was given up.
        latency_ratio: Time to the first byte divided by its estimate, or
            None.
    """

    recorded_at: float
    is_success: bool | None
    latency_ratio: float | None


@dataclasses.dataclass(slots=True)
class VersionResults:
    """Recent results of one version.

    Attributes:
        results: The latest results.
        intervals: Typical seconds between events of each stream, with the
            number of attempts in progress at its server.
    """

    results: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_WINDOW_RESULTS)
    )
    intervals: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_WINDOW_RESULTS)
    )

    def add(
        self, is_success: bool | None, latency_ratio: float | None
    ) -> VersionResult:
        """Adds and returns the result of an attempt."""
        result = VersionResult(clock.now(), is_success, latency_ratio)
        self.results.append(result)
        return result

    def count(self) -> tuple[int, int]:
        """Returns the number of failures and of results within the window."""
        since = clock.now() - WINDOW_SECONDS
        recent = [
            result.is_success
            for result in self.results
            if result.recorded_at >= since and result.is_success is not None
        ]
        return recent.count(False), len(recent)

    def find_median_latency_ratio(self) -> float | None:
        """Returns the median latency ratio, None with too few samples."""
        latency_ratios = [
            result.latency_ratio
            for result in self.results
            if result.latency_ratio is not None
        ]
        if len(latency_ratios) < MIN_LATENCY_SAMPLES:
            return None
        return statistics.median(latency_ratios)


def select_comparable(
    samples: list[tuple[float, float]], max_running: float
) -> list[float]:
    """Returns the intervals of servers with no more load than usual.

    Args:
        samples: Seconds between events and attempts in progress.
        max_running: Largest number of attempts in progress.
    """
    return [seconds for seconds, running in samples if running <= max_running]


@dataclasses.dataclass(frozen=True, slots=True)
class IntervalBaseline:
    """Intervals between events that the old versions usually have.

    Attributes:
        max_seconds: Interval above which one is slow.
        max_running: Attempts in progress above which none is compared.
        slow_share: Share of slow intervals.
    """

    max_seconds: float
    max_running: float
    slow_share: float

    @classmethod
    def make(
        cls, samples: list[tuple[float, float]]
    ) -> 'IntervalBaseline | None':
        """Returns the baseline of intervals; None if they are too few.

        Args:
            samples: Seconds between events and attempts in progress.
        """
        if len(samples) < MIN_INTERVAL_SAMPLES:
            return None
        quartile = statistics.quantiles(
            [seconds for seconds, _ in samples], n=4
        )[0]
        max_seconds = SLOW_INTERVAL_RATIO * quartile
        max_running = statistics.median(running for _, running in samples)
        compared = select_comparable(samples, max_running)
        slow_share = sum(s > max_seconds for s in compared) / len(compared)
        lowest, highest = SLOW_SHARE_BOUNDS
        return cls(
            max_seconds,
            max_running,
            min(highest, max(lowest, slow_share)),
        )

    def count(self, samples: list[tuple[float, float]]) -> tuple[int, int]:
        """Returns the numbers of slow and of other intervals."""
        compared = select_comparable(samples, self.max_running)
        slow = sum(seconds > self.max_seconds for seconds in compared)
        return slow, len(compared) - slow

    def is_slow(self, slow: int, other: int) -> bool:
        """Returns whether so many slow intervals show a slow version."""
        bad_share = self.slow_share + SLOW_SHARE_DIFFERENCE
        likelihood = slow * math.log(bad_share / self.slow_share)
        likelihood += other * math.log((1 - bad_share) / (1 - self.slow_share))
        return likelihood >= math.log(MIN_LIKELIHOOD_RATIO)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerResults:
    """Recent results of a new version at another gateway.

    Attributes:
        failures: Number of failures.
        total: Number of results.
        slow: Number of slow intervals between events.
        other: Number of intervals that are not slow.
        expires_at: Monotonic time until which they count.
    """

    failures: int
    total: int
    slow: int
    other: int
    expires_at: float


def compute_failure_share(results: list[VersionResults]) -> float:
    """Returns the share of failures in recent results, 0 without any."""
    counts = [version_results.count() for version_results in results]
    total = sum(count[1] for count in counts)
    return sum(count[0] for count in counts) / total if total else 0.0


def is_failing(failures: int, total: int, old_share: float) -> bool:
    """Returns whether too large a share of the results are failures.

    Args:
        failures: Number of failures of the new version.
        total: Number of its results.
        old_share: Share of failures of the old versions.
    """
    return failures >= MIN_FAILURES and (
        failures / total
        > max(MAX_FAILURE_SHARE, MAX_FAILURE_SHARE_RATIO * old_share)
    )


@dataclasses.dataclass(slots=True)
class Move:
    """A version move as known to this gateway.

    Attributes:
        order: The operator's order.
        started_at: Monotonic time at which the move started: when this
            gateway received the order, or earlier if the record in the
            store says so.
        stage: Index into ``STAGES``.
        state: State of the move.
        revision: Revision of its record in the store; 0 without a record.
        is_halted: Whether this gateway found the new version bad.
        is_recorded: Whether the record in the store belongs to this order.
        write_at: Monotonic time of the next write; 0 if none is scheduled.
        ended_at: Monotonic time at which this gateway learned that the move
            is complete or reverted.
        peer_results: Results of the new version at other gateways.
    """

    order: Order
    started_at: float
    stage: int = 0
    state: State = State.RUNNING
    revision: int = 0
    is_halted: bool = False
    is_recorded: bool = False
    write_at: float = 0.0
    ended_at: float = 0.0
    peer_results: dict[int, PeerResults] = dataclasses.field(
        default_factory=dict
    )

    @property
    def results_key(self) -> int:
        """Names this move and its target in the results of gateways."""
        return rendezvous.hash_key(
            self.order.service, f'{self.order.target}/{self.order.revision}'
        )

    @property
    def share(self) -> float:
        """Share of the sessions that the new version serves."""
        if self.state is State.COMPLETE:
            return 1.0
        if self.is_halted or self.state is State.REVERTED:
            return 0.0
        return STAGES[self.stage].share

    @property
    def opens_at(self) -> float:
        """Monotonic time from which sessions start on the new version."""
        return self.started_at + SETTLE_SECONDS

    def find_elapsed_share(self) -> float:
        """Returns the elapsed share of the ordered time."""
        return (clock.now() - self.started_at) / max(1.0, self.order.seconds)


@dataclasses.dataclass(slots=True)
class Session:
    """Version that serves a session.

    Attributes:
        service: Service of the session; empty if another gateway announced it.
        is_new: Whether the target of the latest move serves it.
        kept_until: Monotonic time until which it keeps its version.
    """

    service: str
    is_new: bool
    kept_until: float


class VersionMoves:
    """Version moves of all services.

    Args:
        store: Store of the shared records.
        make_status_entries: Returns the keys and values to write together
            with a state as a status report for operators.
        announce_session: Called with the hash of a session that must stay on
            the old version at the other gateways too.
        find_rank: Returns how many gateways are to write the stages of a
            service's move before this one.
        publish_results: Tells the other gateways of the results of a new
            version here: the key of the move, failures, results, slow and
            other intervals.
        knows_sessions: Returns whether this gateway has heard of the sessions
            that other gateways announced. Until then, sessions that it does
            not know count as sessions on the old version.
    """

    def __init__(
        self,
        store: stores.Store,
        make_status_entries: Callable[[Order, State], dict[str, bytes]],
        announce_session: Callable[[int], None] = lambda session_hash: None,
        find_rank: Callable[[str], int] = lambda service: 0,
        publish_results: Callable[[int, tuple], None] = lambda key, row: None,
        knows_sessions: Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._make_status_entries = make_status_entries
        self._moves: dict[str, Move] = {}
        self._records: dict[str, stores.Entry] = {}
        # By service, versions whose move was reverted, as sets that keep
        # their order. Their servers may still be listed.
        self._withdrawn: dict[str, dict[str, None]] = {}
        self._results: dict[tuple[str, str], VersionResults] = {}
        self._announce_session = announce_session
        self._find_rank = find_rank
        self._publish_results = publish_results
        self._knows_sessions = knows_sessions
        self._sessions: collections.OrderedDict[int, Session] = (
            collections.OrderedDict()
        )
        self._changed = anyio.Event()

    def set_order(self, order: Order) -> None:
        """Starts the move of an operator's order unless it is outdated."""
        current = self._moves.get(order.service)
        if current is not None and current.order.revision >= order.revision:
            return
        now = clock.now()
        if current is not None and current.share == 0.0:
            self._withdraw(order.service, current.order.target)
        self._withdrawn.get(order.service, {}).pop(order.target, None)
        self._moves[order.service] = Move(order, now)
        for session_hash, session in self._sessions.items():
            if session.service != order.service:
                continue
            # The target of the previous move is the old version of this one.
            session.is_new = False
            if now < session.kept_until and is_in_first_share(session_hash):
                self._announce_session(session_hash)
        logs.log_decision(
            'version move ordered',
            service=order.service,
            target=order.target,
            seconds=order.seconds,
            revision=order.revision,
        )
        record = self._records.get(order.service)
        if record is not None:
            self.apply_record(record)

    def remove_order(self, service: str) -> None:
        """Removes the order of a service that the operator withdrew."""
        self._moves.pop(service, None)
        self._withdrawn.pop(service, None)

    def _withdraw(self, service: str, version: str) -> None:
        """Lets no sessions of later moves use a version that was found bad."""
        versions = self._withdrawn.setdefault(service, {})
        versions[version] = None
        while len(versions) > MAX_WITHDRAWN_VERSIONS:
            del versions[next(iter(versions))]

    def apply_record(self, entry: stores.Entry) -> None:
        """Applies the record of a move from the store.

        A record that is invalid is logged and ignored, and replaced by the
        next write. A stage is never lowered, and a move that has ended does
        not resume.

        Args:
            entry: Entry of the store; its key ends with the service.
        """
        service = entry.key[len(PREFIX) :]
        move = self._moves.get(service)
        try:
            record = MoveRecord.model_validate_json(entry.value)
        except pydantic.ValidationError as exc:
            logs.LOG.warning(
                'ignored invalid version move record %r: %r', entry.key, exc
            )
            if move is not None and entry.revision > move.revision:
                move.revision, move.is_recorded = entry.revision, False
            return
        self._records[service] = entry
        if move is None or entry.revision <= move.revision:
            return
        move.revision = entry.revision
        for version in record.withdrawn:
            if version != move.order.target:
                self._withdraw(service, version)
        if record.order != move.order.revision:
            return
        move.is_recorded = True
        # Keeps the elapsed time if all gateways restart.
        move.started_at = min(
            move.started_at, clock.now() - record.elapsed * move.order.seconds
        )
        move.stage = max(move.stage, min(record.stage, len(STAGES) - 1))
        if move.state is State.RUNNING and record.state is not move.state:
            move.state = record.state
            move.ended_at = clock.now()
            logs.log_decision(
                'version move ended',
                service=service,
                target=move.order.target,
                state=record.state.value,
                revision=entry.revision,
            )

    def make_version_filter(
        self,
        service: str,
        session: str,
        is_usable: Callable[[str], bool] = allow_all,
    ) -> Callable[[str], bool]:
        """Returns a predicate of the versions that may serve a session.

        Args:
            service: Name of the service.
            session: Session id.
            is_usable: Returns whether a version has servers with free
                capacity. Sessions start on the new version only if it has.
        """
        session_hash = rendezvous.hash_key(service, session)
        move = self._moves.get(service)
        if move is None or (
            move.state is State.COMPLETE
            and clock.has_passed(move.ended_at + OLD_SERVERS_REMOVED_SECONDS)
        ):
            # Only sessions of the first share could change their version when
            # the next move starts.
            if is_in_first_share(session_hash):
                self._keep_session(session_hash, service, False)
            return self._allow_unless_withdrawn(service)
        target = move.order.target
        is_new = self._assign_session(move, session_hash, is_usable)
        self._keep_session(session_hash, service, is_new)
        if (
            not is_new
            and move.stage == 0
            and move.state is State.RUNNING
            and is_in_first_share(session_hash)
        ):
            self._announce_session(session_hash)
        withdrawn = self._withdrawn.get(service, ())
        return lambda version: (
            (version == target) is is_new and version not in withdrawn
        )

    def _allow_unless_withdrawn(self, service: str) -> Callable[[str], bool]:
        withdrawn = self._withdrawn.get(service)
        if not withdrawn:
            return allow_all
        return lambda version: version not in withdrawn

    def _assign_session(
        self, move: Move, session_hash: int, is_usable: Callable[[str], bool]
    ) -> bool:
        """Returns whether the new version serves a session.

        In the first stage, a session with recent requests keeps its version.
        In later stages this applies only to sessions on the new version.
        """
        share = move.share
        if share in (0.0, 1.0):
            return share == 1.0
        now = clock.now()
        session = self._sessions.get(session_hash)
        if (
            session is not None
            and now < session.kept_until
            and (session.is_new or move.stage == 0)
        ):
            return session.is_new
        return (
            rendezvous.to_fraction(session_hash) < share
            and now >= move.opens_at
            and self._knows_sessions()
            and is_usable(move.order.target)
        )

    def _keep_session(
        self,
        session_hash: int,
        service: str,
        is_new: bool,
        seconds: float = SESSION_TTL_SECONDS,
    ) -> None:
        self._sessions[session_hash] = Session(
            service, is_new, clock.make_deadline(seconds)
        )
        self._sessions.move_to_end(session_hash)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)

    @property
    def is_in_first_stage(self) -> bool:
        """Whether a move is in its first stage."""
        return any(
            move.stage == 0 and move.state is State.RUNNING
            for move in self._moves.values()
        )

    def list_old_sessions(self) -> list[tuple[int, float]]:
        """Returns the sessions that stay on the old version of a service.

        These are hashes, and seconds for which the sessions are kept. There
        are none unless a move is in its first stage.
        """
        if not self.is_in_first_stage:
            return []
        now = clock.now()
        return [
            (session_hash, session.kept_until - now)
            for session_hash, session in self._sessions.items()
            if not session.is_new
            and session.kept_until > now
            and is_in_first_share(session_hash)
        ]

    def keep_on_old_version(
        self, session_hash: int, seconds: float = SESSION_TTL_SECONDS
    ) -> None:
        """Keeps a session that another gateway served by the old version.

        Args:
            session_hash: Hash that the other gateway announced.
            seconds: Time in seconds for which it is kept.
        """
        seconds = min(seconds, SESSION_TTL_SECONDS)
        session = self._sessions.get(session_hash)
        # After contradicting announcements, the session stays where this
        # gateway has sent it.
        if (
            session is None
            or not session.is_new
            or clock.has_passed(session.kept_until)
        ):
            service = session.service if session else ''
            if session is not None and not session.is_new:
                seconds = max(seconds, session.kept_until - clock.now())
            self._keep_session(session_hash, service, False, seconds)

    def record(
        self,
        service: str,
        version: str,
        is_success: bool | None,
        latency_ratio: float | None = None,
    ) -> VersionResult:
        """Records the result of an attempt and evaluates the new version.

        Args:
            service: Service of the server.
            version: Software version of the server.
            is_success: Whether the attempt succeeded, or has begun to; None
                if it was given up.
            latency_ratio: Time to the first byte divided by its estimate;
                None if it says nothing about the version.

        Returns:
            The result, for ``record_failure``.
        """
        results = self._results.setdefault(
            (service, version), VersionResults()
        )
        result = results.add(is_success, latency_ratio)
        self._evaluate_target(service, version)
        return result

    def record_failure(
        self, service: str, version: str, begun: VersionResult | None = None
    ) -> None:
        """Records that an attempt failed and evaluates the new version.

        Args:
            service: Service of the server.
            version: Software version of the server.
            begun: Result recorded as the response began, which the failure
                replaces; None without one.
        """
        results = self._results.get((service, version))
        # The result may have left the bounded list meanwhile.
        if results is None or begun not in results.results:
            self.record(service, version, False)
            return
        begun.is_success, begun.recorded_at = False, clock.now()
        self._evaluate_target(service, version)

    def record_interval(
        self, service: str, version: str, seconds: float, running: float
    ) -> None:
        """Records the pace of a stream and evaluates the new version.

        Args:
            service: Service of the server.
            version: Software version of the server.
            seconds: Typical time between two events.
            running: Attempts in progress at the server.
        """
        results = self._results.setdefault(
            (service, version), VersionResults()
        )
        results.intervals.append((seconds, running))
        self._evaluate_target(service, version)

    def _evaluate_target(self, service: str, version: str) -> None:
        move = self._moves.get(service)
        if move is not None and version == move.order.target:
            self._evaluate(move, has_new_results=True)

    def apply_peer_results(
        self, peer: int, row: tuple, expires_at: float
    ) -> None:
        """Adds the results of a new version at another gateway.

        Args:
            peer: Identifies the gateway.
            row: Key of the move, failures, results, slow and other intervals.
            expires_at: Monotonic time until which they count.

        Raises:
            ValueError: The results are no numbers of results.
        """
        key, failures, total, slow, other = row
        counts = (failures, total, slow, other)
        if (
            any(type(count) is not int for count in counts)
            or not 0 <= failures <= total
            or not all(0 <= count <= MAX_PEER_RESULTS for count in counts)
        ):
            raise ValueError(f'{counts} are no numbers of results')
        for move in self._moves.values():
            if move.results_key == key:
                move.peer_results[peer] = PeerResults(
                    failures, total, slow, other, expires_at
                )
                self._evaluate(move)

    def _list_old_results(self, move: Move) -> list[VersionResults]:
        return [
            results
            for (name, version), results in self._results.items()
            if name == move.order.service and version != move.order.target
        ]

    def _evaluate(self, move: Move, has_new_results: bool = False) -> None:
        """Halts a move if the new version is failing or slow.

        The results of all gateways count together: each of many gateways
        sees too few to tell.
        """
        if move.state is not State.RUNNING or move.is_halted:
            return
        service, target = move.order.service, move.order.target
        new_results = self._results.get((service, target), VersionResults())
        failures, total = new_results.count()
        old_results = self._list_old_results(move)
        old_share = compute_failure_share(old_results)
        baseline = IntervalBaseline.make(
            [row for results in old_results for row in results.intervals]
        )
        slow = other = 0
        if baseline is not None:
            slow, other = baseline.count(list(new_results.intervals))
        if has_new_results:
            self._publish_results(
                move.results_key, (failures, total, slow, other)
            )
        for peer, results in list(move.peer_results.items()):
            if clock.has_passed(results.expires_at):
                del move.peer_results[peer]
                continue
            failures += results.failures
            total += results.total
            slow += results.slow
            other += results.other
        latency_ratio = new_results.find_median_latency_ratio()
        old_latency_ratio = max(
            (
                ratio
                for results in old_results
                if (ratio := results.find_median_latency_ratio()) is not None
            ),
            default=0.0,
        )
        if (
            is_failing(failures, total, old_share)
            or is_latency_high(latency_ratio, old_latency_ratio)
            or (baseline is not None and baseline.is_slow(slow, other))
        ):
            move.is_halted = True
            logs.log_decision(
                'version found bad',
                service=service,
                target=target,
                bad=failures,
                total=total,
                old_share=round(old_share, 3),
                slow_streams=slow,
                other_streams=other,
                slow_interval=(
                    None
                    if baseline is None
                    else round(baseline.max_seconds, 4)
                ),
                gateways=1 + len(move.peer_results),
                factor=latency_ratio,
                old_factor=old_latency_ratio,
                stage=move.stage,
            )
            self._changed.set()

    async def run(self) -> None:
        """Advances all moves and writes their records, until cancelled."""
        while True:
            for service, move in list(self._moves.items()):
                containment.expect_progress()
                with containment.contain('version move', service=service):
                    await self._advance(move)
            containment.expect_progress()
            with anyio.move_on_after(ADVANCE_INTERVAL_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()

    async def _advance(self, move: Move) -> None:
        """Schedules or performs the write of a new stage or state."""
        if move.state is not State.RUNNING:
            return
        stage, state = self._plan(move)
        if (stage, state) == (move.stage, move.state) and move.is_recorded:
            move.write_at = 0.0
            return
        if not move.write_at:
            delay = (
                random.uniform(0, REVERT_WRITE_JITTER_SECONDS)
                if move.is_halted
                else STAGE_WRITE_DELAY_SECONDS
                * self._find_rank(move.order.service)
            )
            move.write_at = clock.make_deadline(delay)
        if clock.has_passed(move.write_at):
            move.write_at = 0.0
            await self._write(move, stage, state)

    @staticmethod
    def _plan(move: Move) -> tuple[int, State]:
        """Returns the stage and state that are due.

        A move becomes complete only after its last stage was recorded.
        """
        if move.is_halted:
            return move.stage, State.REVERTED
        elapsed = move.find_elapsed_share()
        stage = move.stage
        while (
            stage + 1 < len(STAGES) and elapsed >= STAGES[stage + 1].starts_at
        ):
            stage += 1
        if elapsed >= COMPLETE_AT_SHARE and move.stage == len(STAGES) - 1:
            return stage, State.COMPLETE
        return stage, State.RUNNING

    async def _write(self, move: Move, stage: int, state: State) -> None:
        """Writes the record of a move, or reads it after a failed write."""
        service = move.order.service
        key = PREFIX + service
        value = {
            'order': move.order.revision,
            'stage': stage,
            'state': state.value,
            'elapsed': round(move.find_elapsed_share(), 4),
            'withdrawn': self._list_withdrawn(move, state),
        }
        try:
            revision = await self._store.swap(
                key,
                json.dumps(value).encode(),
                move.revision,
                extra_entries=self._make_status_entries(move.order, state),
            )
        except errors.StoreError as exc:
            logs.LOG.info(
                'cannot write version move record of %s: %s', service, exc
            )
            await self._read_record(move, key)
            return
        logs.log_decision(
            'version move stage',
            service=service,
            target=move.order.target,
            stage=stage,
            state=state.value,
            revision=revision,
        )
        self.apply_record(
            stores.Entry(key, json.dumps(value).encode(), revision, 0)
        )

    def _list_withdrawn(self, move: Move, state: State) -> list[str]:
        """Returns the versions that the record of a move is to name."""
        versions = list(self._withdrawn.get(move.order.service, ()))
        if state is State.REVERTED:
            versions.append(move.order.target)
        return versions[-MAX_WITHDRAWN_VERSIONS:]

    async def _read_record(self, move: Move, key: str) -> None:
        """Applies the store's record after a conflict or a lost response."""
        try:
            entry = await self._store.get(key)
        except errors.StoreError as exc:
            logs.LOG.info('cannot read version move record %s: %s', key, exc)
            return
        if entry is None:
            # It was deleted; the next write creates it again.
            move.revision, move.is_recorded = 0, False
        else:
            self.apply_record(entry)
