"""Experiment files, moving weights, checks of answers, records and the report."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hdrh.histogram import HdrHistogram

from masticdeck.errors import SettingsInvalid
from masticdeck.ids import Rank
from masticdeck.load.caller import check_small
from masticdeck.load.experiment import load_experiment
from masticdeck.load.records import Record, Records, Result, ok_part, read_records
from masticdeck.load.report import write_report

ROOT = Path(__file__).resolve().parents[2]
EXPERIMENT = {
    "name": "move",
    "duration_s": 10,
    "deployment": str(ROOT / "examples" / "riga" / "deployment.jsonc"),
    "streams": [
        {
            "name": "pages",
            "service": "katalogs",
            "rank": "urgent",
            "rate": 10,
            "wait_ms": 500,
            "regions": {"vidzeme": 1.0},
            "moved_regions": {"kurzeme": 1.0},
            "move_from_s": 2,
            "move_to_s": 4,
            "move_steps": 2,
        }
    ],
    "faults": [{"at_s": 3, "action": "kill", "target": "entry-2"}],
}


@pytest.fixture
def experiment(tmp_path):
    path = tmp_path / "experiment.jsonc"
    path.write_text("// a comment\n" + json.dumps(EXPERIMENT), encoding="utf-8")
    return load_experiment(path)


@pytest.mark.parametrize(
    ("at_s", "moved"), [(0.0, 0.0), (3.1, 0.5), (9.0, 1.0)], ids=str
)
def test_weights_move_between_regions_in_steps(experiment, at_s, moved):
    weights = experiment.streams[0].weights(at_s)
    assert weights.get("kurzeme", 0.0) == moved
    assert weights["vidzeme"] == 1.0 - moved


def test_experiment_with_an_unknown_field_is_refused(tmp_path):
    path = tmp_path / "experiment.jsonc"
    path.write_text(json.dumps({**EXPERIMENT, "speed": 1}), encoding="utf-8")
    with pytest.raises(SettingsInvalid, match="speed"):
        load_experiment(path)


@pytest.mark.parametrize(
    "changed",
    [{"nonce": "b"}, {"path": "/c"}, {"digest": "0"}],
    ids=["another request's", "another path", "cut body"],
)
def test_answer_to_another_request_is_wrong(changed):
    digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
    answer = {"path": "/a", "nonce": "a", "digest": digest}
    assert check_small(answer, "/a", b"", "a") is Result.CORRECT
    assert check_small({**answer, **changed}, "/a", b"", "a") is Result.WRONG


def test_records_of_the_parts_are_joined(tmp_path):
    for part in range(2):
        records = Records()
        result = Result.CORRECT if part else Result.REFUSED
        records.requests.append(Record(1.0, "pages", Rank.URGENT, result, 0.1))
        records.write(tmp_path / f"part-{part}.json")
    joined = read_records(sorted(tmp_path.glob("part-*.json")))
    assert ok_part(joined.select(rank=Rank.URGENT)) == 0.5
    assert joined.goodput(from_s=1.0, to_s=2.0) == 1.0


def test_report_holds_plots_and_histograms(experiment, tmp_path):
    records = Records(faults=[{"at_s": 3, "action": "kill", "target": "entry-2"}])
    for number in range(50):
        one = Record(number / 5, "pages", Rank.URGENT, Result.CORRECT, 0.1)
        records.requests.append(one)
    page = write_report(experiment, records, tmp_path).read_text(encoding="utf-8")
    assert page.count("data:image/png;base64,") == 4
    histogram = HdrHistogram.decode((tmp_path / "urgent.hdr").read_bytes())
    assert histogram.get_total_count() == 50
    assert histogram.get_value_at_percentile(50) == pytest.approx(100_000, rel=0.01)
