"""Rollouts: shares by hash, sequential tests, halts and stages."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import configuration
from chivejunction.coordination import ratings
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import views

RUNNING = resources.RolloutState.RUNNING
PAUSED = resources.RolloutState.PAUSED
HALTED = resources.RolloutState.HALTED
COMPLETE = resources.RolloutState.COMPLETE

# Bound on the probability that any gateway halts a version that is no worse
# than its rollout allows.
FALSE_HALT_RATE = 0.01
# Parts of the largest possible bet; see Evidence.
BETS = (0.1, 0.25, 0.5, 0.75, 0.9)
MIN_REFERENCE = 50
MAX_WAITING = 200
# Sample size at which the confidence sequence is tightest.
SEQUENCE_SIZE = 100
# First tokens of the old version slower than this part of them count as slow;
# the new version may have twice as many.
SLOW_SHARE = 0.1
MAX_SLOW_SHARE = 0.2
MAX_MISSING_INCREASE = 0.2
LATENCY_SAMPLES = 200
# Until this many ratings, answers that are not rated yet are bounded.
MIN_RATINGS = 30
FIRST_UNRATED = 2
RATINGS_FOR_ONE_MORE = 4
# Lets gateways save the pins of the first range before it moves.
SETTLE_SECONDS = 5.0
TICK_SECONDS = 1.0
MAX_ADVANCE_DELAY_SECONDS = 10.0
MAX_TRIES = 5


class Reference:
    """Running mean of observations from 0 to 1 of the old version."""

    def __init__(self):
        self.count = 0
        self._mean = 0.0
        self._squares = 0.0

    def add(self, value: float) -> None:
        """Adds an observation."""
        self.count += 1
        delta = value - self._mean
        self._mean += delta / self.count
        self._squares += delta * (value - self._mean)

    def lower_bound(self, alpha: float) -> float:
        """Returns a bound that holds at all times with 1 - alpha.

        It is a confidence sequence by a normal mixture, so it may be read
        after each observation.
        """
        n = self.count
        variance = max(self._squares / n, 1 / n)
        width = math.sqrt(
            variance
            * (n + SEQUENCE_SIZE)
            / (n * n)
            * 2
            * (
                0.5 * math.log((n + SEQUENCE_SIZE) / SEQUENCE_SIZE)
                + math.log(1 / alpha)
            )
        )
        return self._mean - width


class Evidence:
    """Evidence that a mean of observations from 0 to 1 is below a floor.

    A test by betting: wealth that starts at 1 is bet on observations below
    the floor. When the mean is not below it, wealth is a supermartingale and
    ever reaches 1 / alpha with a probability of at most alpha, however often
    one looks. The wealth of several sizes of bets is averaged, since the
    best size depends on how bad the version is.
    """

    def __init__(self):
        self.count = 0
        self._logs = [0.0] * len(BETS)

    def add(self, value: float, floor: float) -> None:
        """Adds an observation with the floor known before it."""
        self.count += 1
        if floor <= 0:
            return
        floor = min(floor, 0.999)
        for i, bet in enumerate(BETS):
            size = bet / (1 - floor)
            self._logs[i] += math.log1p(size * (floor - value))

    def is_conclusive(self, alpha: float) -> bool:
        """Tells whether the wealth has reached 1 / alpha."""
        top = max(self._logs)
        total = math.fsum(math.exp(x - top) for x in self._logs)
        return top + math.log(total / len(self._logs)) >= -math.log(alpha)


class Comparison:
    """Compares new observations with those of the old version.

    Args:
        name: What is compared, for the reason of a halt.
        margin: How far the new mean may be below the old one.
        alpha: Bound on the probability of a false conclusion.
    """

    def __init__(self, name: str, margin: float, alpha: float):
        self.name = name
        self._margin = margin
        self._alpha = alpha / 2
        self._old = Reference()
        self._new = Evidence()
        self._waiting: collections.deque[float] = collections.deque(
            maxlen=MAX_WAITING
        )

    def add_old(self, value: float) -> None:
        """Adds an observation of the old version."""
        self._old.add(value)

    def add_new(self, value: float) -> bool:
        """Adds an observation; returns whether the new version is worse."""
        self._waiting.append(value)
        if self._old.count < MIN_REFERENCE:
            return False
        floor = self._old.lower_bound(self._alpha) - self._margin
        while self._waiting:
            self._new.add(self._waiting.popleft(), floor)
        return self._new.is_conclusive(self._alpha)


class RolloutTest:
    """Sequential test of a new version against the old one.

    Args:
        rollout: The rollout.
        gateways: Gateways that test at the same time; each may halt, so
            they share the bound on false halts.
        false_halt_rate: Bound for all gateways together.
    """

    def __init__(
        self,
        rollout: resources.Rollout,
        gateways: int = 1,
        false_halt_rate: float = FALSE_HALT_RATE,
    ):
        alpha = false_halt_rate / 4 / max(gateways, 1)
        self.rollout = rollout
        self.rated = 0
        self._ratings = Comparison('ratings', rollout.max_quality_drop, alpha)
        self._missing = Comparison(
            'missing ratings', MAX_MISSING_INCREASE, alpha
        )
        self._errors = Comparison('errors', rollout.max_error_increase, alpha)
        self._slow = Evidence()
        self._alpha = alpha
        self._latencies: collections.deque[float] = collections.deque(
            maxlen=LATENCY_SAMPLES
        )
        self.reason = ''

    def _conclude(self, is_worse: bool, name: str) -> None:
        if is_worse and not self.reason:
            self.reason = (
                f'{name} of {self.rollout.to_version} are worse than of '
                f'{self.rollout.from_version}'
            )

    def add_rating(self, version: str, rating: float | None) -> None:
        """Adds a rating, or None for a missing one."""
        came = float(rating is not None)
        if version == self.rollout.from_version:
            self._missing.add_old(came)
            if rating is not None:
                self._ratings.add_old(rating)
        elif version == self.rollout.to_version:
            self._conclude(self._missing.add_new(came), self._missing.name)
            if rating is not None:
                self.rated += 1
                self._conclude(
                    self._ratings.add_new(rating), self._ratings.name
                )

    def add_step(
        self, version: str, first_token: float | None, failed: bool
    ) -> None:
        """Adds the outcome of a step.

        Args:
            version: Version that ran.
            first_token: Seconds to the first data, None without any.
            failed: Whether the step failed.
        """
        good = float(not failed)
        if version == self.rollout.from_version:
            self._errors.add_old(good)
            if first_token is not None:
                self._latencies.append(first_token)
        elif version == self.rollout.to_version:
            self._conclude(self._errors.add_new(good), self._errors.name)
            if (
                first_token is not None
                and len(self._latencies) >= MIN_REFERENCE
            ):
                self._add_latency(first_token)

    def _add_latency(self, first_token: float) -> None:
        ordered = sorted(self._latencies)
        usual = ordered[int((1 - SLOW_SHARE) * (len(ordered) - 1))]
        is_fast = first_token <= self.rollout.max_latency_ratio * usual
        self._slow.add(float(is_fast), 1 - MAX_SLOW_SHARE)
        self._conclude(
            self._slow.is_conclusive(self._alpha), 'first-token times'
        )


def find_next_share(rollout: resources.Rollout) -> float:
    """Returns the next higher share, the present one at the last stage."""
    return next(
        (stage for stage in rollout.stages if stage > rollout.share),
        rollout.share,
    )


class RolloutTable:
    """Rollouts as a gateway applies them.

    A local halt takes effect at once and lasts until the configuration has
    taken it over.

    Args:
        view: Configuration of the gateway.
        count_gateways: Returns how many gateways test at the same time.
        on_halt: Called with the rollout's name after a local halt.
    """

    def __init__(
        self,
        view: views.ConfigView,
        count_gateways: Callable[[], int] = lambda: 1,
        on_halt: Callable[[str], None] = lambda name: None,
    ):
        self._view = view
        self._count_gateways = count_gateways
        self._on_halt = on_halt
        self._tests: dict[str, RolloutTest] = {}
        self._unrated: dict[str, dict[str, float]] = {}
        self.halts: dict[str, str] = {}

    @property
    def revision(self) -> int:
        """Revision of the configuration."""
        return self._view.revision

    def is_halted(self, rollout: resources.Rollout) -> bool:
        """Tells whether a rollout is halted here or everywhere."""
        return rollout.name in self.halts or rollout.state is HALTED

    def list_excluded(self, now: float) -> dict[str, str]:
        """Returns versions that only rollouts may choose, with reasons."""
        excluded = {}
        for rollout in self._view.rollouts.values():
            if rollout.state is not COMPLETE:
                excluded[rollout.to_version] = f'rollout {rollout.name}'
            elif self._view.takes_new_work(rollout.to_version):
                excluded[rollout.from_version] = (
                    f'replaced by {rollout.to_version}'
                )
        return excluded

    def find_halted(self, version: str, now: float) -> str:
        """Returns the halted rollout to a version, empty without one."""
        for rollout in self._view.rollouts.values():
            if rollout.to_version == version and self.is_halted(rollout):
                return rollout.name
        return ''

    def find_range(self, key: str) -> str:
        """Returns the rollout that moves a session now or next.

        Args:
            key: Organisation and session id.
        """
        for rollout in self._view.rollouts.values():
            if rollout.state is COMPLETE:
                continue
            reach = max(find_next_share(rollout), rollout.share)
            if rendezvous.hash_share(rollout.name, key) < reach:
                return rollout.name
        return ''

    def move(
        self, version: str, key: str, request: str, now: float
    ) -> tuple[str, str]:
        """Returns the version after rollouts, and the rollout's name.

        Args:
            version: Version that was chosen.
            key: Organisation and session id, or the request id.
            request: Id of the request, whose rating is then outstanding.
            now: Monotonic time in seconds.
        """
        for rollout in self._view.rollouts.values():
            if (
                rollout.from_version != version
                or rollout.state not in (RUNNING, PAUSED)
                or rollout.name in self.halts
                or rendezvous.hash_share(rollout.name, key) >= rollout.share
            ):
                continue
            if self._reserve(rollout, request, now):
                return rollout.to_version, rollout.name
        return version, ''

    def _reserve(
        self, rollout: resources.Rollout, request: str, now: float
    ) -> bool:
        """Bounds the answers of a new version that are not rated yet."""
        test = self._find_test(rollout)
        if test.rated >= MIN_RATINGS:
            return True
        unrated = self._unrated.setdefault(rollout.name, {})
        limit = FIRST_UNRATED + test.rated // RATINGS_FOR_ONE_MORE
        # A request whose caller has gone ends without a rating.
        while unrated and next(iter(unrated.values())) <= now:
            del unrated[next(iter(unrated))]
        if len(unrated) >= limit:
            return False
        unrated[request] = now + ratings.MISSING_SECONDS
        return True

    def _find_test(self, rollout: resources.Rollout) -> RolloutTest:
        test = self._tests.get(rollout.name)
        if test is None or test.rollout.to_version != rollout.to_version:
            test = RolloutTest(rollout, self._count_gateways())
            self._tests[rollout.name] = test
        return test

    def count_rated(self, name: str) -> int:
        """Returns the ratings of the new version seen by this gateway."""
        return self._tests[name].rated if name in self._tests else 0

    def _find_tests(self, version: str) -> list[RolloutTest]:
        return [
            self._find_test(rollout)
            for rollout in self._view.rollouts.values()
            if version in (rollout.from_version, rollout.to_version)
            and rollout.state in (RUNNING, PAUSED)
            and rollout.name not in self.halts
        ]

    def add_rating(
        self, answer: ratings.Answer, rating: float | None, now: float
    ) -> None:
        """Takes a rating over, or None for a missing one."""
        for test in self._find_tests(answer.version):
            self._release(test, answer.request)
            test.add_rating(answer.version, rating)
            self._check(test)

    def add_step(
        self,
        call: calls.Call,
        version: str,
        first_token: float | None,
        failed: bool | None,
    ) -> None:
        """Takes the outcome of a step over; failed is None if it never ran."""
        for test in self._find_tests(version):
            if failed or failed is None:
                # No answer, so no rating will come.
                self._release(test, call.id)
            if failed is None:
                # A full or outdated server is no fault of the version.
                continue
            test.add_step(version, first_token, failed)
            self._check(test)

    def _release(self, test: RolloutTest, request: str) -> None:
        self._unrated.get(test.rollout.name, {}).pop(request, None)

    def _check(self, test: RolloutTest) -> None:
        if test.reason:
            self.halt(test.rollout.name, test.reason)

    def halt(self, name: str, reason: str) -> None:
        """Halts a rollout at this gateway, at once and without the store."""
        if name in self.halts:
            return
        self.halts[name] = reason
        logs.LOG.warning('rollout %s halted: %s', name, reason)
        logs.log_decision(
            'halt', rollout=name, reason=reason, revision=self.revision
        )
        self._on_halt(name)

    def forget(self, name: str) -> None:
        """Ends a local halt that the configuration has taken over.

        The test starts over in case operators resume the rollout.
        """
        self.halts.pop(name, None)
        self._tests.pop(name, None)
        self._unrated.pop(name, None)


@dataclasses.dataclass(slots=True)
class Stage:
    """Share at which a rollout stands, and when it may go on."""

    share: float
    state: resources.RolloutState
    deadline: float


def _refuse(rollout: resources.Rollout) -> errors.RefusalError:
    return errors.RefusalError(
        'conflict', f'rollout {rollout.name} is {rollout.state}'
    )


def plan_start(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change so that a rollout starts at share 0.

    The first stage follows after SETTLE_SECONDS, when gateways have saved
    the pins of the sessions that it moves. None changes nothing.

    Raises:
        RefusalError: The rollout is complete or paused at a stage.
    """
    if rollout.state is RUNNING:
        return None
    if rollout.state is COMPLETE or rollout.share:
        raise _refuse(rollout)
    return {'state': RUNNING, 'reason': ''}


