"""Runs attempts at the agent: engine call, buffering, streaming back."""

import json

import anyio
from anyio import abc

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import admission
from chivejunction.coordination import peers
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import attempts
from chivejunction.transport import http_client

# Bytes that an attempt may be ahead of what its caller has read.
CREDIT_BYTES = 512 * 1024
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


class Executor:
    """Runs attempts against the engine or plain service of one host.

    Args:
        url: Base URL of the engine or service.
        incarnation: Incarnation of the agent.
        table: Attempt table of the agent.
        gate: Admission of the agent.
        client: HTTP client for the engine.
        is_engine: Whether the server is a model engine.
    """

    def __init__(
        self,
        url: str,
        incarnation: str,
        table: attempts.AttemptTable,
        gate: admission.Admission,
        client: http_client.Client,
        is_engine: bool,
    ):
        self._url = url.rstrip('/')
        self._incarnation = incarnation
        self._table = table
        self._gate = gate
        self._client = client
        self._is_engine = is_engine
        # By gateway and attempt: a repeated call may follow an attempt at
        # another gateway than the first one.
        self._pumps: dict[tuple[str, str], Pump] = {}

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
            pump = self._pumps.get((peer.gateway, frame.attempt))
            if pump is not None:
                pump.add_credit(frame.offset)
        elif isinstance(frame, messages.Cancel):
            self._cancel(peer, frame.attempt)

    def _start(self, group, peer, start: messages.Start) -> None:
        if self._table.get(start.attempt) is not None:
            # Known or blocked: never run again, the gateway resolves it.
            return
        deadline = clock.make_deadline(start.budget_ms / 1000)
        attempt = self._table.admit(
            start.attempt, start.request, start.organisation, deadline
        )
        try:
            self._gate.check(start)
        except errors.RefusalError as exc:
            self._refuse(attempt, exc)
        else:
            peer.send(messages.Admitted(attempt.id, self._incarnation))
            group.start_soon(self._run, attempt, start)
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

    def _pump(self, group, peer, attempt, offset: int) -> None:
        old = self._pumps.get((peer.gateway, attempt.id))
        if old is not None:
            old.stop()
        pump = Pump(peer, attempt, offset)
        self._pumps[pump.key] = pump
        group.start_soon(self._run_pump, pump)

    async def _run_pump(self, pump: 'Pump') -> None:
        try:
            await pump.run()
        finally:
            if self._pumps.get(pump.key) is pump:
                del self._pumps[pump.key]

    def _resolve(self, group, peer, frame: messages.Resolve) -> None:
        attempt = self._table.get(frame.attempt)
        if attempt is None and frame.incarnation == self._incarnation:
            attempt = self._table.block(frame.attempt, clock.now())
        state = 'unknown' if attempt is None else str(attempt.state)
        offset = 0 if attempt is None else len(attempt.body)
        peer.send(
            messages.Resolved(frame.attempt, self._incarnation, state, offset)
        )
        if attempt is not None and (
            attempt.state not in attempts.NOT_RUN_STATES
        ):
            self._pump(group, peer, attempt, frame.offset)

    def _cancel(self, peer: peers.GatewayPeer, attempt_id: str) -> None:
        attempt = self._table.get(attempt_id)
        if attempt is None:
            return
        pump = self._pumps.get((peer.gateway, attempt_id))
        if pump is not None:
            pump.stop()
        if attempt.cancel_scope is not None:
            attempt.cancel_scope.cancel()

    async def _run(
        self, attempt: attempts.Attempt, start: messages.Start
    ) -> None:
        with anyio.CancelScope() as scope:
            attempt.cancel_scope = scope
            try:
                await self._gate.acquire(attempt)
            except errors.RefusalError as exc:
                self._refuse(attempt, exc)
                return
            try:
                self._table.mark_running(attempt)
                await self._call(attempt, start)
            finally:
                self._gate.release(attempt)
        if not attempt.ended:
            self._end_cancelled(attempt)

    def _end_cancelled(self, attempt: attempts.Attempt) -> None:
        if attempt.state is attempts.AttemptState.QUEUED:
            self._table.refuse(attempt, 'cancelled', 'cancelled', 0)
        else:
            self._table.finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'cancelled'
            )

    async def _call(
        self, attempt: attempts.Attempt, start: messages.Start
    ) -> None:
        headers = dict(start.headers)
        headers['x-request-id'] = attempt.id
        try:
            with anyio.fail_after(clock.remaining(attempt.deadline)):
                async with self._client.stream(
                    start.method,
                    self._url + start.path,
                    attempt.deadline,
                    headers,
                    start.body,
                ) as response:
                    await self._read(attempt, response)
        except errors.TransportError as exc:
            self._fail(attempt, exc)
        except TimeoutError:
            self._table.finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'deadline'
            )

    def _fail(
        self, attempt: attempts.Attempt, exc: errors.TransportError
    ) -> None:
        if exc.connected:
            self._table.finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'server_failed'
            )
        else:
            self._refuse(
                attempt, errors.RefusalError('server_unreachable', str(exc))
            )

    async def _read(self, attempt: attempts.Attempt, response) -> None:
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
        echoed = headers.get('x-request-id', attempt.id)
        if echoed != attempt.id:
            self._table.finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'crossed_answer'
            )
            return
        attempt.status = response.status
        attempt.headers = {
            k: v for k, v in headers.items() if k not in HOP_HEADERS
        }
        attempt.notify()
        async for chunk in response.aiter_stream():
            attempt.append(chunk)
        self._end(attempt)

    def _end(self, attempt: attempts.Attempt) -> None:
        is_stream = attempt.headers.get('content-type', '').startswith(
            'text/event-stream'
        )
        if is_stream and b'data: [DONE]' not in attempt.body[-64:]:
            self._table.finish(
                attempt, verdicts.Verdict.MAY_HAVE_RUN, 'incomplete_answer'
            )
            return
        attempt.usage = parse_usage(attempt.body, is_stream)
        self._table.finish(attempt, verdicts.Verdict.RAN)


