"""A report of an instance that reaches the store after a newer one of the same start."""

from __future__ import annotations

import asyncio
import json

from review.harness_3 import (
    Entry,
    Lab,
    StandinInstance,
    main,
    request_head,
    route,
)
from testing.platform.standin_instance import ReceivedRequest

HEARTBEAT_S = 1.5
DRAIN_S = 3.0
"""``drain_timeout`` of the site."""

HELD_UP_AT_S = -2.7
"""When the report is sent that arrives late; times count from the drain's report."""

ARRIVES_AT_S = 3.2
"""When it arrives: 5.9 s later, within the 6 s that the pages allow."""

OTHERS = 4
"""Instances beside the one that leaves, which is a share of 0.2 of its service."""

EXIT_AT_S = 4.2
"""When the instance exits: 1.2 s after it need not serve any longer."""

RESUME_AT_S = 3.3
CALLS = 8
CALL_INTERVAL_S = 0.1
WORK_S = 0.5
REMAINING_MS = 4000
BORN_MS = 1_796_000_000_000


async def work(instance: ReportingInstance, request: ReceivedRequest, writer) -> None:
    """Run a request for a while, and answer it."""
    instance.lab.note(f"{instance.id} runs {request.id}")
    instance.arrived_at[request.id] = asyncio.get_running_loop().time()
    await asyncio.sleep(WORK_S)
    writer.write(instance.head(request, 200, 0))
    instance.lab.note(f"{instance.id} answers {request.id}")


class ReportingInstance(StandinInstance):
    """An instance whose reports count up, and which can be told to drain and exit."""

    lab: Lab
    sequence = 0
    stored: bytes | None = None

    def report(self) -> bytes:
        """Return the next report on itself."""
        self.sequence += 1
        state = "draining" if self.leaving else "ready"
        fields = json.loads(self.record(state=state, born=BORN_MS))
        fields["status"]["sequence"] = self.sequence
        self.lab.note(f"{self.id} reports {state}, sequence {self.sequence}")
        return json.dumps(fields).encode()

    def deliver(self, report: bytes) -> None:
        """Let a report reach the store, which changes more than a sequence only."""
        if self.stored != without_sequence(report):
            self.stored = without_sequence(report)
            self.lab.store.write(f"servers/{self.id}", report)
            status = json.loads(report)["status"]
            self.lab.note(f"the store has {self.id}: {status}")

    async def report_until_exit(self, first_s: float, last_s: float) -> None:
        """Report at intervals; times count from now."""
        await asyncio.sleep(first_s)
        while first_s < last_s:
            self.deliver(self.report())
            await asyncio.sleep(HEARTBEAT_S)
            first_s += HEARTBEAT_S

    async def exit(self) -> None:
        """End as a process does: listening, connections and entry."""
        self.lab.note(f"{self.id} exits")
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.lab.store.remove(f"servers/{self.id}")

    async def serve(self, reader, writer) -> None:
        """Serve a connection, which ends with the instance."""
        self.writers.append(writer)
        await super().serve(reader, writer)


def without_sequence(report: bytes) -> bytes:
    """Return what a report says beside its sequence."""
    fields = json.loads(report)
    del fields["status"]["sequence"]
    return json.dumps(fields).encode()


async def create_instance(lab: Lab, name: str, zone: str) -> ReportingInstance:
    """Start an instance that has reported once."""
    instance = ReportingInstance(name, "u", zone=zone, born=BORN_MS, act=work)
    instance.lab, instance.writers, instance.arrived_at = lab, [], {}
    await instance.start()
    lab.instances.append(instance)
    instance.deliver(instance.report())
    return instance


async def call(lab: Lab, entry: Entry, request_id: str) -> None:
    """Send a request that is not idempotent, and note its answer."""
    reader, writer = await asyncio.open_connection(*entry.address("frontend"))
    try:
        writer.write(
            request_head(
                "POST", f"/u/{request_id}", request_id, remaining_ms=REMAINING_MS
            ).replace(b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n")
        )
        lab.note(f"{request_id} was sent to {entry.name}")
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)
        lab.note(f"{request_id}: {answer.decode('latin-1').split(chr(13))[0]}")
    except (asyncio.IncompleteReadError, OSError) as error:
        lab.note(f"{request_id}: {error!r}")
    finally:
        writer.close()


async def case(lab: Lab) -> bool:
    """Let an instance drain; return whether it gets requests after its time."""
    loop = asyncio.get_running_loop()
    leaving = await create_instance(lab, "i0", "cesis-a")
    for number in range(1, OTHERS + 1):
        await create_instance(lab, f"i{number}", "valmiera-b")
    lab.configure(1, [route("/u/", "unsafe", "u", timeout="3s", target_latency="1s")])
    entries = [await lab.add_entry(f"entry-{number}") for number in (1, 2)]
    await asyncio.gather(*(call(lab, entry, f"before-{entry.name}") for entry in entries))
    await asyncio.sleep(4)

    lab.note("a report is held up on its way" if lab.trouble else "a report arrives")
    held_up = leaving.report()
    if not lab.trouble:
        leaving.deliver(held_up)
    await asyncio.sleep(-HELD_UP_AT_S)
    leaving.leaving = True
    leaving.deliver(leaving.report())
    drained_at = loop.time()
    lab.note("the drain is acknowledged")
    lab.later(leaving.report_until_exit(HEARTBEAT_S, EXIT_AT_S))
    await asyncio.sleep(ARRIVES_AT_S)
    if lab.trouble:
        lab.note(f"the report of {-HELD_UP_AT_S} s before the drain arrives")
        leaving.deliver(held_up)
    await asyncio.sleep(RESUME_AT_S - ARRIVES_AT_S)
    calls = []
    for number in range(CALLS):
        for entry in entries:
            name = f"order-{entry.name}-{number}"
            calls.append(lab.later(call(lab, entry, name)))
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.sleep(max(0.0, drained_at + EXIT_AT_S - loop.time()))
    await leaving.exit()
    await asyncio.gather(*calls)
    late = [
        f"{name} ({at - drained_at:.2f} s)"
        for name, at in leaving.arrived_at.items()
        if at - drained_at > DRAIN_S
    ]
    lab.note(f"reached i0 later than {DRAIN_S} s: {', '.join(late) or 'none'}")
    return bool(late)


if __name__ == "__main__":
    main(case, __file__)
