"""Structured log lines on standard output, bounded and never blocking.

Each event becomes one JSON object on a line. The loop only appends to a
buffer; a thread writes it. When the reader of the output is slow, or one kind
of event comes too often, lines are left out and counted, and a later line tells
how many of each kind.
"""

from __future__ import annotations

import json
import logging
import threading
import time
from collections import Counter, deque
from typing import TextIO

FLUSH_S = 0.1
"""Seconds between writes of the buffer."""

MAX_BUFFERED_LINES = 20_000
"""Lines that wait for a slow reader before further ones are left out."""

MAX_LINES_PER_S = 200
"""Lines of one kind of event a second; warnings and errors have twice as many."""

RESERVED = ("time", "level", "event", "code", "process")


class LineHandler(logging.Handler):
    """Writes event records as JSON lines through a thread."""

    def __init__(self, stream: TextIO, process: str) -> None:
        super().__init__()
        self.stream = stream
        self.process = process
        self.lines: deque[str] = deque()
        self.left_out: Counter[str] = Counter()
        self.window = 0
        self.in_window: Counter[str] = Counter()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.write_lines, daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self.thread.start()

    def finish(self) -> None:
        """Write what is buffered and end, or give up on a stalled reader."""
        self.stopping.set()
        self.thread.join(timeout=1.0)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line unless its kind or the buffer is over its bound."""
        name = record.getMessage().partition(" ")[0]
        if not self.admits(name, record.levelno):
            self.left_out[name] += 1
            return
        self.lines.append(self.render(record, name))

    def admits(self, name: str, level: int) -> bool:
        """Return whether one more line of a kind may be written."""
        second = int(time.monotonic())
        if second != self.window:
            self.window = second
            self.in_window.clear()
            self.tell_left_out()
        self.in_window[name] += 1
        bound = MAX_LINES_PER_S * (2 if level >= logging.WARNING else 1)
        return self.in_window[name] <= bound and len(self.lines) < MAX_BUFFERED_LINES

    def tell_left_out(self) -> None:
        """Buffer one line on what was left out."""
        if self.left_out and len(self.lines) < MAX_BUFFERED_LINES:
            fields = {"event": "lines_left_out", "process": self.process}
            self.lines.append(json.dumps({**fields, **self.left_out}))
            self.left_out.clear()

    def render(self, record: logging.LogRecord, name: str) -> str:
        """Return the JSON line of a record."""
        fields = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "event": name,
            "code": getattr(record, "event", 0),
            "process": self.process,
            "stamp": getattr(record, "stamp", 0),
        }
        subjects = getattr(record, "fields", None)
        if subjects is None:
            fields["text"] = record.getMessage()
            if record.exc_info:
                fields["error"] = repr(record.exc_info[1])
        else:
            fields["fields"] = subjects
        return json.dumps(fields)

    def write_lines(self) -> None:
        """Write buffered lines until the process or its reader ends.

        Runs in the thread. Without a reader further lines fill the buffer and
        are then counted as left out.
        """
        try:
            while not self.stopping.wait(FLUSH_S):
                self.flush_lines()
            self.flush_lines()
        except (OSError, ValueError):
            self.stopping.set()

    def flush_lines(self) -> None:
        """Write what is buffered."""
        count = len(self.lines)
        if count:
            lines = [self.lines.popleft() for _ in range(count)]
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()


def configure_lines(stream: TextIO, *, process: str, level: str) -> LineHandler:
    """Send all log records of the process to a stream as JSON lines."""
    handler = LineHandler(stream, process)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("aiohttp", "grpclib", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)
    handler.start()
    return handler
