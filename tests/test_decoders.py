"""Tests that decoders of outside bytes raise only their declared errors.

Each decoder meets bytes that a process in trouble may send. An undeclared
exception would end the task that reads them, or the whole gateway.
"""

import copy
import dataclasses
import gzip
import json
import math
import types

import anyio
import cbor2
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction.coordination import bulletins
from chivejunction.coordination import harmful_prompts
from chivejunction.coordination import load_reports
from chivejunction.coordination import orders
from chivejunction.coordination import ratings
from chivejunction.coordination import relays
from chivejunction.coordination import server_notices
from chivejunction.coordination import state_transfer
from chivejunction.coordination import version_moves
from chivejunction.platform import configuration
from chivejunction.platform import entries
from chivejunction.platform import headers
from chivejunction.platform import program
from chivejunction.platform import servers
from chivejunction.platform import settings
from chivejunction.platform import store as platform_store
from chivejunction.protocol import codecs
from chivejunction.protocol import forwarding
from chivejunction.protocol import messages
from chivejunction.protocol import sse
from chivejunction.protocol import usage
from chivejunction.state import backends
from chivejunction.state import route_tables
from chivejunction.state import servers as state_servers
from chivejunction.transport import exchanges
from chivejunction.transport import host_list
from chivejunction.transport import http_client
from chivejunction.transport import links
from chivejunction.transport import store_client
from chivejunction.transport import stores as transport_stores
from tests import forward_rig
from tests import stores
from tests import test_hints
from tests import test_platform

REGIONS = {'bkk-a': 'bkk'}

# Texts that resemble numbers, where conversions fail in unexpected ways.
NUMBER_TEXTS = st.sampled_from(
    ['', '0', '-1', '1.5', '\xb2', '1e999', 'nan', 'inf', '9' * 5000, '1_0']
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | NUMBER_TEXTS
)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)


def make_rows(*fields):
    """Returns a strategy of lists, most of them with the expected fields."""
    return st.lists(st.tuples(*fields) | JSON_VALUES, max_size=3) | JSON_VALUES


def mutate_values(value, replacement):
    """Returns a strategy of a mapping with one of its values replaced."""
    return st.sampled_from(sorted(value)).flatmap(
        lambda name: replacement.map(lambda new: {**value, name: new})
    )


# JSON of values that decoders meet in documents of other writers.
ODD_JSON = st.sampled_from(
    [
        '[' * 2000,
        '[' * 2000 + ']' * 2000,
        '{"a":' * 2000 + '1' + '}' * 2000,
        '9' * 400,
        '-' + '9' * 400,
        '9' * 5000,
        '1e999',
        '-1e999',
        '1e-999',
        'NaN',
        'Infinity',
        '-0.0',
        '1.0',
        '65536',
        str(2**64),
        '"\\ud800"',
        '"\\udfff\\ud800"',
        '"\\u0000"',
        '"\\r\\nA: b"',
        '{"\\ud800": 1}',
        '[null]',
        '',
    ]
) | JSON_VALUES.map(json.dumps)


def list_paths(value, path=()):
    """Returns the path of each value in a document, except the document."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    paths = [path] if path else []
    for key, item in items:
        paths += list_paths(item, (*path, key))
    return paths


def replace_json(document, path, text):
    """Returns the JSON of a document with the JSON of one value replaced."""
    marker = 'the-replaced-value'
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = marker
    return json.dumps(changed).replace(json.dumps(marker), text).encode()


def mutate_json(document):
    """Returns a strategy of the JSON of a document with an odd value."""
    return st.tuples(st.sampled_from(list_paths(document)), ODD_JSON).map(
        lambda pair: replace_json(document, *pair)
    )


class ScriptedClient:
    """HTTP client whose responses a test sets."""

    def __init__(self, status, body):
        self._response = status, [], body

    async def call(self, *args, **kwargs):
        return self._response


class TestStoreResponses:
    """Responses of the platform's store."""

    ENTRY = {'key': 'a', 'value': 'YQ==', 'revision': 3, 'lease': 0}
    LISTING = {'items': [ENTRY], 'store_revision': 3, 'has_more': False}
    POLL = {'events': [ENTRY], 'store_revision': 3}

    def call(self, status, body, name, *args):
        client = platform_store.PlatformStore(
            '127.0.0.1:1', ScriptedClient(status, body)
        )

        async def run():
            return await getattr(client, name)(*args)

        return anyio.run(run)

    @given(
        st.sampled_from([200, 404, 410, 412, 503]),
        st.binary(max_size=40)
        | JSON_VALUES.map(lambda value: json.dumps(value).encode())
        | mutate_values(
            {**LISTING, **POLL, **ENTRY, 'ttl_ms': 5},
            JSON_VALUES | mutate_values(ENTRY, JSON_VALUES).map(lambda e: [e]),
        ).map(lambda value: json.dumps(value).encode()),
        st.sampled_from(
            [
                ('get', 'a'),
                ('read_all', 'a'),
                ('poll_changes', 'a', 3, 1.0),
                ('swap', 'a', b'', 3),
                ('grant_lease', 5),
                ('keep_alive', 5),
            ]
        ),
    )
    def test_response_of_any_content(self, status, body, method):
        try:
            self.call(status, body, *method)
        except (errors.StoreError, errors.RevisionCompacted):
            pass

    def test_valid_responses(self):
        body = json.dumps(self.LISTING).encode()
        entry = transport_stores.Entry('a', b'a', 3, 0)
        assert self.call(200, body, 'read_all', 'a') == ([entry], 3)
        body = json.dumps(self.POLL).encode()
        poll = self.call(200, body, 'poll_changes', 'a', 2, 1.0)
        assert poll.changes == [transport_stores.Change('a', 3, entry)]


