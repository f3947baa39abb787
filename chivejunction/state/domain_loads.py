"""Demand and capacity of failure domains, as the gateways know them.

Each gateway measures the demand of its own callers and tells the others. The
backlogs of servers travel anyway. What a gateway has not told lately is not
known, so each load carries the age of the reports in it.
"""

from collections.abc import Callable
import dataclasses
import math
import statistics

from chivejunction import clock
from chivejunction.state import backends

# Time constant of the moving averages of demand.
DEMAND_SECONDS = 1.0
# Reports of other gateways expire after this time.
REPORT_TTL_SECONDS = 1.9
# Demand below this many requests a second counts as none.
MIN_REQUEST_RATE = 0.05
MIN_PACE = 0.25
MAX_RATE = 1e6


@dataclasses.dataclass(slots=True)
class Demand:
    """Moving averages of the requests that arrive.

    Attributes:
        requests: Requests per second.
        work: Server seconds per second that they need.
        home_requests: Requests per second that go to servers at home.
        updated_at: Monotonic time of these.
    """

    requests: float = 0.0
    work: float = 0.0
    home_requests: float = 0.0
    updated_at: float = 0.0

    def add(
        self, requests: float, work: float, home_requests: float = 0.0
    ) -> None:
        """Adds requests and the server seconds that they need."""
        now = clock.now()
        decay = math.exp(min(0.0, self.updated_at - now) / DEMAND_SECONDS)
        self.requests = self.requests * decay + requests / DEMAND_SECONDS
        self.work = self.work * decay + work / DEMAND_SECONDS
        self.home_requests *= decay
        self.home_requests += home_requests / DEMAND_SECONDS
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class DomainLoad:
    """Load of a service in a failure domain.

    Attributes:
        domain: Failure domain.
        region: Its region.
        requests: Requests per second of its callers.
        demand: Server seconds per second that they need.
        servers: Number of servers that bear full load.
        capacity: Server seconds per second that these provide.
        backlog: Server seconds that are queued at these.
        age: Mean age in seconds of the reports of its demand; infinite if
            there is none.
    """

    domain: str
    region: str
    requests: float = 0.0
    demand: float = 0.0
    servers: int = 0
    capacity: float = 0.0
    backlog: float = 0.0
    age: float = math.inf


@dataclasses.dataclass(slots=True)
class DemandReport:
    """Demand of the callers of another gateway.

    Attributes:
        domain: Failure domain of the gateway.
        rates: Requests and server seconds per second by hash of the service.
        received_at: Monotonic time of the report.
    """

    domain: str
    rates: dict[int, tuple[float, float]]
    received_at: float


class DomainLoads:
    """Loads of the failure domains by service.

    Args:
        failure_domain: Failure domain of this gateway.
        regions: Region of each failure domain.
        table: Backend servers.
        estimate_backlogs: Returns the backlog of each server in seconds, from
            all gateways.
    """

    def __init__(
        self,
        failure_domain: str,
        regions: dict[str, str],
        table: backends.BackendTable,
        estimate_backlogs: Callable[[], dict[str, float]],
    ):
        self.failure_domain = failure_domain
        self.regions = regions
        self._table = table
        self._estimate_backlogs = estimate_backlogs
        self._own: dict[str, Demand] = {}
        self._reports: dict[str, DemandReport] = {}

    def record(self, service: str, domain: str, seconds: float | None) -> None:
        """Adds a request of this gateway's callers to the demand.

        Args:
            service: Service that it asks for.
            domain: Failure domain of its server, where it is in progress.
            seconds: Server seconds that it needs. None if unknown: they then
                follow from the requests in progress at home, which take no
                time on links.
        """
        demand = self._own.setdefault(service, Demand())
        is_home = domain == self.failure_domain
        if seconds is None:
            running = sum(
                b.running
                for b in self._table.list_backends(service)
                if b.failure_domain == self.failure_domain
            )
            # The request itself does not count.
            running = max(0, running - is_home)
            seconds = running / max(1.0, demand.home_requests)
        demand.add(1, seconds, is_home)

    def list_rates(self) -> dict[int, tuple[float, float]]:
        """Returns this gateway's demand by hash of the service.

        A gateway without callers reports a demand of 0 as long as another
        one has some, since no report means that the demand is unknown.
        """
        rates = {}
        for service, demand in self._own.items():
            demand.add(0, 0)
            if demand.requests >= MIN_REQUEST_RATE:
                hashed = backends.hash_instance_id(service)
                rates[hashed] = (demand.requests, demand.work)
        for report in self._list_reports():
            for hashed, (requests, _) in report.rates.items():
                if requests:
                    rates.setdefault(hashed, (0.0, 0.0))
        return rates

    def set_report(
        self,
        gateway: str,
        domain: str,
        rates: dict[int, tuple[float, float]],
    ) -> None:
        """Stores the demand that another gateway reports.

        Args:
            gateway: Name of the gateway.
            domain: Its failure domain.
            rates: Requests and server seconds per second by hash of the
                service.
        """
        self._reports[gateway] = DemandReport(domain, rates, clock.now())

    def _list_reports(self) -> list[DemandReport]:
        """Returns the current reports; removes expired ones."""
        oldest = clock.now() - REPORT_TTL_SECONDS
        for gateway, report in list(self._reports.items()):
            if report.received_at < oldest:
                del self._reports[gateway]
        return list(self._reports.values())

    def list_loads(
        self, service: str, has_models: bool
    ) -> dict[str, DomainLoad]:
        """Returns the load of a service by failure domain.

        Args:
            service: Name of the service.
            has_models: Whether its servers process prompts one after the
                other; otherwise each of their slots works by itself.
        """
        loads = {
            domain: DomainLoad(domain, region)
            for domain, region in self.regions.items()
        }
        self._add_servers(loads, service, has_models)
        own = self._own.setdefault(service, Demand())
        own.add(0, 0)
        home = loads.setdefault(
            self.failure_domain, DomainLoad(self.failure_domain, '')
        )
        home.requests, home.demand = own.requests, own.work
        hashed, now = backends.hash_instance_id(service), clock.now()
        ages: dict[str, list[float]] = {self.failure_domain: [0.0]}
        for report in self._list_reports():
            load = loads.get(report.domain)
            rates = report.rates.get(hashed)
            if load is None or rates is None:
                continue
            load.requests += rates[0]
            load.demand += rates[1]
            ages.setdefault(report.domain, []).append(now - report.received_at)
        for domain, values in ages.items():
            loads[domain].age = statistics.fmean(values)
        return loads

    def _add_servers(self, loads, service, has_models) -> None:
        """Adds capacity and backlog of the servers that bear full load."""
        waits, now = self._estimate_backlogs(), clock.now()
        servers = [
            b
            for b in self._table.list_backends(service)
            if not (
                b.is_leaving
                or b.failure_domain in self._table.closed_domains
                or max(b.paused_until, b.refused_until) > now
                or b.grace_until
                or b.is_cold()
                or b.find_rate_limit() is not None
            )
        ]
        intervals = {b.instance: b.find_event_interval() for b in servers}
        median = statistics.median([i for i in intervals.values() if i] or [0])
        for backend in servers:
            load = loads.get(backend.failure_domain)
            if load is None:
                load = loads[backend.failure_domain] = DomainLoad(
                    backend.failure_domain, backend.region
                )
            interval = intervals[backend.instance]
            pace = median / interval if interval else 1.0
            pace = max(MIN_PACE, min(1.0, pace))
            load.servers += 1
            load.capacity += pace * (1 if has_models else backend.slots)
            load.backlog += waits.get(backend.instance, 0.0)
