"""Applies records of the platform's store to the state of the fleet."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable

from masticdeck.clock import boottime
from masticdeck.coordination.record_order.rules import RULES, WriterOrder
from masticdeck.coordination.zone_returns import RETURN_PREFIX, decode_return
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, InstanceId, ZoneId
from masticdeck.protocol.records import (
    INVALID_RECORD_ERRORS,
    RecordDecoder,
    RecordInvalid,
    RecordKind,
)
from masticdeck.state.fleet import (
    DEFAULT_CPU_CORES,
    DEFAULT_LINK_MBPS,
    ColdSource,
    Fleet,
    FleetEntry,
    FleetInstance,
    InstanceState,
)

ENTRY_PREFIX = "masticdeck/entries/"
MAX_PORT = 65_535

EXPIRY_GRACE_S = 2.0
"""Time for which an instance stays in use after its record may have expired."""

DEFAULT_COLD_S = 3.0
"""Cold time of an instance if no service states a cold start time."""

MAX_RETURN_COLD_S = 60.0
"""Longest cold time of a returned zone that is believed, whatever its record says.

The configuration may not have been read yet.
"""


class FleetView:
    """Keeps a ``Fleet`` up to date with the records.

    An instance whose record may have expired during an outage of the store stays
    in use for ``EXPIRY_GRACE_S``. If its record has not returned by then, the
    instance is removed.
    """

    def __init__(self, fleet: Fleet, decoder: RecordDecoder, events: EventLog) -> None:
        self.fleet = fleet
        self.decoder = decoder
        self.events = events
        self.removal_timers: dict[InstanceId, asyncio.TimerHandle] = {}
        self.on_instance_removed: list[Callable[[FleetInstance], None]] = []
        self.on_other_record: list[Callable[[str, bytes | None], None]] = []
        self.on_zone_returned: list[Callable[[ZoneId, float], None]] = []
        self.on_routes_read: list[Callable[[bool], None]] = []

    def record_changed(
        self, key: str, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Apply a record's new value; an invalid record of an instance removes it."""
        kind, name = self.decoder.classify(key)
        try:
            if kind is RecordKind.ROUTES and value is not None:
                self.apply_routes(value)
            elif kind is RecordKind.EVACUATION:
                self.apply_evacuation(ZoneId(name), begun=value is not None)
            elif kind is RecordKind.INSTANCE:
                self.apply_instance(
                    InstanceId(name), value, maybe_expired=maybe_expired
                )
            elif key.startswith(RETURN_PREFIX) and value is not None:
                self.apply_zone_return(ZoneId(key[len(RETURN_PREFIX) :]), value)
            elif key.startswith(ENTRY_PREFIX):
                self.apply_entry(EntryId(key[len(ENTRY_PREFIX) :]), value)
            else:
                for handler in self.on_other_record:
                    handler(key, value)
        except RecordInvalid as error:
            self.events.emit(
                Code.RECORD_INVALID, level=logging.WARNING, key=key, error=error
            )
            if kind is RecordKind.INSTANCE:
                self.remove_instance(InstanceId(name), reason="unreadable record")
            elif kind is RecordKind.ROUTES:
                self.notify_routes_read(is_readable=False)

    def apply_routes(self, value: bytes) -> None:
        """Put a configuration in force unless it is outdated."""
        routes = self.decoder.decode_routes(value)
        self.notify_routes_read(is_readable=True)
        if not self.fleet.use_routes(routes):
            return
        self.events.emit(Code.VERSION_IN_FORCE, version=routes.version)
        workspaces = routes.workspaces
        if workspaces is not None and (workspaces.omitted or workspaces.shared_keys):
            self.events.emit(
                Code.WORKSPACES_OMITTED,
                level=logging.WARNING,
                version=routes.version,
                omitted=len(workspaces.omitted),
                error=next(iter(workspaces.omitted), ""),
                shared_keys=workspaces.shared_keys,
            )

    def notify_routes_read(self, *, is_readable: bool) -> None:
        """Notify listeners whether the newest configuration could be read."""
        for listener in self.on_routes_read:
            listener(is_readable)

    def apply_evacuation(self, zone: ZoneId, *, begun: bool) -> None:
        """Begin or end the evacuation of a zone."""
        if begun:
            self.fleet.begin_evacuation(zone)
            self.events.emit(Code.EVACUATION_BEGUN, zone=zone)
        elif zone in self.fleet.evacuated:
            self.end_evacuation(zone)

    def end_evacuation(self, zone: ZoneId) -> None:
        """Use a zone again whose instances are cold now."""
        cold_s = self.max_cold_s()
        self.fleet.end_evacuation(zone, cold_until=boottime() + cold_s)
        self.events.emit(Code.EVACUATION_ENDED, zone=zone, cold_s=cold_s)
        for listener in self.on_zone_returned:
            listener(zone, cold_s)

    def unseen_record_deleted(self, key: str) -> None:
        """Handle the end of a record that was never seen.

        After an evacuation the instances are cold, also where it was not known.
        """
        kind, name = self.decoder.classify(key)
        if kind is RecordKind.EVACUATION:
            self.end_evacuation(ZoneId(name))

    def apply_zone_return(self, zone: ZoneId, value: bytes) -> None:
        """Apply another entry's word of how long a returned zone stays cold."""
        cold_s = min(decode_return(value), MAX_RETURN_COLD_S)
        if cold_s > 0 and zone not in self.fleet.evacuated:
            self.fleet.extend_zone_cold_time(zone, boottime() + cold_s)

    def max_cold_s(self) -> float:
        """Return the longest time for which an instance is cold, in seconds."""
        routes = self.fleet.routes
        services = () if routes is None else routes.services.values()
        return max(
            (service.cold_start_s for service in services), default=DEFAULT_COLD_S
        )

    def apply_instance(
        self, instance: InstanceId, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Apply the record of an instance, or its removal."""
        if value is None:
            self.apply_instance_removal(instance, maybe_expired=maybe_expired)
            return
        self.cancel_removal(instance)
        decoded = self.decoder.decode_instance(instance, value, boottime())
        previous = self.fleet.instances.get(instance)
        if previous is not None and previous.born_ms != decoded.born_ms:
            self.notify_removed(previous)
        self.fleet.put_instance(decoded)
        self.log_cold_instance(previous, decoded)
        if previous is None or previous.state is not decoded.state:
            self.events.emit(
                Code.INSTANCE_SEEN,
                instance=instance,
                service=decoded.service,
                zone=decoded.zone,
                state=decoded.state.value,
                cold_s=round(max(0.0, decoded.cold_until - boottime()), 3),
            )

    def log_cold_instance(
        self, previous: FleetInstance | None, current: FleetInstance
    ) -> None:
        """Log that an instance counts as cold from now on."""
        now = boottime()
        was_cold = previous is not None and previous.cold_until > now
        if current.cold_until <= now or (
            was_cold and previous is not None and previous.born_ms == current.born_ms
        ):
            return
        self.events.emit(
            Code.INSTANCE_COLD,
            instance=current.id,
            born=current.born_ms,
            cold_ms=round((current.cold_until - now) * 1000),
            source=ColdSource.RECORD.value,
        )

    def apply_instance_removal(
        self, instance: InstanceId, *, maybe_expired: bool
    ) -> None:
        """Remove an instance, after a grace period if its record may have expired."""
        previous = self.fleet.instances.get(instance)
        if previous is None:
            return
        if not maybe_expired or previous.state is InstanceState.DRAINING:
            self.remove_instance(instance, reason="record removed")
            return
        self.events.emit(Code.INSTANCE_MISSING, instance=instance)
        self.cancel_removal(instance)
        self.removal_timers[instance] = asyncio.get_running_loop().call_later(
            EXPIRY_GRACE_S, self.remove_expired_instance, instance
        )

    def remove_expired_instance(self, instance: InstanceId) -> None:
        """Remove an instance whose record has not returned in the grace period."""
        self.removal_timers.pop(instance, None)
        self.remove_instance(instance, reason="record expired")

    def cancel_removal(self, instance: InstanceId) -> None:
        """Cancel the removal of an instance."""
        timer = self.removal_timers.pop(instance, None)
        if timer is not None:
            timer.cancel()

    def remove_instance(self, instance: InstanceId, *, reason: str) -> None:
        """Remove an instance from the fleet."""
        self.cancel_removal(instance)
        removed = self.fleet.remove_instance(instance)
        if removed is not None:
            self.notify_removed(removed)
            self.events.emit(Code.INSTANCE_GONE, instance=instance, reason=reason)

    def notify_removed(self, instance: FleetInstance) -> None:
        """Notify listeners that an incarnation of an instance no longer exists."""
        for listener in self.on_instance_removed:
            listener(instance)

    def apply_entry(self, entry: EntryId, value: bytes | None) -> None:
        """Apply the record of another entry, or its removal."""
        if value is None:
            if self.fleet.remove_entry(entry) is not None:
                self.events.emit(Code.ENTRY_GONE, entry=entry)
            return
        decoded = decode_entry(entry, value)
        if self.fleet.put_entry(decoded) is None:
            self.events.emit(Code.ENTRY_SEEN, entry=entry, zone=decoded.zone)


def encode_entry(entry: FleetEntry) -> bytes:
    """Return the record of an entry."""
    fields = {
        "zone": entry.zone,
        "caller_address": entry.caller_address,
        "peer_host": entry.peer_host,
        "peer_port": entry.peer_port,
        "incarnation": entry.incarnation,
        "cpu_cores": entry.cpu_cores,
        "link_mbps": entry.link_mbps,
    }
    return json.dumps(fields).encode()


def decode_entry(entry: EntryId, value: bytes) -> FleetEntry:
    """Return an entry from its record, or raise RecordInvalid.

    An entry of an older version does not state the size of its VM.
    """
    try:
        fields = json.loads(value)
        return FleetEntry(
            id=entry,
            zone=ZoneId(str(fields["zone"])),
            caller_address=str(fields["caller_address"]),
            peer_host=str(fields["peer_host"]),
            peer_port=decode_port(fields["peer_port"]),
            incarnation=int(fields["incarnation"]),
            cpu_cores=decode_size(fields.get("cpu_cores", DEFAULT_CPU_CORES)),
            link_mbps=decode_size(fields.get("link_mbps", DEFAULT_LINK_MBPS)),
        )
    except INVALID_RECORD_ERRORS as error:
        raise RecordInvalid(f"{type(error).__name__}: {error}"[:200]) from None


@RULES.register(ENTRY_PREFIX)
def read_entry_order(value: bytes) -> WriterOrder | None:
    """Return the start of the process that wrote an entry's record."""
    try:
        return (int(json.loads(value)["incarnation"]),)
    except INVALID_RECORD_ERRORS:
        return None


def decode_port(value: object) -> int:
    """Return a port, or raise ValueError or TypeError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a port")
    if not 0 < value <= MAX_PORT:
        raise ValueError("a port out of range")
    return value


def decode_size(value: object) -> float:
    """Return the size of a VM's processor or link, or raise ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0 < value < math.inf:
        raise ValueError(f"{value!r} is not a size")
    return float(value)
