"""Attempts of admitted requests: sending, queueing for a slot, safe retries and early rejection.

Guarantees: a request has one outstanding attempt at a time; a request that may have run is retried only if its class
allows it; every request leaves `requests` with exactly one final action or with a served answer.
"""

from __future__ import annotations

import bisect

from thistleusher.core import events
from thistleusher.core.actions import Action, Attempt, CancelAttempt, Fail, Refuse
from thistleusher.core.charges import PendingRequest
from thistleusher.core.events import Outcome
from thistleusher.core.settings import Effect, Group, Settings
from thistleusher.policy.fleet import OVERLOADED, Fleet
from thistleusher.policy.usage_replication import UsageReplication

SILENT_FACTOR = 8.0  # total overdue time, in typical latencies, at which a backend counts as silent
SWEEP_S = 0.05  # interval between checks for silent backends and passes over the queue
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Attempts:
    """Admitted and pending requests that have no final answer yet."""

    def __init__(self, settings: Settings, fleet: Fleet, replication: UsageReplication, actions: list[Action]) -> None:
        self.settings = settings
        self.fleet = fleet
        self.replication = replication
        self.actions = actions
        self.requests: dict[str, PendingRequest] = {}
        self.queue = list[PendingRequest]()  # by descending value, then by arrival
        self.timer_set = False

    def client_gone(self, now: float, event: events.ClientGone) -> None:
        """Drop the request of a disconnected client; it gets no answer."""
        self.requests.pop(event.request, None)

    def reject(self, now: float, request: PendingRequest, wait: float) -> None:
        """Refuse a request (retry in `wait` seconds), or fail it if it may have run and a retry is not harmless."""
        del self.requests[request.event.id]
        if request.consumed > 0 and request.attempts == 0:  # it was never sent, so its charge is reversed
            self.replication.reconcile(now, request, -request.consumed)
        effect = request.request_class.effect
        repeatable = effect is Effect.SAFE or (effect is Effect.KEYED and request.request_class.group is Group.ALL)
        if request.ran_at is not None and not repeatable:
            self.actions.append(Fail(request.event.id))
        else:
            self.actions.append(Refuse(request.event.id, min(max(wait, 0.0), self.settings.max_retry_after)))

    def would_be_late(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request would miss its latency target if it were queued now."""
        ahead = 1 + bisect.bisect_right(self.queue, -request.value, key=lambda queued: -queued.value)
        wait = ahead * self.fleet.latency[request.request_class.name] / self.fleet.slots
        return now + wait + self.fleet.base_latency[request.request_class.name] * request.work > request.target

    def send(self, now: float, request: PendingRequest) -> None:
        """Start an attempt, queue the request if a slot is expected in time for its target, or reject it."""
        best = self.fleet.choose(now, request)
        if best is None:
            if self.would_be_late(now, request):
                self.reject(now, request, 0.0)  # reject early rather than after the target has passed
            else:
                bisect.insort_right(self.queue, request, key=lambda queued: -queued.value)
            return
        request.attempts += 1
        request.sent_at = now
        self.fleet.record_attempt(now, best, request)
        self.actions.append(Attempt(request.event.id, best.entry.backend))

    def dispatch(self, now: float) -> None:
        """Send queued requests while slots are free. Only `sweep` visits the entire queue."""
        for _ in range(len(self.queue)):
            if not self.fleet.has_free_slot(now):
                break
            request = self.queue.pop(0)
            if request.event.id in self.requests:
                self.send(now, request)

    def _send_or_reject_queued(self, now: float) -> None:
        """Send queued requests by descending value and reject those that miss their target, so that none starves."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.event.id in self.requests:
                self.send(now, request)

    def sweep(self, now: float) -> None:
        """Eject silent backends, cancel attempts there that can move, and visit the entire queue."""
        self.timer_set = False
        for backend in self.fleet.eject_silent(now, SILENT_FACTOR):
            for name in backend.outstanding:
                request = self.requests.get(name)
                if request is not None and self._should_move(now, request):
                    self.actions.append(CancelAttempt(name, request.attempts - 1))
        self._send_or_reject_queued(now)

    def _should_move(self, now: float, request: PendingRequest) -> bool:
        """Return whether to cancel an attempt at a silent backend and retry it elsewhere.

        An attempt younger than twice its typical latency stays, as the backend may be alive and the request long.
        """
        typical_latency = self.fleet.latency[request.request_class.name] * request.work
        if now - request.sent_at <= 2 * typical_latency or not self.settings.may_cancel:
            return False
        return self._allows_attempt(now, request, request.ran_at or request.sent_at)

    def _allows_attempt(self, now: float, request: PendingRequest, ran_at: float | None) -> bool:
        """Return whether a retry is allowed; if an attempt may have run at `ran_at`, class and window decide too."""
        if request.attempts >= self.settings.max_attempts:
            return False
        if now + self.fleet.base_latency[request.request_class.name] * request.work > request.target:
            return False
        if ran_at is None or request.request_class.effect is Effect.SAFE:
            return True
        return request.request_class.effect is Effect.KEYED and now < ran_at + request.request_class.window - SWEEP_S

    def attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Record an attempt's outcome, then retry the request or give its final answer if it has none."""
        backend = self.fleet.backends.get(event.backend)
        request = self.requests.get(event.request)
        self.fleet.record_outcome(now, event)
        if request is None:
            return
        if event.outcome not in NEVER_RAN and request.ran_at is None and backend is not None:
            request.ran_at = request.sent_at
            request.ran_on = backend.entry
        if event.done:
            self._finish_served(now, request, event)
            return
        request.failed_backends.add(event.backend)
        overloaded = event.outcome is Outcome.FULL and self.fleet.pressure > OVERLOADED  # others are probably full too
        if not overloaded and self._allows_attempt(now, request, request.ran_at):
            self.send(now, request)
        else:
            self.reject(now, request, 0.0)

    def _finish_served(self, now: float, request: PendingRequest, event: events.AttemptEnded) -> None:
        """Remove an answered request. Its true cost corrects the customer's usage (`settles`)."""
        del self.requests[event.request]
        if self.queue:
            self.dispatch(now)
        if event.outcome is Outcome.OK and event.true_units > 0 and self.settings.settles:
            self.replication.reconcile(now, request, event.true_units - request.event.units)
