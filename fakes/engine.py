"""Fake model engine with an OpenAI-compatible chat completions API."""

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

# Suffixes of the numbered tokens, by index. The multi-byte characters in some
# of them test the handling of characters that are split between chunks.
TOKEN_SUFFIXES = (
    '',
    '',
    'เช่า',
    'bijen',
    'ลำโพง',
    'één',
    'speaker',
    'korf',
    'วันนี้',
)
TOKEN_NUMBER = re.compile(r'w(\d+)')
# Every event at this interval is sent as two chunks, split in a character.
SPLIT_INTERVAL_EVENTS = 4
END_EVENT = b'data: [DONE]\n\n'
MAX_RESUMABLE_STREAMS = 256


def format_token(index: int) -> str:
    """Returns the text of a token.

    The number in it distinguishes a lost from a repeated token.
    """
    return f'w{index}{TOKEN_SUFFIXES[index % len(TOKEN_SUFFIXES)]} '


def format_text(tokens: int, first: int = 0) -> str:
    """Returns the text of a response.

    Args:
        tokens: Length in tokens.
        first: Index of the first token.
    """
    numbers = range(first, first + tokens)
    return ''.join(map(format_token, numbers)).rstrip()


def find_next_index(text: str) -> int:
    """Returns the index that follows the last numbered token of a text."""
    numbers = TOKEN_NUMBER.findall(text)
    return int(numbers[-1]) + 1 if numbers else 0


def split_inside_character(payload: bytes) -> list[bytes]:
    """Splits UTF-8 text inside its first multi-byte character, if any."""
    for index, byte in enumerate(payload):
        if byte >= 0xC0:
            return [payload[: index + 1], payload[index + 1 :]]
    return [payload]


def parse_versions(text) -> dict[str, float]:
    """Parses ``name:factor,...`` into step time factors by version.

    Args:
        text: Value of the option. Fire passes a list of names without
            factors as a tuple.
    """
    items = text.split(',') if isinstance(text, str) else text
    pairs = (str(item).strip().rpartition(':') for item in items if item)
    return {
        name or factor: float(factor) if name else 1.0
        for name, _, factor in pairs
    }


class LoadHistory:
    """History from which load reports are served with a delay.

    Args:
        lag: Delay of a report in seconds.
    """

    def __init__(self, lag: float):
        self._lag = lag
        self._entries: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def record(self, load: dict) -> None:
        """Records the current load."""
        self._entries.append((time.monotonic(), load))
        self.read()

    def read(self) -> dict:
        """Returns the newest load at least ``lag`` old, else the oldest."""
        visible = time.monotonic() - self._lag
        entries = self._entries
        while len(entries) > 1 and entries[1][0] <= visible:
            entries.popleft()
        return entries[0][1]


