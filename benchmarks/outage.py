"""Simulate a counter outage at many ingresses: worth served within quotas and units beyond them, second by second.

    python -m benchmarks.outage [--ingresses 60] [--before 6] [--outage 6] [--after 10] [--deaf] [--seed 1]

Simulated time, without sockets. Customers are drawn as the documentation of the deployments describes them: most use a
fraction of their quota, some use nearly all of it, some ask for far more all the time, and some do so in spikes. Their
requests are spread unevenly over their ingress sets. The counter does not answer during the outage; with --deaf, the
ingresses do not receive messages from each other either. An exact model of each customer's quota classifies every
admitted request by the users' rule: it is within the quota only if all of its units are.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import NamedTuple

from tests.quota.world import BASIC, PLUS, CounterModel, ReferenceBucket, World
from thistleusher.core import events

CEILING_SET_SIZE = 8  # Size of the ingress set of a customer whose plan has a ceiling.
COUNTER_CALLS_PER_S = 4.0  # Capacity of the counter in calls per second, per ingress.
OVER_QUOTA_COST = {"basic": 0.5, "plus": 1.2}  # Cost of a unit beyond the quota, as a multiple of its worth, by plan.
PRICE = {"basic": 1.1, "plus": 1.6}  # Worth of one unit, by plan.


class Customer(NamedTuple):
    """A customer: its plan, its ingress set and its demand.

    `demand` is the normal demand and `spike_demand` that during spikes, in units per second. Each second is a spike
    with a probability of one in eight; a customer with `spike_demand` 0 has none.
    """

    key: int
    plan: str
    first: int
    width: int
    demand: float
    spike_demand: float


class Fractions(NamedTuple):
    """What all ingresses served in a period, as fractions."""

    served: float  # Worth served within quotas, relative to the worth offered.
    cost: float  # Cost of units beyond quotas, relative to the worth offered.
    beyond: float  # Units beyond quotas, relative to the units admitted.
    rejected_within_quota: float  # Requests rejected with at least half of the quota unused, relative to all requests.


class Phase(NamedTuple):
    """A phase of a run; `begin` is called at its start to change the simulated world."""

    name: str
    seconds: int
    begin: Callable[[AuditedWorld], None]


class AuditedWorld(World):
    """A simulated world that classifies admitted requests as within or beyond the customer's quota."""

    def __init__(self, seed: int, instances: int) -> None:
        self.exact_quotas: dict[int, ReferenceBucket] = {}
        self.offered_worth = self.served_worth = self.over_quota_units = self.cost = 0.0
        self.admitted_units = 0.0
        self.by_plan = {"basic": [0.0, 0.0, 0.0], "plus": [0.0, 0.0, 0.0]}  # Units offered, within and beyond quotas.
        super().__init__(seed, instances)

    def record_admission(self, r: events.Request) -> None:
        """Classify an admitted request by the exact model of its customer's quota."""
        p = PLUS if r.plan == "plus" else BASIC
        store = self.exact_quotas.setdefault(r.customer, ReferenceBucket(p.rate, p.burst))
        self.admitted_units += r.units
        if store.drained_level(self.now) + r.units <= p.burst:
            store.add_units(self.now, r.units)
            self.served_worth += r.units * PRICE[r.plan]
            self.by_plan[r.plan][1] += r.units
        else:
            self.over_quota_units += r.units
            self.cost += r.units * PRICE[r.plan] * OVER_QUOTA_COST[r.plan]
            self.by_plan[r.plan][2] += r.units
        super().record_admission(r)

    def offer(self, n: int, m: Customer, units: float) -> None:
        """Send one request to ingress `n`, unless the ingress is down."""
        if self.gateways[n] is None:
            return
        before = self.fair
        self.ask(n, m.key, m.plan, units, m.first, m.width)
        if self.fair > before:
            self.offered_worth += units * PRICE[m.plan]
            self.by_plan[m.plan][0] += units

    def take_fractions(self) -> Fractions:
        """Return the fractions since the last call and reset the counts."""
        fractions = Fractions(
            self.served_worth / max(1e-9, self.offered_worth),
            self.cost / max(1e-9, self.offered_worth),
            self.over_quota_units / max(1e-9, self.admitted_units),
            len(self.rejected_within_quota) / max(1, self.asked),
        )
        self.offered_worth = self.served_worth = self.over_quota_units = self.cost = self.admitted_units = 0.0
        self.by_plan = {p: [0.0, 0.0, 0.0] for p in self.by_plan}
        self.asked, self.rejected_within_quota = 0, set()
        return fractions


