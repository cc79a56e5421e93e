"""A configuration as items of a state: an index updated by changes equals one built from the complete document."""

import json
import zlib

import pytest
from hypothesis import given, settings, strategies

from tests.configuration.documents import body
from thistleusher.common.record_reader import InvalidTableError
from thistleusher.configuration.index import Index
from thistleusher.configuration.items import (
    ConfigurationFollower,
    Identity,
    assemble,
    changed_items,
    digest_of,
    number_of,
    was_accepted,
)
from thistleusher.configuration.records import read_checked_configuration
from thistleusher.transport.state_updates import State, Subscriber

NAMES = ["r", "r:1", "", 'é"\\', "a/b\n", "route:r", "\U0001f600"]


PLACES = [(host, prefix) for host in ("a.example", "B.example") for prefix in ("/", "/x/", "/x/y/")]


KEYS = ["k1", "k2", "k3", "k4"]


LATER = [None, 0, 1.0, 2**80, "é", [1, {"a": []}], {"routes": {}}]


def some(entries):
    return strategies.dictionaries(strategies.sampled_from(NAMES), entries, max_size=4)


@strategies.composite
def documents(draw):
    """Draw a configuration's fields except its version; tables may be absent, and fields of later releases present."""
    extra = {"later": draw(strategies.sampled_from(LATER))}
    places = draw(strategies.permutations(PLACES))
    routes = draw(some(strategies.sampled_from([{}, {"rank": 1}, extra, {"target": "s", "target_ms": 0.1}])))
    keys = draw(strategies.permutations(KEYS))
    tenants = draw(some(strategies.sampled_from([{"rate_per_s": 5}, {"rank": 2}, extra])))
    made = {
        "routes": {
            name: {"hostname": place[0], "path_prefix": place[1], **fields}
            for (name, fields), place in zip(routes.items(), places, strict=False)
        },
        "tenants": {
            name: {"api_keys": [key, key], **fields} for (name, fields), key in zip(tenants.items(), keys, strict=False)
        },
        "services": draw(some(strategies.sampled_from([{}, {"max_conns": 7}, extra]))),
        "limits": draw(strategies.sampled_from([{}, {"max_body_bytes": 5}, extra])),
        "later": extra["later"],
    }
    return {
        field: made[field] for field in draw(strategies.permutations(list(made)))[: draw(strategies.integers(0, 5))]
    }


@settings(max_examples=150, deadline=None, derandomize=True)
@given(strategies.data())
def test_an_index_that_follows_changes_is_the_one_built_whole(data):
    """Covers missed updates, a first state of release 0.1, and a core that is set up anew with a low number."""
    published, subscriber, config = State(), Subscriber(), ConfigurationFollower()
    number = data.draw(strategies.integers(0, 3))
    for step in range(data.draw(strategies.integers(1, 8))):
        sent = json.dumps({"version": f"{number:08x}", **data.draw(documents())}).encode()
        if step == 0 and data.draw(strategies.booleans()):
            changed = {"config": {"v": number, "z": zlib.compress(sent)}}
        else:
            changed = changed_items(published, number, sent)
        published.apply(published.number + 1, changed)
        assert json.loads(assemble(published)) == json.loads(sent) and number_of(published) == number
        assert was_accepted(published, Identity(number, digest_of(json.loads(sent))))
        if data.draw(strategies.integers(0, 3)):
            before, result = config.number, subscriber.apply(published.update_since(subscriber.state.number))
            assert config.update(subscriber.state, result.changed or {}) == (number > before)
            if number > before:
                whole = Index(read_checked_configuration(sent))
                assert (config.index.config, config.index.hosts, config.index.keys) == (
                    whole.config,
                    whole.hosts,
                    whole.keys,
                )
        if data.draw(strategies.integers(0, 5)) == 0:
            published = State(published.number + 1, floor=published.number + 1)
            number = max(0, number - 4)
        number += data.draw(strategies.integers(1, 3))


def test_an_item_that_cannot_be_read_leaves_the_index_as_it_was_and_the_next_configuration_whole():
    published, config = State(), ConfigurationFollower()

    def follow(number, sent):
        changed = changed_items(published, number, sent)
        published.apply(published.number + 1, changed)
        return config.update(published, changed)

    assert follow(7, body())
    with pytest.raises(InvalidTableError):
        unreadable = {"t1": {"api_keys": 5}}
        follow(8, body(lambda t: t.update(version="00000008", limits={"max_body_bytes": 5}, tenants=unreadable)))
    assert config.index.config == read_checked_configuration(body()) and config.index.tenant_of("Token k3") == "t2"
    last = body(lambda t: t.update(version="00000009", tenants={}))
    assert follow(9, last) and config.index.keys == {} and config.index.config == read_checked_configuration(last)
