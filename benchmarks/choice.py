"""Compare the cost and balance of sampled backend selection with a full scan, by the number of backends.

    python -m benchmarks.choice

One ingress receives requests of mixed size in virtual time, at 70% of the backends' capacity. Each backend processes
its requests one after another. Prints the microseconds per choice, their ratio to the value for 10 backends, and the
mean and 99th percentile of the slowdown: a request's response time divided by the mean service time (1 means no
queueing).
"""

from __future__ import annotations

import heapq
import random
import time

from thistleusher.core import events
from thistleusher.core.charges import PendingRequest
from thistleusher.core.customer import Customer
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import ClassSettings, Effect, PlanSettings, Settings
from thistleusher.policy import fleet as module
from thistleusher.policy.fleet import Fleet

CLASS = ClassSettings("read", Effect.SAFE, objective=2.0, deadline=6.0)
PLAN = PlanSettings("basic", 1e9, 1e9)
SIZES = (10, 24, 100, 1000, 5000)


def played(servers: int, scan: int, requests: int = 20_000) -> tuple[float, float, float]:
    """Return microseconds per choice, and the mean and 99th percentile of the slowdown.

    `scan` is the largest number of backends that the policy scans in full instead of sampling.
    """
    module.FULL_SCAN_MAX = scan
    rng = random.Random(servers)
    fleet = Fleet(Settings(classes=(CLASS,), plans=(PLAN,)), rng, [], 0.0)
    fleet.apply_list_update(
        0.0,
        events.ListUpdate(
            ListKind.WHOLE,
            1,
            tuple(BackendEntry(f"b{n}", Phase.RUNNING, zone=f"z{n % 3}") for n in range(servers)),
        ),
    )
    fleet.slots = 1e9
    free = dict.fromkeys(fleet.backends, 0.0)
    ends: list[tuple[float, int, str, str, float]] = []
    slow, spent, now = list[float](), 0.0, 0.0
    customer = Customer(1, PLAN, 0.0)
    for n in range(requests):
        now += rng.expovariate(0.7 * servers / 0.05)
        while ends and ends[0][0] <= now:
            at, _, backend, name, took = heapq.heappop(ends)
            fleet.record_outcome(at, events.AttemptEnded(name, 0, backend, Outcome.OK, took, True))
        f = PendingRequest(events.Request(f"r{n}", "read", "basic", 1, 6.0, 1.0), CLASS, customer, now)
        began = time.perf_counter()
        b = fleet.choose(now, f)
        spent += time.perf_counter() - began
        assert b is not None
        fleet.record_attempt(now, b, f)
        work = rng.expovariate(1 / 0.05)
        name = b.entry.backend
        free[name] = max(free[name], now) + work
        took = free[name] - now
        slow.append(took / 0.05)
        heapq.heappush(ends, (free[name], n, name, f"r{n}", took))
    slow.sort()
    return 1e6 * spent / requests, sum(slow) / len(slow), slow[int(0.99 * len(slow))]


def main() -> None:
    """Print a row for each number of backends."""
    base = 0.0
    print("| backends | us per choice | ratio to 10 | full scan, us | mean slowdown | full scan | 99% | full scan |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for servers in SIZES:
        drawn = played(servers, 24)
        whole = played(servers, 10**9, 4000 if servers > 1000 else 20_000)
        base = base or drawn[0]
        print(
            f"| {servers} | {drawn[0]:.1f} | {drawn[0] / base:.2f} | {whole[0]:.1f} | {drawn[1]:.2f} |"
            f" {whole[1]:.2f} | {drawn[2]:.2f} | {whole[2]:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
