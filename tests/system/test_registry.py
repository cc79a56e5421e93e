"""What the registry knows: the platform's list read whole or not at all, and who is up by more than one word."""

import json
import random

import pytest

from thistleusher.registry.backend_poller import EMPTY_READINGS, BackendPoller, UnreadableAnswerError
from thistleusher.registry.members import SILENT_ALONE_S, SILENT_S, Members
from thistleusher.registry.outputs import CallPlatform, SendToControl, SendToSubscriber
from thistleusher.registry.registry import Registry
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.heartbeat_ring import SILENT_S as RING_S
from thistleusher.transport.heartbeat_ring import UPDATE_WAIT_S, HeartbeatRing
from thistleusher.transport.messages import (
    Charge,
    CoreInfo,
    HeartbeatEcho,
    KeepAlive,
    LeaseGranted,
    LeaseRequest,
    ProxyHeartbeat,
    StateUpdate,
    SubscribeRequest,
)


def entry(n, phase="ready", cold=0):
    return {
        "target": "s",
        "address": f"10.9.0.{n}:80",
        "zone": "z",
        "version": "v1",
        "capacity": 3,
        "phase": phase,
        "cold_left_ms": cold,
        "id": f"i{n}",
    }


def page(*entries, token=None):
    return json.dumps({"instances": list(entries), "next_token": token}).encode()


def read(poller, now, *pages):
    """A reading of some pages; what changed."""
    changes = None
    for body in pages:
        while poller.next_call(now) is None:
            now += 0.05
        changes = poller.receive_page(now, body)
    return now, changes


def test_a_backend_that_drains_on_page_two_is_found():
    poller = BackendPoller(0.0, 47.0)
    now, changes = read(poller, 0.0, page(entry(1), entry(2), token="p-50"), page(entry(3)))
    assert changes.keys() == {"i1", "i2", "i3"}
    now, changes = read(poller, now + 1, page(entry(1), entry(2), token="p-50"), page(entry(3, "draining")))
    assert set(changes) == {"i3"} and changes["i3"]["p"] == "draining"
    now, changes = read(poller, now + 1, page(entry(1), entry(2)))
    assert changes == {"i3": None}


def test_the_second_page_is_asked_for_by_its_token():
    poller = BackendPoller(0.0, 47.0)
    assert poller.next_call(0.0) == "/instances"
    poller.receive_page(0.0, page(entry(1), token="p 50"))
    assert poller.next_call(0.0) is None and poller.next_call(0.1) == "/instances?page_token=p%2050"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        page(entry(1))[:-9],
        json.dumps({"instances": [{"id": "i1"}]}).encode(),
        json.dumps({"instances": [dict(entry(1), address="nowhere")]}).encode(),
        b"\xff\xfe",
    ],
)
def test_garbage_leaves_the_list_as_it_was(body):
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1), entry(2)))
    while poller.next_call(now) is None:
        now += 0.05
    with pytest.raises(UnreadableAnswerError):
        poller.receive_page(now, body)
    assert set(poller.backends) == {"i1", "i2"}
    _, changes = read(poller, now + 2, page(entry(1), entry(2)))
    assert changes == {}


def test_half_a_list_is_no_list():
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1), token="p"), page(entry(2)))
    now, _ = read(poller, now + 1, page(entry(1), token="p"))
    poller.next_call(now + 1)
    poller.call_failed(now + 1)  # the second page never comes
    assert set(poller.backends) == {"i1", "i2"}
    assert poller.next_call(now + 3) == "/instances"  # from the start again


def test_an_empty_list_is_believed_only_after_some_readings():
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1)))
    for n in range(EMPTY_READINGS):
        now, changes = read(poller, now + 1, page())
        assert (changes is None) == (n < EMPTY_READINGS - 1)
    assert changes == {"i1": None}


def test_calls_stay_below_the_platforms_bound_and_back_off_after_a_429():
    poller, calls, now = BackendPoller(0.0, 4.0), 0, 0.0
    while now < 10.0:
        if poller.next_call(now) is not None:
            calls += 1
            poller.receive_page(now, page(entry(1), token="more" if calls % 3 else None))
        now += 0.01
    assert calls <= 10 * 4.0 * 0.5 + 1
    poller.next_call(now + 1)
    poller.call_failed(now + 1, 429)
    assert poller.next_call(now + 1.9) is None and poller.next_call(now + 2.1) is not None


