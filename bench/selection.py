"""Comparison of server policies: ``python -m bench.selection --seed N``.

Each policy serves the same load with the same slow server and the same cold
start during the load. Prints one JSON object. Links between regions run over
loopback, so their bytes are measured, but not their latency.
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
    """Returns response bytes, in total and between regions.

    Args:
        samples: Requests of the load; only answered ones count.
        runs: Run records by host.
    """
    gateways = list(selection_deployment.DOMAINS)
    host_by_attempt = {
        record['attempt']: host
        for host, records in runs.items()
        for record in records
    }
    cross_region = total = 0
    for sample in samples:
        host = host_by_attempt.get(sample.attempt)
        if host is None or sample.kind != 'answered':
            continue
        gateway_region = selection_deployment.DOMAINS[gateways[sample.gateway]]
        server_region = selection_deployment.DOMAINS[host.rpartition('-')[0]]
        total += sample.size
        cross_region += sample.size if gateway_region != server_region else 0
    return {'total': total, 'cross_region': cross_region}


def compute_cached_share(runs: dict) -> float:
    """Returns the share of prompt tokens that were cached."""
    all_records = [record for records in runs.values() for record in records]
    prompt_tokens = sum(record['prompt_tokens'] for record in all_records)
    return round(
        sum(record['cached_tokens'] for record in all_records)
        / max(1, prompt_tokens),
        4,
    )


async def run_load(
    started: fleet.Fleet, workload: load.Workload
) -> load.LoadGenerator:
    """Sends the load and triggers a cold start of one server halfway."""
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
        running = anyio.run(run_load, started, workload)
        runs = selection_deployment.read_runs(started)
        return {
            **running.summarise(),
            'cached_prompt_share': compute_cached_share(runs),
            'bytes': count_bytes(running.samples, runs),
            'runs': {host: len(records) for host, records in runs.items()},
        }


def main(
    seed: int = 1,
    seconds: float = 24,
    rate: float = 30,
    policies: str = ','.join(POLICIES),
) -> None:
    """Measures policies one after another.

    Args:
        seed: Seed of the load.
        seconds: Duration of the load of each policy.
        rate: Requests per second.
        policies: Comma-separated names of policies.
    """
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
