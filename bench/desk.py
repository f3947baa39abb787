"""Calls of a plain service that may not be repeated, with business keys.

Some calls carry an ``Idempotency-Key`` and are sent again under it; the
others are sent once. Reads may be repeated.
"""

import dataclasses
import json
import random
import time

import anyio
import httpcore

from bench import load


@dataclasses.dataclass
class Calls:
    """What is sent to a plain service.

    Attributes:
        service: Name of the service.
        organisations: Credential to relative weight.
        seed: Seed of all random numbers; part of the business keys.
        rate: Business calls per second; repeats come on top.
        seconds: Time of arrivals.
        keyed_share: Share with an idempotency key.
        repeat_share: Share of keyed calls that are sent again.
        read_share: Share of repeatable reads.
        repeat_seconds: Longest time until a repeat.
        deadline_ms: Deadline of a call.
    """

    service: str
    organisations: dict[str, float]
    seed: int = 1
    rate: float = 10.0
    seconds: float = 20.0
    keyed_share: float = 0.5
    repeat_share: float = 0.4
    read_share: float = 0.2
    repeat_seconds: float = 3.0
    deadline_ms: int = 15_000


@dataclasses.dataclass
class Sample:
    """One call as seen from outside.

    Attributes:
        credential: Credential of the caller.
        key: Business key.
        method: HTTP method.
        keyed: Whether it carried an idempotency key.
        kind: ``answered``, ``refused``, ``cut``, ``crossed``, ``lost`` (no
            answer) or ``unreachable``.
        code: ``code/verdict`` of a refusal.
        attempt: Attempt that the answer names.
        ran_at: Seconds since the epoch of the run, None if unknown.
        resent: Refusals after which it was sent to another gateway.
    """

    credential: str
    key: str
    method: str
    keyed: bool
    kind: str = 'lost'
    code: str = ''
    attempt: str = ''
    ran_at: float | None = None
    resent: int = 0


class Desk:
    """Sends calls and collects samples.

    Args:
        calls: What to send.
        balancer: Gateways that take requests.
    """

    def __init__(self, calls: Calls, balancer: load.Balancer):
        self.calls = calls
        self.samples: list[Sample] = []
        self._balancer = balancer
        self._rng = random.Random(calls.seed)
        # Of its own, so that the calls of a seed do not depend on time.
        self._gateway_rng = random.Random(calls.seed)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=500, keepalive_expiry=30
        )

    def _make_sample(self, number: int) -> Sample:
        calls, rng = self.calls, self._rng
        credential = rng.choices(
            list(calls.organisations), list(calls.organisations.values())
        )[0]
        is_read = rng.random() < calls.read_share
        keyed = not is_read and rng.random() < calls.keyed_share
        return Sample(
            credential,
            f'{calls.service}-{calls.seed}-{number}',
            'GET' if is_read else 'POST',
            keyed,
        )

    async def run(self) -> None:
        """Sends all calls and waits for their ends."""
        calls, number = self.calls, 0
        due = time.monotonic()
        end = due + calls.seconds
        async with self._pool, anyio.create_task_group() as group:
            while due < end:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                sample = self._make_sample(number)
                number += 1
                group.start_soon(self._send, sample)
                if sample.keyed and self._rng.random() < calls.repeat_share:
                    delay = self._rng.uniform(0, calls.repeat_seconds)
                    group.start_soon(
                        self._repeat, dataclasses.replace(sample), delay
                    )
                due += self._rng.expovariate(calls.rate)
            group.cancel_scope.deadline = (
                anyio.current_time() + load.TAIL_SECONDS
            )

    async def _repeat(self, sample: Sample, delay: float) -> None:
        await anyio.sleep(delay)
        await self._send(sample)

    async def _send(self, sample: Sample) -> None:
        self.samples.append(sample)
        await load.send_with_resend(
            sample, self._balancer, self._gateway_rng, self._exchange
        )

    def _make_headers(self, sample: Sample) -> list[tuple[str, str]]:
        headers = [
            ('authorization', f'Bearer {sample.credential}'),
            ('content-type', 'application/json'),
            ('x-business-key', sample.key),
            ('x-deadline-ms', str(self.calls.deadline_ms)),
        ]
        if sample.keyed:
            headers.append(('idempotency-key', sample.key))
        return headers

    async def _exchange(self, sample: Sample, url: str) -> None:
        content = b''
        if sample.method == 'POST':
            content = json.dumps({'order': sample.key}).encode()
        async with self._pool.stream(
            sample.method,
            f'{url}/services/{self.calls.service}/orders/{sample.key}',
            headers=self._make_headers(sample),
            content=content,
        ) as answer:
            sample.kind = 'cut'
            named = {k.lower(): v for k, v in answer.headers}
            sample.attempt = named.get(b'x-request-id', b'').decode()
            body = await answer.aread()
        if answer.status != 200:
            sample.kind = 'refused'
            sample.code = load.read_refusal(answer.status, body)
            return
        sample.kind = judge_answer(sample, body)


def judge_answer(sample: Sample, body: bytes) -> str:
    """Returns the kind of sample that an answer of the service makes."""
    try:
        value = json.loads(body)
        key, attempt = value['key'], value['attempt']
        sample.ran_at = value['time']
    except (ValueError, KeyError, TypeError):
        return 'cut'
    if key != sample.key or attempt != sample.attempt:
        return 'crossed'
    return 'answered'
