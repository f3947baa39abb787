"""Staged rollouts of model versions, with automatic halt.

A rollout moves a share of the sessions, chosen by hash, from an old version
to a new one. Each gateway compares the two versions with sequential tests and
halts the rollout when the new version is worse.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

import anyio

from chivejunction import clock
from chivejunction import containment
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
# Bet sizes as fractions of the largest possible bet; see BettingTest.
BET_FRACTIONS = (0.1, 0.25, 0.5, 0.75, 0.9)
MIN_BASELINE_OBSERVATIONS = 50
MAX_PENDING_OBSERVATIONS = 200
# Sample size at which the confidence sequence is tightest.
TIGHTEST_SAMPLE_SIZE = 100
# Share of the old version's first tokens that counts as slow. The share of the
# new version may be twice as high.
BASELINE_SLOW_SHARE = 0.1
MAX_SLOW_SHARE = 0.2
MAX_MISSING_INCREASE = 0.2
MAX_BASELINE_LATENCIES = 200
# Ratings of the new version from which on its unrated responses are no longer
# limited and a stage may end.
MIN_RATINGS = 30
# Unrated responses of the new version that are allowed before its first rating
# arrives, and the ratings that each further one requires.
INITIAL_UNRATED_LIMIT = 2
RATINGS_PER_UNRATED_SLOT = 4
# Gateways need this time to save the pins of the sessions that the first stage
# moves.
FIRST_STAGE_DELAY_SECONDS = 5.0
RECONCILE_INTERVAL_SECONDS = 1.0
MAX_ADVANCE_JITTER_SECONDS = 10.0
MAX_WRITE_ATTEMPTS = 5


class RunningMean:
    """Running mean and variance of observations from 0 to 1."""

    def __init__(self):
        self.count = 0
        self._mean = 0.0
        self._squared_deviations = 0.0

    def add(self, value: float) -> None:
        """Adds an observation."""
        self.count += 1
        # Welford's algorithm.
        delta = value - self._mean
        self._mean += delta / self.count
        self._squared_deviations += delta * (value - self._mean)

    def lower_bound(self, alpha: float) -> float:
        """Returns a lower confidence bound of the mean.

        The bound is a normal-mixture confidence sequence: with probability
        1 - alpha it holds for all sample sizes at once, so it may be read
        after each observation.

        Args:
            alpha: Bound on the probability that it ever fails to hold.
        """
        n = self.count
        variance = max(self._squared_deviations / n, 1 / n)
        width = math.sqrt(
            variance
            * (n + TIGHTEST_SAMPLE_SIZE)
            / (n * n)
            * 2
            * (
                0.5
                * math.log((n + TIGHTEST_SAMPLE_SIZE) / TIGHTEST_SAMPLE_SIZE)
                + math.log(1 / alpha)
            )
        )
        return self._mean - width


class BettingTest:
    """Sequential test whether the mean of observations is below a floor.

    Observations are from 0 to 1. The test works by betting: a wealth that
    starts at 1 is bet on observations below the floor. When the mean is not
    below the floor, the wealth is a supermartingale and ever reaches
    1 / alpha with a probability of at most alpha, however often it is
    checked. The wealth of several bet sizes is averaged, since the best size
    depends on how bad the version is.
    """

    def __init__(self):
        self.count = 0
        self._log_wealth = [0.0] * len(BET_FRACTIONS)

    def add(self, value: float, floor: float) -> None:
        """Adds an observation.

        Args:
            value: The observation, 0 to 1.
            floor: Floor that was known before the observation.
        """
        self.count += 1
        if floor <= 0:
            return
        floor = min(floor, 0.999)
        for i, fraction in enumerate(BET_FRACTIONS):
            bet = fraction / (1 - floor)
            self._log_wealth[i] += math.log1p(bet * (floor - value))

    def is_conclusive(self, alpha: float) -> bool:
        """Returns whether the mean wealth has reached 1 / alpha."""
        highest = max(self._log_wealth)
        total = math.fsum(math.exp(x - highest) for x in self._log_wealth)
        return highest + math.log(total / len(self._log_wealth)) >= -math.log(
            alpha
        )


class Comparison:
    """Compares a candidate, the new version, with the old one as baseline.

    Args:
        name: Name of the compared quantity, for the reason of a halt.
        margin: How far the candidate's mean may be below the baseline's.
        alpha: Bound on the probability of a false conclusion; one half is
            for the bound of the baseline, the other for the test.
    """

    def __init__(self, name: str, margin: float, alpha: float):
        self.name = name
        self._margin = margin
        self._alpha = alpha / 2
        self._baseline = RunningMean()
        self._test = BettingTest()
        self._pending: collections.deque[float] = collections.deque(
            maxlen=MAX_PENDING_OBSERVATIONS
        )

    def add_baseline(self, value: float) -> None:
        """Adds an observation of the baseline."""
        self._baseline.add(value)

    def add_candidate(self, value: float) -> bool:
        """Adds an observation of the candidate.

        Observations are kept back until the baseline has enough of its own.

        Returns:
            Whether the candidate is worse than the margin allows.
        """
        self._pending.append(value)
        if self._baseline.count < MIN_BASELINE_OBSERVATIONS:
            return False
        floor = self._baseline.lower_bound(self._alpha) - self._margin
        while self._pending:
            self._test.add(self._pending.popleft(), floor)
        return self._test.is_conclusive(self._alpha)


class RolloutTest:
    """Sequential test of a new version against the old one.

    Args:
        rollout: The rollout.
        gateways: Number of gateways that test at the same time. Each of them
            may halt, so they share the bound on false halts.
        false_halt_rate: Bound on the probability of a false halt, for all
            gateways together.

    Attributes:
        rating_count: Ratings of the new version so far.
        reason: Why the new version is worse, empty while it is not.
    """

    def __init__(
        self,
        rollout: resources.Rollout,
        gateways: int = 1,
        false_halt_rate: float = FALSE_HALT_RATE,
    ):
        # Four tests share the bound: ratings, missing ratings, errors and
        # first-token times.
        alpha = false_halt_rate / 4 / max(gateways, 1)
        self.rollout = rollout
        self.rating_count = 0
        self._ratings = Comparison('ratings', rollout.max_quality_drop, alpha)
        self._missing = Comparison(
            'missing ratings', MAX_MISSING_INCREASE, alpha
        )
        self._errors = Comparison('errors', rollout.max_error_increase, alpha)
        self._latency_test = BettingTest()
        self._alpha = alpha
        self._latencies: collections.deque[float] = collections.deque(
            maxlen=MAX_BASELINE_LATENCIES
        )
        self.reason = ''

    def _record_result(self, is_worse: bool, name: str) -> None:
        if is_worse and not self.reason:
            self.reason = (
                f'{name} of {self.rollout.to_version} are worse than of '
                f'{self.rollout.from_version}'
            )

    def add_rating(self, version: str, rating: float | None) -> None:
        """Adds a rating, or None for a missing one."""
        has_rating = float(rating is not None)
        if version == self.rollout.from_version:
            self._missing.add_baseline(has_rating)
            if rating is not None:
                self._ratings.add_baseline(rating)
        elif version == self.rollout.to_version:
            self._record_result(
                self._missing.add_candidate(has_rating), self._missing.name
            )
            if rating is not None:
                self.rating_count += 1
                self._record_result(
                    self._ratings.add_candidate(rating), self._ratings.name
                )

    def add_step(
        self, version: str, first_token_seconds: float | None, failed: bool
    ) -> None:
        """Adds the outcome of a step.

        Args:
            version: Version that ran.
            first_token_seconds: Seconds to the first data, None without data.
            failed: Whether the step failed.
        """
        success = float(not failed)
        if version == self.rollout.from_version:
            self._errors.add_baseline(success)
            if first_token_seconds is not None:
                self._latencies.append(first_token_seconds)
        elif version == self.rollout.to_version:
            self._record_result(
                self._errors.add_candidate(success), self._errors.name
            )
            if (
                first_token_seconds is not None
                and len(self._latencies) >= MIN_BASELINE_OBSERVATIONS
            ):
                self._add_latency(first_token_seconds)

    def _add_latency(self, first_token_seconds: float) -> None:
        ordered = sorted(self._latencies)
        baseline = ordered[int((1 - BASELINE_SLOW_SHARE) * (len(ordered) - 1))]
        is_fast = (
            first_token_seconds <= self.rollout.max_latency_ratio * baseline
        )
        self._latency_test.add(float(is_fast), 1 - MAX_SLOW_SHARE)
        self._record_result(
            self._latency_test.is_conclusive(self._alpha), 'first-token times'
        )


def find_next_share(rollout: resources.Rollout) -> float:
    """Returns the share of the next stage, the current one at the last."""
    return next(
        (stage for stage in rollout.stages if stage > rollout.share),
        rollout.share,
    )


class RolloutTable:
    """Rollouts as applied by one gateway.

    A local halt takes effect at once and lasts until it is part of the
    configuration.

    Args:
        view: Configuration of the gateway.
        count_gateways: Returns how many gateways test at the same time.
        on_halt: Called with the rollout's name after a local halt.

    Attributes:
        halts: Reasons of the local halts, by name of the rollout.
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
        self._unrated_requests: dict[str, dict[str, float]] = {}
        self.halts: dict[str, str] = {}

    @property
    def revision(self) -> int:
        """Revision of the configuration."""
        return self._view.revision

    def is_halted(self, rollout: resources.Rollout) -> bool:
        """Returns whether a rollout is halted, locally or for all gateways."""
        return rollout.name in self.halts or rollout.state is HALTED

    def list_excluded(self, now: float) -> dict[str, str]:
        """Returns versions that only a rollout may select, with reasons."""
        excluded = {}
        for rollout in self._view.rollouts.values():
            if rollout.state is not COMPLETE:
                excluded[rollout.to_version] = f'rollout {rollout.name}'
            elif self._view.accepts_new_work(rollout.to_version):
                excluded[rollout.from_version] = (
                    f'replaced by {rollout.to_version}'
                )
        return excluded

    def find_halted_rollout(self, version: str, now: float) -> str:
        """Returns the name of the halted rollout to a version.

        Returns:
            The name, empty when no rollout to the version is halted.
        """
        for rollout in self._view.rollouts.values():
            if rollout.to_version == version and self.is_halted(rollout):
                return rollout.name
        return ''

    def find_session_rollout(self, key: str) -> str:
        """Returns the rollout that moves a session at this or the next stage.

        Args:
            key: Organisation and session id.

        Returns:
            Name of the rollout, empty without one.
        """
        for rollout in self._view.rollouts.values():
            if rollout.state is COMPLETE:
                continue
            share = max(find_next_share(rollout), rollout.share)
            if rendezvous.hash_to_fraction(rollout.name, key) < share:
                return rollout.name
        return ''

    def assign_version(
        self, version: str, key: str, request: str, now: float
    ) -> tuple[str, str]:
        """Applies the rollouts to a selected version.

        Args:
            version: Version that was selected.
            key: Organisation and session id, or the request id.
            request: Id of the request. When it is assigned to the new version,
                its rating counts as outstanding.
            now: Monotonic time in seconds.

        Returns:
            The version to run, and the name of the rollout that moved the
            request to it. Without one, the version given and an empty name.
        """
        for rollout in self._view.rollouts.values():
            if (
                rollout.from_version != version
                or rollout.state not in (RUNNING, PAUSED)
                or rollout.name in self.halts
                or rendezvous.hash_to_fraction(rollout.name, key)
                >= rollout.share
            ):
                continue
            if self._reserve_unrated_slot(rollout, request, now):
                return rollout.to_version, rollout.name
        return version, ''

    def _reserve_unrated_slot(
        self, rollout: resources.Rollout, request: str, now: float
    ) -> bool:
        """Limits the responses of a new version that are not rated yet.

        Returns:
            Whether the request may be assigned to the new version.
        """
        test = self._get_test(rollout)
        if test.rating_count >= MIN_RATINGS:
            return True
        unrated = self._unrated_requests.setdefault(rollout.name, {})
        limit = (
            INITIAL_UNRATED_LIMIT
            + test.rating_count // RATINGS_PER_UNRATED_SLOT
        )
        # A request whose caller disconnected ends without a rating, so its
        # slot expires.
        while unrated and next(iter(unrated.values())) <= now:
            del unrated[next(iter(unrated))]
        if len(unrated) >= limit:
            return False
        unrated[request] = now + ratings.RATING_TIMEOUT_SECONDS
        return True

    def _get_test(self, rollout: resources.Rollout) -> RolloutTest:
        """Returns the test of a rollout, a new one for a new version."""
        test = self._tests.get(rollout.name)
        if test is None or test.rollout.to_version != rollout.to_version:
            test = RolloutTest(rollout, self._count_gateways())
            self._tests[rollout.name] = test
        return test

    def count_ratings(self, name: str) -> int:
        """Returns how many ratings of the new version this gateway has."""
        return self._tests[name].rating_count if name in self._tests else 0

    def _get_tests(self, version: str) -> list[RolloutTest]:
        """Returns the tests of active rollouts from or to a version."""
        return [
            self._get_test(rollout)
            for rollout in self._view.rollouts.values()
            if version in (rollout.from_version, rollout.to_version)
            and rollout.state in (RUNNING, PAUSED)
            and rollout.name not in self.halts
        ]

    def add_rating(
        self, response: ratings.RatedResponse, rating: float | None, now: float
    ) -> None:
        """Adds the rating of a response to the tests of its version.

        Args:
            response: The response.
            rating: Rating from 0 to 1, None for a missing one.
            now: Monotonic time in seconds.
        """
        for test in self._get_tests(response.version):
            self._release_unrated_slot(test, response.request)
            test.add_rating(response.version, rating)
            self._halt_if_worse(test)

    def add_step(
        self,
        call: calls.Call,
        version: str,
        first_token_seconds: float | None,
        failed: bool | None,
    ) -> None:
        """Adds the outcome of a step to the tests of its version.

        Args:
            call: The call.
            version: Version of the step.
            first_token_seconds: Seconds to the first data, None without data.
            failed: Whether the step failed, None if it did not run.
        """
        for test in self._get_tests(version):
            if failed or failed is None:
                # Without a response there will be no rating.
                self._release_unrated_slot(test, call.id)
            if failed is None:
                # A server that is full or has an outdated configuration is
                # no failure of the version.
                continue
            test.add_step(version, first_token_seconds, failed)
            self._halt_if_worse(test)

    def _release_unrated_slot(self, test: RolloutTest, request: str) -> None:
        self._unrated_requests.get(test.rollout.name, {}).pop(request, None)

    def _halt_if_worse(self, test: RolloutTest) -> None:
        if test.reason:
            self.halt(test.rollout.name, test.reason)

    def halt(self, name: str, reason: str) -> None:
        """Halts a rollout on this gateway, at once and without the store."""
        if name in self.halts:
            return
        self.halts[name] = reason
        logs.LOG.warning('rollout %s halted: %s', name, reason)
        logs.log_decision(
            'halt', rollout=name, reason=reason, revision=self.revision
        )
        self._on_halt(name)

    def clear_halt(self, name: str) -> None:
        """Removes a local halt that is now part of the configuration.

        The test starts again from nothing in case operators resume the
        rollout.
        """
        self.halts.pop(name, None)
        self._tests.pop(name, None)
        self._unrated_requests.pop(name, None)


