"""Known backend servers of a gateway and their load estimates."""

from collections.abc import Iterator
import dataclasses

from chivejunction import clock
from chivejunction.protocol import messages

# Used until a time to first token or a duration has been observed.
ASSUMED_FIRST_TOKEN_SECONDS = 0.1
ASSUMED_DURATION_SECONDS = 1.0
# Weight of a new observation in the moving averages. With 0.2, about the last
# ten observations determine the average.
OBSERVATION_WEIGHT = 0.2
# Time without observations after which the first-token estimate of a server
# equals the pool's median. A server with a high estimate gets few requests;
# without this decay it would not be tried again after it has recovered.
ESTIMATE_FADE_SECONDS = 30.0
# Time for which a server counts as full after it refused an attempt. Its
# next heartbeat, at most a second later, reports the actual load.
BUSY_AFTER_REFUSAL_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one attempt, for ``Selector.record``.

    Attributes:
        sent_at: Monotonic time at which the attempt was sent.
        first_token_at: Monotonic time of the first data of a stream; 0 if
            there was none yet or the response is no stream, negative after
            an error status.
        load: Load of the server relative to its window when it was chosen,
            at most 1.
        kind: ``ok``, ``error``, ``refused`` or ``cancelled``.
        code: Refusal code or error status, may be empty.
    """

    sent_at: float = dataclasses.field(default_factory=clock.now)
    first_token_at: float = 0.0
    load: float = 0.0
    kind: str = 'cancelled'
    code: str = ''

    def record_event(self, event: messages.Frame, is_stream: bool) -> None:
        """Updates the outcome from an event of the response.

        Args:
            event: Head, data or end of the response.
            is_stream: Whether the arrival of the first data is the time of
                the first token.
        """
        if isinstance(event, messages.Data):
            if is_stream and not self.first_token_at:
                self.first_token_at = clock.now()
        elif isinstance(event, messages.Head):
            if event.status >= 500:
                self.record_failure(f'status {event.status}', False)
                # Excludes the time of an error response from the first-token
                # estimate: fast errors would make the server look fast.
                self.first_token_at = -1.0
        elif self.kind == 'cancelled':
            self.kind = 'ok'

    def record_failure(self, code: str, not_run: bool) -> None:
        """Records that the attempt failed.

        Args:
            code: Refusal code or error status.
            not_run: Whether the agent refused the attempt without running
                it.
        """
        self.kind = 'refused' if not_run else 'error'
        self.code = code


@dataclasses.dataclass(slots=True)
class Server:
    """State and load of one backend server.

    Deadlines and other points in time are monotonic and in seconds.

    Attributes:
        host: Host name.
        pool: Pool that the server belongs to.
        failure_domain: Failure domain of the host.
        incarnation: Incarnation of the agent.
        engine_incarnation: Incarnation of the engine, empty if the agent
            does not report it.
        versions: Model versions that are loaded.
        running: Running requests at the last report.
        queued: Requests queued at the agent at the last report.
        window: Number of concurrent requests that the agent admits.
        first_token_seconds: Moving average of the time to first token,
            corrected to an idle server; 0 if unknown.
        observed_at: Time of the latest first-token observation.
        duration: Moving average of the time of a whole attempt in seconds.
        in_flight: Attempts of this gateway in flight.
        reported_in_flight: Value of ``in_flight`` at the last report.
        other_gateway_requests: Requests of other gateways at the last
            report.
        sent_since_report: Attempts sent by this gateway since the last
            report.
        busy_until: Deadline until which the server counts as full.
        connected: Whether the data link is up.
        leaving: Whether the agent, the host list or an exchange between
            gateways reports the host as leaving.
        announced_leaving: Whether the host list or an exchange does.
        ready: Whether the agent accepts work.
        is_suspect: Whether an attempt got no response since the last
            heartbeat.
        was_unavailable: Whether the server was disconnected, leaving, not
            ready, in a closed failure domain, ejected or restarted. Its ramp
            starts when it can be chosen again.
        ramp_until: Deadline until which it gets a reduced share of requests.
        ejected_until: Deadline of an outlier ejection.
        host_bytes: Host name encoded for rendezvous hashing.
        reported_incarnations: Incarnations of agent and engine at the last
            report.
    """

    host: str
    pool: str
    failure_domain: str
    incarnation: str = ''
    engine_incarnation: str = ''
    versions: frozenset[str] = frozenset()
    running: int = 0
    queued: int = 0
    window: int = 1
    first_token_seconds: float = 0.0
    observed_at: float = 0.0
    duration: float = ASSUMED_DURATION_SECONDS
    in_flight: int = 0
    reported_in_flight: int = 0
    other_gateway_requests: int = 0
    sent_since_report: int = 0
    busy_until: float = 0.0
    connected: bool = False
    leaving: bool = False
    announced_leaving: bool = False
    ready: bool = True
    is_suspect: bool = False
    was_unavailable: bool = False
    ramp_until: float = 0.0
    ejected_until: float = 0.0
    host_bytes: bytes = b''
    reported_incarnations: tuple[str, str] = ('', '')

    def __post_init__(self):
        self.host_bytes = self.host.encode()

    def apply_load(self, load: dict) -> None:
        """Updates the server from the load report of a heartbeat.

        Args:
            load: Report with the keys ``r`` (running), ``q`` (queued), ``w``
                (window), ``t`` (time to first token in milliseconds), ``s``
                (state), ``v`` (versions) and ``i`` (incarnation of the
                engine). Missing keys leave the previous value, except that
                a missing ``s`` means ``ready``.
        """
        self.running = load.get('r', self.running)
        self.queued = load.get('q', self.queued)
        self.window = max(1, load.get('w', self.window))
        self.leaving = self.announced_leaving or load.get('s', '') == 'leaving'
        self.ready = load.get('s', 'ready') == 'ready'
        self.engine_incarnation = load.get('i', self.engine_incarnation)
        self.is_suspect = False
        self.reported_in_flight = self.in_flight
        self.other_gateway_requests = max(
            0, self.running + self.queued - self.in_flight
        )
        self.sent_since_report = 0
        if 'v' in load:
            self.versions = frozenset(load['v'])
        if load.get('t') and not self.first_token_seconds:
            self.first_token_seconds = load['t'] / 1000
            self.observed_at = clock.now()
        self._detect_restart()

    def _detect_restart(self) -> None:
        incarnations = self.incarnation, self.engine_incarnation
        if any(
            old and old != new
            for old, new in zip(
                self.reported_incarnations, incarnations, strict=True
            )
        ):
            # The estimate belongs to the previous incarnation, and the new
            # one starts with an empty cache.
            self.was_unavailable = True
            self.first_token_seconds = 0.0
        self.reported_incarnations = incarnations

    def record_outcome(self, outcome: Outcome) -> None:
        """Updates the estimates from the outcome of an attempt."""
        now = clock.now()
        if outcome.first_token_at > 0:
            seconds = outcome.first_token_at - outcome.sent_at
            # The time was observed under load, the estimate is for an idle
            # server.
            seconds /= 1 + outcome.load
            previous = self.first_token_seconds or seconds
            self.first_token_seconds = previous + OBSERVATION_WEIGHT * (
                seconds - previous
            )
            self.observed_at = now
        if outcome.kind == 'ok':
            self.duration += OBSERVATION_WEIGHT * (
                now - outcome.sent_at - self.duration
            )
        elif outcome.kind == 'refused':
            self.busy_until = now + BUSY_AFTER_REFUSAL_SECONDS

    def estimate_requests(self, other_gateway_ratio: float) -> float:
        """Returns the expected number of requests at the server.

        The own attempts are counted exactly. Those of other gateways are
        extrapolated from the last report: the other gateways received the
        same report, so they are expected to have sent
        ``other_gateway_ratio`` attempts for each attempt that this gateway
        has sent since.

        Args:
            other_gateway_ratio: Requests of other gateways for each request
                of this one.
        """
        return (
            self.other_gateway_requests
            + self.in_flight
            + other_gateway_ratio * self.sent_since_report
        )


class ServerTable:
    """Backend servers of a gateway, by host and by pool."""

    def __init__(self):
        self._by_host: dict[str, Server] = {}
        self._by_pool: dict[str, dict[str, Server]] = {}

    def add(self, server: Server) -> None:
        """Adds a server, replacing the previous one of its host."""
        self.remove(server.host)
        self._by_host[server.host] = server
        self._by_pool.setdefault(server.pool, {})[server.host] = server

    def remove(self, host: str) -> None:
        """Removes the server of a host, if there is one."""
        server = self._by_host.pop(host, None)
        if server is not None:
            del self._by_pool[server.pool][host]

    def get(self, host: str) -> Server | None:
        """Returns the server of a host, None if there is none."""
        return self._by_host.get(host)

    def list_pool(self, pool: str) -> list[Server]:
        """Returns the servers of a pool."""
        return list(self._by_pool.get(pool, {}).values())

    def __iter__(self) -> Iterator[Server]:
        return iter(list(self._by_host.values()))

    def __len__(self) -> int:
        return len(self._by_host)
