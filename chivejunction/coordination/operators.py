"""HTTP API for operators."""

import hmac
import json
import math
from typing import Annotated
from typing import Literal

import anyio
import pydantic
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from chivejunction import errors
from chivejunction import metrics
from chivejunction.coordination import actions
from chivejunction.coordination import configuration
from chivejunction.protocol import refusals
from chivejunction.protocol import resources
from chivejunction.state import members
from chivejunction.state import views

WATCH_INTERVAL_SECONDS = 0.2
# Largest request: one document and the JSON that encloses it.
MAX_BODY_BYTES = 2 * resources.MAX_DOCUMENT_BYTES
MAX_INTEGER = 2**63 - 1


def parse_integer(text: str) -> int:
    """Returns an integer that other programs can read.

    Raises:
        ValueError: It has more than 64 bits.
    """
    number = int(text)
    if abs(number) > MAX_INTEGER:
        raise ValueError('an integer has more than 64 bits')
    return number


def parse_number(text: str) -> float:
    """Returns a finite number.

    Raises:
        ValueError: It is not finite.
    """
    number = float(text)
    if not math.isfinite(number):
        raise ValueError('a number is not finite')
    return number


class ApplyItem(pydantic.BaseModel):
    """One change of an apply request, in the terms of configuration.Change."""

    model_config = pydantic.ConfigDict(extra='forbid')

    action: Literal['put', 'delete'] = 'put'
    kind: str
    name: str = ''
    resource: dict = {}
    expected: int | None = None


class ApplyRequest(pydantic.BaseModel):
    """Body of an apply request: changes that are made atomically."""

    model_config = pydantic.ConfigDict(extra='forbid')

    items: Annotated[list[ApplyItem], pydantic.Field(min_length=1)]


