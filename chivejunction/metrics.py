"""Counters and latency histograms with their text exposition."""

from collections.abc import Callable
from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import exposition

from chivejunction import errors
from chivejunction import logs

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)

REGISTRY = prometheus_client.CollectorRegistry()
VIOLATIONS = prometheus_client.Counter(
    'invariant_violations',
    'Properties that must always hold and were found broken.',
    ['name'],
    registry=REGISTRY,
)


class Latency:
    """Latency by label value, exposed as a summary in seconds.

    Args:
        name: Name of the metric, ends in ``_seconds``.
        documentation: Help text.
        label: Name of the only label; its values must be few.
    """

    def __init__(self, name: str, documentation: str, label: str):
        self._name = name
        self._documentation = documentation
        self._label = label
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums: dict[str, float] = {}
        REGISTRY.register(self)

    def record(self, value: str, seconds: float) -> None:
        """Records a duration in seconds under a label value."""
        found = self._histograms.get(value)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histograms[value] = found
            self._sums[value] = 0.0
        micros = int(seconds * 1e6)
        found.record_value(max(LOWEST_US, min(micros, HIGHEST_US)))
        self._sums[value] += seconds

    def quantile(self, value: str, quantile: float) -> float:
        """Returns a quantile in seconds, zero without a record."""
        found = self._histograms.get(value)
        if found is None:
            return 0.0
        return found.get_value_at_percentile(100 * quantile) / 1e6

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric for the registry."""
        metric = core.Metric(self._name, self._documentation, 'summary')
        for value, found in self._histograms.items():
            labels = {self._label: value}
            for quantile in QUANTILES:
                metric.add_sample(
                    self._name,
                    {**labels, 'quantile': str(quantile)},
                    self.quantile(value, quantile),
                )
            metric.add_sample(
                f'{self._name}_count', labels, found.get_total_count()
            )
            metric.add_sample(f'{self._name}_sum', labels, self._sums[value])
        yield metric


def make_counter(
    name: str, documentation: str, *labels: str
) -> prometheus_client.Counter:
    """Returns a counter in the registry of this process."""
    return prometheus_client.Counter(
        name, documentation, labels, registry=REGISTRY
    )


def make_gauge(
    name: str, documentation: str, read: Callable[[], float]
) -> prometheus_client.Gauge:
    """Returns a gauge whose value is read at each exposition."""
    gauge = prometheus_client.Gauge(name, documentation, registry=REGISTRY)
    gauge.set_function(read)
    return gauge


def count_violation(violation: errors.InvariantViolation) -> None:
    """Logs and counts a broken invariant."""
    VIOLATIONS.labels(violation.name).inc()
    logs.LOG.error(
        '%s', violation, extra={'fields': {'invariant': violation.name}}
    )


def render_metrics() -> tuple[bytes, str]:
    """Returns the text exposition and its content type."""
    return (
        exposition.generate_latest(REGISTRY),
        exposition.CONTENT_TYPE_LATEST,
    )
