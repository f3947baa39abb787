"""HTTP/1.1 connections to backend servers, using h11 on anyio streams.

httpcore does not expose which connection a request uses, extra bytes after a
response, or whether a response ended with a close or a reset. All three are
needed to decide whether a request may have run.
"""

from collections.abc import Callable
import contextlib
import errno

import anyio
from anyio import abc
from anyio import lowlevel
import h11

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import metrics
from chivejunction.protocol import forwarding
from chivejunction.transport import pieces
from chivejunction.transport import sockets

READ_BYTES = 65536
# Longer bodies are sent in parts of this size, as the stream copies each.
WRITE_BYTES = 65536
# Time limit for opening a connection: several round trips between regions.
CONNECT_TIMEOUT_SECONDS = 0.8
# Idle timeout if the server does not send one.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Limits on what a server may send. A server in trouble may send bytes without
# end; the connection is closed at these.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 8
MAX_SKIPPED_RESPONSES = 4
# Part of the server's idle timeout during which a connection is reused.
IDLE_TIMEOUT_SHARE = 0.8
CONNECTIONS_OPENED = metrics.make_counter(
    'backend_connections_opened', 'Connections opened to backend servers.'
)


class NoDescriptorError(errors.TransportError):
    """This process cannot open a connection, whatever the server."""


def is_descriptor_missing(error: BaseException | None) -> bool:
    """Returns whether an error, or its cause, is a lack of descriptors."""
    while error is not None:
        if getattr(error, 'errno', None) in (errno.EMFILE, errno.ENFILE):
            return True
        error = error.__cause__
    return False


