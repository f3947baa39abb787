"""Operators' configuration and rollout orders in the platform's store."""

import json
from typing import Annotated

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

# Keys: kind of a route and whether its streams can be resumed.
REPEAT_BY_KIND = {
    ('idempotent', False): forwarding.RepeatPolicy.ALWAYS,
    ('idempotent', True): forwarding.RepeatPolicy.ALWAYS,
    ('non_idempotent', False): forwarding.RepeatPolicy.NEVER,
    ('non_idempotent', True): forwarding.RepeatPolicy.NEVER,
    ('streaming', False): forwarding.RepeatPolicy.NEVER,
    ('streaming', True): forwarding.RepeatPolicy.RESUME,
}
STATUS_BY_STATE = {
    version_moves.State.RUNNING: 'running',
    version_moves.State.COMPLETE: 'completed',
    version_moves.State.REVERTED: 'rolled_back',
}


def _check_prefix(prefix: str) -> str:
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise ValueError('a prefix begins and ends with a slash')
    return prefix


class ConfigModel(settings.SettingsModel):
    """Base of the models of operators' documents, with strict types."""

    model_config = pydantic.ConfigDict(strict=True)


class TrafficSplit(ConfigModel):
    """Share of a route's traffic that a service receives."""

    service: str = pydantic.Field(min_length=1)
    weight: settings.Amount = 1.0


class RouteConfig(ConfigModel):
    """A route.

    Attributes:
        public: Whether requests need no API key.
        sticky: Whether its prompts share parts that are worth caching.
    """

    name: str
    host: str
    prefix: Annotated[str, pydantic.AfterValidator(_check_prefix)]
    kind: str
    service: str | None = None
    traffic_split: list[TrafficSplit] = []
    timeout_ms: settings.PositiveAmount = 30_000
    target_latency_ms: settings.Amount = 1_000
    gap_target_ms: settings.Amount = 0
    priority: settings.Count = 5
    max_attempts: settings.Count = 1
    model_tiers: list[settings.HeaderValue] = []
    public: bool = False
    sticky: bool = False
    can_resume: bool = False
    allowed_regions: list[str] = []


class ModelConfig(ConfigModel):
    """A model; ``cost`` is per 1,000 tokens."""

    name: str
    cost: settings.Amount = 0.0


class EngineConfig(ConfigModel):
    """Capacity of each inference engine of a service.

    Attributes:
        slots: Number of concurrent requests.
        kv_tokens: Size of the KV cache in tokens of prompts and outputs.
        kv_bytes: Bytes of KV cache for each token.
        link_mbps: Rate in Mbit/s at which engines copy cache entries from
            one another.
        stride: Number of tokens in an event of a stream.
        models: Models that the engines run.
    """

    slots: settings.Count = 0
    kv_tokens: settings.Count = 0
    kv_bytes: settings.Amount = 0.0
    link_mbps: settings.Amount = 0.0
    stride: settings.PositiveCount = 1
    models: list[ModelConfig] = []


class ServiceConfig(ConfigModel):
    """A service with the limits of its backend servers."""

    name: str
    max_conns: settings.Count = 100
    cold_per_s: settings.Amount = 0.0
    engine: EngineConfig | None = None


class CallerLimitsConfig(ConfigModel):
    """Limits on the requests and connections of callers."""

    max_header_bytes: settings.PositiveCount = 16384
    max_body_bytes: settings.Count = 4194304
    header_timeout_ms: settings.PositiveAmount = 5000
    idle_timeout_ms: settings.PositiveAmount = 15000


class OrganisationConfig(ConfigModel):
    """An organisation with its API keys.

    Attributes:
        weight: Weight of its share of scarce capacity.
    """

    name: settings.HeaderValue
    api_keys: list[str] = []
    priority: settings.Count | None = None
    allowed_regions: list[str] = []
    weight: settings.PositiveAmount = 1.0


class ConfigDocument(ConfigModel):
    """Configuration of all routes, services and organisations.

    Without ``tenants`` no route needs an API key; with an empty list no key
    is valid.
    """

    version: int
    routes: list[RouteConfig] = []
    services: list[ServiceConfig] = []
    limits: CallerLimitsConfig = CallerLimitsConfig()
    tenants: list[OrganisationConfig] | None = None


