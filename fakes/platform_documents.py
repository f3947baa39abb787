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
