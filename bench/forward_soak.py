"""Randomised run of the gateways of the users' platform under faults.

Starts real gateways, backend servers, the store's stand-in and proxies as
processes, injects seeded faults from outside, and checks what callers and
backend servers see. Usage:

    python -m bench.forward_soak --seed 1 --seconds 30 [--gateways 3]
"""

import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import anyio
import fire
import h11
import httpcore
import yaml

from bench import ports
from chivejunction.platform import configuration
from chivejunction.platform import servers
from chivejunction.platform import settings
from chivejunction.transport import sockets
from fakes import forward_server
from fakes import platform_documents

# Of odd seeds: a region each; of even ones: one region, in which gateways
# follow one another.
DOMAINS = ('bkk-a', 'cnx-a', 'hkt-a')
ONE_REGION = ('bkk-a', 'bkk-b', 'bkk-c')
KEYS = ('key-a', 'key-b', 'key-c')
PROMISES = (408, 421, 429, 503)
# Bounds of the users' pages, in seconds.
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 3.0
CONFIG_SECONDS = 3.0
GRACE_SECONDS = 8.0
BODY_BYTES = 300
# Clients and servers read different clocks of one machine; scheduling slack.
SLACK_SECONDS = 0.3
SETTLE_SECONDS = 6.0
# Time for which faults of the store stretch its bounds (contact and outer).
STORE_SECONDS = 10.0


@dataclasses.dataclass
class Call:
    """One request as its client saw it."""

    id: str
    kind: str
    key: str
    gateway: int
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    is_whole: bool = False
    problem: str = ''


