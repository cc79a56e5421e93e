"""Events go to the decision module one at a time; its actions are carried out, each request answered once.

Guarantees, whatever the surroundings do:

- `on_final` of a request is called exactly once, or never if the client went first (`gone`);
- it is called by the request's deadline at the latest, a little before the client's own time is up;
- one attempt of a request is out at a time, and none is started once the request has its final answer;
- the module is never entered while it decides: what an action brings about at once waits for its turn.

How: every request has a `Held` from `take` to its end. Events queue in `submit`; a timer per request rings at
its deadline. Cost: constant a request, besides the module's own.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from thistleusher.core import actions, events
from thistleusher.core.events import Event, Outcome
from thistleusher.core.ports import (
    AttemptPort,
    BackendPort,
    CounterPort,
    Decisions,
    Ended,
    Final,
    PeerPort,
    Scheduler,
    Timer,
    Verdict,
)
from thistleusher.core.settings import Effect, Group, Settings

log = logging.getLogger(__name__)

MARGIN_S = 0.03  # before the client's own time is up, for the way back and a busy moment
MARGIN_SHARE = 0.2  # of a short time


class InFlightRequest:
    """A request that is owed one final answer. `context` is the front's own."""

    __slots__ = (
        "request",
        "on_final",
        "context",
        "timer",
        "attempts",
        "attempt",
        "answered",
        "may_have_run",
        "deadline",
        "over",
    )

    def __init__(
        self, request: events.Request, on_final: Callable[[Final], None], context: Any, deadline: float
    ) -> None:
        self.request, self.on_final, self.context, self.deadline = request, on_final, context, deadline
        self.timer: Timer | None = None
        self.attempts = 0
        self.attempt: AttemptPort | None = None
        self.answered = self.may_have_run = False
        self.over = False  # its time is up: no attempt is started any more, whatever the module makes of the last one


