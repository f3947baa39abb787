"""Selection of the model version, or of a cascade of versions."""

import dataclasses
from typing import Protocol

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import chat
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views

# Maximum number of steps of a plan. Each step but the last one waits for a
# whole answer and its rating, so further steps would add too much to the time
# to first token.
MAX_STEPS = 3
# Maximum share of calls that explore an uncertain version.
EXPLORATION_SHARE = 0.02
# Unused exploration accumulates up to this many calls. A higher limit would
# allow a burst of explorations after a pause.
MAX_EXPLORATION_CREDIT = 2.0
PLAN_CACHE_SECONDS = 1.0
MAX_CACHED_PLANS = 10_000


@dataclasses.dataclass(slots=True)
class Candidate:
    """A version that may serve a request.

    Attributes:
        version: Name of the version.
        cost: Expected cost of an answer in cost units.
        quality: Estimated quality for the request.
    """

    version: str
    cost: float
    quality: estimates.Quality


@dataclasses.dataclass(slots=True)
class Plan:
    """Versions to try in order until the quality target is met.

    Attributes:
        steps: Names of versions in the order in which they run. The answer
            of each step but the last is rated before it is passed on.
        expected_cost: Expected cost of the plan in cost units.
        excluded: Reason for each version that was not chosen, by name.
        reason: Why these steps were chosen: ``cheapest``, ``best known``,
            ``exploration``, ``session`` or ``new session``.
        target: Quality that an answer must reach, 0 to 1.
        expected_quality: Lower confidence bound of the plan's quality.
        candidates: Versions that were compared.
        rollout: Rollout that replaced a step, empty without one.
    """

    steps: list[str]
    expected_cost: float = 0.0
    excluded: dict[str, str] = dataclasses.field(default_factory=dict)
    reason: str = ''
    target: float = 0.0
    expected_quality: float = 0.0
    candidates: list[Candidate] = dataclasses.field(default_factory=list)
    rollout: str = ''

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
    """Interface to the rollouts of the gateway."""

    def list_excluded(self, now: float) -> dict[str, str]:
        """Returns versions that only rollouts may choose, with reasons.

        Args:
            now: Monotonic time in seconds.
        """

    def find_halted_rollout(self, version: str, now: float) -> str:
        """Returns the halted rollout to a version, empty without one.

        Args:
            version: Target version of the rollout.
            now: Monotonic time in seconds.
        """

    def assign_version(
        self, version: str, key: str, request: str, now: float
    ) -> tuple[str, str]:
        """Returns the version to run and the rollout that replaced it.

        Args:
            version: Version that was chosen.
            key: Hash key of the request: organisation and session id, or
                the request id.
            request: Id of the request.
            now: Monotonic time in seconds.

        Returns:
            The given version and an empty name if no rollout replaces it.
        """


class Checks(Protocol):
    """Interface to the checks that rate answers during a request.

    Attributes:
        cost: Cost of one check in cost units.
    """

    cost: float

    def estimate_success(self, now: float) -> float:
        """Returns the share of checks that end in time.

        Args:
            now: Monotonic time in seconds.

        Returns:
            A share from 0 to 1; 0 if the rating service is unavailable.
        """


