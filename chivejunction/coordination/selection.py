"""Choice of the backend server for an attempt."""

import dataclasses
import logging

from chivejunction import clock
from chivejunction import logs
from chivejunction.coordination import policies
from chivejunction.state import outliers
from chivejunction.state import servers
from chivejunction.state import views

# Penalties in seconds for the own failure domain, the own region and others.
# The last one is a round trip of 60 ms plus what the volume between regions
# costs: traffic leaves the region to save more than a third of a second.
PENALTIES = (0.0, 0.001, 0.36)
# Place of a server in a closed failure domain.
CLOSED = -1
# A server that comes back gets a share that grows from MIN_SHARE to the
# whole within this time, since its cache is empty and others know it too.
RAMP_SECONDS = 8.0
MIN_SHARE = 0.05
# Bound on the estimated load of other gateways relative to this one's.
MAX_GROWTH = 8.0
# Weight of one choice in the means of own and other requests.
MEAN_WEIGHT = 0.02
# Requests in a full batch delay a first token by this part of its time.
CONGESTION = 1.0


@dataclasses.dataclass(slots=True)
class Decision:
    """One choice, for the decision log.

    Attributes:
        candidates: Eligible servers with their estimates.
        chosen: The chosen one, or None.
        refused: Host to the reason for servers that are not eligible.
    """

    candidates: list[policies.Candidate]
    chosen: policies.Candidate | None
    refused: dict[str, str]

    @property
    def expected(self) -> float | None:
        """Expected cost of the choice in seconds, None without a choice."""
        return round(self.chosen.cost, 4) if self.chosen else None

    @property
    def excluded(self) -> dict[str, str]:
        """Reason for each server that was not chosen."""
        reasons = dict(self.refused)
        for candidate in self.candidates:
            if candidate is not self.chosen:
                reasons[candidate.server.host] = (
                    f'not preferred: cost {candidate.cost:.3f} s, '
                    f'load {candidate.load:.2f}'
                )
        return reasons


