"""Processor time of a forwarding gateway per request and stream event.

Run as ``python -m bench.forward_price``; prints one JSON object.
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

WARMUP_REQUESTS = 50


async def measure(soak: forward_soak.Soak, kind: str, count: int) -> dict:
    """Returns processor seconds, requests and events of one kind of request.

    Args:
        soak: Processes to send the requests to.
        kind: Kind of the requests, ``safe`` or ``stream``.
        count: Number of measured requests.

    Raises:
        RuntimeError: A request failed.
    """
    process = psutil.Process(soak.processes['gw-0'].pid)
    stream, events = None, 0
    for number in range(WARMUP_REQUESTS + count):
        if number == WARMUP_REQUESTS:
            before, events = process.cpu_times(), 0
        call = forward_soak.Call(
            f'{kind}-{number}', kind, 'key-a', 0, time.time()
        )
        stream = await soak.make_call(call, stream)
        if call.status != 200 or call.problem:
            raise RuntimeError(
                f'expected status 200 without a problem, got {call}'
            )
        events += forward_server.count_events(call.id)
    after = process.cpu_times()
    seconds = after.user + after.system - before.user - before.system
    return {'seconds': seconds, 'requests': count, 'events': events}


async def measure_all(soak: forward_soak.Soak, count: int) -> dict:
    """Measures an idle gateway and requests with and without a stream."""
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
    idle_seconds = after.user + after.system - before.user - before.system
    plain_figures = await measure(soak, 'safe', count)
    stream_figures = await measure(soak, 'stream', count // 4)
    seconds_per_request = plain_figures['seconds'] / plain_figures['requests']
    seconds_per_event = (
        stream_figures['seconds']
        - seconds_per_request * stream_figures['requests']
    ) / (stream_figures['events'])
    return {
        'idle_core_share': idle_seconds / 10,
        'request_ms': round(1000 * seconds_per_request, 3),
        'event_ms': round(1000 * seconds_per_event, 3),
        'memory_mb': round(process.memory_info().rss / 1e6, 1),
    }


def run(count: int = 800) -> None:
    """Prints the figures as JSON.

    Args:
        count: Number of plain requests; a quarter as many are streamed.
    """
    folder = tempfile.mkdtemp(prefix='forward-price-')
    soak = forward_soak.Soak(random.random(), 1, 1, folder)
    try:
        print(json.dumps(anyio.run(measure_all, soak, count)))
    finally:
        soak.stop_all()


if __name__ == '__main__':
    fire.Fire(run)
