"""The platform's settings file, decoded into masticdeck's own settings."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from masticdeck.errors import SettingsInvalid
from masticdeck.gateway.settings import GatewaySettings
from masticdeck.platform.units import parse_duration

PATH_VARIABLE = "MASTICDECK_CONFIG"
BYTES_PER_MB = 1_000_000
CALLERS_MEMORY_PART = 0.5
"""Fraction of the machine's memory for callers' data unless the settings say it."""

PROCESS_MEMORY_MB = 100
"""Memory of the machine that is left to everything else.

An idle process has about 65 MB.
"""

MIN_CALLER_MEMORY_BYTES = 16_777_216
METRICS_OFFSET = 1
"""Place of the metrics port among the ports for traffic between nodes."""


def settings_path() -> Path:
    """Return the path of the settings file, or raise SettingsInvalid."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsInvalid(f"{PATH_VARIABLE} names no settings file")
    return Path(path)


NUMBERS = {
    "retry_budget_ratio": "retry_ratio",
    "budget_slack": "retry_slack",
    "cold_load_factor": "cold_load_factor",
    "cold_slack": "cold_slack",
    "quota_overage": "quota_overage",
    "quota_slack": "quota_slack",
}
"""Bounds that are plain numbers, with the settings that they give."""


def load_settings(path: Path) -> GatewaySettings:
    """Read and check the settings; all errors are named at once."""
    try:
        fields = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsInvalid(f"{path}: {error}") from None
    if not isinstance(fields, dict):
        raise SettingsInvalid(f"{path}: not a table")
    try:
        return GatewaySettings.model_validate(translate(fields))
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise SettingsInvalid("; ".join(faults)) from None
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SettingsInvalid(f"{path}: {type(error).__name__} {error}") from None


def translate(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the settings under masticdeck's names."""
    listen = fields["listen_addresses"]
    first, last = fields["internal_ports"]
    if first + METRICS_OFFSET > last:
        raise ValueError("internal_ports has too few ports")
    host = fields["ip_address"]
    bounds = fields.get("bounds") or {}
    return {
        "entry": fields["node_name"],
        "zone": fields["zone"],
        "region_of": fields["zones"],
        "callers": split_address(listen["frontend"]),
        "readiness": split_address(listen["ready"]),
        "directory": split_address(listen["directory"]),
        "peer": {"host": host, "port": first},
        "metrics": {"host": host, "port": first + METRICS_OFFSET},
        "store": fields["platform"]["address"],
        **translate_size(fields.get("limits") or {}),
        **translate_bounds(bounds),
        **translate_caller_memory(fields),
    }


def translate_size(limits: dict[str, Any]) -> dict[str, Any]:
    """Return the settings that the limits of the machine give.

    ``cpu_share`` is the part of a core that the process gets, and ``cpu_cores`` the
    speed of that core.
    """
    settings: dict[str, Any] = {}
    if "cpu_share" in limits:
        settings["cpu_cores"] = limits["cpu_share"] * limits.get("cpu_cores", 1)
    if "link_speed_mbps" in limits:
        settings["link_mbps"] = limits["link_speed_mbps"]
    return settings


def translate_caller_memory(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the bounds on callers' data, by default from the machine's memory."""
    settings = dict(fields.get("caller_memory") or {})
    memory_mb = (fields.get("limits") or {}).get("memory_mb")
    if memory_mb is not None and "total_bytes" not in settings:
        part_mb = min(memory_mb * CALLERS_MEMORY_PART, memory_mb - PROCESS_MEMORY_MB)
        settings["total_bytes"] = max(
            MIN_CALLER_MEMORY_BYTES, round(part_mb * BYTES_PER_MB)
        )
    return {"caller_memory": settings}


def translate_bounds(bounds: dict[str, Any]) -> dict[str, Any]:
    """Return the settings that the bounds of the platform give."""
    settings: dict[str, Any] = {
        name: bounds[bound] for bound, name in NUMBERS.items() if bound in bounds
    }
    if "grace_period" in bounds:
        settings["stop_grace_s"] = parse_duration(bounds["grace_period"])
    if "budget_window" in bounds:
        settings["retry_window_s"] = parse_duration(bounds["budget_window"])
    if bounds.get("strict_revocation") is True and "revoke" in bounds:
        settings["key_revocation_s"] = parse_duration(bounds["revoke"])
    if "quota_window" in bounds:
        settings["quota_window_s"] = parse_duration(bounds["quota_window"])
    return settings


def split_address(text: str) -> dict[str, Any]:
    """Return host and port of an address."""
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port)}
