"""Stand-ins and helpers of the cases 6 to 10; standard library only.

The store, the servers and the clients follow the users' pages (PROTOCOL). The
gateway is the project's own program, started with the command of the deploy
file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
RESET = struct.pack('ii', 1, 0)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of ``record.txt`` with the seconds since the start.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Adds a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f'{seconds:8.3f} {text}\n')

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def find_port(address: str = '127.0.0.1') -> int:
    """Returns a free TCP port."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def find_addresses(count: int) -> list[str]:
    """Returns loopback addresses whose fixed metrics port is free."""
    found = []
    for _ in range(200):
        address = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}.9'
        with socket.socket() as sock:
            try:
                sock.bind((address, METRICS_PORT))
            except OSError:
                continue
        found.append(address)
        if len(found) == count:
            return found
    raise CannotRun('no free loopback address')


# Reading of messages.


async def read_head(reader) -> tuple[str, list[tuple[str, str]]] | None:
    """Returns start line and headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('broken off inside a head') from exc
        return None
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_body(reader, headers: dict, is_response: bool) -> bytes:
    """Returns a body; raises an error if it is broken off."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if is_response else b''


def reset(writer) -> None:
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


BROKEN = (
    ConnectionError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)


class Listener:
    """Serves HTTP/1.1 connections; subclasses answer the requests."""

    def __init__(self):
        self._server = None
        self.writers: set = set()
        self.address = ''

    async def open(self, port: int = 0, host: str = '127.0.0.1') -> None:
        """Listens on a port, a free one by default."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True, limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.host, self.port = host, port
        self.address = f'{host}:{port}'

    def crash(self) -> None:
        """Closes the port and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ', 2)
                headers = dict(head[1])
                body = await read_body(reader, headers, False)
                if not await self.answer(
                    method, target, headers, body, writer
                ):
                    break
        except BROKEN:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer) -> bool:
        """Answers a request; returns whether the connection is kept."""
        raise NotImplementedError


