"""Data links between processes over pynng PUSH/PULL sockets.

Every process listens on one PULL socket and dials one PUSH socket for each
peer. NNG never sends a message on a PUSH socket twice, and a peer that does
not read blocks only its own sender.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import functools
from typing import ClassVar

import anyio
import pynng

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.transport import exchanges

BATCH_INTERVAL_SECONDS = 0.005
QUEUE_MESSAGES = 256
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Without this limit two request bodies of 4 MiB in one batch would exceed
# MAX_MESSAGE_BYTES, and NNG would close the connection that all streams share.
MAX_BATCH_BYTES = 1024 * 1024
# Size that a frame adds to a batch besides its texts and bytes.
FRAME_OVERHEAD_BYTES = 64
MAX_BATCH_FRAMES = MAX_BATCH_BYTES // FRAME_OVERHEAD_BYTES
# Both codecs encode larger numbers in another way, or not at all.
MAX_NUMBER = 2**63 - 1
MAX_MESSAGES_PER_WAKEUP = 64
SEND_TIMEOUT_MS = 3000


@dataclasses.dataclass(slots=True)
class MalformedFrame(messages.Frame):
    """Placeholder for a malformed frame of an attempt; never sent."""

    code: ClassVar[int] = -1
    field_names: ClassVar[tuple[str, ...]] = ('attempt', 'reason')
    attempt: str
    reason: str


@functools.cache
def list_fields(kind: type[messages.Frame]) -> list[tuple[str, type]]:
    """Returns the name and type of each field of a frame class."""
    return [(field.name, field.type) for field in dataclasses.fields(kind)]


def is_text(value) -> bool:
    """Returns whether a value is a text."""
    return type(value) is str


def is_count(value) -> bool:
    """Returns whether a value is a whole number in the range of frames."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def is_number(value) -> bool:
    """Returns whether a value is a number in the range of frames."""
    return type(value) in (int, float) and 0 <= value <= MAX_NUMBER


def is_text_list(value) -> bool:
    """Returns whether a value is a list of texts."""
    return type(value) is list and all(map(is_text, value))


def is_plain(value) -> bool:
    """Returns whether a value is a text, a number or a list of texts."""
    return (
        is_text(value)
        or is_number(value)
        or type(value) is bool
        or is_text_list(value)
    )


def is_header_map(value: dict) -> bool:
    """Returns whether names and values of a map are texts."""
    return all(is_text(k) and is_text(v) for k, v in value.items())


def is_count_map(value: dict) -> bool:
    """Returns whether a map has whole numbers by name."""
    return all(is_text(k) and is_count(v) for k, v in value.items())


# Fields of the maps of agents; others are ignored.
PLAIN_FIELDS = {
    **dict.fromkeys('kqrtw', is_number),
    **dict.fromkeys('is', is_text),
    'v': is_text_list,
    'versions': is_text_list,
}


def is_plain_map(value: dict) -> bool:
    """Returns whether a map describes a server or its load."""
    return all(
        is_text(k) and PLAIN_FIELDS.get(k, is_plain)(v)
        for k, v in value.items()
    )


def is_record(value) -> bool:
    """Returns whether a value is a list of texts and whole numbers."""
    return type(value) is list and all(
        is_text(v) or is_count(v) for v in value
    )


def is_record_list(value: list) -> bool:
    """Returns whether a list has pairs of a number and a record."""
    return all(
        type(v) is list and len(v) == 2 and is_count(v[0]) and is_record(v[1])
        for v in value
    )


CONTENT_CHECKS = {
    messages.Welcome: ('info', is_plain_map),
    messages.Heartbeat: ('load', is_plain_map),
    messages.Start: ('headers', is_header_map),
    messages.Head: ('headers', is_header_map),
    messages.End: ('usage', is_count_map),
    messages.Usage: ('record', is_record),
    messages.Handover: ('records', is_record_list),
}


def check_frame(frame: messages.Frame) -> None:
    """Checks the types and ranges of the fields of a received frame.

    Raises:
        ProtocolError: A field has a wrong type or content, a number is
            out of range or the payload exceeds ``messages.MAX_DATA_BYTES``.
    """
    for name, kind in list_fields(type(frame)):
        value = getattr(frame, name)
        if type(value) is not kind:
            raise errors.ProtocolError(
                f'{type(frame).__name__}.{name} is a {type(value).__name__}'
            )
        if kind is int and not 0 <= value <= MAX_NUMBER:
            raise errors.ProtocolError(
                f'{type(frame).__name__}.{name} is out of range'
            )
    name, has_valid_content = CONTENT_CHECKS.get(type(frame), ('', None))
    if name and not has_valid_content(getattr(frame, name)):
        raise errors.ProtocolError(
            f'{type(frame).__name__}.{name} has an invalid content'
        )
    size = len(frame.payload) if isinstance(frame, messages.Data) else 0
    if size > messages.MAX_DATA_BYTES:
        raise errors.ProtocolError(f'payload of {size} bytes')


def split_into_batches(frames: list[list]) -> list[list[list]]:
    """Splits packed frames into batches of at most MAX_BATCH_BYTES.

    A single larger frame forms a batch of its own.
    """
    batch_list: list[list[list]] = []
    size = MAX_BATCH_BYTES
    for frame in frames:
        frame_size = FRAME_OVERHEAD_BYTES + sum(
            len(field) for field in frame if isinstance(field, bytes | str)
        )
        if size + frame_size > MAX_BATCH_BYTES:
            batch_list.append([])
            size = 0
        batch_list[-1].append(frame)
        size += frame_size
    return batch_list


