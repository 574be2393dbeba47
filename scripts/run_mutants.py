"""Switches one mechanism off at a time and demands that its test fails.

Each mutant replaces one text of one source file in a copy of the tree, and
names the promise and the test. ``make mutants`` runs all; a mutant whose test
still passes, or whose text is no longer in the file, is reported and fails.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from scripts.gateway_mutants import GATEWAY_MUTANTS
from scripts.mutant import Mutant

ROOT = Path(__file__).resolve().parent.parent
TREES = ("src", "testing", "bench", "scripts", "examples", "docs", "soak")
TEST_TIMEOUT_S = 180
TESTS_FAILED = 1


COORDINATION = "src/masticdeck/coordination"
MUTANTS = (
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="validity of a share checked at the moment of use",
        file=f"{COORDINATION}/holding.py",
        old="if not indexes or instance in self.leaving_instances "
        "or not self.is_valid():",
        new="if not indexes or instance in self.leaving_instances:",
        test="testing/coordination/test_shares.py"
        "::test_unit_cannot_be_acquired_after_its_grant_expired",
    ),
    Mutant(
        promise="no region is overloaded by a steering decision",
        mechanism="validity counted from before the report",
        file=f"{COORDINATION}/holding.py",
        old="max(self.valid_until, sent_at + valid_s - margin_s)",
        new="max(self.valid_until, boottime() + valid_s - margin_s)",
        test="testing/coordination/test_shares.py"
        "::test_validity_is_measured_from_when_the_report_was_sent",
    ),
    Mutant(
        promise="a caller gets the whole answer to its own request",
        mechanism="an answer cut short breaks the caller's connection",
        file="src/masticdeck/entry/delivery.py",
        old='            raise BackendBroken("the answer stalled") from None',
        new='            return b""',
        test="testing/entry/test_forward.py"
        "::test_file_stalled_everywhere_ends_in_a_broken_connection",
    ),
    Mutant(
        promise="a refusal that says not run is true",
        mechanism="the witness seals a key before it says not run",
        file=f"{COORDINATION}/order_witness.py",
        old="        self.seal(table, token, key, digest)\n",
        new="",
        test="testing/coordination/test_orders.py"
        "::test_sealed_key_is_not_run_by_a_home_that_resumes_later",
    ),
    Mutant(
        promise="an order runs at most once",
        mechanism="the home's record of a key",
        file=f"{COORDINATION}/order_home.py",
        old="        record = self.table.find(key)\n        if record is not None:",
        new="        record = None\n        if record is not None:",
        test="testing/coordination/test_orders.py"
        "::test_repeat_at_any_entry_returns_the_first_response",
    ),
    Mutant(
        promise="an order runs at most once",
        mechanism="an attempt that broke after it was sent counts as unknown",
        file="src/masticdeck/protocol/backend.py",
        old="    status = 502\n    outcome = Outcome.UNKNOWN",
        new="    status = 502\n    outcome = Outcome.NOT_RUN",
        test="testing/entry/test_forward.py"
        "::test_order_on_a_broken_connection_is_not_sent_twice",
    ),
    Mutant(
        promise="a leaving backend server gets no new work",
        mechanism="leaving instances are left out of the choice",
        file=f"{COORDINATION}/ranked.py",
        old="        self.router.leaving_instances.add(instance)",
        new="        pass",
        test="testing/coordination/test_ranked.py"
        "::test_leaving_instance_gets_no_new_work_until_it_returns",
    ),
    Mutant(
        promise="a planned stop cuts no request",
        mechanism="the stop waits for requests in flight",
        file=f"{COORDINATION}/graceful_shutdown.py",
        old="            self.forwarder.in_flight or self.server.undelivered\n",
        new="            self.server.undelivered\n",
        test="testing/coordination/test_leaving.py"
        "::test_request_longer_than_the_announcement_is_finished",
    ),
    Mutant(
        promise="an accepted configuration never reverts",
        mechanism="a node refuses versions below its own",
        file=f"{COORDINATION}/rollout.py",
        old="        if version < self.version:\n            return False\n",
        new="",
        test="testing/coordination/test_rollout.py"
        "::test_store_with_an_older_state_changes_nothing",
    ),
    Mutant(
        promise="an accepted configuration never reverts",
        mechanism="an entry behind its caller catches up first",
        file=f"{COORDINATION}/rollout.py",
        old="            and self.version >= caller_version\n",
        new="",
        test="testing/coordination/test_rollout.py"
        "::test_entry_with_a_lower_version_catches_up_before_it_serves_a_caller",
    ),
    *GATEWAY_MUTANTS,
)


def copy_tree(folder: Path) -> None:
    """Copy what the tests need."""
    for name in TREES:
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, folder / name, ignore=ignore)
    shutil.copy(ROOT / "pyproject.toml", folder)


def run_test(folder: Path, test: str) -> int:
    """Run one test in a copy of the tree and return pytest's status."""
    environment = os.environ | {"PYTHONPATH": f"{folder / 'src'}:{folder}"}
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", test]
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return TESTS_FAILED
    return done.returncode


def try_mutant(folder: Path, mutant: Mutant) -> str:
    """Return what became of a mutant: killed, alive or lost."""
    path = folder / mutant.file
    source = path.read_text(encoding="utf-8")
    if source.count(mutant.old) != 1:
        return "lost"
    path.write_text(source.replace(mutant.old, mutant.new), encoding="utf-8")
    try:
        status = run_test(folder, mutant.test)
    finally:
        path.write_text(source, encoding="utf-8")
    return "killed" if status == TESTS_FAILED else "alive"


def main() -> int:
    """Try every mutant and return 1 when one is not killed."""
    chosen = [one for one in MUTANTS if all(word in one.test for word in sys.argv[1:])]
    surprises = 0
    with tempfile.TemporaryDirectory(prefix="masticdeck-mutants-") as name:
        folder = Path(name)
        copy_tree(folder)
        for mutant in chosen:
            result = try_mutant(folder, mutant)
            surprises += result != "killed"
            test = mutant.test.rpartition("::")[2]
            print(f"{result:<7}{mutant.mechanism}: {test}", flush=True)
    print(f"{surprises} of {len(chosen)} mutants not killed")
    return 1 if surprises else 0


if __name__ == "__main__":
    sys.exit(main())
