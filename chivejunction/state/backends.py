"""Backend servers that a gateway calls directly."""

import dataclasses

import xxhash

from chivejunction import clock
from chivejunction.state import token_buckets

# Weight of a new value in the moving averages, which thus cover about the last
# ten values.
OBSERVATION_WEIGHT = 0.15
# An observed event interval says little about the present load of a server
# after this time.
EVENT_INTERVAL_TTL_SECONDS = 3.0
# Pause after the first failed connection, doubled for each further failure.
INITIAL_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Pause after a refusal for lack of capacity.
REFUSAL_PAUSE_SECONDS = 0.25
# Time for which a server stays usable after its entry expired during an
# outage of the store. Entries are written again within two seconds of the
# store's return (platform documentation on discovery).
GRACE_PERIOD_SECONDS = 2.3
# Time for which a limit holds that a server named. It names it in all its
# responses, so it is heard of more often while it gets any request.
RATE_LIMIT_TTL_SECONDS = 60.0
# Requests that one gateway may send to a cold server at once.
COLD_BURST_REQUESTS = 1.0


def hash_instance_id(instance: str) -> int:
    """Returns a 32-bit hash of an instance id, for frequent messages.

    Among a thousand instances, two have the same hash with a probability
    below one in a thousand. Hints about one of them are then attributed to
    the other.
    """
    return xxhash.xxh32_intdigest(instance.encode())


