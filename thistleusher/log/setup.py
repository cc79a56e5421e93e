"""structlog over the standard library's logging: the program's own calls stay as they are."""

from __future__ import annotations

import logging
import queue
import sys
import threading
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

import structlog
from structlog.typing import Processor

from thistleusher.log.options import LogOptions

CLOSE_S = 1.0  # for what waits, at the end


class Bounded(QueueHandler):
    """Puts records into a queue without waiting; those that do not fit are counted."""

    def __init__(self, most: int) -> None:
        super().__init__(queue.Queue(most))
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """The message is put together here, where its arguments still are what they were; the rest is the writer's."""
        record.msg, record.args = record.getMessage(), None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """One record; it costs a lock and an entry."""
        if self.dropped:
            record.msg = f"{record.msg} ({self.dropped} lines before it were dropped)"
        try:
            self.queue.put_nowait(record)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1


class Logs:
    """Everything that `logging` is given goes out here until `close`."""

    def __init__(self, options: LogOptions, stream: TextIO | None = None) -> None:
        """`stream` None: standard error."""
        shared: list[Processor] = [
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
        ]
        last: Processor = (
            structlog.processors.JSONRenderer()
            if options.form == "json"
            else structlog.dev.ConsoleRenderer(colors=False)
        )
        writer = logging.StreamHandler(stream or sys.stderr)
        writer.setFormatter(
            structlog.stdlib.ProcessorFormatter(
                foreign_pre_chain=shared, processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last]
            )
        )
        self.handler = Bounded(options.queue)
        self.listener = QueueListener(self.handler.queue, writer)
        self.root = logging.getLogger()
        self.before = self.root.level
        self.root.addHandler(self.handler)
        self.root.setLevel(options.level.upper())
        self.listener.start()

    def close(self) -> None:
        """What waits goes out, within a time: a reader that never reads must not keep the program from ending."""
        self.root.removeHandler(self.handler)
        self.root.setLevel(self.before)
        ending = threading.Thread(target=self.listener.stop, daemon=True)
        ending.start()
        ending.join(CLOSE_S)
