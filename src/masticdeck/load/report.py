"""Histograms and an HTML page with plots, made of a run's records."""

from __future__ import annotations

import base64
import html
import io
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from masticdeck.ids import Rank
from masticdeck.load.experiment import Experiment
from masticdeck.load.records import Record, Records, Result, histograms
from masticdeck.state.deployment import Deployment, load_deployment

BIN_S = 0.5
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
COLOURS = {Rank.URGENT: "tab:red", Rank.MIDDLE: "tab:orange", Rank.LOW: "tab:blue"}


def write_report(experiment: Experiment, records: Records, folder: Path) -> Path:
    """Write a histogram file for each rank and ``report.html``; return its path.

    The histogram files hold HdrHistogram's own encoding, in microseconds.
    Regions of an unreadable deployment file are left out of the capacity plot.
    """
    for rank, histogram in histograms(records.requests).items():
        path = folder / f"{rank.value}.hdr"
        path.write_bytes(histogram.encode())
    deployment = load_deployment(experiment.deployment)
    plots = [
        plot("Goodput by rank", lambda axes: goodput(axes, records)),
        plot("Latency of correct answers", lambda axes: latency(axes, records)),
        plot(
            "Load against capacity by region",
            lambda axes: regions(axes, records, deployment),
        ),
        plot("Time line of events", lambda axes: events(axes, experiment, records)),
    ]
    page = folder / "report.html"
    page.write_text(document(experiment, records, plots), encoding="utf-8")
    return page


def plot(title: str, draw: Callable[[Any], None]) -> str:
    """Return an HTML figure whose axes were drawn by a function."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3.5), layout="constrained")
    draw(axes)
    axes.set_title(title)
    output = io.BytesIO()
    figure.savefig(output, format="png", dpi=100)
    pyplot.close(figure)
    data = base64.b64encode(output.getvalue()).decode()
    label = html.escape(title)
    return f'<p><img alt="{label}" src="data:image/png;base64,{data}"></p>'


def per_bin(times: list[float]) -> tuple[list[float], list[float]]:
    """Return bin starts in seconds and the rate in each bin."""
    counts = Counter(int(time / BIN_S) for time in times)
    bins = range(max(counts, default=0) + 1)
    return [one * BIN_S for one in bins], [counts[one] / BIN_S for one in bins]


def goodput(axes: Any, records: Records) -> None:
    """Draw correct answers a second by rank."""
    for rank, colour in COLOURS.items():
        times = [
            one.end_s
            for one in records.requests
            if one.rank is rank and one.result is Result.CORRECT
        ]
        axes.plot(*per_bin(times), color=colour, label=rank.value)
    axes.set_xlabel("seconds")
    axes.set_ylabel("correct answers/s")
    axes.legend()


def latency(axes: Any, records: Records) -> None:
    """Draw the part of answers that came within a time."""
    for rank, histogram in histograms(records.requests).items():
        points = [one / 10 for one in range(1001)]
        values = [histogram.get_value_at_percentile(one) / 1000 for one in points]
        axes.plot(values, points, color=COLOURS[rank], label=rank.value)
    axes.set_xscale("log")
    axes.set_xlabel("milliseconds")
    axes.set_ylabel("% of correct answers")
    axes.legend()


def regions(axes: Any, records: Records, deployment: Deployment) -> None:
    """Draw arrivals by the region of the asked entry, and each region's capacity."""
    capacity: Counter[str] = Counter()
    for one in deployment.instances:
        service_s = deployment.service_by_id[one.service].service_ms / 1000
        capacity[deployment.region_of[one.zone]] += int(one.slots / service_s)
    for number, region in enumerate(deployment.regions):
        times = [one.at_s for one in records.requests if one.region == region]
        axes.plot(*per_bin(times), color=f"C{number}", label=region)
        axes.axhline(capacity[region], color=f"C{number}", linestyle=":")
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests/s, capacity dotted")
    axes.legend()


def events(axes: Any, experiment: Experiment, records: Records) -> None:
    """Draw when streams began and ended and when faults were carried out."""
    for row, stream in enumerate(experiment.streams):
        end = stream.to_s or experiment.duration_s
        axes.barh(row, end - stream.from_s, left=stream.from_s, height=0.5)
    names = [stream.name for stream in experiment.streams]
    axes.set_yticks(range(len(names)), names)
    for fault in records.faults:
        axes.axvline(fault["at_s"], color="black", linewidth=0.8)
        label = f"{fault['action']} {fault['target']}"
        axes.text(fault["at_s"], len(names) - 0.5, label, rotation=90, fontsize=6)
    axes.set_xlabel("seconds")


def row(rank: Rank, records: list[Record]) -> str:
    """Return one line of the table."""
    counts = Counter(one.result for one in records)
    found = histograms(records).get(rank)
    times = [
        f"{found.get_value_at_percentile(one) / 1000:.1f}" if found else "-"
        for one in PERCENTILES
    ]
    cells = [rank.value, len(records), *(counts[one] for one in Result), *times]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def document(experiment: Experiment, records: Records, plots: list[str]) -> str:
    """Return the page."""
    titles = ["rank", "requests", *(one.value for one in Result)]
    titles += [f"p{one:g} ms" for one in PERCENTILES]
    head = "".join(f"<th>{title}</th>" for title in titles)
    rows = "".join(row(rank, records.select(rank=rank)) for rank in Rank)
    name = html.escape(experiment.name)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{name}</title>'
        "<style>body{font-family:sans-serif;max-width:60em;margin:auto}"
        "td,th{padding:.2em .6em;text-align:right}</style>"
        f"<h1>{name}</h1><p>Seed {experiment.seed}, {experiment.duration_s:g} s.</p>"
        f"<table><tr>{head}</tr>{rows}</table>{''.join(plots)}</html>\n"
    )
