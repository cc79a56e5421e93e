"""The project's tests at moments drawn by seed: no verdict may hang on the hour, in the tests or in the product.

A window of the longest plan in the tests lasts 8,000 s, an epoch twice that; a moment is drawn within a day, and the
wall clock of the test's process and of all that it starts is moved there (`moved/sitecustomize.py`).
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

from soak.case import Case, Outcome

DAY_S = 86_400.0
MOVED = Path(__file__).parent / "moved"
# Those whose counts and seeds the kind `suite` plays with are left to it; they take all time by hand.
ELSEWHERE = {
    "tests/quota/test_escrow.py",
    "tests/quota/test_failures.py",
    "tests/quota/test_bootstrap.py",
    "tests/soak/test_soak.py",
}


def files() -> list[str]:
    """All test files that are played, in order."""
    return sorted({p.as_posix() for p in Path("tests").rglob("test_*.py")} - ELSEWHERE)


def draw(seed: int) -> Case:
    """Draw a file of tests and a moment."""
    rng = random.Random(seed)
    return Case("moment", seed, {"test": rng.choice(files()), "moved": round(rng.uniform(0.0, DAY_S), 3)})


def run(case: Case) -> Outcome:
    """One run of pytest under the moved clock."""
    path = os.pathsep.join(filter(None, (str(MOVED), os.environ.get("PYTHONPATH"))))
    env = {**os.environ, "PYTHONPATH": path, "MOVED_CLOCK_S": str(float(case.size["moved"]))}
    try:
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(case.size["test"])],
            capture_output=True,
            text=True,
            env=env,
            timeout=600,
        )
    except subprocess.TimeoutExpired:
        return Outcome("the tests did not end within 600 s", "ends")
    if done.returncode:
        return Outcome(done.stdout[-1500:] + done.stderr[-500:], str(case.size["test"]))
    return Outcome()


def smaller(case: Case) -> list[Case]:
    """Return the same case without the moved clock, which shows whether the moment matters."""
    return [case.but(moved=0.0)] if case.size["moved"] else []
