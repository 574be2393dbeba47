"""Table of client address blocks and the site that each belongs to.

Rows are kept in packed arrays sorted by first address, found by bisection:
7 bytes of row and 4 bytes for the index of the enclosing block in IPv4, 4 more
in IPv6, whose blocks are at most 64 bits long. The innermost block wins.

>>> table = build_table([("10.0.0.0/8", "riga"), ("10.1.0.0/16", "cesis")])
>>> table.site_of("10.1.2.3"), table.site_of("10.2.2.3"), table.site_of("192.0.2.1")
('cesis', 'riga', None)
"""

from __future__ import annotations

import ipaddress
import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import final

from masticdeck.errors import MasticdeckError
from masticdeck.ids import Outcome, SiteId

NO_PARENT = 0xFFFF_FFFF
MAX_SITES = 0xFFFF
V6_BITS = 64
V4_BITS = 32


class BlocksInvalid(MasticdeckError):
    """A block table file or a piece of one has a fault."""

    code = "MD2003"
    title = "block table invalid"
    remedy = "correct the named block, or fetch the named piece again"
    status = 400


class AddressInvalid(MasticdeckError):
    """A look-up named a client that is no IP address or block."""

    code = "MD2004"
    title = "client address invalid"
    remedy = "name an IPv4 or IPv6 address or block in the parameter client"
    status = 400
    outcome = Outcome.NOT_RUN


@final
@dataclass(frozen=True, slots=True, order=True)
class Row:
    """One block: family 4 or 6, first address, prefix length and site number.

    ``start`` holds the upper 64 bits of an IPv6 address.
    """

    family: int
    start: int
    length: int
    site: int


class Family:
    """Blocks of one address family as packed arrays."""

    def __init__(self, bits: int, rows: Sequence[tuple[int, int, int]]) -> None:
        self.bits = bits
        self.starts = array("I" if bits == V4_BITS else "Q")
        self.lengths = array("B")
        self.sites = array("H")
        self.parents = array("I")
        self.extend(rows)

    def extend(self, rows: Sequence[tuple[int, int, int]]) -> None:
        """Append sorted rows of start, length and site number."""
        self.starts.extend(row[0] for row in rows)
        self.lengths.extend(row[1] for row in rows)
        self.sites.extend(row[2] for row in rows)

    def link(self) -> None:
        """Work out for each block the block that encloses it."""
        self.parents = array("I")
        open_blocks: list[tuple[int, int]] = []
        add = self.parents.append
        last = -1
        for index, start in enumerate(self.starts):
            while open_blocks and open_blocks[-1][1] < start:
                open_blocks.pop()
            length = self.lengths[index]
            if start < last or (start == last and length <= self.lengths[index - 1]):
                raise BlocksInvalid(f"row {index} is out of order or occurs twice")
            add(open_blocks[-1][0] if open_blocks else NO_PARENT)
            open_blocks.append((index, start + (1 << (self.bits - length)) - 1))
            last = start

    def find(self, address: int) -> int:
        """Return the site number of the innermost block, or -1."""
        index = bisect_right(self.starts, address) - 1
        if index < 0:
            return -1
        while True:
            shift = self.bits - self.lengths[index]
            if address >> shift == self.starts[index] >> shift:
                return self.sites[index]
            index = self.parents[index]
            if index == NO_PARENT:
                return -1

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the arrays hold."""
        parts = (self.starts, self.lengths, self.sites, self.parents)
        return sum(part.itemsize * len(part) for part in parts)


class BlockTable:
    """Immutable table from client address to site."""

    def __init__(self, sites: Sequence[SiteId], v4: Family, v6: Family) -> None:
        if len(sites) > MAX_SITES:
            raise BlocksInvalid(f"{len(sites)} sites; at most {MAX_SITES} are possible")
        self.sites = tuple(sites)
        self.v4 = v4
        self.v6 = v6
        for family in (v4, v6):
            if family.sites and max(family.sites) >= len(sites):
                raise BlocksInvalid("a row names a site that is not listed")
            family.link()

    def __len__(self) -> int:
        return len(self.v4.starts) + len(self.v6.starts)

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the rows take."""
        return self.v4.size_bytes + self.v6.size_bytes

    def find(self, family: int, address: int) -> int:
        """Return the site number for a parsed address, or -1."""
        return (self.v4 if family == 4 else self.v6).find(address)

    def site_of(self, text: str) -> SiteId | None:
        """Return the site of an address, or None when no block holds it."""
        number = self.find(*parse_address(text))
        return None if number < 0 else self.sites[number]


def parse_address(text: str) -> tuple[int, int]:
    """Return family and address; a block stands for its first address.

    IPv6 addresses are given by their upper 64 bits, IPv4 addresses mapped
    into IPv6 as IPv4. Raises AddressInvalid.

    >>> parse_address("10.0.0.1")
    (4, 167772161)
    """
    if "/" in text:
        text = _address_of_block(text)
    try:
        if ":" not in text:
            return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, text))
        raw = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, ValueError):
        raise AddressInvalid(repr(text[:64])) from None
    if raw.startswith(b"\0" * 10 + b"\xff\xff"):
        return 4, int.from_bytes(raw[12:])
    return 6, int.from_bytes(raw[:8])


def _address_of_block(text: str) -> str:
    address, _, length = text.partition("/")
    most = 128 if ":" in address else V4_BITS
    if not (length.isascii() and length.isdigit() and len(length) <= 3):
        raise AddressInvalid(repr(text[:64]))
    if int(length) > most:
        raise AddressInvalid(repr(text[:64]))
    return address


def parse_block(text: str, site: int) -> Row:
    """Return the row of a block such as ``10.0.0.0/8``; raises BlocksInvalid."""
    try:
        network = ipaddress.ip_network(text)
    except ValueError as error:
        raise BlocksInvalid(f"{text[:64]!r}: {error}") from None
    start = int(network.network_address)
    if network.version == 4:
        return Row(4, start, network.prefixlen, site)
    if network.prefixlen > V6_BITS:
        raise BlocksInvalid(f"{text[:64]!r}: IPv6 blocks are at most /{V6_BITS} long")
    return Row(6, start >> V6_BITS, network.prefixlen, site)


def build_table(blocks: Iterable[tuple[str, str]]) -> BlockTable:
    """Return the table of blocks given as text, each with its site."""
    numbers: dict[SiteId, int] = {}
    rows = [
        parse_block(block, numbers.setdefault(SiteId(site), len(numbers)))
        for block, site in blocks
    ]
    return table_of_rows(tuple(numbers), rows)


def table_of_rows(sites: Sequence[SiteId], rows: Iterable[Row]) -> BlockTable:
    """Return the table of unsorted rows; raises BlocksInvalid for doubles."""
    ordered = sorted(rows)
    v4 = [(row.start, row.length, row.site) for row in ordered if row.family == 4]
    v6 = [(row.start, row.length, row.site) for row in ordered if row.family == 6]
    return BlockTable(sites, Family(V4_BITS, v4), Family(V6_BITS, v6))
