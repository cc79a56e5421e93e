"""The platform's list of backends: read completely or not at all, within the platform's rate limit."""

import json

import pytest

from thistleusher.registry.backend_poller import REQUIRED_EMPTY_READINGS, BackendPoller, UnreadableAnswerError


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
    """Let the poller read pages; return the time of the last one and the changes."""
    changes = None
    for body in pages:
        while poller.begin_call(now) is None:
            now += 0.05
        changes = poller.receive_page(now, body)
    return now, changes


def test_a_backend_that_drains_on_page_two_is_detected():
    poller = BackendPoller(0.0, 47.0)
    now, changes = read(poller, 0.0, page(entry(1), entry(2), token="p-50"), page(entry(3)))
    assert changes.keys() == {"i1", "i2", "i3"}
    now, changes = read(poller, now + 1, page(entry(1), entry(2), token="p-50"), page(entry(3, "draining")))
    assert set(changes) == {"i3"} and changes["i3"]["p"] == "draining"
    now, changes = read(poller, now + 1, page(entry(1), entry(2)))
    assert changes == {"i3": None}


def test_the_second_page_is_asked_for_by_its_token():
    poller = BackendPoller(0.0, 47.0)
    assert poller.begin_call(0.0) == "/instances"
    poller.receive_page(0.0, page(entry(1), token="p 50"))
    assert poller.begin_call(0.0) is None and poller.begin_call(0.1) == "/instances?page_token=p%2050"


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
def test_an_unreadable_answer_leaves_the_list_as_it_was(body):
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1), entry(2)))
    while poller.begin_call(now) is None:
        now += 0.05
    with pytest.raises(UnreadableAnswerError):
        poller.receive_page(now, body)
    assert set(poller.backends) == {"i1", "i2"}
    _, changes = read(poller, now + 2, page(entry(1), entry(2)))
    assert changes == {}


def test_an_incomplete_reading_does_not_change_the_list():
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1), token="p"), page(entry(2)))
    now, _ = read(poller, now + 1, page(entry(1), token="p"))
    poller.begin_call(now + 1)
    poller.call_failed(now + 1)  # The second page never arrives.
    assert set(poller.backends) == {"i1", "i2"}
    assert poller.begin_call(now + 3) == "/instances"  # The reading restarts from the first page.


def test_an_empty_list_is_accepted_only_after_several_readings():
    poller = BackendPoller(0.0, 47.0)
    now, _ = read(poller, 0.0, page(entry(1)))
    for n in range(REQUIRED_EMPTY_READINGS):
        now, changes = read(poller, now + 1, page())
        assert (changes is None) == (n < REQUIRED_EMPTY_READINGS - 1)
    assert changes == {"i1": None}


def test_calls_stay_below_the_platforms_rate_limit_and_back_off_after_a_429():
    poller, calls, now = BackendPoller(0.0, 4.0), 0, 0.0
    while now < 10.0:
        if poller.begin_call(now) is not None:
            calls += 1
            poller.receive_page(now, page(entry(1), token="more" if calls % 3 else None))
        now += 0.01
    assert calls <= 10 * 4.0 * 0.5 + 1
    poller.begin_call(now + 1)
    poller.call_failed(now + 1, 429)
    assert poller.begin_call(now + 1.9) is None and poller.begin_call(now + 2.1) is not None


def test_a_warming_backend_is_published_once_and_again_when_it_is_warm():
    poller = BackendPoller(0.0, 47.0)
    now, changes = read(poller, 0.0, page(entry(1, cold=3000)))
    assert changes["i1"]["cold"] == 3000
    now, changes = read(poller, now + 1.0, page(entry(1, cold=2000)))
    assert changes == {}
    now, changes = read(poller, now + 1.0, page(entry(1, cold=3500)))  # The backend has restarted its warm-up.
    assert changes["i1"]["cold"] == 3500
    now, changes = read(poller, now + 4.0, page(entry(1)))
    assert changes["i1"]["cold"] == 0


@pytest.mark.parametrize(
    "body",
    [
        page({**entry(1), "id": "i" * 300}),
        page({**entry(1), "address": "h" * 300 + ":80"}),
        page({**entry(1), "zone": ["z"] * 100}),
        page(entry(1), token="t" * 5000),
        page({**entry(1), "capacity": float("inf")}),
        page(*({**entry(1), "id": f"i{n}"} for n in range(20_001))),
        b'{"instances":' + b"[" * 100_000,
    ],
    ids=["id", "address", "zone", "token", "capacity", "backends", "depth"],
)
def test_what_the_platform_lists_is_bounded_before_it_is_published(body):
    """FAULT: a list of any size went to all proxies; some values ended the call without a word to the poller."""
    poller = BackendPoller(0.0, 47.0)
    assert poller.begin_call(0.0) is not None
    with pytest.raises(UnreadableAnswerError) as raised:
        poller.receive_page(0.0, body)
    assert len(str(raised.value)) < 500
    assert poller.begin_call(10.0) == "/instances"  # Asked again, from the first page.


def test_the_list_of_the_target_in_two_years_is_read():
    poller = BackendPoller(0.0, 47.0)
    _, changes = read(poller, 0.0, page(*({**entry(1), "id": f"i-{n:08x}"} for n in range(10_000))))
    assert len(changes) == 10_000


def test_a_capacity_beyond_all_sense_is_published_as_the_largest():
    poller = BackendPoller(0.0, 47.0)
    _, changes = read(poller, 0.0, page({**entry(1), "capacity": 10**400}))
    assert changes["i1"]["c"] == 1_000_000  # a larger one could not be encoded
