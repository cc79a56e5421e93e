"""Names of the incarnations of a process, which tell when it started, and of the counters of the singleton role.

A name ends with "@" and the start on the process's steady clock, in seconds. A message that also bears the time when it
was sent, on the same clock, so tells how long the process has run. Names of release 0.2 had no "@".

A counter's name is its registry's, "#" and the term of the role; release 0.2 had no "#".
"""

from __future__ import annotations

import math
import os
import time


def new_incarnation(started_at: float) -> str:
    """Return a name for this incarnation of a process, which no other one has; `started_at` on its steady clock."""
    return incarnation_name(f"{time.time_ns():x}{os.urandom(4).hex()}", started_at)


def incarnation_name(unique: str, started_at: float) -> str:
    """Return the name of an incarnation from the part that no other one has, and its start."""
    return f"{unique}@{started_at:.3f}"


def running_for(incarnation: str, sent_at: float) -> float | None:
    """Return for how many seconds a process had run when it sent a message; None where its name does not tell."""
    _, separator, start = incarnation.rpartition("@")
    try:
        age = sent_at - float(start)
    except ValueError:
        return None
    return age if separator and math.isfinite(age) and age >= 0 else None


def counter_name(registry: str, term: int) -> str:
    """Return the name of the counter that a registry keeps in one term of the role."""
    return f"{registry}#{term}"


def names_a_term(counter: str) -> bool:
    """Return whether a counter's name tells its term."""
    return "#" in counter