class TestStoreEntries:
    """Values of keys in the store."""

    def make_change(self, key, value):
        entry = transport_stores.Entry(key, value, 9, 0)
        return transport_stores.Change(key, 9, entry)

    @example('[null, Infinity, null, null]')
    @given(st.binary(max_size=60) | JSON_VALUES.map(json.dumps))
    def test_value_of_any_content(self, value):
        value = value if isinstance(value, bytes) else value.encode()
        for decode in (
            configuration.decode_route_table,
            lambda v: configuration.decode_rollout_order(v, 5),
            lambda v: servers.decode_server_entry('i-1', v, {}),
            lambda v: test_hints.make_members('gw-1', 1).apply(
                self.make_change('chivejunction/members/gw-2', v)
            ),
        ):
            try:
                decode(value)
            except errors.ProtocolError:
                pass

    @given(
        mutate_values(
            {'order': 5, 'stage': 1, 'state': 'running', 'elapsed': 0.1},
            JSON_VALUES,
        )
    )
    def test_move_record_with_any_field(self, value):
        moves = version_moves.VersionMoves(
            stores.MemoryStore(), configuration.encode_move_status
        )
        moves.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
        key = version_moves.PREFIX + 'pool'
        moves.apply_record(
            transport_stores.Entry(key, json.dumps(value).encode(), 9, 0)
        )
        moves.make_version_filter('pool', 's')

    @given(mutate_json(test_platform.ENTRY))
    def test_server_entry_with_any_field(self, value):
        try:
            backend = servers.decode_server_entry(
                'servers/i-1', value, REGIONS
            )
        except errors.ProtocolError:
            return
        table = backends.BackendTable()
        assert table.update(backend) is backend
        assert backend.running / backend.slots == 0
        assert not math.isnan(clock.remaining(backend.cold_until))
        settings.split_address(f'{backend.address}:{backend.port}')

    CONFIG = {
        'version': 7,
        'routes': [
            forward_rig.make_route(
                's',
                '/s/',
                'streaming',
                traffic_split=[{'service': 'pool', 'weight': 90}],
                gap_target_ms=400,
                priority=1,
                model_tiers=['small'],
                allowed_regions=['bkk'],
            )
        ],
        'services': [
            {
                'name': 'pool',
                'max_conns': 360,
                'cold_per_s': 8.8,
                'engine': {
                    'slots': 64,
                    'kv_tokens': 400_647,
                    'kv_bytes': 163_840,
                    'link_mbps': 1_100_000.0,
                    'stride': 6,
                    'models': [{'name': 'small', 'cost': 0.008}],
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'temple', 'api_keys': ['k'], 'priority': 1}],
    }

    @given(mutate_json(CONFIG))
    def test_configuration_with_any_field(self, value):
        try:
            table = configuration.decode_route_table(value)
        except errors.ProtocolError:
            return
        assert isinstance(table.version, int)
        for route in (r for rows in table.routes.values() for r in rows):
            assert route_tables.choose_service(route, 'r-1')
            assert 0 < route.timeout < math.inf
            assert 0 <= route.objective < math.inf
            assert route.max_attempts >= 1
        for service in table.services.values():
            assert service.max_connections * 0.9 >= 0
            assert 0 <= service.copy_bytes_per_second < math.inf
            msgpack.packb([service.slots, service.cache_tokens])
        for key, organisation in table.organisations.items():
            assert key and organisation.name.encode()
        assert 0 < table.limits.header_seconds < math.inf

    @given(
        mutate_json({'service': 'pool', 'target': 'v2', 'duration_s': 12.5})
    )
    def test_rollout_order_with_any_field(self, value):
        try:
            order = configuration.decode_rollout_order(value, 5)
        except errors.ProtocolError:
            return
        moves = version_moves.VersionMoves(
            stores.MemoryStore(), configuration.encode_move_status
        )
        moves.set_order(order)
        moves.make_version_filter('pool', 's')
        assert 0 < order.seconds < math.inf

    @given(mutate_json(['127.0.0.1', 7340, 'bkk', 0.8]))
    def test_member_with_any_field(self, value):
        members = test_hints.make_members('gw-1', 1)
        try:
            members.apply(
                self.make_change('chivejunction/members/gw-2', value)
            )
        except errors.ProtocolError:
            assert members.find_address('gw-2') is None
            return
        address, port = members.find_address('gw-2')
        settings.split_address(f'{address}:{port}')
        members.list_relays()
        for region in members.list_regions():
            region.encode()

    @given(
        mutate_json(
            {'order': 5, 'stage': 1, 'state': 'running', 'elapsed': 0.1}
        )
    )
    def test_move_record_with_odd_json(self, value):
        moves = version_moves.VersionMoves(
            stores.MemoryStore(), configuration.encode_move_status
        )
        moves.set_order(version_moves.Order('pool', 'v2', 20.0, 5))
        key = version_moves.PREFIX + 'pool'
        moves.apply_record(transport_stores.Entry(key, value, 9, 0))
        moves.make_version_filter('pool', 's')
        move = moves._moves['pool']
        assert 0 <= move.stage < len(version_moves.STAGES)
        assert move.revision == 9 and math.isfinite(move.started_at)

    @given(
        st.sampled_from(sorted(entries.ENTRY_READERS)),
        st.text(st.characters(), max_size=20)
        | st.sampled_from(['\ud800', '0' * 16, 'f' * 17, '-' + '1' * 15]),
        st.none() | st.binary(max_size=60) | ODD_JSON.map(str.encode),
    )
    def test_any_entry_leaves_no_unexpected_error(self, prefix, name, value):
        gateway = test_platform.RecordingGateway()
        gateway.members = test_hints.make_members('gw-1', 1)
        gateway.moves = version_moves.VersionMoves(
            stores.MemoryStore(), configuration.encode_move_status
        )
        gateway.prompt_guard = harmful_prompts.HarmfulPromptGuard(
            stores.MemoryStore(),
            bulletins.BulletinBoard('gw-1', gateway.members),
            gateway.members,
        )
        key = prefix + name if prefix.endswith('/') else prefix
        change = transport_stores.Change(key, 9, None)
        if value is not None:
            change = self.make_change(key, value)
        # Reported, it would be a decoder that raises another error.
        recorded = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                containment,
                'record_error',
                lambda *args, **fields: recorded.append(args),
            )
            entries.EntryReader(gateway, REGIONS).apply(change, False)
        assert recorded == []


