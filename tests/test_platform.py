"""Tests of the platform's settings, configuration, entries and headers."""

import asyncio
import copy
import dataclasses
import json
import os

import anyio
import pytest
import yaml

from chivejunction import containment
from chivejunction import errors
from chivejunction.coordination import version_moves
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


def write_settings(folder, document=None, **fields):
    """Writes a settings file; returns its path."""
    path = folder / 'boot.yaml'
    path.write_text(yaml.safe_dump({**(document or SETTINGS), **fields}))
    return str(path)


class TestSettings:
    def test_settings_give_the_gateway_options(self, tmp_path):
        node_settings = settings.read_settings(write_settings(tmp_path))
        options = program.make_options(node_settings)
        assert options.caller_address == ('127.0.0.1', 8001)
        assert options.peer_address == ('127.0.0.1', 7340)
        assert options.max_config_age_seconds < 5

    @pytest.mark.parametrize(
        ('field', 'value'),
        [('node_name', ''), ('listen', {}), ('internal_ports', 'x')],
    )
    def test_error_gives_wrong_field_and_value(self, tmp_path, field, value):
        path = write_settings(tmp_path, **{field: value})
        with pytest.raises(errors.SettingError, match=field) as caught:
            settings.read_settings(path)
        assert repr(value) in str(caught.value)

    def test_error_of_wrong_address_gives_accepted_form(self, tmp_path):
        listen = {'front': 'here', 'ready': '127.0.0.1:1'}
        node_settings = settings.read_settings(
            write_settings(tmp_path, listen=listen)
        )
        with pytest.raises(errors.SettingError, match='accepted is IP:PORT'):
            program.make_options(node_settings)

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'x',
            '[]',
            '[' * 2000,
            '{a: ' * 2000,
            'a: 2001-99-99',
            'a: 0x_',
            'a: !!int ""',
            '? [a]\n: b',
            '? {a: b}\n: c',
            '? !!set {a}\n: c',
            'a: !!python/object:os.system x',
            'a: &a [*a]',
            '&a {a: *a}',
            'a: 1' + ':59' * 200 + '.5',
            '\t- a',
            '\0',
        ],
    )
    def test_file_that_yaml_cannot_read_is_an_error(self, tmp_path, text):
        path = tmp_path / 'boot.yaml'
        path.write_text(text)
        with pytest.raises(errors.SettingError):
            settings.read_settings(str(path))

    @pytest.mark.parametrize(
        'text',
        [
            '7: x',
            'null: x',
            '2001-01-01: x',
            'new: 2001-01-01',
            'new: !!set {a, b}',
            'new: [[[[[]]]]]',
            'new: .nan',
            'limits: {memory_mb: x, max_fds: [1]}',
            'bounds: {config_deadline_ms: x}',
        ],
    )
    def test_fields_that_are_not_used_may_be_odd(self, tmp_path, text):
        path = write_settings(tmp_path)
        with open(path, 'a', encoding='utf-8') as file:
            file.write(text + '\n')
        assert settings.read_settings(path).node_name == 'edge-1'

    @pytest.mark.parametrize('value', [float('nan'), float('inf'), -1, 'x'])
    @pytest.mark.parametrize(
        'field',
        [
            'revoke_ms',
            'grace_period_s',
            'retry_budget_ratio',
            'retry_window_s',
            'retry_slack',
        ],
    )
    def test_bound_that_is_no_time_or_share_is_an_error(
        self, tmp_path, field, value
    ):
        path = write_settings(tmp_path, bounds={field: value})
        with pytest.raises(errors.SettingError, match=field):
            settings.read_settings(path)

    @pytest.mark.parametrize(
        'fields',
        [
            {'ip': 'host.example'},
            {'ip': '::1'},
            {'internal_ports': [0, 7]},
            {'internal_ports': [7340, 65536]},
            {'internal_ports': [7340]},
            {'node_name': 'a\ud800'},
            {'bounds': {'revoke_ms': 0}},
            {'bounds': {'retry_window_s': 0}},
            {'limits': {'cores': float('inf')}},
            {'limits': {'cpu_share': 10**40}},
            {'platform': {'address': 'store:7000'}},
        ],
    )
    def test_value_that_fails_later_is_an_error(self, tmp_path, fields):
        path = tmp_path / 'boot.yaml'
        document = {**SETTINGS, **fields}
        path.write_text(yaml.safe_dump(document, allow_unicode=False))
        with pytest.raises(errors.SettingError):
            program.make_options(settings.read_settings(str(path)))

    @pytest.mark.parametrize(
        'text', ['[' * 3000, '{a: ' * 3000, '- ' * 3000, '? ' * 3000]
    )
    def test_deep_nesting_is_refused_before_it_is_parsed(self, tmp_path, text):
        """The parser needs seconds for it, in which nothing else runs."""
        path = tmp_path / 'boot.yaml'
        path.write_text(text)
        with pytest.raises(errors.SettingError, match='over 32 levels'):
            settings.read_settings(str(path))

    def test_error_text_of_aliases_is_short(self, tmp_path):
        lines = ['a: &a0 [x, x, x, x, x, x, x, x]']
        for level in range(6):
            items = ', '.join([f'*a{level}'] * 8)
            lines.append(f'b{level}: &a{level + 1} [{items}]')
        path = tmp_path / 'boot.yaml'
        path.write_text('\n'.join([*lines, 'node_name: *a6']))
        with pytest.raises(errors.SettingError) as caught:
            settings.read_settings(str(path))
        assert len(str(caught.value)) < 10_000

    def test_missing_variable_or_file_is_an_error(self, monkeypatch):
        monkeypatch.delenv(settings.PATH_VARIABLE, raising=False)
        with pytest.raises(errors.SettingError, match='is not set'):
            settings.read_settings()
        with pytest.raises(errors.SettingError, match='cannot be read'):
            settings.read_settings('/nowhere/boot.yaml')

    @pytest.mark.parametrize(
        'path', [(), ('limits',), ('bounds',), ('platform',)]
    )
    def test_null_is_an_absent_field(self, tmp_path, path):
        models = {
            (): settings.Settings,
            ('limits',): settings.Resources,
            ('bounds',): settings.Bounds,
            ('platform',): settings.StoreSettings,
        }
        for name in list_optional_fields(models[path]):
            absent, null = copy.deepcopy((SETTINGS, SETTINGS))
            absent['limits'] = null['limits'] = {'cores': 2.0}
            for document in (absent, null):
                target = document
                for step in path:
                    target = target[step]
                target.pop(name, None)
                if document is null:
                    target[name] = None
            read = [
                settings.read_settings(write_settings(tmp_path, document=d))
                for d in (absent, null)
            ]
            assert read[0] == read[1], name


