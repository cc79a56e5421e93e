"""The writer: callers never wait for the disk, and failed commits are retried."""

from __future__ import annotations

from tests.state.helpers import SlowDisk
from thistleusher.state.writer import Writer


def test_hung_disk_delays_no_caller_and_the_latest_record_is_committed():
    disk, now = SlowDisk(), [0.0]
    writer = Writer(disk, interval=0.0, max_pending=3, clock=lambda: now[0])
    assert writer.put(1, b"a") and disk.commit_started.wait(10.0)
    assert writer.put(1, b"b") and writer.put(1, b"c") and writer.put(2, b"d") and writer.put(3, None)
    assert not writer.put(4, b"e") and writer.rejected == 1  # the queue is full
    now[0] = 5.0
    assert writer.lag() == 5.0 and not disk.batches
    disk.released.set()
    assert writer.close(10.0) and writer.lag() == 0.0
    assert disk.batches == [{1: b"a"}, {1: b"c", 2: b"d", 3: None}]


def test_newer_records_replace_older_ones_retried_after_a_full_disk():
    disk = SlowDisk()
    disk.failures_left = 2
    writer = Writer(disk, interval=0.0)
    writer.put(1, b"a")
    writer.put(2, b"b")
    assert disk.commit_started.wait(10.0)
    writer.put(1, b"newer")
    disk.released.set()
    assert writer.close(10.0) and writer.failures == 2
    kept = {}
    for batch in disk.batches:
        kept |= batch
    assert kept == {1: b"newer", 2: b"b"}
