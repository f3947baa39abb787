"""Tests of the settings of the programs and of their page."""

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


def run_program(program: str, **overrides):
    """Runs a program with valid flags, some replaced; None omits a flag."""
    flags = {
        **PROGRAMS[program],
        **{k.replace('_', '-'): v for k, v in overrides.items()},
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
        """Guards against a settings change without a new settings page."""
        assert (
            settings_page.PAGE_PATH.read_text() == settings_page.render_page()
        )

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
        result = run_program(program, **{field: value})
        assert result.returncode == 2, result.stderr
        assert f'--{field.replace("_", "-")}' in result.stderr
        assert f'CHIVEJUNCTION_{field.upper()}' in result.stderr
        expected_value = 'not set' if value is None else str(value)
        assert expected_value in result.stderr

    @pytest.mark.parametrize('program', PROGRAMS)
    def test_unknown_flag_is_refused_with_status_2(self, program):
        result = run_program(program, colour='red')
        assert result.returncode == 2
        assert 'colour' in result.stderr

    def test_value_is_not_shown_when_it_is_secret(self):
        result = run_program('gateway', operator_token='abc')
        assert result.returncode == 2
        assert 'abc' not in result.stderr

    def test_orders_without_a_store_name_the_setting(self):
        """Guards against an error message that does not name the setting.

        The check spans two settings, so it must be tied to one of them.
        """
        result = run_program('agent', order_versions=True)
        assert result.returncode == 2
        assert result.stderr.startswith(
            '--store-url (CHIVEJUNCTION_STORE_URL)'
        )
        assert '--order-versions' in result.stderr

    def test_port_in_use_names_the_port(self, tmp_path):
        with fleet.Fleet(tmp_path) as running_fleet:
            running_fleet.start_platform()
            port = running_fleet.members['store'].ports['listen']
            free_ports = {
                f'{name}_port': fleet.find_port()
                for name in ('listen', 'data', 'control')
            }
            result = run_program('gateway', admin_port=port, **free_ports)
        assert result.returncode == 1
        assert 'address already in use' in result.stderr.lower()
