"""Counts the answers that were cut off because they were none, by backend, for the log.

Pure. At most `MAX_BACKENDS` are counted between two reports, so that the log and the memory stay bounded.
"""

from __future__ import annotations

from typing import NamedTuple

REPORT_INTERVAL_S = 5.0
MAX_BACKENDS = 8


class Report(NamedTuple):
    """The invalid answers of one backend since the last report."""

    backend: str
    answers: int
    reason: str  # of the newest one


class InvalidAnswers:
    """The invalid answers of all backends since the last report."""

    def __init__(self, now: float) -> None:
        self._counts: dict[str, Report] = {}
        self._next_report_at = now

    def record(self, backend: str, reason: str) -> None:
        """Count an answer of which nothing more was read, for a reason."""
        earlier = self._counts.get(backend)
        if earlier is None and len(self._counts) >= MAX_BACKENDS:
            return
        self._counts[backend] = Report(backend, 1 + (earlier.answers if earlier is not None else 0), reason)

    def due(self, now: float) -> list[Report]:
        """Return what is to be reported now, at most every `REPORT_INTERVAL_S`, and start to count anew."""
        if not self._counts or now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL_S
        reports = list(self._counts.values())
        self._counts.clear()
        return reports
