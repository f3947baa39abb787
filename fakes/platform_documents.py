"""Documents and requests of the users' platform for fakes and benches."""

from collections.abc import Iterator
import json

# Kind of the routes with these names; other routes are idempotent.
KIND_BY_ROUTE = {'once': 'non_idempotent', 'stream': 'streaming'}


def make_settings(
    name: str,
    domains: tuple[str, ...],
    domain: str,
    address: str,
    ports: tuple[int, int, int],
    store: str,
    **bounds,
) -> dict:
    """Returns the settings file of a gateway.

    Args:
        name: Name of the host.
        domains: All failure domains; the first three letters of each are its
            region.
        domain: Failure domain of the host.
        address: IP address of the host.
        ports: Ports for callers, readiness and hints.
        store: Address of the store.
        **bounds: Values of ``bounds``.
    """
    caller_port, readiness_port, hint_port = ports
    return {
        'node_name': name,
        'zone': domain,
        'region': domain[:3],
        'zones': {listed: listed[:3] for listed in domains},
        'ip': address,
        'listen': {
            'front': f'{address}:{caller_port}',
            'ready': f'{address}:{readiness_port}',
        },
        'internal_ports': [hint_port, hint_port],
        'bounds': bounds,
        'platform': {'address': store},
    }


def make_server_entry(
    service: str, port: int, domain: str, state: str
) -> dict:
    """Returns the store entry of a backend server on loopback."""
    return {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': domain,
        'version': 'v1',
        'slots': 16,
        'state': state,
        'cold_left_ms': 0,
    }


def make_config(version: int, routes: list[str], keys: list[str]) -> dict:
    """Returns a configuration with a route for each name in ``routes``.

    Each key belongs to an organisation of its own.
    """
    return {
        'version': version,
        'routes': [make_route(name) for name in routes],
        'services': [{'name': 'desk'}, {'name': 'pool'}],
        'tenants': [{'name': f't-{key}', 'api_keys': [key]} for key in keys],
    }


# Optional fields of a configuration by the list that they are in; the empty
# name stands for the document itself.
OPTIONAL_FIELDS = {
    '': ('limits',),
    'routes': (
        'traffic_split',
        'timeout_ms',
        'target_latency_ms',
        'gap_target_ms',
        'priority',
        'max_attempts',
        'model_tiers',
        'public',
        'sticky',
        'can_resume',
        'allowed_regions',
    ),
    'services': ('max_conns', 'cold_per_s', 'engine'),
    'tenants': ('priority', 'allowed_regions'),
}
CALLER_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
NEW_FIELDS = {'lunar_phase': {'days': [1, None]}, 'weather': None, 'x': 'new'}


def _list_objects(config: dict, name: str) -> list[dict]:
    return config[name] if name else [config]


def set_optional_field(config: dict, name: str, field: str) -> None:
    """Sets a field to null in each item of a list of a configuration.

    Routes whose streams can be resumed keep this field, because their kind
    depends on it.
    """
    for item in _list_objects(config, name):
        if item.get(field) is not True:
            item[field] = None


def set_optional_fields(config: dict) -> None:
    """Sets each optional field of a configuration to null."""
    for name, fields in OPTIONAL_FIELDS.items():
        for field in fields:
            set_optional_field(config, name, field)


def remove_optional_fields(config: dict) -> None:
    """Removes each optional field of a configuration, see above."""
    for name, fields in OPTIONAL_FIELDS.items():
        for item in _list_objects(config, name):
            for field in fields:
                if item.get(field) is not True:
                    item.pop(field, None)


def add_new_fields(config: dict) -> None:
    """Adds unknown fields to a configuration."""
    config['limits'] = CALLER_LIMITS | NEW_FIELDS
    for name in OPTIONAL_FIELDS:
        for item in _list_objects(config, name):
            item.update(NEW_FIELDS)


# Changes of the fields of a configuration that leave it valid.
CONFIG_EDITS = (
    remove_optional_fields,
    set_optional_fields,
    add_new_fields,
)


