"""Block tables as files and as pieces named by their content.

A piece holds consecutive rows of one family and stays under a megabyte. A row
begins a new piece when a hash of its first address says so, so that an edit
changes only the piece that it falls into. A ``Manifest`` names the pieces of a
version; ``Manifest.missing`` tells what a holder of another version lacks, and
a ``Patch`` carries only the rows of a piece that changed.

The settings name one file: JSON with comments, with ``sites`` (id and nearest
zone) and either ``blocks`` (block and site) or ``pieces`` (file names beside
it, as ``write_pieces`` leaves them).
"""

from __future__ import annotations

import hashlib
import struct
import sys
from array import array
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import final

from pydantic import model_validator

from masticdeck.ids import SiteId, ZoneId
from masticdeck.state.blocks import (
    V4_BITS,
    V6_BITS,
    BlocksInvalid,
    BlockTable,
    Family,
    parse_block,
    table_of_rows,
)
from masticdeck.state.deployment import Model, read_model

MAX_PIECE_ROWS = 65_536
CUT_BITS = 15
CUT_MULTIPLIER = 0x9E37_79B9_7F4A_7C15
MASK_64 = (1 << 64) - 1
HEADER = struct.Struct("<4sBI")
MAGIC = b"MDB1"
NAME_BYTES = 16
ROW_TAIL_BYTES = 3

PieceRow = tuple[int, int, int]


class Site(Model):
    """A place where callers are, and the zone nearest to it."""

    id: SiteId
    zone: ZoneId


class Block(Model):
    """One block of client addresses."""

    block: str
    site: SiteId


class BlockFile(Model):
    """The file that the setting ``blocks`` names."""

    sites: tuple[Site, ...]
    blocks: tuple[Block, ...] = ()
    pieces: tuple[str, ...] = ()

    @model_validator(mode="after")
    def check_sites(self) -> BlockFile:
        """Refuse sites that are listed twice and blocks of unlisted sites."""
        known = {site.id for site in self.sites}
        if len(known) < len(self.sites):
            raise ValueError("a site is listed twice")
        for block in self.blocks:
            if block.site not in known:
                raise ValueError(f"site {block.site!r} of {block.block!r} is unknown")
        return self


@final
@dataclass(frozen=True, slots=True)
class Manifest:
    """The pieces of one version of the table, in order."""

    names: tuple[str, ...]

    def missing(self, held: Manifest) -> tuple[str, ...]:
        """Return the pieces that a holder of another version must fetch."""
        have = set(held.names)
        return tuple(name for name in self.names if name not in have)


@final
@dataclass(frozen=True, slots=True)
class Patch:
    """What turns one piece into another: rows to drop and rows to add."""

    result: str
    dropped: tuple[PieceRow, ...]
    added: tuple[PieceRow, ...]


def piece_name(piece: bytes) -> str:
    """Return the name that a piece's content gives it."""
    return hashlib.blake2b(piece, digest_size=NAME_BYTES).hexdigest()


def encode_piece(bits: int, rows: Sequence[PieceRow]) -> bytes:
    """Return the rows of one family as bytes."""
    family = Family(bits, rows)
    parts = (family.starts, family.lengths, family.sites)
    return HEADER.pack(MAGIC, bits, len(rows)) + b"".join(map(_little, parts))


def _little(part: array[int]) -> bytes:
    if sys.byteorder == "big":
        part = part[:]
        part.byteswap()
    return part.tobytes()


