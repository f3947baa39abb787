"""Settings of the programs."""

import subprocess
import sys

import pytest

from bench import fleet
from chivejunction import settings_page

GATEWAY = {
    'host': 'gw-1',
    'failure-domain': 'bkk-a',
    'listen-port': 8000,
    'admin-port': 8001,
    'data-port': 8002,
    'control-port': 8003,
    'store-url': 'http://127.0.0.1:1',
    'hosts-url': 'http://127.0.0.1:1',
    'operator-token': 'secret',
}
AGENT = {
    'host': 'lm-1',
    'failure-domain': 'bkk-a',
    'pool': 'lm-pool',
    'data-port': 9000,
    'admin-port': 9001,
    'server-url': 'http://127.0.0.1:1',
    'hosts-url': 'http://127.0.0.1:1',
}
PROGRAMS = {'gateway': GATEWAY, 'agent': AGENT}


def run_program(program: str, **changed):
    flags = {
        **PROGRAMS[program],
        **{k.replace('_', '-'): v for k, v in changed.items()},
    }
    return subprocess.run(
        [
            sys.executable,
            '-m',
            f'chivejunction.{program}',
            *(f'--{k}={v}' for k, v in flags.items() if v is not None),
        ],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


class TestSettings:
    def test_page_is_current(self):
        """Guards against settings that changed without the page."""
        assert settings_page.PAGE.read_text() == settings_page.make_page()

    @pytest.mark.parametrize('program', PROGRAMS)
    @pytest.mark.parametrize(
        ('field', 'value'),
        [
            ('admin_port', 0),
            ('admin_port', 'x'),
            ('data_port', 70000),
            ('codec', 'json'),
            ('log_level', 'loud'),
            ('hosts_url', 'ftp://x'),
            ('address', 'nowhere'),
            ('host', ''),
            ('failure_domain', None),
        ],
    )
    def test_value_is_refused_with_status_2(self, program, field, value):
        done = run_program(program, **{field: value})
        assert done.returncode == 2, done.stderr
        assert f'--{field.replace("_", "-")}' in done.stderr
        assert f'CHIVEJUNCTION_{field.upper()}' in done.stderr
        shown = 'not set' if value is None else str(value)
        assert shown in done.stderr

    @pytest.mark.parametrize('program', PROGRAMS)
    def test_unknown_flag_is_refused_with_status_2(self, program):
        done = run_program(program, colour='red')
        assert done.returncode == 2
        assert 'colour' in done.stderr

    def test_value_is_not_shown_when_it_is_secret(self):
        done = run_program('gateway', operator_token='abc')
        assert done.returncode == 2
        assert 'abc' not in done.stderr

    def test_orders_without_a_store_name_the_setting(self):
        """Guards against a message that names no setting."""
        done = run_program('agent', order_versions=True)
        assert done.returncode == 2
        assert done.stderr.startswith('--store-url (CHIVEJUNCTION_STORE_URL)')
        assert '--order-versions' in done.stderr

    def test_port_in_use_names_the_port(self, tmp_path):
        with fleet.Fleet(tmp_path) as started:
            started.start_platform()
            port = started.members['store'].ports['listen']
            others = {
                f'{name}_port': fleet.find_port()
                for name in ('listen', 'data', 'control')
            }
            done = run_program('gateway', admin_port=port, **others)
        assert done.returncode == 1
        assert 'address already in use' in done.stderr.lower()
