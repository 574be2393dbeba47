"""``masticdeckctl``: check, propose, accept and veto changes of the two lists.

Exit statuses are documented in ``docs/operators/exit-codes.md``.
"""

from __future__ import annotations

import sys

import cappa

from masticdeck.programs.ctl_client import (
    EXIT_LISTS_INVALID,
    EXIT_UNAVAILABLE,
    NoEntryReached,
    Refused,
)
from masticdeck.programs.ctl_commands import runners
from masticdeck.programs.ctl_options import Ctl
from masticdeck.programs.ctl_output import format_faults, format_json
from masticdeck.programs.runtime import run
from masticdeck.state.checks import ListsInvalid


def main() -> None:
    """Run the operators' program."""
    ctl = cappa.parse(Ctl)
    sys.exit(run(lambda: run_command(ctl)))


async def run_command(ctl: Ctl) -> int:
    """Run the chosen subcommand and return the exit status."""
    runner = runners.get(type(ctl.command).__name__)
    try:
        return await runner(ctl, ctl.command)
    except Refused as error:
        return print_refused(ctl, error)
    except ListsInvalid as error:
        print(format_faults(error.faults), file=sys.stderr)
        return EXIT_LISTS_INVALID
    except NoEntryReached as error:
        print(error, file=sys.stderr)
        return EXIT_UNAVAILABLE


def print_refused(ctl: Ctl, error: Refused) -> int:
    """Print an entry's problem document and return the exit status."""
    if ctl.json:
        print(format_json(error.problem))
    elif "faults" in error.problem:
        print(format_faults(error.problem["faults"]), file=sys.stderr)
    else:
        print(error, file=sys.stderr)
    return error.exit_status


if __name__ == "__main__":
    main()
