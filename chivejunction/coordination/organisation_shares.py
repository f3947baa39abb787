"""Fair shares of scarce capacity at a gateway."""

import collections
from collections.abc import Callable
import dataclasses
import math

import anyio
import xxhash

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import hints
from chivejunction.protocol import forwarding
from chivejunction.scheduling import admission
from chivejunction.scheduling import fair_shares
from chivejunction.state import organisation_demand
from chivejunction.state import route_tables

# Backlogs and shares are measured at this interval; hints are older. Requests
# measure themselves only where that is overdue.
UPDATE_SECONDS = 0.1
MAX_UPDATE_AGE_SECONDS = 0.5
# A service without requests for longer needs no measurements.
IDLE_SECONDS = 5.0
# Rows of demand are sent at this interval; they are sums over seconds.
ROWS_INTERVAL_SECONDS = 0.2
# Rows are the same for the check whether a hint is due and for the hint.
SAME_HINT_SECONDS = 0.005
# Period over which organisations and routes are compared by what they get.
SERVED_WINDOW_SECONDS = 8.0
# Weight of one attempt in the mean work of a route's attempts.
SMOOTHING_FACTOR = 0.05
DEFAULT_WORK_SECONDS = 0.05
# Time after which the longest time that callers have at a route is forgotten.
CALLER_TIME_WINDOW_SECONDS = 30.0
# Waits of attempts that show a backlog while hints are lost.
WAIT_TTL_SECONDS = 0.5
MIN_WAITS = 4
MAX_WAITS = 32
# Beginning of a body by which the same request is recognised.
MAX_HASHED_BYTES = 4096
# Services whose demand is told to the other gateways.
MAX_SENT_SERVICES = 4
MAX_LOGGED_ORGANISATIONS = 5
REFUSED = metrics.make_counter(
    'share_refusals', 'Requests refused by shares.', 'service', 'reason'
)
EPISODES = metrics.make_counter(
    'scarcity_episodes', 'Episodes of scarce capacity.', 'service'
)


@dataclasses.dataclass(slots=True)
class CallerTime:
    """Longest time that callers have at a route.

    Attributes:
        seconds: The time in seconds.
        expires_at: Monotonic time at which it is forgotten.
    """

    seconds: float
    expires_at: float


