"""Attempts at backend servers over the gateway's own connections."""

import anyio
from anyio import lowlevel

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import harmful_prompts
from chivejunction.coordination import liveness
from chivejunction.coordination import request_context
from chivejunction.coordination import server_notices
from chivejunction.coordination import version_moves
from chivejunction.protocol import forwarding
from chivejunction.protocol import sse
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import server_paces
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import freshness
from chivejunction.transport import backend_connections
from chivejunction.transport import pieces
from chivejunction.transport import sockets

# Time to the first byte, as a share of the route's objective, after which a
# repeatable request is retried at another server. The longer limit applies
# while the server is alive but busy.
FIRST_BYTE_TIMEOUT_SHARE = 0.5
BUSY_FIRST_BYTE_TIMEOUT_SHARE = 2.0
# The same for responses that are not streamed, which an idle server sends at
# once. Liveness is not checked for them.
PLAIN_FIRST_BYTE_TIMEOUT_SHARE = 0.55
# Interval at which it is checked whether another server can take over.
TAKEOVER_CHECK_SECONDS = 0.1
# Time between two events, as a share of the longest gap that is on time,
# after which a stream is resumed at another server. The longer limit applies
# while the server is alive but busy.
EVENT_GAP_TIMEOUT_SHARE = 0.7
BUSY_EVENT_GAP_TIMEOUT_SHARE = 2.0
# An engine that processes long prompts pauses its streams for this long.
MIN_EVENT_GAP_TIMEOUT_SECONDS = 0.5
# A server may have dropped a connection that was idle for longer without
# notice. Requests that must not run twice do not use such a connection.
MAX_NON_REPEATABLE_IDLE_SECONDS = 1.5
# An attempt that waits behind more queued work than this is not used to judge
# the speed of its server's software version.
MAX_MEASURABLE_WAIT_SECONDS = 0.1
# Times between events of a stream that show the pace of its server's software
# version.
MIN_MEASURED_INTERVALS = 3
MAX_MEASURED_INTERVALS = 8
# Added to the expected latency; covers a round trip between regions.
LATENCY_SLACK_SECONDS = 0.08
# A body up to this size fits into the window of any connection, so that
# sending it cannot block.
SMALL_BODY_BYTES = 4096
ATTEMPTS = metrics.make_counter(
    'forward_attempts', 'Attempts at backend servers.', 'service', 'outcome'
)
DISTURBING_PREFILLS = metrics.make_counter(
    'disturbing_prefills',
    'Prompts that delayed streams of their server beyond the target.',
    'service',
)