async def is_refused(address: str, port: int) -> bool:
    """Returns whether a host refuses connections to a port.

    A time-out is no refusal: the host or the network may be slow.

    Args:
        address: IP address.
        port: TCP port.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(address, port)
    except TimeoutError:
        return False
    except OSError as exc:
        return isinstance(exc.__cause__ or exc, ConnectionRefusedError)
    with contextlib.suppress(*sockets.DISCONNECT_ERRORS):
        await stream.aclose()
    return False


class BackendConnection:
    """Connection to a backend server that carries one request at a time.

    Args:
        stream: Connected TCP stream.

    Attributes:
        idle_deadline: Monotonic time until which the idle connection may be
            reused.
        released_at: Monotonic time at which it was returned to the pool.
        sent_requests: Number of requests sent on this connection.
        has_framed_body: Whether the latest response has a length or chunks,
            rather than ending with the connection.
    """

    def __init__(self, stream: abc.SocketStream):
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b''
        self._is_sent = True
        self.idle_deadline = 0.0
        self.released_at = 0.0
        self.sent_requests = 0
        self.has_framed_body = False
        self._skipped_responses = 0
        self._pieces = pieces.PieceCounter()
        # Event or error that was read ahead of the data returned last.
        self._read_ahead = None
        self._is_turn_due = False

    async def send(
        self,
        method: str,
        target: str,
        headers: forwarding.Headers,
        body: bytes,
    ) -> None:
        """Sends a request with its complete body.

        Raises:
            TransportError: The connection failed; the server may have
                received any part of the request.
        """
        if body or method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
            headers = [*headers, (b'content-length', b'%d' % len(body))]
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        self._body = body
        self._is_sent = False
        self.sent_requests += 1
        self._skipped_responses = 0
        self._pieces.reset()
        if self._conn.our_state is not h11.IDLE:
            self._conn.start_next_cycle()
        try:
            await self._send_request()
        except sockets.DISCONNECT_ERRORS as exc:
            raise errors.TransportError(f'send failed: {exc!r}') from exc
        self._is_sent = True

    async def _send_request(self) -> None:
        view = memoryview(self._body)
        data = self._conn.send(self._request)
        if view:
            data += self._conn.send(h11.Data(data=view[:WRITE_BYTES]))
        for start in range(WRITE_BYTES, len(view), WRITE_BYTES):
            await self._stream.send(data)
            part = view[start : start + WRITE_BYTES]
            data = self._conn.send(h11.Data(data=part))
        data += self._conn.send(h11.EndOfMessage())
        await self._stream.send(data)

    def _mark_sent(self) -> None:
        """Makes a new parser expect the response to the current request."""
        self._conn.send(self._request)
        if self._body:
            self._conn.send_with_data_passthrough(h11.Data(data=self._body))
        self._conn.send(h11.EndOfMessage())

    def _take_event(self):
        """Returns the next event of the received data, or NEED_DATA."""
        ahead, self._read_ahead = self._read_ahead, None
        if isinstance(ahead, errors.ProtocolError):
            raise ahead
        if ahead is not None:
            return ahead
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise errors.ProtocolError(f'bad answer: {exc}') from exc

    async def _next_event(self):
        if self._is_turn_due:
            # Before an event is taken: a cancelled read loses no data.
            await lowlevel.checkpoint()
            self._is_turn_due = False
        while (event := self._take_event()) is h11.NEED_DATA:
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b''
            except sockets.DISCONNECT_ERRORS as exc:
                raise errors.TransportError(f'reset: {exc!r}') from exc
            try:
                self._conn.receive_data(data)
            except h11.RemoteProtocolError as exc:
                raise errors.ProtocolError(f'bad answer: {exc}') from exc
        return event

    async def read_head(self) -> tuple[int, forwarding.Headers]:
        """Returns the status and headers of the response.

        Raises:
            TransportError: The connection failed.
            ProtocolError: The received data is not an HTTP response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.has_framed_body = any(
                    name in (b'content-length', b'transfer-encoding')
                    for name, _ in event.headers
                )
                return event.status_code, list(event.headers)
            if not isinstance(event, h11.InformationalResponse):
                raise errors.TransportError('closed without an answer')
        raise errors.ProtocolError(
            f'over {MAX_INFORMATIONAL_RESPONSES} informational responses'
        )

    async def read_data(self) -> bytes | None:
        """Returns the next part of the body, or None if it is complete.

        Raises:
            TransportError: The connection failed.
            ProtocolError: The body is malformed, shorter than its declared
                length or in too many pieces.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            return None
        parts = [event.data]
        self._is_turn_due = self._pieces.add(len(event.data))
        while not self._is_turn_due:
            try:
                event = self._take_event()
                if not isinstance(event, h11.Data):
                    if event is not h11.NEED_DATA:
                        self._read_ahead = event
                    break
                parts.append(event.data)
                self._is_turn_due = self._pieces.add(len(event.data))
            except errors.ProtocolError as exc:
                self._read_ahead = exc
                break
        return b''.join(parts)

    def record_progress(self) -> None:
        """Records that the data returned last held a complete event."""
        self._pieces.reset()

    async def read_body(
        self, report: Callable[[int], None] = lambda size: None
    ) -> bytes:
        """Returns the rest of the body.

        Args:
            report: Called with the bytes received so far.

        Raises:
            TransportError: The connection failed.
            ProtocolError: The body is malformed, shorter than its declared
                length, longer than ``MAX_BODY_BYTES`` or in too many pieces.
        """
        chunks, size = [], 0
        while (data := await self.read_data()) is not None:
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise errors.ProtocolError(
                    f'body exceeds {MAX_BODY_BYTES} bytes'
                )
            chunks.append(data)
            report(size)
        return b''.join(chunks)

    async def skip_response(self) -> None:
        """Discards the response to an earlier request.

        Afterwards the response to the current request can be read.

        Raises:
            TransportError: The server closes the connection after the
                discarded response.
            ProtocolError: The response is malformed or too large, or too
                many of them were discarded.
        """
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise errors.ProtocolError(
                f'over {MAX_SKIPPED_RESPONSES} responses to other requests'
            )
        await self.read_body()
        if self._conn.their_state is not h11.DONE:
            raise errors.TransportError('closed after a stray answer')
        trailing_data = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        self._mark_sent()
        if trailing_data:
            self._conn.receive_data(trailing_data)

    def is_reusable(self) -> bool:
        """Returns whether the connection can carry another request."""
        return (
            self._is_sent
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
        )

    def has_no_pending_input(self) -> bool:
        """Returns whether neither data nor a close is waiting to be read."""
        try:
            return not sockets.is_readable(self._stream)
        except (ValueError, *sockets.DISCONNECT_ERRORS):
            # The transport has closed the socket: there is no descriptor.
            return False

    async def close(self) -> None:
        """Closes the connection; the server cancels the request on it."""
        with contextlib.suppress(*sockets.DISCONNECT_ERRORS):
            await self._stream.aclose()


class ConnectionPool:
    """Pool of idle connections to backend servers, by instance."""

    def __init__(self):
        self._idle: dict[str, list[BackendConnection]] = {}
        self._open: dict[str, int] = {}

    def count_open(self, instance: str) -> int:
        """Returns the number of open connections to a server.

        Connections in use and connections being opened are included.
        """
        return self._open.get(instance, 0)

    async def acquire(
        self,
        instance: str,
        address: str,
        port: int,
        max_idle: float,
        deadline: float,
    ) -> BackendConnection:
        """Returns an idle connection, or opens a new one.

        Args:
            instance: Instance id of the server.
            address: IP address.
            port: TCP port.
            max_idle: Longest idle time of a reused connection, in seconds.
            deadline: Monotonic time by which the connection must be open.

        Raises:
            NoDescriptorError: This process has no descriptor left.
            TransportError: No connection could be opened; nothing was
                sent.
        """
        while idle_connections := self._idle.get(instance):
            connection = idle_connections.pop()
            idle = clock.now() - connection.released_at
            if (
                idle <= max_idle
                and not clock.has_passed(connection.idle_deadline)
                and connection.has_no_pending_input()
            ):
                return connection
            await self.discard(instance, connection)
        self._open[instance] = self.count_open(instance) + 1
        try:
            limit = min(CONNECT_TIMEOUT_SECONDS, clock.remaining(deadline))
            with anyio.fail_after(limit):
                stream = await anyio.connect_tcp(address, port)
                sockets.enable_keepalive(sockets.get_socket(stream))
        except Exception as exc:
            # An address that cannot exist raises others than OSError.
            self._count_closed(instance)
            kind = (
                NoDescriptorError
                if is_descriptor_missing(exc)
                else errors.TransportError
            )
            raise kind(
                f'connect to {address}:{port}: {exc!r}', connected=False
            ) from exc
        except BaseException:
            self._count_closed(instance)
            raise
        CONNECTIONS_OPENED.inc()
        return BackendConnection(stream)

    def release(
        self,
        instance: str,
        connection: BackendConnection,
        idle_seconds: float | None,
    ) -> None:
        """Returns a connection to the pool for later requests.

        Args:
            instance: Instance id of the server.
            connection: Connection for which ``is_reusable`` is true.
            idle_seconds: Idle timeout sent by the server, or None.
        """
        seconds = (
            DEFAULT_IDLE_TIMEOUT_SECONDS
            if idle_seconds is None
            else (idle_seconds * IDLE_TIMEOUT_SHARE)
        )
        connection.released_at = clock.now()
        connection.idle_deadline = clock.make_deadline(seconds)
        self._idle.setdefault(instance, []).append(connection)

    async def discard(
        self, instance: str, connection: BackendConnection
    ) -> None:
        """Closes a connection that must not be reused."""
        self._count_closed(instance)
        with containment.contain('backend connection', instance=instance):
            await connection.close()

    async def close_expired(self) -> None:
        """Closes idle connections whose idle deadline has passed."""
        to_close = []
        for instance, idle_connections in list(self._idle.items()):
            expired = [
                c
                for c in idle_connections
                if clock.has_passed(c.idle_deadline)
            ]
            to_close.extend((instance, connection) for connection in expired)
            remaining = [c for c in idle_connections if c not in expired]
            if remaining:
                self._idle[instance] = remaining
            else:
                del self._idle[instance]
        # Closing yields to other tasks, which may change the pool, so the
        # expired connections are removed from it first.
        for instance, connection in to_close:
            await self.discard(instance, connection)

    async def close_instance(self, instance: str) -> None:
        """Closes the idle connections to a server that no longer exists."""
        for connection in self._idle.pop(instance, []):
            await self.discard(instance, connection)

    def _count_closed(self, instance: str) -> None:
        remaining = self.count_open(instance) - 1
        if remaining > 0:
            self._open[instance] = remaining
        else:
            self._open.pop(instance, None)
