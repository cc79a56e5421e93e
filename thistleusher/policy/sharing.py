"""What all ingresses know of customers together: stores here, and what peers tell of theirs.

Guarantee: a unit that a peer tells of, or a total shows, comes off the store once, whichever is known first.
Cost: constant a request; a telling costs in proportion to the customers that were let in since the last one.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

from thistleusher.core import actions, datagrams, events
from thistleusher.core.actions import Action
from thistleusher.core.datagrams import (
    ESCROW_MARKS,
    LEVEL_STEPS,
    USAGE_ENTRIES_MAX,
    USAGE_ENTRY,
    USAGE_MARK,
    encode_customer,
)
from thistleusher.core.decision_ports import Escrow, Gossip
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.policy.health import CounterHealth, Counters
from thistleusher.policy.store import Customer

if TYPE_CHECKING:
    from thistleusher.policy.attempts import Charge

KEPT_LENGTHS = 6.0  # windows after which a quiet customer is forgotten: its store has long been full
NOTIFY_INTERVAL_S, NOTIFY_SHARE = datagrams.NOTIFY_INTERVAL_S, datagrams.NOTIFY_SHARE
TELL_MOST_S = 0.25  # between updates at most, where all are told all
BEACON_S = 0.4    # without a telling, after which an ingress answers peers that it is there
TOUCH_S = 1.0     # without a message, after which a peer counts as out of touch while the counter is down;
AWAY_S = 60.0     # while totals come they tell of it, and it is likely to be restarting
EXCESS_S = 0.3    # after which what a total held and no peer has told was a charge that was added back


def kept_for(settings: Settings) -> float:
    """Seconds after which a quiet customer is forgotten."""
    return KEPT_LENGTHS * max((p.burst / p.rate for p in settings.plans if p.rate > 0), default=1.0)


class Sharing:
    """Customers' stores at one ingress, kept in step with the other ingresses'."""

    def __init__(self, settings: Settings, counters: Counters, acts: list[Action],
                 now: float, escrow: Escrow | None = None, talk: Gossip | None = None) -> None:
        """`talk`: where the fleet is too large for everything to be told to everybody."""
        self.s, self.counters, self.acts = settings, counters, acts
        self.talk = talk
        self.escrow = escrow if settings.peers else None
        self.plans = {p.name: p for p in settings.plans}
        self.customers = OrderedDict[int, Customer]()  # the longest quiet first
        self.kept = kept_for(settings)
        self.spent = OrderedDict[bytes, float]()  # windows known to be used up, until when it matters
        taken_in = NOTIFY_SHARE * settings.peer_in_per_s
        self.tell_every = max(NOTIFY_INTERVAL_S, (settings.instances - 1) / max(1e-9, taken_in))
        self.tell_most = int(taken_in * self.tell_every / max(1, settings.instances - 1))  # messages at once
        self.tells = settings.peers and settings.instances > 1 and (
            self.tell_every <= TELL_MOST_S or talk is not None)
        if talk is not None:
            self.tell_every = NOTIFY_INTERVAL_S
        self.untold: dict[int, Customer] = {}  # whose use is to be told to peers
        self.changed: dict[int, Customer] | None = None  # since they were last kept; None where nothing is
        self.telling, self.began = False, now
        self.owed, self.last_told = False, now  # a word to peers that tell of use here; when they last had one
        self.touch = dict.fromkeys(range(settings.instances), 0.0)  # when each peer was last heard
        self.plan_numbers = {p.name: n for n, p in enumerate(settings.plans)}

    def health(self, now: float, c: Customer) -> CounterHealth:
        """Of the counter that holds the customer's present name."""
        return self.counters.of(c.name(now)) if self.counters.placement is not None else self.counters.each[0]

    def meet(self, now: float, key: int, plan: PlanSettings) -> Customer:
        """A customer, known or new. Those long quiet are forgotten: many come once and never again."""
        c = self.customers.get(key)
        if c is None:
            c = self.customers[key] = Customer(key, plan, now)
        else:
            self.customers.move_to_end(key)
        c.seen = now
        self.touched(c)
        while (first := next(iter(self.customers.values()))).seen < now - self.kept:
            if first.flying > 0:
                first.seen = now
                self.customers.move_to_end(first.key)
            else:
                del self.customers[first.key]
        return c

    def touched(self, c: Customer) -> None:
        """Something about it may change: it is to be kept, where changes are kept."""
        if self.changed is not None:
            self.changed[c.key] = c

    def admit(self, now: float, c: Customer, units: float, f: Charge | None = None) -> None:
        """Units were let in here: they come off the store, and peers are told."""
        c.use(now, units)
        self.touched(c)
        if self.escrow is not None and not (f is not None and f.escrowed):
            self.escrow.spend(now, self.plan_numbers[c.plan.name], c.key, units)
        if f is not None:
            f.took = units
        if self.tells and not c.wide():
            c.mine += round(4 * units)
            if self.talk is not None:
                self.talk.mark_changed(now, c.key, c.first, c.width, f is None)
            else:
                self.untold[c.key] = c

    def settle(self, now: float, f: Charge, units: float) -> None:
        """Put right what a request was charged, where its member's account is kept."""
        c = f.customer
        if f.home is not None and self.talk is not None:
            return self.talk.reconcile(f.home, c.key, self.plan_numbers[c.plan.name], units)
        c.pending += units
        self.admit(now, c, units)

    def home(self, now: float, c: Customer) -> int | None:
        """The ingress that keeps the account of a member with a wide set; None where each goes by its own knowledge.

        A ceiling has no home: while homes change its room could be had twice.
        """
        if self.talk is None or not c.wide() or c.plan.ceiling_rate > 0:
            return None
        return self.talk.owner(now, c.key, c.first, c.width)

    def housed(self, now: float, number: int, key: int, first: int = 0, width: int = 0) -> Customer | None:
        """A member whose account is kept here, as a peer says; None where it has no such plan."""
        plan = list(self.plans.values())[number] if number < len(self.plans) else None
        if plan is None or plan.rate <= 0 or plan.ceiling_rate > 0:
            return None
        c = self.meet(now, key, plan)
        if width:
            c.first, c.width = first, width
        c.house(now)
        return c

    def tell(self, now: float) -> None:
        """Tell peers what was let in: between its own calls no ingress sees it in a count."""
        self.telling = self.owed = False
        self.last_told = now
        self.want(now)
        if self.talk is not None:
            self.acts += [actions.SendToPeer(peer, USAGE_MARK + b"".join(
                self.told(now, c, peer) for c in map(self.customers.get, keys) if c is not None))
                for peer, keys in self.talk.due_updates(now)]
            self.acts += [actions.SendToPeer(peer, message) for peer, message in self.talk.due_reconciliations()]
            return
        if not self.untold:  # only that this ingress is there
            self.acts.append(actions.SendToPeer(None, USAGE_MARK))
        waiting = list(islice(self.untold.values(), max(1, self.tell_most) * USAGE_ENTRIES_MAX))
        for n in range(0, len(waiting), USAGE_ENTRIES_MAX):
            self.acts.append(actions.SendToPeer(None, USAGE_MARK + b"".join(
                self.told(now, c) for c in waiting[n:n + USAGE_ENTRIES_MAX])))

    def told(self, now: float, c: Customer, peer: int | None = None) -> bytes:
        """What a message, to one peer or to all, says of one customer."""
        if peer is not None:
            new, c.told_to[peer] = c.mine - c.told_to.get(peer, c.mine_told), c.mine
        else:
            del self.untold[c.key]
            new, c.mine_told = c.mine - c.mine_told, c.mine
        new = max(-128, min(127, new))
        name = encode_customer(self.plan_numbers[c.plan.name], c.key)
        level = max(-LEVEL_STEPS, min(LEVEL_STEPS, LEVEL_STEPS * c.room(now) / c.plan.burst))
        return USAGE_ENTRY.pack(name, c.mine & 0xffff, new, round(level))

    def heard(self, now: float, e: events.PeerMessage) -> None:
        """What a peer has let in, or a window that is used up; what is long over is forgotten."""
        self.touch[e.sender] = now
        if self.talk is not None:
            self.talk.record_message(now, e.sender, len(e.payload) > 1 and e.payload[:1] == USAGE_MARK)
        if e.payload[:1] == USAGE_MARK and len(e.payload) % USAGE_ENTRY.size == 1 and self.tells:
            self.owed |= self.talk is None and len(e.payload) > 1 and now - self.last_told > BEACON_S
            for name, total, new, level in USAGE_ENTRY.iter_unpack(e.payload[1:]):
                self.hear(now, e.sender, int.from_bytes(name), total, new, level / LEVEL_STEPS)
            return
        if self.escrow is not None and e.payload[:1] in ESCROW_MARKS:
            answers = self.escrow.receive(now, e.sender, e.payload)
            self.acts += [actions.SendToPeer(e.sender, answer) for answer in answers]
            return
        self.spent[e.payload] = now + self.kept
        self.spent.move_to_end(e.payload)
        while self.spent[first := next(iter(self.spent))] < now:
            del self.spent[first]

    def hear(self, now: float, peer: int, name: int, total: int, new: int, level: float) -> None:
        """A customer's use at a peer. Its total makes up for lost messages, unless it has begun anew.

        An ingress that has only begun itself knows nothing of what went before: the peer's level stands in.
        """
        plan = list(self.plans.values())[name & 127] if name & 127 < len(self.plans) else None
        if plan is None or plan.rate <= 0:
            return
        c = self.meet(now, name >> 7, plan)
        more = (total - c.theirs.get(peer, total - new) + 0x8000) % 0x10000 - 0x8000
        if not -8 * self.s.max_units <= more <= 8 * c.plan.burst:
            more = new
        c.theirs[peer] = total
        units = more / 4
        covered = min(max(0.0, c.excess), max(0.0, units))  # a total has shown that much of it already
        window = c.turn(now)
        c.heard, c.heard_in = units + (c.heard if c.heard_in == window else 0.0), window
        c.excess -= covered
        # What only its total tells came in words that were lost; where words are few that is seconds ago. The store has
        # refilled since, and what went beyond it took nothing: it can be empty for that, but not in debt.
        lost = max(0.0, (more - new) / 4) if self.talk is not None else 0.0
        old = min(lost, max(0.0, units - covered))
        c.use(now, units - covered - old)
        c.level = max(c.level - old, min(c.level, 0.0))
        if not c.vouched and now - self.began < self.kept:
            c.vouched, c.level, c.at = True, min(c.room(now), level * c.plan.burst), now

    def share(self, now: float, c: Customer, units: float) -> bool:
        """Whether this ingress's own share of the allowance lets units in; if not, peers are asked for theirs."""
        if self.escrow is None:
            return True
        spent = max(0.0, c.plan.burst - c.room(now))  # of a ceiling no more: it refills faster
        good = self.escrow.admit(now, self.plan_numbers[c.plan.name], c.key, c.first, c.width, units, spent)
        if not good:
            self.want(now)
            self.owed = True  # what is not told now is told with the next telling
        return good

    def greet(self, now: float) -> None:
        """Say that this ingress has begun to peers that have not answered."""
        if self.escrow is not None:
            self.acts += [actions.SendToPeer(peer, message) for peer, message in self.escrow.handshakes(now)]

    def leave(self, now: float) -> None:
        """Tell peers all that they have not been told, and hand them this ingress's shares."""
        while self.untold:
            self.tell(now)
        if self.talk is not None:
            self.tell(now)
        if self.escrow is not None:
            self.acts += [actions.SendToPeer(peer, message) for peer, message in self.escrow.shutdown_messages(now)]

    def want(self, now: float) -> None:
        """Ask peers for their shares, as often as messages may be sent."""
        if self.escrow is not None:
            self.acts += [actions.SendToPeer(peer, message) for peer, message in self.escrow.demands(now)]

    def due(self) -> bool:
        """Whether peers are to be told anything with the next tick."""
        return bool(self.untold) or self.owed or (self.talk is not None and self.talk.has_work())

    def in_touch(self, now: float, c: Customer, strict: bool = False) -> bool:
        """Whether all ingresses of the customer's set are heard of: the store is known without calls.

        `strict`: within the shorter time also while totals come.
        """
        if c.housed:
            return True
        peers = (i % self.s.instances for i in range(c.first, c.first + c.width))
        short = strict or self.health(now, c).silent(now)
        if strict and now - self.began < TOUCH_S:  # they are given time to say that they are there
            return True
        since = now - (TOUCH_S if short else AWAY_S)
        return self.tells and not c.wide() and all(
            i == self.s.me or self.touch[i] > since or (self.escrow is not None and self.escrow.has_shut_down(i))
            for i in peers)

    def guessed(self, now: float, c: Customer) -> bool:
        """Whether a store counts as full here only because an earlier life's knowledge of it is gone."""
        return (self.escrow is not None and not c.vouched and now - self.began < c.length
                and self.escrow.has_restarted())

    def followed(self, now: float, c: Customer) -> bool:
        """Whether all that the present window's total holds must have been heard of too."""
        return not c.housed and self.in_touch(now, c) and c.born <= c.turn(now) * c.length - c.phase

    def told_of(self, now: float, c: Customer) -> bool:
        """Whether all that the customer has used of late must be known here: it would have been told of.

        Or it came through here alone, and this ingress, or a counter of its own, is old enough to know it.
        """
        if c.housed:
            return True
        if c.width == 1 and c.first % self.s.instances == self.s.me % self.s.instances and (
                self.s.own_counter or now - self.began > 2 * c.length):
            return True
        return self.followed(now, c) or (
            self.in_touch(now, c) and (c.vouched or now - self.began > 2 * c.length))

    def forgive(self, now: float, c: Customer) -> None:
        """What a total held and no peer has told since was a charge that has been added back."""
        if c.excess > 0 and now - c.excess_at > EXCESS_S and self.followed(now, c):
            c.level, c.at, c.excess = c.room(now) + c.excess, now, 0.0
