"""Deliberate faults in the control state, and what finds each: drawn days, the search, or a named test.

python -m benchmarks.simnet_faults [--minutes 0.5] [--jobs 4] [--only WORDS]

Each fault changes one place or a few of `thistleusher/control/` in a copy of the tree. There days are drawn until a
rule breaks, then the named tests run, then every order of events is searched from four beginnings. Exit code 1 where a
fault is not found.
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
PARTS = ("thistleusher", "simnet", "tests", "benchmarks", "docs")
SEARCH_DEPTH = 4
NAMED = ("control", "transport/test_state_updates.py", "simnet/test_search.py")


class SourceChangedError(Exception):
    """A fault's text is not in the sources, or in several places."""


def copy_tree(tree: Path, folder: Path) -> None:
    """Copy what a run needs."""
    for part in PARTS:
        shutil.copytree(tree / part, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(tree / "pyproject.toml", folder)


def insert(fault: DeliberateFault, folder: Path) -> None:
    """Put a fault into a copy of the tree."""
    for right, wrong in fault.edits:
        paths = [path for path in (folder / "thistleusher" / "control").glob("*.py") if right in path.read_text()]
        if len(paths) != 1 or paths[0].read_text().count(right) != 1:
            raise SourceChangedError
        paths[0].write_text(paths[0].read_text().replace(right, wrong))


def run(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module of the copy."""
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    return subprocess.run(
        [sys.executable, "-m", *arguments], cwd=folder, capture_output=True, text=True, env=environment
    )


def find_by_days(folder: Path, minutes: float) -> str:
    """Return how the drawn days found a fault; empty if they did not."""
    done = run(folder, "simnet", "--minutes", str(minutes), "--first", "1", "--stop")
    lines = done.stdout.strip().splitlines() or ["?"]
    if done.returncode == 1 and lines[-1].startswith("found"):
        return lines[-1].removeprefix("found by ")
    return _crash("day", done)


def find_by_search(folder: Path, minutes: float) -> str:
    """Return how the search found a fault; empty if it did not."""
    done = run(folder, "simnet", "--search", str(SEARCH_DEPTH), "--minutes", str(minutes))
    lines = [line for line in done.stdout.splitlines() if not line.startswith("  ")]
    if done.returncode == 1 and lines:
        return f"the search: {lines[-1]}"
    return _crash("search", done)


def find_by_tests(folder: Path) -> str:
    """Return the first named test that failed; empty if none did."""
    done = run(folder, "pytest", "-q", "-x", "--tb=no", *(f"tests/{name}" for name in NAMED))
    failed = [line for line in done.stdout.splitlines() if line.startswith(("FAILED", "ERROR"))]
    return f"test {failed[0].split('::')[-1].split(' ')[0]}" if failed else ""


def _crash(what: str, done: subprocess.CompletedProcess[str]) -> str:
    """Return an error of the faulty sources, which counts as a finding; a process ended from outside does not."""
    lines = done.stderr.strip().splitlines()
    return f"{what} crashes: {lines[-1]}" if done.returncode > 0 and lines else ""


def find(fault: DeliberateFault, tree: Path, minutes: float) -> str:
    """Return what finds one fault; empty for nothing."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(tree, folder)
        insert(fault, folder)
        return find_by_days(folder, minutes) or find_by_tests(folder) or find_by_search(folder, 4 * minutes)


def report(fault: DeliberateFault, tree: Path, minutes: float) -> tuple[DeliberateFault, str]:
    """Return one fault and its cell of the table."""
    try:
        return fault, find(fault, tree, minutes) or "NOT FOUND"
    except SourceChangedError:
        return fault, "NOT FOUND: the line has moved"


def main() -> int:
    """Print a line a fault; return 1 where one was not found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=0.5, help="of drawn days a fault, and of each search")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="faults whose names have this")
    options = parser.parse_args()
    faults = [fault for fault in FAULTS if options.only in fault.name]
    missed = 0
    with tempfile.TemporaryDirectory() as tree, ThreadPoolExecutor(options.jobs) as pool:
        copy_tree(ROOT, Path(tree))  # as the sources are now, whatever becomes of them meanwhile
        for fault, found in pool.map(lambda fault: report(fault, Path(tree), options.minutes), faults):
            missed += found.startswith("NOT FOUND")
            print(f"| {fault.point} | {fault.name} | {found} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
