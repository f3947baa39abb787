"""Rates at which prompt prefixes are used, here and at other gateways.

A rate is an average that decays over ``WINDOW_SECONDS``. It counts uses and
the engine time that they take once the prefix is cached.
"""

import collections
import dataclasses
import math

from chivejunction import clock

WINDOW_SECONDS = 5.0
MAX_PREFIXES = 4096
MAX_PEERS = 512
MAX_ROWS_PER_PEER = 32
# Prefixes in the rows for the other gateways.
MAX_ROWS = 12
# Uses of a prefix at this gateway, in the window, that are worth a row of a
# hint. Rarer ones are reported only if other gateways report the prefix too.
MIN_REPORTED_USES = 1.5
MIN_KNOWN_USES = 0.3
# Time after its latest use at which a prefix is reported no more.
MAX_REPORTED_AGE_SECONDS = 3 * WINDOW_SECONDS
# Time for which collected rows are used again.
REPORT_INTERVAL_SECONDS = 0.25
# A row of another gateway expires after this time; gateways repeat them more
# often.
PEER_ROWS_TTL_SECONDS = 1.9
# Bounds of a row. One gateway alone reads no more prompts than that.
MAX_USES = 100_000.0
MAX_LOAD = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRate:
    """Rate of use of a prefix.

    Attributes:
        uses: Number of uses in the window, the older ones counted less.
        load: Engine seconds per second that the uses take at servers that
            have the prefix cached.
    """

    uses: float = 0.0
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _LocalRate:
    rate: PrefixRate
    used_at: float

    def decay(self, now: float) -> PrefixRate:
        """Returns the rate that is left of that at the latest use."""
        factor = math.exp((self.used_at - now) / WINDOW_SECONDS)
        return PrefixRate(factor * self.rate.uses, factor * self.rate.load)


class PrefixRates:
    """Rates of use by prefix key, of this gateway and the others."""

    def __init__(self):
        self._local: collections.OrderedDict[int, _LocalRate] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, tuple[float, dict[int, PrefixRate]]] = {}
        self._replica_counts: dict[int, tuple[float, int]] = {}
        self._reported: list[tuple[int, PrefixRate]] = []
        self._reported_until = 0.0

    def record_use(self, key: int, seconds: float) -> None:
        """Counts a use at this gateway.

        Args:
            key: Key of the prefix.
            seconds: Engine time of the use at a server with the prefix.
        """
        now = clock.now()
        local = self._local.pop(key, None)
        rate = local.decay(now) if local else PrefixRate()
        self._local[key] = _LocalRate(
            PrefixRate(rate.uses + 1, rate.load + seconds / WINDOW_SECONDS),
            now,
        )
        if len(self._local) > MAX_PREFIXES:
            self._local.popitem(last=False)

    def estimate(self, key: int) -> PrefixRate:
        """Returns the rate of a prefix at all gateways that are heard."""
        uses, load = 0.0, 0.0
        local = self._local.get(key)
        if local is not None:
            rate = local.decay(clock.now())
            uses, load = rate.uses, rate.load
        for expires_at, rates in self._peers.values():
            rate = rates.get(key)
            if rate is not None and not clock.has_passed(expires_at):
                uses += rate.uses
                load += rate.load
        return PrefixRate(uses, load)

    def list_reported(self) -> list[tuple[int, PrefixRate]]:
        """Returns this gateway's part of the highest rates, by key.

        The list is at most ``REPORT_INTERVAL_SECONDS`` old.
        """
        if clock.has_passed(self._reported_until):
            self._reported = self._collect_reported()
            self._reported_until = clock.make_deadline(REPORT_INTERVAL_SECONDS)
        return self._reported

    def _collect_reported(self) -> list[tuple[int, PrefixRate]]:
        now, parts = clock.now(), []
        known = set()
        for expires_at, rates in self._peers.values():
            if not clock.has_passed(expires_at):
                known |= rates.keys()
        for key, local in reversed(self._local.items()):
            if now - local.used_at > MAX_REPORTED_AGE_SECONDS:
                break
            rate = local.decay(now)
            least = MIN_KNOWN_USES if key in known else MIN_REPORTED_USES
            if rate.uses >= least:
                parts.append((key, rate))
        parts.sort(key=lambda part: part[1].load, reverse=True)
        return parts[:MAX_ROWS]

    def set_peer_rates(self, name: str, rates: dict[int, PrefixRate]) -> None:
        """Replaces the rates of another gateway and restarts their expiry."""
        for peer, (expires_at, _) in list(self._peers.items()):
            if clock.has_passed(expires_at):
                del self._peers[peer]
        if name in self._peers or len(self._peers) < MAX_PEERS:
            expires_at = clock.make_deadline(PEER_ROWS_TTL_SECONDS)
            self._peers[name] = (expires_at, rates)

    def get_replica_count(self, key: int) -> int:
        """Returns the number of replicas that was decided last, at least 1."""
        expires_at, count = self._replica_counts.get(key, (0.0, 1))
        return 1 if clock.has_passed(expires_at) else count

    def set_replica_count(self, key: int, count: int) -> None:
        """Stores the number of replicas until the window has passed."""
        if count <= 1:
            self._replica_counts.pop(key, None)
        elif key in self._replica_counts or (
            len(self._replica_counts) < MAX_PREFIXES
        ):
            expires_at = clock.make_deadline(WINDOW_SECONDS)
            self._replica_counts[key] = expires_at, count

    def count_replicated(self) -> int:
        """Returns the number of prefixes with more than one replica."""
        for key, (expires_at, _) in list(self._replica_counts.items()):
            if clock.has_passed(expires_at):
                del self._replica_counts[key]
        return len(self._replica_counts)
