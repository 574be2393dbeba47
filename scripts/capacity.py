"""Writes the tables of ``docs/CAPACITY.md`` from the recorded figures.

The figures are those of ``bench/results``, written by ``make bench`` with
``RECORD=1``. The text of the page is kept; what stands between the two marks is
replaced and printed.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "bench" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- tables begin -->"
END = "<!-- tables end -->"

NODES = 1_900
ZONES = 90
REGIONS = 28
BLOCKS = 910_000
LOOKUPS_S = 1_900_000
CHANGES_DAY = 5_400
FAILURES_DAY = 10
RESTARTS_DAY = 130
DAY_S = 86_400
BYTES_LIMIT = 3_000.0
CORE_LIMIT = 0.035
MEMORY_LIMIT_MB = 256.0
IN_FORCE_LIMIT_S = 14.0
STORE_WRITES_LIMIT = 300.0
STORE_READS_LIMIT = 2_000.0


def read(name: str) -> dict[str, Any]:
    """Return the recorded figures of an experiment."""
    path = RESULTS / f"{name}.json"
    if not path.exists():
        sys.exit(f"{path.name} is missing: run make bench EXPERIMENT=... RECORD=1")
    figures: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return figures


def table(head: list[str], rows: list[list[Any]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(show(one) for one in row)} |" for row in lines)


def show(value: Any) -> str:
    """Return a cell's text; numbers keep four significant digits."""
    return f"{value:,.4g}" if isinstance(value, float) else str(value)


def judge(value: float, limit: float) -> str:
    """Return the margin, or that the target is missed."""
    if value > limit:
        return f"**missed**, {value / limit:.1f} times the target"
    return f"met, {1 - value / limit:.0%} left"


def raw_points(owner: dict[str, Any]) -> str:
    """Return the measured points of control."""
    names = [
        "entries",
        "bytes_s_mean",
        "bytes_s_max",
        "core_mean",
        "core_max",
        "memory_mb",
        "store_writes_s",
        "store_reads_s",
        "waiting_watches",
    ]
    return table(names, [[point[one] for one in names] for point in owner["points"]])


def zone_points(control: dict[str, Any]) -> str:
    """Return the measured points over zones and entries in a zone."""
    names = ["nodes", "per_zone", "zones", "bytes_s", "core_part", "busiest_bytes_s"]
    names += ["change_bytes", "change_cpu_ms", "memory_mb", "store_watches"]
    return table(names, [[point[one] for one in names] for point in control["points"]])


def control_rows(owner: dict[str, Any], control: dict[str, Any]) -> list[list[Any]]:
    """Return the rows of the targets for control."""
    planned = owner["planned"]
    changes_s = CHANGES_DAY / DAY_S
    change_bytes = max(point["change_bytes"] for point in control["points"])
    change_core = max(point["change_cpu_ms"] for point in control["points"]) / 1000
    mean_bytes = planned["bytes_s_mean"] + change_bytes * changes_s
    owner_bytes = planned["bytes_s_owner"] + change_bytes * changes_s
    mean_core = planned["core_mean"] + change_core * changes_s
    owner_core = planned["core_owner"] + change_core * changes_s
    cases = [
        ("bytes/s, mean node, line over holders", mean_bytes, BYTES_LIMIT),
        ("bytes/s, owner of a region", owner_bytes, BYTES_LIMIT),
        ("core, mean node, line over holders", mean_core, CORE_LIMIT),
        ("core, owner of a region", owner_core, CORE_LIMIT),
        (
            "bytes/s, mean node, line over zones",
            control["planned"]["bytes_s"],
            BYTES_LIMIT,
        ),
        (
            "core, mean node, line over zones",
            control["planned"]["core_part"],
            CORE_LIMIT,
        ),
        ("memory in MB without blocks", planned["memory_mb"], MEMORY_LIMIT_MB),
        ("store writes/s, fleet", planned["store_writes_s"], STORE_WRITES_LIMIT),
        ("store reads/s, fleet", planned["store_reads_s"], STORE_READS_LIMIT),
        ("waiting watches, fleet", planned["waiting_watches"], STORE_READS_LIMIT),
    ]
    return [
        [name, f"{value:,.4g}", f"{limit:g}", judge(value, limit)]
        for name, value, limit in cases
    ]


def path_rows(path: dict[str, Any]) -> list[list[Any]]:
    """Return the rows of look-up and forwarding."""
    lookups = LOOKUPS_S / NODES
    core = lookups / path["lookups_per_s"]
    size_mb = path["table_bytes_per_block"] * BLOCKS / 1e6
    return [
        ["look-ups/s on a node", f"{lookups:,.0f}", "served work, not control"],
        ["look-ups/s per core", f"{path['lookups_per_s']:,}", "measured"],
        ["core for look-ups", f"{core:.3f}", "served work, not control"],
        ["forwards/s per core", f"{path['forwards_per_s']:,}", "measured"],
        ["block table in MB", f"{size_mb:.1f}", f"{BLOCKS:,} blocks"],
        ["growth 1,000 to 910,000", path["lookup_growth"], "at most 1.15"],
    ]


def change_rows(config: dict[str, Any], control: dict[str, Any]) -> list[list[Any]]:
    """Return the rows of changes, failures and restarts."""
    changes_s = CHANGES_DAY / DAY_S
    change_bytes = max(point["change_bytes"] for point in control["points"])
    events_day = FAILURES_DAY * 2 + RESTARTS_DAY * 3
    return [
        ["changes of the lists/s", f"{changes_s:.4f}", "5,400 a day"],
        ["bytes of a change on a node", f"{change_bytes:,.0f}", "largest measured"],
        ["bytes/s for changes", f"{change_bytes * changes_s:.0f}", "on each node"],
        [
            "in force everywhere at 12 nodes, s",
            config["in_force_s_max"],
            f"target {IN_FORCE_LIMIT_S:.0f} s at 1,900",
        ],
        ["membership claims/s", f"{events_day / DAY_S:.4f}", "failures and restarts"],
    ]


def render() -> str:
    """Return all tables."""
    owner, control = read("owner-cost-riga"), read("control-cost-riga")
    path, config = read("path-riga"), read("config-texas")
    planned = owner["planned"]
    parts = [
        "### Measured points of control\n",
        raw_points(owner),
        f"\nFit over holders: {planned['bytes_s_base']:,.0f} bytes/s and "
        f"{planned['core_base']:.4f} of a core for a node, and "
        f"{planned['bytes_s_per_holder']:,.0f} bytes/s and "
        f"{planned['core_per_holder']:.5f} of a core for each holder that reports "
        f"once a second; {planned['region_entries']} holders in a region report "
        f"each {planned['report_s']:.1f} s.",
        "\n### Measured points over zones, for a node\n",
        zone_points(control),
        "\n### Control at 1,900 nodes\n",
        table(
            ["figure", "worked out", "target", "verdict"], control_rows(owner, control)
        ),
        "\n### Look-up and forwarding\n",
        table(["figure", "value", "note"], path_rows(path)),
        "\n### Changes, failures and restarts\n",
        table(["figure", "value", "note"], change_rows(config, control)),
    ]
    return "\n".join(parts)


def main() -> None:
    """Print the tables and write them into the page."""
    tables = render()
    print(tables)
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE.write_text(f"{before}{BEGIN}\n{tables}\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    main()
