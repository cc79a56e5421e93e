"""What admitted each tenant's requests at this proxy, the count or this proxy's share, and how many were rejected.

It tells from the logs of all proxies by which way a tenant got more, or less, than its limit.

Pure; seconds on the steady clock. Memory: one record for each tenant with a limit that sent a request within
`REPORT_INTERVAL_S`.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

REPORT_INTERVAL_S = 5.0
MAX_REPORTED = 20  # tenants in one report, those with the most requests that the count did not admit


@dataclass(slots=True)
class TenantTally:
    """One tenant's requests since the last report: admitted by the count, by this proxy's share, and rejected."""

    counted: int = 0
    by_share: int = 0
    rejected: int = 0

    @property
    def not_counted(self) -> int:
        """Return how many requests the count did not admit."""
        return self.by_share + self.rejected


class TallyReport(NamedTuple):
    """A tenant's tally over the `for_s` seconds before the report."""

    tenant: str
    tally: TenantTally
    for_s: float


class AdmissionTally:
    """The tallies of all tenants since the last report."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.tenants: defaultdict[str, TenantTally] = defaultdict(TenantTally)

    def of(self, tenant: str) -> TenantTally:
        """Return a tenant's tally, to add to."""
        return self.tenants[tenant]

    def reports_due(self, now: float) -> list[TallyReport]:
        """Return the tallies of tenants of which not every request was admitted by the count, and begin anew.

        Empty until `REPORT_INTERVAL_S` after the last time.
        """
        for_s = now - self.since
        if for_s < REPORT_INTERVAL_S:
            return []
        tallies = [(tally.not_counted, name) for name, tally in self.tenants.items() if tally.not_counted]
        most = sorted(tallies, reverse=True)[:MAX_REPORTED]
        reports = [TallyReport(name, self.tenants[name], for_s) for _, name in most]
        self.since = now
        self.tenants.clear()
        return reports
