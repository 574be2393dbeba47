"""What became of each request, and figures made of it."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any, final

from hdrh.histogram import HdrHistogram

from masticdeck.ids import Rank

HIGHEST_MICROSECONDS = 120_000_000
DIGITS = 3


class Result(Enum):
    """How a request ended as its caller sees it."""

    CORRECT = "correct"
    LATE = "late"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    STALLED = "stalled"


@final
@dataclass(frozen=True, slots=True)
class Record:
    """One request: arrival in seconds from the start, and its end."""

    at_s: float
    stream: str
    rank: Rank
    result: Result
    seconds: float
    attempts: int = 1
    region: str = ""

    @property
    def end_s(self) -> float:
        """Return the time of the answer in seconds from the start."""
        return self.at_s + self.seconds


@dataclass
class Records:
    """All requests of a run and the faults that were carried out."""

    requests: list[Record] = field(default_factory=list)
    faults: list[dict[str, Any]] = field(default_factory=list)
    samples: list[dict[str, Any]] = field(default_factory=list)

    def select(
        self,
        *,
        rank: Rank | None = None,
        stream: str | None = None,
        from_s: float = 0.0,
        to_s: float = float("inf"),
    ) -> list[Record]:
        """Return the requests that arrived in a window."""
        return [
            one
            for one in self.requests
            if from_s <= one.at_s < to_s
            and (rank is None or one.rank is rank)
            and (stream is None or one.stream == stream)
        ]

    def goodput(
        self,
        *,
        from_s: float,
        to_s: float,
        rank: Rank | None = None,
        stream: str | None = None,
    ) -> float:
        """Return correct answers a second that ended in a window."""
        count = sum(
            one.result is Result.CORRECT
            and from_s <= one.end_s < to_s
            and (rank is None or one.rank is rank)
            and (stream is None or one.stream == stream)
            for one in self.requests
        )
        return count / (to_s - from_s)

    def write(self, path: Path) -> None:
        """Write the records as JSON."""
        rows = [
            {**asdict(one), "rank": one.rank.value, "result": one.result.value}
            for one in self.requests
        ]
        document = {"requests": rows, "faults": self.faults, "samples": self.samples}
        path.write_text(json.dumps(document), encoding="utf-8")


def read_records(paths: Iterable[Path]) -> Records:
    """Read and join the records of all parts of a run."""
    joined = Records()
    for path in paths:
        document = json.loads(path.read_text(encoding="utf-8"))
        joined.faults += document["faults"]
        joined.samples += document["samples"]
        for row in document["requests"]:
            row["rank"] = Rank(row["rank"])
            row["result"] = Result(row["result"])
            joined.requests.append(Record(**row))
    return joined


def ok_part(records: Sequence[Record]) -> float:
    """Return the part answered correctly within the agreed wait; 1 for none."""
    if not records:
        return 1.0
    return sum(one.result is Result.CORRECT for one in records) / len(records)


def histograms(records: Iterable[Record]) -> dict[Rank, HdrHistogram]:
    """Return the latency of correct answers by rank, in microseconds."""
    found: defaultdict[Rank, HdrHistogram] = defaultdict(
        lambda: HdrHistogram(1, HIGHEST_MICROSECONDS, DIGITS)
    )
    for one in records:
        if one.result is Result.CORRECT:
            found[one.rank].record_value(max(1, int(one.seconds * 1e6)))
    return dict(found)
