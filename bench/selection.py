"""Comparison of server policies: ``python -m bench.selection --seed N``.

Each policy serves the same load with the same slow server and the same
sudden cold start. Prints one JSON object. Links between regions are loopback
links here, so only their bytes count, not their latency.
"""

import json
import time

import anyio
from anyio import to_thread
import fire

from bench import fleet
from bench import load
from bench import selection_deployment

POLICIES = ('affinity', 'round_robin', 'random', 'two_choices')
SLOW_SERVER, SLOW_FACTOR = 'bkk-a-0', 4.0
COLD_SERVER, COLD_SECONDS = 'bkk-b-1', 6.0


def count_bytes(samples: list[load.Sample], runs: dict) -> dict:
    """Returns bytes of answered requests, in all and between regions."""
    gateways = list(selection_deployment.DOMAINS)
    places = {r['attempt']: host for host, rs in runs.items() for r in rs}
    crossing = total = 0
    for sample in samples:
        host = places.get(sample.attempt)
        if host is None or sample.kind != 'answered':
            continue
        here = selection_deployment.DOMAINS[gateways[sample.gateway]]
        there = selection_deployment.DOMAINS[host.rpartition('-')[0]]
        total += sample.size
        crossing += sample.size if here != there else 0
    return {'total': total, 'cross_region': crossing}


def count_hits(runs: dict) -> float:
    """Returns the share of prompt tokens that were cached."""
    every = [r for rs in runs.values() for r in rs]
    prompts = sum(r['prompt_tokens'] for r in every)
    return round(sum(r['cached_tokens'] for r in every) / max(1, prompts), 4)


async def drive(
    started: fleet.Fleet, workload: load.Workload
) -> load.LoadGenerator:
    """Sends the load and makes one server cold halfway."""
    running = load.LoadGenerator(workload)
    async with anyio.create_task_group() as group:
        group.start_soon(running.run)
        await anyio.sleep(workload.seconds / 2)
        await to_thread.run_sync(
            lambda: selection_deployment.set_engine_faults(
                started, COLD_SERVER, cold_start=True
            )
        )
    return running


def measure(policy: str, seed: int, seconds: float, rate: float) -> dict:
    """Returns the figures of one policy."""
    with fleet.Fleet(log_level='warning') as started:
        selection_deployment.start(started, policy, cold_seconds=COLD_SECONDS)
        # All engines start cold; only the later cold start is measured.
        time.sleep(COLD_SECONDS)
        selection_deployment.set_engine_faults(
            started, SLOW_SERVER, slow=SLOW_FACTOR
        )
        workload = load.Workload(
            urls=[
                started.members[f'gw-{d}'].url()
                for d in selection_deployment.DOMAINS
            ],
            organisations=selection_deployment.ORGANISATIONS,
            seed=seed,
            rate=rate,
            seconds=seconds,
            model='small',
            versions=frozenset({'small-1'}),
        )
        running = anyio.run(drive, started, workload)
        runs = selection_deployment.read_runs(started)
        return {
            **running.summarise(),
            'cached_prompt_share': count_hits(runs),
            'bytes': count_bytes(running.samples, runs),
            'runs': {host: len(rs) for host, rs in runs.items()},
        }


def main(
    seed: int = 1,
    seconds: float = 24,
    rate: float = 30,
    policies: str = ','.join(POLICIES),
) -> None:
    """Measures policies one after the other."""
    names = policies.split(',') if isinstance(policies, str) else policies
    print(
        json.dumps(
            {
                'seed': seed,
                'seconds': seconds,
                'rate': rate,
                **{n: measure(n, seed, seconds, rate) for n in names},
            }
        )
    )


if __name__ == '__main__':
    fire.Fire(main)