class Selector:
    """Chooses a backend server of a pool.

    Args:
        table: Servers that the gateway knows.
        view: Configuration of the gateway.
        failure_domain: Failure domain of the gateway.
        policy: Name of the policy, see policies.POLICIES.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        view: views.ConfigView,
        failure_domain: str,
        policy: str = 'affinity',
    ):
        self._table = table
        self._view = view
        self._failure_domain = failure_domain
        self._policy = policies.POLICIES.get(policy)()
        self._outliers = outliers.OutlierDetector(table)
        self.decision = Decision([], None, {})
        # Places by failure domain under one document.
        self._document = view.document
        self._places: dict[str, int] = {}
        # Mean own and other requests by pool, as reported.
        self._means: dict[str, list[float]] = {}

    def choose(
        self,
        pool: str,
        version: str = '',
        affinity: str = '',
        exclude: frozenset[str] = frozenset(),
    ) -> servers.Server | None:
        """Returns a server for an attempt, or None.

        ``decision`` tells afterwards why the others were not chosen.

        Args:
            pool: Pool to choose from.
            version: Model version that must be loaded, empty for services.
            affinity: Key of the session or prompt prefix, may be empty.
            exclude: Hosts that must not be chosen.
        """
        now = clock.now()
        usable, refused = self._filter(pool, version, exclude, now)
        if self._policy.ejects:
            kept = outliers.keep_floor(usable, now)
            if len(kept) < len(usable):
                hosts = {s.host for s in kept}
                for server in usable:
                    if server.host not in hosts:
                        server.absent = True
                        refused[server.host] = 'ejected as an outlier'
                usable = kept
        self.decision = Decision([], None, refused)
        if not usable:
            return None
        candidates = self._estimate(pool, usable, now)
        chosen = self._policy.choose(candidates, affinity)
        self.decision = Decision(candidates, chosen, refused)
        chosen.server.sent_since += 1
        return chosen.server

    def describe_decision(self) -> dict:
        """Returns the log fields of the latest choice, none if not logged.

        The reasons of 100 servers cost about as much as the choice.
        """
        if not logs.DECISIONS.isEnabledFor(logging.INFO):
            return {}
        return {
            'expected_cost_s': self.decision.expected,
            'excluded': self.decision.excluded,
        }

    def begin(self) -> servers.Outcome:
        """Returns the outcome to fill in for the latest choice."""
        chosen = self.decision.chosen
        return servers.Outcome(load=min(1.0, chosen.load) if chosen else 0.0)

    def record(self, host: str, outcome: servers.Outcome) -> None:
        """Learns from the result of an attempt.

        Args:
            host: Host that the attempt was sent to.
            outcome: The result.
        """
        server = self._table.get(host)
        if server is None:
            self._outliers.forget(host)
            return
        server.observe(outcome)
        self._outliers.record(server, outcome)

    def _refresh_places(self) -> None:
        if self._document is not self._view.document:
            self._document = self._view.document
            self._places.clear()

    def _find_place(self, domain: str) -> int:
        view = self._view
        if not view.is_open(domain):
            return CLOSED
        if domain == self._failure_domain:
            return 0
        own = view.region_of(self._failure_domain)
        return 1 if view.region_of(domain) == own else 2

    def _filter(
        self, pool: str, version: str, exclude: frozenset[str], now: float
    ) -> tuple[list[servers.Server], dict[str, str]]:
        usable, suspects, refused = [], [], {}
        self._refresh_places()
        places = self._places
        for server in self._table.in_pool(pool):
            domain = server.failure_domain
            place = places.get(domain)
            if place is None:
                place = places[domain] = self._find_place(domain)
            if not server.connected:
                reason = 'not connected'
            elif server.leaving:
                reason = 'leaving'
            elif not server.ready:
                reason = 'not ready'
            elif place == CLOSED:
                reason = 'failure domain closed'
            else:
                if server.absent:
                    server.absent = False
                    server.ramp_until = now + RAMP_SECONDS
                if version and version not in server.versions:
                    refused[server.host] = 'version not loaded'
                elif server.host in exclude:
                    refused[server.host] = 'tried before'
                elif server.suspect:
                    suspects.append(server)
                else:
                    usable.append(server)
                continue
            server.absent = True
            refused[server.host] = reason
        if not usable:
            # Better than no server: the gateway itself may have been slow.
            return suspects, refused
        for server in suspects:
            refused[server.host] = 'left an attempt unanswered'
        return usable, refused

    def _estimate_growth(
        self, pool: str, usable: list[servers.Server]
    ) -> float:
        own = others = 0
        for server in usable:
            own += server.reported_sent
            others += server.others
        # Averaged, since at a moment without own attempts the ratio says
        # nothing and would make every server look full.
        mean = self._means.get(pool)
        if mean is None:
            mean = self._means[pool] = [float(own), float(others)]
        else:
            mean[0] += MEAN_WEIGHT * (own - mean[0])
            mean[1] += MEAN_WEIGHT * (others - mean[1])
        return min(MAX_GROWTH, mean[1] / max(1.0, mean[0]))

    def _estimate(
        self, pool: str, usable: list[servers.Server], now: float
    ) -> list[policies.Candidate]:
        places = self._places
        growth = self._estimate_growth(pool, usable)
        known = sorted([s.first_token for s in usable if s.first_token])
        typical = (
            known[len(known) // 2] if known else servers.ASSUMED_FIRST_TOKEN
        )
        candidates = []
        add = candidates.append
        make = policies.Candidate
        fade_from = now - servers.FADE_SECONDS
        for server in usable:
            window = server.window
            requests = server.estimate_load(growth)
            if requests < window and server.busy_until > now:
                requests = window
            load = requests / window
            fresh = server.observed_at - fade_from
            base = typical
            if fresh > 0 and server.first_token:
                fresh /= servers.FADE_SECONDS
                base += (server.first_token - typical) * fresh
            if load < 1:
                cost = base * (1 + CONGESTION * load)
            else:
                cost = base * (1 + CONGESTION)
                cost += server.duration * (requests - window + 1) / window
            place = places[server.failure_domain]
            share = 1.0
            if server.ramp_until > now:
                left = (server.ramp_until - now) / RAMP_SECONDS
                share = max(MIN_SHARE, 1 - left)
            add(make(server, load, cost + PENALTIES[place], place, share))
        return candidates
