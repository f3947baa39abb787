"""Translation of the platform's settings, configuration and entries."""

import dataclasses
import json

import anyio
import pytest
import yaml

from chivejunction import errors
from chivejunction.platform import configuration
from chivejunction.platform import entries
from chivejunction.platform import headers
from chivejunction.platform import program
from chivejunction.platform import servers
from chivejunction.platform import settings
from chivejunction.protocol import forwarding
from chivejunction.transport import stores
from tests import forward_rig

SETTINGS = {
    'node_name': 'edge-1',
    'zone': 'bkk-a',
    'region': 'bkk',
    'zones': {'bkk-a': 'bkk', 'cnx-a': 'cnx'},
    'ip': '127.0.0.1',
    'listen': {'front': '127.0.0.1:8001', 'ready': '127.0.0.1:8002'},
    'internal_ports': [7340, 7355],
    'bounds': {'revoke_ms': 5000, 'grace_period_s': 8},
    'platform': {'address': '127.0.0.1:7000'},
    'unknown_field': 7,
}
ENTRY = {
    'service': 'pool',
    'address': '10.1.0.9:8080',
    'zone': 'bkk-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 4,
    'born': 1700000000000,
}
REGIONS = {'bkk-a': 'bkk'}


def write_settings(folder, **fields):
    """Returns the path of a settings file."""
    path = folder / 'boot.yaml'
    path.write_text(yaml.safe_dump({**SETTINGS, **fields}))
    return str(path)


class TestSettings:
    def test_reads_what_it_needs(self, tmp_path):
        found = settings.read_settings(write_settings(tmp_path))
        options = program.make_options(found)
        assert options.caller_address == ('127.0.0.1', 8001)
        assert options.peer_address == ('127.0.0.1', 7340)
        assert options.max_config_age_seconds < 5

    @pytest.mark.parametrize(
        ('field', 'value'),
        [('node_name', ''), ('listen', {}), ('internal_ports', 'x')],
    )
    def test_wrong_field_is_named_with_its_value(self, tmp_path, field, value):
        path = write_settings(tmp_path, **{field: value})
        with pytest.raises(errors.SettingError, match=field) as caught:
            settings.read_settings(path)
        assert repr(value) in str(caught.value)

    def test_wrong_address_says_what_is_accepted(self, tmp_path):
        listen = {'front': 'here', 'ready': '127.0.0.1:1'}
        found = settings.read_settings(write_settings(tmp_path, listen=listen))
        with pytest.raises(errors.SettingError, match='accepted is IP:PORT'):
            program.make_options(found)

    def test_missing_file_and_variable(self, monkeypatch):
        monkeypatch.delenv(settings.PATH_VARIABLE, raising=False)
        with pytest.raises(errors.SettingError, match='is not set'):
            settings.read_settings()
        with pytest.raises(errors.SettingError, match='cannot be read'):
            settings.read_settings('/nowhere/boot.yaml')


class TestSettingsFile:
    def test_tells_of_changes_once(self, tmp_path):
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        assert file.read_changes() is None
        write_settings(tmp_path, bounds={'revoke_ms': 7777})
        assert file.read_changes().bounds.revoke_ms == 7777
        assert file.read_changes() is None

    def test_wrong_change_is_an_error_and_a_missing_file_is_none(
        self, tmp_path
    ):
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        write_settings(tmp_path, node_name='')
        with pytest.raises(errors.SettingError, match='node_name'):
            file.read_changes()
        (tmp_path / 'boot.yaml').unlink()
        assert file.read_changes() is None

    def test_gateway_takes_over_bounds_and_keeps_them_on_errors(self):
        async def check():
            async with forward_rig.start() as rig:
                gateway = rig.gateway
                changed = dataclasses.replace(
                    gateway._options, max_config_age_seconds=2.0
                )
                gateway._read_options = lambda: changed
                gateway._reload()
                assert gateway.config_freshness.max_age_seconds == 2.0

                def fail():
                    raise errors.SettingError('x: 7 (accepted is 8)')

                gateway._read_options = fail
                gateway._reload()
                assert gateway.config_freshness.max_age_seconds == 2.0

        anyio.run(check)


