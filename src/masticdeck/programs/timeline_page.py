"""The time line as an HTML page: one lane for each process."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape

from masticdeck.clock import stamp_seconds
from masticdeck.events import Event

LANE_HEIGHT_PX = 28
LANE_LEFT_PX = 150
WIDTH_PX = 1150
RANGES = {
    1: ("process", "#555555"),
    2: ("membership", "#1f77b4"),
    3: ("configuration", "#9467bd"),
    4: ("shares", "#2ca02c"),
    5: ("requests", "#ff7f0e"),
    6: ("orders", "#d62728"),
    7: ("drains", "#8c564b"),
    8: ("shifts", "#e377c2"),
    9: ("platform", "#17becf"),
}
STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 24px; color: #222; }
table { border-collapse: collapse; margin-top: 16px; }
td, th { padding: 2px 10px; text-align: left; border-bottom: 1px solid #eee; }
td:first-child { font-variant-numeric: tabular-nums; text-align: right; }
circle:hover { stroke: #000; stroke-width: 2; }
.key span { margin-right: 14px; white-space: nowrap; }
.key i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; }
"""


def render_page(events: Sequence[Event], *, title: str, rows: int = 2000) -> str:
    """Return a page with a lane for each process and a table of the events.

    ``rows`` bounds the table; the lanes show every event.
    """
    processes = sorted({event.process for event in events})
    first = stamp_seconds(events[0].stamp) if events else 0.0
    body = [
        f"<h1>{escape(title)}</h1>",
        f"<p>{len(events)} events of {len(processes)} processes, "
        f"{duration(events):.3f} s</p>",
        key(),
        lanes(events, processes),
        table(events[:rows], first),
    ]
    if len(events) > rows:
        body.append(f"<p>The table shows the first {rows} events.</p>")
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        f"<title>{escape(title)}</title><style>{STYLE}</style></head>"
        f"<body>{''.join(body)}</body></html>"
    )


def duration(events: Sequence[Event]) -> float:
    """Return the seconds between the first and the last event."""
    if not events:
        return 0.0
    return stamp_seconds(events[-1].stamp) - stamp_seconds(events[0].stamp)


def key() -> str:
    """Return the key of colours."""
    parts = (
        f"<span><i style='background:{colour}'></i> {name}</span>"
        for name, colour in RANGES.values()
    )
    return f"<p class='key'>{''.join(parts)}</p>"


def lanes(events: Sequence[Event], processes: Sequence[str]) -> str:
    """Return the picture: time from left to right, one lane for each process."""
    height = LANE_HEIGHT_PX * len(processes) + 30
    parts = [f"<svg width='{WIDTH_PX + 20}' height='{height}'>"]
    position = {name: index for index, name in enumerate(processes)}
    for name, index in position.items():
        y = LANE_HEIGHT_PX * index + 18
        parts.append(f"<text x='0' y='{y + 5}'>{escape(name)}</text>")
        parts.append(
            f"<line x1='{LANE_LEFT_PX}' x2='{WIDTH_PX}' y1='{y}' y2='{y}' "
            "stroke='#ddd'/>"
        )
    parts += [dot(event, events, position[event.process]) for event in events]
    parts.append(axis(events, height))
    return "".join(parts) + "</svg>"


def dot(event: Event, events: Sequence[Event], lane: int) -> str:
    """Return the mark of one event, with its text as a tool tip."""
    span = max(duration(events), 1e-6)
    offset = stamp_seconds(event.stamp) - stamp_seconds(events[0].stamp)
    x = LANE_LEFT_PX + (WIDTH_PX - LANE_LEFT_PX) * offset / span
    colour = RANGES.get(event.code.value // 100, ("other", "#000000"))[1]
    return (
        f"<circle cx='{x:.1f}' cy='{LANE_HEIGHT_PX * lane + 18}' r='5' fill='{colour}'>"
        f"<title>{offset:.6f} s {escape(describe(event))}</title></circle>"
    )


def axis(events: Sequence[Event], height: int) -> str:
    """Return the labels of the time axis, in seconds."""
    span = duration(events)
    labels = []
    for part in range(6):
        x = LANE_LEFT_PX + (WIDTH_PX - LANE_LEFT_PX) * part / 5
        anchor = "end" if part == 5 else "middle"
        labels.append(
            f"<text x='{x:.0f}' y='{height - 4}' font-size='11' text-anchor='{anchor}'>"
            f"{span * part / 5:.3f} s</text>"
        )
    return "".join(labels)


def describe(event: Event) -> str:
    """Return an event's number, name and subjects."""
    subjects = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"{event.code.value} {event.code.name.lower()} {subjects}"


def table(events: Sequence[Event], first: float) -> str:
    """Return the events as rows."""
    rows = "".join(
        f"<tr><td>{stamp_seconds(event.stamp) - first:.6f}</td>"
        f"<td>{escape(event.process)}</td><td>{event.code.value}</td>"
        f"<td>{escape(event.code.name.lower())}</td>"
        f"<td>{escape(' '.join(f'{k}={v}' for k, v in event.fields.items()))}</td></tr>"
        for event in events
    )
    head = (
        "<tr><th>s</th><th>process</th><th>no.</th><th>event</th><th>subjects</th></tr>"
    )
    return f"<table>{head}{rows}</table>"
