"""Sixty ingresses in simulated time: customers with large and small ingress sets under faults between ingresses."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.quota.world import BASIC, CounterModel, World, settings
from thistleusher.core import events
from thistleusher.core.datagrams import USAGE_ENTRY, USAGE_MARK, encode_customer
from thistleusher.quota.bound import Assumptions, bound_of, format_table

FLEET, WIDE, NARROW = 60, 50, 5
MEMBERS = 240
CEILING_SLACK = 6.5  # units; the users allow an excess of a tenth of the ceiling's burst


def fleet(seed: int = 1, per_s: float = 250.0, offsets: tuple[float, ...] = ()) -> World:
    """Create 60 ingresses with inboxes of 100 messages a second, and a counter that accepts `per_s` calls a second.

    By default the counter accepts half as many calls as `load` sends requests.
    """
    w = World(seed, FLEET, offsets=offsets)
    w.use_counter(CounterModel(per_s))
    w.inbox = 100.0
    return w


def load(w: World, seconds: float, rate: float = 500.0, hot: float = 0.0) -> None:
    """Send requests of customers of both plans through their ingress sets, which are spread over all ingresses.

    `hot`: fraction of the requests that customer 0 sends.
    """
    began, t = w.now, 0.0
    while (t := t + w.rng.expovariate(rate)) < seconds:
        member = 0 if w.rng.random() < hot else w.rng.randrange(MEMBERS)
        plan, width = ("basic", WIDE) if member % 2 else ("plus", NARROW)
        first = member * 7 % FLEET
        n = (first + min(w.rng.randrange(width), w.rng.randrange(width))) % FLEET  # not uniformly distributed
        units = w.rng.choice((1.0, 2.0))
        w.at(
            t,
            lambda n=n, m=member, p=plan, u=units, f=first, d=width: (  # type: ignore[misc]
                w.ask(n, m, p, u, f, d) if w.gateways[n] is not None else None
            ),
        )
    w.run(seconds)
    assert w.now == began + seconds


def rejected_share(w: World) -> float:
    """Fraction of requests that were not forwarded although half of the customer's quota was unused on arrival."""
    return len(w.rejected_within_quota) / max(1, w.asked)


def lost(w: World) -> None:
    w.loss = 0.7


def inbox_of_one(w: World) -> None:
    """The inbox of ingress 7 is flooded, so that it receives no message of other ingresses."""
    plain = w.accepts_message
    w.accepts_message = lambda target: target != 7 and plain(target)  # type: ignore[method-assign]


def heard_by_some(w: World) -> None:
    """Messages of ingress 7 reach only the lower half of the ingresses."""
    give = w.give
    w.give = lambda n, e, incarnation=None: (  # type: ignore[method-assign]
        None if getattr(e, "sender", None) == 7 and n >= FLEET // 2 else give(n, e, incarnation)
    )


def killed(w: World) -> None:
    """Kill 70% of the ingresses at once and restart them after a second."""
    gone = w.rng.sample(range(FLEET), 42)
    for n in gone:
        w.kill(n)
    w.at(1.0, lambda: [w.restart(n) for n in gone])


def silent(w: World) -> None:
    w.counters[0].silent = True


