"""Log lines are written by a dedicated thread, so that a reader that never reads blocks neither callers nor the end."""

from __future__ import annotations

import io
import json
import logging
import threading

import pytest

from thistleusher.log.options import LogOptions
from thistleusher.log.queued import QueuedLog


class BlockedStream(io.StringIO):
    """A stream whose writes block until `released` is set, like standard error whose reader has stopped reading."""

    def __init__(self):
        super().__init__()
        self.released, self.write_started = threading.Event(), threading.Event()

    def write(self, text):
        self.write_started.set()
        assert self.released.wait(20.0)
        return super().write(text)


@pytest.fixture
def log():
    return logging.getLogger("thistleusher.test")


def test_json_lines_have_stable_fields_and_a_traceback_stays_in_its_line(log):
    out = io.StringIO()
    queued_log = QueuedLog(LogOptions("json", "info"), out)
    log.debug("not this one")
    log.info("ejected %s: %s", "b1", "failing")
    try:
        raise KeyError("x")
    except KeyError:
        log.exception("deciding")
    queued_log.close()
    first, second = [json.loads(line) for line in out.getvalue().splitlines()]
    assert (
        first["event"] == "ejected b1: failing" and first["level"] == "info" and first["logger"] == "thistleusher.test"
    )
    assert first["timestamp"].endswith("Z") and "KeyError" in second["exception"] and second["level"] == "error"


def test_text_lines_hold_event_and_level(log):
    out = io.StringIO()
    queued_log = QueuedLog(LogOptions(), out)
    log.warning("state: %d wait", 3)
    queued_log.close()
    assert "state: 3 wait" in out.getvalue() and "warning" in out.getvalue()


def test_a_reader_that_does_not_read_holds_nobody_up_and_what_was_dropped_is_said(log):
    out = BlockedStream()
    queued_log = QueuedLog(LogOptions("json", "info", 16), out)
    log.info("first")
    assert out.write_started.wait(20.0)  # the writer blocks, so the following lines fill the queue
    for n in range(100):
        log.info("line %d", n)
    assert queued_log.handler.dropped == 100 - 16
    out.released.set()
    while not queued_log.handler.queue.empty():
        pass
    log.info("last")
    queued_log.close()
    lines = [json.loads(line)["event"] for line in out.getvalue().splitlines()]
    assert lines[0] == "first" and lines[16] == "line 15" and lines[-1] == "last (84 earlier lines were dropped)"


def test_an_end_does_not_wait_for_such_a_reader_either(log, monkeypatch):
    monkeypatch.setattr("thistleusher.log.queued.CLOSE_TIMEOUT_S", 0.05)
    out = BlockedStream()
    queued_log = QueuedLog(LogOptions(queue=16), out)
    log.info("first")
    assert out.write_started.wait(20.0)
    queued_log.close()
    assert not out.released.is_set()
    out.released.set()
