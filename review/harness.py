"""Stand-ins and helpers for the cases of this review, standard library only.

The gateways run as processes of their own with the command of the deploy
file. The store, the backend servers, the clients and the platform's restarts
run in the event loop of the case.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
PAGE_ITEMS = 50
# Pause of the platform before it starts a program again that has ended.
RESTART_SECONDS = 0.3
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_delay_s': 2,
    'contact_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_timeout_ms': 3000,
    'grace_period_s': 8,
    'loss_slack_ms': 200,
    'config_deadline_ms': 3000,
    'rollback_slack_ms': 250,
    'outer_ms': 6000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.9,
    'retry_window_s': 10,
    'retry_slack': 54,
    'recovery_s': 12,
    'session_s': 5,
}
ZONES = {'bkk-a': 'bkk', 'cnx-a': 'cnx', 'hkt-a': 'hkt'}
# LOST is broken if it happens more often.
MAX_CLOSED = 3
# Fault: ends of its own on so many machines.
MIN_OWN_ENDS = 3
MIN_MACHINES = 2


def find_port(address: str = '127.0.0.1') -> int:
    """Returns a free TCP port."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Record:
    """Writes ``record.txt``: a line for each thing that happened.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._start = time.monotonic()

    def add(self, what: str, **fields) -> None:
        """Writes a line with the seconds since the start."""
        text = ' '.join(f'{k}={v}' for k, v in fields.items())
        seconds = time.monotonic() - self._start
        self._file.write(f'{seconds:8.3f} {what} {text}\n')
        self._file.flush()


@dataclasses.dataclass
class Message:
    """An HTTP message.

    Attributes:
        start: The start line.
        headers: Headers by lower-case name.
        body: The whole body.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(' ')[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(' ')[0]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message, None if the connection ends before it begins.

    Raises:
        EOFError: The connection ends inside the message.
        ConnectionError: It is reset.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise EOFError('the connection ended in a head') from exc
        return None
    start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                raise EOFError('the connection ended between chunks')
            size = int(line, 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Message(start, headers, body)


def encode_response(
    status: int, body: bytes = b'', headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


class HttpServer:
    """Server on loopback; subclasses answer the requests.

    Attributes:
        port: TCP port.
    """

    def __init__(self):
        self.port = 0
        self._server = None
        self._tasks = set()

    async def start(self) -> None:
        """Starts to serve on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            while (request := await read_message(reader)) is not None:
                if await self.answer(request, reader, writer) is False:
                    return
        except (EOFError, OSError):
            # The caller left.
            return
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, request, reader, writer) -> bool | None:
        """Answers a request; returns False to close the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store, after PROTOCOL: 'The platform's metadata store'.

    Attributes:
        is_down: Whether calls get 503.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.is_down = False
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_at': known['created_at'] if known else self.revision,
            'lease': lease,
        }
        self._notify(self.items[key])

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _notify(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def run_leases(self) -> None:
        """Ends the leases that have run out, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (deadline, _) in list(self.leases.items()):
                if deadline < now:
                    del self.leases[lease]
                    for key, item in list(self.items.items()):
                        if item['lease'] == lease:
                            self.remove(key)

    async def answer(self, request, reader, writer) -> bool | None:
        """Answers a call; with 503 while the store is down."""
        target = parse.urlsplit(request.target)
        query = dict(parse.parse_qsl(target.query))
        call = target.path.removeprefix('/v1/')
        status, value = 503, {}
        if not self.is_down:
            status, value = await self._dispatch(call, query, request)
        writer.write(
            encode_response(
                status,
                json.dumps(value).encode(),
                {'Content-Type': 'application/json'},
            )
        )
        await writer.drain()

    async def _dispatch(self, call, query, request):
        call, _, argument = call.partition('/')
        value = json.loads(request.body) if request.body else {}
        if call == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'store_revision': self.revision}
            return 200, {**item, 'store_revision': self.revision}
        if call == 'kv-range':
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query.get('prefix', ''))
                and k > query.get('after', '')
            )
            return 200, {
                'items': [self.items[k] for k in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'store_revision': self.revision,
            }
        if call == 'kv-watch':
            return 200, await self._watch(query)
        if call == 'kv-txn':
            return self._commit(value)
        if call == 'kv-lease':
            self.revision += 1
            seconds = value['ttl_ms'] / 1000
            lease = self.revision
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {'lease': lease, 'ttl_ms': value['ttl_ms']}
        lease = int(argument)
        if lease not in self.leases:
            return 404, {}
        if call == 'kv-keep':
            seconds = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {'ttl_ms': int(1000 * seconds)}
        self.leases[lease] = (0.0, 0.0)
        return 200, {}

    async def _watch(self, query) -> dict:
        after, prefix = int(query['after']), query.get('prefix', '')
        deadline = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self.history
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'store_revision': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _commit(self, value):
        conflicts = []
        for row in value.get('expected_rev', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                conflicts.append(item or {'key': row['key'], 'revision': 0})
        if conflicts:
            return 412, {'items': conflicts}
        for row in value.get('writes', []):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in value.get('writes', []):
            self.put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
        for key in value.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


class BackendServer(HttpServer):
    """A sound server of a plain service or of models.

    Args:
        instance: Id of the server.
        record: Where runs are written.
        work_seconds: Time that a request takes.

    Attributes:
        runs: Number of runs by Request-Id.
    """

    def __init__(self, instance: str, record: Record, work_seconds=0.2):
        super().__init__()
        self.instance = instance
        self.record = record
        self.work_seconds = work_seconds
        self.born = int(1000 * time.time())
        self.runs: collections.Counter = collections.Counter()

    async def answer(self, request, reader, writer) -> bool | None:
        """Runs a request that names this server."""
        values = request.headers
        request_id = values.get('request-id', '')
        if request.target == '/health':
            writer.write(
                encode_response(200, b'', {'Instance-Id': self.instance})
            )
            return None
        if values.get('expect-instance') != self.instance:
            writer.write(encode_response(421, b'', {'Request-Id': request_id}))
            return None
        self.runs[request_id] += 1
        self.record.add('run', id=request_id, server=self.instance)
        return await self.run(request, request_id, writer)

    async def run(self, request, request_id, writer) -> bool | None:
        """Does the work of a request and answers."""
        await asyncio.sleep(self.work_seconds)
        writer.write(
            encode_response(
                200,
                f'done {request_id}'.encode(),
                {
                    'Request-Id': request_id,
                    'Response-Seal': f'seal-{self.instance}',
                    'Keep-Alive': 'timeout=10',
                },
            )
        )
        await writer.drain()
        return None


def write_settings(path, name, address, ports, zone, zones, store) -> None:
    """Writes the settings file of a gateway in the platform's form."""
    front, ready, internal = ports
    lines = [
        f'node_name: "{name}"',
        'role: "gateway"',
        'machine_class: "edge"',
        'serves:',
        '  - "edge"',
        f'ip: "{address}"',
        f'zone: "{zone}"',
        f'region: "{zones[zone]}"',
        'zones:',
        *(f'  {z}: "{r}"' for z, r in zones.items()),
        'listen:',
        f'  front: "{address}:{front}"',
        f'  ready: "{address}:{ready}"',
        'internal_ports:',
        f'  - {internal}',
        f'  - {internal + 1}',
        'bootstrap: true',
        'limits:',
        '  cpu_share: 0.817',
        '  cores: 1',
        '  memory_mb: 300',
        '  max_fds: 4100',
        '  link_mbps: 1000.0',
        'heartbeat_ms: 1200',
        'bounds:',
        *(f'  {k}: {json.dumps(v)}' for k, v in BOUNDS.items()),
        'platform:',
        f'  address: "{store}"',
        '  form: "kv"',
        '  writes_per_s: 400',
        '  reads_per_s: 2000',
        '  history_s: 20',
        '  value_bytes: 1048576',
        '  ttl_min_ms: 1000',
    ]
    path.write_text('\n'.join([*lines, '']), encoding='utf-8')


class Gateway:
    """A gateway process that the platform starts again when it ends.

    Attributes:
        own_ends: Times at which the process ended by itself.
        address: Loopback address of its machine.
    """

    def __init__(self, case, number: int, zone: str):
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self._case = case
        self.address = f'127.{case.octets[0]}.{case.octets[1]}.{number + 10}'
        self.path = case.folder / f'{self.name}.yaml'
        self.log = case.folder / f'{self.name}.log'
        self.process: subprocess.Popen | None = None
        self.own_ends: list[float] = []
        self.is_wanted = True

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        case = self._case
        write_settings(
            self.path,
            self.name,
            self.address,
            case.ports,
            self.zone,
            case.zones,
            f'127.0.0.1:{case.store.port}',
        )
        deps = ROOT / 'target' / 'deps'
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'chivejunction.platform'],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **environment,
                    'PYTHONPATH': str(deps),
                    'CHIVEJUNCTION_NODE_FILE': str(self.path),
                },
            )
        case.record.add('started', gateway=self.name, pid=self.process.pid)

    async def supervise(self) -> None:
        """Starts the process again each time it ends, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is None or not self.is_wanted:
                continue
            self.own_ends.append(time.monotonic())
            self._case.record.add(
                'ended by itself',
                gateway=self.name,
                status=self.process.returncode,
            )
            await asyncio.sleep(RESTART_SECONDS)
            self.start()

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self._case.record.add(
            'signal', gateway=self.name, number=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def lose(self) -> None:
        """Loses the machine for good: silent, as without power."""
        self.is_wanted = False
        self.send_signal(signal.SIGSTOP)


class Case:
    """A small deployment: store, servers, gateways.

    Args:
        folder: Folder of the case, for its record.
        zones: Region of each zone.
    """

    def __init__(self, folder: pathlib.Path, zones: dict[str, str]):
        self.case_folder = folder
        self.record = Record(folder)
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        # The metrics port is fixed, so that each run has its own addresses.
        self.octets = divmod(os.getpid() % 60000 + 300, 256)
        base = f'127.{self.octets[0]}.{self.octets[1]}.10'
        self.ports = tuple(find_port(base) for _ in range(3))
        self.store = Store()
        self.servers: list[BackendServer] = []
        self.gateways: list[Gateway] = []
        self._tasks: list[asyncio.Task] = []

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def start(self, config: dict, gateway_zones: list[str]) -> None:
        """Starts the store, writes the configuration, starts the gateways."""
        await self.store.start()
        self.spawn(self.store.run_leases())
        self.store.put('op/config', json.dumps(config).encode())
        for number, zone in enumerate(gateway_zones):
            gateway = Gateway(self, number, zone)
            self.gateways.append(gateway)
            gateway.start()
            self.spawn(gateway.supervise())

    async def add_server(self, server, service: str, zone: str) -> None:
        """Starts a server and registers it as PROTOCOL describes."""
        await server.start()
        self.servers.append(server)
        self.write_entry(server, service, zone)

    def write_entry(self, server, service, zone, **fields) -> None:
        """Writes the entry of a server."""
        entry = {
            'service': service,
            'address': f'127.0.0.1:{server.port}',
            'zone': zone,
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': server.born,
            **fields,
        }
        self.store.put(
            f'servers/{server.instance}', json.dumps(entry).encode()
        )

    async def wait_until_ready(self, seconds: float = 12) -> bool:
        """Returns whether all gateways report ready in time."""
        deadline = time.monotonic() + seconds
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, gateway: Gateway) -> bool:
        """Asks a gateway whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    gateway.address, self.ports[1]
                )
                try:
                    writer.write(
                        b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    response = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return response is not None and response.status == 200

    async def stop(self) -> None:
        """Ends all processes and tasks of the case."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()

    def find_exceptions(self) -> list[str]:
        """Returns the last line of each traceback in the gateways' logs."""
        found = collections.Counter()
        for gateway in self.gateways:
            for line in gateway.log.read_text(errors='replace').splitlines():
                text = line.strip(' |+-')
                name = text.split(':')[0]
                if name.endswith(('Error', 'Exception')) and ' ' not in name:
                    found[text[:200]] += 1
        return [f'{n} x {text}' for text, n in found.items()]


@dataclasses.dataclass
class Call:
    """One request of a client and what became of it.

    Attributes:
        status: Status of the answer; 0 without one.
        is_complete: Whether the whole answer came.
        is_closed: Whether the gateway closed the channel without it.
    """

    id: str
    gateway: str
    sent_at: float
    is_kept: bool
    status: int = 0
    is_complete: bool = False
    is_closed: bool = False
    body: bytes = b''
    ended_at: float = 0.0


class Client:
    """A client that keeps its channel to one gateway.

    Args:
        case: The deployment.
        name: Begins the ids of its requests.
        gateway: The gateway that the platform sends it to.
        calls: Where its requests are collected.
        key: API key that it sends; empty for none.
    """

    def __init__(self, case, name, gateway, calls, key='key-a'):
        self.key = key
        self._case, self._name, self.gateway = case, name, gateway
        self._calls = calls
        self._streams = None
        self._used = False
        self._count = 0

    def encode(self, request_id, target, method='POST', body=b'x' * 300):
        """Returns the bytes of a request."""
        lines = [
            f'{method} {target} HTTP/1.1',
            'Host: shop.example',
            f'Request-Id: {request_id}',
            'Deadline-Ms: 6000',
            f'Content-Length: {len(body)}',
        ]
        if self.key:
            lines.append(f'X-Api-Key: {self.key}')
        return '\r\n'.join([*lines, '', '']).encode() + body

    async def call(self, target: str, seconds: float = 6.5) -> Call:
        """Sends a request on the kept channel, or on a new one."""
        self._count += 1
        call = Call(
            f'{self._name}-{self._count}',
            self.gateway.name,
            time.monotonic(),
            self._used,
        )
        self._calls.append(call)
        try:
            async with asyncio.timeout(seconds):
                if self._streams is None:
                    self._used = call.is_kept = False
                    self._streams = await asyncio.open_connection(
                        self.gateway.address, self._case.ports[0]
                    )
                reader, writer = self._streams
                call.sent_at = time.monotonic()
                self._case.record.add(
                    'sent', id=call.id, gateway=call.gateway, target=target
                )
                writer.write(self.encode(call.id, target))
                response = await read_message(reader)
                call.is_closed = response is None
                if response is not None:
                    call.status, call.body = response.status, response.body
                    call.is_complete = True
                    self._used = True
                if response is None or 'close' in response.headers.get(
                    'connection', ''
                ):
                    self.close()
        except TimeoutError:
            self.close()
        except (OSError, EOFError):
            call.is_closed = True
            self.close()
        call.ended_at = time.monotonic()
        self._case.record.add(
            'answer',
            id=call.id,
            gateway=call.gateway,
            status=call.status or 'none',
            kept=call.is_kept,
            ms=round(1000 * (call.ended_at - call.sent_at)),
        )
        return call

    def close(self) -> None:
        """Closes the channel."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def abort(sock: socket.socket) -> None:
    """Closes a socket with a reset, as a program does that gives up."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


def make_config(version: int = 1, **fields) -> dict:
    """Returns a configuration with plain and streaming routes."""
    route = {
        'host': 'shop.example',
        'timeout_ms': 6000,
        'target_latency_ms': 500,
        'priority': 2,
        'public': False,
        'sticky': False,
        'can_resume': False,
        'allowed_regions': [],
    }
    return {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'once',
                'prefix': '/once/',
                'kind': 'non_idempotent',
                'service': 'desk',
                'max_attempts': 1,
            },
            {
                **route,
                'name': 'safe',
                'prefix': '/safe/',
                'kind': 'idempotent',
                'service': 'desk',
                'max_attempts': 3,
            },
        ],
        'services': [
            {
                'name': 'desk',
                'health_path': '/health',
                'max_conns': 100,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': 'temple', 'api_keys': ['key-a']},
            {'name': 'school', 'api_keys': ['key-b']},
        ],
        **fields,
    }


