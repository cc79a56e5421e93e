"""What a proxy takes in, from whom, and that it never goes back; that both programs read the clock for each input."""

import random

import pytest

from tests.registry.test_registry import PRESENCE, holding_role
from thistleusher.common.node_settings import Bounds
from thistleusher.proxy import program as proxy_program
from thistleusher.proxy.cluster_view import ClusterView, Core, ToPeer, ToRing
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.program import Heartbeats, ProxyProgram
from thistleusher.registry import program as registry_program
from thistleusher.registry.program import RegistryProgram
from thistleusher.transport.codec import encode
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.heartbeat_ring import UPDATE_WAIT_S
from thistleusher.transport.messages import (
    CoreInfo,
    HandOver,
    HeartbeatEcho,
    Hello,
    KeepAlive,
    RingHeartbeat,
    StateUpdate,
)
from thistleusher.transport.state_updates import State


def entry(phase):
    return {"s": "s", "a": "10.9.0.1:80", "z": "z", "c": 1, "p": phase, "cold": 0.0}


def member(name):
    return {"front": f"{name}:1", "ip": f"ip-{name}", "region": "r", "zone": "z", "up": True}


def proxy():
    decisions = Decisions("p", "z", "r", Bounds(), random.Random(1), 1.0)
    return ClusterView("p", "x", "r", lambda zone: "r", {}, decisions, 1.0)


def states(number, phase, on):
    """The control state and the registry's list at a number."""
    return (
        State(number, {"evac:z": (number, {"on": on, "n": 1})}),
        State(number, {"b:i": (number, entry(phase)), "m:p": (1, member("p")), "m:q": (1, member("q"))}),
    )


def whole(state):
    return StateUpdate(state.number, None, state.items)


def test_an_old_copy_from_a_watcher_that_stood_still_takes_nothing_back():
    knowledge = proxy()
    control, registry = states(9, "draining", True)
    knowledge.from_control(1.0, whole(control))
    knowledge.from_registry(1.0, "c", whole(registry))
    old_control, old_list = states(4, "ready", False)
    assert knowledge.handed(2.0, HandOver("q", whole(old_control), whole(old_list))) == []
    partial = HandOver("q", old_control.update_since(2), old_list.update_since(2))
    assert knowledge.handed(2.0, partial) == []
    assert knowledge.decisions.ground.evacuated == {"z"} and knowledge.decisions.places["i"].draining
    assert (knowledge.control.state.number, knowledge.list.state.number) == (9, 9)


def test_one_that_knows_nothing_is_handed_a_copy_and_takes_it():
    watcher, fresh = proxy(), proxy()
    control, registry = states(9, "draining", True)
    watcher.from_control(1.0, whole(control))
    watcher.from_registry(1.0, "c", whole(registry))
    handed = []
    for at in (2.0, 2.1 + UPDATE_WAIT_S):
        handed += [out for out in watcher.beat(at, RingHeartbeat("q", 0, 0), "ip-q") if isinstance(out, ToPeer)]
    fresh.handed(3.0, handed[0].message)
    assert fresh.known and fresh.decisions.places["i"].draining
    answers = proxy().beat(3.0, RingHeartbeat("q", 9, 9), "ip-q")
    assert answers == [ToRing("ip-q", RingHeartbeat("p", 0, 0))]  # it answers all, as it does not know its watchers


def test_an_older_epoch_does_not_bring_its_voters_back():
    knowledge = proxy()
    assert knowledge.from_control(1.0, CoreInfo(("1", "2", "4"), 3, "4"))[0] == [Core(("1", "2", "4"))]
    assert knowledge.from_control(1.0, CoreInfo(("1", "2", "3"), 2, "1"))[0] == []
    assert knowledge.core.voters == ("1", "2", "4")


def test_a_message_that_a_proxy_does_not_take_is_refused_and_a_datagram_dropped():
    knowledge = proxy()
    for take in (
        lambda: knowledge.from_control(1.0, KeepAlive()),
        lambda: knowledge.from_registry(1.0, "c", KeepAlive()),
    ):
        with pytest.raises(UnexpectedMessageError):
            take()
    heard = []
    beats = Heartbeats(lambda beat, ip: heard.append((beat, ip)))
    for data in (
        b"",
        b"\xff",
        encode(Hello("x")),
        encode(RingHeartbeat("q", 1, 2))[:-1],
        encode(RingHeartbeat("q", 1, 2)),
    ):
        beats.datagram_received(data, ("ip-q", 7))
    assert heard == [(RingHeartbeat("q", 1, 2), "ip-q")]


class StoppedLoop:
    """An event loop whose iteration began before the process stood still."""

    def time(self):
        return 10.1


class Sent:
    """A connection, and what was sent on it."""

    name, peer_address, host = "d", "ip-d", "c"

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def test_a_registry_that_goes_on_answers_by_the_clock_of_that_moment(monkeypatch):
    program, link = RegistryProgram.__new__(RegistryProgram), Sent()
    program.loop, program.registry, program.subscribers = StoppedLoop(), holding_role(), {"d": link}
    clock = iter((10.1, 10.1, 10.2, 12.0, 12.0, 12.0))
    monkeypatch.setattr(registry_program.time, "monotonic", lambda: next(clock))
    program._from_subscriber(link, PRESENCE)
    assert [type(message) for message in link.messages] == [HeartbeatEcho]
    program._from_subscriber(link, PRESENCE)  # decided at 10.2, and it stood still before the answer left
    program._from_subscriber(link, PRESENCE)
    assert len(link.messages) == 1 and not program.registry.holds_role


def test_a_message_on_a_connection_that_a_newer_one_replaced_is_not_heard():
    program, old, new = RegistryProgram.__new__(RegistryProgram), Sent(), Sent()
    program.registry, program.subscribers = holding_role(), {"d": new}
    program._from_subscriber(old, PRESENCE)
    assert old.messages == new.messages == [] and program.registry.counter.ingresses["d"].incarnation == ""


def test_a_proxy_that_goes_on_takes_messages_by_the_clock_of_that_moment(monkeypatch):
    program, knowledge = ProxyProgram.__new__(ProxyProgram), proxy()
    program.loop, program.knowledge = StoppedLoop(), knowledge
    monkeypatch.setattr(proxy_program.time, "monotonic", lambda: 12.0)
    program._from_registry(Sent(), HeartbeatEcho("c/1", 10.0, 5.0, 0.1))  # lay in the socket while it stood still
    assert knowledge.counter == "" and knowledge.decisions.quota.alone(12.0)
