"""Check whether the soak test detects faults that are inserted into the program, by which rule, and after how long.

    python -m benchmarks.soak_faults --minutes 2 --seed 1

Each fault changes one place in a copy of the sources. The soak test runs on that copy until it finds a failure or its
time limit expires.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]
COPIED_PATHS = ("thistleusher", "standins", "soak", "tests", "examples", "docs", "pyproject.toml")


class SourceFault(NamedTuple):
    """One deliberate fault: a source text of a file, and the faulty text that replaces it."""

    name: str
    file: str
    correct: str
    faulty: str


FAULTS = (
    SourceFault(
        "a request that may have run is sent again, whatever its class",
        "policy/attempts.py",
        "if ran_at is None or request.request_class.effect",
        "if True or request.request_class.effect",
    ),
    SourceFault(
        "a request that may have run is rejected as not run",
        "policy/attempts.py",
        "if request.ran_at is not None and not repeatable",
        "if False and not repeatable",
    ),
    SourceFault(
        "a draining backend still receives requests",
        "core/backend_table.py",
        "entry.phase is Phase.RUNNING",
        "entry.phase is not Phase.DELETED",
    ),
    SourceFault(
        "a request far over the allowance is admitted",
        "policy/admission.py",
        "admitted = customer.headroom(now) - units >= 0",
        "admitted = customer.headroom(now) - units >= -200",
    ),
    SourceFault(
        "a share that is transferred is also kept",
        "quota/transfers.py",
        "allowance.share -= share\n",
        "allowance.share -= 0\n",
    ),
    SourceFault(
        "messages of an earlier incarnation are accepted",
        "quota/incarnations.py",
        "            self.restarted.add(peer)\n            return Sender.SUPERSEDED\n",
        "            self.restarted.add(peer)\n            return Sender.CURRENT\n",
    ),
    SourceFault(
        "an idle allowance is evicted when it is requested again",
        "quota/escrow.py",
        "allowance.advance(now)  # before",
        "pass  # before",
    ),
    SourceFault(
        "an attempt whose connection was reset counts as never sent",
        "net/backend_connection.py",
        "            exchange.may_have_run = True\n            write_message(",
        "            write_message(",
    ),
    SourceFault(
        "a malformed request is answered with 500",
        "net/ingress_server.py",
        "return ImmediateResponse(400, str(error), closes=True)",
        "return ImmediateResponse(500, str(error), closes=True)",
    ),
    SourceFault(
        "a total only has to start with a number", "services/counter_connection.py", "TOTAL.fullmatch", "TOTAL.match"
    ),
    SourceFault(
        "requests are answered after their deadline",
        "core/driver.py",
        "left -= min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_MAX_SHARE * request.expires_in)",
        "left += 0.2",
    ),
    SourceFault(
        "a request may be answered twice",
        "core/driver.py",
        "        if in_flight.answered:\n            return\n        in_flight.answered = True\n"
        "        in_flight.on_final",
        "        in_flight.answered = True\n        in_flight.on_final",
    ),
)


def copy_with_fault(fault: SourceFault, folder: Path) -> None:
    """Copy the sources and insert one fault. Raises ValueError if the text that it replaces is missing."""
    for part in COPIED_PATHS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / part)
    path = folder / "thistleusher" / fault.file
    text = path.read_text()
    if fault.correct not in text:
        raise ValueError(f"{fault.file}: source text not found: {fault.correct!r}")
    path.write_text(text.replace(fault.correct, fault.faulty, 1))


class Finding(NamedTuple):
    """The failure that the soak test found, empty if none, and the seconds until then."""

    failure: str
    seconds: float


def run_soak(folder: Path, minutes: float, seed: int) -> Finding:
    """Run the soak test on a copy of the sources until it finds a failure or its time limit expires."""
    command = [sys.executable, "-m", "soak", "--minutes", str(minutes), "--seed", str(seed), "--folder", "found"]
    began = time.monotonic()
    soak = subprocess.Popen(
        command,
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        start_new_session=True,
    )
    assert soak.stdout is not None
    for line in soak.stdout:  # Stops at the first finding, as a minimal case is not needed here.
        if line.startswith("found: "):
            break
    seconds = time.monotonic() - began
    os.killpg(soak.pid, signal.SIGKILL)  # Includes its workers and the processes that they run.
    soak.wait()
    cases = sorted((folder / "found").glob("*.json"))
    if not cases:
        return Finding("", seconds)
    failure = f"{cases[0].name.partition('-')[0]}: {json.loads(cases[0].read_text())['found'].strip()}"
    return Finding(" ".join(failure.split()), seconds)


def main() -> int:
    """Print a row for each fault; return 1 if a fault was not detected."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="run only the faults whose names contain this text")
    options = parser.parse_args()
    print("| fault | file | found by | after |\n| --- | --- | --- | --- |")
    missed = 0
    for fault in (each for each in FAULTS if options.only in each.name):
        with tempfile.TemporaryDirectory(prefix="fault-") as folder:
            copy_with_fault(fault, Path(folder))
            finding = run_soak(Path(folder), options.minutes, options.seed)
        missed += not finding.failure
        summary = finding.failure[:110].replace("|", "/") or "nothing"
        print(f"| {fault.name} | `{fault.file}` | {summary} | {finding.seconds:.0f} s |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
