"""Shares of limits: the whole requests that all proxies hold in reserve are bounded for any number of proxies."""

import random

import pytest

from thistleusher.common.node_settings import Bounds
from thistleusher.common.quota_shares import reserve_limits, share_interval
from thistleusher.registry.quota_counter import QuotaCounter

BOUNDS = Bounds(quota_window_s=5.0, quota_excess=0.1, quota_slack=20.0)


@pytest.mark.parametrize("count", [1, 9, 71, 195, 2800])
def test_the_reserve_of_all_proxies_does_not_grow_with_their_number(count):
    rng = random.Random(count)
    weights = [rng.choice([1.0, 1.0, rng.random()]) for _ in range(count)]
    shares = {f"i{n}": weight / sum(weights) for n, weight in enumerate(weights)}
    intervals = [share_interval(shares, name) for name in (shares if count < 500 else rng.sample(sorted(shares), 200))]
    part = sum(interval.end - interval.start for interval in intervals)
    for n in range(20):
        rate, burst = 10 ** (3 * rng.random()), 1000 * rng.random()
        held = [reserve_limits(interval, f"tenant {n}", rate, burst, BOUNDS) for interval in intervals]
        reserve = 0.025 * (5 * rate + burst) + 10 + min(0.4 * rate, max(0.0, burst - 0.25 * rate))
        slack = 1 if part > 0.99 else 6 + 0.2 * reserve  # Only a sample of the intervals is added up.
        assert part * reserve - slack - 1 <= sum(each.reserve for each in held) <= part * reserve + slack
        assert all(0 <= each.reserve <= each.isolated for each in held)
        if part > 0.99:
            assert sum(each.isolated for each in held) <= reserve + rate


def test_a_later_share_is_placed_at_the_end_and_moves_no_other():
    counts = QuotaCounter(0.0)
    shares = {f"m{n}": 0.8 / 7 for n in range(7)}
    before = {name: share_interval(shares, name) for name in shares}
    for n in range(40):
        counts.configure({}, shares)
        counts.shares.record_heartbeat(1.0, f"a{n}", "x", 1.0)
        counts.shares.record_heartbeat(1.0, f"z{n}", "x", 1.0)
        shares.update(counts.shares.new_shares(1.0))
        now = {name: share_interval(shares, name) for name in shares}
        assert {name: now[name] for name in before} == before
        before = now
    assert len(shares) == 87 and sum(shares.values()) <= 1.0
    ends = sorted(before.values())
    assert all(a.end <= b.start for a, b in zip(ends, ends[1:], strict=False))


def test_a_proxy_without_a_share_has_no_interval():
    assert share_interval({"i": 0.5}, "j") is None
