"""Graceful shutdown of entry processes in the presence of load and faults."""

from __future__ import annotations

import asyncio
import re
import signal

from aiohttp import ClientError, ClientTimeout

from bench.fleet import STOP_TIMEOUT_S, Fleet

FAST_SETTINGS = {"lookup_ttl_s": 0.3, "heartbeat_s": 0.3, "stop_grace_s": 3.0}
LONG_GRACE_SETTINGS = FAST_SETTINGS | {"stop_grace_s": 6.0}
ANNOUNCEMENT_S = 1.0
"""Seconds after SIGTERM at which an entry with fast settings stops to listen."""

SLOW_MS = {"katalogs": 3500.0}


async def get_status(fleet: Fleet, entry: str, path: str, **headers: str) -> str:
    """Return the status of a complete response, or the class name of the error."""
    url = f"{fleet.entry_url(entry)}{path}"
    try:
        async with fleet.session.get(url, headers=headers) as response:
            await response.read()
            return str(response.status)
    except (ClientError, OSError, TimeoutError) as error:
        return type(error).__name__


async def count_runs(fleet: Fleet, service: str) -> int:
    """Return the number of requests that the instances of a service have run."""
    return sum(
        stats["ran"]
        for name, stats in (await fleet.instance_stats()).items()
        if name.startswith(service)
    )


async def wait_for_exit(fleet: Fleet, entry: str) -> int:
    """Wait for an entry to exit and return its exit status."""
    async with asyncio.timeout(STOP_TIMEOUT_S):
        return await fleet.processes[entry].wait()


async def test_repeated_sigterm_still_finishes_requests_and_exits_with_zero():
    """Only the first signal starts the shutdown; the others must not shorten it."""
    async with Fleet(
        "riga", entries=2, service_ms=SLOW_MS, settings=LONG_GRACE_SETTINGS
    ) as fleet:
        headers = {"Masticdeck-Timeout-Ms": "5000"}
        request_tasks = [
            asyncio.create_task(
                get_status(fleet, "entry-1", "/service/katalogs/x", **headers)
            )
            for _ in range(5)
        ]
        await asyncio.sleep(0.3)
        for _ in range(3):
            fleet.processes["entry-1"].terminate()
            await asyncio.sleep(0.05)
        late_status = await get_status(fleet, "entry-1", "/service/krajums/late")
        assert await asyncio.gather(*request_tasks) == ["200"] * 5
        assert late_status == "200"
        assert await wait_for_exit(fleet, "entry-1") == 0


async def test_request_longer_than_the_announcement_is_finished():
    """The entry must wait for requests that still run when it stops listening."""
    settings = FAST_SETTINGS | {"stop_grace_s": 15.0}
    service_ms = {"katalogs": 6000.0}
    async with Fleet(
        "riga", entries=2, service_ms=service_ms, settings=settings
    ) as fleet:
        url = f"{fleet.entry_url('entry-1')}/service/katalogs/x"
        headers = {"Masticdeck-Timeout-Ms": "12000"}
        timeout = ClientTimeout(total=20)

        async def send_request() -> int:
            async with fleet.session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                return response.status

        request_task = asyncio.create_task(send_request())
        while not any(
            stats["in_flight"] for stats in (await fleet.instance_stats()).values()
        ):
            await asyncio.sleep(0.02)
        fleet.processes["entry-1"].terminate()
        assert await request_task == 200
        assert await wait_for_exit(fleet, "entry-1") == 0


