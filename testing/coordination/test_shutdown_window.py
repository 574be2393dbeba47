"""Which requests a stopping entry still sends to instances, without a network."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace

import pytest

from masticdeck.clock import boottime
from masticdeck.coordination.dispatch import NoCapacity
from masticdeck.coordination.shutdown_window import ShutdownWindow
from testing.coordination.test_dispatch import (
    SLOTS,
    acquire,
    build_request,
    dispatcher,  # noqa: F401
    fill,
    fleet,  # noqa: F401
    record_report,
    release,
)

STARTED_AT = 100.0
ACCEPT_UNTIL = 102.5
END_AT = 105.0
CERTAIN, NEVER = math.inf, -math.inf


@pytest.mark.parametrize(
    ("received_at", "deadline", "expected_run_s", "latest_start"),
    [
        pytest.param(90.0, 104.0, 1.0, CERTAIN, id="ends before the entry does"),
        pytest.param(104.0, 105.0, 1.0, CERTAIN, id="late, ends with the entry"),
        pytest.param(101.0, 106.0, 1.0, 103.0, id="early, likely to fit"),
        pytest.param(101.0, 106.0, 0.0, 104.5, id="early, run time unknown"),
        pytest.param(101.0, 106.0, 4.0, 97.0, id="early, does not fit"),
        pytest.param(102.6, 105.1, 0.1, NEVER, id="late, may not fit"),
    ],
)
def test_latest_start_of_a_request(received_at, deadline, expected_run_s, latest_start):
    window = ShutdownWindow()
    request = {
        "received_at": received_at,
        "deadline": deadline,
        "objective_s": 0.5,
        "expected_run_s": expected_run_s,
    }
    assert window.latest_start(**request) == math.inf
    window.begin(accept_until=ACCEPT_UNTIL, end_at=END_AT)
    assert window.latest_start(**request) == latest_start


def request_that_may_outlast_the_entry(received_s_ago: float = 0.0):
    now = boottime()
    return replace(
        build_request(timeout_s=8.0),
        received_at=now - received_s_ago,
        caller_deadline=now + 8.0,
    )


def begin(dispatcher, *, accept_s: float, end_s: float) -> None:  # noqa: F811
    now = boottime()
    dispatcher.shutdown_window.begin(accept_until=now + accept_s, end_at=now + end_s)


async def test_request_that_comes_late_in_a_stop_is_rejected_at_once(
    dispatcher,  # noqa: F811
):
    """Guards against a request that is cut at an instance when the process ends."""
    record_report(dispatcher, "one", 0)
    begin(dispatcher, accept_s=-0.1, end_s=2.0)
    async with asyncio.timeout(0.2):
        with pytest.raises(NoCapacity):
            await acquire(dispatcher, request_that_may_outlast_the_entry())
    request = request_that_may_outlast_the_entry()
    assert dispatcher.try_acquire_queued(request) is None


async def test_request_whose_deadline_passes_in_time_is_served_late_in_a_stop(
    dispatcher,  # noqa: F811
):
    record_report(dispatcher, "one", 0)
    begin(dispatcher, accept_s=-0.1, end_s=2.0)
    request = request_that_may_outlast_the_entry()
    request.caller_deadline = boottime() + 1.9
    assert await acquire(dispatcher, request) == "one"


async def test_waiting_request_is_rejected_when_a_stop_leaves_it_no_time(
    dispatcher,  # noqa: F811
):
    """Guards against a wait until the end of the process, which sends no response."""
    await fill(dispatcher)
    waiting = asyncio.create_task(
        acquire(dispatcher, request_that_may_outlast_the_entry())
    )
    certain = build_request()
    certain.caller_deadline = boottime() + 0.4
    served = asyncio.create_task(acquire(dispatcher, certain))
    await asyncio.sleep(0.05)
    begin(dispatcher, accept_s=0.1, end_s=0.5)
    dispatcher.reject_late_requests()
    async with asyncio.timeout(0.2):
        with pytest.raises(NoCapacity):
            await waiting
    release(dispatcher)
    assert await served == "one"


async def test_waiting_request_is_rejected_as_soon_as_its_time_is_over(
    dispatcher,  # noqa: F811
):
    await fill(dispatcher)
    request = request_that_may_outlast_the_entry()
    request.route = replace(request.route, objective_s=0.3)
    waiting = asyncio.create_task(acquire(dispatcher, request))
    await asyncio.sleep(0)
    begin(dispatcher, accept_s=0.2, end_s=0.6)
    started_at = boottime()
    async with asyncio.timeout(0.55):
        with pytest.raises(NoCapacity):
            await waiting
    assert boottime() - started_at >= 0.25


async def test_rejected_wait_that_is_cancelled_takes_no_slot(
    dispatcher,  # noqa: F811
):
    await fill(dispatcher)
    load = dispatcher.loads.get(dispatcher.fleet.instances["one"])
    before = load.own_requests
    waiting = asyncio.create_task(
        acquire(dispatcher, request_that_may_outlast_the_entry())
    )
    await asyncio.sleep(0.05)
    begin(dispatcher, accept_s=0.1, end_s=0.1)
    dispatcher.reject_late_requests()
    waiting.cancel()
    with pytest.raises((asyncio.CancelledError, NoCapacity)):
        await waiting
    assert load.own_requests == before >= SLOTS
