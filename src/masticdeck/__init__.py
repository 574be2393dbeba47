"""masticdeck: global traffic steering by cooperating entries."""

from __future__ import annotations

from masticdeck.errors import MasticdeckError
from masticdeck.ids import Outcome, Rank

__all__ = ["MasticdeckError", "Outcome", "Rank"]
