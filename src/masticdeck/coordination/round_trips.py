"""Measures the round-trip time to other regions by connecting to their entries."""

from __future__ import annotations

import asyncio
import random

from masticdeck.application import BackgroundTask
from masticdeck.clock import boottime
from masticdeck.coordination.placement import Placement
from masticdeck.events import Code, EventLog
from masticdeck.state.fleet import Fleet, FleetEntry

INITIAL_INTERVAL_S = 0.2
"""Seconds between attempts before the first successful measurement."""

MEASURE_INTERVAL_S = 20.0
"""Seconds between measurements after the first one."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of a connection attempt, and longest round trip that is measured."""

MIN_RELATIVE_CHANGE = 0.25
"""Relative change from which a measurement is applied and logged."""


class RoundTripMeter(BackgroundTask):
    """Updates the cross-region round-trip time of the placement.

    A measurement that differs by less than ``MIN_RELATIVE_CHANGE`` is ignored, so
    that small variations do not move keys.
    """

    def __init__(self, fleet: Fleet, placement: Placement, events: EventLog) -> None:
        super().__init__(events)
        self.fleet = fleet
        self.placement = placement

    async def run(self) -> None:
        """Measure the round trip to a random entry of another region at intervals."""
        while True:
            remote_entries = self.entries_in_other_regions()
            if remote_entries:
                await self.measure(random.choice(remote_entries))
            await asyncio.sleep(
                MEASURE_INTERVAL_S
                if self.placement.cross_region_rtt_s
                else INITIAL_INTERVAL_S
            )

    def entries_in_other_regions(self) -> list[FleetEntry]:
        """Return the entries of other regions."""
        region_of = self.fleet.region_of
        return [
            entry
            for entry in self.fleet.entries.values()
            if region_of.get(entry.zone) != self.placement.region
        ]

    async def measure(self, entry: FleetEntry) -> None:
        """Measure the duration of one connect; a failed one gives no measurement."""
        started_at = boottime()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    entry.peer_host, entry.peer_port
                )
        except OSError:
            return
        self.update(boottime() - started_at, entry)
        writer.close()

    def update(self, rtt_s: float, entry: FleetEntry) -> None:
        """Apply a measurement that differs enough from the present value."""
        previous_s = self.placement.cross_region_rtt_s
        if previous_s and abs(rtt_s - previous_s) < MIN_RELATIVE_CHANGE * previous_s:
            return
        self.placement.cross_region_rtt_s = (
            rtt_s if not previous_s else (previous_s + rtt_s) / 2
        )
        self.events.emit(Code.TRIP_MEASURED, entry=entry.id, ms=round(rtt_s * 1000, 1))
