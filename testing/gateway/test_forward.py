"""Requests through an entry: what instances receive and callers get back."""

from __future__ import annotations

import asyncio

import pytest

from masticdeck.events import Code
from masticdeck.transport import http1_server
from testing.gateway.world import read_answer, route
from testing.platform.standin_instance import answer_well

BIG = 300_000


async def shed(instance, request, writer):
    writer.write(instance.head(request, 503, 0, "Not-Executed: 1"))


async def fail(instance, request, writer):
    writer.write(instance.head(request, 500, 4) + b"oops")


async def reset(instance, request, writer):
    writer.transport.abort()
    raise ConnectionResetError


async def cut_short(instance, request, writer):
    writer.write(instance.head(request, 200, 10) + b"half")
    await writer.drain()
    writer.close()
    raise ConnectionResetError


async def unsigned(instance, request, writer):
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\nContent-Length: 2\r\n\r\n"
    writer.write(head.encode() + b"ok")


async def never(instance, request, writer):
    await asyncio.sleep(60)


async def foreign_first(instance, request, writer):
    other = instance.head(request, 200, 5).replace(request.id.encode(), b"other")
    writer.write(other + b"wrong")
    await answer_well(instance, request, writer)


def set_all(world, act):
    for instance in world.instances.values():
        instance.act = act


def received(world):
    return [one for each in world.instances.values() for one in each.requests]


async def test_request_reaches_an_instance_unchanged_and_the_answer_comes_back(world):
    answer = await world.ask("/u/a%20b?c=d", method="POST", body=b"spoons")
    [request] = received(world)
    assert (request.method, request.target) == ("POST", "/u/a%20b?c=d")
    assert request.body == b"spoons"
    assert answer.status == 200
    assert answer.headers["server-signature"] == "signed"
    assert answer.body.endswith(b"/u/a%20b?c=d")


async def test_instance_is_named_and_time_left_is_counted_down(world):
    await world.ask("/s/a", remaining_ms=1500)
    [request] = received(world)
    assert request.headers["expected-instance"] in ("s1", "s2")
    assert 1000 < int(request.headers["deadline-remaining-ms"]) <= 1500


async def test_time_left_is_bounded_by_the_route(world):
    await world.ask("/s/a", remaining_ms=60_000)
    [request] = received(world)
    assert int(request.headers["deadline-remaining-ms"]) <= 2000


async def test_chunked_body_arrives_with_its_length(world):
    reader, writer = await world.connect()
    head = world.request_bytes(
        "/u/a", method="POST", extra="Transfer-Encoding: chunked"
    )
    writer.write(head + b"3\r\nspo\r\n3\r\nons\r\n0\r\n\r\n")
    assert (await read_answer(reader)).status == 200
    [request] = received(world)
    assert request.body == b"spoons"
    assert "transfer-encoding" not in request.headers
    writer.close()


async def test_pipelined_requests_are_answered_in_order(world):
    delays = iter([0.1, 0.0, 0.05])

    async def act(instance, request, writer):
        await asyncio.sleep(next(delays))
        await answer_well(instance, request, writer)

    set_all(world, act)
    reader, writer = await world.connect()
    targets = [f"/s/{number}" for number in range(3)]
    writer.write(b"".join(world.request_bytes(target) for target in targets))
    answers = [await read_answer(reader) for _ in targets]
    assert [one.body.split()[1].decode() for one in answers] == targets
    writer.close()


@pytest.mark.parametrize(
    ("act", "status"),
    [
        pytest.param(shed, 200, id="shed"),
        pytest.param(fail, 200, id="failed"),
        pytest.param(reset, 200, id="reset"),
        pytest.param(cut_short, 200, id="cut short"),
        pytest.param(unsigned, 200, id="unsigned"),
    ],
)
async def test_safe_request_is_sent_to_another_instance(world, act, status):
    asked: list[str] = []

    async def once(instance, request, writer):
        asked.append(instance.id)
        await (act if len(asked) == 1 else answer_well)(instance, request, writer)

    set_all(world, once)
    assert (await world.ask("/s/a")).status == status
    assert sorted(asked) == ["s1", "s2"]


