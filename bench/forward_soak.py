"""Randomised run of the gateways of the users' platform under faults.

Starts real gateways, fake backend servers, a fake store and proxies as
processes, injects seeded faults from outside, and checks the responses to
clients and the runs at the backend servers. Usage:

    python -m bench.forward_soak --seed 1 --seconds 30 [--gateways 3]
"""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib import parse

import anyio
from anyio import abc
import fire
import h11
import httpcore
import yaml

from bench import ports
from chivejunction.platform import configuration
from chivejunction.platform import program
from chivejunction.platform import servers
from chivejunction.platform import settings
from chivejunction.transport import sockets
from fakes import forward_server
from fakes import platform_documents
from fakes import proxy as fake_proxy

# Odd seeds use one region for each gateway. Even seeds use a single region, in
# which gateways poll one another as relays.
MULTI_REGION_DOMAINS = ('bkk-a', 'cnx-a', 'hkt-a')
SINGLE_REGION_DOMAINS = ('bkk-a', 'bkk-b', 'bkk-c')
KEYS = ('key-a', 'key-b', 'key-c')
# Responses with these statuses state that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time limits from the users' pages.
REVOCATION_SECONDS = 5.0
DRAIN_SECONDS = 3.0
CONFIG_SECONDS = 3.0
CONTACT_SECONDS = 4.0
GRACE_SECONDS = 8.0
BODY_BYTES = 300
# Time after which a client gives up.
CALL_SECONDS = 3.5
# Tolerance for scheduling delays and for differences between the clocks that
# clients and servers read on one host.
CLOCK_TOLERANCE_SECONDS = 0.3
RECOVERY_SECONDS = 6.0
# Time after a fault in which the time limits do not apply: a fault of the
# store extends them by the time to regain contact and the outer limit.
MAX_DISRUPTION_SECONDS = 10.0
# Pause before a gateway that ended by itself is started again.
RESTART_DELAY_SECONDS = 0.3
# Number of the newest routes that clients use.
RECENT_ROUTES = 3
ODD_ENTRIES = 30
RESETS = 25
LOG_LINES = 5


@dataclasses.dataclass
class Call:
    """One request with its result at the client.

    Attributes:
        is_kept: Whether its connection has carried a request before.
        is_closed: Whether the gateway closed the connection before the end
            of the response.
        is_abandoned: Whether the client gave it up on purpose.
    """

    id: str
    kind: str
    key: str
    gateway: int
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    is_complete: bool = False
    is_kept: bool = False
    is_closed: bool = False
    is_abandoned: bool = False
    problem: str = ''


@dataclasses.dataclass(slots=True)
class Termination:
    """A SIGTERM of a gateway.

    Attributes:
        gateway: Number of the gateway.
        at: Time of the signal.
        ended_at: Time at which the process had ended; infinite before.
    """

    gateway: int
    at: float
    ended_at: float = math.inf


