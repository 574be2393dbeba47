"""Checks the specification in ``spec/`` with spin, or its mutants.

Installs spin from the system's packages when it is missing. Without options
every specification must hold; with ``--mutants`` every guard that is switched
off must yield a counterexample. Prints bounds, states explored and results.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "spec" / "build"
DEPTH = 200_000
MEMORY_MB = 2_000
CHECK_TIMEOUT_S = 120

MUTANTS: dict[str, tuple[str, ...]] = {
    "acceptance": ("NO_COMPARE", "NO_WINDOW", "BLIND_RETRY", "TRUST_LATE_VETO"),
    "rollout": ("NO_FLOOR", "NO_CALLER_VERSION", "SERVE_WITHOUT_VERSION"),
    "owner": ("NO_FENCING", "COUNT_FROM_ANSWER"),
    "restoration": ("NO_ERA", "COPY_WINS", "FENCE_BY_COUNTER"),
    "shares": (
        "NO_CHECK_AT_USE",
        "COUNT_FROM_RECEIPT",
        "RELEASE_IN_USE",
        "NO_WAIT_OUT",
    ),
    "orders": (
        "NO_RECORD",
        "NO_WITNESS",
        "NO_SEAL",
        "RUN_WHEN_CLOSED",
        "RESTART_RUNS_OLD_KEYS",
        "HAND_OVER_IN_FLIGHT",
    ),
}


@dataclass(frozen=True)
class Result:
    """Outcome of one search; ``whole`` tells that every state was reached."""

    name: str
    errors: int
    states: int
    depth: int
    whole: bool

    def row(self) -> str:
        """Return the result as one line."""
        found = "counterexample" if self.errors else "holds"
        extent = "whole state space" if self.whole else "search cut short"
        return (
            f"{self.name:<34} {found:<15} {self.states:>9} states, "
            f"depth {self.depth}, {extent}"
        )


def ensure_spin() -> None:
    """Install spin when it is not on the path."""
    if shutil.which("spin"):
        return
    subprocess.run(["apt-get", "update", "-q"], check=False, stdout=subprocess.DEVNULL)
    subprocess.run(
        ["apt-get", "install", "-y", "-q", "spin"],
        check=True,
        stdout=subprocess.DEVNULL,
    )


def check(specification: str, guard: str | None) -> Result:
    """Generate, compile and run the verifier of one specification."""
    name = specification if guard is None else f"{specification} with {guard}"
    folder = BUILD / name.replace(" ", "-")
    folder.mkdir(parents=True, exist_ok=True)
    defines = [] if guard is None else [f"-D{guard}"]
    source = ROOT / "spec" / f"{specification}.pml"
    execute(["spin", *defines, "-a", str(source)], folder)
    execute(
        ["gcc", "-O2", "-w", "-DSAFETY", f"-DMEMLIM={MEMORY_MB}", "-o", "pan", "pan.c"],
        folder,
    )
    # Invalid end states are not faults here: processes may wait for ever.
    output = execute(["./pan", "-E", f"-m{DEPTH}"], folder)
    return parse(name, output)


def execute(command: list[str], folder: Path) -> str:
    """Run a command and return its output; raises when it fails."""
    done = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=CHECK_TIMEOUT_S,
        check=False,
    )
    if done.returncode != 0:
        raise RuntimeError(f"{' '.join(command)}: {done.stdout}{done.stderr}")
    return done.stdout


def parse(name: str, output: str) -> Result:
    """Read errors, states and depth from the verifier's report."""
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    depth = re.search(r"depth reached (\d+)", output)
    if errors is None or states is None or depth is None:
        raise RuntimeError(f"{name}: no report in {output!r}")
    whole = not any(
        text in output
        for text in ("Search not completed", "max search depth", "out of memory")
    )
    return Result(name, int(errors[1]), int(states[1]), int(depth[1]), whole)


def main() -> int:
    """Check the specifications or their mutants; return 1 on a surprise."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--mutants", action="store_true")
    mutants = parser.parse_args().mutants
    ensure_spin()
    failed = 0
    for specification, guards in MUTANTS.items():
        for guard in guards if mutants else (None,):
            result = check(specification, guard)
            print(result.row(), flush=True)
            expected = result.errors > 0 if mutants else result.errors == 0
            failed += not (expected and (mutants or result.whole))
    print(f"{failed} not as expected")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
