"""Decision module of the proxy: charges each request, selects its backend, retries it within a budget, or rejects it.

Guarantees: a request is forwarded only after its tenant's central count or this proxy's share has admitted it. A
request that may have run is retried only if its route declares it idempotent. At most one attempt of a request is in
flight. Every request ends with one final action or a served answer.

A request that ends before an attempt has reached a backend gets its charge refunded, whether it was rejected, its
client disconnected or its deadline passed (the last two arrive as `ClientGone`). Any other charge stays counted, so
that clients that do not wait for their answers get no more than their tenant's quota.

This module replaces the decision module of the ingress (`policy.gateway`) behind the same driver. It handles the same
events and actions, and adds the action `ChargeTenant` and the event `ChargeAnswered`. It delegates to `routing` (the
route's settings), `admission` (rate limits), `backend_selection` and `retries`.

Free of I/O; `now` is in seconds on the monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from thistleusher.common.node_settings import Bounds
from thistleusher.configuration.index import RouteMatch
from thistleusher.configuration.records import Configuration
from thistleusher.core import actions, events
from thistleusher.core.backend_record import Backend
from thistleusher.core.settings import ClassSettings, Effect, PlanSettings, Settings
from thistleusher.policy.fleet import Fleet
from thistleusher.proxy.admission import Admission, Decision
from thistleusher.proxy.backend_selection import LATE_LATENCY_FACTOR, BackendSelector, SilentAttempt
from thistleusher.proxy.budget_peers import BudgetPeers
from thistleusher.proxy.budgets import SLOW_START_WINDOW_S
from thistleusher.proxy.placement import ListedBackend, Locality
from thistleusher.proxy.quota import LocalQuota, RateLimit
from thistleusher.proxy.requests import ChargeAnswered, RequestContext, RequestState
from thistleusher.proxy.retries import Retries
from thistleusher.proxy.routing import allowed_regions, class_settings_of, draw_service

SWEEP_TOKEN = 1  # token of the one timer, which drives the periodic sweep
SWEEP_INTERVAL_S = 0.05
PLAN = "all"  # the driver requires a plan; `admission` enforces the tenants' limits instead
MAX_WAIT_FRACTION = 0.2  # fraction of its latency target that a request may wait for an available backend

SETTINGS = Settings(
    (ClassSettings("-", Effect.UNSAFE, 1.0, 30.0),),
    (PlanSettings(PLAN, 0.0, 0.0),),
    max_retry_after=0.25,
    instances=1,
    may_cancel=True,
    cancel_stops_work=True,
    own_backends=True,
)


class Decisions:
    """Handles the driver's events of one proxy and returns the actions that follow from them."""

    def __init__(
        self,
        name: str,
        zone: str,
        region: str,
        bounds: Bounds,
        rng: random.Random,
        now: float,
        started_at: float | None = None,
    ) -> None:
        """`started_at`: start of this process; if omitted, `now`, and no earlier one of this proxy has run."""
        self.settings = SETTINGS
        self.rng = rng
        self.pending_actions: list[Any] = []  # shared with the components, which append to this list object
        self.quota = LocalQuota(now, bounds, started_at)
        self.admission = Admission(self.quota, rng, self.pending_actions, now)
        locality = Locality(zone, region)
        self.peers = BudgetPeers(self.quota)
        cold_from = started_at + SLOW_START_WINDOW_S if started_at is not None else now
        self.selector = BackendSelector(
            name, locality, bounds, SETTINGS, rng, self.pending_actions, self.peers, cold_from
        )
        self.retries = Retries(bounds, self.peers)
        self.config: Configuration | None = None
        self.classes: dict[str, ClassSettings] = {}  # by route of the configuration in force
        self.announced: dict[str, RequestContext] = {}
        self.requests: dict[str, RequestState] = {}
        self.waiting: list[str] = []  # requests that no backend has been able to take so far
        self.timer_set = False
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            events.Request: self._on_request,
            ChargeAnswered: self._on_charge_answered,
            events.AttemptEnded: self._on_attempt_ended,
            events.ClientGone: self._on_client_gone,
            events.TimerFired: self._on_timer,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        """Handle one event and return the actions that follow from it."""
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        if not self.timer_set and (self.requests or self.admission.awaiting_verdict):
            self.timer_set = True
            self.pending_actions.append(actions.SetTimer(SWEEP_INTERVAL_S, SWEEP_TOKEN))
        due = self.pending_actions.copy()
        self.pending_actions.clear()
        return due

    # Updates of the cluster state.

    def apply_configuration(self, now: float, config: Configuration) -> None:
        """Apply a configuration to new requests; requests in flight keep the route that they matched."""
        self.config = config
        self.classes = {name: class_settings_of(RouteMatch(name, route)) for name, route in config.routes.items()}
        limits = {name: RateLimit(tenant.rate_per_s, tenant.burst) for name, tenant in config.tenants.items()}
        self.quota.set_limits(limits)
        self.selector.apply_services(now, config.services)

    def apply_backends(self, now: float, listed: dict[str, ListedBackend]) -> None:
        """Replace the backend list."""
        self.selector.apply_list(now, listed)

    def apply_proxies(self, names: Sequence[str], is_known_to_all: bool = True) -> None:
        """Set the proxies that may send, among which the common budgets are divided.

        `is_known_to_all`: whether all others know this proxy, so that it may use its part.
        """
        self.peers.update(names, is_known_to_all)

    def apply_evacuations(self, now: float, zones: set[str]) -> None:
        """Set the evacuated zones."""
        self.selector.apply_evacuations(now, zones)

    def mark_misdirected(self, backend: str) -> None:
        """Stop sending requests to a backend whose address belongs to another one."""
        self.selector.misdirected.add(backend)

    # Requests, from arrival to the first attempt.

    def class_of(self, match: RouteMatch) -> ClassSettings:
        """Return the class of a request by the route that it matched.

        A pipelined request may have matched a route that has been removed or changed since it was read.
        """
        if self.config is not None and self.config.routes.get(match.name) is match.route:
            return self.classes[match.name]
        return class_settings_of(match)

    def announce(self, request: str, context: RequestContext) -> None:
        """Store the route and tenant of the request with this id, whose event follows."""
        self.announced[request] = context

    def _on_request(self, now: float, event: events.Request) -> None:
        context = self.announced.pop(event.id)
        config = self.config
        assert config is not None
        match = context.match
        tenant = config.tenants.get(context.tenant) if context.tenant is not None else None
        settings = self.class_of(match)
        regions = allowed_regions(match.route.regions_allowed, tenant.regions_allowed if tenant is not None else ())
        service = draw_service(match, self.rng)
        request = self.requests[event.id] = RequestState(event, context, settings, now, service, regions)
        self.retries.budget_of(service).record_request(now)
        if regions is not None and not regions:
            self._reject(request, 0.0)  # no region may serve it, so its tenant is not charged
            return
        decision = self.admission.begin(now, request)
        if decision is not None:
            self._apply_admission_decision(now, request, decision)

    def _on_charge_answered(self, now: float, event: ChargeAnswered) -> None:
        request = self.requests.get(event.request)
        decision = self.admission.charge_answered(now, event, request)
        if request is not None and decision is not None:
            self._apply_admission_decision(now, request, decision)

    def _apply_admission_decision(self, now: float, request: RequestState, decision: Decision) -> None:
        if decision.admitted:
            self._place(now, request)
        else:
            self._reject(request, decision.retry_after_s)

    def _place(self, now: float, request: RequestState) -> None:
        """Send the request to the best backend; if none can take it, let it wait for a short time or answer it."""
        fleet = self.selector.fleet_of(now, request.service)
        best = self.selector.select(now, fleet, request)
        name = request.event.id
        if best is not None:
            self._send(now, fleet, request, best)
        elif name not in self.waiting:
            some_region = request.allowed_regions is None or bool(request.allowed_regions)
            if some_region and now - request.received_at < MAX_WAIT_FRACTION * request.request_class.objective:
                self.waiting.append(name)
            else:
                self._give_up(request)

    def _send(self, now: float, fleet: Fleet, request: RequestState, backend: Backend) -> None:
        request.attempts += 1
        request.attempt_out = True
        request.sent_at = now
        request.backend = backend.entry.backend
        if request.attempts_arrived:
            self.retries.budget_of(request.service).record_retry(now)
        self.selector.record_sent(now, fleet, request, backend)
        self.pending_actions.append(actions.Attempt(request.event.id, request.backend))

    # The end of attempts and requests.

    def _on_attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        self.selector.record_ended(now, event)
        request = self.requests.get(event.request)
        if request is None:
            return
        request.attempt_out = False
        self.retries.record_attempt_end(request, event)
        if event.done:
            self._forget(request)
            return
        if self.retries.allowed(now, request):
            self._place(now, request)
        else:
            self._give_up(request)

    def _on_client_gone(self, now: float, event: events.ClientGone) -> None:
        """Forget a request, or wait for the end of its attempt, which tells whether a backend may have received it."""
        self.admission.forget(event.request)
        request = self.requests.get(event.request)
        if request is not None and not request.attempt_out:
            self._forget(request)

    def _forget(self, request: RequestState) -> None:
        """Forget a request that needs no answer; its charge is refunded unless an attempt has reached a backend."""
        del self.requests[request.event.id]
        self.admission.refund(request)

    def _give_up(self, request: RequestState) -> None:
        """End a request: rejected if it certainly has not run, failed otherwise."""
        if request.may_have_run:
            self.requests.pop(request.event.id, None)
            self.pending_actions.append(actions.Fail(request.event.id))
        else:
            self._reject(request, 0.0)

    def _reject(self, request: RequestState, retry_after_s: float) -> None:
        self.requests.pop(request.event.id, None)
        self.admission.refund(request)
        self.pending_actions.append(actions.Refuse(request.event.id, retry_after_s))

    # The periodic sweep.

    def _on_timer(self, now: float, event: events.TimerFired) -> None:
        self.timer_set = False
        for request, decision in self.admission.decide_overdue(now, self.requests):
            self._apply_admission_decision(now, request, decision)
        self._place_waiting(now)
        for attempt in self.selector.silent_attempts(now):
            self._cancel_if_late(now, attempt)

    def _place_waiting(self, now: float) -> None:
        waiting = self.waiting
        self.waiting = []
        for name in waiting:
            request = self.requests.get(name)
            if request is not None:
                self._place(now, request)

    def _cancel_if_late(self, now: float, attempt: SilentAttempt) -> None:
        """Cancel a late attempt at a silent backend if another backend can take its request.

        Without such a backend the attempt continues: its answer may still arrive, and there is no alternative.
        """
        request = self.requests.get(attempt.request)
        if request is None or not request.match.route.idempotent:
            return
        if request.backend != attempt.backend.entry.backend:
            return
        is_late = now - request.sent_at > LATE_LATENCY_FACTOR * attempt.fleet.latency[request.request_class.name]
        if not is_late or not self.retries.allowed(now, request):
            return
        other = self.selector.select(now, attempt.fleet, request)
        if other is not None and other.entry.backend != request.backend:
            self.pending_actions.append(actions.CancelAttempt(attempt.request, request.attempts - 1))