class Soak:
    """Processes, clients and faults of one run.

    Args:
        seed: Seed of faults and clients.
        gateways: Number of gateways.
        servers: Number of backend servers of each service.
        folder: Folder for logs, settings files and records of runs.
    """

    def __init__(self, seed, gateways, servers, folder):
        self.rng = random.Random(seed)
        self.domains = (
            MULTI_REGION_DOMAINS if seed % 2 else SINGLE_REGION_DOMAINS
        )
        self.folder = pathlib.Path(folder)
        self.ports = ports.PortAllocator()
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.environments: dict[str, dict] = {}
        # All processes, and those that the soak has ended.
        self.started: list[subprocess.Popen] = []
        self.ended: set[subprocess.Popen] = set()
        # Times of the starts of each gateway after the first.
        self.restarts: dict[int, list[float]] = collections.defaultdict(list)
        self.public_port = self.ports.find_port()
        # The metrics port is fixed, so concurrent runs need different
        # addresses. They are derived from the public port, which no other
        # run uses.
        high, low = divmod(self.public_port, 256)
        self.addresses = [f'127.{high}.{low}.{n + 2}' for n in range(gateways)]
        self.readiness_port = self.ports.find_port()
        self.hints_port = self.ports.find_port()
        self.store_port = self.ports.find_port()
        self.proxy_control_ports: dict[int, int] = {}
        self.servers: dict[str, tuple[str, int, str]] = {}
        self.server_count = servers
        self.keys = list(KEYS)
        self.version = 1
        self.extra_routes = 0
        # Times at which added routes were confirmed, oldest first.
        self.confirmed_at: dict[str, float] = {}
        self.calls: list[Call] = []
        self.revoked_at: dict[str, float] = {}
        self.drained_at: dict[str, float] = {}
        self.terminations: list[Termination] = []
        # Targets with begin and end.
        self.disruptions: list[tuple[str, float, float]] = []
        self.violations: list[str] = []
        self.is_finished = False
        self.http = httpcore.AsyncConnectionPool()

    # Processes.

    def start_process(
        self,
        name: str,
        command: list[str],
        output: int | None = None,
        preexec: Callable | None = None,
        **environment,
    ) -> None:
        """Starts a process.

        Args:
            name: Name of the process.
            command: Program and arguments.
            output: Descriptor for its output; its log file by default.
            preexec: Called in the new process before the program.
            **environment: Further environment variables.
        """
        self.commands[name] = command
        self.environments[name] = environment
        with self.get_log(name).open('a') as log:
            process = subprocess.Popen(
                command,
                stdout=log if output is None else output,
                stderr=log if output is None else output,
                preexec_fn=preexec,
                env={**os.environ, **environment},
            )
        self.processes[name] = process
        self.started.append(process)

    def get_log(self, name: str) -> pathlib.Path:
        """Returns the log file of a process."""
        return self.folder / f'{name}.log'

    def start_again(self, number: int, **options) -> None:
        """Starts a gateway again, with options of start_process."""
        name = f'gw-{number}'
        self.restarts[number].append(time.time())
        self.start_process(
            name, self.commands[name], **options, **self.environments[name]
        )

    def restart_gateway(
        self, number: int, process: subprocess.Popen, **options
    ) -> None:
        """Restarts an ended gateway unless another fault has done so."""
        if self.processes[f'gw-{number}'] is process:
            process.wait()
            self.start_again(number, **options)

    def kill(self, process: subprocess.Popen) -> None:
        """Kills a process."""
        self.ended.add(process)
        process.kill()

    async def terminate_gateway(
        self, number: int, process: subprocess.Popen
    ) -> None:
        """Stops a gateway with SIGTERM.

        A gateway that does not end within the grace period is a violation
        and is killed.
        """
        name = f'gw-{number}'
        self.ended.add(process)
        process.send_signal(signal.SIGTERM)
        stop = Termination(number, time.time())
        self.terminations.append(stop)
        with anyio.move_on_after(GRACE_SECONDS):
            while process.poll() is None:
                await anyio.sleep(0.05)
        if process.poll() is None:
            self.violations.append(
                f'graceful_shutdown: {name} did not end within '
                f'{GRACE_SECONDS} s'
            )
            process.kill()
        else:
            stop.ended_at = time.time()
        # SIGTERM ends a process that has just started, SIGKILL is a fault.
        if process.wait() not in (0, -signal.SIGTERM, -signal.SIGKILL):
            self.add_own_end(name, process)

    def add_own_end(self, name: str, process: subprocess.Popen) -> None:
        """Adds the violation of a process that ended by itself."""
        lines = [
            line
            for line in self.get_log(name)
            .read_text('utf-8', 'replace')
            .splitlines()
            if 'chivejunction.decision' not in line
        ]
        self.violations.append(
            f'own_end: {name} ended with status {process.returncode}: '
            + ' / '.join(lines[-LOG_LINES:])
        )

    async def run_restarts(self) -> None:
        """Restarts gateways that end by themselves, until cancelled."""
        while True:
            await anyio.sleep(0.1)
            for number in range(len(self.addresses)):
                name = f'gw-{number}'
                process = self.processes[name]
                if process in self.ended or process.poll() is None:
                    continue
                self.ended.add(process)
                self.add_own_end(name, process)
                await anyio.sleep(RESTART_DELAY_SECONDS)
                self.restart_gateway(number, process)

    def start_module(self, name, module, **options) -> None:
        """Starts a fake server.

        Args:
            name: Name of the process.
            module: Python module to run.
            **options: Command-line flags.
        """
        flags = [f'--{k}={v}' for k, v in options.items()]
        self.start_process(name, [sys.executable, '-m', module, *flags])

    def start_gateway(self, number: int) -> None:
        """Starts a gateway that reaches the store through a proxy."""
        proxy, control = self.ports.find_port(), self.ports.find_port()
        self.proxy_control_ports[number] = control
        self.start_module(
            f'proxy-{number}',
            'fakes.proxy',
            port=proxy,
            control_port=control,
            target_port=self.store_port,
        )
        address = self.addresses[number]
        domain = self.domains[number % len(self.domains)]
        path = self.folder / f'gw-{number}.yaml'
        values = platform_documents.make_settings(
            f'gw-{number}',
            self.domains,
            domain,
            address,
            (self.public_port, self.readiness_port, self.hints_port),
            f'127.0.0.1:{proxy}',
            revoke_ms=1000 * REVOCATION_SECONDS,
            grace_period_s=GRACE_SECONDS,
            retry_budget_ratio=0.9,
            retry_slack=60,
        )
        path.write_text(yaml.safe_dump(values))
        self.start_process(
            f'gw-{number}',
            [sys.executable, '-m', 'chivejunction.platform'],
            **{settings.PATH_VARIABLE: str(path)},
        )

    async def start_server(self, service: str, number: int) -> str:
        """Starts a backend server, adds its entry, returns its instance id."""
        instance = f'{service}-{number}'
        port = self.ports.find_port()
        domain = self.domains[number % len(self.domains)]
        self.servers[instance] = (service, port, domain)
        self.start_module(
            instance,
            'fakes.forward_server',
            port=port,
            instance=instance,
            runs=self.folder / f'{instance}.runs',
        )
        await self.write_server_entry(instance)
        return instance

    async def write_server_entry(
        self, instance: str, state: str = 'ready'
    ) -> None:
        """Writes the entry of a backend server to the store."""
        service, port, domain = self.servers[instance]
        entry = platform_documents.make_server_entry(
            service, port, domain, state
        )
        await self.send_operator_request(
            'PUT', servers.PREFIX + instance, entry
        )

    def stop_all(self) -> None:
        """Ends all processes of this run."""
        for process in self.started:
            process.kill()
        for process in self.started:
            process.wait()

    # The operator.

    async def request(self, method, port, path, value) -> int:
        """Calls a fake server, with retries; returns the status.

        Raises:
            RuntimeError: No response after 100 attempts.
        """
        for _ in range(100):
            try:
                response = await self.http.request(
                    method,
                    f'http://127.0.0.1:{port}{path}',
                    content=(
                        value
                        if isinstance(value, bytes)
                        else json.dumps(value).encode()
                    ),
                )
                return response.status
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await anyio.sleep(0.1)
        raise RuntimeError(
            f'no response to {method} {path} at port {port} after 100 attempts'
        )

    async def send_operator_request(
        self, method: str, key: str, value=None
    ) -> None:
        """Sends a request to the store as the operator."""
        path = f'/operator/{parse.quote(key)}'
        await self.request(method, self.store_port, path, value)

    async def configure(self) -> float:
        """Writes the next configuration; returns when it was accepted."""
        self.version += self.rng.randint(1, 3)
        names = ['safe', 'once', 'stream']
        names += [f'extra{n}' for n in range(self.extra_routes)]
        value = platform_documents.make_config(self.version, names, self.keys)
        for edit in platform_documents.CONFIG_EDITS:
            if self.rng.random() < 0.3:
                edit(value)
        await self.send_operator_request(
            'PUT', configuration.CONFIG_KEY, value
        )
        return time.time()

    # Clients.

    async def run_client(self, number: int) -> None:
        """Sends requests on reused connections until the run is finished."""
        rng = random.Random(self.rng.random())
        streams: dict[int, anyio.abc.SocketStream] = {}
        count = 0
        while not self.is_finished:
            await anyio.sleep(rng.expovariate(12))
            count += 1
            call = Call(
                id=f'c{number}-{count}',
                kind=rng.choice(('safe', 'once', 'stream', self.choose(rng))),
                key=rng.choice(KEYS),
                gateway=rng.randrange(len(self.addresses)),
                sent_at=time.time(),
            )
            self.calls.append(call)
            stream = streams.pop(call.gateway, None)
            with anyio.move_on_after(CALL_SECONDS):
                stream = await self.make_call(call, stream)
            call.ended_at = time.time()
            if call.is_complete and stream is not None:
                streams[call.gateway] = stream
            elif stream is not None:
                await stream.aclose()

    def choose(self, rng: random.Random) -> str:
        """Returns one of the routes added last."""
        routes = list(self.confirmed_at)[-RECENT_ROUTES:]
        return rng.choice(routes or ['safe'])

    async def make_call(self, call: Call, stream):
        """Sends one request; returns the connection for reuse, or None."""
        call.is_kept = stream is not None
        try:
            if stream is None:
                stream = await anyio.connect_tcp(
                    self.addresses[call.gateway], self.public_port
                )
            request = platform_documents.make_request(
                call.kind, call.id, call.key, 3000, b'x' * BODY_BYTES
            )
            await stream.send(request)
            keep_connection = await self.read_response(call, stream)
        except (*sockets.DISCONNECT_ERRORS, h11.RemoteProtocolError):
            call.is_closed = True
            return None
        if not keep_connection:
            await stream.aclose()
            return None
        return stream

    async def read_response(self, call: Call, stream) -> bool:
        """Reads and checks a response; returns whether to reuse the stream."""
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
        call.is_complete = True
        if call.status == 200:
            call.problem = check_body(call, headers, body)
        return headers.get('connection') != 'close'

    # Faults.

    async def run_faults(self, seconds: float) -> None:
        """Injects random, possibly overlapping faults for ``seconds``."""
        until = time.time() + seconds
        async with anyio.create_task_group() as group:
            while time.time() < until:
                fault = self.rng.choice(FAULTS)
                group.start_soon(fault, self, random.Random(self.rng.random()))
                await anyio.sleep(self.rng.uniform(0.3, 2.0))

    def add_disruption(self, target: str, seconds: float = 0.0) -> None:
        """Records a fault of a target with its duration in seconds."""
        now = time.time()
        self.disruptions.append((target, now, now + seconds))

    def is_undisrupted(
        self,
        target: str,
        since: float,
        until: float,
        margin: float = MAX_DISRUPTION_SECONDS,
    ) -> bool:
        """Returns whether no fault affected a target around a period.

        Args:
            target: Name given to add_disruption.
            since: Start of the period.
            until: End of the period.
            margin: Time in seconds for which a fault has effects.
        """
        return not any(
            name == target and since - margin <= end and begin <= until + 1
            for name, begin, end in self.disruptions
        )

    def is_in_touch(self, call: Call) -> bool:
        """Returns whether a call's gateway and its path were sound."""
        since = call.sent_at - CONFIG_SECONDS
        return self.is_undisrupted('core', since, call.ended_at) and all(
            self.is_undisrupted(name, since, call.ended_at, CONTACT_SECONDS)
            for name in (f'gw-{call.gateway}', f'link-{call.gateway}')
        )

    # Checks.

    def check(self) -> None:
        """Adds the violations of the run to ``violations``."""
        runs = collections.defaultdict(list)
        for path in self.folder.glob('*.runs'):
            for line in path.read_text().splitlines():
                run = json.loads(line)
                runs[run['id']].append(run)
        for call in self.calls:
            self._check_call(call, runs.get(call.id, []))
        unknown = set(runs) - {call.id for call in self.calls}
        for name in unknown:
            self.violations.append(f'unasked: {name} ran')
        self._check_regressions()
        for instance, at in self.drained_at.items():
            self._check_drained(instance, at, runs)

    def _check_call(self, call: Call, runs: list[dict]) -> None:
        if call.problem:
            self.violations.append(f'whole_answer: {call.id} {call.problem}')
        if call.kind == 'once' and len(runs) > 1:
            self.violations.append(
                f'at_most_once: {call.id} ran {len(runs)} times'
            )
        if call.kind == 'once' and call.status in NOT_RUN_STATUSES and runs:
            self.violations.append(
                f'true_not_run: {call.id} ran, status {call.status}'
            )
        for run in runs:
            if (
                run['organisation'] != f't-{call.key}'
                or run['length'] != BODY_BYTES
            ):
                self.violations.append(f'unasked: {call.id} ran as {run}')
        revoked_at = self.revoked_at.get(call.key)
        if (
            revoked_at
            and runs
            and call.sent_at > revoked_at + REVOCATION_SECONDS
        ):
            self.violations.append(
                f'withdrawn_key: {call.id} ran with {call.key}'
            )
        if call.status in (401, 404) and not revoked_at:
            self._check_denied(call)
        self._check_lost(call, runs)
        for stop in self.terminations:
            name, at = f'gw-{stop.gateway}', stop.at
            # The process that ended cannot have cut later calls.
            until = min(at + GRACE_SECONDS, stop.ended_at)
            if (
                call.gateway == stop.gateway
                and runs
                and not call.is_complete
                and not call.is_abandoned
                and at - 3 < call.sent_at < until
                and self.is_undisrupted(name, at, at + GRACE_SECONDS)
                and self.is_undisrupted('servers', at, at + GRACE_SECONDS)
            ):
                self.violations.append(
                    f'graceful_shutdown: {call.id} at {name} was interrupted'
                )

    def has_due_route(self, call: Call) -> bool:
        """Returns whether the added route of a call must be in force."""
        confirmed_at = self.confirmed_at.get(call.kind, math.inf)
        delay = call.sent_at - confirmed_at - CLOCK_TOLERANCE_SECONDS
        return delay > CONFIG_SECONDS and self.is_in_touch(call)

    def _check_denied(self, call: Call) -> None:
        text = f'{call.id} at gw-{call.gateway} got status {call.status}'
        if call.kind not in self.confirmed_at:
            self.violations.append(f'denied: {text}')
        elif self.has_due_route(call):
            delay = call.sent_at - self.confirmed_at[call.kind]
            self.violations.append(
                f'not_in_force: {text} for {call.kind} {delay:.2f} s after '
                'its confirmation'
            )

    def _check_regressions(self) -> None:
        """Adds requests for routes that a process has served before."""
        served_at: dict[tuple[int, str], float] = {}
        for call in sorted(self.calls, key=lambda call: call.sent_at):
            if call.kind not in self.confirmed_at:
                continue
            key = call.gateway, call.kind
            if call.status == 200:
                served_at.setdefault(key, call.ended_at)
            since = served_at.get(key, math.inf)
            # A process of before a restart serves until its grace period ends.
            if (
                call.status == 404
                and call.sent_at > since + CLOCK_TOLERANCE_SECONDS
                and not any(
                    since - GRACE_SECONDS <= at <= call.ended_at
                    for at in self.restarts[call.gateway]
                )
            ):
                self.violations.append(
                    f'regression: {call.id} got 404 for {call.kind} at '
                    f'gw-{call.gateway}, which had served it'
                )

    def _check_lost(self, call: Call, runs: list[dict]) -> None:
        name = f'gw-{call.gateway}'
        if (
            call.is_kept
            and call.is_closed
            and runs
            and all(
                self.is_undisrupted(
                    target, call.sent_at, call.ended_at, CONTACT_SECONDS
                )
                for target in (name, 'servers')
            )
        ):
            self.violations.append(
                f'lost: {call.id} ran, {name} closed its kept connection'
            )

    def _check_drained(self, instance, at, runs) -> None:
        if not self.is_undisrupted('store', at, at + DRAIN_SECONDS):
            return
        for call_runs in runs.values():
            for run in call_runs:
                delay = (
                    run['at'] - at - DRAIN_SECONDS - CLOCK_TOLERANCE_SECONDS
                )
                if run['instance'] == instance and delay > 0:
                    self.violations.append(
                        f'leaving_server: {instance} ran {run["id"]} '
                        f'{delay:.2f} s too late'
                    )


