"""Who gives back memory or a connection when a gateway runs short of it.

Load pattern: callers outside the operators' control send large bodies at
once and stop short of their end, or send requests ahead and leave the
responses unread. Without an order the callers that come first hold everything
and an ordinary request finds no room.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from chivejunction.state import held_memory

# Memory of the process without callers, and the part of the rest that may be
# held for them; the allocator and the interpreter need more than the bytes
# that are held.
BASE_BYTES = 64_000_000
HELD_SHARE = 0.6
# A request and a response of the largest size at once.
MIN_BOUND_BYTES = 10_000_000
# Bound where the memory of the host is not known.
DEFAULT_BOUND_BYTES = 48_000_000
# Requests up to this size may use all of the bound, longer ones a part of it.
ORDINARY_BYTES = 65_536
LONG_SHARE = 0.75
# Memory that is freed at once, as a share of the bound, so that not each
# further byte needs a decision.
FREED_SHARE = 1 / 16
# Time without progress after which a connection gives way to others.
STALL_SECONDS = 1.0
# Descriptors of a host that are left to files, and the share of the others
# that callers may use.
FILE_DESCRIPTORS = 200
CALLER_SHARE = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Limits on the bytes held.

    Attributes:
        total: Bytes for all callers.
        long: Bytes at which requests over ``ORDINARY_BYTES`` are refused.
        freed: Bytes that are freed at once.
    """

    total: int
    long: int
    freed: int

    @classmethod
    def make(cls, total: float) -> 'Bound':
        """Returns the limits for a sum in bytes."""
        return cls(
            int(total), int(LONG_SHARE * total), int(FREED_SHARE * total)
        )


def compute_bound(memory_bytes: float | None) -> Bound:
    """Returns the limits on a host.

    Args:
        memory_bytes: Memory of the host; None if it is not known.
    """
    if memory_bytes is None:
        return Bound.make(DEFAULT_BOUND_BYTES)
    free = memory_bytes - BASE_BYTES
    return Bound.make(max(MIN_BOUND_BYTES, HELD_SHARE * free))


def compute_max_sockets(descriptors: float) -> int:
    """Returns the sockets of callers on a host with some descriptors."""
    return max(1, int(CALLER_SHARE * (descriptors - FILE_DESCRIPTORS)))


def is_long(hold: held_memory.Hold) -> bool:
    """Returns whether a request has more than an ordinary one."""
    kinds = (held_memory.Kind.BODY, held_memory.Kind.RESPONSE)
    return sum(hold.get(kind) for kind in kinds) > ORDINARY_BYTES


def count_releasable(hold: held_memory.Hold) -> int:
    """Returns the bytes that a holder can give back at once.

    A request in progress may have run, so that only what was read after it
    can go; one whose response is not read ends with its connection.
    """
    match hold.phase:
        case held_memory.Phase.RUNNING:
            return hold.get(held_memory.Kind.AHEAD)
        case held_memory.Phase.CLOSING:
            return 0
        case _:
            return hold.total


def _order(
    holds: Iterable[held_memory.Hold], now: float
) -> list[held_memory.Hold]:
    """Returns holders in the order in which they give way.

    Those without progress go first, of these the ones whose address holds
    most, and of an address the ones whose progress is oldest. Of those with
    progress the largest goes first.
    """
    by_address: collections.Counter[str] = collections.Counter()
    holds = list(holds)
    for hold in holds:
        by_address[hold.address] += hold.total

    def get_rank(hold: held_memory.Hold) -> tuple:
        share = -by_address[hold.address]
        if now - hold.progress_at >= STALL_SECONDS:
            is_idle = hold.phase is held_memory.Phase.IDLE
            return (0, is_idle, share, hold.progress_at)
        return (1, False, share, -hold.total, hold.progress_at)

    return sorted(holds, key=get_rank)


def choose_released(
    holds: Sequence[held_memory.Hold],
    requester: held_memory.Hold,
    total: int,
    bound: Bound,
    now: float,
) -> Iterator[held_memory.Hold]:
    """Yields the holders that must give back what they can.

    Args:
        holds: All holders.
        requester: Holder that has just taken more.
        total: Bytes held by all.
        bound: Limits in force.
        now: Monotonic time.

    Yields:
        Holders in order; the requester itself if the others cannot free
        enough. A long request displaces only those without progress.
    """
    is_long_request = is_long(requester)
    limit = bound.long if is_long_request else bound.total
    excess = total - limit
    if excess <= 0:
        return
    wanted = excess + bound.freed
    for hold in _order(holds, now):
        size = count_releasable(hold)
        has_progress = now - hold.progress_at < STALL_SECONDS
        if hold is requester or not size:
            continue
        if has_progress and (is_long_request or not is_long(hold)):
            continue
        yield hold
        wanted -= size
        if wanted <= 0:
            return
    if wanted > bound.freed:
        yield requester


def choose_closed(
    holds: Sequence[held_memory.Hold], count: int, now: float
) -> list[held_memory.Hold]:
    """Returns holders whose connections make room for new ones.

    Args:
        holds: All holders.
        count: Number of connections.
        now: Monotonic time.
    """
    stalled = (
        hold
        for hold in holds
        if hold.phase in (held_memory.Phase.READING, held_memory.Phase.WRITING)
        and now - hold.progress_at >= STALL_SECONDS
    )
    return _order(stalled, now)[:count]
