"""Turns records into the live view of the fleet."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from masticdeck.clock import boottime
from masticdeck.events import Code, EventLog
from masticdeck.ids import EntryId, InstanceId, ZoneId
from masticdeck.protocol.records import RecordDecoder, RecordInvalid, RecordKind
from masticdeck.state.fleet import Fleet, FleetEntry, FleetInstance, InstanceState

ENTRY_PREFIX = "masticdeck/entries/"

EXPIRY_GRACE_S = 2.0
"""How long a record that lapsed in an outage may still come back, in seconds."""

DEFAULT_COLD_S = 3.0
"""Cold time after an evacuation of services that state none, in seconds."""


class FleetView:
    """Listens to the records and keeps a ``Fleet`` current.

    An instance whose record lapsed while the store was away stays in use for
    ``EXPIRY_GRACE_S``; one that is gone by then was really gone.
    """

    def __init__(self, fleet: Fleet, decoder: RecordDecoder, events: EventLog) -> None:
        self.fleet = fleet
        self.decoder = decoder
        self.events = events
        self.removal_timers: dict[InstanceId, asyncio.TimerHandle] = {}
        self.on_instance_removed: list[Callable[[FleetInstance], None]] = []

    def record_changed(
        self, key: str, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Take a record's new value; a spoilt record names nothing to use."""
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
            elif key.startswith(ENTRY_PREFIX):
                self.apply_entry(EntryId(key[len(ENTRY_PREFIX) :]), value)
        except RecordInvalid as error:
            self.events.emit(
                Code.RECORD_INVALID, level=logging.WARNING, key=key, error=error
            )
            if kind is RecordKind.INSTANCE:
                self.remove_instance(InstanceId(name), reason="unreadable record")

    def apply_routes(self, value: bytes) -> None:
        """Put a configuration in force unless it is older."""
        routes = self.decoder.decode_routes(value)
        if self.fleet.use_routes(routes):
            self.events.emit(Code.VERSION_IN_FORCE, version=routes.version)

    def apply_evacuation(self, zone: ZoneId, *, begun: bool) -> None:
        """Begin or end the evacuation of a zone."""
        if begun:
            self.fleet.begin_evacuation(zone)
            self.events.emit(Code.EVACUATION_BEGUN, zone=zone)
        elif zone in self.fleet.evacuated:
            routes = self.fleet.routes
            services = () if routes is None else routes.services.values()
            cold_s = max((one.cold_start_s for one in services), default=DEFAULT_COLD_S)
            self.fleet.end_evacuation(zone, cold_until=boottime() + cold_s)
            self.events.emit(Code.EVACUATION_ENDED, zone=zone, cold_s=cold_s)

    def apply_instance(
        self, instance: InstanceId, value: bytes | None, *, maybe_expired: bool
    ) -> None:
        """Take an instance's record, or its removal."""
        if value is None:
            self.apply_instance_removal(instance, maybe_expired=maybe_expired)
            return
        self.cancel_removal(instance)
        decoded = self.decoder.decode_instance(instance, value, boottime())
        known = self.fleet.instances.get(instance)
        if known is not None and known.born_ms != decoded.born_ms:
            self.notify_removed(known)
        self.fleet.put_instance(decoded)
        if known is None or known.state is not decoded.state:
            self.events.emit(
                Code.INSTANCE_SEEN,
                instance=instance,
                service=decoded.service,
                zone=decoded.zone,
                state=decoded.state.value,
                cold_s=round(max(0.0, decoded.cold_until - boottime()), 3),
            )

    def apply_instance_removal(
        self, instance: InstanceId, *, maybe_expired: bool
    ) -> None:
        """Remove an instance, after a while if its record may come back."""
        known = self.fleet.instances.get(instance)
        if known is None:
            return
        if not maybe_expired or known.state is InstanceState.DRAINING:
            self.remove_instance(instance, reason="record removed")
            return
        self.events.emit(Code.INSTANCE_MISSING, instance=instance)
        self.cancel_removal(instance)
        self.removal_timers[instance] = asyncio.get_running_loop().call_later(
            EXPIRY_GRACE_S, self.remove_expired_instance, instance
        )

    def remove_expired_instance(self, instance: InstanceId) -> None:
        """Remove an instance whose record has not come back."""
        self.removal_timers.pop(instance, None)
        self.remove_instance(instance, reason="record lapsed")

    def cancel_removal(self, instance: InstanceId) -> None:
        """Keep an instance whose record is back."""
        timer = self.removal_timers.pop(instance, None)
        if timer is not None:
            timer.cancel()

    def remove_instance(self, instance: InstanceId, *, reason: str) -> None:
        """Stop using an instance."""
        self.cancel_removal(instance)
        known = self.fleet.remove_instance(instance)
        if known is not None:
            self.notify_removed(known)
            self.events.emit(Code.INSTANCE_GONE, instance=instance, reason=reason)

    def notify_removed(self, instance: FleetInstance) -> None:
        """Let others forget what they know of an incarnation."""
        for forget in self.on_instance_removed:
            forget(instance)

    def apply_entry(self, entry: EntryId, value: bytes | None) -> None:
        """Take another entry's record, or its removal."""
        if value is None:
            if self.fleet.entries.pop(entry, None) is not None:
                self.events.emit(Code.ENTRY_GONE, entry=entry)
            return
        decoded = decode_entry(entry, value)
        if entry not in self.fleet.entries:
            self.events.emit(Code.ENTRY_SEEN, entry=entry, zone=decoded.zone)
        self.fleet.entries[entry] = decoded


def encode_entry(entry: FleetEntry) -> bytes:
    """Return the record of an entry."""
    fields = {
        "zone": entry.zone,
        "caller_address": entry.caller_address,
        "peer_host": entry.peer_host,
        "peer_port": entry.peer_port,
        "incarnation": entry.incarnation,
    }
    return json.dumps(fields).encode()


def decode_entry(entry: EntryId, value: bytes) -> FleetEntry:
    """Return an entry from its record, or raise RecordInvalid."""
    try:
        fields = json.loads(value)
        return FleetEntry(
            id=entry,
            zone=ZoneId(str(fields["zone"])),
            caller_address=str(fields["caller_address"]),
            peer_host=str(fields["peer_host"]),
            peer_port=int(fields["peer_port"]),
            incarnation=int(fields["incarnation"]),
        )
    except (ValueError, TypeError, KeyError) as error:
        raise RecordInvalid(f"{type(error).__name__}: {error}") from None