class Soak:
    """Processes, clients and faults of one run.

    Args:
        seed: Seed of faults and clients.
        gateways: Number of gateways.
        servers: Number of servers of each service.
        folder: Where logs and runs go.
    """

    def __init__(self, seed, gateways, servers, folder):
        self.rng = random.Random(seed)
        self.domains = DOMAINS if seed % 2 else ONE_REGION
        self.folder = pathlib.Path(folder)
        self.ports = ports.PortAllocator()
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.environments: dict[str, dict] = {}
        self.front = self.ports.find_port()
        # The metrics port is fixed, so runs at the same time need addresses
        # of their own; the port is nobody else's.
        high, low = divmod(self.front, 256)
        self.addresses = [f'127.{high}.{low}.{n + 2}' for n in range(gateways)]
        self.ready = self.ports.find_port()
        self.hints = self.ports.find_port()
        self.store = self.ports.find_port()
        self.controls: dict[int, int] = {}
        self.servers: dict[str, tuple[str, int, str]] = {}
        self.server_count = servers
        self.keys = list(KEYS)
        self.version = 1
        self.extra_routes = 0
        self.calls: list[Call] = []
        self.revoked: dict[str, float] = {}
        self.drained: dict[str, float] = {}
        self.terms: list[tuple[int, float]] = []
        self.harms: list[tuple[str, float]] = []
        self.violations: list[str] = []
        self.is_over = False
        self.http = httpcore.AsyncConnectionPool()

    # Processes.

    def spawn(self, name: str, command: list[str], **environment) -> None:
        """Starts a process; its output goes to a file."""
        self.commands[name] = command
        self.environments[name] = environment
        with (self.folder / f'{name}.log').open('a') as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env={**os.environ, **environment},
            )

    def respawn(self, name: str, process: subprocess.Popen) -> None:
        """Starts a process again unless another fault has done so."""
        if self.processes[name] is not process:
            return
        process.wait()
        self.spawn(name, self.commands[name], **self.environments[name])

    def spawn_module(self, name, module, **options) -> None:
        """Starts a stand-in."""
        flags = [f'--{k}={v}' for k, v in options.items()]
        self.spawn(name, [sys.executable, '-m', module, *flags])

    def start_gateway(self, number: int) -> None:
        """Starts a gateway whose way to the store is a proxy."""
        proxy, control = self.ports.find_port(), self.ports.find_port()
        self.controls[number] = control
        self.spawn_module(
            f'proxy-{number}',
            'fakes.proxy',
            port=proxy,
            control_port=control,
            target_port=self.store,
        )
        address = self.addresses[number]
        domain = self.domains[number % len(self.domains)]
        path = self.folder / f'gw-{number}.yaml'
        found = platform_documents.make_settings(
            f'gw-{number}',
            self.domains,
            domain,
            address,
            (self.front, self.ready, self.hints),
            f'127.0.0.1:{proxy}',
            revoke_ms=1000 * REVOKE_SECONDS,
            grace_period_s=GRACE_SECONDS,
            retry_budget_ratio=0.9,
            retry_slack=60,
        )
        path.write_text(yaml.safe_dump(found))
        self.spawn(
            f'gw-{number}',
            [sys.executable, '-m', 'chivejunction.platform'],
            **{settings.PATH_VARIABLE: str(path)},
        )

    async def start_server(self, service: str, number: int) -> str:
        """Starts and lists a server; returns its instance id."""
        instance = f'{service}-{number}'
        port = self.ports.find_port()
        domain = self.domains[number % len(self.domains)]
        self.servers[instance] = (service, port, domain)
        self.spawn_module(
            instance,
            'fakes.forward_server',
            port=port,
            instance=instance,
            runs=self.folder / f'{instance}.runs',
        )
        await self.list_server(instance)
        return instance

    async def list_server(self, instance: str, state: str = 'ready') -> None:
        """Writes a server's entry."""
        service, port, domain = self.servers[instance]
        entry = platform_documents.make_server_entry(
            service, port, domain, state
        )
        await self.operate('PUT', servers.PREFIX + instance, entry)

    def stop_all(self) -> None:
        """Ends all processes of this run."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    # The operator.

    async def request(self, method, port, path, value) -> int:
        """Calls a stand-in."""
        for _ in range(100):
            try:
                answer = await self.http.request(
                    method,
                    f'http://127.0.0.1:{port}{path}',
                    content=json.dumps(value).encode(),
                )
                return answer.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await anyio.sleep(0.1)
        raise RuntimeError(f'{path} at {port} does not answer')

    async def operate(self, method: str, key: str, value=None) -> None:
        """Writes to the store as the operator."""
        await self.request(method, self.store, f'/operator/{key}', value)

    async def configure(self) -> float:
        """Writes the next configuration; returns when it was accepted."""
        self.version += self.rng.randint(1, 3)
        names = ['safe', 'once', 'stream']
        names += [f'extra{n}' for n in range(self.extra_routes)]
        value = platform_documents.make_config(self.version, names, self.keys)
        await self.operate('PUT', configuration.CONFIG_KEY, value)
        return time.time()

    # Clients.

    async def run_client(self, number: int) -> None:
        """Sends requests on kept connections until the run is over."""
        rng = random.Random(self.rng.random())
        streams: dict[int, anyio.abc.SocketStream] = {}
        count = 0
        while not self.is_over:
            await anyio.sleep(rng.expovariate(12))
            count += 1
            call = Call(
                id=f'c{number}-{count}',
                kind=rng.choice(('safe', 'once', 'stream')),
                key=rng.choice(KEYS),
                gateway=rng.randrange(len(self.addresses)),
                sent_at=time.time(),
            )
            self.calls.append(call)
            stream = streams.pop(call.gateway, None)
            with anyio.move_on_after(3.5):
                stream = await self.make_call(call, stream)
            call.ended_at = time.time()
            if call.is_whole and stream is not None:
                streams[call.gateway] = stream
            elif stream is not None:
                await stream.aclose()

    async def make_call(self, call: Call, stream):
        """Makes one request; returns the connection to keep, or None."""
        try:
            if stream is None:
                stream = await anyio.connect_tcp(
                    self.addresses[call.gateway], self.front
                )
            request = platform_documents.make_request(
                call.kind, call.id, call.key, 3000, b'x' * BODY_BYTES
            )
            await stream.send(request)
            is_kept = await self.read_answer(call, stream)
        except (*sockets.DISCONNECT_ERRORS, h11.RemoteProtocolError):
            return None
        if not is_kept:
            await stream.aclose()
            return None
        return stream

    async def read_answer(self, call: Call, stream) -> bool:
        """Reads and checks an answer; returns whether to keep the stream."""
        conn = h11.Connection(h11.CLIENT)
        conn.send(
            h11.Request(method='GET', target='/', headers=[('host', 'x')])
        )
        conn.send(h11.EndOfMessage())
        headers, body = {}, b''
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive())
            elif isinstance(event, h11.Response):
                call.status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                break
        call.is_whole = True
        if call.status == 200:
            call.problem = check_body(call, headers, body)
        return headers.get('connection') != 'close'

    # Faults.

    async def run_faults(self, seconds: float) -> None:
        """Injects faults that come in series and overlap."""
        until = time.time() + seconds
        async with anyio.create_task_group() as group:
            while time.time() < until:
                fault = self.rng.choice(FAULTS)
                group.start_soon(fault, self, random.Random(self.rng.random()))
                await anyio.sleep(self.rng.uniform(0.3, 2.0))

    def note_harm(self, what: str, seconds: float = 0.0) -> None:
        """Notes a fault that lasts for seconds."""
        self.harms.append((what, time.time() + seconds))

    def is_calm(self, what: str, since: float, until: float) -> bool:
        """Tells whether nothing harmed a process in a time."""
        return not any(
            name == what and since - STORE_SECONDS <= at <= until + 1
            for name, at in self.harms
        )

    # Checks.

    def check(self) -> None:
        """Finds broken promises."""
        runs = collections.defaultdict(list)
        for path in self.folder.glob('*.runs'):
            for line in path.read_text().splitlines():
                row = json.loads(line)
                runs[row['id']].append(row)
        for call in self.calls:
            self._check_call(call, runs.get(call.id, []))
        unknown = set(runs) - {call.id for call in self.calls}
        for name in unknown:
            self.violations.append(f'unasked: {name} ran')
        for instance, at in self.drained.items():
            self._check_drained(instance, at, runs)

    def _check_call(self, call: Call, rows: list[dict]) -> None:
        if call.problem:
            self.violations.append(f'whole_answer: {call.id} {call.problem}')
        if call.kind == 'once' and len(rows) > 1:
            self.violations.append(f'at_most_once: {call.id} ran {len(rows)}')
        if call.kind == 'once' and call.status in PROMISES and rows:
            self.violations.append(f'true_not_run: {call.id} {call.status}')
        for row in rows:
            if (
                row['organisation'] != f't-{call.key}'
                or row['length'] != BODY_BYTES
            ):
                self.violations.append(f'unasked: {call.id} ran as {row}')
        revoked = self.revoked.get(call.key)
        if revoked and rows and call.sent_at > revoked + REVOKE_SECONDS:
            self.violations.append(f'withdrawn_key: {call.id} {call.key} ran')
        if call.status in (401, 404) and not revoked:
            self.violations.append(f'denied: {call.id} got {call.status}')
        for gateway, at in self.terms:
            name = f'gw-{gateway}'
            if (
                call.gateway == gateway
                and rows
                and not call.is_whole
                and at - 3 < call.sent_at < at + GRACE_SECONDS
                and self.is_calm(name, at, at + GRACE_SECONDS)
                and self.is_calm('servers', at, at + GRACE_SECONDS)
            ):
                self.violations.append(
                    f'graceful_shutdown: {call.id} at {name} was cut'
                )

    def _check_drained(self, instance, at, runs) -> None:
        if not self.is_calm('store', at, at + DRAIN_SECONDS):
            return
        for rows in runs.values():
            for row in rows:
                late = row['at'] - at - DRAIN_SECONDS - SLACK_SECONDS
                if row['instance'] == instance and late > 0:
                    self.violations.append(
                        f'leaving_server: {instance} ran {row["id"]} '
                        f'{late:.2f} s too late'
                    )


def check_body(call: Call, headers: dict, body: bytes) -> str:
    """Returns what is wrong with a successful answer, empty if nothing."""
    if headers.get('request-id') != call.id:
        return f'answers {headers.get("request-id")}'
    seal = platform_documents.get_signature(headers)
    if call.kind != 'stream':
        instance = seal.removeprefix(forward_server.SIGNATURE_PREFIX)
        wanted = f'{call.id}@{instance}'
        return '' if body.decode() == wanted else f'has body {body!r}'
    wanted = ''.join(
        f'id: {n}\ndata: {call.id}:{n}\n\n'
        for n in range(1, forward_server.count_events(call.id) + 1)
    )
    return '' if body.decode() == wanted else f'has events {body!r}'


async def kill_gateway(soak: Soak, rng: random.Random) -> None:
    """Kills a gateway and starts it again."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    soak.note_harm(name, 1)
    process = soak.processes[name]
    process.kill()
    await anyio.sleep(rng.uniform(0, 1))
    soak.respawn(name, process)


