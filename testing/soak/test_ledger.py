"""Each promise of the soak is seen to be broken, and only then."""

from __future__ import annotations

import pytest

from soak.ledger import Asked, ColdSpan, KeySpan, Ledger, QuotaBound, Ran, Rest


def ledger(asked: Asked, *ran: Ran, **fields) -> Ledger:
    return Ledger(asked={asked.id: asked}, ran=list(ran), **fields)


def asked(**fields) -> Asked:
    values = {
        "id": "id-1",
        "unsafe": True,
        "entry": "entry-0#1",
        "sent_at": 100.0,
        "status": 200,
        "body": b"id-1 s1",
        "signed": True,
        "ended_at": 100.2,
    }
    return Asked(**{**values, **fields})


def ran(**fields) -> Ran:
    values = {
        "id": "id-1",
        "instance": "s1",
        "service": "s",
        "target": "/u/a",
        "at": 100.1,
    }
    return Ran(**{**values, **fields})


LOST = asked(status=0, body=b"", signed=False)

NOTICE = {"passed_on_leaving": {("entry-0#1", "s1"): 97.0}, "arrivals": [ran()]}
RESTED = Rest("entry-0#1", "s1", 99.0, 101.0)


def arrivals(count: int, *, first: float, last: float, **fields) -> list[Ran]:
    step_s = (last - first) / (count - 1)
    return [ran(at=first + number * step_s, **fields) for number in range(count)]


COLD = ColdSpan("s1", 99.0, 102.0)

KEYED = asked(key="k", unsafe=False)


def keyed(request: Asked, run: Ran | None, *spans: tuple[str, float, float]) -> Ledger:
    """Return what was seen of a request while workspaces had its key ``k``."""
    key_spans = [KeySpan("k", *span) for span in spans]
    runs = [] if run is None else [run]
    return ledger(request, *runs, has_workspaces=True, key_spans=key_spans)


def quota_of(requests: int) -> Ledger:
    """Return a workspace of whose requests eleven have run in a window."""
    seen = Ledger(quotas={"red": QuotaBound(5.0, requests)})
    for number in range(11):
        name = f"id-{number}"
        seen.asked[name] = asked(
            id=name, sent_at=100 + number * 0.45, body=name.encode()
        )
        seen.ran.append(ran(id=name, workspace="red"))
    return seen


