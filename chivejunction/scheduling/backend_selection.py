"""Choice of the backend server for an attempt of a forwarded request."""

from collections.abc import Callable
import dataclasses
import math
import statistics

import xxhash

from chivejunction import clock
from chivejunction.protocol import forwarding
from chivejunction.scheduling import domain_shares
from chivejunction.scheduling import prefix_placement
from chivejunction.scheduling import server_limits
from chivejunction.scheduling import server_paces
from chivejunction.scheduling import stream_pauses
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import prefix_caches
from chivejunction.state import token_buckets

# Candidates are compared by a cost in seconds: the estimated time to the first
# byte plus the penalties below.
#
# Penalty for a server in another region: the extra round trip and the charge
# for inter-region traffic.
REMOTE_REGION_PENALTY_SECONDS = 0.2
REMOTE_REGION_PENALTY_SECONDS_PLAIN = 0.12
# Penalty for each attempt in progress on an engine, because decoding its
# tokens slows down the other attempts.
RUNNING_ATTEMPT_PENALTY_SECONDS = 0.004
# Penalty for a fully occupied server of a plain service (one without models),
# which runs one request per slot.
OCCUPIED_SLOTS_PENALTY_SECONDS = 0.06
ERROR_SHARE_PENALTY_SECONDS = 1.0
# Servers at home whose share of errors is higher by this are left for it.
FAULT_SHARE = 0.05
# Prefill of tokens that another server has cached is charged in addition to
# the engine time: 13,300 tokens cost about as much as inter-region traffic.
CACHE_MISS_PENALTY_SECONDS_PER_TOKEN = 0.2 / 13_300
# Penalty for copying cached tokens between engines: according to the users'
# data sheets, a GB costs as much as the prefill of 15,000 tokens, which is
# 0.22 s at the rate above.
COPY_PENALTY_SECONDS_PER_GB = 0.22
# Setup time of a copy. The users' data sheets give 1.7 ms at each end.
COPY_SETUP_SECONDS = 0.004
# Weight of the time between the first and the last event of a stream. It is
# low because this time hardly matters unless the stream would miss its
# deadline, which LATENESS_WEIGHT covers.
STREAM_TIME_WEIGHT = 0.05
LATENESS_WEIGHT = 1.0
# Interval between events that is assumed for a server without recent streams:
# that of the users' idle engines.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.03
# Advantage of the server that rendezvous hashing assigns to a prompt, as a
# share of the prefill time of its shared part. All gateways then send a prompt
# to the same server, also where they do not know yet what it has cached,
# unless its backlog exceeds that of another server by more than this.
RENDEZVOUS_BONUS_SHARE = 0.75
MIN_RENDEZVOUS_BONUS_SECONDS = 0.08
# Maximum number of gateways that send to the same cold server. Each may send a
# burst of one request, and users accept 5 requests above 1.5 times the rate.
MAX_COLD_GATEWAYS = 5
# Share of a server's connections that the gateways together may use.
CONNECTION_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class BackendRequirements:
    """Requirements of an attempt on its backend server.

    Attributes:
        service: Service that the server must offer.
        model: Model that handles the request; empty for a plain service.
        regions: Regions that may serve the request; empty for all.
        prefixes: Cacheable prefixes of the prompt as returned by
            ``prefix_caches.list_prefixes``.
        tokens: Length of the whole prompt in tokens.
        events: Expected number of events in the response.
        event_tokens: Number of tokens in one event.
        tolerated_pause: Longest pause in seconds between two events of the
            streams of the service; 0 if any is tolerated.
        objective: Target of the time to the first event in seconds, 0 for
            none.
        seconds_left: Time in seconds until the response must be complete.
        tried: Instances that are excluded because they were tried before.
        is_version_allowed: Returns whether a software version may be used.
        body_bytes: Length of the request body.
    """

    service: str
    model: str = ''
    regions: frozenset[str] = frozenset()
    prefixes: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    tokens: int = 0
    events: float = 0.0
    event_tokens: int = 1
    tolerated_pause: float = 0.0
    objective: float = 0.0
    seconds_left: float = math.inf
    tried: frozenset[str] = frozenset()
    is_version_allowed: Callable[[str], bool] = lambda version: True
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Choice:
    """A backend server with the estimates for an attempt on it.

    Attributes:
        backend: The backend server.
        seconds: Estimated prefill time in seconds.
        wait: Estimated backlog ahead of the attempt in seconds.
        held_tokens: Prompt tokens that need no prefill: those that the
            server probably has cached and those that it copies.
        model: Model of the attempt; empty for a plain service.
        stream_seconds: Estimated time in seconds from the first event to the
            last one.
        source: Server to copy cached tokens from, or None.
        copied_tokens: Number of tokens to copy.
        penalty_seconds: Penalty in seconds for cache misses and for the copy.
        busy_seconds: Median backlog of all candidates in seconds. A server
            that stopped responding has a long one, which says nothing.
        server_count: Number of candidates.
        running_attempts: Attempts of all gateways in progress at the server.
        disturbed_streams: Attempts there whose events the prefill delays
            beyond the tolerated pause.
        pace_ratio: Prefill time of the server compared with that of all
            servers with the model.
        pace: Pace of the server that the estimates assume.
        left_reason: Why the attempt leaves the failure domain; empty if it
            stays or domains do not matter.
        away_share: Share of the service that was to leave at that time.
        size: Expected bytes of the request and its response; 0 if domains do
            not matter.
        placement: Servers that are to have the prompt's prefix, or None.
        copy_verdict: Why a copy was planned or not; None without an offer.
        copy_seconds: Time in seconds for which the copy uses the links.
        copied_bytes: Size of the copy.
    """

    backend: backends.Backend
    seconds: float
    wait: float
    held_tokens: int
    model: str = ''
    stream_seconds: float = 0.0
    source: backends.Backend | None = None
    copied_tokens: int = 0
    penalty_seconds: float = 0.0
    busy_seconds: float = 0.0
    server_count: int = 1
    running_attempts: float = 0.0
    disturbed_streams: float = 0.0
    pace_ratio: float = 1.0
    pace: float = 1.0
    left_reason: str = ''
    away_share: float = 0.0
    size: float = 0.0
    placement: prefix_placement.Placement | None = None
    copy_verdict: prefix_placement.CopyVerdict | None = None
    copy_seconds: float = 0.0
    copied_bytes: float = 0.0

    @property
    def copy_from(self) -> str:
        """``IP:PORT`` of the server to copy from, empty if there is none."""
        if self.source is None:
            return ''
        return f'{self.source.address}:{self.source.port}'

    @property
    def work_seconds(self) -> float:
        """Estimated seconds of the server's work, 0 for a plain service."""
        return max(0.0, self.seconds - backlogs.BASE_FIRST_BYTE_SECONDS)

    @property
    def is_replica(self) -> bool:
        """Whether the server is to have the prefix of the prompt."""
        return bool(
            self.placement and self.backend.instance in self.placement.replicas
        )

    @property
    def replica_count(self) -> int:
        """Number of servers that are to have the prefix, 0 if not placed."""
        return len(self.placement.replicas) if self.placement else 0

    @property
    def total_seconds(self) -> float:
        """Estimated time in seconds until the response is complete."""
        return self.wait + self.seconds + self.stream_seconds


