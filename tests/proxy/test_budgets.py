"""Retry and slow-start budgets: the sum over all proxies stays within the rule."""

import random

import pytest

from thistleusher.proxy.budgets import RetryBudget, SlowStartBudget


def test_all_proxies_together_stay_within_the_retry_budget():
    """Half of the requests fail, as half of a service has crashed, and nine proxies try to retry each of them."""
    rng = random.Random(3)
    proxies = [RetryBudget(0.2, 58.0, 10.0) for _ in range(9)]
    requests, retries, now = [], [], 0.0
    while now < 60.0:
        now += rng.expovariate(200.0)
        proxy = rng.choice(proxies)
        proxy.record_request(now)
        requests.append(now)
        if rng.random() < 0.5 and proxy.allows(now, 9):
            proxy.record_retry(now)
            retries.append(now)
    for end in range(10, 60):
        spent = sum(end - 10 < t <= end for t in retries)
        assert spent <= 0.2 * sum(end - 10 < t <= end for t in requests) + 58
    assert len(retries) > 0.1 * len(requests)


@pytest.mark.parametrize("count", [3, 9, 86])
def test_a_warming_backend_gets_no_more_than_its_slow_start_rate_from_all_proxies_together(count):
    names = [f"p{k}" for k in range(count)]
    budgets = [SlowStartBudget(name, 1.5, 5.0) for name in names]
    rng, now, sent = random.Random(count), 0.0, []
    while now < 20.0:
        now += 0.001
        proxy = rng.choice(budgets)
        if proxy.allows(now, "b", 12.0, names):
            proxy.record_sent(now, "b")
            sent.append(now)
    for n, at in enumerate(sent):
        assert sum(1 for t in sent[n : n + 60] if t < at + 1.0) <= 12 * 1.5 + 5
    assert len(sent) > 20 * 8  # the backend still gets a useful rate
