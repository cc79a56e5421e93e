"""Detects subscribers that do not acknowledge the published list.

An open connection does not prove that its peer has applied the list; an acknowledgement does. No I/O. Times are seconds
on the steady clock. Cost: constant time per subscriber and check.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

# Time without progress after which a subscriber lags; a dead connection is closed earlier (`links.SILENT_S`).
LAG_S = 1.6
LONGEST_WAIT_S = 12.8  # Maximum interval between reports of one subscriber; the interval doubles up to this value.


class Lag(NamedTuple):
    """A lagging subscriber: its acknowledged number has not changed for `for_s` seconds."""

    subscriber: str
    acknowledged: int
    for_s: float


@dataclass(slots=True)
class _Delay:
    """The state of a subscriber that has not acknowledged the current number."""

    acknowledged: int
    since: float
    report_at: float
    wait_s: float


class SubscriberWatch:
    """Tracks the acknowledgements of the subscribers of one list."""

    def __init__(self) -> None:
        self._delays: dict[str, _Delay] = {}

    def check(self, now: float, number: int, acknowledged: Mapping[str, int]) -> list[Lag]:
        """Return the lagging subscribers whose report is due.

        `number` is the published number; `acknowledged` holds each subscriber's acknowledged number.
        """
        for name in self._delays.keys() - acknowledged.keys():
            del self._delays[name]
        lags: list[Lag] = []
        for name, has in acknowledged.items():
            if has >= number:
                self._delays.pop(name, None)
                continue
            delay = self._delays.get(name)
            if delay is None or delay.acknowledged != has:
                self._delays[name] = _Delay(has, now, now + LAG_S, LAG_S)
            elif now >= delay.report_at:
                delay.wait_s = min(LONGEST_WAIT_S, 2 * delay.wait_s)
                delay.report_at = now + delay.wait_s
                lags.append(Lag(name, has, now - delay.since))
        return lags
