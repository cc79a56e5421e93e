"""The sliding-window count of admitted requests, in slots."""

import random

from thistleusher.common.quota_timing import SLOTS_PER_SPAN
from thistleusher.registry.span_count import SpanCount

SLOT_S = 0.25
SPAN_S = SLOT_S * SLOTS_PER_SPAN


def test_drawn_additions_in_any_order_leave_the_span_one_slot_late_at_most():
    rng = random.Random(5)
    for _ in range(200):
        now, count, added = 100.0, SpanCount(SLOT_S), []
        for _ in range(40):
            now += rng.random()
            at = now - rng.choice([0.0, 0.0, rng.random() * SPAN_S])
            count.add(at, 1.0)
            added.append(at)
            count.drop_expired(now)
            in_span = sum(1 for each in added if each > now - SPAN_S)
            in_span_or_slot = sum(1 for each in added if each > now - SPAN_S - SLOT_S)
            assert in_span <= count.total <= in_span_or_slot
            numbers = [slot.number for slot in count.slots]
            assert numbers == sorted(set(numbers))


def test_at_most_the_count_of_its_slot_is_subtracted():
    count = SpanCount(SLOT_S)
    count.add(10.0, 2.0)
    count.add(11.0, 1.0)
    count.subtract(10.1, 5.0)
    count.subtract(20.0, 1.0)
    assert count.total == 1.0
