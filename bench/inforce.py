"""Time until a configuration is in force, and the cost of distributing it.

``python -m bench.inforce --seed N`` prints one JSON object. Daemons are real
processes in three regions; one in five is a gateway, the others are agents.
Control bytes are the payloads, sent and received, of exchanges, store calls,
store watches and host list reads.
"""

import json
import random
import signal
import time

import fire
import numpy
import psutil

from bench import fleet

REGIONS = ('bkk', 'cnx', 'hkt')
AUTHORIZATION_HEADERS = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
START_TIMEOUT_SECONDS = 90
# Configuration changes per day in a deployment of the target size.
CHANGES_PER_DAY = 3700
MAX_MEMORY_BYTES = 6e9


class Deployment:
    """Deployment with a given number of daemons.

    Args:
        started: Fleet in which to start the daemons.
        size: Number of daemons.
        seed: Seed of the changes.
    """

    def __init__(self, started: fleet.Fleet, size: int, seed: int):
        self.started = started
        self.rng = random.Random(seed)
        gateways = max(2, size // 5)
        self.gateways = [f'gw-{n}' for n in range(gateways)]
        self.agents = [f'lm-{n}' for n in range(size - gateways)]

    @property
    def names(self) -> list[str]:
        """Names of all daemons."""
        return self.gateways + self.agents

    def start(self, resources: int) -> float:
        """Starts all daemons and writes a first configuration.

        Args:
            resources: Number of models in the configuration.

        Returns:
            Seconds from the start of the write until it is in force.

        Raises:
            RuntimeError: The gateway did not accept the configuration.
        """
        started = self.started
        started.start_platform()
        started.start_fake('engine', 'engine')
        for number, name in enumerate(self.gateways):
            region = REGIONS[number % 3]
            started.start_gateway(name, f'{region}-a', region)
        for number, name in enumerate(self.agents):
            region = REGIONS[number % 3]
            started.start_agent(
                name, f'{region}-a', region, 'lm-pool', 'engine'
            )
        started.wait_for_port(self.gateways[0], START_TIMEOUT_SECONDS)
        begin = time.monotonic()
        items = [
            {
                'kind': 'model',
                'resource': {'name': f'm-{n}', 'description': 'x' * 100},
            }
            for n in range(resources)
        ]
        items.append({'kind': 'pool', 'resource': {'name': 'lm-pool'}})
        status, body = self.call_api(
            self.gateways[0], 'POST', 'apply', {'items': items}
        )
        if status != 200:
            raise RuntimeError(
                f'apply failed: expected 200, got {status} {body}'
            )
        self.wait_in_force(self.gateways[0], 1, START_TIMEOUT_SECONDS)
        return time.monotonic() - begin

    def call_api(self, gateway: str, method: str, path: str, body=None):
        """Calls the operator API of a gateway; returns status and body."""
        url = self.started.members[gateway].url('admin')
        return fleet.call_json(
            method, f'{url}/api/v1/{path}', body, AUTHORIZATION_HEADERS
        )

    def wait_in_force(self, gateway, revision, seconds=30.0) -> None:
        """Waits until a gateway reports a revision as in force.

        Raises:
            TimeoutError: The revision was not in force within `seconds`.
        """
        deadline = time.monotonic() + seconds
        while True:
            status = self.call_api(gateway, 'GET', 'status')[1]
            if status['in_force'] and status['revision'] >= revision:
                return
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'revision {revision} not in force within {seconds} s: '
                    f'{status}'
                )
            time.sleep(0.02)

    def change_pool(self) -> tuple[str, int]:
        """Changes the pool; returns the gateway used and the new revision.

        Raises:
            RuntimeError: The gateway did not accept the change.
        """
        gateway = self.rng.choice(self.gateways)
        value = {'queue_length': self.rng.randrange(1_000_000)}
        status, body = self.call_api(gateway, 'PUT', 'pool/lm-pool', value)
        if status != 200:
            raise RuntimeError(
                f'change failed: expected 200, got {status} {body}'
            )
        return gateway, body['revision']

    def time_changes(self, count: int) -> list[float]:
        """Returns seconds from acceptance to in force for each change."""
        durations = []
        for _ in range(count):
            gateway, revision = self.change_pool()
            begin = time.monotonic()
            self.wait_in_force(gateway, revision)
            durations.append(time.monotonic() - begin)
            time.sleep(self.rng.random())
        return durations

    def read_cost(self) -> dict[str, dict]:
        """Returns bytes, processor seconds and memory of each daemon."""
        costs = {}
        for name in self.names:
            control = self.started.read_health(name)['control']
            process = psutil.Process(self.started.members[name].process.pid)
            times = process.cpu_times()
            costs[name] = {
                'sent': sum(control['sent'].values()),
                'received': sum(control['received'].values()),
                'cpu': times.user + times.system,
                'memory': process.memory_info().rss,
            }
        return costs

    def read_store_calls(self) -> int:
        """Returns the number of calls that the store has served."""
        url = self.started.members['store'].url()
        return sum(fleet.call_json('GET', f'{url}/counts')[1].values())

    def measure_cost(self, seconds: float, changes: int) -> dict:
        """Returns the cost per second of each role of daemon, and memory.

        Args:
            seconds: Minimum length of the measurement.
            changes: Configuration changes, evenly spaced over that time.
        """
        before, store_calls = self.read_cost(), self.read_store_calls()
        begin = time.monotonic()
        for _ in range(changes):
            self.change_pool()
            time.sleep(seconds / changes)
        if not changes:
            time.sleep(seconds)
        after = self.read_cost()
        elapsed = time.monotonic() - begin
        figures = {
            'store_calls_per_second': round(
                (self.read_store_calls() - store_calls) / elapsed, 2
            )
        }
        for role, names in (
            ('gateway', self.gateways),
            ('agent', self.agents),
        ):
            for key in ('sent', 'received', 'cpu'):
                rates = [
                    (after[n][key] - before[n][key]) / elapsed for n in names
                ]
                figures[f'{role}_{key}_mean'] = round(numpy.mean(rates), 4)
                figures[f'{role}_{key}_worst'] = round(max(rates), 4)
        figures['memory_bytes_mean'] = int(
            numpy.mean([cost['memory'] for cost in after.values()])
        )
        return figures

    def measure_stale_host(self) -> float:
        """Returns seconds from resuming a suspended host to in force.

        Raises:
            AssertionError: A change was in force without the host.
        """
        name = self.agents[0]
        self.started.signal(name, signal.SIGSTOP)
        gateway, revision = self.change_pool()
        time.sleep(5)
        if self.call_api(gateway, 'GET', 'status')[1]['in_force']:
            raise AssertionError(
                f'revision {revision} in force while {name} was suspended'
            )
        self.started.signal(name, signal.SIGCONT)
        begin = time.monotonic()
        self.wait_in_force(gateway, revision)
        return time.monotonic() - begin

    def measure_start_in_outage(self) -> dict[str, float]:
        """Returns seconds to ready for a start while the store is down."""
        store = self.started.members['store'].url()
        fleet.call_json('POST', f'{store}/faults', {'down': True})
        ready_seconds = {}
        for role, name in (
            ('gateway', self.gateways[-1]),
            ('agent', self.agents[-1]),
        ):
            self.started.stop_gracefully(name)
            begin = time.monotonic()
            self.started.restart(name)
            self.started.wait_until(
                lambda name=name: self.started.read_health(name).get('ready'),
                f'{name} is ready',
                60,
            )
            ready_seconds[role] = round(time.monotonic() - begin, 2)
        fleet.call_json('POST', f'{store}/faults', {'down': False})
        return ready_seconds


