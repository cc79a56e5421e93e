"""Names of process incarnations, which include the start time, and of the counters of the singleton role.

An incarnation's name ends with "@" and the start time on the process's steady clock, in seconds. The receiver of a
message that also states its send time on that clock can therefore compute the process's uptime. Names of release 0.2
had no "@".

A counter's name is its registry's name, "#" and the term of the lease. Release 0.2 used the registry's name alone.
"""

from __future__ import annotations

import math
import os
import time


def new_incarnation(started_at: float) -> str:
    """Return a unique name for this incarnation of a process; `started_at` is on its steady clock."""
    return incarnation_name(f"{time.time_ns():x}{os.urandom(4).hex()}", started_at)


def incarnation_name(unique: str, started_at: float) -> str:
    """Return the name of an incarnation, composed of a unique part and its start time."""
    return f"{unique}@{started_at:.3f}"


def uptime_at(incarnation: str, sent_at: float) -> float | None:
    """Return a process's uptime in seconds when it sent a message, or None if its name contains no start time."""
    _, separator, start = incarnation.rpartition("@")
    try:
        age = sent_at - float(start)
    except ValueError:
        return None
    return age if separator and math.isfinite(age) and age >= 0 else None


def counter_name(registry: str, term: int) -> str:
    """Return the name of the counter that a registry runs in one term of the role."""
    return f"{registry}#{term}"


def has_lease_term(counter: str) -> bool:
    """Return whether a counter's name contains its lease term."""
    return "#" in counter