CASES = [
    pytest.param(
        keyed(KEYED, ran(workspace="red"), ("red", 90.0, 95.1)),
        None,
        id="key removed less than the bound before",
    ),
    pytest.param(
        keyed(KEYED, ran(workspace="red"), ("red", 90.0, 94.9)),
        "WORKSPACE",
        id="key removed longer ago than the bound",
    ),
    pytest.param(
        keyed(KEYED, ran(workspace="blue"), ("red", 90.0, 200.0)),
        "WORKSPACE",
        id="name of another workspace",
    ),
    pytest.param(
        keyed(KEYED, ran(workspace="red"), ("red", 100.2, 200.0)),
        "WORKSPACE",
        id="run before the key was added",
    ),
    pytest.param(
        keyed(asked(unsafe=False), ran(workspace="red"), ("red", 90.0, 200.0)),
        "WORKSPACE",
        id="run without a key",
    ),
    pytest.param(
        keyed(KEYED, ran(target="/p/a"), ("red", 90.0, 200.0)), None, id="public route"
    ),
    pytest.param(
        keyed(KEYED, ran(target="/p/a", workspace="red"), ("red", 90.0, 200.0)),
        "WORKSPACE",
        id="name on a public route",
    ),
    pytest.param(
        keyed(
            asked(key="k", status=401, body=b""),
            None,
            ("red", 90.0, 98.0),
            ("blue", 98.0, 200.0),
        ),
        "UNKNOWN",
        id="401 to a key that only moved",
    ),
    pytest.param(
        keyed(asked(key="k", status=401, body=b""), None, ("red", 97.5, 200.0)),
        None,
        id="401 to a key that was just added",
    ),
    pytest.param(
        ledger(KEYED, arrivals=[ran(has_key=True)]), "KEY", id="key at an instance"
    ),
    pytest.param(ledger(KEYED, leaks=["entry-0.log"]), "KEY", id="key in a log"),
    pytest.param(quota_of(10), "QUOTA", id="more than the quota in a window"),
    pytest.param(quota_of(11), None, id="the quota in a window"),
    pytest.param(
        ledger(asked(), cold=[COLD], arrivals=arrivals(12, first=99.5, last=100.49)),
        "FAILBACK",
        id="too many in a second",
    ),
    pytest.param(
        ledger(asked(), cold=[COLD], arrivals=arrivals(11, first=99.5, last=100.49)),
        None,
        id="as many in a second as a cold instance bears",
    ),
    pytest.param(
        ledger(asked(), cold=[COLD], arrivals=arrivals(12, first=99.5, last=100.5)),
        None,
        id="too many in a second and a little more",
    ),
    pytest.param(
        ledger(asked(), cold=[COLD], arrivals=arrivals(12, first=98.9, last=99.8)),
        None,
        id="some of them before it was cold",
    ),
    pytest.param(
        ledger(asked(), cold=[COLD], arrivals=arrivals(12, first=101.5, last=102.0)),
        None,
        id="the last of them when it was warm",
    ),
    pytest.param(
        ledger(
            asked(),
            cold=[COLD],
            arrivals=arrivals(12, first=99.5, last=100.4, instance="s2"),
        ),
        None,
        id="too many at another instance",
    ),
    pytest.param(
        ledger(
            asked(),
            cold=[COLD],
            arrivals=arrivals(12, first=99.5, last=100.4),
            disturbed=[(90.0, 110.0)],
            killed={"entry-0#1"},
        ),
        "FAILBACK",
        id="too many in a fault",
    ),
    pytest.param(ledger(asked(), ran(), **NOTICE), "DRAIN", id="work after a notice"),
    pytest.param(
        ledger(asked(sent_at=99.4), ran(), **NOTICE), None, id="soon after a notice"
    ),
    pytest.param(
        ledger(asked(), ran(), **NOTICE, killed={"entry-0#1"}), None, id="paused since"
    ),
    pytest.param(
        ledger(asked(), ran(), rests=[RESTED], arrivals=[ran()] * 3),
        "BUDGET",
        id="three in a rest",
    ),
    pytest.param(
        ledger(asked(), ran(), rests=[RESTED], arrivals=[ran()] * 2),
        None,
        id="two in a rest",
    ),
    pytest.param(
        ledger(asked(), ran(), rests=[RESTED], arrivals=[ran(at=99.4)] * 9),
        None,
        id="at the beginning of a rest",
    ),
    pytest.param(ledger(asked(), ran()), None, id="all well"),
    pytest.param(ledger(asked(body=b"id-2 s1"), ran()), "MIXED", id="other body"),
    pytest.param(ledger(asked(body=b""), ran()), "MIXED", id="no body"),
    pytest.param(ledger(asked(signed=False), ran()), "MIXED", id="unsigned"),
    pytest.param(ledger(asked(), ran(), ran()), "TWICE", id="unsafe twice"),
    pytest.param(ledger(asked(unsafe=False), ran(), ran()), None, id="safe twice"),
    pytest.param(ledger(asked(), ran(id="id-9")), "UNASKED", id="nobody asked"),
    pytest.param(ledger(asked(status=503), ran()), "REFUSED", id="refused and ran"),
    pytest.param(ledger(asked(status=503)), None, id="refused"),
    pytest.param(ledger(asked(status=502), ran()), None, id="unknown and ran"),
    pytest.param(
        ledger(asked(), ran(), left={"s1": 97.0}), "DRAIN", id="work after leaving"
    ),
    pytest.param(
        ledger(asked(), ran(), left={"s1": 97.0}, started={"entry-0#1": 95.0}),
        "DRAIN",
        id="work after leaving, 5 s after a start",
    ),
    pytest.param(
        ledger(asked(), ran(), left={"s1": 97.0}, started={"entry-0#1": 97.0}),
        None,
        id="work after leaving, 3 s after a start",
    ),
    pytest.param(
        ledger(asked(), ran(), left={"s1": 98.0}), None, id="work while leaving"
    ),
    pytest.param(
        ledger(asked(), ran(), left={"s1": 97.0}, disturbed=[(94.0, 95.0)]),
        None,
        id="work after leaving in a fault",
    ),
    pytest.param(
        ledger(asked(), ran(target="/v/a"), versions=[(97.0, "t")]),
        "CONFIG",
        id="old version",
    ),
    pytest.param(
        ledger(asked(), ran(target="/v/a"), versions=[(97.0, "t"), (100.05, "s")]),
        None,
        id="newer version since it was sent",
    ),
    pytest.param(
        ledger(asked(), ran(target="/v/a"), versions=[(97.0, "t"), (100.15, "s")]),
        "CONFIG",
        id="version newer than the run",
    ),
    pytest.param(
        ledger(
            asked(),
            ran(target="/v/a"),
            versions=[(90.0, "s"), (97.0, "t"), (100.05, "t")],
        ),
        "CONFIG",
        id="older version in spite of a newer one",
    ),
    pytest.param(
        ledger(asked(), ran(target="/v/a"), versions=[(98.0, "t")]),
        None,
        id="version on its way",
    ),
    pytest.param(
        ledger(LOST, ran(), planned_stops={"entry-0#1": (99.0, 105.0)}),
        "LOST",
        id="cut by a stop",
    ),
    pytest.param(
        ledger(
            asked(status=0, body=b"", signed=False, ended_at=102.0),
            ran(),
            planned_stops={"entry-0#1": (99.0, 105.0)},
            endless={"id-1"},
        ),
        None,
        id="endless answer cut at the deadline in a stop",
    ),
    pytest.param(
        ledger(
            LOST,
            ran(),
            planned_stops={"entry-0#1": (99.0, 105.0)},
            endless={"id-1"},
        ),
        "LOST",
        id="endless answer cut early by a stop",
    ),
    pytest.param(
        ledger(
            asked(status=0, body=b"", signed=False, ended_at=102.0),
            ran(),
            planned_stops={"entry-0#1": (99.0, 105.0)},
        ),
        "LOST",
        id="answer cut at the deadline in a stop",
    ),
    pytest.param(
        ledger(
            LOST,
            ran(),
            planned_stops={"entry-0#1": (99.0, 105.0)},
            killed={"entry-0#1"},
        ),
        None,
        id="cut by a kill in a stop",
    ),
    pytest.param(
        ledger(asked(), planned_stops={"entry-0#1": (9, 15)}, exits={"entry-0#1": 1}),
        "STOP",
        id="stop that failed",
    ),
    pytest.param(
        ledger(asked(), exits={"entry-0#1": -15}), "STOP", id="stop by the signal"
    ),
    pytest.param(
        ledger(asked(), exits={"entry-0#1": -15}, early_stops={"entry-0#1"}),
        None,
        id="stop by the signal before it was ready",
    ),
]


@pytest.mark.parametrize(("seen", "breach"), CASES)
def test_promise_is_judged_from_what_was_seen(seen, breach):
    names = [text.split()[0] for text in seen.breaches()]
    assert names == ([] if breach is None else [breach])


def test_instance_that_becomes_cold_while_it_is_cold_has_one_span():
    seen = Ledger()
    seen.chill("s1", 100.0, 103.0)
    seen.chill("s1", 102.0, 105.0)
    seen.chill("s1", 105.0, 108.0)
    assert seen.cold == [ColdSpan("s1", 100.0, 105.0), ColdSpan("s1", 105.0, 108.0)]


def test_cold_time_and_rests_end_with_their_incarnation():
    rest = Rest("entry-0#1", "s1", 99.0, 101.0)
    other_rest = Rest("entry-0#1", "s2", 99.0, 101.0)
    seen = Ledger(rests=[rest, other_rest])
    seen.chill("s1", 99.0, 102.0)
    seen.end("s1", 100.0)
    assert seen.cold == [ColdSpan("s1", 99.0, 100.0)]
    assert (rest.until, other_rest.until) == (100.0, 101.0)
