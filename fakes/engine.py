"""Model engine with the OpenAI-style chat completions API."""

import asyncio
import collections
import contextlib
import json
import re
import time
import uuid

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import batching
from fakes import faults
from fakes import prefixes
from fakes import programs

# Numbered, so that a reader can tell a lost from a repeated token. The first
# two are plain ASCII; the others put multi-byte characters into answers.
WORDS = ('', '', 'เช่า', 'bijen', 'ลำโพง', 'één', 'speaker', 'korf', 'วันนี้')
NUMBERED = re.compile(r'w(\d+)')
# Every such event is written in two parts, cut inside a character.
SPLIT_EVERY = 4
DONE = b'data: [DONE]\n\n'
KEPT_STREAMS = 256


def write_token(index: int) -> str:
    """Returns a token of the answers."""
    return f'w{index}{WORDS[index % len(WORDS)]} '


def write_text(tokens: int, first: int = 0) -> str:
    """Returns the text of a whole answer that begins with a token."""
    numbers = range(first, first + tokens)
    return ''.join(map(write_token, numbers)).rstrip()


def count_numbered(text: str) -> int:
    """Returns the number after the last whole numbered token of a text."""
    numbers = NUMBERED.findall(text)
    return int(numbers[-1]) + 1 if numbers else 0


def split_characters(payload: bytes) -> list[bytes]:
    """Cuts bytes inside the first multi-byte character, if there is one."""
    for index, byte in enumerate(payload):
        if byte >= 0xC0:
            return [payload[: index + 1], payload[index + 1 :]]
    return [payload]


def parse_versions(text) -> dict[str, float]:
    """Returns version to relative step time from ``name:factor,...``.

    Args:
        text: The option; fire passes a list of plain names as a tuple.
    """
    items = text.split(',') if isinstance(text, str) else text
    pairs = (str(item).strip().rpartition(':') for item in items if item)
    return {
        name or factor: float(factor) if name else 1.0
        for name, _, factor in pairs
    }


class LoadHistory:
    """Load reports that lag.

    Args:
        lag: Seconds by which a report is late.
    """

    def __init__(self, lag: float):
        self._lag = lag
        self._entries: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def record(self, load: dict) -> None:
        """Records the present load."""
        self._entries.append((time.monotonic(), load))
        self.read()

    def read(self) -> dict:
        """Returns the newest load that is at least the lag old."""
        visible = time.monotonic() - self._lag
        entries = self._entries
        while len(entries) > 1 and entries[1][0] <= visible:
            entries.popleft()
        return entries[0][1]