class TestGatewayMessages:
    """Hints and relay responses of other gateways."""

    @given(
        st.binary(max_size=60).map(lambda data: bulletins.FIRST_BYTE + data)
        | st.tuples(
            st.text(max_size=5) | SCALARS,
            make_rows(
                st.sampled_from(['crash', 'part', 'limit', 'leaving', 'x']),
                st.integers(0, 2**64 - 1) | SCALARS,
                st.lists(SCALARS, max_size=9) | SCALARS,
                st.integers(0, 10**5) | SCALARS,
                st.integers(0, 10**5) | SCALARS,
            ),
        ).map(msgpack.packb)
    )
    @example(msgpack.packb(['gw-2', [['limit', 1, [float('nan')], 1, 1000]]]))
    @example(msgpack.packb(['gw-2', [['crash', 1, [1.5, 2, 3, 4], 1, 1000]]]))
    def test_bulletins_of_any_content(self, data):
        members = test_hints.make_members('gw-1', 1)
        board = bulletins.BulletinBoard('gw-1', members)
        table = backends.BackendTable()
        table.update(
            backends.Backend('i-1', 'pool', '127.0.0.1', 1, 'a', 'a', 'v1')
        )
        server_notices.ServerNotices(board, table)
        harmful_prompts.HarmfulPromptGuard(
            stores.MemoryStore(), board, members
        )
        try:
            board.handle_datagram(data, ('127.0.0.1', 1))
        except errors.ProtocolError:
            pass

    @given(
        st.binary(max_size=60)
        | JSON_VALUES.map(msgpack.packb)
        | st.tuples(
            st.text(max_size=5),
            make_rows(SCALARS, SCALARS),
            make_rows(SCALARS, SCALARS, SCALARS),
            st.lists(SCALARS, max_size=3) | SCALARS,
        ).map(msgpack.packb)
    )
    def test_hint_of_any_content(self, data):
        try:
            test_hints.Peer('gw-1', 1).hint_exchange._handle_datagram(data)
        except errors.ProtocolError:
            pass

    @given(
        st.binary(max_size=60)
        | JSON_VALUES.map(msgpack.packb)
        | st.tuples(
            SCALARS,
            SCALARS,
            SCALARS,
            SCALARS,
            make_rows(SCALARS, SCALARS)
            | make_rows(SCALARS, SCALARS, SCALARS, SCALARS),
        ).map(msgpack.packb)
    )
    @example(msgpack.packb([0, 0, 0, 0, [['a', 0, 6 << 32, 0]]]))
    def test_relay_response_of_any_content(self, body):
        try:
            relays.decode_poll(body)
        except errors.ProtocolError:
            pass

    @given(
        st.binary(max_size=60)
        | st.tuples(
            SCALARS,
            make_rows(SCALARS, SCALARS) | SCALARS,
            st.lists(SCALARS, max_size=3) | SCALARS,
        ).map(msgpack.packb)
    )
    @example(msgpack.packb([True, [[2**64 - 1, -(2**63)]], []]))
    def test_transferred_state_of_any_content(self, body):
        try:
            _, sessions, datagrams = state_transfer.decode_state(body)
        except errors.ProtocolError:
            return
        assert all(
            isinstance(session_hash, int) and math.isfinite(seconds)
            for session_hash, seconds in sessions
        )
        assert all(isinstance(data, bytes) for data in datagrams)


