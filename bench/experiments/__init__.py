"""One module for each experiment; each registers a coroutine function.

An experiment takes the name of the deployment and returns its figures.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from masticdeck.registry import Registry

registry: Registry[Callable[[str], Awaitable[dict[str, Any]]]] = Registry("experiment")
