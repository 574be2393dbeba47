"""Structured lines: their shape, their bounds, and a reader that stalls."""

from __future__ import annotations

import io
import json
import logging
import os
import time

import pytest

from masticdeck.clock import HybridClock
from masticdeck.events import Code, EventLog
from masticdeck.logs import MAX_LINES_PER_S, LineHandler, configure_lines


@pytest.fixture
def root_logger():
    """Restore the root logger after a test."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield root
    root.handlers[:] = handlers
    root.setLevel(level)


def test_event_becomes_one_line_with_its_subjects(root_logger):
    stream = io.StringIO()
    lines = configure_lines(stream, process="entry-1", level="info")
    EventLog("entry-1", HybridClock()).emit(
        Code.REQUEST_SENT, request="id-1", instance="i\n2"
    )
    lines.finish()
    [line] = stream.getvalue().splitlines()
    fields = json.loads(line)
    assert (fields["event"], fields["code"]) == ("request_sent", 501)
    assert fields["fields"] == {"request": "id-1", "instance": "i\n2"}
    assert (fields["process"], fields["level"]) == ("entry-1", "info")


def test_record_of_a_library_becomes_a_line_too(root_logger):
    stream = io.StringIO()
    lines = configure_lines(stream, process="entry-1", level="info")
    logging.getLogger("other").warning("went wrong: %s", 5)
    lines.finish()
    assert json.loads(stream.getvalue())["text"] == "went wrong: 5"


def test_lines_of_one_kind_are_bounded_and_the_rest_counted(root_logger, monkeypatch):
    stream = io.StringIO()
    second = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: second[0])
    lines = configure_lines(stream, process="entry-1", level="info")
    events = EventLog("entry-1", HybridClock())
    for _ in range(MAX_LINES_PER_S + 50):
        events.emit(Code.REQUEST_SENT)
    events.emit(Code.REQUEST_REFUSED)
    second[0] += 1
    events.emit(Code.REQUEST_SENT)
    lines.finish()
    written = [json.loads(line) for line in stream.getvalue().splitlines()]
    names = [one["event"] for one in written]
    assert names.count("request_sent") == MAX_LINES_PER_S + 1
    assert names.count("request_refused") == 1
    [left_out] = [one for one in written if one["event"] == "lines_left_out"]
    assert left_out["request_sent"] == 50


def test_reader_that_stalls_costs_lines_and_no_time(monkeypatch):
    monkeypatch.setattr("masticdeck.logs.MAX_BUFFERED_LINES", 500)
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream:
        lines = LineHandler(stream, "entry-1")
        lines.start()
        record = logging.makeLogRecord({"msg": "x" * 1000, "levelno": logging.ERROR})
        longest = 0.0
        for number in range(3000):
            record.msg = f"kind-{number % 30} " + "x" * 1000
            began = time.perf_counter()
            lines.emit(record)
            longest = max(longest, time.perf_counter() - began)
        assert sum(lines.left_out.values()) > 0
        assert len(lines.lines) <= 500
        # A blocked write of the full pipe would not have returned at all.
        assert longest < 1.0
        os.close(reading)
