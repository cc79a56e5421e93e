"""Retry policy: decides by a request's past attempts, its route, its deadline and the retry budget.

Invariant: a request that may have run is retried only if its route declares it idempotent.

Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from thistleusher.common.node_settings import Bounds
from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.proxy.budget_peers import BudgetPeers
from thistleusher.proxy.budgets import RetryBudget
from thistleusher.proxy.requests import RequestState

MAX_ATTEMPTS = 5  # attempts per request, whether they reached a backend or not
NEVER_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.MOOT)
NEVER_RAN = (Outcome.FULL, *NEVER_ARRIVED)


class Retries:
    """Holds the retry budgets of all services and decides whether a request may be retried."""

    def __init__(self, bounds: Bounds, peers: BudgetPeers) -> None:
        """`peers`: the proxies among which the budgets' slack is divided."""
        self.bounds = bounds
        self.peers = peers
        self.budgets: dict[str, RetryBudget] = {}

    def budget_of(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            self.budgets[service] = budget
        return budget

    @staticmethod
    def record_attempt_end(request: RequestState, event: events.AttemptEnded) -> None:
        """Record on the request what the end of an attempt proves; rejected and cancelled attempts count as well."""
        request.failed_backends.add(event.backend)
        if event.outcome not in NEVER_ARRIVED:
            request.attempts_arrived += 1
        if event.outcome not in NEVER_RAN:
            request.may_have_run = True

    def allowed(self, now: float, request: RequestState) -> bool:
        """Return whether one more attempt is allowed; it needs no budget if no attempt has reached a backend so far."""
        route = request.match.route
        if request.may_have_run and not route.idempotent:
            return False
        if request.attempts >= MAX_ATTEMPTS or now >= request.deadline:
            return False
        if request.attempts_arrived >= max(1, route.tries):
            return False
        if not request.attempts_arrived:
            return True
        return self.budget_of(request.service).allows(now, len(self.peers.dividing(now)))