class TestSettingsFile:
    def test_each_change_is_reported_once(self, tmp_path):
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        assert file.read_if_changed() is None
        write_settings(tmp_path, bounds={'revoke_ms': 7777})
        assert file.read_if_changed().bounds.revoke_ms == 7777
        assert file.read_if_changed() is None

    def test_invalid_change_is_an_error_but_missing_file_is_no_change(
        self, tmp_path
    ):
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        write_settings(tmp_path, node_name='')
        with pytest.raises(errors.SettingError, match='node_name'):
            file.read_if_changed()
        (tmp_path / 'boot.yaml').unlink()
        assert file.read_if_changed() is None

    def test_file_that_was_read_while_it_was_replaced_is_read_again(
        self, tmp_path, monkeypatch
    ):
        """Times of files are coarse, so the second half may not show."""
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        state = (1, 2, 3, 4)
        monkeypatch.setattr(file, '_read_file_state', lambda: state)
        write_settings(tmp_path, node_name='')
        with pytest.raises(errors.SettingError):
            file.read_if_changed()
        write_settings(tmp_path, bounds={'revoke_ms': 7777})
        monkeypatch.setattr(settings, 'RETRY_SECONDS', 0.0)
        assert file.read_if_changed() is None
        write_settings(tmp_path, node_name='')
        state = (1, 2, 3, 5)
        with pytest.raises(errors.SettingError):
            file.read_if_changed()
        write_settings(tmp_path, bounds={'revoke_ms': 7777})
        assert file.read_if_changed().bounds.revoke_ms == 7777
        assert file.read_if_changed() is None

    def test_invalid_file_is_reported_a_limited_number_of_times(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr(settings, 'RETRY_SECONDS', 0.0)
        path = write_settings(tmp_path)
        file = settings.SettingsFile(path)
        write_settings(tmp_path, node_name='')
        reported = 0
        for _ in range(20):
            try:
                assert file.read_if_changed() is None
            except errors.SettingError:
                reported += 1
        assert 1 <= reported <= 2
        write_settings(tmp_path, bounds={'revoke_ms': 7777})
        assert file.read_if_changed().bounds.revoke_ms == 7777

    def test_file_of_the_same_time_and_size_is_a_change(self, tmp_path):
        path = write_settings(tmp_path, bounds={'revoke_ms': 5000})
        file = settings.SettingsFile(path)
        status = os.stat(path)
        new = tmp_path / 'new'
        new.mkdir()
        replacement = write_settings(new, bounds={'revoke_ms': 7777})
        os.utime(replacement, ns=(status.st_atime_ns, status.st_mtime_ns))
        os.replace(replacement, path)
        assert os.stat(path).st_size == status.st_size
        assert file.read_if_changed().bounds.revoke_ms == 7777

    def test_reload_applies_new_bounds_and_keeps_them_on_errors(self):
        async def check():
            async with forward_rig.start() as rig:
                gateway = rig.gateway
                changed = dataclasses.replace(
                    gateway._options, max_config_age_seconds=2.0
                )
                gateway._read_options = lambda: changed
                gateway._reload()
                assert gateway.config_freshness.max_age_seconds == 2.0
                budget = gateway._chooser.get_retry_budget('pool')
                budget.add_request()
                assert budget.remaining > 0
                changed = dataclasses.replace(
                    changed, retry_share=0.0, retry_allowance=0
                )
                gateway._reload()
                assert budget.remaining == 0

                def raise_setting_error():
                    raise errors.SettingError('x: 7 (accepted is 8)')

                gateway._read_options = raise_setting_error
                gateway._reload()
                assert gateway.config_freshness.max_age_seconds == 2.0

        anyio.run(check)


# A configuration with each kind of object.
FULL_CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'shop.example',
            'prefix': '/s/',
            'kind': 'streaming',
            'traffic_split': [{'service': 'pool', 'weight': 90}],
        }
    ],
    'services': [
        {
            'name': 'pool',
            'engine': {
                'slots': 64,
                'models': [{'name': 'small', 'cost': 0.008}],
            },
        }
    ],
    'limits': {'idle_timeout_ms': 15000},
    'tenants': [{'name': 'temple', 'api_keys': ['key-1']}],
}


