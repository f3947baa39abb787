"""Requests that are forwarded to backend servers, and their answers.

These types are the border between a deployment's wire format and the
decisions of the router: a wire format decodes into them once.
"""

import abc
import dataclasses
import enum

Headers = list[tuple[bytes, bytes]]


class Repeat(enum.Enum):
    """What may be done with a request after it may have run."""

    NEVER = 'never'
    ALWAYS = 'always'
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    Attributes:
        id: Id of the part's content.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go, and how.

    Attributes:
        name: Name for logs and metrics.
        host: Value of the Host header, in lower case, without a port.
        prefix: Path prefix, begins and ends with a slash.
        shares: Services by weight.
        repeat: Whether a request may run more than once.
        is_stream: Whether answers are event streams.
        timeout: Longest time in seconds until the final answer.
        objective: Seconds within which an answer is on time; for streams
            the time to the first event.
        event_gap: Longest pause in seconds between events on time.
        urgency: Rank, 0 is the most urgent.
        max_attempts: Most servers that one request is sent to.
        tiers: Models that may answer, the smallest first; empty where the
            caller's model is the only one.
        needs_key: Whether a caller must show an organisation's key.
        regions: Regions that may serve it; empty for all.
        has_affinity: Whether prompts have shared parts worth caching.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeat: Repeat
    is_stream: bool = False
    timeout: float = 30.0
    objective: float = 1.0
    event_gap: float = 0.0
    urgency: int = 5
    max_attempts: int = 1
    tiers: tuple[str, ...] = ()
    needs_key: bool = True
    regions: frozenset[str] = frozenset()
    has_affinity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BackendService:
    """A service that backend servers offer.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one server takes from all callers.
        cold_rate: Requests a second that a cold server bears; 0 for no limit.
        slots: Requests that one engine runs at a time; 0 if not known.
        cache_tokens: Memory of one engine in tokens; 0 if not an engine.
        cache_token_bytes: Bytes of that memory for each token.
        copy_bytes_per_second: Speed at which one engine copies it from
            another one; 0 if it cannot.
        event_tokens: Tokens that one event of a stream holds.
        tier_costs: Cost of each model for 1,000 tokens.
    """

    name: str
    max_connections: int = 100
    cold_rate: float = 0.0
    slots: int = 0
    cache_tokens: int = 0
    cache_token_bytes: float = 0.0
    copy_bytes_per_second: float = 0.0
    event_tokens: int = 1
    tier_costs: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardOrganisation:
    """An organisation as routes know it.

    Attributes:
        name: Name that backend servers see.
        urgency: Rank that goes before the route's, or None.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    urgency: int | None = None
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take (seconds)."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(slots=True)
class ForwardRequest:
    """A caller's request, decoded.

    Attributes:
        id: Id that the caller gave it; empty without one.
        method: HTTP method.
        target: Path and query as sent.
        host: Value of the Host header.
        headers: Headers that are passed on unchanged.
        body: Whole body.
        key: Organisation key, empty without one.
        received_at: Monotonic time of its last byte.
        deadline: Monotonic time at which the caller stops waiting.
        resume_after: Last event that the caller has, or None.
        model: Model that the caller names.
        prompt: Parts of the prompt in order; the last one is its own.
        input_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens that are generated.
        expected_tokens: The caller's guess of the tokens generated; 0
            without one.
        session: Session id, empty without one.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str
    received_at: float
    deadline: float
    resume_after: int | None = None
    model: str = ''
    prompt: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output_tokens: int = 0
    expected_tokens: int = 0
    session: str = ''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split('?', 1)[0]


@dataclasses.dataclass(slots=True)
class Dispatch:
    """One attempt as it is sent to a backend server.

    Attributes:
        instance: Instance that must run it.
        organisation: Name of the organisation; empty on public routes.
        model: Model that has to answer; empty without one.
        urgency: Rank at the server, 0 is first; None for the default.
        resume_after: Last event that the caller has got, or None.
        deadline: Monotonic time at which the server may stop.
        copy_from: ``IP:PORT`` of the server from which it first copies what
            that one holds of the prompt; empty for none.
    """

    instance: str
    organisation: str
    model: str
    urgency: int | None
    resume_after: int | None
    deadline: float
    copy_from: str = ''


@dataclasses.dataclass(slots=True)
class AnswerHead:
    """Status and headers of a backend server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on unchanged.
        request_id: Id of the request that it answers.
        is_signed: Whether the server's own signature is there.
        has_not_run: Whether the server says that nothing was run.
        confidence: The model's opinion of its answer, 0 to 1, or None.
        is_closing: Whether the connection must not be used again.
        idle_seconds: How long the server keeps an idle connection, or None.
    """

    status: int
    headers: Headers
    request_id: str
    is_signed: bool
    has_not_run: bool
    confidence: float | None = None
    is_closing: bool = False
    idle_seconds: float | None = None


class WireFormat(abc.ABC):
    """Translates between HTTP messages and the types of this module.

    Attributes:
        probe_target: Target of a GET that an engine answers at once, however
            busy it is.
    """

    probe_target: str

    @abc.abstractmethod
    def read_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_at: float,
    ) -> ForwardRequest:
        """Decodes a caller's request.

        Raises:
            RefusalError: A header is not valid.
        """

    @abc.abstractmethod
    def write_attempt(
        self, request: ForwardRequest, dispatch: Dispatch
    ) -> Headers:
        """Returns the headers of an attempt, without those of framing."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decodes the head of a backend server's answer."""

    @abc.abstractmethod
    def write_refusal(
        self, request_id: str, retry_after: float | None
    ) -> Headers:
        """Returns the headers of an answer of the router itself."""
