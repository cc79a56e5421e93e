"""Attempts of admitted requests: sent, held for a slot, tried again where that is safe, refused in time.

Guarantees: one attempt out at a time; what may have run is sent again only where its class allows it; every
request leaves `flights` with exactly one final action or with an answer that was served.
"""

from __future__ import annotations

import bisect

from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.events import BackendEntry, Outcome
from thistleusher.core.settings import ClassSettings, Effect, Group, Settings
from thistleusher.policy.fleet import PRESSED, Fleet
from thistleusher.policy.sharing import Sharing
from thistleusher.policy.store import Customer

SILENT_X = 8.0    # usual latencies of owed answers after which a backend counts as silent
BEAT_S = 0.05     # between looks at silent backends and at what is held
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Charge:
    """Units that are asked for of a customer's quota: by a request here (`Flight`), or by a peer for one of its own."""

    def __init__(self, req: events.Request, customer: Customer, peer: int | None = None, number: int = 0) -> None:
        """`peer`: who asks, by a question of this `number`."""
        self.req, self.customer, self.charge, self.peer, self.number = req, customer, req.units, peer, number
        self.thin = req.units * customer.width > customer.plan.burst  # an even share is under one request
        self.took = 0.0  # units off the store
        self.escrowed = False  # let in on the ingress's own share
        self.home: int | None = None  # the peer that was asked and let it in
        self.due = 0.0  # until when it waits for what peers give of their shares


class Flight(Charge):
    """A request that is owed one final answer."""

    def __init__(self, req: events.Request, cls: ClassSettings, customer: Customer, now: float,
                 work: float = 1.0) -> None:
        super().__init__(req, customer)
        self.cls, self.work = cls, work
        self.aim = now + min(cls.objective, req.expires_in)  # nothing is sent once its client is gone
        self.attempts, self.sent = 0, 0.0
        self.ran_at: float | None = None  # send time of the earliest attempt that may have run, and where
        self.ran_on: BackendEntry | None = None
        self.bad, self.value = set[str](), cls.worth * customer.plan.price  # worth a unit; units go with work


class Attempts:
    """Requests that are owed an answer."""

    def __init__(self, settings: Settings, fleet: Fleet, sharing: Sharing, acts: list[Action]) -> None:
        self.s, self.fleet, self.sharing, self.acts = settings, fleet, sharing, acts
        self.flights: dict[str, Flight] = {}
        self.queue = list[Flight]()  # dearest first, then in the order in which they came
        self.armed = False  # a beat is set

    def gone(self, e: events.ClientGone) -> None:
        """Nothing more is owed."""
        self.flights.pop(e.request, None)

    def refuse(self, now: float, f: Flight, wait: float) -> None:
        """Final answer: refused, or failed where a refusal would promise too much."""
        del self.flights[f.req.id]
        if f.took > 0 and f.attempts == 0:  # what was never sent on uses nothing up
            self.sharing.settle(now, f, -f.took)
        keyed = f.cls.effect is Effect.KEYED and f.cls.group is Group.ALL
        if f.ran_at is not None and f.cls.effect is not Effect.SAFE and not keyed:
            self.acts.append(actions.Fail(f.req.id))
        else:
            self.acts.append(actions.Refuse(f.req.id, min(max(wait, 0.0), self.s.max_retry_after)))

    def late(self, now: float, f: Flight) -> bool:
        """Whether a request that has to be held cannot make its aim."""
        ahead = 1 + bisect.bisect_right(self.queue, -f.value, key=lambda g: -g.value)
        wait = ahead * self.fleet.latency[f.cls.name] / self.fleet.slots
        return now + wait + self.fleet.base[f.cls.name] * f.work > f.aim

    def send(self, now: float, f: Flight) -> None:
        """Start an attempt, or hold the request if a slot should come free in time for its aim."""
        best = self.fleet.choose(now, f)
        if best is None:
            if self.late(now, f):
                return self.refuse(now, f, 0.0)  # early, not late
            return bisect.insort_right(self.queue, f, key=lambda g: -g.value)
        f.attempts += 1
        f.sent = now
        self.fleet.sent(now, best, f)
        self.acts.append(actions.Attempt(f.req.id, best.entry.backend))

    def dispatch(self, now: float) -> None:
        """Send what is held as slots come free; it is looked through in full at each beat only."""
        for _ in range(len(self.queue)):
            if not self.fleet.free(now):
                break
            f = self.queue.pop(0)
            if f.req.id in self.flights:
                self.send(now, f)

    def review(self, now: float) -> None:
        """Send what is held, dearest first, or refuse what cannot make its aim any more: none may starve."""
        held, self.queue = self.queue, []
        for f in held:
            if f.req.id in self.flights:
                self.send(now, f)

    def sweep(self, now: float) -> None:
        """Each beat: find silent backends by the answers they owe, and see to what is held."""
        self.armed = False
        for b in self.fleet.silent(now, SILENT_X):
            for name in b.out:  # move what may be repeated; a long request at a live server is left alone
                f = self.flights.get(name)
                old = f is not None and now - f.sent > 2 * self.fleet.latency[f.cls.name] * f.work
                if f is not None and old and self.s.may_cancel and self.may_send(now, f, f.ran_at or f.sent):
                    self.acts.append(actions.CancelAttempt(name, f.attempts - 1))
        self.review(now)

    def may_send(self, now: float, f: Flight, ran_at: float | None) -> bool:
        """Whether one more attempt is allowed; if one may have run, by class and window too."""
        if f.attempts >= self.s.max_attempts or now + self.fleet.base[f.cls.name] * f.work > f.aim:
            return False
        return ran_at is None or f.cls.effect is Effect.SAFE or (
            f.cls.effect is Effect.KEYED and now < ran_at + f.cls.window - BEAT_S)

    def ended(self, now: float, e: events.AttemptEnded) -> None:
        """An attempt ended: learn from it, then serve, try again or give the final answer."""
        b, f = self.fleet.backends.get(e.backend), self.flights.get(e.request)
        self.fleet.ended(now, e)
        if f is None:
            return
        if e.outcome not in NEVER_RAN and f.ran_at is None and b is not None:
            f.ran_at, f.ran_on = f.sent, b.entry
        if e.done:
            del self.flights[e.request]
            if self.queue:
                self.dispatch(now)
            if e.outcome is Outcome.OK and e.true_units > 0 and self.s.settles:
                self.sharing.settle(now, f, e.true_units - f.req.units)  # with the next call
            return
        f.bad.add(e.backend)
        jammed = e.outcome is Outcome.FULL and self.fleet.press > PRESSED  # elsewhere it is full too
        if not jammed and self.may_send(now, f, f.ran_at):
            self.send(now, f)
        else:
            self.refuse(now, f, 0.0)
