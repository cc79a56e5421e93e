"""Tracks the proxies: their heartbeats, their watchers' reports, and whether clients may be sent to them.

Clients are sent to a proxy while it reports itself as ready and fewer than two sources consider it silent. A proxy that
shuts down first reports that it is not ready. One source is this registry, if it has received no heartbeat for
`SILENT_S`; each watcher that reports the proxy as silent is another. After `SILENT_WITHOUT_REPORTS_S` without a
heartbeat, this registry's own observation is sufficient.

A proxy that is not up may still send requests, so it stays on the list, for those that divide budgets among all
proxies, until it has not been heard from for longer than such a division holds (`CONTACT_LEASE_S`). A proxy that joins
is marked `joining` until all others that hold a part have acknowledged a list with it.

No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from thistleusher.common.quota_timing import CONTACT_LEASE_S

SILENT_S = 0.9  # Time without a heartbeat that counts as one report of silence.
SILENT_WITHOUT_REPORTS_S = 1.8  # Time without a heartbeat after which no watcher's report is needed.
REPORT_VALID_S = 1.0  # Time for which a watcher's report counts.
REMOVE_AFTER_S = 30.0  # Time without a heartbeat after which a proxy is removed; more than `CONTACT_LEASE_S`.
REQUIRED_SILENCE_SOURCES = 2
NOT_LISTED = -1  # Stands for the number of a list that names a proxy while there is none.
JOINING = "joining"  # Field of a published entry: not all other proxies know this one yet.


@dataclass(slots=True)
class Member:
    """One proxy, as last reported by itself and by its watchers."""

    attributes: dict[str, Any]
    incarnation: str
    last_heartbeat_at: float
    ready: bool = False
    silence_reports: dict[str, float] = field(default_factory=dict)  # Watcher -> time of its last report of silence.
    restored_at: float = -math.inf  # Time at which this registry took it over from an earlier holder's list.
    joining: bool = True
    listed_number: int = NOT_LISTED  # Number of the first list of this term that names it.

    def last_contact_at(self) -> float:
        """Return the latest time at which it may have been in contact with the holder of the role."""
        return max(self.last_heartbeat_at, self.restored_at)


class Members:
    """All known proxies, by name."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.settled_from = -math.inf  # Time from which no unknown proxy can hold a part of the budgets.

    def restore(self, now: float, proxy_name: str, entry: dict[str, Any]) -> None:
        """Add a proxy from the list that an earlier holder of the role published."""
        attributes = {key: value for key, value in entry.items() if key not in ("up", JOINING)}
        joining = bool(entry.get(JOINING))
        member = self.members.setdefault(proxy_name, Member(attributes, "", now, bool(entry.get("up"))))
        member.joining = joining
        member.restored_at = now  # It may have been in contact with the earlier holder until now.

    def begin_term(self) -> None:
        """Start to publish under the numbers of a new term."""
        for member in self.members.values():
            member.joining = True  # Unless the earlier holder's list says otherwise, see `restore`.
            member.listed_number = NOT_LISTED

    def record_report(
        self, now: float, proxy_name: str, attributes: dict[str, Any], incarnation: str, ready: bool, silent: list[str]
    ) -> None:
        """Record a proxy's full heartbeat: its own state, and the watched proxies that it reports as silent."""
        member = self.members.get(proxy_name)
        if member is None or member.incarnation != incarnation:
            joined = Member(attributes, incarnation, now)
            if member is not None:  # The others know the name, whichever process bears it.
                joined.joining, joined.listed_number = member.joining, member.listed_number
                joined.restored_at = member.restored_at
            member = self.members[proxy_name] = joined
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
        """Return the published entry of each proxy; first remove those without contact for `REMOVE_AFTER_S`."""
        for proxy_name in [
            name for name, member in self.members.items() if now - member.last_contact_at() > REMOVE_AFTER_S
        ]:
            del self.members[proxy_name]
        return {proxy_name: self._entry(now, member) for proxy_name, member in self.members.items()}

    def _entry(self, now: float, member: Member) -> dict[str, Any]:
        entry = {**member.attributes, "up": self.is_up(now, member)}
        return {**entry, JOINING: True} if member.joining else entry

    def end_joining(self, now: float, number: int, acknowledged: Mapping[str, int]) -> None:
        """Mark the proxies as known to all that every proxy with a part of the budgets has on its list.

        `number`: number of the published list. `acknowledged`: number of the list that each proxy has acknowledged.
        Cost: linear in the proxies while some are joining.
        """
        joining = [member for member in self.members.values() if member.joining]
        if not joining:
            return
        in_contact = (name for name, each in self.members.items() if now - each.last_contact_at() < CONTACT_LEASE_S)
        known_to_all = min((acknowledged.get(name, NOT_LISTED) for name in in_contact), default=NOT_LISTED)
        for member in joining:
            if member.listed_number == NOT_LISTED:
                member.listed_number = number
            member.joining = known_to_all < member.listed_number or now < self.settled_from
