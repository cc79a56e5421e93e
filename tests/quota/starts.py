"""Helpers for start-up tests: ingresses start in simulated time while the counter does not answer."""

from __future__ import annotations

import os
import random

from tests.quota.world import BASIC, PLUS, World, settings
from thistleusher.quota.bound import Assumptions, bound_of

FIRST = 6 * int(os.environ.get("SOAK_SEED", "0"))
SCHEDULES = int(os.environ.get("LEDGER_SCHEDULES", "120"))
SECONDS = 5.0
AT_ONCE = (0.0, 0.02, 0.05)


def start_world(offsets, moment=0.0, plan="plus", rate=70.0, members=20, seconds=SECONDS, skews=(), seed=3):
    """Start ingresses whose counter never answers, and send requests; one request in five is from customer 0.

    Customer 0 thereby requests far more than its quota.
    """
    w = World(seed, len(offsets), 5000.0 + moment, offsets=offsets, skews=skews)
    w.counters[0].silent = True
    send_requests(w, seconds, plan, rate, members, seed)
    return w


def send_requests(w, seconds, plan="plus", rate=70.0, members=20, seed=3, units=(1.0, 2.0, 4.0)):
    """Send requests to random ingresses among those that are running at the time."""
    rng, t = random.Random(seed), 0.0
    while (t := t + rng.expovariate(rate)) < seconds:
        member = rng.randrange(members) if rng.random() < 0.8 else 0
        u, d = rng.choice(units), rng.random()
        w.at(t, lambda m=member, u=u, d=d: w.ask(running_ingress(w, d), m, plan, u))
    w.run(seconds)


def running_ingress(w, drawn):
    there = [n for n, g in enumerate(w.gateways) if g is not None]
    return there[int(drawn * len(there))] if there else 0


def rejected_share(w):
    """Fraction of requests that were not forwarded although half of the customer's quota was unused on arrival."""
    return len(w.rejected_within_quota) / w.asked


def assert_within_bound(w, plan="plus", joint=0, assumed=None):
    """Assert that no customer exceeds the stated bound after `joint` simultaneous restarts; return the excesses."""
    p = PLUS if plan == "plus" else BASIC
    b = bound_of(settings(0, w.instances), p, assumed or Assumptions(0.0, 0.01, outage=SECONDS))
    quota, ceiling = w.excess(plan)
    assert quota <= b.quota_cut_off + joint * b.quota_restart, (quota, b)
    if b.ceiling is not None:
        assert ceiling <= b.ceiling + joint * b.ceiling_restart, (ceiling, b)
    return quota, ceiling
