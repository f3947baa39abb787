"""Control exchange between the system's processes over pynng REQ/REP.

Messages are maps with ``kind``, ``sender``, ``incarnation``, ``sequence``
and ``body``. They are idempotent, so a message may be delivered repeatedly.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
from anyio import lowlevel
import pynng

from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.protocol import codecs
from chivejunction.transport import traffic

# A request whose response is delayed occupies its context. New contexts are
# opened while fewer than this many are free.
MIN_FREE_CONTEXTS = 8
MAX_CONTEXTS = 1024
RECEIVE_RETRY_DELAY_SECONDS = 0.1
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

Handler = Callable[[dict], Awaitable[dict]]


async def wait_operation(operation: Awaitable):
    """Returns the result of a pynng operation.

    pynng raises a bare asyncio.CancelledError both for an operation aborted
    by nng and for one in a cancelled scope. anyio does not recognise the
    former, so the task would end without an error.

    Args:
        operation: Coroutine of the pynng operation.

    Raises:
        TransportError: nng aborted the operation.
    """
    try:
        return await operation
    except anyio.get_cancelled_exc_class() as exc:
        # Raises anyio's own exception if a scope of this task is cancelled.
        await lowlevel.checkpoint()
        raise errors.TransportError('nng aborted the operation') from exc


class ExchangeServer:
    """Serves requests of peers.

    Args:
        address: Address to listen on, ``tcp://ip:port``.
        handler: Returns the response to a message.
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
        """Serves requests until cancelled."""
        self._free_context_count = 0
        self._context_count = 0
        async with anyio.create_task_group() as group:
            self._open_contexts(group)
            await anyio.sleep_forever()

    def _open_contexts(self, group: abc.TaskGroup) -> None:
        while (
            self._free_context_count < MIN_FREE_CONTEXTS
            and self._context_count < MAX_CONTEXTS
        ):
            self._free_context_count += 1
            self._context_count += 1
            group.start_soon(self._serve_context, group)

    async def _serve_context(self, group: abc.TaskGroup) -> None:
        with self._socket.new_context() as context:
            await self._answer_requests(group, context)

    async def _answer_requests(self, group, context: pynng.Context) -> None:
        while True:
            try:
                data = await wait_operation(context.arecv())
            except errors.TransportError as exc:
                logs.LOG.warning(
                    'receiving an exchange request failed: %s', exc
                )
                await anyio.sleep(RECEIVE_RETRY_DELAY_SECONDS)
                continue
            self._free_context_count -= 1
            self._open_contexts(group)
            try:
                response = await self._handler(self._codec.decode(data))
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
                response = {'error': str(exc)}
            except (errors.Error, KeyError, TypeError, ValueError) as exc:
                response = {'error': f'{type(exc).__name__}: {exc}'}
            except Exception as exc:
                containment.record_error('exchange', exc)
                response = {'error': f'{type(exc).__name__}: {exc}'}
            finally:
                self._free_context_count += 1
            encoded = self._encode(response)
            traffic.CONTROL.count('answer', len(encoded), len(data))
            try:
                await wait_operation(context.asend(encoded))
            except (pynng.NNGException, errors.TransportError):
                # The peer disconnected and reconnects for its next request.
                continue

    def _encode(self, response: dict) -> bytes:
        try:
            return self._codec.encode(response)
        except Exception as exc:
            containment.record_error('exchange', exc)
            return self._codec.encode({'error': 'response not encodable'})


class ExchangeClient:
    """Sends requests to one peer; several may be in progress at a time.

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
        """Closes the socket; the next call opens a new one.

        Calls in progress fail with a TransportError.
        """
        if self._socket is not None:
            # Closing the socket first would leave the contexts half closed.
            for context in self._contexts:
                context.close()
            self._contexts.clear()
            self._socket.close()
            self._socket = None

    async def call(self, kind: str, body: dict, seconds: float) -> dict:
        """Sends a message and returns the response.

        Args:
            kind: Kind of the message.
            body: Content of the message.
            seconds: Time limit for the response.

        Raises:
            TransportError: No response was received in time, and the socket
                was closed, or the peer responded with an error or something
                that is no response.
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
        # With a context for each call, a late response to a cancelled call is
        # dropped when its context is closed.
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
        return self._decode_response(kind, data)

    def _decode_response(self, kind: str, data: bytes) -> dict:
        try:
            response = self._codec.decode(data)
        except errors.CodecError as exc:
            raise errors.TransportError(
                f'malformed response of {self.address} to {kind}: {exc}'
            ) from exc
        if not isinstance(response, dict):
            raise errors.TransportError(
                f'response of {self.address} to {kind} is no map'
            )
        if 'error' in response:
            error = response['error']
            reason = error if isinstance(error, str) else 'no reason given'
            raise errors.TransportError(
                f'{self.address} refused {kind}: {reason}'
            )
        return response

    def _open_socket(self) -> pynng.Req0:
        if self._socket is None:
            socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            try:
                socket.dial(self.address, block=False)
            except pynng.NNGException as exc:
                socket.close()
                raise errors.TransportError(
                    f'dialing {self.address!r} failed: {exc!r}'
                ) from exc
            self._socket = socket
        return self._socket
