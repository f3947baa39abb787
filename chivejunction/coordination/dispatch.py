"""Attempts at the gateway: send, wait, resolve, re-attach, retry."""

import collections
from collections.abc import AsyncIterator
import uuid

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import peers
from chivejunction.coordination import selection
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import calls
from chivejunction.state import views

# Bytes after which the gateway tells the agent how far it has relayed.
CREDIT_STEP_BYTES = 128 * 1024
RESOLVE_SECONDS = 6.0
MAX_ATTEMPTS = 4
Event = messages.Head | messages.Data | messages.End


class AttemptStream:
    """Frames of one attempt as the gateway receives them.

    Args:
        peer: Link to the agent.
        attempt_id: Id of the attempt.
    """

    def __init__(self, peer: peers.AgentPeer, attempt_id: str):
        self.peer = peer
        self.id = attempt_id
        self.incarnation = peer.server.incarnation
        self.offset = 0
        self.head_seen = False
        self._credited = 0
        self._frames: collections.deque = collections.deque()
        self._wake = anyio.Event()
        peer.add_handler(attempt_id, self._receive)

    def close(self) -> None:
        """Stops receiving."""
        self.peer.remove_handler(self.id)

    def _receive(self, frame: messages.Frame) -> None:
        self._frames.append(frame)
        self._wake.set()

    async def next_frame(self) -> messages.Frame | None:
        """Returns the next frame, or None when the link is down."""
        while not self._frames:
            if not self.peer.connected:
                return None
            self._wake = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_link, group.cancel_scope)
                await self._wake.wait()
                group.cancel_scope.cancel()
        return self._frames.popleft()

    async def _watch_link(self, scope: anyio.CancelScope) -> None:
        await self.peer.wait_link_change()
        scope.cancel()

    def accept_data(self, frame: messages.Data) -> bytes:
        """Returns the new bytes of a frame, empty for a repeated one.

        Raises:
            ProtocolError: Bytes are missing before the frame.
        """
        if frame.offset > self.offset:
            raise errors.ProtocolError(
                f'{self.id}: {frame.offset} follows {self.offset}'
            )
        payload = frame.payload[self.offset - frame.offset :]
        self.offset += len(payload)
        if self.offset - self._credited >= CREDIT_STEP_BYTES:
            self._credited = self.offset
            self.peer.send(messages.Credit(self.id, self.offset))
        return payload

    async def resolve(self, deadline: float) -> bool:
        """Asks over a new link what became of the attempt.

        Args:
            deadline: Monotonic time until which an answer is useful.

        Returns:
            Whether frames of the answer follow.

        Raises:
            RefusalError: With verdict NOT_RUN when the attempt has not run
                and never will, MAY_HAVE_RUN when nobody knows.
        """
        until = min(deadline, clock.make_deadline(RESOLVE_SECONDS))
        with anyio.move_on_after(clock.remaining(until)):
            while True:
                while not self.peer.connected:
                    await self.peer.wait_link_change()
                self._frames.clear()
                self.peer.send(
                    messages.Resolve(self.id, self.incarnation, self.offset)
                )
                frame = await self.next_frame()
                while frame is not None and not isinstance(
                    frame, messages.Resolved
                ):
                    frame = await self.next_frame()
                if frame is not None:
                    return self._judge(frame)
        raise errors.RefusalError(
            'server_failed',
            f'{self.peer.name} does not answer',
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _judge(self, frame: messages.Resolved) -> bool:
        if frame.state in ('refused', 'blocked'):
            raise errors.RefusalError('no_server', 'the attempt has not run')
        if frame.state == 'unknown' or frame.offset < self.offset:
            raise errors.RefusalError(
                'server_failed',
                f'{self.peer.name} has restarted',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        return True


class Dispatcher:
    """Runs calls on backend servers.

    Args:
        selector: Chooses servers.
        agent_peers: Links by host.
        view: Configuration of the gateway.
    """

    def __init__(
        self,
        selector: selection.Selector,
        agent_peers: dict[str, peers.AgentPeer],
        view: views.ConfigView,
    ):
        self._selector = selector
        self._peers = agent_peers
        self._view = view

    async def run(
        self, call: calls.Call, pool: str, version: str = ''
    ) -> AsyncIterator[Event]:
        """Yields the answer of a call: a head, data and an end.

        Args:
            call: The call.
            pool: Pool to run on.
            version: Model version to run, empty for a plain service.

        Raises:
            RefusalError: The call failed; the verdict says whether it may
                have run. After data was yielded the answer is incomplete.
        """
        excluded: set[str] = set()
        refusal = None
        for _ in range(MAX_ATTEMPTS):
            server = self._selector.choose(
                pool,
                version,
                call.session or call.affinity,
                frozenset(excluded),
            )
            if server is None or clock.has_passed(call.deadline):
                break
            excluded.add(server.host)
            logs.log_decision(
                'server',
                request=call.id,
                organisation=call.organisation,
                pool=pool,
                version=version,
                choice=server.host,
                revision=self._view.revision,
                **self._selector.describe_decision(),
            )
            started = False
            outcome = self._selector.begin()
            try:
                async for event in self._run_attempt(
                    call, pool, version, self._peers[server.host]
                ):
                    started = True
                    outcome.see(event, call.stream)
                    yield event
                return
            except errors.RefusalError as exc:
                refusal = exc
                outcome.fail(exc.code, exc.verdict is verdicts.Verdict.NOT_RUN)
                if started or not exc.verdict.allows_retry(call.idempotent):
                    raise
            finally:
                self._selector.record(server.host, outcome)
        if clock.has_passed(call.deadline):
            raise errors.RefusalError('deadline', 'the deadline has passed')
        raise refusal or errors.RefusalError(
            'no_server', f'no server of {pool} takes the request'
        )

    async def _run_attempt(
        self,
        call: calls.Call,
        pool: str,
        version: str,
        peer: peers.AgentPeer,
    ) -> AsyncIterator[Event]:
        stream = AttemptStream(peer, uuid.uuid4().hex)
        ended = False
        try:
            self._send_start(call, pool, version, stream)
            while not ended:
                frame = await self._next_frame(stream, call)
                if isinstance(frame, messages.Refused):
                    ended = True
                    raise errors.RefusalError(
                        frame.error,
                        frame.detail,
                        retry_after=frame.retry_after_ms / 1000 or None,
                    )
                if isinstance(frame, messages.End):
                    ended = True
                    self._check_end(stream, frame)
                    yield frame
                elif isinstance(frame, messages.Head):
                    if not stream.head_seen:
                        stream.head_seen = True
                        yield frame
                elif isinstance(frame, messages.Data):
                    payload = stream.accept_data(frame)
                    if payload:
                        yield messages.Data(
                            stream.id,
                            stream.offset - len(payload),
                            payload,
                        )
        finally:
            stream.close()
            if not ended and peer.connected:
                peer.send(messages.Cancel(stream.id))

    def _send_start(self, call, pool, version, stream) -> None:
        try:
            stream.peer.send(
                messages.Start(
                    attempt=stream.id,
                    request=call.id,
                    organisation=call.organisation,
                    target=pool,
                    version=version,
                    session=call.session,
                    idempotent=call.idempotent,
                    budget_ms=int(1000 * clock.remaining(call.deadline)),
                    revision=self._view.revision,
                    priority=call.priority,
                    method=call.method,
                    path=call.path,
                    headers=call.headers,
                    body=call.body,
                )
            )
        except errors.LinkClosed as exc:
            raise errors.RefusalError('no_server', str(exc)) from exc

    async def _next_frame(
        self, stream: AttemptStream, call: calls.Call
    ) -> messages.Frame:
        while True:
            try:
                with anyio.fail_after(clock.remaining(call.deadline)):
                    frame = await stream.next_frame()
            except TimeoutError as exc:
                raise errors.RefusalError(
                    'deadline',
                    'no whole answer before the deadline',
                    verdicts.Verdict.MAY_HAVE_RUN,
                ) from exc
            if frame is not None:
                return frame
            await stream.resolve(call.deadline)

    @staticmethod
    def _check_end(stream: AttemptStream, frame: messages.End) -> None:
        if frame.error or frame.length != stream.offset:
            raise errors.RefusalError(
                'server_failed',
                frame.error or 'the answer is incomplete',
                verdicts.Verdict(frame.verdict),
            )
