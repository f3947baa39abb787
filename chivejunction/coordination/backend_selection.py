"""Choice of the backend server for an attempt of a forwarded request."""

from collections.abc import Callable
import dataclasses
import math

import xxhash

from chivejunction import clock
from chivejunction.protocol import forwarding
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import limits
from chivejunction.state import prompt_holdings

# Estimates are in seconds. A server in another region costs the round trip
# and the bytes that are paid for there.
FAR_SECONDS = 0.2
FAR_SECONDS_PLAIN = 0.12
# Seconds for each attempt in progress: its tokens slow the others down.
RUNNING_SECONDS = 0.01
# A plain service works on one request in each slot.
SLOT_SECONDS = 0.06
FAULT_SECONDS = 1.0
# Reading a part again that another server holds is priced beyond the time
# of the engine: 13,300 tokens cost about as much as bytes between regions.
REREAD_SECONDS_PER_TOKEN = 0.2 / 13_300
# Copying prompt memory between engines is priced too: a GB costs as much as
# reading 15,000 tokens again (users' sheets), which is 0.22 s by the line
# above.
COPY_SECONDS_PER_GB = 0.22
# Time before a copy starts (users' sheets: 1.7 ms at each end).
COPY_SETUP_SECONDS = 0.004
# Each second that the events after the first one will take counts little
# unless they would not end in time.
PACE_WEIGHT = 0.05
LATE_WEIGHT = 1.0
# Pace of a server that no stream was seen on lately (users' engines idle).
ASSUMED_PACE_SECONDS = 0.03
# Gateways agree on a server for a prompt that nobody holds yet, unless it
# has this much more work than another.
AGREED_SECONDS = 0.08
# Gateways that send to a cold server. Each may send one request at once, and
# users bear 5 requests beyond one and a half times the rate of such a server.
COLD_GATEWAYS = 5
# Part of a server's connections that one gateway leaves to the others.
CONNECTION_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Wish:
    """What a server has to offer for an attempt.

    Attributes:
        service: Service that it belongs to.
        model: Model that answers; empty for a plain service.
        regions: Regions that may serve; empty for all.
        prefixes: Shared beginnings of the prompt, see ``list_prefixes``.
        tokens: Tokens of the whole prompt.
        events: Events that the answer will have.
        seconds_left: Time until the whole answer must be there.
        tried: Instances that were tried already.
        is_version_allowed: Tells whether a software version may be used.
    """

    service: str
    model: str = ''
    regions: frozenset[str] = frozenset()
    prefixes: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    tokens: int = 0
    events: float = 0.0
    seconds_left: float = math.inf
    tried: frozenset[str] = frozenset()
    is_version_allowed: Callable[[str], bool] = lambda version: True


@dataclasses.dataclass(slots=True)
class Choice:
    """A chosen server.

    Attributes:
        backend: The server.
        seconds: Estimated work of the attempt there.
        wait: Estimated work that is before it.
        held_tokens: Prompt tokens that the server need not read: those that
            it is thought to hold, and those that it copies.
        stream_seconds: Estimated time of the events after the first one.
        source: Server from which it copies a part of the prompt, or None.
        copied_tokens: Tokens of that part.
        price: What reading again and copying cost the users, in seconds.
        busy_seconds: Mean work that waits at all servers that may be used.
    """

    backend: backends.Backend
    seconds: float
    wait: float
    held_tokens: int
    stream_seconds: float = 0.0
    source: backends.Backend | None = None
    copied_tokens: int = 0
    price: float = 0.0
    busy_seconds: float = 0.0

    @property
    def copy_from(self) -> str:
        """``IP:PORT`` of the server to copy from, empty for none."""
        if self.source is None:
            return ''
        return f'{self.source.address}:{self.source.port}'

    @property
    def total_seconds(self) -> float:
        """Estimated time of the whole answer."""
        return self.wait + self.seconds + self.stream_seconds


