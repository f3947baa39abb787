"""HTTP API for callers, as an ASGI application."""

import uuid

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import affinity
from chivejunction.coordination import caller_responses
from chivejunction.coordination import cascades
from chivejunction.coordination import dispatch
from chivejunction.coordination import idempotency
from chivejunction.coordination import pins
from chivejunction.coordination import rate_limits
from chivejunction.coordination import routing
from chivejunction.protocol import chat
from chivejunction.protocol import headers as http_headers
from chivejunction.protocol import verdicts
from chivejunction.state import calls
from chivejunction.state import views

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 20.0
# How long the rest of a body that is too large is read and discarded. Many
# callers read the refusal only after they have sent the whole body.
BODY_DISCARD_SECONDS = 2.0
DEFAULT_DEADLINE_MS = 120_000
# Time for load balancers to notice that the gateway is leaving.
DEREGISTRATION_SECONDS = 1.0
CHAT_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
SERVICES_PATH = '/services/'


class CallerApi:
    """ASGI application that serves callers.

    Args:
        view: Configuration of the gateway.
        router: Chooses versions.
        dispatcher: Runs calls.
        limiter: Applies the rate limits of organisations.
        runner: Runs plans.
        sessions: Finds the sessions of requests.

    Attributes:
        leaving: Whether new requests are refused because the gateway is
            leaving.
        active_requests: Number of requests that are being served.
    """

    def __init__(
        self,
        view: views.ConfigView,
        router: routing.Router,
        dispatcher: dispatch.Dispatcher,
        limiter: rate_limits.RateLimiter,
        runner: cascades.CascadeRunner,
        sessions: pins.SessionManager,
    ):
        self._view = view
        self._router = router
        self._runner = runner
        self._sessions = sessions
        self._dispatcher = dispatcher
        self._limiter = limiter
        self.leaving = False
        self.active_requests = 0

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        response = caller_responses.Response(scope, send)
        self.active_requests += 1
        try:
            await self._route(scope, receive, response)
        except errors.RefusalError as exc:
            await response.send_refusal(exc)
        except Exception as exc:
            # A failed assertion or a programming error must end only this
            # request.
            logs.LOG.exception('request failed: %s', exc)
            if isinstance(exc, errors.InvariantViolation):
                metrics.count_violation(exc)
            await response.send_refusal(
                errors.RefusalError(
                    'internal',
                    'internal error',
                    verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
        finally:
            self.active_requests -= 1

    async def leave(self) -> None:
        """Refuses new requests and waits until the active ones have ended."""
        self.leaving = True
        await anyio.sleep(DEREGISTRATION_SECONDS)
        while self.active_requests:
            await anyio.sleep(0.05)

    async def _route(self, scope, receive, response) -> None:
        if self.leaving:
            response.add_header('connection', 'close')
            raise errors.RefusalError('leaving', 'the gateway is leaving')
        headers = http_headers.parse_headers(scope['headers'])
        organisation = self._authenticate(headers)
        path, method = scope['path'], scope['method']
        if path.startswith(SERVICES_PATH):
            await self._handle_service(
                scope, receive, organisation, headers, response
            )
        elif path == CHAT_PATH:
            check_method(method, ('POST',), response)
            body = await read_body(receive, headers, response)
            await self._handle_chat(
                receive, organisation, headers, body, response
            )
        elif path == MODELS_PATH or path.startswith(f'{MODELS_PATH}/'):
            check_method(method, ('GET', 'HEAD'), response)
            name = path[len(MODELS_PATH) + 1 :]
            await response.send_json(
                200, self._describe_models(organisation, name)
            )
        else:
            raise errors.RefusalError('not_found', 'no such path')

    def _authenticate(self, headers: dict[str, str]):
        self._view.check_ready()
        scheme, _, key = headers.get('authorization', '').partition(' ')
        organisation = None
        if scheme.lower() == 'bearer':
            organisation = self._view.authenticate(key.strip())
        if organisation is None:
            raise errors.RefusalError('unauthenticated', 'unknown credential')
        return organisation

    def _describe_models(self, organisation, name: str) -> dict:
        """Returns a model, or the list of allowed models without a name."""
        names = sorted(
            {
                version.model
                for version in self._view.versions.values()
                if self._view.is_allowed(organisation.name, version.name)
            }
        )
        models = {
            model: {
                'id': model,
                'object': 'model',
                'created': 0,
                'owned_by': 'chivejunction',
            }
            for model in names
        }
        if not name:
            return {'object': 'list', 'data': list(models.values())}
        if name not in models:
            raise errors.RefusalError('unknown_model', f'no model {name!r}')
        return models[name]

    async def _handle_chat(
        self, receive, organisation, headers, body, response
    ) -> None:
        request = chat.parse_chat_request(body)
        call = self._make_call(organisation, headers, body)
        call.model = request.model
        call.stream = bool(request.stream)
        call.method, call.path = 'POST', CHAT_PATH
        call.idempotent = not call.key
        # In a compressed response the agent could not find the end marker.
        call.headers.pop('accept-encoding', None)
        call.headers['content-type'] = 'application/json'
        self._set_hash(call, body)
        call.affinity = affinity.make_key(
            organisation.name, [m.model_dump() for m in request.messages]
        )
        estimated_tokens = rate_limits.estimate_tokens(
            body, request.max_tokens
        )
        self._limiter.acquire(organisation.name, estimated_tokens)
        call.headers.pop('x-session-token', None)
        token = headers.get('x-session-token', '')
        await self._sessions.resolve_session(call, token)
        plan = self._make_plan(call)
        self._sessions.pin_session(
            call, plan.steps[0], plan.excluded, bool(token)
        )
        call.body = body
        events = self._limiter.track_usage(
            call.organisation, estimated_tokens, self._runner.run(call, plan)
        )
        await relay(call, events, receive, response)

    def _make_plan(self, call: calls.Call) -> routing.Plan:
        plan = self._router.plan(call)
        logs.log_decision(
            'version',
            request=call.id,
            organisation=call.organisation,
            revision=self._view.revision,
            **plan.describe(),
        )
        return plan

    async def _handle_service(
        self, scope, receive, organisation, headers, response
    ) -> None:
        name, _, rest = scope['path'][len(SERVICES_PATH) :].partition('/')
        service = self._view.services.get(name)
        if service is None or name not in organisation.services:
            raise errors.RefusalError(
                'service_not_allowed',
                f'no access to service {name!r}',
            )
        body = await read_body(receive, headers, response)
        call = self._make_call(organisation, headers, body)
        call.service = name
        call.method = scope['method']
        call.path = make_service_path(scope, name)
        call.idempotent = (
            call.method not in service.not_repeatable and not call.key
        )
        self._set_hash(call, body)
        self._limiter.acquire(organisation.name)
        events = self._dispatcher.run(call, service.pool)
        await relay(call, events, receive, response)

    @staticmethod
    def _set_hash(call: calls.Call, body: bytes) -> None:
        if call.key:
            call.request_hash = idempotency.hash_request(call, body)

    def _make_call(self, organisation, headers, body) -> calls.Call:
        parse_number, parse_text = (
            http_headers.parse_number,
            http_headers.parse_text,
        )
        budget_ms = parse_number(
            headers,
            'x-deadline-ms',
            DEFAULT_DEADLINE_MS,
            http_headers.MAX_DEADLINE_MS,
        )
        return calls.Call(
            id=uuid.uuid4().hex,
            organisation=organisation.name,
            method='',
            path='',
            headers=http_headers.select_for_server(headers),
            body=body,
            deadline=clock.make_deadline(budget_ms / 1000),
            session=parse_text(
                headers, 'x-session', http_headers.MAX_SESSION_LENGTH
            ),
            request_class=parse_text(
                headers,
                'x-request-class',
                http_headers.MAX_REQUEST_CLASS_LENGTH,
            ),
            quality_target=parse_number(
                headers, 'x-quality-target', organisation.quality_target, 1
            ),
            priority=organisation.priority,
            key=parse_text(
                headers, 'idempotency-key', http_headers.MAX_KEY_LENGTH
            ),
        )


def check_method(method: str, allowed: tuple[str, ...], response) -> None:
    """Checks the method of a request.

    Args:
        method: Method of the request.
        allowed: Methods that the path supports.
        response: Response, which gets an ``allow`` header on failure.

    Raises:
        RefusalError: The path does not support the method.
    """
    if method not in allowed:
        response.add_header('allow', ', '.join(allowed))
        raise errors.RefusalError(
            'method_not_allowed', f'allowed: {", ".join(allowed)}'
        )


def make_service_path(scope, name: str) -> str:
    """Returns path and query for a service, percent-encoded as received.

    Args:
        scope: ASGI scope of the request.
        name: Name of the service.

    Raises:
        RefusalError: Path or query is not ASCII.
    """
    raw = scope.get('raw_path') or scope['path'].encode()
    raw = raw.partition(b'?')[0]
    query = scope['query_string']
    try:
        path = raw.decode('ascii')
        path = path[len(SERVICES_PATH) :].partition('/')[2]
        return f'/{path}?{query.decode("ascii")}' if query else f'/{path}'
    except UnicodeDecodeError as exc:
        raise errors.RefusalError(
            'invalid_request', 'path and query must be percent-encoded'
        ) from exc


async def read_body(receive, headers: dict[str, str], response) -> bytes:
    """Returns the body of a request.

    Args:
        receive: ASGI receive function.
        headers: Headers of the request.
        response: Response, whose connection is closed on failure.

    Raises:
        RefusalError: The body is too large or incomplete after the timeout,
            or the caller has disconnected.
    """
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            body = await _read_chunks(receive, headers)
    except TimeoutError as exc:
        response.add_header('connection', 'close')
        raise errors.RefusalError(
            'request_timeout',
            f'no whole body within {BODY_TIMEOUT_SECONDS:g} s',
        ) from exc
    if body is None:
        response.add_header('connection', 'close')
        with anyio.move_on_after(BODY_DISCARD_SECONDS):
            while (await receive()).get('more_body'):
                pass
        raise errors.RefusalError(
            'too_large', f'the limit is {MAX_BODY_BYTES} bytes'
        )
    return body


async def _read_chunks(receive, headers: dict[str, str]) -> bytes | None:
    """Returns the body, or None if it is too large."""
    content_length = headers.get('content-length', '')
    if content_length.isdecimal() and int(content_length) > MAX_BODY_BYTES:
        return None
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise errors.RefusalError('invalid_request', 'caller has gone')
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        if size > MAX_BODY_BYTES:
            return None
        if not message.get('more_body'):
            return b''.join(chunks)


async def relay(call: calls.Call, events, receive, response) -> None:
    """Sends the response of a call to its caller.

    If the caller disconnects, a repeatable call is cancelled. A call that
    may not be repeated runs to its end, and the agent keeps the response.

    Args:
        call: The call.
        events: Events of the response.
        receive: ASGI receive function.
        response: Response to the caller.

    Raises:
        RefusalError: The call failed.
    """
    if not call.idempotent:
        await response.relay(events, call.deadline)
        return
    failures: list[Exception] = []
    async with anyio.create_task_group() as group:

        async def cancel_on_disconnect() -> None:
            while (await receive())['type'] != 'http.disconnect':
                pass
            group.cancel_scope.cancel()

        group.start_soon(cancel_on_disconnect)
        try:
            await response.relay(events, call.deadline)
        except Exception as exc:
            failures.append(exc)
        group.cancel_scope.cancel()
    if failures:
        raise failures[0]