def decode_piece(piece: bytes) -> Family:
    """Return the rows of a piece; raises BlocksInvalid when it is truncated."""
    name = piece_name(piece)
    if len(piece) < HEADER.size:
        raise BlocksInvalid(f"piece {name} is truncated")
    magic, bits, count = HEADER.unpack_from(piece)
    if magic != MAGIC or bits not in (V4_BITS, V6_BITS):
        raise BlocksInvalid(f"piece {name} is of an unknown format")
    family = Family(bits, ())
    row_bytes = family.starts.itemsize + ROW_TAIL_BYTES
    if len(piece) != HEADER.size + count * row_bytes:
        raise BlocksInvalid(f"piece {name} is truncated")
    offset = HEADER.size
    for part in (family.starts, family.lengths, family.sites):
        size = part.itemsize * count
        part.frombytes(piece[offset : offset + size])
        offset += size
        if sys.byteorder == "big":
            part.byteswap()
    if count and max(family.lengths) > bits:
        raise BlocksInvalid(f"piece {name} holds a prefix length over {bits}")
    return family


def rows_of(family: Family) -> list[PieceRow]:
    """Return the rows of a family."""
    return list(zip(family.starts, family.lengths, family.sites, strict=True))


def split(table: BlockTable) -> Iterator[bytes]:
    """Return the pieces of a table."""
    for family in (table.v4, table.v6):
        rows = rows_of(family)
        first = 0
        for index in range(1, len(rows) + 1):
            if index == len(rows) or _cuts(rows, first, index):
                yield encode_piece(family.bits, rows[first:index])
                first = index


def _cuts(rows: list[PieceRow], first: int, index: int) -> bool:
    mixed = rows[index][0] * CUT_MULTIPLIER & MASK_64
    return index - first >= MAX_PIECE_ROWS or mixed >> (64 - CUT_BITS) == 0


def join(sites: Sequence[SiteId], pieces: Sequence[bytes]) -> BlockTable:
    """Return the table that pieces in order make up."""
    joined = {bits: Family(bits, ()) for bits in (V4_BITS, V6_BITS)}
    for piece in pieces:
        part = decode_piece(piece)
        whole = joined[part.bits]
        whole.starts.extend(part.starts)
        whole.lengths.extend(part.lengths)
        whole.sites.extend(part.sites)
    return BlockTable(sites, joined[V4_BITS], joined[V6_BITS])


def difference(old: bytes, new: bytes) -> Patch:
    """Return the patch that turns one piece into another of its family."""
    before, after = set(rows_of(decode_piece(old))), set(rows_of(decode_piece(new)))
    dropped, added = sorted(before - after), sorted(after - before)
    return Patch(piece_name(new), tuple(dropped), tuple(added))


def apply_patch(old: bytes, patch: Patch) -> bytes:
    """Return the patched piece; raises BlocksInvalid when its name differs."""
    family = decode_piece(old)
    rows = (set(rows_of(family)) - set(patch.dropped)) | set(patch.added)
    new = encode_piece(family.bits, sorted(rows))
    if piece_name(new) != patch.result:
        raise BlocksInvalid(f"piece {patch.result} cannot be made from the one held")
    return new


def read_block_file(path: Path) -> tuple[BlockTable, tuple[Site, ...]]:
    """Read a block file and its pieces; raises SettingsInvalid, BlocksInvalid."""
    file = BlockFile.model_validate(read_model(path, BlockFile))
    names = [site.id for site in file.sites]
    if file.pieces:
        table = join(names, [_read_piece(path.parent, name) for name in file.pieces])
        return table, file.sites
    number = {name: position for position, name in enumerate(names)}
    rows = [parse_block(one.block, number[one.site]) for one in file.blocks]
    return table_of_rows(names, rows), file.sites


def _read_piece(folder: Path, name: str) -> bytes:
    try:
        piece = (folder / name).read_bytes()
    except OSError as error:
        raise BlocksInvalid(f"piece {name}: {error.strerror}") from None
    if piece_name(piece) != name:
        raise BlocksInvalid(f"piece {name} does not hold what its name says")
    return piece


def write_pieces(table: BlockTable, put: Callable[[str, bytes], object]) -> Manifest:
    """Hand every piece with its name to ``put`` and return the manifest."""
    names = []
    for piece in split(table):
        name = piece_name(piece)
        put(name, piece)
        names.append(name)
    return Manifest(tuple(names))