class TestConfiguration:
    def read(self, **fields):
        config = forward_rig.make_config(**fields)
        return configuration.read_table(json.dumps(config).encode())

    def test_kinds_say_what_may_repeat(self):
        table = self.read()
        found = {
            route.name: route.repeat
            for routes in table.routes.values()
            for route in routes
        }
        assert found['safe'] is forwarding.Repeat.ALWAYS
        assert found['once'] is forwarding.Repeat.NEVER
        assert found['stream'] is forwarding.Repeat.RESUME

    def test_stream_that_may_not_resume_runs_once(self):
        route = forward_rig.make_route('s', '/s/', 'streaming')
        table = self.read(routes=[route])
        found = table.find_route('shop.example:80', '/s/x')
        assert found.repeat is forwarding.Repeat.NEVER and found.is_stream

    def test_weights_and_zero_weight(self):
        split = [
            {'service': 'desk', 'weight': 90},
            {'service': 'pool', 'weight': 0},
        ]
        route = forward_rig.make_route('s', '/s/', traffic_split=split)
        table = self.read(routes=[route])
        found = table.find_route('SHOP.example', '/s/x')
        assert [share.service for share in found.shares] == ['desk']

    def test_no_tenants_means_no_keys(self):
        table = self.read(tenants=None)
        assert not table.find_route('shop.example', '/safe/x').needs_key

    def test_empty_tenants_mean_that_no_key_is_known(self):
        table = self.read(tenants=[])
        assert table.find_route('shop.example', '/safe/x').needs_key

    def test_invalid_document(self):
        with pytest.raises(errors.ProtocolError, match='configuration'):
            configuration.read_table(b'{"version": "x"}')
        with pytest.raises(errors.ProtocolError, match='rollout'):
            configuration.read_order(b'{}', 3)


class TestServerEntries:
    def read(self, **fields):
        value = json.dumps({**ENTRY, **fields}).encode()
        return servers.read_server('servers/i-1', value, REGIONS)

    def test_decodes_an_entry(self):
        found = self.read()
        assert found.instance == 'i-1'
        assert (found.address, found.port) == ('10.1.0.9', 8080)
        assert (found.failure_domain, found.region) == ('bkk-a', 'bkk')
        assert not found.is_leaving and not found.is_cold()

    def test_leaving_and_cold(self):
        found = self.read(state='draining', cold_left_ms=900)
        assert found.is_leaving and found.is_cold()

    @pytest.mark.parametrize(
        'fields',
        [
            {'state': 'resting'},
            {'address': 'nowhere'},
            {'address': 7},
            {'zone': 'mars'},
            {'slots': 'many'},
            {'service': None},
        ],
    )
    def test_entry_that_names_no_server(self, fields):
        with pytest.raises(errors.ProtocolError):
            self.read(**fields)

    def test_bytes_that_cannot_be_read(self):
        with pytest.raises(errors.ProtocolError):
            servers.read_server('servers/x', b'\xff\x00', REGIONS)


class Recorder:
    """Gateway that records what an entry reader tells it."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))


class TestEntryReader:
    def apply(self, key, value, has_lapsed=False):
        gateway = Recorder()
        entry = None
        if value is not None:
            entry = stores.Entry(key, value, 3, 0)
        reader = entries.EntryReader(gateway, REGIONS)
        reader.apply(stores.Change(key, 3, entry), has_lapsed)
        return gateway.calls

    def test_domains(self):
        assert self.apply('op/evacuate/bkk-a', b'{}') == [
            ('set_domain', 'bkk-a', True)
        ]
        assert self.apply('op/evacuate/bkk-a', None) == [
            ('set_domain', 'bkk-a', False)
        ]

    def test_missing_server_tells_whether_the_store_was_away(self):
        assert self.apply('servers/i-1', None, True) == [
            ('remove_backend', 'i-1', True)
        ]

    def test_entry_that_cannot_be_read_takes_its_server_out(self):
        assert self.apply('servers/i-1', b'?') == [
            ('remove_backend', 'i-1', False)
        ]

    def test_unknown_and_invalid_entries_are_left_out(self):
        assert self.apply('other/x', b'1') == []
        assert self.apply('op/config', b'{') == []


class TestHeaders:
    def test_headers_of_one_connection_are_dropped(self):
        found = headers.drop_connection_headers(
            [
                (b'connection', b'close, X-Odd'),
                (b'x-odd', b'1'),
                (b'te', b'x'),
                (b'accept', b'*/*'),
            ]
        )
        assert found == [(b'accept', b'*/*')]

    def test_prompt_parts(self):
        parts = headers.read_prompt('5c1e07a2:800,91bd3f06:410')
        assert [(p.id, p.tokens) for p in parts] == [
            ('5c1e07a2', 800),
            ('91bd3f06', 410),
        ]

    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [('timeout=5, max=9', 5.0), ('', None), ('timeout=x', None)],
    )
    def test_idle_time(self, text, seconds):
        assert headers.read_idle(text) == seconds
