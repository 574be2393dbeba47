"""Runs the property tests with many more examples and fresh seeds."""

from __future__ import annotations

import os
import sys

import pytest

EXAMPLES = "2000"
TESTS = ("testing/test_fuzz.py",)


def main() -> int:
    """Run the tests; a failing example is printed with what reproduces it."""
    os.environ.setdefault("MASTICDECK_FUZZ_EXAMPLES", EXAMPLES)
    return int(pytest.main([*TESTS, "-o", "timeout=600", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