async def stop_gateway(soak: Soak, rng: random.Random) -> None:
    """Stops a gateway gracefully, at times kills it too late."""
    number = rng.randrange(len(soak.addresses))
    name = f'gw-{number}'
    process = soak.processes[name]
    process.send_signal(signal.SIGTERM)
    soak.terms.append((number, time.time()))
    with anyio.move_on_after(GRACE_SECONDS):
        while process.poll() is None:
            await anyio.sleep(0.05)
    if process.poll() is None:
        soak.violations.append(f'graceful_shutdown: {name} did not end')
        process.kill()
    soak.respawn(name, process)


async def freeze_gateway(soak: Soak, rng: random.Random) -> None:
    """Pauses a gateway."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    seconds = rng.uniform(0.2, 6)
    soak.note_harm(name, seconds)
    process = soak.processes[name]
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(seconds)
    process.send_signal(signal.SIGCONT)


async def reload_gateway(soak: Soak, rng: random.Random) -> None:
    """Says that the settings file has changed."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    soak.processes[name].send_signal(signal.SIGHUP)


async def harm_link(soak: Soak, rng: random.Random) -> None:
    """Silences, cuts or delays a gateway's connections to the store."""
    number = rng.randrange(len(soak.addresses))
    faults = rng.choice(
        (
            {'silence': 'both'},
            {'silence': 'forward'},
            {'silence': 'backward'},
            {'cut': True},
            {'delay': 0.4},
        )
    )
    soak.note_harm('store', 4)
    control = soak.controls[number]
    await soak.request('POST', control, '/faults', faults)
    await anyio.sleep(rng.uniform(0.5, 4))
    await soak.request('POST', control, '/faults', {'delay': 0.0})


