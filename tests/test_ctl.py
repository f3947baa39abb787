"""Tests of the operators' command line against a gateway process."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from bench import fleet

EXAMPLES = ('siamsound', 'raamwerk')
ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture(scope='module')
def gateway_url(tmp_path_factory):
    with fleet.Fleet(tmp_path_factory.mktemp('ctl')) as running_fleet:
        running_fleet.start_platform()
        member = running_fleet.start_gateway('gw-1', 'bkk-a', 'bkk')
        running_fleet.wait_for_port('gw-1')
        url = member.url('admin')
        # Applied here because tests run in any order, on several workers.
        for name in EXAMPLES:
            run_ctl(url, 'apply', '-f', f'examples/{name}.yaml')
        yield url


def run_ctl(url, *arguments, token=fleet.OPERATOR_TOKEN):
    environment = {
        **os.environ,
        'CHIVEJUNCTION_GATEWAY_URL': url,
        'CHIVEJUNCTION_OPERATOR_TOKEN': token,
    }
    return subprocess.run(
        [sys.executable, '-m', 'chivejunction.ctl', *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env=environment,
        cwd=ROOT,
        check=False,
    )


class TestCommands:
    @pytest.mark.parametrize('name', EXAMPLES)
    def test_example_is_applied_as_one_revision(self, gateway_url, name):
        health_before = fleet.call_json('GET', f'{gateway_url}/healthz')[1]
        result = run_ctl(gateway_url, 'apply', '-f', f'examples/{name}.yaml')
        assert result.returncode == 0, result.stderr
        expected_line = f'revision {health_before["revision"] + 1}'
        assert result.stdout.splitlines()[-1] == expected_line

    def test_next_gateway_is_tried(self, gateway_url):
        unreachable_url = f'http://127.0.0.1:{fleet.find_port()}'
        result = run_ctl(
            f'{unreachable_url},{gateway_url}', 'get', 'Pool', 'lm-pool'
        )
        assert result.returncode == 0, result.stderr
        assert json.loads(result.stdout)['resource']['name'] == 'lm-pool'

    def test_watch_ends_when_in_force(self, gateway_url):
        result = run_ctl(gateway_url, 'watch')
        assert result.returncode == 0, result.stderr
        assert json.loads(result.stdout.splitlines()[-1])['in_force']

    def test_domain_is_drained_and_reopened(self, gateway_url):
        result = run_ctl(gateway_url, 'drain', 'failuredomain', 'bkk-a')
        assert json.loads(result.stdout)['resource']['state'] == 'closed'
        result = run_ctl(gateway_url, 'reopen', 'failuredomain', 'bkk-a')
        assert 'state' not in json.loads(result.stdout)['resource']

    def test_rollout_is_halted(self, gateway_url):
        result = run_ctl(gateway_url, 'rollout', 'halt', 'imkeradvies-large')
        assert result.returncode == 0, result.stderr
        assert json.loads(result.stdout)['resource']['state'] == 'halted'

    def test_explain_prints_the_decisions_in_order(self, tmp_path):
        log = tmp_path / 'log'
        lines = [
            {'time': 2, 'decision': 'server', 'request': 'r-1'},
            {'time': 1, 'decision': 'version', 'request': 'r-1'},
            {'time': 1, 'decision': 'version', 'request': 'r-12'},
        ]
        log.write_text('\n'.join(json.dumps(line) for line in lines))
        result = run_ctl('http://x', 'explain', 'r-1', '--log', str(log))
        printed = [json.loads(line) for line in result.stdout.splitlines()]
        assert [line['decision'] for line in printed] == ['version', 'server']

    def test_explain_finds_the_request_of_an_answer(self, tmp_path):
        log = tmp_path / 'log'
        lines = [
            {'time': 1, 'decision': 'version', 'request': 'r-1'},
            {'time': 2, 'decision': 'attempt', 'request': 'r-1'},
            {'time': 3, 'decision': 'version', 'request': 'r-2'},
        ]
        lines[1]['attempt'] = 'a-1'
        log.write_text('\n'.join(json.dumps(line) for line in lines))
        result = run_ctl('http://x', 'explain', 'a-1', '--log', str(log))
        printed = [json.loads(line) for line in result.stdout.splitlines()]
        assert [line['request'] for line in printed] == ['r-1', 'r-1']


class TestRollout:
    def request_version(self, running_fleet) -> str:
        """Returns the version that serves a request of a new session."""
        status, body = fleet.call_json(
            'POST',
            f'{running_fleet.members["gw-1"].url()}/v1/chat/completions',
            {
                'model': 'large',
                'messages': [{'role': 'user', 'content': 'hoeveel korven?'}],
            },
            {'authorization': 'Bearer temple-key'},
        )
        assert status == 200, body
        return body['model']

    def wait_for_agents(self, running_fleet):
        revision = running_fleet.read_health('gw-1')['revision']
        running_fleet.wait_until(
            lambda: all(
                running_fleet.read_health(name).get('revision') == revision
                for name in ('lm-1', 'lm-2')
            ),
            'the agents have the newest configuration',
        )

    def test_halt_stops_new_sessions_on_the_new_version(self, small_fleet):
        """Guards against a halt that is stored but does not affect routing."""
        running_fleet = small_fleet
        running_fleet.put(
            'gw-1',
            'modelversion',
            'large-2',
            model='large',
            pool='lm-pool',
            output_cost=10.0,
        )
        running_fleet.put(
            'gw-1',
            'rollout',
            'r',
            model='large',
            from_version='large-1',
            to_version='large-2',
            stages=[1.0],
            share=1.0,
        )
        self.wait_for_agents(running_fleet)
        assert self.request_version(running_fleet) == 'large-2'
        url = running_fleet.members['gw-1'].url('admin')
        result = run_ctl(url, 'rollout', 'halt', 'r', '--reason', 'wrong')
        assert result.returncode == 0, result.stderr
        assert json.loads(result.stdout)['resource']['reason'] == 'wrong'
        self.wait_for_agents(running_fleet)
        # Without the halt, the rollout would still admit one more unrated
        # response of the new version.
        assert [self.request_version(running_fleet) for _ in range(4)] == 4 * [
            'large-1'
        ]


class TestExitStatus:
    def test_refusal_is_1(self, gateway_url):
        result = run_ctl(gateway_url, 'get', 'pool', 'no')
        assert result.returncode == 1
        assert 'not_found' in result.stderr

    def test_no_gateway_is_1(self):
        result = run_ctl(f'http://127.0.0.1:{fleet.find_port()}', 'status')
        assert result.returncode == 1
        assert 'no gateway answered' in result.stderr

    def test_wrong_setting_is_2(self):
        result = run_ctl('not-a-url', 'status')
        assert result.returncode == 2
        assert '--gateway-url' in result.stderr

    def test_wrong_file_is_2(self, gateway_url, tmp_path):
        path = tmp_path / 'x.yaml'
        path.write_text('name: x')
        result = run_ctl(gateway_url, 'apply', '-f', str(path))
        assert result.returncode == 2
        assert 'entry 1 has no kind' in result.stderr
