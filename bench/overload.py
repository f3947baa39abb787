"""Goodput and fairness under overload, and a cold start.

Run as ``python -m bench.overload --seed=1``. It starts real processes and
prints one JSON object. Offered load is relative to the capacity of the warm
windows of the servers; a request counts as good if its complete response
arrived within its deadline. Attempts are counted at the agents, runs at the
engines.
"""

import dataclasses
import json
import pathlib
import random
import re
import urllib.request

import anyio
import fire
import httpcore

from bench import fleet
from chivejunction import clock
from chivejunction.protocol import resources

ORGANISATION_WEIGHTS = {'one': 1, 'two': 2, 'four': 4}
SERVER_COUNT = 2
WARM_WINDOW = 8
RESPONSE_TOKENS = 20
TOKEN_SECONDS = 0.02
FIRST_TOKEN_SECONDS = 0.05
RUN_SECONDS = FIRST_TOKEN_SECONDS + (RESPONSE_TOKENS - 1) * TOKEN_SECONDS
CAPACITY_PER_SECOND = SERVER_COUNT * WARM_WINDOW / RUN_SECONDS
DEADLINE_SECONDS = 2.0
# Not counted at the start of a phase: the queue of the previous phase remains.
SETTLING_SECONDS = 3.0
COLD_SECONDS = 8.0
COLD_ENGINE_OPTIONS = {
    'first_token': 0.1,
    'between_tokens': TOKEN_SECONDS,
    'tokens': RESPONSE_TOKENS,
    'cold_seconds': COLD_SECONDS,
    'cold_slots': 2,
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one request.

    Attributes:
        organisation: Name of the organisation.
        sent: Monotonic time in seconds.
        good: Whether the complete response arrived within the deadline.
        status: HTTP status; zero after a network or protocol error.
    """

    organisation: str
    sent: float
    good: bool = False
    status: int = 0


class Load:
    """Open-loop load with Poisson arrivals.

    Args:
        url: Base URL of the gateway.
        rng: Random generator of the arrival times and organisations.
        deadline_seconds: Deadline of each request in seconds.
    """

    def __init__(self, url: str, rng: random.Random, deadline_seconds: float):
        self._url = f'{url}/v1/chat/completions'
        self._rng = rng
        self._deadline_seconds = deadline_seconds
        self._pool = httpcore.AsyncConnectionPool(max_connections=4000)
        self._body = json.dumps(
            {
                'model': 'small',
                'messages': [{'role': 'user', 'content': 'hallo'}],
                'stream': True,
            }
        ).encode()

    async def run(self, rate: float, seconds: float) -> list[Outcome]:
        """Sends requests at a mean rate per second; returns all outcomes."""
        outcomes: list[Outcome] = []
        end_at = clock.make_deadline(seconds)
        async with anyio.create_task_group() as group:
            while not clock.has_passed(end_at):
                organisation = self._rng.choice(list(ORGANISATION_WEIGHTS))
                outcomes.append(Outcome(organisation, clock.now()))
                group.start_soon(self._send, outcomes[-1])
                await anyio.sleep(self._rng.expovariate(rate))
        return outcomes

    async def _send(self, outcome: Outcome) -> None:
        headers = {
            'authorization': f'Bearer {outcome.organisation}-key',
            'content-type': 'application/json',
            'x-deadline-ms': str(int(1000 * self._deadline_seconds)),
        }
        try:
            response = await self._pool.request(
                'POST',
                self._url,
                headers=list(headers.items()),
                content=self._body,
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        outcome.status = response.status
        outcome.good = (
            response.status == 200
            and response.content.endswith(b'data: [DONE]\n\n')
            and clock.now() - outcome.sent <= self._deadline_seconds + 0.05
        )


def read_metrics(started: fleet.Fleet, name: str) -> str:
    """Returns the metrics page of a daemon as text."""
    url = started.members[name].url('admin')
    with urllib.request.urlopen(f'{url}/metrics', timeout=5) as response:
        return response.read().decode()


def count_attempts(started: fleet.Fleet) -> tuple[int, int]:
    """Returns the attempts at the agents and the runs at the engines."""
    attempts = runs = 0
    for name in list_agents(started):
        text = read_metrics(started, name)
        attempts += sum(
            float(value)
            for value in re.findall(
                r'^chivejunction_attempts_total\{.*\} (\S+)$', text, re.M
            )
        )
        url = started.members[f'{name}-engine'].url()
        runs += len(fleet.call_json('GET', f'{url}/runs')[1])
    return int(attempts), runs


def list_agents(started: fleet.Fleet) -> list[str]:
    """Returns the names of all agents of a fleet."""
    return [n for n in started.members if re.fullmatch(r'lm-\d+', n)]


def start_fleet(
    started: fleet.Fleet, servers: int, engine: dict, pool: dict, **flags
) -> None:
    """Starts a gateway and backend servers and waits until all are ready.

    Args:
        started: Fleet in which to start them.
        servers: Number of backend servers, each with an agent.
        engine: Options of the engines.
        pool: Fields of the pool.
        **flags: Settings of the agents.
    """
    started.start_platform()
    started.start_gateway('gw-1', 'bkk-a', 'bkk')
    started.wait_for_port('gw-1')
    started.put('gw-1', 'failuredomain', 'bkk-a', region='bkk')
    started.put('gw-1', 'pool', 'lm-pool', **pool)
    started.put('gw-1', 'model', 'small')
    started.put(
        'gw-1', 'modelversion', 'small-1', model='small', pool='lm-pool'
    )
    revision = 0
    for name, weight in ORGANISATION_WEIGHTS.items():
        revision = started.put(
            'gw-1',
            'organisation',
            name,
            key_hashes=[resources.hash_key(f'{name}-key')],
            models=['small'],
            weight=weight,
        )['revision']
    names = [f'lm-{n}' for n in range(1, servers + 1)]
    for name in names:
        started.start_fake(
            f'{name}-engine', 'engine', versions='small-1', **engine
        )
        started.wait_for_port(f'{name}-engine')
        started.start_agent(
            name,
            'bkk-a',
            'bkk',
            'lm-pool',
            f'{name}-engine',
            versions='small-1',
            **flags,
        )
    started.wait_until(
        lambda: (
            started.read_health('gw-1').get('servers') == servers
            and all(
                started.read_health(n).get('revision', 0) >= revision
                for n in names
            )
        ),
        'all servers are ready',
    )


def summarise(
    outcomes: list[Outcome], started_at: float, seconds: float
) -> dict:
    """Returns rates of a phase without its first SETTLING_SECONDS."""
    counted = [o for o in outcomes if o.sent - started_at >= SETTLING_SECONDS]
    counted_seconds = seconds - SETTLING_SECONDS
    good = {
        name: sum(o.good for o in counted if o.organisation == name)
        for name in ORGANISATION_WEIGHTS
    }
    return {
        'offered_per_s': round(len(counted) / counted_seconds, 2),
        'goodput_per_s': round(sum(good.values()) / counted_seconds, 2),
        'good_by_organisation': good,
        'status': {
            str(status): sum(o.status == status for o in counted)
            for status in sorted({o.status for o in counted})
        },
    }


def read_peak_memory(started: fleet.Fleet, name: str) -> float:
    """Returns the peak resident memory of a daemon in MB."""
    status = pathlib.Path(
        f'/proc/{started.members[name].process.pid}/status'
    ).read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / 1000


async def measure_overload(
    rng: random.Random, seconds: float
) -> tuple[dict, float]:
    """Returns goodput by load, and the peak memory of an agent in MB."""
    phases = {}
    with fleet.Fleet(log_level='warning') as started:
        start_fleet(
            started,
            SERVER_COUNT,
            {
                'first_token': FIRST_TOKEN_SECONDS,
                'between_tokens': TOKEN_SECONDS,
                'tokens': RESPONSE_TOKENS,
            },
            {'cold_window': 2, 'warm_window': WARM_WINDOW},
        )
        load = Load(started.members['gw-1'].url(), rng, DEADLINE_SECONDS)
        # Lets the windows grow to their warm size.
        await load.run(CAPACITY_PER_SECOND, 5)
        for factor in (0.5, 1.0, 2.0):
            attempts_before, runs_before = count_attempts(started)
            started_at = clock.now()
            outcomes = await load.run(factor * CAPACITY_PER_SECOND, seconds)
            phase = summarise(outcomes, started_at, seconds)
            attempts_after, runs_after = count_attempts(started)
            phase['attempts_per_request'] = round(
                (attempts_after - attempts_before) / len(outcomes), 3
            )
            phase['runs_per_good_answer'] = round(
                (runs_after - runs_before)
                / max(1, sum(o.good for o in outcomes)),
                3,
            )
            phases[f'{factor}x'] = phase
        peak_memory = max(
            read_peak_memory(started, name) for name in list_agents(started)
        )
    return phases, peak_memory


async def measure_cold_start(rng: random.Random, slow_start: bool) -> dict:
    """Returns times to first token of a cold engine under load.

    Args:
        rng: Random generator of the arrivals.
        slow_start: Whether the window starts small and is adapted to the
            times to first token.
    """
    with fleet.Fleet(log_level='warning') as started:
        start_fleet(
            started,
            1,
            COLD_ENGINE_OPTIONS,
            {'cold_window': 2 if slow_start else 16, 'warm_window': 16},
            first_token_target=0.4 if slow_start else 1000,
        )
        load = Load(started.members['gw-1'].url(), rng, 10.0)
        outcomes = await load.run(16 / RUN_SECONDS, COLD_SECONDS - 2)
        text = read_metrics(started, 'lm-1')
    quantiles = re.findall(
        r'first_token_seconds\{quantile="(\S+)",version="small-1"\} (\S+)',
        text,
    )
    return {
        'first_token_s': {q: float(v) for q, v in quantiles},
        'good': sum(o.good for o in outcomes),
        'sent': len(outcomes),
    }


async def measure(seed: int, seconds: float) -> dict:
    """Returns all figures of one run."""
    rng = random.Random(seed)
    phases, peak_memory = await measure_overload(rng, seconds)
    peak_goodput = max(p['goodput_per_s'] for p in phases.values())
    overload_phase = phases['2.0x']
    good_by_organisation = overload_phase['good_by_organisation']
    good_per_weight = sum(good_by_organisation.values()) / sum(
        ORGANISATION_WEIGHTS.values()
    )
    return {
        'seed': seed,
        'capacity_per_s': round(CAPACITY_PER_SECOND, 2),
        'phases': phases,
        'agent_peak_memory_mb': round(peak_memory, 1),
        'goodput_at_2x_of_peak': round(
            overload_phase['goodput_per_s'] / peak_goodput, 3
        ),
        'extra_attempts_at_2x': round(
            overload_phase['attempts_per_request'] - 1, 3
        ),
        'share_at_2x_of_fair_share': {
            name: round(
                good_by_organisation[name] / (good_per_weight * weight), 3
            )
            for name, weight in ORGANISATION_WEIGHTS.items()
        },
        'cold_start': {
            'with_slow_start': await measure_cold_start(rng, True),
            'without_slow_start': await measure_cold_start(rng, False),
        },
    }


def main(seed: int = 1, seconds: float = 15.0) -> None:
    """Prints the figures as one JSON object.

    Args:
        seed: Seed of the arrivals.
        seconds: Length of each phase in seconds, more than 3.
    """
    print(json.dumps(anyio.run(measure, seed, seconds), indent=2))


if __name__ == '__main__':
    fire.Fire(main)
