"""Runs one experiment: ``python -m bench NAME [--deployment riga|texas]``.

The last line is one JSON object with the experiment's figures.
"""

from __future__ import annotations

import argparse
import importlib
import json
import os
import pkgutil
from collections.abc import Awaitable, Callable
from typing import Any

from bench import experiments
from masticdeck.registry import Registry

Experiment = Callable[[str], Awaitable[dict[str, Any]]]
registry: Registry[Experiment] = experiments.registry


def main() -> None:
    """Run the named experiment."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    for module in pkgutil.iter_modules(experiments.__path__):
        importlib.import_module(f"bench.experiments.{module.name}")
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("experiment", choices=list(registry))
    parser.add_argument("--deployment", choices=["riga", "texas"], default="riga")
    arguments = parser.parse_args()
    experiment = registry.get(arguments.experiment)

    async def body() -> dict[str, Any]:
        return await experiment(arguments.deployment)

    print(json.dumps(uvloop.run(body())))


if __name__ == "__main__":
    main()
