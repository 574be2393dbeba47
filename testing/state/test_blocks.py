"""Block tables: innermost block, bad input, pieces and patches."""

from __future__ import annotations

import random

import pytest

from masticdeck.ids import SiteId
from masticdeck.state.block_pieces import (
    apply_patch,
    decode_piece,
    difference,
    join,
    piece_name,
    read_block_file,
    split,
    write_pieces,
)
from masticdeck.state.blocks import (
    AddressInvalid,
    BlocksInvalid,
    Row,
    build_table,
    parse_address,
    table_of_rows,
)


def random_rows(count: int, *, seed: int) -> list[Row]:
    random_source = random.Random(seed)
    starts = random_source.sample(range(1 << 24), count)
    v4 = [Row(4, start << 8, 24, start % 460) for start in starts[: count // 2]]
    return v4 + [Row(6, start << 16, 48, start % 460) for start in starts[count // 2 :]]


SITES = [SiteId(f"site-{number}") for number in range(460)]


@pytest.mark.parametrize(
    ("client", "site"),
    [
        pytest.param("10.1.2.3", "inner", id="innermost"),
        pytest.param("10.2.0.1", "outer", id="after-a-nested-block"),
        pytest.param("11.0.0.1", None, id="after-the-last"),
        pytest.param("9.255.255.255", None, id="before-the-first"),
        pytest.param("10.1.0.0/16", "inner", id="block"),
        pytest.param("::ffff:10.1.2.3", "inner", id="mapped"),
        pytest.param("2001:db8:1::7", "six", id="ipv6"),
        pytest.param("2001:db9::", None, id="ipv6-unknown"),
    ],
)
def test_innermost_block_gives_the_site(client, site):
    table = build_table(
        [("10.0.0.0/8", "outer"), ("10.1.0.0/16", "inner"), ("2001:db8::/32", "six")]
    )
    assert table.site_of(client) == site


def test_table_agrees_with_a_plain_search():
    rows = random_rows(400, seed=1)
    table = table_of_rows(SITES, rows)
    wanted = {(row.family, row.start): row.site for row in rows}
    for (family, start), site in wanted.items():
        assert table.find(family, start + 1) == site


@pytest.mark.parametrize(
    "client", ["", "10.0.0", "0x7f.1", "10.0.0.1/33", "::1/x", "a" * 500, "10.0.0.1\0"]
)
def test_client_that_is_no_address_is_refused_with_a_code(client):
    with pytest.raises(AddressInvalid, match="MD2004"):
        parse_address(client)


def test_block_listed_twice_is_refused():
    with pytest.raises(BlocksInvalid, match="twice"):
        build_table([("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")])


def test_edit_of_one_block_changes_one_piece_and_patches_it():
    rows = random_rows(200_000, seed=2)
    old = list(split(table_of_rows(SITES, rows)))
    changed = [*rows[1:], Row(4, rows[0].start, 24, (rows[0].site + 1) % 460)]
    new = list(split(table_of_rows(SITES, changed)))
    pairs = [(a, b) for a, b in zip(old, new, strict=True) if a != b]
    assert len(pairs) == 1
    patch = difference(*pairs[0])
    assert (len(patch.dropped), len(patch.added)) == (1, 1)
    assert apply_patch(pairs[0][0], patch) == pairs[0][1]
    assert all(len(piece) < 1_000_000 for piece in new)


def test_patch_on_the_wrong_piece_is_refused():
    old, new, other = (
        next(split(build_table(blocks)))
        for blocks in (
            [("10.0.0.0/8", "a")],
            [("10.0.0.0/8", "a"), ("11.0.0.0/8", "a")],
            [("12.0.0.0/8", "a")],
        )
    )
    patch = difference(old, new)
    assert apply_patch(old, patch) == new
    with pytest.raises(BlocksInvalid, match=piece_name(new)):
        apply_patch(other, patch)


def test_truncated_piece_is_refused():
    piece = next(split(build_table([("10.0.0.0/8", "a")])))
    for size in range(len(piece)):
        with pytest.raises(BlocksInvalid):
            decode_piece(piece[:size])


def test_file_with_pieces_gives_the_table_and_refuses_a_changed_piece(tmp_path):
    table = table_of_rows(SITES, random_rows(3_000, seed=3))
    manifest = write_pieces(table, lambda name, raw: (tmp_path / name).write_bytes(raw))
    sites = ", ".join(f'{{"id": "{site}", "zone": "z"}}' for site in SITES)
    names = ", ".join(f'"{name}"' for name in manifest.names)
    path = tmp_path / "blocks.jsonc"
    path.write_text(f'// sites\n{{"sites": [{sites}], "pieces": [{names}]}}')
    loaded, _ = read_block_file(path)
    assert loaded.v4.starts == table.v4.starts
    assert loaded.v6.sites == table.v6.sites
    broken = tmp_path / manifest.names[0]
    broken.write_bytes(broken.read_bytes()[:-1] + b"\xff")
    with pytest.raises(BlocksInvalid, match=manifest.names[0]):
        read_block_file(path)


def test_joined_pieces_are_the_table_and_the_manifest_names_what_lacks():
    table = table_of_rows(SITES, random_rows(150_000, seed=4))
    pieces = list(split(table))
    assert join(SITES, pieces).v4.starts == table.v4.starts
    old = write_pieces(build_table([("10.0.0.0/8", "a")]), lambda *_: None)
    new = write_pieces(table, lambda *_: None)
    assert new.missing(old) == tuple(piece_name(piece) for piece in pieces)
    assert new.missing(new) == ()
