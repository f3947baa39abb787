"""Small deployments under load, with faults: ``python -m bench.demo``.

For each deployment of bench/deployments.py it starts the fakes, three
gateways in three failure domains and all agents, and sends chats and calls
of a plain service. Meanwhile a version is rolled out, a failure domain is
drained and reopened, an agent is killed and a gateway leaves. All figures
are counted at the clients and the fakes; see bench/tally.py.

Prints a table and, as its last line, one JSON object. Exit status 1 when a
promise was broken.
"""

import collections
from collections.abc import Callable
import dataclasses
import json
import signal
import sys
import time

import anyio
from anyio import to_thread
import fire

from bench import deployments
from bench import desk
from bench import fleet
from bench import load
from bench import tally

ENGINES, SERVICES = 6, 3
CHAT_RATE, DESK_RATE = 16.0, 8.0
DEADLINE_MS = 15_000
SERVICE_DELAY_SECONDS = 0.05
AGENT_DOWN_SECONDS = 3.0
# Load balancers notice within this time that a gateway leaves.
BALANCER_SECONDS = 0.5
IN_FORCE_SECONDS = 20.0
# Usage is flushed every 2 s; a handover adds 15 s and a few more calls.
BILLING_SECONDS = 20.0
TOKEN = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
WORST_OF = ('config_in_force_s', 'drain_s', 'p95_first_token_ms')


@dataclasses.dataclass
class Times:
    """Events of a run, in seconds since the epoch.

    Attributes:
        drained: Time of the accepted drain.
        reopened: Time just before the reopening.
        in_force: Seconds from each accepted change to in force, by change.
        problems: Changes that were not in force in time.
    """

    drained: float = 0.0
    reopened: float = 0.0
    in_force: dict[str, float] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)


