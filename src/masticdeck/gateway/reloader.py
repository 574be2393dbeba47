"""Reloads the settings file when it changes or when a signal requests it."""

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
"""Seconds between checks of the settings file for changes."""


class Reloader(BackgroundTask):
    """Watches the settings file; invalid settings are logged and not applied."""

    def __init__(
        self,
        path: Path,
        load_settings: Callable[[Path], GatewaySettings],
        apply_settings: Callable[[GatewaySettings], None],
        events: EventLog,
    ) -> None:
        super().__init__(events)
        self.path = path
        self.load_settings = load_settings
        self.apply_settings = apply_settings
        self.loaded_file_version = self.read_file_version()

    async def run(self) -> None:
        """Check the file at intervals and reload it after a change."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.read_file_version() != self.loaded_file_version:
                self.reload()

    def read_file_version(self) -> tuple[int, int]:
        """Return the file's modification time and size, zeros without a file."""
        try:
            file_status = self.path.stat()
        except OSError:
            return 0, 0
        return file_status.st_mtime_ns, file_status.st_size

    def reload(self) -> None:
        """Read the file and apply its settings, or log why they are invalid."""
        self.loaded_file_version = self.read_file_version()
        try:
            self.apply_settings(self.load_settings(self.path))
        except SettingsInvalid as error:
            self.events.emit(Code.SETTINGS_REJECTED, level=logging.WARNING, error=error)