def extend_plan(
    last: Candidate,
    candidates: list[Candidate],
    check_cost: float,
    check_success: float,
) -> tuple[list[str], float, float]:
    """Prepends cheaper versions to a step while that lowers the cost.

    Args:
        last: Version of the last step, whose answer is not checked.
        candidates: Versions for the steps before it.
        check_cost: Cost of one check in cost units.
        check_success: Share of checks that end in time, 0 to 1. An answer
            whose check does not end in time counts as below the target.

    Returns:
        Names of the steps, expected cost in cost units, and lower bound of
        the expected quality.
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


def _choose_checked_steps(candidates, target, check_cost, check_success, best):
    """Returns the cheapest steps with checked answers, or the given ones.

    All pairs of versions are compared, since the cheapest pair may miss the
    target while a slightly more expensive one meets it. A third step is
    prepended to the best pair if that lowers the cost.

    Args:
        candidates: Versions to choose from.
        target: Quality that an answer must reach, 0 to 1.
        check_cost: Cost of one check in cost units.
        check_success: Share of checks that end in time, 0 to 1.
        best: Steps, cost and quality to improve on, or None.

    Returns:
        Names of the steps, expected cost in cost units, and lower bound of
        the expected quality; None if no steps meet the target.
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
        for first, first_cost, passing, passing_lower in firsts:
            cost = first_cost + (1 - passing) * last_cost
            if best is not None and cost >= best[1]:
                continue
            quality = (
                passing_lower * first.quality.passing_quality
                + (1 - passing_lower) * last_quality
            )
            if quality >= target and first is not last:
                best = ([first.version, last.version], cost, quality)
    if best is None:
        return None
    steps, cost, quality = cheapest = best
    for first, first_cost, passing, passing_lower in firsts:
        total_cost = first_cost + (1 - passing) * cost
        total_quality = (
            passing_lower * first.quality.passing_quality
            + (1 - passing_lower) * quality
        )
        if (
            total_cost < cheapest[1]
            and total_quality >= target
            and first.version not in steps
        ):
            cheapest = ([first.version, *steps], total_cost, total_quality)
    return cheapest


def choose_steps(
    candidates: list[Candidate],
    target: float,
    check_cost: float = 0.0,
    check_success: float = 0.0,
) -> tuple[list[str], float, float, str]:
    """Chooses the cheapest steps that meet a target with confidence.

    If no steps meet it, the version with the highest lower bound of its
    quality is chosen, preceded by cheaper ones whose answers are checked.

    Args:
        candidates: Versions to choose from, at least one.
        target: Quality that an answer must reach, 0 to 1.
        check_cost: Cost of one check in cost units.
        check_success: Share of checks that end in time, 0 to 1; 0 to plan
            without checks.

    Returns:
        Names of the steps, expected cost in cost units, lower bound of the
        expected quality, and the reason for the choice.
    """
    best = None
    for last in candidates:
        if last.quality.lower >= target and (
            best is None or last.cost < best[1]
        ):
            best = ([last.version], last.cost, last.quality.lower)
    if check_success > 0:
        best = _choose_checked_steps(
            candidates, target, check_cost, check_success, best
        )
    if best is not None:
        return (*best, 'cheapest')
    last = max(candidates, key=lambda c: (c.quality.lower, -c.cost))
    return (
        *extend_plan(last, candidates, check_cost, check_success),
        'best known',
    )


def compute_exploration_score(candidate: Candidate, plan: Plan) -> float:
    """Returns the saving by a version, weighted by its probability.

    The probability that its quality reaches the target is approximated by
    the part of the confidence interval above the target.

    Args:
        candidate: Version whose confidence interval contains the target.
        plan: Plan to compare with.
    """
    quality = candidate.quality
    probability = (quality.upper - plan.target) / (
        quality.upper - quality.lower
    )
    return probability * max(plan.expected_cost - candidate.cost, 1e-6)


