"""Fake rating service with delayed, missing and biased ratings."""

import json
import random
import time

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs

# Sum of the two parameters of the beta distribution of the quality.
QUALITY_CONCENTRATION = 20.0


def sample_quality(rng: random.Random, quality: float) -> float:
    """Draws the quality of one response from a beta distribution.

    Args:
        rng: Random number generator.
        quality: True mean quality of the version, 0 to 1.
    """
    quality = min(max(quality, 0.001), 0.999)
    return rng.betavariate(
        quality * QUALITY_CONCENTRATION, (1 - quality) * QUALITY_CONCENTRATION
    )


class RatingService:
    """Rates responses at random around the true quality of their version.

    ``POST /v1/ratings`` with ``{request, version, request_class, answer}``
    returns 202, or 200 with the rating when ``immediate``.
    ``GET /v1/ratings?since=N`` lists ratings after sequence number N.
    ``PUT /faults`` sets ``late`` (delay of the ratings in seconds),
    ``missing`` (share of ratings left out), ``biased`` (added to each
    rating) and ``down`` (responds with 503).

    Args:
        quality: True quality by version or ``version/class``, a JSON object.
        default: True quality of the other versions.
        immediate: Whether the response to POST contains the rating.
        seed: Seed of the random number generator.
    """

    def __init__(
        self,
        quality: str | dict = '{}',
        default: float = 0.8,
        immediate: bool = True,
        seed: int = 0,
    ):
        self._quality = (
            json.loads(quality) if isinstance(quality, str) else dict(quality)
        )
        self._default = default
        self._immediate = immediate
        self._rng = random.Random(seed)
        self._ratings: list[tuple[float, dict]] = []
        self.faults = {
            'late': 0.0,
            'missing': 0.0,
            'biased': 0.0,
            'down': False,
        }

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route('/v1/ratings', self._post, methods=['POST']),
            routing.Route('/v1/ratings', self._list, methods=['GET']),
            routing.Route('/quality', self._put_quality, methods=['PUT']),
            routing.Route('/faults', self._put_faults, methods=['PUT']),
        ]

    async def _put_faults(self, request: requests.Request):
        self.faults.update(await request.json())
        return responses.JSONResponse(self.faults)

    async def _put_quality(self, request: requests.Request):
        self._quality.update(await request.json())
        return responses.JSONResponse(self._quality)

    def rate(self, version: str, request_class: str) -> float:
        """Returns a random rating for a response of a version."""
        quality = self._quality.get(
            f'{version}/{request_class}',
            self._quality.get(version, self._default),
        )
        rating = sample_quality(self._rng, quality) + self.faults['biased']
        return min(max(rating, 0.0), 1.0)

    async def _post(self, request: requests.Request):
        if self.faults['down']:
            return responses.JSONResponse({}, 503)
        body = await request.json()
        if self._rng.random() < self.faults['missing']:
            return responses.JSONResponse({}, 202)
        rating = {
            'request': body['request'],
            'version': body['version'],
            'rating': self.rate(body['version'], body['request_class']),
        }
        self._ratings.append((time.monotonic() + self.faults['late'], rating))
        if self._immediate and not self.faults['late']:
            return responses.JSONResponse(rating)
        return responses.JSONResponse({}, 202)

    async def _list(self, request: requests.Request):
        if self.faults['down']:
            return responses.JSONResponse({}, 503)
        since = int(request.query_params.get('since', 0))
        now = time.monotonic()
        visible = []
        for sequence in range(since, len(self._ratings)):
            visible_at, rating = self._ratings[sequence]
            if visible_at > now:
                break
            visible.append({'sequence': sequence + 1, **rating})
        return responses.JSONResponse({'ratings': visible})


def make_app(**options) -> applications.Starlette:
    """Returns the rating service as an application."""
    return applications.Starlette(routes=RatingService(**options).routes())


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
