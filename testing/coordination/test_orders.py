"""At-most-once execution under repeats, lost messages, crashes, pauses and stops."""

from __future__ import annotations

import asyncio

import pytest

from masticdeck.coordination.order_errors import OrderNotRun
from masticdeck.coordination.order_tokens import parse_key
from masticdeck.errors import OutcomeUnknown, Overloaded
from masticdeck.protocol.backend import BackendBroken, BackendNotReached
from testing.coordination.order_network import (
    FOURTH,
    HOME,
    THIRD,
    WITNESS,
    OrderNetwork,
    outcome_of,
)


async def create_network(**settings) -> OrderNetwork:
    network = OrderNetwork(**settings)
    await network.select_witnesses()
    assert network.entries[HOME].home.witness == WITNESS
    return network


@pytest.mark.parametrize("second", [HOME, WITNESS, THIRD])
async def test_repeat_at_any_entry_returns_the_first_response(second):
    network = await create_network()
    key = network.create_key("a")
    first_response = await network.send_order(HOME, key)
    assert await network.send_order(second, key) == first_response
    assert network.run_counts[key] == 1


async def test_repeat_during_the_first_run_waits_for_its_response():
    network = await create_network()
    network.backend_gate = asyncio.Event()
    key = network.create_key("a")
    request_tasks = [
        asyncio.create_task(network.send_order(entry, key))
        for entry in (HOME, THIRD, WITNESS)
    ]
    await network.run_pending_tasks()
    network.backend_gate.set()
    responses = await asyncio.gather(*request_tasks)
    assert responses[0] == responses[1] == responses[2]
    assert network.run_counts[key] == 1


async def test_run_continues_when_its_caller_disconnects():
    """A disconnected caller must not cancel an order that may have been sent."""
    network = await create_network()
    network.backend_gate = asyncio.Event()
    key = network.create_key("a")
    request_task = asyncio.create_task(network.send_order(HOME, key))
    await network.run_pending_tasks()
    request_task.cancel()
    network.backend_gate.set()
    assert await outcome_of(network.send_order(THIRD, key)) == "done"
    assert network.run_counts[key] == 1


async def test_same_key_with_another_body_is_rejected_with_and_without_its_home():
    """The home detects the reuse by the digest; without it the witness does."""
    network = await create_network()
    key = network.create_key("a")
    await network.send_order(HOME, key)
    await network.run_pending_tasks()
    assert (
        await outcome_of(network.send_order(THIRD, key, b"other")) == "OrderKeyReused"
    )
    network.down_entries.add(HOME)
    assert (
        await outcome_of(network.send_order(THIRD, key, b"other")) == "OrderKeyReused"
    )


@pytest.mark.parametrize(
    ("key", "error"),
    [
        ("plain", "OrderKeyInvalid"),
        ("H.entry-1.zz.entry-2.1.1.own", "OrderKeyInvalid"),
        ("H.entry-1.1.entry-2.2.1.", "OrderKeyInvalid"),
        ("H.entry-1.1.entry-2.2.999.own", "OrderKeyInvalid"),
        ("H.elsewhere.1.entry-2.2.1.own", "OrderHomeUnknown"),
        ("H.entry-1.1.elsewhere.2.1.own", "OrderHomeUnknown"),
        ("x" * 300, "OrderKeyInvalid"),
    ],
)
async def test_key_without_a_valid_home_token_is_rejected(key, error):
    network = await create_network()
    assert await outcome_of(network.send_order(HOME, key)) == error
    assert not network.run_counts


async def test_witness_returns_the_response_of_an_unreachable_home():
    network = await create_network()
    key = network.create_key("a")
    first_response = await network.send_order(HOME, key)
    await network.run_pending_tasks()
    network.down_entries.add(HOME)
    assert await network.send_order(THIRD, key) == first_response
    assert network.run_counts[key] == 1