async def harm_store(soak: Soak, rng: random.Random) -> None:
    """Takes the store down, or lets it lose answers or history."""
    fault, value, calm = rng.choice(
        (
            ('down', True, False),
            ('busy', True, False),
            ('silent', True, False),
            ('delay', 0.3, 0.0),
            ('lose_answers', 2, 0),
            ('forget', None, None),
        )
    )
    seconds = rng.uniform(0.5, 6)
    soak.note_harm('store', seconds)
    if fault == 'forget':
        await soak.request('POST', soak.store, '/forget', None)
        return
    await soak.request('POST', soak.store, '/faults', {fault: value})
    await anyio.sleep(seconds)
    await soak.request('POST', soak.store, '/faults', {fault: calm})
    soak.note_harm('store')


async def spoil_server(soak: Soak, rng: random.Random) -> None:
    """Lets a server spoil a share of its answers."""
    instance = rng.choice(list(soak.servers))
    fault = rng.choice(forward_server.FAULTS)
    port = soak.servers[instance][1]
    seconds = rng.uniform(1, 4)
    soak.note_harm('servers', seconds)
    for share in (0.4, 0.0):
        # Another fault may have killed the server meanwhile.
        if soak.processes[instance].poll() is None:
            await soak.request('POST', port, '/faults', {fault: share})
        await anyio.sleep(seconds)


