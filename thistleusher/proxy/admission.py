"""Admission of requests by their tenants' rate limits: charges to the counter, its verdicts, and refunds.

Invariants: a request of a limited tenant is admitted by its central charge, or by this ingress's own share where the
counter says nothing; by one of them alone; a charge whose request was never sent on by it is refunded once.

Pure; seconds on the steady clock. A charge or refund is appended to the decision module's actions.
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

RETRY_MARGIN_S = 0.05  # added to the time until a tenant's next window
RETRY_SPREAD_S = 0.2  # drawn on top, so that rejected clients do not come back all at once


class Ruling(NamedTuple):
    """Whether a request is admitted; if not, after how many seconds it is worth coming back (0: unknown)."""

    admitted: bool
    retry_after_s: float = 0.0


ADMITTED = Ruling(True)


class Admission:
    """Requests whose charge has no verdict yet, and the rulings on all."""

    def __init__(self, quota: LocalQuota, rng: random.Random, actions: list[Any], now: float) -> None:
        self.tally = AdmissionTally(now)
        self.admitted = AdmittedRequests(quota.started_at, quota.bounds.quota_window_s)
        self.quota = quota
        self.rng = rng
        self.actions = actions
        self.awaiting_verdict: dict[str, float] = {}  # requests, and since when; the oldest first

    def begin(self, now: float, request: RequestState) -> Ruling | None:
        """Rule on a new request, or charge its tenant and return None: the verdict or `overdue` rules on it later."""
        tenant = request.tenant
        if tenant is None or not self.quota.is_limited(tenant):
            return ADMITTED
        if self.quota.is_isolated(now):
            return self._rule_locally(now, request, tenant)
        request.charge_open = True
        self.awaiting_verdict[request.event.id] = now
        self.actions.append(ChargeTenant(request.event.id, tenant, 1))
        return None

    def charge_answered(self, now: float, event: ChargeAnswered, request: RequestState | None) -> Ruling | None:
        """Rule on a request by the counter's verdict.

        None where there is nothing left to rule on: its client has left, or this ingress's share has admitted it. The
        charge was refunded then.
        """
        self.awaiting_verdict.pop(event.request, None)
        if request is None or request.charge_settled or request.tenant is None:
            return None
        request.charge_window = event.window
        if event.verdict != ALLOWED:
            # Shares beside a spent count would add up to more than the limit: each of many ingresses has a part of one.
            self.refund(request)
            self.tally.of(request.tenant).rejected += 1
            return Ruling(False, event.left + RETRY_MARGIN_S + RETRY_SPREAD_S * self.rng.random())
        request.charge_settled = True
        self.tally.of(request.tenant).counted += 1
        self.admitted.add(now, request.tenant)
        return ADMITTED

    def overdue(self, now: float, requests: Mapping[str, RequestState]) -> Iterator[tuple[RequestState, Ruling]]:
        """Yield rulings by this ingress's own share on requests whose verdict is late.

        Each is to be acted on before the next is taken. While this ingress is isolated, all that wait are ruled on.
        Else only those are that have waited for `VERDICT_TIMEOUT_S` and that the share admits; the others wait on.
        """
        isolated = self.quota.is_isolated(now)
        for name, since in list(self.awaiting_verdict.items()):
            request = requests.get(name)
            if request is None or request.tenant is None:
                del self.awaiting_verdict[name]
            elif isolated:
                del self.awaiting_verdict[name]
                yield request, self._rule_locally(now, request, request.tenant)
            elif now - since < VERDICT_TIMEOUT_S:
                break  # the oldest come first
            elif self.quota.spend(now, request.tenant):
                del self.awaiting_verdict[name]
                self._admitted_by_share(now, request.tenant)
                self.refund(request)
                request.charge_settled = True
                yield request, ADMITTED

    def forget(self, request: str) -> None:
        """Stop waiting for the verdict on a request whose client has left."""
        self.awaiting_verdict.pop(request, None)

    def refund(self, request: RequestState) -> None:
        """Refund a request's charge, once, unless an attempt of it has reached a backend."""
        if request.charge_open and request.tenant is not None and not request.attempts_arrived:
            request.charge_open = False
            self.actions.append(ChargeTenant(request.event.id, request.tenant, -1, request.charge_window))

    def _rule_locally(self, now: float, request: RequestState, tenant: str) -> Ruling:
        """Refund the request's charge, as no verdict is to be had, and rule by this ingress's own share.

        A rejection leaves as one for lack of capacity (503), not as one by quota (429).
        """
        self.refund(request)
        if not self.quota.spend(now, tenant):
            self.tally.of(tenant).rejected += 1
            return Ruling(False)
        self._admitted_by_share(now, tenant)
        request.charge_settled = True
        return ADMITTED

    def _admitted_by_share(self, now: float, tenant: str) -> None:
        self.tally.of(tenant).by_share += 1
        self.admitted.add(now, tenant)
