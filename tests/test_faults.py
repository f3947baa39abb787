"""Tests of link and process faults; runs are counted by the fakes."""

import json
import signal
import socket
import threading
import time

import httpcore
import pytest

from bench import faults
from bench import fleet

QUESTION = {'role': 'user', 'content': 'มีเครื่องขยายเสียงไหม'}


@pytest.fixture
def make_fault_fleet(tmp_path):
    """Returns a function that starts a fault fleet for one test."""
    with fleet.Fleet(tmp_path) as running_fleet:
        yield lambda **options: faults.FaultFleet(running_fleet, **options)


class Deposit(threading.Thread):
    """A service call that must not be repeated, sent by a thread."""

    def __init__(self, fault_fleet, key, headers=None, gateway='gw-1'):
        super().__init__()
        self.url = fault_fleet.fleet.members[gateway].url()
        self.headers = {
            **faults.AUTHORIZATION_HEADERS,
            'x-business-key': key,
            **(headers or {}),
        }
        self.status, self.body = 0, {}
        self.start()

    def run(self):
        self.status, self.body = fleet.call_json(
            'POST',
            f'{self.url}/services/hire-desk/deposits',
            {'amount': 500},
            self.headers,
            seconds=30,
        )


class TestSilentLink:
    """Guards against losing streams when a connection becomes silent.

    The connection stays open but no bytes arrive, so no error is raised.
    """

    @pytest.mark.parametrize('side', ['agent', 'gateway', 'both'])
    def test_stream_is_complete_and_runs_once(self, make_fault_fleet, side):
        fault_fleet = make_fault_fleet(tokens=100, between_tokens=0.02)
        before = fault_fleet.count_runs()
        reader = faults.StreamReader(fault_fleet.url)
        name = fault_fleet.find_server(before)
        time.sleep(0.3)
        fault_time = time.monotonic()
        if side != 'gateway':
            fault_fleet.set_faults(name, silence='both')
        if side != 'agent':
            fault_fleet.set_faults('gw-1', silence='both')
        reader.join()
        assert reader.is_complete
        assert reader.longest_gap(fault_time) < 4.5
        assert reader.content.count(b'"content"') == 100
        assert sum(fault_fleet.count_runs().values()) == 1

    def test_late_frames_of_the_old_link_are_dropped(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(tokens=200, between_tokens=0.03)
        before = fault_fleet.count_runs()
        reader = faults.StreamReader(fault_fleet.url)
        name = fault_fleet.find_server(before)
        time.sleep(0.3)
        fault_fleet.set_faults(name, silence='both')
        fault_fleet.set_faults('gw-1', silence='both')
        time.sleep(4)
        fault_fleet.set_faults(name, release=True)
        fault_fleet.set_faults('gw-1', release=True)
        reader.join()
        assert reader.is_complete
        assert reader.content.count(b'"content"') == 200
        assert sum(fault_fleet.count_runs().values()) == 1

    def test_service_call_that_may_not_be_repeated_runs_once(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=2, delay=1.0)
        deposit = Deposit(fault_fleet, 'deposit-1')
        time.sleep(0.4)
        for name in ('gw-1', *fault_fleet.services):
            fault_fleet.set_faults(name, silence='both')
        deposit.join()
        assert deposit.status == 200
        assert fault_fleet.count_key_runs('deposit-1') == 1

    def test_stream_survives_closed_connections(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(tokens=100, between_tokens=0.02)
        reader = faults.StreamReader(fault_fleet.url)
        time.sleep(0.6)
        for name in ('gw-1', *fault_fleet.engines):
            fault_fleet.set_faults(name, cut=True)
        reader.join()
        assert reader.is_complete
        assert sum(fault_fleet.count_runs().values()) == 1


class TestKilledAgent:
    """Guards against calls lost or run twice when their agent is killed."""

    def test_idempotent_call_is_retried_on_another_server(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(tokens=3, first_token=1.0)
        before = fault_fleet.count_runs()
        reader = faults.StreamReader(fault_fleet.url)
        name = fault_fleet.find_server(before)
        fault_fleet.fleet.signal(name, signal.SIGKILL)
        reader.join()
        assert reader.is_complete
        assert sum(fault_fleet.count_runs().values()) == 2

    def test_call_that_may_not_be_repeated_runs_at_most_once(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=2, delay=3.0)
        deposit = Deposit(fault_fleet, 'deposit-1')
        fault_fleet.fleet.wait_until(
            lambda: fault_fleet.count_key_runs('deposit-1') == 1,
            'the service runs',
        )
        name = next(
            n for n in fault_fleet.services if fault_fleet.read_runs(n)
        )
        fault_fleet.fleet.signal(name, signal.SIGKILL)
        deposit.join()
        assert deposit.status == 502
        assert deposit.body['error']['verdict'] == 'may_have_run'
        assert fault_fleet.count_key_runs('deposit-1') == 1

    def test_verdict_of_a_call_sent_to_a_killed_agent_is_true(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=1)
        fault_fleet.fleet.signal('hire-1', signal.SIGKILL)
        fault_fleet.fleet.members['hire-1'].process.wait()
        deposit = Deposit(fault_fleet, 'deposit-1')
        time.sleep(0.2)
        fault_fleet.fleet.restart('hire-1')
        deposit.join()
        if deposit.status == 200:
            assert fault_fleet.count_key_runs('deposit-1') == 1
        elif deposit.body['error']['verdict'] == 'not_run':
            assert fault_fleet.count_key_runs('deposit-1') == 0


class TestFrozenAgent:
    """Guards against second runs when an agent is paused and resumes."""

    def test_call_runs_once_when_paused(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(engines=0, services=1, delay=1.0)
        deposit = Deposit(fault_fleet, 'deposit-1')
        time.sleep(0.4)
        fault_fleet.fleet.signal('hire-1', signal.SIGSTOP)
        time.sleep(4)
        fault_fleet.fleet.signal('hire-1', signal.SIGCONT)
        deposit.join()
        assert deposit.status == 200
        assert fault_fleet.count_key_runs('deposit-1') == 1

    def test_refused_call_does_not_run_after_the_pause(self, make_fault_fleet):
        """The agents read the Start message only after the time-out."""
        fault_fleet = make_fault_fleet(engines=0, services=2)
        for name in fault_fleet.services:
            fault_fleet.fleet.signal(name, signal.SIGSTOP)
        deposit = Deposit(fault_fleet, 'deposit-1')
        time.sleep(4)
        for name in fault_fleet.services:
            fault_fleet.fleet.signal(name, signal.SIGCONT)
        deposit.join()
        time.sleep(1)
        if deposit.status == 200:
            assert fault_fleet.count_key_runs('deposit-1') == 1
        else:
            assert deposit.body['error']['verdict'] != 'not_run' or (
                fault_fleet.count_key_runs('deposit-1') == 0
            )


class TestEngineFailure:
    """Guards against truncated responses that a client accepts as complete."""

    def test_truncated_stream_ends_with_an_error(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(
            engines=1, tokens=300, between_tokens=0.02
        )
        reader = faults.StreamReader(fault_fleet.url)
        time.sleep(0.8)
        fault_fleet.fleet.signal('lm-1-server', signal.SIGKILL)
        reader.join()
        assert isinstance(reader.error, httpcore.RemoteProtocolError)
        assert b'[DONE]' not in reader.content
        assert b'"code": "server_failed"' in reader.content

    def test_caller_disconnect_cancels_the_attempt(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(
            engines=1, tokens=500, between_tokens=0.02
        )
        body = json.dumps(
            {'model': 'small', 'stream': True, 'messages': [QUESTION]}
        ).encode()
        with httpcore.stream(
            'POST',
            f'{fault_fleet.url}/v1/chat/completions',
            headers={
                **faults.AUTHORIZATION_HEADERS,
                'content-type': 'application/json',
            },
            content=body,
        ) as response:
            # Keep the iterator: httpcore closes the connection with it.
            chunks = response.iter_stream()
            next(chunks)
            assert fault_fleet.fleet.read_health('lm-1')['running'] == 1
        fault_fleet.fleet.wait_until(
            lambda: fault_fleet.fleet.read_health('lm-1')['running'] == 0,
            'the attempt is cancelled',
            seconds=3,
        )


class TestGracefulStop:
    """Guards against requests cut off by a stopping gateway."""

    def test_streams_end_and_new_requests_are_refused(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(tokens=150, between_tokens=0.02)
        readers = [faults.StreamReader(fault_fleet.url) for _ in range(8)]
        time.sleep(0.5)
        fault_fleet.fleet.signal('gw-1', signal.SIGTERM)
        time.sleep(0.3)
        status, body = fleet.call_json(
            'POST',
            f'{fault_fleet.url}/v1/chat/completions',
            {'model': 'small', 'messages': [QUESTION]},
            faults.AUTHORIZATION_HEADERS,
        )
        assert status == 503
        assert body['error']['code'] == 'leaving'
        assert body['error']['verdict'] == 'not_run'
        for reader in readers:
            reader.join()
            assert reader.is_complete
        assert fault_fleet.fleet.members['gw-1'].process.wait(5) == 0
        assert sum(fault_fleet.count_runs().values()) == 8


class TestIdempotencyKeys:
    """Guards against a second run with one idempotency key."""

    def test_repeat_returns_the_response_of_the_first_run(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=2)
        calls = [Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'})]
        calls[0].join()
        for _ in range(3):
            calls.append(Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'}))
            calls[-1].join()
        assert [c.status for c in calls] == [200] * 4
        assert [c.body for c in calls] == [calls[0].body] * 4
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_repeats_at_the_same_time_share_one_run(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(engines=0, services=2, delay=0.5)
        calls = [
            Deposit(fault_fleet, 'd-1', {'idempotency-key': 'a/b'})
            for _ in range(6)
        ]
        for call in calls:
            call.join()
        assert [c.status for c in calls] == [200] * 6
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_key_reused_for_another_request_is_refused(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(engines=0, services=1)
        Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'}).join()
        status, body = fleet.call_json(
            'POST',
            f'{fault_fleet.url}/services/hire-desk/deposits',
            {'amount': 501},
            {
                **faults.AUTHORIZATION_HEADERS,
                'idempotency-key': 'k',
                'x-business-key': 'd-1',
            },
        )
        assert (status, body['error']['code']) == (422, 'key_reused')
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_equal_keys_of_two_organisations_are_separate(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=1)
        for name in ('temple', 'school'):
            call = Deposit(
                fault_fleet,
                'd-1',
                {
                    'idempotency-key': 'k',
                    'authorization': f'Bearer {name}-key',
                },
            )
            call.join()
            assert call.status == 200
        assert fault_fleet.count_key_runs('d-1') == 2

    def test_store_down_refuses_keyed_calls_only(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(engines=0, services=1)
        store = fault_fleet.fleet.members['store'].url()
        fleet.call_json('POST', f'{store}/faults', {'down': True})
        keyed = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'})
        plain = Deposit(fault_fleet, 'd-2')
        keyed.join()
        plain.join()
        assert keyed.status == 503
        assert keyed.body['error']['code'] == 'store_unavailable'
        assert keyed.body['error']['verdict'] == 'not_run'
        assert plain.status == 200
        assert fault_fleet.count_key_runs('d-1') == 0
        fleet.call_json('POST', f'{store}/faults', {'down': False})
        again = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'})
        again.join()
        assert again.status == 200
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_lost_store_response_is_resolved_by_a_read(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(engines=0, services=1)
        Deposit(fault_fleet, 'd-0', {'idempotency-key': 'k0'}).join()
        store = fault_fleet.fleet.members['store'].url()
        fleet.call_json('POST', f'{store}/faults', {'lose_answers': 1.0})
        for _ in range(2):
            call = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k1'})
            call.join()
            assert call.status == 200
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_repeat_after_the_agent_restarted_is_not_run(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=2)
        Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'}).join()
        name = next(
            n for n in fault_fleet.services if fault_fleet.read_runs(n)
        )
        fault_fleet.fleet.signal(name, signal.SIGKILL)
        fault_fleet.fleet.members[name].process.wait()
        fault_fleet.fleet.restart(name)
        fault_fleet.wait_until_ready()
        again = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'})
        again.join()
        assert again.status == 409
        assert again.body['error']['verdict'] == 'may_have_run'
        assert fault_fleet.count_key_runs('d-1') == 1

    def test_repeat_at_another_gateway_does_not_disturb_the_first_call(
        self, make_fault_fleet
    ):
        fault_fleet = make_fault_fleet(engines=0, services=1, delay=2.0)
        fault_fleet.fleet.start_gateway('gw-2', 'bkk-a', 'bkk')
        fault_fleet.fleet.wait_until(
            lambda: fault_fleet.fleet.read_health('gw-2').get('servers') == 1,
            'the second gateway has a link',
        )
        start = time.monotonic()
        first = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'})
        time.sleep(0.5)
        repeat = Deposit(fault_fleet, 'd-1', {'idempotency-key': 'k'}, 'gw-2')
        first.join()
        repeat.join()
        assert (first.status, repeat.status) == (200, 200)
        assert first.body == repeat.body
        assert time.monotonic() - start < 5
        assert fault_fleet.count_key_runs('d-1') == 1


class TestMalformedRequests:
    """Guards against malformed requests that disturb other requests."""

    HEAD = (
        b'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'
        b'authorization: Bearer temple-key\r\n'
    )

    def exchange(self, fault_fleet, payload):
        """Returns the response of the gateway to raw bytes."""
        port = fault_fleet.fleet.members['gw-1'].ports['listen']
        with socket.create_connection(('127.0.0.1', port), 5) as sock:
            sock.settimeout(3)
            response = b''
            try:
                sock.sendall(payload)
                while chunk := sock.recv(65536):
                    response += chunk
            except OSError:
                pass
            return response

    def test_other_streams_complete(self, make_fault_fleet):
        fault_fleet = make_fault_fleet(tokens=500, between_tokens=0.02)
        readers = [faults.StreamReader(fault_fleet.url) for _ in range(4)]
        time.sleep(0.5)
        malformed_requests = [
            b'\x00\xff garbage\r\n\r\n',
            self.HEAD + b'content-length: 5\r\ncontent-length: 6\r\n\r\n{}',
            self.HEAD + b'content-length: -1\r\n\r\n',
            self.HEAD + b'transfer-encoding: chunked\r\n\r\nzz\r\n{}\r\n',
            self.HEAD + b'x-a: ' + b'a' * 200_000 + b'\r\n\r\n',
        ]
        for payload in malformed_requests:
            response = self.exchange(fault_fleet, payload)
            assert not response or response.split()[1].startswith(b'4')
        large = self.HEAD + b'content-length: 6000000\r\n\r\n'
        response = self.exchange(fault_fleet, large + b'x' * 6_000_000)
        assert b' 413 ' in response.split(b'\r\n')[0]
        assert b'"code": "too_large"' in response
        for reader in readers:
            reader.join()
            assert reader.is_complete
        assert sum(fault_fleet.count_runs().values()) == 4
