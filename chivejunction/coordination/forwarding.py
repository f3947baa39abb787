"""Forwards callers' requests to backend servers."""

from collections.abc import Callable
import math

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import direct_attempts
from chivejunction.coordination import harmful_prompts
from chivejunction.coordination import request_context
from chivejunction.protocol import forwarding
from chivejunction.protocol import refusals
from chivejunction.scheduling import admission
from chivejunction.scheduling import tier_choice
from chivejunction.state import freshness
from chivejunction.state import route_tables
from chivejunction.transport import caller_connections

# Parts of a prompt that the line of a request names.
MAX_LOGGED_PARTS = 12
REQUESTS = metrics.make_counter(
    'forward_requests', 'Forwarded requests by result.', 'route', 'result'
)
FIRST_BYTE_LATENCY = metrics.LatencySummary(
    'forward_first_byte_seconds', 'Time to the first byte.', 'route'
)


class Forwarder:
    """Handles callers' requests by making attempts at backend servers.

    Args:
        get_table: Returns the active routing table, or None before the first
            configuration is loaded.
        wire_format: Encodes and decodes HTTP messages of callers and backend
            servers.
        config_freshness: Tracks the age of the configuration.
        chooser: Chooses the backend server of each attempt.
        attempts: Makes the attempts.
        prompt_guard: Knows which prompts crash servers.
    """

    def __init__(
        self,
        get_table: Callable[[], route_tables.RouteTable | None],
        wire_format: forwarding.WireFormat,
        config_freshness: freshness.Freshness,
        chooser: attempt_choice.AttemptChooser,
        attempts: direct_attempts.DirectAttempts,
        prompt_guard: harmful_prompts.HarmfulPromptGuard,
    ):
        self._get_table = get_table
        self._wire_format = wire_format
        self._config_freshness = config_freshness
        self._chooser = chooser
        self._attempts = attempts
        self._prompt_guard = prompt_guard
        self._admit_until = self._stop_at = math.inf
        # Requests in progress and the scopes of their deadlines.
        self._active: dict[
            request_context.RequestContext, anyio.CancelScope
        ] = {}

    def schedule_stop(self, admit_until: float, stop_at: float) -> None:
        """Limits all requests to the times of a stop of this gateway.

        Args:
            admit_until: Monotonic time after which requests that are read
                or wait for a server are refused.
            stop_at: Monotonic time at which all requests in progress get
                their final response.
        """
        self._admit_until, self._stop_at = admit_until, stop_at
        for context, scope in self._active.items():
            context.set_stop_times(admit_until, stop_at)
            scope.deadline = context.deadline

    async def handle(
        self,
        raw: caller_connections.RawRequest,
        reply: caller_connections.ResponseWriter,
    ) -> None:
        """Handles one request and sends the response to the caller."""
        try:
            request = self._wire_format.decode_request(
                raw.method,
                raw.target,
                raw.headers,
                raw.body,
                raw.received_at,
            )
        except errors.RefusalError as exc:
            await self._refuse(reply, None, exc)
            return
        try:
            self._require_admission(request)
            context = self._create_context(request, reply)
        except errors.RefusalError as exc:
            await self._refuse(reply, request, exc)
            return
        context.set_stop_times(self._admit_until, self._stop_at)
        is_done, refusal = False, None
        try:
            with anyio.move_on_at(context.deadline) as scope:
                self._active[context] = scope
                try:
                    is_done = await self._run_attempts(context)
                except errors.RefusalError as exc:
                    refusal = exc
                except BaseException as exc:
                    if direct_attempts.is_expected(exc, context):
                        raise
                    containment.record_error(
                        'request', exc, request=request.id
                    )
                    context.reason = 'unexpected error'
            # Neither the time limit nor a later stop cancels a final response
            # of this gateway.
            self._active.pop(context, None)
            if scope.cancelled_caught:
                context.reason = (
                    'this gateway stops'
                    if clock.has_passed(context.stop_at)
                    else 'time limit reached'
                )
            if refusal is not None:
                await self._refuse(reply, request, refusal)
            elif not is_done:
                await self._send_failure(context)
            if not is_done:
                self._chooser.record_unserved(context)
        except anyio.get_cancelled_exc_class():
            context.reason = 'the caller left'
            raise
        finally:
            self._active.pop(context, None)
            with containment.contain('request'):
                self._record_result(context)

    def _require_admission(self, request: forwarding.ForwardRequest) -> None:
        """Checks a request that no configuration concerns.

        Raises:
            RefusalError: It asks for a tunnel, or this gateway stops too
                soon.
        """
        if request.method == 'CONNECT':
            raise errors.RefusalError('method_not_allowed', 'no tunnels')
        if request.received_at > self._admit_until:
            raise errors.RefusalError('leaving', 'this gateway stops')

    def _create_context(
        self, request, reply
    ) -> request_context.RequestContext:
        """Checks a request against the configuration.

        Raises:
            RefusalError: The configuration rejects the request, or is too old
                to decide.
        """
        table = self._get_table()
        if table is None:
            raise errors.RefusalError('not_ready', 'no configuration yet')
        route = table.find_route(request.host, request.path)
        if route is None:
            self._require_fresh_config()
            raise errors.RefusalError('not_found', 'no route for this path')
        organisation = None
        if route.needs_key:
            organisation = table.find_organisation(request.key)
            if organisation is None or not self._config_freshness.is_current():
                self._require_fresh_config()
                raise errors.RefusalError(
                    'unauthenticated', 'the key is not known'
                )
        name = route_tables.choose_service(route, request.id)
        service = table.services.get(name) or forwarding.BackendService(name)
        return request_context.RequestContext(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            reply=reply,
            tier=tier_choice.TierChoice.start(
                route.tiers,
                route.repeat_policy is not forwarding.RepeatPolicy.NEVER,
            ),
            deadline=min(
                request.deadline, request.received_at + route.timeout
            ),
            resume_after=request.resume_after,
        )

    def _require_fresh_config(self) -> None:
        """Raises RefusalError if the configuration may be out of date."""
        if not self._config_freshness.is_current():
            raise errors.RefusalError(
                'not_ready', 'the configuration may be out of date'
            )

    async def _run_attempts(
        self, context: request_context.RequestContext
    ) -> bool:
        """Makes attempts; returns whether one has sent the response.

        Raises:
            RefusalError: The request was not sent.
        """
        budget = self._chooser.get_retry_budget(context.service.name)
        budget.add_request()
        action = request_context.NextAction.RETRY
        while action in (
            request_context.NextAction.RETRY,
            request_context.NextAction.ESCALATE,
        ):
            if not self._is_harmless(context):
                break
            # An escalation has already chosen its backend server and taken
            # its extra attempt from the budget.
            choice, context.next_choice = context.next_choice, None
            if choice is None:
                choice = await self._chooser.wait_for_backend(context)
                if choice is None:
                    break
                if context.sent_attempts and not budget.take():
                    context.reason = context.reason or 'no retry budget'
                    break
            action = await self._attempts.run(context, choice)
            if (
                action is request_context.NextAction.RETRY
                and not context.can_retry
            ):
                break
        return action is request_context.NextAction.DONE

    def _is_harmless(self, context: request_context.RequestContext) -> bool:
        """Returns whether a request may be sent to a server at all.

        Raises:
            RefusalError: It may not, and has not been sent.
        """
        reason = self._prompt_guard.find_reason(context)
        if reason is None:
            return True
        if context.verdict is request_context.NOT_RUN:
            raise errors.RefusalError(
                'harmful_prompt',
                reason,
                retry_after=harmful_prompts.QUARANTINE_SECONDS,
            )
        context.reason = reason
        return False

    async def _send_failure(
        self, context: request_context.RequestContext
    ) -> None:
        """Sends the final response of a request that no attempt completed."""
        if context.reply.has_started:
            # The connection is reset, so that the caller can tell that the
            # response is incomplete; callers that support it resume.
            return
        if context.error_response is not None:
            response = context.error_response
            await context.reply.send_response(
                response.status, response.headers, response.body
            )
            return
        if context.verdict is request_context.NOT_RUN:
            code = (
                'leaving'
                if clock.has_passed(context.last_attempt_at)
                else 'no_server'
            )
        elif clock.has_passed(context.stop_at):
            code = 'server_failed'
        elif (
            clock.remaining(context.deadline)
            <= request_context.MIN_REMAINING_SECONDS
        ):
            code = 'deadline'
        else:
            code = 'server_failed'
        await self._refuse(
            context.reply,
            context.request,
            errors.RefusalError(code, context.reason, context.verdict),
        )

    async def _refuse(self, reply, request, error) -> None:
        status = refusals.REFUSALS[error.code].status
        retry_after = None
        if status in (429, 503):
            retry_after = error.retry_after
            if retry_after is None:
                retry_after = admission.choose_retry_after(
                    clock.remaining(request.deadline) if request else math.inf
                )
        REQUESTS.labels('', error.code).inc()
        logs.log_decision(
            'refusal',
            request=request.id if request else '',
            code=error.code,
            detail=error.detail,
            verdict=error.verdict.label,
            status=status,
            retry_after=retry_after,
            share_used=(error.share_used and round(error.share_used, 2)),
            configuration_age=round(min(self._config_freshness.age, 1e6), 3),
        )
        headers = self._wire_format.make_refusal_headers(
            request.id if request else '', retry_after
        )
        body = f'{error.code}: {error.detail}\n'.encode()
        await reply.send_response(status, headers, body)

    def _record_result(self, context: request_context.RequestContext) -> None:
        result = 'complete' if context.reply.is_finished else 'cut'
        REQUESTS.labels(context.route.name, result).inc()
        if context.first_byte_at:
            FIRST_BYTE_LATENCY.record(
                context.route.name,
                context.first_byte_at - context.request.received_at,
            )
        logs.log_decision(
            'request',
            request=context.request.id,
            route=context.route.name,
            organisation=(
                context.organisation.name if context.organisation else ''
            ),
            result=result,
            attempts=context.sent_attempts,
            model=context.tier.model,
            reason=context.reason,
            events=context.events,
            session=context.request.session,
            shared_part=context.request.shared_part_id,
            prompt_parts=[
                part.id for part in context.request.prompt[:MAX_LOGGED_PARTS]
            ],
            shared_tokens=context.request.shared_tokens,
            input_tokens=context.request.input_tokens,
            expected_tokens=context.request.expected_tokens,
            max_output_tokens=context.request.max_output_tokens,
            first_byte=round(
                max(0.0, context.first_byte_at - context.request.received_at),
                4,
            ),
            seconds=round(clock.now() - context.request.received_at, 4),
        )