def estimate_occupancy(
    requirements: BackendRequirements,
    backend: backends.Backend,
    running_attempts: float,
) -> float:
    """Returns the penalty in seconds for attempts in progress at a server.

    Args:
        requirements: What the attempt needs from its server.
        backend: The server.
        running_attempts: Attempts of all gateways in progress at an engine.
    """
    if requirements.model:
        return RUNNING_ATTEMPT_PENALTY_SECONDS * running_attempts
    return OCCUPIED_SLOTS_PENALTY_SECONDS * backend.running / backend.slots


def compute_rendezvous_score(key: str | int, instance: str) -> int:
    """Returns the rendezvous hashing score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}|{instance}'.encode())


def find_copy_sources(choices: list[Choice]) -> dict[str, Choice]:
    """Returns the choice with the most cached tokens of each version.

    Servers can only copy from servers of the same version, because cached
    tokens of another version cannot be used.
    """
    sources: dict[str, Choice] = {}
    for choice in choices:
        best = sources.get(choice.backend.version)
        if best is None or choice.held_tokens > best.held_tokens:
            sources[choice.backend.version] = choice
    return sources


class BackendSelector:
    """Chooses the backend server with the lowest estimated cost.

    The cost is the estimated time to the first byte plus penalties, for
    example for traffic between regions, cache misses and recent errors.

    Args:
        table: Backend servers.
        region: Region of this gateway.
        count_gateways: Returns the number of active gateways.
        count_sharing_gateways: Returns the number of gateways that share a
            cold or limited server with this one, see
            ``gateway_membership.GatewayMembership.count_sharing_gateways``.
        server_backlogs: Backlogs of the servers.
        running_attempts: Attempts in progress at the servers, 1 for each.
        prefill_times: Estimator of prefill times.
        prefix_cache_index: Index of the prompt prefixes that servers have
            cached.
        paces: Estimator of the pace of each server; None if all servers of a
            model count as equal.
        shares: Shares of the failure domains; None if only regions matter.
        prefix_placer: Places prefixes by their rates of use; None to give
            each prefix one server and to judge copies by their size.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        region: str,
        count_gateways: Callable[[], int],
        count_sharing_gateways: Callable[..., int],
        server_backlogs: backlogs.Backlogs,
        running_attempts: backlogs.Backlogs,
        prefill_times: backlogs.PrefillTimeEstimator,
        prefix_cache_index: prefix_caches.PrefixCacheIndex,
        *,
        paces: server_paces.PaceEstimator | None = None,
        shares: domain_shares.DomainShares | None = None,
        prefix_placer: prefix_placement.PrefixPlacer | None = None,
    ):
        self._shares = shares
        self._limiter = server_limits.ServerLimiter(count_sharing_gateways)
        self._table = table
        self._region = region
        self._count_gateways = count_gateways
        self._count_sharing_gateways = count_sharing_gateways
        self._backlogs = server_backlogs
        self._running_attempts = running_attempts
        self._prefill_times = prefill_times
        self._prefix_cache_index = prefix_cache_index
        self._paces = paces
        self._prefix_placer = prefix_placer

    def list_candidates(
        self,
        requirements: BackendRequirements,
        service: forwarding.BackendService,
    ) -> list[backends.Backend]:
        """Returns the servers that are eligible for an attempt.

        Servers that are missing from the store but within their grace
        period are returned only if there is no other candidate.
        """
        now = clock.now()
        candidates = []
        missing = []
        for backend in self._table.list_backends(requirements.service):
            if (
                not self._may_serve(requirements, backend)
                or backend.paused_until > now
                or backend.refused_until > now
                or backend.instance in requirements.tried
                or not requirements.is_version_allowed(backend.version)
                or not self._has_free_connection(backend, service)
                or not self._is_below_cold_rate(backend, service)
                or not self._limiter.may_send(backend)
            ):
                continue
            (missing if backend.grace_until else candidates).append(backend)
        return candidates or missing

    def find_refused_until(self, requirements: BackendRequirements) -> float:
        """Returns the time until which all servers asked for no requests.

        Returns:
            Monotonic time at which the first one takes requests again; 0 if
            one of them did not ask for time, or there is none.
        """
        return min(
            (
                backend.refused_until
                for backend in self._table.list_backends(requirements.service)
                if self._may_serve(requirements, backend)
                and backend.instance not in requirements.tried
                and requirements.is_version_allowed(backend.version)
            ),
            default=0.0,
        )

    def list_open_servers(self, service: str) -> list[str]:
        """Returns the instance ids of the servers that take requests."""
        now = clock.now()
        return [
            backend.instance
            for backend in self._table.list_backends(service)
            if not backend.is_leaving
            and backend.failure_domain not in self._table.closed_domains
            and max(backend.paused_until, backend.refused_until) <= now
        ]

    def has_server(self, requirements: BackendRequirements, by: float) -> bool:
        """Returns whether a server may take an attempt, whatever its load.

        Args:
            requirements: What the attempt needs from its server.
            by: Monotonic time until which it can wait for a server that is
                paused or asked for time.
        """
        return any(
            self._may_serve(requirements, backend)
            and backend.instance not in requirements.tried
            and requirements.is_version_allowed(backend.version)
            and max(backend.paused_until, backend.refused_until) <= by
            for backend in self._table.list_backends(requirements.service)
        )

    def has_warm_server(
        self, requirements: BackendRequirements, version: str
    ) -> bool:
        """Returns whether a version has a server that bears full load.

        The result does not depend on the load of this gateway, so that all
        gateways agree on the version of a session.
        """
        return any(
            backend.version == version
            and self._may_serve(requirements, backend)
            and not backend.is_cold()
            and not backend.grace_until
            for backend in self._table.list_backends(requirements.service)
        )

    def _may_serve(
        self, requirements: BackendRequirements, backend: backends.Backend
    ) -> bool:
        """Returns whether operators and regions allow work at a server."""
        return (
            not backend.is_leaving
            and backend.failure_domain not in self._table.closed_domains
            and (
                not requirements.regions
                or backend.region in requirements.regions
            )
        )

    def choose(
        self,
        requirements: BackendRequirements,
        service: forwarding.BackendService,
    ) -> Choice | None:
        """Returns the best choice for an attempt, None without candidates.

        Consumes a token of the rate limit if the chosen server is cold.
        """
        candidates = self.list_candidates(requirements, service)
        if not candidates:
            return None
        waits = self._backlogs.estimate()
        running_attempts = self._running_attempts.estimate()
        mean_error_share = sum(b.error_share for b in candidates) / len(
            candidates
        )
        location = self._locate(
            requirements, candidates, waits, running_attempts
        )
        near = self._list_near_candidates(requirements, candidates, location)
        placement = self._place_prefix(
            requirements, service, near, len(candidates)
        )
        rendezvous_backend, rendezvous_bonus = (
            self._find_rendezvous(requirements, near)
            if placement is None
            else (None, 0.0)
        )
        model_pace = self._prefill_times.compute_pace(requirements.model)
        choices = [
            self._make_choice(
                requirements, b, waits, running_attempts, model_pace
            )
            for b in candidates
        ]
        copy_sources = find_copy_sources(choices)
        max_held_tokens = max(choice.held_tokens for choice in choices)
        if placement is not None:
            placement.wait = min(
                c.wait for c in choices if c.held_tokens == max_held_tokens
            )
        best, best_cost = None, math.inf
        for choice in choices:
            backend = choice.backend
            choice.placement = placement
            self._plan_copy(
                requirements,
                service,
                choice,
                copy_sources[backend.version],
                max_held_tokens,
            )
            cost = self._estimate_cost(requirements, choice, location)
            cost += ERROR_SHARE_PENALTY_SECONDS * max(
                0.0, backend.error_share - mean_error_share
            )
            if backend is rendezvous_backend:
                cost -= rendezvous_bonus
            if placement and backend.instance in placement.replicas:
                cost -= self._compute_relief(requirements, choice)
            if cost < best_cost:
                best, best_cost = choice, cost
        if best.copy_verdict in prefix_placement.UNATTRACTIVE:
            self._plan_placed_copy(
                requirements,
                service,
                best,
                copy_sources[best.backend.version],
                prefix_placement.CopyVerdict.READ,
            )
        self._consume_cold_token(best.backend)
        self._limiter.record_send(best.backend)
        if self._paces is not None and best.model and best.source is None:
            self._paces.start_trial(best.backend, best.seconds)
        best.busy_seconds = statistics.median(c.wait for c in choices)
        best.server_count = len(choices)
        if location is not None:
            self._record_departure(
                requirements,
                best,
                choices,
                location,
                best.backend is rendezvous_backend or best.is_replica,
            )
        return best

    def _locate(
        self,
        requirements: BackendRequirements,
        candidates: list[backends.Backend],
        waits: dict[str, float],
        running_attempts: dict[str, float],
    ) -> domain_shares.Location | None:
        """Returns the costs of places; None if only regions matter."""
        if self._shares is None:
            return None
        home_loads = [
            waits.get(b.instance, 0.0)
            + estimate_occupancy(
                requirements, b, running_attempts.get(b.instance, 0.0)
            )
            for b in candidates
            if b.failure_domain == self._shares.home
        ]
        return self._shares.locate(
            requirements.service,
            bool(requirements.model),
            domain_shares.estimate_bytes(
                requirements.body_bytes, requirements.events
            ),
            min(home_loads, default=0.0),
            {b.failure_domain for b in candidates},
        )

    def _list_near_candidates(
        self,
        requirements: BackendRequirements,
        candidates: list[backends.Backend],
        location: domain_shares.Location | None,
    ) -> list[backends.Backend]:
        """Returns the servers among which a prompt is placed.

        Failure domains share one server for a prompt only where its prefill
        takes longer than another domain costs, and regions where it takes
        longer than another domain and region.
        """
        if location is None or not requirements.prefixes:
            return candidates
        seconds = RENDEZVOUS_BONUS_SHARE * self._prefill_times.estimate(
            requirements.model, requirements.prefixes[-1][1]
        )
        if seconds > location.near_seconds + location.far_seconds:
            return candidates
        if seconds > location.near_seconds:
            near = [b for b in candidates if b.region == self._region]
        else:
            near = [
                b for b in candidates if b.failure_domain == location.target
            ]
        return near or candidates

    def _record_departure(
        self,
        requirements: BackendRequirements,
        best: Choice,
        choices: list[Choice],
        location: domain_shares.Location,
        is_placed: bool,
    ) -> None:
        """Counts a choice for its failure domain, and why it leaves."""
        service, domain = requirements.service, best.backend.failure_domain
        best.size = location.size
        best.away_share = self._shares.get_away_share(service)
        best.left_reason = self._find_left_reason(
            requirements, best, choices, location, is_placed
        )
        seconds = best.work_seconds if requirements.model else 1.0
        self._shares.settle(service, domain, seconds, best.size)

    def _find_left_reason(
        self,
        requirements: BackendRequirements,
        best: Choice,
        choices: list[Choice],
        location: domain_shares.Location,
        is_placed: bool,
    ) -> str:
        """Returns why a choice leaves the failure domain, empty if not."""
        domain = best.backend.failure_domain
        if domain == location.home:
            return ''
        at_home = [
            c for c in choices if c.backend.failure_domain == location.home
        ]
        if not at_home:
            has_server = any(
                b.failure_domain == location.home
                and self._may_serve(requirements, b)
                for b in self._table.list_backends(requirements.service)
            )
            return 'no room' if has_server else 'no server'
        if domain == location.target:
            return 'share'
        if best.held_tokens - best.copied_tokens > max(
            c.held_tokens - c.copied_tokens for c in at_home
        ):
            return 'prefix'
        if is_placed:
            return 'placement'
        if best.backend.error_share + FAULT_SHARE < min(
            c.backend.error_share for c in at_home
        ):
            return 'faults'
        return 'wait'

    def _find_rendezvous(
        self,
        requirements: BackendRequirements,
        candidates: list[backends.Backend],
    ) -> tuple[backends.Backend | None, float]:
        """Returns the server assigned to a prompt and its advantage.

        Where prefill takes longer than another region costs, all regions
        share one server for a prompt: their caches together hold about what a
        day asks for, those of one region a third of it. Otherwise each region
        has its own.

        Returns:
            The server, None for a prompt without a shared part, and the
            advantage in seconds.
        """
        if not requirements.prefixes:
            return None, 0.0
        key, shared_tokens = requirements.prefixes[-1]
        bonus = RENDEZVOUS_BONUS_SHARE * self._prefill_times.estimate(
            requirements.model, shared_tokens
        )
        eligible = candidates
        if bonus <= REMOTE_REGION_PENALTY_SECONDS:
            local = [b for b in candidates if b.region == self._region]
            eligible = local or candidates
        backend = max(
            eligible,
            key=lambda b: compute_rendezvous_score(key, b.instance),
        )
        return backend, max(MIN_RENDEZVOUS_BONUS_SECONDS, bonus)

    def _place_prefix(
        self,
        requirements: BackendRequirements,
        service: forwarding.BackendService,
        candidates: list[backends.Backend],
        server_count: int,
    ) -> prefix_placement.Placement | None:
        """Returns the servers that are to have the prefix of a prompt.

        A prefix is placed among all regions where a server that lacks it
        costs more than another region, else among those of the own region.

        Args:
            requirements: What the attempt needs from its server.
            service: Service of the servers.
            candidates: Servers among which the prefix may be placed.
            server_count: Number of servers that could take the request.

        Returns:
            The placement; None for a prompt without a shared part, or if
            prefixes are not placed by their rates.
        """
        if (
            self._prefix_placer is None
            or not requirements.prefixes
            or not requirements.model
            or not service.cache_tokens
        ):
            return None
        key, shared_tokens = requirements.prefixes[-1]
        eligible = candidates
        if (
            prefix_placement.RELIEF_SHARE
            * self._estimate_missing(requirements.model, shared_tokens)
            <= REMOTE_REGION_PENALTY_SECONDS
        ):
            local = [b for b in candidates if b.region == self._region]
            eligible = local or candidates
        return self._prefix_placer.place(
            key,
            [backend.instance for backend in eligible],
            server_count,
            self._estimate_read(
                requirements.model, max(0, requirements.tokens - shared_tokens)
            ),
            requirements.objective,
        )

    def _estimate_read(self, model: str, tokens: int) -> float:
        """Returns the engine time in seconds to read tokens of a prompt."""
        return self._prefill_times.estimate(
            model, tokens
        ) - self._prefill_times.estimate(model, 0)

    def _estimate_missing(self, model: str, tokens: int) -> float:
        """Returns the cost in seconds of tokens that a server lacks."""
        return (
            self._estimate_read(model, tokens)
            + CACHE_MISS_PENALTY_SECONDS_PER_TOKEN * tokens
        )

    def _compute_relief(
        self, requirements: BackendRequirements, choice: Choice
    ) -> float:
        """Returns the advantage in seconds of a server in the placement.

        The server will be asked for the prefix again, so this request bears
        only a part of what it costs to read or copy it there.
        """
        if choice.copied_tokens:
            cost = choice.copy_seconds + choice.penalty_seconds
        elif choice.copy_verdict is prefix_placement.CopyVerdict.RARE:
            # Another server has it, and few requests ask for it.
            return MIN_RENDEZVOUS_BONUS_SECONDS
        else:
            cost = self._estimate_missing(
                requirements.model,
                requirements.prefixes[-1][1] - choice.held_tokens,
            )
        return max(
            MIN_RENDEZVOUS_BONUS_SECONDS,
            min(
                prefix_placement.RELIEF_SHARE * cost,
                prefix_placement.BEARABLE_SHARE * requirements.objective
                or math.inf,
            ),
        )

    def _make_choice(
        self, requirements, backend, waits, running_attempts, model_pace
    ) -> Choice:
        wait = waits.get(backend.instance, 0.0)
        if not requirements.model:
            return Choice(backend, 0.0, wait, 0)
        cached_tokens = self._prefix_cache_index.count_cached_tokens(
            backend.instance, requirements.prefixes
        )
        tokens = max(0, requirements.tokens - cached_tokens)
        seconds = self._prefill_times.estimate(requirements.model, tokens)
        ratio = pace = 1.0
        event_interval = backend.find_event_interval()
        if self._paces is not None:
            ratio = self._paces.find_ratio(backend, seconds, model_pace)
            if not self._paces.has_spread(backend.service, model_pace):
                ratio = 1.0
            pace = model_pace * ratio
            seconds = server_paces.scale_prefill(seconds, ratio)
            event_interval = self._paces.find_interval(backend, event_interval)
        if event_interval is None:
            event_interval = DEFAULT_EVENT_INTERVAL_SECONDS
        return Choice(
            backend,
            seconds,
            wait,
            cached_tokens,
            requirements.model,
            requirements.events * event_interval,
            running_attempts=running_attempts.get(backend.instance, 0.0),
            pace_ratio=ratio,
            pace=pace,
        )

    def _plan_copy(
        self,
        requirements: BackendRequirements,
        service: forwarding.BackendService,
        choice: Choice,
        source: Choice,
        max_held_tokens: int,
    ) -> None:
        """Sets the penalty of a choice, and a copy where that is cheaper.

        For a small model, prefill is about as fast as a copy; for the
        largest model it takes about ten times as long.

        Args:
            requirements: What the attempt needs from its server.
            service: Service of the servers.
            choice: Choice to update.
            source: Choice of the same version with the most cached tokens.
            max_held_tokens: Most tokens that any candidate has cached.
        """
        choice.penalty_seconds = CACHE_MISS_PENALTY_SECONDS_PER_TOKEN * (
            max_held_tokens - choice.held_tokens
        )
        copied_tokens = source.held_tokens - choice.held_tokens
        bytes_per_second = service.copy_bytes_per_second
        if (
            copied_tokens <= 0
            or not bytes_per_second
            or not service.cache_token_bytes
        ):
            return
        if choice.placement is not None:
            verdict = choice.copy_verdict = prefix_placement.judge_target(
                choice.placement, choice.backend.instance
            )
            # Nearly all servers are no replicas.
            if verdict is not prefix_placement.CopyVerdict.NO_REPLICA:
                self._plan_placed_copy(
                    requirements, service, choice, source, verdict
                )
            return
        copied_bytes = copied_tokens * service.cache_token_bytes
        tokens = max(0, requirements.tokens - source.held_tokens)
        seconds = self._prefill_times.estimate(requirements.model, tokens)
        seconds = server_paces.scale_prefill(seconds, choice.pace_ratio)
        seconds += COPY_SETUP_SECONDS + copied_bytes / bytes_per_second
        penalty_seconds = COPY_PENALTY_SECONDS_PER_GB * copied_bytes / 1e9
        if seconds + penalty_seconds < choice.seconds + choice.penalty_seconds:
            choice.seconds, choice.penalty_seconds = seconds, penalty_seconds
            choice.held_tokens += copied_tokens
            choice.copied_tokens, choice.source = copied_tokens, source.backend

    def _plan_placed_copy(
        self,
        requirements: BackendRequirements,
        service: forwarding.BackendService,
        choice: Choice,
        source: Choice,
        verdict: prefix_placement.CopyVerdict,
    ) -> None:
        """Sets the copy of a choice whose prefix is placed, if that pays.

        Args:
            requirements: What the attempt needs from its server.
            service: Service of the servers.
            choice: Choice to update.
            source: Choice of the same version with the most cached tokens.
            verdict: Whether the server may get a copy.
        """
        placement, backend = choice.placement, choice.backend
        choice.copy_verdict = verdict
        if not verdict.pays:
            return
        copied_tokens = source.held_tokens - choice.held_tokens
        links, rate = self._prefix_placer.links, service.copy_bytes_per_second
        copied_bytes = copied_tokens * service.cache_token_bytes
        offer = prefix_placement.CopyOffer(
            choice.pace_ratio
            * self._estimate_read(requirements.model, copied_tokens),
            prefix_placement.estimate_link_seconds(
                copied_bytes,
                rate,
                backend.failure_domain != source.backend.failure_domain,
            ),
            COPY_SETUP_SECONDS
            + links.estimate_queue(source.backend.instance, backend.instance),
            choice.wait,
        )
        if objection := prefix_placement.judge_gain(placement, offer):
            choice.copy_verdict = objection
        elif not links.has_budget(service.name, placement.server_count, rate):
            choice.copy_verdict = prefix_placement.CopyVerdict.LINK_SHARE
        else:
            choice.seconds -= offer.gained_seconds
            choice.penalty_seconds = offer.penalty_seconds
            choice.held_tokens += copied_tokens
            choice.copied_tokens, choice.source = copied_tokens, source.backend
            choice.copied_bytes = copied_bytes
            choice.copy_seconds = offer.link_seconds

    def _estimate_cost(
        self,
        requirements: BackendRequirements,
        choice: Choice,
        location: domain_shares.Location | None,
    ) -> float:
        """Returns the cost of a choice in seconds, without error penalty."""
        backend = choice.backend
        cost = choice.wait + choice.seconds + choice.penalty_seconds
        occupancy = estimate_occupancy(
            requirements, backend, choice.running_attempts
        )
        cost += occupancy
        if requirements.model:
            cost += self._estimate_pause_penalty(requirements, choice)
            cost += STREAM_TIME_WEIGHT * choice.stream_seconds
            lateness = choice.total_seconds - requirements.seconds_left
            cost += LATENESS_WEIGHT * max(0.0, lateness)
            region_penalty = REMOTE_REGION_PENALTY_SECONDS
        else:
            region_penalty = REMOTE_REGION_PENALTY_SECONDS_PLAIN
        if location is not None:
            cost += location.estimate(
                backend.failure_domain,
                backend.region,
                choice.wait + occupancy,
            )
        else:
            cost += region_penalty * (backend.region != self._region)
        # Breaks ties in an order that depends on the gateway's region.
        return (
            cost
            + compute_rendezvous_score(self._region, backend.instance) / 2**74
        )

    @staticmethod
    def _estimate_pause_penalty(
        requirements: BackendRequirements, choice: Choice
    ) -> float:
        """Returns the cost of the streams that a choice would disturb."""
        tokens = max(0, requirements.tokens - choice.held_tokens)
        pause = stream_pauses.estimate_pause(
            choice.seconds, tokens, requirements.event_tokens
        )
        if not stream_pauses.is_disturbing(
            pause, requirements.tolerated_pause
        ):
            return 0.0
        choice.disturbed_streams = choice.running_attempts
        return stream_pauses.estimate_penalty(
            choice.disturbed_streams, requirements.objective
        )

    def _has_free_connection(self, backend, service) -> bool:
        """Returns whether this gateway's share of connections is not used up.

        Each gateway may use an equal part of ``CONNECTION_SHARE``, but at
        least two connections.
        """
        share = service.max_connections * CONNECTION_SHARE
        share /= max(1, self._count_gateways())
        return backend.running < max(2.0, share)

    def _is_below_cold_rate(self, backend, service) -> bool:
        """Returns whether the rate limit of a cold server allows a request.

        Creates or resizes the bucket for this gateway's part of the rate.
        """
        if not service.cold_rate or not backend.is_cold():
            return True
        gateway_count = self._count_sharing_gateways(
            backend.instance, MAX_COLD_GATEWAYS
        )
        if not gateway_count:
            return False
        rate = service.cold_rate / (gateway_count + 1)
        if backend.cold_bucket is None:
            backend.cold_bucket = token_buckets.TokenBucket(
                rate, backends.COLD_BURST_REQUESTS
            )
        elif backend.cold_bucket.rate != rate:
            backend.cold_bucket.resize(rate, backends.COLD_BURST_REQUESTS)
        return backend.cold_bucket.get_wait_seconds(1) == 0

    @staticmethod
    def _consume_cold_token(backend: backends.Backend) -> None:
        """Charges a cold server's bucket; removes that of a warm server."""
        if backend.is_cold() and backend.cold_bucket is not None:
            backend.cold_bucket.take(1)
        elif not backend.is_cold():
            backend.cold_bucket = None
