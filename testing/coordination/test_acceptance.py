"""Acceptance against a store that loses answers, goes down and goes back."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import zlib

import pytest

from masticdeck.coordination import ledger as ledger_module
from masticdeck.coordination.ledger import (
    LEDGER_KEY,
    MAX_DECOMPRESSED_LEDGER_BYTES,
    decode_ledger,
    encode_ledger,
)
from masticdeck.coordination.veto_window import RESTORE_DELAY_S, OwnershipLost
from masticdeck.errors import StoreAnswerInvalid, StoreConflict, StoreUnavailable
from masticdeck.ids import CustomerId, InstanceId, PlanId, ProposalId, Version
from masticdeck.state import acceptance as acceptance_state
from masticdeck.state.acceptance import (
    AcceptedAlready,
    BaseUnknown,
    Ledger,
    LedgerFull,
    NoLongerFits,
    ProposalState,
    ProposalVetoed,
    StoreBehind,
    WriteUnknown,
)
from masticdeck.state.changes import DeltaConflict
from masticdeck.state.checks import ListsInvalid
from masticdeck.state.lists import Customer, CustomerList, Lists, Plan, PlanList
from testing.coordination.configuration_world import (
    DEPLOYMENT,
    LISTS,
    WINDOW_S,
    FakeOwner,
    World,
    with_capacity,
)

CUT = ProposalId("cut")
SHOPS = CustomerId("partner-shops")


@pytest.fixture
async def world(monkeypatch):
    world = World(monkeypatch)
    await world.accept_first()
    return world


async def test_lost_answer_of_each_write_is_resolved_by_reading_back(world):
    lost = {"count": 0}

    def lose(method, key):
        lost["count"] += method == "put"
        return "lost" if method == "put" else None

    world.store.fault = lose
    await world.propose("cut", with_capacity("partner", 0.25))
    end = await world.acceptance.veto(CUT, customer=SHOPS, reason="no")
    assert end.state is ProposalState.VETOED
    assert lost["count"] == 2


async def test_lost_acceptance_is_found_after_later_versions(world, monkeypatch):
    monkeypatch.setattr(acceptance_state, "SETTLED_KEPT", 4)
    lists = with_capacity("partner", 0.25)
    await world.propose("cut", lists)
    windows = world.windows()
    await world.pass_time(windows, WINDOW_S)
    assert (await world.acceptance.accept(CUT, by="alice")).version == 2
    for number in range(6):
        name = f"p{number}"
        drained = PlanList(
            plans=lists.plans.plans,
            drained=(InstanceId("raksti-1"),) if number % 2 == 0 else (),
        )
        base = 2 + number
        await world.propose(
            name, Lists(customers=lists.customers, plans=drained), base=base
        )
        await world.pass_time(windows, WINDOW_S)
        await world.acceptance.accept(ProposalId(name), by="bob")
    again = await world.acceptance.accept(CUT, by="alice")
    assert (again.state, again.version) == (ProposalState.ACCEPTED, 2)
    assert (await world.propose("cut", lists)).version == 2
    with pytest.raises(AcceptedAlready):
        await world.acceptance.veto(CUT, customer=SHOPS, reason="late")


async def test_write_that_cannot_be_read_back_is_unknown_and_may_be_repeated(world):
    state = {"lost": False}

    def fault(method, key):
        if method == "put" and key == LEDGER_KEY:
            state["lost"] = True
            return "lost"
        return "down" if state["lost"] else None

    world.store.fault = fault
    with pytest.raises(WriteUnknown, match="same proposal id"):
        await world.propose("cut", with_capacity("partner", 0.25))
    world.store.fault = lambda method, key: None
    again = await world.propose("cut", with_capacity("partner", 0.25))
    assert again.id == CUT
    assert len((await world.acceptance.read_ledger()).proposals) == 1


@pytest.mark.parametrize("step", range(8))
async def test_outage_at_any_call_loses_nothing_acknowledged(world, step):
    calls = {"count": 0}

    def fault(method, key):
        calls["count"] += 1
        return "down" if calls["count"] > step else None

    windows = world.windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.pass_time(windows, WINDOW_S)
    world.store.fault = fault
    acknowledged = True
    try:
        await world.acceptance.accept(CUT, by="alice")
    except (StoreUnavailable, WriteUnknown):
        acknowledged = False
    world.store.fault = lambda method, key: None
    ledger = await world.acceptance.read_ledger()
    assert ledger.version == 2 or not acknowledged
    assert (await world.acceptance.accept(CUT, by="alice")).version == 2
    assert [
        one.configuration.version
        for one in await world.acceptance.read_history(limit=9)
    ]


async def test_veto_and_acceptance_at_once_have_one_winner(world):
    windows = world.windows()
    for turn in range(20):
        ledger = await world.acceptance.read_ledger()
        capacity = (
            0.25 if ledger.lists.plans.by_id[PlanId("partner")].capacity > 0.4 else 0.5
        )
        name = ProposalId(f"race-{turn}")
        await world.propose(
            name, with_capacity("partner", capacity), base=ledger.version
        )
        await world.pass_time(windows, WINDOW_S)
        veto, accepted = await asyncio.gather(
            world.entry().veto(name, customer=SHOPS, reason="no"),
            world.entry().accept(name, by="alice"),
            return_exceptions=True,
        )
        won = (await world.acceptance.read_ledger()).version == ledger.version + 1
        assert isinstance(veto, AcceptedAlready) == won
        assert isinstance(accepted, ProposalVetoed) != won


async def test_second_of_two_proposals_is_checked_against_the_new_base(world):
    def adding(customer: str, plan: str) -> Lists:
        plans = (
            *LISTS.plans.plans,
            Plan(id=PlanId(plan), capacity=0.4, regions=("latgale",)),
        )
        added = Customer(
            id=CustomerId(customer), plan=PlanId(plan), services=("krajums",)
        )
        return Lists(
            customers=CustomerList(customers=(*LISTS.customers.customers, added)),
            plans=PlanList(plans=plans),
        )

    await world.propose("one", adding("kiosk", "kiosk-plan"))
    await world.propose("two", adding("fair", "fair-plan"))
    windows = world.windows()
    await world.pass_time(windows, WINDOW_S)
    await world.acceptance.accept(ProposalId("one"), by="alice")
    ended = await world.acceptance.find(ProposalId("two"))
    assert ended.state is ProposalState.REFUSED
    assert "MD4007" in ended.reason
    assert "beyond" in ended.reason or "plans take" in ended.reason
    with pytest.raises(NoLongerFits):
        await world.propose("three", adding("fair", "fair-plan"), base=1)


async def test_conflicting_edit_on_an_old_base_says_how_to_rebase(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.pass_time(world.windows(), WINDOW_S)
    await world.acceptance.accept(CUT, by="alice")
    with pytest.raises(DeltaConflict, match="masticdeckctl show"):
        await world.propose("other", with_capacity("partner", 0.125), base=1)
    with pytest.raises(BaseUnknown):
        await world.propose("third", with_capacity("partner", 0.125), base=77)


async def test_lists_beyond_capacity_are_refused_at_proposal(world):
    fault = with_capacity("partner", 0.5)
    customers = tuple(
        one.model_copy(update={"services": ("krajums", "katalogs")})
        for one in fault.customers.customers
    )
    with pytest.raises(ListsInvalid):
        await world.propose(
            "bad", Lists(customers=CustomerList(customers=customers), plans=fault.plans)
        )


async def test_store_older_than_the_version_in_force_is_not_written(world):
    world.version_in_force = Version(2)
    with pytest.raises(StoreBehind, match="MD4009"):
        await world.propose("cut", with_capacity("partner", 0.25))


async def test_new_owner_starts_the_window_anew(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    await world.pass_time(world.windows(FakeOwner(1)), WINDOW_S * 0.9)
    second = world.windows(FakeOwner(2))
    await world.pass_time(second, WINDOW_S * 0.9)
    assert (await world.acceptance.read_ledger()).version == 1
    await world.pass_time(second, WINDOW_S * 0.2)
    assert (await world.acceptance.read_ledger()).version == 2


@pytest.mark.parametrize("blind", [False, True], ids=["lease-lapsed", "fence-only"])
async def test_paused_owner_that_wakes_late_changes_nothing(world, blind):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwner(1)
    first = world.windows(owner)
    await world.pass_time(first, WINDOW_S * 0.9)
    done = asyncio.Event()

    async def pause(method, key):
        """Let a second owner take over between the first one's check and write."""
        if method == "put" and not done.is_set():
            done.set()
            owner.held = blind
            await world.windows(FakeOwner(2)).poll()

    world.store.hooks.append(pause)
    world.now += first.poll_interval_s
    for _ in range(3):
        try:
            await first.poll()
        except OwnershipLost:
            break
        world.now += first.poll_interval_s
    ledger = await world.acceptance.read_ledger()
    assert done.is_set()
    assert (ledger.version, ledger.fence) == (1, 2)


