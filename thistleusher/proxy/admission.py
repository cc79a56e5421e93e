"""Admission of requests under their tenants' rate limits: charges to the counter, its verdicts, and refunds.

Invariants: a request of a limited tenant is admitted either by the counter's verdict or, if the counter does not
answer, by this proxy's own share, never by both. A charge that did not lead to an attempt at a backend is refunded
exactly once.

Free of I/O; times are seconds on the monotonic clock. Charges and refunds are appended to the decision module's
actions.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from thistleusher.common.quota_timing import ALLOWED, VERDICT_TIMEOUT_S
from thistleusher.proxy.admission_tally import AdmissionTally
from thistleusher.proxy.admitted_requests import AdmittedRequests
from thistleusher.proxy.quota import LocalQuota
from thistleusher.proxy.requests import ChargeAnswered, ChargeTenant, RequestState

RETRY_MARGIN_S = 0.05  # added to the time until the tenant's next window, so that a retry does not arrive before it
RETRY_SPREAD_S = 0.2  # upper bound of the random delay added on top, so that rejected clients do not retry all at once


class Decision(NamedTuple):
    """Whether a request is admitted; if not, after how many seconds the client may retry (0: unknown)."""

    admitted: bool
    retry_after_s: float = 0.0


ADMITTED = Decision(True)


class Admission:
    """Decides on the admission of each request and tracks the requests whose charge has no verdict yet."""

    def __init__(self, quota: LocalQuota, rng: random.Random, actions: list[Any], now: float) -> None:
        self.tally = AdmissionTally(now)
        self.admitted = AdmittedRequests(quota.started_at, quota.bounds.quota_window_s)
        self.quota = quota
        self.rng = rng
        self.actions = actions
        self.awaiting_verdict: dict[str, float] = {}  # time of the charge by request id, oldest first

    def begin(self, now: float, request: RequestState) -> Decision | None:
        """Return the decision on a new request, None if it follows after the verdict on a charge sent now."""
        tenant = request.tenant
        if tenant is None or not self.quota.is_limited(tenant):
            return ADMITTED
        if self.quota.is_isolated(now):
            return self._decide_locally(now, request, tenant)
        request.charge_open = True
        self.awaiting_verdict[request.event.id] = now
        self.actions.append(ChargeTenant(request.event.id, tenant, 1))
        return None

    def charge_answered(self, now: float, event: ChargeAnswered, request: RequestState | None) -> Decision | None:
        """Return the decision on a request by the counter's verdict.

        Returns None if no decision is pending: the client has disconnected, or this proxy's share has admitted the
        request already. The charge has been refunded in both cases.
        """
        self.awaiting_verdict.pop(event.request, None)
        if request is None or request.charge_settled or request.tenant is None:
            return None
        request.charge_window = event.window
        if event.verdict != ALLOWED:
            # The share is not tried: the shares of all proxies on top of the used-up count would exceed the limit.
            self.refund(request)
            self.tally.for_tenant(request.tenant).rejected += 1
            return Decision(False, event.left + RETRY_MARGIN_S + RETRY_SPREAD_S * self.rng.random())
        request.charge_settled = True
        self.tally.for_tenant(request.tenant).by_counter += 1
        self.admitted.add(now, request.tenant)
        return ADMITTED

    def decide_overdue(
        self, now: float, requests: Mapping[str, RequestState]
    ) -> Iterator[tuple[RequestState, Decision]]:
        """Yield decisions, made by this proxy's own share, on requests whose verdict is late.

        The caller must act on each decision before it takes the next one. While this proxy is isolated, every waiting
        request is decided. Otherwise only requests that have waited for `VERDICT_TIMEOUT_S` and that the share admits
        are decided; all others keep waiting.
        """
        isolated = self.quota.is_isolated(now)
        for name, charged_at in list(self.awaiting_verdict.items()):
            request = requests.get(name)
            if request is None or request.tenant is None:
                del self.awaiting_verdict[name]
            elif isolated:
                del self.awaiting_verdict[name]
                yield request, self._decide_locally(now, request, request.tenant)
            elif now - charged_at < VERDICT_TIMEOUT_S:
                break  # ordered by age: all further requests have waited for less
            elif self.quota.spend(now, request.tenant):
                del self.awaiting_verdict[name]
                self._admitted_by_share(now, request.tenant)
                self.refund(request)
                request.charge_settled = True
                yield request, ADMITTED

    def forget(self, request: str) -> None:
        """Stop waiting for the verdict on a request whose client has disconnected."""
        self.awaiting_verdict.pop(request, None)

    def refund(self, request: RequestState) -> None:
        """Refund a request's charge once, unless one of its attempts has reached a backend."""
        if request.charge_open and request.tenant is not None and not request.attempts_arrived:
            request.charge_open = False
            self.actions.append(ChargeTenant(request.event.id, request.tenant, -1, request.charge_window))

    def _decide_locally(self, now: float, request: RequestState, tenant: str) -> Decision:
        """Refund the request's charge, as no verdict can be expected, and decide by this proxy's own share.

        The client gets a rejection as lack of capacity (503), not as an exceeded quota (429).
        """
        self.refund(request)
        if not self.quota.spend(now, tenant):
            self.tally.for_tenant(tenant).rejected += 1
            return Decision(False)
        self._admitted_by_share(now, tenant)
        request.charge_settled = True
        return ADMITTED

    def _admitted_by_share(self, now: float, tenant: str) -> None:
        self.tally.for_tenant(tenant).by_share += 1
        self.admitted.add(now, tenant)
