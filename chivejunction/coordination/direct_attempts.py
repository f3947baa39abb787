"""Attempts at backend servers, over connections of the gateway's own."""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import backend_selection
from chivejunction.coordination import liveness
from chivejunction.coordination import trips
from chivejunction.coordination import version_moves
from chivejunction.protocol import forwarding
from chivejunction.protocol import sse
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import freshness
from chivejunction.transport import backend_connections

# Silence, in parts of the objective, after which a repeatable request moves
# to another server: of a server that answers nobody, and of a busy one.
SILENT_SHARE = 0.5
BUSY_SHARE = 2.0
# The same for answers in one piece, which an idle server gives at once.
PLAIN_SHARE = 0.55
# Pause between events, in parts of the longest one on time, after which a
# stream goes on at another server.
GAP_SHARE = 0.7
LONG_GAP_SHARE = 2.0
# Engines that read long prompts pause this long between events.
MIN_GAP_SECONDS = 0.5
# A connection that was idle for longer may have been dropped by the server
# without notice; a request that must not run twice does not risk it.
SAFE_IDLE_SECONDS = 1.5
# Attempts before which more work than this waits tell nothing about the speed
# of a version; the slack covers a round trip between regions.
MAX_JUDGED_WAIT_SECONDS = 0.1
SLACK_SECONDS = 0.08
# A body up to this size fits any connection's window, so that sending it
# cannot block.
SMALL_BODY_BYTES = 4096
ATTEMPTS = metrics.make_counter(
    'forward_attempts', 'Attempts at backend servers.', 'service', 'outcome'
)


