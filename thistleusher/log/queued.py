"""Log lines that leave by a thread of their own, as the section [log] of the operator's file asks."""

from __future__ import annotations

import logging
import queue
import sys
import threading
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from thistleusher.log.formats import JsonFormatter, TextFormatter
from thistleusher.log.options import LogOptions

CLOSE_TIMEOUT_S = 1.0  # for lines that wait at the end: a reader that never reads must not keep the program from ending


class NonBlockingQueueHandler(QueueHandler):
    """Puts records into a queue without waiting; records that do not fit are counted."""

    def __init__(self, max_lines: int) -> None:
        """`max_lines` is how many records may wait."""
        super().__init__(queue.Queue(max_lines))
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Put the message together here, where its arguments still are what they were; the thread formats the rest."""
        record.msg = record.getMessage()
        record.args = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add one record; costs a lock and an entry."""
        if self.dropped:
            record.msg = f"{record.msg} ({self.dropped} lines before it were dropped)"
        try:
            self.queue.put_nowait(record)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1


class QueuedLog:
    """Writes every record from a thread of its own until `close`, as the operator's file asks."""

    def __init__(self, options: LogOptions, stream: TextIO | None = None) -> None:
        """Start the thread; without a `stream`, lines go to standard error."""
        writer = logging.StreamHandler(stream or sys.stderr)
        writer.setFormatter(JsonFormatter() if options.form == "json" else TextFormatter())
        self.handler = NonBlockingQueueHandler(options.queue)
        self._listener = QueueListener(self.handler.queue, writer)
        self._root = logging.getLogger()
        self._earlier_level = self._root.level
        self._root.addHandler(self.handler)
        self._root.setLevel(options.level.upper())
        self._listener.start()

    def close(self) -> None:
        """Write what waits, for at most `CLOSE_TIMEOUT_S`."""
        self._root.removeHandler(self.handler)
        self._root.setLevel(self._earlier_level)
        ending = threading.Thread(target=self._listener.stop, daemon=True)
        ending.start()
        ending.join(CLOSE_TIMEOUT_S)
