"""Which proxies there are: who has reported of late, what their watchers report, and who may be sent clients.

A proxy is sent clients while it says that it is ready, and is not silent by two sources. One that shuts down says so
first. A verdict needs two sources: this registry's own silence counts as one, a watcher's report as another. Only
after `SILENT_ALONE_S` does this registry's own silence decide alone.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SILENT_S = 0.9  # without a heartbeat here, which counts as one report
SILENT_ALONE_S = 1.8  # without a heartbeat here, after which no watcher's report is needed
REPORT_VALID_S = 1.0  # for which a watcher's report counts
FORGET_S = 30.0  # without a heartbeat, after which a proxy is forgotten altogether
REPORTS_FOR_VERDICT = 2


@dataclass(slots=True)
class Member:
    """One proxy as it reported itself: the attributes under which it is listed, and whether it is ready."""

    attributes: dict[str, Any]
    incarnation: str
    last_heard: float
    ready: bool = False
    silence_reports: dict[str, float] = field(default_factory=dict)  # watchers that call it silent, and when


class Members:
    """All proxies."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def restore(self, now: float, proxy_name: str, entry: dict[str, Any]) -> None:
        """Add a proxy from the list that an earlier registry published."""
        attributes = {key: value for key, value in entry.items() if key != "up"}
        self.members.setdefault(proxy_name, Member(attributes, "", now, bool(entry.get("up"))))

    def record_report(
        self, now: float, proxy_name: str, attributes: dict[str, Any], incarnation: str, ready: bool, silent: list[str]
    ) -> None:
        """Record a proxy's full heartbeat: what it says of itself, and which of those it watches are silent."""
        member = self.members.get(proxy_name)
        if member is None or member.incarnation != incarnation:
            member = self.members[proxy_name] = Member(attributes, incarnation, now)
        member.attributes = attributes
        member.ready = ready
        member.last_heard = now
        for other in silent:
            if other in self.members:
                self.members[other].silence_reports[proxy_name] = now

    def record_heartbeat(self, now: float, proxy_name: str, incarnation: str) -> None:
        """Record a short heartbeat: the proxy is there, and as it last reported."""
        member = self.members.get(proxy_name)
        if member is not None and member.incarnation == incarnation:
            member.last_heard = now

    def is_up(self, now: float, member: Member) -> bool:
        """Return whether clients may be sent there."""
        quiet = now - member.last_heard
        reports = sum(1 for at in member.silence_reports.values() if now - at < REPORT_VALID_S)
        return member.ready and quiet < SILENT_ALONE_S and reports + (quiet > SILENT_S) < REPORTS_FOR_VERDICT

    def entries(self, now: float) -> dict[str, dict[str, Any]]:
        """Return every proxy as it is published, with whether it is up. Forgets those gone for `FORGET_S`."""
        for proxy_name in [name for name, member in self.members.items() if now - member.last_heard > FORGET_S]:
            del self.members[proxy_name]
        return {
            proxy_name: {**member.attributes, "up": self.is_up(now, member)}
            for proxy_name, member in self.members.items()
        }
