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

# A caller that reads slowly may finish this long after its deadline.
READ_MARGIN_SECONDS = 5.0
BODYLESS_STATUSES = frozenset({204, 304})


class Response:
    """Writes one HTTP response.

    Args:
        scope: ASGI scope of the request.
        send: ASGI send function.
    """

    def __init__(self, scope, send):
        self._send = send
        self._method = scope['method']
        # HTTP/1.0 has no chunks: an answer that breaks off would look
        # complete.
        self._can_break = scope.get('http_version', '1.1') != '1.0'
        self._headers: dict[str, str] = {}
        self._is_stream = False
        self.started = False

    def add_header(self, name: str, value: str) -> None:
        """Adds a header to the head that will be sent."""
        self._headers[name] = value

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head."""
        self.started = True
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

    async def write(self, payload: bytes, more: bool) -> None:
        """Sends a part of the body."""
        if payload or not more:
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': payload,
                    'more_body': more,
                }
            )

    async def send_whole(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole response with its length."""
        if self._method != 'HEAD' and status not in BODYLESS_STATUSES:
            headers = {**headers, 'content-length': str(len(body))}
        await self.start(status, headers)
        await self.write(body, False)

    async def send_json(self, status: int, value) -> None:
        """Sends a whole JSON response."""
        body = json.dumps(value, ensure_ascii=False).encode()
        await self.send_whole(
            status, {'content-type': 'application/json'}, body
        )

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Sends a refusal, or breaks off an answer that has begun."""
        status, headers, body = refusals.render_refusal(refusal)
        if not self.started:
            await self.send_whole(status, headers, body)
            return
        # The response stays without its last chunk, and the HTTP server
        # closes the connection: no caller can take it for complete.
        logs.LOG.warning('answer broken off: %s', refusal)
        if self._is_stream:
            await self.write(sse.write_event(json.loads(body)), True)

    async def relay(self, events, deadline: float) -> None:
        """Passes the events of a dispatched call on to the caller.

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
                'deadline', 'the answer was not read before the deadline'
            ) from exc

    async def _relay(self, events) -> None:
        head = messages.Head('', 0, {})
        held = bytearray()
        async for event in events:
            if isinstance(event, messages.Head):
                head = event
                head.headers = http_headers.select_for_caller(head.headers)
                self._is_stream = sse.is_stream(head.headers)
            elif isinstance(event, messages.Data):
                held += event.payload
                if self._must_pass_on(len(held)):
                    if not self.started:
                        await self.start(head.status, head.headers)
                    payload, held = bytes(held), bytearray()
                    await self.write(payload, True)
        if self.started:
            await self.write(bytes(held), False)
        else:
            await self.send_whole(head.status, head.headers, bytes(held))

    def _must_pass_on(self, size: int) -> bool:
        if not (self._can_break and size):
            return False
        return (
            self._is_stream
            or self.started
            or size > attempt_streams.MAX_HELD_RESPONSE_BYTES
        )
