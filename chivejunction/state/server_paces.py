"""Observed paces of server processes, as told by all gateways."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import xxhash

from chivejunction import clock
from chivejunction.state import backends

# Latest samples of all gateways that count for a server.
MAX_SAMPLES = 40
SAMPLE_TTL_SECONDS = 20.0
# The interval between events follows the present load of a server.
INTERVAL_TTL_SECONDS = 3.0
# Gateways whose reports are known for a server.
MAX_GATEWAYS = 512


def hash_pace_key(backend: backends.Backend) -> int:
    """Returns a 32-bit hash that changes with the boot and the version."""
    process = f'{backend.instance}|{backend.started_at_ms}'
    return xxhash.xxh32_intdigest(f'{process}|{backend.version}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class PaceSample:
    """Observed pace of a server.

    Attributes:
        pace: Observed prefill time, as a multiple of the default of the
            model.
        sampled_at: Monotonic time of the observation.
    """

    pace: float
    sampled_at: float


@dataclasses.dataclass(slots=True)
class ServerRecord:
    """What is known of the pace of a server process.

    Attributes:
        instance: Instance id of the server.
        service: Service of the server.
        started_at_ms: Start time of the process.
        version: Software version of the process.
        key: Hash that stands for the process between gateways.
        samples: Latest samples of all gateways.
        own_sample: Latest sample of this gateway.
        own_count: Number of samples of this gateway so far.
        peer_counts: The same of each other gateway, as last reported.
        intervals: Seconds between events that each gateway observed and the
            monotonic time of its latest observation; '' is this gateway.
        pace: Current estimate of the pace.
        weight: Number of samples in the estimate.
        usual_pace: Pace before the server turned slow; 0 if it is not slow.
        former_pace: Pace before it was slow and recovered; 0 if it never
            was. It stands in for that of the model while samples are few.
        changed_at: Monotonic time since which the samples count.
        sampled_at: Monotonic time of the latest sample.
        trial_at: Monotonic time from which this gateway may try the server
            at a better pace.
        interval: Current estimate of the seconds between events.
        interval_until: Monotonic time at which it is outdated.
    """

    instance: str
    service: str
    started_at_ms: int
    version: str
    key: int
    samples: collections.deque[PaceSample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    own_sample: PaceSample | None = None
    own_count: int = 0
    peer_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    intervals: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    pace: float = 1.0
    weight: int = 0
    usual_pace: float = 0.0
    former_pace: float = 0.0
    changed_at: float = 0.0
    sampled_at: float = 0.0
    trial_at: float = 0.0
    interval: float = 0.0
    interval_until: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the server was found to have turned slow."""
        return bool(self.usual_pace)

    def remove_expired(self) -> None:
        """Removes samples and intervals that no longer count."""
        now = clock.now()
        if any(
            sample.sampled_at <= now - SAMPLE_TTL_SECONDS
            for sample in self.samples
        ):
            self.set_samples(
                sample
                for sample in self.samples
                if sample.sampled_at > now - SAMPLE_TTL_SECONDS
            )
        self.intervals = {
            gateway: row
            for gateway, row in self.intervals.items()
            if row[1] > now - INTERVAL_TTL_SECONDS
        }

    def set_samples(self, samples: Iterable[PaceSample]) -> None:
        """Replaces the samples."""
        self.samples = collections.deque(samples, maxlen=MAX_SAMPLES)

    def set_peer_count(self, gateway: str, count: int) -> bool:
        """Stores how many samples another gateway has taken so far.

        Returns:
            Whether its latest sample is new here.
        """
        if self.peer_counts.get(gateway) == count:
            return False
        # The gateways that reported first may be gone.
        if len(self.peer_counts) >= MAX_GATEWAYS:
            del self.peer_counts[next(iter(self.peer_counts))]
        self.peer_counts[gateway] = count
        return True


class ServerPaces:
    """Records of the server processes that this gateway has considered."""

    def __init__(self):
        self._records: dict[str, ServerRecord] = {}
        self._by_key: dict[int, ServerRecord] = {}

    def __iter__(self) -> Iterator[ServerRecord]:
        return iter(self._records.values())

    def get(self, backend: backends.Backend) -> ServerRecord:
        """Returns the record of a server process.

        What is known of an earlier process or version is forgotten.
        """
        record = self._records.get(backend.instance)
        if (
            record is not None
            and record.started_at_ms == backend.started_at_ms
            and record.version == backend.version
        ):
            return record
        self.remove(backend.instance)
        record = ServerRecord(
            backend.instance,
            backend.service,
            backend.started_at_ms,
            backend.version,
            hash_pace_key(backend),
        )
        self._records[backend.instance] = record
        self._by_key[record.key] = record
        return record

    def count_slow(self) -> int:
        """Returns the number of servers that are slow at present."""
        return sum(record.is_slow for record in self)

    def find_by_key(self, key: int) -> ServerRecord | None:
        """Returns the record with a key, None if there is none."""
        return self._by_key.get(key)

    def remove(self, instance: str) -> None:
        """Removes the record of a server, if there is one."""
        record = self._records.pop(instance, None)
        if record is not None:
            self._by_key.pop(record.key, None)
