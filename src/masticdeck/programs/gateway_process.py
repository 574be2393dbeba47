"""The process of ``masticdeck-gateway``, apart from its command line.

The platform starts it without arguments, many times a day; the command-line
library would be a quarter of the imports.
"""

from __future__ import annotations

import sys
from pathlib import Path

from masticdeck.programs.runtime import run, serve

RING_EVENTS = 2_000
"""Latest events kept in memory; the log has them all."""


def run_gateway(path: Path | None = None, *, check_only: bool = False) -> int:
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

        source = path or settings_path()
        settings = load_settings(source)
        if check_only:
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
        reloader = Reloader(source, load_settings, gateway.apply_settings, events)
        application = gateway.build(store, endpoints, [reloader])
        application.on_reload.append(reloader.reload)
        try:
            return await serve(application)
        finally:
            lines.finish()

    return run(body)
