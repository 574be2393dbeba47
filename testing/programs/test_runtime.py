"""What every program does: settings checks, log output and its level."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path

import pytest

from bench.fleet import Fleet


async def run_entry(fleet: Fleet, settings: str, *options: str) -> tuple[int, str]:
    path = fleet.folder / "tried.jsonc"
    path.write_text(settings, encoding="utf-8")
    arguments = ("--settings", str(path), *options)
    await fleet.spawn("tried", "masticdeck.programs.entry", *arguments)
    status = await fleet.processes["tried"].wait()
    return status, fleet.log("tried")


@pytest.fixture
def idle_fleet(tmp_path: Path) -> Fleet:
    fleet = Fleet("riga", entries=1, backends=False)
    fleet.deployment_path.write_text(json.dumps(fleet.deployment), encoding="utf-8")
    return fleet


async def test_all_errors_of_a_settings_file_are_named_at_once(idle_fleet: Fleet):
    settings = '{"entry": "entry-1", /* no deployment */ "heartbeat_s": -1, "typo": 2}'
    status, output = await run_entry(idle_fleet, settings)
    assert status == 1
    assert all(name in output for name in ("deployment", "heartbeat_s", "typo"))
    assert "MD1101" in output
    assert "Traceback" not in output


async def test_check_settings_ends_without_serving(idle_fleet: Fleet):
    settings = json.dumps(
        {"entry": "entry-1", "deployment": str(idle_fleet.deployment_path)}
    )
    assert await run_entry(idle_fleet, settings, "--check-settings") == (
        0,
        "settings valid\n",
    )


async def test_log_lines_carry_event_numbers_and_the_level_changes_while_running():
    settings = {"log_format": "json", "log_level": "warning"}
    async with Fleet("riga", entries=1, settings=settings, backends=False) as fleet:
        process = fleet.processes["entry-1"]
        url = f"{fleet.entry_url('entry-1')}/service/katalogs/x"
        fields = {"Masticdeck-Timeout-Ms": "50"}
        process.send_signal(signal.SIGUSR1)
        async with asyncio.timeout(10):
            while "request_received" not in fleet.log("entry-1"):
                async with fleet.session.get(url, headers=fields):
                    pass
        rows = [json.loads(row) for row in fleet.log("entry-1").splitlines()]
        numbers = {row["@fields"].get("event") for row in rows}
        assert 500 in numbers


@pytest.mark.parametrize(
    ("module", "arguments"),
    [
        ("timeline", ("--follow",)),
        ("ctl", ("watch",)),
        ("load", ("run",)),
    ],
    ids=["timeline", "ctl", "load"],
)
async def test_program_opens_no_io_uring_descriptor(
    module: str, arguments: tuple[str, ...]
):
    async with Fleet("riga", entries=1, backends=False) as fleet:
        options = [f"--deployment={fleet.deployment_path}"]
        if module == "load":
            options = [str(write_experiment(fleet)), f"--out={fleet.folder / 'out'}"]
        name = f"masticdeck.programs.{module}"
        await fleet.spawn(module, name, *arguments, *options)
        process = fleet.processes[module]
        async with asyncio.timeout(20):
            while not any("eventpoll" in one for one in descriptors(process.pid)):
                assert process.returncode is None, fleet.log(module)
                await asyncio.sleep(0.01)
        assert not any("io_uring" in one for one in descriptors(process.pid))


def write_experiment(fleet: Fleet) -> Path:
    """Write an experiment of one request a second."""
    stream = {"name": "a", "service": "katalogs", "rank": "low", "rate": 1}
    experiment = {
        "name": "idle",
        "duration_s": 30,
        "deployment": str(fleet.deployment_path),
        "streams": [stream | {"wait_ms": 100}],
    }
    path = fleet.folder / "experiment.json"
    path.write_text(json.dumps(experiment), encoding="utf-8")
    return path


def descriptors(pid: int) -> list[str]:
    """Return what the open descriptors of a process stand for."""
    names = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):
            names.append(str(path.readlink()))
    return names
