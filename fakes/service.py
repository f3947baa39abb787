"""Fake HTTP service that counts the requests it has executed."""

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
    """Service that records the attempts it has executed, by business key.

    The business key is the header ``x-business-key`` or the path. An
    execution (run) is counted before its response is sent, so a call whose
    response is lost is counted too.

    Faults (``POST /faults``): ``delay`` is the duration of a call in
    seconds; ``refuse`` responds with 503 without a run; ``error_share``
    responds with 500 after the run; ``stall_share`` responds after
    ``stall_seconds``; ``cut_share`` and ``wrong_length_share`` end the
    response after half of the body; ``cross_share`` returns the id of
    another attempt.

    Args:
        delay: Duration of a call in seconds.
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
            return await self._execute(request, body)
        finally:
            self.running -= 1

    async def _execute(self, request: requests.Request, body: bytes):
        key = request.headers.get('x-business-key', request.url.path)
        attempt = request.headers.get('x-request-id', '')
        attempts = self.runs.setdefault(key, [])
        attempts.append(attempt)
        run_count = len(attempts)
        stalled = self.faults.is_triggered('stall_share')
        await anyio.sleep(
            self.faults['stall_seconds'] if stalled else self.faults['delay']
        )
        if self.faults.is_triggered('error_share'):
            return responses.JSONResponse({'error': 'fault'}, 500)
        if self.faults.is_triggered('cross_share'):
            attempt = f'other-{uuid.uuid4().hex}'
        value = {
            'key': key,
            'method': request.method,
            'path': request.url.path,
            'size': len(body),
            'run': run_count,
            'attempt': attempt,
            'text': 'ได้รับเงินมัดจำแล้ว, waarborg ontvangen één keer',
            'time': time.time(),
        }
        return self._respond(value, attempt)

    def _respond(self, value: dict, attempt: str):
        payload = json.dumps(value, ensure_ascii=False).encode()
        headers = {'x-request-id': attempt, 'content-type': 'application/json'}
        cut = self.faults.is_triggered('cut_share')
        if not cut:
            headers['content-length'] = str(len(payload))
        if cut or self.faults.is_triggered('wrong_length_share'):
            return responses.StreamingResponse(
                self._stream_truncated(payload[: len(payload) // 2], cut),
                headers=headers,
            )
        return responses.Response(payload, headers=headers)

    @staticmethod
    async def _stream_truncated(payload: bytes, cut: bool):
        yield payload
        if cut:
            raise ConnectionAbortedError(
                'response aborted after half of the body'
            )


def make_app(delay: float = 0.0) -> applications.Starlette:
    """Returns the service as an application."""
    return applications.Starlette(routes=Service(delay).routes())


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
