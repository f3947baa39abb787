"""Monotonic time and deadlines in seconds."""

import random
import time


def now() -> float:
    """Returns the monotonic time of this process in seconds."""
    return time.monotonic()


def make_deadline(budget: float) -> float:
    """Returns the deadline for a time budget in seconds that starts now."""
    return time.monotonic() + budget


def remaining(deadline: float) -> float:
    """Returns the seconds left until a deadline, at least zero."""
    return max(0.0, deadline - time.monotonic())


def has_passed(deadline: float) -> bool:
    """Returns whether a deadline has been reached."""
    return time.monotonic() >= deadline


def jitter(seconds: float, share: float = 0.2) -> float:
    """Returns a delay with uniform random jitter.

    Args:
        seconds: Mean delay.
        share: Largest deviation from the mean, as a fraction of it.
    """
    return seconds * (1 + share * (2 * random.random() - 1))
