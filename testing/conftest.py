"""Fixtures shared by all tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import uvloop

from masticdeck.programs.runtime import disable_io_uring


def pytest_asyncio_loop_factories() -> dict[
    str, Callable[[], asyncio.AbstractEventLoop]
]:
    """Run every test on uvloop, as the programs do."""
    disable_io_uring()
    return {"uvloop": uvloop.new_event_loop}
