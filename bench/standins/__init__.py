"""Small stand-ins for the platform and the backend servers."""

from __future__ import annotations
