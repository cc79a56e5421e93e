"""Detects subscribers that do not acknowledge the published list.

An open connection does not prove that its peer has applied the list; an acknowledgement does. No I/O. Times are seconds
on the steady clock. Cost: constant time per subscriber and check.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

# Time without progress after which a subscriber lags; a dead connection is closed earlier (`links.RECEIVE_TIMEOUT_S`).
LAG_THRESHOLD_S = 1.6
MAX_REPORT_INTERVAL_S = 12.8  # Maximum interval between reports of one subscriber; the interval doubles up to it.


class Lag(NamedTuple):
    """A lagging subscriber: its acknowledged number has not changed for `stalled_s` seconds."""

    subscriber: str
    acknowledged: int
    stalled_s: float


@dataclass(slots=True)
class _Stall:
    """The state of a subscriber that has not acknowledged the current number."""

    acknowledged: int
    stalled_since: float
    report_at: float
    report_interval_s: float


class SubscriberWatch:
    """Tracks the acknowledgements of the subscribers of one list."""

    def __init__(self) -> None:
        self._stalls: dict[str, _Stall] = {}

    def check(self, now: float, number: int, acknowledged: Mapping[str, int]) -> list[Lag]:
        """Return the lagging subscribers whose report is due.

        `number` is the published number; `acknowledged` holds each subscriber's acknowledged number.
        """
        for name in self._stalls.keys() - acknowledged.keys():
            del self._stalls[name]
        lags: list[Lag] = []
        for name, acknowledged_number in acknowledged.items():
            if acknowledged_number >= number:
                self._stalls.pop(name, None)
                continue
            stall = self._stalls.get(name)
            if stall is None or stall.acknowledged != acknowledged_number:
                self._stalls[name] = _Stall(acknowledged_number, now, now + LAG_THRESHOLD_S, LAG_THRESHOLD_S)
            elif now >= stall.report_at:
                stall.report_interval_s = min(MAX_REPORT_INTERVAL_S, 2 * stall.report_interval_s)
                stall.report_at = now + stall.report_interval_s
                lags.append(Lag(name, acknowledged_number, now - stall.stalled_since))
        return lags
