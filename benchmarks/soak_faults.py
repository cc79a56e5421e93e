"""Whether the soak finds faults that are put into the program on purpose, which part of it does, and how soon.

    python -m benchmarks.soak_faults --minutes 2 --seed 1

Each fault is one line of a copy of the sources; the soak plays on that copy until it finds something or its time is up.
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
PARTS = ("thistleusher", "standins", "soak", "tests", "examples", "docs", "pyproject.toml")


class Wrong(NamedTuple):
    """One line made wrong."""

    name: str
    file: str
    right: str
    wrong: str


FAULTS = (
    Wrong(
        "what may have run is sent again, whatever its class",
        "policy/attempts.py",
        "if ran_at is None or request.request_class.effect",
        "if True or request.request_class.effect",
    ),
    Wrong(
        "what may have run is refused as harmless",
        "policy/attempts.py",
        "if request.ran_at is not None and not repeatable",
        "if False and not repeatable",
    ),
    Wrong(
        "a server that drains goes on being used",
        "core/backend_table.py",
        "entry.phase is Phase.RUNNING",
        "entry.phase is not Phase.DELETED",
    ),
    Wrong(
        "a total far over the allowance admits",
        "policy/admission.py",
        "admitted = customer.headroom(now) - units >= 0",
        "admitted = customer.headroom(now) - units >= -200",
    ),
    Wrong(
        "a share that is given is kept as well",
        "quota/transfers.py",
        "allowance.share -= share\n",
        "allowance.share -= 0\n",
    ),
    Wrong(
        "an earlier incarnation is listened to",
        "quota/incarnations.py",
        "            self.restarted.add(peer)\n            return Sender.SUPERSEDED\n",
        "            self.restarted.add(peer)\n            return Sender.CURRENT\n",
    ),
    Wrong(
        "an idle allowance forgets itself",
        "quota/escrow.py",
        "allowance.advance(now)  # before",
        "pass  # before",
    ),
    Wrong(
        "a reset attempt counts as never written",
        "net/backend_connection.py",
        "            exchange.written = True\n            self.transport",
        "            self.transport",
    ),
    Wrong(
        "a request that cannot be read is answered 500",
        "net/ingress_server.py",
        "return ImmediateResponse(400, str(error), closes=True)",
        "return ImmediateResponse(500, str(error), closes=True)",
    ),
    Wrong("a total need only begin like a number", "services/counter_connection.py", "TOTAL.fullmatch", "TOTAL.match"),
    Wrong(
        "requests are answered after their time",
        "core/driver.py",
        "left -= min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_MAX_SHARE * request.expires_in)",
        "left += 0.2",
    ),
    Wrong(
        "an attempt's answer may be given twice",
        "core/driver.py",
        "        if in_flight.answered:\n            return\n        in_flight.answered = True\n"
        "        in_flight.on_final",
        "        in_flight.answered = True\n        in_flight.on_final",
    ),
)


def copy(fault: Wrong, folder: Path) -> None:
    """Copy the sources with one fault. ValueError where its line is not there any more."""
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, folder / part)
    path = folder / "thistleusher" / fault.file
    text = path.read_text()
    if fault.right not in text:
        raise ValueError(f"{fault.file}: {fault.right!r} is not there any more")
    path.write_text(text.replace(fault.right, fault.wrong, 1))


class Found(NamedTuple):
    """What the soak found, empty for nothing, and the seconds that it took."""

    what: str
    seconds: float


def soak_copy(folder: Path, minutes: float, seed: int) -> Found:
    """Run the soak on a copy of the sources until it finds something or its time is up."""
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
    for line in soak.stdout:  # the finding is enough: it need not be shrunk here
        if line.startswith("found: "):
            break
    seconds = time.monotonic() - began
    os.killpg(soak.pid, signal.SIGKILL)  # with its workers and their fleets
    soak.wait()
    cases = sorted((folder / "found").glob("*.json"))
    if not cases:
        return Found("", seconds)
    what = f"{cases[0].name.partition('-')[0]}: {json.loads(cases[0].read_text())['found'].strip()}"
    return Found(" ".join(what.split()), seconds)


def main() -> int:
    """Print a row for each fault; exit code 1 where one is not found."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="faults whose name holds this")
    options = parser.parse_args()
    print("| fault | file | found by | after |\n| --- | --- | --- | --- |")
    missed = 0
    for fault in (each for each in FAULTS if options.only in each.name):
        with tempfile.TemporaryDirectory(prefix="fault-") as folder:
            copy(fault, Path(folder))
            found = soak_copy(Path(folder), options.minutes, options.seed)
        missed += not found.what
        short = found.what[:110].replace("|", "/") or "nothing"
        print(f"| {fault.name} | `{fault.file}` | {short} | {found.seconds:.0f} s |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