class DirectAttempts:
    """Makes attempts over direct connections.

    Args:
        table: Backend servers and closed failure domains.
        pool: Connections to backend servers.
        wire_format: Encodes requests and decodes responses.
        config_freshness: Tracks the age of the configuration.
        moves: Records the results of attempts by software version.
        prefill_times: Records the time that models take to process prompts.
        chooser: Decides on escalation and tracks queued work.
        prompt_guard: Watches for prompts that crash servers.
        notices: Applies what servers say of themselves.
        paces: Records the pace of each server; None if it is not needed.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        pool: backend_connections.ConnectionPool,
        wire_format: forwarding.WireFormat,
        config_freshness: freshness.Freshness,
        moves: version_moves.VersionMoves,
        prefill_times: backlogs.PrefillTimeEstimator,
        chooser: attempt_choice.AttemptChooser,
        prompt_guard: harmful_prompts.HarmfulPromptGuard,
        notices: server_notices.ServerNotices,
        paces: server_paces.PaceEstimator | None = None,
    ):
        self._notices = notices
        self._paces = paces
        self._prompt_guard = prompt_guard
        self._table = table
        self._pool = pool
        self._wire_format = wire_format
        self._config_freshness = config_freshness
        self._moves = moves
        self._prefill_times = prefill_times
        self._chooser = chooser
        self._liveness = liveness.LivenessMonitor(pool, wire_format)

    async def run(
        self,
        context: request_context.RequestContext,
        choice: backend_selection.Choice,
    ) -> request_context.NextAction:
        """Makes one attempt.

        Args:
            context: The request; updated with the result.
            choice: Backend server of the attempt.

        Returns:
            What to do next.
        """
        started_at = clock.now()
        backend = choice.backend
        context.choice = choice
        context.progress = request_context.Progress.UNSENT
        context.event_interval = context.version_result = None
        backend.running += 1
        work_id = 0
        connection = None
        is_released = False
        outcome = 'cancelled'
        try:
            work_id = self._chooser.start_work(context, choice)
            connection = await self._connect(context, backend)
            context.work_id = work_id
            action, idle_seconds = await self._exchange_guarded(
                context, backend, connection
            )
            outcome = action.value
            if (
                action is not request_context.NextAction.ESCALATE
                and connection.is_reusable()
            ):
                is_released = idle_seconds is None or idle_seconds > 0
                if is_released:
                    self._pool.release(
                        backend.instance, connection, idle_seconds
                    )
            return action
        except request_context.AttemptFailed as exc:
            outcome = str(exc)
            context.reason = outcome
            context.verdict = max(context.verdict, exc.verdict)
            context.failed_instances.add(backend.instance)
            if exc.is_broken:
                context.broken_starts += (
                    context.progress is request_context.Progress.BEGUN
                )
                self._prompt_guard.report_break(context, backend)
            if (
                exc.verdict is not request_context.NOT_RUN
                and exc.is_server_fault
            ):
                backend.record_failure()
                self._moves.record_failure(
                    context.service.name,
                    backend.version,
                    context.version_result,
                )
            return request_context.NextAction.RETRY
        except BaseException as exc:
            if is_expected(exc, context):
                raise
            containment.record_error(
                'attempt',
                exc,
                request=context.request.id,
                instance=backend.instance,
            )
            outcome = context.reason = 'unexpected error'
            context.failed_instances.add(backend.instance)
            if context.reply.is_finished:
                return request_context.NextAction.DONE
            # Which bytes of a response have been sent is not known.
            return (
                request_context.NextAction.STOP
                if context.reply.has_started
                else request_context.NextAction.RETRY
            )
        finally:
            backend.running -= 1
            with containment.contain('attempt'):
                self._chooser.end_attempt(
                    work_id, context, clock.now() - started_at
                )
            with containment.contain('attempt'):
                self._chooser.wake_waiting(backend.service)
            if connection is not None and not is_released:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
            with containment.contain('attempt'):
                self._record_attempt(context, choice, outcome, started_at)

    @staticmethod
    def _record_attempt(context, choice, outcome, started_at) -> None:
        backend = choice.backend
        if choice.disturbed_streams:
            DISTURBING_PREFILLS.labels(context.service.name).inc()
        ATTEMPTS.labels(context.service.name, outcome.split(':')[0]).inc()
        logs.log_decision(
            'attempt',
            request=context.request.id,
            service=context.service.name,
            instance=backend.instance,
            domain=backend.failure_domain,
            version=backend.version,
            model=choice.model,
            running=round(choice.running_attempts),
            disturbed_streams=round(choice.disturbed_streams),
            estimated_wait=round(choice.wait, 3),
            estimated_work=round(choice.seconds, 3),
            busy_seconds=round(choice.busy_seconds, 3),
            pace=round(choice.pace, 3),
            held_tokens=choice.held_tokens,
            copied_tokens=choice.copied_tokens,
            copy_from=choice.copy_from,
            left=choice.left_reason,
            away_share=round(choice.away_share, 3),
            copy_verdict=choice.copy_verdict,
            replicas=choice.replica_count,
            error_share=round(backend.error_share, 3),
            attempt=context.sent_attempts,
            outcome=outcome,
            progress=context.progress.value,
            event_interval=context.event_interval,
            confidence=context.confidence,
            seconds=round(clock.now() - started_at, 4),
        )

    async def _connect(self, context, backend):
        is_non_repeatable = (
            context.route.repeat_policy is forwarding.RepeatPolicy.NEVER
        )
        max_idle_seconds = (
            MAX_NON_REPEATABLE_IDLE_SECONDS if is_non_repeatable else 3600.0
        )
        try:
            return await self._pool.acquire(
                backend.instance,
                backend.address,
                backend.port,
                max_idle_seconds,
                context.deadline,
            )
        except backend_connections.NoDescriptorError as exc:
            raise request_context.AttemptFailed(
                'no descriptor', request_context.NOT_RUN
            ) from exc
        except errors.TransportError as exc:
            backend.record_connection_failure()
            raise request_context.AttemptFailed(
                'unreachable', request_context.NOT_RUN
            ) from exc

    async def _exchange_guarded(self, context, backend, connection):
        """Makes the exchange unless the prompt is found harmful meanwhile."""
        with self._prompt_guard.track(context) as scope:
            return await self._exchange(context, backend, connection)
        assert scope.cancelled_caught
        raise request_context.AttemptFailed(
            'prompt found harmful', context.verdict, is_server_fault=False
        )

    async def _exchange(self, context, backend, connection):
        """Sends the request, if it still may be sent to this server.

        Returns:
            What to do next, and the seconds for which the server keeps the
            idle connection: 0 if it closes it, None if it states no time.

        Raises:
            request_context.AttemptFailed: The request was not sent, or the
                response is missing or incomplete.
        """
        dispatch = forwarding.Dispatch(
            instance=backend.instance,
            organisation=(
                context.organisation.name if context.organisation else ''
            ),
            model=context.tier.model,
            urgency=context.urgency if context.route.is_stream else None,
            resume_after=context.resume_after,
            deadline=context.deadline,
            copy_from=context.choice.copy_from,
        )
        if context.route.needs_key and not self._config_freshness.is_current():
            raise request_context.AttemptFailed(
                'configuration out of date', request_context.NOT_RUN
            )
        if backend.is_leaving or (
            backend.failure_domain in self._table.closed_domains
        ):
            raise request_context.AttemptFailed(
                'server left meanwhile', request_context.NOT_RUN
            )
        if not clock.has_passed(backend.refused_until):
            raise request_context.AttemptFailed(
                'server asked for time', request_context.NOT_RUN
            )
        headers = self._wire_format.make_attempt_headers(
            context.request, dispatch
        )
        context.sent_attempts += 1
        context.progress = request_context.Progress.SENT
        verdict_before = context.verdict
        context.verdict = max(context.verdict, request_context.MAY_HAVE_RUN)
        try:
            return await self._send_and_read(
                context, backend, connection, headers
            )
        except request_context.AttemptFailed as exc:
            if exc.verdict is request_context.NOT_RUN:
                context.verdict = verdict_before
            raise

    async def _send_and_read(self, context, backend, connection, headers):
        """Sends the request and forwards the response.

        A long body is sent concurrently, since a server may respond before
        it has read the body.
        """
        request = context.request
        if len(request.body) <= SMALL_BODY_BYTES:
            await self._send_request(connection, request, headers)
            return await self._read_response(context, backend, connection)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._send_request, connection, request, headers
                )
                result = await self._read_response(
                    context, backend, connection
                )
                group.cancel_scope.cancel()
        except BaseExceptionGroup as failures:
            raise find_first_exception(failures) from None
        return result

    @staticmethod
    async def _send_request(connection, request, headers) -> None:
        try:
            await connection.send(
                request.method, request.target, headers, request.body
            )
        except errors.TransportError as exc:
            # A server may respond early and refuse the rest of the body.
            # The task that reads detects whether there is a response.
            logs.LOG.debug('request was not sent completely: %s', exc)

    async def _read_response(self, context, backend, connection):
        """Reads the response and forwards it unless it is an error."""
        sent_at = clock.now()
        head = await self._read_response_head(
            context, backend, connection, sent_at
        )
        context.progress = request_context.Progress.BEGUN
        context.begun_at = clock.now()
        context.confidence = head.confidence
        if head.status != 421:
            self._notices.read_response(backend, head, sent_at)
        if head.has_not_run:
            if head.status == 421:
                backend.paused_until = clock.make_deadline(1.0)
                raise request_context.AttemptFailed(
                    'another instance', request_context.NOT_RUN
                )
            backend.record_capacity_refusal()
            raise request_context.AttemptFailed(
                f'refused {head.status}', request_context.NOT_RUN
            )
        idle_seconds = 0.0 if head.is_closing else head.idle_seconds
        if head.status >= 300:
            body = await self._read_body(connection, context.reply)
            return self._handle_error_status(
                context, backend, head, body
            ), idle_seconds
        if not head.is_signed:
            raise request_context.AttemptFailed(
                'answer without signature', request_context.MAY_HAVE_RUN
            )
        if context.route.is_stream:
            # The server has begun to respond, so this attempt no longer
            # counts as queued work.
            self._chooser.end_work(context.work_id)
            if self._chooser.try_escalate(context, head.confidence):
                self._record_first_byte(context, backend, sent_at, None)
                context.verdict = request_context.RAN
                return request_context.NextAction.ESCALATE, idle_seconds
            await self._forward_stream(
                context, backend, connection, head, sent_at
            )
        else:
            body = await self._read_body(connection, context.reply)
            context.progress = request_context.Progress.RESPONDED
            self._record_first_byte(context, backend, sent_at)
            self._record_success(context, backend, connection)
            context.first_byte_at = clock.now()
            await context.reply.send_response(head.status, head.headers, body)
        return request_context.NextAction.DONE, idle_seconds

    async def _read_response_head(self, context, backend, connection, sent_at):
        """Returns the head of the response to this request.

        Responses to earlier requests on the connection are skipped.
        """
        try:
            while True:
                status, headers = await self._wait_for_first_byte(
                    context, backend, sent_at, connection.read_head
                )
                head = self._wire_format.decode_response_head(status, headers)
                self._liveness.record_activity(backend.instance)
                if head.request_id == context.request.id or (
                    not head.request_id and status >= 400
                ):
                    if not head.request_id and connection.sent_requests > 1:
                        raise errors.ProtocolError(
                            f'{status} may belong to an earlier request'
                        )
                    return head
                await connection.skip_response()
        except errors.TransportError as exc:
            raise request_context.AttemptFailed(
                f'no answer: {exc}', request_context.MAY_HAVE_RUN, True
            ) from exc
        except errors.ProtocolError as exc:
            raise request_context.AttemptFailed(
                f'bad answer: {exc}', request_context.MAY_HAVE_RUN, True
            ) from exc

    async def _wait_for_first_byte(self, context, backend, sent_at, read):
        """Calls ``read``, with a timeout if the request can be retried."""
        if context.route.repeat_policy is forwarding.RepeatPolicy.NEVER or (
            context.sent_attempts >= context.route.max_attempts
        ):
            return await read()
        objective = context.route.objective
        if not context.route.is_stream:
            timeout_at = sent_at + PLAIN_FIRST_BYTE_TIMEOUT_SHARE * objective
            while True:
                # A cancelled read loses no data; the next one continues it.
                with anyio.move_on_at(timeout_at):
                    return await read()
                if self._chooser.can_retry_elsewhere(context):
                    break
                timeout_at = clock.make_deadline(TAKEOVER_CHECK_SECONDS)
            raise request_context.AttemptFailed(
                'silent', request_context.MAY_HAVE_RUN
            )
        return await self._liveness.read_while_alive(
            backend,
            read,
            sent_at + FIRST_BYTE_TIMEOUT_SHARE * objective,
            sent_at + BUSY_FIRST_BYTE_TIMEOUT_SHARE * objective,
            lambda: self._chooser.can_retry_elsewhere(context),
        )

    async def _read_body(self, connection, reply) -> bytes:
        try:
            return await connection.read_body(reply.hold_response)
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise request_context.AttemptFailed(
                f'cut: {exc}', request_context.MAY_HAVE_RUN, True
            ) from exc

    def _handle_error_status(
        self, context, backend, head, body
    ) -> request_context.NextAction:
        """Stores an error response; only a server error is retried."""
        context.verdict = request_context.RAN
        context.failed_instances.add(backend.instance)
        context.reason = f'server answered {head.status}'
        if head.status >= 500:
            backend.record_failure()
            self._moves.record_failure(context.service.name, backend.version)
        if head.is_signed:
            context.error_response = request_context.ErrorResponse(
                head.status, head.headers, body
            )
        return (
            request_context.NextAction.RETRY
            if head.status >= 500
            else request_context.NextAction.STOP
        )

    async def _forward_stream(
        self, context, backend, connection, head, sent_at
    ):
        """Forwards the events of a stream as they arrive."""
        reader = sse.EventReader()
        is_first = True
        is_numbered = context.resume_after is not None
        intervals: list[float] = []
        event_at = clock.now()
        while True:
            data = await self._read_stream_data(
                context, backend, connection, event_at, is_first
            )
            if data is None:
                break
            self._liveness.record_activity(backend.instance)
            for start in range(0, len(data), pieces.BYTES_PER_TURN):
                if start:
                    await lowlevel.checkpoint()
                part = data[start : start + pieces.BYTES_PER_TURN]
                for number, event in self._split_events(reader, part):
                    connection.record_progress()
                    now = clock.now()
                    if is_first and is_numbered and number is None:
                        raise request_context.AttemptFailed(
                            'the resumed stream begins without an event id',
                            request_context.MAY_HAVE_RUN,
                        )
                    if is_first:
                        context.progress = request_context.Progress.RESPONDED
                        context.responded_at = now
                        self._record_first_byte(context, backend, sent_at)
                        is_first = False
                    else:
                        backend.record_event_interval(now - event_at)
                        intervals.append(now - event_at)
                        if len(intervals) == MAX_MEASURED_INTERVALS:
                            self._record_pace(context, backend, intervals)
                    event_at = now
                    await self._forward_event(context, head, number, event)
        if reader.has_partial_event() or is_first:
            raise request_context.AttemptFailed(
                'stream ended inside an event',
                request_context.MAY_HAVE_RUN,
                True,
            )
        self._record_success(context, backend, connection)
        if len(intervals) < MAX_MEASURED_INTERVALS:
            self._record_pace(context, backend, intervals)
        if comments := reader.read_comments():
            await context.reply.send(comments)
        await context.reply.finish()

    def _record_pace(self, context, backend, intervals) -> None:
        """Records the typical time between the first events of a stream.

        The longest one is left out: the server may have paused for a prompt.
        """
        if len(intervals) < MIN_MEASURED_INTERVALS or backend.is_cold():
            return
        seconds = (sum(intervals) - max(intervals)) / (len(intervals) - 1)
        context.event_interval = round(seconds, 4)
        if self._paces is not None:
            self._paces.record_interval(backend, seconds)
        self._moves.record_interval(
            context.service.name,
            backend.version,
            seconds,
            context.choice.running_attempts,
        )

    @staticmethod
    def _split_events(reader, data):
        try:
            return reader.feed(data)
        except errors.ProtocolError as exc:
            raise request_context.AttemptFailed(
                f'bad answer: {exc}', request_context.MAY_HAVE_RUN
            ) from exc

    async def _read_stream_data(
        self, context, backend, connection, event_at, is_first
    ):
        """Returns the next bytes of a stream, None at its end.

        A stream that can be resumed at another server has a timeout. It
        counts from the last complete event: single bytes are no progress.
        """
        route = context.route
        deadline = event_at + BUSY_EVENT_GAP_TIMEOUT_SHARE * route.event_gap
        if is_first:
            deadline = max(
                deadline,
                event_at + BUSY_FIRST_BYTE_TIMEOUT_SHARE * route.objective,
            )
        gap_timeout = max(
            MIN_EVENT_GAP_TIMEOUT_SECONDS,
            EVENT_GAP_TIMEOUT_SHARE * route.event_gap,
        )
        try:
            if route.repeat_policy is not forwarding.RepeatPolicy.RESUME:
                return await connection.read_data()
            return await self._liveness.read_while_alive(
                backend,
                connection.read_data,
                event_at + gap_timeout,
                deadline,
                lambda: self._chooser.can_retry_elsewhere(context),
            )
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise request_context.AttemptFailed(
                f'cut: {exc}', request_context.MAY_HAVE_RUN, True
            ) from exc

    async def _forward_event(self, context, head, number, event) -> None:
        """Sends an event to the caller unless the caller already has it.

        Raises:
            request_context.AttemptFailed: An event is missing before this
                one.
        """
        last_number = context.resume_after
        if number is not None and last_number is not None:
            if number <= last_number:
                return
            if number != last_number + 1:
                raise request_context.AttemptFailed(
                    f'event {number} follows {last_number}',
                    request_context.MAY_HAVE_RUN,
                )
        if not context.reply.has_started:
            context.first_byte_at = clock.now()
            await context.reply.start(head.status, head.headers)
        await context.reply.send(event)
        context.events += 1
        if number is not None:
            context.resume_after = number

    def _record_success(self, context, backend, connection) -> None:
        """Records an attempt with a complete response.

        One that ends with its connection may also have been cut off between
        two events by a crash, so it proves nothing about the prompt.
        """
        backend.record_success()
        if connection.has_framed_body:
            self._prompt_guard.record_success(context)

    def _record_first_byte(
        self, context, backend, sent_at, is_success=True
    ) -> None:
        """Records the time to the first byte of an attempt.

        Its success is assumed until it fails, except for one that is given
        up, whose ``is_success`` is None.
        """
        seconds = clock.now() - sent_at
        choice = context.choice
        if is_prefill_measurable(choice):
            tokens = context.request.input_tokens - choice.held_tokens
            self._prefill_times.record(choice.model, tokens, seconds)
        if self._paces is not None and is_prefill_measurable(choice):
            self._paces.record_first_byte(
                backend,
                seconds,
                choice.seconds,
                choice.wait,
                choice.pace,
            )
        context.version_result = self._moves.record(
            context.service.name,
            backend.version,
            is_success,
            compute_latency_ratio(seconds, choice, context.route),
        )


def is_expected(
    error: BaseException, context: request_context.RequestContext
) -> bool:
    """Returns whether an error of a request ends its task as intended.

    This is so for the cancellation of the task, for the caller's disconnect
    and for errors that end the process.

    Args:
        error: The error.
        context: The request that it occurred in.
    """
    if isinstance(error, sockets.DISCONNECT_ERRORS):
        return context.reply.has_started
    return not containment.is_unexpected(error)


def is_prefill_measurable(choice: backend_selection.Choice) -> bool:
    """Returns whether the time to the first byte shows the prefill rate.

    It does not where the attempt waited or the server copied cached tokens.
    """
    return (
        bool(choice.model)
        and choice.wait <= MAX_MEASURABLE_WAIT_SECONDS
        and not choice.copied_tokens
    )


def compute_latency_ratio(
    seconds: float,
    choice: backend_selection.Choice,
    route: forwarding.Route,
) -> float | None:
    """Returns the ratio of the time to the first byte to its estimate.

    Args:
        seconds: Measured time to the first byte.
        choice: Backend server with its estimates.
        route: Route of the request; its objective replaces a missing estimate.

    Returns:
        The ratio; None if queueing may account for most of the time.
    """
    if choice.wait > MAX_MEASURABLE_WAIT_SECONDS:
        return None
    expected = choice.seconds or route.objective / 4
    return seconds / (LATENCY_SLACK_SECONDS + choice.wait + expected)


def find_first_exception(group: BaseExceptionGroup) -> BaseException:
    """Returns the first exception inside nested exception groups."""
    first = group.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return find_first_exception(first)
    return first
