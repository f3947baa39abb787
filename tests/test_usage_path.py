"""Billing and placement over real processes."""

import signal
import threading
import time

import pytest

from bench import fleet
from tests import conftest

KEY = {'authorization': 'Bearer temple-key'}
OPERATOR = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
CHAT = {'model': 'small', 'messages': [{'role': 'user', 'content': 'q'}]}


@pytest.fixture
def pair(tmp_path):
    """Two gateways and one slow plain service with an engine."""
    with fleet.Fleet(tmp_path) as started:
        started.start_platform()
        for name in ('gw-1', 'gw-2'):
            started.start_gateway(name, 'bkk-a', 'bkk')
        started.start_fake('lm-1-engine', 'engine')
        started.start_agent(
            'lm-1',
            'bkk-a',
            'bkk',
            'lm-pool',
            'lm-1-engine',
            versions='small-1,large-1',
        )
        started.start_fake('hire-engine', 'service', delay=1.0)
        started.start_agent(
            'hire-1', 'bkk-a', 'bkk', 'hire-desk', 'hire-engine', 'service'
        )
        started.wait_for_port('gw-1')
        conftest.declare_resources(started, 'gw-1')
        started.wait_until(
            lambda: (
                all(
                    started.read_health(g).get('servers') == 2
                    for g in ('gw-1', 'gw-2')
                )
                and all(
                    started.read_health(a).get('ready')
                    for a in ('lm-1', 'hire-1')
                )
            ),
            'gateways and agents are ready',
        )
        yield started


def read_totals(started, gateway='gw-2') -> dict[str, int]:
    """Returns billed requests by target."""
    status, body = fleet.call_json(
        'GET',
        f'{started.members[gateway].url("admin")}/api/v1/usage',
        headers=OPERATOR,
    )
    assert status == 200
    totals = body['organisations'].get('temple', {})
    return {target: total['requests'] for target, total in totals.items()}


def send_chat(started, gateway='gw-1') -> int:
    url = started.members[gateway].url()
    return fleet.call_json('POST', f'{url}/v1/chat/completions', CHAT, KEY)[0]


def kill_gateway_during_call(started) -> None:
    """Kills the first gateway while the service runs a call of it."""
    url = started.members['gw-1'].url()

    def call():
        try:
            fleet.call_json(
                'POST', f'{url}/services/hire-desk/deposits', {}, KEY
            )
        except OSError:
            # The connection breaks with the gateway.
            return

    thread = threading.Thread(target=call)
    thread.start()
    time.sleep(0.5)
    started.signal('gw-1', signal.SIGKILL)
    thread.join()


class TestBilledRequests:
    """Guards against answered requests that are not billed exactly once."""

    def test_requests_of_both_gateways_are_billed(self, pair):
        for gateway in ('gw-1', 'gw-2', 'gw-1'):
            assert send_chat(pair, gateway) == 200
        pair.wait_until(
            lambda: read_totals(pair).get('small-1') == 3, 'three are billed'
        )

    def test_answers_survive_the_death_of_the_agent(self, pair):
        assert send_chat(pair) == 200
        pair.signal('lm-1', signal.SIGKILL)
        pair.wait_until(
            lambda: read_totals(pair).get('small-1') == 1, 'one is billed'
        )

    def test_lost_store_answers_bill_once(self, pair):
        url = pair.members['store'].url()
        fleet.call_json('POST', f'{url}/faults', {'lose_answers': 0.5})
        for _ in range(4):
            assert send_chat(pair) == 200
            time.sleep(1)
        fleet.call_json('POST', f'{url}/faults', {'lose_answers': 0.0})
        pair.wait_until(
            lambda: read_totals(pair).get('small-1') == 4, 'four are billed'
        )
        time.sleep(3)
        assert read_totals(pair) == {'small-1': 4}

    def test_records_of_a_dead_gateway_are_handed_over(self, pair):
        kill_gateway_during_call(pair)
        pair.wait_until(
            lambda: read_totals(pair).get('hire-desk') == 1,
            'the call is billed by the other gateway',
            40,
        )
        time.sleep(3)
        assert read_totals(pair) == {'hire-desk': 1}

    def test_agent_that_dies_soon_after_its_gateway_loses_no_record(
        self, pair
    ):
        kill_gateway_during_call(pair)
        time.sleep(10)
        pair.signal('hire-1', signal.SIGKILL)
        pair.wait_until(
            lambda: read_totals(pair) == {'hire-desk': 1}, 'one is billed'
        )

    def test_graceful_stops_lose_no_record(self, pair):
        assert send_chat(pair) == 200
        assert pair.stop_gracefully('gw-1') == 0
        assert read_totals(pair) == {'small-1': 1}
        assert send_chat(pair, 'gw-2') == 200
        assert pair.stop_gracefully('lm-1') == 0
        pair.wait_until(
            lambda: read_totals(pair) == {'small-1': 2}, 'two are billed'
        )

    def test_usage_needs_the_operators_credential(self, pair):
        url = f'{pair.members["gw-1"].url("admin")}/api/v1/usage'
        assert fleet.call_json('GET', url, headers=KEY)[0] == 401


class TestOrders:
    """Guards against engines that do not get their versions."""

    @pytest.mark.parametrize('fencing', [True, False])
    def test_agent_loads_and_unloads_versions(self, tmp_path, fencing):
        with fleet.Fleet(tmp_path) as started:
            started.start_platform()
            started.start_gateway('gw-1', 'bkk-a', 'bkk')
            started.start_fake(
                'lm-1-engine',
                'engine',
                versions='old-1',
                check_fencing=fencing,
                load_seconds=0.5,
            )
            started.start_agent(
                'lm-1',
                'bkk-a',
                'bkk',
                'lm-pool',
                'lm-1-engine',
                order_versions=True,
            )
            started.wait_for_port('gw-1')
            conftest.declare_resources(started, 'gw-1')
            url = f'{started.members["lm-1-engine"].url()}/load'

            def read_versions():
                return sorted(fleet.call_json('GET', url)[1]['versions'])

            started.wait_until(
                lambda: read_versions() == ['large-1', 'small-1'],
                'the engine holds the declared versions',
            )
            started.wait_until(
                lambda: send_chat(started) == 200, 'a chat is answered'
            )
