"""Insert deliberate faults into the control process, and report whether random days, a test or the search detects each.

python -m benchmarks.simnet_faults [--minutes 0.5] [--jobs 4] [--only WORDS]

Each fault changes one or more places of `thistleusher/control/` in a copy of the source tree. In the copy, random days
are simulated until a rule is broken; if none is, the named tests run, and then every order of events is searched from
four initial states. The exit code is 1 if a fault is not detected.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.control_faults import FAULTS, DeliberateFault

ROOT = Path(__file__).resolve().parent.parent
COPIED_FOLDERS = ("thistleusher", "simnet", "tests", "benchmarks", "docs")
SEARCH_DEPTH = 4  # Depth of the search, as for `python -m simnet --search`.
NAMED_TESTS = ("control", "transport/test_state_updates.py", "simnet/test_search.py")


class SourceChangedError(Exception):
    """The source text that a fault changes does not occur in the sources exactly once."""


def copy_tree(tree: Path, folder: Path) -> None:
    """Copy the parts of a source tree that a run needs."""
    for part in COPIED_FOLDERS:
        shutil.copytree(tree / part, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(tree / "pyproject.toml", folder)


def insert(fault: DeliberateFault, folder: Path) -> None:
    """Insert a fault into a copy of the tree.

    Raises SourceChangedError if a text that it changes does not occur exactly once.
    """
    for correct, faulty in fault.edits:
        paths = [path for path in (folder / "thistleusher" / "control").glob("*.py") if correct in path.read_text()]
        if len(paths) != 1 or paths[0].read_text().count(correct) != 1:
            raise SourceChangedError
        paths[0].write_text(paths[0].read_text().replace(correct, faulty))


def run(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module with the sources of the copy."""
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    return subprocess.run(
        [sys.executable, "-m", *arguments], cwd=folder, capture_output=True, text=True, env=environment
    )


def find_by_days(folder: Path, minutes: float) -> str:
    """Return how the random days detected a fault; empty if they did not."""
    completed = run(folder, "simnet", "--minutes", str(minutes), "--first", "1", "--stop")
    lines = completed.stdout.strip().splitlines() or ["?"]
    if completed.returncode == 1 and lines[-1].startswith("found"):
        return lines[-1].removeprefix("found by ")
    return _crash_report("day", completed)


def find_by_search(folder: Path, minutes: float) -> str:
    """Return how the search detected a fault; empty if it did not."""
    completed = run(folder, "simnet", "--search", str(SEARCH_DEPTH), "--minutes", str(minutes))
    lines = [line for line in completed.stdout.splitlines() if not line.startswith("  ")]
    if completed.returncode == 1 and lines:
        return f"the search: {lines[-1]}"
    return _crash_report("search", completed)


def find_by_tests(folder: Path) -> str:
    """Return the first named test that failed; empty if none did."""
    completed = run(folder, "pytest", "-q", "-x", "--tb=no", *(f"tests/{name}" for name in NAMED_TESTS))
    failed = [line for line in completed.stdout.splitlines() if line.startswith(("FAILED", "ERROR"))]
    return f"test {failed[0].split('::')[-1].split(' ')[0]}" if failed else ""


def _crash_report(check: str, completed: subprocess.CompletedProcess[str]) -> str:
    """Return the error of a run that failed, which counts as a detection; empty if a signal ended the process."""
    lines = completed.stderr.strip().splitlines()
    return f"{check} crashes: {lines[-1]}" if completed.returncode > 0 and lines else ""


def find(fault: DeliberateFault, tree: Path, minutes: float) -> str:
    """Return what detects a fault; empty if nothing does."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(tree, folder)
        insert(fault, folder)
        return find_by_days(folder, minutes) or find_by_tests(folder) or find_by_search(folder, 4 * minutes)


def report_fault(fault: DeliberateFault, tree: Path, minutes: float) -> tuple[DeliberateFault, str]:
    """Return a fault and the text of its "found by" cell."""
    try:
        return fault, find(fault, tree, minutes) or "NOT FOUND"
    except SourceChangedError:
        return fault, "NOT FOUND: the source text does not occur exactly once"


def main() -> int:
    """Print a line per fault; return 1 if a fault was not detected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--minutes", type=float, default=0.5, help="time limit of the days per fault; the search has four times that"
    )
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="run only the faults whose names contain this text")
    options = parser.parse_args()
    faults = [fault for fault in FAULTS if options.only in fault.name]
    missed = 0
    with tempfile.TemporaryDirectory() as tree, ThreadPoolExecutor(options.jobs) as pool:
        copy_tree(ROOT, Path(tree))  # All faults use this copy, so that edits during the run have no effect.
        for fault, found in pool.map(lambda fault: report_fault(fault, Path(tree), options.minutes), faults):
            missed += found.startswith("NOT FOUND")
            print(f"| {fault.point} | {fault.name} | {found} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
