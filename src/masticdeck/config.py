"""Settings of one process, built once at start and passed on."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from masticdeck.ids import EntryId


class TlsSettings(BaseModel):
    """Files of the key, the certificate and the certificate authority (PEM)."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    authority: Path
    certificate: Path
    key: Path


class Config(BaseModel):
    """Settings of an entry.

    Times are in seconds unless the name says otherwise. ``policy`` names a
    registered policy; ``lookup_ttl_s`` is how long callers may keep an answer.
    At most ``shift_cap`` of an origin's callers change region in any
    ``shift_window_s``; entries that do not follow are waited for up to
    ``shift_lag_limit_s``. ``header_timeout_s`` bounds the arrival of a request's
    head, ``answer_stall_s`` the pauses in a large answer.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    entry: EntryId
    deployment: Path
    blocks: Path | None = None
    policy: str = "ranked"
    lookup_ttl_s: Annotated[float, Field(gt=0, le=300)] = 5.0
    heartbeat_s: Annotated[float, Field(gt=0)] = 1.0
    lease_ttl_s: Annotated[float, Field(gt=0)] = 3.0
    slots: Annotated[str, Field(pattern="^(static|shares)$")] = "shares"
    share_ttl_s: Annotated[float, Field(gt=0)] = 10.0
    shift_cap: Annotated[float, Field(ge=0.01, le=1)] = 0.1
    shift_window_s: Annotated[float, Field(gt=0)] = 10.0
    shift_lag_limit_s: Annotated[float, Field(gt=0)] = 60.0
    keep_alive_s: Annotated[float, Field(gt=0)] = 75.0
    header_timeout_s: Annotated[float, Field(gt=0)] = 10.0
    answer_stall_s: Annotated[float, Field(gt=0)] = 2.0
    share_report_s: Annotated[float, Field(gt=0)] = 1.0
    share_outage_s: Annotated[float, Field(ge=0)] = 600.0
    share_outage_ttl_s: Annotated[float, Field(gt=0)] = 120.0
    stop_grace_s: Annotated[float, Field(gt=0)] = 20.0
    max_header_bytes: Annotated[int, Field(ge=1024)] = 16_384
    max_order_bytes: Annotated[int, Field(gt=0)] = 1_048_576
    order_retention_s: Annotated[float, Field(gt=0)] = 600.0
    order_records: Annotated[int, Field(gt=0)] = 40_000
    order_record_bytes: Annotated[int, Field(gt=0)] = 33_554_432
    log_format: Annotated[str, Field(pattern="^(plain|json)$")] = "plain"
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    peer_tls: TlsSettings | None = None
    operator_tokens: Path | None = None
    veto_window_s: Annotated[float, Field(gt=0)] = 60.0
    watchers_per_zone: Annotated[int, Field(ge=1)] = 2
