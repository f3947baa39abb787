"""Load generator for a plain service with calls that must not run twice.

Every call has a business key, by which its runs are counted. Some calls also
carry an ``Idempotency-Key`` and are sent again with the same key; the others
are sent once. Reads may be repeated.
"""

import dataclasses
import json
import random
import time

import anyio
import httpcore

from bench import load


@dataclasses.dataclass
class CallWorkload:
    """Parameters of the calls to a plain service.

    Attributes:
        service: Name of the service.
        organisations: Relative weight by credential.
        seed: Seed of all random number generators; part of the business keys.
        rate: Calls per second, not counting repeats.
        seconds: Duration of the arrivals.
        keyed_share: Share of writes that carry an idempotency key.
        repeat_share: Share of keyed calls that are sent again.
        read_share: Share of reads among all calls.
        repeat_seconds: Maximum delay of a repeat.
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
    """One call as observed by the client.

    Attributes:
        credential: Credential of the caller.
        key: Business key.
        method: HTTP method.
        keyed: Whether it carries an idempotency key.
        kind: ``answered``, ``refused``, ``cut``, ``crossed``, ``lost`` (no
            response) or ``unreachable``.
        code: ``code/verdict`` of a refusal.
        attempt: Attempt id from the response headers.
        ran_at: Time of the run in seconds since the epoch, None if unknown.
        resent: Number of times it was sent again to another gateway.
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


class ServiceCallGenerator:
    """Sends calls and collects samples.

    Args:
        calls: Parameters of the calls.
        balancer: Chooses the gateways.
    """

    def __init__(self, calls: CallWorkload, balancer: load.Balancer):
        self.calls = calls
        self.samples: list[Sample] = []
        self._balancer = balancer
        self._rng = random.Random(calls.seed)
        # A separate generator: retries depend on timing and must not change
        # the calls that a seed produces.
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
        """Sends all calls and waits until they have ended."""
        calls, number = self.calls, 0
        next_arrival = time.monotonic()
        end = next_arrival + calls.seconds
        async with self._pool, anyio.create_task_group() as group:
            while next_arrival < end:
                await anyio.sleep(max(0.0, next_arrival - time.monotonic()))
                sample = self._make_sample(number)
                number += 1
                group.start_soon(self._send, sample)
                if sample.keyed and self._rng.random() < calls.repeat_share:
                    delay = self._rng.uniform(0, calls.repeat_seconds)
                    group.start_soon(
                        self._repeat, dataclasses.replace(sample), delay
                    )
                next_arrival += self._rng.expovariate(calls.rate)
            group.cancel_scope.deadline = (
                anyio.current_time() + load.COMPLETION_TIMEOUT_SECONDS
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
        ) as response:
            sample.kind = 'cut'
            response_headers = {k.lower(): v for k, v in response.headers}
            sample.attempt = response_headers.get(
                b'x-request-id', b''
            ).decode()
            body = await response.aread()
        if response.status != 200:
            sample.kind = 'refused'
            sample.code = load.read_refusal(response.status, body)
            return
        sample.kind = classify_response(sample, body)


def classify_response(sample: Sample, body: bytes) -> str:
    """Returns the kind of a sample with a successful response.

    Also sets the time of the run.

    Args:
        sample: Sample with the attempt id from the response headers.
        body: Response body; the service reports key, attempt and time.
    """
    try:
        value = json.loads(body)
        key, attempt = value['key'], value['attempt']
        sample.ran_at = value['time']
    except (ValueError, KeyError, TypeError):
        return 'cut'
    if key != sample.key or attempt != sample.attempt:
        return 'crossed'
    return 'answered'
