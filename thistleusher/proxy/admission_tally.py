"""Numbers of requests per tenant that the counter admitted, that this proxy's share admitted, and that were rejected.

The logs of all proxies together then show why a tenant got more, or less, than its limit.

Free of I/O; times are seconds on the monotonic clock. Memory: one record for each tenant with a limit that sent a
request within `REPORT_INTERVAL_S`.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

REPORT_INTERVAL_S = 5.0
MAX_REPORTED = 20  # tenants per report: those with the most requests not admitted by the counter


@dataclass(slots=True)
class TenantTally:
    """One tenant's requests since the last report: admitted by the counter or by this proxy's share, or rejected."""

    by_counter: int = 0
    by_share: int = 0
    rejected: int = 0

    @property
    def not_by_counter(self) -> int:
        """Return the number of requests that the counter did not admit."""
        return self.by_share + self.rejected


class TallyReport(NamedTuple):
    """A tenant's tally for the `interval_s` seconds before the report."""

    tenant: str
    tally: TenantTally
    interval_s: float


class AdmissionTally:
    """Tallies of all tenants since the last report."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.tenants: defaultdict[str, TenantTally] = defaultdict(TenantTally)

    def for_tenant(self, tenant: str) -> TenantTally:
        """Return a tenant's tally for the caller to update; a new one starts at zero."""
        return self.tenants[tenant]

    def reports_due(self, now: float) -> list[TallyReport]:
        """Return the tallies of tenants with requests that the counter did not admit, and reset all tallies.

        Returns an empty list until `REPORT_INTERVAL_S` have passed since the last report.
        """
        interval_s = now - self.started_at
        if interval_s < REPORT_INTERVAL_S:
            return []
        tallies = [(tally.not_by_counter, name) for name, tally in self.tenants.items() if tally.not_by_counter]
        most = sorted(tallies, reverse=True)[:MAX_REPORTED]
        reports = [TallyReport(name, self.tenants[name], interval_s) for _, name in most]
        self.started_at = now
        self.tenants.clear()
        return reports
