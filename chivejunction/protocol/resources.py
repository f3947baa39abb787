"""Validated models of the resources that operators declare."""

import enum
import hashlib
from typing import Annotated
from typing import Literal

import pydantic

from chivejunction import errors

MAX_DOCUMENT_BYTES = 1_000_000
MAX_CHANGE_IDS = 200
# Deletions that are kept so that a peer with an older revision can receive
# them in a delta.
MAX_DELETIONS = 200

ResourceName = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$', max_length=63
    ),
]
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]

KINDS: dict[str, type['Resource']] = {}


def register_kind(cls):
    """Registers a resource class under its lower-case name."""
    KINDS[cls.__name__.lower()] = cls
    return cls


def hash_key(key: str) -> str:
    """Returns the hash of an API key, the form in which it is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class Resource(pydantic.BaseModel):
    """Base of all resources; unknown fields are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: ResourceName


@register_kind
class Organisation(Resource):
    """An organisation and its permissions.

    ``models``, ``versions`` and ``services`` list what it may use; a model
    allows all its versions except those in ``denied_versions``. ``weight`` is
    its relative share of capacity under contention; requests with a higher
    ``priority`` run first.
    """

    key_hashes: list[str] = []
    models: list[ResourceName] = []
    versions: list[ResourceName] = []
    denied_versions: list[ResourceName] = []
    services: list[ResourceName] = []
    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 4
    quality_target: Fraction = 0.8


@register_kind
class Model(Resource):
    """A model that callers request; its versions serve the requests."""

    description: str = ''