class ServedCounts:
    """Requests and admitted requests of organisations and routes."""

    def __init__(self):
        self._counts: dict[tuple, tuple] = {}

    def keep(self, organisations: set[str], routes: set[str]) -> None:
        """Forgets organisations and routes that no longer exist."""
        kept = {(), *(('organisation', name) for name in organisations)}
        kept.update(('route', name) for name in routes)
        for key in self._counts.keys() - kept:
            del self._counts[key]

    def _get(self, key: tuple) -> tuple:
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = tuple(
                organisation_demand.WindowedSum(SERVED_WINDOW_SECONDS)
                for _ in range(2)
            )
        return counts

    def add_request(self, *keys: tuple) -> None:
        """Counts a request under some keys and in total."""
        for key in ((), *keys):
            self._get(key)[0].add(1)

    def add_admitted(self, *keys: tuple) -> None:
        """Counts an admitted request under some keys and in total."""
        for key in ((), *keys):
            self._get(key)[1].add(1)

    def is_underserved(self, key: tuple) -> bool:
        """Returns whether requests with a key must be admitted now."""
        return fair_shares.is_underserved(
            *(count.read() for count in (*self._get(key), *self._get(())))
        )


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Scarcity of a service.

    Attributes:
        objective: Shortest objective of its routes in seconds.
        is_plain: Whether its servers run no models.
        scarcity: Whether its capacity is scarce.
        demand: Demand at all gateways, as summed last.
        share: Share for a weight of 1; infinite if capacity suffices.
        updated_at: Monotonic time of the latest update.
        asked_at: Monotonic time of the latest request.
        known_from: Monotonic time from which a window of work is known.
        refused: Requests that were refused in the episode.
        served: Requests and admitted requests at this gateway.
        peaks: Most work that a server has finished in a window, of late, by
            whether other gateways are known.
        waits: Expiry and wait in seconds of recent attempts.
    """

    objective: float = 1.0
    is_plain: bool = True
    scarcity: fair_shares.Scarcity = dataclasses.field(
        default_factory=fair_shares.Scarcity
    )
    demand: organisation_demand.ServiceDemand = dataclasses.field(
        default_factory=organisation_demand.ServiceDemand
    )
    share: float = math.inf
    updated_at: float = -math.inf
    asked_at: float = -math.inf
    known_from: float = 0.0
    refused: int = 0
    served: ServedCounts = dataclasses.field(default_factory=ServedCounts)
    peaks: dict[bool, fair_shares.PeakThroughput] = dataclasses.field(
        default_factory=lambda: {
            has_peers: fair_shares.PeakThroughput()
            for has_peers in (False, True)
        }
    )
    waits: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_WAITS)
    )


class DemandSection(hints.HintSection):
    """Rows of organisations' demand in hints.

    Args:
        demand: Demand at this gateway and at the others.
        list_services: Returns the services whose demand matters now.
    """

    name = 'demand'

    def __init__(
        self,
        demand: organisation_demand.OrganisationDemand,
        list_services: Callable[[], list[str]],
    ):
        self._demand = demand
        self._list_services = list_services
        self._collected_at: dict[str, float] = {}

    def collect_rows(self, region: str) -> list:
        """Returns the rows of the services under pressure, if they are due."""
        now = clock.now()
        age = now - self._collected_at.get(region, -math.inf)
        if SAME_HINT_SECONDS < age < ROWS_INTERVAL_SECONDS:
            return []
        if age >= ROWS_INTERVAL_SECONDS:
            self._collected_at[region] = now
        return self._demand.encode_rows(self._list_services())

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Replaces the demand at another gateway.

        Raises:
            ValueError, TypeError, OverflowError: A row is malformed.
        """
        self._demand.apply_rows(gateway, rows)