def test_a_cold_backend_is_told_of_once_and_again_when_it_is_warm():
    poller = BackendPoller(0.0, 47.0)
    now, changes = read(poller, 0.0, page(entry(1, cold=3000)))
    assert changes["i1"]["cold"] == 3000
    now, changes = read(poller, now + 1.0, page(entry(1, cold=2000)))
    assert changes == {}
    now, changes = read(poller, now + 1.0, page(entry(1, cold=3500)))  # cold anew
    assert changes["i1"]["cold"] == 3500
    now, changes = read(poller, now + 4.0, page(entry(1)))
    assert changes["i1"]["cold"] == 0


def test_a_verdict_needs_more_than_one_word():
    members = Members()
    for node in "abcd":
        members.record_report(0.0, node, {"front": node}, "1", True, [])
    for at in (0.5, 1.0):
        for node in "abcd" if at == 0.5 else "bcd":
            members.record_report(at, node, {"front": node}, "1", True, ["a"] if node == "b" else [])
    assert members.entries(1.0)["a"]["up"]  # one watcher's word
    members.record_report(1.1, "c", {"front": "c"}, "1", True, ["a"])
    assert not members.entries(1.1)["a"]["up"]  # two watchers'
    members.record_report(1.2, "a", {"front": "a"}, "1", True, [])
    for at in (2.0, 2.6):
        for node in "bcd":
            members.record_report(at, node, {"front": node}, "1", True, [])
    assert members.entries(1.2 + SILENT_S + 0.3)["a"]["up"]  # silent here alone
    assert not members.entries(1.2 + SILENT_ALONE_S)["a"]["up"]  # for too long
    members.record_report(4.0, "d", {"front": "d"}, "1", False, [])
    assert not members.entries(4.0)["d"]["up"]  # it says so itself, as it ends


def test_each_ingress_is_watched_by_a_few_that_its_place_names():
    names = [f"n{k}" for k in range(9)]
    rings = {name: HeartbeatRing(name, 0.0) for name in names}
    for ring in rings.values():
        ring.set_members(0.0, names)
    for name, ring in rings.items():
        assert len(ring.watchers()) == 3 and name not in ring.watchers()
        assert all(name in rings[w].watched() for w in ring.watchers())
    watcher = rings[rings["n0"].watchers()[0]]
    watcher.record_heartbeat(0.5, "n0")
    assert watcher.silent(0.5 + RING_S + 0.1) >= {"n0"}
    assert watcher.record_heartbeat(3.0, "n0") and "n0" not in watcher.silent(3.1)
    mine = (7, 9)
    assert not watcher.needs_hand_over(6.0, "n0", (0, 0), mine)  # the core may bring it itself
    assert watcher.needs_hand_over(6.01 + UPDATE_WAIT_S, "n0", (0, 0), mine)  # it did not
    assert not watcher.needs_hand_over(6.1 + UPDATE_WAIT_S, "n0", (0, 0), mine)  # not at every beat
    for n in range(20):  # news that come all the time: it is a beat behind, and lacks nothing
        assert not watcher.needs_hand_over(7.0 + UPDATE_WAIT_S * n / 2, "n0", (n, n), (n + 1, n + 1))
    assert not watcher.needs_hand_over(9.0, "n0", mine, mine) and not watcher.needs_hand_over(
        9.0, "nobody", (0, 0), mine
    )
    assert "n0" in watcher.heartbeats_due(5.0)  # a silent one is called: it may come back knowing nothing


def grant(registry, now):
    """The registry asks for the duty, and all three control processes grant it."""
    requests = []
    while not requests:
        asked = [out.message for out in registry.tick(now) if isinstance(out, SendToControl)]
        requests = [message for message in asked if isinstance(message, LeaseRequest)]
        now += 0.06
    request = requests[0]
    for address in "123":
        registry.receive_from_control(
            request.sent + 0.01, address, LeaseGranted("registrar", request.term, request.sent)
        )
    return request.sent + 0.01


