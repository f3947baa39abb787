"""Data links between gateways and agents, with heartbeats and redialling."""

import collections
from collections.abc import Callable
import math
import time

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.state import servers
from chivejunction.transport import links

HEARTBEAT_INTERVAL_SECONDS = 1.0
# A link without a message for this long is dead, even if its TCP connection is
# still open.
LINK_TIMEOUT_SECONDS = 2.5
REDIAL_DELAY_SECONDS = 0.2

# Called with each frame of an attempt, and with None when the link changes.
FrameHandler = Callable[[messages.Frame | None], None]


async def wait_until_closed(sender: links.Sender, until: float) -> None:
    """Waits until a link is closed.

    Args:
        sender: Sending side of the link.
        until: Monotonic deadline in seconds after which it returns anyway.
    """
    with anyio.move_on_after(clock.remaining(until)):
        await sender.closed_event.wait()


class AgentPeer:
    """A gateway's link to one agent, redialled when it fails.

    Args:
        gateway: Name of the gateway.
        incarnation: Incarnation of the gateway.
        reply_address: Address on which the gateway receives.
        server: Entry of the server table, updated from messages of the agent.
        address: Data address of the agent.
        codec: Codec of the batches.
        get_revision: Returns the configuration revision that the gateway has
            applied.
        on_welcome: Called when the agent has accepted a link.
        on_heartbeat: Called with each heartbeat of the agent.
        on_usage: Called with each usage record and handover.

    Attributes:
        revision: Configuration revision in the agent's latest heartbeat.
    """

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        reply_address: str,
        server: servers.Server,
        address: str,
        codec: codecs.Codec,
        get_revision: Callable[[], int],
        on_welcome: Callable[['AgentPeer', messages.Welcome], None],
        on_heartbeat: Callable[['AgentPeer', messages.Heartbeat], None],
        on_usage: Callable[['AgentPeer', messages.Frame], None],
    ):
        self.server = server
        self.address = address
        self.revision = 0
        self._gateway = gateway
        self._incarnation = incarnation
        self._reply_address = reply_address
        self._codec = codec
        self._get_revision = get_revision
        self._on_welcome = on_welcome
        self._on_heartbeat = on_heartbeat
        self._on_usage = on_usage
        # A restarted gateway must use higher epochs than before, so they
        # start at the time in milliseconds.
        self._epoch = time.time_ns() // 1_000_000
        self._sequence = 0
        self._sender: links.Sender | None = None
        self._receive_deadline = 0.0
        self._handlers: dict[str, list[FrameHandler]] = {}
        self._has_gap = False
        # Numbers of the batches in which heartbeats were sent, each with the
        # deadline by which the agent must confirm it. They detect a link that
        # has failed in the sending direction only.
        self._unconfirmed_heartbeats: collections.deque = collections.deque()

    @property
    def name(self) -> str:
        """Name of the agent's host."""
        return self.server.host

    @property
    def connected(self) -> bool:
        """Whether the link works."""
        return (
            self.server.connected
            and self._sender is not None
            and not self._sender.closed
        )

    @property
    def epoch(self) -> int:
        """Number of the current link, higher for each later one."""
        return self._epoch

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame for the agent.

        Args:
            frame: The frame.

        Raises:
            LinkClosed: There is no working link.
        """
        if not self.connected:
            raise errors.LinkClosed(f'no link to {self.name}')
        self._sender.send(frame)

    def add_handler(self, attempt: str, handler: FrameHandler) -> None:
        """Passes the frames of an attempt to a handler from now on.

        An attempt may have several handlers: a repeated call with the same
        idempotency key attaches to the attempt of the first call.

        Args:
            attempt: Id of the attempt.
            handler: Called with each frame, and with None when the link comes
                up or goes down.
        """
        self._handlers.setdefault(attempt, []).append(handler)
        self.server.in_flight = len(self._handlers)

    def remove_handler(self, attempt: str, handler: FrameHandler) -> None:
        """Stops passing the frames of an attempt to a handler."""
        handlers = self._handlers.get(attempt, [])
        if handler in handlers:
            handlers.remove(handler)
        if not handlers:
            self._handlers.pop(attempt, None)
        self.server.in_flight = len(self._handlers)

    def receive(
        self, epoch: int, sequence: int, frames: list[messages.Frame]
    ) -> None:
        """Handles a batch of the agent.

        Batches of another epoch are dropped. A gap in the sequence closes the
        link.

        Args:
            epoch: Epoch of the link on which the batch was sent.
            sequence: Number of the batch within its epoch, starting at 1.
            frames: Decoded frames.
        """
        if epoch != self._epoch or self._sender is None:
            return
        if self._has_gap:
            return
        if sequence != self._sequence + 1:
            logs.LOG.warning(
                'batch %d from %s after batch %d; closing the link',
                sequence,
                self.name,
                self._sequence,
            )
            # Later batches of this epoch are dropped, as frames are missing.
            self._has_gap = True
            self._set_connected(False)
            self._sender.close()
            return
        self._sequence = sequence
        self._receive_deadline = clock.make_deadline(LINK_TIMEOUT_SECONDS)
        for frame in frames:
            try:
                self._handle_frame(frame)
            except errors.MALFORMED_DOCUMENT_ERRORS as exc:
                # The maps inside frames have no schema. An invalid one must
                # not end the receiver, which serves all links.
                logs.LOG.warning(
                    'invalid %s from %s: %r',
                    type(frame).__name__,
                    self.name,
                    exc,
                )

    def _handle_frame(self, frame: messages.Frame) -> None:
        if isinstance(frame, messages.Heartbeat):
            self.revision = frame.revision
            confirmed_batch = frame.load.get('k', 0)
            while (
                self._unconfirmed_heartbeats
                and self._unconfirmed_heartbeats[0][0] <= confirmed_batch
            ):
                self._unconfirmed_heartbeats.popleft()
            self.server.apply_load(frame.load)
            self._on_heartbeat(self, frame)
        elif isinstance(frame, messages.Welcome):
            self._accept_welcome(frame)
        elif isinstance(frame, messages.USAGE_FRAMES):
            self._on_usage(self, frame)
        else:
            attempt = getattr(frame, 'attempt', '')
            for handler in list(self._handlers.get(attempt, ())):
                handler(frame)

    def _accept_welcome(self, frame: messages.Welcome) -> None:
        self.server.incarnation = frame.incarnation
        self.server.versions = frozenset(frame.info.get('versions', ()))
        self._on_welcome(self, frame)
        self._set_connected(True)

    def _set_connected(self, connected: bool) -> None:
        if self.server.connected != connected:
            self.server.connected = connected
            for handlers in list(self._handlers.values()):
                for handler in list(handlers):
                    handler(None)

    async def run(self) -> None:
        """Keeps a link open until cancelled."""
        while True:
            try:
                await self._run_link()
            finally:
                self._set_connected(False)
                if self._sender is not None:
                    self._sender.close()
                    self._sender = None
            await anyio.sleep(clock.jitter(REDIAL_DELAY_SECONDS))

    async def _run_link(self) -> None:
        self._epoch += 1
        self._sequence = 0
        self._has_gap = False
        self._unconfirmed_heartbeats.clear()
        self._receive_deadline = clock.make_deadline(LINK_TIMEOUT_SECONDS)
        sender = links.Sender(
            self.address,
            self._gateway,
            self._epoch,
            self._codec,
            close_on_disconnect=True,
        )
        self._sender = sender
        sender.send(
            messages.Hello(
                self._gateway,
                self._incarnation,
                self._epoch,
                self._reply_address,
            )
        )
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run)
            next_heartbeat = clock.make_deadline(HEARTBEAT_INTERVAL_SECONDS)
            while not (self._has_failed() or sender.closed):
                if clock.has_passed(next_heartbeat):
                    next_heartbeat = clock.make_deadline(
                        HEARTBEAT_INTERVAL_SECONDS
                    )
                    self._send_heartbeat(sender)
                await wait_until_closed(
                    sender, min(next_heartbeat, self._link_deadline)
                )
            logs.LOG.info('link to %s timed out or was closed', self.name)
            group.cancel_scope.cancel()

    @property
    def _link_deadline(self) -> float:
        oldest = (
            self._unconfirmed_heartbeats[0][1]
            if self._unconfirmed_heartbeats
            else math.inf
        )
        return min(self._receive_deadline, oldest)

    def _has_failed(self) -> bool:
        return self._has_gap or clock.has_passed(self._link_deadline)

    def _send_heartbeat(self, sender: links.Sender) -> None:
        self._unconfirmed_heartbeats.append(
            (
                sender.sequence + 1,
                # Long enough for two heartbeats of the agent, each of which
                # would confirm it.
                clock.make_deadline(LINK_TIMEOUT_SECONDS),
            )
        )
        sender.send(messages.Heartbeat(self._get_revision(), {}))


class GatewayPeer:
    """An agent's side of the link to one gateway.

    Args:
        agent: Name of the agent's host.
        incarnation: Incarnation of the agent.
        hello: Message that opened the link.
        codec: Codec of the batches.

    Attributes:
        gateway: Name of the gateway.
        incarnation: Incarnation of the gateway.
        epoch: Number of the link, chosen by the gateway.
        revision: Configuration revision in the gateway's latest heartbeat.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        hello: messages.Hello,
        codec: codecs.Codec,
    ):
        self.gateway = hello.gateway
        self.incarnation = hello.incarnation
        self.epoch = hello.epoch
        self.revision = 0
        self._sequence = 0
        self._receive_deadline = clock.make_deadline(LINK_TIMEOUT_SECONDS)
        self._agent = agent
        self._agent_incarnation = incarnation
        self._sender = links.Sender(
            hello.reply_address, agent, hello.epoch, codec
        )

    @property
    def closed(self) -> bool:
        """Whether the link is closed."""
        return self._sender.closed

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame for the gateway; drops it if the link is closed."""
        if not self._sender.closed:
            self._sender.send(frame)

    def accept_batch(self, sequence: int) -> bool:
        """Records the arrival of a batch; closes the link after a gap.

        Args:
            sequence: Number of the batch within its epoch, starting at 1.

        Returns:
            Whether the batch follows the previous one and is to be handled.
        """
        if sequence != self._sequence + 1:
            logs.LOG.warning(
                'batch %d of gateway %s follows batch %d, link %d is closed',
                sequence,
                self.gateway,
                self._sequence,
                self.epoch,
            )
            self.close()
            return False
        self._sequence = sequence
        self._receive_deadline = clock.make_deadline(LINK_TIMEOUT_SECONDS)
        return True

    def close(self) -> None:
        """Closes the link; queued frames are dropped."""
        self._sender.close()

    async def run(
        self,
        get_info: Callable[[], dict],
        get_heartbeat: Callable[[], messages.Heartbeat],
    ) -> None:
        """Sends heartbeats until the link times out or is closed.

        Args:
            get_info: Returns the description of the server for the Welcome.
            get_heartbeat: Returns the next heartbeat.
        """
        self.send(
            messages.Welcome(
                self._agent, self._agent_incarnation, self.epoch, get_info()
            )
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._sender.run)
            next_heartbeat = clock.now()
            while not (
                clock.has_passed(self._receive_deadline) or self.closed
            ):
                if clock.has_passed(next_heartbeat):
                    next_heartbeat = clock.make_deadline(
                        HEARTBEAT_INTERVAL_SECONDS
                    )
                    heartbeat = get_heartbeat()
                    heartbeat.load = {**heartbeat.load, 'k': self._sequence}
                    self.send(heartbeat)
                await wait_until_closed(
                    self._sender, min(next_heartbeat, self._receive_deadline)
                )
            self.close()
            group.cancel_scope.cancel()
