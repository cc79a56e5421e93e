"""Random tenants, proxies and failures: each tenant stays within its limit in every span, for limits of any size."""

import random

import pytest

from tests.proxy.quota_fleet import IDLE_S, QuotaFleet


def draw_limits(rng, count):
    """Return random limits: rates from 1 to 1,000 per second, bursts worth 0.1 s to 60 s of the rate."""
    limits = {}
    for n in range(count):
        rate = 10 ** (3 * rng.random())
        limits[f"t{n}"] = (rate, max(1.0, rate * rng.choice([0.1, 0.5, 1.0, 1.0, 2.0, 4.0, 10.0, 60.0])))
    return limits


@pytest.mark.parametrize("seed", range(16))
def test_drawn_tenants_keep_their_limits_through_cuts_restarts_lost_counters_and_changed_limits(seed):
    rng = random.Random(seed)
    fleet = QuotaFleet(seed, rng.choice([3, 9, 30, 71]), draw_limits(rng, 12))
    fleet.clock.run(103.0 + rng.choice([1.0, 12.0, IDLE_S]))
    for _ in range(6):
        for tenant in rng.sample(sorted(fleet.limits), 3):
            rate, burst = fleet.limits[tenant]
            fleet.send_load(tenant, min(600.0, 2 * rate + burst), rng.choice([1.0, 3.0, 6.0]))
        inject_fault(fleet, rng)
        fleet.clock.run(fleet.clock.now + rng.choice([0.5, 2.0, 6.0]))
    assert fleet.exceeded_limits() == []
    assert sum(map(len, fleet.admitted.values())) > 100


def inject_fault(fleet, rng):
    """Inject one random failure or change; partitions and lost counters are scheduled to end."""
    names = rng.sample(sorted(fleet.proxies), rng.randint(1, len(fleet.proxies)))
    what = rng.choice(["cut", "cut", "restart", "swap", "lose", "lose", "raise", "nothing"])
    for_s = rng.choice([0.4, 1.0, 3.0, 8.0])
    if what == "cut":
        fleet.cut_off |= set(names)
        fleet.clock.later(for_s, lambda: fleet.cut_off.difference_update(names))
    elif what == "restart":
        for name in names:
            fleet.start(name)
    elif what == "swap":
        fleet.replace_counter()
    elif what == "lose":
        fleet.lose_counter()
        fleet.clock.later(for_s, fleet.replace_counter)
    elif what == "raise":
        tenant = rng.choice(sorted(fleet.limits))
        rate, burst = fleet.limits[tenant]
        fleet.set_limit(tenant, 1.5 * rate, 1.5 * burst)