async def send_orders(client: Client, until: float) -> None:
    """Sends orders on a kept channel, with a pause after each."""
    while time.monotonic() < until:
        await client.call('/once/order')
        await asyncio.sleep(random.uniform(0, 0.4))


def check_ends(case: Case, calls: list[Call]) -> list[str]:
    """Returns the broken rules after processes that may have ended.

    LOST: a machine in touch passes requests from kept channels on to sound
    servers and closes these channels without an answer, more than three
    times. Fault: on a tenth of the machines, two at least, processes end by
    themselves three times.
    """
    runs = {i for server in case.servers for i in server.runs}
    print(f'{len(calls)} orders sent, {len(runs)} requests run')
    for text in case.find_exceptions():
        print(f'  log: {text}')
    broken = []
    for gateway in case.gateways:
        closed = [
            call
            for call in calls
            if call.gateway == gateway.name
            and call.is_kept
            and call.id in runs
            and call.is_closed
        ]
        print(
            f'{gateway.name}: {len(gateway.own_ends)} ends of its own, '
            f'{len(closed)} orders passed on from kept channels that were '
            'closed without an answer'
        )
        if len(closed) > MAX_CLOSED:
            broken.append(f'LOST: {len(closed)} orders at {gateway.name}')
    ended = [g for g in case.gateways if len(g.own_ends) >= MIN_OWN_ENDS]
    if len(ended) >= max(MIN_MACHINES, len(case.gateways) / 10):
        broken.append(f'Fault: {len(ended)} machines with {MIN_OWN_ENDS} ends')
    shutil.rmtree(case.folder)
    return broken


