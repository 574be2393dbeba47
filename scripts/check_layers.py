"""Checks that no import goes up a layer and that no file lacks a doc comment."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
LAYERS = (
    "state",
    "transport",
    "protocol",
    "coordination",
    "entry",
    "gateway",
    "platform",
    "load",
    "programs",
)
TREES = ("src", "testing", "bench", "scripts", "soak", "deploy")
TOP_MODULES = frozenset({"client"})


def layer_of(module: str) -> int:
    """Return the layer's position; flat modules are below every layer."""
    parts = module.split(".")
    if len(parts) > 1 and parts[0] == "masticdeck":
        if parts[1] in LAYERS:
            return LAYERS.index(parts[1])
        if parts[1] in TOP_MODULES:
            return len(LAYERS)
    return -1


def runtime_imports(tree: ast.Module) -> list[str]:
    """Return imported module names, but for those under TYPE_CHECKING."""
    skipped: set[ast.AST] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test):
            skipped.update(ast.walk(node))
    names: list[str] = []
    for node in ast.walk(tree):
        if node in skipped:
            continue
        if isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
        elif isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
    return names


def check_file(path: Path) -> list[str]:
    """Return the faults of one source file."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    name = path.relative_to(ROOT)
    faults = [] if ast.get_docstring(tree) else [f"{name}: no doc comment"]
    if path.is_relative_to(SOURCE):
        own = ".".join(path.relative_to(SOURCE).with_suffix("").parts)
        faults += [
            f"{name}: imports {module} from a higher layer"
            for module in runtime_imports(tree)
            if layer_of(module) > layer_of(own)
        ]
    return faults


def main() -> int:
    """Print every fault and return 1 when there is one."""
    faults: list[str] = []
    for tree in TREES:
        for path in sorted((ROOT / tree).rglob("*.py")):
            if "generated" not in path.parts:
                faults += check_file(path)
    print("\n".join(faults) or "layers and doc comments: no faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