def hash_process(backend: 'Backend') -> int:
    """Returns a 64-bit hash of a server process, another after a restart."""
    return xxhash.xxh3_64_intdigest(
        f'{backend.instance}|{backend.started_at_ms}'.encode()
    )


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server as this gateway sees it.

    Attributes:
        instance: Id of the server instance.
        service: Service that the server offers.
        address: IP address.
        port: TCP port.
        failure_domain: Failure domain of the server.
        region: Region of the failure domain.
        version: Software version.
        slots: Number of requests that the server runs concurrently.
        is_leaving: Whether the server announced its shutdown.
        refused_until: Monotonic time until which the server asked this
            gateway for no requests.
        said_leaving: Whether it said so in a response; its entry may not.
        cold_until: Monotonic time until which the server is cold, that is,
            accepts only a limited rate of requests.
        started_at_ms: Start time in Unix milliseconds; 0 if unknown.
        running: Number of attempts of this gateway in progress.
        paused_until: Monotonic time until which no attempt is made.
        failures: Number of consecutive failures.
        error_share: Moving average of the share of failed attempts.
        event_interval: Moving average of the seconds between stream events.
        event_interval_updated_at: Monotonic time of the latest observed
            event interval.
        grace_until: Monotonic end of the grace period of a server whose
            store entry expired during an outage; 0 while it is listed.
        cold_bucket: Rate limit of a cold server; None if not limited.
        rate_limit: Requests per second that the server takes from all
            gateways together; None if it named no limit.
        rate_limit_named_at: Monotonic time at which it last named it.
        limit_bucket: This gateway's part of the limit; None if not limited.
    """

    instance: str
    service: str
    address: str
    port: int
    failure_domain: str
    region: str
    version: str
    slots: int = 1
    is_leaving: bool = False
    cold_until: float = 0.0
    started_at_ms: int = 0
    running: int = 0
    paused_until: float = 0.0
    failures: int = 0
    error_share: float = 0.0
    event_interval: float = 0.0
    event_interval_updated_at: float = 0.0
    grace_until: float = 0.0
    cold_bucket: token_buckets.TokenBucket | None = None
    rate_limit: float | None = None
    rate_limit_named_at: float = 0.0
    limit_bucket: token_buckets.TokenBucket | None = None
    said_leaving: bool = False
    refused_until: float = 0.0

    def find_rate_limit(self) -> float | None:
        """Returns the limit in requests per second, None if there is none.

        A limit that the server has not named again for a while is over.
        """
        if self.rate_limit is None or (
            clock.now() - self.rate_limit_named_at > RATE_LIMIT_TTL_SECONDS
        ):
            return None
        return self.rate_limit

    def is_cold(self) -> bool:
        """Returns whether the server accepts only a limited request rate."""
        return not clock.has_passed(self.cold_until)

    def record_success(self) -> None:
        """Records a complete response."""
        self.failures = 0
        self.error_share *= 1 - OBSERVATION_WEIGHT

    def record_event_interval(self, seconds: float) -> None:
        """Records the time in seconds between two events of a stream."""
        now = clock.now()
        if now - self.event_interval_updated_at > EVENT_INTERVAL_TTL_SECONDS:
            self.event_interval = seconds
        self.event_interval += OBSERVATION_WEIGHT * (
            seconds - self.event_interval
        )
        self.event_interval_updated_at = now

    def find_event_interval(self) -> float | None:
        """Returns the recent seconds between events, None if outdated."""
        if (
            clock.now() - self.event_interval_updated_at
            > EVENT_INTERVAL_TTL_SECONDS
        ):
            return None
        return self.event_interval

    def record_failure(self) -> None:
        """Records an attempt with a failed or missing response."""
        self.failures += 1
        self.error_share += OBSERVATION_WEIGHT * (1 - self.error_share)

    def record_connection_failure(self) -> None:
        """Records a failed connection and pauses attempts."""
        self.record_failure()
        pause = INITIAL_PAUSE_SECONDS * 2 ** min(self.failures - 1, 5)
        self.paused_until = clock.make_deadline(min(MAX_PAUSE_SECONDS, pause))

    def record_capacity_refusal(self) -> None:
        """Pauses attempts after a refusal for lack of capacity."""
        self.paused_until = clock.make_deadline(REFUSAL_PAUSE_SECONDS)


class BackendTable:
    """Known backend servers, and the failure domains closed by operators."""

    def __init__(self):
        self._backends: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_id_hash: dict[int, Backend] = {}
        self._by_process_hash: dict[int, Backend] = {}
        self.closed_domains: set[str] = set()

    def get(self, instance: str) -> Backend | None:
        """Returns the server with an instance id, None if unknown."""
        return self._backends.get(instance)

    def find_by_id_hash(self, id_hash: int) -> Backend | None:
        """Returns the server whose instance id has a hash, or None.

        Args:
            id_hash: Hash returned by ``hash_instance_id``.
        """
        return self._by_id_hash.get(id_hash)

    def find_by_process_hash(self, process_hash: int) -> Backend | None:
        """Returns the server process with a hash, or None.

        Args:
            process_hash: Hash returned by ``hash_process``.
        """
        return self._by_process_hash.get(process_hash)

    def list_backends(self, service: str) -> list[Backend]:
        """Returns the servers that offer a service."""
        return self._by_service.get(service, [])

    def update(self, entry: Backend) -> Backend:
        """Adds or updates a server and returns the stored object.

        Observations, such as the error share, are kept unless the instance
        id now belongs to a different server process, address or service.

        Args:
            entry: The server as read from the store.
        """
        known = self._backends.get(entry.instance)
        is_same = known is not None and (
            known.started_at_ms == entry.started_at_ms
            and known.service == entry.service
            and (known.address, known.port) == (entry.address, entry.port)
        )
        if not is_same:
            if known is not None:
                self.remove(entry.instance)
            self._backends[entry.instance] = entry
            self._by_id_hash[hash_instance_id(entry.instance)] = entry
            self._by_process_hash[hash_process(entry)] = entry
            self._by_service.setdefault(entry.service, []).append(entry)
            return entry
        known.failure_domain = entry.failure_domain
        known.region = entry.region
        known.version = entry.version
        known.slots = entry.slots
        known.is_leaving = entry.is_leaving or known.said_leaving
        known.cold_until = entry.cold_until
        known.grace_until = 0.0
        return known

    def remove(self, instance: str) -> Backend | None:
        """Removes a server and returns it, None if unknown."""
        backend = self._backends.pop(instance, None)
        if backend is not None:
            backend.is_leaving = True
            self._by_id_hash.pop(hash_instance_id(instance), None)
            self._by_process_hash.pop(hash_process(backend), None)
            self._by_service[backend.service].remove(backend)
        return backend

    def start_grace_period(self, instance: str) -> None:
        """Starts the grace period of a server missing after a store outage.

        Does nothing if the server is unknown or its period has started.
        """
        backend = self._backends.get(instance)
        if backend is not None and not backend.grace_until:
            backend.grace_until = clock.make_deadline(GRACE_PERIOD_SECONDS)

    def remove_expired(self) -> list[Backend]:
        """Removes and returns the servers whose grace period has ended."""
        expired = [
            backend
            for backend in self._backends.values()
            if backend.grace_until and clock.has_passed(backend.grace_until)
        ]
        for backend in expired:
            self.remove(backend.instance)
        return expired