def plan_advance(
    rollout: resources.Rollout, share: float | None = None
) -> dict | None:
    """Returns the fields to change for the next stage, None for no change.

    Args:
        rollout: Present state.
        share: See RolloutControl.advance.

    Raises:
        RefusalError: The rollout is not running.
    """
    if share is not None and rollout.share > share:
        return None
    if rollout.state is not RUNNING:
        raise _refuse(rollout)
    following = find_next_share(rollout)
    if following > rollout.share:
        return {'share': following}
    return {'state': COMPLETE}


def plan_pause(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change for a pause; see plan_advance."""
    if rollout.state is PAUSED:
        return None
    if rollout.state is not RUNNING:
        raise _refuse(rollout)
    return {'state': PAUSED}


def plan_resume(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change to go on; see plan_advance."""
    if rollout.state is RUNNING:
        return None
    if rollout.state is COMPLETE:
        raise _refuse(rollout)
    return {'state': RUNNING, 'reason': ''}


def plan_halt(rollout: resources.Rollout, reason: str) -> dict | None:
    """Returns the fields to change for a halt, None if it is halted."""
    if rollout.state is HALTED:
        return None
    return {'state': HALTED, 'share': 0.0, 'reason': reason}


class RolloutControl:
    """Changes of rollouts by compare-and-swap.

    Each function reads the newest state and is safe to repeat, so operators
    and all gateways may call it at the same time.

    Args:
        source: The configuration document in the store.
    """

    def __init__(self, source: configuration.Configuration):
        self._source = source

    async def start(self, value: dict) -> resources.Document:
        """Creates a rollout at share 0.

        Raises:
            RefusalError: It exists already or is not valid.
            StoreError: The store is down.
        """
        rollout = resources.parse_resource('rollout', value)
        document, _ = await self._source.read()
        versions = document.resources.get('modelversion', {})
        for name in (rollout.from_version, rollout.to_version):
            if versions.get(name, {}).get('model') != rollout.model:
                raise errors.RefusalError(
                    'invalid_resource', f'{name} is not of {rollout.model}'
                )
        if rollout.from_version == rollout.to_version:
            raise errors.RefusalError(
                'invalid_resource', 'from_version and to_version are the same'
            )
        if rollout.name in document.resources.get('rollout', {}):
            raise errors.RefusalError('conflict', f'{rollout.name} exists')
        key = f'rollout/{rollout.name}'
        fields = {**value, 'share': 0.0, 'state': str(RUNNING)}
        return await self._source.put(
            'rollout', fields, document.changed.get(key, 0)
        )

    async def advance(
        self, name: str, share: float | None = None
    ) -> resources.Document:
        """Moves a running rollout to its next stage.

        After the last stage the rollout is complete.

        Args:
            name: Name of the rollout.
            share: Share from which to advance; when the rollout is already
                above it, nothing changes. None for the present share.

        Raises:
            RefusalError: The rollout is not running.
            StoreError: The store is down.
        """
        return await self._change(
            name, lambda rollout: plan_advance(rollout, share)
        )

    async def pause(self, name: str) -> resources.Document:
        """Keeps a running rollout at its share; see advance for errors."""
        return await self._change(name, plan_pause)

    async def resume(self, name: str) -> resources.Document:
        """Lets a paused or halted rollout go on; see advance for errors.

        A halted one starts again at share 0.
        """
        return await self._change(name, plan_resume)

    async def halt(self, name: str, reason: str) -> resources.Document:
        """Sets the share of a rollout to zero, even of a complete one.

        See advance for errors.
        """
        return await self._change(
            name, lambda rollout: plan_halt(rollout, reason)
        )

    async def _change(self, name, change) -> resources.Document:
        for _ in range(MAX_TRIES):
            document, _ = await self._source.read()
            value = document.resources.get('rollout', {}).get(name)
            if value is None:
                raise errors.RefusalError('not_found', f'no rollout {name}')
            rollout = resources.Rollout.model_validate(value)
            changes = change(rollout)
            if changes is None:
                return document
            share = changes.get('share', rollout.share)
            if 0 < share < rollout.share:
                raise errors.RefusalError(
                    'conflict', 'a share moves upwards or to zero'
                )
            changed = rollout.model_copy(update=changes)
            try:
                return await self._source.put(
                    'rollout',
                    changed.model_dump(mode='json'),
                    document.changed.get(f'rollout/{name}', 0),
                )
            except errors.RefusalError as exc:
                if exc.code != 'conflict':
                    raise
        raise errors.RefusalError('conflict', f'rollout {name} keeps changing')


class RolloutKeeper:
    """Writes local halts to the store and advances stages.

    Every gateway runs one; their changes are idempotent. A stage lasts its
    time on the clock of the gateway that advances, counted from when it saw
    the stage, so clocks need not agree.

    Args:
        view: Configuration of the gateway.
        table: Rollouts as this gateway applies them.
        control: Changes rollouts.
        needs_ratings: Whether a stage waits for ratings of the new version.
    """

    def __init__(
        self,
        view: views.ConfigView,
        table: RolloutTable,
        control: RolloutControl,
        needs_ratings: bool = True,
    ):
        self._view = view
        self._table = table
        self._control = control
        self._needs_ratings = needs_ratings
        self._stages: dict[str, Stage] = {}

    async def store_halts(self) -> None:
        """Writes local halts that are not stored yet; keeps them on failure.

        Raises:
            StoreError: The store is down.
        """
        for name, reason in list(self._table.halts.items()):
            try:
                document = await self._control.halt(name, reason)
            except errors.RefusalError as exc:
                if exc.code != 'not_found':
                    logs.LOG.warning('halt of %s not stored: %s', name, exc)
                    continue
            else:
                self._view.apply(document)
            self._table.forget(name)

    async def advance_stages(self, now: float) -> None:
        """Advances rollouts whose stage has lasted long enough.

        Raises:
            StoreError: The store is down.
        """
        rollouts = self._view.rollouts
        for name in list(self._stages):
            if name not in rollouts:
                del self._stages[name]
        for rollout in list(rollouts.values()):
            stage = self._stages.get(rollout.name)
            if (
                stage is None
                or stage.share != rollout.share
                or stage.state is not rollout.state
            ):
                stage = self._enter_stage(rollout, now)
            if rollout.state is not RUNNING or now < stage.deadline:
                continue
            if self._table.is_halted(rollout) or not self._has_evidence(
                rollout
            ):
                continue
            try:
                document = await self._control.advance(
                    rollout.name, rollout.share
                )
            except errors.RefusalError as exc:
                logs.LOG.info('%s', exc)
                continue
            self._view.apply(document)

    def _enter_stage(self, rollout: resources.Rollout, now: float) -> Stage:
        least = rollout.stage_seconds if rollout.share else SETTLE_SECONDS
        # Spread, so that one gateway advances and the others see it.
        spread = min(MAX_ADVANCE_DELAY_SECONDS, least)
        stage = Stage(
            rollout.share,
            rollout.state,
            now + least + spread * random.random(),
        )
        self._stages[rollout.name] = stage
        return stage

    def _has_evidence(self, rollout: resources.Rollout) -> bool:
        if not rollout.share or not self._needs_ratings:
            return True
        return self._table.count_rated(rollout.name) >= MIN_RATINGS

    async def run(self) -> None:
        """Stores halts and advances stages until cancelled."""
        while True:
            await anyio.sleep(clock.jitter(TICK_SECONDS))
            try:
                await self.store_halts()
                await self.advance_stages(clock.now())
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
            except errors.Error as exc:
                # Also a refusal: an operator may have deleted the rollout
                # or its versions meanwhile.
                logs.LOG.warning('rollouts not stored: %s', exc)
