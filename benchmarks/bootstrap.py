"""How a fleet begins with the counter silent from the first request, at many moments of an epoch, in scripted time.

    python -m benchmarks.bootstrap --moments 50

For each way of starting: share of the requests of the first five seconds that came with half of the quota or more
unused and were refused (worst and mean of the moments), and the most units that a member had beyond quota and ceiling.
"""

from __future__ import annotations

import argparse
import math

from tests.quota.starts import AT_ONCE, rejected_share, start_world
from tests.quota.world import BASIC, PLUS
from thistleusher.quota.terms import Terms, epoch_length

STARTS = {
    "3 within 50 ms": AT_ONCE,
    "6 within 50 ms": tuple(n / 100 for n in range(6)),
    "3 within 3 s": (0.0, 1.0, 3.0),
    "6 within 3 s": (0.0, 0.5, 1.0, 2.0, 2.5, 3.0),
    "one a minute later": (0.0, 0.02, 60.0),
    "one of 3 never comes": (0.0, 0.02, math.inf),
}


def main() -> None:
    """Print a row for each way of starting and plan."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--moments", type=int, default=50)
    moments = parser.parse_args().moments
    print("| start | plan | refused with room, worst | mean | beyond quota | beyond ceiling |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, offsets in STARTS.items():
        for plan in (PLUS, BASIC):
            ceiled = plan.ceiling_rate > 0
            terms = Terms(plan.ceiling_rate, plan.ceiling_burst) if ceiled else Terms(plan.rate, plan.burst)
            rate = 23.0 * len(offsets) if ceiled else 12.0
            worlds = [start_world(offsets, n * epoch_length(terms) / moments, plan.name, rate) for n in range(moments)]
            shares = [rejected_share(w) for w in worlds]
            quota, ceiling = (max(w.excess(plan.name)[k] for w in worlds) for k in (0, 1))
            print(
                f"| {name} | {plan.name} | {max(shares):.1%} | {sum(shares) / moments:.1%} | {quota:.1f} |"
                f" {f'{ceiling:.1f}' if ceiled else '-'} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
