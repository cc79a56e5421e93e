"""Which subscribers have not acknowledged the published list, and for how long.

A connection that is open proves nothing of what its other side has in force; an acknowledgement does. Pure; seconds on
the steady clock. Cost: a step for each subscriber and check.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

LAG_S = 1.6  # without progress, after which a subscriber lags; a dead connection has ended by then (`links.SILENT_S`)
LONGEST_WAIT_S = 12.8  # between two reports of one that makes no progress; the wait doubles up to there


class Lag(NamedTuple):
    """A subscriber that lags: the number that it has acknowledged, unchanged for `for_s` seconds."""

    subscriber: str
    acknowledged: int
    for_s: float


@dataclass(slots=True)
class _Delay:
    """One subscriber's lack of progress."""

    acknowledged: int
    since: float
    report_at: float
    wait_s: float


class SubscriberWatch:
    """Watches the acknowledgements of one list's subscribers."""

    def __init__(self) -> None:
        self._delays: dict[str, _Delay] = {}

    def check(self, now: float, number: int, acknowledged: Mapping[str, int]) -> list[Lag]:
        """Return who lags and is due to be reported; `acknowledged`: by subscriber, of the published `number`."""
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