async def test_order_with_only_an_intent_is_unknown_and_never_runs_again():
    """The home stops while the order runs, so the witness holds only the intent.

    Neither the witness nor the restarted home may run the order again.
    """
    network = await create_network()
    network.backend_gate = asyncio.Event()
    key = network.create_key("a")
    request_task = asyncio.create_task(network.send_order(HOME, key))
    await network.run_pending_tasks()
    network.down_entries.add(HOME)
    assert await outcome_of(network.send_order(THIRD, key)) == "OrderOutcomeUnknown"
    network.restart(HOME)
    assert await outcome_of(network.send_order(HOME, key)) == "OrderOutcomeUnknown"
    assert network.run_counts[key] == 1
    request_task.cancel()


async def test_sealed_key_is_not_run_by_a_home_that_resumes_later():
    """The paused home processes a relayed order after the witness sealed its key.

    The caller was already told that the order did not run, so the witness must
    reject the home's intent.
    """
    network = await create_network()
    key = network.create_key("a")
    network.resume_events[HOME] = asyncio.Event()
    assert await outcome_of(network.send_order(THIRD, key)) == "OrderNotRun"
    network.resume(HOME)
    await network.run_pending_tasks()
    assert await outcome_of(network.send_order(HOME, key)) == "OrderNotRun"
    assert network.run_counts[key] == 0


async def test_outcome_is_unknown_without_home_and_witness():
    network = await create_network()
    key = network.create_key("a")
    await network.send_order(HOME, key)
    network.down_entries |= {HOME, WITNESS}
    assert await outcome_of(network.send_order(THIRD, key)) == "OrderOutcomeUnknown"


@pytest.mark.parametrize("lost", ["request", "answer"])
async def test_order_with_an_unacknowledged_intent_never_runs(lost):
    """The home must treat a lost intent or acknowledgement as a rejected order."""
    network = await create_network()
    key = network.create_key("a")
    network.losses[("intend", lost)] = 1
    assert await outcome_of(network.send_order(HOME, key)) == "OrderNotRun"
    assert await outcome_of(network.send_order(HOME, key)) == "OrderNotRun"
    assert network.run_counts[key] == 0
    await network.run_pending_tasks()
    assert network.entries[HOME].home.witness != WITNESS
    assert await outcome_of(network.send_order(HOME, network.create_key("b"))) == "done"


async def test_witness_resolves_an_order_whose_response_was_lost():
    network = await create_network()
    key = network.create_key("a")
    network.losses[("relay", "answer")] = 1
    assert await outcome_of(network.send_order(THIRD, key)) in (
        "done",
        "OrderOutcomeUnknown",
    )
    assert await outcome_of(network.send_order(THIRD, key)) == "done"
    assert network.run_counts[key] == 1


@pytest.mark.parametrize(
    ("failure", "first", "repeat"),
    [
        (BackendBroken("reset"), "OrderOutcomeUnknown", "OrderOutcomeUnknown"),
        (OutcomeUnknown("late"), "OrderOutcomeUnknown", "OrderOutcomeUnknown"),
        (BackendNotReached("shed"), "OrderNotRun", "OrderNotRun"),
        (Overloaded("full"), "OrderNotRun", "OrderNotRun"),
    ],
    ids=["broken", "late", "shed", "overloaded"],
)
async def test_failed_run_is_final(failure, first, repeat):
    """A repeat must return the recorded outcome, even if the backend now works."""
    network = await create_network()
    key = network.create_key("a")
    network.backend_failure = failure
    assert await outcome_of(network.send_order(HOME, key)) == first
    network.backend_failure = None
    assert await outcome_of(network.send_order(THIRD, key)) == repeat
    await network.run_pending_tasks()
    network.down_entries.add(HOME)
    assert await outcome_of(network.send_order(THIRD, key)) == repeat
    assert network.run_counts[key] == 0


