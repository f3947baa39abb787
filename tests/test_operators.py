"""Tests of the operators' API of a gateway process."""

import json
import types
import urllib.error
import urllib.request

import anyio
import pytest

from bench import fleet
from chivejunction import gateway as gateway_program
from chivejunction.transport import listening

TOKEN = {'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}


@pytest.fixture(scope='module')
def gateway(tmp_path_factory):
    """Starts a gateway without agents; yields its operators' API URL."""
    with fleet.Fleet(tmp_path_factory.mktemp('operators')) as started:
        started.start_platform()
        member = started.start_gateway('gw-1', 'bkk-a', 'bkk')
        started.wait_for_port('gw-1')
        url = f'{member.url("admin")}/api/v1'
        items = [
            {'kind': 'failuredomain', 'resource': make('bkk-a', region='bkk')},
            {'kind': 'pool', 'resource': make('p')},
            {'kind': 'model', 'resource': make('m')},
            {'kind': 'modelversion', 'resource': make_version('m-1')},
            {'kind': 'modelversion', 'resource': make_version('m-2')},
            {
                'kind': 'rollout',
                'resource': make(
                    'r',
                    model='m',
                    from_version='m-1',
                    to_version='m-2',
                    stages=[0.1, 0.5, 1.0],
                ),
            },
        ]
        status, body = call(url, 'POST', 'apply', {'items': items})
        assert (status, body['revision']) == (200, 1)
        yield url


def make(name: str, **value) -> dict:
    return {'name': name, **value}


def make_version(name: str) -> dict:
    return make(name, model='m', pool='p')


def call(url, method, path, value=None, headers=None):
    return fleet.call_json(
        method, f'{url}/{path}', value, {**TOKEN, **(headers or {})}
    )


class TestStart:
    def test_operators_can_connect_before_callers(self, monkeypatch):
        port_map = {
            name: fleet.find_port()
            for name in ('listen', 'admin', 'data', 'control')
        }
        bound_ports = []

        def bind_socket(address, port):
            bound_ports.append(port)
            if len(bound_ports) == 2:
                raise OSError('both sockets are requested')
            return listening.bind_socket(address, 0)

        monkeypatch.setattr(
            gateway_program,
            'listening',
            types.SimpleNamespace(bind_socket=bind_socket),
        )
        program = gateway_program.Gateway(
            gateway_program.GatewaySettings(
                host='gw-1',
                failure_domain='bkk-a',
                store_url='http://127.0.0.1:1',
                hosts_url='http://127.0.0.1:1',
                operator_token=fleet.OPERATOR_TOKEN,
                **{f'{name}_port': port for name, port in port_map.items()},
            )
        )
        with pytest.raises(OSError, match='both sockets'):
            anyio.run(program.run)
        assert bound_ports == [port_map['admin'], port_map['listen']]

    def test_gateway_serves_as_soon_as_it_has_a_configuration(self, tmp_path):
        """Guards against a gateway that is not ready after the first change.

        The gateway that makes a change must apply it at once. Otherwise it
        refuses callers for up to a second after the change.
        """
        with fleet.Fleet(tmp_path) as started:
            started.start_platform()
            member = started.start_gateway('gw-1', 'bkk-a', 'bkk')
            started.wait_for_port('gw-1')
            started.put('gw-1', 'pool', 'p')
            status, body = fleet.call_json('GET', f'{member.url()}/v1/models')
        assert (status, body['error']['code']) == (401, 'unauthenticated')


class TestOperatorsApi:
    def test_wrong_credential_is_refused(self, gateway):
        for path in ('pool', 'pool/p', 'status', 'watch'):
            status, body = call(
                gateway, 'GET', path, headers={'authorization': 'Bearer no'}
            )
            assert status == 401
            assert body['error']['verdict'] == 'not_run'

    def test_apply_is_atomic(self, gateway):
        before = call(gateway, 'GET', 'status')[1]['revision']
        items = [
            {'kind': 'pool', 'resource': make('half')},
            {'kind': 'limit', 'resource': make('x', organisation='no')},
        ]
        status, _ = call(gateway, 'POST', 'apply', {'items': items})
        assert status == 400
        assert call(gateway, 'GET', 'pool/half')[0] == 404
        assert call(gateway, 'GET', 'status')[1]['revision'] == before

    def test_conflicting_change_gets_the_current_state(self, gateway):
        _, created = call(gateway, 'PUT', 'pool/raced', {'queue_length': 1})
        match = {'if-match': f'"{created["changed_at"]}"'}
        call(gateway, 'PUT', 'pool/raced', {'queue_length': 2}, match)
        status, body = call(gateway, 'PUT', 'pool/raced', {}, match)
        assert status == 409
        assert body['error']['code'] == 'conflict'
        assert body['current']['resource']['queue_length'] == 2

    def test_repeated_change_id_makes_one_revision(self, gateway):
        header = {'change-id': 'operator-1'}
        first = call(gateway, 'PUT', 'pool/once', {}, header)[1]
        second = call(gateway, 'PUT', 'pool/once', {}, header)[1]
        assert first['changed_at'] == second['changed_at']

    def test_referenced_resource_is_not_deleted(self, gateway):
        status, body = call(gateway, 'DELETE', 'pool/p')
        assert status == 409
        assert body['current']['referrers'] == [
            'modelversion/m-1',
            'modelversion/m-2',
        ]

    def test_watch_streams_the_status(self, gateway):
        request = urllib.request.Request(f'{gateway}/watch', headers=TOKEN)
        with urllib.request.urlopen(request, timeout=5) as response:
            before = json.loads(response.readline())['revision']
            call(gateway, 'PUT', 'pool/watched', {})
            statuses = [json.loads(response.readline())]
            # A revision that is not yet confirmed everywhere may come first.
            while not statuses[-1]['in_force']:
                statuses.append(json.loads(response.readline()))
        assert {s['revision'] for s in statuses} == {before + 1}


class TestMetrics:
    def test_gateway_exports_invariant_violations(self, gateway):
        """Guards against invariant violations that are missing in metrics."""
        url = gateway.replace('/api/v1', '/metrics')
        with urllib.request.urlopen(url, timeout=5) as response:
            assert b'invariant_violations' in response.read()


class TestActions:
    @pytest.mark.parametrize(
        ('path', 'state'),
        [
            ('failuredomain/bkk-a/drain', 'closed'),
            ('modelversion/m-1/withdraw', 'withdrawn'),
            ('modelversion/m-1/drain', 'draining'),
            ('rollout/r/pause', 'paused'),
            ('rollout/r/halt', 'halted'),
        ],
    )
    def test_sets_the_state(self, gateway, path, state):
        status, body = call(gateway, 'POST', path)
        assert status == 200
        assert body['resource']['state'] == state

    def test_reopen_restores_the_default_state(self, gateway):
        for name in ('failuredomain/bkk-a', 'modelversion/m-1'):
            status, body = call(gateway, 'POST', f'{name}/reopen')
            assert status == 200
            assert 'state' not in body['resource']

    def test_rollout_moves_through_its_stages(self, gateway):
        """Guards against a first stage that moves sessions without pins.

        The start leaves the share at 0, so that gateways can save the pins
        first. The last stage is tested too before the rollout is complete.
        """
        value = {
            'model': 'm',
            'from_version': 'm-1',
            'to_version': 'm-2',
            'stages': [0.1, 0.5, 1.0],
            'state': 'halted',
        }
        assert call(gateway, 'PUT', 'rollout/staged', value)[0] == 200
        changed_rollouts = [
            call(gateway, 'POST', f'rollout/staged/{action}')[1]['resource']
            for action in ('start', *4 * ['advance'])
        ]
        assert [
            (r.get('share', 0), r.get('state')) for r in changed_rollouts
        ] == [
            (0, None),
            (0.1, None),
            (0.5, None),
            (1.0, None),
            (1.0, 'complete'),
        ]
        assert call(gateway, 'POST', 'rollout/staged/advance')[0] == 409
        assert call(gateway, 'POST', 'rollout/staged/resume')[0] == 409

    def test_halted_rollout_resumes_at_share_zero(self, gateway):
        """Guards against state transitions that differ from the gateways'."""
        value = {'model': 'm', 'from_version': 'm-1', 'to_version': 'm-2'}
        call(gateway, 'PUT', 'rollout/again', {**value, 'share': 0.25})
        halt = {'reason': 'wrong prices'}
        status, body = call(gateway, 'POST', 'rollout/again/halt', halt)
        assert (status, body['resource']['reason']) == (200, 'wrong prices')
        assert call(gateway, 'POST', 'rollout/again/advance')[0] == 409
        body = call(gateway, 'POST', 'rollout/again/resume')[1]
        assert not {'share', 'state', 'reason'} & set(body['resource'])

    @pytest.mark.parametrize(
        ('path', 'value'),
        [
            ('pool/p/drain', {}),
            ('modelversion/m-1/drain', {'seconds': -1}),
            ('modelversion/m-1/drain', {'minutes': 1}),
        ],
    )
    def test_invalid_action_is_refused(self, gateway, path, value):
        assert call(gateway, 'POST', path, value)[0] == 400


class TestOddBodies:
    """Guards against a document that an operator sees end as a server error.

    What a store or a peer cannot hold must be refused where it arrives.
    """

    def put(self, url, body, headers=None):
        request = urllib.request.Request(
            f'{url}/pool/odd',
            body,
            {**TOKEN, 'content-type': 'application/json', **(headers or {})},
            method='PUT',
        )
        try:
            with urllib.request.urlopen(request) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as exc:
            return exc.code, json.load(exc)

    @pytest.mark.parametrize(
        'body',
        [
            b'\xff',
            b'[' * 100_000,
            b'{"name": "odd", "queue_length": ' + b'[' * 5000,
            b'{"name": "odd", "queue_length": ' + b'9' * 5000 + b'}',
            b'{"name": "odd", "queue_length": ' + b'9' * 400 + b'}',
            b'{"name": "odd", "queue_length": 1e999}',
            b'{"name": "odd", "queue_length": NaN}',
            b'{"name": "odd", "cold_window": 18446744073709551616}',
            b'{"name": "odd", "\\ud800": 1}',
            b'{"name": "\\ud800"}',
            b'{"name": "odd", "queue_length": "\\ud800"}',
        ],
    )
    def test_body_is_refused(self, gateway, body):
        status, answer = self.put(gateway, body)
        assert 400 <= status < 500 and answer

    @pytest.mark.parametrize('text', ['9' * 5000, '-1', 'x', '1e3', ''])
    def test_revision_is_refused(self, gateway, text):
        status, _ = self.put(
            gateway, b'{"name": "odd"}', {'if-match': f'"{text}"'}
        )
        assert 400 <= status < 500
