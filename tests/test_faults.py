"""Faults of links and processes, counted at the fakes."""

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
def make_parts(tmp_path):
    """Starts fault fleets that end with the test."""
    with fleet.Fleet(tmp_path) as started:
        yield lambda **options: faults.FaultFleet(started, **options)


class Deposit(threading.Thread):
    """A service call that may not be repeated, made in the background."""

    def __init__(self, parts, key, headers=None, gateway='gw-1'):
        super().__init__()
        self.url = parts.fleet.members[gateway].url()
        self.headers = {**faults.KEY, 'x-business-key': key, **(headers or {})}
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
    """Guards against streams lost with a connection that went silent."""

    @pytest.mark.parametrize('side', ['agent', 'gateway', 'both'])
    def test_stream_is_whole_and_runs_once(self, make_parts, side):
        parts = make_parts(tokens=100, between_tokens=0.02)
        before = parts.count_runs()
        reader = faults.StreamReader(parts.url)
        name = parts.find_server(before)
        time.sleep(0.3)
        fault_time = time.monotonic()
        if side != 'gateway':
            parts.set_faults(name, silence='both')
        if side != 'agent':
            parts.set_faults('gw-1', silence='both')
        reader.join()
        assert reader.whole
        assert reader.longest_gap(fault_time) < 4.5
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


class TestEngineFailure:
    """Guards against broken answers that a real client takes for whole."""

    def test_stream_is_visibly_broken(self, make_parts):
        parts = make_parts(engines=1, tokens=300, between_tokens=0.02)
        reader = faults.StreamReader(parts.url)
        time.sleep(0.8)
        parts.fleet.signal('lm-1-server', signal.SIGKILL)
        reader.join()
        assert isinstance(reader.error, httpcore.RemoteProtocolError)
        assert b'[DONE]' not in reader.content
        assert b'"code": "server_failed"' in reader.content

    def test_caller_that_leaves_frees_the_engine(self, make_parts):
        parts = make_parts(engines=1, tokens=500, between_tokens=0.02)
        body = json.dumps(
            {'model': 'small', 'stream': True, 'messages': [QUESTION]}
        ).encode()
        with httpcore.stream(
            'POST',
            f'{parts.url}/v1/chat/completions',
            headers={**faults.KEY, 'content-type': 'application/json'},
            content=body,
        ) as answer:
            # Held on to: httpcore closes the connection with its iterator.
            chunks = answer.iter_stream()
            next(chunks)
            assert parts.fleet.read_health('lm-1')['running'] == 1
        parts.fleet.wait_until(
            lambda: parts.fleet.read_health('lm-1')['running'] == 0,
            'the attempt is cancelled',
            seconds=3,
        )


class TestGracefulStop:
    """Guards against requests that a stopping gateway cuts."""

    def test_streams_end_and_new_requests_are_refused(self, make_parts):
        parts = make_parts(tokens=150, between_tokens=0.02)
        readers = [faults.StreamReader(parts.url) for _ in range(8)]
        time.sleep(0.5)
        parts.fleet.signal('gw-1', signal.SIGTERM)
        time.sleep(0.3)
        status, body = fleet.call_json(
            'POST',
            f'{parts.url}/v1/chat/completions',
            {'model': 'small', 'messages': [QUESTION]},
            faults.KEY,
        )
        assert status == 503
        assert body['error']['code'] == 'leaving'
        assert body['error']['verdict'] == 'not_run'
        for reader in readers:
            reader.join()
            assert reader.whole
        assert parts.fleet.members['gw-1'].process.wait(5) == 0
        assert sum(parts.count_runs().values()) == 8


