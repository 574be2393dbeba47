"""``make demo``: the riga example on loopback for about fifteen seconds.

Starts stand-ins and nine entries, sends all four services' load, changes a
plan, drains a backend instance and stops an entry meanwhile. Prints a table
and returns 1 when a promise broke. The events are kept in ``out/demo``.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import secrets
import shutil
import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from bench.demo_orders import OrderCaller
from bench.fleet import ROOT, Fleet
from bench.scenario import Scenario, send_load, stream
from masticdeck.clock import stamp_seconds
from masticdeck.events import Code
from masticdeck.load.records import Record, Result, read_records
from masticdeck.protocol.event_feed import decode_events
from masticdeck.state.timeline import Filter, Timeline, lines

OUT = ROOT / "out" / "demo"
DURATION_S = 14.0
CHANGE_AT_S = 3.0
DRAIN_AT_S = 6.0
STOP_AT_S = 9.0
VETO_WINDOW_S = 0.5
LAST_NEW_WORK_S = 2.0
DRAINED = "katalogs-3"
STOPPED = "entry-9"
ORDERS = "pasutijumi"
STREAMS = [
    stream("katalogs", "urgent", 150.0),
    stream("krajums", "low", 60.0),
    stream("raksti", "low", 20.0, file_bytes=200_000),
]


class Demo:
    """One run of the demo."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.broken: list[str] = []
        self.version = 0

    def say(self, text: str) -> None:
        """Print a line of progress."""
        print(text, flush=True)

    def check(self, promise: str, holds: bool) -> None:
        """Note a promise that broke."""
        self.say(f"  {'held  ' if holds else 'BROKEN'}  {promise}")
        if not holds:
            self.broken.append(promise)

    async def ctl(self, *arguments: str) -> dict[str, Any]:
        """Run masticdeckctl and return its JSON answer."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "masticdeck.programs.ctl",
            *arguments,
            "--json",
            "--deployment",
            str(self.fleet.deployment_path),
            "--token-file",
            str(self.fleet.folder / "operator.token"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        if process.returncode:
            raise RuntimeError(f"masticdeckctl {arguments}: {errors.decode()}")
        answer: dict[str, Any] = json.loads(output)
        return answer

    async def propose(self, folder: Path, *, base: int) -> None:
        """Propose lists, accept them when the window has passed."""
        name = f"p-{secrets.token_hex(3)}"
        await self.ctl("propose", str(folder), "--id", name, "--base", str(base))
        answer = await self.ctl("accept", name, "--wait", "20")
        self.version = int(answer["version"])
        self.say(f"proposal {name} accepted as version {self.version}")

    async def change_plan(self) -> None:
        """Raise the partners' capacity while requests are served."""
        await asyncio.sleep(CHANGE_AT_S)
        folder = self.fleet.folder / "changed"
        shutil.copytree(ROOT / "examples" / "riga", folder)
        plans = folder / "plans.jsonc"
        text = plans.read_text(encoding="utf-8")
        plans.write_text(text.replace('"capacity": 0.5', '"capacity": 0.6'))
        await self.propose(folder, base=self.version)

    async def drain_instance(self) -> None:
        """Drain a backend instance while requests are served."""
        await asyncio.sleep(DRAIN_AT_S)
        await self.ctl("drain", DRAINED)
        self.say(f"drain of {DRAINED} began")

    async def stop_entry(self) -> None:
        """Stop an entry while requests are served."""
        await asyncio.sleep(STOP_AT_S)
        self.say(f"{STOPPED} is told to stop")
        status = await self.fleet.terminate(STOPPED)
        self.say(f"{STOPPED} ended with status {status}")
        self.check("a planned stop exits with 0", status == 0)

    async def run(self) -> None:
        """Run everything and print the results."""
        fleet = self.fleet
        OUT.mkdir(parents=True, exist_ok=True)
        events = OUT / "events.jsonl"
        events.unlink(missing_ok=True)
        await fleet.spawn(
            "timeline",
            "masticdeck.programs.timeline",
            "--deployment",
            str(fleet.deployment_path),
            "--follow",
            "--save",
            str(events),
        )
        await self.propose(ROOT / "examples" / "riga", base=0)
        orders = OrderCaller(
            session=fleet.session,
            urls=[fleet.entry_url(entry) for entry in fleet.entry_ids],
            service=ORDERS,
            rate=40.0,
            wait_s=2.0,
        )
        scenario = Scenario(
            name="demo", deployment="riga", duration_s=DURATION_S, streams=STREAMS
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(send_load(fleet, scenario))
            group.create_task(orders.run(DURATION_S))
            group.create_task(self.change_plan())
            group.create_task(self.drain_instance())
            group.create_task(self.stop_entry())
        await asyncio.sleep(1.0)
        records = read_records(sorted(fleet.folder.glob("out/part-*.json"))).requests
        print_table([*records, *orders.records])
        await self.check_promises(records, orders, events)

    async def check_promises(
        self, records: list[Record], orders: OrderCaller, events: Path
    ) -> None:
        """Compare what callers were told with what the backends did."""
        stats = await self.fleet.instance_stats()
        whole = [*records, *orders.records]
        ran = await self.fleet.runs_by_key()
        twice = sum(len(one["ran_twice"]) for one in stats.values())
        timeline = read_timeline(events)
        late_work = stats[DRAINED]["last_new_work"] - drain_time(timeline)
        wrong = sum(one.result is Result.WRONG for one in whole)
        cut = sum(one.result in (Result.UNKNOWN, Result.STALLED) for one in whole)
        over = sum(one["over_slots"] for one in stats.values())
        lost = sum(not ran[key] for key in orders.done_keys)
        false_refusals = sum(ran[key] > 0 for key in orders.not_run_keys)
        self.say("promises:")
        self.check("each answer is the whole answer to its request", wrong == 0)
        self.check("no request in flight is cut", cut == 0)
        self.check("no instance gets more than its slots", over == 0)
        self.check("no order runs twice", twice == 0)
        self.check("no order that was answered is missing", lost == 0)
        self.check("each refusal that says not run is true", false_refusals == 0)
        self.check(
            f"the drained instance gets no new work after {LAST_NEW_WORK_S:.0f} s "
            f"(last after {max(0.0, late_work):.2f} s)",
            late_work <= LAST_NEW_WORK_S,
        )
        self.check_in_force(timeline)
        self.say(f"{len(timeline.events)} events kept in out/demo/events.jsonl")
        self.show_order(timeline)

    def check_in_force(self, timeline: Timeline) -> None:
        """Find the accepted version in force in every entry's events."""
        rows = timeline.ordered(Filter(codes=frozenset({Code.VERSION_IN_FORCE})))
        reached = {
            event.process
            for event in rows
            if event.fields.get("version") == str(self.version)
        }
        everywhere = reached >= set(self.fleet.entry_ids)
        self.check(f"version {self.version} is in force at every entry", everywhere)

    def show_order(self, timeline: Timeline) -> None:
        """Print one order's way over three entries, and how to see it again."""
        relayed = timeline.ordered(Filter(codes=frozenset({Code.ORDER_RELAYED})))
        if not relayed:
            return
        key = relayed[0].fields["order"]
        self.say("one order's way:")
        for line in lines(timeline.ordered(Filter(subjects={"order": key}))):
            self.say(f"  {line[:110]}")
        self.say(f"  masticdeck-timeline --load out/demo/events.jsonl --order {key}")


def read_timeline(path: Path) -> Timeline:
    """Return the time line in a file of events."""
    timeline = Timeline()
    timeline.add(decode_events(path.read_bytes()))
    return timeline


def drain_time(timeline: Timeline) -> float:
    """Return when an entry got the order to drain, in seconds since the epoch."""
    asked = Filter(
        subjects={"subject": DRAINED}, codes=frozenset({Code.OPERATOR_REQUEST})
    )
    return stamp_seconds(timeline.ordered(asked)[0].stamp)


def print_table(records: Iterable[Record]) -> None:
    """Print the results by rank and service."""
    groups: defaultdict[tuple[int, str, str], list[Record]] = defaultdict(list)
    for one in records:
        groups[one.rank.order, one.rank.value, one.stream].append(one)
    head = ("rank", "service", "asked", "in wait", "p50 ms", "p99 ms", "not run", "?")
    print("{:<8}{:<22}{:>7}{:>9}{:>9}{:>9}{:>9}{:>5}".format(*head))
    for (_, rank, name), chosen in sorted(groups.items()):
        times = sorted(one.seconds for one in chosen if one.result is Result.CORRECT)
        refused = sum(one.result is Result.REFUSED for one in chosen)
        unknown = sum(one.result is Result.UNKNOWN for one in chosen)
        print(
            f"{rank:<8}{name:<22}{len(chosen):>7}{len(times):>9}"
            f"{quantile_ms(times, 0.5):>9.1f}{quantile_ms(times, 0.99):>9.1f}"
            f"{refused:>9}{unknown:>5}"
        )


def quantile_ms(times: list[float], part: float) -> float:
    """Return a quantile of sorted seconds, in milliseconds."""
    return 1000 * times[int(part * (len(times) - 1))] if times else 0.0


def write_tokens(fleet: Fleet) -> Path:
    """Write an operator's token and the file that the entries check it by."""
    token = secrets.token_hex(16)
    (fleet.folder / "operator.token").write_text(token, encoding="utf-8")
    digest = hashlib.sha256(token.encode()).hexdigest()
    path = fleet.folder / "tokens.json"
    line = {"role": "operator", "name": "demo", "sha256": digest}
    path.write_text(json.dumps({"tokens": [line]}), encoding="utf-8")
    return path


async def main() -> int:
    """Run the demo and return its exit status."""
    fleet = Fleet("riga")
    fleet.settings = {
        "operator_tokens": str(write_tokens(fleet)),
        "veto_window_s": VETO_WINDOW_S,
        "lookup_ttl_s": 1.0,
        "log_level": "warning",
    }
    print("starting 9 entries, 50 backend instances and the platform", flush=True)
    async with fleet:
        demo = Demo(fleet)
        await demo.run()
    broken = len(demo.broken)
    print("every promise held" if not broken else f"{broken} promises broke")
    return 1 if broken else 0


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    sys.exit(asyncio.run(main()))