class Operator:
    """Makes changes through the first gateway and times them.

    Args:
        started: The fleet.
        deployment: The deployment.
        times: Where events are noted.
    """

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        times: Times,
    ):
        self._url = started.members[deployment.gateways()[0]].url('admin')
        self._times = times

    def call(self, method: str, path: str, value=None) -> dict:
        """Calls the operators' API.

        Raises:
            RuntimeError: The API refused.
        """
        url = f'{self._url}/api/v1/{path}'
        status, body = fleet.call_json(method, url, value, TOKEN)
        if status != 200:
            raise RuntimeError(f'{method} {path}: {status} {body}')
        return body

    async def change(
        self,
        path: str,
        value=None,
        method: str = 'POST',
        on_accept: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a change and waits until it is in force."""
        body = await to_thread.run_sync(self.call, method, path, value or {})
        accepted = time.monotonic()
        on_accept()
        await self._wait_in_force(path, body['revision'], accepted)

    async def _wait_in_force(self, name, revision: int, accepted: float):
        while True:
            status = await to_thread.run_sync(self.call, 'GET', 'status')
            taken = time.monotonic() - accepted
            if status['in_force'] and status['revision'] >= revision:
                break
            if taken > IN_FORCE_SECONDS:
                self._times.problems.append(f'{name} is not in force')
                break
            await anyio.sleep(0.05)
        self._times.in_force[name] = round(taken, 3)


class Scenario:
    """Events of a run, at fixed parts of its length.

    Args:
        started: The fleet.
        deployment: The deployment.
        balancer: Gateways that clients use.
        seconds: Length of the run.
    """

    def __init__(
        self,
        started: fleet.Fleet,
        deployment: deployments.Deployment,
        balancer: load.Balancer,
        seconds: float,
    ):
        self.times = Times()
        self._fleet = started
        self._deployment = deployment
        self._balancer = balancer
        self._seconds = seconds
        self._operator = Operator(started, deployment, self.times)
        self.domain = list(deployment.domains)[1]

    async def run(self) -> None:
        """Makes all events happen and waits for their ends."""
        events: tuple[tuple[float, Callable], ...] = (
            (0.10, self._start_rollout),
            (0.20, self._drain),
            (0.30, self._advance),
            (0.45, self._reopen),
            (0.55, self._kill_agent),
            (0.75, self._leave_gateway),
        )
        async with anyio.create_task_group() as group:
            for share, event in events:
                group.start_soon(self._run_at, share, event)

    async def _run_at(self, share: float, event: Callable) -> None:
        await anyio.sleep(share * self._seconds)
        await event()

    async def _start_rollout(self) -> None:
        prefix = self._deployment.name
        await self._operator.change(
            f'rollout/{prefix}-small',
            {
                'model': f'{prefix}-small',
                'from_version': f'{prefix}-small-1',
                'to_version': f'{prefix}-small-2',
                'stages': [0.25, 1.0],
                'share': 0.25,
            },
            'PUT',
        )

    async def _advance(self) -> None:
        path = f'rollout/{self._deployment.name}-small/advance'
        await self._operator.change(path)

    async def _drain(self) -> None:
        def note_time() -> None:
            self.times.drained = time.time()

        await self._operator.change(
            f'failuredomain/{self.domain}/drain', on_accept=note_time
        )

    async def _reopen(self) -> None:
        self.times.reopened = time.time()
        await self._operator.change(f'failuredomain/{self.domain}/reopen')

    async def _kill_agent(self) -> None:
        name = self._deployment.agents()[0]
        self._fleet.signal(name, signal.SIGKILL)
        await anyio.sleep(AGENT_DOWN_SECONDS)
        self._fleet.members[name].process.wait()
        self._fleet.restart(name)

    async def _leave_gateway(self) -> None:
        name = self._deployment.gateways()[-1]
        self._fleet.signal(name, signal.SIGTERM)
        await anyio.sleep(BALANCER_SECONDS)
        self._balancer.close(self._fleet.members[name].url())
        await to_thread.run_sync(
            self._fleet.members[name].process.wait, fleet.STOP_SECONDS
        )


@dataclasses.dataclass
class Records:
    """What a run left behind outside the routers.

    Attributes:
        chats: Samples of chats.
        calls: Samples of calls of the plain service.
        engine_runs: Agent to the runs of its engine.
        service_runs: Agent to the runs of its service by business key.
    """

    chats: list[load.Sample]
    calls: list[desk.Sample]
    engine_runs: dict[str, list[dict]] = dataclasses.field(
        default_factory=dict
    )
    service_runs: dict[str, dict[str, list[str]]] = dataclasses.field(
        default_factory=dict
    )

    def read_runs(
        self, started: fleet.Fleet, deployment: deployments.Deployment
    ) -> None:
        """Reads the runs of all fakes."""
        for number, agent in enumerate(deployment.agents()):
            url = started.members[f'{agent}-server'].url()
            is_engine = number < deployment.engines
            into = self.engine_runs if is_engine else self.service_runs
            into[agent] = fleet.call_json('GET', f'{url}/runs')[1]

    def merge_runs(self) -> dict[str, list[str]]:
        """Returns business key to the attempts of all servers."""
        merged: dict[str, list[str]] = {}
        for runs in self.service_runs.values():
            for key, attempts in runs.items():
                merged.setdefault(key, []).extend(attempts)
        return merged

    def list_starts(
        self, deployment: deployments.Deployment, domain: str
    ) -> list[float]:
        """Returns when runs started in a domain, in seconds since the epoch.

        Runs of the plain service count if their caller got the answer, which
        names the time.
        """
        times = {s.attempt: s.ran_at for s in self.calls if s.ran_at}
        found = []
        for agent in deployment.agents():
            if deployment.domain_of(agent) != domain:
                continue
            found += [r['start'] for r in self.engine_runs.get(agent, [])]
            for attempts in self.service_runs.get(agent, {}).values():
                found += [times[a] for a in attempts if a in times]
        return found


def measure_drain(starts: list[float], drained: float, reopened: float):
    """Returns seconds from the drain to the last run that started."""
    late = [s - drained for s in starts if drained < s < reopened]
    return round(max(late, default=0.0), 3)


def describe_events(
    starts: list[float], times: Times, chats: list[load.Sample]
) -> str:
    """Returns what shows that the events had an effect."""
    before = sum(s <= times.drained for s in starts)
    after = sum(s >= times.reopened for s in starts)
    versions = collections.Counter(s.version for s in chats if s.version)
    shares = ', '.join(f'{n} {c}' for n, c in sorted(versions.items()))
    return (
        f'runs in the drained domain: {before} before, '
        f'{len(starts) - before - after} while closed, {after} after\n'
        f'answers by version: {shares}'
    )


def make_calls(
    records: Records, deployment: deployments.Deployment
) -> list[tally.Call]:
    """Returns all samples as calls of organisations."""
    names = {deployment.key_of(n): n for n in deployment.organisations}
    return [
        *(tally.make_chat_call(s, names[s.credential]) for s in records.chats),
        *(
            tally.make_service_call(s, names[s.credential])
            for s in records.calls
        ),
    ]


async def drive(
    started: fleet.Fleet,
    deployment: deployments.Deployment,
    seconds: float,
    seed: int,
) -> tuple[Records, Scenario, load.Load]:
    """Sends the traffic while the events happen."""
    urls = [started.members[g].url() for g in deployment.gateways()]
    credentials = {
        deployment.key_of(name): weight
        for name, weight in deployment.organisations.items()
    }
    balancer = load.Balancer(urls)
    chats = load.Load(
        load.Workload(
            urls,
            credentials,
            seed=seed,
            rate=CHAT_RATE,
            seconds=seconds,
            classes=deployments.REQUEST_CLASSES,
            deadline_ms=DEADLINE_MS,
        ),
        balancer,
    )
    calls = desk.Desk(
        desk.Calls(
            deployment.service,
            credentials,
            seed=seed,
            rate=DESK_RATE,
            seconds=seconds,
            deadline_ms=DEADLINE_MS,
        ),
        balancer,
    )
    scenario = Scenario(started, deployment, balancer, seconds)
    async with anyio.create_task_group() as group:
        for run in (chats.run, calls.run, scenario.run):
            group.start_soon(run)
    return Records(chats.samples, calls.samples), scenario, chats


def count_with_bills(
    operator: Operator,
    records: Records,
    deployment: deployments.Deployment,
) -> tally.Tally:
    """Returns the counts once the bills fit, or after the longest wait."""
    deadline = time.monotonic() + BILLING_SECONDS
    calls, runs = make_calls(records, deployment), records.merge_runs()
    while True:
        usage = operator.call('GET', 'usage')
        counts = tally.count_calls(
            calls,
            runs,
            tally.read_billed(usage),
            deployment.allowed_versions(),
        )
        if not counts.billing_errors or time.monotonic() > deadline:
            return counts
        time.sleep(0.5)


def start(started: fleet.Fleet, deployment: deployments.Deployment) -> None:
    """Starts all processes and waits until the configuration is in force."""
    started.start_platform()
    quality = {
        f'{version.name}/{name}': value
        for version in deployment.versions
        for name, value in version.quality.items()
    }
    started.start_fake('ratings', 'ratings', quality=json.dumps(quality))
    started.wait_for_port('ratings')
    deployments.start(
        started,
        deployment,
        gateway_options={'ratings_url': started.members['ratings'].url()},
        service_options={'delay': SERVICE_DELAY_SECONDS},
    )
    operator = Operator(started, deployment, Times())
    started.wait_until(
        lambda: operator.call('GET', 'status')['in_force'],
        f'{deployment.name} is in force',
    )


def measure(
    deployment: deployments.Deployment, seconds: float, seed: int
) -> tuple[dict, list[str]]:
    """Runs one deployment; returns its figures and what was wrong."""
    with fleet.Fleet() as started:
        start(started, deployment)
        records, scenario, chats = anyio.run(
            drive, started, deployment, seconds, seed
        )
        records.read_runs(started, deployment)
        times = scenario.times
        operator = Operator(started, deployment, times)
        counts = count_with_bills(operator, records, deployment)
        first = chats.summarise()['first_token_s']['p95']
        starts = records.list_starts(deployment, scenario.domain)
        print(describe_events(starts, times, records.chats))
        figures = {
            **counts.list_counts(),
            'config_in_force_s': max(times.in_force.values()),
            'drain_s': measure_drain(starts, times.drained, times.reopened),
            'p95_first_token_ms': round(first * 1000, 1),
        }
        problems = [*counts.details, *times.problems]
        if problems:
            problems.append(f'logs: {started.folder}')
        return figures, [f'{deployment.name}: {p}' for p in problems]


def aggregate_figures(results: dict[str, dict]) -> dict:
    """Returns sums of counts, and the worst of times, over deployments."""
    total: dict = {}
    for figures in results.values():
        for name, value in figures.items():
            if name in WORST_OF:
                total[name] = max(total.get(name, 0), value)
            else:
                total[name] = total.get(name, 0) + value
    return total


def print_table(results: dict[str, dict]) -> None:
    """Prints the figures, a column for each deployment."""
    print(f'{"":20}' + ''.join(f'{name:>10}' for name in results))
    for figure in next(iter(results.values())):
        row = ''.join(f'{r[figure]:>10}' for r in results.values())
        print(f'{figure:20}{row}')


def main(
    seconds: float = 20.0, seed: int = 1, deployment: str = 'siam,raam'
) -> None:
    """Runs the demo.

    Args:
        seconds: Length of the traffic of each deployment.
        seed: Seed of the traffic.
        deployment: Names of deployments, comma-separated.
    """
    begun = time.monotonic()
    names = (
        deployment.split(',') if isinstance(deployment, str) else deployment
    )
    results, problems = {}, []
    for name in names:
        scaled = deployments.scale(
            deployments.DEPLOYMENTS[name], ENGINES, SERVICES
        )
        print(f'{name}: {seconds:g} s of traffic', flush=True)
        results[name], found = measure(scaled, seconds, seed)
        problems += found
    print_table(results)
    for problem in problems:
        print(problem)
    total = aggregate_figures(results)
    broken = [fault for fault in tally.FAULTS if total[fault]]
    if broken:
        print(f'broken: {", ".join(broken)}')
    total.update(seed=seed, took_s=round(time.monotonic() - begun, 1))
    print(json.dumps(total))
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
