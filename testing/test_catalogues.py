"""The catalogues of events and errors say what the code has."""

from __future__ import annotations

from collections import Counter

from masticdeck.events import Code
from scripts.make_catalogues import ERRORS, ROOT, error_classes, render_errors

EVENT_COLUMNS = 4


def event_rows() -> dict[int, list[str]]:
    """Return the rows of the catalogue of events by number."""
    text = (ROOT / "docs" / "EVENTS.md").read_text(encoding="utf-8")
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| ") and line[2].isdigit()
    ]
    return {int(row[0]): row for row in rows}


def test_every_event_is_documented_with_meaning_and_remedy():
    rows = event_rows()
    assert {number: row[1] for number, row in rows.items()} == {
        code.value: code.name.lower() for code in Code
    }
    assert [row for row in rows.values() if len(row) != EVENT_COLUMNS] == []
    assert [row for row in rows.values() if not all(row)] == []


def test_catalogue_of_errors_is_what_the_code_has():
    assert ERRORS.read_text(encoding="utf-8") == render_errors()


def test_error_codes_are_unique_and_every_error_names_a_remedy():
    classes = error_classes()
    codes = Counter(one.code for one in classes)
    assert [code for code, number in codes.items() if number > 1] == []
    assert [one for one in classes if not (one.title and one.remedy)] == []
