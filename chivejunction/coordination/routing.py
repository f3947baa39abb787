"""Choice of the model version, and of the cascade behind it."""

import dataclasses
from typing import Protocol

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import chat
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views

# Steps of a plan. Each step before the last one waits for a whole answer and
# a rating, so more of them cost too much of the first-token time.
MAX_STEPS = 3
EXPLORATION_SHARE = 0.02
# Unused exploration is kept up to this many calls; more would let a pause be
# followed by a burst.
MAX_EXPLORATION_CREDIT = 2.0
PLAN_SECONDS = 1.0
MAX_CACHED_PLANS = 10_000


@dataclasses.dataclass(slots=True)
class Candidate:
    """A version that may run a request.

    Attributes:
        version: Name of the version.
        cost: Expected cost of one answer in cost units.
        quality: Estimated quality for the request.
    """

    version: str
    cost: float
    quality: estimates.Quality


@dataclasses.dataclass(slots=True)
class Plan:
    """Versions to try in order until the quality target is met.

    Attributes:
        steps: Names of versions, the first one to run first. The answer of
            each but the last is rated before it is passed on.
        expected_cost: Expected cost of the plan in cost units.
        excluded: Version name to the reason it was left out.
        reason: Why these steps were chosen.
        target: Quality that an answer has to reach.
        expected_quality: Lower confidence bound of the plan's quality.
        candidates: The versions that were compared.
        rollout: Rollout that moved the request, empty without one.
        base: Version that the request would get without the rollout.
    """

    steps: list[str]
    expected_cost: float = 0.0
    excluded: dict[str, str] = dataclasses.field(default_factory=dict)
    reason: str = ''
    target: float = 0.0
    expected_quality: float = 0.0
    candidates: list[Candidate] = dataclasses.field(default_factory=list)
    rollout: str = ''
    base: str = ''

    def describe(self) -> dict:
        """Returns the fields of the decision log."""
        return {
            'choice': self.steps[0],
            'steps': self.steps,
            'reason': self.reason,
            'target': self.target,
            'expected_cost': round(self.expected_cost, 6),
            'expected_quality': round(self.expected_quality, 4),
            'candidates': {
                c.version: {
                    'cost': round(c.cost, 6),
                    'quality': round(c.quality.mean, 4),
                    'lower': round(c.quality.lower, 4),
                    'upper': round(c.quality.upper, 4),
                }
                for c in self.candidates
            },
            'excluded': self.excluded,
            'rollout': self.rollout,
        }


class Rollouts(Protocol):
    """What the choice needs to know of rollouts."""

    def list_excluded(self, now: float) -> dict[str, str]:
        """Returns versions that only rollouts may choose, with reasons."""

    def find_halted(self, version: str, now: float) -> str:
        """Returns the halted rollout to a version, empty without one."""

    def move(
        self, version: str, key: str, request: str, now: float
    ) -> tuple[str, str]:
        """Returns the version after rollouts, and the rollout's name."""


class Checks(Protocol):
    """What the choice needs to know of ratings made during a request."""

    cost: float

    def estimate_success(self, now: float) -> float:
        """Returns the share of checks that end in time, 0 when down."""


def extend_plan(
    last: Candidate,
    candidates: list[Candidate],
    check_cost: float,
    check_success: float,
) -> tuple[list[str], float, float]:
    """Puts cheaper versions before one while that lowers the cost.

    Args:
        last: Version that runs last, without a check.
        candidates: Versions to put before it.
        check_cost: Cost of one check in cost units.
        check_success: Share of checks that end in time; an answer without a
            check counts as not good enough.

    Returns:
        Steps, expected cost and lower bound of the expected quality.
    """
    steps = [last.version]
    cost, quality = last.cost, last.quality.lower
    while len(steps) < MAX_STEPS:
        best = None
        best_cost = cost
        for candidate in candidates:
            if candidate.cost >= cost or candidate.version in steps:
                continue
            passing = candidate.quality.passing * check_success
            total = candidate.cost + check_cost + (1 - passing) * cost
            if total < best_cost:
                best, best_cost = candidate, total
        if best is None:
            break
        passing = best.quality.passing_lower * check_success
        quality = (
            passing * best.quality.passing_quality + (1 - passing) * quality
        )
        cost = best_cost
        steps.insert(0, best.version)
    return steps, cost, quality