def draw_customers(w: World, instances: int) -> list[Customer]:
    """Draw the customers: per three ingresses, twelve of the plan without a ceiling and two of the plan with one."""
    out = []
    for key in range(instances * 14 // 3):
        plan = PLUS if key % 7 == 0 else BASIC
        width = min(instances, CEILING_SET_SIZE) if plan is PLUS else max(1, int(instances * w.rng.uniform(0.5, 1.0)))
        kind, demand, spike_demand = w.rng.random(), w.rng.uniform(0.15, 0.5), 0.0
        if kind < 0.17:
            demand = w.rng.uniform(0.85, 1.0)
        elif kind < 0.27:
            demand = w.rng.uniform(1.6, 4.9)
        elif kind < 0.45:
            spike_demand = w.rng.uniform(2.0, 7.3)
        out.append(
            Customer(key, plan.name, w.rng.randrange(instances), width, demand * plan.rate, spike_demand * plan.rate)
        )
    return out


def simulate_second(w: AuditedWorld, customers: list[Customer]) -> None:
    """Simulate one second of all customers' requests, of 1 to 4 units each."""
    for m in customers:
        demand = m.spike_demand if m.spike_demand and w.rng.random() < 0.125 else m.demand
        t = 0.0
        while (t := t + w.rng.expovariate(demand / 2.0)) < 1.0:
            n = (m.first + int(m.width * w.rng.random() ** 2)) % w.instances  # Prefers the first ingresses of the set.
            units = w.rng.choice((1.0, 1.0, 2.0, 4.0))
            w.at(t, lambda n=n, m=m, u=units: w.offer(n, m, u))  # type: ignore[misc]
    w.run(1.0)


def second_line(by_plan: dict[str, list[float]], phase: str, second: int, fractions: Fractions, calls: int) -> str:
    """Return the line of one second.

    `by_plan` holds the units offered, served within quotas and served beyond them; `calls` is the number of calls to
    the counter.
    """
    plans = {p: f"{v[1] / max(1e-9, v[0]):.2f}+{v[2] / max(1e-9, v[0]):.2f}" for p, v in by_plan.items()}
    return (
        f"{phase:8} {second:3}  served {fractions.served:5.3f}  cost {fractions.cost:5.3f}"
        f"  beyond {fractions.beyond:5.3f}"
        f"  rejected within quota {fractions.rejected_within_quota:5.3f}  counter calls {calls:4}  {plans}"
    )


def simulate(
    instances: int, seed: int, phases: list[Phase], on_line: Callable[[str], None]
) -> tuple[dict[str, Fractions], float]:
    """Simulate the phases; `on_line` is called with a line for each second.

    Returns the means over the seconds of each phase by the phase's name, and the maximum number of units that a
    customer was granted beyond its ceiling.
    """
    w = AuditedWorld(seed, instances)
    w.use_counter(CounterModel(COUNTER_CALLS_PER_S * instances))
    w.inbox = 100.0
    customers = draw_customers(w, instances)
    means = {}
    for phase in phases:
        phase.begin(w)
        rows = []
        for second in range(phase.seconds):
            calls = w.counters[0].adds
            simulate_second(w, customers)
            by_plan = w.by_plan
            rows.append(w.take_fractions())
            on_line(second_line(by_plan, phase.name, second, rows[-1], w.counters[0].adds - calls))
        means[phase.name] = Fractions(*(sum(column) / phase.seconds for column in zip(*rows, strict=True)))
    return means, w.excess("plus")[1]


def main() -> None:
    """Simulate an outage and print a line for each phase."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--ingresses", type=int, default=60)
    for name, default in (("before", 6), ("outage", 6), ("after", 10)):
        parser.add_argument(f"--{name}", type=int, default=default, help=f"duration in seconds (default {default})")
    parser.add_argument("--deaf", action="store_true", help="drop all messages between ingresses in the outage")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--each", action="store_true", help="print a line for each second")
    args = parser.parse_args()

    def begin_outage(w: AuditedWorld) -> None:
        w.counters[0].silent, w.isolated = True, set(range(w.instances)) if args.deaf else set()

    def end_outage(w: AuditedWorld) -> None:
        w.counters[0].silent, w.isolated = False, set()

    phases = [
        Phase("before", args.before, lambda w: None),
        Phase("outage", args.outage, begin_outage),
        Phase("after", args.after, end_outage),
    ]
    means, ceiling = simulate(args.ingresses, args.seed, phases, print if args.each else lambda line: None)
    print(f"most units beyond a ceiling: {ceiling:.1f} (slack {max(4.0, 0.1 * PLUS.ceiling_burst):.1f})")
    for name, fractions in means.items():
        print(
            f"{name:8} served within quotas {100 * fractions.served:5.1f}%  cost of units beyond"
            f" {100 * fractions.cost:5.1f}%  units beyond {100 * fractions.beyond:5.1f}%"
            f"  rejected within quota {100 * fractions.rejected_within_quota:5.1f}%"
        )


if __name__ == "__main__":
    main()
