"""The mutants of ``make mutants`` still fit the code that they change."""

from __future__ import annotations

import pytest

from scripts.run_mutants import MUTANTS, ROOT


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.mechanism)
def test_text_that_a_mutant_replaces_stands_once_in_its_file(mutant):
    """Guards against mutants that are lost when their code is changed."""
    source = (ROOT / mutant.file).read_text(encoding="utf-8")
    assert source.count(mutant.old) == 1


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.mechanism)
def test_test_that_a_mutant_names_exists(mutant):
    path, *names = mutant.test.split("::")
    source = (ROOT / path).read_text(encoding="utf-8")
    for name in names:
        assert f"def {name}(" in source or f"class {name}:" in source
