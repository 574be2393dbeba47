"""The faults of a soak; each undoes itself and records the span it disturbs."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress

from masticdeck.registry import Registry
from soak.ledger import DRAIN_TIMEOUT_S, REVOCATION_S
from soak.proxy import Mode
from soak.world import COLD_S, GRACE_S, HEARTBEAT_S, SERVICES, Entry, World
from testing.gateway.world import ZONES
from testing.platform.standin_instance import StandinInstance

ODD_VALUES = [
    b"[" * 100_000,
    b"9" * 5_000,
    b"\xff\x00",
    b"null",
    *(
        b'{"address": %b, "information": {"service": "s", "zone": "cesis-a",'
        b' "slots": %b}, "status": {"state": "ready", "sequence": 1,'
        b' "cold_remaining": %b}, "born": %b}' % fields
        for fields in (
            (b'"127.0.0.1:99999"', b"4", b'"0ms"', b"1"),
            (b'"a\\r\\nb:80"', b"4", b'"0ms"', b"1"),
            (b'"127.0.0.1:1"', b"1e999", b'"0ms"', b"1"),
            (b'"127.0.0.1:1"', b"4", b'"%bs"' % (b"9" * 400), b"1"),
            (b'"127.0.0.1:1"', b"4", b'"0ms"', b"9" * 400),
        )
    ),
]
"""Values that name no instance: too deep, too large, out of range, not text."""

SETTLE_S = 4.0
"""Seconds after a fault until bounds hold again."""

LATE_SEQUENCE = 2
"""Count of a report that arrives late; the first reports of instances count 1."""

MAX_DELAY_S = 5.0
"""Longest time after its instance's leaving at which a report arrives."""

NOTICE_S = 0.5
"""Time in which every entry in touch learns of a record."""

OPERATOR_S = 2.0
"""Time after which the operator writes again what a restoration undid."""

Fault = Callable[[World], Awaitable[None]]
faults: Registry[Fault] = Registry("fault")


@asynccontextmanager
async def disturbance(world: World):
    """Record the span of a fault."""
    began = time.monotonic()
    span = len(world.ledger.disturbed)
    world.ledger.disturbed.append((began, float("inf")))
    try:
        yield
    finally:
        world.ledger.disturbed[span] = (began, time.monotonic() + SETTLE_S)


def choose(world: World) -> Entry | None:
    """Return a running entry, unless it is the only one."""
    running = [one for one in world.entries if one.running()]
    return world.random.choice(running) if len(running) > 1 else None


@faults.register("kill")
async def kill(world: World) -> None:
    """Kill an entry and start it again."""
    entry = choose(world)
    if entry is None or entry.process is None:
        return
    async with disturbance(world):
        world.ledger.killed.add(entry.incarnation)
        entry.send(signal.SIGKILL)
        await entry.process.wait()
        await asyncio.sleep(world.random.uniform(0.1, 1.5))
        await entry.start()


@faults.register("pause")
async def pause(world: World) -> None:
    """Let an entry stand still."""
    entry = choose(world)
    if entry is None:
        return
    async with disturbance(world):
        world.ledger.killed.add(entry.incarnation)
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(world.random.uniform(0.2, 3.0))
        entry.send(signal.SIGCONT)


async def pause_past_revocation(world: World) -> None:
    """Cut an entry off and let it stand still for longer than a key may be used.

    Keys are removed at its begin, and callers use removed ones around its end. It plays
    beside the registered faults, so that those of a seed are as before.
    """
    running = [one for one in world.entries if one.running()]
    if world.keys is None or not world.keys.has_long_pause or len(running) < 2:
        return
    entry = running[0]
    async with disturbance(world):
        world.ledger.killed.add(entry.incarnation)
        entry.store.set(Mode.SILENT)
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(NOTICE_S)
        removed = world.keys.remove_all_but_one(world)
        await asyncio.sleep(REVOCATION_S + NOTICE_S)
        world.keys.used_only = removed
        callers = [asyncio.create_task(world.use_connection(entry)) for _ in range(8)]
        await asyncio.sleep(NOTICE_S)
        entry.send(signal.SIGCONT)
        await asyncio.sleep(NOTICE_S)
        world.keys.used_only = []
        entry.store.set(Mode.PASS)
        await asyncio.gather(*callers, return_exceptions=True)


