"""Pace of each server.

A pace is a multiple of the default prefill time of the model, so that samples
of all models and gateways compare.
"""

from collections.abc import Callable
from collections.abc import Sequence
import statistics

import xxhash

from chivejunction import clock
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import server_paces

# Engines of the users' data sheets have paces from 0.3 to 2.5. Paces outside
# these bounds are those of a broken clock or of a queue.
MIN_PACE = 0.05
MAX_PACE = 50.0
# Samples include the time in queues that the gateway did not know of, so that
# the lowest ones show the pace. The very lowest are left out: the server may
# have cached more of the prompt than was known.
QUANTILE = 0.15
# Weight of the pace of the model, in samples.
PRIOR_WEIGHT = 1.5
# A server has turned slow if the samples of this time all exceed the earlier
# ones by this factor, which is beyond what queues explain.
CHANGE_SECONDS = 1.0
# Servers with fewer samples are judged by the latest ones of this time.
SPARSE_CHANGE_SECONDS = 4.0
CHANGE_FACTOR = 3.5
MIN_SLOW_SAMPLES = 3
# Share of the recent samples that may contradict it.
CHANGE_QUANTILE = 0.2
# A server has recovered if a sample is below this multiple of its usual pace:
# no queue makes a server look faster. Trials are too rare to wait for more.
RECOVERED_FACTOR = 1.6
# Shorter prefill takes about as long at any server, and its time is mostly
# that of the network and of the gateway. Servers in another region need more
# because of the round trip.
MIN_EXPECTED_SECONDS = 0.02
MIN_EXPECTED_SECONDS_REMOTE = 0.3
# Longest wait of an attempt that is a sample, as a share of its prefill.
MAX_WAIT_SHARE = 0.3
# A server without new samples is tried again after this time. Callers feel a
# slow server once in this time at most; one that recovered is missed as long.
HOLD_SECONDS = 3.0
# Gateways try one after the other, so that the result of the first one
# reaches the next before it sends.
TRIAL_SPACING_SECONDS = 0.4
# Servers of a service differ if the paces of its fast and slow ones do by this
# factor; queues that gateways do not know of make equal ones differ by less.
MIN_SPREAD = 1.6
# Shares of the servers that are faster and slower than the ones compared.
SPREAD_QUANTILES = (0.1, 0.9)
# Samples without which a server is not compared, the fewest servers and the
# least share of them; servers that are not compared may differ.
MIN_SPREAD_SAMPLES = 4
MIN_SPREAD_SERVERS = 3
COMPARED_SHARE = 0.5
# Times for which a comparison of the servers holds. Samples that show a
# difference expire later than those that happen not to.
EQUAL_TTL_SECONDS = 0.1
SPREAD_TTL_SECONDS = 1.0
MAX_INTERVAL_SECONDS = 2.0
MIN_INTERVAL_SECONDS = 0.0005
# Weight of the interval of the service, in gateways.
INTERVAL_PRIOR_WEIGHT = 1.0
# Weight of a new stream in the interval of the service, which thus covers
# about the last twenty streams.
INTERVAL_WEIGHT = 0.05


def bound_pace(pace: float) -> float:
    """Returns a pace within the bounds."""
    return max(MIN_PACE, min(MAX_PACE, pace))


def bound_interval(seconds: float) -> float:
    """Returns an interval between events within the bounds."""
    return max(MIN_INTERVAL_SECONDS, min(MAX_INTERVAL_SECONDS, seconds))


def scale_prefill(seconds: float, ratio: float) -> float:
    """Returns the time to the first byte at a server of a pace.

    Args:
        seconds: Time at the pace of the model.
        ratio: Pace of the server.
    """
    if ratio == 1:
        return seconds
    base = backlogs.BASE_FIRST_BYTE_SECONDS
    return base + (seconds - base) * ratio


def is_measurable(
    wait: float, prefill_seconds: float, is_same_region: bool
) -> bool:
    """Returns whether an attempt shows the pace of its server.

    Answers attempts that wait behind the work of other gateways, and those
    that mostly show the time of the network.

    Args:
        wait: Estimated seconds of the work ahead of the attempt.
        prefill_seconds: Estimated seconds of its own prefill.
        is_same_region: Whether the server is in the region of the gateway.
    """
    least = (
        MIN_EXPECTED_SECONDS if is_same_region else MIN_EXPECTED_SECONDS_REMOTE
    )
    return prefill_seconds >= least and wait <= MAX_WAIT_SHARE * (
        prefill_seconds
    )


def find_quantile(paces: Sequence[float], quantile: float) -> float:
    """Returns the pace below which a share of the paces is."""
    return sorted(paces)[int(quantile * len(paces))]


