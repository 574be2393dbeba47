"""Records in the platform's store, as the feed of the fleet sees them."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from masticdeck.state.fleet import FleetInstance
from masticdeck.state.routes import RouteTable

INVALID_RECORD_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""What decoding raises for a record of another shape, too large or too deep."""


class RecordInvalid(Exception):
    """A stored record that cannot be read; it names nothing to use."""


class RecordKind(Enum):
    """What a key of the store holds."""

    ROUTES = "routes"
    EVACUATION = "evacuation"
    INSTANCE = "instance"
    OTHER = "other"


class RecordDecoder(Protocol):
    """Reads the records of one platform."""

    def classify(self, key: str) -> tuple[RecordKind, str]:
        """Return what a key holds and the name of its subject."""

    def conceal(self, key: str, value: bytes) -> bytes:
        """Return the value of a record without keys of workspaces in clear text."""

    def decode_routes(self, value: bytes) -> RouteTable:
        """Return a configuration, or raise RecordInvalid."""

    def decode_instance(self, name: str, value: bytes, now: float) -> FleetInstance:
        """Return an instance read at boot time ``now``, or raise RecordInvalid."""
