"""What every program does before and around its event loop.

``disable_io_uring`` runs on import, before any loop exists: uvloop below 0.23
opens no io_uring ring when UV_USE_IO_URING is 0 at its first loop.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from masticdeck.application import Application
from masticdeck.errors import MasticdeckError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

COLLECT_AFTER = (10_000, 20, 50)
"""Allocations, and collections of the younger generation, between collections."""


def disable_io_uring() -> None:
    """Set the variable that keeps uvloop from opening an io_uring ring."""
    os.environ["UV_USE_IO_URING"] = "0"


disable_io_uring()


def run(main: Callable[[], Awaitable[int]]) -> int:
    """Run a coroutine on uvloop and return its exit status.

    A MasticdeckError becomes one line on standard error and status 1. Output
    that nobody reads any more ends the program quietly.
    """
    import uvloop

    async def body() -> int:
        return await main()

    try:
        return uvloop.run(body())
    except MasticdeckError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except BrokenPipeError:
        # Keeps the interpreter from failing again when it flushes at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED


async def serve(application: Application) -> int:
    """Start an application, wait for SIGTERM or SIGINT, and stop it.

    A signal during the start ends it; further signals during the stop change
    nothing.

    SIGHUP reloads the settings of an application that can.

    SIGUSR1 turns debug logging on and SIGUSR2 back to the level of the start.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if application.on_reload:
        loop.add_signal_handler(signal.SIGHUP, application.reload)
    level = logging.getLogger().level
    loop.add_signal_handler(signal.SIGUSR1, set_level, logging.DEBUG)
    loop.add_signal_handler(signal.SIGUSR2, set_level, level)
    starting = asyncio.create_task(application.start())
    waiting = asyncio.create_task(stopping.wait())
    await asyncio.wait({starting, waiting}, return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.wait({starting})
        return EXIT_OK
    starting.result()
    settle_garbage_collector()
    await waiting
    await application.finish()
    await application.stop()
    return EXIT_OK


def settle_garbage_collector() -> None:
    """Spare the collector the objects of start-up, and let it run less often.

    Modules, settings and tables live as long as the process; without this each
    full collection walks all of them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


def set_level(level: int) -> None:
    """Change the level of all log output of this process."""
    logging.getLogger().setLevel(level)


def configure_logging(*, style: str, level: str) -> None:
    """Send log records to standard error, plain or as JSON."""
    from aiomisc.log import LogFormat, basic_config

    formats: dict[str, Any] = {"plain": LogFormat.plain, "json": LogFormat.json}
    basic_config(level=level, log_format=formats[style], buffered=False)
    for name in ("aiohttp", "grpclib"):
        logging.getLogger(name).setLevel(logging.WARNING)