def holding_role(now=10.0):
    """A registry that holds the duty by three grants, with control state, and the follower `d`."""
    registry = Registry("m/1", "1", now, random.Random(1), 50.0, True)
    registry.receive_from_control(now, "1", CoreInfo(("1", "2", "3"), 1, "2"))
    registry.receive_from_control(now, "1", StateUpdate(1, 0, {"share:d": (1, 0.1)}))
    grant(registry, now)
    assert registry.holds_role
    registry.receive_from_subscriber(now + 0.02, "d", SubscribeRequest("d", 0))
    return registry


PRESENCE = ProxyHeartbeat("x", 1.0, None)
CHARGE = Charge("x", 1, "t", 1, -1)


def told(outputs):
    return [type(out.message) for out in outputs if isinstance(out, SendToSubscriber)]


def test_a_registry_that_was_stopped_beyond_its_lease_counts_and_echoes_nothing_before_its_next_tick():
    registry = holding_role()
    assert told(registry.receive_from_subscriber(10.1, "d", PRESENCE)) == [HeartbeatEcho]
    assert len(told(registry.receive_from_subscriber(10.1, "d", CHARGE))) == 1
    assert (
        told(registry.receive_from_subscriber(12.0, "d", CHARGE))
        == told(registry.receive_from_subscriber(12.0, "d", PRESENCE))
        == []
    )
    assert not registry.holds_role


def test_a_registry_that_was_stopped_beyond_its_lease_hands_out_no_list_to_one_that_comes():
    registry = holding_role()
    registry.tick(10.05)
    registry.platform_answered(10.06, 200, page(entry(1)))
    assert told(registry.receive_from_subscriber(10.1, "e", SubscribeRequest("e", 0))) == [StateUpdate]
    assert (
        told(registry.receive_from_subscriber(12.0, "f", SubscribeRequest("f", 0))) == []
    )  # on the clock of that very input
    now = grant(registry, 12.5)  # the duty is held anew: those who came meanwhile are told
    assert registry.holds_role
    outputs = registry.tick(now + 0.1)
    assert {
        out.name for out in outputs if isinstance(out, SendToSubscriber) and isinstance(out.message, StateUpdate)
    } == {
        "d",
        "e",
        "f",
    }


def test_an_answer_that_was_decided_within_the_lease_does_not_leave_after_it():
    registry = holding_role()
    assert registry.can_answer(10.1)
    assert not registry.can_answer(12.0) and not registry.holds_role
    grants = [LeaseGranted("registrar", registry.lease.term, 10.0)]  # lay in a socket meanwhile
    assert [registry.receive_from_control(12.0, "1", message)[0] for message in grants] and not registry.holds_role


def test_a_message_that_nobody_here_takes_is_refused():
    registry = holding_role()
    for take in (
        lambda m: registry.receive_from_subscriber(10.1, "d", m),
        lambda m: registry.receive_from_control(10.1, "1", m),
        lambda m: registry.receive_from_peer(10.1, m),
    ):
        with pytest.raises(UnexpectedMessageError):
            take(KeepAlive())


def test_an_older_epoch_does_not_replace_the_electorate_of_the_lease():
    registry = holding_role()
    registry.receive_from_control(10.1, "4", CoreInfo(("1", "2", "4"), 3, "4"))
    registry.receive_from_control(10.1, "1", CoreInfo(("1", "2", "3"), 2, "1"))
    asked = {out.address for out in registry.tick(10.5) if isinstance(out, SendToControl)}
    assert asked >= {"4"} and "3" not in asked and registry.lease.attempt_delay_s == 0.0


def test_a_page_that_an_earlier_duty_asked_for_is_no_list_of_the_next():
    registry = holding_role()
    assert [o for o in registry.tick(10.05) if isinstance(o, CallPlatform)]
    registry.platform_answered(10.06, 200, page(entry(1), token="p"))
    assert [o.target for o in registry.tick(10.2) if isinstance(o, CallPlatform)] == ["/instances?page_token=p"]
    registry._end_role("lost")
    registry._begin_role(10.3)  # again, while the second page is on its way
    assert registry.platform_answered(10.31, 200, page(entry(2))) == [] and not registry.poller.has_list
    assert [o.target for o in registry.tick(10.4) if isinstance(o, CallPlatform)] == ["/instances"]
