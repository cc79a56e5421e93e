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
from thistleusher.policy import fleet as fleet_module
from thistleusher.policy.fleet import Fleet

CLASS = ClassSettings("read", Effect.SAFE, objective=2.0, deadline=6.0)
PLAN = PlanSettings("basic", 1e9, 1e9)
SIZES = (10, 24, 100, 1000, 5000)


def simulate(servers: int, full_scan_max: int, requests: int = 20_000) -> tuple[float, float, float]:
    """Return microseconds per choice, and the mean and 99th percentile of the slowdown.

    `full_scan_max` is the largest number of backends that the policy scans in full instead of sampling.
    """
    fleet_module.FULL_SCAN_MAX = full_scan_max
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
    free_at = dict.fromkeys(fleet.backends, 0.0)
    completions: list[tuple[float, int, str, str, float]] = []
    slowdowns, choice_seconds, now = list[float](), 0.0, 0.0
    customer = Customer(1, PLAN, 0.0)
    for n in range(requests):
        now += rng.expovariate(0.7 * servers / 0.05)
        while completions and completions[0][0] <= now:
            at, _, backend, name, response_time = heapq.heappop(completions)
            fleet.record_outcome(at, events.AttemptEnded(name, 0, backend, Outcome.OK, response_time, True))
        f = PendingRequest(events.Request(f"r{n}", "read", "basic", 1, 6.0, 1.0), CLASS, customer, now)
        started_at = time.perf_counter()
        b = fleet.choose(now, f)
        choice_seconds += time.perf_counter() - started_at
        assert b is not None
        fleet.record_attempt(now, b, f)
        service_time = rng.expovariate(1 / 0.05)
        name = b.entry.backend
        free_at[name] = max(free_at[name], now) + service_time
        response_time = free_at[name] - now
        slowdowns.append(response_time / 0.05)
        heapq.heappush(completions, (free_at[name], n, name, f"r{n}", response_time))
    slowdowns.sort()
    return 1e6 * choice_seconds / requests, sum(slowdowns) / len(slowdowns), slowdowns[int(0.99 * len(slowdowns))]


def main() -> None:
    """Print a row for each number of backends."""
    base = 0.0
    print("| backends | us per choice | ratio to 10 | full scan, us | mean slowdown | full scan | 99% | full scan |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for servers in SIZES:
        sampled = simulate(servers, 24)
        full_scan = simulate(servers, 10**9, 4000 if servers > 1000 else 20_000)
        base = base or sampled[0]
        print(
            f"| {servers} | {sampled[0]:.1f} | {sampled[0] / base:.2f} | {full_scan[0]:.1f} | {sampled[1]:.2f} |"
            f" {full_scan[1]:.2f} | {sampled[2]:.2f} | {full_scan[2]:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
