"""Passes events to the decision module one at a time and carries out its actions. Each request is answered once.

Guarantees, regardless of backends, counter, peers and faults of the decision module:

- `on_final` of a request is called exactly once, or never if the client disconnects first (`client_gone`);
- once no client waits, no attempt starts, and an outstanding one is ended if that stops its work without harm;
- `on_final` is called by the request's deadline at the latest, which is shortly before the client's own time-out;
- a request has one outstanding attempt at a time, and none is started after the final answer;
- the module is not re-entered: events that result from its actions are queued until it returns.

Every request has an `InFlightRequest` from `accept` to its end. `submit` queues events, and a timer per request fires
at its deadline. Cost: constant per request, in addition to the module's own.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from thistleusher.core import actions, events
from thistleusher.core.events import Event, Outcome
from thistleusher.core.in_flight_request import InFlightRequest
from thistleusher.core.ports import (
    AttemptPort,
    AttemptResult,
    BackendPort,
    CounterPort,
    Decisions,
    Final,
    PeerPort,
    Scheduler,
    Timer,
    Verdict,
)
from thistleusher.core.settings import ClassSettings, Effect, Settings

log = logging.getLogger(__name__)

DEADLINE_MARGIN_S = 0.03  # deadline before the client's time-out, for the response's transit and load peaks
DEADLINE_MARGIN_MAX_SHARE = 0.2  # upper bound of the margin as a fraction of the client's time-out


class Driver:
    """One ingress without its sockets. `unix` returns Unix time in seconds, which agrees between all ingresses."""

    def __init__(
        self,
        settings: Settings,
        gateway: Decisions,
        backends: BackendPort,
        scheduler: Scheduler,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.gateway = gateway
        self.backends = backends
        self.scheduler = scheduler
        self.unix = unix
        self.classes = {c.name: c for c in settings.classes}
        self.counter: CounterPort | None = None
        self.peers: PeerPort | None = None
        self.in_flight: dict[str, InFlightRequest] = {}
        self.events: deque[Event] = deque()
        self.deciding = False
        self.closed = False
        self.clock = 0.0
        self.timers: set[Timer] = set()
        # `Subscribe` and `FetchList` need no handler, because the endpoint list is always followed.
        self.handlers: dict[type, Callable[[Any], None]] = {
            actions.Attempt: self._start_attempt,
            actions.CounterAdd: self._add_to_counter,
            actions.SetTimer: self._set_timer,
            actions.Refuse: self._refuse,
            actions.Fail: self._fail,
            actions.CancelAttempt: self._cancel_attempt,
            actions.SendToPeer: self._send_to_peer,
            actions.Probe: lambda action: self.backends.probe(action.backend),
            actions.CloseIdle: lambda action: self.backends.close_idle(action.backend),
            actions.Log: lambda action: log.info("%s", action.text),
        }

    # Events.

    def now(self) -> float:
        """Return Unix time, which never decreases. Windows depend on it, so it must agree between all ingresses."""
        self.clock = max(self.clock, self.unix())
        return self.clock

    def submit(self, event: Event) -> None:
        """Pass an event to the module. An event submitted while another is handled is queued."""
        self.events.append(event)
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.events:
                self._decide(self.events.popleft())
        finally:
            self.deciding = False

    def _decide(self, event: Event) -> None:
        """Carry out the actions for one event. An exception ends the event's request, not the program."""
        try:
            for action in self.gateway.handle(self.now(), event):
                handler = self.handlers.get(type(action))
                if handler is not None:
                    handler(action)
        except Exception:
            log.exception("the decision module failed on %r", event)
            name = event.id if isinstance(event, events.Request) else getattr(event, "request", None)
            in_flight = self.in_flight.get(name) if isinstance(name, str) else None
            if in_flight is not None:
                self.answer(in_flight, Final(Verdict.FAULT))
                self.events.append(events.ClientGone(in_flight.request.id))  # the module may still hold it

    def _add_to_counter(self, action: actions.CounterAdd) -> None:
        if self.counter is not None:
            self.counter.add(action.name, action.amount, action.lifetime)
        else:
            self.submit(events.CounterReply(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))

    def _send_to_peer(self, action: actions.SendToPeer) -> None:
        if self.peers is not None:
            self.peers.send(action.peer, action.payload)

    def _set_timer(self, action: actions.SetTimer) -> None:
        if self.closed:
            return

        def fire() -> None:
            self.timers.discard(timer)
            self.submit(events.TimerFired(action.token))

        timer = self.scheduler.call_later(action.delay, fire)
        self.timers.add(timer)

    # Requests.

    def accept(
        self,
        request: events.Request,
        on_final: Callable[[Final], None],
        context: Any = None,
        received_at: float | None = None,
        request_class: ClassSettings | None = None,
    ) -> InFlightRequest | None:
        """Accept a request, which from now on must get one final answer.

        `received_at`: start of the client's time-out on the scheduler's clock; None: now. `request_class`: None: the
        class in the settings. Return None, with INVALID to `on_final`, if a request with this id is still in flight.
        """
        if request.id in self.in_flight:
            on_final(Final(Verdict.INVALID))
            return None
        now = self.scheduler.time()
        left = (now if received_at is None else received_at) + request.expires_in - now
        left -= min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_MAX_SHARE * request.expires_in)
        request_class = request_class or self.classes[request.class_name]
        in_flight = InFlightRequest(request, request_class, on_final, context, now + left)
        self.in_flight[request.id] = in_flight
        in_flight.timer = self.scheduler.call_at(in_flight.deadline, self._expire, in_flight)
        self.submit(request._replace(expires_in=max(0.0, left)))
        return in_flight

    def client_gone(self, name: str) -> None:
        """Handle a client's disconnect: no attempt starts and `on_final` is not called any more.

        `InFlightRequest.abandon_attempt` decides whether the outstanding attempt is ended or awaited.
        """
        in_flight = self.in_flight.get(name)
        if in_flight is None or in_flight.answered:
            return
        in_flight.answered = True
        self.submit(events.ClientGone(name))
        self._end_answered(in_flight)

    def begin_answer(self, in_flight: InFlightRequest) -> bool:
        """Record that a backend's answer starts to be sent as the final one. Return False if there already is one."""
        if in_flight.answered:
            return False
        in_flight.answered = True
        return True

    def answer(self, in_flight: InFlightRequest, final: Final) -> None:
        """Give the final answer. Further ones are dropped."""
        if in_flight.answered:
            return
        in_flight.answered = True
        in_flight.on_final(final)
        self._end_answered(in_flight)

    def _end_answered(self, in_flight: InFlightRequest) -> None:
        """Abandon the attempt of an answered request, and remove the request once no attempt is outstanding."""
        in_flight.abandon_attempt(self.settings.cancel_stops_work)
        self._remove_if_done(in_flight)

    def _expire(self, in_flight: InFlightRequest) -> None:
        """Handle a request's deadline: end its attempt, and answer if the module has not."""
        in_flight.deadline_passed = True
        if in_flight.attempt is not None:
            in_flight.attempt.expire()
        if not in_flight.answered:
            log.info("request %s: answered by the watchdog", in_flight.request.id)
            self._answer_without_decision(in_flight)
            self.submit(events.ClientGone(in_flight.request.id))
        self._remove_if_done(in_flight)

    def _answer_without_decision(self, in_flight: InFlightRequest) -> None:
        """Answer in place of the module: refused if a retry is harmless, failed otherwise."""
        self.answer(in_flight, self._refusal(0.0) if in_flight.may_refuse() else Final(Verdict.FAILED))

    def _refusal(self, wait: float) -> Final:
        """Return the answer to a refused request. `wait` > 0: seconds until the quota has headroom again."""
        if wait > 0:
            return Final(Verdict.OVER_QUOTA, wait)
        return Final(Verdict.NO_ROOM, self.settings.max_retry_after)

    def _refuse(self, action: actions.Refuse) -> None:
        in_flight = self.in_flight.get(action.request)
        if in_flight is not None:
            self.answer(in_flight, self._refusal(action.retry_in))

    def _fail(self, action: actions.Fail) -> None:
        in_flight = self.in_flight.get(action.request)
        if in_flight is not None:
            self.answer(in_flight, Final(Verdict.FAILED))

    def _remove_if_done(self, in_flight: InFlightRequest) -> None:
        """Remove a request that is answered and has no outstanding attempt."""
        if in_flight.answered and in_flight.attempt is None:
            if in_flight.timer is not None:
                in_flight.timer.cancel()
            self.in_flight.pop(in_flight.request.id, None)

    def has_non_idempotent_in_flight(self) -> bool:
        """Return whether a request is in flight whose class is not SAFE, even if its client has disconnected.

        Cost: linear in the requests in flight.
        """
        return any(each.request_class.effect is not Effect.SAFE for each in self.in_flight.values())

    # Attempts.

    def _start_attempt(self, action: actions.Attempt) -> None:
        """Send a request to a backend. An attempt that is not allowed ends at once as MOOT."""
        in_flight = self.in_flight.get(action.request)
        now = self.scheduler.time()
        if in_flight is None or in_flight.answered or in_flight.deadline_passed or in_flight.attempt is not None:
            self._reject_attempt(action, in_flight)
            return
        number = in_flight.attempts
        in_flight.attempts += 1
        attempt = in_flight.attempt = self.backends.prepare(
            in_flight,
            action.backend,
            lambda ended: self._attempt_ended(in_flight, number, attempt, action.backend, ended, now),
        )
        left = in_flight.deadline - now
        attempt.start(left if action.timeout is None else min(left, action.timeout))

    def _reject_attempt(self, action: actions.Attempt, in_flight: InFlightRequest | None) -> None:
        deadline_passed = in_flight is not None and in_flight.deadline_passed
        level = logging.DEBUG if deadline_passed else logging.ERROR
        log.log(level, "request %s: rejected an attempt of the decision module that is not allowed", action.request)
        number = in_flight.attempts if in_flight is not None else 0
        done = in_flight is None or in_flight.answered or deadline_passed
        self.submit(events.AttemptEnded(action.request, number, action.backend, Outcome.MOOT, 0.0, done))

    def _cancel_attempt(self, action: actions.CancelAttempt) -> None:
        in_flight = self.in_flight.get(action.request)
        if in_flight is None or in_flight.attempt is None:
            return
        if in_flight.attempts == action.attempt + 1:
            in_flight.attempt.cancel()

    def _attempt_ended(
        self,
        in_flight: InFlightRequest,
        number: int,
        attempt: AttemptPort,
        backend: str,
        ended: AttemptResult,
        sent_at: float,
    ) -> None:
        """Handle an attempt's outcome: OK answers the request, the module decides on any other outcome."""
        in_flight.attempt = None
        in_flight.may_have_run |= attempt.may_have_run and ended.outcome is not Outcome.FULL
        units = 0.0
        if ended.outcome is Outcome.OK:
            # Ignore a reported cost above the maximum of one request as invalid.
            units = ended.true_units if ended.true_units <= self.settings.max_units else 0.0
            self.answer(in_flight, Final(Verdict.SERVED, 0.0, ended.payload))
        elapsed = self.scheduler.time() - sent_at if ended.elapsed is None else ended.elapsed
        event = events.AttemptEnded(
            in_flight.request.id,
            number,
            backend,
            ended.outcome,
            elapsed,
            in_flight.answered,
            true_units=units,
            load=ended.load,
        )
        self.submit(event)
        self._remove_if_done(in_flight)

    # Shutdown.

    def flush_on_shutdown(self) -> None:
        """Report usage that only this ingress knows, at shutdown. Call it before `close`, with nothing in flight."""
        self.submit(events.Leaving())

    def close(self) -> None:
        """Cancel all timers, and answer requests still in flight as failed or refused."""
        self.closed = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        for in_flight in list(self.in_flight.values()):
            in_flight.deadline_passed = True
            if in_flight.attempt is not None:
                in_flight.attempt.abandon()
            if not in_flight.answered:
                self._answer_without_decision(in_flight)
            if in_flight.timer is not None:
                in_flight.timer.cancel()
        self.in_flight.clear()