@dataclasses.dataclass(slots=True)
class Stage:
    """Current stage of a rollout, as seen by one gateway.

    Attributes:
        share: Share of the rollout.
        state: State of the rollout.
        deadline: Monotonic time in seconds from which the next stage may
            start.
    """

    share: float
    state: resources.RolloutState
    deadline: float


def _make_refusal(rollout: resources.Rollout) -> errors.RefusalError:
    return errors.RefusalError(
        'conflict', f'rollout {rollout.name} is {rollout.state}'
    )


def plan_start(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change so that a rollout starts at share 0.

    The first stage follows after FIRST_STAGE_DELAY_SECONDS, when gateways
    have saved the pins of the sessions that it moves.

    Returns:
        The changed fields, None if the rollout is running already.

    Raises:
        RefusalError: The rollout is complete or paused at a stage.
    """
    if rollout.state is RUNNING:
        return None
    if rollout.state is COMPLETE or rollout.share:
        raise _make_refusal(rollout)
    return {'state': RUNNING, 'reason': ''}


def plan_advance(
    rollout: resources.Rollout, share: float | None = None
) -> dict | None:
    """Returns the fields to change for the next stage, None for no change.

    Args:
        rollout: Current state.
        share: See RolloutControl.advance.

    Raises:
        RefusalError: The rollout is not running.
    """
    if share is not None and rollout.share > share:
        return None
    if rollout.state is not RUNNING:
        raise _make_refusal(rollout)
    next_share = find_next_share(rollout)
    if next_share > rollout.share:
        return {'share': next_share}
    return {'state': COMPLETE}


def plan_pause(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change to pause; see plan_advance."""
    if rollout.state is PAUSED:
        return None
    if rollout.state is not RUNNING:
        raise _make_refusal(rollout)
    return {'state': PAUSED}


def plan_resume(rollout: resources.Rollout) -> dict | None:
    """Returns the fields to change to resume; see plan_advance."""
    if rollout.state is RUNNING:
        return None
    if rollout.state is COMPLETE:
        raise _make_refusal(rollout)
    return {'state': RUNNING, 'reason': ''}


def plan_halt(rollout: resources.Rollout, reason: str) -> dict | None:
    """Returns the fields to change to halt, None if halted already."""
    if rollout.state is HALTED:
        return None
    return {'state': HALTED, 'share': 0.0, 'reason': reason}


class RolloutControl:
    """Changes rollouts in the store by compare-and-swap.

    Each method reads the newest state and is idempotent, so operators and
    all gateways may call it at the same time.

    Args:
        source: The configuration document in the store.
    """

    def __init__(self, source: configuration.ConfigStore):
        self._source = source

    async def start(self, value: dict) -> resources.Document:
        """Creates a rollout at share 0.

        Raises:
            RefusalError: The rollout exists already or is not valid.
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
                above it, nothing changes. None for the current share.

        Raises:
            RefusalError: The rollout is not running.
            StoreError: The store is down.
        """
        return await self._change(
            name, lambda rollout: plan_advance(rollout, share)
        )

    async def pause(self, name: str) -> resources.Document:
        """Holds a running rollout at its share; see advance for errors."""
        return await self._change(name, plan_pause)

    async def resume(self, name: str) -> resources.Document:
        """Resumes a paused or halted rollout; see advance for errors.

        A halted rollout starts again at share 0.
        """
        return await self._change(name, plan_resume)

    async def halt(self, name: str, reason: str) -> resources.Document:
        """Sets the share of a rollout to zero, also of a complete one.

        See advance for errors.
        """
        return await self._change(
            name, lambda rollout: plan_halt(rollout, reason)
        )

    async def _change(self, name, plan_change) -> resources.Document:
        """Applies a change, and repeats it after conflicting writes.

        Args:
            name: Name of the rollout.
            plan_change: Returns the fields to change for the current state
                of the rollout, None for no change.

        Raises:
            RefusalError: The change is not possible or not valid, or other
                writes conflicted MAX_WRITE_ATTEMPTS times.
            StoreError: The store is down.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            document, _ = await self._source.read()
            value = document.resources.get('rollout', {}).get(name)
            if value is None:
                raise errors.RefusalError('not_found', f'no rollout {name}')
            rollout = resources.Rollout.model_validate(value)
            changes = plan_change(rollout)
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


class RolloutReconciler:
    """Writes local halts to the store and advances stages.

    Every gateway runs one; their changes are idempotent. The duration of a
    stage is measured on the clock of the gateway that advances it, from when
    that gateway first read the stage, so clocks need not be synchronised.

    Args:
        view: Configuration of the gateway.
        table: Rollouts as applied by this gateway.
        control: Changes rollouts in the store.
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
        """Writes local halts that are not stored yet.

        A halt that cannot be written stays local and is written again at the
        next call.

        Raises:
            StoreError: The store is down.
        """
        for name, reason in list(self._table.halts.items()):
            try:
                document = await self._control.halt(name, reason)
            except errors.RefusalError as exc:
                if exc.code != 'not_found':
                    logs.LOG.warning(
                        'halt of rollout %s not stored: %s', name, exc
                    )
                    continue
            else:
                self._view.apply(document)
            self._table.clear_halt(name)

    async def advance_stages(self, now: float) -> None:
        """Advances rollouts whose stage has reached its duration.

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
            if self._table.is_halted(rollout) or not self._has_enough_ratings(
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
        """Records that a rollout has a new share or state."""
        duration = (
            rollout.stage_seconds
            if rollout.share
            else FIRST_STAGE_DELAY_SECONDS
        )
        # Jitter lets one gateway advance first; the others then read the new
        # stage instead of writing it too.
        max_jitter = min(MAX_ADVANCE_JITTER_SECONDS, duration)
        stage = Stage(
            rollout.share,
            rollout.state,
            now + duration + max_jitter * random.random(),
        )
        self._stages[rollout.name] = stage
        return stage

    def _has_enough_ratings(self, rollout: resources.Rollout) -> bool:
        if not rollout.share or not self._needs_ratings:
            return True
        return self._table.count_ratings(rollout.name) >= MIN_RATINGS

    async def run(self) -> None:
        """Stores local halts and advances stages until cancelled."""
        while True:
            containment.expect_progress()
            await anyio.sleep(clock.jitter(RECONCILE_INTERVAL_SECONDS))
            try:
                await self.store_halts()
                await self.advance_stages(clock.now())
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
            except errors.Error as exc:
                # Refusals too: an operator may have deleted the rollout or
                # its versions in the meantime.
                logs.LOG.warning('rollout changes not stored: %s', exc)
