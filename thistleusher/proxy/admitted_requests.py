"""What this proxy has admitted of late, by tenant and by slots of time, and its report to a new counter.

A counter that takes over begins with no counts, and has to assume that every limit was used up before its start. The
reports of all proxies tell it what was really admitted. From the moment of its report on, a proxy admits by the new
counter's verdicts, and by what that counter deducts for it, so nothing is left out.

Pure; seconds on the steady clock. Memory: one number for each limited tenant with an admitted request and slot, over
`REMEMBERED_SPANS` of the rule.
"""

from __future__ import annotations

from collections import defaultdict, deque

from thistleusher.common.incarnations import has_lease_term
from thistleusher.common.quota_timing import SLOTS_PER_SPAN
from thistleusher.transport.messages import AdmissionReport

REMEMBERED_SPANS = 2  # a report that arrives late still has to cover the span before its arrival
REPEAT_S = 0.3  # between reports to a counter that has not acknowledged one


class AdmittedRequests:
    """The requests admitted here, the newest slot last."""

    def __init__(self, started_at: float, span_s: float) -> None:
        """`started_at`: of this process, before which nothing is known here; `span_s`: length of the rule's spans."""
        self.started_at = started_at
        self.span_s = span_s
        self.remembered_s = REMEMBERED_SPANS * span_s
        self.slot_s = span_s / SLOTS_PER_SPAN
        self.slots: deque[tuple[int, defaultdict[str, int]]] = deque()

    def add(self, now: float, tenant: str) -> None:
        """Record that a request of a limited tenant is admitted now."""
        number = int(now // self.slot_s)
        if not self.slots or self.slots[-1][0] < number:
            self.slots.append((number, defaultdict(int)))
            self._forget(now)
        self.slots[-1][1][tenant] += 1

    def _forget(self, now: float) -> None:
        while self.slots[0][0] * self.slot_s < now - self.remembered_s:
            self.slots.popleft()

    def since(self, now: float) -> float:
        """Return from when on everything that was admitted is known here."""
        return max(self.started_at, now - self.remembered_s)

    def by_tenant(self) -> dict[str, list[tuple[float, int]]]:
        """Return for each tenant when its requests were admitted, at the latest, and how many then."""
        admitted: defaultdict[str, list[tuple[float, int]]] = defaultdict(list)
        for number, counts in self.slots:
            for tenant, count in counts.items():
                admitted[tenant].append(((number + 1) * self.slot_s, count))
        return dict(admitted)


class AdmissionReporter:
    """Reports to each new counter what was admitted before its first echo came, until it acknowledges."""

    def __init__(self, incarnation: str, admitted: AdmittedRequests) -> None:
        self.incarnation = incarnation
        self.admitted = admitted
        self.counter = ""
        self.since = 0.0
        self.by_tenant: dict[str, list[tuple[float, int]]] = {}
        self.next_at: float | None = None  # None: nothing is to be reported

    def counter_changed(self, now: float, counter: str) -> None:
        """Begin to report to a counter, unless it is of release 0.2, which takes no reports."""
        self.counter = counter
        self.since = self.admitted.since(now)
        self.by_tenant = self.admitted.by_tenant()
        self.next_at = now if has_lease_term(counter) else None

    def due(self, now: float) -> AdmissionReport | None:
        """Return the report, if it is due; it stays the same but for the ages."""
        if self.next_at is None or now < self.next_at:
            return None
        self.next_at = now + REPEAT_S
        ages = {tenant: self._ages_within_span(now, entries) for tenant, entries in self.by_tenant.items()}
        admitted = {tenant: entries for tenant, entries in ages.items() if entries}
        return AdmissionReport(self.incarnation, self.counter, now - self.since, admitted)

    def _ages_within_span(self, now: float, entries: list[tuple[float, int]]) -> list[tuple[float, int]]:
        return [(max(0.0, now - at), count) for at, count in entries if now - at <= self.admitted.span_s]

    def acknowledged(self, counter: str) -> None:
        """Stop reporting to the counter that has the report."""
        if counter == self.counter:
            self.next_at = None
            self.by_tenant = {}
