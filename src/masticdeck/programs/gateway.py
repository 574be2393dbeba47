"""``masticdeck-gateway``: one entry on the users' platform."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from masticdeck.programs.gateway_process import run_gateway


@cappa.command(name="masticdeck-gateway", description="Run one entry on the platform.")
@dataclass(frozen=True)
class GatewayCommand:
    """Command line of the gateway program."""

    settings: Annotated[
        Path | None,
        cappa.Arg(
            short="-s",
            long="--settings",
            help="settings file (YAML); without it, the one in the environment",
        ),
    ] = None
    check_settings: Annotated[
        bool, cappa.Arg(long="--check-settings", help="check the settings and exit")
    ] = False


def main() -> None:
    """Run the gateway program."""
    command = cappa.parse(GatewayCommand)
    sys.exit(run_gateway(command.settings, check_only=command.check_settings))


if __name__ == "__main__":
    main()
