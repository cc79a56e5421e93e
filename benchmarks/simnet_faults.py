"""Deliberate faults in the control state, and how many simulated days each takes to be found.

python -m benchmarks.simnet_faults [--minutes 0.5] [--jobs 4]

Each fault is one line of `roadspur/control/` changed in a copy of the tree. There every order of events is searched to
five steps, and then drawn days are played, until a rule breaks. Exit code 1 where one is not found.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent


class Wrong(NamedTuple):
    """One fault: the line as it is, and as it must not be."""

    name: str
    right: str
    wrong: str


FAULTS = (
    Wrong("acknowledged without the backup",
          "if not (pending.here and pending.there >= set(office.view.backups)) or", "if not pending.here or"),
    Wrong("acknowledged without the lease",
          "or self.now >= office.until():\n            return\n        self.copy = Copy(",
          "or False:\n            return\n        self.copy = Copy("),
    Wrong("answers before the own disk", "if not (pending.here and pending.there >= set(office.view.backups)) or",
          "if not pending.there >= set(office.view.backups) or"),
    Wrong("a machine that forgot votes", "self.forgot = kept.view is None and not self.founding",
          "self.forgot = False\n        if kept.view is None and not self.founding:\n"
          "            self.view = View(1, min(self.seeds), '', {ip: '' for ip in self.seeds})"),
    Wrong("one of the others is enough to remember", "len(told) >= len(newest.electorate) - newest.majority + 1",
          "len(told) >= 1"),
    Wrong("anybody may take the office", "self.view is not None and self.me in self.view.holders and",
          "self.view is not None and"),
    Wrong("an old copy counts as whole", "and self.copy.epoch >= self.view.epoch\n", "and self.copy.epoch >= 0\n"),
    Wrong("no guard for a live primary", "if epoch <= self.promised or guarded or mine:",
          "if epoch <= self.promised or mine:"),
    Wrong("a promise is given twice", "if epoch <= self.promised or guarded or mine:",
          "if epoch < self.promised or guarded or mine:"),
    Wrong("the backup takes changes of an old epoch",
          "if self.view is None or self.view.epoch != epoch or self.promised != epoch or self.copy.epoch != epoch:",
          "if self.view is None:"),
    Wrong("the view is in force before a majority has it",
          "if self.me not in attempt.said or not (\n                view.has_majority(attempt.said) and "
          "attempt.view.has_majority(attempt.said)):", "if self.me not in attempt.said:"),
    Wrong("a new electorate decides without the old one",
          "view.has_majority(attempt.said) and attempt.view.has_majority(attempt.said)):",
          "view.has_majority(attempt.said)):"),
    Wrong("one of several backups is enough", "pending.there >= set(office.view.backups)", "pending.there"),
    Wrong("a guest's old copy counts", "self.copy, self.forgot, self.admitted = Copy(), False, False",
          "self.forgot, self.admitted = False, False"),
    Wrong("the office begins without a copy elsewhere",
          "        if not attempt.synced >= set(attempt.next.backups):\n            return\n", ""),
    Wrong("the office begins without asking its backups for anything",
          "                self._sync_backups()\n        self._write({\"copy\": self.copy.packed()}, done)",
          "                self._sync_backups()\n                self._on_synced(self.me, {'e': epoch})\n"
          "        self._write({\"copy\": self.copy.packed()}, done)"),
    Wrong("a reader is answered without the lease",
          "        if office is None or self.now >= office.until():\n            return\n        while self.queue",
          "        if office is None:\n            return\n        while self.queue"),
    Wrong("promises are not written", 'self._write({"promise": {"e": epoch}, **records}, done)',
          "self._write(records, done)"),
    Wrong("the lease is longer than the guard", "LEASE_S = 0.6 ", "LEASE_S = 1.6 "),
    Wrong("a slow disk costs nothing", "elif office.disk_since is not None and self.now - office.disk_since > DISK_S:",
          "elif False:"),
)


def play(fault: Wrong, minutes: float) -> tuple[Wrong, str]:
    """One fault's days; the finding, or nothing."""
    with tempfile.TemporaryDirectory() as folder:
        for part in ("roadspur", "simnet"):
            shutil.copytree(ROOT / part, Path(folder) / part, ignore=shutil.ignore_patterns("__pycache__"))
        paths = [p for p in (Path(folder) / "roadspur" / "control").glob("*.py") if fault.right in p.read_text()]
        if len(paths) != 1:
            return fault, "the line has moved"
        paths[0].write_text(paths[0].read_text().replace(fault.right, fault.wrong))
        said = []
        for how in (("--search", "5", "--minutes", "1.5"), ("--minutes", str(minutes), "--first", "1", "--stop")):
            done = subprocess.run([sys.executable, "-m", "simnet", *how], cwd=folder, capture_output=True, text=True)
            lines = done.stdout.strip().splitlines()
            if done.returncode == 1 and lines:
                return fault, (f"found by the search: {lines[0]}" if how[0] == "--search" else lines[-1])
            if done.returncode:
                return fault, "found by a crash: " + (done.stderr.strip().splitlines() or ["?"])[-1]
            said.append(lines[-1] if lines else "?")
        return fault, f"NOT FOUND in {'; '.join(said)}"


def main() -> int:
    """A line a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    missed = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for fault, found in pool.map(lambda f: play(f, options.minutes), FAULTS):
            missed += not found.startswith("found")
            print(f"{fault.name}: {found}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