async def restore_past_revocation(world: World) -> None:
    """Let an entry start on a copy that has keys which were taken away since.

    The store comes back when they may no longer run, and the operator writes again 2 s
    later. It plays before the other faults, whose changes of keys would end it early.
    """
    assert world.keys is not None
    entry = world.restore_random.choice(world.entries)
    if entry.process is None:
        return
    earlier = world.store.copy()
    await asyncio.sleep(NOTICE_S)
    world.keys.used_only = world.keys.remove_all_but_one(world)
    await asyncio.sleep(REVOCATION_S)
    async with disturbance(world):
        world.ledger.killed.add(entry.incarnation)
        entry.send(signal.SIGKILL)
        await entry.process.wait()
        world.store.refuse_with = 503
        await entry.start()
        await asyncio.sleep(NOTICE_S)
        lost = world.store.copy()
        world.store.restore(earlier)
        world.store.refuse_with = None
        callers = [asyncio.create_task(keep_calling(world, entry)) for _ in range(4)]
        try:
            await asyncio.sleep(OPERATOR_S)
        finally:
            world.write_again(lost, since=earlier.revision)
            world.keys.used_only = []
            for caller in callers:
                caller.cancel()


async def keep_calling(world: World, entry: Entry) -> None:
    """Use one connection after the other to an entry that may not have started yet."""
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            await world.use_connection(entry)
        await asyncio.sleep(0.05)


async def restore_store(world: World) -> None:
    """Let the store come back from a copy a few seconds old, again and again.

    Those who live write again what is lost. It plays beside the registered faults, so
    that those of a seed are as before.
    """
    while True:
        await asyncio.sleep(world.restore_random.uniform(0.0, 2.0))
        earlier = world.store.copy()
        await asyncio.sleep(world.restore_random.uniform(0.5, 4.0))
        async with disturbance(world):
            world.store.refuse_with = 503
            await asyncio.sleep(world.restore_random.uniform(0.1, 1.0))
            lost = world.store.copy()
            world.store.restore(earlier)
            world.store.refuse_with = None
            try:
                await asyncio.sleep(world.restore_random.uniform(0.0, 0.3))
            finally:
                world.write_again(lost, since=earlier.revision)


async def deliver_late_reports(world: World) -> None:
    """Let one instance after the other leave, and an older report arrive after that.

    It plays beside the registered faults, so that those of a seed are as before.
    """
    while True:
        await asyncio.sleep(world.report_random.uniform(1.0, 4.0))
        await deliver_late_report(world, min_delay_s=0.5)


async def deliver_late_report(world: World, *, min_delay_s: float) -> None:
    """Let an instance leave, and a report of before reach the store after that.

    It reports that it drains, or its record is removed.
    """
    running = running_instances(world)
    if not running:
        return
    leaving = world.report_random.choice(running)
    held_up = leaving.record(sequence=LATE_SEQUENCE)
    leaving.leaving = True
    if world.report_random.random() < 0.5:
        drain = leaving.record(state="draining", sequence=LATE_SEQUENCE + 1)
        world.store.write(f"servers/{leaving.id}", drain)
    else:
        world.store.remove(f"servers/{leaving.id}")
    world.ledger.left[leaving.id] = time.monotonic()
    name = f"{leaving.service}{next(world.numbers)}"
    await world.add_instance(name, leaving.service, zone=leaving.zone)
    await asyncio.sleep(world.report_random.uniform(min_delay_s, MAX_DELAY_S))
    world.store.write(f"servers/{leaving.id}", held_up)
    await asyncio.sleep(HEARTBEAT_S)
    world.store.remove(f"servers/{leaving.id}")


