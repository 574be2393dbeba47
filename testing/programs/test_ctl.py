"""``masticdeckctl`` against a fleet of entry processes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import pytest
from aiohttp import ClientSession

from masticdeck.programs.ctl_output import format_table
from testing.operators import Organisation


@pytest.mark.slow
async def test_change_goes_from_check_to_history(tmp_path, capsys):
    place = Organisation(tmp_path, entries=3)
    async with place.fleet:
        await place.accept_first()
        await place.in_force(1)
        capsys.readouterr()
        place.set_capacity(0.25)
        assert await place.ctl("alice", "check", str(place.lists)) == 0
        assert await place.ctl("alice", "diff", str(place.lists)) == 0
        await place.fleet.kill("entry-1")
        capsys.readouterr()
        folder = str(place.lists)
        assert await place.ctl("alice", "propose", folder, "--id", "cut") == 0
        assert await place.ctl("alice", "propose", folder, "--id", "cut") == 0
        proposal = json.loads(capsys.readouterr().out.partition("\n}\n")[0] + "}")
        assert proposal["holders"] == ["partner-shops"]
        assert await place.ctl("bob", "accept", "cut", "--wait", "10") == 0
        await place.in_force(2, "entry-2", "entry-3")
        capsys.readouterr()
        assert await place.ctl("alice", "history") == 0
        versions = json.loads(capsys.readouterr().out)["versions"]
        assert (versions[0]["version"], versions[0]["by"]) == (2, "bob")
        assert await place.ctl("partner-shops", "veto", "cut") == 4
        assert await place.ctl("alice", "status") == 9


@pytest.mark.slow
async def test_each_role_may_do_only_its_own(tmp_path, capsys):
    place = Organisation(tmp_path, entries=2, veto_window_s=60)
    folder = str(place.lists)
    async with place.fleet:
        await place.accept_first()
        place.set_capacity(0.25)
        for who in ("caller", "cooperative"):
            assert await place.ctl(who, "propose", folder) == 6
        assert await place.ctl("alice", "propose", folder, "--id", "cut") == 0
        assert await place.ctl("alice", "veto", "cut") == 6
        assert await place.ctl("cooperative", "veto", "cut") == 6
        assert await place.ctl("cooperative", "show", "cut") == 6
        capsys.readouterr()
        assert await place.ctl("cooperative", "show") == 0
        assert json.loads(capsys.readouterr().out)["proposals"] == []
        assert await place.ctl("partner-shops", "show", "cut") == 0
        assert await place.ctl("partner-shops", "veto", "cut", "--reason", "no") == 0
        assert await place.ctl("alice", "accept", "cut") == 5
        assert await place.ctl("alice", "accept", "unknown") == 1
        await place.fleet.control_platform(down=True)
        assert await place.ctl("alice", "propose", folder) == 7
        await place.fleet.control_platform(down=False)


@pytest.mark.slow
async def test_faults_conflicts_drains_and_hostile_requests_have_codes(
    tmp_path, capsys
):
    place = Organisation(tmp_path, entries=1)
    folder = str(place.lists)
    async with place.fleet:
        await place.accept_first()
        assert await place.ctl("alice", "propose", folder) == 1
        place.set_capacity(3)
        capsys.readouterr()
        assert await place.ctl("alice", "propose", folder) == 3
        faults = json.loads(capsys.readouterr().out)["faults"]
        assert faults[0]["field"] == "plans[1].capacity"
        assert faults[0]["line"] > 1
        place.set_capacity(0.25)
        assert await place.ctl("alice", "propose", folder, "--base", "7") == 4
        assert await place.ctl("alice", "drain", "raksti-1") == 0
        assert await place.ctl("alice", "drain", "raksti-99") == 1
        capsys.readouterr()
        assert await place.ctl("alice", "drain") == 0
        drains = json.loads(capsys.readouterr().out)["drains"]
        assert [(one["id"], one["kind"]) for one in drains] == [
            ("raksti-1", "instance")
        ]
        assert await place.ctl("alice", "drain", "raksti-1", "--undo") == 0
        url = f"{place.fleet.entry_url('entry-1')}/-/operators/"
        fields = {"Authorization": "Bearer alice"}
        async with ClientSession(headers=fields) as session:
            for method, path, body in (
                ("POST", "proposals", b"{"),
                ("POST", "proposals", b'{"id": "../x", "base": -1}'),
                ("POST", "proposals", b"x" * 3_000_000),
                ("GET", "history?limit=0", b""),
                ("PUT", "drains/" + "x" * 500, b""),
                ("PATCH", "status", b""),
            ):
                async with session.request(method, url + path, data=body) as response:
                    problem = await response.json(content_type=None)
                assert (response.status, problem["code"]) == (400, "MD2001")


async def test_no_entry_in_reach_has_its_own_exit_status(tmp_path):
    place = Organisation(tmp_path, entries=1)
    place.fleet.deployment_path.write_text(json.dumps(place.fleet.deployment))
    assert await place.ctl("alice", "show") == 7


@pytest.mark.parametrize(
    ("arguments", "status", "words"),
    [
        (["--help"], 0, "Accept a proposal"),
        (["schema", "customers"], 0, '"CustomerList"'),
        (["completion", "zsh"], 0, "#compdef masticdeckctl"),
        (["proposal"], 2, "proposal"),
        (["show"], 1, "MD1101"),
    ],
    ids=["help", "schema", "completion", "usage", "no-entry-named"],
)
async def test_program_prints_and_exits_as_documented(arguments, status, words):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "masticdeck.programs.ctl",
        *arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode == status, output
    assert words in output.decode()


def test_table_aligns_columns_and_shows_absent_values():
    assert format_table(["id", "by"], [["cut", None]]) == "ID   BY\ncut  -"