# Values in the encoding of a codec that its own encoder does not make.
ODD_ENCODINGS = {
    'msgpack': [
        b'\x91' * 2000 + b'\xc0',
        b'\x91' * 300 + b'\xc0',
        b'\x81\x91\x01\x01',
        b'\x81\x80\x01',
        b'\xa3\xed\xa0\x80',
        b'\xd4\x05a',
        b'\xd7\xff' + b'\xff' * 8,
        b'\xdd\xff\xff\xff\xff',
        b'\xcf' + b'\xff' * 8,
        b'\xcb\x7f\xf8' + bytes(6),
        b'\xcb\x7f\xf0' + bytes(6),
    ],
    'cbor': [
        b'\x81' * 2000 + b'\x01',
        b'\x81' * 300 + b'\x01',
        b'\xc1' * 2000 + b'\x01',
        b'\xa1\x81\x01\x01',
        b'\x63\xed\xa0\x80',
        b'\xc2\x59\x08\x00' + b'\xff' * 2048,
        b'\xc3\x59\x08\x00' + b'\xff' * 2048,
        b'\x9b' + b'\xff' * 8,
        b'\x5b' + b'\x7f' * 8,
        b'\xd8\x1c\x81\xd8\x1d\x00',
        b'\xd8\x1e\x82\x01\x00',
        b'\xc4\x82\x19\x7f\xff\x01',
        b'\xf9\x7e\x00',
        b'\xf9\x7c\x00',
        b'\xf7',
        b'\xff',
    ],
}
FRAMES = [
    messages.Hello('gw-1', 'i', 1, 'tcp://127.0.0.1:1'),
    messages.Welcome('lm-1', 'i', 1, {'versions': ['a'], 'host': 'lm-1'}),
    messages.Heartbeat(
        1, {'k': 1, 'r': 1, 'q': 1, 'w': 1, 't': 1, 's': 'ready', 'v': ['a']}
    ),
    messages.Start(
        *('a', 'r', 'o', 'pool', 'v', 's', True, 10, 1, 0, 'POST', '/'),
        {'a': 'b'},
        b'x',
    ),
    messages.Admitted('a', 'i'),
    messages.Refused('a', 'overload', '', 1),
    messages.Head('a', 200, {'content-type': 'a'}),
    messages.Data('a', 0, b'x'),
    messages.End('a', 1, 2, '', {'completion_tokens': 1}),
    messages.Credit('a', 1),
    messages.Resolved('a', 'i', 'running', 1),
    messages.Usage('s', 1, ['r', 'o', 't', 1, 1]),
    messages.Saved('s', 1),
    messages.Handover('gw-1', 'i', 's', [[1, ['r', 'o', 't', 1, 1]]]),
]
MARKER = 'the-replaced-value'


def replace_value(name, document, path, odd):
    """Returns an encoded document with the encoding of a value replaced."""
    codec = codecs.CODECS.get(name)
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = MARKER
    return codec.encode(changed).replace(codec.encode(MARKER), odd)