class Router:
    """Plans the model versions that serve a call.

    Versions are chosen by permission, state, quality and cost.

    Args:
        view: Configuration of the gateway.
        qualities: Quality estimates.
        costs: Cost estimates.
        rollouts: Rollouts of the gateway, None without rollouts.
        checks: Checks that rate answers during a request, None without.
        exploration_share: Maximum share of calls that explore an uncertain
            version, 0 to 1.
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
        self._exploration_credit = 0.0
        self._cached_plans: dict[tuple, tuple[float, int, Plan]] = {}

    def plan(self, call: calls.Call, now: float | None = None) -> Plan:
        """Returns the plan for a call.

        Args:
            call: The call.
            now: Monotonic time in seconds; the current time by default.

        Raises:
            RefusalError: No version may serve the call.
        """
        now = clock.now() if now is None else now
        excluded: dict[str, str] = {}
        if call.pin:
            reason = self._find_exclusion_reason(
                call, call.pin, now, has_session=True
            )
            reason = reason or self._find_pin_rejection(call)
            if not reason:
                return self._make_session_plan(call, call.pin, now)
            excluded[call.pin] = reason
        if call.session:
            plan = self._plan_new_session(call, now)
        else:
            plan = self._plan_without_session(call, now)
        plan.excluded = {**plan.excluded, **excluded}
        self._check_steps(call, plan.steps)
        return plan

    def _find_exclusion_reason(
        self,
        call: calls.Call,
        version: str,
        now: float,
        has_session: bool = False,
    ) -> str:
        """Returns why a version may not serve a call, empty if it may."""
        view = self._view
        if version not in view.versions:
            return 'unknown'
        if not view.is_allowed(call.organisation, version):
            return 'not allowed'
        if not view.accepts_new_work(version, has_session):
            return str(view.versions[version].state)
        if not has_session and self._rollouts is not None:
            halted = self._rollouts.find_halted_rollout(version, now)
            if halted:
                return f'rollout {halted} is halted'
        return ''

    def _find_pin_rejection(self, call: calls.Call) -> str:
        """Returns why the pin of a call is invalid, empty if it is valid.

        The pin is invalid if its version was ever withdrawn, even if it is
        active again, unless a token of the caller confirms the pin. Gateways
        that served the session during the withdrawal have pinned another
        version than those that did not; without this rule they would
        disagree once the version is active again.
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
                    f'version {version} was planned for organisation '
                    f'{call.organisation}, which may not use it',
                )
            if not self._view.accepts_new_work(version, version == call.pin):
                raise errors.InvariantViolation(
                    'withdrawn_version',
                    f'version {version} was planned although its state does '
                    'not admit the request',
                )

    def _collect_versions(
        self, call: calls.Call, now: float
    ) -> tuple[list[resources.ModelVersion], dict[str, str], float]:
        """Returns eligible versions, reasons for the others and the target.

        Raises:
            RefusalError: No version may serve the call.
        """
        view = self._view
        target = call.quality_target
        excluded = {}
        eligible = []
        excluded_by_rollouts = {}
        if call.model == chat.AUTO_MODEL:
            matching = list(view.versions.values())
            cascade = self._find_cascade(call)
            if cascade is not None:
                names = set(cascade.steps)
                for version in matching:
                    if not names & {version.name, version.model}:
                        excluded[version.name] = f'not in {cascade.name}'
                organisation = view.organisations.get(call.organisation)
                if cascade.quality_target is not None and (
                    organisation is None
                    or target == organisation.quality_target
                ):
                    target = cascade.quality_target
        elif call.model in view.versions:
            matching = [view.versions[call.model]]
        else:
            matching = view.versions_by_model.get(call.model, [])
        if self._rollouts is not None and call.model not in view.versions:
            excluded_by_rollouts = self._rollouts.list_excluded(now)
        for version in matching:
            if version.name in excluded:
                continue
            reason = self._find_exclusion_reason(
                call, version.name, now
            ) or excluded_by_rollouts.get(version.name, '')
            if reason:
                excluded[version.name] = reason
            else:
                eligible.append(version)
        if not eligible:
            code = 'version_not_allowed' if excluded else 'unknown_model'
            if excluded and set(excluded.values()) <= {
                str(resources.VersionState.WITHDRAWN)
            }:
                code = 'version_withdrawn'
            raise errors.RefusalError(
                code, f'no version of {call.model} may serve the request'
            )
        return eligible, excluded, target

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
        # Cascades for listed organisations take precedence over general ones.
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

    def _plan_without_session(self, call: calls.Call, now: float) -> Plan:
        base = self._get_base_plan(call, now)
        plan = dataclasses.replace(base, steps=list(base.steps))
        if call.idempotent:
            self._explore(plan)
        self._apply_rollouts(call, plan, call.id, now)
        return plan

    def _get_base_plan(self, call: calls.Call, now: float) -> Plan:
        key = (
            call.organisation,
            call.model,
            call.request_class,
            call.quality_target,
            call.idempotent,
        )
        cached = self._cached_plans.get(key)
        revision = self._view.revision
        if cached is not None and cached[0] > now and cached[1] == revision:
            return cached[2]
        versions, excluded, target = self._collect_versions(call, now)
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
                excluded[candidate.version] = self._explain_exclusion(
                    candidate, plan
                )
        if len(self._cached_plans) >= MAX_CACHED_PLANS:
            self._cached_plans.clear()
        self._cached_plans[key] = (now + PLAN_CACHE_SECONDS, revision, plan)
        return plan

    @staticmethod
    def _explain_exclusion(candidate: Candidate, plan: Plan) -> str:
        if candidate.quality.upper < plan.target:
            return 'below the target'
        if candidate.quality.lower < plan.target:
            return 'target not met with confidence'
        return 'costs more'

    def clear_cached_plans(self) -> None:
        """Clears the cached plans after a local change such as a halt."""
        self._cached_plans.clear()

    def _explore(self, plan: Plan) -> None:
        """Makes an uncertain version the first step if credit allows it.

        Each idempotent call adds the exploration share to the credit and
        each exploration subtracts 1, so the share of explorations does not
        exceed the exploration share.
        """
        self._exploration_credit = min(
            self._exploration_credit + self._exploration_share,
            MAX_EXPLORATION_CREDIT,
        )
        if self._exploration_credit < 1:
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
        self._exploration_credit -= 1
        chosen = max(
            uncertain, key=lambda c: compute_exploration_score(c, plan)
        )
        has_checks = self._checks is not None
        plan.steps = (
            [chosen.version, *plan.steps] if has_checks else [chosen.version]
        )
        plan.expected_cost += chosen.cost
        plan.reason = 'exploration'
        plan.excluded = {
            k: v for k, v in plan.excluded.items() if k != chosen.version
        }

    def _apply_rollouts(
        self, call: calls.Call, plan: Plan, key: str, now: float
    ) -> None:
        """Replaces the steps whose version a rollout replaces for the key."""
        if self._rollouts is None or call.model in self._view.versions:
            return
        for i, version in enumerate(plan.steps):
            replacement, rollout = self._rollouts.assign_version(
                version, key, call.id, now
            )
            if replacement == version or self._find_exclusion_reason(
                call, replacement, now
            ):
                continue
            plan.steps[i] = replacement
            plan.rollout = rollout
            plan.excluded = {**plan.excluded, version: f'rollout {rollout}'}
            plan.excluded.pop(replacement, None)

    def _make_session_plan(
        self, call: calls.Call, version: str, now: float
    ) -> Plan:
        resource = self._view.versions[version]
        candidates = self._evaluate(call, [resource], call.quality_target, now)
        return Plan(
            [version],
            candidates[0].cost,
            reason='session',
            target=call.quality_target,
            expected_quality=candidates[0].quality.lower,
            candidates=candidates,
        )

    def _plan_new_session(self, call: calls.Call, now: float) -> Plan:
        """Returns the plan of a session whose version is not known yet.

        The version depends only on the configuration, so all gateways choose
        the same one.
        """
        versions, excluded, target = self._collect_versions(call, now)
        chosen = choose_session_version(
            versions, self._view.organisations[call.organisation]
        )
        plan = self._make_session_plan(call, chosen.name, now)
        plan.excluded = excluded
        for version in versions:
            if version.name != chosen.name:
                excluded[version.name] = 'another version serves the session'
        plan.reason, plan.target = 'new session', target
        self._apply_rollouts(
            call, plan, f'{call.organisation}/{call.session}', now
        )
        return plan


def choose_session_version(
    versions: list[resources.ModelVersion],
    organisation: resources.Organisation,
) -> resources.ModelVersion:
    """Returns the version of a session whose id was chosen by the caller.

    Gateways have different estimates but must choose the same version, so
    the choice depends only on the configuration. It is the cheapest version
    whose declared quality meets the organisation's target in every request
    class, or the one with the highest declared quality if none does.
    Versions that were withdrawn before are chosen only if there are no
    others.

    Args:
        versions: Versions to choose from, at least one.
        organisation: Organisation of the caller.
    """
    versions = [v for v in versions if not v.moved_sessions] or versions

    def get_declared_quality(version: resources.ModelVersion) -> float:
        return min(
            version.quality.values(), default=estimates.DEFAULT_PRIOR_QUALITY
        )

    def make_cost_key(version: resources.ModelVersion) -> tuple[float, str]:
        return version.input_cost + version.output_cost, version.name

    sufficient = [
        v
        for v in versions
        if get_declared_quality(v) >= organisation.quality_target
    ]
    if sufficient:
        return min(sufficient, key=make_cost_key)
    return min(
        versions, key=lambda v: (-get_declared_quality(v), *make_cost_key(v))
    )
