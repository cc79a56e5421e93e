"""How a log record looks as a line: a JSON object with stable fields, or text."""

from __future__ import annotations

import json
import logging
from datetime import UTC, datetime

EVENT_WIDTH = 30  # of a text line's event, so that the logger's name stands in a column
LEVEL_WIDTH = 9


class JsonFormatter(logging.Formatter):
    """One JSON object a line: event, level, logger, timestamp, and exception where there is one."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line; a traceback stays within it."""
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
    """Timestamp, level, event and logger; a traceback on the lines after."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line or lines."""
        level = record.levelname.lower()
        event = record.getMessage()
        line = f"{timestamp(record)} [{level:{LEVEL_WIDTH}}] {event:{EVENT_WIDTH}} [{record.name}]"
        if record.exc_info:
            line += f"\n{self.formatException(record.exc_info)}"
        return line


def timestamp(record: logging.LogRecord) -> str:
    """Return when the record was made, in ISO form and UTC, ending with Z."""
    return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="microseconds").replace("+00:00", "Z")
