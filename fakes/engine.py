"""Model engine with the OpenAI-style chat completions API."""

import json
import time
import uuid

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs


class Engine:
    """Engine that answers with numbered words.

    Args:
        first_token: Seconds to the first token.
        between_tokens: Seconds between tokens.
        tokens: Tokens of an answer.
        versions: Loaded versions, comma-separated; not reported if empty.
        cold_seconds: Seconds after the start in which it is cold.
        cold_slots: Concurrent first tokens that a cold engine computes
            without delay.
    """

    def __init__(
        self,
        first_token: float = 0.02,
        between_tokens: float = 0.005,
        tokens: int = 20,
        versions: str = '',
        cold_seconds: float = 0.0,
        cold_slots: int = 2,
    ):
        self._first_token = first_token
        self._between_tokens = between_tokens
        self._tokens = tokens
        # fire passes a list of plain words as a tuple.
        named = versions.split(',') if isinstance(versions, str) else versions
        self._versions = [v for v in named if v] or None
        self._cold_until = time.monotonic() + cold_seconds
        self._cold_slots = cold_slots
        self._incarnation = uuid.uuid4().hex
        self._running = 0
        self.runs: list[dict] = []

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        return [
            routing.Route(
                '/v1/chat/completions', self._complete, methods=['POST']
            ),
            routing.Route('/runs', self._list_runs, methods=['GET']),
            routing.Route('/load', self._report_load, methods=['GET']),
        ]

    async def _list_runs(self, request: requests.Request):
        return responses.JSONResponse(self.runs)

    async def _report_load(self, request: requests.Request):
        return responses.JSONResponse(
            {
                'incarnation': self._incarnation,
                'running': self._running,
                'waiting': 0,
                'cached_prefix_tokens': 0,
                'versions': self._versions,
                'lag_s': 0.0,
            }
        )

    async def _wait_first_token(self) -> None:
        factor = 1.0
        if time.monotonic() < self._cold_until:
            factor = max(1.0, self._running / self._cold_slots) ** 2
        await anyio.sleep(self._first_token * factor)

    async def _complete(self, request: requests.Request):
        body = await request.json()
        attempt = request.headers.get('x-request-id', '')
        self.runs.append({'attempt': attempt, 'version': body['model']})
        headers = {'x-request-id': attempt}
        usage = {
            'prompt_tokens': len(json.dumps(body['messages'])) // 4,
            'completion_tokens': self._tokens,
        }
        if body.get('stream'):
            return responses.StreamingResponse(
                self._stream(body, usage),
                headers=headers,
                media_type='text/event-stream',
            )
        self._running += 1
        try:
            await self._wait_first_token()
            await anyio.sleep(self._between_tokens * self._tokens)
        finally:
            self._running -= 1
        text = ' '.join(f'w{i}' for i in range(self._tokens))
        message = {'role': 'assistant', 'content': text}
        return responses.JSONResponse(
            {
                'object': 'chat.completion',
                'model': body['model'],
                'choices': [
                    {'index': 0, 'message': message, 'finish_reason': 'stop'}
                ],
                'usage': usage,
            },
            headers=headers,
        )

    async def _stream(self, body: dict, usage: dict):
        self._running += 1
        try:
            await self._wait_first_token()
            for i in range(self._tokens):
                if i:
                    await anyio.sleep(self._between_tokens)
                yield self._chunk(body, {'content': f'w{i} '}, None)
        finally:
            self._running -= 1
        yield self._chunk(body, {}, usage)
        yield 'data: [DONE]\n\n'

    @staticmethod
    def _chunk(body: dict, delta: dict, usage: dict | None) -> str:
        value = {
            'object': 'chat.completion.chunk',
            'model': body['model'],
            'choices': [{'index': 0, 'delta': delta}],
        }
        if usage is not None:
            value['usage'] = usage
        return f'data: {json.dumps(value, ensure_ascii=False)}\n\n'


def make_app(**options) -> applications.Starlette:
    """Returns an engine as an application."""
    return applications.Starlette(routes=Engine(**options).routes())


if __name__ == '__main__':
    programs.run_fire(make_app)