async def planned_work(world: World) -> None:
    """Stop an entry while answers are read slowly, and let an instance leave.

    It plays before the other faults, as they would excuse what is lost.
    """
    await asyncio.sleep(1.0)
    entry = world.report_random.choice(world.entries)
    await asyncio.gather(
        stop_entry(world, entry),
        deliver_late_report(world, min_delay_s=DRAIN_TIMEOUT_S),
    )


@faults.register("stop")
async def stop(world: World) -> None:
    """Stop an entry as planned, with a repeated signal, and start it again."""
    entry = choose(world)
    if entry is not None:
        await stop_entry(world, entry, repeats=world.random.random() < 0.3)


async def stop_entry(world: World, entry: Entry, *, repeats: bool = False) -> None:
    """Stop an entry as planned, and start it again."""
    if entry.process is None:
        return
    name, began = entry.incarnation, time.monotonic()
    world.ledger.planned_stops[name] = (began, began + GRACE_S)
    if not await world.is_ready(entry):
        world.ledger.early_stops.add(name)
    entry.send(signal.SIGTERM)
    if repeats:
        await asyncio.sleep(0.2)
        entry.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S + 1):
            world.ledger.exits[name] = await entry.process.wait()
    except TimeoutError:
        world.ledger.exits[name] = -1
        entry.send(signal.SIGKILL)
        await entry.process.wait()
    await entry.start()


@faults.register("reload")
async def reload(world: World) -> None:
    """Send the signal to reload the settings."""
    entry = choose(world)
    if entry is not None:
        entry.send(signal.SIGHUP)


@faults.register("store link")
async def store_link(world: World) -> None:
    """Disturb the connections of some entries to the store."""
    mode = world.random.choice([one for one in Mode if one is not Mode.PASS])
    count = world.random.randint(1, len(world.entries))
    chosen = world.random.sample(world.entries, count)
    async with disturbance(world):
        for entry in chosen:
            entry.store.set(mode)
        await asyncio.sleep(world.random.uniform(0.5, 4.0))
        for entry in chosen:
            entry.store.set(Mode.PASS)
            # What was cut stays cut, and no reset tells of it.


@faults.register("store")
async def store(world: World) -> None:
    """Let the store refuse, be slow, lose answers or forget its history."""
    async with disturbance(world):
        match world.random.choice(["refuse", "slow", "lose", "compact"]):
            case "refuse":
                world.store.refuse_with = world.random.choice([429, 503])
            case "slow":
                world.store.delay_s = 0.3
            case "lose":
                world.store.lose_answers = True
            case _:
                world.store.compact()
        await asyncio.sleep(world.random.uniform(0.5, 3.0))
        world.store.refuse_with = None
        world.store.delay_s = 0.0
        world.store.lose_answers = False


@faults.register("instance link")
async def instance_link(world: World) -> None:
    """Disturb the connections of all entries to one instance."""
    proxy = world.random.choice(list(world.proxies.values()))
    mode = world.random.choice([one for one in Mode if one is not Mode.PASS])
    async with disturbance(world):
        proxy.set(mode)
        await asyncio.sleep(world.random.uniform(0.3, 3.0))
        proxy.set(Mode.PASS)


def choose_instance(world: World) -> StandinInstance:
    """Return an instance that is not leaving."""
    return world.random.choice(running_instances(world))


def running_instances(world: World) -> list[StandinInstance]:
    """Return the instances that neither leave nor restart."""
    return [
        one
        for one in world.instances
        if one.id not in world.ledger.left
        and one.id not in world.restarting
        and not one.leaving
    ]


@faults.register("quiet leave")
async def quiet_leave(world: World) -> None:
    """Let an instance tell of its leaving in its answers only, until it is gone."""
    leaving = choose_instance(world)
    await world.add_instance(f"{leaving.service}{next(world.numbers)}", leaving.service)
    leaving.leaving = True
    await asyncio.sleep(world.random.uniform(3.0, 5.0))
    world.store.remove(f"servers/{leaving.id}")