def make_route(name: str) -> dict:
    """Returns a route; its kind and limits depend on the name."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'kind': KIND_BY_ROUTE.get(name, 'idempotent'),
        'service': 'pool' if name == 'stream' else 'desk',
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'max_attempts': 1 if name == 'once' else 3,
        'can_resume': name == 'stream',
        'gap_target_ms': 600,
    }


def make_request(
    kind: str, request_id: str, key: str, deadline_ms: int, body: bytes
) -> bytes:
    """Returns the bytes of a caller's request."""
    lines = [
        f'POST /{kind}/x HTTP/1.1',
        'Host: shop.example',
        f'Request-Id: {request_id}',
        f'X-Api-Key: {key}',
        f'Deadline-Ms: {deadline_ms}',
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


def get_signature(headers: dict[str, str]) -> str:
    """Returns the server's signature of a response; empty without one."""
    return headers.get('response-seal', '')


# Of a service that no route uses, so that valid ones change nothing.
SERVER_ENTRY = make_server_entry('other', 9, 'bkk-a', 'ready')
HUGE_NUMBER = b'9' * 400
# Values that another writer may leave under any key.
ODD_VALUES = (
    b'',
    b'[' * 2000,
    b'[' * 2000 + b']' * 2000,
    b'{"a":' * 2000,
    b'"\\ud800"',
    b'{"\\udc00": "\\ud800"}',
    b'["\\ud800", "\\ud800", "\\ud800", 1]',
    HUGE_NUMBER,
    b'1e400',
    b'NaN',
    b'null',
    b'[]',
    b'[null, null, null, null]',
    b'["127.0.0.1", 1e400, "bkk", NaN]',
    b'["127.0.0.1", ' + HUGE_NUMBER + b', "bkk", ' + HUGE_NUMBER + b']',
    b'["\\ud800", 99999, "\\ud800", -1]',
    b'{}',
    b'\xff\xfe\x00\x80',
    b'x' * 1_000_000,
)
ODD_NAMES = (
    'x',
    '',
    'ไทย',
    '%00%2F',
    'a b\n\r\t',
    '../x',
    '"',
    '\x00',
    'é' * 90,
)
ODD_FIELD_VALUES = (
    b'null',
    b'NaN',
    b'-Infinity',
    b'1e400',
    HUGE_NUMBER,
    b'"\\ud800"',
    b'[]',
    b'{}',
    b'""',
    b'-1',
)
ENTRY_PREFIXES = (
    'op/config',
    'op/rollout/',
    'op/evacuate/',
    'servers/',
    'chivejunction/members/',
    'chivejunction/moves/',
    'chivejunction/harmful/',
    'unknown/',
    '',
)
# Sound entries, of which one field at a time gets an odd value.
SOUND_ENTRIES = {
    'servers/': SERVER_ENTRY | {'born': 1, 'sequence': 1},
    'op/rollout/': {'service': 'other', 'target': 'v2', 'duration_s': 60},
    'chivejunction/moves/': {
        'state': 'running',
        'stage': 1,
        'order': 1,
        'elapsed': 0.1,
    },
    'op/config': make_config(2, ['safe'], ['key-a']),
}


def list_odd_entries(prefix: str) -> Iterator[tuple[str, bytes]]:
    """Yields keys and values of odd entries below a prefix."""
    is_key = prefix and not prefix.endswith('/')
    for number, value in enumerate(ODD_VALUES):
        yield prefix if is_key else f'{prefix}x{number}', value
    if not is_key:
        for name in ODD_NAMES:
            yield prefix + name, b'\xff'
    sound = SOUND_ENTRIES.get(prefix, {})
    # A version of any size is valid.
    for field in [f for f in sound if f != 'version' or not is_key]:
        for number, value in enumerate(ODD_FIELD_VALUES):
            rest = json.dumps({k: v for k, v in sound.items() if k != field})
            text = rest.encode()[:-1] + f', "{field}": '.encode() + value
            key = prefix if is_key else f'{prefix}{field}{number}'
            yield key, text + b'}'
