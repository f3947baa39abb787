"""Runs small deployments under load with faults.

Run it with ``python -m bench.demo``. For each deployment of
bench/deployments.py it starts the fakes, three gateways in three failure
domains and all agents, and sends chats and calls of a plain service. During
the run, a model version is rolled out, a failure domain is drained and
reopened, an agent is killed and a gateway is stopped. All figures come from
the clients, the fakes and the billed usage; see bench/tally.py.

Prints a table and, as its last line, one JSON object. The exit status is 1 if
any fault was counted.
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
from bench import fleet
from bench import load
from bench import service_calls
from bench import tally

ENGINES, SERVICES = 6, 3
CHAT_RATE, DESK_RATE = 16.0, 8.0
DEADLINE_MS = 15_000
SERVICE_DELAY_SECONDS = 0.05
AGENT_DOWN_SECONDS = 3.0
# Time until load balancers detect that a gateway is stopping.
BALANCER_UPDATE_SECONDS = 0.5
IN_FORCE_TIMEOUT_SECONDS = 20.0
# Usage is flushed every 2 s. A handover adds 15 s and some calls.
BILLING_TIMEOUT_SECONDS = 20.0
OPERATOR_HEADERS = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
MAXIMUM_FIGURES = ('config_in_force_s', 'drain_s', 'p95_first_token_ms')


@dataclasses.dataclass
class EventTimes:
    """Times of the events of a run.

    Attributes:
        drained: When the drain was accepted, in seconds since the epoch.
        reopened: When the reopening was requested, in seconds since the epoch.
        in_force: Seconds from the acceptance of a change until it was in
            force, by path.
        problems: Descriptions of changes that were not in force in time.
    """

    drained: float = 0.0
    reopened: float = 0.0
    in_force: dict[str, float] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)


class Operator:
    """Makes changes through the first gateway and measures their time.

    Args:
        running_fleet: Running fleet.
        deployment: Deployment to change.
        times: Receives the measured times.
    """

    def __init__(
        self,
        running_fleet: fleet.Fleet,
        deployment: deployments.Deployment,
        times: EventTimes,
    ):
        self._url = running_fleet.members[deployment.gateways()[0]].url(
            'admin'
        )
        self._times = times

    def call(self, method: str, path: str, value=None) -> dict:
        """Calls the API for operators and returns the response body.

        Raises:
            RuntimeError: The status of the response is not 200.
        """
        url = f'{self._url}/api/v1/{path}'
        status, body = fleet.call_json(method, url, value, OPERATOR_HEADERS)
        if status != 200:
            raise RuntimeError(
                f'{method} {path}: expected status 200, got {status} {body}'
            )
        return body

    async def change(
        self,
        path: str,
        value=None,
        method: str = 'POST',
        on_accept: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a change and waits until it is in force.

        Args:
            path: Path below /api/v1/.
            value: Request body.
            method: HTTP method.
            on_accept: Called when the change is accepted.
        """
        body = await to_thread.run_sync(self.call, method, path, value or {})
        accepted = time.monotonic()
        on_accept()
        await self._wait_in_force(path, body['revision'], accepted)

    async def _wait_in_force(self, name, revision: int, accepted: float):
        while True:
            status = await to_thread.run_sync(self.call, 'GET', 'status')
            elapsed = time.monotonic() - accepted
            if status['in_force'] and status['revision'] >= revision:
                break
            if elapsed > IN_FORCE_TIMEOUT_SECONDS:
                self._times.problems.append(f'{name} was not in force in time')
                break
            await anyio.sleep(0.05)
        self._times.in_force[name] = round(elapsed, 3)


