"""Counters and latency histograms of one process.

Latencies are kept in HDR histograms by service, rank, zone and end, in
microseconds up to five minutes with three significant digits. Histograms of
several processes merge without loss, because all have the same buckets.

>>> one, two = Metrics(zone="a"), Metrics(zone="a")
>>> one.record("katalogs", "urgent", "answered", 0.010)
>>> two.record("katalogs", "urgent", "answered", 0.030)
>>> merged = merge_histograms([one.encode_histograms(), two.encode_histograms()])
>>> merged[LatencyKey("katalogs", "urgent", "a", "answered")].get_total_count()
2
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

LOWEST_US = 1
HIGHEST_US = 300_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9)
SEPARATOR = "|"


class LatencyKey(NamedTuple):
    """What one latency histogram is about."""

    service: str
    rank: str
    zone: str
    end: str


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Metrics:
    """All counters, gauges and histograms of one process."""

    def __init__(self, *, zone: str) -> None:
        self.zone = zone
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.gauges_by_label: dict[str, tuple[str, Mapping[str, float]]] = {}
        self.latencies: dict[LatencyKey, HdrHistogram] = {}
        self.totals_us: Counter[LatencyKey] = Counter()
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def record(self, service: str, rank: str, end: str, seconds: float) -> None:
        """Record one request that took ``seconds`` and ended as ``end``."""
        key = LatencyKey(service, rank, self.zone, end)
        histogram = self.latencies.get(key)
        if histogram is None:
            histogram = self.latencies[key] = create_histogram()
        micros = max(LOWEST_US, min(int(seconds * 1_000_000), HIGHEST_US))
        histogram.record_value(micros)
        self.totals_us[key] += micros

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += number

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def gauge_by(self, name: str, label: str, values: Mapping[str, float]) -> None:
        """Set a gauge for each value of a label; earlier ones are dropped.

        The caller bounds the number of values.
        """
        self.gauges_by_label[name] = label, values

    def collect(self) -> Iterator[Metric]:
        """Yield every family for the exposition library."""
        for name, number in sorted(self.counters.items()):
            yield CounterMetricFamily(f"masticdeck_{name}", name, value=number)
        for name, value in sorted(self.gauges.items()):
            yield GaugeMetricFamily(f"masticdeck_{name}", name, value=value)
        for name, (label, values) in sorted(self.gauges_by_label.items()):
            family = GaugeMetricFamily(f"masticdeck_{name}", name, labels=[label])
            for subject, value in sorted(values.items()):
                family.add_metric([subject], value)
            yield family
        summary = SummaryMetricFamily(
            "masticdeck_request_seconds",
            "Requests by service, rank, zone and end",
            labels=list(LatencyKey._fields),
        )
        quantiles = GaugeMetricFamily(
            "masticdeck_request_quantile_seconds",
            "Latency quantiles by service, rank, zone and end",
            labels=[*LatencyKey._fields, "quantile"],
        )
        for key, histogram in sorted(self.latencies.items()):
            total = self.totals_us[key] / 1e6
            summary.add_metric(list(key), histogram.get_total_count(), total)
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                quantiles.add_metric([*key, str(quantile / 100)], seconds)
        yield summary
        yield quantiles

    def render(self) -> bytes:
        """Return everything in the usual text format for scrapers."""
        return generate_latest(self.registry)

    def encode_histograms(self) -> dict[str, str]:
        """Return each histogram in the HDR interchange encoding."""
        return {
            SEPARATOR.join(key): histogram.encode().decode("ascii")
            for key, histogram in self.latencies.items()
        }


def merge_histograms(
    encoded: Iterable[Mapping[str, Any]],
) -> dict[LatencyKey, HdrHistogram]:
    """Return the sum of histograms that several processes encoded."""
    merged: dict[LatencyKey, HdrHistogram] = {}
    for process in encoded:
        for name, text in process.items():
            key = LatencyKey(*name.split(SEPARATOR))
            histogram = merged.setdefault(key, create_histogram())
            histogram.add(HdrHistogram.decode(text))
    return merged