class VersionState(enum.StrEnum):
    """Whether a version accepts requests."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    WITHDRAWN = 'withdrawn'


@register_kind
class ModelVersion(Resource):
    """A version of a model, served by a pool.

    Costs are in cost units per 1,000 tokens. ``quality`` is the operators'
    prior estimate for each request class (0 to 1). ``drain_deadline`` is in
    seconds since the epoch; a draining version keeps its sessions until then.
    ``replicas`` is the number of servers that load it, all by default.
    ``moved_sessions`` is set by a withdrawal and never reset: sessions without
    a token have then moved to other versions and do not move back.
    """

    model: ResourceName
    pool: ResourceName
    input_cost: Annotated[float, pydantic.Field(ge=0)] = 1.0
    output_cost: Annotated[float, pydantic.Field(ge=0)] = 1.0
    quality: dict[str, Fraction] = {}
    state: VersionState = VersionState.ACTIVE
    drain_deadline: float | None = None
    moved_sessions: bool = False
    replicas: Annotated[int, pydantic.Field(ge=1)] | None = None


@register_kind
class Service(Resource):
    """A plain service that the servers of a pool offer.

    ``not_repeatable`` lists the methods whose calls run at most once.
    """

    pool: ResourceName
    not_repeatable: list[str] = ['POST', 'PUT', 'PATCH', 'DELETE']


@register_kind
class Pool(Resource):
    """A group of interchangeable backend servers.

    ``warm_window`` and ``cold_window`` are the maximum numbers of concurrent
    requests for a warm and for a newly started backend server. ``fencing`` is
    whether the engines check the fencing number of orders. ``load_permits`` is
    the number of engines that may load weights at the same time,
    ``versions_per_server`` the number of versions that fit in one engine.
    """

    kind: Literal['engine', 'service'] = 'engine'
    cold_window: Annotated[int, pydantic.Field(ge=1)] = 2
    warm_window: Annotated[int, pydantic.Field(ge=1)] = 16
    queue_length: Annotated[int, pydantic.Field(ge=0)] = 64
    fencing: bool = True
    load_permits: Annotated[int, pydantic.Field(ge=1)] = 2
    versions_per_server: Annotated[int, pydantic.Field(ge=1)] = 8


@register_kind
class Cascade(Resource):
    """Versions or models to try for request classes, cheapest first.

    An empty ``organisations`` means all organisations.
    """

    request_classes: list[str]
    organisations: list[ResourceName] = []
    steps: Annotated[list[ResourceName], pydantic.Field(min_length=1)]
    quality_target: Fraction | None = None


class RolloutState(enum.StrEnum):
    """Progress of a roll-out."""

    RUNNING = 'running'
    PAUSED = 'paused'
    HALTED = 'halted'
    COMPLETE = 'complete'


@register_kind
class Rollout(Resource):
    """Moves the sessions of a model from one version to another.

    ``share`` is the fraction of sessions on ``to_version``; it rises through
    ``stages`` or returns to zero. ``stage_seconds`` is the minimum time at one
    stage. The ``max_*`` fields limit how much worse than ``from_version`` the
    new version may be.
    """

    model: ResourceName
    from_version: ResourceName
    to_version: ResourceName
    stages: list[Fraction] = [0.01, 0.05, 0.25, 1.0]
    stage_seconds: Annotated[float, pydantic.Field(gt=0)] = 300.0
    share: Fraction = 0.0
    state: RolloutState = RolloutState.RUNNING
    reason: str = ''
    max_quality_drop: Fraction = 0.05
    max_error_increase: Fraction = 0.02
    max_latency_ratio: Annotated[float, pydantic.Field(ge=1)] = 1.5

    @pydantic.model_validator(mode='after')
    def check_stages(self):
        """Rejects stages that are empty or not strictly increasing."""
        if not self.stages or sorted(set(self.stages)) != self.stages:
            raise ValueError('stages must rise and not be empty')
        return self


@register_kind
class FailureDomain(Resource):
    """A failure domain in a region; closed ones get no new requests."""

    region: ResourceName
    state: Literal['open', 'closed'] = 'open'


@register_kind
class Limit(Resource):
    """Rate limits of an organisation across the whole deployment."""

    organisation: ResourceName
    requests_per_second: Annotated[float, pydantic.Field(gt=0)] | None = None
    tokens_per_second: Annotated[float, pydantic.Field(gt=0)] | None = None
    burst_seconds: Annotated[float, pydantic.Field(gt=0)] = 2.0


class Document(pydantic.BaseModel):
    """The whole configuration at one revision.

    ``resources`` maps kind to name to resource. ``changed`` maps
    ``kind/name`` to the revision of the last change, also for the most
    recently deleted resources. ``changes`` lists the ids of the latest
    changes, newest last. Deletions up to the revision ``forgotten`` are no
    longer in ``changed``.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    revision: int = 0
    resources: dict[str, dict[str, dict]] = {}
    changed: dict[str, int] = {}
    changes: list[str] = []
    forgotten: int = 0

    def get_resource_revision(self, kind: str, name: str) -> int:
        """Returns the revision of a resource, 0 if it does not exist."""
        if name not in self.resources.get(kind, {}):
            return 0
        return self.changed.get(f'{kind}/{name}', 0)

    def prune_deletions(self) -> None:
        """Removes the oldest deletions if there are too many.

        Otherwise they could use up the size limit of the document.
        """
        deleted = sorted(
            (revision, key)
            for key, revision in self.changed.items()
            if key.split('/', 1)[1]
            not in self.resources.get(key.split('/', 1)[0], {})
        )
        for revision, key in deleted[: max(0, len(deleted) - MAX_DELETIONS)]:
            del self.changed[key]
            self.forgotten = max(self.forgotten, revision)


def parse_document(data: bytes | str) -> Document:
    """Parses a document from JSON.

    Raises:
        ProtocolError: The data is not a valid document.
    """
    try:
        return Document.model_validate_json(data)
    except pydantic.ValidationError as exc:
        raise errors.ProtocolError(f'malformed document: {exc}') from exc


def dump_document(document: Document) -> bytes:
    """Returns a document as JSON."""
    return document.model_dump_json().encode()


def format_validation_errors(
    exc: pydantic.ValidationError, subject: str
) -> str:
    """Returns a message with the invalid fields and the reasons.

    Args:
        exc: Validation error.
        subject: Stands for the field in errors about the whole value.
    """
    return '; '.join(
        f'{".".join(map(str, e["loc"])) or subject}: {e["msg"]}'
        for e in exc.errors()
    )


def parse_resource(kind: str, value: dict) -> Resource:
    """Returns the validated resource of a kind.

    Raises:
        RefusalError: The kind is unknown or the value is not valid.
    """
    cls = KINDS.get(kind)
    if cls is None:
        known = ', '.join(sorted(KINDS))
        raise errors.RefusalError(
            'unknown_kind', f'unknown kind {kind!r}; known: {known}'
        )
    try:
        return cls.model_validate(value)
    except pydantic.ValidationError as exc:
        raise errors.RefusalError(
            'invalid_resource', format_validation_errors(exc, kind)
        ) from exc
