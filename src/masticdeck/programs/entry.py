"""``masticdeck-entry``: look-up and forwarding on one entry VM."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from masticdeck.programs.runtime import configure_logging, run, serve


@cappa.command(name="masticdeck-entry", description="Run one entry.")
@dataclass(frozen=True)
class Entry:
    """Command line of the entry program."""

    settings: Annotated[
        Path,
        cappa.Arg(
            short="-s", long="--settings", help="settings file (JSON with comments)"
        ),
    ]
    check_settings: Annotated[
        bool, cappa.Arg(long="--check-settings", help="check the settings and exit")
    ] = False


def main() -> None:
    """Run the entry program."""
    sys.exit(run_entry(cappa.parse(Entry)))


def run_entry(command: Entry) -> int:
    """Check the settings and serve until the process is told to stop."""

    async def body() -> int:
        from masticdeck.config import Config
        from masticdeck.entry.app import build_entry
        from masticdeck.state.deployment import read_model

        config = Config.model_validate(read_model(command.settings, Config))
        level = "error" if command.check_settings else config.log_level
        configure_logging(style=config.log_format, level=level)
        application = build_entry(config)
        if command.check_settings:
            print("settings valid")
            return 0
        return await serve(application)

    return run(body)


if __name__ == "__main__":
    main()