def _choose_pair(candidates, target, check_cost, check_success, best):
    """Returns the cheapest plan of two or three steps, or the given one.

    All pairs are tried: the pair with the lowest cost may miss the target
    where a slightly dearer one meets it.
    """
    firsts = [
        (
            candidate,
            candidate.cost + check_cost,
            candidate.quality.passing * check_success,
            candidate.quality.passing_lower * check_success,
        )
        for candidate in candidates
    ]
    for last in candidates:
        last_cost, last_quality = last.cost, last.quality.lower
        for first, first_cost, passing, sure in firsts:
            cost = first_cost + (1 - passing) * last_cost
            if best is not None and cost >= best[1]:
                continue
            quality = (
                sure * first.quality.passing_quality
                + (1 - sure) * last_quality
            )
            if quality >= target and first is not last:
                best = ([first.version, last.version], cost, quality)
    if best is None:
        return None
    steps, cost, quality = found = best
    for first, first_cost, passing, sure in firsts:
        total = first_cost + (1 - passing) * cost
        level = sure * first.quality.passing_quality + (1 - sure) * quality
        if total < found[1] and level >= target and first.version not in steps:
            found = ([first.version, *steps], total, level)
    return found


def choose_steps(
    candidates: list[Candidate],
    target: float,
    check_cost: float = 0.0,
    check_success: float = 0.0,
) -> tuple[list[str], float, float, str]:
    """Chooses the cheapest steps that meet a target with confidence.

    Without such steps the version with the best lower bound is chosen, with
    cheaper ones before it whose answers are checked.

    Returns:
        Steps, expected cost, lower bound of the quality, and the reason.
    """
    best = None
    for last in candidates:
        if last.quality.lower >= target and (
            best is None or last.cost < best[1]
        ):
            best = ([last.version], last.cost, last.quality.lower)
    if check_success > 0:
        best = _choose_pair(
            candidates, target, check_cost, check_success, best
        )
    if best is not None:
        return (*best, 'cheapest')
    last = max(candidates, key=lambda c: (c.quality.lower, -c.cost))
    return (
        *extend_plan(last, candidates, check_cost, check_success),
        'best known',
    )


def find_promise(candidate: Candidate, plan: Plan) -> float:
    """Returns how much a version may save, weighted by how likely it is."""
    quality = candidate.quality
    likely = (quality.upper - plan.target) / (quality.upper - quality.lower)
    return likely * max(plan.expected_cost - candidate.cost, 1e-6)