def list_objects(value):
    """Returns all mappings in a document."""
    if isinstance(value, dict):
        items = value.values()
        return [value, *(o for item in items for o in list_objects(item))]
    if isinstance(value, list):
        return [o for item in value for o in list_objects(item)]
    return []


def list_optional_fields(model):
    """Returns the names of the fields of a model that have defaults."""
    return [
        name
        for name, field in model.model_fields.items()
        if not field.is_required()
    ]


class TestConfiguration:
    # Models of the objects of FULL_CONFIG, in the order of list_objects.
    MODELS = (
        configuration.ConfigDocument,
        configuration.RouteConfig,
        configuration.TrafficSplit,
        configuration.ServiceConfig,
        configuration.EngineConfig,
        configuration.ModelConfig,
        configuration.CallerLimitsConfig,
        configuration.OrganisationConfig,
    )

    def read(self, **fields):
        config = forward_rig.make_config(**fields)
        return configuration.decode_route_table(json.dumps(config).encode())

    def decode(self, document):
        return configuration.decode_route_table(json.dumps(document).encode())

    @pytest.mark.parametrize('number', range(len(MODELS)))
    def test_null_is_an_absent_field(self, number):
        for name in list_optional_fields(self.MODELS[number]):
            absent, null = copy.deepcopy((FULL_CONFIG, FULL_CONFIG))
            list_objects(absent)[number].pop(name, None)
            list_objects(null)[number][name] = None
            assert self.decode(null) == self.decode(absent), name

    @pytest.mark.parametrize('value', [None, 7, 'x', [[]], {'a': [None]}])
    def test_new_fields_are_ignored(self, value):
        document = copy.deepcopy(FULL_CONFIG)
        for changed in list_objects(document):
            changed['new_field'] = value
        assert self.decode(document) == self.decode(FULL_CONFIG)

    def test_kind_of_route_sets_repeat_policy(self):
        table = self.read()
        repeat_by_route = {
            route.name: route.repeat_policy
            for routes in table.routes.values()
            for route in routes
        }
        assert repeat_by_route['safe'] is forwarding.RepeatPolicy.ALWAYS
        assert repeat_by_route['once'] is forwarding.RepeatPolicy.NEVER
        assert repeat_by_route['stream'] is forwarding.RepeatPolicy.RESUME

    def test_stream_that_cannot_resume_is_never_repeated(self):
        document = forward_rig.make_route('s', '/s/', 'streaming')
        table = self.read(routes=[document])
        route = table.find_route('shop.example:80', '/s/x')
        assert (
            route.repeat_policy is forwarding.RepeatPolicy.NEVER
            and route.is_stream
        )

    def test_service_of_zero_weight_gets_no_share(self):
        split = [
            {'service': 'desk', 'weight': 90},
            {'service': 'pool', 'weight': 0},
        ]
        document = forward_rig.make_route('s', '/s/', traffic_split=split)
        table = self.read(routes=[document])
        route = table.find_route('SHOP.example', '/s/x')
        assert [share.service for share in route.shares] == ['desk']

    def test_without_tenants_no_key_is_needed(self):
        table = self.read(tenants=None)
        assert not table.find_route('shop.example', '/safe/x').needs_key

    def test_with_empty_tenants_a_key_is_needed(self):
        table = self.read(tenants=[])
        assert table.find_route('shop.example', '/safe/x').needs_key

    def test_whole_numbers_may_be_written_with_a_fraction(self):
        document = copy.deepcopy(FULL_CONFIG)
        document['routes'][0]['priority'] = 3.0
        document['services'][0]['engine']['slots'] = 64.0
        table = self.decode(document)
        assert table.find_route('shop.example', '/s/').urgency == 3
        assert table.services['pool'].slots == 64

    def test_large_version(self):
        assert self.read(version=2**80).version == 2**80

    def test_weight_of_an_organisation(self):
        tenant = {'name': 'temple', 'api_keys': ['key-1']}
        for document, weight in ((tenant, 1.0), ({**tenant, 'weight': 3}, 3)):
            table = self.read(tenants=[document])
            assert table.find_organisation('key-1').weight == weight

    def test_empty_key_is_no_key(self):
        tenants = [{'name': 'temple', 'api_keys': ['', 'key-1']}]
        table = self.read(tenants=tenants)
        assert table.find_organisation('') is None
        assert table.find_organisation('key-1').name == 'temple'

    @pytest.mark.parametrize(
        ('number', 'field', 'value'),
        [
            (0, 'version', '8'),
            (0, 'version', True),
            (0, 'version', 8.5),
            (0, 'routes', {}),
            (0, 'tenants', {'name': 'x'}),
            (1, 'kind', 'once'),
            (1, 'prefix', 's/'),
            (1, 'prefix', '/s'),
            (1, 'prefix', ''),
            (1, 'timeout_ms', 0),
            (1, 'timeout_ms', -1),
            (1, 'timeout_ms', '3000'),
            (1, 'timeout_ms', float('nan')),
            (1, 'timeout_ms', float('inf')),
            (1, 'timeout_ms', 10**40),
            (1, 'target_latency_ms', float('nan')),
            (1, 'gap_target_ms', -1),
            (1, 'priority', -1),
            (1, 'priority', 10**40),
            (1, 'max_attempts', -1),
            (1, 'max_attempts', 10**40),
            (1, 'public', 'maybe'),
            (1, 'public', 1),
            (1, 'model_tiers', ['a\r\nB: c']),
            (1, 'allowed_regions', 'bkk'),
            (1, 'traffic_split', [{'service': 'pool', 'weight': 0}]),
            (2, 'service', ''),
            (2, 'weight', -1),
            (2, 'weight', float('nan')),
            (2, 'weight', 1e300),
            (3, 'max_conns', 10**40),
            (3, 'max_conns', -1),
            (3, 'cold_per_s', float('nan')),
            (3, 'cold_per_s', -0.5),
            (4, 'slots', -1),
            (4, 'kv_tokens', 10**40),
            (4, 'link_mbps', 1e308),
            (4, 'stride', 0),
            (5, 'cost', float('-inf')),
            (6, 'header_timeout_ms', 0),
            (6, 'idle_timeout_ms', float('nan')),
            (6, 'max_header_bytes', 0),
            (6, 'max_body_bytes', -1),
            (7, 'name', ''),
            (7, 'name', 'a\nb'),
            (7, 'name', 'a\ud83d'),
            (7, 'api_keys', 'key-1'),
            (7, 'priority', -1),
            (7, 'weight', 0),
            (7, 'weight', -1.0),
            (7, 'weight', float('inf')),
            (7, 'weight', float('nan')),
            (7, 'weight', '2'),
        ],
    )
    def test_invalid_value_is_a_protocol_error(self, number, field, value):
        document = copy.deepcopy(FULL_CONFIG)
        list_objects(document)[number][field] = value
        with pytest.raises(errors.ProtocolError):
            self.decode(document)

    def test_invalid_or_older_document_does_not_replace_a_version(self):
        async def check():
            async with forward_rig.start() as rig:
                gateway = rig.gateway
                reader = entries.EntryReader(gateway, REGIONS)

                def write(document, revision):
                    value = None
                    if document is not None:
                        value = stores.Entry(
                            'op/config',
                            json.dumps(document).encode(),
                            revision,
                            0,
                        )
                    reader.apply(
                        stores.Change('op/config', revision, value), False
                    )
                    return gateway.route_table

                new = {**FULL_CONFIG, 'version': 2**70}
                table = write(new, 101)
                assert table.version == 2**70
                assert write({**new, 'version': 2**71, 'routes': 7}, 102) is (
                    table
                )
                assert write({**new, 'routes': []}, 103) is table
                assert write({**new, 'version': 9, 'routes': []}, 104) is table
                assert write(None, 105) is table
                assert write({**new, 'version': 2**70 + 1}, 106) is not table

        anyio.run(check)

    def test_invalid_document_is_a_protocol_error(self):
        with pytest.raises(errors.ProtocolError, match='configuration'):
            configuration.decode_route_table(b'{"version": "x"}')
        with pytest.raises(errors.ProtocolError, match='rollout'):
            configuration.decode_rollout_order(b'{}', 3)


