"""Look-up: which entry a caller should use.

``GET /lookup?service=S&client=B`` names a service and a client address or
block, by default the address that the request came from. The answer lists
entries in the order in which to try them, with a time to live in seconds, the
version of the configuration in force, and ``home``, to which the keys of
non-idempotent orders are bound. Answers are prepared once for each service,
zone, region and rotation, and kept as bytes until something that they name
changes.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import unquote

from aiohttp import web

from masticdeck.entry.prepared import PreparedAnswer, may_use_prepared, prepare_tail
from masticdeck.entry.problem import error_response
from masticdeck.errors import MasticdeckError, RequestInvalid, ServiceUnknown
from masticdeck.hookspec import hookimpl
from masticdeck.ids import EntryId, MemberState, RegionId, ServiceId, Version, ZoneId
from masticdeck.node import Node
from masticdeck.state.block_pieces import Site, read_block_file
from masticdeck.state.blocks import AddressInvalid, BlockTable, parse_address
from masticdeck.state.deployment import EntryNode
from masticdeck.state.steering import Route, SteeringTable, bucket_of

MAX_QUERY_BYTES = 1024
MAX_ANSWERS = 20_000
ROTATIONS = 16
JSON_TYPE = "application/json"


class Home(Protocol):
    """What issues the tokens to which order keys are bound."""

    def home_token(self) -> str:
        """Return the token of this entry at this moment."""


class Lookup:
    """Answers look-ups from prepared bytes.

    ``steering`` is the table in force, set by ``coordination.shifts``;
    without one the caller's own region comes first.
    """

    def __init__(self, node: Node, *, home: Home | None = None) -> None:
        self.node = node
        self.home = home
        self.version = Version(0)
        self.steering: SteeringTable | None = None
        self.blocks: BlockTable | None = None
        self.zones: list[ZoneId] = []
        self.gone: set[EntryId] = set()
        self.answers: dict[tuple[str, ZoneId, RegionId, int], bytes] = {}
        self.home_token: str | None = None
        self.asked: Counter[Route] = Counter()
        self.services = frozenset(service.id for service in node.deployment.services)
        self.region_of = node.deployment.region_of
        if node.config.blocks is not None:
            self.load_blocks(node.config.blocks)
        node.hooks.register(self)

    def load_blocks(self, path: Path) -> None:
        """Read the block table; raises SettingsInvalid or BlocksInvalid."""
        table, sites = read_block_file(path)
        self.use_blocks(table, sites)

    def use_blocks(self, table: BlockTable, sites: Sequence[Site]) -> None:
        """Take a new block table into use."""
        self.zones = [site.zone for site in sites]
        for zone in self.zones:
            if zone not in self.region_of:
                raise RequestInvalid(f"zone {zone!r} of the block table is unknown")
        self.blocks = table

    def take_asked(self) -> Counter[Route]:
        """Return the look-ups by service and origin since the last call."""
        asked, self.asked = self.asked, Counter()
        return asked

    def use_steering(self, table: SteeringTable) -> None:
        """Take a new steering table into use."""
        self.steering = table

    @hookimpl
    def member_changed(self, entry: EntryId, state: MemberState) -> None:
        """Leave out entries that are leaving or gone."""
        if state in (MemberState.LEAVING, MemberState.GONE):
            self.gone.add(entry)
        else:
            self.gone.discard(entry)
        self.answers.clear()

    @hookimpl
    def entry_leaving(self) -> None:
        """Leave this entry out of its own answers."""
        self.gone.add(self.node.id)
        self.answers.clear()

    @hookimpl
    def version_in_force(self, version: Version) -> None:
        """Name the new version in answers."""
        self.version = version
        self.answers.clear()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request for ``/lookup``."""
        try:
            tail = self.find(request.raw_path, request)
        except MasticdeckError as error:
            return error_response(error)
        if may_use_prepared(request):
            return PreparedAnswer(tail)
        body = tail.partition(b"\r\n\r\n")[2]
        return web.Response(body=body, content_type=JSON_TYPE)

    def answer(self, raw_path: str, remote: str) -> bytes:
        """Return the JSON answer to a look-up, given the raw path with its query."""
        service, client = parse_query(raw_path)
        tail = self.tail_for(service, client or remote)
        return tail.partition(b"\r\n\r\n")[2]

    def find(self, raw_path: str, request: web.BaseRequest) -> bytes:
        """Return the prepared answer for a request."""
        service, client = parse_query(raw_path)
        return self.tail_for(service, client or request.remote or "")

    def tail_for(self, service: ServiceId, client: str) -> bytes:
        """Return the prepared answer for a client of a service."""
        if service not in self.services:
            raise ServiceUnknown(repr(service[:64]))
        family, address = parse_address(client)
        zone = self.zone_of(family, address)
        bucket = bucket_of(family, address)
        region = self.region_of[zone]
        self.asked[service, region] += 1
        if self.steering is not None:
            region = self.steering.target(service, region, bucket)
        if self.home is not None:
            self.check_home(self.home.home_token())
        key = (service, zone, region, bucket % ROTATIONS)
        tail = self.answers.get(key)
        if tail is None:
            tail = prepare_tail(self.prepare(*key), JSON_TYPE)
            self.keep(key, tail)
        return tail

    def zone_of(self, family: int, address: int) -> ZoneId:
        """Return the zone nearest to a client; this entry's when unknown."""
        if self.blocks is None:
            return self.node.entry.zone
        number = self.blocks.find(family, address)
        return self.node.entry.zone if number < 0 else self.zones[number]

    def check_home(self, token: str) -> None:
        """Drop the prepared answers when the home token has changed."""
        if token != self.home_token:
            self.home_token = token
            self.answers.clear()

    def keep(self, key: tuple[str, ZoneId, RegionId, int], tail: bytes) -> None:
        """Keep a prepared answer, within a bound."""
        if len(self.answers) >= MAX_ANSWERS:
            self.answers.clear()
        self.answers[key] = tail

    def prepare(
        self, service: str, zone: ZoneId, region: RegionId, rotation: int
    ) -> bytes:
        """Return the answer as JSON."""
        entries = self.order(zone, region, rotation)
        document: dict[str, Any] = {
            "service": service,
            "ttl_s": self.node.config.lookup_ttl_s,
            "version": self.version,
            "entries": [{"id": entry.id, "url": entry.url} for entry in entries],
        }
        if self.home_token:
            document["home"] = self.home_token
        return json.dumps(document).encode()

    def order(
        self, zone: ZoneId, region: RegionId, rotation: int
    ) -> tuple[EntryNode, ...]:
        """Return the entries to try: target region first, then by delay.

        Entries of the same rank of preference are rotated, so that callers
        spread over them. When all are leaving or gone, all are named.
        """
        deployment = self.node.deployment
        usable = [one for one in deployment.entries if one.id not in self.gone]
        groups: dict[tuple[bool, float], list[EntryNode]] = {}
        for entry in usable or deployment.entries:
            away = self.region_of[entry.zone] != region
            delay = deployment.delay_ms(zone, entry.zone)
            groups.setdefault((away, delay), []).append(entry)
        ordered: list[EntryNode] = []
        for preference in sorted(groups):
            group = groups[preference]
            first = rotation % len(group)
            ordered += group[first:] + group[:first]
        return tuple(ordered)


def parse_query(raw_path: str) -> tuple[ServiceId, str]:
    """Return the parameters service and client of a raw path.

    Raises RequestInvalid for queries that are too long, name a parameter
    twice or cannot be decoded.

    >>> parse_query("/lookup?service=katalogs&client=10.0.0.1")
    ('katalogs', '10.0.0.1')
    """
    query = raw_path.partition("?")[2]
    if len(query) > MAX_QUERY_BYTES:
        raise RequestInvalid(f"the query is over {MAX_QUERY_BYTES} bytes")
    service = client = None
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if name == "service":
            if service is not None:
                raise RequestInvalid("service is named twice")
            service = value
        elif name == "client":
            if client is not None:
                raise RequestInvalid("client is named twice")
            client = value
    if not service:
        raise RequestInvalid("the query lacks the parameter service")
    return ServiceId(_decode(service)), _decode(client or "")


def _decode(value: str) -> str:
    if "%" not in value:
        return value
    try:
        return unquote(value, errors="strict")
    except UnicodeDecodeError:
        raise AddressInvalid("a parameter is not UTF-8") from None