class DirectAttempts:
    """Makes attempts over direct connections.

    Args:
        table: Backend servers.
        pool: Connections to servers.
        wire: Wire format of callers and servers.
        proof: Age of the configuration.
        moves: Takes results of versions.
        speeds: Reading speeds of the models.
        chooser: Chooses escalations and tells of work.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        pool: backend_connections.ConnectionPool,
        wire: forwarding.WireFormat,
        proof: freshness.Freshness,
        moves: version_moves.VersionMoves,
        speeds: backlogs.PrefillTimeEstimator,
        chooser: attempt_choice.AttemptChooser,
    ):
        self._table = table
        self._pool = pool
        self._wire = wire
        self._proof = proof
        self._moves = moves
        self._speeds = speeds
        self._chooser = chooser
        self._liveness = liveness.Liveness(pool, wire)

    async def run(
        self, trip: trips.Trip, choice: backend_selection.Choice
    ) -> trips.Step:
        """Makes one attempt and tells what follows it."""
        started_at = clock.now()
        backend = choice.backend
        trip.choice = choice
        backend.running += 1
        work = self._chooser.start_work(trip, choice)
        connection = None
        is_kept = False
        outcome = 'cancelled'
        try:
            connection = await self._connect(trip, backend)
            trip.work = work
            step, idle = await self._exchange(trip, backend, connection)
            outcome = step.value
            if step is not trips.Step.ESCALATE and connection.is_reusable():
                is_kept = idle is None or idle > 0
                if is_kept:
                    self._pool.release(backend.instance, connection, idle)
            return step
        except trips.AttemptFailed as exc:
            outcome = str(exc)
            trip.reason = outcome
            trip.verdict = max(trip.verdict, exc.verdict)
            trip.tried.add(backend.instance)
            if exc.verdict is not trips.NOT_RUN:
                backend.record_failure()
                self._moves.record(trip.service.name, backend.version, False)
            return trips.Step.RETRY
        finally:
            backend.running -= 1
            self._chooser.end_work(work)
            if connection is not None and not is_kept:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
            ATTEMPTS.labels(trip.service.name, outcome.split(':')[0]).inc()
            logs.log_decision(
                'attempt',
                request=trip.request.id,
                service=trip.service.name,
                instance=backend.instance,
                domain=backend.failure_domain,
                version=backend.version,
                model=trip.tier.model,
                running=backend.running,
                estimated_wait=round(choice.wait, 3),
                estimated_work=round(choice.seconds, 3),
                busy_seconds=round(choice.busy_seconds, 3),
                held_tokens=choice.held_tokens,
                copied_tokens=choice.copied_tokens,
                copy_from=choice.copy_from,
                error_share=round(backend.error_share, 3),
                attempt=trip.sends,
                outcome=outcome,
                confidence=trip.confidence,
                seconds=round(clock.now() - started_at, 4),
            )

    async def _connect(self, trip, backend):
        is_once = trip.route.repeat is forwarding.Repeat.NEVER
        max_idle = SAFE_IDLE_SECONDS if is_once else 3600.0
        try:
            return await self._pool.acquire(
                backend.instance,
                backend.address,
                backend.port,
                max_idle,
                trip.deadline,
            )
        except errors.TransportError as exc:
            backend.record_connection_failure()
            raise trips.AttemptFailed('unreachable', trips.NOT_RUN) from exc

    async def _exchange(self, trip, backend, connection):
        """Sends the request and reads its answer."""
        dispatch = forwarding.Dispatch(
            instance=backend.instance,
            organisation=(trip.organisation.name if trip.organisation else ''),
            model=trip.tier.model,
            urgency=trip.urgency if trip.route.is_stream else None,
            resume_after=trip.resume_after,
            deadline=trip.deadline,
            copy_from=trip.choice.copy_from,
        )
        if trip.route.needs_key and not self._proof.holds():
            raise trips.AttemptFailed(
                'configuration out of date', trips.NOT_RUN
            )
        if backend.is_leaving or (
            backend.failure_domain in self._table.closed_domains
        ):
            raise trips.AttemptFailed('server left meanwhile', trips.NOT_RUN)
        headers = self._wire.write_attempt(trip.request, dispatch)
        trip.sends += 1
        verdict_before = trip.verdict
        trip.verdict = max(trip.verdict, trips.MAY_HAVE_RUN)
        try:
            return await self._converse(trip, backend, connection, headers)
        except trips.AttemptFailed as exc:
            if exc.verdict is trips.NOT_RUN:
                trip.verdict = verdict_before
            raise

    async def _converse(self, trip, backend, connection, headers):
        """Reads the answer while a long body is still being sent."""
        request = trip.request
        if len(request.body) <= SMALL_BODY_BYTES:
            await self._send(connection, request, headers)
            return await self._read_answer(trip, backend, connection)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send, connection, request, headers)
                result = await self._read_answer(trip, backend, connection)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as failures:
            raise find_first(failures) from None
        return result

    @staticmethod
    async def _send(connection, request, headers) -> None:
        try:
            await connection.send(
                request.method, request.target, headers, request.body
            )
        except errors.TransportError as exc:
            # A server may answer early and then refuse the rest; the reader
            # finds out whether an answer came.
            logs.LOG.debug('request was not sent whole: %s', exc)

    async def _read_answer(self, trip, backend, connection):
        sent_at = clock.now()
        head = await self._read_head(trip, backend, connection, sent_at)
        trip.confidence = head.confidence
        if head.has_not_run:
            if head.status == 421:
                backend.paused_until = clock.make_deadline(1.0)
                raise trips.AttemptFailed('another instance', trips.NOT_RUN)
            backend.record_capacity_refusal()
            raise trips.AttemptFailed(f'refused {head.status}', trips.NOT_RUN)
        idle = 0.0 if head.is_closing else head.idle_seconds
        if head.status >= 300:
            body = await self._read_body(trip, connection)
            return self._judge_failure(trip, backend, head, body), idle
        if not head.is_signed:
            raise trips.AttemptFailed(
                'answer without signature', trips.MAY_HAVE_RUN
            )
        if trip.route.is_stream:
            # Its work does not wait any more, and must not count as such.
            self._chooser.end_work(trip.work)
            if self._chooser.escalate(trip, head.confidence):
                self._note_success(trip, backend, sent_at)
                trip.verdict = trips.RAN
                return trips.Step.ESCALATE, idle
            await self._pass_stream(trip, backend, connection, head, sent_at)
        else:
            body = await self._read_body(trip, connection)
            self._note_success(trip, backend, sent_at)
            trip.first_byte_at = clock.now()
            await trip.reply.answer(head.status, head.headers, body)
        return trips.Step.DONE, idle

    async def _read_head(self, trip, backend, connection, sent_at):
        """Returns the head of the answer to this very request."""
        try:
            while True:
                status, headers = await self._wait_for_byte(
                    trip, backend, sent_at, connection.read_head
                )
                head = self._wire.read_answer(status, headers)
                self._liveness.note(backend.instance)
                if head.request_id == trip.request.id or (
                    not head.request_id and status >= 400
                ):
                    return head
                await connection.skip_answer()
        except errors.TransportError as exc:
            raise trips.AttemptFailed(
                f'no answer: {exc}', trips.MAY_HAVE_RUN
            ) from exc
        except errors.ProtocolError as exc:
            raise trips.AttemptFailed(
                f'bad answer: {exc}', trips.MAY_HAVE_RUN
            ) from exc

    async def _wait_for_byte(self, trip, backend, sent_at, read):
        """Waits for the first bytes, shorter at a server that is silent."""
        if trip.route.repeat is forwarding.Repeat.NEVER or (
            trip.sends >= trip.route.max_attempts
        ):
            return await read()
        objective = trip.route.objective
        if not trip.route.is_stream:
            limit = sent_at + PLAIN_SHARE * objective
            with anyio.move_on_at(limit):
                return await read()
            raise trips.AttemptFailed('silent', trips.MAY_HAVE_RUN)
        return await self._liveness.wait_while_alive(
            backend,
            read,
            sent_at + SILENT_SHARE * objective,
            sent_at + BUSY_SHARE * objective,
        )

    async def _read_body(self, trip, connection) -> bytes:
        parts = []
        try:
            while (data := await connection.read_data()) is not None:
                parts.append(data)
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise trips.AttemptFailed(
                f'cut: {exc}', trips.MAY_HAVE_RUN
            ) from exc
        return b''.join(parts)

    def _judge_failure(self, trip, backend, head, body) -> trips.Step:
        """Keeps a server's own failure and tells whether to try again."""
        trip.verdict = trips.RAN
        trip.tried.add(backend.instance)
        trip.reason = f'server answered {head.status}'
        if head.status >= 500:
            backend.record_failure()
            self._moves.record(trip.service.name, backend.version, False)
        if head.is_signed:
            trip.kept = trips.KeptAnswer(head.status, head.headers, body)
        return trips.Step.RETRY if head.status >= 500 else trips.Step.STOP

    async def _pass_stream(self, trip, backend, connection, head, sent_at):
        """Passes events on as they come."""
        reader = sse.EventReader()
        gap = max(MIN_GAP_SECONDS, GAP_SHARE * trip.route.event_gap)
        is_first = True
        event_at = clock.now()
        while True:
            data = await self._read_event_data(
                trip, backend, connection, gap, is_first
            )
            if data is None:
                break
            self._liveness.note(backend.instance)
            for number, event in reader.feed(data):
                now = clock.now()
                if is_first:
                    self._note_success(trip, backend, sent_at)
                    is_first = False
                else:
                    backend.record_event_interval(now - event_at)
                event_at = now
                await self._pass_event(trip, head, number, event)
        if reader.has_rest() or is_first:
            raise trips.AttemptFailed(
                'stream ended inside an event', trips.MAY_HAVE_RUN
            )
        await trip.reply.finish()

    async def _read_event_data(self, trip, backend, connection, gap, is_first):
        can_move = (
            trip.route.repeat is forwarding.Repeat.RESUME
            and trip.sends < trip.route.max_attempts
        )
        now = clock.now()
        latest = now + LONG_GAP_SHARE * trip.route.event_gap
        if is_first:
            latest = max(latest, now + BUSY_SHARE * trip.route.objective)
        try:
            if not can_move:
                return await connection.read_data()
            return await self._liveness.wait_while_alive(
                backend, connection.read_data, now + gap, latest
            )
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise trips.AttemptFailed(
                f'cut: {exc}', trips.MAY_HAVE_RUN
            ) from exc

    async def _pass_event(self, trip, head, number, event) -> None:
        last = trip.resume_after
        if number is not None and last is not None:
            if number <= last:
                return
            if number != last + 1:
                raise trips.AttemptFailed(
                    f'event {number} follows {last}', trips.MAY_HAVE_RUN
                )
        if not trip.reply.has_started:
            trip.first_byte_at = clock.now()
            await trip.reply.start(head.status, head.headers)
        await trip.reply.send(event)
        trip.events += 1
        if number is not None:
            trip.resume_after = number

    def _note_success(self, trip, backend, sent_at) -> None:
        seconds = clock.now() - sent_at
        choice = trip.choice
        if trip.wish.model:
            tokens = trip.request.input_tokens - choice.held_tokens
            self._speeds.record(trip.wish.model, tokens, seconds)
        backend.record_success()
        self._moves.record(
            trip.service.name,
            backend.version,
            True,
            find_slowness(seconds, choice, trip.route),
        )


def find_slowness(
    seconds: float,
    choice: backend_selection.Choice,
    route: forwarding.Route,
) -> float | None:
    """Returns the time to the first byte relative to its estimate.

    Returns:
        The ratio; None when most of the time may have been a queue.
    """
    if choice.wait > MAX_JUDGED_WAIT_SECONDS:
        return None
    usual = choice.seconds or route.objective / 4
    return seconds / (SLACK_SECONDS + choice.wait + usual)


def find_first(group: BaseExceptionGroup) -> BaseException:
    """Returns the first exception inside nested exception groups."""
    first = group.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return find_first(first)
    return first
