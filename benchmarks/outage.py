"""What a large fleet serves through an outage and after it, by the second: worth inside quotas, and units beyond them.

    python -m benchmarks.outage [--ingresses 60] [--before 6] [--outage 6] [--after 10] [--deaf] [--seed 1]

Scripted time, decisions alone. Members are drawn as the pages of the deployments describe them: most use a part of
their quota, some nearly all, some ask far more all day, some in spikes; they come unevenly through their sets. The
counter is silent in the outage; with --deaf no ingress hears another meanwhile. Every request is judged by a
store of its member's that takes what is inside the quota only, as the users count.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import NamedTuple

from tests.quota.world import BASIC, PLUS, CounterModel, ReferenceBucket, World
from thistleusher.core import events

NARROW = 8  # ingresses of a ceilinged member's set
CALLS_PER_S = 4.0  # of the counter, for each ingress
COST = {"basic": 0.5, "plus": 1.2}  # of its worth, that a unit beyond the quota costs
PRICE = {"basic": 1.1, "plus": 1.6}


class Member(NamedTuple):
    """Units a second that it asks in calm, and in its spikes (each second one in eight) if it has any."""

    key: int
    plan: str
    first: int
    width: int
    asks: float
    spike: float


class Shares(NamedTuple):
    """What a fleet served in a while, as shares."""

    served: float  # worth inside quotas, of that offered
    cost: float  # of what went beyond quotas, of the worth offered
    beyond: float  # units beyond quotas, of those sent on
    in_vain: float  # requests refused with half of the quota unused


class Phase(NamedTuple):
    """A part of a run; `begin` changes the world as it begins."""

    name: str
    seconds: int
    begin: Callable[[Judged], None]


class Judged(World):
    """A world that tells requests inside a quota from those beyond it."""

    def __init__(self, seed: int, instances: int) -> None:
        self.judges: dict[int, ReferenceBucket] = {}
        self.offered = self.got = self.over = self.cost = 0.0
        self.sent_units = 0.0
        self.by_plan = {"basic": [0.0, 0.0, 0.0], "plus": [0.0, 0.0, 0.0]}  # offered, got, beyond
        super().__init__(seed, instances)

    def record_admission(self, r: events.Request) -> None:
        """Judge a request that is sent on, by its member's store."""
        p = PLUS if r.plan == "plus" else BASIC
        store = self.judges.setdefault(r.customer, ReferenceBucket(p.rate, p.burst))
        self.sent_units += r.units
        if store.drained_level(self.now) + r.units <= p.burst:
            store.add_units(self.now, r.units)
            self.got += r.units * PRICE[r.plan]
            self.by_plan[r.plan][1] += r.units
        else:
            self.over += r.units
            self.cost += r.units * PRICE[r.plan] * COST[r.plan]
            self.by_plan[r.plan][2] += r.units
        super().record_admission(r)

    def offer(self, n: int, m: Member, units: float) -> None:
        """Send one request, unless its ingress is down."""
        if self.gateways[n] is None:
            return
        before = self.fair
        self.ask(n, m.key, m.plan, units, m.first, m.width)
        if self.fair > before:
            self.offered += units * PRICE[m.plan]
            self.by_plan[m.plan][0] += units

    def take_shares(self) -> Shares:
        """Return the shares since the last call."""
        shares = Shares(
            self.got / max(1e-9, self.offered),
            self.cost / max(1e-9, self.offered),
            self.over / max(1e-9, self.sent_units),
            len(self.rejected_within_quota) / max(1, self.asked),
        )
        self.offered = self.got = self.over = self.cost = self.sent_units = 0.0
        self.by_plan = {p: [0.0, 0.0, 0.0] for p in self.by_plan}
        self.asked, self.rejected_within_quota = 0, set()
        return shares