def check_body(call: Call, headers: dict, body: bytes) -> str:
    """Returns the error in a successful response, empty if there is none."""
    if headers.get('request-id') != call.id:
        return f'got the response to {headers.get("request-id")}'
    signature = platform_documents.get_signature(headers)
    if call.kind != 'stream':
        instance = signature.removeprefix(forward_server.SIGNATURE_PREFIX)
        expected = f'{call.id}@{instance}'
        return '' if body.decode() == expected else f'got body {body!r}'
    expected = ''.join(
        f'id: {n}\ndata: {call.id}:{n}\n\n'
        for n in range(1, forward_server.count_events(call.id) + 1)
    )
    return '' if body.decode() == expected else f'got events {body!r}'


async def kill_gateway(soak: Soak, rng: random.Random, **options) -> None:
    """Kills a gateway and restarts it within about a second.

    Args:
        soak: Run.
        rng: Source of random numbers.
        **options: Options of the new process, see start_process.
    """
    number = rng.randrange(len(soak.addresses))
    name = f'gw-{number}'
    soak.add_disruption(name, 1)
    process = soak.processes[name]
    soak.kill(process)
    await anyio.sleep(rng.uniform(0, 1))
    soak.restart_gateway(number, process, **options)


async def stop_gateway(soak: Soak, rng: random.Random) -> None:
    """Stops a gateway with SIGTERM and restarts it."""
    number = rng.randrange(len(soak.addresses))
    process = soak.processes[f'gw-{number}']
    await soak.terminate_gateway(number, process)
    soak.restart_gateway(number, process)


