"""Tests of agents that drain, restart and report their load."""

import json
import signal
import threading
import time
import urllib.request

import anyio
import httpcore
import pytest

from bench import fleet
from chivejunction.coordination import draining
from chivejunction.protocol import messages
from tests import agent_rig as rigs
from tests import conftest

HEADERS = {
    'authorization': 'Bearer temple-key',
    'content-type': 'application/json',
}
ENGINE_OPTIONS = {
    'tokens': 40,
    'between_tokens': 0.05,
    'versions': 'small-1,large-1',
}


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def pair(tmp_path):
    """One gateway and two engines that stream for two seconds."""
    with fleet.Fleet(tmp_path) as started:
        started.start_platform()
        started.start_gateway('gw-1', 'bkk-a', 'bkk')
        for name in ('lm-1', 'lm-2'):
            started.start_fake(f'{name}-engine', 'engine', **ENGINE_OPTIONS)
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
    with urllib.request.urlopen(f'{url}/metrics', timeout=5) as response:
        for line in response.read().decode().splitlines():
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
        response = httpcore.request(
            'POST',
            f'{started.members["gw-1"].url()}/v1/chat/completions',
            headers=HEADERS,
            content=json.dumps(request).encode(),
        )
        results.append((response.status, response.content))
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


def is_complete(result):
    status, content = result
    return (
        status == 200
        and content.count(b'"content": "w') == ENGINE_OPTIONS['tokens']
        and content.endswith(b'data: [DONE]\n\n')
    )


class TestDrain:
    """Guards against running streams that a shutdown of the agent cuts off.

    The agent receives SIGTERM while streams run and new requests arrive.
    """

    def test_sigterm_lets_running_streams_finish(self, pair):
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
        assert [r for r in results if not is_complete(r)] == []
        attempts = read_runs(pair, 'lm-1') + read_runs(pair, 'lm-2')
        assert len(attempts) == 16
        assert pair.members['lm-1'].process.wait(30) == 0

    def test_second_signal_exits_at_once(self, pair):
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
    """Guards against full load on an engine that has just restarted.

    The agent must notice the restart and return to the cold window.
    """

    def test_engine_restart_resets_the_window(self, pair):
        for _ in range(3):
            threads = start_streams(pair, 8, [])
            for thread in threads:
                thread.join()
        grown_window = read_metric(pair, 'lm-1', 'chivejunction_window')
        assert grown_window > 2
        pair.members['lm-1-engine'].process.kill()
        pair.members['lm-1-engine'].process.wait()
        pair.restart('lm-1-engine')
        pair.wait_until(
            lambda: read_metric(pair, 'lm-1', 'chivejunction_window') == 2,
            'the window is cold again',
            5,
        )

    def test_versions_of_the_engine_reach_the_gateway(self, pair):
        # The agents have no version setting: the versions are known only from
        # the load reports of the engines, sent on in heartbeats.
        results = []
        stream(pair, results)
        assert is_complete(results[0])


def make_held_script(rig, resume):
    async def script(stream, attempt):
        await stream.send(rigs.HEAD % attempt + rigs.TOKEN)
        await resume.wait()
        await stream.send(rigs.TOKEN + rigs.DONE)

    return script


class TestUndeliveredEnds:
    """Guards against an exit before a reconnecting gateway has the response.

    The link fails before the end of an attempt is sent; the gateway asks for
    the attempt again after it has reconnected.
    """

    @pytest.mark.anyio
    async def test_drain_waits_for_a_gateway_that_reconnects(self):
        async with rigs.open_rig() as rig:
            drained = anyio.Event()
            rig.engine.script = make_held_script(rig, resume := anyio.Event())
            rig.start('one', idempotent=False)
            await rig.peer.wait_for('one', messages.Data)
            rig.peer.closed = True
            send, receive = anyio.create_memory_object_stream(2)
            drain = draining.Drain(rig.admission, rig.executor, list, 60)

            async def run_drain():
                assert await drain.run(aiter(receive))
                drained.set()

            rig.group.start_soon(run_drain)
            await send.send(1)
            resume.set()
            attempt = rig.table.get('one')
            await rig.wait_until(lambda: attempt.ended)
            # Longer than the drain waits after a sent end.
            await anyio.sleep(draining.RECONNECT_GRACE_SECONDS + 1)
            assert not drained.is_set()
            second_peer = rigs.StubPeer()
            rig.handle(messages.Resolve('one', 'agent-1', 0), second_peer)
            assert (await second_peer.wait_for_end('one')).error == ''
            assert second_peer.body('one') == 2 * rigs.TOKEN + rigs.DONE
            await rig.wait_until(drained.is_set, 10)

    @pytest.mark.anyio
    async def test_time_limit_ends_the_drain(self):
        async with rigs.open_rig() as rig:
            rig.engine.script = make_held_script(rig, anyio.Event())
            rig.start('one')
            await rig.peer.wait_for('one', messages.Data)
            announced = []
            send, receive = anyio.create_memory_object_stream(2)
            drain = draining.Drain(
                rig.admission,
                rig.executor,
                lambda: announced.append(rig.admission.load()['s']),
                0.3,
            )
            await send.send(1)
            with anyio.fail_after(2):
                assert not await drain.run(aiter(receive))
            assert announced == ['leaving']