def mutate_encoding(name, document):
    """Returns a strategy of an encoded document with an odd value."""
    odd = st.sampled_from(ODD_ENCODINGS[name]) | JSON_VALUES.map(
        codecs.CODECS.get(name).encode
    )
    return st.tuples(st.sampled_from(list_paths(document)), odd).map(
        lambda pair: replace_value(name, document, *pair)
    )


CODEC_NAMES = st.sampled_from(sorted(ODD_ENCODINGS))


class TestLinkMessages:
    """Batches of the links between gateways and agents."""

    BATCHES = CODEC_NAMES.flatmap(
        lambda name: st.tuples(
            st.just(name),
            st.binary(max_size=60)
            | st.sampled_from(ODD_ENCODINGS[name])
            | st.sampled_from(FRAMES).flatmap(
                lambda frame: mutate_encoding(
                    name, ['lm-1', 1, 1, [frame.pack(), FRAMES[7].pack()]]
                )
            ),
        )
    )

    def decode(self, name, data):
        """Returns what a receiver makes of a message, and its errors."""
        # Without the socket of a receiver, which would need an address.
        receiver = object.__new__(links.Receiver)
        receiver._codec = codecs.CODECS.get(name)
        decode_errors = []
        receiver._on_error = decode_errors.append
        return receiver._decode(data), decode_errors

    @given(BATCHES)
    def test_batch_of_any_content(self, sample):
        name, data = sample
        batch, decode_errors = self.decode(name, data)
        for error in decode_errors:
            assert isinstance(error, errors.ProtocolError)
            str(error).encode()
        if batch is None:
            assert decode_errors
            return
        sender, epoch, sequence, frames = batch
        assert sender.encode() and 0 <= epoch < 2**63 > sequence >= 0
        for frame in frames:
            str(frame).encode()
            # What an agent or a gateway passes on.
            for codec in ('msgpack', 'cbor'):
                codecs.CODECS.get(codec).encode(frame.pack())

    @given(
        CODEC_NAMES.flatmap(
            lambda name: st.tuples(
                st.just(name),
                mutate_encoding(name, ['lm-1', 1, 1, [FRAMES[2].pack()]]),
            )
        )
    )
    def test_heartbeat_with_any_field(self, sample):
        batch, _ = self.decode(*sample)
        for frame in batch[3] if batch else ():
            if not isinstance(frame, messages.Heartbeat):
                continue
            server = state_servers.Server('lm-1', 'a', 'a', 'p')
            server.apply_load(frame.load)
            for number in (server.running, server.queued, server.window):
                assert 0 <= number < math.inf
            assert 0 <= server.first_token_seconds < math.inf
            assert isinstance(server.ready, bool)
            ''.join(server.versions).encode()

    def test_valid_frames_are_unchanged(self):
        for name in ODD_ENCODINGS:
            batch = ['lm-1', 1, 1, [frame.pack() for frame in FRAMES]]
            decoded, decode_errors = self.decode(
                name, codecs.CODECS.get(name).encode(batch)
            )
            assert decode_errors == []
            assert decoded[3] == FRAMES

    def test_number_of_frames_is_limited(self):
        data = codecs.CODECS.get('msgpack').encode(
            ['lm-1', 1, 1, [None] * 100_000]
        )
        batch, decode_errors = self.decode('msgpack', data)
        assert batch is None and len(decode_errors) == 1

    @given(
        CODEC_NAMES.flatmap(
            lambda name: st.tuples(
                st.just(name),
                st.binary(max_size=60)
                | st.sampled_from(ODD_ENCODINGS[name])
                | mutate_encoding(name, {'a': [1, {'b': 2}], 'c': 'd'}),
            )
        )
    )
    def test_codec_raises_its_declared_error(self, sample):
        name, data = sample
        try:
            codecs.CODECS.get(name).decode(data)
        except errors.CodecError as exc:
            str(exc).encode()


class TestExchangeMessages:
    """Responses of the control exchange."""

    @given(
        CODEC_NAMES.flatmap(
            lambda name: st.tuples(
                st.just(name),
                st.binary(max_size=60)
                | st.sampled_from(ODD_ENCODINGS[name])
                | mutate_encoding(name, {'error': 'x', 'revision': 1})
                | mutate_encoding(name, {'revision': 1}),
            )
        )
    )
    @example(('msgpack', msgpack.packb(7)))
    @example(('msgpack', b'\xc1'))
    @example(('cbor', cbor2.dumps({'error': 10**5000})))
    def test_response_of_any_content(self, sample):
        name, data = sample
        client = exchanges.ExchangeClient(
            'tcp://127.0.0.1:1', 'me', 'i', codecs.CODECS.get(name)
        )
        try:
            response = client._decode_response('sync', data)
        except errors.TransportError as exc:
            str(exc).encode()
            return
        assert isinstance(response, dict)


