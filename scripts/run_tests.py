"""Runs pytest on everything but the ids that KNOWN-RED.txt lists, and prints those.

A line of KNOWN-RED.txt that begins with ``testing/`` starts with a test id;
other lines explain it.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def known_red() -> list[str]:
    """Return the ids listed in KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    return [line.split()[0] for line in lines if line.startswith("testing/")]


def main() -> int:
    """Run the tests and return pytest's exit status."""
    ids = known_red()
    for name in ids:
        print(f"known red, not run: {name}")
    arguments = [f"--deselect={name}" for name in ids]
    return int(pytest.main([*arguments, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
