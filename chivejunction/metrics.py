"""Prometheus counters, gauges and latency summaries of this process."""

from collections.abc import Callable
from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import exposition

from chivejunction import errors
from chivejunction import logs

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)

REGISTRY = prometheus_client.CollectorRegistry()
VIOLATIONS = prometheus_client.Counter(
    'invariant_violations',
    'Properties that must always hold and were found broken.',
    ['name'],
    registry=REGISTRY,
)


class LatencySummary:
    """Summary metric of latencies in seconds, by the value of one label.

    Args:
        name: Name of the metric; must end in ``_seconds``.
        documentation: Help text.
        label: Name of the only label, which must have few values.
    """

    def __init__(self, name: str, documentation: str, label: str):
        self._name = name
        self._documentation = documentation
        self._label = label
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums: dict[str, float] = {}
        REGISTRY.register(self)

    def record(self, value: str, seconds: float) -> None:
        """Records a latency in seconds for a label value."""
        latencies = self._histograms.get(value)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._histograms[value] = latencies
            self._sums[value] = 0.0
        microseconds = int(seconds * 1e6)
        latencies.record_value(
            max(MIN_LATENCY_US, min(microseconds, MAX_LATENCY_US))
        )
        self._sums[value] += seconds

    def quantile(self, value: str, quantile: float) -> float:
        """Returns a quantile in seconds, zero if nothing was recorded."""
        latencies = self._histograms.get(value)
        if latencies is None:
            return 0.0
        return latencies.get_value_at_percentile(100 * quantile) / 1e6

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric; called by the registry at each exposition."""
        metric = core.Metric(self._name, self._documentation, 'summary')
        for value, latencies in self._histograms.items():
            labels = {self._label: value}
            for quantile in QUANTILES:
                metric.add_sample(
                    self._name,
                    {**labels, 'quantile': str(quantile)},
                    self.quantile(value, quantile),
                )
            metric.add_sample(
                f'{self._name}_count', labels, latencies.get_total_count()
            )
            metric.add_sample(f'{self._name}_sum', labels, self._sums[value])
        yield metric


def make_counter(
    name: str, documentation: str, *labels: str
) -> prometheus_client.Counter:
    """Creates a counter in the registry of this process."""
    return prometheus_client.Counter(
        name, documentation, labels, registry=REGISTRY
    )


def make_gauge(
    name: str, documentation: str, read_value: Callable[[], float]
) -> prometheus_client.Gauge:
    """Creates a gauge whose value is read at each exposition."""
    gauge = prometheus_client.Gauge(name, documentation, registry=REGISTRY)
    gauge.set_function(read_value)
    return gauge


def make_labelled_gauge(
    name: str, documentation: str, *labels: str
) -> prometheus_client.Gauge:
    """Creates a gauge with labels in the registry of this process."""
    return prometheus_client.Gauge(
        name, documentation, labels, registry=REGISTRY
    )


def count_violation(violation: errors.InvariantViolation) -> None:
    """Logs and counts a violation of an invariant."""
    VIOLATIONS.labels(violation.name).inc()
    logs.LOG.error(
        '%s', violation, extra={'fields': {'invariant': violation.name}}
    )


def render_metrics() -> tuple[bytes, str]:
    """Returns the Prometheus text exposition and its content type."""
    return (
        exposition.generate_latest(REGISTRY),
        exposition.CONTENT_TYPE_LATEST,
    )
