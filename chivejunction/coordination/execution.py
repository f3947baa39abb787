"""Execution of attempts at the agent.

The agent calls its backend server, buffers the response and streams it to the
gateways that follow the attempt.
"""

from collections.abc import Callable
import dataclasses
import math
import string
from urllib import parse
import weakref

import anyio
from anyio import abc
import httpcore

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import admission
from chivejunction.coordination import peers
from chivejunction.protocol import messages
from chivejunction.protocol import sse
from chivejunction.protocol import usage
from chivejunction.protocol import verdicts
from chivejunction.state import attempts
from chivejunction.state import windows
from chivejunction.transport import http_client
from chivejunction.transport import pieces

# Most bytes sent to a gateway beyond the offset that it last credited.
CREDIT_BYTES = 512 * 1024
# Responses up to this size stay buffered in full, so that they can be sent
# again from the start.
REPLAY_BUFFER_BYTES = 1024 * 1024
ORPHAN_CHECK_INTERVAL_SECONDS = 0.5
# Fraction of the timeout between two chunks by which a silence may exceed it
# before it is detected. It saves setting a timer for each token.
READ_TIMEOUT_TOLERANCE = 0.05
# Longest acceptable interval between tokens, at the 95th percentile.
TOKEN_INTERVAL_SECONDS = 0.037
EXCLUDED_RESPONSE_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'upgrade',
    }
)
# Statuses with which an engine refuses a request without having run it.
ENGINE_REFUSAL_STATUSES = frozenset({429, 503})

