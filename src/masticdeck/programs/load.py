"""``masticdeck-load``: runs an experiment against a deployment and reports on it.

``run`` sends the load of an experiment file, or one part of it when several
processes share the work; ``report`` joins the parts into histograms and a page.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from masticdeck.errors import SettingsInvalid
from masticdeck.programs.runtime import EXIT_OK, run

START_DELAY_S = 0.5


@cappa.command(name="run", description="Send an experiment's load.")
@dataclass(frozen=True)
class Run:
    """Options of ``masticdeck-load run``."""

    experiment: Annotated[Path, cappa.Arg(help="experiment (JSON with comments)")]
    out: Annotated[Path, cappa.Arg(long="--out", help="folder for the records")]
    part: Annotated[str, cappa.Arg(long="--part", help="part of parts, as 0/3")] = "0/1"
    start_at: Annotated[
        float, cappa.Arg(long="--start-at", help="start, in seconds since the epoch")
    ] = 0.0
    control: Annotated[
        Path | None, cappa.Arg(long="--control", help="file for the starter's faults")
    ] = None


@cappa.command(name="report", description="Write histograms and an HTML page.")
@dataclass(frozen=True)
class Report:
    """Options of ``masticdeck-load report``."""

    experiment: Annotated[Path, cappa.Arg(help="experiment (JSON with comments)")]
    out: Annotated[Path, cappa.Arg(long="--out", help="folder with the records")]


@cappa.command(name="masticdeck-load", description="Load tests of a deployment.")
@dataclass(frozen=True)
class Load:
    """Command line of the load tool."""

    command: cappa.Subcommands[Run | Report]


def main() -> None:
    """Run the load tool."""
    load = cappa.parse(Load)
    if isinstance(load.command, Run):
        sys.exit(run_load(load.command))
    sys.exit(run_report(load.command))


def parse_part(text: str) -> tuple[int, int]:
    """Return the part's number and the number of parts.

    >>> parse_part("1/3")
    (1, 3)
    """
    part, _, parts = text.partition("/")
    if not (part.isdigit() and parts.isdigit() and int(part) < int(parts)):
        raise SettingsInvalid(f"--part {text!r} is not like 0/3")
    return int(part), int(parts)


def run_load(command: Run) -> int:
    """Send the load and write the records of this part."""

    async def body() -> int:
        from masticdeck.load.caller import Callers
        from masticdeck.load.experiment import load_experiment
        from masticdeck.load.faults import Faults
        from masticdeck.state.deployment import load_deployment

        part, parts = parse_part(command.part)
        experiment = load_experiment(command.experiment)
        deployment = load_deployment(experiment.deployment)
        callers = Callers(experiment, deployment, part=part, parts=parts)
        faults = Faults(experiment, deployment, command.control)
        start_at = command.start_at or time.time() + START_DELAY_S
        async with asyncio.TaskGroup() as group:
            if part == 0:
                group.create_task(faults.run(start_at=start_at))
            await callers.run(start_at=start_at)
        callers.records.faults = faults.done
        command.out.mkdir(parents=True, exist_ok=True)
        callers.records.write(command.out / f"part-{part}.json")
        return EXIT_OK

    return run(body)


def run_report(command: Report) -> int:
    """Join the parts and write the report."""

    async def body() -> int:
        from masticdeck.load.experiment import load_experiment
        from masticdeck.load.records import read_records
        from masticdeck.load.report import write_report

        experiment = load_experiment(command.experiment)
        records = read_records(sorted(command.out.glob("part-*.json")))
        print(write_report(experiment, records, command.out))
        return EXIT_OK

    return run(body)


if __name__ == "__main__":
    main()
