"""Faults of links and processes, counted at the fakes."""

import signal
import threading
import time

import pytest

from bench import faults
from bench import fleet


@pytest.fixture
def make_parts(tmp_path):
    """Starts fault fleets that end with the test."""
    with fleet.Fleet(tmp_path) as started:
        yield lambda **options: faults.FaultFleet(started, **options)


class Deposit(threading.Thread):
    """A service call that may not be repeated, made in the background."""

    def __init__(self, parts, key, headers=None):
        super().__init__()
        self.parts = parts
        self.headers = {**faults.KEY, 'x-business-key': key, **(headers or {})}
        self.status, self.body = 0, {}
        self.start()

    def run(self):
        self.status, self.body = fleet.call_json(
            'POST',
            f'{self.parts.url}/services/hire-desk/deposits',
            {'amount': 500},
            self.headers,
            seconds=30,
        )


class TestSilentLink:
    """Guards against streams lost with a connection that went silent."""

    @pytest.mark.parametrize('side', ['agent', 'gateway', 'both'])
    def test_stream_is_whole_and_runs_once(self, make_parts, side):
        parts = make_parts(tokens=100, between_tokens=0.02)
        before = parts.count_runs()
        reader = faults.StreamReader(parts.url)
        name = parts.find_server(before)
        time.sleep(0.3)
        if side != 'gateway':
            parts.set_faults(name, silence='both')
        if side != 'agent':
            parts.set_faults('gw-1', silence='both')
        reader.join()
        assert reader.whole
        assert reader.content.count(b'"content"') == 100
        assert sum(parts.count_runs().values()) == 1

    def test_late_frames_of_the_old_link_are_dropped(self, make_parts):
        parts = make_parts(tokens=200, between_tokens=0.03)
        before = parts.count_runs()
        reader = faults.StreamReader(parts.url)
        name = parts.find_server(before)
        time.sleep(0.3)
        parts.set_faults(name, silence='both')
        parts.set_faults('gw-1', silence='both')
        time.sleep(4)
        parts.set_faults(name, release=True)
        parts.set_faults('gw-1', release=True)
        reader.join()
        assert reader.whole
        assert reader.content.count(b'"content"') == 200
        assert sum(parts.count_runs().values()) == 1

    def test_service_call_that_may_not_be_repeated_runs_once(self, make_parts):
        parts = make_parts(engines=0, services=2, delay=1.0)
        deposit = Deposit(parts, 'deposit-1')
        time.sleep(0.4)
        for name in ('gw-1', *parts.services):
            parts.set_faults(name, silence='both')
        deposit.join()
        assert deposit.status == 200
        assert parts.count_key('deposit-1') == 1

    def test_cut_connections_lose_nothing(self, make_parts):
        parts = make_parts(tokens=100, between_tokens=0.02)
        reader = faults.StreamReader(parts.url)
        time.sleep(0.6)
        for name in ('gw-1', *parts.engines):
            parts.set_faults(name, cut=True)
        reader.join()
        assert reader.whole
        assert sum(parts.count_runs().values()) == 1


class TestKilledAgent:
    """Guards against calls lost or doubled with their agent."""

    def test_idempotent_call_is_answered_elsewhere(self, make_parts):
        parts = make_parts(tokens=3, first_token=1.0)
        before = parts.count_runs()
        reader = faults.StreamReader(parts.url)
        name = parts.find_server(before)
        parts.fleet.signal(name, signal.SIGKILL)
        reader.join()
        assert reader.whole
        assert sum(parts.count_runs().values()) == 2

    def test_call_that_may_not_be_repeated_runs_at_most_once(self, make_parts):
        parts = make_parts(engines=0, services=2, delay=3.0)
        deposit = Deposit(parts, 'deposit-1')
        parts.fleet.wait_until(
            lambda: parts.count_key('deposit-1') == 1, 'the service runs'
        )
        name = next(n for n in parts.services if parts.read_runs(n))
        parts.fleet.signal(name, signal.SIGKILL)
        deposit.join()
        assert deposit.status == 502
        assert deposit.body['error']['verdict'] == 'may_have_run'
        assert parts.count_key('deposit-1') == 1

    def test_call_sent_to_a_dead_agent_has_no_false_verdict(self, make_parts):
        parts = make_parts(engines=0, services=1)
        parts.fleet.signal('hire-1', signal.SIGKILL)
        parts.fleet.members['hire-1'].process.wait()
        deposit = Deposit(parts, 'deposit-1')
        time.sleep(0.2)
        parts.fleet.restart('hire-1')
        deposit.join()
        if deposit.status == 200:
            assert parts.count_key('deposit-1') == 1
        elif deposit.body['error']['verdict'] == 'not_run':
            assert parts.count_key('deposit-1') == 0


class TestFrozenAgent:
    """Guards against doubled work when an agent is paused and resumes."""

    def test_call_runs_once_over_a_pause(self, make_parts):
        parts = make_parts(engines=0, services=1, delay=1.0)
        deposit = Deposit(parts, 'deposit-1')
        time.sleep(0.4)
        parts.fleet.signal('hire-1', signal.SIGSTOP)
        time.sleep(4)
        parts.fleet.signal('hire-1', signal.SIGCONT)
        deposit.join()
        assert deposit.status == 200
        assert parts.count_key('deposit-1') == 1

    def test_start_read_after_the_pause_does_not_run(self, make_parts):
        parts = make_parts(engines=0, services=2)
        for name in parts.services:
            parts.fleet.signal(name, signal.SIGSTOP)
        deposit = Deposit(parts, 'deposit-1')
        time.sleep(4)
        for name in parts.services:
            parts.fleet.signal(name, signal.SIGCONT)
        deposit.join()
        time.sleep(1)
        if deposit.status == 200:
            assert parts.count_key('deposit-1') == 1
        else:
            assert deposit.body['error']['verdict'] != 'not_run' or (
                parts.count_key('deposit-1') == 0
            )
