"""The time line over processes: order, filters, and processes that die."""

from __future__ import annotations

import pytest

from bench.fleet import Fleet
from masticdeck.clock import HybridClock
from masticdeck.events import Code, Event, EventLog
from masticdeck.protocol.event_feed import (
    EventFeedInvalid,
    decode_events,
    decode_log,
    encode_events,
    select_events,
)
from masticdeck.state.timeline import Filter, Timeline


def test_answer_to_a_message_is_stamped_after_it_with_a_slow_wall_clock():
    fast, slow = HybridClock(), HybridClock()
    fast.last += 1 << 60
    sent = fast.stamp()
    slow.receive(sent)
    assert slow.stamp() > sent


def test_ring_keeps_the_latest_events():
    log = EventLog("entry-1", HybridClock(), capacity=3)
    for number in range(5):
        log.emit(Code.REQUEST_SENT, request=number)
    assert [event.fields["request"] for event in log.ring] == ["2", "3", "4"]


def test_events_survive_the_feed_unchanged():
    log = EventLog("entry-1", HybridClock())
    event = log.emit(Code.REQUEST_SENT, request="r\n1", instance="katalogs-1")
    assert list(decode_events(encode_events([event]))) == [event]


@pytest.mark.parametrize(
    "body",
    [b"{", b"[1]", b"[1,2,3,4]", b"\xff", b'["x","p",100,{}]'],
    ids=["not json", "short", "wrong types", "not text", "stamp not a number"],
)
def test_malformed_feed_is_a_coded_error(body: bytes):
    with pytest.raises(EventFeedInvalid, match="MD8001"):
        list(decode_events(body))


def test_selection_continues_after_a_stamp():
    events = [Event(stamp, "p", Code.REQUEST_SENT, {}) for stamp in range(1, 5)]
    assert [event.stamp for event in select_events(events, 2)] == [3, 4]


def test_filter_follows_one_request_over_processes():
    timeline = Timeline()
    timeline.add([Event(3, "b", Code.REQUEST_ANSWERED, {"request": "r1"})])
    timeline.add([Event(1, "a", Code.REQUEST_RECEIVED, {"request": "r1"})])
    timeline.add([Event(2, "a", Code.REQUEST_RECEIVED, {"request": "r2"})])
    chosen = timeline.ordered(Filter(subjects={"request": "r1"}))
    assert [(event.process, event.stamp) for event in chosen] == [("a", 1), ("b", 3)]


async def test_time_line_goes_on_when_a_process_dies():
    async with Fleet("riga", entries=2) as fleet:
        for entry in fleet.entry_ids:
            url = f"{fleet.entry_url(entry)}/service/katalogs/x"
            async with fleet.session.get(url) as response:
                assert response.status == 200
        await fleet.kill("entry-2")
        page = fleet.folder / "page.html"
        await fleet.spawn(
            "timeline",
            "masticdeck.programs.timeline",
            f"--deployment={fleet.deployment_path}",
            f"--html={page}",
            "--code=501",
        )
        assert await fleet.processes["timeline"].wait() == 0
        assert "entry-1" in fleet.log("timeline")
        assert "<svg" in page.read_text(encoding="utf-8")


def test_log_lines_of_a_process_are_read_as_they_are():
    line = (
        b'{"time": 1.5, "level": "info", "event": "request_sent", "code": 501, '
        b'"process": "entry-1", "stamp": 77, "fields": {"request": "r1"}}'
    )
    body = b"\n".join(
        [line, b"12.5 host " + line, b'{"event": "lines_left_out"}', b"x"]
    )
    event = Event(77, "entry-1", Code.REQUEST_SENT, {"request": "r1"})
    assert list(decode_log(body)) == [event, event]
