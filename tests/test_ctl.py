"""The operators' command line against a gateway process."""

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
    with fleet.Fleet(tmp_path_factory.mktemp('ctl')) as started:
        started.start_platform()
        member = started.start_gateway('gw-1', 'bkk-a', 'bkk')
        started.wait_for_port('gw-1')
        url = member.url('admin')
        # Tests spread over workers run in any order.
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
        before = fleet.call_json('GET', f'{gateway_url}/healthz')[1]
        done = run_ctl(gateway_url, 'apply', '-f', f'examples/{name}.yaml')
        assert done.returncode == 0, done.stderr
        after = f'revision {before["revision"] + 1}'
        assert done.stdout.splitlines()[-1] == after

    def test_next_gateway_is_tried(self, gateway_url):
        down = f'http://127.0.0.1:{fleet.find_port()}'
        done = run_ctl(f'{down},{gateway_url}', 'get', 'Pool', 'lm-pool')
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout)['resource']['name'] == 'lm-pool'

    def test_watch_ends_when_in_force(self, gateway_url):
        done = run_ctl(gateway_url, 'watch')
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout.splitlines()[-1])['in_force']

    def test_domain_is_drained_and_reopened(self, gateway_url):
        done = run_ctl(gateway_url, 'drain', 'failuredomain', 'bkk-a')
        assert json.loads(done.stdout)['resource']['state'] == 'closed'
        done = run_ctl(gateway_url, 'reopen', 'failuredomain', 'bkk-a')
        assert 'state' not in json.loads(done.stdout)['resource']

    def test_rollout_is_halted(self, gateway_url):
        done = run_ctl(gateway_url, 'rollout', 'halt', 'imkeradvies-large')
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout)['resource']['state'] == 'halted'

    def test_explain_prints_the_decisions_in_order(self, tmp_path):
        log = tmp_path / 'log'
        lines = [
            {'time': 2, 'decision': 'server', 'request': 'r-1'},
            {'time': 1, 'decision': 'version', 'request': 'r-1'},
            {'time': 1, 'decision': 'version', 'request': 'r-12'},
        ]
        log.write_text('\n'.join(json.dumps(line) for line in lines))
        done = run_ctl('http://x', 'explain', 'r-1', '--log', str(log))
        shown = [json.loads(line) for line in done.stdout.splitlines()]
        assert [line['decision'] for line in shown] == ['version', 'server']

    def test_explain_finds_the_request_of_an_answer(self, tmp_path):
        log = tmp_path / 'log'
        lines = [
            {'time': 1, 'decision': 'version', 'request': 'r-1'},
            {'time': 2, 'decision': 'attempt', 'request': 'r-1'},
            {'time': 3, 'decision': 'version', 'request': 'r-2'},
        ]
        lines[1]['attempt'] = 'a-1'
        log.write_text('\n'.join(json.dumps(line) for line in lines))
        done = run_ctl('http://x', 'explain', 'a-1', '--log', str(log))
        shown = [json.loads(line) for line in done.stdout.splitlines()]
        assert [line['request'] for line in shown] == ['r-1', 'r-1']


class TestRollout:
    def ask(self, started) -> str:
        """Returns the version that answers a new session."""
        status, body = fleet.call_json(
            'POST',
            f'{started.members["gw-1"].url()}/v1/chat/completions',
            {
                'model': 'large',
                'messages': [{'role': 'user', 'content': 'hoeveel korven?'}],
            },
            {'authorization': 'Bearer temple-key'},
        )
        assert status == 200, body
        return body['model']

    def wait_for_agents(self, started):
        revision = started.read_health('gw-1')['revision']
        started.wait_until(
            lambda: all(
                started.read_health(name).get('revision') == revision
                for name in ('lm-1', 'lm-2')
            ),
            'the agents have the newest configuration',
        )

    def test_halt_stops_new_sessions_on_the_new_version(self, small_fleet):
        """Guards against a halt that is stored and not obeyed."""
        started = small_fleet
        started.put(
            'gw-1',
            'modelversion',
            'large-2',
            model='large',
            pool='lm-pool',
            output_cost=10.0,
        )
        started.put(
            'gw-1',
            'rollout',
            'r',
            model='large',
            from_version='large-1',
            to_version='large-2',
            stages=[1.0],
            share=1.0,
        )
        self.wait_for_agents(started)
        assert self.ask(started) == 'large-2'
        url = started.members['gw-1'].url('admin')
        done = run_ctl(url, 'rollout', 'halt', 'r', '--reason', 'wrong')
        assert done.returncode == 0, done.stderr
        assert json.loads(done.stdout)['resource']['reason'] == 'wrong'
        self.wait_for_agents(started)
        # One more answer without a rating would be let to the new version.
        assert [self.ask(started) for _ in range(4)] == 4 * ['large-1']


class TestExitStatus:
    def test_refusal_is_1(self, gateway_url):
        done = run_ctl(gateway_url, 'get', 'pool', 'no')
        assert done.returncode == 1
        assert 'not_found' in done.stderr

    def test_no_gateway_is_1(self):
        done = run_ctl(f'http://127.0.0.1:{fleet.find_port()}', 'status')
        assert done.returncode == 1
        assert 'no gateway answered' in done.stderr

    def test_wrong_setting_is_2(self):
        done = run_ctl('not-a-url', 'status')
        assert done.returncode == 2
        assert '--gateway-url' in done.stderr

    def test_wrong_file_is_2(self, gateway_url, tmp_path):
        path = tmp_path / 'x.yaml'
        path.write_text('name: x')
        done = run_ctl(gateway_url, 'apply', '-f', str(path))
        assert done.returncode == 2
        assert 'entry 1 has no kind' in done.stderr
