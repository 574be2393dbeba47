"""Takes in a changed settings file, with a signal or without one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from masticdeck.application import BackgroundTask
from masticdeck.errors import SettingsInvalid
from masticdeck.events import Code, EventLog
from masticdeck.gateway.settings import GatewaySettings

CHECK_INTERVAL_S = 2.0
"""Seconds between looks at the settings file."""


class Reloader(BackgroundTask):
    """Watches the settings file; a faulty one changes nothing."""

    def __init__(
        self,
        path: Path,
        load_settings: Callable[[Path], GatewaySettings],
        apply_settings: Callable[[GatewaySettings], None],
        events: EventLog,
    ) -> None:
        super().__init__()
        self.path = path
        self.load_settings = load_settings
        self.apply_settings = apply_settings
        self.events = events
        self.loaded_file_version = self.read_file_version()

    async def run(self) -> None:
        """Reload when the file has changed."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.read_file_version() != self.loaded_file_version:
                self.reload()

    def read_file_version(self) -> tuple[int, int]:
        """Return what changes with the file; zeros when it is not there."""
        try:
            status = self.path.stat()
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def reload(self) -> None:
        """Read the file and pass its settings on."""
        self.loaded_file_version = self.read_file_version()
        try:
            self.apply_settings(self.load_settings(self.path))
        except SettingsInvalid as error:
            self.events.emit(Code.SETTINGS_REJECTED, level=logging.WARNING, error=error)
