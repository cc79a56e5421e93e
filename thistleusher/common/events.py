"""The catalogue of log events: a number, a level, a text. docs/events.md is made from it.

One line an event; numbers are never used again for something else.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from absl import logging


class Entry(NamedTuple):
    """One event: number, level ('info', 'warning', 'error'), text with its fields."""

    number: int
    level: str
    text: str


class Event(Enum):
    """100: any process; 200: control; 300: registry; 400: proxy."""

    STARTED = Entry(100, "info", "%s serves as %s")
    STOPPING = Entry(101, "info", "%s ends in order: %s")
    STOPPED = Entry(102, "info", "%s has ended")
    SETTINGS = Entry(103, "info", "settings read again: seeds %s")
    BAD_SETTINGS = Entry(104, "warning", "settings not taken: %s")
    FAULT = Entry(120, "error", "a fault in %s: %s")
    REFUSED_MESSAGE = Entry(121, "warning", "a message of %s refused: %s")
    FOUNDED = Entry(200, "info", "founded with %s")
    LEADS = Entry(201, "info", "leads epoch %d, replicas %s")
    STEPPED_DOWN = Entry(202, "warning", "epoch %d: leads no more: %s")
    VIEW = Entry(203, "info", "epoch %d: leader %s, replicas %s, voters %s")
    CANDIDATE = Entry(204, "info", "stands for epoch %d: %s")
    KEPT = Entry(210, "info", "change %d kept by the leader and all replicas: %s")
    UNALTERED = Entry(212, "info", "acknowledged and nothing altered: %s")
    INVALID = Entry(211, "info", "configuration refused: %s")
    DISK = Entry(220, "warning", "disk: %s")
    DUTY = Entry(300, "info", "holds the duty, term %s")
    DUTY_OVER = Entry(301, "info", "the duty is over: %s")
    LISTED = Entry(310, "info", "list %d: %d backends, %d draining")
    PLATFORM = Entry(311, "warning", "platform: %s")
    CONFIG = Entry(400, "info", "configuration %s in force, %d routes")
    LIST = Entry(401, "info", "list %s: %d backends, %d ingresses")
    HANDED = Entry(430, "info", "handed over to %s, which had %d and %d")


SAY = {"info": logging.info, "warning": logging.warning, "error": logging.error}


def say(event: Event, *fields: object) -> None:
    """Write one event to the log: `number text`."""
    entry = event.value
    SAY[entry.level]("%d " + entry.text, entry.number, *fields)


def page() -> str:
    """The catalogue as the page docs/events.md holds it."""
    rows = "\n".join(f"| {e.value.number} | {e.value.level} | {e.name.lower()} | {e.value.text} |" for e in Event)
    return f"| number | level | event | text |\n| --- | --- | --- | --- |\n{rows}\n"
