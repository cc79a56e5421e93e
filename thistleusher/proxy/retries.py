"""Whether a request may be sent again: by what is known of its attempts, its route, its time and the retry budget.

Invariant: a request that may have run is sent again only if its route declares it repeatable.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from thistleusher.common.node_settings import Bounds
from thistleusher.core import events
from thistleusher.core.events import Outcome
from thistleusher.proxy.budgets import ASSUMED_INGRESSES, RetryBudget
from thistleusher.proxy.requests import RequestState

MAX_ATTEMPTS = 5  # of one request, whether they reached a backend or not
NEVER_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.MOOT)
NEVER_RAN = (Outcome.FULL, *NEVER_ARRIVED)


class Retries:
    """The retry budgets of all services, and the rule on one request."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.budgets: dict[str, RetryBudget] = {}
        self.ingress_count = ASSUMED_INGRESSES

    def budget_of(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            self.budgets[service] = budget
        return budget

    @staticmethod
    def record_end(request: RequestState, event: events.AttemptEnded) -> None:
        """Note on the request what the end of an attempt proves; rejected and cancelled ones count, too."""
        request.failed_backends.add(event.backend)
        if event.outcome not in NEVER_ARRIVED:
            request.attempts_arrived += 1
        if event.outcome not in NEVER_RAN:
            request.may_have_run = True

    def allowed(self, now: float, request: RequestState) -> bool:
        """Return whether one more attempt is allowed. One after attempts that never arrived needs no budget."""
        route = request.match.route
        if request.may_have_run and not route.idempotent:
            return False
        if request.attempts >= MAX_ATTEMPTS or now >= request.deadline:
            return False
        if request.attempts_arrived >= max(1, route.tries):
            return False
        return not request.attempts_arrived or self.budget_of(request.service).allows(now, self.ingress_count)
