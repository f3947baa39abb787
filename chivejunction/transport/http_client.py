"""HTTP client with deadlines, based on httpcore."""

import contextlib
import json
from typing import Any

import anyio
import httpcore

from chivejunction import clock
from chivejunction import errors

# Idle connections are closed early: if a network device on the path has
# dropped the state of a connection, it still looks open until it is used.
IDLE_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 2.0

# Errors raised before the first byte of a request is sent.
UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class Client:
    """Pool of HTTP connections.

    Args:
        max_connections: Limit on connections to all hosts together.
    """

    def __init__(self, max_connections: int = 1000):
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
            TransportError: The connection failed or timed out.
        """
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
                url,
                headers=list((headers or {}).items()),
                content=body,
                extensions={'timeout': timeouts},
            ) as response:
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
            TransportError: The call failed or timed out.
        """
        try:
            with anyio.fail_after(clock.remaining(deadline) + body_timeout):
                async with self.stream(
                    method, url, deadline, headers, body
                ) as response:
                    content = await response.aread()
        except TimeoutError as exc:
            raise errors.TransportError(f'{method} {url} timed out') from exc
        response_headers = {
            k.decode('latin-1').lower(): v.decode('latin-1')
            for k, v in response.headers
        }
        return response.status, response_headers, content

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
        except ValueError as exc:
            raise errors.TransportError(f'{url}: body is not JSON') from exc