async def kill_server(soak: Soak, rng: random.Random) -> None:
    """Kills a server; its entry goes later, and another one comes."""
    instance = rng.choice(list(soak.servers))
    service = soak.servers.pop(instance)[0]
    soak.note_harm('servers', 4)
    soak.processes[instance].kill()
    await anyio.sleep(rng.uniform(0, 3))
    await soak.operate('DELETE', servers.PREFIX + instance)
    soak.server_count += 1
    await soak.start_server(service, soak.server_count)


async def drain_server(soak: Soak, rng: random.Random) -> None:
    """Lets a server leave."""
    instance = rng.choice(list(soak.servers))
    service = soak.servers[instance][0]
    soak.server_count += 1
    await soak.start_server(service, soak.server_count)
    if instance not in soak.servers:
        return
    await soak.list_server(instance, 'draining')
    soak.servers.pop(instance)
    soak.drained[instance] = time.time()


async def revoke_key(soak: Soak, rng: random.Random) -> None:
    """Takes a key away for good; one stays."""
    if len(soak.keys) > 1:
        key = soak.keys.pop()
        soak.revoked[key] = await soak.configure()


async def add_route(soak: Soak, rng: random.Random) -> None:
    """Adds a route."""
    soak.extra_routes += 1
    await soak.configure()


FAULTS = (
    kill_gateway,
    stop_gateway,
    freeze_gateway,
    reload_gateway,
    harm_link,
    harm_store,
    spoil_server,
    kill_server,
    drain_server,
    revoke_key,
    add_route,
)


async def play(soak: Soak, seconds: float, clients: int) -> None:
    """Plays one run."""
    soak.spawn_module('store', 'fakes.metadata_store', port=soak.store)
    await soak.configure()
    for number in range(soak.server_count):
        for service in ('desk', 'pool'):
            await soak.start_server(service, number)
    for number in range(len(soak.addresses)):
        soak.start_gateway(number)
    await anyio.sleep(2.5)
    async with anyio.create_task_group() as group:
        for number in range(clients):
            group.start_soon(soak.run_client, number)
        await soak.run_faults(seconds)
        await anyio.sleep(SETTLE_SECONDS)
        # Whatever happened, all gateways serve again.
        begin = time.time()
        await anyio.sleep(2)
        soak.is_over = True
    late = [c for c in soak.calls if c.sent_at > begin]
    served = sum(c.status == 200 for c in late if c.key in soak.keys)
    owed = sum(c.key in soak.keys for c in late)
    if served < 0.9 * owed:
        soak.violations.append(f'recovery: {served} of {owed} served')


def run(
    seed: int = 1,
    seconds: float = 20,
    gateways: int = 3,
    servers: int = 3,
    clients: int = 8,
    folder: str = '',
) -> None:
    """Plays one run; exit status 1 if a promise was broken."""
    folder = folder or tempfile.mkdtemp(prefix=f'forward-soak-{seed}-')
    soak = Soak(seed, gateways, servers, folder)
    try:
        anyio.run(play, soak, seconds, clients)
    finally:
        soak.stop_all()
    soak.check()
    counts = collections.Counter(
        f'{c.kind} {c.status if c.is_whole else "cut"}' for c in soak.calls
    )
    print(json.dumps({'seed': seed, 'calls': counts, 'folder': folder}))
    for violation in soak.violations:
        print('VIOLATION', violation)
    sys.exit(bool(soak.violations))


if __name__ == '__main__':
    fire.Fire(run)
