"""Placement of prompt prefixes on servers, and whether a copy of one pays.

All gateways place a prefix on the same servers: on as many as its rate of use
asks for, in the order of rendezvous hashing. Copies spread a prefix to these
servers. Other servers copy it only while the servers that have it are busy, or
where they are chosen although they would have to read it.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math

from chivejunction import rendezvous
from chivejunction.state import copy_links
from chivejunction.state import prefix_rates

# Load: one prefix gets much of the traffic. Part of a server's time that the
# uses of one prefix may take before another server is to have it; the rest is
# for the prefixes beside it.
MAX_SERVER_SHARE = 0.25
# Hysteresis keeps the number of replicas from following each use: it falls
# only when the load would fit on fewer servers at this part of the share.
KEEP_SHARE = 0.6
# Load: prefixes that are used now and then. A prefix with fewer uses in the
# window is not likely to be used soon at the server that it is copied to.
MIN_REPLICA_USES = 2.0
# Load: servers that read a prompt almost as fast as they copy it. A copy must
# gain this multiple of the time in which it uses a link.
MIN_GAIN_PER_LINK_SECOND = 8.0
# Load: short prefixes and fast models. A copy must gain this part of the
# route's objective; callers do not notice less. Where a server has a backlog
# of this part, all requests in it gain by the copy.
NOTICED_SHARE = 0.02
# Load: a burst at the servers that have the prefix. Callers bear a wait of
# this part of the route's objective.
BEARABLE_SHARE = 0.2
# A link between failure domains takes this multiple of the time of one inside.
DOMAIN_LINK_FACTOR = 2.0
# Part of the cost of a missing prefix that the replicas are relieved of, so
# that all gateways read a prefix at the same server first.
RELIEF_SHARE = 0.75


class CopyVerdict(enum.StrEnum):
    """Whether a copy pays and why.

    Attributes:
        REPLICA: It pays: the server is to have the prefix.
        BUSY: It pays: the wait for servers with the prefix is too long.
        READ: It pays: the server would read the prefix in any case.
        UNNOTICED: It would gain too little for the caller.
        LINK_TIME: It would gain too little for the time on the links.
        NO_REPLICA: It must draw no request to a server that is not to have
            the prefix.
        RARE: It must draw no request: the prefix is used too rarely.
        LINK_SHARE: The links carry enough copies.
    """

    REPLICA = 'replica'
    BUSY = 'busy'
    READ = 'read'
    UNNOTICED = 'unnoticed'
    LINK_TIME = 'link_time'
    NO_REPLICA = 'no_replica'
    RARE = 'rare'
    LINK_SHARE = 'link_share'

    @property
    def pays(self) -> bool:
        """Whether the copy is to be made."""
        return self in _PAYING


_PAYING = frozenset([CopyVerdict.REPLICA, CopyVerdict.BUSY, CopyVerdict.READ])
# A server that is chosen in spite of these may still get a copy.
UNATTRACTIVE = frozenset([CopyVerdict.NO_REPLICA, CopyVerdict.RARE])


@dataclasses.dataclass(slots=True)
class Placement:
    """Servers that are to have a prefix.

    Attributes:
        key: Key of the prefix.
        replicas: Instance ids of the servers.
        uses: Uses in the window of ``prefix_rates``.
        previous_count: Number of replicas that was in force before.
        use_seconds: Engine time of this use where the prefix is cached.
        objective: Latency objective of the route in seconds, 0 for none.
        server_count: Number of servers that could take the request.
        wait: Shortest backlog in seconds of the servers that have the prefix.
    """

    key: int
    replicas: frozenset[str]
    uses: float = 0.0
    previous_count: int = 1
    use_seconds: float = 0.0
    objective: float = 0.0
    server_count: int = 1
    wait: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CopyOffer:
    """A copy that could be made for a request.

    Attributes:
        read_seconds: Time in which the target would read what it copies.
        link_seconds: Time for which the copy uses the links of both servers.
        delay_seconds: Time until the copy starts: setup and earlier copies.
        target_wait: Backlog of the target in seconds.
    """

    read_seconds: float
    link_seconds: float
    delay_seconds: float
    target_wait: float = 0.0

    @property
    def gained_seconds(self) -> float:
        """Seconds by which the copy is faster than to read the prefix."""
        return self.read_seconds - self.link_seconds - self.delay_seconds

    @property
    def penalty_seconds(self) -> float:
        """Engine time that the use of the links must be worth."""
        return MIN_GAIN_PER_LINK_SECOND * self.link_seconds


def count_replicas(
    rate: prefix_rates.PrefixRate, server_count: int, previous_count: int
) -> int:
    """Returns how many servers are to have a prefix.

    Args:
        rate: Its rate of use at all gateways.
        server_count: Number of eligible servers.
        previous_count: The number that was decided last.
    """
    needed = math.ceil(rate.load / MAX_SERVER_SHARE)
    kept = math.ceil(rate.load / (MAX_SERVER_SHARE * KEEP_SHARE))
    count = max(needed, min(previous_count, kept))
    # A single long prompt is no reason to spread its prefix.
    return max(1, min(count, math.ceil(rate.uses), server_count))


def rank_servers(key: int, instances: Iterable[str], count: int) -> list[str]:
    """Returns the servers that are to have a prefix, the first one first.

    A larger number adds servers and moves none.
    """
    return rendezvous.rank_hosts(str(key), instances)[:count]


def estimate_link_seconds(
    copied_bytes: float, bytes_per_second: float, is_other_domain: bool
) -> float:
    """Returns the seconds for which a copy uses the links of two servers."""
    factor = DOMAIN_LINK_FACTOR if is_other_domain else 1.0
    return factor * copied_bytes / bytes_per_second


def judge_target(placement: Placement, instance: str) -> CopyVerdict:
    """Returns whether a server may get a copy, whatever the copy takes."""
    if placement.wait > BEARABLE_SHARE * placement.objective > 0:
        return CopyVerdict.BUSY
    if instance not in placement.replicas:
        return CopyVerdict.NO_REPLICA
    if placement.uses < MIN_REPLICA_USES:
        return CopyVerdict.RARE
    return CopyVerdict.REPLICA


def judge_gain(placement: Placement, offer: CopyOffer) -> CopyVerdict | None:
    """Returns why a copy gains too little, None if it gains enough."""
    if (
        max(offer.gained_seconds, offer.target_wait)
        < NOTICED_SHARE * placement.objective
    ):
        return CopyVerdict.UNNOTICED
    if offer.gained_seconds < offer.penalty_seconds:
        return CopyVerdict.LINK_TIME
    return None


class PrefixPlacer:
    """Places prefixes by their rates.

    Args:
        rates: Rates of use at all gateways.
        links: Budget of the copies and their queues.
    """

    def __init__(
        self,
        rates: prefix_rates.PrefixRates,
        links: copy_links.CopyLinks,
    ):
        self.rates = rates
        self.links = links

    def place(
        self,
        key: int,
        instances: list[str],
        server_count: int,
        use_seconds: float,
        objective: float,
    ) -> Placement:
        """Returns the servers that are to have a prefix.

        Args:
            key: Key of the prefix.
            instances: Instance ids of the servers that the prefix is placed
                among.
            server_count: Number of servers that could take the request. The
                uses are divided among them.
            use_seconds: Engine time of this use where the prefix is cached.
            objective: Latency objective of the route in seconds, 0 for none.
        """
        rate = self.rates.estimate(key)
        share = len(instances) / server_count
        rate = prefix_rates.PrefixRate(share * rate.uses, share * rate.load)
        previous_count = self.rates.get_replica_count(key)
        count = count_replicas(rate, len(instances), previous_count)
        self.rates.set_replica_count(key, count)
        return Placement(
            key,
            frozenset(rank_servers(key, instances, count)),
            rate.uses,
            previous_count,
            use_seconds,
            objective,
            server_count,
        )
