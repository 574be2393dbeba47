"""The callers' library: entries that leave, retries, orders, foreign answers."""

from __future__ import annotations

import asyncio
import sys

import pytest
from aiohttp import web

from bench.fleet import ROOT, Fleet, free_ports
from masticdeck.client import AnswerLost, Client, NoEntryAnswers
from masticdeck.ids import Outcome, ServiceId


@pytest.fixture
async def fleet():
    async with Fleet("riga", entries=3) as one:
        yield one


async def test_client_moves_on_when_its_entry_dies_and_repeats_no_order(fleet):
    urls = [fleet.entry_url(name) for name in fleet.entry_ids]
    async with Client(urls, client="10.0.0.1") as client:
        first = await client.request("katalogs", "/spoons")
        assert first.status == 200
        placed = await client.order("pasutijumi", "/orders", body=b"birch")
        again = await client.order(
            "pasutijumi", "/orders", body=b"birch", key=placed.key
        )
        assert (placed.status, again.body) == (200, placed.body)
        await fleet.kill(first.entry)
        second = await client.request("katalogs", "/spoons")
        assert second.status == 200
        assert second.entry != first.entry
    stats = await fleet.instance_stats()
    assert all(not one["ran_twice"] for one in stats.values())


async def test_example_runs(fleet):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "examples" / "call.py"),
        fleet.entry_url("entry-1"),
        stdout=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": str(ROOT / "src")},
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    assert output.decode().count("200") == 2


class FakeEntry:
    """An entry whose answers the test chooses."""

    def __init__(self) -> None:
        self.port = free_ports(1)[0]
        self.url = f"http://127.0.0.1:{self.port}"
        self.requests: list[web.BaseRequest] = []
        self.answer = self.echo

    async def echo(self, request: web.BaseRequest) -> web.Response:
        fields = {"Masticdeck-Echo": request.headers["Masticdeck-Echo"]}
        return web.Response(text="ok", headers=fields)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/lookup":
            entry = {"id": "fake", "url": self.url}
            home = "H.fake.1.-.0.1"
            return web.json_response({"ttl_s": 5, "entries": [entry], "home": home})
        self.requests.append(request)
        return await self.answer(request)


@pytest.fixture
async def fake():
    one = FakeEntry()
    runner = web.ServerRunner(web.Server(one.handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", one.port).start()
    yield one
    await runner.cleanup()


async def break_off(request: web.BaseRequest) -> web.Response:
    request.transport.abort()
    return web.Response()


@pytest.mark.parametrize(
    ("method", "sent"), [("GET", 2), ("PUT", 2), ("POST", 1), ("PATCH", 1)]
)
async def test_only_idempotent_requests_are_repeated_after_a_break(fake, method, sent):
    fake.answer = break_off
    async with Client([fake.url]) as client:
        with pytest.raises(AnswerLost, match="MD2012"):
            await client.request("katalogs", "/a", method=method)
    assert len(fake.requests) == sent


async def test_retries_stay_within_a_tenth_of_the_requests(fake):
    fake.answer = break_off
    async with Client([fake.url]) as client:
        for _ in range(50):
            with pytest.raises(AnswerLost):
                await client.request("katalogs", "/a")
    assert len(fake.requests) <= 50 + 50 // 10 + 1


async def test_refused_request_is_repeated_although_it_is_not_idempotent(fake):
    async def refuse_first(request: web.BaseRequest) -> web.Response:
        response = await fake.echo(request)
        if len(fake.requests) == 1:
            response.set_status(503)
            response.headers["Masticdeck-Outcome"] = "not-run"
        return response

    fake.answer = refuse_first
    async with Client([fake.url]) as client:
        answer = await client.request("katalogs", "/a", method="POST", body=b"x")
    assert (answer.status, len(fake.requests)) == (200, 2)


async def test_refused_order_is_not_repeated_under_its_key(fake):
    async def refuse(request: web.BaseRequest) -> web.Response:
        response = await fake.echo(request)
        response.headers["Masticdeck-Outcome"] = "not-run"
        return response

    fake.answer = refuse
    async with Client([fake.url]) as client:
        answer = await client.order("pasutijumi", "/a", body=b"x")
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.key is not None
    assert answer.key.startswith("H.fake.1.-.0.1.")
    assert len(fake.requests) == 1


async def test_answer_to_another_request_is_not_taken(fake):
    async def cross(request: web.BaseRequest) -> web.Response:
        return web.Response(text="other", headers={"Masticdeck-Echo": "other"})

    fake.answer = cross
    async with Client([fake.url]) as client:
        with pytest.raises(AnswerLost, match="another request"):
            await client.request("katalogs", "/a", method="POST")


async def test_no_entry_at_all_is_a_coded_error():
    async with Client([f"http://127.0.0.1:{free_ports(1)[0]}"]) as client:
        with pytest.raises(NoEntryAnswers, match="MD2010"):
            await client.look_up(ServiceId("katalogs"))
