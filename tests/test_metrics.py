"""Tests of counters and latency summaries."""

from chivejunction import errors
from chivejunction import metrics


def read_violations(name: str) -> float:
    """Returns the number of violations counted in this process."""
    return (
        metrics.REGISTRY.get_sample_value(
            'invariant_violations_total', {'name': name}
        )
        or 0
    )


class TestMetrics:
    """Guards against violations and latencies missing in the exposition."""

    def test_violation_is_counted_by_name(self):
        violation = errors.InvariantViolation('at_most_once', 'test')
        count_before = read_violations('at_most_once')
        metrics.count_violation(violation)
        assert read_violations('at_most_once') == count_before + 1

    def test_quantiles_are_exposed(self):
        latency = metrics.LatencySummary('test_seconds', 'Test.', 'kind')
        for milliseconds in range(1, 101):
            latency.record('a', milliseconds / 1000)
        assert abs(latency.quantile('a', 0.95) - 0.095) < 0.002
        text = metrics.render_metrics()[0].decode()
        assert 'test_seconds_count{kind="a"} 100' in text
        assert 'test_seconds{kind="a",quantile="0.95"}' in text
