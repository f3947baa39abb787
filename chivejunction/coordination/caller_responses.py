"""HTTP responses to callers."""

import contextlib
import json

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import attempt_streams
from chivejunction.protocol import headers as http_headers
from chivejunction.protocol import messages
from chivejunction.protocol import refusals
from chivejunction.protocol import sse

# Time after the deadline in which a caller may finish reading a response.
READ_MARGIN_SECONDS = 5.0
BODYLESS_STATUSES = frozenset({204, 304})


class Response:
    """Writes one HTTP response.

    Args:
        scope: ASGI scope of the request.
        send: ASGI send function.

    Attributes:
        has_started: Whether the status and headers were sent.
    """

    def __init__(self, scope, send):
        self._send = send
        self._method = scope['method']
        # HTTP/1.0 has no chunked encoding: a response that is cut off would
        # look complete.
        self._is_chunking_supported = scope.get('http_version', '1.1') != '1.0'
        self._headers: dict[str, str] = {}
        self._is_stream = False
        self.has_started = False

    def add_header(self, name: str, value: str) -> None:
        """Sets a header that is sent with the response.

        Args:
            name: Name of the header.
            value: Its value, in place of one from the backend server.
        """
        self._headers[name] = value

    async def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Sends the status and the headers."""
        self.has_started = True
        merged = {**headers, **self._headers}
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (k.encode('latin-1'), v.encode('latin-1'))
                    for k, v in merged.items()
                ],
            }
        )

    async def send_chunk(self, payload: bytes, more: bool) -> None:
        """Sends a part of the body; an empty one only if it is the last.

        Args:
            payload: Bytes to send.
            more: Whether more of the body follows.
        """
        if payload or not more:
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': payload,
                    'more_body': more,
                }
            )

    async def send_complete(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a complete response with its length."""
        if self._method != 'HEAD' and status not in BODYLESS_STATUSES:
            headers = {**headers, 'content-length': str(len(body))}
        await self.send_head(status, headers)
        await self.send_chunk(body, False)

    async def send_json(self, status: int, value) -> None:
        """Sends a complete JSON response."""
        body = json.dumps(value, ensure_ascii=False).encode()
        await self.send_complete(
            status, {'content-type': 'application/json'}, body
        )

    async def send_refusal(self, refusal: errors.RefusalError) -> None:
        """Sends a refusal, or cuts off a response that has started."""
        status, headers, body = refusals.render_refusal(refusal)
        if not self.has_started:
            await self.send_complete(status, headers, body)
            return
        # The last chunk is not sent, and the HTTP server closes the
        # connection, so that no caller takes the response for complete.
        logs.LOG.warning('response cut off after its start: %s', refusal)
        if self._is_stream:
            await self.send_chunk(sse.format_event(json.loads(body)), True)

    async def relay(self, events, deadline: float) -> None:
        """Sends the events of a dispatched call to the caller.

        Args:
            events: Events of Dispatcher.run.
            deadline: Monotonic deadline of the call in seconds.

        Raises:
            RefusalError: The call failed, or the caller does not read.
        """
        seconds = clock.remaining(deadline) + READ_MARGIN_SECONDS
        try:
            with anyio.fail_after(seconds):
                async with contextlib.aclosing(events):
                    await self._relay(events)
        except TimeoutError as exc:
            raise errors.RefusalError(
                'deadline',
                'the answer was not read before the deadline',
            ) from exc

    async def _relay(self, events) -> None:
        head = messages.Head('', 0, {})
        buffered = bytearray()
        async for event in events:
            if isinstance(event, messages.Head):
                head = event
                head.headers = http_headers.select_for_caller(head.headers)
                self._is_stream = sse.is_event_stream(head.headers)
            elif isinstance(event, messages.Data):
                buffered += event.payload
                if self._should_send(len(buffered)):
                    if not self.has_started:
                        await self.send_head(head.status, head.headers)
                    payload, buffered = bytes(buffered), bytearray()
                    await self.send_chunk(payload, True)
        if self.has_started:
            await self.send_chunk(bytes(buffered), False)
        else:
            await self.send_complete(
                head.status, head.headers, bytes(buffered)
            )

    def _should_send(self, size: int) -> bool:
        if not (self._is_chunking_supported and size):
            return False
        return (
            self._is_stream
            or self.has_started
            or size > attempt_streams.MAX_HELD_RESPONSE_BYTES
        )
