"""The share of requests that call a counter that is overloaded or down."""

from __future__ import annotations

from tests.helpers import Ingress
from tests.policy.rig import serve
from thistleusher.policy.health import DOWN_MISSES, CounterHealth


def test_overloaded_counter_is_called_less_and_fully_again_when_fast():
    # Regression: a limit on outstanding calls had no effect at two calls per second and ingress: 87% were turned away.
    g = Ingress()
    g.counter = "refusing"
    for k in range(30):
        serve(g, g.ask(customer=k))
    assert g.gw.counters.by_number[0].call_share <= 0.25
    g.counter = "up"
    for k in range(400):
        serve(g, g.ask(customer=1000 + k))
    assert g.gw.counters.by_number[0].call_share == 1.0


def test_few_answers_bring_back_calls_as_soon_as_many_do():
    # Regression: an answer raised the call share by 0.03. At one call in four seconds, totals were still missing ten
    # seconds after an outage.
    few, many = CounterHealth(), CounterHealth()
    for h in (few, many):
        h.call_share = 0.05
        h.record_answer(100.0, 0.0)
        h.call_share = 0.05
    few.record_answer(102.0, 0.0)
    for n in range(1, 21):
        many.record_answer(100.0 + n / 10, 0.0)
    assert 0.3 <= few.call_share <= many.call_share <= 1.0


def test_a_counter_that_is_down_is_called_more_than_an_overloaded_one():
    # Regression: at the minimum call share of an overloaded counter, hundreds of ingresses detected its recovery only
    # after ten seconds.
    g = Ingress()
    g.counter = "refusing"
    for k in range(600):
        serve(g, g.ask(customer=k))
    assert g.gw.counters.by_number[0].misses > DOWN_MISSES and g.gw.counters.by_number[0].call_share >= 0.2