@faults.register("rest")
async def rest(world: World) -> None:
    """Let instances turn requests away for a while, and ask for a rest."""
    service = world.random.choice(SERVICES)
    everyone = [one for one in world.instances if one.service == service]
    count = len(everyone) if world.random.random() < 0.2 else 1
    chosen = world.random.sample(everyone, count)
    for one in chosen:
        world.resting[one.id] = world.random.uniform(0.1, 2.5)
    await asyncio.sleep(world.random.uniform(0.1, 1.5))
    for one in chosen:
        world.resting.pop(one.id, None)


@faults.register("drain")
async def drain(world: World) -> None:
    """Let an instance leave as planned, and another come."""
    leaving = choose_instance(world)
    leaving.leaving = True
    world.store.write(f"servers/{leaving.id}", leaving.record(state="draining"))
    world.ledger.left[leaving.id] = time.monotonic()
    name = f"{leaving.service}{next(world.numbers)}"
    await world.add_instance(name, leaving.service)
    await asyncio.sleep(3.0)
    world.store.remove(f"servers/{leaving.id}")


@faults.register("version")
async def version(world: World) -> None:
    """Accept a version that moves a route to another service."""
    world.configure(world.random.choice(["s", "t"]))


@faults.register("odd record")
async def odd_record(world: World) -> None:
    """Let another writer spoil records beside those of the instances."""
    name = f"servers/odd{next(world.numbers)}"
    for value in world.random.sample(ODD_VALUES, 3):
        world.store.write(name, value)
        await asyncio.sleep(world.random.uniform(0.0, 0.5))
    world.store.remove(name)


@faults.register("cold restart")
async def cold_restart(world: World) -> None:
    """Restart an instance under its id; at times its record tells of it late."""
    instance = choose_instance(world)
    async with disturbance(world):
        await world.restart(
            instance,
            down_s=world.random.uniform(0.05, 1.0),
            moves=world.random.random() < 0.5,
            late_s=world.random.choice([0.0, world.random.uniform(0.2, 1.0)]),
        )
    await world.report_until_warm(instance)


async def replace(world: World, ending: list[StandinInstance]) -> None:
    """End instances without a word, and start cold ones under new ids instead."""
    async with disturbance(world):
        fresh = []
        for one in ending:
            one.leaving = True
            world.proxies[one.id].stop()
            world.ledger.end(one.id, time.monotonic())
            world.store.remove(f"servers/{one.id}")
        for one in ending:
            name = f"{one.service}{next(world.numbers)}"
            cold_ms = round(COLD_S * 1000)
            fresh.append(
                await world.add_instance(
                    name, one.service, zone=one.zone, cold_ms=cold_ms
                )
            )
    await asyncio.gather(*map(world.report_until_warm, fresh))


@faults.register("cold zone")
async def cold_zone(world: World) -> None:
    """Replace all instances of a zone at once by cold ones."""
    zone = world.random.choice(list(ZONES))
    await replace(world, [one for one in running_instances(world) if one.zone == zone])


@faults.register("cold service")
async def cold_service(world: World) -> None:
    """Replace all instances of a service at once by cold ones."""
    service = world.random.choice(SERVICES)
    running = running_instances(world)
    await replace(world, [one for one in running if one.service == service])


@faults.register("cold again")
async def cold_again(world: World) -> None:
    """Let an instance become cold and say so in its record."""
    instance = choose_instance(world)
    record = instance.record(cold_ms=round(COLD_S * 1000))
    world.store.write(f"servers/{instance.id}", record)
    await asyncio.sleep(NOTICE_S)
    if instance in running_instances(world):
        world.chill(instance, COLD_S - NOTICE_S)
        await world.report_until_warm(instance)


@faults.register("evacuation")
async def evacuation(world: World) -> None:
    """Evacuate a zone; its instances are cold after that, without a word of theirs."""
    zone = world.random.choice(list(ZONES))
    key = f"op/evacuate/{zone}"
    if key in world.store.items:
        return
    world.store.write(key, b"{}")
    await asyncio.sleep(world.random.uniform(0.5, 2.0))
    world.store.remove(key)
    for instance in running_instances(world):
        if instance.zone == zone:
            world.chill(instance)