async def restart_repeatedly(soak: Soak, rng: random.Random) -> None:
    """Starts a gateway some times, each time beside the process before."""
    number = rng.randrange(len(soak.addresses))
    name = f'gw-{number}'
    async with anyio.create_task_group() as group:
        for _ in range(rng.randint(2, 5)):
            process = soak.processes[name]
            if rng.random() < 0.5:
                soak.add_disruption(name, 1)
                soak.kill(process)
            else:
                group.start_soon(soak.terminate_gateway, number, process)
                # Sends the signal.
                await anyio.sleep(0)
            soak.start_again(number)
            await anyio.sleep(rng.uniform(0.1, 1.5))


async def hold_port(soak: Soak, rng: random.Random) -> None:
    """Restarts a gateway while another process holds one of its ports."""
    number = rng.randrange(len(soak.addresses))
    name = f'gw-{number}'
    port, kind = rng.choice(
        (
            (program.METRICS_PORT, socket.SOCK_STREAM),
            (soak.readiness_port, socket.SOCK_STREAM),
            (soak.hints_port, socket.SOCK_STREAM),
            (soak.hints_port, socket.SOCK_DGRAM),
            (soak.public_port, socket.SOCK_STREAM),
        )
    )
    seconds = rng.uniform(0.5, 3)
    soak.add_disruption(name, seconds)
    process = soak.processes[name]
    soak.kill(process)
    process.wait()
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Another fault may have started the gateway again.
        with contextlib.suppress(OSError):
            sock.bind((soak.addresses[number], port))
            if kind == socket.SOCK_STREAM:
                sock.listen()
        soak.restart_gateway(number, process)
        await anyio.sleep(seconds)


