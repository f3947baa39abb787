"""Measures recovery from silent links and killed agents.

Run it with ``python -m bench.faults``; it prints one JSON object. Times are
in seconds. Added attempts are engine runs beyond one per request.
"""

import json
import random
import signal
import statistics
import threading
import time

import fire
import httpcore

from bench import fleet
from chivejunction.protocol import resources

AUTHORIZATION_HEADERS = {'authorization': 'Bearer temple-key'}
READ_TIMEOUT_SECONDS = 30.0


class FaultFleet:
    """One gateway and its agents, with a proxy in front of each data port.

    Args:
        running_fleet: Fleet that starts the processes.
        engines: Number of engines, each with an agent.
        services: Number of plain services, each with an agent.
        delay: Seconds from the run of a service to its response.
        **engine: Options of the engines.
    """

    def __init__(
        self,
        running_fleet: fleet.Fleet,
        engines: int = 2,
        services: int = 0,
        delay: float = 0.0,
        **engine,
    ):
        self.fleet = running_fleet
        self.engines = [f'lm-{i}' for i in range(1, engines + 1)]
        self.services = [f'hire-{i}' for i in range(1, services + 1)]
        running_fleet.start_platform()
        port = fleet.find_port()
        gateway = running_fleet.start_gateway(
            'gw-1',
            'bkk-a',
            'bkk',
            data_address=f'tcp://127.0.0.1:{port}',
        )
        self._start_proxy('gw-1', port, gateway.ports['data'])
        for name in self.engines:
            running_fleet.start_fake(f'{name}-server', 'engine', **engine)
            self._start_agent(
                name, 'lm-pool', 'engine', versions='small-1,large-1'
            )
        for name in self.services:
            running_fleet.start_fake(f'{name}-server', 'service', delay=delay)
            self._start_agent(name, 'hire-desk', 'service')
        running_fleet.wait_for_port('gw-1')
        running_fleet.wait_for_port('gw-1-proxy')
        self._create_resources()
        self.wait_until_ready()

    @property
    def url(self) -> str:
        """Base URL of the API for callers."""
        return self.fleet.members['gw-1'].url()

    def _start_agent(self, name, pool, kind, **flags) -> None:
        port = fleet.find_port()
        member = self.fleet.start_agent(
            name,
            'bkk-a',
            'bkk',
            pool,
            f'{name}-server',
            kind,
            f'tcp://127.0.0.1:{port}',
            **flags,
        )
        self._start_proxy(name, port, member.ports['data'])

    def _start_proxy(self, name: str, port: int, target: int) -> None:
        control_port = fleet.find_port()
        self.fleet.start(
            f'{name}-proxy',
            'fakes.proxy',
            {'control': control_port},
            port=port,
            control_port=control_port,
            target_port=target,
        )

    def _create_resources(self) -> None:
        put = self.fleet.put
        put('gw-1', 'failuredomain', 'bkk-a', region='bkk')
        put('gw-1', 'pool', 'lm-pool')
        put('gw-1', 'pool', 'hire-desk', kind='service')
        put('gw-1', 'model', 'small')
        put('gw-1', 'modelversion', 'small-1', model='small', pool='lm-pool')
        put('gw-1', 'service', 'hire-desk', pool='hire-desk')
        for name in ('temple', 'school'):
            put(
                'gw-1',
                'organisation',
                name,
                key_hashes=[resources.hash_key(f'{name}-key')],
                models=['small'],
                services=['hire-desk'],
            )

    def wait_until_ready(self) -> None:
        """Waits until the gateway has links to all agents."""
        names = self.engines + self.services
        self.fleet.wait_until(
            lambda: (
                self.fleet.read_health('gw-1').get('servers') == len(names)
                and all(self.fleet.read_health(n).get('ready') for n in names)
            ),
            'gateway and agents are ready',
        )

    def set_faults(self, name: str, **faults) -> dict:
        """Changes the faults of the proxy of a member.

        Args:
            name: Name of the member.
            **faults: Settings of the proxy to change.
        """
        url = self.fleet.members[f'{name}-proxy'].url('control')
        return fleet.call_json('POST', f'{url}/faults', faults)[1]

    def read_runs(self, name: str):
        """Returns the runs of the engine or service of a host."""
        url = self.fleet.members[f'{name}-server'].url()
        return fleet.call_json('GET', f'{url}/runs')[1]

    def count_runs(self) -> dict[str, int]:
        """Returns the number of runs of each engine by host."""
        return {name: len(self.read_runs(name)) for name in self.engines}

    def count_key_runs(self, key: str) -> int:
        """Returns the number of runs of a business key on all services."""
        return sum(len(self.read_runs(n).get(key, [])) for n in self.services)

    def find_server(self, before: dict[str, int], seconds: float = 5) -> str:
        """Waits for an engine to start a run and returns its host.

        Args:
            before: Number of runs of each engine before, by host.
            seconds: Time-out.

        Raises:
            TimeoutError: No engine started a run in time.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name, count in self.count_runs().items():
                if count > before[name]:
                    return name
            time.sleep(0.02)
        raise TimeoutError(f'no engine started a run within {seconds} s')


class StreamReader(threading.Thread):
    """Reads one streamed response and records when each chunk arrives.

    Args:
        url: Base URL of a gateway.
    """

    def __init__(self, url: str):
        super().__init__()
        self.url = url
        self.status = 0
        self.content = b''
        self.times: list[float] = []
        self.error: Exception | None = None
        self.start()

    def run(self) -> None:
        """Sends the request and reads the response."""
        body = {
            'model': 'small',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'hoi'}],
        }
        timeout = {
            'read': READ_TIMEOUT_SECONDS,
            'connect': 5,
            'write': 5,
            'pool': 5,
        }
        try:
            with httpcore.stream(
                'POST',
                f'{self.url}/v1/chat/completions',
                headers={
                    **AUTHORIZATION_HEADERS,
                    'content-type': 'application/json',
                },
                content=json.dumps(body).encode(),
                extensions={'timeout': timeout},
            ) as response:
                self.status = response.status
                for chunk in response.iter_stream():
                    self.times.append(time.monotonic())
                    self.content += chunk
        except Exception as exc:
            # Stored for the caller: exceptions do not leave the thread.
            self.error = exc

    @property
    def is_complete(self) -> bool:
        """Whether the response ended without an error and with [DONE]."""
        return self.error is None and self.content.endswith(b'[DONE]\n\n')

    def longest_gap(self, since: float) -> float:
        """Returns the longest time in seconds without a chunk.

        Args:
            since: Monotonic time in seconds from which gaps count.
        """
        times = [since, *[t for t in self.times if t >= since]]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


def summarise(times: list[float]) -> dict:
    """Returns the count, median and maximum of recovery times in seconds."""
    return {
        'count': len(times),
        'p50': round(statistics.median(times), 3),
        'worst': round(max(times), 3),
    }


def measure_silence(rounds: int, rng: random.Random) -> dict:
    """Measures the gap in a stream after its link becomes silent."""
    gaps = []
    broken = 0
    with fleet.Fleet() as running_fleet:
        fault_fleet = FaultFleet(
            running_fleet, tokens=300, between_tokens=0.02
        )
        for _ in range(rounds):
            before = fault_fleet.count_runs()
            reader = StreamReader(fault_fleet.url)
            name = fault_fleet.find_server(before)
            time.sleep(rng.uniform(0.2, 1.2))
            fault_time = time.monotonic()
            fault_fleet.set_faults(name, silence='both')
            fault_fleet.set_faults('gw-1', silence='both')
            reader.join()
            broken += not reader.is_complete
            if reader.is_complete:
                gaps.append(reader.longest_gap(fault_time))
            fault_fleet.wait_until_ready()
        added = sum(fault_fleet.count_runs().values()) - rounds
    return {**summarise(gaps), 'broken': broken, 'added_attempts': added}


def measure_kills(rounds: int, rng: random.Random) -> dict:
    """Measures the added time to the first token when the agent is killed.

    The agent is killed before the first token. The time that the engine needs
    for the first token is subtracted.
    """
    first_token = 0.8
    waits = []
    broken = 0
    with fleet.Fleet() as running_fleet:
        fault_fleet = FaultFleet(
            running_fleet,
            tokens=5,
            first_token=first_token,
            between_tokens=0.01,
        )
        for _ in range(rounds):
            before = fault_fleet.count_runs()
            reader = StreamReader(fault_fleet.url)
            name = fault_fleet.find_server(before)
            time.sleep(rng.uniform(0.0, 0.5))
            kill_time = time.monotonic()
            running_fleet.signal(name, signal.SIGKILL)
            reader.join()
            broken += not reader.is_complete
            if reader.is_complete:
                waits.append(reader.times[0] - kill_time - first_token)
            running_fleet.members[name].process.wait()
            running_fleet.restart(name)
            fault_fleet.wait_until_ready()
        added = sum(fault_fleet.count_runs().values()) - rounds
    return {**summarise(waits), 'broken': broken, 'added_attempts': added}


def run(rounds: int = 10, seed: int = 1) -> None:
    """Runs both measurements and prints the result.

    Args:
        rounds: Number of faults of each kind.
        seed: Seed of the times at which faults are injected.
    """
    rng = random.Random(seed)
    result = {
        'seed': seed,
        'silent_link': measure_silence(rounds, rng),
        'killed_agent': measure_kills(rounds, rng),
    }
    print(json.dumps(result))


if __name__ == '__main__':
    fire.Fire(run)