def write_answer(writer, status: int, headers: dict, body: bytes) -> None:
    """Writes a complete answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode('latin-1') + body)


class Store(Listener):
    """The platform's store: items, watches, leases, transactions."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value, lease: int = 0) -> None:
        """Writes a key, as the operator and the servers do."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_at': known['created_at'] if known else self.revision,
            'lease': lease,
        }
        self._add_event(dict(self.items[key]))

    def remove(self, key: str) -> None:
        """Deletes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """Ends leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)
        return True

    async def answer(self, method, target, headers, body, writer) -> bool:
        """Answers a call of a gateway."""
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        name, _, number = url.path.removeprefix('/v1/').partition('/')
        value = json.loads(body) if body else {}
        status, result = await self._call(name, number, query, value)
        write_answer(
            writer,
            status,
            {'Content-Type': 'application/json'},
            json.dumps(result).encode(),
        )
        await writer.drain()
        return True

    async def _call(self, name, number, query, value):
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'store_revision': self.revision}
            return 200, {**item, 'store_revision': self.revision}
        if name == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._commit(value)
        if name == 'kv-lease':
            self.revision += 1
            seconds = value['ttl_ms'] / 1000
            self.leases[self.revision] = [time.monotonic() + seconds, seconds]
            return 200, {'lease': self.revision, 'ttl_ms': value['ttl_ms']}
        if name == 'kv-keep':
            lease = self.leases.get(int(number))
            if lease is None:
                return 404, {}
            lease[0] = time.monotonic() + lease[1]
            return 200, {'ttl_ms': int(1000 * lease[1])}
        if name == 'kv-lease-end':
            return (200 if self._end_lease(int(number)) else 404), {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _commit(self, value):
        conflicts = []
        for row in value.get('expected_rev', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                conflicts.append(item or {'key': row['key'], 'revision': 0})
        if conflicts:
            return 412, {'items': conflicts}
        for write in value.get('writes', []):
            if write.get('lease') and write['lease'] not in self.leases:
                return 404, {}
        for write in value.get('writes', []):
            self.put(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in value.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


# Clients.


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict,
    body: bytes = b'',
    seconds: float = 5.0,
    connection: tuple | None = None,
) -> dict:
    """Sends a request and reads its answer.

    Args:
        address: ``IP:PORT``.
        method: HTTP method.
        target: Path and query.
        headers: Headers.
        body: Body, sent with a length.
        seconds: Time after which the client gives up.
        connection: Reader and writer of a kept connection.

    Returns:
        ``status`` (0 without one), ``headers``, ``body``, ``complete``,
        ``error``, ``seconds``.
    """
    began_at = time.monotonic()
    result = {
        'status': 0,
        'headers': {},
        'body': b'',
        'complete': False,
        'error': '',
    }
    writer = None

    async def exchange():
        nonlocal writer
        if connection is None:
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**20
            )
        else:
            reader, writer = connection
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        head = await read_head(reader)
        if head is None:
            raise ConnectionError('closed without an answer')
        result['status'] = int(head[0].split(' ')[1])
        result['headers'] = dict(head[1])
        result['body'] = await read_body(reader, result['headers'], True)
        result['complete'] = True

    try:
        await asyncio.wait_for(exchange(), seconds)
    except TimeoutError:
        result['error'] = 'gave up'
    except BROKEN as exc:
        result['error'] = f'{type(exc).__name__}: {exc}'
    if writer is not None and (connection is None or not result['complete']):
        writer.close()
    result['seconds'] = time.monotonic() - began_at
    return result


# The gateways.


def make_settings(name, zone, zones, address, ports, store, memory_mb) -> str:
    """Returns the settings file of a gateway, as on the page DEPLOY."""
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
        *[f'  {key}: "{value}"' for key, value in zones.items()],
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
        f'  memory_mb: {memory_mb}',
        '  max_fds: 4100',
        'heartbeat_ms: 1200',
        'bounds:',
        '  contact_ms: 4000',
        '  drain_timeout_ms: 3000',
        '  grace_period_s: 8',
        '  config_deadline_ms: 3000',
        '  strict_revoke: true',
        '  revoke_ms: 5000',
        '  retry_budget_ratio: 0.9',
        '  retry_window_s: 10',
        '  retry_slack: 54',
        'platform:',
        f'  address: "{store}"',
        '  form: "kv"',
        '  ttl_min_ms: 1000',
    ]
    return '\n'.join([*lines, ''])


class Gateway:
    """A process of the project.

    Args:
        name: Name of the machine.
        folder: Temporary folder for its settings and its log.
        settings: Content of the settings file.
        address: IP address.
        ports: Ports for callers, readiness and other gateways.
    """

    def __init__(self, name, folder, settings, address, ports):
        self.name, self._folder = name, folder
        self.front = f'{address}:{ports[0]}'
        self.ready = f'{address}:{ports[1]}'
        self._settings = folder / f'{name}.yaml'
        self._settings.write_text(settings, encoding='utf-8')
        self.process = None
        self.starts = 0

    def start(self) -> None:
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        deps = ROOT / 'target/deps'
        if not deps.is_dir():
            raise CannotRun('target/deps is missing: run the build')
        if shutil.which(command[0]) is None:
            raise CannotRun(f'{command[0]} is not on the path')
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment |= {
            'PYTHONPATH': str(deps),
            'PYTHONDONTWRITEBYTECODE': '1',
            'CHIVEJUNCTION_NODE_FILE': str(self._settings),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    def read_log(self) -> list[dict]:
        """Returns the lines of the log that are JSON objects."""
        rows = []
        text = (self._folder / f'{self.name}.log').read_text(
            'utf-8', 'replace'
        )
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def read_rss_mb(self) -> float:
        """Returns the resident memory in MB, 0 if the process has ended."""
        with contextlib.suppress(OSError):
            path = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in path.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def is_ready(gateway: Gateway, seconds: float = 1.0) -> bool:
    """Asks for readiness as the platform does."""
    result = await call(
        gateway.ready, 'GET', '/v1/readiness', {'Host': 'x'}, b'', seconds
    )
    return result['status'] == 200


async def wait_ready(gateways: list[Gateway], seconds: float = 25.0) -> None:
    """Waits until all gateways say that they are ready.

    Raises:
        CannotRun: They do not become ready.
    """
    until = time.monotonic() + seconds
    for gateway in gateways:
        while not await is_ready(gateway):
            if time.monotonic() > until:
                raise CannotRun(f'{gateway.name} does not become ready')
            await asyncio.sleep(0.1)


class Site:
    """A small deployment: a store, gateways and a temporary folder.

    Args:
        count: Number of gateways.
        zones: Region of each zone.
        memory_mb: Memory of a machine of the gateways.
    """

    def __init__(self, count: int, zones: dict[str, str], memory_mb: int):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.zones = zones
        self._count, self._memory_mb = count, memory_mb
        self.gateways: list[Gateway] = []
        self._tasks: list[asyncio.Task] = []

    async def open(self) -> None:
        """Starts the store and the gateways."""
        await self.store.open()
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        names = list(self.zones)
        ports = (find_port(), find_port(), find_port())
        for number, address in enumerate(find_addresses(self._count)):
            zone = names[number % len(names)]
            name = f'edge-{zone}-{number + 1}'
            settings = make_settings(
                name,
                zone,
                self.zones,
                address,
                ports,
                self.store.address,
                self._memory_mb,
            )
            gateway = Gateway(name, self.folder, settings, address, ports)
            self.gateways.append(gateway)
            gateway.start()

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
        self.store.crash()
        if os.environ.get('KEEP'):
            print(f'kept {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: pathlib.Path, play) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 could not run.

    Args:
        folder: Folder of the case.
        play: Coroutine function that takes the record and returns whether
            the rule held.
    """
    record = Record(folder)
    # The gateways are ended also if the case is.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = asyncio.run(asyncio.wait_for(play(record), 115))
    except (CannotRun, OSError, TimeoutError, KeyboardInterrupt) as exc:
        record.say(f'could not run: {exc!r}')
        record.close()
        sys.exit(2)
    record.say('the rule held' if held else 'the rule was broken')
    record.close()
    sys.exit(0 if held else 1)
