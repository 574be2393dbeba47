"""What callers get from placing and queueing, played in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from masticdeck.coordination import dispatch, placement
from masticdeck.state.routes import RouteId
from testing.coordination.load_play import Play, Tally, run_play
from testing.coordination.test_placement import build_route

SEEDS = [1, 2, 3]


def play_one_route(
    seed: int,
    monkeypatch,
    *,
    sticky: bool = True,
    instances: int = 14,
    per_s: float = 90,
    seconds: float = 20,
) -> Tally:
    """Play a service that bears its load only while most objects are known.

    Its cold capacity is 4.5 requests a second for each instance.
    """
    tallies: list[Tally] = []

    async def body() -> None:
        play = Play(seed, instances=instances, slots=4)
        route = replace(build_route(sticky=sticky), objective_s=0.6, timeout_s=1.2)
        await play.offer(route, per_s=per_s, work_s=0.88, keys=72, seconds=seconds)
        tallies.append(play.tallies[route.priority])

    run_play(body, monkeypatch)
    return tallies[0]


def play_overload(seed: int, monkeypatch) -> Tally:
    """Play nine instances with a load that they bear only with known objects."""
    return play_one_route(seed, monkeypatch, instances=9, per_s=95, seconds=25)


@pytest.mark.parametrize("seed", SEEDS)
def test_keyed_placing_serves_more_within_the_objective(seed, monkeypatch):
    keyed = play_one_route(seed, monkeypatch)
    spread = play_one_route(seed, monkeypatch, sticky=False)
    assert keyed.share_in_objective > spread.share_in_objective
    assert keyed.share_served >= spread.share_served


@pytest.mark.parametrize("seed", SEEDS)
def test_two_instances_for_a_key_serve_no_less_than_six(seed, monkeypatch):
    two = play_one_route(seed, monkeypatch)
    monkeypatch.setattr(placement, "INSTANCES_PER_KEY", 6)
    six = play_one_route(seed, monkeypatch)
    assert two.share_in_objective >= six.share_in_objective


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_requests_are_served_no_worse_than_others_in_a_flood(seed, monkeypatch):
    tallies: dict[int, Tally] = {}

    async def body() -> None:
        play = Play(seed, instances=6, slots=3)
        routes = [
            replace(
                build_route(),
                id=RouteId(f"r{priority}"),
                prefix=f"/r{priority}/",
                priority=priority,
                objective_s=0.6,
            )
            for priority in (0, 2)
        ]
        rates = (20, 160)
        await asyncio.gather(
            *(
                play.offer(route, per_s=rate, work_s=0.4, keys=24, seconds=12)
                for route, rate in zip(routes, rates, strict=True)
            )
        )
        tallies.update(play.tallies)

    run_play(body, monkeypatch)
    assert tallies[2].share_served < 1.0
    assert tallies[0].share_served >= tallies[2].share_served
    assert tallies[0].share_in_objective >= tallies[2].share_in_objective


@pytest.mark.parametrize("seed", SEEDS)
def test_fewer_runs_are_cut_when_none_is_begun_too_late(seed, monkeypatch):
    bounded = play_overload(seed, monkeypatch)
    monkeypatch.setattr(dispatch, "MAX_EXPECTED_RUN_FRACTION", 0.0)
    unbounded = play_overload(seed, monkeypatch)
    assert bounded.cut < unbounded.cut
    assert bounded.served > unbounded.served
    assert bounded.in_objective > unbounded.in_objective


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_is_borne_better_when_busy_instances_learn_no_keys(seed, monkeypatch):
    spared = play_overload(seed, monkeypatch)
    monkeypatch.setattr(dispatch, "MAX_UTILIZATION_FOR_NEW_KEYS", float("inf"))
    spilled = play_overload(seed, monkeypatch)
    assert spared.cut < spilled.cut
    assert spared.served > spilled.served
    assert spared.in_objective > spilled.in_objective


def test_play_repeats_exactly(monkeypatch):
    first = play_one_route(1, monkeypatch)
    assert first == play_one_route(1, monkeypatch)
