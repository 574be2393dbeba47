"""At most once: repeats, lost messages, kills, pauses and planned stops."""

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
    Network,
    outcome,
)


async def network(**settings) -> Network:
    net = Network(**settings)
    await net.choose_witnesses()
    assert net.entries[HOME].home.witness == WITNESS
    return net


@pytest.mark.parametrize("second", [HOME, WITNESS, THIRD])
async def test_repeat_at_any_entry_gets_the_first_answer(second):
    net = await network()
    key = net.key("a")
    first = await net.ask(HOME, key)
    assert await net.ask(second, key) == first
    assert net.runs[key] == 1


async def test_repeat_while_the_first_runs_waits_for_its_end():
    net = await network()
    net.gate = asyncio.Event()
    key = net.key("a")
    asked = [asyncio.create_task(net.ask(one, key)) for one in (HOME, THIRD, WITNESS)]
    await net.settle()
    net.gate.set()
    answers = await asyncio.gather(*asked)
    assert answers[0] == answers[1] == answers[2]
    assert net.runs[key] == 1


async def test_run_goes_on_when_its_caller_leaves():
    net = await network()
    net.gate = asyncio.Event()
    key = net.key("a")
    asked = asyncio.create_task(net.ask(HOME, key))
    await net.settle()
    asked.cancel()
    net.gate.set()
    assert await outcome(net.ask(THIRD, key)) == "done"
    assert net.runs[key] == 1


async def test_same_key_with_another_body_is_refused_everywhere():
    net = await network()
    key = net.key("a")
    await net.ask(HOME, key)
    await net.settle()
    assert await outcome(net.ask(THIRD, key, b"other")) == "OrderKeyReused"
    net.down.add(HOME)
    assert await outcome(net.ask(THIRD, key, b"other")) == "OrderKeyReused"


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
async def test_key_without_a_valid_home_token_is_refused(key, error):
    net = await network()
    assert await outcome(net.ask(HOME, key)) == error
    assert not net.runs


async def test_dead_home_is_answered_from_the_outcome_at_its_witness():
    net = await network()
    key = net.key("a")
    first = await net.ask(HOME, key)
    await net.settle()
    net.down.add(HOME)
    assert await net.ask(THIRD, key) == first
    assert net.runs[key] == 1


async def test_dead_home_with_an_intent_only_is_unknown_and_never_runs_again():
    net = await network()
    net.gate = asyncio.Event()
    key = net.key("a")
    asked = asyncio.create_task(net.ask(HOME, key))
    await net.settle()
    net.down.add(HOME)
    assert await outcome(net.ask(THIRD, key)) == "OrderOutcomeUnknown"
    net.restart(HOME)
    assert await outcome(net.ask(HOME, key)) == "OrderOutcomeUnknown"
    assert net.runs[key] == 1
    asked.cancel()


async def test_sealed_key_is_not_run_by_a_home_that_wakes_up_late():
    net = await network()
    key = net.key("a")
    net.paused[HOME] = asyncio.Event()
    assert await outcome(net.ask(THIRD, key)) == "OrderNotRun"
    net.resume(HOME)
    await net.settle()
    assert await outcome(net.ask(HOME, key)) == "OrderNotRun"
    assert net.runs[key] == 0


async def test_home_and_witness_lost_is_unknown():
    net = await network()
    key = net.key("a")
    await net.ask(HOME, key)
    net.down |= {HOME, WITNESS}
    assert await outcome(net.ask(THIRD, key)) == "OrderOutcomeUnknown"


@pytest.mark.parametrize("lost", ["request", "answer"])
async def test_order_whose_intent_was_not_acknowledged_never_runs(lost):
    net = await network()
    key = net.key("a")
    net.lose[("intend", lost)] = 1
    assert await outcome(net.ask(HOME, key)) == "OrderNotRun"
    assert await outcome(net.ask(HOME, key)) == "OrderNotRun"
    assert net.runs[key] == 0
    await net.settle()
    assert net.entries[HOME].home.witness != WITNESS
    assert await outcome(net.ask(HOME, net.key("b"))) == "done"


