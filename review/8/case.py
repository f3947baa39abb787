"""With fewer servers than attempts, no idempotent request is answered.

Two gateways and three servers of a plain service that differ in speed: one
answers in 100 ms, two in 300 ms, all well inside the route's objective of
500 ms. The fast one is lost for good. Counted are the requests of each kind
that are served.
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
ZONES = {'bkk-a': 'bkk', 'bkk-b': 'bkk', 'bkk-c': 'bkk'}
SECONDS = 60
CRASH_SECONDS = 5
# The store removes the entry after three intervals of 1.2 s.
ENTRY_SECONDS = 3.6
WORK_SECONDS = (0.1, 0.3, 0.3)
OBJECTIVE_MS, TIMEOUT_MS = 500, 6000
PER_SECOND = 8
STARVED_SHARE = 0.25
CONFIG = site.make_config(
    [
        site.make_route(
            'book', 'non_idempotent', TIMEOUT_MS, OBJECTIVE_MS, 'desk'
        ),
        site.make_route(
            'stock', 'idempotent', TIMEOUT_MS, OBJECTIVE_MS, 'desk'
        ),
    ],
    [site.DESK],
)


class PlainServer(site.Server):
    """A sound server of the plain service."""

    case = None
    work_seconds = 0.0

    async def run(self, request_id, headers, writer) -> bool:
        """Answers after its work."""
        self.case.record.write(f'{self.instance} runs {request_id}')
        await asyncio.sleep(self.work_seconds)
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
        self._served: dict[str, list[bool]] = {'book': [], 'stock': []}

    async def _send(self, gateway, number: int, route: str) -> None:
        request_id = f'{route[0]}{number:05d}'
        result = await kit.call(
            gateway.front,
            'GET' if route == 'stock' else 'POST',
            f'/{route}/2f',
            site.make_headers(request_id, TIMEOUT_MS),
            b'' if route == 'stock' else b'x' * 300,
            TIMEOUT_MS / 1000 + 1,
        )
        self._served[route].append(
            result['status'] == 200 and result['complete']
        )
        self.record.write(
            f'{request_id} at {gateway.name}: {result["status"]} '
            f'{result["error"]} after {result["seconds"]:.2f} s '
            f'{result["body"][:60] if result["status"] != 200 else ""}'
        )

    async def play(self) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = kit.Site(2, ZONES, 300)
        store, gateways = deployment.store, deployment.gateways
        store.put('op/config', CONFIG)
        servers = [PlainServer(store, 'desk', zone, 6) for zone in ZONES]
        try:
            for server, seconds in zip(servers, WORK_SECONDS, strict=True):
                server.case, server.work_seconds = self, seconds
                await server.start()
            await deployment.open()
            await kit.wait_ready(gateways)
            await asyncio.sleep(2)
            began_at = time.monotonic()
            crashed_at = 0.0
            number = 0
            while time.monotonic() < began_at + SECONDS:
                number += 1
                task = asyncio.create_task(
                    self._send(
                        self._random.choice(gateways),
                        number,
                        self._random.choice(list(self._served)),
                    )
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(1 / PER_SECOND)
                now = time.monotonic()
                if not crashed_at and now > began_at + CRASH_SECONDS:
                    crashed_at = now
                    if HAS_TROUBLE:
                        self.record.write(f'{servers[0].instance} is lost')
                        servers[0].crash()
                if (
                    HAS_TROUBLE
                    and crashed_at
                    and (now > crashed_at + ENTRY_SECONDS)
                ):
                    store.remove(f'servers/{servers[0].instance}')
            await asyncio.sleep(TIMEOUT_MS / 1000)
        finally:
            deployment.close()
            for server in servers:
                server.crash()
        shares = {}
        for route, served in self._served.items():
            shares[route] = sum(served) / len(served)
            self.record.say(
                f'{route}: {sum(served)} of {len(served)} requests served'
            )
        rows = [row for served in self._served.values() for row in served]
        total = sum(rows) / len(rows)
        self.record.say(
            f'all: {total:.3f}; a kind is starved below '
            f'{STARVED_SHARE * total:.3f}'
        )
        return all(share >= STARVED_SHARE * total for share in shares.values())


if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: Case(record).play(),
    )