def members(w: World, instances: int) -> list[Member]:
    """Draw twelve members of the wide plan and two of the ceilinged one for three ingresses."""
    out = []
    for key in range(instances * 14 // 3):
        plan = PLUS if key % 7 == 0 else BASIC
        width = min(instances, NARROW) if plan is PLUS else max(1, int(instances * w.rng.uniform(0.5, 1.0)))
        kind, asks, spike = w.rng.random(), w.rng.uniform(0.15, 0.5), 0.0
        if kind < 0.17:
            asks = w.rng.uniform(0.85, 1.0)
        elif kind < 0.27:
            asks = w.rng.uniform(1.6, 4.9)
        elif kind < 0.45:
            spike = w.rng.uniform(2.0, 7.3)
        out.append(Member(key, plan.name, w.rng.randrange(instances), width, asks * plan.rate, spike * plan.rate))
    return out


def play_second(w: Judged, asking: list[Member]) -> None:
    """Play a second of all members' requests, of 1 to 4 units."""
    for m in asking:
        asks = m.spike if m.spike and w.rng.random() < 0.125 else m.asks
        t = 0.0
        while (t := t + w.rng.expovariate(asks / 2.0)) < 1.0:
            n = (m.first + int(m.width * w.rng.random() ** 2)) % w.instances  # unevenly
            units = w.rng.choice((1.0, 1.0, 2.0, 4.0))
            w.at(t, lambda n=n, m=m, u=units: w.offer(n, m, u))  # type: ignore[misc]
    w.run(1.0)


def second_line(by_plan: dict[str, list[float]], phase: str, second: int, shares: Shares, calls: int) -> str:
    """Return the line of one second. `by_plan`: units offered, served and beyond; `calls`: of the counter."""
    plans = {p: f"{v[1] / max(1e-9, v[0]):.2f}+{v[2] / max(1e-9, v[0]):.2f}" for p, v in by_plan.items()}
    return (
        f"{phase:8} {second:3}  served {shares.served:5.3f}  cost {shares.cost:5.3f}  beyond {shares.beyond:5.3f}"
        f"  in vain {shares.in_vain:5.3f}  calls {calls:4}  {plans}"
    )


def play(instances: int, seed: int, phases: list[Phase], say: Callable[[str], None]) -> tuple[dict[str, Shares], float]:
    """Play phases; `say` gets a line for each second.

    Return the means of each phase's seconds by its name, and the most units that a member went beyond its ceiling.
    """
    w = Judged(seed, instances)
    w.use_counter(CounterModel(CALLS_PER_S * instances))
    w.inbox = 100.0
    asking = members(w, instances)
    means = {}
    for phase in phases:
        phase.begin(w)
        rows = []
        for second in range(phase.seconds):
            calls = w.counters[0].adds
            play_second(w, asking)
            by_plan = w.by_plan
            rows.append(w.take_shares())
            say(second_line(by_plan, phase.name, second, rows[-1], w.counters[0].adds - calls))
        means[phase.name] = Shares(*(sum(column) / phase.seconds for column in zip(*rows, strict=True)))
    return means, w.excess("plus")[1]


def main() -> None:
    """Play an outage, and print a line for each phase."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--ingresses", type=int, default=60)
    for name, default in (("before", 6), ("outage", 6), ("after", 10)):
        parser.add_argument(f"--{name}", type=int, default=default, help=f"seconds (default {default})")
    parser.add_argument("--deaf", action="store_true", help="no ingress hears another in the outage")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--each", action="store_true", help="a line for each second")
    args = parser.parse_args()

    def cut(w: Judged) -> None:
        w.counters[0].silent, w.isolated = True, set(range(w.instances)) if args.deaf else set()

    def back(w: Judged) -> None:
        w.counters[0].silent, w.isolated = False, set()

    phases = [
        Phase("before", args.before, lambda w: None),
        Phase("outage", args.outage, cut),
        Phase("after", args.after, back),
    ]
    means, ceiling = play(args.ingresses, args.seed, phases, print if args.each else lambda line: None)
    print(f"units beyond a ceiling, the worst member: {ceiling:.1f} (slack {max(4.0, 0.1 * PLUS.ceiling_burst):.1f})")
    for name, shares in means.items():
        print(
            f"{name:8} served inside quotas {100 * shares.served:5.1f}%  cost of what went beyond"
            f" {100 * shares.cost:5.1f}%  units beyond {100 * shares.beyond:5.1f}%"
            f"  refused in vain {100 * shares.in_vain:5.1f}%"
        )


if __name__ == "__main__":
    main()
