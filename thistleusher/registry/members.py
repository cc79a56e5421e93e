"""Tracks the proxies: their heartbeats, their watchers' reports, and whether clients may be sent to them.

Clients are sent to a proxy while it reports itself as ready and fewer than two sources consider it silent. A proxy that
shuts down first reports that it is not ready. One source is this registry, if it has received no heartbeat for
`SILENT_S`; each watcher that reports the proxy as silent is another. After `SILENT_WITHOUT_REPORTS_S` without a
heartbeat, this registry's own observation is sufficient.

No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SILENT_S = 0.9  # Time without a heartbeat that counts as one report of silence.
SILENT_WITHOUT_REPORTS_S = 1.8  # Time without a heartbeat after which no watcher's report is needed.
REPORT_VALID_S = 1.0  # Time for which a watcher's report counts.
REMOVE_AFTER_S = 30.0  # Time without a heartbeat after which a proxy is removed.
REQUIRED_SILENCE_SOURCES = 2


@dataclass(slots=True)
class Member:
    """One proxy, as last reported by itself and by its watchers."""

    attributes: dict[str, Any]
    incarnation: str
    last_heartbeat_at: float
    ready: bool = False
    silence_reports: dict[str, float] = field(default_factory=dict)  # Watcher -> time of its last report of silence.


class Members:
    """All known proxies, by name."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def restore(self, now: float, proxy_name: str, entry: dict[str, Any]) -> None:
        """Add a proxy from the list that an earlier holder of the role published."""
        attributes = {key: value for key, value in entry.items() if key != "up"}
        self.members.setdefault(proxy_name, Member(attributes, "", now, bool(entry.get("up"))))

    def record_report(
        self, now: float, proxy_name: str, attributes: dict[str, Any], incarnation: str, ready: bool, silent: list[str]
    ) -> None:
        """Record a proxy's full heartbeat: its own state, and the watched proxies that it reports as silent."""
        member = self.members.get(proxy_name)
        if member is None or member.incarnation != incarnation:
            member = self.members[proxy_name] = Member(attributes, incarnation, now)
        member.attributes = attributes
        member.ready = ready
        member.last_heartbeat_at = now
        for watched_name in silent:
            if watched_name in self.members:
                self.members[watched_name].silence_reports[proxy_name] = now

    def record_heartbeat(self, now: float, proxy_name: str, incarnation: str) -> None:
        """Record a short heartbeat: the proxy is alive and its last report still holds."""
        member = self.members.get(proxy_name)
        if member is not None and member.incarnation == incarnation:
            member.last_heartbeat_at = now

    def is_up(self, now: float, member: Member) -> bool:
        """Return whether clients may be sent to a proxy."""
        silence_s = now - member.last_heartbeat_at
        reports = sum(1 for at in member.silence_reports.values() if now - at < REPORT_VALID_S)
        return (
            member.ready
            and silence_s < SILENT_WITHOUT_REPORTS_S
            and reports + (silence_s > SILENT_S) < REQUIRED_SILENCE_SOURCES
        )

    def entries(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the published entry of each proxy; first remove those without a heartbeat for `REMOVE_AFTER_S`."""
        for proxy_name in [
            name for name, member in self.members.items() if now - member.last_heartbeat_at > REMOVE_AFTER_S
        ]:
            del self.members[proxy_name]
        return {
            proxy_name: {**member.attributes, "up": self.is_up(now, member)}
            for proxy_name, member in self.members.items()
        }