async def start_desk(case: Case) -> None:
    """Starts a gateway and a server in each zone, waits until in touch."""
    await case.start(make_config(), list(case.zones))
    for number, zone in enumerate(case.zones):
        server = BackendServer(f'i-desk-{number}', case.record)
        await case.add_server(server, 'desk', zone)
    if not await case.wait_until_ready():
        raise RuntimeError('the gateways did not become ready')
    await asyncio.sleep(BOUNDS['contact_ms'] / 1000)


async def run_foreign_entry(
    folder: pathlib.Path, key: str, value: bytes, has_trouble: bool
) -> list[str]:
    """Lets another writer write an entry; returns the broken rules.

    Args:
        folder: Folder of the case.
        key: Key of the entry.
        value: Its value.
        has_trouble: Whether the entry is written.
    """
    case = Case(folder, ZONES)
    calls: list[Call] = []
    try:
        await start_desk(case)
        until = time.monotonic() + 16
        async with asyncio.TaskGroup() as group:
            for gateway in case.gateways:
                for number in range(8):
                    client = Client(
                        case, f'{gateway.name}-{number}', gateway, calls
                    )
                    group.create_task(send_orders(client, until))
            await asyncio.sleep(4)
            if has_trouble:
                case.store.put(key, value)
                case.record.add('entry of another writer', key=key)
            await asyncio.sleep(11)
            served = sum(
                call.status == 200
                for call in calls
                if call.sent_at > time.monotonic() - 5
            )
            print(f'{served} orders served in the last 5 s')
    finally:
        await case.stop()
    return check_ends(case, calls)


def main(run, folder: str) -> None:
    """Runs a case; exits with 1 if the rule was broken, 0 if it held.

    Args:
        run: Coroutine function that gets the folder and returns the broken
            rules as texts.
        folder: Folder of the case.
    """
    # An end from outside ends the processes of the case too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(run(pathlib.Path(folder)), 116))
    except Exception as exc:  # noqa: BLE001 - any error means it couldn't run
        print(f'the case could not run: {exc!r}')
        sys.exit(2)
    for text in broken:
        print(f'BROKEN {text}')
    if not broken:
        print('the rule held')
    sys.exit(1 if broken else 0)
