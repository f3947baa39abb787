"""Receiving side of one attempt at the gateway."""

import asyncio
import collections
from collections.abc import Callable
import math

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import peers
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.transport import links

# Received bytes of a response after which the gateway sends Credit.
CREDIT_STEP_BYTES = 128 * 1024
# An agent replies to Start at once, so a longer silence means a lost frame.
ADMISSION_TIMEOUT_SECONDS = 1.0
# An attempt without a frame for this long is resolved, so that the agent sends
# its response again from the last received offset.
STALL_TIMEOUT_SECONDS = 10.0
# Timeout of the reply to one Resolve; a silent link is redialled after 2.5 s
# anyway.
RESOLVE_REPLY_TIMEOUT_SECONDS = 1.5
# Covers the timeout of a link, a new dial and one more failed dial.
RESOLVE_TIMEOUT_SECONDS = 6.0
# Up to this size, a response that is not streamed is relayed only when it is
# complete, so that a failure in its middle is retried or becomes a refusal.
MAX_HELD_RESPONSE_BYTES = 1024 * 1024
# Resolve messages without a new byte after which an attempt has failed.
MAX_IDLE_RESOLVES = 12
# The clock of the event loop counts whole milliseconds. A shorter timer could
# fire before its deadline again and again.
MIN_TIMER_SECONDS = 0.001

Event = messages.Head | messages.Data | messages.End