def split(w: World) -> None:
    other = CounterModel(250.0)
    w.counters = [other if n < FLEET // 2 else w.counters[0] for n in range(FLEET)]


def replaced(w: World) -> None:
    w.use_counter(CounterModel(250.0))


# Fault, maximum fraction of requests rejected with half of the quota unused, maximum units beyond quota for a customer
# with a large and with a small ingress set.
FAULTS: list[tuple[Callable[[World], None], float, float, float]] = [
    (lambda w: None, 0.02, BASIC.burst, 36.0),
    (lost, 0.12, 5 * BASIC.burst, 72.0),
    (inbox_of_one, 0.03, BASIC.burst, 36.0),
    (heard_by_some, 0.03, BASIC.burst, 36.0),
    (killed, 0.06, 3 * BASIC.burst, 72.0),
    (silent, 0.03, BASIC.burst, 36.0),
    (split, 0.03, BASIC.burst, 36.0),
    (replaced, 0.03, BASIC.burst, 36.0),
]


@pytest.mark.parametrize("fault,rejected,wide,narrow", FAULTS, ids=["calm", *(f.__name__ for f, *_ in FAULTS[1:])])
def test_sixty_ingresses_keep_serving_within_the_bounds_during_faults(fault, rejected, wide, narrow):
    w = fleet()
    load(w, 6.0)
    fault(w)
    w.asked, w.rejected_within_quota = 0, set()
    load(w, 5.0)
    assert rejected_share(w) <= rejected
    assert w.excess("basic")[0] <= wide and w.excess("plus")[0] <= narrow
    assert w.excess("plus")[1] <= bound_of(settings(0, FLEET), settings(0).plans[1], Assumptions(), NARROW).ceiling


def test_simultaneous_start_does_not_overflow_inboxes():
    w = fleet(offsets=tuple(n * 0.1 / FLEET for n in range(FLEET)))
    load(w, 5.0)
    assert w.overflowed == 0 and w.messages_sent / 5 / FLEET <= 60
    assert rejected_share(w) <= 0.02


def test_hot_member_with_half_of_the_traffic_overflows_no_inbox():
    w = fleet()
    load(w, 6.0, hot=0.5)
    assert w.overflowed == 0
    assert (
        w.excess("plus")[0] <= bound_of(settings(0, FLEET), settings(0).plans[1], Assumptions(), NARROW).quota_in_touch
    )


def test_member_that_moves_to_another_ingress_set_keeps_its_quota():
    """The account moves to another owner, which starts with a full bucket: one extra burst, once."""
    w = fleet()
    for second in range(12):
        for n in range(20):
            w.at(
                n / 20,
                lambda n=n, f=0 if second < 6 else 30: w.ask(  # type: ignore[misc]
                    (f + n * 7) % FLEET, 1, "basic", 2.0, f, WIDE
                ),
            )
        w.run(1.0)
    quota, _ = w.excess("basic")
    assert quota <= BASIC.burst + 4.0 and w.kept() > 0.9


@pytest.mark.parametrize("width", [1, FLEET])
def test_quota_is_kept_for_sets_of_one_and_of_all_ingresses(width):
    w = fleet()
    for n in range(200):
        w.at(
            n / 20,
            lambda n=n: w.ask(  # type: ignore[misc]
                (59 + n * 7 % width) % FLEET, 1, "basic", 1.0, 59, width
            ),
        )
    w.run(11.0)
    assert 0.85 <= w.kept() <= 1.15 and w.excess("basic")[0] <= 4.0


@pytest.mark.parametrize("instances", [16, 60, 200])
def test_messages_per_ingress_do_not_grow_with_the_number_of_ingresses(instances):
    """Each ingress gets eight requests a second, whatever their number; a third of the ingress sets are large."""
    w = World(2, instances)  # all ingresses have just started
    w.use_counter(CounterModel(4.0 * instances))
    w.inbox = 100.0
    t = 0.0
    w.at(1.0, w.rejected_within_quota.clear)  # just after a start only guaranteed shares of ceilings are available
    while (t := t + w.rng.expovariate(8.0 * instances)) < 3.0:
        member = w.rng.randrange(4 * instances)
        plan, width = ("basic", max(11, instances // 2)) if member % 3 == 0 else ("plus", NARROW)
        first = member * 7 % instances
        w.at(
            t,
            lambda m=member, p=plan, f=first, d=width: w.ask(  # type: ignore[misc]
                (f + w.rng.randrange(d)) % instances, m, p, 1.0, f, d
            ),
        )
    w.run(3.0)
    assert w.messages_sent / 3 / instances <= 60 and w.overflowed == 0 and rejected_share(w) <= 0.01


def test_wide_member_without_owner_and_counter_is_admitted_once_per_ingress():
    """Each ingress admits one request, the term W x u (width x largest request) of the bound.

    Rejecting all would be the effect of shares below one unit; admitting without a limit would exceed the bound.
    """
    w = fleet()
    w.run(1.0)
    w.counters[0].silent, w.loss = True, 1.0
    for n in range(3 * FLEET):
        w.at(n / 30, lambda n=n: w.ask(n % FLEET, 1, "basic", 4.0, 0, FLEET))  # type: ignore[misc]
    w.run(8.0)
    assert FLEET - 2 <= w.served <= FLEET + FLEET // 10  # one per ingress, plus the refill in the meantime
    assert w.excess("basic")[0] <= bound_of(settings(0, FLEET), BASIC, Assumptions()).quota_cut_off


def test_bound_states_its_assumptions_for_large_deployments():
    parsed = settings(0, 200)
    wide, narrow = bound_of(parsed, BASIC, Assumptions(), 120), bound_of(parsed, parsed.plans[1], Assumptions(), 13)
    few = bound_of(settings(0, 3), parsed.plans[1], Assumptions(), 3)
    assert wide.quota_in_touch < 4 * BASIC.burst  # depends on the number of owner candidates, not on the set's size
    assert narrow.staleness > few.staleness  # the update rate is divided among 24 peers
    lines = format_table(parsed, Assumptions())
    assert len(lines) < 40 and "inboxes take in 100" in "".join(lines)
    assert "inboxes" not in "".join(format_table(settings(0, 3), Assumptions()))


def test_ceiling_is_kept_if_peers_receive_nothing_and_an_overloaded_counter_answers_few_calls():
    """Guards against treating occasional counter totals as messages of peers.

    With that fault each ingress admitted requests by its own bucket alone for a minute.
    """
    w = fleet(per_s=30.0)
    load(w, 4.0)  # the counter is overloaded, so most decisions are made without it
    w.isolated = set(range(FLEET))
    for n in range(800):  # one customer requests 100 units a second through all ingresses of its set
        w.at(n / 100, lambda n=n: w.ask(n % NARROW, 0, "plus", 1.0, 0, NARROW))  # type: ignore[misc]
    load(w, 8.0, rate=100.0)
    assert w.excess("plus")[1] <= CEILING_SLACK  # 251 units with messages alone, 11 with messages of the last second


@pytest.mark.parametrize(
    "width,lost,quiet,per_s",
    [(4, 1.0, True, 240.0), (4, 1.0, False, 30.0), (8, 0.7, True, 240.0), (13, 1.0, True, 240.0)],
)
def test_ceiling_is_kept_in_a_spike_that_coincides_with_message_loss(width, lost, quiet, per_s):
    """Guards against enforcing a ceiling by peers' messages of the last second instead of by shares.

    By such messages the four cases exceeded the ceiling by 110, 41, 16 and 48 units; by shares they do not.
    """
    w = fleet(per_s=per_s)
    for n in range(30):
        w.at(4.0 + n / 5, lambda n=n: w.ask(n % width, 1000, "plus", 1.0, 0, width))  # type: ignore[misc]
    load(w, 6.0, rate=600.0)
    w.counters[0].silent, w.loss = quiet, lost
    for n in range(600):
        w.at(n / 200, lambda n=n: w.ask(n % width, 1000, "plus", 1.0, 0, width))  # type: ignore[misc]
    load(w, 3.0, rate=200.0)
    assert w.excess("plus")[1] <= CEILING_SLACK


def test_request_waits_for_shares_transferred_from_peers():
    """One of twelve ingresses gets all requests of a customer, each for four units.

    If requests were rejected immediately, only 26 of 30 would be served, as peers' transfers arrive too late for the
    others.
    """
    w = fleet()
    w.counters[0].silent = True
    for n in range(30):
        w.at(2.0 + n / 3, lambda: w.ask(3, 1000, "plus", 4.0, 0, 12))
    w.run(14.0)
    assert w.served >= 28 and w.excess("plus")[1] <= CEILING_SLACK and w.slowest <= 0.35


def test_usage_in_lost_messages_does_not_cause_a_deficit():
    """Guards against charging the usage of a whole period of lost messages at once when messages arrive again.

    With that fault six seconds of usage were charged at once, and buckets stayed at -20 to -43 units for five seconds.
    """
    w = World(1, FLEET)
    w.ask(0, 1000, "plus", 1.0, 0, NARROW)
    bucket = w.gateways[0].replication.customers[1000]

    def update(total: int, new: int) -> None:
        w.give(0, events.PeerMessage(1, USAGE_MARK + USAGE_ENTRY.pack(encode_customer(1, 1000), total, new, 100)))

    update(4 * 2, 4 * 2)
    w.run(2.0)
    assert bucket.headroom(w.now) == 36.0
    update(4 * 62, 4 * 6)  # the total has grown by 60 units, of which 6 are recent
    assert bucket.headroom(w.now) == 0.0
    w.run(1.0)
    assert bucket.headroom(w.now) == 16.0
    update(4 * 82, 4 * 20)  # no message was lost, so the peer's recent usage counts in full
    assert bucket.headroom(w.now) == -4.0
