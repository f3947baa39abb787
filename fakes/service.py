"""Plain service that counts every run."""

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs


class Service:
    """Service that keeps the attempts it has run, by business key.

    The business key is the header ``x-business-key`` or the path.

    Args:
        delay: Seconds between the run and its answer.
    """

    def __init__(self, delay: float = 0.0):
        self._delay = delay
        self.runs: dict[str, list[str]] = {}

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route('/runs', self._list_runs, methods=['GET']),
            routing.Route(
                '/{path:path}',
                self._run,
                methods=[
                    'GET',
                    'POST',
                    'PUT',
                    'PATCH',
                    'DELETE',
                    'OPTIONS',
                ],
            ),
        ]

    async def _list_runs(self, request: requests.Request):
        return responses.JSONResponse(self.runs)

    async def _run(self, request: requests.Request):
        body = await request.body()
        key = request.headers.get('x-business-key', request.url.path)
        attempt = request.headers.get('x-request-id', '')
        self.runs.setdefault(key, []).append(attempt)
        await anyio.sleep(self._delay)
        return responses.JSONResponse(
            {
                'key': key,
                'method': request.method,
                'path': request.url.path,
                'size': len(body),
                'run': len(self.runs[key]),
            },
            headers={'x-request-id': attempt},
        )


def make_app(delay: float = 0.0) -> applications.Starlette:
    """Returns the service as an application."""
    return applications.Starlette(routes=Service(delay).routes())


if __name__ == '__main__':
    programs.run_fire(make_app)
