"""Measure units beyond quota and ceiling, and the share of requests served, under each failure of the counter.

`python -m benchmarks.counter_loss` takes about a minute.

Simulated time, three ingresses, and one customer whose requests ask for about six times its quota. The failure lasts
`--length` seconds (default 60). CI simulates the same failures for half as long.
"""

from __future__ import annotations

import argparse
import sys

from tests.quota import test_failures as failures


def main() -> int:
    """Print a line for each failure and plan. "Stated" is the documented bound."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.counter_loss", description=__doc__)
    parser.add_argument("--length", type=float, default=60.0, help="duration of the failure in seconds")
    parser.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    print(
        f"{'failure':24} {'plan':6} {'beyond quota':>13} {'stated':>7} {'beyond ceiling':>15} {'stated':>7}"
        f" {'served of fair':>15}"
    )
    for fault in failures.FAULTS:
        for plan, rate in (("plus", 40.0), ("basic", 6.0)):
            quota = ceiling = 0.0
            served = fair = 0
            for seed in range(args.seeds):
                for home in (failures.moving(2.0), failures.spread(seed)):
                    w, bound = failures.run_fault(fault, home, plan, seed, args.length, rate)
                    excess = w.excess(plan)
                    quota, ceiling = max(quota, excess[0]), max(ceiling, excess[1])
                    served, fair = served + w.served, fair + w.fair
            stated = failures.stated_bound(fault, bound)
            stated_ceiling = "-" if bound.ceiling is None else f"{bound.ceiling:.0f}"
            print(
                f"{fault.__name__:24} {plan:6} {quota:13.1f} {stated:7.0f} {ceiling:15.1f} {stated_ceiling:>7}"
                f" {served / fair:15.2f}",
                flush=True,
            )
    for plan, rate in (("plus", 40.0), ("basic", 6.0)):
        for fault in (failures.silence, failures.split_in_three):
            w, bound = failures.run_worst_case(fault, plan, args.length, rate)
            quota, ceiling = w.excess(plan)
            stated_ceiling = "-" if bound.ceiling is None else f"{bound.ceiling:.0f}"
            print(
                f"{fault.__name__ + ', at once':24} {plan:6} {quota:13.1f} {failures.stated_bound(fault, bound):7.0f}"
                f" {ceiling:15.1f} {stated_ceiling:>7}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
