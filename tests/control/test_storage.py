"""The writer of the control state completes each write, whatever the records contain."""

import queue

from thistleusher.control.interface import Records
from thistleusher.control.storage import Storage


def test_a_write_that_cannot_be_packed_fails_and_does_not_end_the_writer(tmp_path):
    ends = queue.SimpleQueue()
    storage = Storage(tmp_path, 32.0, lambda token, ok: ends.put((token, ok)))
    storage.write(1, Records(items={"a": (1, "\ud800")}))
    storage.write(2, Records(items={"b": (1 << 70, "beyond 64 bits")}))
    storage.write(3, Records(items={"c": (3, "kept")}))
    assert [ends.get(timeout=5) for _ in range(3)] == [(1, False), (2, False), (3, True)]
    assert storage.read().items == {"c": (3, "kept")}
    storage.close()
