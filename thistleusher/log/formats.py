"""Formats of a log record: a JSON object with stable fields, or text."""

from __future__ import annotations

import json
import logging
from datetime import UTC, datetime

EVENT_WIDTH = 30  # minimum width of the event in a text line, to align the logger's name
LEVEL_WIDTH = 9  # minimum width of the level in a text line


class JsonFormatter(logging.Formatter):
    """One JSON object per line: event, level, logger, timestamp, and exception if there is one."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line, which includes any traceback."""
        fields = {
            "event": record.getMessage(),
            "level": record.levelname.lower(),
            "logger": record.name,
            "timestamp": timestamp(record),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


class TextFormatter(logging.Formatter):
    """One text line per record: timestamp, level, event and logger. A traceback follows on further lines."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line, followed by any traceback."""
        level = record.levelname.lower()
        event = record.getMessage()
        line = f"{timestamp(record)} [{level:{LEVEL_WIDTH}}] {event:{EVENT_WIDTH}} [{record.name}]"
        if record.exc_info:
            line += f"\n{self.formatException(record.exc_info)}"
        return line


def timestamp(record: logging.LogRecord) -> str:
    """Return the record's creation time in UTC, in ISO 8601 format with the suffix Z."""
    return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="microseconds").replace("+00:00", "Z")
