"""Choice of the backend server for an attempt of a forwarded request."""

from collections.abc import Callable
import dataclasses

import xxhash

from chivejunction import clock
from chivejunction.protocol import forwarding
from chivejunction.state import backends
from chivejunction.state import limits

# Shared prompt tokens from which a server in another region that holds them
# beats one nearby that has to read them: about the time of a round trip
# between regions (60 ms) at the reading speed of the engines (61 a ms).
FAR_AFFINITY_TOKENS = 4000
# Attempts beyond the mean of the pool that a server takes for its prompts.
AFFINITY_SLACK = 3.0
AFFINITY_FACTOR = 1.6
# Weights of the estimate, in attempts that run already.
FAR_WEIGHT = 4.0
FAULT_WEIGHT = 12.0
LATENCY_WEIGHT = 4.0
# Recent share of failures from which prompts go to the next server.
FAULTY_SHARE = 0.3
# Part of a server's connections that one gateway leaves to the others.
CONNECTION_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Wish:
    """What a server has to offer for an attempt.

    Attributes:
        service: Service that it belongs to.
        regions: Regions that may serve; empty for all.
        affinity: Key of the shared prompt parts; empty without any.
        affinity_tokens: Tokens of the shared parts.
        tried: Instances that were tried already.
        is_version_allowed: Tells whether a software version may be used.
        is_urgent: Whether it may use the last free room.
    """

    service: str
    regions: frozenset[str] = frozenset()
    affinity: str = ''
    affinity_tokens: int = 0
    tried: frozenset[str] = frozenset()
    is_version_allowed: Callable[[str], bool] = lambda version: True


def make_affinity(
    prompt: tuple[forwarding.PromptPart, ...], model: str
) -> tuple[str, int]:
    """Returns the key and the tokens of a prompt's shared parts."""
    shared = prompt[:-1]
    if not shared:
        return '', 0
    key = '/'.join([model, *(part.id for part in shared)])
    return key, sum(part.tokens for part in shared)


def rank(key: str, instance: str) -> int:
    """Returns the rendezvous score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}|{instance}'.encode())


class BackendSelector:
    """Chooses servers by health, region, cached prompts and load.

    Args:
        table: Backend servers.
        region: Region of this gateway.
        count_gateways: Returns the number of gateways at work.
        count_connections: Returns this gateway's connections to a server.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        region: str,
        count_gateways: Callable[[], int],
        count_connections: Callable[[str], int],
    ):
        self._table = table
        self._region = region
        self._count_gateways = count_gateways
        self._count_connections = count_connections

    def list_candidates(
        self, wish: Wish, service: forwarding.BackendService
    ) -> list[backends.Backend]:
        """Returns the servers that may be used now."""
        now = clock.now()
        found = []
        lapsed = []
        for backend in self._table.list_service(wish.service):
            if (
                backend.is_leaving
                or backend.paused_until > now
                or backend.failure_domain in self._table.closed_domains
                or backend.instance in wish.tried
                or (wish.regions and backend.region not in wish.regions)
                or not wish.is_version_allowed(backend.version)
                or not self._has_connection(backend, service)
                or not self._bears_another(backend, service)
            ):
                continue
            (lapsed if backend.lapsed_until else found).append(backend)
        return found or lapsed

    def choose(
        self, wish: Wish, service: forwarding.BackendService
    ) -> backends.Backend | None:
        """Returns a server for an attempt, None if none may be used."""
        candidates = self.list_candidates(wish, service)
        if not candidates:
            return None
        chosen = None
        if wish.affinity:
            chosen = self._choose_by_prompt(wish, candidates)
        if chosen is None:
            chosen = min(candidates, key=self._estimate)
        self._take_cold(chosen)
        return chosen

    def _choose_by_prompt(self, wish, candidates):
        mean = sum(b.running for b in candidates) / len(candidates)
        bound = AFFINITY_FACTOR * mean + AFFINITY_SLACK
        near = [b for b in candidates if b.region == self._region]
        pool = candidates
        if near and wish.affinity_tokens < FAR_AFFINITY_TOKENS:
            pool = near
        fit = [
            b
            for b in pool
            if b.running <= bound and b.error_share < FAULTY_SHARE
        ]
        if not fit:
            return None
        return max(fit, key=lambda b: rank(wish.affinity, b.instance))

    def _estimate(self, backend: backends.Backend) -> float:
        far = FAR_WEIGHT * (backend.region != self._region)
        return (
            far
            + backend.running * 8 / max(1, backend.slots)
            + FAULT_WEIGHT * backend.error_share
            + LATENCY_WEIGHT * min(2.0, backend.latency)
            # Breaks ties differently at each gateway.
            + rank(self._region, backend.instance) / 2**66
        )

    def _has_connection(self, backend, service) -> bool:
        share = service.max_connections * CONNECTION_SHARE
        share /= max(1, self._count_gateways())
        return backend.running < max(2.0, share)

    def _bears_another(self, backend, service) -> bool:
        if not service.cold_rate or not backend.is_cold():
            return True
        rate = service.cold_rate / (self._count_gateways() + 1)
        if backend.cold_bucket is None:
            backend.cold_bucket = limits.TokenBucket(rate, backends.COLD_BURST)
        elif backend.cold_bucket.rate != rate:
            backend.cold_bucket.resize(rate, backends.COLD_BURST)
        return backend.cold_bucket.find_wait(1) == 0

    @staticmethod
    def _take_cold(backend: backends.Backend) -> None:
        if backend.is_cold() and backend.cold_bucket is not None:
            backend.cold_bucket.take(1)
        elif not backend.is_cold():
            backend.cold_bucket = None