class OrganisationShares:
    """Decides which first attempts take a server while capacity is scarce.

    Without two organisations in the configuration it decides nothing.

    Args:
        list_backlogs: Returns the backlog of each server of a service that
            takes requests, in seconds.
        find_longest_wait: Returns for how many seconds a request has waited
            in this gateway for a service.
    """

    def __init__(
        self,
        list_backlogs: Callable[[str], list[float]],
        find_longest_wait: Callable[[str], float],
    ):
        self._list_backlogs = list_backlogs
        self._find_longest_wait = find_longest_wait
        self.demand = organisation_demand.OrganisationDemand()
        self._services: dict[str, ServiceState] = {}
        self._weights: dict[int, float] = {}
        self._names: dict[int, str] = {}
        self._caller_times: dict[str, CallerTime] = {}
        # Mean work in seconds of the attempts of a route.
        self._work_seconds: dict[str, float] = {}

    def register_gauges(self) -> None:
        """Registers the gauges of this process."""
        metrics.make_gauge(
            'scarce_services',
            'Services whose capacity is divided among organisations.',
            lambda: sum(
                state.scarcity.is_scarce for state in self._services.values()
            ),
        )
        metrics.make_gauge(
            'largest_share_used',
            'Work of the organisation that uses most, over its share.',
            self._find_largest_use,
        )

    def make_section(self) -> DemandSection:
        """Returns the section of the hints that carries the demand."""
        return DemandSection(self.demand, self._list_pressed_services)

    def set_table(self, table: route_tables.RouteTable) -> None:
        """Takes objectives and weights from a configuration."""
        organisations = set(table.organisations.values())
        hash_name = organisation_demand.hash_name
        self._weights = {hash_name(o.name): o.weight for o in organisations}
        self._names = {hash_name(o.name): o.name for o in organisations}
        self.demand.keep_organisations(self._names.values())
        objectives: dict[str, float] = {}
        routes = {r.name for rows in table.routes.values() for r in rows}
        for known in (self._caller_times, self._work_seconds):
            for name in known.keys() - routes:
                del known[name]
        for state in self._services.values():
            state.served.keep(set(self._names.values()), routes)
        for route in (r for rows in table.routes.values() for r in rows):
            for share in route.shares:
                objectives[share.service] = min(
                    route.objective, objectives.get(share.service, 3600.0)
                )
        for name, objective in objectives.items():
            service = table.services.get(name)
            state = self._services.setdefault(name, ServiceState())
            state.objective = objective
            state.is_plain = not (service and service.cache_tokens)

    @property
    def is_active(self) -> bool:
        """Whether there are organisations to divide capacity among."""
        return len(self._weights) > 1

    def decide(
        self,
        service: str,
        organisation: forwarding.ForwardOrganisation,
        route: forwarding.Route,
        urgency: int,
        seconds_left: float,
        max_wait: float,
        request_hash: int = 0,
    ) -> fair_shares.Decision:
        """Decides on the first attempt of a request and records its demand.

        Args:
            service: Service that it needs.
            organisation: Organisation of the caller.
            route: Route of the request.
            urgency: Rank of the request; 0 is the most urgent.
            seconds_left: Time until the caller gives up, in seconds.
            max_wait: Longest time in seconds that it may wait here.
            request_hash: Identifies the same request of the same caller.
        """
        state = self._services.setdefault(service, ServiceState())
        if clock.now() - state.asked_at > IDLE_SECONDS:
            state.known_from = clock.make_deadline(
                organisation_demand.WINDOW_SECONDS
            )
        state.asked_at = clock.now()
        if state.asked_at - state.updated_at > MAX_UPDATE_AGE_SECONDS:
            self._update(service, state)
        local = self.demand.get_local(service, organisation.name)
        seconds = self._work_seconds.get(route.name, DEFAULT_WORK_SECONDS)
        is_repeat = self.demand.is_repeat(request_hash)
        (local.repeated if is_repeat else local.asked).add(seconds)
        is_returning = self._is_returning(route.name, seconds_left)
        keys = (('organisation', organisation.name), ('route', route.name))
        state.served.add_request(*keys)
        decision = fair_shares.Decision(fair_shares.Action.ADMIT)
        if not state.scarcity.has_room and len(state.demand.organisations) > 1:
            decision = self._decide_scarce(
                state, organisation, urgency, is_returning, is_repeat, max_wait
            )
        if decision.action is fair_shares.Action.REFUSE and any(
            state.served.is_underserved(key) for key in keys
        ):
            decision = fair_shares.Decision(fair_shares.Action.ADMIT)
        if decision.action is not fair_shares.Action.REFUSE:
            state.served.add_admitted(*keys)
            return decision
        REFUSED.labels(service, decision.reason).inc()
        state.refused += 1
        if not is_repeat:
            local.add_promise(seconds, clock.make_deadline(decision.seconds))
        return decision

    def _decide_scarce(
        self, state, organisation, urgency, is_returning, is_repeat, max_wait
    ) -> fair_shares.Decision:
        key = organisation_demand.hash_name(organisation.name)
        use = state.demand.organisations.get(key)
        if use is None:
            return fair_shares.Decision(fair_shares.Action.ADMIT)
        return fair_shares.decide(
            fair_shares.ShareRequest(
                state.share * organisation.weight,
                use.used,
                state.scarcity.pressure,
                use.promised,
                urgency,
                is_returning,
                is_repeat,
                max_wait,
            ),
            organisation_demand.WINDOW_SECONDS,
        )

    def find_share_used(
        self, service: str, organisation: forwarding.ForwardOrganisation
    ) -> float:
        """Returns the work of an organisation over its share; 0 in calm."""
        state = self._services.get(service)
        if state is None or not state.scarcity.is_scarce:
            return 0.0
        use = state.demand.organisations.get(
            organisation_demand.hash_name(organisation.name)
        )
        share = state.share * organisation.weight
        return use.used / share if use and share else 0.0

    def _is_returning(self, route: str, seconds_left: float) -> bool:
        """Returns whether a caller has less time left than others have."""
        longest = self._caller_times.get(route)
        if (
            longest is None
            or seconds_left >= longest.seconds
            or clock.has_passed(longest.expires_at)
        ):
            self._caller_times[route] = CallerTime(
                seconds_left, clock.make_deadline(CALLER_TIME_WINDOW_SECONDS)
            )
            return False
        return seconds_left < longest.seconds - fair_shares.RETURN_SECONDS

    async def run(self) -> None:
        """Measures scarcity and divides capacity until cancelled."""
        while True:
            containment.expect_progress()
            await anyio.sleep(UPDATE_SECONDS)
            with containment.contain('shares'):
                self.update()

    def update(self) -> None:
        """Measures the services that had requests of late."""
        now = clock.now()
        for service, state in self._services.items():
            is_in_use = now - state.asked_at < IDLE_SECONDS
            if self.is_active and (is_in_use or state.scarcity.is_scarce):
                self._update(service, state)

    def _update(self, service: str, state: ServiceState) -> None:
        """Measures scarcity and divides capacity."""
        now = state.updated_at = clock.now()
        seconds = self._list_backlogs(service)
        if state.is_plain:
            # A request waits for up to an eighth of its objective.
            pressure = 8 * self._find_longest_wait(service) / state.objective
        else:
            pressure = fair_shares.measure_backlog(seconds, state.objective)
            if not self.demand.has_peers():
                pressure = max(pressure, self._measure_waits(state))
        if not clock.has_passed(state.known_from):
            # After a restart, work that is not known would make shares small.
            pressure = 0.0
        has_changed = state.scarcity.update(pressure, now)
        is_pressed = pressure >= fair_shares.END_BACKLOG_SHARE
        if state.scarcity.is_scarce or has_changed or is_pressed:
            self._divide(service, state, len(seconds))
        if has_changed:
            self._log_episode(service, state)

    @staticmethod
    def _measure_waits(state: ServiceState) -> float:
        """Returns the waits seen here over the objective.

        Without hints the backlogs are only those of this gateway.
        """
        while state.waits and clock.has_passed(state.waits[0][0]):
            state.waits.popleft()
        if len(state.waits) < MIN_WAITS:
            return 0.0
        return fair_shares.measure_backlog(
            [wait for _, wait in state.waits], state.objective
        )

    def _divide(
        self, service: str, state: ServiceState, server_count: int
    ) -> None:
        state.demand = demand = self.demand.sum_service(service)
        # Without rows of others, all figures are those of this gateway's part.
        has_peers = self.demand.has_peers()
        capacity = state.peaks[has_peers].update(
            demand.finished, server_count, clock.now()
        )
        if has_peers and not state.is_plain:
            capacity = max(
                capacity,
                fair_shares.MIN_ENGINE_TIME_SHARE
                * server_count
                * organisation_demand.WINDOW_SECONDS,
            )
        state.share = fair_shares.divide_capacity(
            capacity,
            {
                key: max(row.asked, row.used)
                for key, row in demand.organisations.items()
            },
            self._weights,
        )

    def _log_episode(self, service: str, state: ServiceState) -> None:
        if state.scarcity.is_scarce:
            state.refused = 0
            EPISODES.labels(service).inc()
        rows = sorted(
            state.demand.organisations.items(), key=lambda row: -row[1].asked
        )
        logs.log_decision(
            'capacity scarce' if state.scarcity.is_scarce else 'capacity free',
            service=service,
            pressure=round(state.scarcity.pressure, 3),
            finished=round(state.demand.finished, 3),
            share=round(min(state.share, 1e6), 3),
            refused=state.refused,
            organisations={
                self._names.get(key, str(key)): [
                    round(row.asked, 3),
                    round(row.used, 3),
                    round(row.repeated, 3),
                ]
                for key, row in rows[:MAX_LOGGED_ORGANISATIONS]
            },
        )

    def start_work(
        self,
        service: str,
        organisation: str,
        route: str,
        seconds: float | None,
    ) -> None:
        """Adds the work of an attempt that is sent.

        Args:
            service: Service of the server.
            organisation: Organisation of the caller.
            route: Name of the route.
            seconds: Work in seconds; None if only its end will tell.
        """
        if seconds is None:
            seconds = self._work_seconds.get(route, DEFAULT_WORK_SECONDS)
        else:
            self._record_work(route, seconds)
        self.demand.get_local(service, organisation).used.add(seconds)

    def end_work(self, service: str, seconds: float, started_at: float):
        """Adds work that a server has finished.

        Args:
            service: Service of the server.
            seconds: The work in seconds.
            started_at: Monotonic time at which it was sent.
        """
        self.demand.record_finish(service, seconds)
        state = self._services.setdefault(service, ServiceState())
        wait = max(0.0, clock.now() - started_at - seconds)
        state.waits.append((clock.make_deadline(WAIT_TTL_SECONDS), wait))

    def end_slot(self, service: str, route: str, seconds: float) -> None:
        """Adds the slot time of an attempt at a plain service."""
        self._record_work(route, seconds)
        self.demand.record_finish(service, seconds)

    def _record_work(self, route: str, seconds: float) -> None:
        mean = self._work_seconds.get(route, seconds)
        mean += SMOOTHING_FACTOR * (seconds - mean)
        self._work_seconds[route] = mean

    def _list_pressed_services(self) -> list[str]:
        """Returns the services whose demand the others need to know."""
        pressed = []
        for name, state in self._services.items():
            scarcity = state.scarcity
            if (
                scarcity.is_scarce
                or scarcity.pressure >= fair_shares.END_BACKLOG_SHARE
            ):
                pressed.append((-scarcity.pressure, name))
        return [name for _, name in sorted(pressed)[:MAX_SENT_SERVICES]]

    def _find_largest_use(self) -> float:
        return max(
            (
                use.used / (state.share * self._weights.get(key, 1.0))
                for state in self._services.values()
                if state.scarcity.is_scarce and state.share
                for key, use in state.demand.organisations.items()
            ),
            default=0.0,
        )