class Sender:
    """Sends frames to one peer over one PUSH socket.

    Frames queued within 5 ms are sent as one message. The first frame after
    an idle period is sent at once.

    Args:
        address: Address of the peer's PULL socket, ``tcp://ip:port``.
        name: Name of this process, sent as the sender of each batch.
        epoch: Number of the link, increased for each new one.
        codec: Codec of the batches.
        close_on_disconnect: Whether the link closes when its TCP connection
            is lost. NNG would reconnect by itself, but messages in transit
            are lost, so the side that opens links should open a new one.

    Attributes:
        closed_event: Set when the link closes.
    """

    def __init__(
        self,
        address: str,
        name: str,
        epoch: int,
        codec: codecs.Codec,
        close_on_disconnect: bool = False,
    ):
        self.address = address
        self.name = name
        self.epoch = epoch
        self._codec = codec
        self._frames: list[list] = []
        self._wake_event = anyio.Event()
        self._sequence = 0
        self._closed = False
        self.closed_event = anyio.Event()
        self._socket = pynng.Push0(
            send_buffer_size=QUEUE_MESSAGES, send_timeout=SEND_TIMEOUT_MS
        )
        if close_on_disconnect:
            self._loop = asyncio.get_running_loop()
            self._socket.add_post_pipe_remove_cb(self._handle_disconnect)
        self._socket.dial(address, block=False)

    def _handle_disconnect(self, pipe) -> None:
        """Schedules the close on the event loop; runs in an NNG thread."""
        if not (self._closed or self._loop.is_closed()):
            self._loop.call_soon_threadsafe(self.close)

    @property
    def sequence(self) -> int:
        """Number of the last batch sent."""
        return self._sequence

    @property
    def closed(self) -> bool:
        """Whether the link is closed and accepts no more frames."""
        return self._closed

    def send(self, frame: messages.Frame) -> None:
        """Queues a frame.

        Raises:
            LinkClosed: The link is closed.
        """
        if self._closed:
            raise errors.LinkClosed(f'link to {self.address} is closed')
        self._frames.append(frame.pack())
        self._wake_event.set()

    def close(self) -> None:
        """Closes the socket; queued frames are dropped."""
        if not self._closed:
            self._closed = True
            self.closed_event.set()
            self._wake_event.set()
            self._socket.close()

    async def run(self) -> None:
        """Sends batches until the link is closed."""
        next_send = clock.now()
        while not self._closed:
            await self._wake_event.wait()
            delay = next_send - clock.now()
            if delay > 0:
                await anyio.sleep(delay)
            next_send = clock.now() + BATCH_INTERVAL_SECONDS
            frames, self._frames = self._frames, []
            self._wake_event = anyio.Event()
            for batch in split_into_batches(frames):
                if not self._closed:
                    await self._send_batch(batch)

    async def _send_batch(self, frames: list[list]) -> None:
        self._sequence += 1
        batch = [self.name, self.epoch, self._sequence, frames]
        data = self._codec.encode(batch)
        try:
            try:
                self._socket.send(data, block=False)
            except pynng.TryAgain:
                await exchanges.wait_operation(self._socket.asend(data))
        except (errors.TransportError, pynng.NNGException):
            self.close()


class Receiver:
    """Receives batches of all peers on one PULL socket.

    Args:
        address: Address to listen on, ``tcp://ip:port``.
        codec: Codec of the batches.
        on_error: Called with each ProtocolError; the malformed batch or frame
            is dropped.
    """

    def __init__(
        self,
        address: str,
        codec: codecs.Codec,
        on_error: Callable[[errors.ProtocolError], None],
    ):
        self._codec = codec
        self._on_error = on_error
        self._socket = pynng.Pull0(
            recv_buffer_size=QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._socket.listen(address)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def receive_batches(
        self,
    ) -> AsyncIterator[tuple[str, int, int, list[messages.Frame]]]:
        """Yields the sender, epoch, sequence and frames of each batch."""
        # Waiting for the descriptor and reading without blocking takes a
        # third of the processor time of arecv() for each message.
        descriptor = self._socket.recv_fd
        while True:
            await anyio.wait_readable(descriptor)
            for _ in range(MAX_MESSAGES_PER_WAKEUP):
                try:
                    data = self._socket.recv(block=False)
                except pynng.TryAgain:
                    break
                except RuntimeError as exc:
                    # pynng raises this for an empty message.
                    self._on_error(errors.ProtocolError(str(exc)))
                    continue
                batch = self._decode(data)
                if batch is not None:
                    yield batch

    def _decode(self, data: bytes):
        try:
            sender, epoch, sequence, packed = self._codec.decode(data)
        except errors.ProtocolError as exc:
            self._on_error(exc)
            return None
        except (TypeError, ValueError) as exc:
            self._on_error(errors.ProtocolError(f'malformed batch: {exc}'))
            return None
        if not (
            is_text(sender)
            and is_count(epoch)
            and is_count(sequence)
            and type(packed) is list
            and len(packed) <= MAX_BATCH_FRAMES
        ):
            self._on_error(errors.ProtocolError('malformed batch'))
            return None
        unpacked = [self._unpack(item) for item in packed]
        return sender, epoch, sequence, [f for f in unpacked if f]

    def _unpack(self, packed) -> messages.Frame | None:
        """Returns the frame, or a placeholder if it is malformed.

        The placeholder names the attempt; None is returned if the attempt is
        unknown. The other frames of the batch belong to other streams and
        are kept.
        """
        try:
            frame = messages.unpack_frame(packed)
            check_frame(frame)
        except errors.ProtocolError as exc:
            self._on_error(exc)
            has_attempt = isinstance(packed, list) and len(packed) > 1
            if has_attempt and isinstance(packed[1], str):
                return MalformedFrame(packed[1], str(exc))
            return None
        return frame