ATTEMPTS = metrics.make_counter(
    'chivejunction_attempts',
    'Attempts that ended, by verdict and error.',
    'verdict',
    'error',
)
FIRST_TOKEN_LATENCY = metrics.LatencySummary(
    'chivejunction_first_token_seconds',
    'Time from the call of the server to the first byte of its answer.',
    'version',
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Timeouts of attempts, in seconds.

    Attributes:
        first_token_seconds: Longest wait for the first token of a stream.
        next_token_seconds: Longest wait between two chunks of a response.
        response_seconds: Longest wait for a response that is not streamed.
        orphan_seconds: How long an idempotent attempt runs without a
            connected gateway before it is cancelled. Attempts that are not
            idempotent run to their end.
    """

    first_token_seconds: float = 30.0
    next_token_seconds: float = 10.0
    response_seconds: float = 120.0
    orphan_seconds: float = 10.0


class Executor:
    """Runs attempts on the engine or plain service of one host.

    Args:
        url: Base URL of the engine or service.
        incarnation: Incarnation of the agent.
        table: Attempt table of the agent.
        admission_control: Admission control of the agent.
        window: Concurrency window, adjusted by the times to first token.
        client: HTTP client for the engine.
        is_engine: Whether the server is a model engine.
        timeouts: Timeouts of attempts.
        on_completed: Called when a response is complete, before its end is
            sent.
    """

    def __init__(
        self,
        url: str,
        incarnation: str,
        table: attempts.AttemptTable,
        admission_control: admission.AdmissionController,
        window: windows.SlowStartWindow,
        client: http_client.Client,
        is_engine: bool,
        timeouts: AttemptTimeouts,
        on_completed: Callable[[attempts.Attempt, messages.Start], None],
    ):
        self._url = url.rstrip('/')
        self._incarnation = incarnation
        self._table = table
        self._admission = admission_control
        self._window = window
        self._client = client
        # Connections that have carried a response.
        self._used_streams: weakref.WeakSet = weakref.WeakSet()
        self._is_engine = is_engine
        self._timeouts = timeouts
        self._on_completed = on_completed
        # By attempt id and gateway name: a repeated call may follow an
        # attempt from another gateway than the one that started it.
        self._senders: dict[str, dict[str, ResponseSender]] = {}
        self._active: dict[str, attempts.Attempt] = {}
        self._undelivered: dict[str, attempts.Attempt] = {}
        self.last_end_sent_at = clock.now()

    @property
    def active_count(self) -> int:
        """Number of attempts that are queued or running."""
        return len(self._active)

    @property
    def undelivered_count(self) -> int:
        """Number of ended attempts whose end was sent to no gateway yet.

        Attempts whose orphan deadline has passed are not counted.
        """
        return sum(
            not clock.has_passed(a.orphan_deadline)
            for a in self._undelivered.values()
        )

    def handle(
        self,
        group: abc.TaskGroup,
        peer: peers.GatewayPeer,
        frame: messages.Frame,
    ) -> None:
        """Handles a frame received from a gateway.

        Args:
            group: Task group in which attempts and senders run.
            peer: The gateway.
            frame: The frame.
        """
        if isinstance(frame, messages.Start):
            self._start(group, peer, frame)
        elif isinstance(frame, messages.Resolve):
            self._resolve(group, peer, frame)
        elif isinstance(frame, messages.Credit):
            sender = self._senders.get(frame.attempt, {}).get(peer.gateway)
            if sender is not None:
                sender.add_credit(frame.offset)
        elif isinstance(frame, messages.Cancel):
            self._cancel(peer, frame.attempt)

    async def run(self) -> None:
        """Cancels orphaned idempotent attempts periodically."""
        while True:
            await anyio.sleep(ORPHAN_CHECK_INTERVAL_SECONDS)
            for attempt in list(self._active.values()):
                if attempt.idempotent and clock.has_passed(
                    attempt.orphan_deadline
                ):
                    logs.LOG.info(
                        'cancelling attempt %s: no gateway is connected',
                        attempt.id,
                    )
                    self._stop(attempt)
            for attempt in list(self._undelivered.values()):
                if clock.has_passed(attempt.expires_at):
                    del self._undelivered[attempt.id]

    def _start(self, group, peer, start: messages.Start) -> None:
        if self._table.get(start.attempt) is not None:
            # An attempt id runs at most once. The gateway sends Resolve to
            # learn the state of an attempt that was started before.
            return
        deadline = clock.make_deadline(start.budget_ms / 1000)
        try:
            attempt = self._table.admit(
                start.attempt,
                start.request,
                start.organisation,
                deadline,
                start.idempotent,
            )
        except errors.RefusalError as exc:
            peer.send(messages.Refused(start.attempt, exc.code, exc.detail, 0))
            return
        attempt.owner = peer.gateway, peer.incarnation
        self._active[attempt.id] = attempt
        try:
            entry = self._admission.enqueue(attempt, start)
        except errors.RefusalError as exc:
            self._refuse(attempt, exc)
        else:
            peer.send(messages.Admitted(attempt.id, self._incarnation))
            group.start_soon(self._run, entry)
        self._start_sender(group, peer, attempt, 0)

    def _refuse(
        self, attempt: attempts.Attempt, refusal: errors.RefusalError
    ) -> None:
        logs.log_decision(
            'refusal',
            attempt=attempt.id,
            organisation=attempt.organisation,
            code=refusal.code,
            detail=refusal.detail,
        )
        self._table.refuse(
            attempt,
            refusal.code,
            refusal.detail,
            int(1000 * (refusal.retry_after or 0)),
        )
        self._record_end(attempt)

    def _finish(
        self,
        attempt: attempts.Attempt,
        verdict: verdicts.Verdict,
        error: str = '',
    ) -> None:
        self._table.finish(attempt, verdict, error)
        self._record_end(attempt)

    def _record_end(self, attempt: attempts.Attempt) -> None:
        self._active.pop(attempt.id, None)
        if not attempt.is_end_sent:
            self._undelivered[attempt.id] = attempt
        ATTEMPTS.labels(attempt.verdict.label, attempt.error).inc()

    def _start_sender(self, group, peer, attempt, offset: int) -> None:
        senders = self._senders.setdefault(attempt.id, {})
        if peer.gateway in senders:
            senders[peer.gateway].stop()
        sender = ResponseSender(peer, attempt, offset)
        attempt.orphan_deadline = attempts.NO_DEADLINE
        senders[peer.gateway] = sender
        group.start_soon(
            containment.run_contained,
            'response sender',
            self._run_sender,
            sender,
        )

    async def _run_sender(self, sender: 'ResponseSender') -> None:
        attempt = sender.attempt
        try:
            await sender.run()
        finally:
            self._remove_sender(sender)
            if attempt.is_end_sent:
                self._undelivered.pop(attempt.id, None)
                if attempt.state not in attempts.NOT_RUN_STATES:
                    self.last_end_sent_at = clock.now()

    def _remove_sender(self, sender: 'ResponseSender') -> None:
        attempt = sender.attempt
        senders = self._senders.get(attempt.id, {})
        if senders.get(sender.gateway) is not sender:
            return
        del senders[sender.gateway]
        if not senders:
            del self._senders[attempt.id]
            attempt.orphan_deadline = clock.make_deadline(
                self._timeouts.orphan_seconds
            )

    def _resolve(self, group, peer, frame: messages.Resolve) -> None:
        attempt = self._table.get(frame.attempt)
        if attempt is None and frame.incarnation == self._incarnation:
            attempt = self._table.block(frame.attempt, clock.now())
        state = 'unknown' if attempt is None else str(attempt.state)
        offset = 0 if attempt is None else attempt.length
        peer.send(
            messages.Resolved(frame.attempt, self._incarnation, state, offset)
        )
        if attempt is None:
            return
        if attempt.state in attempts.NOT_RUN_STATES:
            self._undelivered.pop(attempt.id, None)
            return
        attempt.is_end_sent = False
        if attempt.ended:
            self._undelivered[attempt.id] = attempt
        self._start_sender(group, peer, attempt, frame.offset)

    def _cancel(self, peer: peers.GatewayPeer, attempt_id: str) -> None:
        attempt = self._table.get(attempt_id)
        if attempt is None:
            return
        senders = self._senders.get(attempt_id, {})
        if peer.gateway in senders:
            senders[peer.gateway].stop()
        if set(senders) - {peer.gateway}:
            # Another gateway still receives the response.
            return
        attempt.is_end_sent = True
        self._undelivered.pop(attempt_id, None)
        self._stop(attempt)

    def _stop(self, attempt: attempts.Attempt) -> None:
        if attempt.cancel_scope is not None:
            attempt.cancel_scope.cancel()
        else:
            attempt.cancelled = True

    async def _run(self, entry: admission.QueuedAttempt) -> None:
        attempt = entry.attempt
        with (
            containment.contain('attempt', attempt=attempt.id),
            anyio.CancelScope() as scope,
        ):
            attempt.cancel_scope = scope
            if attempt.cancelled:
                scope.cancel()
            try:
                await self._admission.wait(entry)
            except errors.RefusalError as exc:
                self._refuse(attempt, exc)
                return
            await self._run_admitted(entry)
        if not attempt.ended:
            self._end_cancelled(attempt)

    async def _run_admitted(self, entry: admission.QueuedAttempt) -> None:
        attempt = entry.attempt
        started_at = clock.now()
        try:
            self._table.mark_running(attempt)
            await self._call_server(entry)
        except errors.InvariantViolation as exc:
            metrics.count_violation(exc)
            self._refuse(attempt, errors.RefusalError('internal', str(exc)))
        except Exception as exc:
            containment.record_error('attempt', exc, attempt=attempt.id)
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'internal')
        finally:
            seconds = clock.now() - started_at
            if attempt.verdict is verdicts.Verdict.RAN:
                self._admission.record_run(seconds)
            self._admission.release(entry, seconds)

    def _end_cancelled(self, attempt: attempts.Attempt) -> None:
        if attempt.state is attempts.AttemptState.QUEUED:
            self._refuse(
                attempt,
                errors.RefusalError('cancelled', 'cancelled'),
            )
        else:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'cancelled')

    async def _call_server(self, entry: admission.QueuedAttempt) -> None:
        attempt, start = entry.attempt, entry.start
        call = ServerCall(attempt, start, self._is_engine)
        headers = {
            k.encode('latin-1'): v.encode('latin-1')
            for k, v in start.headers.items()
            if k.lower() != 'content-length'
        }
        headers[b'x-request-id'] = attempt.id.encode()
        path = parse.quote(start.path, safe=string.punctuation)
        first_byte_seconds = (
            self._timeouts.first_token_seconds
            if call.is_stream
            else self._timeouts.response_seconds
        )
        remaining_seconds = clock.remaining(attempt.deadline)
        try:
            with anyio.fail_after(remaining_seconds):
                with anyio.CancelScope() as timeout_scope:
                    timeout_scope.deadline = (
                        anyio.current_time() + first_byte_seconds
                    )
                    async with self._client.stream(
                        start.method,
                        self._url + path,
                        attempt.deadline,
                        headers,
                        call.body,
                        read_timeout=remaining_seconds + 1,
                    ) as response:
                        await self._read_response(
                            call, response, timeout_scope
                        )
                if timeout_scope.cancelled_caught:
                    self._handle_read_timeout(call)
        except errors.TransportError as exc:
            self._handle_transport_error(attempt, exc)
        except errors.ProtocolError as exc:
            self._window.reset(f'bad response of the server: {exc}')
            self._finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_failed'
            )
        except TimeoutError:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'deadline')

    def _handle_read_timeout(self, call: 'ServerCall') -> None:
        if not call.first_token_seconds:
            self._window.record_first_token(
                call.started_at, clock.now() - call.started_at
            )
        self._finish(
            call.attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_silent'
        )

    def _handle_transport_error(
        self, attempt: attempts.Attempt, exc: errors.TransportError
    ) -> None:
        # The HTTP client rejects a request that HTTP does not allow; that is
        # no fault of the server.
        if not isinstance(exc.__cause__, httpcore.LocalProtocolError):
            self._window.reset(f'connection to the server failed: {exc}')
        if exc.connected:
            self._finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_failed'
            )
        else:
            self._refuse(
                attempt, errors.RefusalError('server_unreachable', str(exc))
            )

    def _mark_used(self, response) -> bool:
        """Returns whether the connection of a response was used before."""
        stream = response.extensions['network_stream']
        if stream in self._used_streams:
            return True
        self._used_streams.add(stream)
        return False

    async def _read_response(
        self, call: 'ServerCall', response, timeout_scope: anyio.CancelScope
    ) -> None:
        attempt = call.attempt
        headers = {
            k.decode('latin-1').lower(): v.decode('latin-1')
            for k, v in response.headers
        }
        is_refusal = (
            self._is_engine and response.status in ENGINE_REFUSAL_STATUSES
        )
        # A refusal without an id may be that of an earlier attempt, sent once
        # more, unless this is the first one on the connection.
        is_reused = self._mark_used(response)
        default_id = '' if is_refusal and is_reused else attempt.id
        if headers.get('x-request-id', default_id) != attempt.id:
            self._finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'crossed_answer'
            )
            return
        if is_refusal:
            self._refuse(
                attempt,
                errors.RefusalError(
                    'server_busy',
                    'the engine refused',
                ),
            )
            return
        call.process_head(headers)
        attempt.status = response.status
        attempt.headers = {
            k: v
            for k, v in headers.items()
            if k not in EXCLUDED_RESPONSE_HEADERS
        }
        slack = READ_TIMEOUT_TOLERANCE * self._timeouts.next_token_seconds
        counter = pieces.PieceCounter()
        async for chunk in response.aiter_stream():
            await counter.take(len(chunk))
            if not call.first_token_seconds:
                self._record_first_token(call)
            payload = call.filter_chunk(chunk)
            if payload:
                self._append(attempt, payload)
            is_progress = call.is_progress(payload)
            if len(attempt.body) > REPLAY_BUFFER_BYTES:
                timeout_scope.deadline = math.inf
                await self._wait_for_buffer_space(attempt)
                is_progress = True
            if not is_progress:
                continue
            if call.has_events:
                counter.reset()
            # Moving the deadline sets a timer, so it is moved only when it is
            # outside the tolerance.
            earliest = anyio.current_time() + self._timeouts.next_token_seconds
            if not earliest <= timeout_scope.deadline <= earliest + slack:
                timeout_scope.deadline = earliest + slack
        remainder = call.flush()
        if remainder:
            self._append(attempt, remainder)
        self._complete(call)

    def _append(self, attempt: attempts.Attempt, payload: bytes) -> None:
        self._table.append(attempt, payload)
        for sender in self._senders.get(attempt.id, {}).values():
            sender.send_available()

    def _record_first_token(self, call: 'ServerCall') -> None:
        call.first_token_seconds = max(1e-6, clock.now() - call.started_at)
        if call.is_stream or not self._is_engine:
            self._window.record_first_token(
                call.started_at, call.first_token_seconds
            )
            FIRST_TOKEN_LATENCY.record(
                call.start.version, call.first_token_seconds
            )

    async def _wait_for_buffer_space(self, attempt: attempts.Attempt) -> None:
        """Pauses reading while the slowest gateway is too far behind.

        If no gateway follows the attempt, the buffer is dropped: a response
        that exceeds REPLAY_BUFFER_BYTES cannot be sent again anyway, and is
        read to its end without buffering.
        """
        while len(attempt.body) > REPLAY_BUFFER_BYTES:
            senders = self._senders.get(attempt.id, {}).values()
            if not senders:
                self._table.trim(attempt, attempt.length)
                return
            slowest = min(senders, key=lambda sender: sender.credited_offset)
            self._table.trim(attempt, slowest.credited_offset)
            if attempt.length - slowest.credited_offset <= REPLAY_BUFFER_BYTES:
                return
            await slowest.wait_for_credit()

    def _complete(self, call: 'ServerCall') -> None:
        attempt = call.attempt
        error = call.find_error()
        if error:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, error)
            return
        attempt.usage = call.usage
        self._on_completed(attempt, call.start)
        self._window.record_end(
            call.started_at,
            call.estimate_first_token_seconds(),
            attempt.has_filled_window,
        )
        self._finish(attempt, verdicts.Verdict.RAN)


class ServerCall:
    """One call to a backend server, with the checks of its response.

    Args:
        attempt: The attempt.
        start: Message with which the gateway started the attempt.
        is_engine: Whether the server is a model engine.
    """

    def __init__(
        self,
        attempt: attempts.Attempt,
        start: messages.Start,
        is_engine: bool,
    ):
        self.attempt = attempt
        self.start = start
        self.started_at = clock.now()
        self.first_token_seconds = 0.0
        self.body = start.body
        self.is_stream = False
        self._is_engine = is_engine
        self._drop_usage = False
        self._event_filter: usage.UsageFilter | None = None
        self._expected_bytes: int | None = None
        self._received_bytes = 0
        if is_engine:
            self.body, self.is_stream, self._drop_usage = (
                usage.add_usage_option(start.body)
            )

    def process_head(self, headers: dict[str, str]) -> None:
        """Reads the expected length and media type from the headers.

        Args:
            headers: Response headers by lower-case name.
        """
        if headers.get('content-length', '').isdigit():
            self._expected_bytes = int(headers['content-length'])
        media_type = headers.get('content-type', '')
        if self._is_engine and media_type.startswith('text/event-stream'):
            self._event_filter = usage.UsageFilter(self._drop_usage)

    def filter_chunk(self, chunk: bytes) -> bytes:
        """Returns the bytes of a chunk that are forwarded to the gateway."""
        self._received_bytes += len(chunk)
        return self._event_filter.feed(chunk) if self._event_filter else chunk

    def is_progress(self, payload: bytes) -> bool:
        """Returns whether a server that sent bytes is making progress.

        Args:
            payload: Forwarded bytes. In an event stream, parts of events,
                comments and empty lines are no progress.
        """
        if self._event_filter is None:
            return bool(payload)
        return sse.has_fields(payload)

    @property
    def has_events(self) -> bool:
        """Whether the response is an event stream."""
        return self._event_filter is not None

    def flush(self) -> bytes:
        """Returns the bytes that the event filter still holds."""
        return self._event_filter.finish() if self._event_filter else b''

    def find_error(self) -> str:
        """Returns the error code of an incomplete response, empty if none."""
        if (
            self._expected_bytes is not None
            and self._expected_bytes != self._received_bytes
        ):
            return 'incomplete_answer'
        if (
            self._event_filter is not None
            and not self._event_filter.has_end_marker
        ):
            return 'incomplete_answer'
        return ''

    def estimate_first_token_seconds(self) -> float:
        """Returns the time to first token.

        For an engine response that is not streamed it is estimated from the
        total time and the number of generated tokens.
        """
        if self.is_stream or not self._is_engine:
            return self.first_token_seconds
        tokens = self.attempt.usage.get('completion_tokens', 0)
        elapsed = clock.now() - self.started_at
        return max(0.0, elapsed - tokens * TOKEN_INTERVAL_SECONDS)

    @property
    def usage(self) -> dict[str, int]:
        """Token counts of the complete response."""
        if self._event_filter is not None:
            return self._event_filter.usage
        if not self._is_engine or self.attempt.body_offset:
            return {}
        return usage.parse_usage(bytes(self.attempt.body))


class ResponseSender:
    """Sends the response of an attempt to one gateway.

    At most CREDIT_BYTES are sent beyond the offset up to which the gateway has
    forwarded the response to its caller.

    Args:
        peer: The gateway.
        attempt: The attempt.
        offset: Offset in the response of the first byte to send.
    """

    def __init__(
        self,
        peer: peers.GatewayPeer,
        attempt: attempts.Attempt,
        offset: int,
    ):
        self.attempt = attempt
        self.gateway = peer.gateway
        self._peer = peer
        self._offset = offset
        self.credited_offset = offset
        self._credit_event = anyio.Event()
        self._head_sent = False
        self._stopped = False

    def add_credit(self, offset: int) -> None:
        """Allows sending up to CREDIT_BYTES beyond an offset.

        Args:
            offset: Offset up to which the gateway has forwarded the response.
        """
        self.credited_offset = max(self.credited_offset, offset)
        self._wake_waiters()

    def stop(self) -> None:
        """Stops sending."""
        self._stopped = True
        self._wake_waiters()
        self.attempt.notify()

    def _wake_waiters(self) -> None:
        event, self._credit_event = self._credit_event, anyio.Event()
        event.set()

    async def wait_for_credit(self) -> None:
        """Waits for credit or a stop, at most for a heartbeat interval."""
        with anyio.move_on_after(peers.HEARTBEAT_INTERVAL_SECONDS):
            await self._credit_event.wait()

    async def run(self) -> None:
        """Sends frames until the response has ended or the link is closed."""
        attempt = self.attempt
        while not (self._stopped or self._peer.closed):
            changed = attempt.changed
            if not self._send_data():
                self._send_dropped_end()
                return
            if self._offset < attempt.length:
                await self.wait_for_credit()
            elif attempt.ended:
                self._send_head()
                self._send_end()
                return
            else:
                with anyio.move_on_after(peers.HEARTBEAT_INTERVAL_SECONDS):
                    await changed.wait()

    def send_available(self) -> None:
        """Sends new bytes at once, without a switch to the task of run()."""
        if not (self._stopped or self._peer.closed or self._send_data()):
            # Bytes to send are no longer buffered: run() sends the end.
            self.attempt.notify()

    def _send_head(self) -> None:
        if self.attempt.status and not self._head_sent:
            self._head_sent = True
            self._peer.send(
                messages.Head(
                    self.attempt.id, self.attempt.status, self.attempt.headers
                )
            )

    def _send_data(self) -> bool:
        """Sends as many bytes as the credit allows.

        The head is sent with the first bytes: sent separately, it would delay
        them by the time for which a link batches frames.

        Returns:
            False if bytes to send are no longer buffered.
        """
        attempt = self.attempt
        while self._offset < attempt.length:
            window_bytes = self.credited_offset + CREDIT_BYTES - self._offset
            if window_bytes <= 0:
                return True
            payload = attempt.read(
                self._offset, min(messages.MAX_DATA_BYTES, window_bytes)
            )
            if payload is None:
                return False
            self._send_head()
            self._peer.send(messages.Data(attempt.id, self._offset, payload))
            self._offset += len(payload)
        return True

    def _send_dropped_end(self) -> None:
        """Sends the end of a response whose buffered bytes were dropped."""
        attempt = self.attempt
        verdict = max(attempt.verdict, verdicts.Verdict.MAY_HAVE_RUN)
        self._peer.send(
            messages.End(
                attempt.id,
                attempt.length,
                int(verdict),
                'answer_dropped',
                attempt.usage,
            )
        )
        attempt.is_end_sent = True

    def _send_end(self) -> None:
        attempt = self.attempt
        if attempt.state in attempts.NOT_RUN_STATES:
            frame = messages.Refused(
                attempt.id,
                attempt.error,
                attempt.detail,
                attempt.retry_after_ms,
            )
        else:
            frame = messages.End(
                attempt.id,
                attempt.length,
                int(attempt.verdict),
                attempt.error,
                attempt.usage,
            )
        self._peer.send(frame)
        attempt.is_end_sent = not self._peer.closed
