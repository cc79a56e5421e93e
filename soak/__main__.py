"""Runs new random cases for a given time, or replays a stored case."""

from __future__ import annotations

import argparse
import os
import random
import sys
from collections.abc import Sequence
from pathlib import Path

from soak.case import KINDS, CaseError, read_case
from soak.runner import Soak, run_case


def parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    p = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    p.add_argument("--minutes", type=float, default=5.0, help="time during which new cases are started (default 5)")
    p.add_argument("--seed", type=int, help="seed of all random draws (default: a new one, which is printed)")
    p.add_argument(
        "--workers",
        type=int,
        default=os.cpu_count() or 1,
        help="number of cases run concurrently (default: number of cores)",
    )
    p.add_argument("--only", choices=KINDS, action="append", help="run cases of this kind only; may be repeated")
    p.add_argument("--go-on", action="store_true", help="do not stop at the first failure")
    p.add_argument(
        "--folder",
        type=Path,
        default=Path("soak-found"),
        help="folder for the files of failed cases (default soak-found)",
    )
    p.add_argument("--replay", metavar="FILE", help="run one stored case")
    return p


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; return 0 if no case failed, 1 if one failed, 2 if the command cannot start."""
    args = parser().parse_args(argv)
    if args.replay:
        try:
            case = read_case(args.replay)
        except CaseError as error:
            print(f"soak: {error}", file=sys.stderr)
            return 2
        outcome, took = run_case(case)
        print(f"{case.kind}, seed {case.seed}: {outcome.failure or 'nothing found'} ({took:.1f} s)")
        return 1 if outcome.failure else 0
    for key, low in (("minutes", 0.0), ("workers", 1)):
        if not getattr(args, key) >= low:
            print(f"soak: --{key}: expected {low} or more, got {getattr(args, key)}", file=sys.stderr)
            return 2
    seed = random.SystemRandom().getrandbits(32) if args.seed is None else args.seed
    print(f"seed {seed}", flush=True)
    soak = Soak(
        seed,
        args.minutes,
        args.workers,
        tuple(args.only or KINDS),
        args.folder,
        args.go_on,
        lambda line: print(line, flush=True),
    )
    report = soak.run()
    print("\n".join(report.lines()))
    return 1 if report.found else 0


if __name__ == "__main__":
    sys.exit(main())
