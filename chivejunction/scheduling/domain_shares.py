"""Share of a failure domain's requests that other domains should serve.

Load pattern: the servers of a failure domain are too few for its callers,
while others have room. Each gateway that sends its requests to wherever the
queue looks shortest floods the servers abroad, because all of them see the
same queues, up to a second old; then all turn back. So the gateways derive
the same shares from the demand of the domains, which does not depend on where
requests are sent, and each applies its domain's shares to its own requests.
"""

from collections.abc import Callable
import dataclasses
import math

from chivejunction import clock
from chivejunction import containment
from chivejunction.state import domain_loads

# Interval at which the shares of a service are computed.
PLAN_INTERVAL_SECONDS = 0.25
# Time constant with which shares follow what was computed.
DAMPING_SECONDS = 0.5
# Time in which a standing backlog is to be worked off. Shorter times let the
# shares overshoot while views are a second old.
BACKLOG_SECONDS = 4.0
# Parts in which a domain's demand is moved.
PARTS = 20
# Utilisation from which queues are computed as if they grew at a steady rate:
# the formula for random arrivals rises without bound.
MAX_UTILISATION = 0.9
# A shorter wait abroad than this does not pay: the backlogs that are known
# change by as much until a request arrives.
WAIT_MARGIN_SECONDS = 0.05
# Weight of a new value in the moving average of what reports do not tell.
VIEW_WEIGHT = 0.3
# The same for the backlog of an engine, which corrects the demand, what it is
# taken for at first, and the least correction.
BACKLOG_WEIGHT = 0.05
FIRST_BACKLOG_SECONDS = 0.2
MIN_CORRECTION = 0.25
# Reports older than the first count less and less, and not at all from the
# second on.
FRESH_SECONDS = 1.0
STALE_SECONDS = domain_loads.REPORT_TTL_SECONDS
# An episode begins and ends at these shares.
SHORT_SHARE = 0.1
ENOUGH_SHARE = 0.02
# Smaller shares are not kept.
MIN_SHARE = 0.01
# Most requests that the split may owe a domain. It owes them while requests
# go where their prefixes are held.
MAX_OWED_REQUESTS = 3.0
# Round trip between domains of a region and between regions.
DOMAIN_ROUND_TRIP_SECONDS = 0.003
REGION_ROUND_TRIP_SECONDS = 0.06
# Headers of request and response, and a short body.
MESSAGE_BYTES = 1000
EVENT_BYTES = 90
# Name in logs and metrics of unexpected errors.
PART = 'domain shares'


def estimate_bytes(body_bytes: int, events: float) -> float:
    """Returns the expected bytes of a request and its response."""
    return MESSAGE_BYTES + body_bytes + EVENT_BYTES * events


@dataclasses.dataclass(frozen=True, slots=True)
class LinkCosts:
    """What it costs to send a request over a link, in seconds of waiting.

    Attributes:
        domain_seconds_per_mb: Between failure domains of a region.
        region_seconds_per_mb: Between regions; None for a fixed cost of each
            request.
    """

    domain_seconds_per_mb: float = 2.0
    region_seconds_per_mb: float | None = None

    def estimate_near(self, size: float) -> float:
        """Returns the cost of another failure domain of the region.

        Args:
            size: Bytes of request and response.
        """
        return (
            DOMAIN_ROUND_TRIP_SECONDS + self.domain_seconds_per_mb * size / 1e6
        )

    def estimate_far(self, size: float, fixed_seconds: float) -> float:
        """Returns the cost of another region.

        Args:
            size: Bytes of request and response.
            fixed_seconds: Cost if none is declared for each MB.
        """
        if self.region_seconds_per_mb is None:
            return fixed_seconds
        return (
            REGION_ROUND_TRIP_SECONDS + self.region_seconds_per_mb * size / 1e6
        )


def estimate_marginal_wait(
    load: domain_loads.DomainLoad, work: float, request_seconds: float
) -> float:
    """Returns by how much a further request delays those of a domain.

    That is the derivative of the total wait by the number of requests, with
    the wait for several servers according to Sakasegawa.

    Args:
        load: Load of the domain.
        work: Server seconds per second that it is given.
        request_seconds: Mean server seconds of a request.

    Returns:
        Seconds; infinite without servers.
    """
    if load.capacity <= 0:
        return math.inf
    work += load.backlog / BACKLOG_SECONDS
    utilisation = work / load.capacity
    # What is left of a demand may be below 0 by rounding.
    rho = max(0.0, min(utilisation, MAX_UTILISATION))
    exponent = math.sqrt(2 * (load.servers + 1))
    wait = request_seconds / load.servers * rho**exponent
    marginal = wait * ((exponent + 1) * (1 - rho) + rho) / (1 - rho) ** 2
    return marginal + BACKLOG_SECONDS * (utilisation - rho)


