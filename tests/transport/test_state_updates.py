"""Numbered state updates: gaps, complete states, and numbers that never decrease."""

import random

from thistleusher.transport.messages import StateUpdateAck, SubscribeRequest
from thistleusher.transport.state_updates import Publisher, State, Subscriber


def test_a_subscriber_receives_changes_and_acknowledges_them():
    publisher, subscriber = Publisher(State()), Subscriber()
    publisher.state.apply(1, {"a": 1})
    ((name, message),) = publisher.subscribe("f", 0)
    changed, reply = subscriber.apply(message)
    assert (changed, reply) == ({"a": 1}, StateUpdateAck(1))
    publisher.acknowledge(name, 1)
    publisher.state.apply(2, {"b": 2, "a": None})
    ((_, message),) = publisher.updates_due()
    assert subscriber.apply(message)[0] == {"a": None, "b": 2}
    assert publisher.acknowledged_count() == (0, 1)
    publisher.acknowledge("f", 2)
    assert publisher.acknowledged_count() == (1, 1) and publisher.updates_due() == []


def test_a_gap_is_answered_with_the_complete_state():
    publisher, subscriber = Publisher(State()), Subscriber("f")
    for number in range(1, 4):
        publisher.state.apply(number, {f"k{number}": number})
    late = publisher.state.update_since(2)
    changed, reply = subscriber.apply(late)
    assert changed is None and reply == SubscribeRequest("f", 0)
    ((_, message),) = publisher.subscribe("f", reply.number)
    assert subscriber.apply(message)[0] == {"k1": 1, "k2": 2, "k3": 3}


def test_an_older_publisher_changes_nothing():
    subscriber = Subscriber("f", State(9, {"a": (9, "new")}))
    old = Publisher(State(5, {"a": (5, "old")}))
    for _, message in old.subscribe("f", 9):
        assert subscriber.apply(message)[0] is None
    assert subscriber.state.value("a") == "new" and subscriber.state.number == 9


def test_items_missing_from_a_complete_state_are_removed():
    subscriber = Subscriber("f", State(3, {"a": (1, 1), "b": (3, 2)}))
    complete = State(8, {"b": (3, 2)}, floor=8).update_since(3)
    assert complete.base is None
    assert subscriber.apply(complete)[0] == {"a": None}
    assert subscriber.state.values("") == {"b": 2}


def test_subscribers_agree_with_the_publisher_whatever_is_lost():
    rng = random.Random(5)
    for _ in range(200):
        publisher, subscriber = Publisher(State()), Subscriber()
        publisher.subscribe("f", 0)
        for number in range(1, 40):
            publisher.state.apply(number, {rng.choice("abcde"): rng.choice([None, rng.random()])})
            for _, message in publisher.updates_due():
                if rng.random() < 0.4:
                    continue  # Lost with the connection.
                before = subscriber.state.number
                _, reply = subscriber.apply(message)
                assert subscriber.state.number >= before
                if isinstance(reply, SubscribeRequest):
                    for _, again in publisher.subscribe("f", reply.number):
                        subscriber.apply(again)
            if rng.random() < 0.3:
                for _, again in publisher.subscribe("f", subscriber.state.number):
                    subscriber.apply(again)
        for _, again in publisher.subscribe("f", subscriber.state.number):
            subscriber.apply(again)
        assert subscriber.state.values("") == publisher.state.values("")


def test_a_discarded_copy_is_requested_again_once_and_does_not_go_back():
    publisher, subscriber = Publisher(State(4, {"a": (2, 1), "b": (4, 2)})), Subscriber("f")
    ((_, message),) = publisher.subscribe("f", 0)
    subscriber.apply(message)
    subscriber.discard()
    assert subscriber.subscribe_request() == SubscribeRequest("f", 0)
    older = State(3, {"a": (2, 0)}).update_since(0)
    assert subscriber.apply(older).changed is None and subscriber.state.number == 0
    ((_, message),) = publisher.subscribe("f", 0)
    assert subscriber.apply(message).changed == {"a": 1, "b": 2}
    subscriber.discard()  # The same number fails again: the copy is kept, else requests would repeat forever.
    assert subscriber.state.number == 4


def test_unacknowledged_changes_are_sent_again_with_the_next_updates():
    publisher, subscriber = Publisher(State()), Subscriber("f")
    publisher.subscribe("f", 0)
    publisher.state.apply(1, {"a": 1})
    publisher.updates_due()  # The update never arrives.
    assert publisher.updates_due() == []
    publisher.resend("f")
    publisher.resend("stranger")
    ((name, message),) = publisher.updates_due()
    assert name == "f" and subscriber.apply(message).changed == {"a": 1}
