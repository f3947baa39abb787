"""Types of forwarded requests and of the responses to them.

They separate the router's decisions from the wire format of a deployment: a
WireFormat decodes each message into these types once.
"""

import abc
import dataclasses
import enum

Headers = list[tuple[bytes, bytes]]


class RepeatPolicy(enum.Enum):
    """Whether a request that may have run can be sent again.

    RESUME allows it for a stream that continues after the last event which
    the caller has received.
    """

    NEVER = 'never'
    ALWAYS = 'always'
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    Attributes:
        id: Identifies the content of the part.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Routing of the requests for a host and path prefix.

    Attributes:
        name: Name in logs and metrics.
        host: Value of the Host header, in lower case, without a port.
        prefix: Path prefix, begins and ends with a slash.
        shares: Services with their weights in the traffic split.
        repeat_policy: Whether a request may run more than once.
        is_stream: Whether responses are event streams.
        timeout: Time limit for the whole response, in seconds.
        objective: Target latency of the response in seconds; for streams the
            target of the time to the first event.
        event_gap: Target of the longest pause between two events of a stream,
            in seconds.
        urgency: Priority; 0 is the most urgent.
        max_attempts: Maximum number of attempts for one request.
        tiers: Models that may respond, the smallest first; empty if only the
            model that the caller names may.
        needs_key: Whether callers must present the key of an organisation.
        regions: Regions that may serve the requests; empty for all.
        has_affinity: Whether requests are sent preferably to servers that
            have cached parts of their prompt.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeat_policy: RepeatPolicy
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
        max_connections: Maximum number of connections to one server, over
            all clients.
        cold_rate: Maximum requests per second to a cold server; 0 for no
            limit.
        slots: Requests that one engine runs at the same time; 0 if unknown.
        cache_tokens: Memory of one engine for prompts and responses (KV cache)
            in tokens; 0 if the servers are not engines.
        cache_token_bytes: Size of one cached token in bytes.
        copy_bytes_per_second: Rate at which an engine copies cached tokens
            from another one; 0 if it cannot.
        event_tokens: Number of tokens in one event of a stream.
        tier_costs: Cost of 1,000 tokens for each model.
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
    """Routing properties of an organisation.

    Attributes:
        name: Name that is sent to backend servers.
        urgency: Priority that overrides that of the route, or None.
        regions: Regions that may serve the organisation; empty for all.
        weight: Weight of its share of scarce capacity.
    """

    name: str
    urgency: int | None = None
    regions: frozenset[str] = frozenset()
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for the requests of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(slots=True)
class ForwardRequest:
    """A decoded request of a caller.

    Attributes:
        id: Request id set by the caller; empty without one.
        method: HTTP method.
        target: Path and query as sent.
        host: Value of the Host header.
        headers: Headers that are forwarded unchanged.
        body: Complete body.
        key: Organisation key; empty without one.
        received_at: Monotonic time at which the last byte was received.
        deadline: Monotonic time at which the caller times out.
        resume_after: Id of the last event that the caller has received, or
            None.
        model: Model that the caller names.
        prompt: Parts of the prompt in order; the last one is not shared with
            other requests.
        input_tokens: Length of the prompt in tokens.
        max_output_tokens: Maximum number of generated tokens.
        expected_tokens: The caller's estimate of the generated tokens; 0
            without one.
        session: Session id; empty without one.
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
    def shared_part_id(self) -> str:
        """Id of the last prompt part that other requests share, or empty."""
        return self.prompt[-2].id if len(self.prompt) > 1 else ''

    @property
    def shared_tokens(self) -> int:
        """Length in tokens of the prompt parts that other requests share."""
        return sum(part.tokens for part in self.prompt[:-1])

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.split('?', 1)[0]


@dataclasses.dataclass(slots=True)
class Dispatch:
    """Parameters of one attempt at a backend server.

    Attributes:
        instance: Server instance that must run the attempt.
        organisation: Name of the organisation; empty on public routes.
        model: Model that must respond; empty without one.
        urgency: Priority at the server, 0 runs first; None for the default.
        resume_after: Id of the last event that the caller has received, or
            None.
        deadline: Monotonic time at which the server may stop.
        copy_from: ``IP:PORT`` of the server from which the instance first
            copies the cached part of the prompt; empty for none.
    """

    instance: str
    organisation: str
    model: str
    urgency: int | None
    resume_after: int | None
    deadline: float
    copy_from: str = ''


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a backend server's response.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded unchanged.
        request_id: Id of the request.
        is_signed: Whether the response carries the server's signature.
        has_not_run: Whether the server reports that the request did not run.
        confidence: Confidence of the model in its response, 0 to 1, or None.
        is_closing: Whether the connection must not be reused.
        idle_seconds: Idle timeout of the server's connections, or None.
        rate_limit: Requests per second that the server takes from all
            gateways together, None if it names no limit.
        is_leaving: Whether the server says that it is shutting down.
        retry_after: Seconds for which the server wants no request from this
            gateway after a refusal, or None.
    """

    status: int
    headers: Headers
    request_id: str
    is_signed: bool
    has_not_run: bool
    confidence: float | None = None
    is_closing: bool = False
    idle_seconds: float | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: float | None = None


class WireFormat(abc.ABC):
    """Converts between HTTP messages and the types of this module.

    Attributes:
        probe_target: Request target for liveness probes: a GET that an engine
            answers immediately under any load.
    """

    probe_target: str

    @abc.abstractmethod
    def decode_request(
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
    def make_attempt_headers(
        self, request: ForwardRequest, dispatch: Dispatch
    ) -> Headers:
        """Returns the headers of an attempt, without the framing headers."""

    @abc.abstractmethod
    def decode_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Decodes status and headers of a backend server's response."""

    @abc.abstractmethod
    def make_refusal_headers(
        self, request_id: str, retry_after: float | None
    ) -> Headers:
        """Returns the headers of a refusal sent by the router.

        Args:
            request_id: Id of the request.
            retry_after: Seconds after which a retry makes sense, or None.
        """
