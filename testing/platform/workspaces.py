"""Workspaces and keys as the operator and callers of the platform write them."""

from __future__ import annotations

from typing import Any

KEY_HEADER = "Credential"
WORKSPACE_HEADER = "Tenant"
RECEIVED_KEY, RECEIVED_WORKSPACE = KEY_HEADER.lower(), WORKSPACE_HEADER.lower()


def workspace(name: str, *keys: Any, **fields: Any) -> dict[str, Any]:
    """Return a workspace of the operator's configuration."""
    return {"name": name, "api_keys": list(keys), "home_regions": [], **fields}


def with_workspaces(workspaces: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the field of a configuration that holds workspaces."""
    return {"tenants": workspaces}


def strict_bounds(revocation_s: float) -> dict[str, Any]:
    """Return the bounds of a deployment that limits the use of removed keys."""
    return {"strict_revocation": True, "revoke": f"{revocation_s:g}s"}


def key_line(key: str) -> str:
    """Return the header line in which a caller sends its key."""
    return f"{KEY_HEADER}: {key}"