def close_output() -> None:
    """Closes standard output and error of a new process."""
    os.close(1)
    os.close(2)


async def break_output(soak: Soak, rng: random.Random) -> None:
    """Restarts a gateway whose output is closed or not read."""
    kind = rng.choice(('closed', 'no reader', 'not read', 'full'))
    if kind == 'closed':
        await kill_gateway(soak, rng, preexec=close_output)
        return
    if kind == 'full':
        output = os.open('/dev/full', os.O_WRONLY)
    else:
        reader, output = os.pipe()
        if kind == 'no reader':
            os.close(reader)
    await kill_gateway(soak, rng, output=output)
    os.close(output)


async def lower_descriptors(soak: Soak, rng: random.Random) -> None:
    """Limits the descriptors of a gateway to fewer than it needs."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    process = soak.processes[name]
    if process.poll() is not None:
        return
    seconds = rng.uniform(0.5, 3)
    soak.add_disruption(name, seconds)
    kind = resource.RLIMIT_NOFILE
    soft, hard = resource.prlimit(process.pid, kind)
    lowered = rng.randint(12, 40)
    resource.prlimit(process.pid, kind, (lowered, hard))
    await anyio.sleep(seconds)
    if process.poll() is None:
        resource.prlimit(process.pid, kind, (soft, hard))


async def reset_connections(soak: Soak, rng: random.Random) -> None:
    """Opens connections to a gateway and resets them at any moment."""
    number = rng.randrange(len(soak.addresses))
    process = soak.processes[f'gw-{number}']
    is_suspended = rng.random() < 0.5
    if is_suspended:
        process.send_signal(signal.SIGSTOP)
    for _ in range(RESETS):
        call = Call(
            id=f'reset-{len(soak.calls)}',
            kind=rng.choice(('safe', 'once', 'stream')),
            key=rng.choice(KEYS),
            gateway=number,
            sent_at=time.time(),
            is_abandoned=True,
        )
        soak.calls.append(call)
        request = platform_documents.make_request(
            call.kind, call.id, call.key, 3000, b'x' * BODY_BYTES
        )
        with contextlib.suppress(*sockets.DISCONNECT_ERRORS):
            stream = await anyio.connect_tcp(
                soak.addresses[number], soak.public_port
            )
            size = rng.choice((0, rng.randrange(len(request)), len(request)))
            await stream.send(request[:size])
            await anyio.sleep(0 if is_suspended else rng.uniform(0, 0.1))
            stream.extra(abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            await stream.aclose()
    if is_suspended:
        process.send_signal(signal.SIGCONT)


async def freeze_gateway(soak: Soak, rng: random.Random) -> None:
    """Suspends a gateway for up to 6 s."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    seconds = rng.uniform(0.2, 6)
    soak.add_disruption(name, seconds)
    process = soak.processes[name]
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(seconds)
    process.send_signal(signal.SIGCONT)


