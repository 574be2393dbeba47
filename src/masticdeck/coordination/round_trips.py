"""Round trips to other regions, measured by connecting to their entries."""

from __future__ import annotations

import asyncio
import random

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.placement import Placement
from masticdeck.events import Code, EventLog
from masticdeck.state.fleet import Fleet, FleetEntry

INITIAL_INTERVAL_S = 0.2
"""Seconds between attempts until there is a first figure."""

MEASURE_INTERVAL_S = 20.0
"""Seconds between measurements afterwards."""

CONNECT_TIMEOUT_S = 1.0
"""Longest round trip that is measured, in seconds."""

MIN_RELATIVE_CHANGE = 0.25
"""Change of the figure, as a part of it, that is taken over and logged."""


class RoundTripMeter(BackgroundTask):
    """Tells the placement how far other regions are.

    A figure that varies by less than ``MIN_RELATIVE_CHANGE`` is kept, so that keys
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
            far = self.entries_in_other_regions()
            if far:
                await self.measure(random.choice(far))
            await asyncio.sleep(
                MEASURE_INTERVAL_S
                if self.placement.cross_region_rtt_s
                else INITIAL_INTERVAL_S
            )

    def entries_in_other_regions(self) -> list[FleetEntry]:
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
        self.update(boottime() - began, entry)
        writer.close()

    def update(self, rtt_s: float, entry: FleetEntry) -> None:
        """Take over a round trip that differs much from the known one."""
        known = self.placement.cross_region_rtt_s
        if known and abs(rtt_s - known) < MIN_RELATIVE_CHANGE * known:
            return
        self.placement.cross_region_rtt_s = rtt_s if not known else (known + rtt_s) / 2
        self.events.emit(Code.TRIP_MEASURED, entry=entry.id, ms=round(rtt_s * 1000, 1))
