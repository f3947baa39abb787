"""Runs the steps of a plan and escalates until an answer is good enough."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import math

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import continuations
from chivejunction.coordination import dispatch
from chivejunction.coordination import ratings
from chivejunction.coordination import routing
from chivejunction.protocol import chat
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views

# Time that the next step needs at least; with less left, the present answer
# is better than none.
MIN_STEP_SECONDS = 1.0
MAX_BUFFER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class BilledStep:
    """Version, token counts and cost of a step in cost units."""

    version: str
    usage: dict[str, int]
    cost: float


@dataclasses.dataclass(slots=True)
class Bill:
    """The one bill record of a request, with the cost of all its steps.

    Attributes:
        request: Id of the request.
        organisation: Organisation that pays.
        version: Version whose answer the caller got, empty without one.
        steps: All steps that ran.
    """

    request: str
    organisation: str
    version: str = ''
    steps: list[BilledStep] = dataclasses.field(default_factory=list)

    @property
    def cost(self) -> float:
        """Cost of all steps in cost units."""
        return math.fsum(step.cost for step in self.steps)


def log_bill(bill: Bill) -> None:
    """Writes a bill record to the decision log."""
    logs.log_decision('bill', cost=bill.cost, **dataclasses.asdict(bill))


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request that runs through a plan.

    Attributes:
        call: The call.
        plan: The plan.
        bill: Bill record so far.
        is_billed: Whether the bill was passed on.
        started: Monotonic start of the present step in seconds.
    """

    call: calls.Call
    plan: routing.Plan
    bill: Bill
    is_billed: bool = False
    started: float = 0.0


StepObserver = Callable[[calls.Call, str, float | None, bool | None], None]


def has_failed(refusal: errors.RefusalError) -> bool | None:
    """Returns True for a failed step, None for one that did not run."""
    return None if refusal.verdict is verdicts.Verdict.NOT_RUN else True


def is_continued(end: messages.Frame) -> bool:
    """Tells whether a server broke off before another one went on.

    The caller has a whole answer, but a version that breaks its servers
    must show in the statistics.
    """
    return isinstance(end, continuations.JoinedEnd)


