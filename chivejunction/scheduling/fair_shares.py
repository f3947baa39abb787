"""Division of scarce capacity among organisations.

Load pattern: one of some 24 organisations sends many times its usual, or its
callers repeat at once and often, while the servers of a service have more
work than they can finish in time. Without shares the backlog grows for all,
and each organisation loses as many answers as the one that sends too much.

Only what exceeds the share of an organisation is refused or waits, and only
while even the less loaded servers have a backlog that callers notice. Servers
with room take everything, so that shares which others leave are used at once.
"""

from collections.abc import Mapping
import dataclasses
import enum
import itertools
import math

# Backlog of the less loaded servers, as a share of the service's shortest
# objective. With half of it, the other half is left for the prompt itself and
# for a second reading by a larger model. A fifth is usual at peaks.
BEGIN_BACKLOG_SHARE = 0.5
END_BACKLOG_SHARE = 0.2
# Hysteresis: bursts that servers work off by themselves begin nothing, and
# the time between two bursts does not end an episode.
BEGIN_SECONDS = 0.25
END_SECONDS = 0.75
# Pressure that was not measured for longer than this has ended meanwhile.
MAX_MEASURE_AGE_SECONDS = 0.5
# The quantile of the servers' backlogs that counts. It is low because callers
# go to the servers with room, and because servers that stopped responding
# keep their backlogs.
BACKLOG_QUANTILE = 0.25
# Longer than the time between two peaks of a day's traffic, shorter than an
# operator takes to replace servers by slower ones.
PEAK_SECONDS = 60.0
# Part of an engine's time in which it reads prompts, at least; it reads them
# between the tokens of its streams.
MIN_ENGINE_TIME_SHARE = 0.5
# Work over the share up to which requests are admitted, by urgency, 0 being
# the most urgent; the last value applies to all further ranks. Beyond the
# backlog at which an episode begins, limits shrink in proportion: callers are
# still in time there, but the backlog must not grow.
LIMIT_FACTORS = (1.2, 1.05, 0.95)
# Factor for callers that have been refused before: one that comes back and is
# refused again has lost the time for any other attempt.
RETURN_FACTOR = 2.0
# Factor for requests that came again at once.
REPEAT_FACTOR = 0.5
# A caller with less time than others at the same route, by more than this, was
# refused before and has waited.
RETURN_SECONDS = 0.25
# No organisation and no route gets less than this share of what all get. It
# exceeds the quarter that users accept because each gateway counts alone.
MIN_SERVED_SHARE = 0.35


def divide_capacity(
    capacity: float,
    demands: Mapping[int, float],
    weights: Mapping[int, float],
) -> float:
    """Returns the max-min fair share for a weight of 1.

    Each organisation gets what it asks for or the share times its weight,
    whichever is less.

    Args:
        capacity: Work that the servers can finish in a window.
        demands: Work that is asked for in the same window, by organisation.
        weights: Weight by organisation; 1 where it is missing.

    Returns:
        The share in the unit of the capacity; infinite if capacity suffices
        for all.
    """
    remaining = capacity
    rows = sorted(
        (demand / weights.get(key, 1.0), weights.get(key, 1.0))
        for key, demand in demands.items()
    )
    # Sums from the end, since differences of very unequal weights may be 0.
    weights_left = [*itertools.accumulate(w for _, w in reversed(rows))][::-1]
    for (demand, weight), weight_left in zip(rows, weights_left, strict=True):
        if demand * weight_left >= remaining:
            return max(0.0, remaining) / weight_left
        remaining -= demand * weight
    return math.inf


@dataclasses.dataclass(slots=True)
class PeakThroughput:
    """Most work that a server has finished in a window, of late.

    Servers finish no more than they are given. After an outage or a calm time
    what they finished just now says less about their capacity than a peak.

    Attributes:
        per_server: Work of the peak for each server.
        expires_at: Monotonic time at which the peak is forgotten.
    """

    per_server: float = 0.0
    expires_at: float = -math.inf

    def update(self, finished: float, server_count: int, now: float) -> float:
        """Takes the work of a window; returns the capacity of the servers.

        Args:
            finished: Work that the servers finished in the window.
            server_count: Number of servers that take requests.
            now: Monotonic time.
        """
        per_server = finished / max(1, server_count)
        if per_server >= self.per_server or now >= self.expires_at:
            self.per_server = per_server
            self.expires_at = now + PEAK_SECONDS
        return self.per_server * max(1, server_count)


