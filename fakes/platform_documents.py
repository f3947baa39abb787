"""Documents and requests of the users' platform for fakes and benches."""

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