class OperatorsApi:
    """HTTP handlers with which operators read and change resources.

    Args:
        view: Configuration of the gateway.
        config_store: Reads and changes the document in the store.
        member_table: Members and the configuration revisions that they have
            applied.
        token: Bearer token of the operators.
    """

    def __init__(
        self,
        view: views.ConfigView,
        config_store: configuration.ConfigStore,
        member_table: members.MemberTable,
        token: str,
    ):
        self._view = view
        self._config_store = config_store
        self._member_table = member_table
        self._token = token

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the API."""
        return [
            routing.Route('/api/v1/apply', self._apply, methods=['POST']),
            routing.Route('/api/v1/watch', self._watch, methods=['GET']),
            routing.Route(
                '/api/v1/{kind}/{name}/{action}',
                self._run_action,
                methods=['POST'],
            ),
            routing.Route('/api/v1/status', self._status, methods=['GET']),
            routing.Route('/api/v1/{kind}', self._list, methods=['GET']),
            routing.Route('/api/v1/{kind}/{name}', self._get, methods=['GET']),
            routing.Route('/api/v1/{kind}/{name}', self._put, methods=['PUT']),
            routing.Route(
                '/api/v1/{kind}/{name}', self._delete, methods=['DELETE']
            ),
        ]

    def authenticate(self, request: requests.Request) -> None:
        """Checks the bearer token of a request.

        Raises:
            RefusalError: The token is missing or wrong.
        """
        authorization = request.headers.get('authorization', '')
        if not hmac.compare_digest(
            authorization.encode(), f'Bearer {self._token}'.encode()
        ):
            raise errors.RefusalError('unauthenticated', 'unknown credential')

    def _get_resources(self, kind: str) -> dict[str, dict]:
        if kind not in resources.KINDS:
            raise errors.RefusalError('unknown_kind', f'unknown kind {kind!r}')
        return self._view.document.resources.get(kind, {})

    def _describe(self, kind: str, name: str) -> dict:
        return configuration.describe_resource(self._view.document, kind, name)

    async def _status(self, request: requests.Request):
        self.authenticate(request)
        return responses.JSONResponse(
            self._member_table.get_revision_status(self._view.revision)
        )

    async def _watch(self, request: requests.Request):
        self.authenticate(request)

        async def stream():
            last = None
            while True:
                status = self._member_table.get_revision_status(
                    self._view.revision
                )
                if status != last:
                    last = status
                    yield json.dumps(status) + '\n'
                await anyio.sleep(WATCH_INTERVAL_SECONDS)

        return responses.StreamingResponse(
            stream(), media_type='application/jsonl'
        )

    async def _run_action(self, request: requests.Request):
        self.authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        arguments = await self._read_json(request, default={})
        if not isinstance(arguments, dict):
            raise errors.RefusalError(
                'invalid_request', 'the body must be an object'
            )
        document = await self._apply_changes(
            request,
            [
                configuration.Change(
                    'put',
                    kind,
                    name,
                    expected=self._parse_if_match(request),
                    update=actions.make_update(
                        kind, request.path_params['action'], arguments
                    ),
                )
            ],
        )
        return responses.JSONResponse(
            configuration.describe_resource(document, kind, name)
        )

    async def _list(self, request: requests.Request):
        self.authenticate(request)
        kind = request.path_params['kind']
        items = [
            self._describe(kind, name)
            for name in sorted(self._get_resources(kind))
        ]
        return responses.JSONResponse({'items': items})

    async def _get(self, request: requests.Request):
        self.authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        entries = self._get_resources(kind)
        if name not in entries:
            raise errors.RefusalError('not_found', f'no {kind} {name}')
        return responses.JSONResponse(self._describe(kind, name))

    @staticmethod
    def _parse_if_match(request: requests.Request) -> int | None:
        header = request.headers.get('if-match')
        if header is None:
            return None
        try:
            return int(header.strip('"'))
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request',
                'If-Match must be a revision',
            ) from exc

    @staticmethod
    async def _read_json(request: requests.Request, default=None):
        size = 0
        chunks = []
        async for chunk in request.stream():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise errors.RefusalError(
                    'too_large',
                    f'the body exceeds {MAX_BODY_BYTES} bytes',
                )
            chunks.append(chunk)
        if not size and default is not None:
            return default
        try:
            return json.loads(
                b''.join(chunks),
                parse_int=parse_integer,
                parse_float=parse_number,
                parse_constant=parse_number,
            )
        except (ValueError, RecursionError) as exc:
            raise errors.RefusalError(
                'invalid_request', f'body is not JSON: {exc}'
            ) from exc

    async def _apply_changes(
        self,
        request: requests.Request,
        changes: list[configuration.Change],
        expected: int | None = None,
    ) -> resources.Document:
        document = await self._config_store.apply(
            changes, expected, request.headers.get('change-id', '')
        )
        self._view.apply(document)
        return document

    async def _put(self, request: requests.Request):
        self.authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        value = await self._read_json(request)
        if not isinstance(value, dict) or value.setdefault('name', name) != (
            name
        ):
            raise errors.RefusalError(
                'invalid_request',
                f'the resource must be named {name}',
            )
        document = await self._apply_changes(
            request,
            [
                configuration.Change(
                    'put', kind, name, value, self._parse_if_match(request)
                )
            ],
        )
        return responses.JSONResponse(
            configuration.describe_resource(document, kind, name)
        )

    async def _delete(self, request: requests.Request):
        self.authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        document = await self._apply_changes(
            request,
            [
                configuration.Change(
                    'delete',
                    kind,
                    name,
                    expected=self._parse_if_match(request),
                )
            ],
        )
        return responses.JSONResponse({'revision': document.revision})

    async def _apply(self, request: requests.Request):
        self.authenticate(request)
        body = await self._read_json(request)
        try:
            parsed = ApplyRequest.model_validate(body)
        except pydantic.ValidationError as exc:
            raise errors.RefusalError(
                'invalid_request',
                resources.format_validation_errors(exc, 'body'),
            ) from exc
        changes = [
            configuration.Change(
                item.action,
                item.kind,
                item.name or str(item.resource.get('name', '')),
                item.resource,
                item.expected,
            )
            for item in parsed.items
        ]
        document = await self._apply_changes(
            request, changes, self._parse_if_match(request)
        )
        return responses.JSONResponse(
            {
                'revision': document.revision,
                'items': [
                    configuration.describe_resource(
                        document, change.kind, change.name
                    )
                    for change in changes
                ],
            }
        )


async def handle_refusal(request: requests.Request, exc: Exception):
    """Returns the response for a refusal.

    After a conflict the body holds the current state as ``current``.
    """
    status, headers, body = refusals.render_refusal(exc)
    if isinstance(exc, configuration.StateConflict):
        body = json.dumps({**json.loads(body), 'current': exc.current})
    return responses.Response(body, status, headers)


async def handle_store_error(request: requests.Request, exc: Exception):
    """Returns the response for a failure of the store."""
    return await handle_refusal(
        request, errors.RefusalError('store_unavailable', str(exc))
    )


async def handle_invariant_violation(
    request: requests.Request, exc: Exception
):
    """Counts an invariant violation and returns a response with status 500."""
    metrics.count_violation(exc)
    return responses.JSONResponse(
        {'error': {'code': 'invariant_violation', 'message': str(exc)}}, 500
    )


def make_app(routes: list[routing.Route]) -> applications.Starlette:
    """Returns an application that maps errors to HTTP responses."""
    return applications.Starlette(
        routes=routes,
        exception_handlers={
            errors.RefusalError: handle_refusal,
            errors.StoreError: handle_store_error,
            errors.InvariantViolation: handle_invariant_violation,
        },
    )
