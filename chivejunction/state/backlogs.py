"""Work that waits at backend servers, from all gateways that tell of it."""

import collections
from collections.abc import Mapping
import dataclasses

from chivejunction import clock

# A peer's word counts for this long; it is repeated more often than that.
PEER_SECONDS = 1.9
# Reading speed before the first observation: 61 prompt tokens a ms at a
# model of pace 1 (users' sheets).
ASSUMED_SECONDS_PER_TOKEN = 1 / 61_000
# Time to the first byte of an idle server without any tokens to read.
BASE_SECONDS = 0.015
SAMPLES = 60
MIN_SAMPLES = 4
MIN_TOKENS = 400
# Low quantile: most samples hold a wait in the queue too.
QUANTILE = 0.25


class ReadingSpeeds:
    """Seconds that an engine needs to read a token, by model."""

    def __init__(self):
        self._samples: dict[str, collections.deque[float]] = {}
        self._speeds: dict[str, float] = {}

    def record(self, model: str, tokens: int, seconds: float) -> None:
        """Takes the time to the first byte of an attempt."""
        if tokens < MIN_TOKENS:
            return
        samples = self._samples.setdefault(
            model, collections.deque(maxlen=SAMPLES)
        )
        samples.append(max(0.0, seconds - BASE_SECONDS) / tokens)
        if len(samples) >= MIN_SAMPLES:
            self._speeds[model] = sorted(samples)[int(QUANTILE * len(samples))]

    def estimate(self, model: str, tokens: int) -> float:
        """Returns the seconds of work of a prompt."""
        speed = self._speeds.get(model, ASSUMED_SECONDS_PER_TOKEN)
        return BASE_SECONDS + speed * tokens


@dataclasses.dataclass(slots=True)
class Work:
    """Work of one attempt that waits for its first byte.

    Attributes:
        instance: Server that has it.
        seconds: Estimated time of the engine.
    """

    instance: str
    seconds: float


class Backlogs:
    """Estimated seconds of work that wait at each server."""

    def __init__(self):
        self._own: dict[int, Work] = {}
        self._next = 0
        self._peers: dict[str, tuple[float, Mapping[str, float]]] = {}

    def start(self, instance: str, seconds: float) -> int:
        """Notes that an attempt was sent; returns its number."""
        self._next += 1
        self._own[self._next] = Work(instance, seconds)
        return self._next

    def end(self, number: int) -> None:
        """Notes that an attempt has its first byte, or has failed."""
        self._own.pop(number, None)

    def sum_own(self) -> dict[str, float]:
        """Returns the seconds of this gateway's own work by server."""
        found: dict[str, float] = {}
        for work in self._own.values():
            found[work.instance] = found.get(work.instance, 0.0) + work.seconds
        return found

    def set_peer(self, name: str, seconds: Mapping[str, float]) -> None:
        """Takes the sums of another gateway."""
        self._peers[name] = (clock.make_deadline(PEER_SECONDS), seconds)

    def estimate(self) -> dict[str, float]:
        """Returns the seconds of work of all gateways by server."""
        found = self.sum_own()
        for name, (deadline, sums) in list(self._peers.items()):
            if clock.has_passed(deadline):
                del self._peers[name]
                continue
            for instance, seconds in sums.items():
                found[instance] = found.get(instance, 0.0) + seconds
        return found