def measure_backlog(seconds: list[float], objective: float) -> float:
    """Returns the backlog of the less loaded servers over the objective.

    Args:
        seconds: Backlog of each server in seconds.
        objective: Shortest objective of the service's routes in seconds.
    """
    if not seconds or objective <= 0:
        return 0.0
    return sorted(seconds)[int(BACKLOG_QUANTILE * len(seconds))] / objective


@dataclasses.dataclass(slots=True)
class Scarcity:
    """Whether demand for a service exceeds its capacity, with hysteresis.

    Attributes:
        pressure: Backlog over the objective, as measured last.
        is_scarce: Whether an episode of scarcity lasts.
        measured_at: Monotonic time of the latest measurement.
        began_at: Monotonic time at which the episode began.
    """

    pressure: float = 0.0
    is_scarce: bool = False
    measured_at: float = -math.inf
    began_at: float = 0.0
    _differs_since: float | None = None

    def update(self, pressure: float, now: float) -> bool:
        """Takes a measurement; returns whether an episode begins or ends."""
        if now - self.measured_at > MAX_MEASURE_AGE_SECONDS:
            self._differs_since = self.measured_at if self.is_scarce else None
        self.pressure, self.measured_at = pressure, now
        if self.is_scarce:
            differs, seconds = pressure < END_BACKLOG_SHARE, END_SECONDS
        else:
            differs, seconds = pressure >= BEGIN_BACKLOG_SHARE, BEGIN_SECONDS
        if not differs:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now - self._differs_since >= seconds:
            self._differs_since = None
            self.is_scarce = not self.is_scarce
            self.began_at = now
            return True
        return False

    @property
    def has_room(self) -> bool:
        """Whether servers take work without a wait that callers notice."""
        return not self.is_scarce or self.pressure < END_BACKLOG_SHARE


class Action(enum.Enum):
    """What happens to a request under scarcity."""

    ADMIT = 'admit'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRequest:
    """A request and the use of its organisation.

    Attributes:
        share: Share of the organisation in the window, in seconds of work.
        used: Its work in the window.
        pressure: Backlog of the less loaded servers over the objective.
        promised: Work that refused callers return with.
        urgency: Rank of the request; 0 is the most urgent.
        is_returning: Whether its caller was refused before and has waited.
        is_repeat: Whether it came again at once.
        max_wait: Longest time in seconds that it may wait in the gateway.
    """

    share: float
    used: float
    pressure: float = 0.0
    promised: float = 0.0
    urgency: int = 0
    is_returning: bool = False
    is_repeat: bool = False
    max_wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a request.

    Attributes:
        action: What happens to it.
        seconds: Time in seconds until its organisation is within its share.
        reason: ``excess`` or ``repeat``; empty if it is admitted.
    """

    action: Action
    seconds: float = 0.0
    reason: str = ''


def decide(request: ShareRequest, window: float) -> Decision:
    """Decides on a request while capacity is scarce.

    The size of the request plays no part, so that large ones are not the
    first to go.

    Args:
        request: The request and the use of its organisation.
        window: Length in seconds of the window of use and share.
    """
    factor = LIMIT_FACTORS[min(request.urgency, len(LIMIT_FACTORS) - 1)]
    if request.is_returning:
        factor *= RETURN_FACTOR
    elif request.is_repeat:
        factor = REPEAT_FACTOR
    factor *= BEGIN_BACKLOG_SHARE / max(BEGIN_BACKLOG_SHARE, request.pressure)
    limit = factor * request.share
    if request.used <= limit:
        return Decision(Action.ADMIT)
    # The use of a window has left it after the window; callers that were
    # refused before come first, at the pace of the share.
    seconds = window
    if limit > 0:
        excess = min(limit, request.used - limit)
        seconds = window * (excess + request.promised) / limit
    if seconds <= request.max_wait and not request.is_repeat:
        return Decision(Action.WAIT, seconds, 'excess')
    reason = 'repeat' if request.is_repeat else 'excess'
    return Decision(Action.REFUSE, seconds, reason)


def is_underserved(
    asked: float, admitted: float, all_asked: float, all_admitted: float
) -> bool:
    """Returns whether a kind of request must be admitted now.

    Args:
        asked: Requests of the kind, with the one to be decided on.
        admitted: Requests of the kind that were admitted.
        all_asked: Requests of all kinds.
        all_admitted: Requests of all kinds that were admitted.
    """
    return admitted * all_asked < MIN_SERVED_SHARE * asked * all_admitted