class TestIdempotencyKeys:
    """Guards against a second run under one key, counted at the service."""

    def test_repeat_gets_the_answer_of_the_first_run(self, make_parts):
        parts = make_parts(engines=0, services=2)
        calls = [Deposit(parts, 'd-1', {'idempotency-key': 'k'})]
        calls[0].join()
        for _ in range(3):
            calls.append(Deposit(parts, 'd-1', {'idempotency-key': 'k'}))
            calls[-1].join()
        assert [c.status for c in calls] == [200] * 4
        assert [c.body for c in calls] == [calls[0].body] * 4
        assert parts.count_key('d-1') == 1

    def test_repeats_at_the_same_time_share_one_run(self, make_parts):
        parts = make_parts(engines=0, services=2, delay=0.5)
        calls = [
            Deposit(parts, 'd-1', {'idempotency-key': 'a/b'}) for _ in range(6)
        ]
        for call in calls:
            call.join()
        assert [c.status for c in calls] == [200] * 6
        assert parts.count_key('d-1') == 1

    def test_key_with_another_request_is_refused(self, make_parts):
        parts = make_parts(engines=0, services=1)
        Deposit(parts, 'd-1', {'idempotency-key': 'k'}).join()
        status, body = fleet.call_json(
            'POST',
            f'{parts.url}/services/hire-desk/deposits',
            {'amount': 501},
            {**faults.KEY, 'idempotency-key': 'k', 'x-business-key': 'd-1'},
        )
        assert (status, body['error']['code']) == (422, 'key_reused')
        assert parts.count_key('d-1') == 1

    def test_keys_of_organisations_are_apart(self, make_parts):
        parts = make_parts(engines=0, services=1)
        for name in ('temple', 'school'):
            call = Deposit(
                parts,
                'd-1',
                {
                    'idempotency-key': 'k',
                    'authorization': f'Bearer {name}-key',
                },
            )
            call.join()
            assert call.status == 200
        assert parts.count_key('d-1') == 2

    def test_store_down_refuses_keyed_calls_only(self, make_parts):
        parts = make_parts(engines=0, services=1)
        store = parts.fleet.members['store'].url()
        fleet.call_json('POST', f'{store}/faults', {'down': True})
        keyed = Deposit(parts, 'd-1', {'idempotency-key': 'k'})
        plain = Deposit(parts, 'd-2')
        keyed.join()
        plain.join()
        assert keyed.status == 503
        assert keyed.body['error']['code'] == 'store_unavailable'
        assert keyed.body['error']['verdict'] == 'not_run'
        assert plain.status == 200
        assert parts.count_key('d-1') == 0
        fleet.call_json('POST', f'{store}/faults', {'down': False})
        again = Deposit(parts, 'd-1', {'idempotency-key': 'k'})
        again.join()
        assert again.status == 200
        assert parts.count_key('d-1') == 1

    def test_lost_store_answer_is_decided_by_a_read(self, make_parts):
        parts = make_parts(engines=0, services=1)
        Deposit(parts, 'd-0', {'idempotency-key': 'k0'}).join()
        store = parts.fleet.members['store'].url()
        fleet.call_json('POST', f'{store}/faults', {'lose_answers': 1.0})
        for _ in range(2):
            call = Deposit(parts, 'd-1', {'idempotency-key': 'k1'})
            call.join()
            assert call.status == 200
        assert parts.count_key('d-1') == 1

    def test_repeat_after_the_agent_restarted_is_not_run(self, make_parts):
        parts = make_parts(engines=0, services=2)
        Deposit(parts, 'd-1', {'idempotency-key': 'k'}).join()
        name = next(n for n in parts.services if parts.read_runs(n))
        parts.fleet.signal(name, signal.SIGKILL)
        parts.fleet.members[name].process.wait()
        parts.fleet.restart(name)
        parts.wait_until_ready()
        again = Deposit(parts, 'd-1', {'idempotency-key': 'k'})
        again.join()
        assert again.status == 409
        assert again.body['error']['verdict'] == 'may_have_run'
        assert parts.count_key('d-1') == 1

    def test_repeat_at_another_gateway_leaves_the_first_call_whole(
        self, make_parts
    ):
        parts = make_parts(engines=0, services=1, delay=2.0)
        parts.fleet.start_gateway('gw-2', 'bkk-a', 'bkk')
        parts.fleet.wait_until(
            lambda: parts.fleet.read_health('gw-2').get('servers') == 1,
            'the second gateway has a link',
        )
        start = time.monotonic()
        first = Deposit(parts, 'd-1', {'idempotency-key': 'k'})
        time.sleep(0.5)
        repeat = Deposit(parts, 'd-1', {'idempotency-key': 'k'}, 'gw-2')
        first.join()
        repeat.join()
        assert (first.status, repeat.status) == (200, 200)
        assert first.body == repeat.body
        assert time.monotonic() - start < 5
        assert parts.count_key('d-1') == 1


class TestHostileCallers:
    """Guards against bad connections that harm other requests."""

    HEAD = (
        b'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'
        b'authorization: Bearer temple-key\r\n'
    )

    def exchange(self, parts, payload):
        """Returns what the gateway answers to raw bytes."""
        port = parts.fleet.members['gw-1'].ports['listen']
        with socket.create_connection(('127.0.0.1', port), 5) as sock:
            sock.settimeout(3)
            answer = b''
            try:
                sock.sendall(payload)
                while chunk := sock.recv(65536):
                    answer += chunk
            except OSError:
                pass
            return answer

    def test_other_streams_stay_whole(self, make_parts):
        parts = make_parts(tokens=500, between_tokens=0.02)
        readers = [faults.StreamReader(parts.url) for _ in range(4)]
        time.sleep(0.5)
        bad = [
            b'\x00\xff garbage\r\n\r\n',
            self.HEAD + b'content-length: 5\r\ncontent-length: 6\r\n\r\n{}',
            self.HEAD + b'content-length: -1\r\n\r\n',
            self.HEAD + b'transfer-encoding: chunked\r\n\r\nzz\r\n{}\r\n',
            self.HEAD + b'x-a: ' + b'a' * 200_000 + b'\r\n\r\n',
        ]
        for payload in bad:
            answer = self.exchange(parts, payload)
            assert not answer or answer.split()[1].startswith(b'4')
        large = self.HEAD + b'content-length: 6000000\r\n\r\n'
        answer = self.exchange(parts, large + b'x' * 6_000_000)
        assert b' 413 ' in answer.split(b'\r\n')[0]
        assert b'"code": "too_large"' in answer
        for reader in readers:
            reader.join()
            assert reader.whole
        assert sum(parts.count_runs().values()) == 4
