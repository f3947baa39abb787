"""Operators' configuration and orders as the platform keeps them."""

import json

import pydantic

from chivejunction import errors
from chivejunction.coordination import version_moves
from chivejunction.platform import settings
from chivejunction.protocol import forwarding
from chivejunction.state import route_tables

CONFIG_KEY = 'op/config'
ROLLOUT_PREFIX = 'op/rollout/'
EVACUATION_PREFIX = 'op/evacuate/'
STATUS_PREFIX = 'status/rollout/'

REPEATS = {
    ('idempotent', False): forwarding.Repeat.ALWAYS,
    ('idempotent', True): forwarding.Repeat.ALWAYS,
    ('non_idempotent', False): forwarding.Repeat.NEVER,
    ('non_idempotent', True): forwarding.Repeat.NEVER,
    ('streaming', False): forwarding.Repeat.NEVER,
    ('streaming', True): forwarding.Repeat.RESUME,
}
STATES = {
    version_moves.State.RUNNING: 'running',
    version_moves.State.COMPLETE: 'completed',
    version_moves.State.REVERTED: 'rolled_back',
}


class SplitRow(settings.Model):
    """A service with its weight on a route."""

    service: str
    weight: float = 1.0


class RouteRow(settings.Model):
    """A route; ``public`` means that it needs no key.

    ``sticky`` says that its prompts have shared parts.
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[SplitRow] = []
    timeout_ms: float = 30_000
    target_latency_ms: float = 1_000
    gap_target_ms: float = 0
    priority: int = 5
    max_attempts: int = 1
    model_tiers: list[str] = []
    public: bool = False
    sticky: bool = False
    can_resume: bool = False
    allowed_regions: list[str] = []


class ModelRow(settings.Model):
    """A model with its cost for 1,000 tokens."""

    name: str
    cost: float = 0.0


class EngineRow(settings.Model):
    """Size of the engines.

    Attributes:
        slots: Requests that run at a time.
        kv_tokens: Memory for prompts and answers in tokens.
        kv_bytes: Bytes of that memory for each token.
        link_mbps: Speed at which engines copy it from one another.
        stride: Tokens of an event.
        models: Models that the engines run.
    """

    slots: int = 0
    kv_tokens: int = 0
    kv_bytes: float = pydantic.Field(0.0, ge=0)
    link_mbps: float = pydantic.Field(0.0, ge=0)
    stride: int = pydantic.Field(1, ge=1)
    models: list[ModelRow] = []


class ServiceRow(settings.Model):
    """A service."""

    name: str
    max_conns: int = 100
    cold_per_s: float = 0.0
    engine: EngineRow | None = None


class LimitsRow(settings.Model):
    """What clients may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 15000


class TenantRow(settings.Model):
    """An organisation with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class ConfigDocument(settings.Model):
    """The whole configuration."""

    version: int
    routes: list[RouteRow] = []
    services: list[ServiceRow] = []
    limits: LimitsRow = LimitsRow()
    tenants: list[TenantRow] | None = None


class RolloutDocument(settings.Model):
    """An order to move a service to the version ``target``."""

    service: str
    target: str
    duration_s: float


def _make_route(row: RouteRow, has_keys: bool) -> forwarding.Route:
    shares = [
        forwarding.ServiceShare(split.service, split.weight)
        for split in row.traffic_split
        if split.weight > 0
    ]
    if not shares and row.service:
        shares = [forwarding.ServiceShare(row.service, 1.0)]
    return forwarding.Route(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        shares=tuple(shares),
        repeat=REPEATS[row.kind, row.can_resume],
        is_stream=row.kind == 'streaming',
        timeout=row.timeout_ms / 1000,
        objective=row.target_latency_ms / 1000,
        event_gap=row.gap_target_ms / 1000,
        urgency=row.priority,
        max_attempts=max(1, row.max_attempts),
        tiers=tuple(row.model_tiers),
        needs_key=has_keys and not row.public,
        regions=frozenset(row.allowed_regions),
        has_affinity=row.sticky,
    )


def _make_service(row: ServiceRow) -> forwarding.BackendService:
    engine = row.engine or EngineRow()
    return forwarding.BackendService(
        name=row.name,
        max_connections=row.max_conns,
        cold_rate=row.cold_per_s,
        slots=engine.slots,
        cache_tokens=engine.kv_tokens,
        cache_token_bytes=engine.kv_bytes,
        copy_bytes_per_second=engine.link_mbps * 1e6 / 8,
        event_tokens=engine.stride,
        tier_costs={model.name: model.cost for model in engine.models},
    )


def read_table(value: bytes) -> route_tables.RouteTable:
    """Decodes the configuration.

    Raises:
        ProtocolError: The document is not valid.
    """
    try:
        document = ConfigDocument.model_validate_json(value)
        has_keys = document.tenants is not None
        routes = [
            _make_route(row, has_keys)
            for row in document.routes
            if row.service or row.traffic_split
        ]
    except (pydantic.ValidationError, KeyError) as exc:
        raise errors.ProtocolError(f'configuration: {exc}') from exc
    organisations = {}
    for row in document.tenants or []:
        found = forwarding.ForwardOrganisation(
            row.name, row.priority, frozenset(row.allowed_regions)
        )
        organisations.update(dict.fromkeys(row.api_keys, found))
    limits = document.limits
    return route_tables.build_table(
        document.version,
        routes,
        [_make_service(row) for row in document.services],
        organisations,
        forwarding.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / 1000,
            idle_seconds=limits.idle_timeout_ms / 1000,
        ),
    )


def read_order(value: bytes, revision: int) -> version_moves.Order:
    """Decodes an order to move a service.

    Raises:
        ProtocolError: The document is not valid.
    """
    try:
        document = RolloutDocument.model_validate_json(value)
    except pydantic.ValidationError as exc:
        raise errors.ProtocolError(f'rollout: {exc}') from exc
    return version_moves.Order(
        document.service, document.target, document.duration_s, revision
    )


def write_status(
    order: version_moves.Order, state: version_moves.State
) -> dict[str, bytes]:
    """Returns the status of a move as operators read it."""
    value = {'state': STATES[state], 'target': order.target}
    return {STATUS_PREFIX + order.service: json.dumps(value).encode()}
