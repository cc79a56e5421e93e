"""What the registry knows: the platform's list read whole or not at all, and who is up by more than one word."""

import json
import random

import pytest

from thistleusher.registry.instances import EMPTY, BackendPoller, Garbage
from thistleusher.registry.members import ALONE_S, SILENT_S, Members
from thistleusher.registry.registry import Call, Registry, Tell, ToControl
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


def read(survey, now, *pages):
    """A reading of some pages; what changed."""
    changes = None
    for body in pages:
        while survey.due(now) is None:
            now += 0.05
        changes = survey.page(now, body)
    return now, changes


def test_a_backend_that_drains_on_page_two_is_found():
    survey = BackendPoller(0.0, 47.0)
    now, changes = read(survey, 0.0, page(entry(1), entry(2), token="p-50"), page(entry(3)))
    assert changes.keys() == {"i1", "i2", "i3"}
    now, changes = read(survey, now + 1, page(entry(1), entry(2), token="p-50"), page(entry(3, "draining")))
    assert set(changes) == {"i3"} and changes["i3"]["p"] == "draining"
    now, changes = read(survey, now + 1, page(entry(1), entry(2)))
    assert changes == {"i3": None}


def test_the_second_page_is_asked_for_by_its_token():
    survey = BackendPoller(0.0, 47.0)
    assert survey.due(0.0) == "/instances"
    survey.page(0.0, page(entry(1), token="p 50"))
    assert survey.due(0.0) is None and survey.due(0.1) == "/instances?page_token=p%2050"


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
    survey = BackendPoller(0.0, 47.0)
    now, _ = read(survey, 0.0, page(entry(1), entry(2)))
    while survey.due(now) is None:
        now += 0.05
    with pytest.raises(Garbage):
        survey.page(now, body)
    assert set(survey.entries) == {"i1", "i2"}
    _, changes = read(survey, now + 2, page(entry(1), entry(2)))
    assert changes == {}


def test_half_a_list_is_no_list():
    survey = BackendPoller(0.0, 47.0)
    now, _ = read(survey, 0.0, page(entry(1), token="p"), page(entry(2)))
    now, _ = read(survey, now + 1, page(entry(1), token="p"))
    survey.due(now + 1)
    survey.failed(now + 1)  # the second page never comes
    assert set(survey.entries) == {"i1", "i2"}
    assert survey.due(now + 3) == "/instances"  # from the start again


def test_an_empty_list_is_believed_only_after_some_readings():
    survey = BackendPoller(0.0, 47.0)
    now, _ = read(survey, 0.0, page(entry(1)))
    for n in range(EMPTY):
        now, changes = read(survey, now + 1, page())
        assert (changes is None) == (n < EMPTY - 1)
    assert changes == {"i1": None}


def test_calls_stay_below_the_platforms_bound_and_back_off_after_a_429():
    survey, calls, now = BackendPoller(0.0, 4.0), 0, 0.0
    while now < 10.0:
        if survey.due(now) is not None:
            calls += 1
            survey.page(now, page(entry(1), token="more" if calls % 3 else None))
        now += 0.01
    assert calls <= 10 * 4.0 * 0.5 + 1
    survey.due(now + 1)
    survey.failed(now + 1, 429)
    assert survey.due(now + 1.9) is None and survey.due(now + 2.1) is not None


def test_a_cold_backend_is_told_of_once_and_again_when_it_is_warm():
    survey = BackendPoller(0.0, 47.0)
    now, changes = read(survey, 0.0, page(entry(1, cold=3000)))
    assert changes["i1"]["cold"] == 3000
    now, changes = read(survey, now + 1.0, page(entry(1, cold=2000)))
    assert changes == {}
    now, changes = read(survey, now + 1.0, page(entry(1, cold=3500)))  # cold anew
    assert changes["i1"]["cold"] == 3500
    now, changes = read(survey, now + 4.0, page(entry(1)))
    assert changes["i1"]["cold"] == 0


def test_a_verdict_needs_more_than_one_word():
    members = Members()
    for node in "abcd":
        members.here(0.0, node, {"front": node}, "1", True, [])
    for at in (0.5, 1.0):
        for node in "abcd" if at == 0.5 else "bcd":
            members.here(at, node, {"front": node}, "1", True, ["a"] if node == "b" else [])
    assert members.listed(1.0)["a"]["up"]  # one watcher's word
    members.here(1.1, "c", {"front": "c"}, "1", True, ["a"])
    assert not members.listed(1.1)["a"]["up"]  # two watchers'
    members.here(1.2, "a", {"front": "a"}, "1", True, [])
    for at in (2.0, 2.6):
        for node in "bcd":
            members.here(at, node, {"front": node}, "1", True, [])
    assert members.listed(1.2 + SILENT_S + 0.3)["a"]["up"]  # silent here alone
    assert not members.listed(1.2 + ALONE_S)["a"]["up"]  # for too long
    members.here(4.0, "d", {"front": "d"}, "1", False, [])
    assert not members.listed(4.0)["d"]["up"]  # it says so itself, as it ends


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
        asked = [out.message for out in registry.tick(now) if isinstance(out, ToControl)]
        requests = [message for message in asked if isinstance(message, LeaseRequest)]
        now += 0.06
    request = requests[0]
    for address in "123":
        registry.from_control(request.sent + 0.01, address, LeaseGranted("registrar", request.term, request.sent))
    return request.sent + 0.01