class Engine:
    """Engine that answers with numbered words in several languages.

    Options of the command line are the arguments of ``make_app``. Faults
    (``POST /faults``): ``slow`` is a factor on all times; ``error_share``
    answers 500, ``refuse`` answers 503; ``stall_share`` stops a stream in
    the middle for ``stall_seconds``; ``cut_share`` breaks it in the middle,
    without ``[DONE]``; ``cross_share`` echoes another attempt's id;
    ``wrong_length_share`` leaves out the end of a plain answer or some bytes
    of a stream. ``cold_start`` starts the engine cold without a warning and
    switches itself off; with ``cold_cut`` it breaks what is running.

    A chat with ``continue_final_message`` goes on after the last numbered
    token of its last message.

    Args:
        first_token: Time of the engine for a first token besides the
            prompt's, in seconds.
        batch_options: Options of batching.Batch.
        cache: Prompt-prefix cache.
        tokens: Tokens of an answer without ``max_tokens``.
        versions: Loaded versions and their relative step times; empty for
            any version.
        cold_seconds: Time to become warm in seconds.
        cold_factor: Factor on all times while cold; falls to 1 linearly.
        cold_slots: Sequences that a cold engine runs without becoming even
            slower; 0 for any number.
        lag: Lag of load reports in seconds.
        check_fencing: Whether orders with an old fencing number are refused.
        load_seconds: Time to load a version in seconds.
        resume_seconds: Time for which an answer goes on after its client has
            gone, so that it can be resumed.
    """

    def __init__(
        self,
        first_token: float,
        batch_options: dict,
        cache: prefixes.PrefixCache,
        tokens: int,
        versions: dict[str, float],
        cold_seconds: float,
        cold_factor: float,
        cold_slots: int,
        lag: float,
        check_fencing: bool,
        load_seconds: float,
        resume_seconds: float,
    ):
        self._first_token_work = int(
            first_token / batch_options['prefill_seconds']
        )
        self._tokens = tokens
        self._versions = versions
        self._any_version = not versions
        self._cold_seconds = cold_seconds
        self._cold_factor = cold_factor
        self._cold_slots = cold_slots
        self._lag = lag
        self._check_fencing = check_fencing
        self._load_seconds = load_seconds
        self._resume_seconds = resume_seconds
        self._cache = cache
        self._history = LoadHistory(lag)
        self._fencing = 0
        self._role = 'mixed'
        self.runs: list[dict] = []
        self._streams: collections.OrderedDict[
            str, tuple[batching.Sequence, dict]
        ] = collections.OrderedDict()
        self.faults = faults.Faults(
            slow=1.0,
            error_share=0.0,
            refuse=False,
            stall_share=0.0,
            stall_seconds=3600.0,
            cut_share=0.0,
            cross_share=0.0,
            wrong_length_share=0.0,
            cold_start=False,
            cold_cut=False,
            on_change=self._change_faults,
        )
        self.batch = batching.Batch(
            get_slowness=self._measure_slowness,
            on_change=self._record_load,
            **batch_options,
        )
        self._start_cold()

    def _start_cold(self) -> None:
        self.incarnation = uuid.uuid4().hex
        self._warm_at = time.monotonic() + self._cold_seconds
        self._cache.clear()
        self._record_load()

    def _measure_slowness(self) -> float:
        factor = self.faults['slow']
        left = self._warm_at - time.monotonic()
        if left > 0:
            share = left / self._cold_seconds
            factor *= 1 + (self._cold_factor - 1) * share
            if self._cold_slots:
                factor *= max(1.0, self.batch.running / self._cold_slots) ** 2
        return factor

    def _record_load(self) -> None:
        self._history.record(
            {
                'incarnation': self.incarnation,
                'running': self.batch.running,
                'waiting': self.batch.waiting,
                'cached_prefix_tokens': self._cache.tokens,
                'versions': None
                if self._any_version
                else sorted(self._versions),
                'lag_s': self._lag,
            }
        )

    @contextlib.asynccontextmanager
    async def run_batch(self):
        """Runs the batch while the application is served."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.batch.run)
            yield
            group.cancel_scope.cancel()

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        table = [
            ('/v1/chat/completions', self._complete, 'POST'),
            ('/v1/streams/{attempt}', self._resume, 'GET'),
            ('/load', self._show_load, 'GET'),
            ('/cache-events', self._list_events, 'GET'),
            ('/runs', self._list_runs, 'GET'),
            ('/orders', self._take_order, 'POST'),
        ]
        return [
            *(routing.Route(p, h, methods=[m]) for p, h, m in table),
            *self.faults.routes(),
        ]

    async def _show_load(self, request: requests.Request):
        return responses.JSONResponse(self._history.read())

    async def _list_events(self, request: requests.Request):
        since = int(request.query_params.get('since', 0))
        return responses.JSONResponse(self._cache.events(since))

    async def _list_runs(self, request: requests.Request):
        return responses.JSONResponse(self.runs)

    def _change_faults(self) -> None:
        if self.faults['cold_start']:
            self.faults.values['cold_start'] = False
            if self.faults['cold_cut']:
                self.batch.close_all()
            self._start_cold()

    async def _take_order(self, request: requests.Request):
        order = await request.json()
        fencing = int(order.get('fencing', 0))
        if self._check_fencing and fencing < self._fencing:
            return responses.JSONResponse(
                {'error': 'old fencing number', 'fencing': self._fencing}, 409
            )
        self._fencing = max(self._fencing, fencing)
        kind, version = order.get('order'), order.get('version', '')
        if kind == 'load':
            await anyio.sleep(self._load_seconds)
            self._versions.setdefault(version, float(order.get('speed', 1)))
            self._any_version = False
        elif kind == 'unload':
            self._versions.pop(version, None)
            self._any_version = False
        elif kind == 'role':
            self._role = str(order.get('role', version))
        else:
            return responses.JSONResponse({'error': 'unknown order'}, 400)
        self._record_load()
        return responses.JSONResponse(
            {
                'fencing': self._fencing,
                'role': self._role,
                'versions': sorted(self._versions),
            }
        )

    async def _complete(self, request: requests.Request):
        body = await request.json()
        version = body['model']
        if self.faults['refuse']:
            return responses.JSONResponse({'error': 'refused'}, 503)
        if not self._any_version and version not in self._versions:
            return responses.JSONResponse(
                {'error': f'version {version} is not loaded'}, 404
            )
        if self.faults.hits('error_share'):
            return responses.JSONResponse({'error': 'fault'}, 500)
        sequence, run = self._start(request, body)
        attempt = sequence.attempt
        if self.faults.hits('cross_share'):
            attempt = f'other-{uuid.uuid4().hex}'
        headers = {'x-request-id': attempt}
        if body.get('stream'):
            return responses.StreamingResponse(
                self._stream(sequence, run, attempt, 0),
                headers=headers,
                media_type='text/event-stream',
            )
        return await self._answer_plain(request, sequence, run, headers)

    def _start(
        self, request: requests.Request, body: dict
    ) -> tuple[batching.Sequence, dict]:
        prompt = '\n'.join(
            f'{m.get("role")}:{m.get("content")}' for m in body['messages']
        )
        cached = self._cache.use(prompt)
        prompt_tokens = prefixes.count_tokens(prompt)
        sequence = batching.Sequence(
            attempt=request.headers.get('x-request-id', ''),
            prefill_left=max(1, prompt_tokens - cached)
            + self._first_token_work,
            tokens=max(1, int(body.get('max_tokens') or self._tokens)),
            speed=self._versions.get(body['model'], 1.0),
            priority=int(request.headers.get('x-priority', 4)),
        )
        if body.get('continue_final_message'):
            sequence.first = count_numbered(body['messages'][-1]['content'])
            # max_tokens limits the new tokens, not the whole message.
            if not body.get('max_tokens'):
                sequence.tokens = max(1, sequence.tokens - sequence.first)
        run = {
            'attempt': sequence.attempt,
            'version': body['model'],
            # Tells a test whose request it is; engines are not told.
            'opening': str(body['messages'][0].get('content'))[:64],
            'start': time.time(),
            'end': None,
            'tokens': 0,
            'prompt_tokens': prompt_tokens,
            'cached_tokens': min(cached, prompt_tokens),
            'complete': False,
        }
        self.runs.append(run)
        if sequence.attempt:
            self._streams[sequence.attempt] = sequence, run
            while len(self._streams) > KEPT_STREAMS:
                self._streams.popitem(last=False)
        self.batch.add(sequence)
        return sequence, run

    def _end(self, sequence: batching.Sequence, run: dict) -> None:
        self.batch.close(sequence)
        run['end'] = time.time()
        run['tokens'] = sequence.produced
        run['complete'] = sequence.produced >= sequence.tokens

    @staticmethod
    def _usage(sequence: batching.Sequence, run: dict) -> dict:
        return {
            'prompt_tokens': run['prompt_tokens'],
            'completion_tokens': sequence.produced,
            'cached_prompt_tokens': run['cached_tokens'],
        }

    async def _answer_plain(self, request, sequence, run, headers):
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_client, request, sequence)
            while not sequence.closed:
                await sequence.wait_beyond(sequence.produced)
            group.cancel_scope.cancel()
        self._end(sequence, run)
        message = {
            'role': 'assistant',
            'content': write_text(sequence.produced, sequence.first),
        }
        value = {
            'id': headers['x-request-id'],
            'object': 'chat.completion',
            'model': run['version'],
            'choices': [
                {'index': 0, 'message': message, 'finish_reason': 'stop'}
            ],
            'usage': self._usage(sequence, run),
        }
        payload = json.dumps(value, ensure_ascii=False).encode()
        headers['content-type'] = 'application/json'
        broken = not run['complete'] or self.faults.hits('cut_share')
        if broken or self.faults.hits('wrong_length_share'):
            headers['content-length'] = str(len(payload))
            payload = payload[: len(payload) // 2]
        return responses.StreamingResponse(
            _iterate(split_characters(payload)), headers=headers
        )

    async def _watch_client(self, request, sequence) -> None:
        while not await request.is_disconnected():
            await anyio.sleep(0.1)
        self.batch.close(sequence)

    async def _stream(
        self,
        sequence: batching.Sequence,
        run: dict,
        attempt: str,
        offset: int,
    ):
        """Yields the answer from a byte offset on."""
        fault = next(
            (
                name
                for name in ('stall', 'cut', 'wrong_length')
                if self.faults.hits(f'{name}_share')
            ),
            '',
        )
        middle = sequence.tokens // 2
        skip = offset
        try:
            for index in range(sequence.tokens):
                await sequence.wait_beyond(index)
                if sequence.produced <= index or (
                    index == middle and fault == 'cut'
                ):
                    raise ConnectionAbortedError('answer broken off')
                if index == middle and fault == 'stall':
                    await anyio.sleep(self.faults['stall_seconds'])
                event = self._event(run, attempt, sequence.first + index)
                if index == middle and fault == 'wrong_length':
                    event = event[: len(event) // 2]
                skip, event = max(0, skip - len(event)), event[skip:]
                parts = [event] if event else []
                if index % SPLIT_EVERY == 0:
                    parts = split_characters(event) if event else []
                for part in parts:
                    yield part
            usage = self._usage(sequence, run)
            end = self._event(run, attempt, sequence.tokens, usage) + DONE
            yield end[skip:]
        finally:
            self._leave(sequence, run)

    def _leave(self, sequence: batching.Sequence, run: dict) -> None:
        if sequence.closed or not self._resume_seconds:
            self._end(sequence, run)
        else:
            asyncio.get_running_loop().call_later(
                self._resume_seconds, self._end, sequence, run
            )

    def _event(
        self, run: dict, attempt: str, index: int, usage: dict | None = None
    ) -> bytes:
        delta = {} if usage else {'content': write_token(index)}
        value = {
            'id': attempt,
            'object': 'chat.completion.chunk',
            'model': run['version'],
            'choices': [{'index': 0, 'delta': delta}],
        }
        if usage is not None:
            value['usage'] = usage
        return f'data: {json.dumps(value, ensure_ascii=False)}\n\n'.encode()

    async def _resume(self, request: requests.Request):
        attempt = request.path_params['attempt']
        found = self._streams.get(attempt)
        if found is None:
            return responses.JSONResponse({'error': 'unknown stream'}, 404)
        sequence, run = found
        if sequence.closed and sequence.produced < sequence.tokens:
            return responses.JSONResponse({'error': 'cancelled'}, 410)
        return responses.StreamingResponse(
            self._stream(
                sequence,
                run,
                attempt,
                int(request.query_params.get('offset', 0)),
            ),
            headers={'x-request-id': attempt},
            media_type='text/event-stream',
        )


async def _iterate(parts: list[bytes]):
    for part in parts:
        yield part


def make_app(
    first_token: float = 0.0,
    between_tokens: float = 0.005,
    slots: int = 16,
    growth: float = 0.03,
    prefill_seconds: float = 0.00005,
    prefill_chunk: int = 2048,
    cache_blocks: int = 4096,
    block_tokens: int = 16,
    event_lag: float = 0.5,
    event_gap_share: float = 0.05,
    tokens: int = 20,
    versions='',
    cold_seconds: float = 0.0,
    cold_factor: float = 8.0,
    cold_slots: int = 0,
    lag: float = 0.0,
    check_fencing: bool = True,
    load_seconds: float = 0.05,
    resume_seconds: float = 0.0,
) -> applications.Starlette:
    """Returns an engine as an application; see Engine, Batch, PrefixCache."""
    engine = Engine(
        first_token,
        {
            'slots': slots,
            'step_seconds': between_tokens,
            'growth': growth,
            'prefill_seconds': prefill_seconds,
            'prefill_chunk': prefill_chunk,
        },
        prefixes.PrefixCache(
            cache_blocks, block_tokens, event_lag, event_gap_share
        ),
        tokens,
        parse_versions(versions),
        cold_seconds,
        cold_factor,
        cold_slots,
        lag,
        check_fencing,
        load_seconds,
        resume_seconds,
    )
    app = applications.Starlette(routes=engine.routes())
    app.state.engine = engine
    return app


if __name__ == '__main__':
    programs.run_fire(make_app, lambda app: app.state.engine.run_batch())
