"""Measures recovery from silent links and killed agents.

Run ``python -m bench.faults``; it prints one JSON object. Times are in
seconds, added attempts are engine runs beyond one for each request.
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

KEY = {'authorization': 'Bearer temple-key'}
READ_SECONDS = 30.0


class FaultFleet:
    """One gateway and agents with proxies in front of all data ports.

    Args:
        started: Fleet to start the processes in.
        engines: Number of engines with an agent.
        services: Number of plain services with an agent.
        delay: Seconds that a service takes after its run.
        **engine: Options of the engines.
    """

    def __init__(
        self,
        started: fleet.Fleet,
        engines: int = 2,
        services: int = 0,
        delay: float = 0.0,
        **engine,
    ):
        self.fleet = started
        self.engines = [f'lm-{i}' for i in range(1, engines + 1)]
        self.services = [f'hire-{i}' for i in range(1, services + 1)]
        started.start_platform()
        port = fleet.find_port()
        gateway = started.start_gateway(
            'gw-1',
            'bkk-a',
            'bkk',
            data_address=f'tcp://127.0.0.1:{port}',
        )
        self._start_proxy('gw-1', port, gateway.ports['data'])
        for name in self.engines:
            started.start_fake(f'{name}-server', 'engine', **engine)
            self._start_agent(
                name, 'lm-pool', 'engine', versions='small-1,large-1'
            )
        for name in self.services:
            started.start_fake(f'{name}-server', 'service', delay=delay)
            self._start_agent(name, 'hire-desk', 'service')
        started.wait_for_port('gw-1')
        started.wait_for_port('gw-1-proxy')
        self._declare()
        self.wait_until_ready()

    @property
    def url(self) -> str:
        """Base URL of the callers' API."""
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
        control = fleet.find_port()
        self.fleet.start(
            f'{name}-proxy',
            'fakes.proxy',
            {'control': control},
            port=port,
            control_port=control,
            target_port=target,
        )

    def _declare(self) -> None:
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
        """Switches the faults of the proxy of a member."""
        url = self.fleet.members[f'{name}-proxy'].url('control')
        return fleet.call_json('POST', f'{url}/faults', faults)[1]

    def read_runs(self, name: str):
        """Returns what the engine or service of a host has run."""
        url = self.fleet.members[f'{name}-server'].url()
        return fleet.call_json('GET', f'{url}/runs')[1]

    def count_runs(self) -> dict[str, int]:
        """Returns the number of runs of each engine by host."""
        return {name: len(self.read_runs(name)) for name in self.engines}

    def count_key(self, key: str) -> int:
        """Returns the runs of a business key over all services."""
        return sum(len(self.read_runs(n).get(key, [])) for n in self.services)

    def find_server(self, before: dict[str, int], seconds: float = 5) -> str:
        """Returns the host whose engine has started a run since."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name, count in self.count_runs().items():
                if count > before[name]:
                    return name
            time.sleep(0.02)
        raise TimeoutError('no engine has started a run')


class StreamReader(threading.Thread):
    """Reads one streamed answer; notes when each part came.

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
        """Makes the request."""
        body = {
            'model': 'small',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'hoi'}],
        }
        timeout = {'read': READ_SECONDS, 'connect': 5, 'write': 5, 'pool': 5}
        try:
            with httpcore.stream(
                'POST',
                f'{self.url}/v1/chat/completions',
                headers={**KEY, 'content-type': 'application/json'},
                content=json.dumps(body).encode(),
                extensions={'timeout': timeout},
            ) as answer:
                self.status = answer.status
                for chunk in answer.iter_stream():
                    self.times.append(time.monotonic())
                    self.content += chunk
        except Exception as exc:
            # Kept for the judgement of the answer; a thread would lose it.
            self.error = exc

    @property
    def whole(self) -> bool:
        """Whether the answer came to its proper end."""
        return self.error is None and self.content.endswith(b'[DONE]\n\n')

    def longest_gap(self, since: float) -> float:
        """Returns the longest silence in seconds after a time."""
        times = [since, *[t for t in self.times if t >= since]]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


def summarise(times: list[float]) -> dict:
    """Returns median and worst of recovery times in seconds."""
    return {
        'count': len(times),
        'p50': round(statistics.median(times), 3),
        'worst': round(max(times), 3),
    }


def measure_silence(rounds: int, chance: random.Random) -> dict:
    """Measures the gap in a stream after its link has gone silent."""
    gaps = []
    broken = 0
    with fleet.Fleet() as started:
        parts = FaultFleet(started, tokens=300, between_tokens=0.02)
        for _ in range(rounds):
            before = parts.count_runs()
            reader = StreamReader(parts.url)
            name = parts.find_server(before)
            time.sleep(chance.uniform(0.2, 1.2))
            fault_time = time.monotonic()
            parts.set_faults(name, silence='both')
            parts.set_faults('gw-1', silence='both')
            reader.join()
            broken += not reader.whole
            if reader.whole:
                gaps.append(reader.longest_gap(fault_time))
            parts.wait_until_ready()
        added = sum(parts.count_runs().values()) - rounds
    return {**summarise(gaps), 'broken': broken, 'added_attempts': added}


def measure_kills(rounds: int, chance: random.Random) -> dict:
    """Measures the time from a kill before the first token to the token."""
    first_token = 0.8
    waits = []
    broken = 0
    with fleet.Fleet() as started:
        parts = FaultFleet(
            started, tokens=5, first_token=first_token, between_tokens=0.01
        )
        for _ in range(rounds):
            before = parts.count_runs()
            reader = StreamReader(parts.url)
            name = parts.find_server(before)
            time.sleep(chance.uniform(0.0, 0.5))
            kill_time = time.monotonic()
            started.signal(name, signal.SIGKILL)
            reader.join()
            broken += not reader.whole
            if reader.whole:
                waits.append(reader.times[0] - kill_time - first_token)
            started.members[name].process.wait()
            started.restart(name)
            parts.wait_until_ready()
        added = sum(parts.count_runs().values()) - rounds
    return {**summarise(waits), 'broken': broken, 'added_attempts': added}


def run(rounds: int = 10, seed: int = 1) -> None:
    """Runs both measurements and prints the result.

    Args:
        rounds: Faults of each kind.
        seed: Seed of the times at which faults come.
    """
    chance = random.Random(seed)
    result = {
        'seed': seed,
        'silent_link': measure_silence(rounds, chance),
        'killed_agent': measure_kills(rounds, chance),
    }
    print(json.dumps(result))


if __name__ == '__main__':
    fire.Fire(run)
