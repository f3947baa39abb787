"""Tests of billing and model placement with real processes."""

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
def two_gateway_fleet(tmp_path):
    """Two gateways, an engine and a slow plain service, ready to serve."""
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


def count_billed_requests(started, gateway='gw-2') -> dict[str, int]:
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
    """Kills gw-1 while the service is executing a call from it."""
    url = started.members['gw-1'].url()

    def call():
        try:
            fleet.call_json(
                'POST', f'{url}/services/hire-desk/deposits', {}, KEY
            )
        except OSError:
            # Killing the gateway closes the connection.
            return

    thread = threading.Thread(target=call)
    thread.start()
    time.sleep(0.5)
    started.signal('gw-1', signal.SIGKILL)
    thread.join()


class TestBilledRequests:
    """Guards against answered requests that are not billed exactly once.

    Records can be lost or duplicated when an agent or a gateway dies, or when
    the store does not confirm a write.
    """

    def test_requests_of_both_gateways_are_billed(self, two_gateway_fleet):
        for gateway in ('gw-1', 'gw-2', 'gw-1'):
            assert send_chat(two_gateway_fleet, gateway) == 200
        two_gateway_fleet.wait_until(
            lambda: (
                count_billed_requests(two_gateway_fleet).get('small-1') == 3
            ),
            'three are billed',
        )

    def test_answered_request_is_billed_after_agent_death(
        self, two_gateway_fleet
    ):
        assert send_chat(two_gateway_fleet) == 200
        two_gateway_fleet.signal('lm-1', signal.SIGKILL)
        two_gateway_fleet.wait_until(
            lambda: (
                count_billed_requests(two_gateway_fleet).get('small-1') == 1
            ),
            'one is billed',
        )

    def test_lost_store_responses_bill_once(self, two_gateway_fleet):
        url = two_gateway_fleet.members['store'].url()
        fleet.call_json('POST', f'{url}/faults', {'lose_answers': 0.5})
        for _ in range(4):
            assert send_chat(two_gateway_fleet) == 200
            time.sleep(1)
        fleet.call_json('POST', f'{url}/faults', {'lose_answers': 0.0})
        two_gateway_fleet.wait_until(
            lambda: (
                count_billed_requests(two_gateway_fleet).get('small-1') == 4
            ),
            'four are billed',
        )
        time.sleep(3)
        assert count_billed_requests(two_gateway_fleet) == {'small-1': 4}

    def test_records_of_a_dead_gateway_are_handed_over(
        self, two_gateway_fleet
    ):
        kill_gateway_during_call(two_gateway_fleet)
        two_gateway_fleet.wait_until(
            lambda: (
                count_billed_requests(two_gateway_fleet).get('hire-desk') == 1
            ),
            'the call is billed by the other gateway',
            40,
        )
        time.sleep(3)
        assert count_billed_requests(two_gateway_fleet) == {'hire-desk': 1}

    def test_agent_that_dies_soon_after_its_gateway_loses_no_record(
        self, two_gateway_fleet
    ):
        kill_gateway_during_call(two_gateway_fleet)
        time.sleep(10)
        two_gateway_fleet.signal('hire-1', signal.SIGKILL)
        two_gateway_fleet.wait_until(
            lambda: (
                count_billed_requests(two_gateway_fleet) == {'hire-desk': 1}
            ),
            'one is billed',
        )

    def test_graceful_stops_lose_no_record(self, two_gateway_fleet):
        assert send_chat(two_gateway_fleet) == 200
        assert two_gateway_fleet.stop_gracefully('gw-1') == 0
        assert count_billed_requests(two_gateway_fleet) == {'small-1': 1}
        assert send_chat(two_gateway_fleet, 'gw-2') == 200
        assert two_gateway_fleet.stop_gracefully('lm-1') == 0
        two_gateway_fleet.wait_until(
            lambda: count_billed_requests(two_gateway_fleet) == {'small-1': 2},
            'two are billed',
        )

    def test_usage_needs_the_operators_credential(self, two_gateway_fleet):
        url = f'{two_gateway_fleet.members["gw-1"].url("admin")}/api/v1/usage'
        assert fleet.call_json('GET', url, headers=KEY)[0] == 401


class TestVersionOrders:
    """Guards against engines without declared versions or with others."""

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