def estimate_demand(
    load: domain_loads.DomainLoad, home: domain_loads.DomainLoad
) -> float:
    """Returns the demand of a domain, cautiously where reports are old.

    A domain that nothing is known of counts as loaded as the gateway's own:
    nothing is gained by sending work there.
    """
    trust = (STALE_SECONDS - load.age) / (STALE_SECONDS - FRESH_SECONDS)
    trust = max(0.0, min(1.0, trust))
    if trust == 1.0:
        return load.demand
    if home.capacity > 0:
        assumed = home.demand / home.capacity * load.capacity
    else:
        assumed = MAX_UTILISATION * load.capacity
    return trust * load.demand + (1 - trust) * max(load.demand, assumed)


def estimate_unseen_wait(
    loads: dict[str, domain_loads.DomainLoad],
) -> float:
    """Returns by how much waits differ from what is known of them.

    While reports travel, each server gets work that they do not tell of. All
    gateways see the same short queue meanwhile, and would flood its server if
    they left for less than that work.
    """
    work = sum(load.demand for load in loads.values())
    servers = sum(load.servers for load in loads.values())
    age = max(load.age for load in loads.values() if load.age < math.inf)
    return WAIT_MARGIN_SECONDS + age * work / max(1, servers)


def estimate_correction(
    loads: dict[str, domain_loads.DomainLoad], backlog: float
) -> float:
    """Returns the factor by which the demand of engines is less than it seems.

    Estimates of prefill time contain latency during which an engine does
    other work. Its backlog in the long run shows how busy it is.

    Args:
        loads: Loads by failure domain.
        backlog: Mean backlog of an engine in seconds.
    """
    requests = sum(load.requests for load in loads.values())
    work = sum(load.demand for load in loads.values())
    capacity = sum(load.capacity for load in loads.values())
    if min(requests, work, capacity) <= 0:
        return 1.0
    utilisation = backlog / (backlog + work / requests)
    return max(MIN_CORRECTION, min(1.0, utilisation * capacity / work))


def compute_shares(
    loads: dict[str, domain_loads.DomainLoad],
    home: str,
    estimate_link: Callable[[str, str], float],
) -> dict[str, float]:
    """Returns the shares of a domain's demand that each domain should serve.

    All demand starts at home. Parts of it move, always from the domain where
    a request delays others most to the one where the delay and the link cost
    least, until no move pays. The domains fill the room abroad together, so
    that two that are short do not count on the same servers.

    Args:
        loads: Loads by failure domain.
        home: Failure domain whose shares are returned.
        estimate_link: Returns the cost in seconds of a request from one
            domain to another.

    Returns:
        Shares by domain, 1 in total; domains without one are left out.
    """
    own = loads[home]
    demands = {d: estimate_demand(load, own) for d, load in loads.items()}
    total_requests = sum(load.requests for load in loads.values())
    total_work = sum(load.demand for load in loads.values())
    if total_requests <= 0 or total_work <= 0 or demands[home] <= 0:
        return {home: 1.0}
    request_seconds = total_work / total_requests
    work = dict(demands)
    parts = dict.fromkeys((d for d in loads if demands[d] > 0), PARTS)
    targets = set(loads)
    moved = dict.fromkeys(loads, 0)

    def estimate(domain: str, added: float) -> float:
        return estimate_marginal_wait(
            loads[domain], work[domain] + added, request_seconds
        )

    while parts:
        source = max(parts, key=lambda d: (estimate(d, 0), parts[d], d))
        amount = demands[source] / PARTS
        # No domain takes work and sends its own away: links would be used
        # twice.
        cost, target = (
            min(
                (estimate(d, amount) + estimate_link(source, d), d)
                for d in targets
                if d != source
            )
            if targets - {source}
            else (math.inf, source)
        )
        # Without a server anywhere the difference is no number.
        if not estimate(source, -amount) - cost > WAIT_MARGIN_SECONDS:
            del parts[source]
            continue
        work[source] -= amount
        work[target] += amount
        moved[target] += source == home
        targets.discard(source)
        parts.pop(target, None)
        parts[source] -= 1
        if not parts[source]:
            del parts[source]
    shares = {d: count / PARTS for d, count in moved.items() if count}
    shares[home] = 1.0 - sum(shares.values())
    return shares


