"""The registry's state machine: its actions while it holds the singleton role, and that they stop with the lease."""

import random

import pytest

from tests.registry.test_backend_poller import entry, page
from thistleusher.registry.outputs import CallPlatform, SendToControl, SendToSubscriber
from thistleusher.registry.registry import Registry
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import (
    AdmissionReport,
    AdmissionReportAck,
    Charge,
    CoreInfo,
    HeartbeatEcho,
    KeepAlive,
    LeaseGranted,
    LeaseRequest,
    ProxyHeartbeat,
    ProxyStatusReport,
    StateUpdate,
    SubscribeRequest,
)


def grant(registry, now):
    """Let the registry request the lease and all three control processes grant it; return the time of the grant."""
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
    """Return a registry that holds the role by three grants, with control state and the subscriber `d`."""
    registry = Registry("m/1", "1", now, random.Random(1), 50.0, True)
    registry.receive_from_control(now, "1", CoreInfo(("1", "2", "3"), 1, "2"))
    registry.receive_from_control(now, "1", StateUpdate(1, 0, {"share:d": (1, 0.1)}))
    grant(registry, now)
    assert registry.holds_role
    registry.receive_from_subscriber(now + 0.02, "d", SubscribeRequest("d", 0))
    return registry


PRESENCE = ProxyHeartbeat("x", 1.0, None)
CHARGE = Charge("x", 1, "t", 1, -1)


def sent_types(outputs):
    return [type(out.message) for out in outputs if isinstance(out, SendToSubscriber)]


def test_a_registry_paused_beyond_its_lease_counts_and_echoes_nothing_before_its_next_tick():
    registry = holding_role()
    assert sent_types(registry.receive_from_subscriber(10.1, "d", PRESENCE)) == [HeartbeatEcho]
    assert len(sent_types(registry.receive_from_subscriber(10.1, "d", CHARGE))) == 1
    assert (
        sent_types(registry.receive_from_subscriber(12.0, "d", CHARGE))
        == sent_types(registry.receive_from_subscriber(12.0, "d", PRESENCE))
        == []
    )
    assert not registry.holds_role


def test_a_registry_paused_beyond_its_lease_sends_no_list_to_a_new_subscriber():
    registry = holding_role()
    registry.tick(10.05)
    registry.receive_platform_response(10.06, 1, 200, page(entry(1)))
    assert sent_types(registry.receive_from_subscriber(10.1, "e", SubscribeRequest("e", 0))) == [StateUpdate]
    assert (
        sent_types(registry.receive_from_subscriber(12.0, "f", SubscribeRequest("f", 0))) == []
    )  # The lease is checked at the time of this input.
    now = grant(registry, 12.5)  # The role is acquired again: subscribers that connected in between get the list.
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
    grants = [LeaseGranted("registrar", registry.lease.term, 10.0)]  # Arrived during the pause.
    assert [registry.receive_from_control(12.0, "1", message)[0] for message in grants] and not registry.holds_role


def test_an_unexpected_message_is_rejected():
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


def test_a_page_requested_in_an_earlier_term_is_ignored_in_the_next():
    registry = holding_role()
    assert [o for o in registry.tick(10.05) if isinstance(o, CallPlatform)]
    registry.receive_platform_response(10.06, 1, 200, page(entry(1), token="p"))
    assert [o.target for o in registry.tick(10.2) if isinstance(o, CallPlatform)] == ["/instances?page_token=p"]
    registry._end_role("lost")
    registry._begin_role(10.3)  # A new term begins while the second page is in flight.
    assert registry.receive_platform_response(10.31, 2, 200, page(entry(2))) == [] and not registry.poller.has_list
    assert [o.target for o in registry.tick(10.4) if isinstance(o, CallPlatform)] == ["/instances"]


def test_a_counter_is_named_by_its_term_and_takes_reports_and_echoes_of_that_term_only():
    registry = holding_role()
    (echo,) = registry.receive_from_subscriber(10.1, "d", PRESENCE)
    name, term = echo.message.counter_name, registry.lease.term
    assert name == f"{registry.name}#{term}"
    later = ProxyHeartbeat("x", 1.1, (f"{registry.name}#{term - 1}", 10.1))
    registry.receive_from_subscriber(10.15, "d", later)  # It has received only an earlier term's echo.
    assert registry.counter.shares.proxies["d"].confirmed_at < 0
    registry.receive_from_subscriber(10.2, "d", ProxyHeartbeat("x", 1.2, (name, 10.1)))
    assert registry.counter.shares.proxies["d"].confirmed_at == 10.1
    report = AdmissionReport("x", name, 9.0, {})
    stale = AdmissionReport("x", f"{registry.name}#{term - 1}", 9.0, {})
    assert registry.receive_from_subscriber(10.2, "d", stale) == []
    assert registry.counter.shares.admissions_known_since == registry.counter.started_at
    assert [out.message for out in registry.receive_from_subscriber(10.2, "d", report)] == [AdmissionReportAck(name)]
    assert registry.counter.shares.admissions_known_since == pytest.approx(1.2)


def test_the_next_counter_awaits_the_report_of_a_listed_proxy_without_a_share():
    registry = holding_role()
    registry.receive_from_subscriber(10.1, "d", PRESENCE)
    attributes = {"front": "f", "ip": "i", "zone": "z", "region": "r"}
    registry.receive_from_subscriber(10.1, "e", ProxyStatusReport("y", 1.0, None, True, (), attributes))
    registry.tick(10.2)
    assert "e" in registry.list.members()
    registry._end_role("lost")
    registry._begin_role(10.3)
    assert "e" in registry.counter.shares.awaited_reports
