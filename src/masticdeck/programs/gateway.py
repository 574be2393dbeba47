"""``masticdeck-gateway``: one entry on the users' platform."""

from __future__ import annotations

import sys

from masticdeck.programs.early_signals import handle_early_signals


def main() -> None:
    """Run the gateway program."""
    handle_early_signals()
    # Imported under the early handlers, as this takes some tenths of a second.
    from masticdeck.programs.gateway_command import run_command

    sys.exit(run_command())


if __name__ == "__main__":
    main()