class TestRolloutOrders:
    ORDER = {'service': 'pool', 'target': 'v2', 'duration_s': 12}

    def make_reader(self):
        gateway = RecordingGateway()
        gateway.moves = version_moves.VersionMoves(
            None, configuration.encode_move_status
        )
        return entries.EntryReader(gateway, REGIONS)

    def write(self, reader, key, value, revision):
        entry = None
        if value is not None:
            value = json.dumps(value).encode()
            entry = stores.Entry(key, value, revision, 0)
        reader.apply(stores.Change(key, revision, entry), False)
        return sorted(reader.gateway.moves._moves)

    @pytest.mark.parametrize(
        'seconds',
        [0, -1, float('nan'), float('inf'), 10**40, '12', True, None, [12]],
    )
    def test_order_without_a_sound_duration_is_skipped(self, seconds):
        """Guards against a move that is complete at once, or never."""
        reader = self.make_reader()
        order = {**self.ORDER, 'duration_s': seconds}
        assert self.write(reader, 'op/rollout/pool', order, 3) == []

    def test_order_of_another_service_than_its_key_is_skipped(self):
        reader = self.make_reader()
        assert self.write(reader, 'op/rollout/desk', self.ORDER, 3) == []
        assert self.write(reader, 'op/rollout/', self.ORDER, 4) == []

    def test_order_with_new_fields_holds_until_it_is_deleted(self):
        reader = self.make_reader()
        order = {**self.ORDER, 'new': [None], 'other': None}
        key = 'op/rollout/pool'
        assert self.write(reader, key, order, 3) == ['pool']
        assert self.write(reader, 'op/rollout/desk', None, 4) == ['pool']
        assert self.write(reader, key, {'target': 7}, 5) == ['pool']
        assert self.write(reader, key, None, 6) == []


