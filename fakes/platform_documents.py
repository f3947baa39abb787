"""Documents of the users' platform, for stand-ins, runs and tests."""

KINDS = {'once': 'non_idempotent', 'stream': 'streaming'}


def write_settings(
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
        domains: All failure domains; a region has the first three letters.
        domain: Failure domain of the host.
        address: Its IP address.
        ports: Ports for callers, for readiness and for hints.
        store: Address of the store.
        **bounds: Bounds of the users.
    """
    front, ready, hints = ports
    return {
        'node_name': name,
        'zone': domain,
        'region': domain[:3],
        'zones': {row: row[:3] for row in domains},
        'ip': address,
        'listen': {
            'front': f'{address}:{front}',
            'ready': f'{address}:{ready}',
        },
        'internal_ports': [hints, hints],
        'bounds': bounds,
        'platform': {'address': store},
    }


def write_entry(service: str, port: int, domain: str, state: str) -> dict:
    """Returns the entry of a server on loopback."""
    return {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': domain,
        'version': 'v1',
        'slots': 16,
        'state': state,
        'cold_left_ms': 0,
    }


def write_config(version: int, routes: list[str], keys: list[str]) -> dict:
    """Returns a configuration with a route of each name."""
    return {
        'version': version,
        'routes': [write_route(name) for name in routes],
        'services': [{'name': 'desk'}, {'name': 'pool'}],
        'tenants': [{'name': f't-{key}', 'api_keys': [key]} for key in keys],
    }


def write_route(name: str) -> dict:
    """Returns a route; ``once`` and ``stream`` are kinds of their own."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'kind': KINDS.get(name, 'idempotent'),
        'service': 'pool' if name == 'stream' else 'desk',
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'max_attempts': 1 if name == 'once' else 3,
        'can_resume': name == 'stream',
        'gap_target_ms': 600,
    }


def write_request(
    kind: str, request_id: str, key: str, deadline_ms: int, body: bytes
) -> bytes:
    """Returns the bytes of a caller's request."""
    rows = [
        f'POST /{kind}/x HTTP/1.1',
        'Host: shop.example',
        f'Request-Id: {request_id}',
        f'X-Api-Key: {key}',
        f'Deadline-Ms: {deadline_ms}',
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join([*rows, '', '']).encode() + body


def read_seal(headers: dict[str, str]) -> str:
    """Returns the signature of an answer."""
    return headers.get('response-seal', '')
