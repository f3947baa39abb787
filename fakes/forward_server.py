"""Backend server of the users' platform, as a process with faults."""

import json
import random
import time
import zlib

import anyio
import fire

from chivejunction import logs
from chivejunction.transport import caller_connections

SIGNATURE = 'seal-'
# Answers of these kinds are spoiled by a share, set by ``POST /faults``.
FAULTS = ('cut', 'mute', 'shed', 'error', 'slow')
SLOW_SECONDS = 0.5


def count_events(request_id: str) -> int:
    """Returns the number of events of a stream."""
    return 2 + zlib.crc32(request_id.encode()) % 8


class ForwardServer:
    """Answers plain requests and streams, and writes down each run.

    Args:
        instance: Id of this life of the server.
        runs: File of runs, one JSON object a line.
    """

    def __init__(self, instance: str, runs):
        self._instance = instance
        self._runs = runs
        self._shares = dict.fromkeys(FAULTS, 0.0)

    async def handle(self, raw, reply) -> None:
        """Answers one request."""
        if raw.target == '/faults':
            self._shares.update(json.loads(raw.body))
            await reply.answer(200, [], b'')
            return
        found = {k.decode(): v.decode() for k, v in raw.headers}
        if raw.target == '/v1/report':
            await reply.answer(200, [], b'{}')
            return
        echo = [(b'request-id', found.get('request-id', '').encode())]
        if found.get('expect-instance') != self._instance:
            await reply.answer(421, echo, b'')
            return
        if random.random() < self._shares['shed']:
            await reply.answer(503, [*echo, (b'not-executed', b'1')], b'')
            return
        self._note(raw, found)
        echo.append(
            (b'response-seal', f'{SIGNATURE}{self._instance}'.encode())
        )
        await self._run(raw, found, reply, echo)

    def _note(self, raw, found) -> None:
        row = {
            'at': time.time(),
            'id': found.get('request-id', ''),
            'instance': self._instance,
            'target': raw.target,
            'organisation': found.get('tenant', ''),
            'length': len(raw.body),
        }
        self._runs.write(json.dumps(row) + '\n')

    async def _run(self, raw, found, reply, headers) -> None:
        name = found.get('request-id', '')
        if random.random() < self._shares['mute']:
            await anyio.sleep(60)
        if random.random() < self._shares['slow']:
            await anyio.sleep(SLOW_SECONDS)
        if random.random() < self._shares['error']:
            await reply.answer(500, headers, b'failed')
            return
        is_cut = random.random() < self._shares['cut']
        if '/stream/' not in raw.target:
            await anyio.sleep(random.uniform(0.005, 0.05))
            if not is_cut:
                body = f'{name}@{self._instance}'.encode()
                await reply.answer(200, headers, body)
            return
        first = int(found.get('last-event-id') or 0) + 1
        last = count_events(name)
        await reply.start(
            200, [*headers, (b'content-type', b'text/event-stream')]
        )
        for number in range(first, last + 1):
            if is_cut and number > first:
                await reply.send(b'id: ')
                return
            event = f'id: {number}\ndata: {name}:{number}\n\n'
            await reply.send(event.encode())
            await anyio.sleep(random.uniform(0.01, 0.08))
        await reply.finish()


def run(port: int, instance: str, runs: str) -> None:
    """Serves on loopback until the process ends."""
    logs.configure_logs(instance, 'error')
    with open(runs, 'a', buffering=1, encoding='utf-8') as file:
        server = ForwardServer(instance, file)
        listener = caller_connections.Listener(server.handle)
        anyio.run(listener.serve, '127.0.0.1', port)


if __name__ == '__main__':
    fire.Fire(run)
