"""Fake of the host list of the platform, which shows changes late."""

import json
import time
import zlib

import anyio
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette.middleware import gzip

from fakes import programs


class HostList:
    """Host list that shows changes after a delay.

    ``PUT /v1/hosts/{host}`` and ``DELETE /v1/hosts/{host}`` change it.
    Faults (``POST /faults``): ``down`` responds with 503, ``empty`` returns
    a list without hosts, ``delay`` delays each read by this many seconds.

    Args:
        lag: Delay in seconds until a change is visible.
    """

    def __init__(self, lag: float = 0.0):
        self._lag = lag
        self._pending_changes: list[tuple[float, str, dict | None]] = []
        self._visible: dict[str, dict] = {}
        self._faults = {'down': False, 'empty': False, 'delay': 0.0}

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route('/faults', self._set_faults, methods=['POST']),
            routing.Route('/v1/hosts', self._list, methods=['GET']),
            routing.Route('/v1/hosts/{host}', self._put, methods=['PUT']),
            routing.Route(
                '/v1/hosts/{host}', self._delete, methods=['DELETE']
            ),
        ]

    def _schedule(self, host: str, value: dict | None) -> None:
        self._pending_changes.append(
            (time.monotonic() + self._lag, host, value)
        )

    async def _list(self, request: requests.Request):
        now = time.monotonic()
        while self._pending_changes and self._pending_changes[0][0] <= now:
            _, host, value = self._pending_changes.pop(0)
            if value is None:
                self._visible.pop(host, None)
            else:
                self._visible[host] = value
        if self._faults['delay']:
            await anyio.sleep(self._faults['delay'])
        if self._faults['down']:
            return responses.JSONResponse({'error': 'down'}, 503)
        hosts = [] if self._faults['empty'] else list(self._visible.values())
        content = json.dumps({'hosts': hosts}).encode()
        etag = f'"{zlib.crc32(content):08x}"'
        if request.headers.get('if-none-match') == etag:
            return responses.Response(status_code=304, headers={'etag': etag})
        return responses.Response(
            content, media_type='application/json', headers={'etag': etag}
        )

    async def _set_faults(self, request: requests.Request):
        self._faults.update(await request.json())
        return responses.JSONResponse(self._faults)

    async def _put(self, request: requests.Request):
        host = request.path_params['host']
        self._schedule(host, {'host': host, **await request.json()})
        return responses.JSONResponse({})

    async def _delete(self, request: requests.Request):
        self._schedule(request.path_params['host'], None)
        return responses.JSONResponse({})


def make_app(lag: float = 0.0) -> applications.Starlette:
    """Returns the host list as an application."""
    return applications.Starlette(
        routes=HostList(lag).routes(),
        middleware=[middleware.Middleware(gzip.GZipMiddleware)],
    )


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
