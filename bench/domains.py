"""Service level around failure domain events: ``python -m bench.domains``.

Under constant load, a failure domain is drained and reopened by operators;
later its engines and agents are killed and started again cold. The gateway
in the domain keeps running. Prints one JSON object with the error share and
the 95th percentile of the first-token time for each second around events.
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
# Seconds of the load at which the events happen.
EVENTS = {'drain': 8.0, 'reopen': 18.0, 'loss': 30.0, 'return': 40.0}
SECONDS = 54.0
BEFORE, AFTER = 3, 8
# Callers that leave by themselves do not exist in this load, so everything
# but a whole answer is an error.
GOOD = 'answered'


def drain(started: fleet.Fleet) -> None:
    """Closes the domain."""
    set_state(started, 'closed')


def reopen(started: fleet.Fleet) -> None:
    """Opens the domain."""
    set_state(started, 'open')


def lose(started: fleet.Fleet) -> None:
    """Kills the engines and agents of the domain."""
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (host, f'{host}-engine'):
            started.signal(name, signal.SIGKILL)


def freeze(started: fleet.Fleet) -> None:
    """Stops the engines and agents of the domain without closing links.

    A host without power sends no reset, unlike a killed process.
    """
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (host, f'{host}-engine'):
            started.signal(name, signal.SIGSTOP)


def restart(started: fleet.Fleet) -> None:
    """Starts the engines and agents of the domain again."""
    for host in selection_deployment.list_engines(DOMAIN):
        for name in (f'{host}-engine', host):
            if started.members[name].process.poll() is None:
                started.signal(name, signal.SIGKILL)
            started.members[name].process.wait()
            started.restart(name)


LOSSES = {'kill': lose, 'freeze': freeze}


def set_state(started: fleet.Fleet, state: str) -> None:
    """Declares the state of the domain."""
    region = selection_deployment.DOMAINS[DOMAIN]
    started.put(
        'gw-bkk-a', 'failuredomain', DOMAIN, region=region, state=state
    )


def summarise_seconds(
    samples: list[load.Sample], event: float
) -> dict[str, list]:
    """Returns error shares and p95 first-token times by second.

    Requests count in the second in which they started, relative to the
    event.
    """
    seconds, shares, times, counts = [], [], [], []
    for second in range(-BEFORE, AFTER):
        start = event + second
        found = [s for s in samples if start <= s.started < start + 1]
        first = load.make_histogram()
        for sample in found:
            if sample.kind == GOOD and sample.first_token is not None:
                load.record_seconds(first, sample.first_token)
        bad = sum(s.kind != GOOD for s in found)
        seconds.append(second)
        counts.append(len(found))
        shares.append(round(bad / len(found), 3) if found else None)
        times.append(load.read_percentiles(first)['p95'])
    return {
        'second': seconds,
        'requests': counts,
        'error_share': shares,
        'p95_first_token_s': times,
    }


def count_late_runs(started: fleet.Fleet, closed_at: float) -> dict:
    """Returns runs in the drained domain by seconds after the drain.

    Args:
        started: The fleet.
        closed_at: Time of the drain in seconds since the epoch.
    """
    runs = selection_deployment.read_runs(started)
    late = [
        run['start'] - closed_at
        for host in selection_deployment.list_engines(DOMAIN)
        for run in runs[host]
        if closed_at < run['start'] < closed_at + 9
    ]
    return {'count': len(late), 'latest_s': round(max(late, default=0), 2)}


async def drive(started: fleet.Fleet, workload: load.Workload, loss: str):
    """Sends the load and makes the events happen.

    Returns:
        The load, the real times of events in seconds of the load, and the
        runs in the domain after the drain.
    """
    actions = {
        'drain': drain,
        'reopen': reopen,
        'loss': LOSSES[loss],
        'return': restart,
    }
    running = load.LoadGenerator(workload)
    times, late = {}, {}
    async with anyio.create_task_group() as group:
        begun = time.monotonic()
        group.start_soon(running.run)
        for name, due in EVENTS.items():
            await anyio.sleep(max(0.0, begun + due - time.monotonic()))
            if name == 'reopen':
                closed_at = time.time() - (
                    time.monotonic() - begun - times['drain']
                )
                late = await to_thread.run_sync(
                    count_late_runs, started, closed_at
                )
            times[name] = round(time.monotonic() - begun, 2)
            await to_thread.run_sync(actions[name], started)
    return running, times, late


def main(
    seed: int = 1,
    rate: float = 25,
    policy: str = 'affinity',
    loss: str = 'kill',
) -> None:
    """Measures the events for one policy.

    Args:
        seed: Seed of the load.
        rate: Requests a second.
        policy: Server policy of the gateways.
        loss: ``kill`` ends the processes of the lost domain, ``freeze``
            lets its links fall silent.
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
            seconds=SECONDS,
            model='small',
            versions=frozenset({'small-1'}),
        )
        running, times, late = anyio.run(drive, started, workload, loss)
        print(
            json.dumps(
                {
                    'seed': seed,
                    'rate': rate,
                    'policy': policy,
                    'loss': loss,
                    **running.summarise(),
                    'runs_after_drain': late,
                    'events': {
                        name: {
                            'at_s': at,
                            **summarise_seconds(running.samples, at),
                        }
                        for name, at in times.items()
                    },
                }
            )
        )


if __name__ == '__main__':
    fire.Fire(main)
