"""The command line of ``masticdeck-gateway``."""

from __future__ import annotations

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


def run_command() -> int:
    """Run the gateway as its command line says and return its exit status."""
    command = cappa.parse(GatewayCommand)
    return run_gateway(command.settings, check_only=command.check_settings)
