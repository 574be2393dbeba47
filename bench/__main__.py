"""Runs one experiment: ``python -m bench NAME [--deployment riga|texas]``.

The last line is one JSON object with the experiment's figures. With
``--record`` it is also written to ``bench/results``, from where the capacity
page and the promises page take their figures.
"""

from __future__ import annotations

import argparse
import importlib
import json
import os
import pkgutil
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from bench import experiments
from masticdeck.registry import Registry

RESULTS = Path(__file__).resolve().parent / "results"

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
    parser.add_argument("--record", action="store_true", help="keep the figures")
    arguments = parser.parse_args()
    experiment = registry.get(arguments.experiment)

    async def body() -> dict[str, Any]:
        return await experiment(arguments.deployment)

    figures = uvloop.run(body())
    if arguments.record:
        record(arguments.experiment, arguments.deployment, figures)
    print(json.dumps(figures))


def record(experiment: str, deployment: str, figures: dict[str, Any]) -> None:
    """Write an experiment's figures where the pages find them."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{experiment}-{deployment}.json"
    path.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
