"""Measure the messages and CPU time of an ingress by the number of ingresses, at constant traffic per ingress.

    python -m benchmarks.fleet [--sizes 3,16,64,200] [--seconds 4] [--rate 8]

Simulated time, without sockets: only the decisions of the ingresses run. CPU time per request is a ratio to that of the
first size in the same run. It includes the simulation itself, whose cost per request and message is constant.
"""

from __future__ import annotations

import argparse
import time

from tests.quota.world import CounterModel, World

CEILING_SET_SIZE = 5  # Size of the ingress set of a customer whose plan has a ceiling.


def simulate(instances: int, seconds: float, rate: float) -> dict[str, float]:
    """Simulate `instances` ingresses from their start and return the figures of one line.

    A third of the customers have ingress sets of half of all ingresses, but at least three.
    """
    w = World(2, instances)
    w.use_counter(CounterModel(0.5 * rate * instances))  # The counter has capacity for a call for every second request.
    w.inbox = 100.0
    t = 0.0
    while (t := t + w.rng.expovariate(rate * instances)) < seconds:
        member = w.rng.randrange(4 * instances)
        large = member % 3 == 0
        plan_name, width = (
            ("basic", max(min(3, instances), instances // 2)) if large else ("plus", min(CEILING_SET_SIZE, instances))
        )
        first = member * 7 % instances
        w.at(
            t,
            lambda m=member, p=plan_name, f=first, d=width: w.ask(  # type: ignore[misc]
                (f + w.rng.randrange(d)) % instances, m, p, w.rng.choice((1.0, 2.0)), f, d
            ),
        )
    began = time.process_time()
    w.run(1.0)
    first_second, asked = w.messages_sent, w.asked
    w.asked, w.rejected_within_quota = 0, set()
    w.run(seconds - 1.0)
    cpu = time.process_time() - began
    ingress_seconds = (seconds - 1.0) * instances
    return {
        "first_second": first_second / instances,
        "messages": (w.messages_sent - first_second) / ingress_seconds,
        "bytes": w.bytes_sent / seconds / instances,
        "overflowed": w.overflowed,
        "rejected_within_quota": len(w.rejected_within_quota) / w.asked,
        "cpu": cpu / (asked + w.asked),
    }


def main() -> None:
    """Print a line for each number of ingresses."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="3,16,64,200", help="numbers of ingresses, separated by commas")
    parser.add_argument("--seconds", type=float, default=4.0, help="simulated seconds (default 4)")
    parser.add_argument("--rate", type=float, default=8.0, help="requests per second at each ingress (default 8)")
    args = parser.parse_args()
    base = 0.0
    print("ingresses  msgs in 1st s  msgs/s after  bytes/s  lost to full inboxes  rejected within quota  CPU/request")
    for size in (int(n) for n in args.sizes.split(",")):
        r = simulate(size, args.seconds, args.rate)
        base = base or r["cpu"]
        print(
            f"{size:9} {r['first_second']:14.1f} {r['messages']:13.1f} {r['bytes']:8.0f} {r['overflowed']:21.0f}"
            f" {100 * r['rejected_within_quota']:21.1f}% {r['cpu'] / base:11.2f}"
        )


if __name__ == "__main__":
    main()
