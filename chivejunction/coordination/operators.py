"""The operators' HTTP API."""

import hmac

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from chivejunction import errors
from chivejunction.coordination import configuration
from chivejunction.protocol import refusals
from chivejunction.protocol import resources
from chivejunction.state import views


class OperatorsApi:
    """Lets operators read and change resources.

    Args:
        view: Configuration of the gateway.
        source: The document in the store.
        token: Credential of the operators.
    """

    def __init__(
        self,
        view: views.ConfigView,
        source: configuration.Configuration,
        token: str,
    ):
        self._view = view
        self._source = source
        self._token = token

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the API."""
        return [
            routing.Route('/api/v1/{kind}', self._list, methods=['GET']),
            routing.Route('/api/v1/{kind}/{name}', self._get, methods=['GET']),
            routing.Route('/api/v1/{kind}/{name}', self._put, methods=['PUT']),
            routing.Route(
                '/api/v1/{kind}/{name}', self._delete, methods=['DELETE']
            ),
        ]

    def _authenticate(self, request: requests.Request) -> None:
        given = request.headers.get('authorization', '')
        if not hmac.compare_digest(
            given.encode(), f'Bearer {self._token}'.encode()
        ):
            raise errors.RefusalError('unauthenticated', 'unknown credential')

    def _entries(self, kind: str) -> dict[str, dict]:
        if kind not in resources.KINDS:
            raise errors.RefusalError('unknown_kind', f'unknown kind {kind!r}')
        return self._view.document.resources.get(kind, {})

    def _describe(self, kind: str, name: str, value: dict) -> dict:
        key = f'{kind}/{name}'
        return {
            'kind': kind,
            'resource': value,
            'changed_at': self._view.document.changed.get(key, 0),
            'revision': self._view.revision,
        }

    async def _list(self, request: requests.Request):
        self._authenticate(request)
        kind = request.path_params['kind']
        items = [
            self._describe(kind, name, value)
            for name, value in sorted(self._entries(kind).items())
        ]
        return responses.JSONResponse({'items': items})

    async def _get(self, request: requests.Request):
        self._authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        entries = self._entries(kind)
        if name not in entries:
            raise errors.RefusalError('not_found', f'no {kind} {name}')
        return responses.JSONResponse(
            self._describe(kind, name, entries[name])
        )

    @staticmethod
    def _expected(request: requests.Request) -> int | None:
        given = request.headers.get('if-match')
        if given is None:
            return None
        try:
            return int(given.strip('"'))
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request', 'If-Match must be a revision'
            ) from exc

    async def _put(self, request: requests.Request):
        self._authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        try:
            value = await request.json()
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request', f'body is not JSON: {exc}'
            ) from exc
        if not isinstance(value, dict) or value.setdefault('name', name) != (
            name
        ):
            raise errors.RefusalError(
                'invalid_request', f'the resource must be named {name}'
            )
        document = await self._source.put(kind, value, self._expected(request))
        self._view.apply(document)
        return responses.JSONResponse(
            self._describe(kind, name, self._entries(kind)[name])
        )

    async def _delete(self, request: requests.Request):
        self._authenticate(request)
        kind, name = request.path_params['kind'], request.path_params['name']
        document = await self._source.delete(
            kind, name, self._expected(request)
        )
        self._view.apply(document)
        return responses.JSONResponse({'revision': document.revision})


async def handle_refusal(request: requests.Request, exc: Exception):
    """Renders a refusal."""
    status, headers, body = refusals.render_refusal(exc)
    return responses.Response(body, status, headers)


async def handle_store_error(request: requests.Request, exc: Exception):
    """Renders a failure of the store."""
    return await handle_refusal(
        request, errors.RefusalError('store_unavailable', str(exc))
    )


def make_app(routes: list[routing.Route]) -> applications.Starlette:
    """Returns an application with the project's error answers."""
    return applications.Starlette(
        routes=routes,
        exception_handlers={
            errors.RefusalError: handle_refusal,
            errors.StoreError: handle_store_error,
        },
    )
