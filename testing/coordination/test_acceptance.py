"""Acceptance with a store that loses responses, is down or returns old state."""

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
    FakeOwnerLease,
    World,
    with_capacity,
)

CUT = ProposalId("cut")
SHOPS = CustomerId("partner-shops")


@pytest.fixture
async def world(monkeypatch):
    world = World(monkeypatch)
    await world.accept_first_version()
    return world


async def test_lost_response_of_each_write_is_resolved_by_reading_back(world):
    lost_puts = {"count": 0}

    def lose_put_response(method, key):
        lost_puts["count"] += method == "put"
        return "lost" if method == "put" else None

    world.store.fault = lose_put_response
    await world.propose("cut", with_capacity("partner", 0.25))
    settled = await world.acceptance.veto(CUT, customer=SHOPS, reason="no")
    assert settled.state is ProposalState.VETOED
    assert lost_puts["count"] == 2


async def test_repeated_acceptance_is_recognised_after_later_versions(
    world, monkeypatch
):
    """A retry must find its acceptance after the ledger dropped it.

    The ledger keeps only the latest settled proposals; older acceptances are
    found in the archive.
    """
    monkeypatch.setattr(acceptance_state, "SETTLED_KEPT", 4)
    lists = with_capacity("partner", 0.25)
    await world.propose("cut", lists)
    windows = world.make_windows()
    await world.advance(windows, WINDOW_S)
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
        await world.advance(windows, WINDOW_S)
        await world.acceptance.accept(ProposalId(name), by="bob")
    repeated = await world.acceptance.accept(CUT, by="alice")
    assert (repeated.state, repeated.version) == (ProposalState.ACCEPTED, 2)
    assert (await world.propose("cut", lists)).version == 2
    with pytest.raises(AcceptedAlready):
        await world.acceptance.veto(CUT, customer=SHOPS, reason="late")


async def test_write_that_cannot_be_read_back_is_unknown_and_can_be_repeated(world):
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
    repeated = await world.propose("cut", with_capacity("partner", 0.25))
    assert repeated.id == CUT
    assert len((await world.acceptance.read_ledger()).proposals) == 1


@pytest.mark.parametrize("step", range(8))
async def test_outage_at_any_call_loses_no_acknowledged_acceptance(world, step):
    """An acknowledged acceptance is in the store; any other can be retried.

    The store goes down after ``step`` calls of the acceptance.
    """
    calls = {"count": 0}

    def fault(method, key):
        calls["count"] += 1
        return "down" if calls["count"] > step else None

    windows = world.make_windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.advance(windows, WINDOW_S)
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
        accepted.configuration.version
        for accepted in await world.acceptance.read_history(limit=9)
    ]


async def test_exactly_one_of_concurrent_veto_and_acceptance_succeeds(world):
    windows = world.make_windows()
    for round_number in range(20):
        ledger = await world.acceptance.read_ledger()
        capacity = (
            0.25 if ledger.lists.plans.by_id[PlanId("partner")].capacity > 0.4 else 0.5
        )
        name = ProposalId(f"race-{round_number}")
        await world.propose(
            name, with_capacity("partner", capacity), base=ledger.version
        )
        await world.advance(windows, WINDOW_S)
        veto, accepted = await asyncio.gather(
            world.make_acceptance().veto(name, customer=SHOPS, reason="no"),
            world.make_acceptance().accept(name, by="alice"),
            return_exceptions=True,
        )
        was_accepted = (
            await world.acceptance.read_ledger()
        ).version == ledger.version + 1
        assert isinstance(veto, AcceptedAlready) == was_accepted
        assert isinstance(accepted, ProposalVetoed) != was_accepted


