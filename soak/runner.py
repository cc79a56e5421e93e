"""Runs cases on all cores until the time is up or the first failure; minimizes failed cases and writes them to files.

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

FLEETS = 0.5  # maximum fraction of the workers that run fleets; at least one may


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


def play(case: Case) -> tuple[Outcome, float]:
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


def cut(case: Case, outcome: Outcome, tries: int = 40) -> tuple[Case, Outcome]:
    """Minimize a case; return the smallest one found that fails in the same check, and its outcome."""
    if outcome.part in ("soak", "worker"):  # not a fault of the program under test
        return case, outcome
    if case.kind == "bytes":
        least = inputs.smallest(case, outcome)
        return least, play(least)[0]
    smaller = {"fleet": fleets.smaller, "suite": suites.smaller, "moment": moments.smaller}[case.kind]
    return shrink(case, outcome, smaller, lambda c: play(c)[0], tries)


class Soak:
    """Runs cases drawn from `seed` for `minutes` in `workers` processes; `kinds` is a subset of `soak.case.KINDS`."""

    def __init__(
        self,
        seed: int,
        minutes: float,
        workers: int,
        kinds: tuple[str, ...],
        folder: Path,
        go_on: bool = False,
        say: Callable[[str], None] = print,
        shrinks: int = 40,
    ) -> None:
        self.rng, self.minutes, self.workers, self.kinds = random.Random(seed), minutes, workers, kinds
        self.folder, self.go_on, self.say, self.shrinks = folder, go_on, say, shrinks
        self.report = Report(seed)
        self.grow = 1.0
        self.cutting: dict[
            Future[Any], tuple[Path, int]
        ] = {}  # cases being minimized: path of the file, and index in the report

    def draw(self, fleets_out: int) -> Case | None:
        """Draw the next case; return None if only fleets are allowed and enough of them are running."""
        may = [k for k in self.kinds if k != "fleet" or fleets_out < max(1, int(FLEETS * self.workers))]
        if not may:
            return None
        kind, seed = self.rng.choice(may), self.rng.getrandbits(48)
        if kind == "fleet":
            return fleets.draw(seed)
        if kind == "bytes":
            return inputs.draw(seed, int(1500 * self.grow))
        if kind == "moment":
            return moments.draw(seed)
        return suites.draw(seed, self.grow)

    def run(self) -> Report:
        """Run until the time is up or a case fails, then wait for the running cases; return the report."""
        end = time.monotonic() + 60 * self.minutes
        out: dict[Future[Any], Case] = {}
        said = 0.0
        with ProcessPoolExecutor(self.workers, mp_context=get_context("spawn")) as pool:
            while True:
                now = time.monotonic()
                more = now < end and (self.go_on or not self.report.found)
                while more and len(out) + len(self.cutting) < self.workers:
                    case = self.draw(sum(c.kind == "fleet" for c in out.values()))
                    if case is None:
                        break
                    out[pool.submit(play, case)] = case
                if not out and not self.cutting:
                    break
                done, _ = wait([*out, *self.cutting], timeout=1.0, return_when=FIRST_COMPLETED)
                for future in done:
                    if future in self.cutting:
                        self.keep(*self.cutting.pop(future), future)
                    else:
                        self.take(out.pop(future), future, pool)
                if now - said > 10.0:
                    said = now
                    left = f"{max(0.0, end - now):.0f} s left"
                    self.say(
                        f"{left}; "
                        + ", ".join(f"{k} {n}" for k, n in sorted(self.report.cases.items()))
                        + f"; found {len(self.report.found)}"
                    )
                self.grow = min(20.0, 1.0 + sum(self.report.cases.values()) / 50)  # later cases get larger counts
        return self.report

    def take(self, case: Case, future: Future[Any], pool: ProcessPoolExecutor) -> None:
        """Record the result of a case. A failed case is written to a file and minimized in the background."""
        try:
            outcome, took = future.result()
        except Exception as error:  # the worker process died
            outcome, took = Outcome(f"{type(error).__name__}: {error}", "worker"), 0.0
        r = self.report
        r.cases[case.kind] += 1
        r.counts[case.kind] += outcome.count
        r.core_s += took
        if not outcome.why:
            return
        path = self.folder / f"{case.kind}-{case.seed}.json"
        case.write(path, outcome.why)  # before the minimization, which may be interrupted
        r.found.append((path, outcome.why))
        self.say(f"found: {path}: {outcome.why.strip().splitlines()[0][:300]}; minimizing it")
        if outcome.part != "worker":
            self.cutting[pool.submit(cut, case, outcome, self.shrinks)] = (path, len(r.found) - 1)

    def keep(self, path: Path, number: int, future: Future[Any]) -> None:
        """Replace the file of a failed case with the minimized case."""
        try:
            least, why = future.result()
        except Exception as error:  # the worker died: keep the original case
            self.say(f"{path}: not minimized: {type(error).__name__}: {error}")
            return
        if not why.why:
            self.say("failure not reproduced; the original case is kept")
            return
        least.write(path, why.why)
        self.report.found[number] = (path, why.why)