async def test_restarted_witness_does_not_resolve_keys_of_its_earlier_incarnation():
    """A restarted witness has lost its records.

    A missing record must not be taken as proof that the order did not run.
    """
    network = await create_network()
    key = network.create_key("a")
    await network.send_order(HOME, key)
    network.restart(WITNESS)
    network.down_entries.add(HOME)
    assert await outcome_of(network.send_order(THIRD, key)) == "OrderOutcomeUnknown"


async def test_key_rejected_by_a_full_record_table_never_runs():
    """A full table can't record the rejection, so the generation is closed instead.

    The key must stay rejected when the table has free space again.
    """
    network = await create_network(order_records=3)
    for index in range(3):
        await network.send_order(HOME, network.create_key(str(index)))
    key = network.create_key("late")
    assert await outcome_of(network.send_order(HOME, key)) == "OrderNotRun"
    home = network.entries[HOME].home
    home.table.max_records = 100
    with pytest.raises(OrderNotRun, match="too old"):
        home.begin_order(parse_key(key), key, b"")


async def test_expired_key_does_not_run_again():
    """A key whose records may have expired must not count as one that did not run."""
    network = await create_network()
    key, unused_key = network.create_key("a"), network.create_key("b")
    await network.send_order(HOME, key)
    await network.run_pending_tasks()
    network.entries[HOME].home.table.expire(0.0)
    for table in network.entries[WITNESS].witness.witnessed_tables.values():
        table.expire(0.0)
    assert await outcome_of(network.send_order(HOME, key)) == "OrderExpired"
    assert await outcome_of(network.send_order(HOME, unused_key)) == "OrderExpired"
    network.down_entries.add(HOME)
    assert await outcome_of(network.send_order(THIRD, key)) == "OrderExpired"
    assert network.run_counts[key] == 1


async def test_old_token_is_rejected_before_its_records_expire():
    network = await create_network(order_retention_s=1e-9)
    key = network.create_key("a")
    home = network.entries[HOME].home
    home.rotate_token()
    home.expire_generations()
    assert await outcome_of(network.send_order(HOME, key)) == "OrderNotRun"


async def test_adopters_resolve_the_keys_of_a_stopped_home():
    """The chunk whose acknowledgement is lost is sent twice and must be stored once."""
    network = await create_network()
    key, unused_key = network.create_key("a"), network.create_key("b")
    first_response = await network.send_order(HOME, key)
    network.losses[("hand_over", "answer")] = 1
    await network.entries[HOME].close(1.0)
    assert await outcome_of(network.send_order(HOME, unused_key)) == "OrderNotRun"
    network.down_entries |= {HOME, WITNESS}
    assert await network.send_order(FOURTH, key) == first_response
    assert await outcome_of(network.send_order(FOURTH, unused_key)) == "OrderNotRun"
    assert network.run_counts[unused_key] == 0


async def test_records_survive_a_rolling_restart_of_all_entries():
    """Each entry also hands over the records that it adopted."""
    network = await create_network(entries=6)
    key = network.create_key("a")
    first_response = await network.send_order(HOME, key)
    for entry in list(network.entries):
        await network.entries[entry].close(1.0)
        network.restart(entry)
    assert await network.send_order(FOURTH, key) == first_response
    assert network.run_counts[key] == 1


async def test_graceful_shutdown_waits_for_running_orders():
    network = await create_network()
    network.backend_gate = asyncio.Event()
    key = network.create_key("a")
    request_task = asyncio.create_task(network.send_order(HOME, key))
    await network.run_pending_tasks()
    shutdown = asyncio.create_task(network.entries[HOME].close(5.0))
    await network.run_pending_tasks()
    network.backend_gate.set()
    await shutdown
    assert await outcome_of(request_task) == "done"


async def test_leaving_entry_returns_the_token_of_another_home():
    network = await create_network()
    await network.entries[HOME].leave()
    key = network.create_key("a")
    assert not key.startswith("H.entry-1.")
    assert await outcome_of(network.send_order(HOME, key)) == "done"
