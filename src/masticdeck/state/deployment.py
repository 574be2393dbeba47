"""The deployment: regions, zones, links, services, instances and entries.

The file is JSON with comments; ``load_deployment`` validates it and reports
all errors at once.
"""

from __future__ import annotations

from collections import Counter
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any

import json5
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from masticdeck.errors import SettingsInvalid
from masticdeck.ids import EntryId, InstanceId, Rank, RegionId, ServiceId, ZoneId

Milliseconds = Annotated[float, Field(ge=0)]
Port = Annotated[int, Field(ge=1, le=65535)]


class Model(BaseModel):
    """Base of every settings model: immutable and without unknown fields."""

    model_config = ConfigDict(
        frozen=True, extra="forbid", ignored_types=(cached_property,)
    )


class Zone(Model):
    """An availability zone within a region."""

    id: ZoneId
    region: RegionId


class Link(Model):
    """Link between two regions, shared by all traffic in each direction."""

    regions: tuple[RegionId, RegionId]
    bytes_per_s: Annotated[int, Field(gt=0)]


class Service(Model):
    """A kind of backend server that callers name in requests."""

    id: ServiceId
    rank: Rank
    agreed_wait_ms: dict[Rank, Annotated[float, Field(gt=0)]]
    service_ms: Milliseconds = 20.0


class Instance(Model):
    """One backend server process."""

    id: InstanceId
    service: ServiceId
    zone: ZoneId
    host: str
    port: Port
    slots: Annotated[int, Field(gt=0)]
    connections: Annotated[int, Field(gt=0)]


class EntryNode(Model):
    """One entry VM: callers use ``http``, other entries use ``peer``."""

    id: EntryId
    zone: ZoneId
    host: str
    http_port: Port
    peer_port: Port

    @property
    def url(self) -> str:
        """Return the base URL that callers use."""
        return f"http://{self.host}:{self.http_port}"


class Platform(Model):
    """Address of the platform's key-value service and list of VMs."""

    host: str
    port: Port

    @property
    def url(self) -> str:
        """Return the base URL of the platform's services."""
        return f"http://{self.host}:{self.port}"


class Latency(Model):
    """One-way delays in milliseconds."""

    zones_ms: Milliseconds
    regions_ms: Milliseconds
    clients_ms: Milliseconds


class Deployment(Model):
    """Everything that a process knows from its settings about the others."""

    name: str
    zones: tuple[Zone, ...]
    links: tuple[Link, ...]
    latency: Latency
    services: tuple[Service, ...]
    instances: tuple[Instance, ...]
    entries: tuple[EntryNode, ...]
    platform: Platform

    @model_validator(mode="after")
    def check_references(self) -> Deployment:
        """Refuse unknown zones and services, and ids that occur twice."""
        zones = {zone.id for zone in self.zones}
        services = {service.id for service in self.services}
        places: list[tuple[str, ZoneId]] = [
            (node.id, node.zone) for node in self.entries
        ]
        places += [(instance.id, instance.zone) for instance in self.instances]
        faults = [
            f"zone {zone!r} of {name!r} is not listed"
            for name, zone in places
            if zone not in zones
        ]
        faults += [
            f"service {instance.service!r} of {instance.id!r} is not listed"
            for instance in self.instances
            if instance.service not in services
        ]
        names = Counter(name for name, _ in places)
        names.update(zone.id for zone in self.zones)
        faults += [f"id {name!r} occurs twice" for name, n in names.items() if n > 1]
        if faults:
            raise ValueError("; ".join(sorted(faults)))
        return self

    @cached_property
    def region_of(self) -> dict[ZoneId, RegionId]:
        """Return the region of each zone."""
        return {zone.id: zone.region for zone in self.zones}

    @cached_property
    def regions(self) -> tuple[RegionId, ...]:
        """Return the regions in order of first mention."""
        return tuple(dict.fromkeys(zone.region for zone in self.zones))

    @cached_property
    def service_by_id(self) -> dict[ServiceId, Service]:
        """Return the services by id."""
        return {service.id: service for service in self.services}

    @cached_property
    def instance_by_id(self) -> dict[InstanceId, Instance]:
        """Return the instances by id."""
        return {instance.id: instance for instance in self.instances}

    @cached_property
    def entry_by_id(self) -> dict[EntryId, EntryNode]:
        """Return the entries by id."""
        return {entry.id: entry for entry in self.entries}

    def delay_ms(self, first: ZoneId, second: ZoneId) -> float:
        """Return the one-way delay in milliseconds between two zones."""
        if first == second:
            return 0.0
        if self.region_of[first] == self.region_of[second]:
            return self.latency.zones_ms
        return self.latency.regions_ms


def load_deployment(path: Path) -> Deployment:
    """Read a deployment file, or raise SettingsInvalid with all its errors."""
    return Deployment.model_validate(read_model(path, Deployment))


def read_model(path: Path, model: type[BaseModel]) -> dict[str, Any]:
    """Read JSON with comments and check it against a model.

    Returns the raw mapping; raises SettingsInvalid naming the file and every
    field at fault.
    """
    try:
        raw: dict[str, Any] = json5.loads(path.read_text(encoding="utf-8"))
    except Exception as error:
        raise SettingsInvalid(f"{path}: {error}") from None
    try:
        model.model_validate(raw)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in fault['loc']) or 'file'}: {fault['msg']}"
            for fault in error.errors()
        )
        raise SettingsInvalid(f"{path}: {faults}") from None
    return raw