class AttemptStream:
    """One attempt: sends its start and receives its response.

    After a silent link, a gap or a missing admission the attempt is resolved:
    the gateway asks the agent for its state. Then the response continues from
    the last received offset, or a refusal says whether the attempt may have
    run.

    Args:
        peer: Link to the agent.
        attempt_id: Id of the attempt.
        incarnation: Incarnation of the agent that the attempt was sent to;
            the current one by default.
        resolve_timeout: Longest time in seconds of one ``resolve``, including
            the time in which the link is down.

    Attributes:
        offset: Bytes of the response received so far.
        started: Monotonic time in seconds at which the attempt was sent.
        verdict: Whether the attempt has run, as far as is known.
        ended: Whether the attempt is over; it needs no Cancel any more.
        is_replaceable: Returns whether another server can be tried. The
            attempt fails at once then if the agent does not reply to its
            start.
        closed: Whether frames of the attempt are no longer received.
    """

    def __init__(
        self,
        peer: peers.AgentPeer,
        attempt_id: str,
        incarnation: str = '',
        resolve_timeout: float = RESOLVE_TIMEOUT_SECONDS,
    ):
        self.peer = peer
        self.id = attempt_id
        self.incarnation = incarnation or peer.server.incarnation
        self.resolve_timeout = resolve_timeout
        self.offset = 0
        self.started = clock.now()
        self.verdict = verdicts.Verdict.NOT_RUN
        self.ended = False
        self.is_replaceable: Callable[[], bool] = lambda: False
        self._has_agent_replied = False
        self._has_head = False
        self.closed = False
        self._credited_offset = 0
        self._idle_resolves = 0
        self._epoch = peer.epoch
        self._silence_deadline = clock.make_deadline(ADMISSION_TIMEOUT_SECONDS)
        self._frames: collections.deque = collections.deque()
        self._waiter: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = math.inf
        peer.add_handler(attempt_id, self._queue_frame)

    def start(self, frame: messages.Start) -> None:
        """Sends the attempt to the agent.

        Args:
            frame: Message that starts the attempt.

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
        self._silence_deadline = clock.make_deadline(ADMISSION_TIMEOUT_SECONDS)

    def close(self, cancel: bool) -> None:
        """Stops receiving frames.

        Args:
            cancel: Whether the agent is asked to cancel the attempt if it
                still runs.
        """
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self.peer.remove_handler(self.id, self._queue_frame)
        if cancel and not self.ended and self.peer.connected:
            self.peer.send(messages.Cancel(self.id))

    def _queue_frame(self, frame: messages.Frame | None) -> None:
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

    def _on_timer(self) -> None:
        self._timer = None
        self._wake()

    async def _wait_for_change(self, until: float) -> None:
        """Waits for a frame, a change of the link or a deadline.

        May return before any of these; the caller checks again. A timeout
        scope and an event for each frame would cost more than handling the
        frame. Instead, one timer is kept while frames arrive, even if it is
        due before the deadline.

        Args:
            until: Monotonic deadline in seconds.
        """
        loop = asyncio.get_running_loop()
        if self._timer is None or until < self._timer_due:
            self._stop_timer()
            self._timer_due = until
            seconds = max(MIN_TIMER_SECONDS, clock.remaining(until))
            self._timer = loop.call_later(seconds, self._on_timer)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def next_event(self, deadline: float) -> Event:
        """Returns the next new part of the response.

        Args:
            deadline: Monotonic deadline of the call in seconds.

        Raises:
            RefusalError: The attempt failed; `verdict` says whether it may
                have run.
        """
        while True:
            if self._is_link_lost():
                await self.resolve(deadline)
            elif self._frames:
                try:
                    event = self._handle_frame(self._frames.popleft())
                except errors.ProtocolError as exc:
                    logs.LOG.warning(
                        'invalid frame of attempt %s: %s', self.id, exc
                    )
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
                self._check_agent_replied()
                await self.resolve(deadline)
            else:
                await self._wait_for_change(
                    min(deadline, self._silence_deadline)
                )

    def _check_agent_replied(self) -> None:
        """Marks the server as suspect if the agent has not replied at all.

        Raises:
            RefusalError: There was no reply, and another server may take over.
        """
        if self._has_agent_replied:
            return
        self.peer.server.is_suspect = True
        if self.is_replaceable():
            raise errors.RefusalError(
                'server_failed',
                f'{self.peer.name} does not answer',
                self.verdict,
            )

    def _is_link_lost(self) -> bool:
        return not self.peer.connected or self.peer.epoch != self._epoch

    async def read_first(
        self, deadline: float, hold_bytes: int = 0
    ) -> list[Event]:
        """Returns the events up to the first bytes of the response.

        Args:
            deadline: Monotonic deadline of the call in seconds.
            hold_bytes: Reads on until more than this number of bytes was
                received; a shorter response is read to its end.

        Raises:
            RefusalError: The attempt failed before that.
        """
        events = [await self.next_event(deadline)]
        while not self.ended and self.offset <= hold_bytes:
            events.append(await self.next_event(deadline))
        return events

    def _handle_frame(self, frame: messages.Frame) -> Event | None:
        self._silence_deadline = clock.make_deadline(STALL_TIMEOUT_SECONDS)
        self._has_agent_replied = True
        handler = self._FRAME_HANDLERS.get(type(frame))
        return handler(self, frame) if handler else None

    def _handle_refused(self, frame: messages.Refused) -> None:
        if self.offset:
            raise errors.ProtocolError(
                f'refused after {self.offset} bytes of data'
            )
        self.ended = True
        self.verdict = verdicts.Verdict.NOT_RUN
        raise errors.RefusalError(
            frame.error,
            frame.detail,
            retry_after=frame.retry_after_ms / 1000 or None,
        )

    def _handle_head(self, frame: messages.Head) -> Event | None:
        if self._has_head:
            return None
        if not 200 <= frame.status <= 599:
            raise errors.ProtocolError(
                f'HTTP status {frame.status} is not in 200..599'
            )
        self._has_head = True
        return frame

    def _handle_data(self, frame: messages.Data) -> Event | None:
        if not self._has_head or frame.offset > self.offset:
            raise errors.ProtocolError(
                f'data at offset {frame.offset} after {self.offset} bytes, '
                f'head received: {self._has_head}'
            )
        payload = frame.payload[self.offset - frame.offset :]
        if not payload:
            return None
        start = self.offset
        self.offset += len(payload)
        self._idle_resolves = 0
        if self.offset - self._credited_offset >= CREDIT_STEP_BYTES:
            self._credited_offset = self.offset
            if self.peer.connected:
                self.peer.send(messages.Credit(self.id, self.offset))
        return messages.Data(self.id, start, payload)

    def _handle_end(self, frame: messages.End) -> Event:
        try:
            verdict = verdicts.Verdict(frame.verdict)
        except ValueError as exc:
            raise errors.ProtocolError(
                f'unknown verdict {frame.verdict}'
            ) from exc
        if frame.error:
            self.ended = True
            self.verdict = verdict
            code = 'deadline' if frame.error == 'deadline' else 'server_failed'
            raise errors.RefusalError(code, frame.error, verdict)
        if not self._has_head or frame.length > self.offset:
            raise errors.ProtocolError(
                f'response ends at {frame.length} bytes, '
                f'{self.offset} bytes received, '
                f'head received: {self._has_head}'
            )
        if frame.length < self.offset:
            self.ended = True
            raise errors.RefusalError(
                'server_failed',
                'the answer is too long',
                self.verdict,
            )
        self.ended = True
        self.verdict = verdicts.Verdict.RAN
        return frame

    def _handle_bad_frame(self, frame: links.MalformedFrame) -> None:
        raise errors.ProtocolError(frame.reason)

    _FRAME_HANDLERS = {
        messages.Refused: _handle_refused,
        messages.Head: _handle_head,
        messages.Data: _handle_data,
        messages.End: _handle_end,
        links.MalformedFrame: _handle_bad_frame,
    }

    async def resolve(self, deadline: float) -> None:
        """Asks the agent for the state of the attempt and re-attaches to it.

        Args:
            deadline: Monotonic deadline of the call in seconds.

        Raises:
            RefusalError: With verdict NOT_RUN if the attempt has not run and
                never will, MAY_HAVE_RUN if that is unknown.
        """
        self._idle_resolves += 1
        until = min(deadline, clock.make_deadline(self.resolve_timeout))
        while self._idle_resolves <= MAX_IDLE_RESOLVES:
            if clock.has_passed(until):
                break
            if not self.peer.connected:
                await self._wait_for_change(until)
                continue
            frame = await self._request_state(until)
            if frame is not None:
                self._handle_resolved(frame)
                return
        code = 'deadline' if clock.has_passed(deadline) else 'server_failed'
        raise errors.RefusalError(
            code, f'{self.peer.name} does not answer', self.verdict
        )

    async def _request_state(self, until: float) -> messages.Resolved | None:
        """Sends one Resolve; returns the reply, None if there is none."""
        self._frames.clear()
        self._epoch = self.peer.epoch
        # Another gateway may have sent the attempt, so whether it has run is
        # unknown until the agent replies.
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.peer.send(
            messages.Resolve(self.id, self.incarnation, self.offset)
        )
        until = min(until, clock.make_deadline(RESOLVE_REPLY_TIMEOUT_SECONDS))
        while not (self._is_link_lost() or clock.has_passed(until)):
            while self._frames:
                frame = self._frames.popleft()
                if isinstance(frame, messages.Resolved):
                    return frame
            await self._wait_for_change(until)
        return None

    def _handle_resolved(self, frame: messages.Resolved) -> None:
        self._silence_deadline = clock.make_deadline(STALL_TIMEOUT_SECONDS)
        self._has_agent_replied = True
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
