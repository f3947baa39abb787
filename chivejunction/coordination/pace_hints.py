"""Paces of servers in the hints between gateways.

A row holds the key of a server process, the latest pace that the sender
observed in permille, the number of its samples so far, the age of the latest
one in milliseconds, the interval between events in tenths of a millisecond and
its age in milliseconds. A pace or an interval of 0 stands for none.
"""

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import hints
from chivejunction.scheduling import server_paces as scheduling
from chivejunction.state import server_paces

# A row is sent while its latest sample is younger than this, which is two or
# three times, so that a lost hint matters little.
FRESH_SECONDS = 1.0
# Rows go with the hints that are sent during the first part of each interval.
INTERVAL_SECONDS = 0.4
WINDOW_SECONDS = 0.05
MAX_ROWS = 10
MAX_RECEIVED_ROWS = 64
# Intervals that deviate less change no choice.
MIN_INTERVAL_DEVIATION = 1.4
MAX_KEY = 2**32 - 1
REJECTED_ROWS = metrics.make_counter(
    'server_pace_rows_rejected',
    'Paces in hints that were bounded or ignored.',
    'reason',
)
CHANGES = metrics.make_counter(
    'server_pace_changes',
    'Servers that were found slow, and that recovered.',
    'state',
)


def report_change(record: server_paces.ServerRecord) -> None:
    """Logs and counts a server that was found slow or has recovered."""
    state = 'slow' if record.is_slow else 'recovered'
    CHANGES.labels(state).inc()
    logs.log_decision(
        'server pace',
        instance=record.instance,
        version=record.version,
        state=state,
        pace=round(record.pace, 3),
        usual_pace=round(record.usual_pace, 3),
        samples=[round(sample.pace, 2) for sample in record.samples],
    )


class PaceSection(hints.HintSection):
    """Section with the paces that this gateway observed.

    Args:
        paces: Records of the servers.
        estimator: Estimates paces.
    """

    name = 'pace'

    def __init__(
        self,
        paces: server_paces.ServerPaces,
        estimator: scheduling.PaceEstimator,
    ):
        self._paces = paces
        self._estimator = estimator
        self._rows: dict[str, list] = {}
        self._next_at: dict[str, float] = {}

    def collect_rows(self, region: str) -> list:
        """Returns the rows for a region, empty between two intervals."""
        now = clock.now()
        next_at = self._next_at.get(region, 0.0)
        if now >= next_at:
            self._rows[region] = self._make_rows(now)
            self._next_at[region] = now + INTERVAL_SECONDS
            return self._rows[region]
        if now <= next_at - INTERVAL_SECONDS + WINDOW_SECONDS:
            return self._rows[region]
        return []

    def _make_rows(self, now: float) -> list:
        """Returns the rows of the servers that deviate most."""
        ranked = []
        for record in self._paces:
            row = [record.key, 0, 0, 0, 0, 0]
            deviation = 0.0
            sample = record.own_sample
            if sample is not None and now - sample.sampled_at < FRESH_SECONDS:
                row[1:4] = (
                    round(1000 * sample.pace),
                    record.own_count,
                    int(1000 * (now - sample.sampled_at)),
                )
                deviation = scheduling.compute_deviation(
                    sample.pace, record.pace
                )
            seconds, observed_at = record.intervals.get('', (0.0, 0.0))
            if seconds and now - observed_at < FRESH_SECONDS:
                interval_deviation = (
                    self._estimator.compute_interval_deviation(record, seconds)
                )
                if deviation or interval_deviation > MIN_INTERVAL_DEVIATION:
                    deviation = max(deviation, interval_deviation)
                    row[4:] = (
                        round(10_000 * seconds),
                        int(1000 * (now - observed_at)),
                    )
            if deviation:
                ranked.append((deviation, row))
        ranked.sort(key=lambda item: -item[0])
        return [row for _, row in ranked[:MAX_ROWS]]

    def apply_rows(self, gateway: str, rows: list) -> None:
        """Applies the rows of another gateway.

        Absurd paces are bounded, malformed rows are left out; both count.
        """
        for row in rows[:MAX_RECEIVED_ROWS]:
            try:
                self._apply_row(gateway, row)
            except errors.MALFORMED_DOCUMENT_ERRORS:
                REJECTED_ROWS.labels('malformed').inc()

    def _apply_row(self, gateway: str, row: list) -> None:
        """Applies a row.

        Raises:
            ValueError, TypeError, OverflowError: The row is malformed.
        """
        # Later versions may append items.
        key, permille, count, age, interval, interval_age = (
            _check_number(item) for item in row[:6]
        )
        record = self._paces.find_by_key(int(key))
        if record is None:
            return
        now = clock.now()
        pace, seconds = permille / 1000, interval / 10_000
        age, interval_age = age / 1000, interval_age / 1000
        if pace and record.set_peer_count(gateway, int(count)):
            bounded = scheduling.bound_pace(pace)
            if bounded != pace:
                REJECTED_ROWS.labels('bounded').inc()
            self._estimator.add_sample(
                record, server_paces.PaceSample(bounded, now - age)
            )
        if seconds and interval_age < server_paces.INTERVAL_TTL_SECONDS:
            bounded = scheduling.bound_interval(seconds)
            if bounded != seconds:
                REJECTED_ROWS.labels('bounded').inc()
            self._estimator.apply_interval(
                record, gateway, bounded, now - interval_age
            )


def _check_number(item) -> float:
    """Returns an item that is a number from 0 to the largest key."""
    if type(item) not in (int, float) or not 0 <= item <= MAX_KEY:
        raise ValueError('a pace is not a number or out of range')
    return item