def rank(key: str | int, instance: str) -> int:
    """Returns the rendezvous score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}|{instance}'.encode())


def find_holders(choices: list[Choice]) -> dict[str, Choice]:
    """Returns for each version the server that holds most of a prompt.

    Memory that another version has filled is of no use.
    """
    found: dict[str, Choice] = {}
    for choice in choices:
        known = found.get(choice.backend.version)
        if known is None or choice.held_tokens > known.held_tokens:
            found[choice.backend.version] = choice
    return found


class BackendSelector:
    """Chooses the server with the least estimated time to the first byte.

    Args:
        table: Backend servers.
        region: Region of this gateway.
        count_gateways: Returns the number of gateways at work.
        count_sharing: Returns among how many gateways this one shares a
            cold server, see ``members.Members``.
        work: Work that waits at servers.
        speeds: Reading speeds of the models.
        holdings: Prompt beginnings that servers hold.
    """

    def __init__(
        self,
        table: backends.BackendTable,
        region: str,
        count_gateways: Callable[[], int],
        count_sharing: Callable[[str, int], int],
        work: backlogs.Backlogs,
        speeds: backlogs.ReadingSpeeds,
        holdings: prompt_holdings.PromptHoldings,
    ):
        self._table = table
        self._region = region
        self._count_gateways = count_gateways
        self._count_sharing = count_sharing
        self._work = work
        self._speeds = speeds
        self._holdings = holdings

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

    def has_version(
        self,
        wish: Wish,
        service: forwarding.BackendService,
        version: str,
    ) -> bool:
        """Tells whether a server of a version may be used now."""
        return any(
            backend.version == version
            for backend in self.list_candidates(wish, service)
        )

    def choose(
        self, wish: Wish, service: forwarding.BackendService
    ) -> Choice | None:
        """Returns a server for an attempt, None if none may be used."""
        candidates = self.list_candidates(wish, service)
        if not candidates:
            return None
        waits = self._work.estimate()
        usual = sum(b.error_share for b in candidates) / len(candidates)
        agreed = None
        if wish.prefixes:
            key = wish.prefixes[-1][0]
            agreed = max(candidates, key=lambda b: rank(key, b.instance))
        choices = [self._make_choice(wish, b, waits) for b in candidates]
        holders = find_holders(choices)
        most_held = max(choice.held_tokens for choice in choices)
        best, best_cost = None, math.inf
        for choice in choices:
            backend = choice.backend
            self._plan_copy(
                wish, service, choice, holders[backend.version], most_held
            )
            cost = self._estimate(wish, choice)
            cost += FAULT_SECONDS * max(0.0, backend.error_share - usual)
            if backend is agreed:
                cost -= AGREED_SECONDS
            if cost < best_cost:
                best, best_cost = choice, cost
        self._take_cold(best.backend)
        best.busy_seconds = sum(c.wait for c in choices) / len(choices)
        return best

    def _make_choice(self, wish, backend, waits) -> Choice:
        wait = waits.get(backend.instance, 0.0)
        if not wish.model:
            return Choice(backend, 0.0, wait, 0)
        held = self._holdings.count_held(backend.instance, wish.prefixes)
        tokens = max(0, wish.tokens - held)
        seconds = self._speeds.estimate(wish.model, tokens)
        pace = backend.find_pace()
        if pace is None:
            pace = ASSUMED_PACE_SECONDS
        return Choice(backend, seconds, wait, held, wish.events * pace)

    def _plan_copy(
        self,
        wish: Wish,
        service: forwarding.BackendService,
        choice: Choice,
        holder: Choice,
        most_held: int,
    ) -> None:
        """Lets a server copy what another one holds where that is cheaper.

        A small model reads a prompt about as fast as it is copied; the
        largest one takes some ten times as long.
        """
        choice.price = REREAD_SECONDS_PER_TOKEN * (
            most_held - choice.held_tokens
        )
        copied = holder.held_tokens - choice.held_tokens
        speed = service.copy_bytes_per_second
        if copied <= 0 or not speed or not service.cache_token_bytes:
            return
        size = copied * service.cache_token_bytes
        tokens = max(0, wish.tokens - holder.held_tokens)
        seconds = self._speeds.estimate(wish.model, tokens)
        seconds += COPY_SETUP_SECONDS + size / speed
        price = COPY_SECONDS_PER_GB * size / 1e9
        if seconds + price < choice.seconds + choice.price:
            choice.seconds, choice.price = seconds, price
            choice.held_tokens += copied
            choice.copied_tokens, choice.source = copied, holder.backend

    def _estimate(self, wish: Wish, choice: Choice) -> float:
        """Returns the estimated cost of a choice in seconds."""
        backend = choice.backend
        cost = choice.wait + choice.seconds + choice.price
        is_far = backend.region != self._region
        if wish.model:
            cost += RUNNING_SECONDS * backend.running
            cost += PACE_WEIGHT * choice.stream_seconds
            late = choice.total_seconds - wish.seconds_left
            cost += LATE_WEIGHT * max(0.0, late)
            cost += FAR_SECONDS * is_far
        else:
            cost += SLOT_SECONDS * backend.running / backend.slots
            cost += FAR_SECONDS_PLAIN * is_far
        # Breaks ties, differently at each gateway.
        return cost + rank(self._region, backend.instance) / 2**74

    def _has_connection(self, backend, service) -> bool:
        share = service.max_connections * CONNECTION_SHARE
        share /= max(1, self._count_gateways())
        return backend.running < max(2.0, share)

    def _bears_another(self, backend, service) -> bool:
        if not service.cold_rate or not backend.is_cold():
            return True
        sharing = self._count_sharing(backend.instance, COLD_GATEWAYS)
        if not sharing:
            return False
        rate = service.cold_rate / (sharing + 1)
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