def holding_role(now=10.0):
    """A registry that holds the duty by three grants, with control state, and the follower `d`."""
    registry = Registry("m/1", "1", now, random.Random(1), 50.0, True)
    registry.from_control(now, "1", CoreInfo(("1", "2", "3"), 1, "2"))
    registry.from_control(now, "1", StateUpdate(1, 0, {"share:d": (1, 0.1)}))
    grant(registry, now)
    assert registry.holds_role
    registry.from_follower(now + 0.02, "d", SubscribeRequest("d", 0))
    return registry


PRESENCE = ProxyHeartbeat("x", 1.0, None)
CHARGE = Charge("x", 1, "t", 1, -1)


def told(outputs):
    return [type(out.message) for out in outputs if isinstance(out, Tell)]


def test_a_registry_that_was_stopped_beyond_its_lease_counts_and_echoes_nothing_before_its_next_tick():
    registry = holding_role()
    assert told(registry.from_follower(10.1, "d", PRESENCE)) == [HeartbeatEcho]
    assert len(told(registry.from_follower(10.1, "d", CHARGE))) == 1
    assert told(registry.from_follower(12.0, "d", CHARGE)) == told(registry.from_follower(12.0, "d", PRESENCE)) == []
    assert not registry.holds_role


def test_a_registry_that_was_stopped_beyond_its_lease_hands_out_no_list_to_one_that_comes():
    registry = holding_role()
    registry.tick(10.05)
    registry.answered(10.06, 200, page(entry(1)))
    assert told(registry.from_follower(10.1, "e", SubscribeRequest("e", 0))) == [StateUpdate]
    assert told(registry.from_follower(12.0, "f", SubscribeRequest("f", 0))) == []  # on the clock of that very input
    now = grant(registry, 12.5)  # the duty is held anew: those who came meanwhile are told
    assert registry.holds_role
    outputs = registry.tick(now + 0.1)
    assert {out.name for out in outputs if isinstance(out, Tell) and isinstance(out.message, StateUpdate)} == {
        "d",
        "e",
        "f",
    }


def test_an_answer_that_was_decided_within_the_lease_does_not_leave_after_it():
    registry = holding_role()
    assert registry.may_tell(10.1)
    assert not registry.may_tell(12.0) and not registry.holds_role
    grants = [LeaseGranted("registrar", registry.holder.term, 10.0)]  # lay in a socket meanwhile
    assert [registry.from_control(12.0, "1", message)[0] for message in grants] and not registry.holds_role


def test_a_message_that_nobody_here_takes_is_refused():
    registry = holding_role()
    for take in (
        lambda m: registry.from_follower(10.1, "d", m),
        lambda m: registry.from_control(10.1, "1", m),
        lambda m: registry.from_peer(10.1, m),
    ):
        with pytest.raises(UnexpectedMessageError):
            take(KeepAlive())


def test_an_older_epoch_does_not_replace_the_electorate_of_the_lease():
    registry = holding_role()
    registry.from_control(10.1, "4", CoreInfo(("1", "2", "4"), 3, "4"))
    registry.from_control(10.1, "1", CoreInfo(("1", "2", "3"), 2, "1"))
    asked = {out.address for out in registry.tick(10.5) if isinstance(out, ToControl)}
    assert asked >= {"4"} and "3" not in asked and registry.holder.attempt_delay_s == 0.0


def test_a_page_that_an_earlier_duty_asked_for_is_no_list_of_the_next():
    registry = holding_role()
    assert [o for o in registry.tick(10.05) if isinstance(o, Call)]
    registry.answered(10.06, 200, page(entry(1), token="p"))
    assert [o.target for o in registry.tick(10.2) if isinstance(o, Call)] == ["/instances?page_token=p"]
    registry._end_duty("lost")
    registry._begin_duty(10.3)  # again, while the second page is on its way
    assert registry.answered(10.31, 200, page(entry(2))) == [] and not registry.survey.read
    assert [o.target for o in registry.tick(10.4) if isinstance(o, Call)] == ["/instances"]