async def reload_gateway(soak: Soak, rng: random.Random) -> None:
    """Makes a gateway reload its settings file."""
    name = f'gw-{rng.randrange(len(soak.addresses))}'
    soak.processes[name].send_signal(signal.SIGHUP)


async def disrupt_store_link(soak: Soak, rng: random.Random) -> None:
    """Blocks, cuts or delays a gateway's connections to the store."""
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
    soak.add_disruption('store', 4)
    soak.add_disruption(f'link-{number}', 4)
    control = soak.proxy_control_ports[number]
    await soak.request('POST', control, '/faults', faults)
    await anyio.sleep(rng.uniform(0.5, 4))
    await soak.request('POST', control, '/faults', {'delay': 0.0})


async def corrupt_store_responses(soak: Soak, rng: random.Random) -> None:
    """Makes a gateway get responses of the store that make no sense."""
    number = rng.randrange(len(soak.addresses))
    kind = rng.choice(list(fake_proxy.NONSENSE))
    seconds = rng.uniform(0.5, 4)
    soak.add_disruption('store', seconds)
    soak.add_disruption(f'link-{number}', seconds)
    control = soak.proxy_control_ports[number]
    faults = {'nonsense': kind, 'cut': True}
    await soak.request('POST', control, '/faults', faults)
    await anyio.sleep(seconds)
    await soak.request('POST', control, '/faults', {'nonsense': ''})


