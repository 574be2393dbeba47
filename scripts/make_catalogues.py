"""Writes ``docs/ERRORS.md`` from the error classes of the package."""

from __future__ import annotations

import importlib
import inspect
import pkgutil
from pathlib import Path

import masticdeck
from masticdeck.errors import MasticdeckError

ROOT = Path(__file__).resolve().parent.parent
ERRORS = ROOT / "docs" / "ERRORS.md"
HEAD = """# Errors

Written by `scripts/make_catalogues.py` from the code; a test compares them.
Callers see the code in a problem document (RFC 9457), the status below and, in
`Masticdeck-Outcome`, what the system can vouch for: `not-run` means that the
request did not run, `unknown` that it may have. Programs print the message and
end with status 1.

| code | status | outcome | what happened | meaning | remedy |
|---|---|---|---|---|---|
"""


def error_classes() -> list[type[MasticdeckError]]:
    """Return every error class of the package, by code."""
    for module in pkgutil.walk_packages(masticdeck.__path__, "masticdeck."):
        if "generated" not in module.name:
            importlib.import_module(module.name)
    found: set[type[MasticdeckError]] = set()
    waiting = [MasticdeckError]
    while waiting:
        one = waiting.pop()
        found.add(one)
        waiting.extend(one.__subclasses__())
    return sorted(found, key=lambda one: (one.code, one.__name__))


def render_errors() -> str:
    """Return the catalogue of errors as Markdown."""
    rows = []
    for one in error_classes():
        outcome = one.outcome.value if one.outcome else ""
        meaning = (inspect.getdoc(one) or "").split("\n\n")[0].replace("\n", " ")
        rows.append(
            f"| {one.code} | {one.status} | {outcome} | {one.title} "
            f"| {meaning} | {one.remedy} |"
        )
    return HEAD + "\n".join(rows) + "\n"


def main() -> None:
    """Write the catalogue."""
    ERRORS.write_text(render_errors(), encoding="utf-8")


if __name__ == "__main__":
    main()
