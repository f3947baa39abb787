"""Backend servers as a gateway knows them."""

from collections.abc import Iterator
import dataclasses

from chivejunction import clock
from chivejunction.protocol import messages

# First-token time in seconds that is assumed before the first observation.
ASSUMED_FIRST_TOKEN = 0.1
ASSUMED_DURATION = 1.0
# Weight of a new observation; about the last ten observations count.
OBSERVATION_WEIGHT = 0.2
# A server that looks slow gets few requests, so its estimate has to fade by
# itself, or the server would never be tried again after it has recovered.
# Without observations it is back at the pool's median after this time.
FADE_SECONDS = 30.0
# A server that refused for lack of room counts as full for this long; its
# next heartbeat is at most a second away.
BUSY_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one attempt, for ``Selector.record``.

    Attributes:
        sent_at: Monotonic time at which the attempt was sent.
        first_token_at: Monotonic time of the first data of a stream; 0 for
            plain answers and before it, negative for errors.
        load: Load of the server relative to its window when chosen.
        kind: ``ok``, ``error``, ``refused`` or ``cancelled``.
        code: Refusal code or error, may be empty.
    """

    sent_at: float = dataclasses.field(default_factory=clock.now)
    first_token_at: float = 0.0
    load: float = 0.0
    kind: str = 'cancelled'
    code: str = ''

    def see(self, event: messages.Frame, is_stream: bool) -> None:
        """Notes an event of the answer.

        Args:
            event: Head, data or end.
            is_stream: Whether the first data show the first token.
        """
        if isinstance(event, messages.Data):
            if is_stream and not self.first_token_at:
                self.first_token_at = clock.now()
        elif isinstance(event, messages.Head):
            if event.status >= 500:
                self.fail(f'status {event.status}', False)
                # An error that comes fast must not look like a fast server.
                self.first_token_at = -1.0
        elif self.kind == 'cancelled':
            self.kind = 'ok'

    def fail(self, code: str, not_run: bool) -> None:
        """Notes a failure; a refused attempt has not run."""
        self.kind = 'refused' if not_run else 'error'
        self.code = code


@dataclasses.dataclass(slots=True)
class Server:
    """One backend server.

    Attributes:
        host: Name of its host.
        pool: Pool it belongs to.
        failure_domain: Failure domain it stands in.
        incarnation: Incarnation of its agent.
        engine: Incarnation of its engine, if the agent reports it.
        versions: Model versions that are loaded.
        running: Requests running, as last reported.
        queued: Requests waiting at the agent, as last reported.
        window: Concurrent requests that the agent admits.
        first_token: Time to first token without load in seconds; 0 if
            unknown.
        observed_at: Monotonic time of the latest observation.
        duration: Recent time of a whole attempt in seconds.
        sent: Attempts sent by this gateway and not ended.
        reported_sent: The value of ``sent`` at the last report.
        others: Requests of other gateways at the last report.
        sent_since: Attempts sent by this gateway since the last report.
        busy_until: Deadline until which the server counts as full.
        connected: Whether the data link works.
        leaving: Whether the host announced that it leaves.
        announced_leaving: Whether the host list or an exchange says so.
        ready: Whether the agent takes work.
        suspect: Whether it left an attempt unanswered since its last
            heartbeat.
        absent: Whether the server could not be chosen lately.
        ramp_until: Deadline until which it gets a reduced share.
        ejected_until: Deadline of an outlier ejection.
        key: Host name as bytes, for rendezvous hashing.
        started_as: Incarnations of agent and engine at the last report.
    """

    host: str
    pool: str
    failure_domain: str
    incarnation: str = ''
    engine: str = ''
    versions: frozenset[str] = frozenset()
    running: int = 0
    queued: int = 0
    window: int = 1
    first_token: float = 0.0
    observed_at: float = 0.0
    duration: float = ASSUMED_DURATION
    sent: int = 0
    reported_sent: int = 0
    others: int = 0
    sent_since: int = 0
    busy_until: float = 0.0
    connected: bool = False
    leaving: bool = False
    announced_leaving: bool = False
    ready: bool = True
    suspect: bool = False
    absent: bool = False
    ramp_until: float = 0.0
    ejected_until: float = 0.0
    key: bytes = b''
    started_as: tuple[str, str] = ('', '')

    def __post_init__(self):
        self.key = self.host.encode()

    def apply_load(self, load: dict) -> None:
        """Takes over the load of a heartbeat.

        Short names: ``r`` running, ``q`` queued, ``w`` window, ``t`` time
        to first token in milliseconds, ``s`` state, ``v`` versions, ``i``
        incarnation of the engine.
        """
        self.running = load.get('r', self.running)
        self.queued = load.get('q', self.queued)
        self.window = max(1, load.get('w', self.window))
        self.leaving = self.announced_leaving or load.get('s', '') == 'leaving'
        self.ready = load.get('s', 'ready') == 'ready'
        self.engine = load.get('i', self.engine)
        self.suspect = False
        self.reported_sent = self.sent
        self.others = max(0, self.running + self.queued - self.sent)
        self.sent_since = 0
        if 'v' in load:
            self.versions = frozenset(load['v'])
        if load.get('t') and not self.first_token:
            self.first_token = load['t'] / 1000
            self.observed_at = clock.now()
        self._note_restart()

    def _note_restart(self) -> None:
        started_as = self.incarnation, self.engine
        if any(
            old and old != new
            for old, new in zip(self.started_as, started_as, strict=True)
        ):
            # What was learnt belongs to the earlier incarnation, and the
            # new one has an empty cache.
            self.absent = True
            self.first_token = 0.0
        self.started_as = started_as

    def observe(self, outcome: Outcome) -> None:
        """Learns from the result of an attempt."""
        now = clock.now()
        if outcome.first_token_at > 0:
            seconds = outcome.first_token_at - outcome.sent_at
            # Observed under load; the estimate is for an idle server.
            seconds /= 1 + outcome.load
            known = self.first_token or seconds
            self.first_token = known + OBSERVATION_WEIGHT * (seconds - known)
            self.observed_at = now
        if outcome.kind == 'ok':
            self.duration += OBSERVATION_WEIGHT * (
                now - outcome.sent_at - self.duration
            )
        elif outcome.kind == 'refused':
            self.busy_until = now + BUSY_SECONDS

    def estimate_load(self, growth: float) -> float:
        """Returns the expected requests at the server.

        The report is corrected by what this gateway knows better: its own
        attempts. Other gateways saw the same report, so they are expected to
        have sent ``growth`` attempts for each one sent from here since.

        Args:
            growth: Load of other gateways relative to that of this one.
        """
        return self.others + self.sent + growth * self.sent_since


class ServerTable:
    """All backend servers that a gateway knows, by host and by pool."""

    def __init__(self):
        self._by_host: dict[str, Server] = {}
        self._by_pool: dict[str, dict[str, Server]] = {}

    def add(self, server: Server) -> None:
        """Adds or replaces a server."""
        self.remove(server.host)
        self._by_host[server.host] = server
        self._by_pool.setdefault(server.pool, {})[server.host] = server

    def remove(self, host: str) -> None:
        """Removes the server of a host if it is known."""
        old = self._by_host.pop(host, None)
        if old is not None:
            del self._by_pool[old.pool][host]

    def get(self, host: str) -> Server | None:
        """Returns the server of a host, or None."""
        return self._by_host.get(host)

    def in_pool(self, pool: str) -> list[Server]:
        """Returns the servers of a pool."""
        return list(self._by_pool.get(pool, {}).values())

    def __iter__(self) -> Iterator[Server]:
        return iter(list(self._by_host.values()))

    def __len__(self) -> int:
        return len(self._by_host)
