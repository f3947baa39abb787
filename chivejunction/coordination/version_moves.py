"""Moves of a service's requests to a new software version.

An operator orders a move; the servers of the new version run beside the old
ones. Requests move in stages that all gateways share through the store. Each
gateway judges the new version by its own answers and may end the move; the
first one that sees it as bad writes so, and stops at once by itself.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import json
import random
import statistics

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import rendezvous
from chivejunction.transport import stores

PREFIX = 'chivejunction/moves/'


def allow_all(version: str) -> bool:
    """Allows every version."""
    return True


class State(enum.Enum):
    """State of a move."""

    RUNNING = 'running'
    COMPLETE = 'complete'
    REVERTED = 'reverted'


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A part of a move.

    Attributes:
        starts_at: Part of the ordered time at which it starts.
        share: Part of the sessions on the new version.
    """

    starts_at: float
    share: float


# Sessions keep their version in the first half. The share stays below the
# exposure that users accept for a bad version (12% and more), and a version
# that turns bad under full load has the last stages to show it in.
STAGES = (
    Stage(0.0, 0.08),
    Stage(0.52, 0.3),
    Stage(0.6, 0.65),
    Stage(0.68, 1.0),
)
# Part of the ordered time at which a good move is declared complete; old
# servers end then, so requests on them need the time in between.
COMPLETE_AT = 0.9
TICK_SECONDS = 0.2
# Results that count for a judgement.
WINDOW_RESULTS = 40
WINDOW_SECONDS = 8.0
MIN_BAD = 3
BAD_SHARE = 0.2
BAD_RATIO = 3.0
# Times to the first byte relative to their estimates; bad versions are
# several times slower (the platform's page on rollouts).
MIN_TIMES = 8
SLOW_FACTOR = 3.0
SLOW_RATIO = 3.0
# A session that was seen within this time keeps its version.
SESSION_SECONDS = 10.0
MAX_SESSIONS = 20_000
# Old servers have left the store's list this long after a complete move.
SETTLE_SECONDS = 10.0
# Spread of the gateways' writes of the same stage, so that most of them see
# it written already.
WRITE_SPREAD_SECONDS = 0.6
HALT_SPREAD_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service.

    Attributes:
        service: Service to move.
        target: Version to move to.
        seconds: Time that the operator gives.
        revision: Revision of the order in the store; a new one is a new
            move.
    """

    service: str
    target: str
    seconds: float
    revision: int


@dataclasses.dataclass(slots=True)
class Results:
    """Recent results of one version.

    Attributes:
        rows: Time, whether it was good, and the relative time to the first
            byte or None.
    """

    rows: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW_RESULTS)
    )

    def add(self, is_good: bool, factor: float | None) -> None:
        """Adds the result of an attempt."""
        self.rows.append((clock.now(), is_good, factor))

    def _recent(self):
        since = clock.now() - WINDOW_SECONDS
        return [row for row in self.rows if row[0] >= since]

    def count(self) -> tuple[int, int]:
        """Returns the number of bad and of all recent results."""
        rows = self._recent()
        return sum(not row[1] for row in rows), len(rows)

    def median_factor(self) -> float | None:
        """Returns the median relative time, None with few results."""
        factors = [row[2] for row in self.rows if row[2] is not None]
        if len(factors) < MIN_TIMES:
            return None
        return statistics.median(factors)


@dataclasses.dataclass(slots=True)
class Move:
    """A move as this gateway knows it.

    Attributes:
        order: The operator's order.
        seen_at: Monotonic time at which this gateway saw the order.
        deadline: Monotonic time by which it has to be complete.
        stage: Index into STAGES.
        state: Its state.
        revision: Revision of its record in the store; 0 without one.
        is_halted: Whether this gateway found the version bad.
        is_recorded: Whether the store has a record of this very order.
        write_at: Monotonic time of the next write, 0 if none is due.
        ended_at: Monotonic time at which it was seen complete or reverted.
    """

    order: Order
    seen_at: float
    deadline: float
    stage: int = 0
    state: State = State.RUNNING
    revision: int = 0
    is_halted: bool = False
    is_recorded: bool = False
    write_at: float = 0.0
    ended_at: float = 0.0

    @property
    def share(self) -> float:
        """Part of the sessions that the new version gets."""
        if self.state is State.COMPLETE:
            return 1.0
        if self.is_halted or self.state is State.REVERTED:
            return 0.0
        return STAGES[self.stage].share

    def find_elapsed(self) -> float:
        """Returns the part of the ordered time that has passed."""
        return (clock.now() - self.seen_at) / max(1.0, self.order.seconds)


class VersionMoves:
    """Moves of all services.

    Args:
        store: Store of the shared records.
        describe: Returns the further keys to write with a state, for
            operators to read.
    """

    def __init__(
        self,
        store: stores.Store,
        describe: Callable[[Order, State], dict[str, bytes]],
    ):
        self._store = store
        self._describe = describe
        self._moves: dict[str, Move] = {}
        self._records: dict[str, stores.Entry] = {}
        self._results: dict[tuple[str, str], Results] = {}
        self._sessions: collections.OrderedDict[
            tuple[str, str], tuple[bool, float]
        ] = collections.OrderedDict()
        self._changed = anyio.Event()

    def set_order(self, order: Order) -> None:
        """Takes an operator's order."""
        known = self._moves.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        now = clock.now()
        self._moves[order.service] = Move(order, now, now + order.seconds)
        logs.log_decision(
            'version move ordered',
            service=order.service,
            target=order.target,
            seconds=order.seconds,
            revision=order.revision,
        )
        record = self._records.get(order.service)
        if record is not None:
            self.set_record(record)

    def drop_order(self, service: str) -> None:
        """Forgets an order that the operator took back."""
        self._moves.pop(service, None)

    def set_record(self, entry: stores.Entry) -> None:
        """Takes the shared record of a move."""
        try:
            value = json.loads(entry.value)
            service = entry.key[len(PREFIX) :]
            state = State(value['state'])
            stage = min(int(value['stage']), len(STAGES) - 1)
            order = int(value['order'])
            elapsed = float(value['elapsed'])
        except (ValueError, KeyError, TypeError) as exc:
            logs.LOG.warning('record %s is not valid: %r', entry.key, exc)
            return
        self._records[service] = entry
        move = self._moves.get(service)
        if move is None or entry.revision <= move.revision:
            return
        move.revision = entry.revision
        if order != move.order.revision:
            return
        move.is_recorded = True
        # Keeps the time that has passed when all gateways start anew.
        move.seen_at = min(
            move.seen_at, clock.now() - elapsed * move.order.seconds
        )
        move.stage = max(move.stage, stage)
        if move.state is State.RUNNING and state is not move.state:
            move.state = state
            move.ended_at = clock.now()
            logs.log_decision(
                'version move ended',
                service=service,
                target=move.order.target,
                state=state.value,
                revision=entry.revision,
            )

    def choose_versions(
        self,
        service: str,
        session: str,
        is_usable: Callable[[str], bool] = allow_all,
    ) -> Callable[[str], bool]:
        """Returns what tells whether a version may serve a session.

        Args:
            service: The service.
            session: The session.
            is_usable: Tells whether a version has servers with room. A
                session does not begin on a new version without.
        """
        move = self._moves.get(service)
        if move is None:
            return allow_all
        target = move.order.target
        if move.state is State.COMPLETE and clock.has_passed(
            move.ended_at + SETTLE_SECONDS
        ):
            return allow_all
        is_new = self._place_session(move, session, is_usable)
        return lambda version: (version == target) is is_new

    def _place_session(
        self, move: Move, session: str, is_usable: Callable[[str], bool]
    ) -> bool:
        key = (move.order.service, session)
        share = move.share
        now = clock.now()
        was_new, until = self._sessions.get(key, (False, 0.0))
        if share in (0.0, 1.0):
            is_new = share == 1.0
        elif now < until and (was_new or move.stage == 0):
            is_new = was_new
        else:
            place = rendezvous.hash_share(*key)
            is_new = place < share and is_usable(move.order.target)
        self._sessions[key] = (is_new, now + SESSION_SECONDS)
        self._sessions.move_to_end(key)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return is_new

    def record(
        self,
        service: str,
        version: str,
        is_good: bool,
        factor: float | None = None,
    ) -> None:
        """Takes the result of an attempt.

        Args:
            service: Service of the server.
            version: Its software version.
            is_good: Whether it answered well.
            factor: Time to the first byte relative to the estimate, None if
                it tells nothing.
        """
        results = self._results.setdefault((service, version), Results())
        results.add(is_good, factor)
        move = self._moves.get(service)
        if (
            move is not None
            and version == move.order.target
            and move.state is State.RUNNING
            and not move.is_halted
        ):
            self._judge(move)

    def _judge(self, move: Move) -> None:
        service, target = move.order.service, move.order.target
        new = self._results[service, target]
        bad, total = new.count()
        old_bad = old_total = 0
        old_factors = []
        for (name, version), results in self._results.items():
            if name == service and version != target:
                counts = results.count()
                old_bad += counts[0]
                old_total += counts[1]
                old_factors.append(results.median_factor())
        old_share = old_bad / old_total if old_total else 0.0
        is_failing = bad >= MIN_BAD and (
            bad / total > max(BAD_SHARE, BAD_RATIO * old_share)
        )
        factor = new.median_factor()
        usual = max([f for f in old_factors if f is not None], default=0.0)
        is_slow = factor is not None and (
            factor > max(SLOW_FACTOR, SLOW_RATIO * usual)
        )
        if is_failing or is_slow:
            move.is_halted = True
            logs.log_decision(
                'version found bad',
                service=service,
                target=target,
                bad=bad,
                total=total,
                old_share=round(old_share, 3),
                factor=factor,
                old_factor=usual,
                stage=move.stage,
            )
            self._changed.set()

    async def run(self) -> None:
        """Moves stages on and writes what was decided, until cancelled."""
        while True:
            for move in list(self._moves.values()):
                await self._advance(move)
            with anyio.move_on_after(TICK_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()

    async def _advance(self, move: Move) -> None:
        if move.state is not State.RUNNING:
            return
        stage, state = self._plan(move)
        if (stage, state) == (move.stage, move.state) and move.is_recorded:
            move.write_at = 0.0
            return
        if not move.write_at:
            spread = (
                HALT_SPREAD_SECONDS
                if move.is_halted
                else (WRITE_SPREAD_SECONDS)
            )
            move.write_at = clock.make_deadline(random.uniform(0, spread))
        if clock.has_passed(move.write_at):
            move.write_at = 0.0
            await self._write(move, stage, state)

    @staticmethod
    def _plan(move: Move) -> tuple[int, State]:
        """Returns the stage and state that a move should have now."""
        if move.is_halted:
            return move.stage, State.REVERTED
        elapsed = move.find_elapsed()
        stage = move.stage
        while (
            stage + 1 < len(STAGES) and elapsed >= STAGES[stage + 1].starts_at
        ):
            stage += 1
        if elapsed >= COMPLETE_AT and move.stage == len(STAGES) - 1:
            return stage, State.COMPLETE
        return stage, State.RUNNING

    async def _write(self, move: Move, stage: int, state: State) -> None:
        service = move.order.service
        key = PREFIX + service
        value = {
            'order': move.order.revision,
            'stage': stage,
            'state': state.value,
            'elapsed': round(move.find_elapsed(), 4),
        }
        try:
            revision = await self._store.swap(
                key,
                json.dumps(value).encode(),
                move.revision,
                also=self._describe(move.order, state),
            )
        except errors.StoreError as exc:
            logs.LOG.info('stage of %s not written: %s', service, exc)
            await self._reread(key)
            return
        logs.log_decision(
            'version move stage',
            service=service,
            target=move.order.target,
            stage=stage,
            state=state.value,
            revision=revision,
        )
        self.set_record(
            stores.Entry(key, json.dumps(value).encode(), revision, 0)
        )

    async def _reread(self, key: str) -> None:
        """Learns what the store has after a conflict or a lost answer."""
        try:
            entry = await self._store.get(key)
        except errors.StoreError as exc:
            logs.LOG.info('record %s not read: %s', key, exc)
            return
        if entry is not None:
            self.set_record(entry)
