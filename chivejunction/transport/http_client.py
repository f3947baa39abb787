"""HTTP client with deadlines, based on httpcore."""

import contextlib
import json
from typing import Any

import anyio
import h11
import httpcore

from chivejunction import clock
from chivejunction import errors
from chivejunction.transport import pieces

# Idle connections are closed early: if a network device on the path has
# dropped the state of a connection, it still looks open until it is used.
IDLE_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 2.0
# A page of a listing has 1 MB before its encoding. A relay may pass on several
# configurations of that size.
MAX_BODY_BYTES = 16_000_000

# Errors raised before the first byte of a request is sent.
UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
# Further errors that a response or an odd address can cause.
PEER_ERRORS = (
    ArithmeticError,
    OSError,
    RuntimeError,
    TypeError,
    ValueError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
    httpcore.ConnectionNotAvailable,
    httpcore.ProxyError,
    httpcore.UnsupportedProtocol,
)


class Client:
    """Pool of HTTP connections.

    Args:
        max_connections: Limit on connections to all hosts together.
        max_body_bytes: Longest body of a response to ``call``.
    """

    def __init__(
        self,
        max_connections: int = 1000,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self._max_body_bytes = max_body_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=64,
            keepalive_expiry=IDLE_TIMEOUT_SECONDS,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        deadline: float,
        headers: dict[str, str] | dict[bytes, bytes] | None = None,
        body: bytes = b'',
        read_timeout: float | None = None,
    ):
        """Sends a request and yields the httpcore response.

        Args:
            method: HTTP method.
            url: Absolute URL.
            deadline: Monotonic time by which the response headers must have
                been received.
            headers: Request headers.
            body: Request body.
            read_timeout: Longest wait for the next data of the response;
                None for the time left until the deadline.

        Raises:
            TransportError: The connection failed or timed out, or the
                address or the head of the response is odd.
        """
        try:
            target = httpcore.URL(url)
        except (TypeError, ValueError) as exc:
            raise errors.TransportError(
                f'{method} {ascii(url)}: {exc!r}', connected=False
            ) from exc
        is_open = False
        remaining = clock.remaining(deadline)
        timeouts = {
            'connect': min(CONNECT_TIMEOUT_SECONDS, remaining),
            'read': remaining if read_timeout is None else read_timeout,
            'write': remaining,
            'pool': remaining,
        }
        try:
            async with self._pool.stream(
                method,
                target,
                headers=list((headers or {}).items()),
                content=body,
                extensions={'timeout': timeouts},
            ) as response:
                is_open = True
                yield response
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            raise errors.TransportError(
                f'{method} {url}: {exc!r}',
                connected=not isinstance(exc, UNSENT_ERRORS),
            ) from exc
        except PEER_ERRORS as exc:
            if is_open:
                # Raised by the caller's own code.
                raise
            raise errors.TransportError(
                f'{method} {url}: {exc!r}',
                connected=not isinstance(exc, UNSENT_ERRORS),
            ) from exc

    async def call(
        self,
        method: str,
        url: str,
        deadline: float,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        body_timeout: float = 0.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request and returns status, headers and body.

        Args:
            method: HTTP method.
            url: Absolute URL.
            deadline: Monotonic time by which the response must have begun.
            headers: Request headers.
            body: Request body.
            body_timeout: Seconds added to the deadline for reading a long
                body, as long as data keeps arriving.

        Raises:
            TransportError: The call failed or timed out, or the response is
                too long.
        """
        try:
            with anyio.fail_after(clock.remaining(deadline) + body_timeout):
                async with self.stream(
                    method, url, deadline, headers, body
                ) as response:
                    content = await self._read_body(response)
        except TimeoutError as exc:
            raise errors.TransportError(f'{method} {url} timed out') from exc
        except (errors.ProtocolError, *PEER_ERRORS) as exc:
            raise errors.TransportError(
                f'{method} {ascii(url)}: {exc!r}'
            ) from exc
        response_headers = {
            k.decode('latin-1').lower(): v.decode('latin-1')
            for k, v in response.headers
        }
        return response.status, response_headers, content

    async def _read_body(self, response: httpcore.Response) -> bytes:
        parts, size = [], 0
        counter = pieces.PieceCounter()
        async for part in response.aiter_stream():
            await counter.take(len(part))
            size += len(part)
            if size > self._max_body_bytes:
                raise errors.TransportError(
                    f'response has over {self._max_body_bytes} bytes'
                )
            parts.append(part)
        return b''.join(parts)

    async def call_json(
        self, method: str, url: str, deadline: float, value: Any = None
    ) -> tuple[int, Any]:
        """Sends a JSON request and returns status and decoded body.

        Raises:
            TransportError: The call failed or the body is not JSON.
        """
        body = b'' if value is None else json.dumps(value).encode()
        headers = {'content-type': 'application/json'} if body else {}
        status, _, content = await self.call(
            method, url, deadline, headers, body
        )
        try:
            return status, json.loads(content) if content else None
        except (ValueError, RecursionError) as exc:
            raise errors.TransportError(f'{url}: body is not JSON') from exc
