"""Choice of the backend server for an attempt."""

import dataclasses

from chivejunction import clock
from chivejunction.coordination import policies
from chivejunction.state import outliers
from chivejunction.state import servers
from chivejunction.state import views

# Penalties in seconds for the own failure domain, the own region and others.
# The last one is a round trip of 60 ms plus what the volume between regions
# costs: traffic leaves the region to save more than a third of a second.
PENALTIES = (0.0, 0.001, 0.36)
# A server that comes back gets a share that grows from MIN_SHARE to the
# whole within this time, since its cache is empty and others know it too.
RAMP_SECONDS = 8.0
MIN_SHARE = 0.05
# Bound on the estimated load of other gateways relative to this one's.
MAX_GROWTH = 8.0
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
        candidates = self._estimate(usable, now)
        chosen = self._policy.choose(candidates, affinity)
        self.decision = Decision(candidates, chosen, refused)
        chosen.server.sent_since += 1
        return chosen.server

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

    def _filter(
        self, pool: str, version: str, exclude: frozenset[str], now: float
    ) -> tuple[list[servers.Server], dict[str, str]]:
        is_open = self._view.is_open
        domains: dict[str, bool] = {}
        usable, refused = [], {}
        for server in self._table.in_pool(pool):
            domain = server.failure_domain
            if domain not in domains:
                domains[domain] = is_open(domain)
            if not server.connected:
                reason = 'not connected'
            elif not server.ready:
                reason = 'leaving' if server.leaving else 'not ready'
            elif server.leaving:
                reason = 'leaving'
            elif not domains[domain]:
                reason = 'failure domain closed'
            else:
                if server.absent:
                    server.absent = False
                    server.ramp_until = now + RAMP_SECONDS
                if version and version not in server.versions:
                    refused[server.host] = 'version not loaded'
                elif server.host in exclude:
                    refused[server.host] = 'tried before'
                else:
                    usable.append(server)
                continue
            server.absent = True
            refused[server.host] = reason
        return usable, refused

    def _locate(self, usable: list[servers.Server]) -> dict[str, int]:
        region_of = self._view.region_of
        own = region_of(self._failure_domain)
        return {
            domain: 0
            if domain == self._failure_domain
            else 1
            if region_of(domain) == own
            else 2
            for domain in {s.failure_domain for s in usable}
        }

    @staticmethod
    def _estimate_growth(usable: list[servers.Server]) -> float:
        own = sum([s.reported_sent for s in usable])
        all_load = sum([s.running + s.queued for s in usable])
        return min(MAX_GROWTH, max(0, all_load - own) / max(1, own))

    def _estimate(
        self, usable: list[servers.Server], now: float
    ) -> list[policies.Candidate]:
        places = self._locate(usable)
        growth = self._estimate_growth(usable)
        known = sorted([s.first_token for s in usable if s.first_token])
        typical = (
            known[len(known) // 2] if known else servers.ASSUMED_FIRST_TOKEN
        )
        candidates = []
        for server in usable:
            requests, window = server.estimate_load(growth), server.window
            if server.busy_until > now and requests < window:
                requests = window
            load = requests / window
            base = server.first_token
            if not base:
                base = typical
            elif now - server.observed_at > 1:
                fresh = 0.5 ** (
                    (now - server.observed_at) / servers.FADE_SECONDS
                )
                base = typical + (base - typical) * fresh
            cost = base * (1 + CONGESTION * (load if load < 1 else 1))
            if requests >= window:
                cost += server.duration * (requests - window + 1) / window
            place = places[server.failure_domain]
            candidate = policies.Candidate(
                server, load, cost + PENALTIES[place], place
            )
            if server.ramp_until > now:
                left = (server.ramp_until - now) / RAMP_SECONDS
                candidate.share = max(MIN_SHARE, 1 - left)
            candidates.append(candidate)
        return candidates
