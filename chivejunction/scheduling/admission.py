"""Rejection of requests that cannot be served, and when callers return.

Load pattern: a burst, or the return of all callers after an outage, gives
every server more queued prompts than it can process within the time that
callers have. A request that joins such a queue takes engine time from others
and ends at its deadline without a response. It is rejected on arrival instead,
while its caller can still come back.
"""

import math
import random

# A request is rejected only if even this share of the estimated time to its
# first byte exceeds the time that is left. Backlogs of other gateways are up
# to half a second old and count prompts that may have been cancelled.
OPTIMISTIC_SHARE = 0.5
# Retry-After without a backlog: long enough to reach another gateway, spread
# so that refused callers do not return at the same time.
RETRY_AFTER_RANGE_SECONDS = (0.3, 1.2)
# Callers that return to a backlog are spread over this share of it, so that
# the first of them find the servers busy rather than idle.
MIN_BACKLOG_SHARE = 0.5
# Largest Retry-After as a share of the caller's remaining time; callers honour
# at most a third of it.
MAX_RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05


def is_unservable(first_byte_seconds: float, seconds_left: float) -> bool:
    """Returns whether a request would get no byte before its deadline.

    Args:
        first_byte_seconds: Estimated time to the first byte at the best
            server, with the backlog ahead of it.
        seconds_left: Time until the response must be complete.
    """
    return OPTIMISTIC_SHARE * first_byte_seconds > seconds_left


def choose_retry_after(
    seconds_left: float = math.inf,
    backlog_seconds: float = 0.0,
    urgency: int = 0,
    min_seconds: float = 0.0,
) -> float:
    """Returns the Retry-After of a refused request, in seconds.

    More urgent callers return to the earlier part of the time in which the
    backlog is processed.

    Args:
        seconds_left: Time until the caller gives up; infinite if unknown.
        backlog_seconds: Backlog at the best server; 0 if the refusal has
            another reason.
        urgency: Rank of the request; 0 is the most urgent.
        min_seconds: Time before which a return is in vain.
    """
    earliest, latest = RETRY_AFTER_RANGE_SECONDS
    if backlog_seconds > latest:
        rank_share = min(1.0, MIN_BACKLOG_SHARE + 0.1 * max(0, urgency))
        earliest = rank_share * backlog_seconds
        latest = earliest + MIN_BACKLOG_SHARE * backlog_seconds
    earliest = max(earliest, min_seconds)
    wait = min(
        random.uniform(earliest, max(earliest, latest)),
        MAX_RETRY_AFTER_SHARE * seconds_left,
    )
    return round(max(MIN_RETRY_AFTER_SECONDS, wait), 2)