class TestServerEntries:
    def read(self, **fields):
        value = json.dumps({**ENTRY, **fields}).encode()
        return servers.decode_server_entry('servers/i-1', value, REGIONS)

    def test_ready_server(self):
        backend = self.read()
        assert backend.instance == 'i-1'
        assert (backend.address, backend.port) == ('10.1.0.9', 8080)
        assert (backend.failure_domain, backend.region) == ('bkk-a', 'bkk')
        assert not backend.is_leaving and not backend.is_cold()

    def test_draining_and_cold_server(self):
        backend = self.read(state='draining', cold_left_ms=900)
        assert backend.is_leaving and backend.is_cold()

    @pytest.mark.parametrize(
        'fields',
        [
            {'state': 'resting'},
            {'address': 'nowhere'},
            {'address': 7},
            {'zone': 'mars'},
            {'slots': 'many'},
            {'slots': 0},
            {'slots': 10**400},
            {'slots': True},
            {'service': None},
            {'service': 'po\ud83dol'},
            {'address': '10.1.0.9:65536'},
            {'address': '10.1.0.9:0'},
            {'address': '10.1.0.256:80'},
            {'address': 'host.example:80'},
            {'address': '\u0660.1.0.9:80'},
            {'address': f'{"h" * 70}.example:80'},
            {'address': '[::1]:80'},
            {'address': '\ud83d:80'},
            {'cold_left_ms': float('nan')},
            {'cold_left_ms': float('inf')},
            {'cold_left_ms': 10**400},
            {'born': 10**400},
            {'born': 'early'},
        ],
    )
    def test_invalid_field_is_a_protocol_error(self, fields):
        with pytest.raises(errors.ProtocolError):
            self.read(**fields)

    @pytest.mark.parametrize(
        'field',
        [
            'service',
            'address',
            'zone',
            'version',
            'slots',
            'state',
            'cold_left_ms',
        ],
    )
    def test_missing_field_is_a_protocol_error(self, field):
        entry = {k: v for k, v in ENTRY.items() if k != field}
        with pytest.raises(errors.ProtocolError):
            servers.decode_server_entry(
                'servers/i-1', json.dumps(entry).encode(), REGIONS
            )

    def test_null_start_time_is_an_absent_one(self):
        assert self.read(born=None).started_at_ms == 0

    def test_fields_that_the_router_does_not_need_may_be_odd(self):
        entry = {**ENTRY, 'sequence': 'x', 'models': [[[]]], 'new': None}
        del entry['born']
        backend = servers.decode_server_entry(
            'servers/i-1', json.dumps(entry).encode(), REGIONS
        )
        assert backend.slots == 64 and backend.started_at_ms == 0

    @pytest.mark.parametrize('instance', ['', 'i\r\nA: b', ' i', 'i\t', 'i\0'])
    def test_id_that_fits_no_header_is_a_protocol_error(self, instance):
        with pytest.raises(errors.ProtocolError):
            servers.decode_server_entry(
                'servers/' + instance, json.dumps(ENTRY).encode(), REGIONS
            )

    @pytest.mark.parametrize(
        'value',
        [
            b'[' * 2000,
            b'{"a":' * 2000,
            json.dumps(ENTRY)[:-1].encode() + b',"a":' + b'[' * 10**5,
            b'{"slots":' + b'9' * 5000 + b'}',
        ],
    )
    def test_nested_or_long_entry_is_a_protocol_error(self, value):
        with pytest.raises(errors.ProtocolError):
            servers.decode_server_entry('servers/i-1', value, REGIONS)

    def test_entry_that_is_not_json_is_a_protocol_error(self):
        with pytest.raises(errors.ProtocolError):
            servers.decode_server_entry('servers/x', b'\xff\x00', REGIONS)


