"""Signals that arrive while a program is still importing its modules.

Their default action would end the process with an error. This module imports next to
nothing, so that it can be the first one of a program.
"""

from __future__ import annotations

import os
import signal


def handle_early_signals() -> None:
    """Handle SIGHUP and stops until the event loop handles them.

    A reload needs nothing: the settings have not been read yet, and a change of the
    file is noticed without a signal. A process that has accepted no request stops by
    ending with status 0. Returns without effect outside the main thread.
    """
    try:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, end_process)
    except ValueError:
        return


def end_process(_number: int, _frame: object) -> None:
    """End the process at once; nothing has been opened that needs a clean-up."""
    os._exit(0)
