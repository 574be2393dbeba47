"""Prints the shares of tests, soak and coordination in the code, in lines."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COORDINATION = ("coordination", "state")


def count(paths: list[Path]) -> int:
    """Return the number of lines that are not blank."""
    return sum(
        sum(1 for line in path.read_text(encoding="utf-8").splitlines() if line.strip())
        for path in paths
    )


def main() -> None:
    """Print the shares."""
    source = [
        path for path in (ROOT / "src").rglob("*.py") if "generated" not in path.parts
    ]
    tests = list((ROOT / "testing").rglob("*.py"))
    tests += (ROOT / "testing").rglob("*.feature")
    tools = [
        path for tree in ("bench", "scripts") for path in (ROOT / tree).rglob("*.py")
    ]
    soak = list((ROOT / "soak").rglob("*.py"))
    coordination = [path for path in source if set(path.parts) & set(COORDINATION)]
    lines = {
        "source": count(source),
        "tests": count(tests),
        "tools": count(tools),
        "soak": count(soak),
        "coordination": count(coordination),
    }
    total = lines["source"] + lines["tests"] + lines["tools"] + lines["soak"]
    print(", ".join(f"{name} {number}" for name, number in lines.items()))
    print(f"tests: {lines['tests'] / total:.2f} of all code (no bound)")
    print(f"soak: {lines['soak'] / total:.2f} of all code (under 0.10)")
    share = lines["coordination"] / lines["source"]
    print(f"coordination: {share:.2f} of the source (0.25 or more)")


if __name__ == "__main__":
    main()
