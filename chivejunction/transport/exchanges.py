"""Control exchange between the system's processes over pynng REQ/REP.

Messages are maps with ``kind``, ``sender``, ``incarnation``, ``sequence``
and ``body``. They are idempotent, so a repeated one does no harm.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
from anyio import lowlevel
import pynng

from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.protocol import codecs
from chivejunction.transport import traffic

# A request that is held back keeps its context busy. New contexts are
# opened while fewer than this many are free.
FREE_CONTEXTS = 8
MAX_CONTEXTS = 1024
REOPEN_SECONDS = 0.1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

Handler = Callable[[dict], Awaitable[dict]]


async def wait_operation(operation: Awaitable):
    """Returns the result of a pynng operation.

    pynng ends an operation that nng has given up, and one in a cancelled
    scope, with the same bare asyncio.CancelledError. anyio does not know it:
    the task would end without a word.

    Raises:
        TransportError: nng has given the operation up.
    """
    try:
        return await operation
    except anyio.get_cancelled_exc_class() as exc:
        # Raises anyio's own exception if a scope of this task is cancelled.
        await lowlevel.checkpoint()
        raise errors.TransportError('nng gave the operation up') from exc


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
        self._free = 0
        self._opened = 0
        async with anyio.create_task_group() as group:
            self._open_contexts(group)
            await anyio.sleep_forever()

    def _open_contexts(self, group: abc.TaskGroup) -> None:
        while self._free < FREE_CONTEXTS and self._opened < MAX_CONTEXTS:
            self._free += 1
            self._opened += 1
            group.start_soon(self._serve_context, group)

    async def _serve_context(self, group: abc.TaskGroup) -> None:
        with self._socket.new_context() as context:
            await self._answer_requests(group, context)

    async def _answer_requests(self, group, context: pynng.Context) -> None:
        while True:
            try:
                data = await wait_operation(context.arecv())
            except errors.TransportError as exc:
                logs.LOG.warning('exchange: %s', exc)
                await anyio.sleep(REOPEN_SECONDS)
                continue
            self._free -= 1
            self._open_contexts(group)
            try:
                answer = await self._handler(self._codec.decode(data))
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
                answer = {'error': str(exc)}
            except (errors.Error, KeyError, TypeError, ValueError) as exc:
                answer = {'error': f'{type(exc).__name__}: {exc}'}
            finally:
                self._free += 1
            encoded = self._codec.encode(answer)
            traffic.CONTROL.count('answer', len(encoded), len(data))
            try:
                await wait_operation(context.asend(encoded))
            except (pynng.NNGException, errors.TransportError):
                # The peer has gone; its next request opens a new exchange.
                continue


class Exchange:
    """Sends requests to one peer; several may wait for answers at a time.

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
        self._contexts: set[pynng.Context] = set()

    def close(self) -> None:
        """Closes the socket; the next call opens a new one."""
        if self._socket is not None:
            # Before the socket, which would leave them half closed.
            for context in self._contexts:
                context.close()
            self._contexts.clear()
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
        self._sequence += 1
        message = {
            'kind': kind,
            'sender': self._sender,
            'incarnation': self._incarnation,
            'sequence': self._sequence,
            'body': body,
        }
        encoded = self._codec.encode(message)
        socket = self._open_socket()
        # The context of a cancelled call takes its late answer along.
        context = socket.new_context()
        self._contexts.add(context)
        try:
            with anyio.fail_after(seconds):
                await wait_operation(context.asend(encoded))
                data = await wait_operation(context.arecv())
        except (
            TimeoutError,
            pynng.NNGException,
            errors.TransportError,
        ) as exc:
            if socket is self._socket:
                self.close()
            raise errors.TransportError(
                f'exchange {kind} with {self.address} failed: {exc!r}'
            ) from exc
        finally:
            if context in self._contexts:
                self._contexts.discard(context)
                context.close()
        traffic.CONTROL.count('exchange', len(encoded), len(data))
        answer = self._codec.decode(data)
        if 'error' in answer:
            raise errors.TransportError(
                f'{self.address} refused {kind}: {answer["error"]}'
            )
        return answer

    def _open_socket(self) -> pynng.Req0:
        if self._socket is None:
            self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            self._socket.dial(self.address, block=False)
        return self._socket
