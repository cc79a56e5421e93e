"""Start a group of ingresses without a counter, at many moments of an epoch, in simulated time.

    python -m benchmarks.bootstrap --moments 50

The counter does not answer from the first request on. For each start pattern and plan, prints the share of the requests
of the first five seconds that were rejected with at least half of the quota unused (worst and mean over the moments),
and the maximum number of units that a customer was granted beyond its quota and its ceiling.
"""

from __future__ import annotations

import argparse
import math

from tests.quota.starts import AT_ONCE, rejected_share, start_world
from tests.quota.world import BASIC, PLUS
from thistleusher.quota.terms import Terms, epoch_length

START_PATTERNS = {
    "3 within 50 ms": AT_ONCE,
    "6 within 50 ms": tuple(n / 100 for n in range(6)),
    "3 within 3 s": (0.0, 1.0, 3.0),
    "6 within 3 s": (0.0, 0.5, 1.0, 2.0, 2.5, 3.0),
    "third of 3 after a minute": (0.0, 0.02, 60.0),
    "third of 3 never starts": (0.0, 0.02, math.inf),
}


def main() -> None:
    """Print a row for each start pattern and plan."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--moments", type=int, default=50)
    moments = parser.parse_args().moments
    print("| start | plan | rejected within quota, worst | mean | beyond quota | beyond ceiling |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, offsets in START_PATTERNS.items():
        for plan in (PLUS, BASIC):
            has_ceiling = plan.ceiling_rate > 0
            terms = Terms(plan.ceiling_rate, plan.ceiling_burst) if has_ceiling else Terms(plan.rate, plan.burst)
            rate = 23.0 * len(offsets) if has_ceiling else 12.0
            worlds = [start_world(offsets, n * epoch_length(terms) / moments, plan.name, rate) for n in range(moments)]
            shares = [rejected_share(w) for w in worlds]
            quota, ceiling = (max(w.excess(plan.name)[k] for w in worlds) for k in (0, 1))
            print(
                f"| {name} | {plan.name} | {max(shares):.1%} | {sum(shares) / moments:.1%} | {quota:.1f} |"
                f" {f'{ceiling:.1f}' if has_ceiling else '-'} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
