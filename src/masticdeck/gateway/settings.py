"""Settings of a gateway entry, validated at start and at each reload."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from masticdeck.ids import EntryId, RegionId, ZoneId
from masticdeck.state.fleet import DEFAULT_CPU_CORES, DEFAULT_LINK_MBPS
from masticdeck.transport.caller_memory import MemoryLimits

MIN_SHARES_IN_RESERVE = 16
"""Connections whose whole share fits into the reserve at least."""

Port = Annotated[int, Field(gt=0, lt=65_536)]


class Address(BaseModel):
    """Host and port to listen on."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    host: str
    port: Port

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class CallerMemorySettings(BaseModel):
    """Bounds on the memory that callers' data may take; see ``MemoryLimits``."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    total_bytes: Annotated[int, Field(ge=16_777_216)] = MemoryLimits.total_bytes
    reserve: Annotated[float, Field(ge=0.05, le=0.5)] = MemoryLimits.reserve
    share_bytes: Annotated[int, Field(ge=8_192)] = MemoryLimits.share_bytes
    read_ahead_bytes: Annotated[int, Field(ge=4_096)] = MemoryLimits.read_ahead_bytes

    @model_validator(mode="after")
    def check_share(self) -> CallerMemorySettings:
        """Check that the reserve holds the shares of some connections."""
        if self.share_bytes * MIN_SHARES_IN_RESERVE > self.reserve * self.total_bytes:
            raise ValueError(
                f"{MIN_SHARES_IN_RESERVE} times share_bytes exceeds the reserve"
            )
        return self

    def limits(self) -> MemoryLimits:
        """Return the limits for the account."""
        return MemoryLimits(**self.model_dump())


class GatewaySettings(BaseModel):
    """Settings of a gateway entry.

    Times are in seconds. ``retry_ratio`` and ``retry_slack`` limit the retries
    of all entries together: in any window of ``retry_window_s`` to ``retry_ratio``
    times the requests plus ``retry_slack``. ``stop_grace_s`` is the time from SIGTERM
    to the kill. ``cpu_cores`` and ``link_mbps`` state the size of this entry's VM: its
    processor in whole cores and its bandwidth in Mbit/s.

    ``cold_load_factor`` and ``cold_slack`` state what a cold instance bears in a second
    from all entries together: ``rate * cold_load_factor + cold_slack``, by the rate of
    its service. Without the factor, nothing is bounded while the records do not tell
    which instances are cold.

    ``key_revocation_s`` is the time after which a removed key is refused by every
    entry, None without such a bound. ``quota_window_s``, ``quota_overage`` and
    ``quota_slack`` bound the requests of a workspace in any window of that length, over
    all entries: ``(rate * window + burst) * (1 + overage) + slack``.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    entry: EntryId
    zone: ZoneId
    region_of: dict[ZoneId, RegionId]
    callers: Address
    readiness: Address
    directory: Address
    peer: Address
    metrics: Address
    store: str
    cpu_cores: Annotated[float, Field(gt=0)] = DEFAULT_CPU_CORES
    link_mbps: Annotated[float, Field(gt=0)] = DEFAULT_LINK_MBPS
    stop_grace_s: Annotated[float, Field(gt=0)] = 6.0
    lookup_ttl_s: Annotated[float, Field(gt=0)] = 2.0
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    retry_slack: Annotated[float, Field(ge=0)] = 0.0
    retry_window_s: Annotated[float, Field(gt=0)] = 10.0
    cold_load_factor: Annotated[float, Field(ge=1)] | None = None
    cold_slack: Annotated[float, Field(ge=0)] = 0.0
    key_revocation_s: Annotated[float, Field(gt=0)] | None = None
    quota_window_s: Annotated[float, Field(gt=0)] = 5.0
    quota_overage: Annotated[float, Field(ge=0)] = 0.0
    quota_slack: Annotated[float, Field(ge=0)] = 0.0
    caller_memory: CallerMemorySettings = CallerMemorySettings()
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
