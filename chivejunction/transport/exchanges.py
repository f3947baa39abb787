"""Control exchange between the system's processes over pynng REQ/REP.

Messages are maps with ``kind``, ``sender``, ``incarnation``, ``sequence``
and ``body``. They are idempotent, so a repeated one does no harm.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pynng

from chivejunction import errors
from chivejunction.protocol import codecs

CONTEXTS = 8
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

Handler = Callable[[dict], Awaitable[dict]]


class ExchangeServer:
    """Answers requests of peers.

    Args:
        address: Address to listen on, ``tcp://ip:port``.
        handler: Returns the answer to a message.
        codec: Codec of the messages.
    """

    def __init__(self, address: str, handler: Handler, codec: codecs.Codec):
        self._handler = handler
        self._codec = codec
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(address)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def run(self) -> None:
        """Answers requests until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(CONTEXTS):
                group.start_soon(self._serve_context)

    async def _serve_context(self) -> None:
        context = self._socket.new_context()
        while True:
            data = await context.arecv()
            try:
                answer = await self._handler(self._codec.decode(data))
            except (errors.Error, KeyError, TypeError, ValueError) as exc:
                answer = {'error': f'{type(exc).__name__}: {exc}'}
            try:
                await context.asend(self._codec.encode(answer))
            except pynng.NNGException:
                # The peer has gone; its next request opens a new exchange.
                continue


class Exchange:
    """Sends requests to one peer, one at a time.

    Args:
        address: Address of the peer, ``tcp://ip:port``.
        sender: Name of this process.
        incarnation: Incarnation of this process.
        codec: Codec of the messages.
    """

    def __init__(
        self,
        address: str,
        sender: str,
        incarnation: str,
        codec: codecs.Codec,
    ):
        self.address = address
        self._sender = sender
        self._incarnation = incarnation
        self._codec = codec
        self._sequence = 0
        self._socket: pynng.Req0 | None = None

    def close(self) -> None:
        """Closes the socket; the next call opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def call(self, kind: str, body: dict, seconds: float) -> dict:
        """Sends a message and returns the answer.

        Args:
            kind: Kind of the message.
            body: Content of the message.
            seconds: Longest time to wait for the answer.

        Raises:
            TransportError: No answer came in time; the socket was closed.
        """
        if self._socket is None:
            self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            self._socket.dial(self.address, block=False)
        self._sequence += 1
        message = {
            'kind': kind,
            'sender': self._sender,
            'incarnation': self._incarnation,
            'sequence': self._sequence,
            'body': body,
        }
        try:
            with anyio.fail_after(seconds):
                await self._socket.asend(self._codec.encode(message))
                answer = self._codec.decode(await self._socket.arecv())
        except (TimeoutError, pynng.NNGException) as exc:
            self.close()
            raise errors.TransportError(
                f'exchange {kind} with {self.address} failed: {exc!r}'
            ) from exc
        except BaseException:
            # A cancelled call leaves its answer in the socket; a new socket
            # keeps it from being taken for the answer to the next call.
            self.close()
            raise
        if 'error' in answer:
            raise errors.TransportError(
                f'{self.address} refused {kind}: {answer["error"]}'
            )
        return answer