async def test_pending_proposal_is_checked_against_a_newly_accepted_version(world):
    """Two proposals that each fit the capacity may exceed it together."""

    def lists_with_customer(customer: str, plan: str) -> Lists:
        plans = (
            *LISTS.plans.plans,
            Plan(id=PlanId(plan), capacity=0.4, regions=("latgale",)),
        )
        new_customer = Customer(
            id=CustomerId(customer), plan=PlanId(plan), services=("krajums",)
        )
        return Lists(
            customers=CustomerList(
                customers=(*LISTS.customers.customers, new_customer)
            ),
            plans=PlanList(plans=plans),
        )

    await world.propose("one", lists_with_customer("kiosk", "kiosk-plan"))
    await world.propose("two", lists_with_customer("fair", "fair-plan"))
    windows = world.make_windows()
    await world.advance(windows, WINDOW_S)
    await world.acceptance.accept(ProposalId("one"), by="alice")
    settled = await world.acceptance.find(ProposalId("two"))
    assert settled.state is ProposalState.REFUSED
    assert "MD4007" in settled.reason
    assert "beyond" in settled.reason or "plans take" in settled.reason
    with pytest.raises(NoLongerFits):
        await world.propose("three", lists_with_customer("fair", "fair-plan"), base=1)


async def test_error_of_a_conflicting_edit_explains_how_to_rebase(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.advance(world.make_windows(), WINDOW_S)
    await world.acceptance.accept(CUT, by="alice")
    with pytest.raises(DeltaConflict, match="masticdeckctl show"):
        await world.propose("other", with_capacity("partner", 0.125), base=1)
    with pytest.raises(BaseUnknown):
        await world.propose("third", with_capacity("partner", 0.125), base=77)


async def test_proposal_that_exceeds_the_capacity_is_rejected(world):
    lists = with_capacity("partner", 0.5)
    customers = tuple(
        customer.model_copy(update={"services": ("krajums", "katalogs")})
        for customer in lists.customers.customers
    )
    with pytest.raises(ListsInvalid):
        await world.propose(
            "bad", Lists(customers=CustomerList(customers=customers), plans=lists.plans)
        )


async def test_store_older_than_the_version_in_force_is_not_written(world):
    world.version_in_force = Version(2)
    with pytest.raises(StoreBehind, match="MD4009"):
        await world.propose("cut", with_capacity("partner", 0.25))


async def test_new_owner_restarts_the_window(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    await world.advance(world.make_windows(FakeOwnerLease(1)), WINDOW_S * 0.9)
    second_windows = world.make_windows(FakeOwnerLease(2))
    await world.advance(second_windows, WINDOW_S * 0.9)
    assert (await world.acceptance.read_ledger()).version == 1
    await world.advance(second_windows, WINDOW_S * 0.2)
    assert (await world.acceptance.read_ledger()).version == 2


@pytest.mark.parametrize("blind", [False, True], ids=["lease-lapsed", "fence-only"])
async def test_owner_resumed_after_a_takeover_changes_nothing(world, blind):
    """A paused owner must not end a window that a new owner restarted.

    The new owner takes over between the lease check of the first one and its
    write. If ``blind``, the lease still looks valid to the first owner and only
    the fencing token prevents the write.
    """
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwnerLease(1)
    first_windows = world.make_windows(owner)
    await world.advance(first_windows, WINDOW_S * 0.9)
    took_over = asyncio.Event()

    async def take_over(method, key):
        """Let a second owner take over before the first put."""
        if method == "put" and not took_over.is_set():
            took_over.set()
            owner.is_held = blind
            await world.make_windows(FakeOwnerLease(2)).poll()

    world.store.hooks.append(take_over)
    world.now += first_windows.poll_interval_s
    for _ in range(3):
        try:
            await first_windows.poll()
        except OwnershipLost:
            break
        world.now += first_windows.poll_interval_s
    ledger = await world.acceptance.read_ledger()
    assert took_over.is_set()
    assert (ledger.version, ledger.fence) == (1, 2)


async def test_pause_of_the_owner_does_not_count_towards_the_window(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    windows = world.make_windows()
    await windows.poll()
    world.now += 10 * WINDOW_S
    await windows.poll()
    assert (await world.acceptance.read_ledger()).version == 1


async def test_owner_whose_lease_ends_before_its_write_changes_nothing(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwnerLease(1)
    windows = world.make_windows(owner)
    await world.advance(windows, WINDOW_S * 0.9)

    async def expire(method, key):
        owner.is_held = False

    world.store.hooks.append(expire)
    world.now += windows.poll_interval_s
    with pytest.raises(OwnershipLost):
        await windows.poll()
    assert (await world.acceptance.read_ledger()).version == 1


async def test_owner_with_a_new_lease_restarts_the_window(world):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    owner = FakeOwnerLease(1)
    windows = world.make_windows(owner)
    await world.advance(windows, WINDOW_S * 0.9)
    owner.token = 3
    await world.advance(windows, WINDOW_S * 0.9)
    assert (await world.acceptance.read_ledger()).version == 1


async def test_time_around_failed_reads_does_not_count_towards_the_window(world):
    """Customers cannot veto while the store is down, so that time must not count.

    Two of three polls fail, so no two consecutive reads succeed.
    """
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    windows = world.make_windows()
    await windows.poll()
    for number in range(40):
        world.store.fault = lambda method, key, n=number: "down" if n % 3 else None
        with contextlib.suppress(StoreUnavailable):
            await windows.poll()
        world.now += windows.poll_interval_s
    assert (await world.acceptance.read_ledger()).version == 1


async def test_version_that_the_store_lost_is_restored_after_a_delay(world):
    """A store restored from an old backup would otherwise stay behind for good."""
    old_value = world.store.raw(LEDGER_KEY)
    windows = world.make_windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.advance(windows, WINDOW_S)
    await world.acceptance.accept(CUT, by="alice")
    accepted = await world.acceptance.read_ledger()
    world.version_in_force = accepted.version
    windows.configuration_in_force = lambda: accepted.configuration
    await world.store.put(LEDGER_KEY, old_value)
    await windows.poll_or_restore()
    with pytest.raises(StoreBehind):
        await world.acceptance.read_ledger()
    world.now += RESTORE_DELAY_S
    await windows.poll_or_restore()
    restored = await world.acceptance.read_ledger()
    assert restored.version == 2
    assert restored.lists.digest == accepted.lists.digest


async def test_restore_does_not_overwrite_a_store_whose_reads_lag(world):
    """A stale read looks like a lost version, but its revision is outdated."""
    windows = world.make_windows()
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.advance(windows, WINDOW_S)
    stale = copy.deepcopy(world.store.platform.state)
    await world.acceptance.accept(CUT, by="alice")
    accepted = await world.acceptance.read_ledger()
    world.store.platform.stale = stale
    with pytest.raises(StoreConflict):
        await world.acceptance.ledger_store.restore(accepted.configuration, DEPLOYMENT)
    world.store.platform.stale = None
    assert (await world.acceptance.read_ledger()).fence == accepted.fence


async def test_owner_with_a_smaller_token_changes_nothing_while_its_lease_is_valid(
    world,
):
    await world.propose("cut", with_capacity("partner", 0.25))
    await world.acceptance.accept(CUT, by="alice")
    first_windows = world.make_windows(FakeOwnerLease(1))
    await world.advance(first_windows, WINDOW_S * 0.5)
    await world.make_windows(FakeOwnerLease(2)).poll()
    before = await world.acceptance.read_ledger()
    for _ in range(40):
        with pytest.raises(OwnershipLost):
            await first_windows.poll()
        world.now += first_windows.poll_interval_s
    assert await world.acceptance.read_ledger() == before


async def test_ledger_too_long_for_the_store_is_rejected_and_not_written(
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
def test_damaged_ledger_raises_an_error_with_its_code(value):
    with pytest.raises(StoreAnswerInvalid, match="MD1003"):
        decode_ledger(value)


def test_ledger_that_decompresses_beyond_its_limit_is_rejected():
    with pytest.raises(StoreAnswerInvalid):
        decode_ledger(zlib.compress(b" " * (MAX_DECOMPRESSED_LEDGER_BYTES + 1)))
