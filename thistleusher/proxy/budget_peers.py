"""Among which proxies the common budgets are divided, and whether this proxy may use its part now.

All proxies that may still send are counted, whether clients are sent to them or not: one that shuts down, starts, or
is out of contact with the registry goes on with the requests that reach it. So every proxy on the registry's list
counts. For the sum of the parts to stay within a budget while the views of the list differ, a part is a lease:

- It holds for `CONTACT_LEASE_S` after the last contact with the registry. The registry removes a proxy from its list
  only after a longer silence, so a proxy that is not counted any more has no part.
- A proxy that has joined has no part until the registry has marked it as known to all others (`registry.members`).
  Whoever does not know it has been out of contact for so long that it has no part itself.

No contact yet, or no list: no part. Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from thistleusher.common.quota_timing import CONTACT_LEASE_S
from thistleusher.proxy.quota import LocalQuota


class BudgetPeers:
    """The proxies that divide the budgets, as this proxy knows them."""

    def __init__(self, quota: LocalQuota) -> None:
        """`quota` holds the time of the last contact with the registry."""
        self.quota = quota
        self.names: list[str] = []
        self.is_known_to_all = False

    def update(self, names: Sequence[str], is_known_to_all: bool) -> None:
        """Set the proxies of the registry's list, and whether all others know this one."""
        self.names = sorted(names)
        self.is_known_to_all = is_known_to_all

    def dividing(self, now: float) -> list[str]:
        """Return the names of the proxies that divide the budgets, empty if this proxy has no part now."""
        has_contact = now - self.quota.echoed_sent_at < CONTACT_LEASE_S
        return self.names if has_contact and self.is_known_to_all else []
