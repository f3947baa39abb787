"""One endless answer in tiny chunks blocks a gateway.

Two gateways with the load of the site's machines. A model server in trouble
spoils some answers: bytes in tiny chunks, without end. Counted are the
requests of the plain service, which is sound, that have no answer at their
route's ``timeout_ms``.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from shared_2 import kit  # noqa: E402
from shared_2 import site  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'bkk-a': 'bkk', 'bkk-b': 'bkk'}
SECONDS = 60
# Start of the first trouble, its length, the pause after it, and how often.
FIRST_SECONDS, LENGTH_SECONDS, PAUSE_SECONDS, TIMES = 4, 5.5, 1.0, 8
# Of the servers, and of the answers of those in trouble.
BAD_SERVERS = 3
SPOILED_SHARE = 0.02
MODEL_SERVERS, PLAIN_SERVERS = 9, 3
# A second and gateway, as on the data sheet: 25.8 and 9.1 for four.
MODEL_RATE, PLAIN_RATE = 6.4, 2.3
TIMEOUT_MS = 1000
LATE_SECONDS = 0.5
# A chunk of one byte, many times.
TINY_CHUNKS = b'1\r\na\r\n' * 10000
EVENTS = 20
CONFIG = site.make_config(
    [
        site.make_route(
            'chat', 'streaming', 12000, 3000, 'pool', **site.STREAM
        ),
        site.make_route('order', 'non_idempotent', TIMEOUT_MS, 350, 'desk'),
        site.make_route('look', 'idempotent', TIMEOUT_MS, 350, 'desk'),
    ],
    [site.POOL, site.DESK],
)


class ModelServer(site.Server):
    """A model server; while in trouble it spoils some answers."""

    case = None
    is_in_trouble = False

    async def run(self, request_id, headers, writer) -> bool:
        """Streams events, or bytes without end."""
        if self.is_in_trouble and self.case.take_spoiled():
            self.case.record.write(f'{self.instance} spoils {request_id}')
            await self.send_head(request_id, 200, writer)
            # Until the caller closes.
            while True:
                writer.write(TINY_CHUNKS)
                await writer.drain()
        self.case.record.write(f'{self.instance} runs {request_id}')
        await asyncio.sleep(0.1)
        await self.stream(request_id, headers, writer, EVENTS)
        return True


class PlainServer(site.Server):
    """A sound server of the plain service."""

    case = None

    async def run(self, request_id, headers, writer) -> bool:
        """Answers after its work."""
        self.case.record.write(f'{self.instance} runs {request_id}')
        await asyncio.sleep(0.045)
        kit.write_answer(
            writer,
            200,
            {'Request-Id': request_id, 'Response-Seal': 's.x'},
            b'y' * 800,
        )
        await writer.drain()
        return True


class Case:
    """State of one play."""

    def __init__(self, record):
        self.record = record
        self._random = random.Random(3)
        self._tasks = set()
        self._answers_in_trouble = 0
        self._spoiled = 0
        self._results = []
        self._readiness = []

    def take_spoiled(self) -> bool:
        """Returns whether the next answer is spoiled: one in fifty."""
        self._answers_in_trouble += 1
        is_spoiled = self._answers_in_trouble % round(1 / SPOILED_SHARE) == 0
        self._spoiled += is_spoiled
        return is_spoiled

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, number: int, gateway, route: str) -> None:
        request_id = f'{route[0]}{number:05d}'
        # The client would wait longer than the route's timeout.
        headers = site.make_headers(request_id, 12000)
        body = b'x' * 500
        if route == 'chat':
            parts = (
                f'5157e0{self._random.randrange(40):02x}',
                f'{self._random.getrandbits(32):08x}',
            )
            headers |= {
                'Model': 'm0',
                'Token-Count': '3000,120',
                'Prompt-Prefix': ','.join(f'{part}:1500' for part in parts),
            }
        result = await kit.call(
            gateway.front, 'POST', f'/{route}/2f', headers, body, 13.0
        )
        self._results.append((route, result))
        self.record.write(
            f'{request_id} at {gateway.name}: {result["status"]} '
            f'{"whole" if result["complete"] else result["error"]} after '
            f'{result["seconds"]:.2f} s'
        )

    async def _ask_readiness(self, gateway) -> None:
        while True:
            await asyncio.sleep(1)
            is_ready = await kit.is_ready(gateway, 1.0)
            self._readiness.append(is_ready)
            if not is_ready:
                self.record.write(f'{gateway.name} is not ready')

    async def _send_requests(self, gateway) -> None:
        rates = {
            'chat': MODEL_RATE,
            'order': PLAIN_RATE * 0.7,
            'look': PLAIN_RATE * 0.3,
        }
        number = 0 if gateway is self._gateways[0] else 50000
        until = time.monotonic() + SECONDS
        while time.monotonic() < until:
            number += 1
            route = self._random.choices(list(rates), list(rates.values()))[0]
            self._start(self._send(number, gateway, route))
            await asyncio.sleep(1 / sum(rates.values()))

    async def play(self) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = kit.Site(2, ZONES, 300)
        self._gateways = deployment.gateways
        store = deployment.store
        store.put('op/config', CONFIG)
        names = list(ZONES)
        models = [
            ModelServer(store, 'pool', names[n % 2], 64)
            for n in range(MODEL_SERVERS)
        ]
        plain = [
            PlainServer(store, 'desk', names[n % 2], 6)
            for n in range(PLAIN_SERVERS)
        ]
        try:
            for server in models + plain:
                server.case = self
                await server.start()
            await deployment.open()
            await kit.wait_ready(self._gateways)
            await asyncio.sleep(2)
            for gateway in self._gateways:
                self._start(self._ask_readiness(gateway))
                self._start(self._send_requests(gateway))
            began_at = time.monotonic()
            for number in range(TIMES):
                starts_at = began_at + FIRST_SECONDS
                starts_at += number * (LENGTH_SECONDS + PAUSE_SECONDS)
                for at, is_in_trouble in (
                    (starts_at, HAS_TROUBLE),
                    (starts_at + LENGTH_SECONDS, False),
                ):
                    await asyncio.sleep(at - time.monotonic())
                    for server in models[:BAD_SERVERS]:
                        server.is_in_trouble = is_in_trouble
            await asyncio.sleep(began_at + SECONDS + 14 - time.monotonic())
        finally:
            deployment.close()
            for server in models + plain:
                server.crash()
        return self._judge()

    def _judge(self) -> bool:
        """Applies the rule CONFIG to the plain routes."""
        rows = [r for route, r in self._results if route != 'chat']
        timeout = TIMEOUT_MS / 1000
        open_rows = [r for r in rows if r['seconds'] >= timeout]
        late = [r for r in open_rows if r['seconds'] > timeout + LATE_SECONDS]
        missed = self._readiness.count(False)
        self.record.say(
            f'{self._spoiled} of {self._answers_in_trouble} answers of '
            f'{BAD_SERVERS} servers in trouble spoiled; plain requests: '
            f'{len(rows)}, {len(open_rows)} unanswered at their timeout, '
            f'{len(late)} of them still {LATE_SECONDS} s later (longest '
            f'{max(r["seconds"] for r in rows):.2f} s); readiness missed '
            f'{missed} of {len(self._readiness)} times'
        )
        return not (len(open_rows) >= 8 and len(late) > len(open_rows) / 2)


if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: Case(record).play(),
    )