@dataclasses.dataclass(slots=True)
class Split:
    """Shares of a service in force, and how far requests have kept to them.

    Attributes:
        shares: Share of each domain.
        owed: Server seconds that each domain is yet to get.
        request_seconds: Mean server seconds of a request.
        size: Mean bytes of a request with its response.
        planned_at: Monotonic time of the latest computation.
        is_short: Whether an episode is in progress.
        ignored_gain: Seconds by which a wait abroad must be shorter than that
            at home before the rest of the difference counts.
        backlog: Mean backlog of an engine in seconds.
    """

    shares: dict[str, float]
    owed: dict[str, float] = dataclasses.field(default_factory=dict)
    request_seconds: float = 0.0
    size: float = MESSAGE_BYTES
    planned_at: float = -math.inf
    is_short: bool = False
    ignored_gain: float = WAIT_MARGIN_SECONDS
    backlog: float = FIRST_BACKLOG_SECONDS


@dataclasses.dataclass(slots=True)
class Location:
    """Costs of the places where a request may go.

    Attributes:
        home: Failure domain of the gateway.
        region: Its region.
        target: Domain that the split names for the request.
        near_seconds: Cost of another domain of the region.
        far_seconds: Cost of another region.
        target_seconds: Cost of the link to the target.
        home_load: Least load in seconds of a server at home: its backlog and
            the penalty for attempts in progress.
        size: Bytes of the request and the expected response.
        ignored_gain: Seconds by which a wait abroad must be shorter than that
            at home before the rest of the difference counts.
    """

    home: str
    region: str
    target: str
    near_seconds: float
    far_seconds: float
    target_seconds: float = 0.0
    home_load: float = 0.0
    size: float = 0.0
    ignored_gain: float = WAIT_MARGIN_SECONDS

    def estimate(self, domain: str, region: str, load: float) -> float:
        """Returns the cost in seconds of a server's place.

        Args:
            domain: Failure domain of the server.
            region: Its region.
            load: Load of the server in seconds.
        """
        if domain == self.target:
            return 0.0
        if domain == self.home:
            return self.target_seconds + WAIT_MARGIN_SECONDS
        seconds = (
            self.near_seconds if region == self.region else self.far_seconds
        )
        gain = max(0.0, self.home_load - load)
        return seconds + min(self.ignored_gain, gain)


