"""Plain service that counts every run."""

import json
import time
import uuid

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import faults
from fakes import programs

METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


class Service:
    """Service that keeps the attempts it has run, by business key.

    The business key is the header ``x-business-key`` or the path. A run is
    counted before its answer is sent, so a call whose answer is lost counts.

    Faults (``POST /faults``): ``delay`` is the time of a call in seconds;
    ``refuse`` answers 503 without a run; ``error_share`` answers 500 after
    the run; ``stall_share`` answers after ``stall_seconds``; ``cut_share``
    and ``wrong_length_share`` break the answer after half of it;
    ``cross_share`` echoes another attempt's id.

    Args:
        delay: Time of a call in seconds.
    """

    def __init__(self, delay: float = 0.0):
        self.runs: dict[str, list[str]] = {}
        self.running = 0
        self.incarnation = uuid.uuid4().hex
        self.faults = faults.Faults(
            delay=delay,
            refuse=False,
            error_share=0.0,
            stall_share=0.0,
            stall_seconds=3600.0,
            cut_share=0.0,
            cross_share=0.0,
            wrong_length_share=0.0,
        )

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route('/runs', self._list_runs, methods=['GET']),
            routing.Route('/load', self._show_load, methods=['GET']),
            *self.faults.routes(),
            routing.Route('/{path:path}', self._serve, methods=METHODS),
        ]

    async def _list_runs(self, request: requests.Request):
        return responses.JSONResponse(self.runs)

    async def _show_load(self, request: requests.Request):
        return responses.JSONResponse(
            {
                'incarnation': self.incarnation,
                'running': self.running,
                'waiting': 0,
                'cached_prefix_tokens': 0,
                'versions': [],
                'lag_s': 0.0,
            }
        )

    async def _serve(self, request: requests.Request):
        body = await request.body()
        if self.faults['refuse']:
            return responses.JSONResponse({'error': 'refused'}, 503)
        self.running += 1
        try:
            return await self._run(request, body)
        finally:
            self.running -= 1

    async def _run(self, request: requests.Request, body: bytes):
        key = request.headers.get('x-business-key', request.url.path)
        attempt = request.headers.get('x-request-id', '')
        attempts = self.runs.setdefault(key, [])
        attempts.append(attempt)
        run = len(attempts)
        stalled = self.faults.hits('stall_share')
        await anyio.sleep(
            self.faults['stall_seconds'] if stalled else self.faults['delay']
        )
        if self.faults.hits('error_share'):
            return responses.JSONResponse({'error': 'fault'}, 500)
        if self.faults.hits('cross_share'):
            attempt = f'other-{uuid.uuid4().hex}'
        value = {
            'key': key,
            'method': request.method,
            'path': request.url.path,
            'size': len(body),
            'run': run,
            'attempt': attempt,
            'text': 'ได้รับเงินมัดจำแล้ว, waarborg ontvangen één keer',
            'time': time.time(),
        }
        return self._answer(value, attempt)

    def _answer(self, value: dict, attempt: str):
        payload = json.dumps(value, ensure_ascii=False).encode()
        headers = {'x-request-id': attempt, 'content-type': 'application/json'}
        cut = self.faults.hits('cut_share')
        if not cut:
            headers['content-length'] = str(len(payload))
        if cut or self.faults.hits('wrong_length_share'):
            return responses.StreamingResponse(
                self._break_off(payload[: len(payload) // 2], cut),
                headers=headers,
            )
        return responses.Response(payload, headers=headers)

    @staticmethod
    async def _break_off(payload: bytes, cut: bool):
        yield payload
        if cut:
            raise ConnectionAbortedError('answer broken off')


def make_app(delay: float = 0.0) -> applications.Starlette:
    """Returns the service as an application."""
    return applications.Starlette(routes=Service(delay).routes())


if __name__ == '__main__':
    programs.run_fire(make_app)
