"""Admission by the counter's totals: the mechanism of docs/design.md, and what stands in while none come."""

from __future__ import annotations

import math
import random
from collections import deque

from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.datagrams import GRANT_MARKS, OWNER_MARKS
from thistleusher.core.events import Outcome
from thistleusher.core.settings import Settings
from thistleusher.policy.attempts import Attempts, Charge, Flight
from thistleusher.policy.fleet import Fleet
from thistleusher.policy.health import ALONE, ASK_DOWN, ASK_S
from thistleusher.policy.sharing import Sharing
from thistleusher.policy.store import Customer

HOLD_S = 0.25  # for which a request waits at most for shares that peers are asked for
HOME_WAITS = 5  # time-outs of the counter that a request must have left for its member's home to be asked
ASK_SHARE, ASK_OVER = 0.8, 0.01  # calls a request beyond which sure refusals need none; weight of a request
FORGOT = 2.0      # most units of a request by which a total may be under what was added here
FORGOT_S = 10.0   # between two words about that
OWED, LEAVE_CALLS = 0.5, 64  # units worth a call of an ingress that ends; such calls at most
VERDICT, PART = 0.3, 0.2  # weight of a new total in a customer's chance (a fifth for its like), in its part


class Admission:
    """Charges requests to their customers' counts and lets them in, or refuses them at once."""

    def __init__(self, settings: Settings, rng: random.Random, sharing: Sharing, fleet: Fleet,
                 attempts: Attempts, acts: list[Action]) -> None:
        self.s, self.rng, self.acts = settings, rng, acts
        self.sharing, self.fleet, self.attempts = sharing, fleet, attempts
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.calls: dict[int, deque[tuple[Customer, int, float, Charge | None]]] = {}
        self.forgot = 0.0  # when a name was last found cut short
        # Admitted of late, by plan and whether the request is a repeat.
        self.chance = {(p, again): 1.0 for p in self.plans for again in (False, True)}

    def request(self, now: float, r: events.Request) -> None:
        """Charge the told units to the customer's count; sure refusals may need no call."""
        cls, plan = self.classes[r.class_name], self.plans[r.plan]
        c = self.sharing.meet(now, r.customer, plan)
        c.width, c.first = max(1, r.width), r.first
        self.sharing.forgive(now, c)
        f = self.attempts.flights[r.id] = Flight(
            r, cls, c, now, self.fleet.work[cls.name].of(r.units))
        if plan.rate <= 0 or not self.s.counter:
            return self.local(now, f)
        if self.sharing.talk is not None and not c.wide():
            self.sharing.talk.member_seen(now, c.first, c.width)
        home = self.sharing.home(now, c) if r.expires_in > HOME_WAITS * self.s.counter_timeout else None
        if home is not None and home != self.s.me and self.ask(now, f, home):
            return None
        if home == self.s.me:
            c.house(now)
        self.charge(now, f)

    def ask(self, now: float, f: Flight, home: int) -> bool:
        """Have the home of a member's account decide; whether it was asked, or all was said without it."""
        if not self.fleet.free(now) and self.attempts.late(now, f):
            self.attempts.refuse(now, f, 0.0)  # a charge for what is not sent would use the quota up
            return True
        talk, number = self.sharing.talk, self.sharing.plan_numbers[f.req.plan]
        message = talk.create_query(now, home, f.req, number) if talk is not None else None
        if message is not None:
            self.acts.append(actions.SendToPeer(home, message))
        return message is not None

    def told(self, now: float, e: events.PeerMessage) -> None:
        """A question to this ingress as home, an answer to one of its own, or what is to be settled here."""
        talk, mark = self.sharing.talk, e.payload[:1]
        if talk is None or mark not in OWNER_MARKS:
            self.sharing.heard(now, e)
            if talk is not None and mark in GRANT_MARKS:
                for held in filter(None, map(self.attempts.flights.get, talk.take_pending())):
                    self.local(now, held)
            return None
        self.sharing.touch[e.sender] = now
        talk.record_message(now, e.sender, False)
        if mark == OWNER_MARKS[0] and (a := talk.receive_query(now, e.sender, e.payload)) is not None:
            c = self.sharing.housed(now, a.plan, a.customer, a.first, a.width)
            if a.answer:  # it has been charged already
                self.acts.append(actions.SendToPeer(e.sender, a.answer))
            elif c is not None:
                r = events.Request("", "", c.plan.name, a.customer, math.inf, a.units, a.width, a.first)
                self.charge(now, Charge(r, c, e.sender, a.number))
        elif mark == OWNER_MARKS[1] and (answer := talk.receive_reply(e.sender, e.payload)) is not None:
            name, good, room = answer
            f = self.attempts.flights.get(name)
            if f is None:  # its client has gone
                return None
            f.home, f.took = e.sender, f.req.units if good else 0.0
            self.pass_on(now, f) if good else self.attempts.refuse(now, f, (f.req.units - room) / f.customer.plan.rate)
        elif mark == OWNER_MARKS[2]:
            for key, number, units in talk.parse_reconciliations(e.payload):
                if (c := self.sharing.housed(now, number, key)) is not None:
                    c.pending += units
                    c.use(now, units)
        return None

    def overdue(self, now: float) -> None:
        """Homes that have not answered in time: the ingress goes by what it knows, and asks the counter itself."""
        if (talk := self.sharing.talk) is not None:
            self.acts += [actions.SendToPeer(peer, message) for peer, message in talk.due_retransmissions(now)]
            for f in filter(None, map(self.attempts.flights.get, talk.expired_requests(now))):
                self.local(now, f) if f.due else self.charge(now, f)

    def pass_on(self, now: float, f: Charge) -> None:
        """It is inside the quota: send it on, or tell who asked."""
        self.attempts.send(now, f) if isinstance(f, Flight) else self.reply(now, f, True)

    def turn_away(self, now: float, f: Charge, wait: float) -> None:
        """It is beyond the quota, or nobody knows: refuse it, or tell who asked."""
        self.attempts.refuse(now, f, wait) if isinstance(f, Flight) else self.reply(now, f, False)

    def reply(self, now: float, f: Charge, good: bool) -> None:
        """The home's word to the ingress that asked."""
        if self.sharing.talk is not None and f.peer is not None:
            room = f.customer.room(now) - f.customer.flying
            self.acts.append(actions.SendToPeer(f.peer, self.sharing.talk.create_reply(f.peer, f.number, good, room)))

    def charge(self, now: float, f: Charge) -> None:
        """Charge it to the count, or decide by what is known where the counter cannot take so many calls."""
        c, r = f.customer, f.req
        health, known = self.sharing.health(now, c), c.room(now) - c.flying
        health.asked *= 1 - ASK_OVER
        # Spared a call: others can only have taken more than is known.
        spared = health.ask < 1 or health.asked > ASK_SHARE
        if spared and (known < r.units or c.short(now) in self.sharing.spent):
            return self.turn_away(now, f, (r.units - known) / c.plan.rate)
        if isinstance(f, Flight) and not self.fleet.free(now) and self.attempts.late(now, f):
            # A charge for what is not sent would use the quota up.
            return self.attempts.refuse(now, f, 0.0)
        if r.expires_in <= 2 * self.s.counter_timeout or (
                self.rng.random() >= health.ask and now - health.called < ASK_S):
            return self.local(now, f)
        if f.thin and c.window < c.turn(now) - 1 and not self.sharing.in_touch(now, c):  # others cannot tell
            f.charge = r.units / max(ASK_DOWN, health.ask)
        self.add(now, c, f.charge + c.pending, f)
        c.pending = 0.0

    def add(self, now: float, c: Customer, units: float, f: Charge | None) -> None:
        """One call on the count of the customer's current window."""
        window = c.turn(now)
        name = c.name(now)
        self.calls.setdefault(name, deque()).append((c, window, units, f))
        c.flying += f.charge if f else 0.0
        c.owing += max(0.0, units - (f.charge if f else 0.0))
        health = self.sharing.counters.of(name)
        health.asked += ASK_OVER
        health.called = now
        self.acts.append(actions.CounterAdd(name, units, min(60.0, 3 * c.length)))

    def counted(self, now: float, e: events.CounterReply) -> None:
        """A total came, or did not: admit, refuse and add back, or fall back on the local share."""
        queue = self.calls.get(e.name)
        if not queue:
            return
        c, window, units, f = queue.popleft()
        if not queue:
            del self.calls[e.name]
        c.flying -= f.charge if f else 0.0
        c.owing -= max(0.0, units - (f.charge if f else 0.0))
        self.sharing.touched(c)
        health = self.sharing.counters.of(e.name)
        f = f if f is not None and (f.peer is not None or f.req.id in self.attempts.flights) else None
        if e.outcome not in (Outcome.OK, Outcome.ERROR):
            health.missed(now)
            if health.misses == ALONE:
                self.acts.append(actions.Log("counter gives no answer: admitting by local shares"))
            c.pending += units - (f.charge if f else 0.0)  # told again, unless a total shows that it counted
            if e.outcome is Outcome.TIMEOUT:
                c.doubt = units + (c.doubt if c.doubted == window else 0.0)
                c.doubted = window
            return self.local(now, f) if f else None
        if health.down():
            self.acts.append(actions.Log(f"counter answers again after {health.misses} misses"))
        health.answered(now, e.elapsed / self.s.counter_timeout)
        # Added, but the total cannot be read: it is at least what was known and this.
        total = e.total if e.outcome is Outcome.OK else units + (c.total if c.window == window else 0.0)
        self.learn(now, c, window, units, total, f.charge if f else 0.0)
        if f is None:
            return
        good = c.room(now) - f.req.units >= 0
        if good and c.plan.ceiling_rate > 0 and not self.sharing.in_touch(now, c, strict=True):
            # Totals that some of the set may not write to: another counter could serve them.
            f.escrowed = True
            good = self.sharing.share(now, c, f.req.units)
        c.chance = self.guess(now, f) + VERDICT * (good - self.guess(now, f))
        common = self.chance[f.req.plan, f.req.is_repeat]
        self.chance[f.req.plan, f.req.is_repeat] = common + VERDICT / 5 * (good - common)
        if good:
            self.sharing.admit(now, c, f.charge, f)
            return self.pass_on(now, f)
        if c.known or health.ask >= 1:
            self.add(now, c, -f.charge, None)  # refused: the charge is added back
        if (self.s.peers and self.sharing.talk is None and not c.known and c.level < 1
                and c.short(now) not in self.sharing.spent):
            self.acts.append(actions.SendToPeer(None, c.short(now)))  # nothing more fits: peers need not ask
            self.sharing.heard(now, events.PeerMessage(self.s.me, c.short(now)))
        self.turn_away(now, f, (f.req.units - c.room(now)) / c.plan.rate)

    def guess(self, now: float, f: Charge) -> float:
        """The chance that a total would admit: the customer's own of late, ageing into its like's."""
        c, common = f.customer, self.chance[f.req.plan, f.req.is_repeat]
        return common + (c.chance - common) * math.exp((c.at - now) / (7 * c.length))

    def learn(self, now: float, c: Customer, window: int, units: float, total: float,
              charge: float) -> None:
        """Put the store right by a total: what it holds over what is known came in elsewhere."""
        if c.wide() and not c.housed and (c.window < window - 1 or (c.window == window and not c.known)):
            # No history at most ingresses: each would take most of a store to be left, anew in every window.
            c.known, c.window, c.total = False, window, total
            c.level, c.at = c.plan.burst - total + charge, now
            return
        c.known = True
        if c.window != window:
            if c.window < window - 1 and not self.sharing.told_of(now, c):
                # No history here: a part of the burst is taken as carried over, less what peers told of since;
                # what was let in or told of before stays known.
                c.level = min(c.room(now), c.carried(now) - (c.heard if c.heard_in == window else 0.0))
                c.at = now
            elif c.excess > 0 and self.sharing.followed(now, c):
                c.level, c.at = c.room(now) + c.excess, now
            c.window, c.told, c.excess = window, 0.0, 0.0
        if c.told > 0 and c.told + units - total > FORGOT * self.s.max_units:
            self.rewrite(now, c)
        c.told, c.total = c.told + units, total
        if c.doubt > 0 and c.doubted == window and self.sharing.in_touch(now, c):
            # Nobody else can have added so much: what had no answer is in the count, and was told twice.
            if total - c.told - (c.heard if c.heard_in == window else 0.0) > c.doubt / 2:
                c.told, c.pending = c.told + c.doubt, c.pending - c.doubt
            c.doubt = 0.0
        c.part += PART * (min(1.0, max(0.0, c.told) / max(total, 1e-9)) - c.part)
        excess = max(0.0, total - c.told - (c.heard if c.heard_in == window else 0.0))
        c.level, c.at = c.room(now) - (excess - c.excess), now
        c.excess, c.excess_at = excess, now

    def rewrite(self, now: float, c: Customer) -> None:
        """The count holds less than was added here: another counter, or a name cut short. What it lost is told anew.

        Its totals say nothing of what came before: the store goes on by what was let in here and what peers told.
        """
        if now - self.forgot > FORGOT_S:
            self.acts.append(actions.Log(f"counter forgets: {c.told:.1f} units of a name are gone; they are told anew"))
        self.forgot = now
        c.pending += c.told
        c.told, c.doubt, c.excess = 0.0, 0.0, 0.0

    def leave(self, now: float) -> None:
        """Write back what was let in and is in no count yet, the most first; it is the last chance."""
        owed = [c for c in self.sharing.customers.values() if c.pending >= OWED and c.plan.rate > 0]
        for c in sorted(owed, key=lambda c: -c.pending)[:LEAVE_CALLS]:
            self.add(now, c, c.pending, None)
            c.pending = 0.0

    def hold(self, now: float, f: Charge) -> bool:
        """Have a request wait for what peers are asked to give, once and for a round trip; whether it does."""
        f.due = f.due or now + HOLD_S
        talk = self.sharing.talk
        return talk is not None and isinstance(f, Flight) and now < f.due and talk.add_pending(f.req.id, f.due)

    def local(self, now: float, f: Charge) -> None:
        """Admit against this ingress's share of the store; the use is reported with the next call."""
        c, units, sharing = f.customer, f.req.units, self.sharing
        strict = c.plan.ceiling_rate > 0  # not a minute on the word of peers that may let in as much meanwhile
        touch = sharing.in_touch(now, c) and (not strict or sharing.in_touch(now, c, strict=True))
        if c.plan.rate > 0 and (touch or sharing.escrow is not None):
            if c.room(now) - c.flying < units:
                return self.turn_away(now, f, (units - c.room(now)) / c.plan.rate if touch else 0.0)
            # A ceiling is never given up for service, not even what peers have yet to tell.
            f.escrowed = not touch or (strict and sharing.talk is not None) or (
                sharing.health(now, c).silent(now) and (strict or sharing.guessed(now, c)))
            if f.escrowed and not sharing.share(now, c, units):
                return None if strict and self.hold(now, f) else self.turn_away(now, f, 0.0)
            c.pending += units
        elif c.plan.rate > 0 >= c.plan.ceiling_rate and f.thin:
            # A share under one request would refuse all: whole ones by the chance they had of late.
            good = self.rng.random() < self.guess(now, f)
            c.chance *= 1 - VERDICT * good  # let in unseen: who comes here again soon asks more than most
            return self.pass_on(now, f) if good else self.turn_away(now, f, 0.0)
        elif c.plan.rate > 0:
            share = max(1.0 / c.width, c.part)
            if c.plan.ceiling_rate > 0:  # all shares together, and what totals admit, stay within it
                times = c.plan.ceiling_rate / c.plan.rate - (0.0 if self.sharing.health(now, c).down() else 1.0)
                share = min(share, max(0.0, times) / c.width)
            unused = now - c.at - (c.plan.burst - c.level) / c.plan.rate
            if unused > 0:  # refilled since the store was full: no wave of refusals when an outage ends
                c.pending -= min(share * c.plan.rate * unused, max(0.0, c.pending))
                c.level, c.at = c.plan.burst, now
            own = max(0.0, c.pending)
            if own + c.flying + units > min(c.plan.burst, c.room(now) + own) * share:
                return self.turn_away(now, f, 0.0)
            c.pending += units
        self.sharing.admit(now, c, units, f)
        self.pass_on(now, f)
