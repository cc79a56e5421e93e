"""Recently admitted requests by tenant and time slot, and the report of them to a new counter.

A counter that takes over starts without counts and has to assume that every limit was used up before its start. The
reports of all proxies tell it how many requests were really admitted. From its report on, a proxy admits requests only
by the new counter's verdicts or by the share that this counter deducts for it, so that no admission goes uncounted.

Free of I/O; times are seconds on the monotonic clock. Memory: one number per slot and limited tenant with an admitted
request, for `RETAINED_SPANS` spans of the quota rule.
"""

from __future__ import annotations

from collections import defaultdict, deque

from thistleusher.common.incarnations import has_lease_term
from thistleusher.common.quota_timing import SLOTS_PER_SPAN
from thistleusher.transport.messages import AdmissionReport

RETAINED_SPANS = 2  # spans kept: a report that arrives late must still cover the whole span before its arrival
REPORT_REPEAT_S = 0.3  # interval between reports until the counter acknowledges one


class AdmittedRequests:
    """Requests that this proxy has admitted, by time slot, the newest slot last."""

    def __init__(self, started_at: float, span_s: float) -> None:
        """`started_at`: start of this process, before which nothing is recorded; `span_s`: span of the quota rule."""
        self.started_at = started_at
        self.span_s = span_s
        self.retention_s = RETAINED_SPANS * span_s
        self.slot_s = span_s / SLOTS_PER_SPAN
        self.slots: deque[tuple[int, defaultdict[str, int]]] = deque()

    def add(self, now: float, tenant: str) -> None:
        """Record the admission of a request of a limited tenant."""
        number = int(now // self.slot_s)
        if not self.slots or self.slots[-1][0] < number:
            self.slots.append((number, defaultdict(int)))
            self._drop_expired(now)
        self.slots[-1][1][tenant] += 1

    def _drop_expired(self, now: float) -> None:
        while self.slots[0][0] * self.slot_s < now - self.retention_s:
            self.slots.popleft()

    def complete_since(self, now: float) -> float:
        """Return the time since which all admitted requests are recorded."""
        return max(self.started_at, now - self.retention_s)

    def by_tenant(self) -> dict[str, list[tuple[float, int]]]:
        """Return pairs (end of the slot, number of requests admitted in it) for each tenant."""
        admitted: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)
        for number, counts in self.slots:
            for tenant, count in counts.items():
                admitted[tenant].append(((number + 1) * self.slot_s, count))
        return dict(admitted)


class AdmissionReporter:
    """Reports the requests admitted so far to each new counter, and repeats the report until it is acknowledged."""

    def __init__(self, incarnation: str, admitted: AdmittedRequests) -> None:
        self.incarnation = incarnation
        self.admitted = admitted
        self.counter = ""
        self.complete_since = 0.0
        self.by_tenant: dict[str, list[tuple[float, int]]] = {}
        self.next_at: float | None = None  # None: no report is pending

    def counter_changed(self, now: float, counter: str) -> None:
        """Start reporting to a new counter; counters of release 0.2 are skipped, as they do not accept reports."""
        self.counter = counter
        self.complete_since = self.admitted.complete_since(now)
        self.by_tenant = self.admitted.by_tenant()
        self.next_at = now if has_lease_term(counter) else None

    def due(self, now: float) -> AdmissionReport | None:
        """Return the report if it is due; repeated reports to one counter differ only in the ages."""
        if self.next_at is None or now < self.next_at:
            return None
        self.next_at = now + REPORT_REPEAT_S
        ages = {tenant: self._ages_within_span(now, entries) for tenant, entries in self.by_tenant.items()}
        admitted = {tenant: entries for tenant, entries in ages.items() if entries}
        return AdmissionReport(self.incarnation, self.counter, now - self.complete_since, admitted)

    def _ages_within_span(self, now: float, entries: list[tuple[float, int]]) -> list[tuple[float, int]]:
        return [(max(0.0, now - at), count) for at, count in entries if now - at <= self.admitted.span_s]

    def acknowledged(self, counter: str) -> None:
        """Stop reporting, unless the acknowledgement came from a former counter."""
        if counter == self.counter:
            self.next_at = None
            self.by_tenant = {}