class Router:
    """Chooses versions by allowance, state, quality and cost.

    Args:
        view: Configuration of the gateway.
        qualities: Estimates of quality.
        costs: Estimates of cost.
        rollouts: Rollouts of the gateway, or None.
        checks: Ratings made during a request, or None.
        exploration_share: Bound on the share of calls that try an uncertain
            version.
    """

    def __init__(
        self,
        view: views.ConfigView,
        qualities: estimates.QualityEstimates | None = None,
        costs: estimates.CostEstimates | None = None,
        rollouts: Rollouts | None = None,
        checks: Checks | None = None,
        exploration_share: float = EXPLORATION_SHARE,
    ):
        self._view = view
        self._qualities = qualities or estimates.QualityEstimates()
        self._costs = costs or estimates.CostEstimates()
        self._rollouts = rollouts
        self._checks = checks
        self._exploration_share = exploration_share
        self._credit = 0.0
        self._plans: dict[tuple, tuple[float, int, Plan]] = {}

    def plan(self, call: calls.Call, now: float | None = None) -> Plan:
        """Returns the plan for a call.

        Args:
            call: The call.
            now: Monotonic time in seconds; the present one by default.

        Raises:
            RefusalError: No version may serve the call.
        """
        now = clock.now() if now is None else now
        excluded: dict[str, str] = {}
        if call.pin:
            reason = self._judge(call, call.pin, now, has_session=True)
            reason = reason or self._find_former(call)
            if not reason:
                return self._plan_session(call, call.pin, now)
            excluded[call.pin] = reason
        if call.session:
            found = self._plan_new_session(call, now)
        else:
            found = self._plan_call(call, now)
        found.excluded = {**found.excluded, **excluded}
        self._check_steps(call, found.steps)
        return found

    def _judge(
        self,
        call: calls.Call,
        version: str,
        now: float,
        has_session: bool = False,
    ) -> str:
        """Returns why a version may not run a call, empty if it may."""
        view = self._view
        if version not in view.versions:
            return 'unknown'
        if not view.is_allowed(call.organisation, version):
            return 'not allowed'
        if not view.takes_new_work(version, has_session):
            return str(view.versions[version].state)
        if not has_session and self._rollouts is not None:
            halted = self._rollouts.find_halted(version, now)
            if halted:
                return f'rollout {halted} is halted'
        return ''

    def _find_former(self, call: calls.Call) -> str:
        """Returns why a pin counts no more, empty if it does.

        Gateways that saw a session while its version was withdrawn and those
        that did not must agree when the version is active again.
        """
        has_moved = self._view.versions[call.pin].moved_sessions
        if has_moved and not call.is_pin_signed:
            return 'was withdrawn'
        return ''

    def _check_steps(self, call: calls.Call, steps: list[str]) -> None:
        for version in steps:
            if not self._view.is_allowed(call.organisation, version):
                raise errors.InvariantViolation(
                    'allowed_version',
                    f'{version} was planned for {call.organisation}',
                )
            if not self._view.takes_new_work(version, version == call.pin):
                raise errors.InvariantViolation(
                    'withdrawn_version', f'{version} was planned'
                )

    def _collect(
        self, call: calls.Call, now: float
    ) -> tuple[list[resources.ModelVersion], dict[str, str], float]:
        """Returns usable versions, reasons for the others and the target."""
        view = self._view
        target = call.quality_target
        excluded = {}
        found = []
        by_rollout = {}
        if call.model == chat.AUTO_MODEL:
            pool = list(view.versions.values())
            cascade = self._find_cascade(call)
            if cascade is not None:
                names = set(cascade.steps)
                for version in pool:
                    if not names & {version.name, version.model}:
                        excluded[version.name] = f'not in {cascade.name}'
                organisation = view.organisations.get(call.organisation)
                if cascade.quality_target is not None and (
                    organisation is None
                    or target == organisation.quality_target
                ):
                    target = cascade.quality_target
        elif call.model in view.versions:
            pool = [view.versions[call.model]]
        else:
            pool = view.versions_by_model.get(call.model, [])
        if self._rollouts is not None and call.model not in view.versions:
            by_rollout = self._rollouts.list_excluded(now)
        for version in pool:
            if version.name in excluded:
                continue
            reason = self._judge(call, version.name, now) or by_rollout.get(
                version.name, ''
            )
            if reason:
                excluded[version.name] = reason
            else:
                found.append(version)
        if not found:
            code = 'version_not_allowed' if excluded else 'unknown_model'
            if excluded and set(excluded.values()) <= {
                str(resources.VersionState.WITHDRAWN)
            }:
                code = 'version_withdrawn'
            raise errors.RefusalError(
                code, f'no version of {call.model} may serve the request'
            )
        return found, excluded, target

    def _find_cascade(self, call: calls.Call) -> resources.Cascade | None:
        matching = [
            cascade
            for cascade in self._view.cascades.values()
            if call.request_class in cascade.request_classes
            and (
                not cascade.organisations
                or call.organisation in cascade.organisations
            )
        ]
        # A cascade for named organisations goes before a general one.
        return min(
            matching, key=lambda c: (not c.organisations, c.name), default=None
        )

    def _evaluate(
        self,
        call: calls.Call,
        versions: list[resources.ModelVersion],
        target: float,
        now: float,
    ) -> list[Candidate]:
        return [
            Candidate(
                version.name,
                self._costs.estimate(version, call.request_class),
                self._qualities.estimate(
                    version,
                    call.request_class,
                    call.organisation,
                    target,
                    now,
                ),
            )
            for version in versions
        ]

    def _plan_call(self, call: calls.Call, now: float) -> Plan:
        base = self._find_plan(call, now)
        plan = dataclasses.replace(base, steps=list(base.steps))
        if call.idempotent:
            self._explore(plan)
        self._move(call, plan, call.id, now)
        return plan

    def _find_plan(self, call: calls.Call, now: float) -> Plan:
        key = (
            call.organisation,
            call.model,
            call.request_class,
            call.quality_target,
            call.idempotent,
        )
        cached = self._plans.get(key)
        stamp = self._view.revision
        if cached is not None and cached[0] > now and cached[1] == stamp:
            return cached[2]
        versions, excluded, target = self._collect(call, now)
        candidates = self._evaluate(call, versions, target, now)
        check_cost = check_success = 0.0
        if self._checks is not None and call.idempotent:
            check_cost = self._checks.cost
            check_success = self._checks.estimate_success(now)
        steps, cost, quality, reason = choose_steps(
            candidates, target, check_cost, check_success
        )
        plan = Plan(steps, cost, excluded, reason, target, quality, candidates)
        for candidate in candidates:
            if candidate.version not in steps:
                excluded[candidate.version] = self._explain(candidate, plan)
        if len(self._plans) >= MAX_CACHED_PLANS:
            self._plans.clear()
        self._plans[key] = (now + PLAN_SECONDS, stamp, plan)
        return plan

    @staticmethod
    def _explain(candidate: Candidate, plan: Plan) -> str:
        if candidate.quality.upper < plan.target:
            return 'below the target'
        if candidate.quality.lower < plan.target:
            return 'target not met with confidence'
        return 'costs more'

    def forget_plans(self) -> None:
        """Drops cached plans, after a local change such as a halt."""
        self._plans.clear()

    def _explore(self, plan: Plan) -> None:
        """Lets an uncertain version go first, within the bound.

        Each idempotent call adds the exploration share to a credit and each
        exploration takes one whole call from it, so the share is never above
        the bound.
        """
        self._credit = min(
            self._credit + self._exploration_share, MAX_EXPLORATION_CREDIT
        )
        if self._credit < 1:
            return
        uncertain = [
            c
            for c in plan.candidates
            if c.version not in plan.steps
            and c.quality.lower < plan.target <= c.quality.upper
            and (c.cost < plan.expected_cost or plan.reason == 'best known')
        ]
        if not uncertain:
            return
        self._credit -= 1
        chosen = max(uncertain, key=lambda c: find_promise(c, plan))
        checked = self._checks is not None
        plan.steps = (
            [chosen.version, *plan.steps] if checked else [chosen.version]
        )
        plan.expected_cost += chosen.cost
        plan.reason = 'exploration'
        plan.excluded = {
            k: v for k, v in plan.excluded.items() if k != chosen.version
        }

    def _move(
        self, call: calls.Call, plan: Plan, key: str, now: float
    ) -> None:
        """Replaces steps by the versions that rollouts move the key to."""
        if self._rollouts is None or call.model in self._view.versions:
            return
        for i, version in enumerate(plan.steps):
            moved, rollout = self._rollouts.move(version, key, call.id, now)
            if moved == version or self._judge(call, moved, now):
                continue
            plan.steps[i] = moved
            plan.base, plan.rollout = version, rollout
            plan.excluded = {**plan.excluded, version: f'rollout {rollout}'}
            plan.excluded.pop(moved, None)

    def _plan_session(
        self, call: calls.Call, version: str, now: float
    ) -> Plan:
        found = self._view.versions[version]
        candidates = self._evaluate(call, [found], call.quality_target, now)
        return Plan(
            [version],
            candidates[0].cost,
            reason='session',
            target=call.quality_target,
            expected_quality=candidates[0].quality.lower,
            candidates=candidates,
        )

    def _plan_new_session(self, call: calls.Call, now: float) -> Plan:
        """Chooses by the configuration alone, the same at each gateway."""
        versions, excluded, target = self._collect(call, now)
        chosen = choose_session_version(
            versions, self._view.organisations[call.organisation]
        )
        plan = self._plan_session(call, chosen.name, now)
        plan.excluded = excluded
        for version in versions:
            if version.name != chosen.name:
                excluded[version.name] = 'session is placed elsewhere'
        plan.reason, plan.target = 'new session', target
        self._move(call, plan, f'{call.organisation}/{call.session}', now)
        return plan


def choose_session_version(
    versions: list[resources.ModelVersion],
    organisation: resources.Organisation,
) -> resources.ModelVersion:
    """Returns the version of a session with an id chosen by the caller.

    Only the configuration counts, since gateways have different estimates
    but must agree: the cheapest version whose declared quality meets the
    organisation's target in every class, or else the best one. A version
    that was withdrawn once comes last.
    """
    versions = [v for v in versions if not v.moved_sessions] or versions

    def declared(version: resources.ModelVersion) -> float:
        return min(version.quality.values(), default=estimates.UNKNOWN_QUALITY)

    def cost(version: resources.ModelVersion) -> tuple[float, str]:
        return version.input_cost + version.output_cost, version.name

    good = [v for v in versions if declared(v) >= organisation.quality_target]
    if good:
        return min(good, key=cost)
    return min(versions, key=lambda v: (-declared(v), *cost(v)))