def find_slow_samples(
    samples: Sequence[server_paces.PaceSample],
) -> list[server_paces.PaceSample]:
    """Returns the samples since a server turned slow, if it did.

    Answers servers that turn slow while requests arrive: what was observed
    before says nothing any more. A queue that the gateways did not know of
    rarely delays all requests of a second by the factor.

    Args:
        samples: Samples of all gateways; not empty.

    Returns:
        The samples since then; empty if there was no change.
    """
    times = sorted(s.sampled_at for s in samples)
    since = max(
        min(times[-1] - CHANGE_SECONDS, times[-MIN_SLOW_SAMPLES:][0]),
        times[-1] - SPARSE_CHANGE_SECONDS,
    )
    recent = [s for s in samples if s.sampled_at >= since]
    older = [s.pace for s in samples if s.sampled_at < since]
    if len(recent) < MIN_SLOW_SAMPLES or not older:
        return []
    before = find_quantile(older, QUANTILE)
    lowest = find_quantile([s.pace for s in recent], CHANGE_QUANTILE)
    return recent if lowest > CHANGE_FACTOR * before else []


def has_recovered(sample: server_paces.PaceSample, usual_pace: float) -> bool:
    """Returns whether a sample shows that a slow server has recovered."""
    return sample.pace < RECOVERED_FACTOR * usual_pace


def compute_deviation(value: float, *references: float) -> float:
    """Returns the largest ratio, at least 1, of a value to a reference."""
    return max(
        1.0,
        *(max(value / other, other / value) for other in references),
    )


def find_trial_at(
    sampled_at: float, gateway: str, key: int, gateway_count: int
) -> float:
    """Returns when a gateway may try a server at the pace of its model.

    Answers a server that nobody sends to any more because it was slow. Each
    gateway has a place of its own in a period after the hold, so that they do
    not all return at once.

    Args:
        sampled_at: Monotonic time of the latest sample of any gateway.
        gateway: Name of the gateway.
        key: Key of the server process.
        gateway_count: Number of active gateways.

    Returns:
        Monotonic time in seconds.
    """
    place = xxhash.xxh32_intdigest(f'{gateway}|{key}'.encode()) / 2**32
    period = TRIAL_SPACING_SECONDS * gateway_count
    return sampled_at + HOLD_SECONDS + place * period


