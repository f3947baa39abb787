"""Processor time of a forwarding gateway for a request and for an event.

python -m bench.forward_price
"""

import json
import random
import tempfile
import time

import anyio
import fire
import psutil

from bench import forward_soak
from fakes import forward_server

WARM_UP = 50


async def measure(soak: forward_soak.Soak, kind: str, count: int) -> dict:
    """Returns the processor time of requests of one kind."""
    process = psutil.Process(soak.processes['gw-0'].pid)
    stream, events = None, 0
    for number in range(WARM_UP + count):
        if number == WARM_UP:
            before, events = process.cpu_times(), 0
        call = forward_soak.Call(
            f'{kind}-{number}', kind, 'key-a', 0, time.time()
        )
        stream = await soak.make_call(call, stream)
        if call.status != 200 or call.problem:
            raise RuntimeError(f'{call} failed')
        events += forward_server.count_events(call.id)
    after = process.cpu_times()
    seconds = after.user + after.system - before.user - before.system
    return {'seconds': seconds, 'requests': count, 'events': events}


async def play(soak: forward_soak.Soak, count: int) -> dict:
    """Measures both kinds of request, and an idle gateway."""
    soak.start_module('store', 'fakes.metadata_store', port=soak.store_port)
    await soak.configure()
    for service in ('desk', 'pool'):
        await soak.start_server(service, 0)
    soak.start_gateway(0)
    await anyio.sleep(3)
    process = psutil.Process(soak.processes['gw-0'].pid)
    before = process.cpu_times()
    await anyio.sleep(10)
    after = process.cpu_times()
    idle = after.user + after.system - before.user - before.system
    plain = await measure(soak, 'safe', count)
    streams = await measure(soak, 'stream', count // 4)
    request = plain['seconds'] / plain['requests']
    event = (streams['seconds'] - request * streams['requests']) / (
        streams['events']
    )
    return {
        'idle_core_share': idle / 10,
        'request_ms': round(1000 * request, 3),
        'event_ms': round(1000 * event, 3),
        'memory_mb': round(process.memory_info().rss / 1e6, 1),
    }


def run(count: int = 800) -> None:
    """Prints the figures as JSON."""
    folder = tempfile.mkdtemp(prefix='forward-price-')
    soak = forward_soak.Soak(random.random(), 1, 1, folder)
    try:
        print(json.dumps(anyio.run(play, soak, count)))
    finally:
        soak.stop_all()


if __name__ == '__main__':
    fire.Fire(run)
