"""Selection of the backend server for an attempt."""

import dataclasses
import logging

from chivejunction import clock
from chivejunction import logs
from chivejunction.coordination import policies
from chivejunction.scheduling import outliers
from chivejunction.state import servers
from chivejunction.state import views

# Penalty for a server in the failure domain of the gateway, in its region and
# in another region. The last one is a round trip of 60 ms plus the price of
# traffic between regions: a request leaves the region only if that saves more
# than a third of a second.
DISTANCE_PENALTIES_SECONDS = (0.0, 0.001, 0.36)
# Distance that marks a closed failure domain.
CLOSED_DOMAIN = -1
# The share of a server that becomes available again grows from MIN_RAMP_SHARE
# to 1 within this time: its cache is empty, and the other gateways start to
# send to it at the same time.
RAMP_SECONDS = 8.0
MIN_RAMP_SHARE = 0.05
# Upper bound of the estimated requests of other gateways for each request of
# this one.
MAX_OTHER_GATEWAY_RATIO = 8.0
# Weight of the latest value in the moving averages of the requests of this and
# of other gateways.
SMOOTHING_FACTOR = 0.02
# Relative increase of the time to first token when the window is full.
FULL_BATCH_SLOWDOWN = 1.0


@dataclasses.dataclass(slots=True)
class Decision:
    """Result of one selection, for the decision log.

    Attributes:
        candidates: Eligible servers with their estimates.
        chosen: The chosen candidate, None if there was none.
        ineligible: Reason for each server that is not eligible, by host.
    """

    candidates: list[policies.Candidate]
    chosen: policies.Candidate | None
    ineligible: dict[str, str]

    @property
    def expected_cost(self) -> float | None:
        """Expected cost of the chosen server in seconds, None if none."""
        return round(self.chosen.cost, 4) if self.chosen else None

    @property
    def excluded(self) -> dict[str, str]:
        """Reason for each server that was not chosen, by host."""
        reasons = dict(self.ineligible)
        for candidate in self.candidates:
            if candidate is not self.chosen:
                reasons[candidate.server.host] = (
                    f'not preferred: cost {candidate.cost:.3f} s, '
                    f'load {candidate.load:.2f}'
                )
        return reasons


