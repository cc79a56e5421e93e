"""Writes log lines from a dedicated thread, as configured by the section `[log]` of the operator's file."""

from __future__ import annotations

import logging
import queue
import sys
import threading
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from thistleusher.log.formats import JsonFormatter, TextFormatter
from thistleusher.log.options import LogOptions

CLOSE_TIMEOUT_S = 1.0  # time limit for writing the queued lines; a reader that never reads must not block the shutdown


class NonBlockingQueueHandler(QueueHandler):
    """Puts records into a queue without waiting. Records that do not fit are dropped and counted."""

    def __init__(self, max_lines: int) -> None:
        """Create the queue; `max_lines` is the maximum number of waiting records."""
        super().__init__(queue.Queue(max_lines))
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Format the message now, because its arguments may change before the thread formats the rest of the line."""
        record.msg = record.getMessage()
        record.args = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add one record to the queue, which takes one lock and one entry; drop and count it if the queue is full."""
        if self.dropped:
            record.msg = f"{record.msg} ({self.dropped} earlier lines were dropped)"
        try:
            self.queue.put_nowait(record)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1


class QueuedLog:
    """Writes all records from a dedicated thread until `close` is called."""

    def __init__(self, options: LogOptions, stream: TextIO | None = None) -> None:
        """Start the thread. Lines are written to `stream`, or to standard error if it is None."""
        writer = logging.StreamHandler(stream or sys.stderr)
        writer.setFormatter(JsonFormatter() if options.form == "json" else TextFormatter())
        self.handler = NonBlockingQueueHandler(options.queue)
        self._listener = QueueListener(self.handler.queue, writer)
        self._root = logging.getLogger()
        self._previous_level = self._root.level
        self._root.addHandler(self.handler)
        self._root.setLevel(options.level.upper())
        self._listener.start()

    def close(self) -> None:
        """Write the queued lines, for at most `CLOSE_TIMEOUT_S` seconds, and restore the root logger."""
        self._root.removeHandler(self.handler)
        self._root.setLevel(self._previous_level)
        ending = threading.Thread(target=self._listener.stop, daemon=True)
        ending.start()
        ending.join(CLOSE_TIMEOUT_S)
