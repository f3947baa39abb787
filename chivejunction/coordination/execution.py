"""Runs attempts at the agent: engine call, buffering, streaming back."""

from collections.abc import Callable
import dataclasses
import math
import string
from urllib import parse

import anyio
from anyio import abc
import httpcore

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import admission
from chivejunction.coordination import peers
from chivejunction.protocol import messages
from chivejunction.protocol import usage
from chivejunction.protocol import verdicts
from chivejunction.state import attempts
from chivejunction.state import windows
from chivejunction.transport import http_client

# Bytes that an attempt may be ahead of what its caller has read.
CREDIT_BYTES = 512 * 1024
# Bytes of one answer that stay buffered whole, so that it can be sent again
# from its beginning.
REPLAY_BYTES = 1024 * 1024
WATCH_SECONDS = 0.5
# Share by which a silence may exceed its limit before it is noticed.
SILENCE_SHARE = 0.05
# Time for a token that is still good, at the 95th percentile.
TOKEN_SECONDS = 0.037
HOP_HEADERS = frozenset(
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
# Statuses by which an engine says that it refused a request unread.
ENGINE_REFUSALS = frozenset({429, 503})

ATTEMPTS = metrics.make_counter(
    'chivejunction_attempts',
    'Attempts that ended, by verdict and error.',
    'verdict',
    'error',
)
FIRST_TOKENS = metrics.Latency(
    'chivejunction_first_token_seconds',
    'Time from the call of the server to the first byte of its answer.',
    'version',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Time limits of calls to a backend server, in seconds.

    Attributes:
        first_token: Longest silence before the first token of a stream.
        next_token: Longest silence between two parts of an answer.
        answer: Longest silence before an answer that is not streamed.
        gateway_gone: How long an attempt runs on without its gateway
            before it is cancelled, if it is idempotent.
    """

    first_token: float = 30.0
    next_token: float = 10.0
    answer: float = 120.0
    gateway_gone: float = 10.0


class Executor:
    """Runs attempts against the engine or plain service of one host.

    Args:
        url: Base URL of the engine or service.
        incarnation: Incarnation of the agent.
        table: Attempt table of the agent.
        gate: Admission of the agent.
        window: Concurrency window, told the times to first token.
        client: HTTP client for the engine.
        is_engine: Whether the server is a model engine.
        limits: Time limits.
        on_ran: Called with a whole answer before its end is sent.
    """

    def __init__(
        self,
        url: str,
        incarnation: str,
        table: attempts.AttemptTable,
        gate: admission.AdmissionController,
        window: windows.SlowStartWindow,
        client: http_client.Client,
        is_engine: bool,
        limits: Limits,
        on_ran: Callable[[attempts.Attempt, messages.Start], None],
    ):
        self._url = url.rstrip('/')
        self._incarnation = incarnation
        self._table = table
        self._gate = gate
        self._window = window
        self._client = client
        self._is_engine = is_engine
        self._limits = limits
        self._on_ran = on_ran
        # By attempt and gateway: a repeated call may follow an attempt at
        # another gateway than the first one.
        self._pumps: dict[str, dict[str, Pump]] = {}
        self._live: dict[str, attempts.Attempt] = {}
        self._unsent: dict[str, attempts.Attempt] = {}
        self.last_sent = clock.now()

    @property
    def live(self) -> int:
        """Attempts that wait or run."""
        return len(self._live)

    @property
    def unsent(self) -> int:
        """Ended attempts whose end no gateway has got yet.

        Those whose gateway has been gone for the margin do not count.
        """
        return sum(
            not clock.has_passed(a.orphan_deadline)
            for a in self._unsent.values()
        )

    def handle(
        self,
        group: abc.TaskGroup,
        peer: peers.GatewayPeer,
        frame: messages.Frame,
    ) -> None:
        """Handles a frame of a gateway."""
        if isinstance(frame, messages.Start):
            self._start(group, peer, frame)
        elif isinstance(frame, messages.Resolve):
            self._resolve(group, peer, frame)
        elif isinstance(frame, messages.Credit):
            pump = self._pumps.get(frame.attempt, {}).get(peer.gateway)
            if pump is not None:
                pump.add_credit(frame.offset)
        elif isinstance(frame, messages.Cancel):
            self._cancel(peer, frame.attempt)

    async def run(self) -> None:
        """Cancels attempts of gateways that are gone, until cancelled."""
        while True:
            await anyio.sleep(WATCH_SECONDS)
            for attempt in list(self._live.values()):
                if attempt.idempotent and clock.has_passed(
                    attempt.orphan_deadline
                ):
                    logs.LOG.info('gateway of %s is gone', attempt.id)
                    self._stop(attempt)
            for attempt in list(self._unsent.values()):
                if clock.has_passed(attempt.expires_at):
                    del self._unsent[attempt.id]

    def _start(self, group, peer, start: messages.Start) -> None:
        if self._table.get(start.attempt) is not None:
            # Known or blocked: never run again, the gateway resolves it.
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
        self._live[attempt.id] = attempt
        try:
            entry = self._gate.enqueue(attempt, start)
        except errors.RefusalError as exc:
            self._refuse(attempt, exc)
        else:
            peer.send(messages.Admitted(attempt.id, self._incarnation))
            group.start_soon(self._run, entry)
        self._pump(group, peer, attempt, 0)

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
        self._live.pop(attempt.id, None)
        if not attempt.is_end_sent:
            self._unsent[attempt.id] = attempt
        ATTEMPTS.labels(attempt.verdict.label, attempt.error).inc()

    def _pump(self, group, peer, attempt, offset: int) -> None:
        followers = self._pumps.setdefault(attempt.id, {})
        if peer.gateway in followers:
            followers[peer.gateway].stop()
        pump = Pump(peer, attempt, offset)
        attempt.orphan_deadline = attempts.NO_DEADLINE
        followers[peer.gateway] = pump
        group.start_soon(self._run_pump, pump)

    async def _run_pump(self, pump: 'Pump') -> None:
        attempt = pump.attempt
        try:
            await pump.run()
        finally:
            self._remove_pump(pump)
            if attempt.is_end_sent:
                self._unsent.pop(attempt.id, None)
                if attempt.state not in attempts.NOT_RUN_STATES:
                    self.last_sent = clock.now()

    def _remove_pump(self, pump: 'Pump') -> None:
        attempt = pump.attempt
        followers = self._pumps.get(attempt.id, {})
        if followers.get(pump.gateway) is not pump:
            return
        del followers[pump.gateway]
        if not followers:
            del self._pumps[attempt.id]
            attempt.orphan_deadline = clock.make_deadline(
                self._limits.gateway_gone
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
            self._unsent.pop(attempt.id, None)
            return
        attempt.is_end_sent = False
        if attempt.ended:
            self._unsent[attempt.id] = attempt
        self._pump(group, peer, attempt, frame.offset)

    def _cancel(self, peer: peers.GatewayPeer, attempt_id: str) -> None:
        attempt = self._table.get(attempt_id)
        if attempt is None:
            return
        followers = self._pumps.get(attempt_id, {})
        if peer.gateway in followers:
            followers[peer.gateway].stop()
        if set(followers) - {peer.gateway}:
            # Another gateway still follows the attempt.
            return
        attempt.is_end_sent = True
        self._unsent.pop(attempt_id, None)
        self._stop(attempt)

    def _stop(self, attempt: attempts.Attempt) -> None:
        if attempt.cancel_scope is not None:
            attempt.cancel_scope.cancel()
        else:
            attempt.cancelled = True

    async def _run(self, entry: admission.QueuedAttempt) -> None:
        attempt = entry.attempt
        with anyio.CancelScope() as scope:
            attempt.cancel_scope = scope
            if attempt.cancelled:
                scope.cancel()
            try:
                await self._gate.wait(entry)
            except errors.RefusalError as exc:
                self._refuse(attempt, exc)
                return
            await self._run_granted(entry)
        if not attempt.ended:
            self._end_cancelled(attempt)

    async def _run_granted(self, entry: admission.QueuedAttempt) -> None:
        attempt = entry.attempt
        started = clock.now()
        try:
            self._table.mark_running(attempt)
            await self._call(entry)
        except errors.InvariantViolation as exc:
            metrics.count_violation(exc)
            self._refuse(attempt, errors.RefusalError('internal', str(exc)))
        except Exception:
            # An error in one attempt must not end the others.
            logs.LOG.exception('attempt %s failed', attempt.id)
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'internal')
        finally:
            seconds = clock.now() - started
            if attempt.verdict is verdicts.Verdict.RAN:
                self._gate.record_run(seconds)
            self._gate.release(entry, seconds)

    def _end_cancelled(self, attempt: attempts.Attempt) -> None:
        if attempt.state is attempts.AttemptState.QUEUED:
            self._refuse(
                attempt, errors.RefusalError('cancelled', 'cancelled')
            )
        else:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'cancelled')

    async def _call(self, entry: admission.QueuedAttempt) -> None:
        attempt, start = entry.attempt, entry.start
        call = Call(attempt, start, self._is_engine)
        headers = {
            k.encode('latin-1'): v.encode('latin-1')
            for k, v in start.headers.items()
            if k.lower() != 'content-length'
        }
        headers[b'x-request-id'] = attempt.id.encode()
        path = parse.quote(start.path, safe=string.punctuation)
        first = (
            self._limits.first_token if call.is_stream else self._limits.answer
        )
        left = clock.remaining(attempt.deadline)
        try:
            with anyio.fail_after(left):
                with anyio.CancelScope() as silence:
                    silence.deadline = anyio.current_time() + first
                    async with self._client.stream(
                        start.method,
                        self._url + path,
                        attempt.deadline,
                        headers,
                        call.body,
                        read_seconds=left + 1,
                    ) as response:
                        await self._read(call, response, silence)
                if silence.cancelled_caught:
                    self._give_up(call)
        except errors.TransportError as exc:
            self._fail(attempt, exc)
        except TimeoutError:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, 'deadline')

    def _give_up(self, call: 'Call') -> None:
        if not call.first_token:
            self._window.record_first_token(
                call.started, clock.now() - call.started
            )
        self._finish(
            call.attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_silent'
        )

    def _fail(
        self, attempt: attempts.Attempt, exc: errors.TransportError
    ) -> None:
        # A request that HTTP does not allow says nothing about the server.
        if not isinstance(exc.__cause__, httpcore.LocalProtocolError):
            self._window.reset(f'the connection failed: {exc}')
        if exc.connected:
            self._finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_failed'
            )
        else:
            self._refuse(
                attempt, errors.RefusalError('server_unreachable', str(exc))
            )

    async def _read(
        self, call: 'Call', response, silence: anyio.CancelScope
    ) -> None:
        attempt = call.attempt
        headers = {
            k.decode('latin-1').lower(): v.decode('latin-1')
            for k, v in response.headers
        }
        if self._is_engine and response.status in ENGINE_REFUSALS:
            self._refuse(
                attempt,
                errors.RefusalError('server_busy', 'the engine refused'),
            )
            return
        if headers.get('x-request-id', attempt.id) != attempt.id:
            self._finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'crossed_answer'
            )
            return
        call.open(headers)
        attempt.status = response.status
        attempt.headers = {
            k: v for k, v in headers.items() if k not in HOP_HEADERS
        }
        spare = SILENCE_SHARE * self._limits.next_token
        async for chunk in response.aiter_stream():
            if not call.first_token:
                self._record_first_token(call)
            kept = call.read(chunk)
            if kept:
                self._append(attempt, kept)
            if len(attempt.body) > REPLAY_BYTES:
                silence.deadline = math.inf
                await self._wait_for_room(attempt)
            # Moving the deadline sets a timer, so it is not moved for each
            # token.
            earliest = anyio.current_time() + self._limits.next_token
            if not earliest <= silence.deadline <= earliest + spare:
                silence.deadline = earliest + spare
        rest = call.finish()
        if rest:
            self._append(attempt, rest)
        self._end(call)

    def _append(self, attempt: attempts.Attempt, payload: bytes) -> None:
        self._table.append(attempt, payload)
        for pump in self._pumps.get(attempt.id, {}).values():
            pump.push()

    def _record_first_token(self, call: 'Call') -> None:
        call.first_token = max(1e-6, clock.now() - call.started)
        if call.is_stream or not self._is_engine:
            self._window.record_first_token(call.started, call.first_token)
            FIRST_TOKENS.record(call.start.version, call.first_token)

    async def _wait_for_room(self, attempt: attempts.Attempt) -> None:
        """Holds the engine back while the caller reads too slowly.

        Without a gateway an answer that is too long to be sent again is
        read to its end and not kept.
        """
        while len(attempt.body) > REPLAY_BYTES:
            followers = self._pumps.get(attempt.id, {}).values()
            if not followers:
                self._table.trim(attempt, attempt.length)
                return
            slowest = min(followers, key=lambda pump: pump.credited)
            self._table.trim(attempt, slowest.credited)
            if attempt.length - slowest.credited <= REPLAY_BYTES:
                return
            await slowest.wait_credit()

    def _end(self, call: 'Call') -> None:
        attempt = call.attempt
        error = call.find_fault()
        if error:
            self._finish(attempt, verdicts.Verdict.MAY_HAVE_RUN, error)
            return
        attempt.usage = call.usage
        self._on_ran(attempt, call.start)
        self._window.record_end(
            call.started, call.measure_delay(), attempt.has_filled_window
        )
        self._finish(attempt, verdicts.Verdict.RAN)


class Call:
    """One call of a backend server and the checks of its answer.

    Args:
        attempt: The attempt.
        start: Message that asked for it.
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
        self.started = clock.now()
        self.first_token = 0.0
        self.body = start.body
        self.is_stream = False
        self._is_engine = is_engine
        self._drop_usage = False
        self._filter: usage.EventFilter | None = None
        self._expected: int | None = None
        self._received = 0
        if is_engine:
            self.body, self.is_stream, self._drop_usage = usage.ask_for_usage(
                start.body
            )

    def open(self, headers: dict[str, str]) -> None:
        """Takes the head of the answer."""
        if headers.get('content-length', '').isdigit():
            self._expected = int(headers['content-length'])
        kind = headers.get('content-type', '')
        if self._is_engine and kind.startswith('text/event-stream'):
            self._filter = usage.EventFilter(self._drop_usage)

    def read(self, chunk: bytes) -> bytes:
        """Returns the bytes of a chunk that are passed on."""
        self._received += len(chunk)
        return self._filter.feed(chunk) if self._filter else chunk

    def finish(self) -> bytes:
        """Returns the bytes that were held back."""
        return self._filter.finish() if self._filter else b''

    def find_fault(self) -> str:
        """Returns why the answer is not whole, or an empty string."""
        if self._expected is not None and self._expected != self._received:
            return 'incomplete_answer'
        if self._filter is not None and not self._filter.done:
            return 'incomplete_answer'
        return ''

    def measure_delay(self) -> float:
        """Returns the time to first token, estimated without a stream."""
        if self.is_stream or not self._is_engine:
            return self.first_token
        tokens = self.attempt.usage.get('completion_tokens', 0)
        spent = clock.now() - self.started
        return max(0.0, spent - tokens * TOKEN_SECONDS)

    @property
    def usage(self) -> dict[str, int]:
        """Token counts of the whole answer."""
        if self._filter is not None:
            return self._filter.usage
        if not self._is_engine or self.attempt.body_offset:
            return {}
        return usage.parse_usage(bytes(self.attempt.body))


class Pump:
    """Sends the answer of an attempt to one gateway.

    It starts at an offset and stays at most CREDIT_BYTES ahead of what the
    gateway has passed on.
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
        self.credited = offset
        self._wake = anyio.Event()
        self._head_sent = False
        self._stopped = False

    def add_credit(self, offset: int) -> None:
        """Allows sending up to CREDIT_BYTES beyond an offset."""
        self.credited = max(self.credited, offset)
        self._wake_all()

    def stop(self) -> None:
        """Stops sending; another pump or nobody takes over."""
        self._stopped = True
        self._wake_all()
        self.attempt.notify()

    def _wake_all(self) -> None:
        wake, self._wake = self._wake, anyio.Event()
        wake.set()

    async def wait_credit(self) -> None:
        """Waits for credit, the end of the pump or one heartbeat."""
        with anyio.move_on_after(peers.HEARTBEAT_INTERVAL_SECONDS):
            await self._wake.wait()

    async def run(self) -> None:
        """Sends frames until the answer has ended or the link is over."""
        attempt = self.attempt
        while not (self._stopped or self._peer.closed):
            changed = attempt.changed
            if not self._send_data():
                self._send_lost()
                return
            if self._offset < attempt.length:
                await self.wait_credit()
            elif attempt.ended:
                self._send_head()
                self._send_end()
                return
            else:
                with anyio.move_on_after(peers.HEARTBEAT_INTERVAL_SECONDS):
                    await changed.wait()

    def push(self) -> None:
        """Sends new bytes at once, without a switch to the pump's task."""
        if not (self._stopped or self._peer.closed or self._send_data()):
            # The task sends the end of an answer whose bytes are gone.
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
        """Sends what credit allows; returns False if bytes are gone.

        The head goes out with the first bytes: sent on its own it would
        hold them back by the time in which a link gathers frames.
        """
        attempt = self.attempt
        while self._offset < attempt.length:
            room = self.credited + CREDIT_BYTES - self._offset
            if room <= 0:
                return True
            payload = attempt.read(
                self._offset, min(messages.MAX_DATA_BYTES, room)
            )
            if payload is None:
                return False
            self._send_head()
            self._peer.send(messages.Data(attempt.id, self._offset, payload))
            self._offset += len(payload)
        return True

    def _send_lost(self) -> None:
        """Ends an answer whose buffered bytes were dropped."""
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