class PaceEstimator:
    """Estimates the pace of each server from what all gateways observed.

    Args:
        name: Name of this gateway.
        region: Region of this gateway.
        paces: Records of the servers.
        count_gateways: Returns the number of active gateways.
        report_change: Called with the record of a server that is found slow
            or recovered.
    """

    def __init__(
        self,
        name: str,
        region: str,
        paces: server_paces.ServerPaces,
        count_gateways: Callable[[], int],
        report_change: Callable[[server_paces.ServerRecord], None] = (
            lambda record: None
        ),
    ):
        self._name = name
        self._region = region
        self._paces = paces
        self._count_gateways = count_gateways
        self._report_change = report_change
        self._service_intervals: dict[str, float] = {}
        # Monotonic time until which a comparison holds, and its result.
        self._spreads: dict[str, tuple[float, bool]] = {}

    def find_ratio(
        self,
        backend: backends.Backend,
        prefill_seconds: float,
        model_pace: float,
    ) -> float:
        """Returns how much longer prefill takes than at the model's pace.

        A server that is slower than usual is expected to have recovered if
        it is this gateway's time to try it, and the attempt would show it.

        Args:
            backend: The server.
            prefill_seconds: Prefill time at the pace of the model.
            model_pace: Pace of all servers with the model.
        """
        record = self._paces.get(backend)
        weight = record.weight
        if not weight:
            return 1.0
        now = clock.now()
        usual_pace = record.usual_pace
        if not usual_pace:
            if now > record.sampled_at + server_paces.SAMPLE_TTL_SECONDS:
                return 1.0
            usual_pace = model_pace
        prior = record.former_pace or model_pace
        pace = (PRIOR_WEIGHT * prior + weight * record.pace) / (
            PRIOR_WEIGHT + weight
        )
        if (
            pace > usual_pace
            and now >= record.trial_at
            and is_measurable(
                0.0, prefill_seconds, backend.region == self._region
            )
        ):
            pace = usual_pace
        return pace / model_pace

    def has_spread(self, service: str, model_pace: float) -> bool:
        """Returns whether the servers of a service differ, or may do so.

        Where they do not, the pace of the model counts for all: it contains
        the queues that the samples of single servers leave out, by which
        choices and escalations are in proportion to the load.

        Args:
            service: The service.
            model_pace: Pace of all servers with the model.
        """
        now = clock.now()
        checked_until, spread = self._spreads.get(service, (0.0, False))
        if now < checked_until:
            return spread
        records = [r for r in self._paces if r.service == service]
        paces = [r.pace for r in records if r.weight >= MIN_SPREAD_SAMPLES]
        spread = (
            len(paces) < max(MIN_SPREAD_SERVERS, COMPARED_SHARE * len(records))
            or any(record.is_slow for record in records)
            or any(pace > MIN_SPREAD * model_pace for pace in paces)
        )
        if not spread:
            fast, slow = (find_quantile(paces, q) for q in SPREAD_QUANTILES)
            spread = slow > MIN_SPREAD * fast
        ttl = SPREAD_TTL_SECONDS if spread else EQUAL_TTL_SECONDS
        self._spreads[service] = now + ttl, spread
        return spread

    def start_trial(
        self, backend: backends.Backend, prefill_seconds: float
    ) -> None:
        """Keeps this gateway from a second trial of a chosen server soon.

        Args:
            backend: The server.
            prefill_seconds: Estimated prefill time of the attempt; a short
                one is no trial.
        """
        record = self._paces.get(backend)
        if clock.has_passed(record.trial_at) and is_measurable(
            0.0, prefill_seconds, backend.region == self._region
        ):
            record.trial_at = clock.make_deadline(HOLD_SECONDS)

    def find_interval(
        self, backend: backends.Backend, own_interval: float | None
    ) -> float | None:
        """Returns the seconds between events to expect, None if unknown.

        Args:
            backend: The server.
            own_interval: Recent interval that this gateway observed.
        """
        record = self._paces.get(backend)
        if record.interval_until > clock.now():
            return record.interval
        if own_interval is not None:
            return own_interval
        return self._service_intervals.get(backend.service)

    def record_first_byte(
        self,
        backend: backends.Backend,
        seconds: float,
        expected_seconds: float,
        wait: float,
        pace: float,
    ) -> None:
        """Adds the time to the first byte of an attempt without a copy.

        Args:
            backend: Server of the attempt.
            seconds: Observed time to the first byte.
            expected_seconds: Estimated time without the wait.
            wait: Estimated seconds of the work ahead of it.
            pace: Pace that the estimate assumed.
        """
        if backend.is_leaving:
            # Its record may have been removed.
            return
        base = backlogs.BASE_FIRST_BYTE_SECONDS
        prefill_seconds = expected_seconds - base
        if backend.is_cold() or not is_measurable(
            wait, prefill_seconds, backend.region == self._region
        ):
            return
        observed = pace * max(0.0, seconds - base) / prefill_seconds
        sample = server_paces.PaceSample(bound_pace(observed), clock.now())
        record = self._paces.get(backend)
        record.own_sample = sample
        record.own_count += 1
        self.add_sample(record, sample)

    def add_sample(
        self,
        record: server_paces.ServerRecord,
        sample: server_paces.PaceSample,
    ) -> None:
        """Adds a sample of this or of another gateway."""
        if sample.sampled_at < record.changed_at:
            return
        record.samples.append(sample)
        record.remove_expired()
        if not record.samples:
            return
        before, change = record.pace, []
        if record.is_slow:
            if has_recovered(sample, record.usual_pace):
                record.former_pace = record.usual_pace
                record.usual_pace, change = 0.0, [sample]
        elif change := find_slow_samples(record.samples):
            record.usual_pace = before
        if change:
            record.set_samples(change)
            record.changed_at = min(s.sampled_at for s in change)
        record.weight = len(record.samples)
        record.pace = find_quantile(
            [known.pace for known in record.samples], QUANTILE
        )
        if sample.sampled_at > record.sampled_at:
            record.sampled_at = sample.sampled_at
            record.trial_at = find_trial_at(
                sample.sampled_at,
                self._name,
                record.key,
                self._count_gateways(),
            )
        if change:
            self._report_change(record)

    def record_interval(
        self, backend: backends.Backend, seconds: float
    ) -> None:
        """Adds the typical seconds between the events of a stream."""
        if backend.is_leaving:
            return
        seconds = bound_interval(seconds)
        record = self._paces.get(backend)
        service_interval = self._service_intervals.get(
            backend.service, seconds
        )
        self._service_intervals[backend.service] = (
            service_interval + INTERVAL_WEIGHT * (seconds - service_interval)
        )
        record.intervals[''] = (seconds, clock.now())
        self._update_interval(record)

    def apply_interval(
        self,
        record: server_paces.ServerRecord,
        gateway: str,
        seconds: float,
        observed_at: float,
    ) -> None:
        """Stores the seconds between events that another gateway observed."""
        record.intervals[gateway] = (seconds, observed_at)
        self._update_interval(record)

    def compute_interval_deviation(
        self, record: server_paces.ServerRecord, seconds: float
    ) -> float:
        """Returns how far an interval is from what the gateways expect."""
        expected = self._service_intervals.get(record.service, seconds)
        if clock.has_passed(record.interval_until):
            return compute_deviation(seconds, expected)
        return compute_deviation(seconds, expected, record.interval)

    def _update_interval(self, record: server_paces.ServerRecord) -> None:
        record.remove_expired()
        rows = record.intervals.values()
        if not rows:
            return
        observed = statistics.median(seconds for seconds, _ in rows)
        expected = self._service_intervals.get(record.service, observed)
        count = len(rows)
        record.interval = (
            INTERVAL_PRIOR_WEIGHT * expected + count * observed
        ) / (INTERVAL_PRIOR_WEIGHT + count)
        record.interval_until = (
            max(observed_at for _, observed_at in rows)
            + server_paces.INTERVAL_TTL_SECONDS
        )
