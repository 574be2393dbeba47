"""``masticdeck-gateway``: one entry on the users' platform."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from masticdeck.programs.runtime import run, serve


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
    sys.exit(run_gateway(cappa.parse(GatewayCommand)))


def run_gateway(command: GatewayCommand) -> int:
    """Check the settings and serve until the process is told to stop."""

    async def body() -> int:
        from masticdeck.clock import HybridClock
        from masticdeck.events import EventLog
        from masticdeck.gateway.app import Endpoints, Gateway, Platform
        from masticdeck.gateway.reloader import Reloader
        from masticdeck.logs import configure_lines
        from masticdeck.metrics import Metrics
        from masticdeck.platform.endpoints import PlatformEndpoints
        from masticdeck.platform.headers import PlatformDialect
        from masticdeck.platform.records import PlatformRecords
        from masticdeck.platform.settings import load_settings, settings_path
        from masticdeck.platform.store import PlatformStore

        path = command.settings or settings_path()
        settings = load_settings(path)
        if command.check_settings:
            print("settings valid")
            return 0
        lines = configure_lines(
            sys.stdout, process=settings.entry, level=settings.log_level
        )
        events = EventLog(settings.entry, HybridClock(), capacity=RING_EVENTS)
        metrics = Metrics(zone=settings.zone)
        store = PlatformStore(settings.store, events=events, metrics=metrics)
        platform = Platform(
            store=store, decoder=PlatformRecords(), dialect=PlatformDialect()
        )
        gateway = Gateway(settings, platform, events, metrics)
        calls = PlatformEndpoints(gateway.directory, ttl_s=settings.lookup_ttl_s)
        endpoints = Endpoints(
            readiness=calls.answer_readiness, lookup=calls.answer_lookup
        )
        reloader = Reloader(path, load_settings, gateway.use_settings, events)
        application = gateway.build(store, endpoints, [reloader])
        application.on_reload.append(reloader.reload)
        try:
            return await serve(application)
        finally:
            lines.finish()

    return run(body)


RING_EVENTS = 2_000
"""Latest events kept in memory; the log has them all."""


if __name__ == "__main__":
    main()
