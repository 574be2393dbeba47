"""What ``masticdeckctl`` prints: tables for people, JSON for programs."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from masticdeck.state.documents import Fault


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows under headings, in columns of equal width.

    >>> print(format_table(["entry", "version"], [["entry-1", 3]]))
    ENTRY    VERSION
    entry-1  3
    """
    texts = [[column.upper() for column in columns]]
    texts += [["-" if cell is None else str(cell) for cell in row] for row in rows]
    widths = [max(len(line[index]) for line in texts) for index in range(len(columns))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in texts
    )
    return "\n".join(line.rstrip() for line in lines)


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return json.dumps(value, indent=2, sort_keys=True)


def format_faults(faults: Sequence[Fault] | Sequence[dict[str, Any]]) -> str:
    """Return one line for each fault of the lists."""
    return "\n".join(
        str(one if isinstance(one, Fault) else Fault(**one)) for one in faults
    )


def format_changes(changes: Sequence[dict[str, Any]]) -> str:
    """Return the items that a change edits, field by field."""
    rows: list[list[Any]] = []
    for change in changes:
        before, after = change["before"], change["after"]
        if not isinstance(before, dict) or not isinstance(after, dict):
            verb = "added" if before is None else "removed"
            detail = after if isinstance(after, str) else verb
            rows.append([change["kind"], change["id"], detail, None, None])
            continue
        rows += [
            [change["kind"], change["id"], name, short(before[name]), short(value)]
            for name, value in after.items()
            if before.get(name) != value
        ]
    if not rows:
        return "no change"
    return format_table(["kind", "id", "field", "before", "after"], rows)


def format_touched(touches: Sequence[dict[str, Any]]) -> str:
    """Return the customers whom a change touches."""
    if not touches:
        return "touches no customer"
    rows = [
        [
            one["customer"],
            "yes" if one["veto"] else "no",
            "shared region" if one["shared"] else "itself",
            "; ".join(one["reasons"]),
        ]
        for one in touches
    ]
    return format_table(["customer", "veto", "touched by", "why"], rows)


def format_proposals(answer: dict[str, Any]) -> str:
    """Return the accepted version and the pending proposals."""
    rows = [
        [
            one["id"],
            one["base"],
            one["by"],
            "open" if one["window_open"] else "over",
            one["accept_by"],
            ",".join(one["holders"]) or None,
            one["note"] or None,
        ]
        for one in answer["proposals"]
    ]
    columns = ["proposal", "base", "by", "veto window", "accept", "veto by", "note"]
    head = f"accepted version: {answer['version']}"
    return f"{head}\n{format_table(columns, rows) if rows else 'no pending proposal'}"


def format_outcome(one: dict[str, Any]) -> str:
    """Return how one proposal stands."""
    if one["state"] != "pending":
        version = f" as version {one['version']}" if one.get("version") else ""
        reason = f": {one['reason']}" if one.get("reason") else ""
        return f"{one['id']} {one['state']} by {one['by']}{version}{reason}"
    window = "is open" if one["window_open"] else "is over or not needed"
    asked = f"; acceptance asked for by {one['accept_by']}" if one["accept_by"] else ""
    return (
        f"{one['id']} pending on version {one['base']}; veto window {window}{asked}\n"
        f"{format_changes(one['changes'])}\n"
        f"touches: {', '.join(one['touched']) or 'no customer'}"
    )


def short(value: Any) -> str:
    """Return a value on one line."""
    return value if isinstance(value, str) else json.dumps(value)


def format_fleet(view: dict[str, Any], service: str | None = None) -> str:
    """Return what an entry on a live fleet believes, of one service or of all."""
    columns = ["service", "instance", "zone", "slots", "own", "others", "excluded"]
    instances = sorted(
        (one for one in view["instances"] if service in (None, one["service"])),
        key=lambda one: (one["service"], one["instance"]),
    )
    routes = [
        [one["host"], one["prefix"], one["kind"], one["priority"], split_text(one)]
        for one in view["routes"]
        if service is None or service in one["services"]
    ]
    head = (
        f"{view['entry']}: version {view['version']}, {describe_position(view)}, "
        f"current {view['age_s']} s ago, {len(view['entries'])} entries"
    )
    rows = [[one[column] for column in columns] for one in instances]
    route_columns = ["host", "prefix", "kind", "priority", "services"]
    return "\n".join(
        [head, format_table(route_columns, routes), format_table(columns, rows)]
    )


def describe_position(view: dict[str, Any]) -> str:
    """Return the revision of an entry's view, and since when it is in its era.

    >>> describe_position({"revision": 17, "era": 2, "era_age_s": 3.5})
    'revision 17 of era 2 (begun 3.5 s ago)'
    """
    position = f"revision {view['revision']}"
    if view.get("era"):
        position += f" of era {view['era']}"
    if view.get("era_age_s") is not None:
        position += f" (begun {view['era_age_s']:.1f} s ago)"
    return position


def split_text(route: dict[str, Any]) -> str:
    """Return a route's services with their weights."""
    parts = route["services"].items()
    return ", ".join(f"{name} {weight:g}" for name, weight in parts)
