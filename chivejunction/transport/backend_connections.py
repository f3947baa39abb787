"""HTTP/1.1 connections to backend servers, by h11 on anyio streams.

httpcore hides which connection a request uses, extra bytes after an answer
and whether an answer ended by a close or a reset; whether a request may have
run depends on all three.
"""

import contextlib

import anyio
from anyio import abc
import h11

from chivejunction import clock
from chivejunction import errors
from chivejunction import metrics
from chivejunction.protocol import forwarding
from chivejunction.transport import sockets

READ_BYTES = 65536
# Longest wait for a new connection: several round trips between regions.
CONNECT_SECONDS = 0.8
# Idle time of a connection whose server states none.
DEFAULT_IDLE_SECONDS = 4.0
# Part of a server's stated idle time for which a connection is used again.
IDLE_SHARE = 0.8
OPENED = metrics.make_counter(
    'backend_connections_opened', 'Connections opened to backend servers.'
)


class BackendConnection:
    """One connection to a backend server; one request at a time.

    Args:
        stream: Connected TCP stream.
    """

    def __init__(self, stream: abc.SocketStream):
        self._stream = stream
        self._conn = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b''
        self._is_sent = True
        self.idle_until = 0.0
        self.released_at = 0.0

    async def send(
        self,
        method: str,
        target: str,
        headers: forwarding.Headers,
        body: bytes,
    ) -> None:
        """Sends a whole request.

        Raises:
            TransportError: The connection broke; the server may have
                received any part of the request.
        """
        if body or method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
            headers = [*headers, (b'content-length', b'%d' % len(body))]
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        self._body = body
        self._is_sent = False
        if self._conn.our_state is not h11.IDLE:
            self._conn.start_next_cycle()
        data = self._write_request()
        try:
            await self._stream.send(data)
        except sockets.LOST as exc:
            raise errors.TransportError(f'send failed: {exc!r}') from exc
        self._is_sent = True

    def _write_request(self) -> bytes:
        data = self._conn.send(self._request)
        if self._body:
            data += self._conn.send(h11.Data(data=self._body))
        return data + self._conn.send(h11.EndOfMessage())

    async def _next_event(self):
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                try:
                    data = await self._stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    data = b''
                self._conn.receive_data(data)
            except h11.RemoteProtocolError as exc:
                raise errors.ProtocolError(f'bad answer: {exc}') from exc
            except sockets.LOST as exc:
                raise errors.TransportError(f'reset: {exc!r}') from exc

    async def read_head(self) -> tuple[int, forwarding.Headers]:
        """Returns status and headers of the answer.

        Raises:
            TransportError: The connection broke.
            ProtocolError: The bytes are no answer.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event.status_code, list(event.headers)
            if not isinstance(event, h11.InformationalResponse):
                raise errors.TransportError('closed without an answer')

    async def read_data(self) -> bytes | None:
        """Returns the next bytes of the body, None at its proper end.

        Raises:
            TransportError: The connection broke.
            ProtocolError: The body does not follow the protocol, or it is
                shorter than announced.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def skip_answer(self) -> None:
        """Drops an answer to an earlier request and awaits the next one.

        Raises:
            TransportError: The connection ends after that answer.
        """
        while await self.read_data() is not None:
            pass
        if self._conn.their_state is not h11.DONE:
            raise errors.TransportError('closed after a stray answer')
        rest = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        self._write_request()
        if rest:
            self._conn.receive_data(rest)

    def is_reusable(self) -> bool:
        """Tells whether another request may follow the answer just read."""
        return (
            self._is_sent
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
        )

    def is_quiet(self) -> bool:
        """Tells whether neither bytes nor an end wait on the connection."""
        return not sockets.is_readable(self._stream)

    async def close(self) -> None:
        """Closes the connection; a server drops what runs on it."""
        with contextlib.suppress(*sockets.LOST):
            await self._stream.aclose()


class ConnectionPool:
    """Kept connections to backend servers, by instance."""

    def __init__(self):
        self._idle: dict[str, list[BackendConnection]] = {}
        self._open: dict[str, int] = {}

    def count_open(self, instance: str) -> int:
        """Returns the number of connections to a server."""
        return self._open.get(instance, 0)

    async def acquire(
        self,
        instance: str,
        address: str,
        port: int,
        max_idle: float,
        deadline: float,
    ) -> BackendConnection:
        """Returns a kept or a new connection.

        Args:
            instance: Instance id of the server.
            address: IP address.
            port: TCP port.
            max_idle: Seconds that a kept connection may have been idle.
            deadline: Monotonic time by which it must be there.

        Raises:
            TransportError: No connection could be made; nothing was sent.
        """
        while kept := self._idle.get(instance):
            connection = kept.pop()
            idle = clock.now() - connection.released_at
            if (
                idle <= max_idle
                and not clock.has_passed(connection.idle_until)
                and connection.is_quiet()
            ):
                return connection
            await self.discard(instance, connection)
        self._open[instance] = self.count_open(instance) + 1
        try:
            limit = min(CONNECT_SECONDS, clock.remaining(deadline))
            with anyio.fail_after(limit):
                stream = await anyio.connect_tcp(address, port)
                sockets.set_probes(sockets.get_socket(stream))
        except (TimeoutError, OSError) as exc:
            self._count_closed(instance)
            raise errors.TransportError(
                f'connect to {address}:{port}: {exc!r}', connected=False
            ) from exc
        except BaseException:
            self._count_closed(instance)
            raise
        OPENED.inc()
        return BackendConnection(stream)

    def release(
        self,
        instance: str,
        connection: BackendConnection,
        idle_seconds: float | None,
    ) -> None:
        """Keeps a connection for later requests.

        Args:
            instance: Instance id of the server.
            connection: Connection that ``is_reusable``.
            idle_seconds: Idle time that the server stated, or None.
        """
        seconds = (
            DEFAULT_IDLE_SECONDS
            if idle_seconds is None
            else (idle_seconds * IDLE_SHARE)
        )
        connection.released_at = clock.now()
        connection.idle_until = clock.make_deadline(seconds)
        self._idle.setdefault(instance, []).append(connection)

    async def discard(
        self, instance: str, connection: BackendConnection
    ) -> None:
        """Closes a connection that must not be used again."""
        self._count_closed(instance)
        await connection.close()

    async def close_expired(self) -> None:
        """Closes kept connections whose idle time is over."""
        expired = []
        for instance, kept in list(self._idle.items()):
            late = [c for c in kept if clock.has_passed(c.idle_until)]
            expired.extend((instance, connection) for connection in late)
            left = [c for c in kept if c not in late]
            if left:
                self._idle[instance] = left
            else:
                del self._idle[instance]
        # Other tasks use the pool while connections close.
        for instance, connection in expired:
            await self.discard(instance, connection)

    async def close_instance(self, instance: str) -> None:
        """Closes the kept connections to a server that is gone."""
        for connection in self._idle.pop(instance, []):
            await self.discard(instance, connection)

    def _count_closed(self, instance: str) -> None:
        left = self.count_open(instance) - 1
        if left > 0:
            self._open[instance] = left
        else:
            self._open.pop(instance, None)