class Scenario:
    """Triggers the events of a run at fixed fractions of its duration.

    Args:
        running_fleet: Running fleet.
        deployment: Deployment under test.
        balancer: Load balancer of the clients.
        seconds: Duration of the run.
    """

    def __init__(
        self,
        running_fleet: fleet.Fleet,
        deployment: deployments.Deployment,
        balancer: load.Balancer,
        seconds: float,
    ):
        self.times = EventTimes()
        self._fleet = running_fleet
        self._deployment = deployment
        self._balancer = balancer
        self._seconds = seconds
        self._operator = Operator(running_fleet, deployment, self.times)
        self.domain = list(deployment.domains)[1]

    async def run(self) -> None:
        """Triggers all events and waits until they have ended."""
        events: tuple[tuple[float, Callable], ...] = (
            (0.10, self._start_rollout),
            (0.20, self._drain),
            (0.30, self._advance),
            (0.45, self._reopen),
            (0.55, self._kill_agent),
            (0.75, self._stop_gateway),
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
        def record_time() -> None:
            self.times.drained = time.time()

        await self._operator.change(
            f'failuredomain/{self.domain}/drain', on_accept=record_time
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

    async def _stop_gateway(self) -> None:
        name = self._deployment.gateways()[-1]
        self._fleet.signal(name, signal.SIGTERM)
        await anyio.sleep(BALANCER_UPDATE_SECONDS)
        self._balancer.close(self._fleet.members[name].url())
        await to_thread.run_sync(
            self._fleet.members[name].process.wait, fleet.STOP_TIMEOUT_SECONDS
        )


@dataclasses.dataclass
class Records:
    """Records of a run from the clients and the backend servers.

    Attributes:
        chats: Samples of chats.
        calls: Samples of calls of the plain service.
        engine_runs: Runs of the engine of each agent.
        service_runs: Attempts run by the service of each agent, by business
            key.
    """

    chats: list[load.Sample]
    calls: list[service_calls.Sample]
    engine_runs: dict[str, list[dict]] = dataclasses.field(
        default_factory=dict
    )
    service_runs: dict[str, dict[str, list[str]]] = dataclasses.field(
        default_factory=dict
    )

    def read_runs(
        self, running_fleet: fleet.Fleet, deployment: deployments.Deployment
    ) -> None:
        """Reads the runs of all fake engines and services."""
        for number, agent in enumerate(deployment.agents()):
            url = running_fleet.members[f'{agent}-server'].url()
            is_engine = number < deployment.engines
            runs = self.engine_runs if is_engine else self.service_runs
            runs[agent] = fleet.call_json('GET', f'{url}/runs')[1]

    def merge_runs(self) -> dict[str, list[str]]:
        """Returns the attempts on all backend servers by business key."""
        merged: dict[str, list[str]] = {}
        for runs in self.service_runs.values():
            for key, attempts in runs.items():
                merged.setdefault(key, []).extend(attempts)
        return merged

    def list_starts(
        self, deployment: deployments.Deployment, domain: str
    ) -> list[float]:
        """Returns the start times of runs in a failure domain.

        Times are in seconds since the epoch. Runs of the plain service count
        only if the caller received the response, which contains the time.
        """
        times = {s.attempt: s.ran_at for s in self.calls if s.ran_at}
        starts = []
        for agent in deployment.agents():
            if deployment.domain_of(agent) != domain:
                continue
            starts += [r['start'] for r in self.engine_runs.get(agent, [])]
            for attempts in self.service_runs.get(agent, {}).values():
                starts += [times[a] for a in attempts if a in times]
        return starts


def measure_drain(starts: list[float], drained: float, reopened: float):
    """Returns the seconds from the drain to the last start of a run.

    Only starts before the reopening count; without any, returns 0.
    """
    delays = [s - drained for s in starts if drained < s < reopened]
    return round(max(delays, default=0.0), 3)


def describe_events(
    starts: list[float], times: EventTimes, chats: list[load.Sample]
) -> str:
    """Returns a text that shows the effect of the events."""
    before = sum(s <= times.drained for s in starts)
    after = sum(s >= times.reopened for s in starts)
    versions = collections.Counter(s.version for s in chats if s.version)
    shares = ', '.join(f'{n} {c}' for n, c in sorted(versions.items()))
    return (
        f'runs in the drained domain: {before} before, '
        f'{len(starts) - before - after} while closed, {after} after\n'
        f'responses by version: {shares}'
    )


def make_calls(
    records: Records, deployment: deployments.Deployment
) -> list[tally.Call]:
    """Converts all samples to calls of organisations."""
    names = {deployment.credential_of(n): n for n in deployment.organisations}
    return [
        *(tally.make_chat_call(s, names[s.credential]) for s in records.chats),
        *(
            tally.make_service_call(s, names[s.credential])
            for s in records.calls
        ),
    ]


async def run_traffic(
    running_fleet: fleet.Fleet,
    deployment: deployments.Deployment,
    seconds: float,
    seed: int,
) -> tuple[Records, Scenario, load.LoadGenerator]:
    """Sends the traffic while the scenario runs."""
    urls = [running_fleet.members[g].url() for g in deployment.gateways()]
    credentials = {
        deployment.credential_of(name): weight
        for name, weight in deployment.organisations.items()
    }
    balancer = load.Balancer(urls)
    chats = load.LoadGenerator(
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
    calls = service_calls.ServiceCallGenerator(
        service_calls.CallWorkload(
            deployment.service,
            credentials,
            seed=seed,
            rate=DESK_RATE,
            seconds=seconds,
            deadline_ms=DEADLINE_MS,
        ),
        balancer,
    )
    scenario = Scenario(running_fleet, deployment, balancer, seconds)
    async with anyio.create_task_group() as group:
        for run in (chats.run, calls.run, scenario.run):
            group.start_soon(run)
    return Records(chats.samples, calls.samples), scenario, chats


def count_after_billing(
    operator: Operator,
    records: Records,
    deployment: deployments.Deployment,
) -> tally.Tally:
    """Returns the counts once billing is consistent or has timed out.

    Usage is billed with a delay, so it is read repeatedly.
    """
    deadline = time.monotonic() + BILLING_TIMEOUT_SECONDS
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


def start(
    running_fleet: fleet.Fleet, deployment: deployments.Deployment
) -> None:
    """Starts all processes and waits until the configuration is in force."""
    running_fleet.start_platform()
    quality = {
        f'{version.name}/{name}': value
        for version in deployment.versions
        for name, value in version.quality.items()
    }
    running_fleet.start_fake('ratings', 'ratings', quality=json.dumps(quality))
    running_fleet.wait_for_port('ratings')
    deployments.start(
        running_fleet,
        deployment,
        gateway_options={
            'ratings_url': running_fleet.members['ratings'].url()
        },
        service_options={'delay': SERVICE_DELAY_SECONDS},
    )
    operator = Operator(running_fleet, deployment, EventTimes())
    running_fleet.wait_until(
        lambda: operator.call('GET', 'status')['in_force'],
        f'{deployment.name} is in force',
    )


def measure(
    deployment: deployments.Deployment, seconds: float, seed: int
) -> tuple[dict, list[str]]:
    """Runs one deployment and returns its figures and problems."""
    with fleet.Fleet() as running_fleet:
        start(running_fleet, deployment)
        records, scenario, chats = anyio.run(
            run_traffic, running_fleet, deployment, seconds, seed
        )
        records.read_runs(running_fleet, deployment)
        times = scenario.times
        operator = Operator(running_fleet, deployment, times)
        counts = count_after_billing(operator, records, deployment)
        p95_first_token = chats.summarise()['first_token_s']['p95']
        starts = records.list_starts(deployment, scenario.domain)
        print(describe_events(starts, times, records.chats))
        figures = {
            **counts.list_counts(),
            'config_in_force_s': max(times.in_force.values()),
            'drain_s': measure_drain(starts, times.drained, times.reopened),
            'p95_first_token_ms': round(p95_first_token * 1000, 1),
        }
        problems = [*counts.details, *times.problems]
        if problems:
            problems.append(f'logs: {running_fleet.folder}')
        return figures, [f'{deployment.name}: {p}' for p in problems]


def aggregate_figures(results: dict[str, dict]) -> dict:
    """Returns the sums of counts and maxima of times over deployments."""
    total: dict = {}
    for figures in results.values():
        for name, value in figures.items():
            if name in MAXIMUM_FIGURES:
                total[name] = max(total.get(name, 0), value)
            else:
                total[name] = total.get(name, 0) + value
    return total


def print_table(results: dict[str, dict]) -> None:
    """Prints the figures with one column per deployment."""
    print(f'{"":20}' + ''.join(f'{name:>10}' for name in results))
    for figure in next(iter(results.values())):
        row = ''.join(f'{r[figure]:>10}' for r in results.values())
        print(f'{figure:20}{row}')


def main(
    seconds: float = 20.0, seed: int = 1, deployment: str = 'siam,raam'
) -> None:
    """Runs the demo.

    Args:
        seconds: Duration of the traffic of each deployment.
        seed: Seed of the traffic.
        deployment: Comma-separated names of deployments.
    """
    start_time = time.monotonic()
    names = (
        deployment.split(',') if isinstance(deployment, str) else deployment
    )
    results, problems = {}, []
    for name in names:
        scaled = deployments.scale(
            deployments.DEPLOYMENTS[name], ENGINES, SERVICES
        )
        print(f'{name}: {seconds:g} s of traffic', flush=True)
        results[name], deployment_problems = measure(scaled, seconds, seed)
        problems += deployment_problems
    print_table(results)
    for problem in problems:
        print(problem)
    total = aggregate_figures(results)
    broken = [fault for fault in tally.FAULTS if total[fault]]
    if broken:
        print(f'broken: {", ".join(broken)}')
    total.update(seed=seed, took_s=round(time.monotonic() - start_time, 1))
    print(json.dumps(total))
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
