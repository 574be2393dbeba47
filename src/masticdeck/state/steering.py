"""Steering table: which region serves which part of each origin's callers.

Callers fall into ``BUCKETS`` buckets by a hash of their address block. For
each service and origin region the table names a target region for every
bucket, so that a step changes exactly the buckets that it moves.

>>> regions = (RegionId("vidzeme"), RegionId("kurzeme"))
>>> table = home_table((ServiceId("katalogs"),), regions)
>>> table.target(ServiceId("katalogs"), RegionId("kurzeme"), 7)
'kurzeme'
"""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import final

from masticdeck.errors import MasticdeckError
from masticdeck.ids import RegionId, ServiceId, Version

BUCKETS = 256
V4_BUCKET_SHIFT = 8
V6_BUCKET_SHIFT = 16
HASH_MULTIPLIER = 0x9E37_79B9_7F4A_7C15
MASK_64 = (1 << 64) - 1

Route = tuple[ServiceId, RegionId]
"""A service and the region in which its callers are."""


class SteeringInvalid(MasticdeckError):
    """A steering table or a goal cannot be used."""

    code = "MD3010"
    title = "steering table invalid"
    remedy = "correct the goal; weights name known regions and add up to 1"
    status = 400


def bucket_of(family: int, address: int) -> int:
    """Return the bucket of a client by its /24 (IPv4) or /48 (IPv6) block."""
    shift = V4_BUCKET_SHIFT if family == 4 else V6_BUCKET_SHIFT
    return (((address >> shift) + 1) * HASH_MULTIPLIER & MASK_64) >> 56


@final
@dataclass(frozen=True, slots=True)
class SteeringTable:
    """Immutable table with its step and the configuration it belongs to."""

    step: int
    version: Version
    regions: tuple[RegionId, ...]
    targets: Mapping[Route, bytes]

    def target(self, service: ServiceId, origin: RegionId, bucket: int) -> RegionId:
        """Return the region that serves a bucket; the origin when not listed."""
        row = self.targets.get((service, origin))
        return origin if row is None else self.regions[row[bucket]]

    def weights(self, route: Route) -> dict[RegionId, float]:
        """Return the part of a route's buckets that each region serves."""
        counts = Counter(self.targets[route])
        return {self.regions[one]: n / BUCKETS for one, n in counts.items()}

    def moved(self, other: SteeringTable, route: Route) -> float:
        """Return the part of a route's buckets whose target differs."""
        pairs = zip(self.targets[route], other.targets[route], strict=True)
        return sum(one != two for one, two in pairs) / BUCKETS

    def encode(self) -> bytes:
        """Return the table as JSON."""
        rows = [
            [service, origin, base64.b64encode(row).decode()]
            for (service, origin), row in sorted(self.targets.items())
        ]
        document = {
            "step": self.step,
            "version": self.version,
            "regions": self.regions,
            "targets": rows,
        }
        return json.dumps(document).encode()


def decode_table(raw: bytes) -> SteeringTable:
    """Return an encoded table; raises SteeringInvalid."""
    try:
        document = json.loads(raw)
        regions = tuple(RegionId(str(one)) for one in document["regions"])
        targets = {
            (ServiceId(service), RegionId(origin)): base64.b64decode(row)
            for service, origin, row in document["targets"]
        }
        step, version = int(document["step"]), Version(int(document["version"]))
    except (KeyError, TypeError, ValueError) as error:
        raise SteeringInvalid(f"cannot be decoded: {error}") from None
    for route, row in targets.items():
        if len(row) != BUCKETS or max(row) >= len(regions):
            raise SteeringInvalid(f"row of {route[0]!r} from {route[1]!r}")
    return SteeringTable(step, version, regions, targets)


def home_table(
    services: Sequence[ServiceId], regions: Sequence[RegionId]
) -> SteeringTable:
    """Return the first table: every region serves its own callers."""
    targets = {
        (service, origin): bytes([number]) * BUCKETS
        for service in services
        for number, origin in enumerate(regions)
    }
    return SteeringTable(0, Version(0), tuple(regions), targets)