def parse_usage(body: bytes | bytearray, is_stream: bool) -> dict:
    """Returns the token counts of an answer, empty if it has none.

    Args:
        body: Whole answer of an engine.
        is_stream: Whether the answer is an event stream.
    """
    text = bytes(body)
    if is_stream:
        start = text.rfind(b'"usage"')
        if start < 0:
            return {}
        line_start = text.rfind(b'data: ', 0, start) + len(b'data: ')
        text = text[line_start : text.find(b'\n', start)]
    try:
        usage = json.loads(text).get('usage') or {}
    except (ValueError, AttributeError):
        return {}
    return {k: v for k, v in usage.items() if isinstance(v, int)}


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
        self.key = (peer.gateway, attempt.id)
        self._peer = peer
        self._offset = offset
        self._credit = offset + CREDIT_BYTES
        self._wake = anyio.Event()
        self._stopped = False

    def add_credit(self, offset: int) -> None:
        """Allows sending up to CREDIT_BYTES beyond an offset."""
        self._credit = max(self._credit, offset + CREDIT_BYTES)
        self._wake.set()

    def stop(self) -> None:
        """Stops sending; another pump or nobody takes over."""
        self._stopped = True
        self._wake.set()
        self.attempt.notify()

    async def run(self) -> None:
        """Sends frames until the answer has ended or the link is over."""
        attempt = self.attempt
        head_sent = False
        while not (self._stopped or self._peer.closed):
            changed = attempt.changed
            if attempt.status and not head_sent:
                head_sent = True
                self._peer.send(
                    messages.Head(attempt.id, attempt.status, attempt.headers)
                )
            await self._send_data()
            if self._stopped:
                return
            if attempt.ended and self._offset == len(attempt.body):
                self._send_end()
                return
            if attempt.changed is changed:
                with anyio.move_on_after(peers.HEARTBEAT_SECONDS):
                    await changed.wait()

    async def _send_data(self) -> None:
        body = self.attempt.body
        while self._offset < len(body) and not self._stopped:
            if self._offset >= self._credit:
                self._wake = anyio.Event()
                with anyio.move_on_after(peers.HEARTBEAT_SECONDS):
                    await self._wake.wait()
                if self._peer.closed:
                    return
                continue
            size = min(messages.MAX_DATA_BYTES, self._credit - self._offset)
            payload = bytes(body[self._offset : self._offset + size])
            self._peer.send(
                messages.Data(self.attempt.id, self._offset, payload)
            )
            self._offset += len(payload)

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
                len(attempt.body),
                int(attempt.verdict),
                attempt.error,
                attempt.usage,
            )
        self._peer.send(frame)