async def test_window_of_a_paused_owner_does_not_count_the_pause(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    windows = world.windows()
    await windows.poll()
    world.now += 10 * WINDOW_S
    await windows.poll()
    assert (await world.acceptance.read_ledger()).version == 1


async def test_owner_whose_lease_ends_before_its_write_changes_nothing(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwner(1)
    windows = world.windows(owner)
    await world.pass_time(windows, WINDOW_S * 0.9)

    async def lapse(method, key):
        owner.held = False

    world.store.hooks.append(lapse)
    world.now += windows.poll_interval_s
    with pytest.raises(OwnershipLost):
        await windows.poll()
    assert (await world.acceptance.read_ledger()).version == 1


async def test_owner_that_comes_back_under_a_new_lease_counts_anew(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwner(1)
    windows = world.windows(owner)
    await world.pass_time(windows, WINDOW_S * 0.9)
    owner.token = 3
    await world.pass_time(windows, WINDOW_S * 0.9)
    assert (await world.acceptance.read_ledger()).version == 1


async def test_window_does_not_count_time_around_failed_reads(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    windows = world.windows()
    await windows.poll()
    for number in range(40):
        world.store.fault = lambda method, key, n=number: "down" if n % 3 else None
        with contextlib.suppress(StoreUnavailable):
            await windows.poll()
        world.now += windows.poll_interval_s
    assert (await world.acceptance.read_ledger()).version == 1


async def test_store_that_lost_a_version_gets_it_back_after_a_wait(world):
    old = world.store.raw(LEDGER_KEY)
    windows = world.windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.pass_time(windows, WINDOW_S)
    await world.acceptance.accept(CUT, by="alice")
    accepted = await world.acceptance.read_ledger()
    world.version_in_force = accepted.version
    windows.configuration_in_force = lambda: accepted.configuration
    await world.store.put(LEDGER_KEY, old)
    await windows.poll_or_restore()
    with pytest.raises(StoreBehind):
        await world.acceptance.read_ledger()
    world.now += RESTORE_DELAY_S
    await windows.poll_or_restore()
    restored = await world.acceptance.read_ledger()
    assert restored.version == 2
    assert restored.lists.digest == accepted.lists.digest


async def test_store_of_which_only_the_reads_lag_is_not_written(world):
    windows = world.windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.pass_time(windows, WINDOW_S)
    stale = copy.deepcopy(world.store.platform.state)
    await world.acceptance.accept(CUT, by="alice")
    accepted = await world.acceptance.read_ledger()
    world.store.platform.stale = stale
    with pytest.raises(StoreConflict):
        await world.acceptance.ledger_store.restore(accepted.configuration, DEPLOYMENT)
    world.store.platform.stale = None
    assert (await world.acceptance.read_ledger()).fence == accepted.fence


async def test_owner_with_a_smaller_token_changes_nothing_while_it_believes(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    first = world.windows(FakeOwner(1))
    await world.pass_time(first, WINDOW_S * 0.5)
    await world.windows(FakeOwner(2)).poll()
    before = await world.acceptance.read_ledger()
    for _ in range(40):
        with pytest.raises(OwnershipLost):
            await first.poll()
        world.now += first.poll_interval_s
    assert await world.acceptance.read_ledger() == before


async def test_ledger_too_long_for_the_store_is_refused_and_not_written(
    world, monkeypatch
):
    size = len(world.store.raw(LEDGER_KEY))
    monkeypatch.setattr(ledger_module, "MAX_VALUE_BYTES", size)
    with pytest.raises(LedgerFull, match="MD4018"):
        await world.propose("cut", with_capacity("partner", 0.25))
    assert not (await world.acceptance.read_ledger()).proposals


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", encode_ledger(Ledger())[:-3], zlib.compress(b"[")],
    ids=["empty", "not-compressed", "truncated", "not-json"],
)
def test_damaged_ledger_is_refused_with_a_code(value):
    with pytest.raises(StoreAnswerInvalid, match="MD1003"):
        decode_ledger(value)


def test_ledger_that_inflates_beyond_its_bound_is_refused():
    with pytest.raises(StoreAnswerInvalid):
        decode_ledger(zlib.compress(b" " * (MAX_DECOMPRESSED_LEDGER_BYTES + 1)))
