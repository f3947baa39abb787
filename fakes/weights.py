"""Fake store of model weights with a rate limit."""

import time

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs


class WeightStore:
    """Weight store with a token bucket for downloads.

    ``GET /v1/weights/{version}`` responds with 429 above the rate.

    Args:
        per_second: Allowed downloads per second; also the size of a burst,
            which is at least 1.
    """

    def __init__(self, per_second: float = 2.0):
        self._per_second = per_second
        self._available_tokens = max(1.0, per_second)
        self._refilled_at = time.monotonic()
        self.counts = {'served': 0, 'refused': 0}

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route(
                '/v1/weights/{version}', self._serve, methods=['GET']
            ),
            routing.Route('/counts', self._get_counts, methods=['GET']),
        ]

    async def _get_counts(self, request: requests.Request):
        return responses.JSONResponse(self.counts)

    async def _serve(self, request: requests.Request):
        now = time.monotonic()
        self._available_tokens = min(
            max(1.0, self._per_second),
            self._available_tokens
            + (now - self._refilled_at) * self._per_second,
        )
        self._refilled_at = now
        if self._available_tokens < 1:
            self.counts['refused'] += 1
            return responses.JSONResponse({'error': 'rate limit'}, 429)
        self._available_tokens -= 1
        self.counts['served'] += 1
        return responses.JSONResponse(
            {'version': request.path_params['version'], 'bytes': 1}
        )


def make_app(per_second: float = 2.0) -> applications.Starlette:
    """Returns the weight store as an application."""
    return applications.Starlette(routes=WeightStore(per_second).routes())


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
