"""Requests that leave the failure domain: demand, shares, logs and metrics."""

from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import hints
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import domain_shares
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import domain_loads

MAX_SERVICES_PER_HINT = 16
DEPARTURES = metrics.make_counter(
    'domain_departures',
    'Attempts that left the failure domain.',
    'service',
    'reason',
)
DEPARTED_BYTES = metrics.make_counter(
    'domain_departed_bytes',
    'Expected bytes of attempts that left the failure domain.',
    'service',
    'reason',
)


def _decode_rate(row: list) -> tuple[int, tuple[float, float]]:
    """Decodes hash of a service, requests and server ms per second."""
    hashed, centirequests, milliseconds = (int(item) for item in row)
    rates = centirequests / 100, milliseconds / 1000
    if not all(0 <= rate <= domain_loads.MAX_RATE for rate in rates):
        raise ValueError('a rate is negative or too high')
    return hashed, rates


class DemandSection(hints.HintSection):
    """Demand of this gateway's callers by service.

    The first row holds the failure domain, each other one the hash of a
    service, hundredths of requests per second and server ms per second.

    Args:
        loads: Loads of the failure domains.
    """

    name = 'domains'

    def __init__(self, loads: domain_loads.DomainLoads):
        self._loads = loads

    def collect_rows(self, region: str) -> list:
        """Returns the current rows, see ``hints.HintSection``."""
        rates = self._loads.list_rates()
        if not rates:
            return []
        largest = sorted(rates.items(), key=lambda item: -item[1][0])
        return [
            [self._loads.failure_domain],
            *(
                [hashed, int(100 * requests), int(1000 * work)]
                for hashed, (requests, work) in largest[:MAX_SERVICES_PER_HINT]
            ),
        ]

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Stores the demand of another gateway, see ``hints.HintSection``."""
        (domain,), *rate_rows = rows
        if not isinstance(domain, str):
            raise TypeError('the failure domain is no text')
        rates = dict(map(_decode_rate, rate_rows[:MAX_SERVICES_PER_HINT]))
        self._loads.set_report(gateway, domain, rates)


class Departures:
    """Shares of the failure domains, with what operators see of them.

    Args:
        failure_domain: Failure domain of this gateway.
        regions: Region of each failure domain.
        costs: Costs of links.
        table: Backend servers.
        server_backlogs: Backlogs of the servers.

    Attributes:
        shares: Shares that apply.
        section: Section of the hints with the demand.
    """

    def __init__(
        self,
        failure_domain: str,
        regions: dict[str, str],
        costs: domain_shares.LinkCosts,
        table: backends.BackendTable,
        server_backlogs: backlogs.Backlogs,
    ):
        self._loads = domain_loads.DomainLoads(
            failure_domain, regions, table, server_backlogs.estimate
        )
        self.shares = domain_shares.DomainShares(
            self._loads,
            costs,
            (
                backend_selection.REMOTE_REGION_PENALTY_SECONDS,
                backend_selection.REMOTE_REGION_PENALTY_SECONDS_PLAIN,
            ),
            self._log_episode,
        )
        self.section = DemandSection(self._loads)

    def record(self, service: str, choice: backend_selection.Choice) -> None:
        """Counts an attempt that is about to be sent."""
        self._loads.record(
            service,
            choice.backend.failure_domain,
            choice.work_seconds if choice.model else None,
        )
        if choice.left_reason:
            labels = service, choice.left_reason
            DEPARTURES.labels(*labels).inc()
            DEPARTED_BYTES.labels(*labels).inc(choice.size)

    def _log_episode(
        self,
        service: str,
        shares: dict[str, float],
        demand: float,
        capacity: float,
        is_short: bool,
    ) -> None:
        logs.log_decision(
            'domain short' if is_short else 'domain has room',
            service=service,
            domain=self._loads.failure_domain,
            demand=round(demand, 3),
            capacity=round(capacity, 3),
            shares={d: round(s, 3) for d, s in shares.items()},
        )
