"""What an ingress of a fleet sends and costs, by the size of the fleet, at the same traffic an ingress.

    python -m benchmarks.fleet [--sizes 3,16,64,200] [--seconds 4] [--rate 8]

Scripted time, one ingress's decisions alone (no sockets). CPU as a ratio to the smallest fleet's, in the same run: of
the whole script, whose own part is the same for each request and message.
"""

from __future__ import annotations

import argparse
import time

from tests.quota.world import CounterModel, World

NARROW = 5


def play(instances: int, seconds: float, rate: float) -> dict[str, float]:
    """Play one fleet from its start; a third of the members has sets of half the fleet, three ingresses at least."""
    w = World(2, instances)
    w.use_counter(CounterModel(0.5 * rate * instances))  # a call for every second request
    w.inbox = 100.0
    t = 0.0
    while (t := t + w.rng.expovariate(rate * instances)) < seconds:
        member = w.rng.randrange(4 * instances)
        wide = member % 3 == 0
        plan, width = ("basic", max(min(3, instances), instances // 2)) if wide else ("plus", min(NARROW, instances))
        first = member * 7 % instances
        w.at(
            t,
            lambda m=member, p=plan, f=first, d=width: w.ask(  # type: ignore[misc]
                (f + w.rng.randrange(d)) % instances, m, p, w.rng.choice((1.0, 2.0)), f, d
            ),
        )
    began = time.process_time()
    w.run(1.0)
    first_second, asked = w.messages_sent, w.asked
    w.asked, w.rejected_within_quota = 0, set()
    w.run(seconds - 1.0)
    cpu = time.process_time() - began
    each = (seconds - 1.0) * instances
    return {
        "first": first_second / instances,
        "messages": (w.messages_sent - first_second) / each,
        "bytes": w.bytes_sent / seconds / instances,
        "spilt": w.overflowed,
        "vain": len(w.rejected_within_quota) / w.asked,
        "cpu": cpu / (asked + w.asked),
    }


def main() -> None:
    """Print a line for each size of a fleet."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="3,16,64,200", help="fleets, by their number of ingresses")
    parser.add_argument("--seconds", type=float, default=4.0, help="of scripted time (default 4)")
    parser.add_argument("--rate", type=float, default=8.0, help="requests a second at each ingress (default 8)")
    args = parser.parse_args()
    base = 0.0
    print("ingresses  msgs in 1st s  msgs/s after  bytes/s  lost to full inboxes  refused in vain  CPU a request")
    for size in (int(n) for n in args.sizes.split(",")):
        r = play(size, args.seconds, args.rate)
        base = base or r["cpu"]
        print(
            f"{size:9} {r['first']:14.1f} {r['messages']:13.1f} {r['bytes']:8.0f} {r['spilt']:21.0f}"
            f" {100 * r['vain']:15.1f}% {r['cpu'] / base:13.2f}"
        )


if __name__ == "__main__":
    main()
