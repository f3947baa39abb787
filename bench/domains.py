"""Service level around failure domain events: ``python -m bench.domains``.

Under constant load, operators drain and reopen a failure domain; later its
engines and agents are killed and restarted cold. The gateway in the domain
keeps running. Prints one JSON object with the error share and the 95th
percentile of the first-token time for each second around the events.
"""

import json
import signal
import time

import anyio
from anyio import to_thread
import fire

from bench import fleet
from bench import load
from bench import selection_deployment

DOMAIN = 'bkk-b'
COLD_SECONDS = 4.0
# Times of the events in seconds since the start of the load.
EVENT_SECONDS = {'drain': 8.0, 'reopen': 18.0, 'loss': 30.0, 'return': 40.0}
LOAD_SECONDS = 54.0
SECONDS_BEFORE, SECONDS_AFTER = 3, 8
# Callers in this load never cancel, so every other outcome is an error.
SUCCESS_KIND = 'answered'


def close_domain(started: fleet.Fleet) -> None:
    """Drains the domain by declaring it closed."""
    set_domain_state(started, 'closed')


def open_domain(started: fleet.Fleet) -> None:
    """Reopens the domain by declaring it open."""
    set_domain_state(started, 'open')


def kill_processes(started: fleet.Fleet) -> None:
    """Kills the engines and agents of the domain."""
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (host, f'{host}-engine'):
            started.signal(name, signal.SIGKILL)


def suspend_processes(started: fleet.Fleet) -> None:
    """Suspends the engines and agents of the domain without closing links.

    This simulates a host that loses power: unlike a killed process, it sends
    no TCP reset.
    """
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (host, f'{host}-engine'):
            started.signal(name, signal.SIGSTOP)


def restart_processes(started: fleet.Fleet) -> None:
    """Restarts the engines and agents of the domain."""
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (f'{host}-engine', host):
            if started.members[name].process.poll() is None:
                started.signal(name, signal.SIGKILL)
            started.members[name].process.wait()
            started.restart(name)


LOSS_ACTIONS = {'kill': kill_processes, 'freeze': suspend_processes}


def set_domain_state(started: fleet.Fleet, state: str) -> None:
    """Declares the state of the domain."""
    region = selection_deployment.DOMAINS[DOMAIN]
    started.put(
        'gw-bkk-a', 'failuredomain', DOMAIN, region=region, state=state
    )


def summarise_seconds(
    samples: list[load.Sample], event_at: float
) -> dict[str, list]:
    """Returns requests, error shares and p95 first-token times by second.

    A request counts in the second in which it started, relative to the
    event.

    Args:
        samples: Requests of the load.
        event_at: Time of the event in seconds of the load.
    """
    seconds, error_shares, percentiles, counts = [], [], [], []
    for second in range(-SECONDS_BEFORE, SECONDS_AFTER):
        start = event_at + second
        started_samples = [
            s for s in samples if start <= s.started < start + 1
        ]
        first_token_times = load.make_histogram()
        for sample in started_samples:
            if sample.kind == SUCCESS_KIND and sample.first_token is not None:
                load.record_seconds(first_token_times, sample.first_token)
        error_count = sum(s.kind != SUCCESS_KIND for s in started_samples)
        seconds.append(second)
        counts.append(len(started_samples))
        error_shares.append(
            round(error_count / len(started_samples), 3)
            if started_samples
            else None
        )
        percentiles.append(load.read_percentiles(first_token_times)['p95'])
    return {
        'second': seconds,
        'requests': counts,
        'error_share': error_shares,
        'p95_first_token_s': percentiles,
    }


def summarise_late_runs(started: fleet.Fleet, closed_at: float) -> dict:
    """Returns number and latest start of runs in the drained domain.

    Counted are the 9 s after the drain; start times are relative to it.

    Args:
        started: The fleet.
        closed_at: Time of the drain in seconds since the epoch.
    """
    runs = selection_deployment.read_runs(started)
    delays = [
        run['start'] - closed_at
        for host in selection_deployment.list_engines(DOMAIN)
        for run in runs[host]
        if closed_at < run['start'] < closed_at + 9
    ]
    return {'count': len(delays), 'latest_s': round(max(delays, default=0), 2)}


async def run_load(started: fleet.Fleet, workload: load.Workload, loss: str):
    """Sends the load and triggers the events.

    Returns:
        The load, the actual times of the events in seconds of the load, and
        the summary of runs in the domain after the drain.
    """
    actions = {
        'drain': close_domain,
        'reopen': open_domain,
        'loss': LOSS_ACTIONS[loss],
        'return': restart_processes,
    }
    running = load.LoadGenerator(workload)
    event_times, late_runs = {}, {}
    async with anyio.create_task_group() as group:
        load_started = time.monotonic()
        group.start_soon(running.run)
        for name, scheduled_at in EVENT_SECONDS.items():
            await anyio.sleep(
                max(0.0, load_started + scheduled_at - time.monotonic())
            )
            if name == 'reopen':
                closed_at = time.time() - (
                    time.monotonic() - load_started - event_times['drain']
                )
                late_runs = await to_thread.run_sync(
                    summarise_late_runs, started, closed_at
                )
            event_times[name] = round(time.monotonic() - load_started, 2)
            await to_thread.run_sync(actions[name], started)
    return running, event_times, late_runs


def main(
    seed: int = 1,
    rate: float = 25,
    policy: str = 'affinity',
    loss: str = 'kill',
) -> None:
    """Measures the events for one policy.

    Args:
        seed: Seed of the load.
        rate: Requests per second.
        policy: Server policy of the gateways.
        loss: ``kill`` kills the processes of the lost domain, ``freeze``
            suspends them without closing their links.
    """
    with fleet.Fleet(log_level='warning') as started:
        selection_deployment.start(started, policy, cold_seconds=COLD_SECONDS)
        time.sleep(COLD_SECONDS)
        workload = load.Workload(
            urls=[
                started.members[f'gw-{d}'].url()
                for d in selection_deployment.DOMAINS
            ],
            organisations=selection_deployment.ORGANISATIONS,
            seed=seed,
            rate=rate,
            seconds=LOAD_SECONDS,
            model='small',
            versions=frozenset({'small-1'}),
        )
        running, event_times, late_runs = anyio.run(
            run_load, started, workload, loss
        )
        print(
            json.dumps(
                {
                    'seed': seed,
                    'rate': rate,
                    'policy': policy,
                    'loss': loss,
                    **running.summarise(),
                    'runs_after_drain': late_runs,
                    'events': {
                        name: {
                            'at_s': at,
                            **summarise_seconds(running.samples, at),
                        }
                        for name, at in event_times.items()
                    },
                }
            )
        )


if __name__ == '__main__':
    fire.Fire(main)
