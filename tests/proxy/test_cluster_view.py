"""What a proxy takes in, from whom, and that its state never goes back."""

import random

import pytest

from thistleusher.common.node_settings import Bounds
from thistleusher.proxy.cluster_view import ClusterView
from thistleusher.proxy.commands import ConnectToCore, SendHandOver, SendHeartbeat
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.ring_socket import RingSocket
from thistleusher.transport.codec import encode
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.heartbeat_ring import UPDATE_WAIT_S
from thistleusher.transport.messages import (
    CoreInfo,
    HandOver,
    Hello,
    KeepAlive,
    RingHeartbeat,
    StateUpdate,
)
from thistleusher.transport.state_updates import State


def backend_item(phase):
    return {"s": "s", "a": "10.9.0.1:80", "z": "z", "c": 1, "p": phase, "cold": 0.0}


def member_item(name):
    return {"front": f"{name}:1", "ip": f"ip-{name}", "region": "r", "zone": "z", "up": True}


def proxy():
    decisions = Decisions("p", "z", "r", Bounds(), random.Random(1), 1.0)
    return ClusterView("p", "x", "r", lambda zone: "r", {}, decisions, 1.0)


def states(number, phase, on):
    """The control state and the registry's list at a number."""
    return (
        State(number, {"evac:z": (number, {"on": on, "n": 1})}),
        State(
            number, {"b:i": (number, backend_item(phase)), "m:p": (1, member_item("p")), "m:q": (1, member_item("q"))}
        ),
    )


def complete(state):
    return StateUpdate(state.number, None, state.items)


def test_a_stale_hand_over_takes_nothing_back():
    view = proxy()
    control, registry = states(9, "draining", True)
    view.from_control(1.0, complete(control))
    view.from_registry(1.0, "c", complete(registry))
    old_control, old_list = states(4, "ready", False)
    assert view.handed_over(2.0, HandOver("q", complete(old_control), complete(old_list))) == []
    partial = HandOver("q", old_control.update_since(2), old_list.update_since(2))
    assert view.handed_over(2.0, partial) == []
    assert view.decisions.selector.locality.evacuated_zones == {"z"} and view.decisions.selector.listed["i"].draining
    assert (view.control.state.number, view.registry.state.number) == (9, 9)


def test_a_proxy_without_state_is_handed_a_copy_and_applies_it():
    watcher, fresh = proxy(), proxy()
    control, registry = states(9, "draining", True)
    watcher.from_control(1.0, complete(control))
    watcher.from_registry(1.0, "c", complete(registry))
    commands = []
    for at in (2.0, 2.1 + UPDATE_WAIT_S):
        commands += watcher.heartbeat_received(at, RingHeartbeat("q", 0, 0), "ip-q")
    copies = [command.message for command in commands if isinstance(command, SendHandOver)]
    fresh.handed_over(3.0, copies[0])
    assert fresh.has_list and fresh.decisions.selector.listed["i"].draining
    answers = proxy().heartbeat_received(3.0, RingHeartbeat("q", 9, 9), "ip-q")
    # It answers all, as it does not know its watchers.
    assert answers == [SendHeartbeat("ip-q", RingHeartbeat("p", 0, 0))]


def test_an_older_epoch_does_not_restore_its_voters():
    view = proxy()
    assert view.from_control(1.0, CoreInfo(("1", "2", "4"), 3, "4"))[0] == [ConnectToCore(("1", "2", "4"))]
    assert view.from_control(1.0, CoreInfo(("1", "2", "3"), 2, "1"))[0] == []
    assert view.core.voters == ("1", "2", "4")


def test_an_unexpected_message_is_an_error_and_an_unexpected_datagram_is_dropped():
    view = proxy()
    for take in (
        lambda: view.from_control(1.0, KeepAlive()),
        lambda: view.from_registry(1.0, "c", KeepAlive()),
    ):
        with pytest.raises(UnexpectedMessageError):
            take()
    received = []
    socket = RingSocket(lambda heartbeat, ip: received.append((heartbeat, ip)))
    for data in (
        b"",
        b"\xff",
        encode(Hello("x")),
        encode(RingHeartbeat("q", 1, 2))[:-1],
        encode(RingHeartbeat("q", 1, 2)),
    ):
        socket.datagram_received(data, ("ip-q", 7))
    assert received == [(RingHeartbeat("q", 1, 2), "ip-q")]
