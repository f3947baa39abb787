"""Agent processes that restart, drain and report their load."""

import json
import signal
import threading
import time
import urllib.request

import httpcore
import pytest

from bench import fleet
from tests import conftest

KEY = {
    'authorization': 'Bearer temple-key',
    'content-type': 'application/json',
}
ENGINE = {'tokens': 40, 'between_tokens': 0.05, 'versions': 'small-1,large-1'}


@pytest.fixture
def pair(tmp_path):
    """One gateway and two engines that stream for two seconds."""
    with fleet.Fleet(tmp_path) as started:
        started.start_platform()
        started.start_gateway('gw-1', 'bkk-a', 'bkk')
        for name in ('lm-1', 'lm-2'):
            started.start_fake(f'{name}-engine', 'engine', **ENGINE)
            started.start_agent(
                name, 'bkk-a', 'bkk', 'lm-pool', f'{name}-engine'
            )
        started.wait_for_port('gw-1')
        conftest.declare_resources(started, 'gw-1')
        started.put('gw-1', 'pool', 'lm-pool', cold_window=2, warm_window=4)
        started.wait_until(lambda: is_ready(started), 'agents are ready')
        yield started


def is_ready(started):
    return started.read_health('gw-1').get('servers') == 2 and all(
        started.read_health(n).get('ready')
        and read_metric(started, n, 'chivejunction_config_revision') >= 10
        for n in ('lm-1', 'lm-2')
    )


def read_metric(started, member, name):
    url = started.members[member].url('admin')
    with urllib.request.urlopen(f'{url}/metrics', timeout=5) as answer:
        for line in answer.read().decode().splitlines():
            if line.startswith(f'{name} '):
                return float(line.split()[-1])
    return 0.0


def read_runs(started, name):
    url = started.members[f'{name}-engine'].url()
    return fleet.call_json('GET', f'{url}/runs')[1]


def stream(started, results):
    request = {
        'model': 'small',
        'messages': [{'role': 'user', 'content': 'hallo'}],
        'stream': True,
    }
    try:
        answer = httpcore.request(
            'POST',
            f'{started.members["gw-1"].url()}/v1/chat/completions',
            headers=KEY,
            content=json.dumps(request).encode(),
        )
        results.append((answer.status, answer.content))
    except httpcore.ProtocolError as exc:
        results.append((0, repr(exc).encode()))


def start_streams(started, count, results):
    threads = [
        threading.Thread(target=stream, args=(started, results))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads


def is_whole(result):
    status, content = result
    return (
        status == 200
        and content.count(b'"content": "w') == ENGINE['tokens']
        and content.endswith(b'data: [DONE]\n\n')
    )


class TestDrain:
    """Guards against a shutdown that cuts or loses work."""

    def test_sigterm_under_streams_cuts_none(self, pair):
        results = []
        threads = start_streams(pair, 12, results)
        pair.wait_until(
            lambda: pair.read_health('lm-1')['running'], 'lm-1 runs'
        )
        time.sleep(0.3)
        pair.signal('lm-1', signal.SIGTERM)
        time.sleep(0.1)
        assert pair.read_health('lm-1')['leaving']
        threads += start_streams(pair, 4, results)
        for thread in threads:
            thread.join()
        assert [r for r in results if not is_whole(r)] == []
        attempts = read_runs(pair, 'lm-1') + read_runs(pair, 'lm-2')
        assert len(attempts) == 16
        assert pair.members['lm-1'].process.wait(30) == 0

    def test_second_signal_ends_it_at_once(self, pair):
        results = []
        threads = start_streams(pair, 6, results)
        pair.wait_until(
            lambda: pair.read_health('lm-1')['running'], 'lm-1 runs'
        )
        pair.signal('lm-1', signal.SIGTERM)
        time.sleep(0.2)
        assert pair.members['lm-1'].process.poll() is None
        pair.signal('lm-1', signal.SIGTERM)
        assert pair.members['lm-1'].process.wait(3) == 1
        for thread in threads:
            thread.join()


class TestSlowStart:
    """Guards against load on an engine that came back cold."""

    def test_engine_restart_resets_the_window(self, pair):
        for _ in range(3):
            threads = start_streams(pair, 8, [])
            for thread in threads:
                thread.join()
        grown = read_metric(pair, 'lm-1', 'chivejunction_window')
        assert grown > 2
        pair.members['lm-1-engine'].process.kill()
        pair.members['lm-1-engine'].process.wait()
        pair.restart('lm-1-engine')
        pair.wait_until(
            lambda: read_metric(pair, 'lm-1', 'chivejunction_window') == 2,
            'the window is cold again',
            5,
        )

    def test_versions_of_the_engine_reach_the_gateway(self, pair):
        # The agents have no version setting: only the load report names
        # the versions, and only a heartbeat can carry them to the gateway.
        results = []
        stream(pair, results)
        assert is_whole(results[0])
