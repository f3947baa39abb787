"""A prompt part that crashes model servers, for two cases.

Two gateways, nine model servers and sound requests; every two seconds one
request also bears the bad part. Counted are the requests with the bad part
that reach servers later than ``contact_ms`` after the fifth crash.
"""

import asyncio
import random
import time

from shared_2 import kit
from shared_2 import site

ZONES = {'bkk-a': 'bkk', 'bkk-b': 'bkk'}
SECONDS = 60
FIRST_BAD_SECONDS = 6
CONTACT_SECONDS = 4.0
ALLOWED = 3
SERVERS = 9
# Of a model server after a crash.
DOWN_SECONDS = 2.0
SOUND_PER_SECOND = 16
BAD_INTERVAL_SECONDS = 2.0
FIRST_PART = '5157e000'
GOOD_PART, BAD_PART = '600d0000', 'bad0bad0'
EVENTS = 6
# Share of the sound requests on a route whose streams can't be resumed.
ONCE_SHARE = 0.25
CONFIG = site.make_config(
    [
        site.make_route(
            'chat', 'streaming', 6000, 2000, 'pool', **site.STREAM
        ),
        site.make_route(
            'once',
            'streaming',
            6000,
            2000,
            'pool',
            **(site.STREAM | {'can_resume': False}),
        ),
    ],
    [site.POOL],
)


class ModelServer(site.Server):
    """Streams events; crashes as it begins to write on the bad part."""

    case = None

    async def run(self, request_id, headers, writer) -> bool:
        """Streams events, or crashes."""
        is_bad = BAD_PART in headers.get('prompt-prefix', '')
        self.case.count_arrival(request_id, self, is_bad)
        await asyncio.sleep(0.04)
        if not is_bad:
            await self.stream(request_id, headers, writer, EVENTS)
            return True
        await self.send_head(request_id, 200, writer)
        if self.case.writes_first_event:
            number = int(headers.get('last-event-id') or 0) + 1
            await self.send_event(request_id, number, writer)
            # The second event is cut in the middle.
            writer.write(b'20\r\nid: ')
            await writer.drain()
        await asyncio.sleep(0.01)
        self.case.crash(self)
        return False


class Case:
    """State of one play.

    Args:
        record: Record of the case.
        documents: Shared parts of a prompt behind the good or the bad one.
        document_sets: Number of different lists of them.
        writes_first_event: Whether a server has written the first event, and
            a piece of the second, as it crashes; else only the head.
        has_trouble: Whether requests with the bad part are sent.
    """

    def __init__(
        self,
        record,
        documents,
        document_sets,
        writes_first_event,
        has_trouble,
    ):
        self.record = record
        self._has_trouble = has_trouble
        self.writes_first_event = writes_first_event
        self._random = random.Random(7)
        self._sets = [
            [f'{self._random.getrandbits(32):08x}' for _ in range(documents)]
            for _ in range(document_sets)
        ]
        self._crashed_at: list[float] = []
        self._arrivals = self._late_arrivals = 0
        self._sound: dict[str, list[bool]] = {'chat': [], 'once': []}
        self._refused = 0
        self._tasks = set()

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count_arrival(self, request_id, server, is_bad) -> None:
        """Counts a request at a server."""
        name = f'{request_id} (bad part)' if is_bad else request_id
        self.record.write(f'{server.instance} runs {name}')
        if is_bad:
            self._arrivals += 1
            self._late_arrivals += len(self._crashed_at) >= 5 and (
                time.monotonic() > self._crashed_at[4] + CONTACT_SECONDS
            )

    def crash(self, server) -> None:
        """A server crashes; it is back after some seconds."""
        self._crashed_at.append(time.monotonic())
        self.record.write(
            f'{server.instance} crashes ({len(self._crashed_at)})'
        )
        server.crash()
        self._start(server.restart(DOWN_SECONDS))

    async def _send(self, gateway, number: int, is_bad: bool) -> None:
        """Sends one request as a client."""
        parts = [
            FIRST_PART,
            BAD_PART if is_bad else GOOD_PART,
            *self._random.choice(self._sets),
            f'{self._random.getrandbits(32):08x}',
        ]
        is_once = not is_bad and self._random.random() < ONCE_SHARE
        route = 'once' if is_once else 'chat'
        request_id = f'{"b" if is_bad else "s"}{number:05d}'
        headers = site.make_headers(request_id, 6000) | {
            'Model': 'm0',
            'Token-Count': f'{100 * len(parts)},36',
            'Prompt-Prefix': ','.join(f'{part}:100' for part in parts),
        }
        result = await kit.call(
            gateway.front, 'POST', f'/{route}/2f', headers, b'x' * 400, 7.0
        )
        is_served = result['status'] == 200 and result['complete']
        if not is_bad:
            self._sound[route].append(is_served)
        elif result['status'] == 503:
            self._refused += 1
        self.record.write(
            f'{request_id} at {gateway.name}: {result["status"]} '
            f'{"whole" if result["complete"] else result["error"]}'
        )

    async def play(self) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = kit.Site(2, ZONES, 300)
        store, gateways = deployment.store, deployment.gateways
        store.put('op/config', CONFIG)
        names = list(ZONES)
        servers = [
            ModelServer(store, 'pool', names[n % 2], 64)
            for n in range(SERVERS)
        ]
        try:
            for server in servers:
                server.case = self
                await server.start()
            await deployment.open()
            await kit.wait_ready(gateways)
            await asyncio.sleep(2)
            until = time.monotonic() + SECONDS
            bad_at = time.monotonic() + FIRST_BAD_SECONDS
            number = 0
            while time.monotonic() < until:
                number += 1
                gateway = self._random.choice(gateways)
                self._start(self._send(gateway, number, False))
                if self._has_trouble and time.monotonic() > bad_at:
                    bad_at += BAD_INTERVAL_SECONDS
                    number += 1
                    gateway = self._random.choice(gateways)
                    self._start(self._send(gateway, number, True))
                await asyncio.sleep(1 / SOUND_PER_SECOND)
            await asyncio.sleep(4)
        finally:
            deployment.close()
            for server in servers:
                server.crash()
        for route, served in self._sound.items():
            self.record.say(
                f'sound requests of {route}: {len(served)}, '
                f'{served.count(False)} lost'
            )
        self.record.say(
            f'{len(self._crashed_at)} crashes; {self._arrivals} arrivals with '
            f'the bad part, {self._late_arrivals} of them later than '
            f'{CONTACT_SECONDS:g} s after the fifth crash ({ALLOWED} are '
            f'allowed); {self._refused} refused'
        )
        return self._late_arrivals <= ALLOWED