class DomainShares:
    """Shares of all services, as one gateway applies them.

    Args:
        loads: Loads of the failure domains.
        costs: Costs of links.
        far_seconds: Fixed cost in seconds of another region for requests
            with a model and without.
        report: Called with the service, its shares, demand and capacity at
            home and whether they are short, when an episode begins or ends.
    """

    def __init__(
        self,
        loads: domain_loads.DomainLoads,
        costs: LinkCosts,
        far_seconds: tuple[float, float],
        report: Callable[..., None],
    ):
        self._loads = loads
        self._costs = costs
        self._far_seconds = far_seconds
        self._report = report
        self.home = loads.failure_domain
        self._region = loads.regions.get(self.home, '')
        self._splits: dict[str, Split] = {}

    def get_away_share(self, service: str) -> float:
        """Returns the share of a service that is to leave the domain."""
        split = self._splits.get(service)
        return 1.0 - split.shares.get(self.home, 0.0) if split else 0.0

    def get_max_away_share(self) -> float:
        """Returns the largest share of a service that is to leave."""
        return max(map(self.get_away_share, self._splits), default=0.0)

    def locate(
        self,
        service: str,
        has_models: bool,
        size: float,
        home_load: float,
        domains: set[str],
    ) -> Location:
        """Returns the costs of places for a request.

        Args:
            service: Its service.
            has_models: Whether it uses a model.
            size: Bytes of the request and the expected response.
            home_load: Least load in seconds of a server at home; 0 if none
                there may take it.
            domains: Failure domains with servers that may take it.
        """
        split = self._splits.setdefault(service, Split({self.home: 1.0}))
        now = clock.now()
        if now >= split.planned_at + PLAN_INTERVAL_SECONDS:
            elapsed, split.planned_at = now - split.planned_at, now
            with containment.contain(PART):
                self._plan(service, has_models, split, elapsed)
        near = self._costs.estimate_near(size)
        fixed = self._far_seconds[0 if has_models else 1]
        far = self._costs.estimate_far(size, fixed)
        location = Location(
            self.home, self._region, self.home, near, far, size=size
        )
        location.home_load = home_load
        location.ignored_gain = split.ignored_gain
        location.target = self._choose_target(split, domains)
        if location.target != self.home:
            region = self._loads.regions.get(location.target)
            location.target_seconds = near if region == self._region else far
        return location

    def _choose_target(self, split: Split, domains: set[str]) -> str:
        """Returns the domain that is owed most of those that may serve."""
        best, most = self.home, split.request_seconds / 2
        if self.home not in domains:
            most = -math.inf
        for domain, share in split.shares.items():
            if domain == self.home or domain not in domains or share <= 0:
                continue
            owed = split.owed.get(domain, 0.0)
            if owed > most:
                best, most = domain, owed
        return best

    def settle(
        self, service: str, domain: str, seconds: float, size: float
    ) -> None:
        """Counts a request where it goes, whatever the reason.

        Args:
            service: Its service.
            domain: Failure domain of its server.
            seconds: Server seconds that it needs; the same for all if unknown.
            size: Bytes of the request and the expected response.
        """
        split = self._splits.get(service)
        if split is None:
            return
        split.request_seconds += 0.05 * (seconds - split.request_seconds)
        split.size += 0.05 * (size - split.size)
        limit = MAX_OWED_REQUESTS * max(split.request_seconds, seconds)
        for name in split.shares.keys() | {domain}:
            owed = split.owed.get(name, 0.0)
            owed += split.shares.get(name, 0.0) * seconds
            owed -= seconds * (name == domain)
            split.owed[name] = max(-limit, min(limit, owed))

    def _plan(
        self, service: str, has_models: bool, split: Split, elapsed: float
    ) -> None:
        """Computes the shares of a service and moves towards them.

        Args:
            service: The service.
            has_models: Whether it uses models.
            split: Its shares; updated.
            elapsed: Seconds since the computation before.
        """
        regions = self._loads.regions
        near = self._costs.estimate_near(split.size)
        fixed = self._far_seconds[0 if has_models else 1]
        far = self._costs.estimate_far(split.size, fixed)
        loads = self._loads.list_loads(service, has_models)
        if has_models:
            self._correct_demand(split, loads)
        shares = compute_shares(
            loads,
            self.home,
            lambda a, b: near if regions.get(a) == regions.get(b) else far,
        )
        split.ignored_gain += VIEW_WEIGHT * (
            estimate_unseen_wait(loads) - split.ignored_gain
        )
        step = min(1.0, elapsed / DAMPING_SECONDS)
        damped = {}
        for domain in shares.keys() | split.shares.keys():
            share = split.shares.get(domain, 0.0)
            share += step * (shares.get(domain, 0.0) - share)
            # A domain without servers takes nothing; one whose servers are all
            # gone may not be listed any more.
            load = loads.get(domain)
            if domain != self.home and (
                share < MIN_SHARE or load is None or load.capacity <= 0
            ):
                continue
            damped[domain] = share
        total = sum(damped.values())
        split.shares = (
            {d: share / total for d, share in damped.items()}
            if total > 0
            else {self.home: 1.0}
        )
        self._track_episode(service, split, loads[self.home])

    @staticmethod
    def _correct_demand(
        split: Split, loads: dict[str, domain_loads.DomainLoad]
    ) -> None:
        """Reduces the demand to what the backlogs show in the long run."""
        servers = sum(load.servers for load in loads.values())
        backlog = sum(load.backlog for load in loads.values())
        split.backlog += BACKLOG_WEIGHT * (
            backlog / max(1, servers) - split.backlog
        )
        correction = estimate_correction(loads, split.backlog)
        for load in loads.values():
            load.demand *= correction

    def _track_episode(
        self, service: str, split: Split, load: domain_loads.DomainLoad
    ) -> None:
        away = 1.0 - split.shares.get(self.home, 0.0)
        if away >= SHORT_SHARE if not split.is_short else away < ENOUGH_SHARE:
            split.is_short = not split.is_short
            self._report(
                service,
                split.shares,
                load.demand,
                load.capacity,
                split.is_short,
            )
