"""The callers' HTTP API as an ASGI application."""

import json
import uuid

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import cascades
from chivejunction.coordination import dispatch
from chivejunction.coordination import pins
from chivejunction.coordination import routing
from chivejunction.protocol import chat
from chivejunction.protocol import messages
from chivejunction.protocol import refusals
from chivejunction.state import calls
from chivejunction.state import views

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_DEADLINE_MS = 120_000
DROPPED_HEADERS = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'host',
        'idempotency-key',
        'keep-alive',
        'transfer-encoding',
        'upgrade',
        'x-session-token',
    }
)


class CallersApp:
    """Serves callers.

    Args:
        view: Configuration of the gateway.
        router: Chooses versions.
        dispatcher: Runs calls.
        runner: Runs plans.
        sessions: Finds the sessions of requests.
    """

    def __init__(
        self,
        view: views.ConfigView,
        router: routing.Router,
        dispatcher: dispatch.Dispatcher,
        runner: cascades.CascadeRunner,
        sessions: pins.Sessions,
    ):
        self._view = view
        self._router = router
        self._runner = runner
        self._sessions = sessions
        self._dispatcher = dispatcher
        self.leaving = False

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        response = Response(send)
        try:
            await self._route(scope, receive, response)
        except errors.RefusalError as exc:
            await response.refuse(exc)

    async def _route(self, scope, receive, response: 'Response') -> None:
        headers = {
            k.decode('latin-1'): v.decode('latin-1')
            for k, v in scope['headers']
        }
        organisation = self._authenticate(headers)
        path, method = scope['path'], scope['method']
        if path == '/v1/models' and method == 'GET':
            await response.send_json(200, self._list_models(organisation))
            return
        if self.leaving:
            raise errors.RefusalError('leaving', 'the gateway is leaving')
        body = await read_body(receive)
        if path == '/v1/chat/completions' and method == 'POST':
            await self._chat(organisation, headers, body, response)
        elif path.startswith('/services/'):
            await self._service(scope, organisation, headers, body, response)
        else:
            raise errors.RefusalError('not_found', f'no such path: {path}')

    def _authenticate(self, headers: dict[str, str]):
        scheme, _, key = headers.get('authorization', '').partition(' ')
        found = None
        if scheme.lower() == 'bearer':
            found = self._view.authenticate(key.strip())
        if found is None:
            raise errors.RefusalError('unauthenticated', 'unknown credential')
        return found

    def _list_models(self, organisation) -> dict:
        names = sorted(
            {
                version.model
                for version in self._view.versions.values()
                if self._view.is_allowed(organisation.name, version.name)
            }
        )
        return {
            'object': 'list',
            'data': [{'id': name, 'object': 'model'} for name in names],
        }

    async def _chat(self, organisation, headers, body, response) -> None:
        request = chat.parse_chat(body)
        call = self._make_call(organisation, headers, body)
        call.model = request.model
        call.stream = request.stream
        call.method, call.path = 'POST', '/v1/chat/completions'
        call.idempotent = 'idempotency-key' not in headers
        token = headers.get('x-session-token', '')
        await self._sessions.find_session(call, token)
        plan = self._router.plan(call)
        self._sessions.keep_session(
            call, plan.steps[0], plan.excluded, bool(token)
        )
        logs.log_decision(
            'version',
            request=call.id,
            organisation=call.organisation,
            revision=self._view.revision,
            **plan.describe(),
        )
        await response.relay(self._runner.run(call, plan))

    async def _service(
        self, scope, organisation, headers, body, response
    ) -> None:
        name, _, rest = scope['path'][len('/services/') :].partition('/')
        service = self._view.services.get(name)
        if service is None or name not in organisation.services:
            raise errors.RefusalError(
                'service_not_allowed', f'no access to service {name!r}'
            )
        call = self._make_call(organisation, headers, body)
        query = scope['query_string'].decode('latin-1')
        call.service = name
        call.method = scope['method']
        call.path = f'/{rest}?{query}' if query else f'/{rest}'
        call.idempotent = (
            call.method not in service.not_repeatable
            and 'idempotency-key' not in headers
        )
        await response.relay(self._dispatcher.run(call, service.pool))

    def _make_call(self, organisation, headers, body) -> calls.Call:
        call_id = uuid.uuid4().hex
        try:
            budget = float(headers.get('x-deadline-ms', DEFAULT_DEADLINE_MS))
            target = float(
                headers.get('x-quality-target', organisation.quality_target)
            )
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request',
                'x-deadline-ms and x-quality-target must be numbers',
            ) from exc
        passed_on = {
            k: v for k, v in headers.items() if k not in DROPPED_HEADERS
        }
        return calls.Call(
            id=call_id,
            organisation=organisation.name,
            method='',
            path='',
            headers=passed_on,
            body=body,
            deadline=clock.make_deadline(budget / 1000),
            session=headers.get('x-session', ''),
            request_class=headers.get('x-request-class', ''),
            quality_target=target,
            priority=organisation.priority,
        )


async def read_body(receive) -> bytes:
    """Returns the body of a request.

    Raises:
        RefusalError: The body is too large or the caller has gone.
    """
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise errors.RefusalError('invalid_request', 'caller has gone')
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            raise errors.RefusalError(
                'too_large', f'the limit is {MAX_BODY_BYTES} bytes'
            )
        if not message.get('more_body'):
            return b''.join(parts)


class Response:
    """Writes one HTTP response.

    Args:
        send: ASGI send function.
    """

    def __init__(self, send):
        self._send = send
        self._headers: dict[str, str] = {}
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
        await self._send(
            {
                'type': 'http.response.body',
                'body': payload,
                'more_body': more,
            }
        )

    async def send_json(self, status: int, value) -> None:
        """Sends a whole JSON response."""
        body = json.dumps(value, ensure_ascii=False).encode()
        await self.start(
            status,
            {
                'content-type': 'application/json',
                'content-length': str(len(body)),
            },
        )
        await self.write(body, False)

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Sends a refusal, or breaks an answer that has begun."""
        if self.started:
            # The missing last chunk tells the caller that the answer is
            # incomplete.
            raise errors.TransportError(f'answer broken off: {refusal}')
        status, headers, body = refusals.render_refusal(refusal)
        headers['content-length'] = str(len(body))
        await self.start(status, headers)
        await self.write(body, False)

    async def relay(self, events) -> None:
        """Passes the events of a dispatched call on to the caller."""
        async for event in events:
            if isinstance(event, messages.Head):
                await self.start(event.status, event.headers)
            elif isinstance(event, messages.Data):
                await self.write(event.payload, True)
            else:
                await self.write(b'', False)
