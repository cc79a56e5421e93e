"""The view that precedes the first epoch: every founder derives the same one from the seeds of the first start.

A founder's disk holds the seeds from before its first message on (`store_file`). A process that is started again
therefore still is a founder, whatever its settings say by then; one whose disk is empty is not. The first epoch follows
this view as each later epoch follows its predecessor: a majority of the seeds has to agree to it.
"""

from __future__ import annotations

from collections.abc import Iterable

from thistleusher.transport.messages import Position, ViewRecord

FOUNDING_EPOCH = 0
NO_LEADER = ""
UNKNOWN_ZONE = ""  # zone of a seed that has not been heard yet
FOUNDING_POSITION = Position(FOUNDING_EPOCH, 0, 0)  # every founder has the complete state: it is empty


def founding_view(seeds: Iterable[str]) -> ViewRecord:
    """Return the view in which all seeds vote, hold the empty state, and none leads."""
    names = sorted(seeds)
    return ViewRecord(FOUNDING_EPOCH, NO_LEADER, tuple(names), dict.fromkeys(names, UNKNOWN_ZONE))


def is_founding(view: ViewRecord | None) -> bool:
    """Return whether no epoch is known to a founder yet."""
    return view is not None and view.epoch == FOUNDING_EPOCH