def hash_request(organisation: str, request: forwarding.ForwardRequest) -> int:
    """Returns a 32-bit hash of what a caller asks for, without its id."""
    parts = '|'.join(part.id for part in request.prompt)
    key = f'{organisation}|{request.target}|{parts}|{len(request.body)}'
    digest = xxhash.xxh3_64(key.encode())
    digest.update(request.body[:MAX_HASHED_BYTES])
    return digest.intdigest() & 0xFFFFFFFF or 1


def make_refusal(
    service: str,
    organisation: str,
    decision: fair_shares.Decision,
    share_used: float,
    seconds_left: float,
    urgency: int,
) -> errors.RefusalError:
    """Returns the refusal of a request beyond the share of its organisation.

    Args:
        service: Service that it needs.
        organisation: Organisation of its caller.
        decision: The decision to refuse it.
        share_used: Work of the organisation over its share.
        seconds_left: Time until the caller gives up, in seconds.
        urgency: Rank of the request; 0 is the most urgent.
    """
    return errors.RefusalError(
        'over_share',
        f'{organisation} uses {share_used:.1f} of its share of {service}'
        f' ({decision.reason})',
        retry_after=admission.choose_retry_after(
            seconds_left, decision.seconds, urgency, decision.seconds
        ),
        share_used=share_used,
    )