class CascadeRunner:
    """Runs plans.

    Args:
        dispatcher: Runs a call on one version.
        view: Configuration of the gateway.
        raters: Rates answers.
        qualities: Estimates of quality.
        costs: Estimates of cost.
        on_bill: Called exactly once for each request that ran.
        on_step: Called with the call, the version, the seconds to the first
            data (None without data) and whether the step failed (None when
            it did not run).
        make_headers: Returns more response headers for the call and the
            version that answers.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        view: views.ConfigView,
        raters: ratings.Raters,
        qualities: estimates.QualityEstimates,
        costs: estimates.CostEstimates,
        on_bill: Callable[[Bill], None] = log_bill,
        on_step: StepObserver = lambda *args: None,
        make_headers: Callable[[calls.Call, str], dict[str, str]] = (
            lambda call, version: {}
        ),
    ):
        self._dispatcher = dispatcher
        self._view = view
        self._raters = raters
        self._qualities = qualities
        self._costs = costs
        self._on_bill = on_bill
        self._on_step = on_step
        self._make_headers = make_headers

    async def run(
        self, call: calls.Call, plan: routing.Plan
    ) -> AsyncIterator[dispatch.Event]:
        """Yields one whole answer: a head, data and an end.

        The head names the version in ``x-model-version``.

        Args:
            call: The call, with the body of the caller.
            plan: Versions to run in order.

        Raises:
            RefusalError: The last step that could run failed.
        """
        bill = Bill(call.id, call.organisation)
        progress = Progress(call, plan, bill)
        try:
            # A non-idempotent request runs at most once, whatever the plan.
            steps = plan.steps if call.idempotent else plan.steps[:1]
            for version in steps[:-1]:
                kept = await self._run_checked(progress, version)
                if kept is not None:
                    self._settle(progress, version)
                    for event in kept:
                        yield event
                    return
            async for event in self._run_last(progress, steps[-1]):
                yield event
        finally:
            if bill.steps:
                self._settle(progress, '')

    def _settle(self, progress: Progress, version: str) -> None:
        """Passes the bill on, once."""
        if progress.is_billed:
            if version:
                raise errors.InvariantViolation(
                    'billed_once', f'{progress.call.id} has two answers'
                )
            return
        progress.is_billed = True
        progress.bill.version = version
        self._on_bill(progress.bill)

    def _add_headers(
        self, progress: Progress, version: str, head: messages.Head
    ) -> None:
        head.headers['x-model-version'] = version
        head.headers.update(self._make_headers(progress.call, version))

    def _dispatch(self, progress: Progress, version: str):
        call = progress.call
        progress.started = clock.now()
        step = dataclasses.replace(
            call,
            body=chat.write_chat(call.body, version),
            contested=bool(progress.bill.steps),
        )
        pool = self._view.versions[version].pool
        return self._dispatcher.run(step, pool, version)

    def _bill_step(
        self,
        progress: Progress,
        version: str,
        end: messages.End,
    ) -> None:
        usage = end.usage
        self._costs.add_usage(version, progress.call.request_class, usage)
        found = self._view.versions.get(version)
        cost = estimates.compute_cost(found, usage) if found else 0.0
        progress.bill.steps.append(BilledStep(version, usage, cost))

    def _make_answer(
        self, progress: Progress, version: str, content: bytes
    ) -> ratings.Answer:
        call = progress.call
        return ratings.Answer(
            call.id, version, call.request_class, call.organisation, content
        )

    async def _run_checked(
        self, progress: Progress, version: str
    ) -> list[dispatch.Event] | None:
        """Returns the answer of a step, or None to run the next step."""
        call = progress.call
        events: list[dispatch.Event] = []
        content = bytearray()
        first = None
        try:
            async for event in self._dispatch(progress, version):
                if isinstance(event, messages.Head):
                    self._add_headers(progress, version, event)
                elif isinstance(event, messages.Data):
                    if first is None:
                        first = clock.now() - progress.started
                    content += event.payload
                    if len(content) > MAX_BUFFER_BYTES:
                        raise errors.RefusalError(
                            'too_large', f'answer of {version} is too long'
                        )
                events.append(event)
        except errors.RefusalError as exc:
            self._on_step(call, version, first, has_failed(exc))
            if not exc.verdict.allows_retry(call.idempotent):
                raise
            return None
        end = events[-1]
        failed = events[0].status >= 500
        self._on_step(call, version, first, failed or is_continued(end))
        self._bill_step(progress, version, end)
        if failed:
            return None
        if events[0].status >= 400:
            return events
        if not self._has_time(progress):
            self._raters.submit(
                self._make_answer(progress, version, bytes(content))
            )
            return events
        answer = self._make_answer(progress, version, bytes(content))
        rating = await self._raters.check(
            answer, call.deadline - MIN_STEP_SECONDS
        )
        if self._is_good(progress, version, rating) or not self._has_time(
            progress
        ):
            return events
        return None

    @staticmethod
    def _has_time(progress: Progress) -> bool:
        # The next step is taken to need as long as this one.
        taken = clock.now() - progress.started
        left = clock.remaining(progress.call.deadline)
        return left > max(taken, MIN_STEP_SECONDS)

    def _is_good(
        self, progress: Progress, version: str, rating: float | None
    ) -> bool:
        call, target = progress.call, progress.plan.target
        if rating is None:
            found = self._view.versions.get(version)
            if found is None:
                return False
            quality = self._qualities.estimate(
                found,
                call.request_class,
                call.organisation,
                target,
                clock.now(),
            )
            rating = quality.lower
        good = rating >= target
        logs.log_decision(
            'escalation',
            request=call.id,
            organisation=call.organisation,
            version=version,
            rating=rating,
            target=target,
            escalated=not good,
            revision=self._view.revision,
        )
        return good

    async def _run_last(
        self, progress: Progress, version: str
    ) -> AsyncIterator[dispatch.Event]:
        """Passes an answer through and has it rated afterwards."""
        call = progress.call
        content = bytearray()
        first = None
        status = 0
        ended = continued = False
        try:
            async for event in self._dispatch(progress, version):
                if isinstance(event, messages.Head):
                    status = event.status
                    self._add_headers(progress, version, event)
                elif isinstance(event, messages.Data):
                    if first is None:
                        first = clock.now() - progress.started
                    if len(content) <= ratings.MAX_ANSWER_BYTES:
                        content += event.payload
                else:
                    ended = True
                    continued = is_continued(event)
                    self._bill_step(progress, version, event)
                    self._settle(progress, version)
                yield event
        except errors.RefusalError as exc:
            if not ended:
                self._on_step(call, version, first, has_failed(exc))
            raise
        self._on_step(call, version, first, status >= 500 or continued)
        if status < 400 and len(content) <= ratings.MAX_ANSWER_BYTES:
            self._raters.submit(
                self._make_answer(progress, version, bytes(content))
            )