@pytest.mark.parametrize(
    "act",
    [
        pytest.param(reset, id="reset"),
        pytest.param(cut_short, id="cut short"),
        pytest.param(unsigned, id="unsigned"),
    ],
)
async def test_unsafe_request_of_unknown_outcome_runs_once_and_is_no_refusal(
    world, act
):
    set_all(world, act)
    answer = await world.ask("/u/a", method="POST", body=b"x")
    assert answer.status == 502
    assert len(received(world)) == 1


async def test_unsafe_request_that_was_shed_is_sent_to_another_instance(world):
    asked: list[str] = []

    async def shed_once(instance, request, writer):
        asked.append(instance.id)
        await (shed if len(asked) == 1 else answer_well)(instance, request, writer)

    set_all(world, shed_once)
    assert (await world.ask("/u/a", method="POST", body=b"x")).status == 200
    assert sorted(asked) == ["u1", "u2"]


async def test_request_that_every_instance_shed_is_refused_with_a_time_to_return(world):
    set_all(world, shed)
    answer = await world.ask("/u/a", method="POST", body=b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert "server-signature" not in answer.headers


async def test_refusal_is_logged_with_what_led_to_it(world):
    set_all(world, shed)
    await world.ask("/u/a", method="POST", body=b"x", key="7")
    [refused] = [
        event for event in world.events.ring if event.code is Code.REQUEST_REFUSED
    ]
    assert refused.fields["service"] == "u"
    assert refused.fields["key"] == "7"
    assert refused.fields["candidates"] == "0"
    assert int(refused.fields["left_ms"]) > 0
    assert refused.fields["reason"] == "shed"


async def test_unsafe_failure_of_an_instance_is_passed_on(world):
    set_all(world, fail)
    answer = await world.ask("/u/a", method="POST", body=b"x")
    assert (answer.status, answer.body) == (500, b"oops")
    assert answer.headers["server-signature"] == "signed"


async def test_answer_to_another_request_is_not_passed_on(world):
    set_all(world, foreign_first)
    answer = await world.ask("/u/a", method="POST", body=b"x")
    assert answer.body.endswith(b" /u/a")


async def test_silent_instance_ends_in_504_at_the_routes_timeout(world):
    world.configure(route("/s/", "safe", "s", timeout="300ms", max_attempts=1))
    await world.settle()
    set_all(world, never)
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert (await world.ask("/s/a")).status == 504
    assert 0.25 < loop.time() - began < 0.8


async def test_caller_that_leaves_cancels_the_work_at_the_instance(world):
    set_all(world, never)
    _, writer = await world.connect()
    writer.write(world.request_bytes("/s/a"))
    async with asyncio.timeout(5):
        while not received(world):
            await asyncio.sleep(0.01)
        writer.close()
        while not sum(one.cancelled for one in world.instances.values()):
            await asyncio.sleep(0.01)
    assert any(one.code is Code.REQUEST_ABANDONED for one in world.events.ring)


async def test_large_answer_is_streamed_whole(world):
    async def large(instance, request, writer):
        writer.write(instance.head(request, 200, BIG) + b"x" * BIG)

    set_all(world, large)
    assert len((await world.ask("/s/a")).body) == BIG


async def test_large_answer_that_breaks_midway_does_not_look_complete(world):
    async def broken(instance, request, writer):
        writer.write(instance.head(request, 200, BIG) + b"x" * (BIG // 2))
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    set_all(world, broken)
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await world.ask("/s/a")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"rubbish\r\n\r\n", 400, id="not http"),
        pytest.param(b"GET /s/a HTTP/1.1\r\n\r\n", 400, id="no host"),
        pytest.param(
            b"GET /s/a HTTP/1.1\r\nHost: a.example\r\nHost: b\r\n\r\n",
            400,
            id="two hosts",
        ),
        pytest.param(b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", 404, id="no route"),
        pytest.param(
            b"GET /s/a HTTP/1.1\r\nHost: a.example\r\nA: " + b"x" * 5000 + b"\r\n\r\n",
            431,
            id="long head",
        ),
        pytest.param(
            b"POST /u/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10001\r\n\r\n",
            413,
            id="long body",
        ),
        pytest.param(
            b"POST /u/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="two lengths",
        ),
        pytest.param(
            b"GET /s/a HTTP/1.1\r\nHost: a.example\r\n"
            b"Deadline-Remaining-Ms: soon\r\n\r\n",
            400,
            id="odd time left",
        ),
    ],
)
async def test_improper_request_gets_its_status_and_reaches_no_instance(
    world, data, status
):
    reader, writer = await world.connect()
    writer.write(data)
    assert (await read_answer(reader)).status == status
    assert received(world) == []
    writer.close()


async def test_head_that_arrives_too_slowly_is_rejected(world):
    reader, writer = await world.connect()
    writer.write(b"GET /s/a HTTP/1.1\r\nHost: a.ex")
    async with asyncio.timeout(5):
        assert (await read_answer(reader)).status == 408
    writer.close()


async def test_two_sent_attempts_at_most_by_the_route(world):
    set_all(world, reset)
    assert (await world.ask("/s/a")).status == 502
    assert len(received(world)) == 2


async def test_requests_for_one_key_go_to_one_instance(world):
    world.configure(route("/s/", "safe", "s", sticky_sessions=True))
    await world.settle()
    for _ in range(5):
        await world.ask("/s/a", key="17")
    assert len({one.headers["expected-instance"] for one in received(world)}) == 1


async def test_safe_request_leaves_an_instance_that_fell_silent(world):
    for _ in range(4):
        await world.ask("/s/a")
    asked: list[str] = []

    async def silent_once(instance, request, writer):
        asked.append(instance.id)
        await (never if len(asked) == 1 else answer_well)(instance, request, writer)

    set_all(world, silent_once)
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert (await world.ask("/s/a")).status == 200
    assert loop.time() - began < 1.5
    assert sorted(asked) == ["s1", "s2"]


async def late(instance, request, writer):
    await asyncio.sleep(1.0)
    await answer_well(instance, request, writer)


async def test_request_stays_with_a_silent_instance_while_no_other_has_room(world):
    for _ in range(4):
        await world.ask("/s/a")
    world.store.remove("servers/s2")
    await world.settle()
    set_all(world, late)
    before = len(received(world))
    assert (await world.ask("/s/a")).status == 200
    assert len(received(world)) == before + 1


async def test_request_of_a_stopping_entry_stays_with_a_silent_instance(world):
    for _ in range(4):
        await world.ask("/s/a")
    world.gateway.directory.leaving = True
    set_all(world, late)
    before = len(received(world))
    assert (await world.ask("/s/a")).status == 200
    assert len(received(world)) == before + 1


async def test_unsafe_request_stays_with_a_silent_instance(world):
    for _ in range(4):
        await world.ask("/u/a", method="POST", body=b"x")
    before = len(received(world))
    set_all(world, never)
    answer = await world.ask("/u/a", method="POST", body=b"x", remaining_ms=800)
    assert answer.status == 504
    assert len(received(world)) == before + 1


async def test_body_beyond_the_memory_of_all_bodies_is_refused(world, monkeypatch):
    monkeypatch.setattr(http1_server, "MOST_BODY_BYTES", 1000)
    answer = await world.ask("/u/a", method="POST", body=b"x" * 1500)
    assert answer.status == 503
    assert received(world) == []
    for _ in range(3):
        answer = await world.ask("/u/a", method="POST", body=b"x" * 900)
        assert answer.status == 200
    assert world.gateway.caller_server.body_bytes == 0
