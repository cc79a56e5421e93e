"""The programs of proxy and registry read the clock for each input, so that a paused process uses the right time."""

import random

from tests.registry.test_registry import PRESENCE, holding_role
from thistleusher.common.node_settings import Bounds
from thistleusher.proxy import program as proxy_program
from thistleusher.proxy.cluster_view import ClusterView
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.program import ProxyProgram
from thistleusher.registry import program as registry_program
from thistleusher.registry.program import RegistryProgram
from thistleusher.transport.messages import HeartbeatEcho


def proxy():
    decisions = Decisions("p", "z", "r", Bounds(), random.Random(1), 1.0)
    return ClusterView("p", "x", "r", lambda zone: "r", {}, decisions, 1.0)


class StoppedLoop:
    """An event loop whose current iteration began before the process was paused."""

    def time(self):
        return 10.1


class RecordedLink:
    """A connection that records the messages sent on it."""

    name, peer_address, host = "d", "ip-d", "c"

    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)


def test_a_registry_that_stood_still_answers_by_the_present_clock(monkeypatch):
    program, link = RegistryProgram.__new__(RegistryProgram), RecordedLink()
    program.loop, program.registry, program.subscribers = StoppedLoop(), holding_role(), {"d": link}
    clock = iter((10.1, 10.1, 10.2, 12.0, 12.0, 12.0))
    monkeypatch.setattr(registry_program.time, "monotonic", lambda: next(clock))
    program._receive_from_subscriber(link, PRESENCE)
    assert [type(message) for message in link.messages] == [HeartbeatEcho]
    program._receive_from_subscriber(
        link, PRESENCE
    )  # handled at 10.2; the process is paused before it sends the answer
    program._receive_from_subscriber(link, PRESENCE)
    assert len(link.messages) == 1 and not program.registry.holds_role


def test_a_message_on_a_replaced_connection_is_ignored():
    program, old, new = RegistryProgram.__new__(RegistryProgram), RecordedLink(), RecordedLink()
    program.registry, program.subscribers = holding_role(), {"d": new}
    program._receive_from_subscriber(old, PRESENCE)
    assert old.messages == new.messages == [] and program.registry.counter.shares.proxies["d"].incarnation == ""


def test_a_proxy_that_stood_still_handles_messages_by_the_present_clock(monkeypatch):
    program, view = ProxyProgram.__new__(ProxyProgram), proxy()
    program.loop, program.cluster_view = StoppedLoop(), view
    monkeypatch.setattr(proxy_program.time, "monotonic", lambda: 12.0)
    program._from_registry(
        RecordedLink(), HeartbeatEcho("c/1", 10.0, 5.0, 0.1)
    )  # was buffered in the socket during the pause
    assert view.counter == "" and view.decisions.quota.is_isolated(12.0)
