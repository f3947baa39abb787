"""Load-balancing policies for the choice of a backend server."""

import abc
import dataclasses
import random

import xxhash

from chivejunction import registry
from chivejunction.state import servers

POLICIES: registry.Registry[type['Policy']] = registry.Registry(
    'server policy'
)


@dataclasses.dataclass(slots=True)
class Candidate:
    """An eligible server with its estimates.

    Attributes:
        server: The server.
        load: Expected requests relative to the server's window.
        cost: Expected time to first token plus the distance penalty, in
            seconds.
        distance: 0 in the failure domain of the gateway, 1 in its region, 2
            in another region.
        share: Share of its normal traffic that the server should get, 0 to
            1; below 1 during a ramp.
    """

    server: servers.Server
    load: float
    cost: float
    distance: int
    share: float = 1.0


class Policy(abc.ABC):
    """Base class of the policies.

    Attributes:
        excludes_outliers: Whether ejected servers are removed from the
            candidates.

    Args:
        rng: Source of random numbers.
    """

    excludes_outliers = False

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random()

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the chosen candidate.

        Args:
            candidates: Eligible servers, at least one.
            affinity: Key of the session or prompt prefix, may be empty.
        """


@POLICIES.register('round_robin')
class RoundRobin(Policy):
    """Chooses servers in turn; a baseline for comparisons."""

    def __init__(self, rng: random.Random | None = None):
        super().__init__(rng)
        self._turn = 0

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the next server in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@POLICIES.register('random')
class Random(Policy):
    """Chooses a random server; a baseline for comparisons."""

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns a random server."""
        return self.rng.choice(candidates)


@POLICIES.register('two_choices')
class TwoChoices(Policy):
    """Chooses the less loaded of two random servers.

    A baseline for comparisons.
    """

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the less loaded of two random servers."""
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.load)


@POLICIES.register('affinity')
class Affinity(Policy):
    """Sends requests with the same key to the same server.

    With a key, the server is chosen by rendezvous hashing among the servers
    that exceed neither the load bound nor the cost bound. Servers of the
    own region are preferred, so other regions are used only if each server
    of the own one exceeds a bound.

    Without a key, or if all servers exceed a bound, the cheaper of two
    random servers among those close to the lowest cost is chosen.
    """

    excludes_outliers = True
    # Load bound for keys, relative to the mean load of the candidates.
    max_relative_load = 1.25
    # The load bound is at least this. A server with a free slot in its window
    # does not queue the request, and the cost bound already accounts for the
    # slowdown by a fuller batch.
    min_load_bound = 1.0
    # Cost bound for keys as a factor and an offset in seconds on the lowest
    # cost: the additional cost that a cached prefix is worth.
    affinity_cost_margin = (2.0, 0.1)
    # Factor and offset in seconds on the lowest cost up to which servers count
    # as equally good.
    equal_cost_margin = (1.25, 0.02)
    # Costs are rounded down to multiples of this share of the lowest cost.
    # Among equal ones the nearer server is chosen.
    cost_rounding = 0.1

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the server for the key, or one with a low cost."""
        lowest_cost = min([c.cost for c in candidates])
        if affinity:
            chosen = self._choose_by_affinity(
                candidates, affinity, lowest_cost
            )
            if chosen is not None:
                return chosen
        factor, extra = self.equal_cost_margin
        bound = lowest_cost * factor + extra
        cheap = [c for c in candidates if c.cost <= bound]
        admitted = [
            c for c in cheap if c.share >= 1 or self.rng.random() < c.share
        ]
        # Gateways receive the same load reports. If each of them chose the
        # cheapest server, all would send to the same one.
        pair = admitted or cheap
        if len(pair) > 2:
            pair = self.rng.sample(pair, 2)
        # Small cost differences are noise. Without rounding, a server that
        # was slow once would remain slightly more expensive and lose every
        # comparison.
        step = self.cost_rounding * lowest_cost
        return min(pair, key=lambda c: (int(c.cost / step), c.distance))

    def _choose_by_affinity(
        self, candidates: list[Candidate], affinity: str, lowest_cost: float
    ) -> Candidate | None:
        factor, extra = self.affinity_cost_margin
        cost_bound = lowest_cost * factor + extra
        mean = sum([c.load for c in candidates]) / len(candidates)
        load_bound = max(self.min_load_bound, self.max_relative_load * mean)
        seed = xxhash.xxh3_64_intdigest(affinity.encode())
        digest = xxhash.xxh3_64_intdigest
        best, best_rank = None, (0, -1)
        for candidate in candidates:
            if candidate.cost > cost_bound or candidate.load > load_bound:
                continue
            score = digest(candidate.server.host_bytes, seed)
            # During a ramp, the low bits of the score decide whether the
            # server gets the key. The share only grows, so a key moves to the
            # server once and stays there.
            if candidate.share < 1 and (score & 0xFFFF) >= (
                candidate.share * 0x10000
            ):
                continue
            rank = (-1 if candidate.distance == 2 else 0), score
            if best is None or rank > best_rank:
                best, best_rank = candidate, rank
        return best
