"""Round trips to other regions, measured by connecting to their entries."""

from __future__ import annotations

import asyncio
import random

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.placement import Placement
from masticdeck.events import Code, EventLog
from masticdeck.state.fleet import Fleet, FleetEntry

FIRST_S = 0.2
"""Seconds between attempts until there is a first figure."""

REPEAT_S = 20.0
"""Seconds between measurements afterwards."""

CONNECT_TIMEOUT_S = 1.0
"""Longest round trip that is measured, in seconds."""

NOTABLE_CHANGE = 0.25
"""Change of the figure, as a part of it, that is taken over and logged."""


class TripMeter(BackgroundTask):
    """Tells the placement how far other regions are.

    A figure that varies by less than ``NOTABLE_CHANGE`` is kept, so that keys
    do not move for it.
    """

    def __init__(self, fleet: Fleet, placement: Placement, events: EventLog) -> None:
        super().__init__()
        self.fleet = fleet
        self.placement = placement
        self.events = events

    async def run(self) -> None:
        """Measure again and again."""
        while True:
            far = self.far_entries()
            if far:
                await self.measure(random.choice(far))
            await asyncio.sleep(REPEAT_S if self.placement.far_trip_s else FIRST_S)

    def far_entries(self) -> list[FleetEntry]:
        """Return the entries of other regions."""
        region_of = self.fleet.region_of
        return [
            one
            for one in self.fleet.entries.values()
            if region_of.get(one.zone) != self.placement.region
        ]

    async def measure(self, entry: FleetEntry) -> None:
        """Take the time of one connection; one that fails tells nothing."""
        began = boottime()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    entry.peer_host, entry.peer_port
                )
        except OSError:
            return
        self.learn(boottime() - began, entry)
        writer.close()

    def learn(self, seconds: float, entry: FleetEntry) -> None:
        """Take over a round trip that differs much from the known one."""
        known = self.placement.far_trip_s
        if known and abs(seconds - known) < NOTABLE_CHANGE * known:
            return
        self.placement.far_trip_s = seconds if not known else (known + seconds) / 2
        self.events.emit(
            Code.TRIP_MEASURED, entry=entry.id, ms=round(seconds * 1000, 1)
        )
