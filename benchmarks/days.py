"""Run the project's own day scenarios on the users' bench, and print one line for each.

python -m benchmarks.days --fleetbench PATH --site FILE... [--day GLOB] [--jobs N] [--seeds 1,2] [--why TEXT]

The days are the files in tests/days. Each runs on each site with each seed, or with the day's own seed if none is
given. The environment variable FLEETBENCH may name the bench instead of the option. The full output and the report of
each run are written to the folder that `--keep` names. The exit status is 1 if a rule is broken, a gate fails or a run
produces no report. A day is skipped on a site whose contracts do not include one of its kinds of fault.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DAYS = Path(__file__).parent.parent / "tests" / "days"
UNAVAILABLE_FAULT_SUFFIX = "is not open"  # End of the bench's error if a site's contracts lack a kind of fault.
HEADER = f"{'site':22} {'day':22} {'seed':>6}  {'rules broken':24} {'gate':8} {'worth':>6} {'whole':>6} {'gone':>5}"
ABANDONED_WORK_PRICE = "worth worked on after its client had left"  # Name of this price in a report.


@dataclass(frozen=True, slots=True)
class DayRun:
    """One run of a day: its site and seed. A seed of None selects the day's own."""

    site: Path
    day: Path
    seed: int | None

    @property
    def label(self) -> str:
        """Return the base name of the files of this run."""
        return f"{self.site.stem}.{self.day.stem}.{self.seed or 'own'}"


@dataclass(frozen=True, slots=True)
class Result:
    """The content of a run's report.

    `missing` is the reason why there is no report, empty if there is one. `skipped` is set if the site's contracts do
    not include a kind of fault that the day needs.
    """

    run: DayRun
    violations: dict[str, int]
    gate: str
    worth: float
    whole: float
    abandoned_work: float = 0.0  # Worth of requests that backends worked on after the client had disconnected.
    missing: str = ""
    skipped: bool = False

    @property
    def passed(self) -> bool:
        """Return whether the day was skipped, or no rule is broken and the gate is passed."""
        return self.skipped or (not self.missing and self.gate == "passed")

    def line(self) -> str:
        """Return the run's line of the table."""
        rules = " ".join(f"{rule}:{times}" for rule, times in self.violations.items()) or "none"
        seed = "own" if self.run.seed is None else str(self.run.seed)
        start = f"{self.run.site.stem:22} {self.run.day.stem:22} {seed:>6}"
        if self.missing:
            return f"{start}  {'skipped' if self.skipped else 'no report'}: {self.missing}"
        return f"{start}  {rules:24} {self.gate:8} {self.worth:6.3f} {self.whole:6.3f} {self.abandoned_work:5.0f}"


def violation_count(value: Any) -> int:
    """Return how often a rule was broken; the report gives a number or a list of the cases."""
    return value if isinstance(value, int) else len(value)


def gate(report: dict[str, Any]) -> str:
    """Return "passed" if the day passes the gate, else the first reason why it does not."""
    if report["breaks"]:
        return "rules"
    if report["fault"]:
        return "fault"
    if report["short"]:
        return "floor"
    if report["missed"]:
        return "acks"
    return "passed"


def read_report(run: DayRun, path: Path) -> Result:
    """Read a report and return its result."""
    report = json.loads(path.read_text())
    violations = {rule: violation_count(value) for rule, value in report["breaks"].items()}
    abandoned_work = sum(amount for name, amount, _ in report["prices"] if name == ABANDONED_WORK_PRICE)
    return Result(run, violations, gate(report), report["G"], report["all"]["worth"], abandoned_work)


def result_without_report(run: DayRun, log: Path) -> Result:
    """Return the result of a run without a report; the last line of its output is the reason."""
    lines = log.read_text().splitlines() or ["no output"]
    return Result(run, {}, "", 0.0, 0.0, missing=lines[-1], skipped=lines[-1].endswith(UNAVAILABLE_FAULT_SUFFIX))


def run_day(bench: Path, run: DayRun, why: str, keep: Path) -> Result:
    """Run one day; write its output and report to the folder `keep`."""
    report = keep / f"{run.label}.json"
    report.unlink(missing_ok=True)
    command = [str(bench), "run", str(run.site), str(run.day), "--report", str(report), "--why", why, "--log", "core"]
    if run.seed is not None:
        command += ["--seed", str(run.seed)]
    log = keep / f"{run.label}.log"
    with log.open("w") as output:
        subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False)
    return read_report(run, report) if report.exists() else result_without_report(run, log)


def run_all(bench: Path, runs: list[DayRun], why: str, jobs: int, keep: Path) -> Iterator[Result]:
    """Run the days, `jobs` at a time; yield the results in order."""
    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(lambda run: run_day(bench, run, why, keep), runs)


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--fleetbench", type=Path, default=os.environ.get("FLEETBENCH"), help="path of the bench")
    parser.add_argument("--site", type=Path, nargs="+", required=True)
    parser.add_argument("--day", nargs="+", default=["*"], help="names of days, with wildcards")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seeds", type=lambda text: [int(seed) for seed in text.split(",")], default=[None])
    parser.add_argument("--why", default="Days of the project's own, on the points of hardening")
    parser.add_argument("--keep", type=Path, default=Path(tempfile.gettempdir()) / "own-days")
    options = parser.parse_args()
    if options.fleetbench is None:
        parser.error("the path of the bench is missing: give --fleetbench or set FLEETBENCH")
    return options


def main() -> int:
    """Run the selected days; return 1 unless all pass or are skipped."""
    options = parse_options()
    options.keep.mkdir(parents=True, exist_ok=True)
    days = sorted({day for name in options.day for day in DAYS.glob(f"{name}.toml")})
    runs = [DayRun(site, day, seed) for site in options.site for day in days for seed in options.seeds]
    subprocess.run([str(options.fleetbench), "build"], stdout=subprocess.DEVNULL, check=True)
    print(HEADER)
    passed = True
    for result in run_all(options.fleetbench, runs, options.why, options.jobs, options.keep):
        print(result.line(), flush=True)
        passed = passed and result.passed
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