class RolloutDocument(ConfigModel):
    """Order to move a service to the version ``target``."""

    service: str
    target: str
    duration_s: settings.PositiveAmount


def _make_route(config: RouteConfig, has_keys: bool) -> forwarding.Route:
    shares = [
        forwarding.ServiceShare(split.service, split.weight)
        for split in config.traffic_split
        if split.weight > 0
    ]
    if not shares and config.service:
        shares = [forwarding.ServiceShare(config.service, 1.0)]
    if not shares:
        raise ValueError(f'all weights of route {config.name!r} are 0')
    return forwarding.Route(
        name=config.name,
        host=config.host,
        prefix=config.prefix,
        shares=tuple(shares),
        repeat_policy=REPEAT_BY_KIND[config.kind, config.can_resume],
        is_stream=config.kind == 'streaming',
        timeout=config.timeout_ms / 1000,
        objective=config.target_latency_ms / 1000,
        event_gap=config.gap_target_ms / 1000,
        urgency=config.priority,
        max_attempts=max(1, config.max_attempts),
        tiers=tuple(config.model_tiers),
        needs_key=has_keys and not config.public,
        regions=frozenset(config.allowed_regions),
        has_affinity=config.sticky,
    )


def _make_service(config: ServiceConfig) -> forwarding.BackendService:
    engine = config.engine or EngineConfig()
    return forwarding.BackendService(
        name=config.name,
        max_connections=config.max_conns,
        cold_rate=config.cold_per_s,
        slots=engine.slots,
        cache_tokens=engine.kv_tokens,
        cache_token_bytes=engine.kv_bytes,
        copy_bytes_per_second=engine.link_mbps * 1e6 / 8,
        event_tokens=engine.stride,
        tier_costs={model.name: model.cost for model in engine.models},
    )


def decode_route_table(value: bytes) -> route_tables.RouteTable:
    """Decodes the configuration.

    Routes without a service are skipped.

    Args:
        value: JSON of a ``ConfigDocument``.

    Raises:
        ProtocolError: The document is not valid.
    """
    try:
        document = ConfigDocument.model_validate_json(value)
        has_keys = document.tenants is not None
        routes = [
            _make_route(route, has_keys)
            for route in document.routes
            if route.service or route.traffic_split
        ]
    except (ValueError, KeyError) as exc:
        raise errors.ProtocolError(
            f'configuration is not valid: {exc}'
        ) from exc
    organisations = {}
    for tenant in document.tenants or []:
        organisation = forwarding.ForwardOrganisation(
            tenant.name,
            tenant.priority,
            frozenset(tenant.allowed_regions),
            tenant.weight,
        )
        # A request without a key has an empty one.
        keys = filter(None, tenant.api_keys)
        organisations.update(dict.fromkeys(keys, organisation))
    limits = document.limits
    return route_tables.build_table(
        document.version,
        routes,
        [_make_service(service) for service in document.services],
        organisations,
        forwarding.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / 1000,
            idle_seconds=limits.idle_timeout_ms / 1000,
        ),
    )


def decode_rollout_order(value: bytes, revision: int) -> version_moves.Order:
    """Decodes an order to move a service to another version.

    Args:
        value: JSON of a ``RolloutDocument``.
        revision: Store revision of the order.

    Raises:
        ProtocolError: The document is not valid.
    """
    try:
        document = RolloutDocument.model_validate_json(value)
    except pydantic.ValidationError as exc:
        raise errors.ProtocolError(
            f'rollout order is not valid: {exc}'
        ) from exc
    return version_moves.Order(
        document.service, document.target, document.duration_s, revision
    )


def encode_move_status(
    order: version_moves.Order, state: version_moves.State
) -> dict[str, bytes]:
    """Returns the store key and value that report a move to operators."""
    status = {'state': STATUS_BY_STATE[state], 'target': order.target}
    return {STATUS_PREFIX + order.service: json.dumps(status).encode()}
