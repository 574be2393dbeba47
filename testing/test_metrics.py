"""Metrics: text format, and histograms that merge without loss."""

from __future__ import annotations

from masticdeck.metrics import LatencyKey, Metrics, merge_histograms


def test_merged_histogram_counts_every_process():
    processes = [Metrics(zone="a") for _ in range(3)]
    whole = Metrics(zone="a")
    for number in range(300):
        seconds = (number + 1) / 1000
        processes[number % 3].record("katalogs", "urgent", "answered", seconds)
        whole.record("katalogs", "urgent", "answered", seconds)
    merged = merge_histograms(one.encode_histograms() for one in processes)
    key = LatencyKey("katalogs", "urgent", "a", "answered")
    for quantile in (1, 50, 99, 100):
        expected = whole.latencies[key].get_value_at_percentile(quantile)
        assert merged[key].get_value_at_percentile(quantile) == expected


def test_latency_beyond_the_range_is_clamped():
    metrics = Metrics(zone="a")
    metrics.record("katalogs", "low", "broken", 1e9)
    metrics.record("katalogs", "low", "broken", 0.0)
    assert b'end="broken"' in metrics.render()


def test_text_format_names_counters_and_labels():
    metrics = Metrics(zone="vidzeme-a")
    metrics.count("refused", 2)
    metrics.gauge("slots_held", 6)
    metrics.record("katalogs", "urgent", "answered", 0.02)
    text = metrics.render().decode()
    assert "masticdeck_refused_total 2.0" in text
    assert "masticdeck_slots_held 6.0" in text
    assert 'zone="vidzeme-a"' in text