class Driver:
    """One ingress without its sockets. `unix` gives Unix time in seconds, the same at all ingresses."""

    def __init__(
        self,
        settings: Settings,
        gateway: Decisions,
        backends: BackendPort,
        scheduler: Scheduler,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.settings, self.gateway, self.backends = settings, gateway, backends
        self.scheduler, self.unix = scheduler, unix
        self.classes = {c.name: c for c in settings.classes}  # a front may name further ones as they come
        self.counter: CounterPort | None = None
        self.peers: PeerPort | None = None
        self.held: dict[str, InFlightRequest] = {}
        self.events: deque[Event] = deque()
        self.busy = self.closed = False
        self.clock = 0.0
        self.timers: set[Timer] = set()
        self.carry: dict[type, Callable[[Any], None]] = {
            actions.Attempt: self._attempt,
            actions.CounterAdd: self._count,
            actions.SetTimer: self._set_timer,
            actions.Refuse: self._refuse,
            actions.Fail: self._fail,
            actions.CancelAttempt: self._cancel,
            actions.SendToPeer: self._tell,
            actions.Probe: lambda a: self.backends.probe(a.backend),
            actions.CloseIdle: lambda a: self.backends.close_idle(a.backend),
            actions.Log: lambda a: log.info("%s", a.text),
        }  # the list of servers is always followed

    # Events.

    def now(self) -> float:
        """Unix time, so that the windows of all ingresses agree; it never goes back."""
        self.clock = max(self.clock, self.unix())
        return self.clock

    def submit(self, event: Event) -> None:
        """Hand an event to the module. One that comes about while another is handled waits for its turn."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self._decide(self.events.popleft())
        finally:
            self.busy = False

    def _decide(self, event: Event) -> None:
        """A fault of the module or of an action ends the request that it is about, not the program."""
        try:
            for action in self.gateway.handle(self.now(), event):
                carry = self.carry.get(type(action))
                if carry is not None:
                    carry(action)
        except Exception:
            log.exception("deciding on %r", event)
            name = event.id if isinstance(event, events.Request) else getattr(event, "request", None)
            held = self.held.get(name) if isinstance(name, str) else None
            if held is not None:
                self.answer(held, Final(Verdict.FAULT))
                self.events.append(events.ClientGone(held.request.id))  # the module may hold it still

    def _count(self, a: actions.CounterAdd) -> None:
        if self.counter is not None:
            self.counter.add(a.name, a.amount, a.lifetime)
        else:
            self.submit(events.CounterReply(a.name, Outcome.CONNECT_FAILED, 0.0, 0.0))

    def _tell(self, a: actions.SendToPeer) -> None:
        if self.peers is not None:
            self.peers.send(a.peer, a.payload)

    def _set_timer(self, a: actions.SetTimer) -> None:
        if self.closed:
            return

        def fire() -> None:
            self.timers.discard(timer)
            self.submit(events.TimerFired(a.token))

        timer = self.scheduler.call_later(a.delay, fire)
        self.timers.add(timer)

    # Requests.

    def take(
        self, request: events.Request, on_final: Callable[[Final], None], context: Any = None, came: float | None = None
    ) -> InFlightRequest | None:
        """A request is owed one answer from here on. `came`: when its client's time began, on the scheduler.

        None, and INVALID to `on_final`, where its id is that of a request still held.
        """
        if request.id in self.held:
            on_final(Final(Verdict.INVALID))
            return None
        now = self.scheduler.time()
        left = (now if came is None else came) + request.expires_in - now
        left -= min(MARGIN_S, MARGIN_SHARE * request.expires_in)
        held = self.held[request.id] = InFlightRequest(request, on_final, context, now + left)
        held.timer = self.scheduler.call_at(held.deadline, self._overdue, held)
        self.submit(request._replace(expires_in=max(0.0, left)))
        return held

    def gone(self, name: str) -> None:
        """The client has left: nothing more goes out for its request, and `on_final` is not called any more.

        What a backend already has is waited for: no cancel stops its work, and the module counts it as load.
        """
        held = self.held.get(name)
        if held is None or held.answered:
            return
        held.answered = True
        self.submit(events.ClientGone(name))
        if held.attempt is not None and not held.attempt.written:
            held.attempt.cancel()
        self._forget(held)

    def answering(self, held: InFlightRequest) -> bool:
        """The backend's answer has begun to go out: it is the final one. False if there is one already."""
        if held.answered:
            return False
        held.answered = True
        return True

    def answer(self, held: InFlightRequest, final: Final) -> None:
        """The one final answer; any further one is dropped."""
        if held.answered:
            return
        held.answered = True
        held.on_final(final)
        if held.attempt is not None and not held.attempt.written:
            held.attempt.cancel()
        self._forget(held)

    def _overdue(self, held: InFlightRequest) -> None:
        """The client's time is as good as up: end the attempt, and answer what the module does not."""
        held.over = True
        if held.attempt is not None:
            held.attempt.expire()
        if not held.answered:
            log.info("request %s: answered by the watchdog", held.request.id)
            self._give_up(held)
            self.submit(events.ClientGone(held.request.id))
        self._forget(held)

    def _give_up(self, held: InFlightRequest) -> None:
        """Refused where trying again is harmless, failed elsewhere."""
        self.answer(held, self._refusal(0.0) if self.may_refuse(held) else Final(Verdict.FAILED))

    def may_refuse(self, held: InFlightRequest) -> bool:
        """A refusal says that trying again is harmless: so it is where nothing ran, or where repeats are."""
        cls = self.classes[held.request.class_name]
        ran = held.may_have_run or (held.attempt is not None and held.attempt.written)
        return not ran or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)

    def _refusal(self, wait: float) -> Final:
        """Beyond a quota the module tells when there is room again."""
        return Final(
            Verdict.OVER_QUOTA if wait > 0 else Verdict.NO_ROOM, wait if wait > 0 else self.settings.max_retry_after
        )

    def _refuse(self, a: actions.Refuse) -> None:
        held = self.held.get(a.request)
        if held is not None:
            self.answer(held, self._refusal(a.retry_in))

    def _fail(self, a: actions.Fail) -> None:
        held = self.held.get(a.request)
        if held is not None:
            self.answer(held, Final(Verdict.FAILED))

    def _forget(self, held: InFlightRequest) -> None:
        """Answered, and nothing out any more."""
        if held.answered and held.attempt is None:
            if held.timer is not None:
                held.timer.cancel()
            self.held.pop(held.request.id, None)

    # Attempts.

    def _attempt(self, a: actions.Attempt) -> None:
        """Send a request to a backend."""
        held = self.held.get(a.request)
        now = self.scheduler.time()
        if held is None or held.answered or held.over or held.attempt is not None:
            log.log(
                logging.DEBUG if held is not None and held.over else logging.ERROR,
                "request %s: an attempt that is not allowed was not sent",
                a.request,
            )
            number = held.attempts if held is not None else 0
            done = held is None or held.answered or held.over
            self.submit(events.AttemptEnded(a.request, number, a.backend, Outcome.MOOT, 0.0, done))
            return
        number, held.attempts = held.attempts, held.attempts + 1
        attempt = held.attempt = self.backends.prepare(
            held, a.backend, lambda ended: self._ended(held, number, attempt, a.backend, ended, now)
        )
        left = held.deadline - now
        attempt.start(left if a.timeout is None else min(left, a.timeout))

    def _cancel(self, a: actions.CancelAttempt) -> None:
        held = self.held.get(a.request)
        if held is not None and held.attempt is not None and held.attempts == a.attempt + 1:
            held.attempt.cancel()

    def _ended(
        self, held: InFlightRequest, number: int, attempt: AttemptPort, backend: str, ended: Ended, sent: float
    ) -> None:
        """An attempt has its outcome: a good one is the answer, anything else is the module's to decide."""
        held.attempt = None
        held.may_have_run |= attempt.written and ended.outcome is not Outcome.FULL
        units = 0.0
        if ended.outcome is Outcome.OK:
            # No request counts more than the most units: such a number cannot be meant.
            units = ended.true_units if ended.true_units <= self.settings.max_units else 0.0
            self.answer(held, Final(Verdict.SERVED, 0.0, ended.payload))
        elapsed = self.scheduler.time() - sent if ended.elapsed is None else ended.elapsed
        self.submit(
            events.AttemptEnded(
                held.request.id,
                number,
                backend,
                ended.outcome,
                elapsed,
                held.answered,
                true_units=units,
                load=ended.load,
            )
        )
        self._forget(held)

    def leave(self) -> None:
        """This ingress ends in order: what only it knows is handed on. Before `close`, with nothing held any more."""
        self.submit(events.Leaving())

    def close(self) -> None:
        """No timer rings any more, and what is still held gets its answer: failed or refused."""
        self.closed = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        for held in list(self.held.values()):
            held.over = True
            if held.attempt is not None:
                held.attempt.cancel()
            if not held.answered:
                self._give_up(held)
            if held.timer is not None:
                held.timer.cancel()
        self.held.clear()
