"""Work that organisations ask for and get, as all gateways know it."""

import collections
from collections.abc import Iterable
import dataclasses
import heapq

import xxhash

from chivejunction import clock

# Long enough for a few of the longest prompts, short enough that a share that
# becomes free is seen while callers still wait.
WINDOW_SECONDS = 2.0
BUCKET_COUNT = 8
# Rows of another gateway expire after this time; they are repeated more often.
PEER_ROWS_TTL_SECONDS = 1.9
MAX_PEERS = 512
# Rows of one gateway; those with the most work are sent. Together with the
# backlogs of 48 servers they fit into a datagram.
MAX_SENT_ROWS = 12
MAX_ROWS = 64
# More engine seconds in a window than any pool of servers has.
MAX_MILLISECONDS = 10_000_000
# A caller that returns sooner after a refusal or failure did not wait.
REPEAT_SECONDS = 0.25
MAX_FAILED_REQUESTS = 2000
MAX_SENT_FAILURES = 12
# Key of the finished work among the rows of a service.
FINISHED_KEY = 0


def hash_name(name: str) -> int:
    """Returns the hash by which rows name a service or organisation."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF or 1


class WindowedSum:
    """Sum of the amounts that were added within a sliding window.

    Args:
        window_seconds: Length of the window in seconds.
    """

    __slots__ = ('_buckets', '_bucket_seconds', '_total')

    def __init__(self, window_seconds: float = WINDOW_SECONDS):
        self._bucket_seconds = window_seconds / BUCKET_COUNT
        self._buckets: collections.deque[list] = collections.deque()
        self._total = 0.0

    def add(self, amount: float) -> None:
        """Adds an amount now."""
        number = int(clock.now() / self._bucket_seconds)
        if self._buckets and self._buckets[-1][0] == number:
            self._buckets[-1][1] += amount
        else:
            self._buckets.append([number, amount])
        self._total += amount

    def read(self) -> float:
        """Returns the sum; it is exactly 0 for an empty window."""
        oldest = int(clock.now() / self._bucket_seconds) - BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0
        return max(0.0, self._total)


@dataclasses.dataclass(slots=True)
class Demand:
    """Work of an organisation at a service within the window, in seconds.

    Attributes:
        asked: Work of all requests but repeats, also of refused ones.
        used: Work of the attempts that were sent.
        promised: Work of refused requests whose callers are to return.
        repeated: Work of requests that came again at once.
    """

    asked: float = 0.0
    used: float = 0.0
    promised: float = 0.0
    repeated: float = 0.0

    def add(self, milliseconds: list[int]) -> None:
        """Adds the work that other gateways report."""
        self.asked += milliseconds[0] / 1000
        self.used += milliseconds[1] / 1000
        self.promised += milliseconds[2] / 1000
        self.repeated += milliseconds[3] / 1000


@dataclasses.dataclass(slots=True)
class ServiceDemand:
    """Work of all organisations at a service within the window, in seconds.

    Attributes:
        finished: Work that the servers have finished.
        organisations: Demand by the hash of the organisation's name.
    """

    finished: float = 0.0
    organisations: dict[int, Demand] = dataclasses.field(default_factory=dict)


class LocalDemand:
    """Windowed demand of one organisation at this gateway."""

    __slots__ = ('asked', 'used', 'repeated', '_promises', '_promised')

    def __init__(self):
        self.asked = WindowedSum()
        self.used = WindowedSum()
        self.repeated = WindowedSum()
        # Heap by the time at which the caller returns.
        self._promises: list[tuple[float, float]] = []
        self._promised = 0.0

    def add_promise(self, seconds: float, expires_at: float) -> None:
        """Adds work that is to return by a monotonic time."""
        heapq.heappush(self._promises, (expires_at, seconds))
        self._promised += seconds

    def read(self) -> Demand:
        """Returns the demand of the window."""
        while self._promises and clock.has_passed(self._promises[0][0]):
            self._promised -= heapq.heappop(self._promises)[1]
        if not self._promises:
            self._promised = 0.0
        return Demand(
            self.asked.read(),
            self.used.read(),
            max(0.0, self._promised),
            self.repeated.read(),
        )


@dataclasses.dataclass(slots=True)
class PeerReport:
    """Demand that another gateway reported.

    Attributes:
        expires_at: Monotonic time at which the report expires.
        rows: Milliseconds by the hashes of service and organisation; finished
            work of the service has 0 for the organisation.
    """

    expires_at: float
    rows: dict[tuple[int, int], list[int]]


class PeerTotals:
    """Sum of the current reports of the other gateways.

    Whole numbers are added and subtracted as reports come and expire, so that
    a sum is at hand when a request needs it.
    """

    def __init__(self):
        self._reports: dict[str, PeerReport] = {}
        self._totals: dict[int, dict[int, list[int]]] = {}

    def __len__(self) -> int:
        """Returns the number of gateways with current reports."""
        self._remove_expired()
        return len(self._reports)

    def replace(
        self, gateway: str, rows: dict[tuple[int, int], list[int]]
    ) -> None:
        """Replaces the report of a gateway."""
        previous = self._reports.pop(gateway, None)
        if previous is not None:
            self._add(previous.rows, -1)
        if rows and len(self) < MAX_PEERS:
            self._add(rows, 1)
            self._reports[gateway] = PeerReport(
                clock.make_deadline(PEER_ROWS_TTL_SECONDS), rows
            )

    def _add(self, rows: dict[tuple[int, int], list[int]], sign: int) -> None:
        for (service, organisation), numbers in rows.items():
            totals = self._totals.setdefault(service, {})
            sums = totals.setdefault(organisation, [0, 0, 0, 0])
            for index, number in enumerate(numbers):
                sums[index] += sign * number
            if not any(sums):
                del totals[organisation]

    def _remove_expired(self) -> None:
        # A replaced report moves to the end, so the oldest ones come first.
        while self._reports:
            gateway, report = next(iter(self._reports.items()))
            if not clock.has_passed(report.expires_at):
                break
            del self._reports[gateway]
            self._add(report.rows, -1)

    def get_rows(self, service: int) -> dict[int, list[int]]:
        """Returns the sums of a service in ms by organisation."""
        self._remove_expired()
        return self._totals.get(service, {})


class OrganisationDemand:
    """Demand of organisations at this gateway and at the others.

    A lost row needs no repetition, since the next one replaces it. Without
    rows of the others, use and finished work are both those of this gateway.
    """

    def __init__(self):
        self._local: dict[str, dict[str, LocalDemand]] = {}
        self._finished: dict[str, WindowedSum] = {}
        self._peers = PeerTotals()
        # Expiry by the hash of the request; in the order of the failures.
        self._failed: dict[int, float] = {}
        self._sent_failures: collections.deque[int] = collections.deque(
            maxlen=MAX_SENT_FAILURES
        )

    def get_local(self, service: str, organisation: str) -> LocalDemand:
        """Returns the demand of an organisation at this gateway."""
        organisations = self._local.setdefault(service, {})
        demand = organisations.get(organisation)
        if demand is None:
            demand = organisations[organisation] = LocalDemand()
        return demand

    def record_finish(self, service: str, seconds: float) -> None:
        """Adds work that a server of a service has finished."""
        finished = self._finished.get(service)
        if finished is None:
            finished = self._finished[service] = WindowedSum()
        finished.add(seconds)

    def record_failure(self, request_hash: int) -> None:
        """Remembers a request that was refused or failed."""
        self._remember(request_hash)
        self._sent_failures.append(request_hash)

    def _remember(self, request_hash: int) -> None:
        self._failed.pop(request_hash, None)
        self._failed[request_hash] = clock.make_deadline(REPEAT_SECONDS)
        if len(self._failed) > MAX_FAILED_REQUESTS:
            del self._failed[next(iter(self._failed))]

    def is_repeat(self, request_hash: int) -> bool:
        """Returns whether the same request failed a moment ago."""
        expires_at = self._failed.get(request_hash)
        return expires_at is not None and not clock.has_passed(expires_at)

    def has_peers(self) -> bool:
        """Returns whether there are current rows of another gateway."""
        return len(self._peers) > 0

    def sum_service(self, service: str) -> ServiceDemand:
        """Returns the demand for a service at all gateways."""
        total = self._sum_local(service)
        organisations = total.organisations
        for key, sums in self._peers.get_rows(hash_name(service)).items():
            if key == FINISHED_KEY:
                total.finished += sums[0] / 1000
                continue
            demand = organisations.get(key)
            if demand is None:
                demand = organisations[key] = Demand()
            demand.add(sums)
        return total

    def _sum_local(self, service: str) -> ServiceDemand:
        finished = self._finished.get(service)
        total = ServiceDemand(finished.read() if finished else 0.0)
        for name, local in self._local.get(service, {}).items():
            demand = local.read()
            if demand.asked or demand.used or demand.promised:
                total.organisations[hash_name(name)] = demand
        return total

    def keep_organisations(self, names: Iterable[str]) -> None:
        """Forgets organisations that are not in the configuration."""
        kept = frozenset(names)
        for service, organisations in self._local.items():
            self._local[service] = {
                name: demand
                for name, demand in organisations.items()
                if name in kept
            }

    def encode_rows(self, services: Iterable[str]) -> list[list[int]]:
        """Returns the rows of this gateway for some services.

        A row with two numbers has the service and its finished work, one with
        six the service, the organisation and its demand; times are in ms. The
        last row holds the requests that failed just now.
        """
        finished_rows, rows = [], []
        for service in services:
            total, key = self._sum_local(service), hash_name(service)
            finished_rows.append([key, _encode_seconds(total.finished)])
            rows.extend(
                [key, organisation]
                + [
                    _encode_seconds(seconds)
                    for seconds in dataclasses.astuple(demand)
                ]
                for organisation, demand in total.organisations.items()
            )
        if not finished_rows:
            return []
        rows.sort(key=lambda row: -max(row[2:]))
        failures = [
            key for key in self._sent_failures if key and self.is_repeat(key)
        ]
        rows = finished_rows[:MAX_SENT_ROWS] + rows[:MAX_SENT_ROWS]
        return rows + [[0, 0, 0, *failures]] if failures else rows

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Replaces the demand at another gateway by its rows.

        Raises:
            ValueError, TypeError, OverflowError: A row is malformed.
        """
        if not isinstance(rows, list) or len(rows) > MAX_ROWS:
            raise ValueError('rows of demand are no list or too many')
        by_key: dict[tuple[int, int], list[int]] = {}
        failures = []
        for row in rows:
            numbers = [_check_number(number) for number in row]
            if len(numbers) > 3 and not any(numbers[:3]):
                failures += numbers[3:][:MAX_SENT_FAILURES]
                continue
            if len(numbers) not in (2, 6):
                raise ValueError(f'a row has {len(numbers)} numbers')
            service, *values = numbers
            key = FINISHED_KEY if len(values) == 1 else values.pop(0)
            by_key[service, key] = [
                min(MAX_MILLISECONDS, value) for value in values
            ]
        self._peers.replace(gateway, by_key)
        for request_hash in failures:
            if request_hash not in self._failed:
                self._remember(request_hash)


def _encode_seconds(seconds: float) -> int:
    return min(MAX_MILLISECONDS, int(1000 * seconds))


def _check_number(value) -> int:
    """Returns a number of a row that fits into 32 bits."""
    if not isinstance(value, int) or not 0 <= value < 2**32:
        raise ValueError(f'{value!r} is no number of a row')
    return value