class RecordingGateway:
    """Fake gateway that records the calls of an entry reader."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))


class TestEntryReader:
    def apply(self, key, value, may_have_expired=False):
        return self.apply_to(
            RecordingGateway(), key, value, may_have_expired
        ).calls

    def apply_to(self, gateway, key, value, may_have_expired=False):
        entry = None
        if value is not None:
            entry = stores.Entry(key, value, 3, 0)
        reader = entries.EntryReader(gateway, REGIONS)
        reader.apply(stores.Change(key, 3, entry), may_have_expired)
        return gateway

    def test_key_that_begins_like_the_configuration_is_ignored(self):
        value = json.dumps(forward_rig.make_config()).encode()
        assert self.apply('op/config-draft', value) == []

    def test_evacuation_closes_domain_until_removed(self):
        assert self.apply('op/evacuate/bkk-a', b'{}') == [
            ('set_domain', 'bkk-a', True)
        ]
        assert self.apply('op/evacuate/bkk-a', None) == [
            ('set_domain', 'bkk-a', False)
        ]

    @pytest.mark.parametrize(
        'value', [b'', b'\xff\0', b'null', b'[' * 2000, b'{"x": 1e999}']
    )
    def test_evacuation_holds_with_any_value(self, value):
        assert self.apply('op/evacuate/bkk-a', value) == [
            ('set_domain', 'bkk-a', True)
        ]

    def test_evacuation_of_no_domain_is_skipped(self):
        assert self.apply('op/evacuate/', b'{}') == []

    def test_server_removed_during_an_outage_may_have_lapsed(self):
        assert self.apply('servers/i-1', None, True) == [
            ('remove_backend', 'i-1', True)
        ]

    def test_invalid_server_entry_removes_the_server(self):
        assert self.apply('servers/i-1', b'?') == [
            ('remove_backend', 'i-1', False)
        ]

    def test_unknown_and_invalid_entries_are_skipped(self):
        assert self.apply('other/x', b'1') == []
        assert self.apply('op/config', b'{') == []

    def test_unexpected_error_is_passed_on_without_the_server(
        self, monkeypatch
    ):
        """The mirror of the store contains it and applies the entry again."""

        def fail(*args):
            raise RecursionError('too deep')

        monkeypatch.setattr(servers, 'decode_server_entry', fail)
        gateway = RecordingGateway()
        with pytest.raises(RecursionError):
            self.apply_to(gateway, 'servers/i-1', b'{}')
        assert gateway.calls == [('remove_backend', 'i-1', False)]
        monkeypatch.setattr(configuration, 'decode_route_table', fail)
        with pytest.raises(RecursionError):
            self.apply_to(gateway, 'op/config', b'{}')

    def test_server_that_was_added_in_part_is_removed(self):
        class FailingGateway(RecordingGateway):
            def update_backend(self, entry):
                raise OverflowError('int too large to convert to float')

        value = json.dumps(ENTRY).encode()
        gateway = FailingGateway()
        with pytest.raises(OverflowError):
            self.apply_to(gateway, 'servers/i-1', value)
        assert gateway.calls == [('remove_backend', 'i-1', False)]

    def test_cancellation_is_passed_on(self, monkeypatch):
        def cancel(*args):
            raise asyncio.CancelledError

        monkeypatch.setattr(servers, 'decode_server_entry', cancel)
        with pytest.raises(asyncio.CancelledError):
            self.apply('servers/i-1', b'{}')

    @pytest.mark.parametrize(
        'key',
        [
            *(prefix + '\ud800' for prefix in entries.ENTRY_READERS),
            'servers/a\udfff/b',
            7,
            None,
        ],
    )
    def test_key_that_cannot_be_encoded_is_skipped(self, monkeypatch, key):
        monkeypatch.setattr(containment, '_reported_until', {})
        assert self.apply(key, b'{}') == []
        assert self.apply(key, None) == []
        assert containment.list_recent_errors() == []


class TestHeaders:
    def test_hop_by_hop_headers_are_dropped(self):
        end_to_end = headers.drop_connection_headers(
            [
                (b'connection', b'close, X-Odd'),
                (b'x-odd', b'1'),
                (b'te', b'x'),
                (b'accept', b'*/*'),
            ]
        )
        assert end_to_end == [(b'accept', b'*/*')]

    def test_prompt_parts_with_token_counts(self):
        parts = headers.parse_prompt_parts('5c1e07a2:800,91bd3f06:410')
        assert [(p.id, p.tokens) for p in parts] == [
            ('5c1e07a2', 800),
            ('91bd3f06', 410),
        ]

    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [('timeout=5, max=9', 5.0), ('', None), ('timeout=x', None)],
    )
    def test_idle_time_of_keep_alive_header(self, text, seconds):
        assert headers.parse_keep_alive_timeout(text) == seconds

    def decode(self, **fields):
        """Decodes a request with headers, with underscores for hyphens."""
        return headers.PlatformFormat().decode_request(
            'POST',
            '/a',
            [
                (name.lower().replace('_', '-').encode(), value.encode())
                for name, value in fields.items()
            ],
            b'',
            1000.0,
        )

    @pytest.mark.parametrize('count', [-1, 10**13, 2**64, 10**400])
    @pytest.mark.parametrize(
        ('name', 'form'),
        [
            ('Prompt_Prefix', '5c:800,91:{},e4:7'),
            ('Token_Count', '{},7'),
            ('Token_Count', '7,{}'),
            ('Length_Hint', '{}'),
            ('Last_Event_Id', '{}'),
        ],
    )
    def test_count_out_of_range_is_refused(self, name, form, count):
        """Counts go to other gateways, whose numbers have 64 bits."""
        with pytest.raises(errors.RefusalError) as caught:
            self.decode(**{name: form.format(count)})
        assert caught.value.code == 'invalid_request'

    def test_counts_of_a_request(self):
        request = self.decode(
            Prompt_Prefix='5c:800,91:0,e4:1000000',
            Token_Count='1000800,80',
            Length_Hint='',
            Last_Event_Id='0',
        )
        assert [part.tokens for part in request.prompt] == [800, 0, 1000000]
        assert (request.input_tokens, request.max_output_tokens) == (
            1000800,
            80,
        )
        assert request.expected_tokens == 0 and request.resume_after == 0

    @pytest.mark.parametrize('text', ['9' * 400, '101', '1e2', '-1', ''])
    def test_confidence_out_of_range_is_ignored(self, text):
        head = headers.PlatformFormat().decode_response_head(
            200, [(b'confidence', text.encode())]
        )
        assert head.confidence is None

    def test_confidence_is_a_share(self):
        head = headers.PlatformFormat().decode_response_head(
            200, [(b'confidence', b'100')]
        )
        assert head.confidence == 1.0

    def test_idle_time_without_end_is_ignored(self):
        assert headers.parse_keep_alive_timeout('timeout=' + '9' * 400) is None


class TestFeatures:
    """Guards against features that a deployment did not ask for."""

    NAMES = 'server_paces,prefix_placement'

    @pytest.mark.parametrize(
        ('names', 'policies', 'expected'),
        [
            ('', ('pressure',), set()),
            (NAMES, (), {'server_paces'}),
            (
                NAMES,
                ('base', 'pressure'),
                {'server_paces', 'prefix_placement'},
            ),
        ],
    )
    def test_feature_needs_its_name_and_its_policy(
        self, monkeypatch, names, policies, expected
    ):
        monkeypatch.setenv(settings.FEATURES_VARIABLE, names)
        assert settings.read_features(policies) == expected

    def test_unknown_name_is_refused(self, monkeypatch):
        monkeypatch.setenv(settings.FEATURES_VARIABLE, 'server_paces,x')
        with pytest.raises(errors.SettingError, match='accepted are'):
            settings.read_features()
