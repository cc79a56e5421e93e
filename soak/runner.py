"""Runs cases on all cores until the time is up, or until the first failure; minimizes failed cases and stores them.

With `--go-on`, failures do not stop the run.

A fleet takes about two cores, so that fewer fleets than other cases run concurrently. Each worker is a process, which
isolates leaks and crashes of a case. A case that does not end within its time limit is a failure.
"""

from __future__ import annotations

import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from soak import fleets, inputs, moments, suites
from soak.case import Case, Outcome
from soak.shrink import shrink

FLEET_WORKER_FRACTION = 0.5  # maximum fraction of the workers that run fleets; one worker may always do so


@dataclass(slots=True)
class Report:
    """The result of a soak."""

    seed: int
    cases: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    core_s: float = 0.0
    found: list[tuple[Path, str]] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Format the report for humans, one fact per line."""
        out = [f"seed {self.seed}: {self.core_s:.0f} s of worker time"]
        out += [f"  {kind:8} {n:6} cases, {self.counts[kind]:9} tried" for kind, n in sorted(self.cases.items())]
        out += [f"  FOUND {path}: {why.strip().splitlines()[0][:300]}" for path, why in self.found]
        return out


def run_case(case: Case) -> tuple[Outcome, float]:
    """Run a case; return its outcome and duration in seconds. An exception of the soak itself is also a failure."""
    began = time.monotonic()
    logging.disable(logging.CRITICAL)  # thousands of malformed inputs would be logged
    try:
        outcome = {"fleet": fleets.run, "bytes": inputs.run, "suite": suites.run, "moment": moments.run}[case.kind](
            case
        )
    except Exception as error:
        outcome = Outcome(f"{type(error).__name__}: {error}", "soak")
    finally:
        logging.disable(logging.NOTSET)
    return outcome, time.monotonic() - began


def minimize(case: Case, outcome: Outcome, tries: int = 40) -> tuple[Case, Outcome]:
    """Minimize a case; return the smallest one found that fails in the same check, and its outcome."""
    if outcome.check in ("soak", "worker"):  # not a fault of the program under test
        return case, outcome
    if case.kind == "bytes":
        least = inputs.minimize(case, outcome)
        return least, run_case(least)[0]
    smaller_cases = {"fleet": fleets.smaller_cases, "suite": suites.smaller_cases, "moment": moments.smaller_cases}[
        case.kind
    ]
    return shrink(case, outcome, smaller_cases, lambda c: run_case(c)[0], tries)


class Soak:
    """Runs cases drawn from `seed` for `minutes` in `workers` processes; `kinds` is a subset of `soak.case.KINDS`."""

    def __init__(
        self,
        seed: int,
        minutes: float,
        workers: int,
        kinds: tuple[str, ...],
        folder: Path,
        keep_going: bool = False,
        log: Callable[[str], None] = print,
        max_shrink_runs: int = 40,
    ) -> None:
        self.rng, self.minutes, self.workers, self.kinds = random.Random(seed), minutes, workers, kinds
        self.folder, self.keep_going, self.log, self.max_shrink_runs = folder, keep_going, log, max_shrink_runs
        self.report = Report(seed)
        self.count_factor = 1.0
        self.minimizations: dict[
            Future[Any], tuple[Path, int]
        ] = {}  # cases being minimized: path of the file, and index in the report

    def draw(self, running_fleets: int) -> Case | None:
        """Draw the next case; return None if only fleets are allowed and enough of them are running."""
        allowed_kinds = [
            k for k in self.kinds if k != "fleet" or running_fleets < max(1, int(FLEET_WORKER_FRACTION * self.workers))
        ]
        if not allowed_kinds:
            return None
        kind, seed = self.rng.choice(allowed_kinds), self.rng.getrandbits(48)
        if kind == "fleet":
            return fleets.draw(seed)
        if kind == "bytes":
            return inputs.draw(seed, int(1500 * self.count_factor))
        if kind == "moment":
            return moments.draw(seed)
        return suites.draw(seed, self.count_factor)

    def run(self) -> Report:
        """Run until the time is up or a case fails, then wait for the running cases; return the report."""
        end = time.monotonic() + 60 * self.minutes
        running: dict[Future[Any], Case] = {}
        last_progress_at = 0.0
        with ProcessPoolExecutor(self.workers, mp_context=get_context("spawn")) as pool:
            while True:
                now = time.monotonic()
                more = now < end and (self.keep_going or not self.report.found)
                while more and len(running) + len(self.minimizations) < self.workers:
                    case = self.draw(sum(c.kind == "fleet" for c in running.values()))
                    if case is None:
                        break
                    running[pool.submit(run_case, case)] = case
                if not running and not self.minimizations:
                    break
                done, _ = wait([*running, *self.minimizations], timeout=1.0, return_when=FIRST_COMPLETED)
                for future in done:
                    if future in self.minimizations:
                        self.store_minimized(*self.minimizations.pop(future), future)
                    else:
                        self.record_result(running.pop(future), future, pool)
                if now - last_progress_at > 10.0:
                    last_progress_at = now
                    left = f"{max(0.0, end - now):.0f} s left"
                    self.log(
                        f"{left}; "
                        + ", ".join(f"{k} {n}" for k, n in sorted(self.report.cases.items()))
                        + f"; found {len(self.report.found)}"
                    )
                # Later cases get larger counts.
                self.count_factor = min(20.0, 1.0 + sum(self.report.cases.values()) / 50)
        return self.report

    def record_result(self, case: Case, future: Future[Any], pool: ProcessPoolExecutor) -> None:
        """Record the result of a case. A failed case is written to a file and minimized in the background."""
        try:
            outcome, took = future.result()
        except Exception as error:  # the worker process died
            outcome, took = Outcome(f"{type(error).__name__}: {error}", "worker"), 0.0
        r = self.report
        r.cases[case.kind] += 1
        r.counts[case.kind] += outcome.count
        r.core_s += took
        if not outcome.failure:
            return
        path = self.folder / f"{case.kind}-{case.seed}.json"
        case.write(path, outcome.failure)  # before the minimization, which may be interrupted
        r.found.append((path, outcome.failure))
        self.log(f"found: {path}: {outcome.failure.strip().splitlines()[0][:300]}; minimizing it")
        if outcome.check != "worker":
            self.minimizations[pool.submit(minimize, case, outcome, self.max_shrink_runs)] = (path, len(r.found) - 1)

    def store_minimized(self, path: Path, number: int, future: Future[Any]) -> None:
        """Replace the file of a failed case with the minimized case."""
        try:
            least, why = future.result()
        except Exception as error:  # the worker died: keep the original case
            self.log(f"{path}: not minimized: {type(error).__name__}: {error}")
            return
        if not why.failure:
            self.log("failure not reproduced; the original case is kept")
            return
        least.write(path, why.failure)
        self.report.found[number] = (path, why.failure)