class ScriptedHttpClient(http_client.Client):
    """HTTP client whose responses a test sets."""

    def __init__(self, body, headers=()):
        self._response = 200, dict(headers), body

    async def call(self, *args, **kwargs):
        return self._response


class TestKeyValueStoreResponses:
    """Responses of the key-value store to gateways and agents."""

    ENTRY = {'key': 'YQ==', 'value': 'YQ==', 'mod_revision': '3', 'lease': '4'}
    RESPONSE = {
        'kvs': [ENTRY],
        'succeeded': True,
        'header': {'revision': '3'},
        'ID': '5',
        'result': {'TTL': '5', 'events': [{'kv': ENTRY, 'type': 'PUT'}]},
    }
    CALLS = [
        ('get', 'a'),
        ('list_prefix', 'a'),
        ('swap', 'a', b'', 3),
        ('delete', 'a', 3),
        ('grant_lease', 5),
        ('keep_alive', 5),
    ]

    @given(
        st.binary(max_size=40)
        | ODD_JSON.map(str.encode)
        | mutate_json(RESPONSE),
        st.sampled_from(CALLS),
    )
    def test_response_of_any_content(self, body, call):
        client = store_client.StoreClient('http://a', ScriptedHttpClient(body))

        async def run():
            return await getattr(client, call[0])(*call[1:])

        try:
            found = anyio.run(run)
        except errors.StoreError as exc:
            is_write = call[0] not in ('get', 'list_prefix')
            unknown = errors.StoreResultUnknown, errors.StoreConflict
            assert not is_write or isinstance(exc, unknown)
            return
        entries_found = found if isinstance(found, list) else [found]
        for entry in entries_found:
            if isinstance(entry, transport_stores.Entry):
                assert 0 <= entry.revision < 2**63 > entry.lease >= 0
            else:
                assert entry is None or 0 <= entry < 2**63

    @given(
        st.binary(max_size=40)
        | ODD_JSON.map(str.encode)
        | mutate_json(RESPONSE)
    )
    def test_event_of_any_content(self, line):
        try:
            events = store_client.StoreClient._parse_events(line)
        except errors.StoreError:
            return
        for entry in events:
            assert 0 <= entry.revision < 2**63


class TestHostList:
    """Host list of the platform."""

    HOST = {
        'host': 'lm-1',
        'role': 'agent',
        'failure_domain': 'bkk-a',
        'region': 'bkk',
        'pool': 'lm-pool',
        'control_address': 'tcp://127.0.0.1:1',
        'data_address': 'tcp://127.0.0.1:2',
        'state': 'live',
    }

    def read(self, body, headers=()):
        directory = host_list.HostDirectory(
            ScriptedHttpClient(body, headers), 'http://a'
        )
        anyio.run(directory.read)
        return directory.hosts

    @given(
        st.binary(max_size=40)
        | ODD_JSON.map(str.encode)
        | mutate_json({'hosts': [HOST, HOST]})
    )
    def test_list_of_any_content(self, body):
        try:
            hosts = self.read(body)
        except errors.TransportError:
            return
        for host in hosts.values():
            for text in dataclasses.astuple(host)[:-1]:
                assert isinstance(text, str) and text.encode() is not None

    def test_compressed_list_is_limited(self):
        body = gzip.compress(b' ' * 100_000_000)
        with pytest.raises(errors.TransportError, match='too large'):
            self.read(body, {'content-encoding': 'gzip'})

    @pytest.mark.parametrize('cut', [0, 1, 10, 30])
    def test_cut_list_is_refused(self, cut):
        body = gzip.compress(json.dumps({'hosts': [self.HOST]}).encode())
        headers = {'content-encoding': 'gzip'}
        assert list(self.read(body, headers)) == ['lm-1']
        with pytest.raises(errors.TransportError):
            self.read(body[:cut], headers)