async def test_lost_answer_of_the_home_is_settled_by_the_witness():
    net = await network()
    key = net.key("a")
    net.lose[("relay", "answer")] = 1
    assert await outcome(net.ask(THIRD, key)) in ("done", "OrderOutcomeUnknown")
    assert await outcome(net.ask(THIRD, key)) == "done"
    assert net.runs[key] == 1


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
    net = await network()
    key = net.key("a")
    net.failure = failure
    assert await outcome(net.ask(HOME, key)) == first
    net.failure = None
    assert await outcome(net.ask(THIRD, key)) == repeat
    await net.settle()
    net.down.add(HOME)
    assert await outcome(net.ask(THIRD, key)) == repeat
    assert net.runs[key] == 0


async def test_restarted_witness_does_not_vouch_for_what_it_forgot():
    net = await network()
    key = net.key("a")
    await net.ask(HOME, key)
    net.restart(WITNESS)
    net.down.add(HOME)
    assert await outcome(net.ask(THIRD, key)) == "OrderOutcomeUnknown"


async def test_full_record_table_refuses_for_good():
    net = await network(order_records=3)
    for number in range(3):
        await net.ask(HOME, net.key(str(number)))
    key = net.key("late")
    assert await outcome(net.ask(HOME, key)) == "OrderNotRun"
    home = net.entries[HOME].home
    home.table.max_records = 100
    with pytest.raises(OrderNotRun, match="too old"):
        home.begin_order(parse_key(key), key, b"")


async def test_expired_key_is_unknown_and_does_not_run_again():
    net = await network()
    key, unused = net.key("a"), net.key("b")
    await net.ask(HOME, key)
    await net.settle()
    net.entries[HOME].home.table.expire(0.0)
    for table in net.entries[WITNESS].witness.witnessed_tables.values():
        table.expire(0.0)
    assert await outcome(net.ask(HOME, key)) == "OrderExpired"
    assert await outcome(net.ask(HOME, unused)) == "OrderExpired"
    net.down.add(HOME)
    assert await outcome(net.ask(THIRD, key)) == "OrderExpired"
    assert net.runs[key] == 1


async def test_old_token_is_refused_while_its_records_are_whole():
    net = await network(order_retention_s=1e-9)
    key = net.key("a")
    home = net.entries[HOME].home
    home.rotate_token()
    home.expire_generations()
    assert await outcome(net.ask(HOME, key)) == "OrderNotRun"


async def test_adopters_agree_on_a_home_that_stopped():
    net = await network()
    key, unused = net.key("a"), net.key("b")
    first = await net.ask(HOME, key)
    net.lose[("hand_over", "answer")] = 1
    await net.entries[HOME].close(1.0)
    assert await outcome(net.ask(HOME, unused)) == "OrderNotRun"
    net.down |= {HOME, WITNESS}
    assert await net.ask(FOURTH, key) == first
    assert await outcome(net.ask(FOURTH, unused)) == "OrderNotRun"
    assert net.runs[unused] == 0


async def test_hand_over_outlives_a_restart_of_all_entries_one_by_one():
    net = await network(entries=6)
    key = net.key("a")
    first = await net.ask(HOME, key)
    for entry in list(net.entries):
        await net.entries[entry].close(1.0)
        net.restart(entry)
    assert await net.ask(FOURTH, key) == first
    assert net.runs[key] == 1


async def test_planned_stop_waits_for_the_orders_in_flight():
    net = await network()
    net.gate = asyncio.Event()
    key = net.key("a")
    asked = asyncio.create_task(net.ask(HOME, key))
    await net.settle()
    closing = asyncio.create_task(net.entries[HOME].close(5.0))
    await net.settle()
    net.gate.set()
    await closing
    assert await outcome(asked) == "done"


async def test_leaving_entry_gives_the_token_of_another_home():
    net = await network()
    await net.entries[HOME].leave()
    key = net.key("a")
    assert not key.startswith("H.entry-1.")
    assert await outcome(net.ask(HOME, key)) == "done"
