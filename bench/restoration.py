"""Measures how a fleet of entries learns that its store came back from a copy.

``python -m bench.restoration 9 66 195`` starts so many entries' replicas, feeds and
registrations on loopback, some in each process, with a stand-in of the store. It prints
for each fleet the time from the new era until every entry uses a change that was made
after it, and the calls of the store in the four seconds from then on, beside those of
four calm seconds.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from asyncio.subprocess import Process
from collections import Counter
from contextlib import AsyncExitStack

import uvloop

from masticdeck.clock import HybridClock
from masticdeck.coordination.entry_registration import EntryRegistration
from masticdeck.coordination.feed import RecordReplica, StoreFeed
from masticdeck.coordination.feed_peers import FeedService, PeerFeed
from masticdeck.coordination.fleet_view import FleetView
from masticdeck.coordination.watcher_selector import WatcherSelector
from masticdeck.events import EventLog
from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.metrics import Metrics
from masticdeck.platform.records import PlatformRecords
from masticdeck.platform.store import PlatformStore
from masticdeck.state.fleet import Fleet, FleetEntry
from masticdeck.transport.peers import PeerServer
from testing.platform import standin_store
from testing.platform.standin_store import StandinStore

REGION_OF = {
    ZoneId(f"{region}-{zone}"): RegionId(region) for region in "abc" for zone in "123"
}
SPAN_S = 4.0
"""Seconds in which calls are counted: the time in which all register again."""

SETTLE_S = 4.0
ENTRIES_PER_PROCESS = 28
RECORDS = 144
LOST_WRITES = 200
PAGE_ITEMS = 500
CHANGED_KEY = "op/evacuate/a-1"


class FeedEntry:
    """The parts of an entry that learn of records, and its registration."""

    def __init__(self, number: int, zone: ZoneId, store: str) -> None:
        self.events = EventLog(f"entry-{number}", HybridClock())
        self.store = PlatformStore(
            store, events=self.events, metrics=Metrics(zone=zone)
        )
        self.fleet = Fleet(dict(REGION_OF))
        self.view = FleetView(self.fleet, PlatformRecords(), self.events)
        self.replica = RecordReplica(self.view)
        self.peer_server = PeerServer("127.0.0.1", 0, [FeedService(self.replica)])
        self.number = number
        self.zone = zone

    async def start(self, stack: AsyncExitStack) -> None:
        """Start everything; the stack ends it."""
        await self.peer_server.start()
        stack.push_async_callback(self.peer_server.stop)
        server = self.peer_server.server
        assert server is not None
        port = server._server.sockets[0].getsockname()[1]
        entry = FleetEntry(
            id=EntryId(f"entry-{self.number}"),
            zone=self.zone,
            caller_address="127.0.0.1:1",
            peer_host="127.0.0.1",
            peer_port=port,
            incarnation=time.time_ns(),
        )
        watchers = WatcherSelector(self.fleet, entry)
        store_feed = StoreFeed(
            self.store,
            self.replica,
            self.events,
            should_follow=lambda: watchers.should_follow_store(self.replica),
        )
        peer_feed = PeerFeed(self.replica, store_feed, watchers, self.events)
        self.registration = EntryRegistration(
            self.store, entry, self.events, is_listed=lambda: True
        )
        self.replica.on_era_begun += [
            self.store.note_era,
            self.registration.begin_era,
        ]
        for part in (self.store, store_feed, peer_feed, self.registration):
            await part.start()
            stack.push_async_callback(part.stop)


async def count_calls(store: StandinStore) -> tuple[Counter[str], int]:
    """Return the calls of a span by kind, and the most in a tenth of a second."""
    calls: Counter[str] = Counter()
    most = 0
    until = time.monotonic() + SPAN_S
    while time.monotonic() < until:
        store.calls.clear()
        await asyncio.sleep(0.1)
        calls.update(store.calls)
        most = max(most, len(store.calls))
    return calls, most


async def run_entries(first: int, count: int, store: str) -> None:
    """Run some entries of a fleet, and print when each of them uses the change.

    The last line is the number of entries that are registered then.
    """
    zones = list(REGION_OF)
    async with AsyncExitStack() as stack:
        entries = [
            FeedEntry(number, zones[number % len(zones)], store)
            for number in range(first, first + count)
        ]
        for entry in entries:
            await entry.start(stack)
        while not all(entry.fleet.evacuated for entry in entries):
            await asyncio.sleep(0.01)
        print(time.monotonic(), flush=True)
        await asyncio.sleep(SPAN_S)
        print(sum(entry.registration.is_held() for entry in entries), flush=True)


async def start_entries(first: int, count: int, store: str) -> Process:
    """Start a process that runs some entries of a fleet."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bench.restoration", "--entries", str(first), str(count), store),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )


async def measure(count: int) -> dict[str, object]:
    """Return what a restoration costs a fleet."""
    standin_store.PAGE_ITEMS = PAGE_ITEMS
    store = StandinStore()
    store.era = 1
    await store.start()
    for number in range(RECORDS):
        store.write(f"masticdeck/record-{number}", b"{}")
    processes = [
        await start_entries(
            first, min(ENTRIES_PER_PROCESS, count - first), store.address
        )
        for first in range(0, count, ENTRIES_PER_PROCESS)
    ]
    while len([key for key in store.items if "entries/" in key]) < count:
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    calm, calm_most = await count_calls(store)
    earlier = store.copy()
    for number in range(LOST_WRITES):
        store.write(f"masticdeck/record-{number % RECORDS}", str(number).encode())
    await asyncio.sleep(1.0)
    began = time.monotonic()
    store.restore(earlier)
    store.write(CHANGED_KEY, b"{}")
    calls, most = await count_calls(store)
    outputs = [(await process.communicate())[0].split() for process in processes]
    await store.stop()
    return {
        "entries": count,
        "in_use_by_all_s": round(max(float(one[0]) for one in outputs) - began, 2),
        "registered": sum(int(one[1]) for one in outputs),
        "calls_an_entry": round((sum(calls.values()) - sum(calm.values())) / count, 2),
        "calls": dict(calls),
        "calls_calm": dict(calm),
        "most_in_tenth": most,
        "most_in_tenth_calm": calm_most,
    }


def main() -> None:
    """Print a line for each size of fleet."""
    if sys.argv[1:2] == ["--entries"]:
        first, count, store = sys.argv[2:]
        uvloop.run(run_entries(int(first), int(count), store))
        return
    for count in map(int, sys.argv[1:] or ["9", "66"]):
        print(uvloop.run(measure(count)), flush=True)


if __name__ == "__main__":
    main()