def measure_size(size: int, seed: int, changes: int, window: float) -> dict:
    """Returns the measurements of one size."""
    with fleet.Fleet(log_level='warning') as started:
        deployment = Deployment(started, size, seed)
        start_seconds = deployment.start(resources=200)
        durations = deployment.time_changes(changes)
        result = {
            'daemons': size,
            'gateways': len(deployment.gateways),
            'start_seconds': round(start_seconds, 2),
            'in_force_seconds': {
                'p50': round(float(numpy.percentile(durations, 50)), 3),
                'p99': round(float(numpy.percentile(durations, 99)), 3),
                'worst': round(max(durations), 3),
                'changes': changes,
            },
            'idle': deployment.measure_cost(window, 0),
            'at_one_change_in_5_s': deployment.measure_cost(
                window, max(1, int(window // 5))
            ),
            'stale_host_seconds': round(deployment.measure_stale_host(), 3),
            'start_in_outage_seconds': deployment.measure_start_in_outage(),
        }
        total_memory = result['idle']['memory_bytes_mean'] * size
        if total_memory > MAX_MEMORY_BYTES:
            result['memory_warning'] = f'{total_memory} bytes'
        return result


def fit_slopes(sizes: list[dict]) -> dict[str, float]:
    """Returns the increase of each idle cost per additional daemon."""
    daemon_counts = [size['daemons'] for size in sizes]
    return {
        key: round(
            float(
                numpy.polyfit(
                    daemon_counts, [s['idle'][key] for s in sizes], 1
                )[0]
            ),
            5,
        )
        for key in sizes[0]['idle']
    }


def main(
    seed: int = 1,
    sizes: tuple[int, ...] = (10, 30, 100),
    changes: int = 16,
    window: float = 10.0,
) -> None:
    """Measures each size and prints one JSON object.

    Args:
        seed: Seed of the changes.
        sizes: Numbers of daemons.
        changes: Number of timed changes per size.
        window: Length in seconds of each cost measurement.
    """
    sizes = sizes if isinstance(sizes, tuple | list) else (sizes,)
    results = [measure_size(n, seed, changes, window) for n in sizes]
    report = {'seed': seed, 'sizes': results}
    if len(results) > 1:
        report['slopes_per_daemon'] = fit_slopes(results)
    print(json.dumps(report))


if __name__ == '__main__':
    fire.Fire(main)
