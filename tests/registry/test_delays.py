"""Delays between a change at the platform and its arrival at subscribers: they are logged, and repaired by retries."""

from tests.registry.test_backend_poller import entry, page
from tests.registry.test_registry import holding_role
from thistleusher.common.events import Event
from thistleusher.registry.outputs import CallPlatform, LogEvent, SendToControl, SendToSubscriber
from thistleusher.registry.subscriber_watch import LAG_THRESHOLD_S, MAX_REPORT_INTERVAL_S, SubscriberWatch
from thistleusher.transport.messages import LeaseGranted, LeaseRequest, StateUpdate, StateUpdateAck

TICK_S = 0.06


def run(registry, now, until, answer=None, acknowledges=True):
    """Run ticks and renew the lease; return the outputs with their times.

    `answer` is the body of the platform's response to each call, or None if it never responds. `acknowledges` is
    whether the subscriber `d` acknowledges updates.
    """
    outputs = []
    while now < until:
        now += TICK_S
        due = registry.tick(now)
        for out in due:
            if isinstance(out, CallPlatform) and answer is not None:
                due = due + registry.receive_platform_response(now, out.number, 200, answer)
            elif isinstance(out, SendToControl) and isinstance(out.message, LeaseRequest):
                granted = LeaseGranted("registrar", out.message.term, out.message.sent)
                for address in "123":
                    registry.receive_from_control(now, address, granted)
        for out in due:
            if acknowledges and isinstance(out, SendToSubscriber) and isinstance(out.message, StateUpdate):
                registry.receive_from_subscriber(now, out.name, StateUpdateAck(out.message.number))
        outputs += [(now, out) for out in due]
    assert registry.holds_role
    return outputs


def logged(outputs, event):
    return [out.fields for _, out in outputs if isinstance(out, LogEvent) and out.event is event]


def updates(outputs):
    return [out.message for _, out in outputs if isinstance(out, SendToSubscriber) and type(out.message) is StateUpdate]


def test_without_delays_none_is_logged_and_each_drain_is_logged_once():
    registry = holding_role()
    undisturbed = run(registry, 10.1, 14.0, page(entry(1), entry(2)))
    drained = run(registry, 14.0, 18.0, page(entry(1), entry(2, "draining")))
    for outputs in (undisturbed, drained):
        assert not logged(outputs, Event.LIST_OVERDUE) and not logged(outputs, Event.SUBSCRIBER_LAGS)
    assert logged(drained, Event.BACKEND_DRAINING) == [(registry.list.state.number, "i2")]


def test_a_list_that_is_no_longer_read_is_logged_with_its_age():
    registry = holding_role()
    run(registry, 10.1, 12.0, page(entry(1)))
    ages = [float(age) for (age,) in logged(run(registry, 12.0, 17.0), Event.LIST_OVERDUE)]
    assert len(ages) == 3 and 1.4 < ages[0] < 2.1 and ages == sorted(ages)


def test_a_subscriber_that_does_not_acknowledge_is_logged():
    registry = holding_role()
    outputs = run(registry, 10.1, 14.5, page(entry(1)), acknowledges=False)
    ((name, has, number, stalled_s),) = logged(outputs, Event.SUBSCRIBER_LAGS)
    assert (
        (name, number) == ("d", registry.list.state.number)
        and has < number
        and LAG_THRESHOLD_S <= stalled_s < LAG_THRESHOLD_S + 0.5
    )


def test_what_a_subscriber_does_not_acknowledge_is_sent_again():
    registry = holding_role()
    run(registry, 10.1, 12.0, page(entry(1), entry(2)))
    lost = updates(run(registry, 12.0, 13.0, page(entry(1), entry(2, "draining")), acknowledges=False))
    again = updates(run(registry, 13.0, 16.0, page(entry(1), entry(2, "draining"))))
    assert [message.number for message in lost] == [message.number for message in again] and len(lost) == 1
    assert again[0].items["b:i2"][1]["p"] == "draining" and again[0].base == lost[0].base


def test_a_lagging_subscriber_is_reported_at_increasing_intervals_that_progress_resets():
    watch = SubscriberWatch()
    times = [n / 4 for n in range(200) if watch.check(n / 4, 7, {"a": 3, "b": 7})]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert (
        1.5 < times[0] < 2.1
        and gaps == sorted(gaps)
        and MAX_REPORT_INTERVAL_S <= gaps[-1] < MAX_REPORT_INTERVAL_S + 0.5
    )
    assert watch.check(50.0, 7, {"a": 4}) == watch.check(51.0, 7, {"a": 4}) == [] and watch.check(52.0, 7, {"a": 4})
    assert watch.check(60.0, 7, {}) == watch.check(60.1, 7, {"a": 4}) == []  # Reconnected: its lag restarts.


def test_a_call_to_the_platform_that_never_ends_does_not_stop_polling():
    registry = holding_role()
    run(registry, 10.1, 12.0, page(entry(1), entry(2)))
    calls = [at for at, out in run(registry, 12.0, 17.0) if isinstance(out, CallPlatform)]
    assert len(calls) >= 2
    run(registry, 17.0, 20.0, page(entry(1), entry(2, "draining")))
    assert registry.list.backends()["i2"]["p"] == "draining"


def test_the_response_to_an_abandoned_call_is_dropped():
    registry = holding_role()
    calls = [out.number for _, out in run(registry, 10.1, 12.3) if isinstance(out, CallPlatform)]
    assert calls == [1, 2]
    assert registry.receive_platform_response(12.31, 1, 200, page(entry(1))) == [] and not registry.poller.has_list
    assert registry.receive_platform_response(12.32, 2, 200, page(entry(2))) and set(registry.list.backends()) == {"i2"}
