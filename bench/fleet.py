"""Processes of a small deployment on loopback, for demo, tests and bench."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from bench import ports

OPERATOR_TOKEN = 'operator-token'
STOP_TIMEOUT_SECONDS = 70


def find_port() -> int:
    """Returns a free TCP port on loopback that no other run uses."""
    return ports.ALLOCATOR.find_port()


def call_json(
    method: str,
    url: str,
    value=None,
    headers: dict[str, str] | None = None,
    seconds: float = 10,
) -> tuple[int, dict]:
    """Makes a blocking JSON request.

    Args:
        method: HTTP method.
        url: URL of the request.
        value: Value to send as JSON; no body if None.
        headers: Further request headers.
        seconds: Timeout.

    Returns:
        Status and decoded body; a body that is not JSON is in ``text``.

    Raises:
        OSError: No response.
    """
    request = urllib.request.Request(
        url,
        method=method,
        data=None if value is None else json.dumps(value).encode(),
        headers={'content-type': 'application/json', **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return response.status, json.loads(response.read() or b'null')
    except urllib.error.HTTPError as exc:
        content = exc.read()
        try:
            return exc.code, json.loads(content)
        except ValueError:
            return exc.code, {'text': content.decode(errors='replace')}


@dataclasses.dataclass
class Member:
    """A started process with its ports."""

    name: str
    process: subprocess.Popen
    command: list[str]
    ports: dict[str, int]
    log: pathlib.Path

    def url(self, port: str = 'listen') -> str:
        """Returns the base URL of the port with the given name."""
        return f'http://127.0.0.1:{self.ports[port]}'


class Fleet:
    """Starts and ends the processes of a deployment.

    Args:
        folder: Folder for log files; a temporary one by default.
        log_level: Log level of gateways and agents.
    """

    def __init__(
        self, folder: pathlib.Path | None = None, log_level: str = 'info'
    ):
        self.folder = folder or pathlib.Path(
            tempfile.mkdtemp(prefix='chivejunction-')
        )
        self.log_level = log_level
        self.members: dict[str, Member] = {}

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *exc) -> None:
        self.close()

    def close(self) -> None:
        """Kills all processes that are still running."""
        for member in self.members.values():
            if member.process.poll() is None:
                # A suspended process does not react to SIGTERM.
                member.process.kill()
        for member in self.members.values():
            member.process.wait()

    def start(
        self, name: str, module: str, ports: dict[str, int], **flags
    ) -> Member:
        """Starts a Python module as a process.

        Args:
            name: Name of the member and its log file.
            module: Module to run.
            ports: Ports by name.
            **flags: Command-line flags.
        """
        command = [sys.executable, '-m', module]
        for flag, value in flags.items():
            command.append(f'--{flag.replace("_", "-")}={value}')
        return self._spawn(name, command, ports)

    def _spawn(self, name, command, ports) -> Member:
        log = self.folder / f'{name}.log'
        with log.open('ab') as stream:
            process = subprocess.Popen(
                command,
                stdout=stream,
                stderr=stream,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        member = Member(name, process, command, ports, log)
        self.members[name] = member
        return member

    def restart(self, name: str) -> Member:
        """Restarts an ended process with the same command and ports."""
        ended_member = self.members[name]
        return self._spawn(name, ended_member.command, ended_member.ports)

    def start_fake(self, name: str, module: str, **options) -> Member:
        """Starts a fake server on a free port."""
        port = find_port()
        return self.start(
            name, f'fakes.{module}', {'listen': port}, port=port, **options
        )

    def start_platform(self, **host_options) -> None:
        """Starts the key-value store and the host list."""
        self.start_fake('store', 'store')
        self.start_fake('hosts', 'hosts', **host_options)
        for name in ('store', 'hosts'):
            self.wait_for_port(name)

    def write_host_entry(self, name: str, value: dict) -> None:
        """Adds a host to the host list."""
        url = f'{self.members["hosts"].url()}/v1/hosts/{name}'
        call_json('PUT', url, value)

    def start_gateway(
        self, name: str, failure_domain: str, region: str, **flags
    ) -> Member:
        """Starts a gateway and adds it to the host list."""
        port_map = {
            key: find_port() for key in ('listen', 'admin', 'data', 'control')
        }
        member = self.start(
            name,
            'chivejunction.gateway',
            port_map,
            host=name,
            failure_domain=failure_domain,
            store_url=self.members['store'].url(),
            hosts_url=self.members['hosts'].url(),
            operator_token=OPERATOR_TOKEN,
            log_level=self.log_level,
            **{f'{key}_port': port for key, port in port_map.items()},
            **flags,
        )
        self.write_host_entry(
            name,
            {
                'role': 'gateway',
                'failure_domain': failure_domain,
                'region': region,
                'control_address': f'tcp://127.0.0.1:{port_map["control"]}',
                'data_address': f'tcp://127.0.0.1:{port_map["data"]}',
            },
        )
        return member

    def start_agent(
        self,
        name: str,
        failure_domain: str,
        region: str,
        pool: str,
        server: str,
        kind: str = 'engine',
        data_address: str = '',
        **flags,
    ) -> Member:
        """Starts an agent and adds it to the host list.

        Args:
            name: Name of the host.
            failure_domain: Failure domain of the host.
            region: Region of the host.
            pool: Pool of the backend server.
            server: Member name of the engine or service.
            kind: ``engine`` or ``service``.
            data_address: Address to list instead of the agent's own, for
                example that of a proxy.
            **flags: Further settings.
        """
        port_map = {key: find_port() for key in ('admin', 'data')}
        member = self.start(
            name,
            'chivejunction.agent',
            port_map,
            host=name,
            failure_domain=failure_domain,
            pool=pool,
            kind=kind,
            server_url=self.members[server].url(),
            store_url=self.members['store'].url(),
            hosts_url=self.members['hosts'].url(),
            log_level=self.log_level,
            **{f'{key}_port': port for key, port in port_map.items()},
            **flags,
        )
        self.write_host_entry(
            name,
            {
                'role': 'agent',
                'failure_domain': failure_domain,
                'region': region,
                'pool': pool,
                'data_address': data_address
                or f'tcp://127.0.0.1:{port_map["data"]}',
            },
        )
        return member

    def start_proxy(self, name: str, agent: str, port: int) -> Member:
        """Starts a proxy in front of the data port of an agent.

        Args:
            name: Name of the proxy; its first port serves the fault switches.
            agent: Member name of the agent.
            port: TCP port on loopback to listen on.
        """
        control = find_port()
        return self.start(
            name,
            'fakes.proxy',
            {'listen': control, 'data': port},
            port=port,
            control_port=control,
            target_port=self.members[agent].ports['data'],
        )

    def put(self, gateway: str, kind: str, name: str, /, **value) -> dict:
        """Declares a resource through the operators' API of a gateway.

        Raises:
            RuntimeError: The gateway refused the resource.
        """
        url = f'{self.members[gateway].url("admin")}/api/v1/{kind}/{name}'
        status, body = call_json(
            'PUT',
            url,
            {'name': name, **value},
            {'authorization': f'Bearer {OPERATOR_TOKEN}'},
        )
        if status != 200:
            raise RuntimeError(
                f'PUT {kind}/{name}: expected status 200, got {status}: {body}'
            )
        return body

    def wait_for_port(self, name: str, seconds: float = 20) -> None:
        """Waits until a member listens on its first port.

        Raises:
            RuntimeError: The process has ended.
            TimeoutError: It did not listen in time.
        """
        port = next(iter(self.members[name].ports.values()))
        deadline = time.monotonic() + seconds
        while True:
            try:
                socket.create_connection(('127.0.0.1', port), 1).close()
                return
            except OSError as exc:
                if self.members[name].process.poll() is not None:
                    raise RuntimeError(
                        f'{name} ended before it listened, log: '
                        f'{self.members[name].log}'
                    ) from exc
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f'{name} does not listen on port {port} '
                        f'after {seconds} s'
                    ) from exc
                time.sleep(0.05)

    def read_health(self, name: str) -> dict:
        """Returns the health of a gateway or agent, empty if unreachable."""
        url = self.members[name].url('admin')
        try:
            return call_json('GET', f'{url}/healthz', seconds=2)[1]
        except OSError:
            return {}

    def wait_until(self, check, what: str, seconds: float = 20) -> None:
        """Waits until a check returns a true value.

        Args:
            check: Function without arguments.
            what: Condition that the check tests, for the error.
            seconds: Timeout.

        Raises:
            TimeoutError: The condition was not met in time; the message
                contains the logs of the members that have ended.
        """
        deadline = time.monotonic() + seconds
        while not check():
            if time.monotonic() > deadline:
                ended = [
                    str(member.log)
                    for member in self.members.values()
                    if member.process.poll() is not None
                ]
                raise TimeoutError(
                    f'condition not met within {seconds} s: {what}; '
                    f'logs of ended processes: {ended}'
                )
            time.sleep(0.05)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet has started."""
        self.members[name].process.send_signal(number)

    def stop_gracefully(self, name: str) -> int:
        """Sends SIGTERM, waits for the end and returns the exit status."""
        self.signal(name, signal.SIGTERM)
        return self.members[name].process.wait(STOP_TIMEOUT_SECONDS)