async def test_late_request_that_may_outlast_the_stop_is_refused():
    """Guards against a request that is passed on and cut at the end of the stop."""
    settings = FAST_SETTINGS | {"stop_grace_s": 8.0}
    async with Fleet("riga", entries=2, settings=settings) as fleet:
        entry = fleet.deployment["entries"][0]
        reader, writer = await asyncio.open_connection(
            entry["host"], entry["http_port"]
        )
        request = (
            b"POST /service/katalogs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
        )
        writer.write(request + b"\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        assert head.startswith("HTTP/1.1 200")
        length = int(re.search(r"Content-Length: (\d+)", head)[1])
        await reader.readexactly(length)
        ran = await count_runs(fleet, "katalogs")
        # Keeps the entry from ending before the late request.
        for instance in fleet.deployment["instances"]:
            await fleet.control_instance(instance["id"], service_ms=2_000)
        kept = asyncio.create_task(
            get_status(
                fleet,
                "entry-1",
                "/service/krajums/x",
                **{"Masticdeck-Timeout-Ms": "4000"},
            )
        )
        await asyncio.sleep(0.3)
        fleet.processes["entry-1"].terminate()
        await asyncio.sleep(ANNOUNCEMENT_S)
        writer.write(request + b"Masticdeck-Timeout-Ms: 20000\r\n\r\n")
        async with asyncio.timeout(0.5):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        assert head.startswith("HTTP/1.1 503")
        assert "Masticdeck-Outcome: not-run" in head
        assert "Connection: close" in head
        assert await count_runs(fleet, "katalogs") == ran
        writer.close()
        assert await kept == "200"
        assert await wait_for_exit(fleet, "entry-1") == 0


async def test_leaving_entry_serves_while_other_entries_omit_it_from_lookups():
    settings = FAST_SETTINGS | {"lookup_ttl_s": 4.0}
    async with Fleet("riga", entries=3, settings=settings) as fleet:
        fleet.processes["entry-1"].terminate()
        url = f"{fleet.entry_url('entry-2')}/lookup?service=katalogs"
        async with asyncio.timeout(3.5):
            names = {"entry-1"}
            while "entry-1" in names:
                async with fleet.session.get(url) as response:
                    names = {
                        entry["id"] for entry in (await response.json())["entries"]
                    }
        assert await get_status(fleet, "entry-1", "/service/katalogs/x") == "200"
        assert await wait_for_exit(fleet, "entry-1") == 0


async def test_shutdown_with_the_store_unreachable_exits_with_zero():
    async with Fleet("riga", entries=2, settings=FAST_SETTINGS) as fleet:
        await fleet.control_platform(down=True)
        assert await fleet.terminate("entry-1") == 0


async def test_shutdown_with_a_stalled_caller_or_backend_ends_within_the_grace_period():
    """A caller that stops reading and a slow backend must not block the exit."""
    service_ms = {"katalogs": 60_000.0}
    async with Fleet(
        "riga", entries=2, service_ms=service_ms, settings=FAST_SETTINGS
    ) as fleet:
        entry_node = fleet.deployment["entries"][0]
        reader, writer = await asyncio.open_connection(
            entry_node["host"], entry_node["http_port"], limit=1024
        )
        writer.write(b"GET /service/raksti/bytes/90000000 HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        headers = {"Masticdeck-Timeout-Ms": "60000"}
        request_task = asyncio.create_task(
            get_status(fleet, "entry-2", "/service/katalogs/x", **headers)
        )
        await asyncio.sleep(0.3)
        shutdowns = [fleet.terminate(entry) for entry in fleet.entry_ids]
        assert await asyncio.gather(*shutdowns) == [0, 0]
        await request_task
        writer.close()


async def test_sigterm_during_startup_exits_with_zero_or_by_the_signal():
    """A slow platform keeps the entry in its startup when the signal arrives."""
    async with Fleet(
        "riga", entries=1, backends=False, settings=FAST_SETTINGS
    ) as fleet:
        await fleet.control_platform(slow_s=1.5)
        await fleet.kill("entry-1")
        killed_process = fleet.processes["entry-1"]
        start_task = asyncio.create_task(fleet.start_entry("entry-1"))
        while fleet.processes["entry-1"] is killed_process:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.9)
        fleet.processes["entry-1"].terminate()
        assert await wait_for_exit(fleet, "entry-1") in (0, -signal.SIGTERM)
        start_task.cancel()


async def test_stopped_entry_hands_over_its_order_records():
    """With home and witness gone, the other entries must return the same response."""
    async with Fleet("riga", entries=4, settings=FAST_SETTINGS) as fleet:
        url = f"{fleet.entry_url('entry-1')}/lookup?service=pasutijumi"
        witness = "-"
        while witness == "-":
            async with fleet.session.get(url) as response:
                key = (await response.json())["home"] + ".spoon"
            witness = key.split(".")[3]
        other_entries = [entry for entry in fleet.entry_ids[1:] if entry != witness]
        responses = [await send_order(fleet, "entry-1", key)]
        assert await fleet.terminate("entry-1") == 0
        await fleet.kill(witness)
        responses += [await send_order(fleet, entry, key) for entry in other_entries]
        assert responses[0][0] == 200
        assert responses == [responses[0]] * 3
        assert sum((await fleet.runs_by_key()).values()) == 1


async def send_order(fleet: Fleet, entry: str, key: str) -> tuple[int, bytes]:
    """Send an order and return the status and the body of its response."""
    url = f"{fleet.entry_url(entry)}/service/pasutijumi/orders"
    headers = {"Idempotency-Key": key}
    async with fleet.session.post(url, data="a", headers=headers) as response:
        return response.status, await response.read()
