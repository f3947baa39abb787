"""Servers and documents of the cases, after the users' pages."""

import asyncio
import time
import uuid

from shared_2 import kit

HOST = 'shop.example'
KEY = 'key-a'
EVENT_SECONDS = 0.03
# Time after which the store removes the entry of a silent server.
ENTRY_SECONDS = 3.6


def make_route(name, kind, timeout_ms, objective_ms, service, **fields):
    """Returns a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': objective_ms,
        'priority': 1,
        'service': service,
        'max_attempts': 3,
        'public': False,
        'allowed_regions': [],
        **fields,
    }


# Of a streaming route whose streams may be resumed.
STREAM = {'sticky': True, 'can_resume': True, 'gap_target_ms': 1200}
POOL = {
    'name': 'pool',
    'health_path': '/health',
    'max_conns': 360,
    'cold_start_s': 0.0,
    'cold_per_s': 0.0,
    'engine': {
        'slots': 64,
        'kv_tokens': 400647,
        'kv_bytes': 163840,
        'link_mbps': 1100000.0,
        'stride': 6,
        'models': [{'name': 'm0', 'cost': 0.01}],
    },
}
DESK = {
    'name': 'desk',
    'health_path': '/health',
    'max_conns': 100,
    'cold_start_s': 0.0,
    'cold_per_s': 0.0,
}


def make_config(routes: list[dict], services: list[dict]) -> dict:
    """Returns a configuration with one tenant."""
    return {
        'version': 3,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 't1',
                'api_keys': [KEY],
                'priority': 1,
                'allowed_regions': [],
            }
        ],
    }


def make_headers(request_id: str, deadline_ms: int) -> dict:
    """Returns the headers of a client's request."""
    return {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
        'X-Api-Key': KEY,
    }


class Server(kit.Listener):
    """A sound server; cases override ``run``.

    Args:
        store: Store in which it registers itself.
        service: Its service.
        zone: Its zone.
        slots: Requests that it runs at the same time.
        version: Version of its software.
    """

    def __init__(self, store, service, zone, slots, version='v1'):
        super().__init__()
        self._store, self.service, self._zone = store, service, zone
        self._slots, self.version = slots, version
        self.instance = ''

    async def start(self) -> None:
        """Starts with a new id, at the address that it had before, if any."""
        await self.open(getattr(self, 'port', 0))
        self.instance = f'i-{uuid.uuid4().hex[:8]}'
        self._store.put(
            f'servers/{self.instance}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self._zone,
                'version': self.version,
                'slots': self._slots,
                'state': 'ready',
                'cold_left_ms': 0,
                'sequence': 1,
                'born': int(time.time() * 1000),
            },
        )

    async def restart(self, seconds: float) -> None:
        """Is back after some seconds, with a new id."""
        instance = self.instance
        await asyncio.sleep(seconds)
        await self.start()
        # After three check-in intervals of silence.
        await asyncio.sleep(max(0.0, ENTRY_SECONDS - seconds))
        self._store.remove(f'servers/{instance}')

    async def answer(self, method, target, headers, body, writer) -> bool:
        """Checks that a request is meant for this server and runs it."""
        request_id = headers.get('request-id', '')
        if target == '/v1/report':
            kit.write_answer(writer, 200, {}, b'{}')
            return True
        if target == '/health':
            kit.write_answer(writer, 200, {'Instance-Id': self.instance}, b'')
            return True
        if headers.get('expect-instance') != self.instance:
            kit.write_answer(
                writer,
                421,
                {'Request-Id': request_id, 'Instance-Id': self.instance},
                b'',
            )
            return True
        return await self.run(request_id, headers, writer)

    async def run(self, request_id, headers, writer) -> bool:
        """Runs a request; returns whether the connection is kept."""
        raise NotImplementedError

    async def send_head(self, request_id, status, writer) -> None:
        """Sends the head of a chunked answer."""
        writer.write(
            (
                f'HTTP/1.1 {status} X\r\n'
                f'Request-Id: {request_id}\r\n'
                f'Response-Seal: s.{self.instance}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        await writer.drain()

    @staticmethod
    async def send_event(request_id, number, writer) -> None:
        """Sends one event of a stream as a chunk."""
        event = f'id: {number}\ndata: {request_id}\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()

    async def stream(self, request_id, headers, writer, events) -> None:
        """Sends a whole stream, or the rest of one that is resumed."""
        await self.send_head(request_id, 200, writer)
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first, events + 1):
            await self.send_event(request_id, number, writer)
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
