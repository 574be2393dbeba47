"""A mechanism that is switched off, and the test that must notice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """One mechanism that is switched off, and the test that must notice."""

    promise: str
    mechanism: str
    file: str
    old: str
    new: str
    test: str
