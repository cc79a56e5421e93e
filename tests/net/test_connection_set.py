"""FAULT: a storm of connections held descriptors and memory beyond their bounds, and sorted them all at each accept."""

import itertools

import pytest

from thistleusher.net.connection_limits import (
    CONNECTION_BYTES,
    RESERVED_DESCRIPTORS,
    SPARE_DESCRIPTORS,
    core_connections,
    proxy_connections,
)
from thistleusher.net.connection_set import BATCH, ConnectionSet

MB = 1024 * 1024


class Connection:
    """A connection as its set sees it."""

    serial = itertools.count()

    def __init__(self, *, idle=False, has_sent_request=False, answered=False):
        self.answered = answered
        self.idle, self.has_sent_request = idle, has_sent_request
        self.last_activity = next(Connection.serial)
        self.over_limit = self.closed = self.aborted = False
        self.looked_at = 0

    def is_answered(self):
        return self.answered and not self.aborted

    def is_idle(self):
        self.looked_at += 1
        return self.idle and not self.closed

    def awaits_first_request(self):
        return not self.has_sent_request

    def close(self):
        self.closed = True

    def abort(self):
        self.aborted = True


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def filled(connections, max_surplus=2):
    clock = Clock()
    held = ConnectionSet(clock, len(connections), max_surplus)
    assert all(held.add(each) for each in connections)
    clock.now += 1.0
    return held, clock


def test_idle_connections_make_room_first_those_that_never_sent_a_request():
    used, silent, busy = Connection(idle=True, has_sent_request=True), Connection(idle=True), Connection()
    held, clock = filled([used, silent, busy])
    for expected in (silent, used):
        new = Connection()
        assert held.add(new) and expected.closed and not new.over_limit
        clock.now += 1.0
    assert not busy.closed


def test_a_connection_that_is_answered_and_not_closed_by_its_client_makes_room_before_idle_ones():
    answered, idle = Connection(answered=True), Connection(idle=True)
    held, _ = filled([answered, idle])
    new = Connection()
    assert held.add(new) and answered.aborted and not idle.closed and not new.over_limit
    assert len(held.open) == 2


def test_without_an_idle_one_a_few_are_answered_and_then_the_oldest_without_a_request_goes():
    working, slow, slower = Connection(has_sent_request=True), Connection(), Connection()
    slow.last_activity, slower.last_activity = -1, -2
    held, clock = filled([working, slow, slower])
    surplus = [Connection(), Connection()]
    assert all(held.add(each) and each.over_limit for each in surplus)
    clock.now += 1.0
    assert held.add(Connection()) and slower.aborted and not slow.aborted
    assert held.add(Connection()) and slow.aborted
    assert len(held.open) == 5


def test_a_new_connection_is_closed_unread_if_all_others_are_at_work():
    held, _ = filled([Connection(has_sent_request=True) for _ in range(3)], max_surplus=0)
    assert not held.add(Connection()) and len(held.open) == 3


def test_a_storm_does_not_look_at_all_connections_for_each_new_one():
    connections = [Connection() for _ in range(2000)]
    held, _ = filled(connections)
    for _ in range(500):
        held.add(Connection())
    assert max(each.looked_at for each in connections) <= 2
    idle = [Connection(idle=True) for _ in range(2000)]
    held, _ = filled(idle)
    for _ in range(BATCH):
        held.add(Connection())
    assert max(each.looked_at for each in idle) <= 3


@pytest.mark.parametrize("descriptors", [600, 1024, 4096, 4100])
@pytest.mark.parametrize("memory_mb", [96, 200, 300])
def test_all_connections_of_a_program_are_within_its_descriptors_and_memory(descriptors, memory_mb):
    proxy = proxy_connections(descriptors, memory_mb)
    assert sum(proxy) + SPARE_DESCRIPTORS <= descriptors - RESERVED_DESCRIPTORS
    assert proxy.clients * CONNECTION_BYTES <= 0.15 * memory_mb * MB
    for takes_calls in (True, False):
        core = core_connections(descriptors, memory_mb, takes_calls=takes_calls)
        assert sum(core) + SPARE_DESCRIPTORS <= descriptors - RESERVED_DESCRIPTORS
        assert core.links * CONNECTION_BYTES <= 0.15 * memory_mb * MB


def test_the_bounds_leave_the_deployments_and_the_target_what_they_need():
    assert proxy_connections(4100, 200).clients == proxy_connections(4100, 300).clients == 1890
    assert core_connections(4096, 296, takes_calls=True).links >= 2800  # the target's ingresses
