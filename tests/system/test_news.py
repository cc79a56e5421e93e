"""Numbered news: gaps, whole states, and numbers that never fall."""

import random

from thistleusher.transport.messages import StateUpdateAck, SubscribeRequest
from thistleusher.transport.state_updates import Publisher, State, Subscriber


def test_a_follower_gets_what_changed_and_acknowledges_it():
    publisher, follower = Publisher(State()), Subscriber()
    publisher.state.set(1, {"a": 1})
    ((name, message),) = publisher.follow("f", 0)
    changed, reply = follower.heard(message)
    assert (changed, reply) == ({"a": 1}, StateUpdateAck(1))
    publisher.ack(name, 1)
    publisher.state.set(2, {"b": 2, "a": None})
    ((_, message),) = publisher.tell()
    assert follower.heard(message)[0] == {"a": None, "b": 2}
    assert publisher.count() == (0, 1)
    publisher.ack("f", 2)
    assert publisher.count() == (1, 1) and publisher.tell() == []


def test_a_gap_is_answered_by_the_whole():
    publisher, follower = Publisher(State()), Subscriber("f")
    for number in range(1, 4):
        publisher.state.set(number, {f"k{number}": number})
    late = publisher.state.since(2)
    changed, reply = follower.heard(late)
    assert changed is None and reply == SubscribeRequest("f", 0)
    ((_, message),) = publisher.follow("f", reply.number)
    assert follower.heard(message)[0] == {"k1": 1, "k2": 2, "k3": 3}


def test_an_older_publisher_changes_nothing():
    follower = Subscriber("f", State(9, {"a": (9, "new")}))
    old = Publisher(State(5, {"a": (5, "old")}))
    for _, message in old.follow("f", 9):
        assert follower.heard(message)[0] is None
    assert follower.state.value("a") == "new" and follower.state.number == 9


def test_what_is_missing_from_a_whole_state_is_gone():
    follower = Subscriber("f", State(3, {"a": (1, 1), "b": (3, 2)}))
    whole = State(8, {"b": (3, 2)}, floor=8).since(3)
    assert whole.previous is None
    assert follower.heard(whole)[0] == {"a": None}
    assert follower.state.values("") == {"b": 2}


def test_followers_agree_with_the_publisher_whatever_is_lost():
    rng = random.Random(5)
    for _ in range(200):
        publisher, follower = Publisher(State()), Subscriber()
        publisher.follow("f", 0)
        for number in range(1, 40):
            publisher.state.set(number, {rng.choice("abcde"): rng.choice([None, rng.random()])})
            for _, message in publisher.tell():
                if rng.random() < 0.4:
                    continue  # lost with the connection
                before = follower.state.number
                _, reply = follower.heard(message)
                assert follower.state.number >= before
                if isinstance(reply, SubscribeRequest):
                    for _, again in publisher.follow("f", reply.number):
                        follower.heard(again)
            if rng.random() < 0.3:
                for _, again in publisher.follow("f", follower.state.number):
                    follower.heard(again)
        for _, again in publisher.follow("f", follower.state.number):
            follower.heard(again)
        assert follower.state.values("") == publisher.state.values("")
