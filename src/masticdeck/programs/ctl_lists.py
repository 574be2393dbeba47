"""Folders with the two list files, as operators keep them.

``masticdeckctl show --lists FOLDER`` writes both files with a first line that
names the version they were read from; ``propose`` takes its base from there.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

from masticdeck.errors import SettingsInvalid
from masticdeck.ids import Version
from masticdeck.state.checks import (
    CUSTOMERS_FILE,
    PLANS_FILE,
    read_lists,
)
from masticdeck.state.deployment import Deployment
from masticdeck.state.lists import Lists, read_text

BASE_LINE = re.compile(r"^//\s*base version (\d{1,15})\s*$", re.MULTILINE)


@final
@dataclass(frozen=True, slots=True)
class ListFolder:
    """Both files of a folder."""

    folder: Path
    customers: str
    plans: str

    @property
    def base(self) -> Version | None:
        """Return the version named in the customers' file, or None."""
        found = BASE_LINE.search(self.customers)
        return None if found is None else Version(int(found.group(1)))

    def body(self) -> dict[str, Any]:
        """Return the request body that carries both texts."""
        return {
            "customers": self.customers,
            "plans": self.plans,
            "customers_file": str(self.folder / CUSTOMERS_FILE),
            "plans_file": str(self.folder / PLANS_FILE),
        }

    def read(self, deployment: Deployment) -> Lists:
        """Return the lists, or raise ListsInvalid with every fault."""
        return read_lists(
            self.customers,
            self.plans,
            deployment,
            customers_file=str(self.folder / CUSTOMERS_FILE),
            plans_file=str(self.folder / PLANS_FILE),
        )


def open_folder(folder: Path) -> ListFolder:
    """Read both files of a folder, or raise SettingsInvalid."""
    try:
        return ListFolder(
            folder,
            read_text(folder / CUSTOMERS_FILE),
            read_text(folder / PLANS_FILE),
        )
    except OSError as error:
        raise SettingsInvalid(f"{error.filename}: {error.strerror}") from None


def write_folder(folder: Path, version: int, lists: dict[str, Any]) -> None:
    """Write both lists of a version into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, document in (
        (CUSTOMERS_FILE, lists["customers"]),
        (PLANS_FILE, lists["plans"]),
    ):
        text = f"// base version {version}\n{format_list(document)}\n"
        (folder / name).write_text(text, encoding="utf-8")


def format_list(document: dict[str, Any]) -> str:
    """Return a list with one item on each line."""
    parts: list[str] = []
    for name, items in document.items():
        lines = "".join(f"    {json.dumps(item)},\n" for item in items)
        parts.append(f'  "{name}": [\n{lines}  ],\n')
    return "{\n" + "".join(parts) + "}"
