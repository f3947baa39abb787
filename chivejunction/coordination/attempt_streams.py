"""Frames of one attempt as the gateway receives them."""

import asyncio
import collections
import math

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import peers
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.transport import links

# Bytes after which the gateway tells the agent how far it has relayed.
CREDIT_STEP_BYTES = 128 * 1024
# An agent answers Start at once, so a longer silence means a lost frame.
ADMISSION_SECONDS = 1.0
# A stream without a frame for this long is resolved, which re-attaches it.
STALL_SECONDS = 10.0
# Wait for one Resolved; a silent link is redialled after 2.5 s anyway.
RESOLVE_REPLY_SECONDS = 1.5
# Covers the silence limit of a link, a new dial and one more failed dial.
PATIENCE_SECONDS = 6.0
# Up to here nothing of an answer in one piece is passed on before its end,
# so that a failure in its middle is retried or becomes a refusal.
WHOLE_BODY_BYTES = 1024 * 1024
# Resolves without a new byte after which an attempt counts as failed.
MAX_IDLE_RESOLVES = 12
# The loop's clock counts whole milliseconds; a shorter timer could end
# before its deadline again and again.
TIMER_SECONDS = 0.001

Event = messages.Head | messages.Data | messages.End


class AttemptStream:
    """One attempt: sends its start and yields the frames of its answer.

    A silent link, a gap or a missing admission is resolved inside: the
    answer goes on from the last received offset, or a refusal says whether
    the attempt may have run.

    Args:
        peer: Link to the agent.
        attempt_id: Id of the attempt.
        incarnation: Incarnation of the agent that the attempt was sent to;
            the present one by default.
        patience: Seconds to wait for the agent after its link went down.

    Attributes:
        replaceable: Whether another server may take over at once when the
            agent does not answer the start.
    """

    def __init__(
        self,
        peer: peers.AgentPeer,
        attempt_id: str,
        incarnation: str = '',
        patience: float = PATIENCE_SECONDS,
    ):
        self.peer = peer
        self.id = attempt_id
        self.incarnation = incarnation or peer.server.incarnation
        self.patience = patience
        self.offset = 0
        self.started = clock.now()
        self.verdict = verdicts.Verdict.NOT_RUN
        self.ended = False
        self.replaceable = False
        self._answered = False
        self._head_seen = False
        self.closed = False
        self._credited = 0
        self._idle_resolves = 0
        self._epoch = peer.epoch
        self._silence_deadline = clock.make_deadline(ADMISSION_SECONDS)
        self._frames: collections.deque = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = math.inf
        peer.add_handler(attempt_id, self._receive)

    def start(self, frame: messages.Start) -> None:
        """Sends the attempt to the agent.

        Raises:
            RefusalError: There is no link; the attempt has not run.
        """
        try:
            self.peer.send(frame)
        except errors.LinkClosed as exc:
            self.ended = True
            raise errors.RefusalError('no_server', str(exc)) from exc
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.started = clock.now()
        self._epoch = self.peer.epoch
        self._silence_deadline = clock.make_deadline(ADMISSION_SECONDS)

    def close(self, cancel: bool) -> None:
        """Stops receiving.

        Args:
            cancel: Whether the agent shall stop an attempt that still runs.
        """
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self.peer.remove_handler(self.id, self._receive)
        if cancel and not self.ended and self.peer.connected:
            self.peer.send(messages.Cancel(self.id))

    def _receive(self, frame: messages.Frame | None) -> None:
        if frame is not None:
            self._frames.append(frame)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_timer(self) -> None:
        self._timer = None
        self._wake()

    async def _wait(self, until: float) -> None:
        """Waits for a frame or a change of the link; may return early.

        A scope with a timeout and an event for each frame cost more than
        the frame itself. A timer stays set while frames come, and one that
        ends too early only makes the caller look again.
        """
        loop = asyncio.get_running_loop()
        if self._timer is None or until < self._timer_due:
            self._stop_timer()
            self._timer_due = until
            seconds = max(TIMER_SECONDS, clock.remaining(until))
            self._timer = loop.call_later(seconds, self._end_timer)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def next_event(self, deadline: float) -> Event:
        """Returns the next new part of the answer.

        Args:
            deadline: Monotonic deadline of the call in seconds.

        Raises:
            RefusalError: The attempt failed; `verdict` says how.
        """
        while True:
            if self._link_lost():
                await self.resolve(deadline)
            elif self._frames:
                try:
                    event = self._check(self._frames.popleft())
                except errors.ProtocolError as exc:
                    logs.LOG.warning('attempt %s: %s', self.id, exc)
                    await self.resolve(deadline)
                    continue
                if event is not None:
                    return event
            elif clock.has_passed(deadline):
                raise errors.RefusalError(
                    'deadline',
                    'no complete answer before the deadline',
                    self.verdict,
                )
            elif clock.has_passed(self._silence_deadline):
                self._check_answered()
                await self.resolve(deadline)
            else:
                await self._wait(min(deadline, self._silence_deadline))

    def _check_answered(self) -> None:
        if self._answered:
            return
        self.peer.server.is_suspect = True
        if self.replaceable:
            raise errors.RefusalError(
                'server_failed',
                f'{self.peer.name} does not answer',
                self.verdict,
            )

    def _link_lost(self) -> bool:
        return not self.peer.connected or self.peer.epoch != self._epoch

    async def read_first(self, deadline: float, held: int = 0) -> list[Event]:
        """Returns the events up to the first bytes of the answer.

        Args:
            deadline: Monotonic deadline of the call in seconds.
            held: Bytes to wait for in place of the first ones; a shorter
                answer is read to its end.

        Raises:
            RefusalError: The attempt failed before that.
        """
        events = [await self.next_event(deadline)]
        while not self.ended and self.offset <= held:
            events.append(await self.next_event(deadline))
        return events

    def _check(self, frame: messages.Frame) -> Event | None:
        self._silence_deadline = clock.make_deadline(STALL_SECONDS)
        self._answered = True
        handler = self._CHECKS.get(type(frame))
        return handler(self, frame) if handler else None

    def _check_refused(self, frame: messages.Refused) -> None:
        if self.offset:
            raise errors.ProtocolError('refused after data')
        self.ended = True
        self.verdict = verdicts.Verdict.NOT_RUN
        raise errors.RefusalError(
            frame.error,
            frame.detail,
            retry_after=frame.retry_after_ms / 1000 or None,
        )

    def _check_head(self, frame: messages.Head) -> Event | None:
        if self._head_seen:
            return None
        if not 200 <= frame.status <= 599:
            raise errors.ProtocolError(f'status {frame.status}')
        self._head_seen = True
        return frame

    def _check_data(self, frame: messages.Data) -> Event | None:
        if not self._head_seen or frame.offset > self.offset:
            raise errors.ProtocolError(
                f'data at {frame.offset} follows {self.offset}'
            )
        payload = frame.payload[self.offset - frame.offset :]
        if not payload:
            return None
        start = self.offset
        self.offset += len(payload)
        self._idle_resolves = 0
        if self.offset - self._credited >= CREDIT_STEP_BYTES:
            self._credited = self.offset
            if self.peer.connected:
                self.peer.send(messages.Credit(self.id, self.offset))
        return messages.Data(self.id, start, payload)

    def _check_end(self, frame: messages.End) -> Event:
        try:
            verdict = verdicts.Verdict(frame.verdict)
        except ValueError as exc:
            raise errors.ProtocolError(f'verdict {frame.verdict}') from exc
        if frame.error:
            self.ended = True
            self.verdict = verdict
            code = 'deadline' if frame.error == 'deadline' else 'server_failed'
            raise errors.RefusalError(code, frame.error, verdict)
        if not self._head_seen or frame.length > self.offset:
            raise errors.ProtocolError(
                f'end at {frame.length} follows {self.offset}'
            )
        if frame.length < self.offset:
            self.ended = True
            raise errors.RefusalError(
                'server_failed', 'the answer is too long', self.verdict
            )
        self.ended = True
        self.verdict = verdicts.Verdict.RAN
        return frame

    def _check_bad(self, frame: links.BadFrame) -> None:
        raise errors.ProtocolError(frame.reason)

    _CHECKS = {
        messages.Refused: _check_refused,
        messages.Head: _check_head,
        messages.Data: _check_data,
        messages.End: _check_end,
        links.BadFrame: _check_bad,
    }

    async def resolve(self, deadline: float) -> None:
        """Asks the agent what became of the attempt; re-attaches to it.

        Args:
            deadline: Monotonic time until which an answer is useful.

        Raises:
            RefusalError: With verdict NOT_RUN when the attempt has not run
                and never will, MAY_HAVE_RUN when nobody knows.
        """
        self._idle_resolves += 1
        until = min(deadline, clock.make_deadline(self.patience))
        while self._idle_resolves <= MAX_IDLE_RESOLVES:
            if clock.has_passed(until):
                break
            if not self.peer.connected:
                await self._wait(until)
                continue
            frame = await self._ask(until)
            if frame is not None:
                self._judge(frame)
                return
        code = 'deadline' if clock.has_passed(deadline) else 'server_failed'
        raise errors.RefusalError(
            code, f'{self.peer.name} does not answer', self.verdict
        )

    async def _ask(self, until: float) -> messages.Resolved | None:
        self._frames.clear()
        self._epoch = self.peer.epoch
        # Everything after this message may depend on the attempt having
        # been sent by another gateway, so its fate is open until answered.
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.peer.send(
            messages.Resolve(self.id, self.incarnation, self.offset)
        )
        until = min(until, clock.make_deadline(RESOLVE_REPLY_SECONDS))
        while not (self._link_lost() or clock.has_passed(until)):
            while self._frames:
                frame = self._frames.popleft()
                if isinstance(frame, messages.Resolved):
                    return frame
            await self._wait(until)
        return None

    def _judge(self, frame: messages.Resolved) -> None:
        self._silence_deadline = clock.make_deadline(STALL_SECONDS)
        self._answered = True
        if frame.state in ('refused', 'blocked'):
            self.ended = True
            if self.offset:
                raise errors.InvariantViolation(
                    'true_not_run',
                    f'{self.id} is {frame.state} after {self.offset} bytes',
                )
            self.verdict = verdicts.Verdict.NOT_RUN
            raise errors.RefusalError('no_server', 'the attempt has not run')
        if frame.state == 'unknown':
            self.ended = True
            raise errors.RefusalError(
                'server_failed',
                f'{self.peer.name} has restarted',
                self.verdict,
            )
