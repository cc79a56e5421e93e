"""All decisions of a quota gateway; its settings, events and actions are in thistleusher/core/.

`Gateway` ties the concerns together. From the bottom up: `store` (one customer's bucket), `sharing` (stores
in step with peers), `fleet` (backends), `attempts` (what is sent and tried again), `admission` (the counter).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.decision_ports import CounterOf, Escrow, Gossip
from thistleusher.core.events import Event
from thistleusher.core.settings import Settings
from thistleusher.core.snapshots import Learned, SavedMember
from thistleusher.policy.admission import Admission
from thistleusher.policy.attempts import BEAT_S, Attempts
from thistleusher.policy.fleet import Fleet
from thistleusher.policy.health import Counters
from thistleusher.policy.sharing import Sharing
from thistleusher.policy.store import Customer

BEAT, TELL, GREET, HOME = 0, 1, 2, 3  # tokens of timers


class Gateway:
    """One ingress: `handle` takes an event and gives the actions it calls for.

    `now` is Unix time in seconds, the same at all ingresses, and never goes back.
    """

    def __init__(self, settings: Settings, seed: int, now: float, escrow: Escrow | None = None,
                 placement: CounterOf | None = None, talk: Gossip | None = None) -> None:
        """`escrow` holds members to shares while no total can be trusted; without it even shares do.

        `placement` tells which of several counters holds a name; `talk`, of a large fleet, who is told what.
        """
        self.s, rng = settings, random.Random(seed)
        self.acts: list[Action] = []
        self.counters = Counters(placement)
        self.sharing = Sharing(settings, self.counters, self.acts, now, escrow, talk)
        self.fleet = Fleet(settings, rng, self.acts, now)
        self.attempts = Attempts(settings, self.fleet, self.sharing, self.acts)
        self.admission = Admission(settings, rng, self.sharing, self.fleet, self.attempts, self.acts)
        self.begun, self.escrow = False, self.sharing.escrow
        self.talk, self.asking, self.greeting = talk, False, False  # and whether those timers are set
        self.on: dict[type, Callable[[float, Any], Any]] = {
            events.Request: self.admission.request, events.CounterReply: self.admission.counted,
            events.AttemptEnded: self.attempts.ended, events.ListUpdate: self.fleet.listed,
            events.TimerFired: self.timer, events.PeerMessage: self.admission.told,
            events.ClientGone: lambda _, e: self.attempts.gone(e), events.Leaving: lambda now, _: self.leave(now)}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        acts = self.acts
        acts.clear()
        if not self.begun:
            self.begun = True
            self.sharing.greet(now)
        if type(event) in self.on:
            self.on[type(event)](now, event)
        if not self.attempts.armed and (self.fleet.out or self.attempts.queue):
            # An idle ingress costs nothing.
            self.attempts.armed = True
            acts.append(actions.SetTimer(BEAT_S, BEAT))
        if not self.sharing.telling and self.sharing.due():
            self.sharing.telling = True
            acts.append(actions.SetTimer(self.sharing.tell_every, TELL))
        if self.talk is not None and not self.asking and (wait := self.talk.timer_delay(now)) is not None:
            self.asking = True
            acts.append(actions.SetTimer(wait, HOME))
        if self.escrow is not None and not self.greeting and (wait := self.escrow.handshake_delay(now)) is not None:
            self.greeting = True
            acts.append(actions.SetTimer(wait, GREET))
        return acts.copy()

    def room(self, now: float, customer: int, plan: str) -> float:
        """Units left of a customer's quota, as far as is known here; nothing changes."""
        c = self.sharing.customers.get(customer)
        if c is None or c.plan.name != plan:
            known = self.sharing.plans.get(plan)
            if known is None:
                return 0.0
            c = Customer(customer, known, now)
            c.first = self.s.me
        if c.plan.rate > 0 and c.window < c.turn(now) - 1 and not self.sharing.told_of(now, c):
            return min(c.room(now), c.carried(now)) - c.flying  # as the next total will find it
        return c.room(now) - c.flying

    def restore(self, now: float, members: Iterable[SavedMember], learned: Learned | None = None) -> None:
        """Put back what an earlier life knew, and follow what changes from now on. Before any event."""
        self.sharing.changed = {}
        if learned is not None:
            self.fleet.relearn(now, learned)
        for m in members:
            self.sharing.meet(now, m.key, self.sharing.plans[m.plan]).restore(m)

    def saved(self, most: int) -> list[SavedMember]:
        """Members that have changed since they were last asked for, `most` at once. Costs in proportion to them."""
        changed = self.sharing.changed
        if not changed:
            return []
        return [changed.pop(key).saved() for key in list(islice(changed, most))]

    def timer(self, now: float, e: events.TimerFired) -> None:
        """A beat, or the time to tell peers."""
        if e.token == TELL:
            self.sharing.tell(now)
        elif e.token == GREET:
            self.greeting = False
            self.sharing.greet(now)
        elif e.token == HOME:
            self.asking = False
            self.admission.overdue(now)
        else:
            self.attempts.sweep(now)

    def leave(self, now: float) -> None:
        """An end in order: what only this ingress knows goes to the counter and to its peers."""
        self.admission.leave(now)
        self.sharing.leave(now)
