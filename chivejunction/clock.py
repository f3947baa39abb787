"""Monotonic time and deadlines in seconds."""

import random
import time


def now() -> float:
    """Returns the monotonic time of this process in seconds."""
    return time.monotonic()


def make_deadline(budget: float) -> float:
    """Returns the deadline that lies a budget of seconds ahead."""
    return time.monotonic() + budget


def remaining(deadline: float) -> float:
    """Returns the seconds left until a deadline, never below zero."""
    return max(0.0, deadline - time.monotonic())


def has_passed(deadline: float) -> bool:
    """Tells whether a deadline lies in the past."""
    return time.monotonic() >= deadline


def jitter(seconds: float, share: float = 0.2) -> float:
    """Returns a delay spread evenly by a share around seconds."""
    return seconds * (1 + share * (2 * random.random() - 1))
