"""Load generator that judges answers from outside.

Requests arrive by a seeded process, in sessions of several organisations.
Each answer is checked for its version, attempt, order of tokens and end.
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
NUMBER = re.compile(r'w(\d+)')
MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 600 * MICROSECONDS
# Requests that are still open this long after the last arrival are cut.
TAIL_SECONDS = 60


@ARRIVALS.register('poisson')
def arrive_poisson(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields gaps in seconds of independent arrivals."""
    while True:
        yield rng.expovariate(rate)


@ARRIVALS.register('even')
def arrive_evenly(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields equal gaps in seconds."""
    while True:
        yield 1 / rate


@ARRIVALS.register('bursts')
def arrive_in_bursts(rate: float, rng: random.Random) -> Iterator[float]:
    """Yields gaps in seconds of bursts of eight at the same mean rate."""
    while True:
        yield rng.expovariate(rate / 8)
        yield from [0.0] * 7


@dataclasses.dataclass
class Workload:
    """What is sent.

    Attributes:
        urls: Base URLs of gateways; each request goes to a random one.
        organisations: Credential to relative weight.
        seed: Seed of all random numbers.
        rate: Requests per second.
        seconds: Time of arrivals.
        arrivals: Name of the arrival process.
        model: Model that is asked for.
        versions: Versions that may answer; empty for any.
        sessions: Chats that run at a time.
        session_share: Share of chats that send a session id.
        turns: Turns after which a chat is replaced by a new one.
        system_characters: Length of an organisation's system prompt.
        turn_characters: Length of one message.
        tokens: Mean tokens of an answer.
        stream_share: Share of requests that ask for a stream.
        classes: Request classes, taken at random.
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
    """A chat of one organisation."""

    number: int
    key: str
    has_session: bool
    turn: int = 0


@dataclasses.dataclass
class Sample:
    """One request as seen from outside.

    Attributes:
        gateway: Index of the gateway.
        started: Seconds from the start of the load.
        kind: ``answered``, ``refused``, ``cut``, ``crossed``,
            ``wrong_version``, ``lost`` (no answer) or ``unreachable``.
        code: ``code/verdict`` of a refusal.
        attempt: Attempt id that the answer names.
        size: Bytes of request and answer.
        first_token: Seconds to the first token of a stream, else None.
        total: Seconds to the end.
        credential: Credential of the caller.
        session: Session id that was sent, empty without one.
        version: Version that the answer names.
        resent: Refusals after which it was sent to another gateway.
        began: Wall-clock seconds of the start.
        looks_complete: Whether a caller who does not check the tokens takes
            the answer for a whole one.
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
    """Chooses gateways as the platform's load balancer does.

    Args:
        urls: Base URLs of gateways.
    """

    def __init__(self, urls: list[str]):
        self.urls = urls
        self._open = list(range(len(urls)))

    def pick(self, rng: random.Random, tried: frozenset[int]) -> int:
        """Returns the index of an open gateway, one not tried if possible."""
        fresh = [i for i in self._open if i not in tried]
        found = fresh or self._open or list(range(len(self.urls)))
        return found[rng.randrange(len(found))]

    def close(self, url: str) -> None:
        """Sends no more requests to a gateway."""
        self._open.remove(self.urls.index(url))

    def open(self, url: str) -> None:
        """Sends requests to a gateway again."""
        if self.urls.index(url) not in self._open:
            self._open.append(self.urls.index(url))


async def send_with_resend(
    sample, balancer: Balancer, rng: random.Random, exchange
) -> None:
    """Sends a request, again elsewhere if a leaving gateway refused it.

    A connection that was not established is tried elsewhere too, since
    nothing was sent.

    Args:
        sample: Sample with ``kind``, ``code`` and ``resent``.
        balancer: Gateways that take requests.
        rng: Random source.
        exchange: Called with the sample and the base URL; sets the kind,
            ``cut`` from the head of the answer to its end.
    """
    tried: frozenset[int] = frozenset()
    while True:
        index = balancer.pick(rng, tried)
        tried |= {index}
        await _try_once(sample, balancer.urls[index], exchange)
        moves = sample.kind == 'unreachable' or (
            sample.kind == 'refused' and sample.code == 'leaving/not_run'
        )
        if not moves or len(tried) == len(balancer.urls):
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
        # The exchange has noted whether an answer had begun.
        return


def make_histogram() -> histogram.HdrHistogram:
    """Returns a histogram of microseconds."""
    return histogram.HdrHistogram(1, LONGEST_MICROSECONDS, 3)


def record_seconds(into: histogram.HdrHistogram, seconds: float) -> None:
    """Records a time."""
    value = max(1, int(seconds * MICROSECONDS))
    into.record_value(min(value, LONGEST_MICROSECONDS))


def read_percentiles(source: histogram.HdrHistogram) -> dict[str, float]:
    """Returns percentiles in seconds and the number of values."""
    values = {
        f'p{p}': round(source.get_value_at_percentile(p) / MICROSECONDS, 4)
        for p in (50, 95, 99)
    }
    return {**values, 'count': source.get_total_count()}


class Reader:
    """Collects the events of an answer.

    Args:
        is_stream: Whether the answer is an event stream.
        started: Monotonic time of the request.
        gaps: Histogram of times between tokens.
    """

    def __init__(
        self, is_stream: bool, started: float, gaps: histogram.HdrHistogram
    ):
        self.first_token: float | None = None
        self.size = 0
        self._is_stream = is_stream
        self._started = started
        self._gaps = gaps
        self._latest = 0.0
        self._buffer = b''
        self._events: list[bytes] = []

    def feed(self, chunk: bytes) -> None:
        """Takes bytes of the body."""
        self.size += len(chunk)
        self._buffer += chunk
        if not self._is_stream:
            return
        *events, self._buffer = self._buffer.split(b'\n\n')
        for event in events:
            self._events.append(event.removeprefix(b'data: '))
            self._note_time(time.monotonic())

    def _note_time(self, now: float) -> None:
        if self.first_token is None:
            self.first_token = now - self._started
        elif self._events[-1] != b'[DONE]':
            record_seconds(self._gaps, now - self._latest)
        self._latest = now

    def judge(
        self, headers: dict[bytes, bytes], versions: frozenset[str]
    ) -> str:
        """Returns the kind of sample that the whole answer makes."""
        try:
            values = self._parse()
            text = ''.join(map(self._read_text, values))
            usage = values[-1]['usage']
        except (ValueError, KeyError, IndexError, TypeError):
            return 'cut'
        numbers = [int(n) for n in NUMBER.findall(text)]
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
        """Tells whether the answer has the end of a whole one."""
        try:
            return bool(self._parse())
        except (ValueError, IndexError):
            return False

    def _parse(self) -> list[dict]:
        if not self._is_stream:
            return [json.loads(self._buffer)]
        if self._buffer or self._events[-1] != b'[DONE]':
            raise ValueError('the end of the stream is missing')
        return [json.loads(event) for event in self._events[:-1]]

    def _read_text(self, value: dict) -> str:
        choice = value['choices'][0]
        if self._is_stream:
            return choice['delta'].get('content', '')
        return choice['message']['content']


class Load:
    """Sends a workload and collects samples.

    Args:
        workload: What to send.
        balancer: Gateways that take requests, all by default.
    """

    def __init__(self, workload: Workload, balancer: Balancer | None = None):
        self.workload = workload
        self._balancer = balancer or Balancer(workload.urls)
        self.samples: list[Sample] = []
        self.gaps = make_histogram()
        self._rng = random.Random(workload.seed)
        # Of its own, so that the requests of a seed do not depend on time.
        self._gateway_rng = random.Random(workload.seed)
        self._chats: list[Chat] = []
        self._made = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, keepalive_expiry=30
        )
        self._start = 0.0

    def _make_chat(self) -> Chat:
        load = self.workload
        key = self._rng.choices(
            list(load.organisations), list(load.organisations.values())
        )[0]
        self._made += 1
        has_session = self._rng.random() < load.session_share
        return Chat(self._made, key, has_session)

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
        load = self.workload

        def fill(text: str, size: int) -> str:
            return (text * (size // len(text) + 1))[:size]

        system = fill(f'Regels van {chat.key}. ', load.system_characters)
        # The start differs from chat to chat, or all chats of an
        # organisation would share more than the system prompt.
        messages = [{'role': 'system', 'content': system}]
        for turn in range(chat.turn):
            name = f'{load.seed}-{chat.number}-{turn}'
            question = fill(f'{name} ลำโพง één? ', load.turn_characters)
            messages.append({'role': 'user', 'content': question})
            if turn + 1 < chat.turn:
                answer = fill(f'{name} ja. ', load.turn_characters)
                messages.append({'role': 'assistant', 'content': answer})
        return messages

    def _make_request(self) -> tuple[dict[str, str], dict]:
        load, rng = self.workload, self._rng
        chat = self._pick_chat()
        headers = {
            'authorization': f'Bearer {chat.key}',
            'content-type': 'application/json',
            'x-request-class': rng.choice(load.classes),
        }
        if chat.has_session:
            headers['x-session'] = f'chat-{load.seed}-{chat.number}'
        if load.deadline_ms:
            headers['x-deadline-ms'] = str(load.deadline_ms)
        body = {
            'model': load.model,
            'messages': self._write_messages(chat),
            'max_tokens': max(2, int(rng.gauss(load.tokens, load.tokens / 4))),
            'stream': rng.random() < load.stream_share,
        }
        return headers, body

    async def run(self) -> None:
        """Sends all requests and waits for their ends."""
        load = self.workload
        gaps = ARRIVALS.get(load.arrivals)(load.rate, self._rng)
        self._start = due = time.monotonic()
        async with self._pool, anyio.create_task_group() as group:
            while due < self._start + load.seconds:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                group.start_soon(self._send, *self._make_request())
                due += next(gaps)
            group.cancel_scope.deadline = anyio.current_time() + TAIL_SECONDS

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
        reader = Reader(body['stream'], started, self.gaps)
        async with self._pool.stream(
            'POST',
            f'{self.workload.urls[sample.gateway]}/v1/chat/completions',
            headers=list(headers.items()),
            content=content,
        ) as answer:
            sample.kind = 'cut'
            named = {k.lower(): v for k, v in answer.headers}
            sample.attempt = named.get(b'x-request-id', b'').decode()
            sample.version = named.get(b'x-model-version', b'').decode()
            if answer.status != 200:
                sample.kind = 'refused'
                sample.code = read_refusal(answer.status, await answer.aread())
                return
            async for chunk in answer.aiter_stream():
                reader.feed(chunk)
                sample.size = len(content) + reader.size
                sample.first_token = reader.first_token
        sample.looks_complete = reader.looks_complete()
        sample.kind = reader.judge(named, self.workload.versions)

    def summarise(self) -> dict:
        """Returns counts by kind and code, and percentiles in seconds."""
        first = make_histogram()
        kinds: dict[str, int] = {}
        codes: dict[str, int] = {}
        for sample in self.samples:
            kinds[sample.kind] = kinds.get(sample.kind, 0) + 1
            if sample.code:
                codes[sample.code] = codes.get(sample.code, 0) + 1
            if sample.kind == 'answered' and sample.first_token is not None:
                record_seconds(first, sample.first_token)
        return {
            'sent': len(self.samples),
            **kinds,
            'refusals': codes,
            'first_token_s': read_percentiles(first),
            'between_tokens_s': read_percentiles(self.gaps),
        }


def read_refusal(status: int, content: bytes) -> str:
    """Returns ``code/verdict`` of a refusal, the status if it names none."""
    try:
        error = json.loads(content)['error']
        return f'{error["code"]}/{error["verdict"]}'
    except (ValueError, KeyError, TypeError):
        return f'status-{status}'