class Selector:
    """Selects backend servers of a pool.

    Attributes:
        decision: The latest decision.

    Args:
        table: Servers of the gateway.
        view: Configuration of the gateway.
        failure_domain: Failure domain of the gateway.
        policy: Name of a policy in policies.POLICIES.
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
        # Distances by failure domain, valid for this document.
        self._document = view.document
        self._distances: dict[str, int] = {}
        # Moving averages of the reported requests of this gateway and of the
        # other ones, by pool.
        self._request_means: dict[str, list[float]] = {}

    def choose(
        self,
        pool: str,
        version: str = '',
        affinity: str = '',
        exclude: frozenset[str] = frozenset(),
    ) -> servers.Server | None:
        """Returns a server for an attempt, None if none is eligible.

        Afterwards ``decision`` holds the reasons for the other servers.

        Args:
            pool: Pool to choose from.
            version: Model version that must be loaded, empty for a service.
            affinity: Key of the session or prompt prefix, may be empty.
            exclude: Hosts that must not be chosen because they were already
                tried.
        """
        now = clock.now()
        eligible, ineligible = self._filter_servers(
            pool, version, exclude, now
        )
        if self._policy.excludes_outliers:
            kept = outliers.filter_ejected(eligible, now)
            if len(kept) < len(eligible):
                hosts = {s.host for s in kept}
                for server in eligible:
                    if server.host not in hosts:
                        server.was_unavailable = True
                        ineligible[server.host] = 'ejected as an outlier'
                eligible = kept
        self.decision = Decision([], None, ineligible)
        if not eligible:
            return None
        candidates = self._estimate_candidates(pool, eligible, now)
        chosen = self._policy.choose(candidates, affinity)
        self.decision = Decision(candidates, chosen, ineligible)
        chosen.server.sent_since_report += 1
        return chosen.server

    def has_server(
        self, pool: str, version: str, exclude: frozenset[str]
    ) -> bool:
        """Returns whether a server that responds is eligible.

        Args:
            pool: Pool of the server.
            version: Model version that must be loaded, empty for a service.
            exclude: Hosts that were already tried.
        """
        eligible, _ = self._filter_servers(pool, version, exclude, clock.now())
        return any(not server.is_suspect for server in eligible)

    def describe_decision(self) -> dict:
        """Returns the log fields of the latest decision.

        Returns no fields if decisions are not logged: composing the reasons
        for 100 servers takes about as long as the selection.
        """
        if not logs.DECISION_LOG.isEnabledFor(logging.INFO):
            return {}
        return {
            'expected_cost_s': self.decision.expected_cost,
            'excluded': self.decision.excluded,
        }

    def make_outcome(self) -> servers.Outcome:
        """Returns an empty outcome for an attempt on the chosen server."""
        chosen = self.decision.chosen
        return servers.Outcome(load=min(1.0, chosen.load) if chosen else 0.0)

    def record(self, host: str, outcome: servers.Outcome) -> None:
        """Updates estimates and outlier ejection with an outcome.

        Args:
            host: Host that the attempt was sent to.
            outcome: Outcome of the attempt.
        """
        server = self._table.get(host)
        if server is None:
            self._outliers.remove(host)
            return
        server.record_outcome(outcome)
        self._outliers.record(server, outcome)

    def _refresh_distances(self) -> None:
        if self._document is not self._view.document:
            self._document = self._view.document
            self._distances.clear()

    def _find_distance(self, domain: str) -> int:
        view = self._view
        if not view.is_domain_open(domain):
            return CLOSED_DOMAIN
        if domain == self._failure_domain:
            return 0
        own = view.get_region(self._failure_domain)
        return 1 if view.get_region(domain) == own else 2

    def _filter_servers(
        self, pool: str, version: str, exclude: frozenset[str], now: float
    ) -> tuple[list[servers.Server], dict[str, str]]:
        eligible, suspects, ineligible = [], [], {}
        self._refresh_distances()
        distances = self._distances
        for server in self._table.list_pool(pool):
            domain = server.failure_domain
            distance = distances.get(domain)
            if distance is None:
                distance = distances[domain] = self._find_distance(domain)
            if not server.connected:
                reason = 'not connected'
            elif server.leaving:
                reason = 'leaving'
            elif not server.ready:
                reason = 'not ready'
            elif distance == CLOSED_DOMAIN:
                reason = 'failure domain closed'
            else:
                if server.was_unavailable:
                    server.was_unavailable = False
                    server.ramp_until = now + RAMP_SECONDS
                if version and version not in server.versions:
                    ineligible[server.host] = 'version not loaded'
                elif server.host in exclude:
                    ineligible[server.host] = 'already tried'
                elif server.is_suspect:
                    suspects.append(server)
                else:
                    eligible.append(server)
                continue
            server.was_unavailable = True
            ineligible[server.host] = reason
        if not eligible:
            # The gateway itself may have been slow, so suspect servers are
            # used if there are no others.
            return suspects, ineligible
        for server in suspects:
            ineligible[server.host] = 'no response to an attempt'
        return eligible, ineligible

    def _estimate_other_gateway_ratio(
        self, pool: str, eligible: list[servers.Server]
    ) -> float:
        own = other = 0
        for server in eligible:
            own += server.reported_in_flight
            other += server.other_gateway_requests
        # The ratio is computed from averages: without attempts of this
        # gateway, the momentary ratio would make every server look full.
        means = self._request_means.get(pool)
        if means is None:
            means = self._request_means[pool] = [float(own), float(other)]
        else:
            means[0] += SMOOTHING_FACTOR * (own - means[0])
            means[1] += SMOOTHING_FACTOR * (other - means[1])
        return min(MAX_OTHER_GATEWAY_RATIO, means[1] / max(1.0, means[0]))

    def _estimate_candidates(
        self, pool: str, eligible: list[servers.Server], now: float
    ) -> list[policies.Candidate]:
        distances = self._distances
        other_gateway_ratio = self._estimate_other_gateway_ratio(
            pool, eligible
        )
        first_tokens = sorted(
            [s.first_token_seconds for s in eligible if s.first_token_seconds]
        )
        median = (
            first_tokens[len(first_tokens) // 2]
            if first_tokens
            else servers.ASSUMED_FIRST_TOKEN_SECONDS
        )
        candidates = []
        add = candidates.append
        make_candidate = policies.Candidate
        fade_start = now - servers.ESTIMATE_FADE_SECONDS
        for server in eligible:
            window = server.window
            requests = server.estimate_requests(other_gateway_ratio)
            if requests < window and server.busy_until > now:
                requests = window
            load = requests / window
            recency = server.observed_at - fade_start
            first_token_seconds = median
            if recency > 0 and server.first_token_seconds:
                recency /= servers.ESTIMATE_FADE_SECONDS
                first_token_seconds += (
                    server.first_token_seconds - median
                ) * recency
            if load < 1:
                cost = first_token_seconds * (1 + FULL_BATCH_SLOWDOWN * load)
            else:
                cost = first_token_seconds * (1 + FULL_BATCH_SLOWDOWN)
                cost += server.duration * (requests - window + 1) / window
            distance = distances[server.failure_domain]
            share = 1.0
            if server.ramp_until > now:
                remaining = (server.ramp_until - now) / RAMP_SECONDS
                share = max(MIN_RAMP_SHARE, 1 - remaining)
            add(
                make_candidate(
                    server,
                    load,
                    cost + DISTANCE_PENALTIES_SECONDS[distance],
                    distance,
                    share,
                )
            )
        return candidates
