"""Attempts of admitted requests: sent, queued for a slot, retried where that is safe, rejected in time.

Guarantees: one attempt of a request is out at a time; what may have run is sent again only where its class allows it;
every request leaves `requests` with exactly one final action or with an answer that was served.
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

SILENT_FACTOR = 8.0  # usual latencies of owed answers after which a backend counts as silent
SWEEP_S = 0.05  # between looks at silent backends and at the queue
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Attempts:
    """Requests that are owed an answer."""

    def __init__(self, settings: Settings, fleet: Fleet, replication: UsageReplication, actions: list[Action]) -> None:
        self.settings = settings
        self.fleet = fleet
        self.replication = replication
        self.actions = actions
        self.requests: dict[str, PendingRequest] = {}
        self.queue = list[PendingRequest]()  # the highest value first, then in the order of arrival
        self.timer_set = False

    def client_gone(self, now: float, event: events.ClientGone) -> None:
        """Drop a request: nothing more is owed."""
        self.requests.pop(event.request, None)

    def reject(self, now: float, request: PendingRequest, wait: float) -> None:
        """Give the final answer: refused, to be retried in `wait` seconds, or failed where it may have run."""
        del self.requests[request.event.id]
        if request.consumed > 0 and request.attempts == 0:  # what was never sent uses nothing up
            self.replication.reconcile(now, request, -request.consumed)
        effect = request.request_class.effect
        repeatable = effect is Effect.SAFE or (effect is Effect.KEYED and request.request_class.group is Group.ALL)
        if request.ran_at is not None and not repeatable:
            self.actions.append(Fail(request.event.id))
        else:
            self.actions.append(Refuse(request.event.id, min(max(wait, 0.0), self.settings.max_retry_after)))

    def would_be_late(self, now: float, request: PendingRequest) -> bool:
        """Return whether a request that has to be queued cannot meet its latency target."""
        ahead = 1 + bisect.bisect_right(self.queue, -request.value, key=lambda queued: -queued.value)
        wait = ahead * self.fleet.latency[request.request_class.name] / self.fleet.slots
        return now + wait + self.fleet.base_latency[request.request_class.name] * request.work > request.target

    def send(self, now: float, request: PendingRequest) -> None:
        """Start an attempt, or queue the request if a slot should come free in time for its target."""
        best = self.fleet.choose(now, request)
        if best is None:
            if self.would_be_late(now, request):
                self.reject(now, request, 0.0)  # early, not late
            else:
                bisect.insort_right(self.queue, request, key=lambda queued: -queued.value)
            return
        request.attempts += 1
        request.sent_at = now
        self.fleet.sent(now, best, request)
        self.actions.append(Attempt(request.event.id, best.entry.backend))

    def dispatch(self, now: float) -> None:
        """Send queued requests while slots are free; the whole queue is looked through at each sweep only."""
        for _ in range(len(self.queue)):
            if not self.fleet.has_free_slot(now):
                break
            request = self.queue.pop(0)
            if request.event.id in self.requests:
                self.send(now, request)

    def _send_or_reject_queued(self, now: float) -> None:
        """Send what is queued, highest value first, or reject what cannot meet its target any more: none may starve."""
        queued = self.queue
        self.queue = []
        for request in queued:
            if request.event.id in self.requests:
                self.send(now, request)

    def sweep(self, now: float) -> None:
        """Find silent backends by the answers they owe, and look through the queue."""
        self.timer_set = False
        for backend in self.fleet.eject_silent(now, SILENT_FACTOR):
            for name in backend.outstanding:
                request = self.requests.get(name)
                if request is not None and self._should_move(now, request):
                    self.actions.append(CancelAttempt(name, request.attempts - 1))
        self._send_or_reject_queued(now)

    def _should_move(self, now: float, request: PendingRequest) -> bool:
        """Return whether an attempt at a silent backend is cancelled to be repeated elsewhere.

        A long request at a live server is left alone.
        """
        usual = self.fleet.latency[request.request_class.name] * request.work
        if now - request.sent_at <= 2 * usual or not self.settings.may_cancel:
            return False
        return self._allows_attempt(now, request, request.ran_at or request.sent_at)

    def _allows_attempt(self, now: float, request: PendingRequest, ran_at: float | None) -> bool:
        """Return whether one more attempt is allowed; if one may have run at `ran_at`, by class and window too."""
        if request.attempts >= self.settings.max_attempts:
            return False
        if now + self.fleet.base_latency[request.request_class.name] * request.work > request.target:
            return False
        if ran_at is None or request.request_class.effect is Effect.SAFE:
            return True
        return request.request_class.effect is Effect.KEYED and now < ran_at + request.request_class.window - SWEEP_S

    def attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Learn from an attempt's outcome, then retry or give the final answer if there is none yet."""
        backend = self.fleet.backends.get(event.backend)
        request = self.requests.get(event.request)
        self.fleet.ended(now, event)
        if request is None:
            return
        if event.outcome not in NEVER_RAN and request.ran_at is None and backend is not None:
            request.ran_at = request.sent_at
            request.ran_on = backend.entry
        if event.done:
            self._served(now, request, event)
            return
        request.failed_backends.add(event.backend)
        jammed = event.outcome is Outcome.FULL and self.fleet.pressure > OVERLOADED  # elsewhere it is full too
        if not jammed and self._allows_attempt(now, request, request.ran_at):
            self.send(now, request)
        else:
            self.reject(now, request, 0.0)

    def _served(self, now: float, request: PendingRequest, event: events.AttemptEnded) -> None:
        """End a request that has its final answer; the next call on the count corrects its charge."""
        del self.requests[event.request]
        if self.queue:
            self.dispatch(now)
        if event.outcome is Outcome.OK and event.true_units > 0 and self.settings.settles:
            self.replication.reconcile(now, request, event.true_units - request.event.units)
