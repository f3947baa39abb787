"""Backend servers that a gateway calls directly."""

import dataclasses

import xxhash

from chivejunction import clock
from chivejunction.state import limits

# Weight of a new observation; about the last ten count.
OBSERVATION_WEIGHT = 0.15
# An observed pace tells little about the present one after this time.
PACE_SECONDS = 3.0
# First pause of a server that could not be reached, doubled each time.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# A server that refused as full is passed over for this long.
FULL_PAUSE_SECONDS = 0.25
# Entries that lapsed during an outage of the store are written again within
# two seconds of its return (the platform's page on discovery).
LAPSED_SECONDS = 2.3
# Requests that one gateway may send to a cold server at once.
COLD_BURST = 1.0


def make_code(instance: str) -> int:
    """Returns a short code of an instance id, for messages that are many.

    Two of some thousand instances share one with a chance below one in a
    thousand; then a hint about one is taken for the other.
    """
    return xxhash.xxh32_intdigest(instance.encode())


@dataclasses.dataclass(slots=True)
class Backend:
    """One backend server.

    Attributes:
        instance: Id of this life of the server.
        service: Service that it offers.
        address: IP address.
        port: TCP port.
        failure_domain: Failure domain that it stands in.
        region: Region of the failure domain.
        version: Version of its software.
        slots: Requests that it runs at a time.
        is_leaving: Whether it announced that it leaves.
        cold_until: Monotonic time until which it bears few requests.
        born_at_ms: Unix milliseconds of its start; 0 if not known.
        running: Attempts of this gateway in progress.
        paused_until: Monotonic time until which it is passed over.
        failures: Failures in a row.
        error_share: Recent share of attempts that failed.
        event_pace: Recent seconds between the events of a stream.
        paced_at: Monotonic time of its latest observation.
        lapsed_until: Monotonic time until which a server counts that went
            missing from the store during an outage; 0 if it is listed.
        cold_bucket: Limits requests while cold; None if not limited.
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
    born_at_ms: int = 0
    running: int = 0
    paused_until: float = 0.0
    failures: int = 0
    error_share: float = 0.0
    event_pace: float = 0.0
    paced_at: float = 0.0
    lapsed_until: float = 0.0
    cold_bucket: limits.TokenBucket | None = None

    def is_cold(self) -> bool:
        """Tells whether the server bears only few requests."""
        return not clock.has_passed(self.cold_until)

    def note_success(self) -> None:
        """Records an answer."""
        self.failures = 0
        self.error_share *= 1 - OBSERVATION_WEIGHT

    def note_pace(self, seconds: float) -> None:
        """Records the time between two events of a stream."""
        now = clock.now()
        if now - self.paced_at > PACE_SECONDS:
            self.event_pace = seconds
        self.event_pace += OBSERVATION_WEIGHT * (seconds - self.event_pace)
        self.paced_at = now

    def find_pace(self) -> float | None:
        """Returns the recent seconds between events, None if unknown."""
        if clock.now() - self.paced_at > PACE_SECONDS:
            return None
        return self.event_pace

    def note_failure(self) -> None:
        """Records an answer that failed or never came."""
        self.failures += 1
        self.error_share += OBSERVATION_WEIGHT * (1 - self.error_share)

    def note_unreachable(self) -> None:
        """Records that no connection could be made."""
        self.note_failure()
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures - 1, 5)
        self.paused_until = clock.make_deadline(min(MAX_PAUSE_SECONDS, pause))

    def note_full(self) -> None:
        """Records a refusal for lack of room."""
        self.paused_until = clock.make_deadline(FULL_PAUSE_SECONDS)


class BackendTable:
    """Backend servers by instance, and failure domains out of service."""

    def __init__(self):
        self._backends: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        self._by_code: dict[int, Backend] = {}
        self.closed_domains: set[str] = set()

    def get(self, instance: str) -> Backend | None:
        """Returns the server with an instance id."""
        return self._backends.get(instance)

    def find_by_code(self, code: int) -> Backend | None:
        """Returns the server with a code of ``make_code``."""
        return self._by_code.get(code)

    def list_service(self, service: str) -> list[Backend]:
        """Returns the servers of a service."""
        return self._by_service.get(service, [])

    def update(self, entry: Backend) -> Backend:
        """Takes over an entry; what was observed of the instance stays."""
        known = self._backends.get(entry.instance)
        is_same = known is not None and (
            known.born_at_ms == entry.born_at_ms
            and known.service == entry.service
            and (known.address, known.port) == (entry.address, entry.port)
        )
        if not is_same:
            if known is not None:
                self.remove(entry.instance)
            self._backends[entry.instance] = entry
            self._by_code[make_code(entry.instance)] = entry
            self._by_service.setdefault(entry.service, []).append(entry)
            return entry
        known.version = entry.version
        known.slots = entry.slots
        known.is_leaving = entry.is_leaving
        known.cold_until = entry.cold_until
        known.lapsed_until = 0.0
        return known

    def remove(self, instance: str) -> Backend | None:
        """Forgets a server that is gone."""
        found = self._backends.pop(instance, None)
        if found is not None:
            found.is_leaving = True
            self._by_code.pop(make_code(instance), None)
            self._by_service[found.service].remove(found)
        return found

    def set_lapsed(self, instance: str) -> None:
        """Keeps a server that went missing during an outage for a while."""
        found = self._backends.get(instance)
        if found is not None and not found.lapsed_until:
            found.lapsed_until = clock.make_deadline(LAPSED_SECONDS)

    def drop_lapsed(self) -> list[Backend]:
        """Removes the servers that did not come back in time."""
        gone = [
            backend
            for backend in self._backends.values()
            if backend.lapsed_until and clock.has_passed(backend.lapsed_until)
        ]
        for backend in gone:
            self.remove(backend.instance)
        return gone