class TestEngineDocuments:
    """Load reports of engines."""

    REPORT = {'incarnation': 'a', 'versions': ['small-1', 'large-1']}
    BODIES = (
        st.binary(max_size=40) | ODD_JSON.map(str.encode) | mutate_json(REPORT)
    )

    @given(BODIES)
    @example(json.dumps({'versions': ['x' * 1000] * 10_000}).encode())
    def test_report_of_any_content(self, body):
        admission = types.SimpleNamespace(versions=frozenset())
        poller = load_reports.LoadReportPoller(
            'http://a',
            ScriptedHttpClient(body),
            admission,
            types.SimpleNamespace(reset=lambda reason: None),
            1.0,
            lambda: None,
        )
        anyio.run(poller._poll)
        heartbeat = messages.Heartbeat(1, {'v': sorted(admission.versions)})
        links.check_frame(heartbeat)
        data = codecs.CODECS.get('msgpack').encode(heartbeat.pack())
        assert len(data) < links.MAX_BATCH_BYTES
        poller.incarnation.encode()

    @given(BODIES)
    def test_versions_of_any_content(self, body):
        client = orders.EngineClient(ScriptedHttpClient(body), 'http://a')
        try:
            versions = anyio.run(client.read_versions)
        except errors.OrderError:
            return
        assert ''.join(versions).encode() is not None


class TestRatings:
    """Ratings of the rating service."""

    RATING = {
        'sequence': 3,
        'request': 'r',
        'version': 'small-1',
        'rating': 0.5,
    }

    def poll(self, body):
        recorded = []
        tracker = types.SimpleNamespace(
            record_rating=lambda *args: recorded.append(args[:3])
        )
        client = ratings.RatingClient(
            'http://a', ScriptedHttpClient(body), tracker, None, None
        )
        anyio.run(client.poll)
        return client, recorded

    @given(
        st.binary(max_size=40)
        | ODD_JSON.map(str.encode)
        | mutate_json({'ratings': [RATING, RATING]})
    )
    def test_list_of_any_content(self, body):
        try:
            client, recorded = self.poll(body)
        except (errors.TransportError, ValueError) as exc:
            assert not isinstance(exc, UnicodeError)
            return
        assert 0 <= client._last_sequence < 2**63
        for row in recorded:
            hash(row[:2])

    @pytest.mark.parametrize('odd', [{}, None, {'sequence': [4]}])
    def test_odd_rating_holds_up_no_other(self, odd):
        later = {**self.RATING, 'sequence': 9}
        body = json.dumps({'ratings': [odd, later]}).encode()
        client, recorded = self.poll(body)
        assert client._last_sequence == 9
        assert recorded == [('r', 'small-1', 0.5)]


class TestHeaders:
    """Headers of callers and backend servers."""

    WIRE_FORMAT = headers.PlatformFormat()
    NAMES = sorted(
        value
        for name, value in vars(headers).items()
        if name.isupper() and isinstance(value, bytes) and name != 'ANY_MODEL'
    )
    HEADERS = st.lists(
        st.tuples(
            st.sampled_from([*NAMES, b'keep-alive', b'connection']),
            st.binary(max_size=20)
            | NUMBER_TEXTS.map(lambda text: text.encode('latin-1'))
            | NUMBER_TEXTS.map(lambda t: b'timeout=' + t.encode('latin-1')),
        ),
        max_size=6,
    )

    @given(HEADERS)
    def test_response_of_any_header(self, fields):
        head = self.WIRE_FORMAT.decode_response_head(200, fields)
        assert head.status == 200

    @given(HEADERS)
    def test_request_of_any_header(self, fields):
        try:
            request = self.WIRE_FORMAT.decode_request(
                'POST', '/a', fields, b'', 1000.0
            )
        except errors.RefusalError as exc:
            assert exc.code == 'invalid_request'
            return
        dispatch = forwarding.Dispatch(
            'i-1', 'temple', 'm', 1, request.resume_after, request.deadline
        )
        self.WIRE_FORMAT.make_attempt_headers(request, dispatch)

    @pytest.mark.parametrize('text', ['0', '7', '7.5', '.5', '7.'])
    def test_unsigned_decimal_numbers(self, text):
        assert headers.is_number(text) and float(text) >= 0

    @pytest.mark.parametrize('text', ['', '.', '-1', '\xb2', '1e3', 'nan'])
    def test_other_texts(self, text):
        assert not headers.is_number(text)


class TestSettings:
    """Addresses and the settings file."""

    @given(st.text(max_size=20) | NUMBER_TEXTS.map(lambda t: f'10.0.0.1:{t}'))
    def test_address_of_any_content(self, text):
        try:
            address, port = settings.split_address(text)
        except errors.SettingError:
            return
        assert address and 0 < port <= 65535

    @given(st.binary(max_size=60))
    def test_file_of_any_content(self, tmp_path_factory, content):
        path = tmp_path_factory.getbasetemp() / 'settings.yaml'
        path.write_bytes(content)
        with pytest.raises(errors.SettingError):
            settings.read_settings(str(path))

    # PyYAML takes a second for some of the long texts.
    @given(
        mutate_json(test_platform.SETTINGS).filter(
            lambda content: len(content) < 1500
        )
    )
    def test_file_with_any_field(self, tmp_path_factory, content):
        """JSON is YAML too."""
        path = tmp_path_factory.getbasetemp() / 'settings.yaml'
        path.write_bytes(content)
        try:
            options = program.make_options(settings.read_settings(str(path)))
        except errors.SettingError as exc:
            str(exc).encode()
            return
        options.name.encode()
        assert 0 < options.max_config_age_seconds < math.inf
        assert 0 <= options.retry_share < math.inf
        assert 0 < options.retry_window_seconds < math.inf
        assert 0 < options.capacity < math.inf


