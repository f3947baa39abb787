"""Fake backend server of the users' platform, a process with faults."""

import json
import random
import time
import zlib

import anyio
import fire

from chivejunction import logs
from chivejunction.transport import caller_connections

SIGNATURE_PREFIX = 'seal-'
# Faults that ``POST /faults`` sets, each with the share of requests affected:
# response cut off, no response, refused without a run, status 500, delayed.
FAULTS = ('cut', 'mute', 'shed', 'error', 'slow')
SLOW_DELAY_SECONDS = 0.5


def count_events(request_id: str) -> int:
    """Returns the number of events in the stream of a request."""
    return 2 + zlib.crc32(request_id.encode()) % 8


class ForwardServer:
    """Responds to plain requests and streams, and records each run.

    Args:
        instance: Instance id of this process.
        runs: Open file for the runs, one JSON object per line.
    """

    def __init__(self, instance: str, runs):
        self._instance = instance
        self._runs_file = runs
        self._fault_shares = dict.fromkeys(FAULTS, 0.0)

    async def handle(self, raw, reply) -> None:
        """Responds to one request."""
        if raw.target == '/faults':
            self._fault_shares.update(json.loads(raw.body))
            await reply.send_response(200, [], b'')
            return
        values = {k.decode(): v.decode() for k, v in raw.headers}
        if raw.target == '/v1/report':
            await reply.send_response(200, [], b'{}')
            return
        response_headers = [
            (b'request-id', values.get('request-id', '').encode())
        ]
        if values.get('expect-instance') != self._instance:
            await reply.send_response(421, response_headers, b'')
            return
        if random.random() < self._fault_shares['shed']:
            await reply.send_response(
                503, [*response_headers, (b'not-executed', b'1')], b''
            )
            return
        self._record_run(raw, values)
        response_headers.append(
            (b'response-seal', f'{SIGNATURE_PREFIX}{self._instance}'.encode())
        )
        await self._respond(raw, values, reply, response_headers)

    def _record_run(self, raw, values) -> None:
        record = {
            'at': time.time(),
            'id': values.get('request-id', ''),
            'instance': self._instance,
            'target': raw.target,
            'organisation': values.get('tenant', ''),
            'length': len(raw.body),
        }
        self._runs_file.write(json.dumps(record) + '\n')

    async def _respond(self, raw, values, reply, headers) -> None:
        request_id = values.get('request-id', '')
        if random.random() < self._fault_shares['mute']:
            await anyio.sleep(60)
        if random.random() < self._fault_shares['slow']:
            await anyio.sleep(SLOW_DELAY_SECONDS)
        if random.random() < self._fault_shares['error']:
            await reply.send_response(500, headers, b'failed')
            return
        is_cut = random.random() < self._fault_shares['cut']
        if '/stream/' not in raw.target:
            await anyio.sleep(random.uniform(0.005, 0.05))
            if not is_cut:
                body = f'{request_id}@{self._instance}'.encode()
                await reply.send_response(200, headers, body)
            return
        first_event = int(values.get('last-event-id') or 0) + 1
        last_event = count_events(request_id)
        await reply.start(
            200, [*headers, (b'content-type', b'text/event-stream')]
        )
        for number in range(first_event, last_event + 1):
            if is_cut and number > first_event:
                await reply.send(b'id: ')
                return
            event = f'id: {number}\ndata: {request_id}:{number}\n\n'
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
