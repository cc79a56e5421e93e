"""FAULT: large bodies that came a few bytes at a time kept their memory for as long as a request may take."""

from thistleusher.net.body_progress import INTERVAL_S, MIN_INTERVAL_BYTES, BodyProgress


def played(step_bytes, intervals=4, steps=5):
    progress, now, size = BodyProgress(), 100.0, 0
    progress.restart(now, size)
    for _ in range(intervals * steps):
        now += INTERVAL_S / steps + 1e-6
        size += step_bytes
        progress.update(now, size)
    return progress


def test_a_body_of_which_little_or_nothing_comes_has_stalled():
    assert played(0).has_stalled
    assert played(512).has_stalled


def test_a_body_that_comes_has_not():
    assert not played(MIN_INTERVAL_BYTES).has_stalled


def test_nothing_is_said_before_the_first_interval_is_over():
    progress = BodyProgress()
    progress.restart(100.0, 0)
    progress.update(100.0 + INTERVAL_S / 2, 0)
    assert not progress.has_stalled


def test_a_body_that_was_held_up_begins_anew():
    progress = played(0)
    progress.restart(200.0, 0)
    progress.update(200.0 + INTERVAL_S / 2, 0)
    assert not progress.has_stalled
