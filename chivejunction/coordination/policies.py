"""Policies that choose one of the eligible backend servers."""

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
        load: Expected requests relative to its window.
        cost: Expected time to first token plus the penalty for its place,
            in seconds.
        place: Index into selection.PENALTIES, 0 for the own failure domain.
        share: Part of its normal traffic that it should get, 0 to 1.
    """

    server: servers.Server
    load: float
    cost: float
    place: int
    share: float = 1.0


class Policy(abc.ABC):
    """Base of all policies.

    Attributes:
        ejects: Whether outliers are left out before the policy is asked.

    Args:
        rng: Source of random numbers.
    """

    ejects = False

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random()

    @abc.abstractmethod
    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns one of the candidates, of which there is at least one.

        Args:
            candidates: Eligible servers.
            affinity: Key of the session or prompt prefix, may be empty.
        """


@POLICIES.register('round_robin')
class RoundRobin(Policy):
    """Takes servers in turn; a baseline."""

    def __init__(self, rng: random.Random | None = None):
        super().__init__(rng)
        self._turn = 0

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the next server in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@POLICIES.register('random')
class Random(Policy):
    """Takes any server; a baseline."""

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns a random server."""
        return self.rng.choice(candidates)


@POLICIES.register('two_choices')
class TwoChoices(Policy):
    """Takes the less loaded of two random servers; a baseline."""

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the less loaded of two random servers."""
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.load)


@POLICIES.register('affinity')
class Affinity(Policy):
    """Keeps keys at their server while that costs little.

    With a key: rendezvous hashing over the servers of the own region, or of
    all if the own region is far more expensive. Servers above the load
    bound or far slower than the best one are passed over. Without a key:
    the cheaper of two random servers among those close to the best cost.
    """

    ejects = True
    # Load bound relative to the mean load of the candidates.
    load_factor = 1.25
    # A server with room in its window is never above the bound: it need not
    # queue, and the bound on cost already covers a batch that slows down.
    free_load = 1.0
    # Cost, relative to the best and in seconds, that a cached prefix is
    # worth.
    key_margin = (2.0, 0.1)
    # Cost within which servers count as equal.
    near_margin = (1.25, 0.02)
    # Relative difference of cost below which the nearer server is taken.
    cost_step = 0.1

    def choose(self, candidates: list[Candidate], affinity: str) -> Candidate:
        """Returns the server of a key, or one of the cheapest."""
        best = min([c.cost for c in candidates])
        if affinity:
            found = self._find_key(candidates, affinity, best)
            if found is not None:
                return found
        factor, extra = self.near_margin
        bound = best * factor + extra
        near = [c for c in candidates if c.cost <= bound]
        open_near = [
            c for c in near if c.share >= 1 or self.rng.random() < c.share
        ]
        # Many gateways see the same reports, so no one takes the very best.
        pair = open_near or near
        if len(pair) > 2:
            pair = self.rng.sample(pair, 2)
        # Small differences of cost are noise; without rounding, a server that
        # was slow once would stay just behind the others for ever.
        step = self.cost_step * best
        return min(pair, key=lambda c: (int(c.cost / step), c.place))

    def _find_key(
        self, candidates: list[Candidate], affinity: str, best: float
    ) -> Candidate | None:
        factor, extra = self.key_margin
        cost_bound = best * factor + extra
        mean = sum([c.load for c in candidates]) / len(candidates)
        load_bound = max(self.free_load, self.load_factor * mean)
        seed = xxhash.xxh3_64_intdigest(affinity.encode())
        digest = xxhash.xxh3_64_intdigest
        found, found_rank = None, (0, -1)
        for candidate in candidates:
            if candidate.cost > cost_bound or candidate.load > load_bound:
                continue
            weight = digest(candidate.server.key, seed)
            # The low bits decide on a ramp, so that a key moves to a
            # returning server once and stays there.
            if candidate.share < 1 and (weight & 0xFFFF) >= (
                candidate.share * 0x10000
            ):
                continue
            rank = (-1 if candidate.place == 2 else 0), weight
            if found is None or rank > found_rank:
                found, found_rank = candidate, rank
        return found
