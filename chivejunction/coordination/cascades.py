"""Runs cascades: plans that escalate until a response is good enough."""

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

# Least time that the next step needs. With less time left, the current
# response is returned, as it is better than none.
MIN_STEP_SECONDS = 1.0
MAX_BUFFER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class BilledStep:
    """A billed step.

    Attributes:
        version: Version that ran.
        usage: Token counts by name.
        cost: Cost in cost units.
    """

    version: str
    usage: dict[str, int]
    cost: float


@dataclasses.dataclass(slots=True)
class Bill:
    """The only bill record of a request, with the cost of all its steps.

    Attributes:
        request: Id of the request.
        organisation: Organisation that pays.
        version: Version whose response the caller received, empty without
            one.
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
    """Progress of a request through the steps of its plan.

    Attributes:
        call: The call.
        plan: The plan.
        bill: Bill record so far.
        is_billed: Whether the bill was sent.
        started: Monotonic start of the current step in seconds.
    """

    call: calls.Call
    plan: routing.Plan
    bill: Bill
    is_billed: bool = False
    started: float = 0.0


StepObserver = Callable[[calls.Call, str, float | None, bool | None], None]


def classify_refusal(refusal: errors.RefusalError) -> bool | None:
    """Returns the outcome of a refused step, as on_step receives it.

    Returns:
        True for a failed step, None for one that did not run.
    """
    return None if refusal.verdict is verdicts.Verdict.NOT_RUN else True


def was_continued(end: messages.Frame) -> bool:
    """Returns whether another server completed the response of a failed one.

    The caller receives a whole response, but the step counts as failed, so
    that a version which makes its servers fail shows in the statistics.
    """
    return isinstance(end, continuations.JoinedEnd)


class CascadeRunner:
    """Runs the plans of requests.

    Args:
        dispatcher: Runs a call on one version.
        view: Configuration of the gateway.
        rating_client: Client of the rating service.
        qualities: Estimates of quality.
        costs: Estimates of cost.
        on_bill: Called exactly once for each request that ran.
        on_step: Called with the call, the version, the seconds to the first
            data (None without data) and whether the step failed (None when
            it did not run).
        make_headers: Returns additional response headers for the call and
            the version that made the response.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        view: views.ConfigView,
        rating_client: ratings.RatingClient,
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
        self._rating_client = rating_client
        self._qualities = qualities
        self._costs = costs
        self._on_bill = on_bill
        self._on_step = on_step
        self._make_headers = make_headers

    async def run(
        self, call: calls.Call, plan: routing.Plan
    ) -> AsyncIterator[dispatch.Event]:
        """Yields one whole response: a head, data and an end.

        The head holds the version in ``x-model-version``.

        Args:
            call: The call, with the request body as sent by the caller.
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
                events = await self._run_rated(progress, version)
                if events is not None:
                    self._send_bill(progress, version)
                    for event in events:
                        yield event
                    return
            async for event in self._run_last(progress, steps[-1]):
                yield event
        finally:
            if bill.steps:
                self._send_bill(progress, '')

    def _send_bill(self, progress: Progress, version: str) -> None:
        """Passes the bill to on_bill, at most once.

        Args:
            progress: Progress of the request.
            version: Version whose response is returned, empty without one.

        Raises:
            InvariantViolation: The bill of another response was sent before.
        """
        if progress.is_billed:
            if version:
                raise errors.InvariantViolation(
                    'billed_once',
                    f'request {progress.call.id} has two responses',
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
        """Returns the events of a step, an asynchronous iterator."""
        call = progress.call
        progress.started = clock.now()
        step_call = dataclasses.replace(
            call,
            body=chat.make_engine_body(call.body, version),
            has_earlier_attempts=bool(progress.bill.steps),
        )
        pool = self._view.versions[version].pool
        return self._dispatcher.run(step_call, pool, version)

    def _bill_step(
        self,
        progress: Progress,
        version: str,
        end: messages.End,
    ) -> None:
        usage = end.usage
        self._costs.add_usage(version, progress.call.request_class, usage)
        model_version = self._view.versions.get(version)
        cost = (
            estimates.compute_cost(model_version, usage)
            if model_version
            else 0.0
        )
        progress.bill.steps.append(BilledStep(version, usage, cost))

    def _make_response(
        self, progress: Progress, version: str, content: bytes
    ) -> ratings.RatedResponse:
        call = progress.call
        return ratings.RatedResponse(
            call.id, version, call.request_class, call.organisation, content
        )

    async def _run_rated(
        self, progress: Progress, version: str
    ) -> list[dispatch.Event] | None:
        """Runs a step whose response is rated before it is returned.

        Returns:
            The events of the response, None to run the next step.

        Raises:
            RefusalError: The step failed and the next one must not run.
        """
        call = progress.call
        events: list[dispatch.Event] = []
        content = bytearray()
        first_data_seconds = None
        try:
            async for event in self._dispatch(progress, version):
                if isinstance(event, messages.Head):
                    self._add_headers(progress, version, event)
                elif isinstance(event, messages.Data):
                    if first_data_seconds is None:
                        first_data_seconds = clock.now() - progress.started
                    content += event.payload
                    if len(content) > MAX_BUFFER_BYTES:
                        raise errors.RefusalError(
                            'too_large', f'answer of {version} is too long'
                        )
                events.append(event)
        except errors.RefusalError as exc:
            self._on_step(
                call, version, first_data_seconds, classify_refusal(exc)
            )
            if not exc.verdict.allows_retry(call.idempotent):
                raise
            return None
        end = events[-1]
        failed = events[0].status >= 500
        self._on_step(
            call, version, first_data_seconds, failed or was_continued(end)
        )
        self._bill_step(progress, version, end)
        if failed:
            return None
        if events[0].status >= 400:
            return events
        if not self._has_time_for_next_step(progress):
            self._rating_client.submit(
                self._make_response(progress, version, bytes(content))
            )
            return events
        response = self._make_response(progress, version, bytes(content))
        rating = await self._rating_client.check(
            response, call.deadline - MIN_STEP_SECONDS
        )
        if self._meets_target(
            progress, version, rating
        ) or not self._has_time_for_next_step(progress):
            return events
        return None

    @staticmethod
    def _has_time_for_next_step(progress: Progress) -> bool:
        # The next step is expected to need as long as the current one.
        elapsed = clock.now() - progress.started
        remaining = clock.remaining(progress.call.deadline)
        return remaining > max(elapsed, MIN_STEP_SECONDS)

    def _meets_target(
        self, progress: Progress, version: str, rating: float | None
    ) -> bool:
        """Returns whether a response reaches the target of the plan.

        Without a rating, the lower bound of the version's estimated quality
        is compared with the target.
        """
        call, target = progress.call, progress.plan.target
        if rating is None:
            model_version = self._view.versions.get(version)
            if model_version is None:
                return False
            quality = self._qualities.estimate(
                model_version,
                call.request_class,
                call.organisation,
                target,
                clock.now(),
            )
            rating = quality.lower
        is_sufficient = rating >= target
        logs.log_decision(
            'escalation',
            request=call.id,
            organisation=call.organisation,
            version=version,
            rating=rating,
            target=target,
            escalated=not is_sufficient,
            revision=self._view.revision,
        )
        return is_sufficient

    async def _run_last(
        self, progress: Progress, version: str
    ) -> AsyncIterator[dispatch.Event]:
        """Yields the response of the last step and submits it for rating.

        Raises:
            RefusalError: The step failed.
        """
        call = progress.call
        content = bytearray()
        first_data_seconds = None
        status = 0
        ended = is_continued = False
        try:
            async for event in self._dispatch(progress, version):
                if isinstance(event, messages.Head):
                    status = event.status
                    self._add_headers(progress, version, event)
                elif isinstance(event, messages.Data):
                    if first_data_seconds is None:
                        first_data_seconds = clock.now() - progress.started
                    if len(content) <= ratings.MAX_RATED_BYTES:
                        content += event.payload
                else:
                    ended = True
                    is_continued = was_continued(event)
                    self._bill_step(progress, version, event)
                    self._send_bill(progress, version)
                yield event
        except errors.RefusalError as exc:
            if not ended:
                self._on_step(
                    call, version, first_data_seconds, classify_refusal(exc)
                )
            raise
        self._on_step(
            call, version, first_data_seconds, status >= 500 or is_continued
        )
        if status < 400 and len(content) <= ratings.MAX_RATED_BYTES:
            self._rating_client.submit(
                self._make_response(progress, version, bytes(content))
            )