async def write_odd_entries(soak: Soak, rng: random.Random) -> None:
    """Writes entries as another writer may, and removes them later."""
    entries = [
        entry
        for prefix in platform_documents.ENTRY_PREFIXES
        if prefix != configuration.CONFIG_KEY
        for entry in platform_documents.list_odd_entries(prefix)
    ]
    chosen = rng.sample(entries, ODD_ENTRIES)
    for key, value in chosen:
        await soak.send_operator_request('PUT', key, value)
    await anyio.sleep(rng.uniform(0.5, 4))
    for key, _ in chosen:
        await soak.send_operator_request('DELETE', key)


async def disrupt_store(soak: Soak, rng: random.Random) -> None:
    """Makes the store fail, respond late, or lose responses or history."""
    fault, value, normal_value = rng.choice(
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
    soak.add_disruption('store', seconds)
    soak.add_disruption('core', seconds)
    if fault == 'forget':
        await soak.request('POST', soak.store_port, '/forget', None)
        return
    await soak.request('POST', soak.store_port, '/faults', {fault: value})
    await anyio.sleep(seconds)
    await soak.request(
        'POST', soak.store_port, '/faults', {fault: normal_value}
    )
    soak.add_disruption('store')
    soak.add_disruption('core')


async def corrupt_responses(soak: Soak, rng: random.Random) -> None:
    """Makes a backend server fail or delay a share of its responses."""
    instance = rng.choice(list(soak.servers))
    fault = rng.choice(forward_server.FAULTS)
    port = soak.servers[instance][1]
    seconds = rng.uniform(1, 4)
    soak.add_disruption('servers', seconds)
    for share in (0.4, 0.0):
        # Another fault may have killed the server meanwhile.
        if soak.processes[instance].poll() is None:
            await soak.request('POST', port, '/faults', {fault: share})
        await anyio.sleep(seconds)


async def kill_server(soak: Soak, rng: random.Random) -> None:
    """Kills a backend server, later removes its entry and adds a new one."""
    instance = rng.choice(list(soak.servers))
    service = soak.servers.pop(instance)[0]
    soak.add_disruption('servers', 4)
    soak.kill(soak.processes[instance])
    await anyio.sleep(rng.uniform(0, 3))
    await soak.send_operator_request('DELETE', servers.PREFIX + instance)
    soak.server_count += 1
    await soak.start_server(service, soak.server_count)


async def drain_server(soak: Soak, rng: random.Random) -> None:
    """Drains a backend server after adding a new one."""
    instance = rng.choice(list(soak.servers))
    service = soak.servers[instance][0]
    soak.server_count += 1
    await soak.start_server(service, soak.server_count)
    if instance not in soak.servers:
        return
    await soak.write_server_entry(instance, 'draining')
    soak.servers.pop(instance)
    soak.drained_at[instance] = time.time()


async def revoke_key(soak: Soak, rng: random.Random) -> None:
    """Revokes an API key permanently, unless it is the last one."""
    if len(soak.keys) > 1:
        key = soak.keys.pop()
        soak.revoked_at[key] = await soak.configure()


async def add_route(soak: Soak, rng: random.Random) -> None:
    """Adds a route to the configuration."""
    soak.extra_routes += 1
    name = f'extra{soak.extra_routes - 1}'
    soak.confirmed_at[name] = await soak.configure()


FAULTS = (
    kill_gateway,
    stop_gateway,
    freeze_gateway,
    reload_gateway,
    disrupt_store_link,
    disrupt_store,
    corrupt_responses,
    kill_server,
    drain_server,
    revoke_key,
    add_route,
    restart_repeatedly,
    hold_port,
    break_output,
    lower_descriptors,
    reset_connections,
    corrupt_store_responses,
    write_odd_entries,
    # More often than others, because most checks of changes need one.
    add_route,
    add_route,
)


async def run_soak(soak: Soak, seconds: float, clients: int) -> None:
    """Starts all processes, runs clients and faults, checks the recovery.

    Args:
        soak: Run without processes.
        seconds: Time in which faults are injected.
        clients: Number of clients.
    """
    soak.start_module('store', 'fakes.metadata_store', port=soak.store_port)
    await soak.configure()
    for number in range(soak.server_count):
        for service in ('desk', 'pool'):
            await soak.start_server(service, number)
    for number in range(len(soak.addresses)):
        soak.start_gateway(number)
    await anyio.sleep(2.5)
    async with anyio.create_task_group() as group:
        group.start_soon(soak.run_restarts)
        for number in range(clients):
            group.start_soon(soak.run_client, number)
        await soak.run_faults(seconds)
        await anyio.sleep(RECOVERY_SECONDS)
        # After the faults, all gateways have to serve requests again.
        begin = time.time()
        await anyio.sleep(2)
        soak.is_finished = True
        await anyio.sleep(CALL_SECONDS)
        group.cancel_scope.cancel()
    after_faults = [c for c in soak.calls if c.sent_at > begin]
    served = sum(c.status == 200 for c in after_faults if c.key in soak.keys)
    expected = sum(c.key in soak.keys for c in after_faults)
    if served < 0.9 * expected:
        soak.violations.append(
            f'recovery: {served} of {expected} requests served'
        )


def run(
    seed: int = 1,
    seconds: float = 20,
    gateways: int = 3,
    servers: int = 3,
    clients: int = 8,
    folder: str = '',
) -> None:
    """Makes one run; the exit status is 1 after a violation.

    Args:
        seed: Seed of faults and clients.
        seconds: Time in which faults are injected.
        gateways: Number of gateways.
        servers: Number of backend servers of each service.
        clients: Number of clients.
        folder: Folder for logs, a temporary one by default.
    """
    folder = folder or tempfile.mkdtemp(prefix=f'forward-soak-{seed}-')
    soak = Soak(seed, gateways, servers, folder)
    try:
        anyio.run(run_soak, soak, seconds, clients)
    finally:
        soak.stop_all()
    soak.check()
    counts = collections.Counter(
        f'{c.kind} {c.status if c.is_complete else "cut"}' for c in soak.calls
    )
    due = sum(soak.has_due_route(call) for call in soak.calls)
    print(
        json.dumps(
            {'seed': seed, 'calls': counts, 'due': due, 'folder': folder}
        )
    )
    for violation in soak.violations:
        print('VIOLATION', violation)
    sys.exit(bool(soak.violations))


if __name__ == '__main__':
    fire.Fire(run)
