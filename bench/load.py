"""Load generator that validates responses as an external client.

Requests arrive according to a seeded process, in chats of several
organisations. Each response is checked for its model version, attempt, token
order and end.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json
import random
import re
import time

import anyio
from hdrh import histogram
import httpcore

from chivejunction import registry

ARRIVALS: registry.Registry[Callable] = registry.Registry('arrival process')
TOKEN_NUMBER_PATTERN = re.compile(r'w(\d+)')
MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_MICROSECONDS = 600 * MICROSECONDS_PER_SECOND
# Requests still in flight this long after the last arrival are cancelled.
COMPLETION_TIMEOUT_SECONDS = 60


@ARRIVALS.register('poisson')
def arrive_poisson(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields the gaps in seconds of a Poisson process."""
    while True:
        yield rng.expovariate(rate)


@ARRIVALS.register('even')
def arrive_evenly(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields constant gaps in seconds."""
    while True:
        yield 1 / rate


@ARRIVALS.register('bursts')
def arrive_in_bursts(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields gaps in seconds: bursts of eight requests at the mean rate."""
    while True:
        yield rng.expovariate(rate / 8)
        yield from [0.0] * 7


@dataclasses.dataclass
class Workload:
    """Parameters of the generated traffic.

    Attributes:
        urls: Base URLs of gateways; each request goes to one at random.
        organisations: Relative weight by credential.
        seed: Seed of all random number generators.
        rate: Requests per second.
        seconds: Duration of the arrivals.
        arrivals: Name of the arrival process.
        model: Requested model.
        versions: Model versions that may respond; empty for any.
        sessions: Number of concurrent chats.
        session_share: Share of chats that send a session id.
        turns: Number of turns after which a new chat replaces a chat.
        system_characters: Length of an organisation's system prompt.
        turn_characters: Length of one message.
        tokens: Mean of the requested maximum number of tokens.
        stream_share: Share of requests for a streamed response.
        classes: Request classes, chosen at random.
        deadline_ms: Deadline of a request, None for the gateway's default.
    """

    urls: list[str]
    organisations: dict[str, float]
    seed: int = 1
    rate: float = 20.0
    seconds: float = 20.0
    arrivals: str = 'poisson'
    model: str = 'auto'
    versions: frozenset[str] = frozenset()
    sessions: int = 36
    session_share: float = 0.5
    turns: int = 8
    system_characters: int = 1600
    turn_characters: int = 400
    tokens: int = 24
    stream_share: float = 0.8
    classes: tuple[str, ...] = ('faq', 'advice')
    deadline_ms: int | None = 30_000


@dataclasses.dataclass
class Chat:
    """State of a chat of one organisation.

    Attributes:
        number: Sequence number of the chat.
        key: Credential of the organisation.
        has_session: Whether its requests carry a session id.
        turn: Number of turns sent so far.
    """

    number: int
    key: str
    has_session: bool
    turn: int = 0


@dataclasses.dataclass
class Sample:
    """One request as observed by the client.

    Attributes:
        gateway: Index of the gateway.
        started: Seconds from the start of the load.
        kind: ``answered``, ``refused``, ``cut``, ``crossed``,
            ``wrong_version``, ``lost`` (no response) or ``unreachable``.
        code: ``code/verdict`` of a refusal.
        attempt: Attempt id from the response headers.
        size: Bytes of the request and response bodies.
        first_token: Seconds to the first token of a stream, else None.
        total: Seconds to the end of the request.
        credential: Credential of the caller.
        session: Session id of the request, empty without one.
        version: Model version from the response headers.
        resent: Number of times it was sent again to another gateway.
        began: Start in seconds since the epoch.
        looks_complete: Whether a caller who does not check the tokens would
            accept the response as complete.
    """

    gateway: int
    started: float
    kind: str = 'lost'
    code: str = ''
    attempt: str = ''
    size: int = 0
    first_token: float | None = None
    total: float = 0.0
    credential: str = ''
    session: str = ''
    version: str = ''
    resent: int = 0
    began: float = 0.0
    looks_complete: bool = False


class Balancer:
    """Chooses a gateway per request like the platform's load balancer.

    Args:
        urls: Base URLs of gateways.
    """

    def __init__(self, urls: list[str]):
        self.urls = urls
        self._open = list(range(len(urls)))

    def pick(self, rng: random.Random, tried: frozenset[int]) -> int:
        """Returns the index of a random gateway for the next try.

        Prefers open gateways that were not tried; if all were tried, uses any
        open gateway, and any gateway if none is open.

        Args:
            rng: Random source.
            tried: Indices of the gateways that were tried.
        """
        untried = [i for i in self._open if i not in tried]
        candidates = untried or self._open or list(range(len(self.urls)))
        return candidates[rng.randrange(len(candidates))]

    def close(self, url: str) -> None:
        """Stops sending new requests to a gateway."""
        self._open.remove(self.urls.index(url))

    def open(self, url: str) -> None:
        """Resumes sending requests to a gateway."""
        if self.urls.index(url) not in self._open:
            self._open.append(self.urls.index(url))


async def send_with_resend(
    sample, balancer: Balancer, rng: random.Random, exchange
) -> None:
    """Sends a request and retries it if a stopping gateway refuses it.

    A retry goes to another gateway. A failed connection is retried as well,
    since no part of the request was sent.

    Args:
        sample: Sample with ``kind``, ``code`` and ``resent``.
        balancer: Chooses the gateways.
        rng: Random source.
        exchange: Called with the sample and the base URL. Sets the kind,
            which is ``cut`` while the response is incomplete.
    """
    tried: frozenset[int] = frozenset()
    while True:
        index = balancer.pick(rng, tried)
        tried |= {index}
        await _try_once(sample, balancer.urls[index], exchange)
        should_resend = sample.kind == 'unreachable' or (
            sample.kind == 'refused' and sample.code == 'leaving/not_run'
        )
        if not should_resend or len(tried) == len(balancer.urls):
            return
        sample.resent += 1
        sample.code = ''


async def _try_once(sample, url: str, exchange) -> None:
    sample.kind = 'lost'
    try:
        await exchange(sample, url)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        sample.kind = 'unreachable'
    except (httpcore.NetworkError, httpcore.ProtocolError):
        # exchange() has set the kind to cut if the response had started.
        return


def make_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of times in microseconds."""
    return histogram.HdrHistogram(1, MAX_RECORDED_MICROSECONDS, 3)


def record_seconds(target: histogram.HdrHistogram, seconds: float) -> None:
    """Records a time, clamped to the range of the histogram."""
    value = max(1, int(seconds * MICROSECONDS_PER_SECOND))
    target.record_value(min(value, MAX_RECORDED_MICROSECONDS))


def read_percentiles(source: histogram.HdrHistogram) -> dict[str, float]:
    """Returns the percentiles in seconds and the number of values."""
    values = {
        f'p{p}': round(
            source.get_value_at_percentile(p) / MICROSECONDS_PER_SECOND, 4
        )
        for p in (50, 95, 99)
    }
    return {**values, 'count': source.get_total_count()}


class ResponseReader:
    """Reads the body of a response and classifies the result.

    Args:
        is_stream: Whether the response is an event stream.
        started: Monotonic time in seconds when the request was sent.
        gaps: Histogram for the times between tokens.
    """

    def __init__(
        self, is_stream: bool, started: float, gaps: histogram.HdrHistogram
    ):
        self.first_token: float | None = None
        self.size = 0
        self._is_stream = is_stream
        self._started = started
        self._gaps = gaps
        self._latest_token_time = 0.0
        self._buffer = b''
        self._events: list[bytes] = []

    def feed(self, chunk: bytes) -> None:
        """Processes the next bytes of the body."""
        self.size += len(chunk)
        self._buffer += chunk
        if not self._is_stream:
            return
        *events, self._buffer = self._buffer.split(b'\n\n')
        for event in events:
            self._events.append(event.removeprefix(b'data: '))
            self._record_token_time(time.monotonic())

    def _record_token_time(self, now: float) -> None:
        if self.first_token is None:
            self.first_token = now - self._started
        elif self._events[-1] != b'[DONE]':
            record_seconds(self._gaps, now - self._latest_token_time)
        self._latest_token_time = now

    def classify(
        self, headers: dict[bytes, bytes], versions: frozenset[str]
    ) -> str:
        """Returns the kind of the sample.

        Args:
            headers: Response headers, with lower-case names.
            versions: Model versions that may respond; empty for any.
        """
        try:
            values = self._parse()
            text = ''.join(map(self._read_text, values))
            usage = values[-1]['usage']
        except (ValueError, KeyError, IndexError, TypeError):
            return 'cut'
        numbers = [int(n) for n in TOKEN_NUMBER_PATTERN.findall(text)]
        if numbers != list(range(usage['completion_tokens'])):
            return 'cut'
        attempt = headers.get(b'x-request-id', b'').decode()
        if any(v.get('id') != attempt for v in values):
            return 'crossed'
        version = headers.get(b'x-model-version', b'').decode()
        if any(v.get('model') != version for v in values) or (
            versions and version not in versions
        ):
            return 'wrong_version'
        return 'answered'

    def looks_complete(self) -> bool:
        """Returns whether the body parses up to its regular end."""
        try:
            return bool(self._parse())
        except (ValueError, IndexError):
            return False

    def _parse(self) -> list[dict]:
        if not self._is_stream:
            return [json.loads(self._buffer)]
        if self._buffer or self._events[-1] != b'[DONE]':
            raise ValueError('event stream does not end with [DONE]')
        return [json.loads(event) for event in self._events[:-1]]

    def _read_text(self, value: dict) -> str:
        choice = value['choices'][0]
        if self._is_stream:
            return choice['delta'].get('content', '')
        return choice['message']['content']


class LoadGenerator:
    """Sends a workload and collects samples.

    Args:
        workload: Parameters of the traffic.
        balancer: Chooses the gateways; by default, uses all of them.
    """

    def __init__(self, workload: Workload, balancer: Balancer | None = None):
        self.workload = workload
        self._balancer = balancer or Balancer(workload.urls)
        self.samples: list[Sample] = []
        self.gaps = make_histogram()
        self._rng = random.Random(workload.seed)
        # A separate generator: retries depend on timing and must not change
        # the requests that a seed produces.
        self._gateway_rng = random.Random(workload.seed)
        self._chats: list[Chat] = []
        self._chat_count = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, keepalive_expiry=30
        )
        self._start = 0.0

    def _make_chat(self) -> Chat:
        workload = self.workload
        key = self._rng.choices(
            list(workload.organisations), list(workload.organisations.values())
        )[0]
        self._chat_count += 1
        has_session = self._rng.random() < workload.session_share
        return Chat(self._chat_count, key, has_session)

    def _pick_chat(self) -> Chat:
        index = self._rng.randrange(self.workload.sessions)
        while len(self._chats) <= index:
            self._chats.append(self._make_chat())
        chat = self._chats[index]
        if chat.turn >= self.workload.turns:
            chat = self._chats[index] = self._make_chat()
        chat.turn += 1
        return chat

    def _write_messages(self, chat: Chat) -> list[dict]:
        workload = self.workload

        def fill(text: str, size: int) -> str:
            return (text * (size // len(text) + 1))[:size]

        system = fill(f'Regels van {chat.key}. ', workload.system_characters)
        # Each message starts with the chat number; otherwise all chats of an
        # organisation would share a longer prefix than the system prompt.
        messages = [{'role': 'system', 'content': system}]
        for turn in range(chat.turn):
            prefix = f'{workload.seed}-{chat.number}-{turn}'
            question = fill(f'{prefix} ลำโพง één? ', workload.turn_characters)
            messages.append({'role': 'user', 'content': question})
            if turn + 1 < chat.turn:
                answer = fill(f'{prefix} ja. ', workload.turn_characters)
                messages.append({'role': 'assistant', 'content': answer})
        return messages

    def _make_request(self) -> tuple[dict[str, str], dict]:
        workload, rng = self.workload, self._rng
        chat = self._pick_chat()
        headers = {
            'authorization': f'Bearer {chat.key}',
            'content-type': 'application/json',
            'x-request-class': rng.choice(workload.classes),
        }
        if chat.has_session:
            headers['x-session'] = f'chat-{workload.seed}-{chat.number}'
        if workload.deadline_ms:
            headers['x-deadline-ms'] = str(workload.deadline_ms)
        body = {
            'model': workload.model,
            'messages': self._write_messages(chat),
            'max_tokens': max(
                2, int(rng.gauss(workload.tokens, workload.tokens / 4))
            ),
            'stream': rng.random() < workload.stream_share,
        }
        return headers, body

    async def run(self) -> None:
        """Sends all requests and waits until they have ended."""
        workload = self.workload
        gaps = ARRIVALS.get(workload.arrivals)(workload.rate, self._rng)
        self._start = next_arrival = time.monotonic()
        async with self._pool, anyio.create_task_group() as group:
            while next_arrival < self._start + workload.seconds:
                await anyio.sleep(max(0.0, next_arrival - time.monotonic()))
                group.start_soon(self._send, *self._make_request())
                next_arrival += next(gaps)
            group.cancel_scope.deadline = (
                anyio.current_time() + COMPLETION_TIMEOUT_SECONDS
            )

    async def _send(self, headers: dict, body: dict) -> None:
        started = time.monotonic()
        sample = Sample(
            0,
            started - self._start,
            credential=headers['authorization'].removeprefix('Bearer '),
            session=headers.get('x-session', ''),
            began=time.time(),
        )
        self.samples.append(sample)

        async def exchange(sample, url) -> None:
            sample.gateway = self.workload.urls.index(url)
            await self._exchange(sample, headers, body, started)

        try:
            await send_with_resend(
                sample, self._balancer, self._gateway_rng, exchange
            )
        finally:
            sample.total = time.monotonic() - started

    async def _exchange(
        self, sample: Sample, headers: dict, body: dict, started: float
    ) -> None:
        content = json.dumps(body, ensure_ascii=False).encode()
        reader = ResponseReader(body['stream'], started, self.gaps)
        async with self._pool.stream(
            'POST',
            f'{self.workload.urls[sample.gateway]}/v1/chat/completions',
            headers=list(headers.items()),
            content=content,
        ) as response:
            sample.kind = 'cut'
            response_headers = {k.lower(): v for k, v in response.headers}
            sample.attempt = response_headers.get(
                b'x-request-id', b''
            ).decode()
            sample.version = response_headers.get(
                b'x-model-version', b''
            ).decode()
            if response.status != 200:
                sample.kind = 'refused'
                sample.code = read_refusal(
                    response.status, await response.aread()
                )
                return
            async for chunk in response.aiter_stream():
                reader.feed(chunk)
                sample.size = len(content) + reader.size
                sample.first_token = reader.first_token
        sample.looks_complete = reader.looks_complete()
        sample.kind = reader.classify(response_headers, self.workload.versions)

    def summarise(self) -> dict:
        """Returns counts by kind and code, and percentiles in seconds."""
        first_token_times = make_histogram()
        kinds: dict[str, int] = {}
        codes: dict[str, int] = {}
        for sample in self.samples:
            kinds[sample.kind] = kinds.get(sample.kind, 0) + 1
            if sample.code:
                codes[sample.code] = codes.get(sample.code, 0) + 1
            if sample.kind == 'answered' and sample.first_token is not None:
                record_seconds(first_token_times, sample.first_token)
        return {
            'sent': len(self.samples),
            **kinds,
            'refusals': codes,
            'first_token_s': read_percentiles(first_token_times),
            'between_tokens_s': read_percentiles(self.gaps),
        }


def read_refusal(status: int, content: bytes) -> str:
    """Returns ``code/verdict`` of a refusal.

    Returns ``status-N`` with the HTTP status N if the body contains none.
    """
    try:
        error = json.loads(content)['error']
        return f'{error["code"]}/{error["verdict"]}'
    except (ValueError, KeyError, TypeError):
        return f'status-{status}'