class Engine:
    """Engine that generates numbered tokens with words of several languages.

    The arguments of ``make_app`` are the options of the command line. Faults
    (``POST /faults``): ``slow`` is a factor on all times; ``error_share``
    responds with 500, ``refuse`` with 503; ``stall_share`` pauses a stream
    in the middle for ``stall_seconds``; ``cut_share`` aborts it in the
    middle, without ``[DONE]``; ``cross_share`` returns the id of another
    attempt; ``wrong_length_share`` omits the end of a JSON response or some
    bytes of a stream. ``cold_start`` restarts the engine cold without notice
    and resets itself; with ``cold_cut`` it aborts the running requests too.

    A chat with ``continue_final_message`` continues after the last numbered
    token of its last message.

    Args:
        first_token: Time to the first token in seconds, in addition to the
            time for the prompt.
        batch_options: Arguments of batching.Batch.
        cache: Prompt-prefix cache.
        tokens: Length in tokens of a response without ``max_tokens``.
        versions: Step time factors of the loaded versions; empty to accept
            any version.
        cold_seconds: Duration of the warm-up in seconds.
        cold_factor: Factor on all times after a cold start; decreases
            linearly to 1 during the warm-up.
        cold_slots: Sequences that a cold engine runs without a further
            slowdown; 0 for any number.
        lag: Delay of load reports in seconds.
        check_fencing: Whether to refuse orders with an old fencing number.
        load_seconds: Time to load a version in seconds.
        resume_seconds: Time for which generation continues after the client
            disconnected, so that the stream can be resumed.
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
        # first_token as the number of prompt tokens that take this time.
        self._first_token_prefill_tokens = int(
            first_token / batch_options['prefill_seconds']
        )
        self._tokens = tokens
        self._versions = versions
        self._accepts_any_version = not versions
        self._cold_seconds = cold_seconds
        self._cold_factor = cold_factor
        self._cold_slots = cold_slots
        self._lag = lag
        self._check_fencing = check_fencing
        self._load_seconds = load_seconds
        self._resume_seconds = resume_seconds
        self._cache = cache
        self._load_history = LoadHistory(lag)
        self._fencing_number = 0
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
            on_change=self._apply_fault_changes,
        )
        self.batch = batching.Batch(
            get_slowdown_factor=self._compute_slowdown_factor,
            on_change=self._record_load,
            **batch_options,
        )
        self._start_cold()

    def _start_cold(self) -> None:
        self.incarnation = uuid.uuid4().hex
        self._warm_at = time.monotonic() + self._cold_seconds
        self._cache.clear()
        self._record_load()

    def _compute_slowdown_factor(self) -> float:
        factor = self.faults['slow']
        remaining = self._warm_at - time.monotonic()
        if remaining > 0:
            share = remaining / self._cold_seconds
            factor *= 1 + (self._cold_factor - 1) * share
            if self._cold_slots:
                factor *= max(1.0, self.batch.running / self._cold_slots) ** 2
        return factor

    def _record_load(self) -> None:
        self._load_history.record(
            {
                'incarnation': self.incarnation,
                'running': self.batch.running,
                'waiting': self.batch.waiting,
                'cached_prefix_tokens': self._cache.tokens,
                'versions': None
                if self._accepts_any_version
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
            ('/v1/chat/completions', self._create_completion, 'POST'),
            ('/v1/streams/{attempt}', self._resume, 'GET'),
            ('/load', self._show_load, 'GET'),
            ('/cache-events', self._list_events, 'GET'),
            ('/runs', self._list_runs, 'GET'),
            ('/orders', self._handle_order, 'POST'),
        ]
        return [
            *(routing.Route(p, h, methods=[m]) for p, h, m in table),
            *self.faults.routes(),
        ]

    async def _show_load(self, request: requests.Request):
        return responses.JSONResponse(self._load_history.read())

    async def _list_events(self, request: requests.Request):
        since = int(request.query_params.get('since', 0))
        return responses.JSONResponse(self._cache.list_events(since))

    async def _list_runs(self, request: requests.Request):
        return responses.JSONResponse(self.runs)

    def _apply_fault_changes(self) -> None:
        if self.faults['cold_start']:
            self.faults.values['cold_start'] = False
            if self.faults['cold_cut']:
                self.batch.close_all()
            self._start_cold()

    async def _handle_order(self, request: requests.Request):
        order = await request.json()
        fencing = int(order.get('fencing', 0))
        if self._check_fencing and fencing < self._fencing_number:
            return responses.JSONResponse(
                {
                    'error': 'old fencing number',
                    'fencing': self._fencing_number,
                },
                409,
            )
        self._fencing_number = max(self._fencing_number, fencing)
        kind, version = order.get('order'), order.get('version', '')
        if kind == 'load':
            await anyio.sleep(self._load_seconds)
            self._versions.setdefault(version, float(order.get('speed', 1)))
            self._accepts_any_version = False
        elif kind == 'unload':
            self._versions.pop(version, None)
            self._accepts_any_version = False
        elif kind == 'role':
            self._role = str(order.get('role', version))
        else:
            return responses.JSONResponse({'error': 'unknown order'}, 400)
        self._record_load()
        return responses.JSONResponse(
            {
                'fencing': self._fencing_number,
                'role': self._role,
                'versions': sorted(self._versions),
            }
        )

    async def _create_completion(self, request: requests.Request):
        body = await request.json()
        version = body['model']
        if self.faults['refuse']:
            return responses.JSONResponse({'error': 'refused'}, 503)
        if not self._accepts_any_version and version not in self._versions:
            return responses.JSONResponse(
                {'error': f'version {version} is not loaded'}, 404
            )
        if self.faults.is_triggered('error_share'):
            return responses.JSONResponse({'error': 'fault'}, 500)
        sequence, run = self._enqueue(request, body)
        attempt = sequence.attempt
        if self.faults.is_triggered('cross_share'):
            attempt = f'other-{uuid.uuid4().hex}'
        headers = {'x-request-id': attempt}
        if body.get('stream'):
            return responses.StreamingResponse(
                self._stream(sequence, run, attempt, 0),
                headers=headers,
                media_type='text/event-stream',
            )
        return await self._respond_json(request, sequence, run, headers)

    def _enqueue(
        self, request: requests.Request, body: dict
    ) -> tuple[batching.Sequence, dict]:
        prompt = '\n'.join(
            f'{m.get("role")}:{m.get("content")}' for m in body['messages']
        )
        cached = self._cache.insert(prompt)
        prompt_tokens = prefixes.count_tokens(prompt)
        sequence = batching.Sequence(
            attempt=request.headers.get('x-request-id', ''),
            prefill_remaining=max(1, prompt_tokens - cached)
            + self._first_token_prefill_tokens,
            response_tokens=max(
                1, int(body.get('max_tokens') or self._tokens)
            ),
            step_time_factor=self._versions.get(body['model'], 1.0),
            priority=int(request.headers.get('x-priority', 4)),
        )
        if body.get('continue_final_message'):
            sequence.first_index = find_next_index(
                body['messages'][-1]['content']
            )
            # max_tokens limits the new tokens, not the whole message.
            if not body.get('max_tokens'):
                sequence.response_tokens = max(
                    1, sequence.response_tokens - sequence.first_index
                )
        run = {
            'attempt': sequence.attempt,
            'version': body['model'],
            # Lets tests identify whose request this is, which the engine's
            # API does not convey.
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
            while len(self._streams) > MAX_RESUMABLE_STREAMS:
                self._streams.popitem(last=False)
        self.batch.add(sequence)
        return sequence, run

    def _finish(self, sequence: batching.Sequence, run: dict) -> None:
        self.batch.close(sequence)
        run['end'] = time.time()
        run['tokens'] = sequence.produced_tokens
        run['complete'] = sequence.produced_tokens >= sequence.response_tokens

    @staticmethod
    def _count_usage(sequence: batching.Sequence, run: dict) -> dict:
        return {
            'prompt_tokens': run['prompt_tokens'],
            'completion_tokens': sequence.produced_tokens,
            'cached_prompt_tokens': run['cached_tokens'],
        }

    async def _respond_json(self, request, sequence, run, headers):
        async with anyio.create_task_group() as group:
            group.start_soon(self._close_on_disconnect, request, sequence)
            while not sequence.closed:
                await sequence.wait_for_progress(sequence.produced_tokens)
            group.cancel_scope.cancel()
        self._finish(sequence, run)
        message = {
            'role': 'assistant',
            'content': format_text(
                sequence.produced_tokens, sequence.first_index
            ),
        }
        value = {
            'id': headers['x-request-id'],
            'object': 'chat.completion',
            'model': run['version'],
            'choices': [
                {'index': 0, 'message': message, 'finish_reason': 'stop'}
            ],
            'usage': self._count_usage(sequence, run),
        }
        payload = json.dumps(value, ensure_ascii=False).encode()
        headers['content-type'] = 'application/json'
        broken = not run['complete'] or self.faults.is_triggered('cut_share')
        if broken or self.faults.is_triggered('wrong_length_share'):
            headers['content-length'] = str(len(payload))
            payload = payload[: len(payload) // 2]
        return responses.StreamingResponse(
            _yield_parts(split_inside_character(payload)), headers=headers
        )

    async def _close_on_disconnect(self, request, sequence) -> None:
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
        """Yields the events of the response from a byte offset on."""
        fault = next(
            (
                name
                for name in ('stall', 'cut', 'wrong_length')
                if self.faults.is_triggered(f'{name}_share')
            ),
            '',
        )
        middle = sequence.response_tokens // 2
        skip_bytes = offset
        try:
            for index in range(sequence.response_tokens):
                await sequence.wait_for_progress(index)
                if sequence.produced_tokens <= index or (
                    index == middle and fault == 'cut'
                ):
                    raise ConnectionAbortedError(
                        f'stream aborted after {index} of '
                        f'{sequence.response_tokens} tokens'
                    )
                if index == middle and fault == 'stall':
                    await anyio.sleep(self.faults['stall_seconds'])
                event = self._format_event(
                    run, attempt, sequence.first_index + index
                )
                if index == middle and fault == 'wrong_length':
                    event = event[: len(event) // 2]
                skip_bytes, event = (
                    max(0, skip_bytes - len(event)),
                    event[skip_bytes:],
                )
                parts = [event] if event else []
                if index % SPLIT_INTERVAL_EVENTS == 0:
                    parts = split_inside_character(event) if event else []
                for part in parts:
                    yield part
            usage = self._count_usage(sequence, run)
            last_events = (
                self._format_event(
                    run, attempt, sequence.response_tokens, usage
                )
                + END_EVENT
            )
            yield last_events[skip_bytes:]
        finally:
            self._finish_or_keep(sequence, run)

    def _finish_or_keep(self, sequence: batching.Sequence, run: dict) -> None:
        if sequence.closed or not self._resume_seconds:
            self._finish(sequence, run)
        else:
            asyncio.get_running_loop().call_later(
                self._resume_seconds, self._finish, sequence, run
            )

    def _format_event(
        self, run: dict, attempt: str, index: int, usage: dict | None = None
    ) -> bytes:
        delta = {} if usage else {'content': format_token(index)}
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
        entry = self._streams.get(attempt)
        if entry is None:
            return responses.JSONResponse({'error': 'unknown stream'}, 404)
        sequence, run = entry
        if (
            sequence.closed
            and sequence.produced_tokens < sequence.response_tokens
        ):
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


async def _yield_parts(parts: list[bytes]):
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
    """Returns an engine as an application.

    The options are described at Engine, Batch and PrefixCache.
    """
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
    programs.run_from_command_line(
        make_app, lambda app: app.state.engine.run_batch()
    )