class TestEventStreams:
    """Event streams of backend servers, in chunks of any size."""

    LINES = st.sampled_from(
        [
            b'id: 1\n',
            b'id: ' + b'9' * 5000 + b'\n',
            b'id: \xb2\n',
            b'data: {"usage": {"a": 1}}\n',
            b'data:{"usage": {"a": 2}, "choices": [1]}\n',
            b'data: [DONE]\n',
            b': comment\n',
            b'\n',
            b'\r\n',
            b'\r',
            b'data:[DONE]\r',
        ]
    ) | st.binary(max_size=10)
    STREAMS = st.lists(LINES, max_size=12).map(b''.join)

    def split(self, data, size):
        return [data[i : i + size] for i in range(0, len(data), size)]

    @given(STREAMS, st.integers(1, 40))
    def test_events_do_not_depend_on_chunks(self, data, size):
        whole, parts = sse.EventReader(), sse.EventReader()
        expected = whole.feed(data)
        events = [e for c in self.split(data, size) for e in parts.feed(c)]
        assert events == expected
        assert parts.read_comments() == whole.read_comments()
        forwarded = b''.join(event for _, event in events)
        assert forwarded + parts.read_comments() == data
        assert parts.has_partial_event() == whole.has_partial_event()

    @given(STREAMS, st.integers(1, 40))
    @example(b'\r\r\nid: 1\n', 1)
    @example(b'data: x\r\n\r', 1)
    def test_usage_does_not_depend_on_chunks(self, data, size):
        whole, parts = usage.UsageFilter(True), usage.UsageFilter(True)
        expected = whole.feed(data) + whole.finish()
        forwarded = b''.join(parts.feed(c) for c in self.split(data, size))
        assert forwarded + parts.finish() == expected
        assert parts.usage == whole.usage

    @given(STREAMS, st.integers(1, 40))
    def test_buffered_events_do_not_depend_on_chunks(self, data, size):
        whole, parts = sse.EventBuffer(), sse.EventBuffer()
        expected = whole.feed(data)
        forwarded = b''.join(parts.feed(c) for c in self.split(data, size))
        # Empty lines after an event may be passed on with it.
        assert forwarded.rstrip(b'\r\n') == expected.rstrip(b'\r\n')
        assert forwarded + parts.finish() == data

    @pytest.mark.parametrize(
        'stream',
        [
            b'data: a\r\rdata: b\r\r',
            b'data: a\n\r\ndata: b\r\n\n',
            b'data: a\r\n\r\ndata: b\n\n',
            b'data:a\r\rdata:b\r\r',
        ],
    )
    def test_any_line_end_separates_events(self, stream):
        assert len(sse.EventReader().feed(stream)) == 2
        assert sse.EventBuffer().feed(stream) == stream
        assert sse.parse_event_data(stream) == [b'a', b'b']

    def test_endless_event_is_passed_on(self):
        buffer = sse.EventBuffer()
        part = b'x' * 1000
        forwarded = b''.join(buffer.feed(part) for _ in range(3000))
        assert len(forwarded) > 3_000_000 - sse.MAX_BUFFERED_BYTES - 2000
        assert forwarded + buffer.finish() == part * 3000

    def test_comments_are_no_events(self):
        reader = sse.EventReader()
        assert reader.feed(b': a\n\n\n\n: b\r\n\r\n') == []
        event = b': a\n\n\n\n: b\r\n\r\nid: 4\ndata: x\n\n'
        assert reader.feed(b'id: 4\ndata: x\n\n: c\n\n') == [(4, event)]
        assert not reader.has_partial_event()
        assert reader.read_comments() == b': c\n\n'

    def test_endless_comments_are_refused(self):
        reader = sse.EventReader()
        with pytest.raises(errors.ProtocolError):
            for _ in range(sse.MAX_EVENT_BYTES):
                reader.feed(b': comment\n\n' * 100)

    def test_usage_of_a_data_line_without_a_blank(self):
        event_filter = usage.UsageFilter(True)
        event_filter.feed(b'data:{"usage": {"total_tokens": 3}}\n\n')
        assert event_filter.usage == {'total_tokens': 3}
