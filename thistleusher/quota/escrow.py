"""Escrowed shares of an allowance: each ingress of a member's set spends its own, and gives what others want.

After the bounded counter of Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing
Numeric Invariants" (SRDS 2015), with rights that accrue at a rate, and begin anew in every epoch.

Guaranteed, for messages lost, late, doubled and out of order, and for ingresses that restart with nothing:

- the shares in effect at all ingresses of a set add up to at most 1, and their rooms to at most the burst;
- so between any two times the set lets in at most the burst and the rate times the time between them.

How. A share is a part of both the burst and the rate. Room fills at share x rate up to share x burst. Whoever
gives lowers its own share and room first and then tells the running total of what it has given to that peer in this
epoch; the taker adds what is new in that total. A lost message is made up for by the next, a doubled one changes
nothing, and one of another epoch, or of a life that is over (`beginning`), is dropped. At an epoch's start shares are
even again, and no room grows by that.

Who began within an epoch is not told what its earlier life gave. It is sure of `KEEP` of its even share, which nobody
gives away; it holds the rest, as the books of its peers have it, once it is settled with each of the set: by their
greetings where no shares went between them, else by an answer for this allowance. Its room fills from its beginning
only, since its earlier life may have spent all; a set that begins together has `fresh` units between them besides.
Where rooms are kept on disk (`keep`), it fills from what a note of the earlier life restores (`reserve`), and `fresh`
is only for whom the folder knows no earlier life.

Assumed: one clock. Clocks apart by s seconds add s x rate to the second bound. Cost: constant a request.
"""

from __future__ import annotations

import math
import struct
from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from thistleusher.core.datagrams import decode_customer, encode_customer
from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota.incarnations import HELLO_MARK, Incarnations
from thistleusher.quota.reserve import KEEP, Reserve

WHOLE = 1 << 12  # parts of a share
GRAIN = 64  # parts of a unit, in which rooms are given
WANT_S = 0.05  # between two wants of one allowance
IDLE_S = 0.5  # without a request for it here, after which an allowance can be given away
WANT_MARK, GIVE_MARK, ASK_MARK, SETTLE_MARK = b"\x02", b"\x03", b"\x05", b"\x06"
HEAD = 9  # bytes of a mark and of the sender's life
ROW = struct.Struct(">5sBHBHH")  # customer, plan; epoch; set: first, width; share, room given in it, or wanted
SETTLED = struct.Struct(">5sBHHHHHH")  # customer, plan; epoch; share, room given in it, taken, and given just now
MOST = 256
ROWS, SETTLED_ROWS = (MOST - HEAD) // ROW.size, (MOST - 2 * HEAD + 1) // SETTLED.size  # a book names whose it is for
ASKED = 4  # peers of a set that are asked at once in a large fleet
LEAVE_ROWS = 8  # messages at most with which an ingress that ends hands its shares to one peer


class Terms(NamedTuple):
    """An allowance: units a second, units at once, and the least that one ingress may let in at once.

    `fresh`: units that may be let in at once by a set whose ingresses begin together and know of nothing before.
    `ahead`: room below which peers are asked for more before it is needed.
    `strict`: never passed for service; else whoever begins has its share at once, and its part of `fresh` unless
    a peer has known an earlier life of it.
    """

    rate: float
    burst: float
    least: float = 0.0
    fresh: float = 0.0
    strict: bool = True
    ahead: float = 0.0


class Allowance:
    """One ingress's part of one member's allowance. Times in seconds of the one clock, room in units."""

    __slots__ = (
        "terms",
        "set",
        "next_set",
        "me",
        "lives",
        "epoch",
        "open",
        "owed",
        "gone",
        "share",
        "room",
        "at",
        "given",
        "taken",
        "wanted",
        "used",
        "length",
        "reserve",
        "turned",
    )

    def __init__(
        self,
        terms: Terms,
        members: tuple[int, ...],
        me: int,
        now: float,
        lives: Incarnations,
        spent: float,
        kept: float | None = None,
    ) -> None:
        """`spent`: units known to be gone of the whole allowance.

        `kept`: room that a note of an earlier life restores at this life's beginning; None without a note.
        """
        self.terms, self.set, self.next_set, self.me, self.at = terms, members, members, me, now
        self.lives, self.length = lives, epoch_length(terms)
        self.epoch = int(now // self.length)
        self.open = set[int]()  # peers of the set that this ingress has to be settled with to hold its share
        self.owed = self.gone = 0  # by peers' books: share given to less share taken from the earlier lives; the latter
        self.share, self.room = 0, 0.0
        self.given: dict[int, tuple[int, int]] = {}
        self.taken: dict[int, tuple[int, int]] = {}
        self.wanted = self.used = now - 2 * self.length
        self.reserve: Reserve | None = None  # where rooms are kept on disk
        self.turned = me  # whose turn it is to be asked, among the others of the set
        first_whole, wide = int(lives.began // self.length) + 1, self.wide()
        if not terms.strict:
            self.share = self.even()
            fresh = terms.fresh * (not lives.known and kept is None)
            self.room = self.part() * (terms.rate * max(0.0, now - lives.began) + fresh)
            if wide:  # a share under a unit would let nobody in: a request, once
                self.room = max(self.room, terms.least)
        elif self.epoch < first_whole:
            self.open = {peer for peer in members if peer != me}
            self.share = self.floor() if self.me in members else 0
            self.room = self.part() * terms.rate * max(0.0, now - lives.began)
            self.settle()
        else:
            # What filled before the first whole epoch is this ingress's where it was settled with all by then.
            self.share = self.even()
            sure = all(lives.settled(peer, first_whole * self.length) for peer in members if peer != me)
            since = lives.began if sure else first_whole * self.length
            self.room = self.part() * (terms.rate * (now - since) + (terms.fresh if lives.young(members) else 0.0))
        left = terms.burst if wide else self.part() * max(0.0, terms.burst - spent)
        self.room = min(self.room + (kept or 0.0), left, self.cap())

    def settle(self) -> None:
        """Look whom this ingress has become settled with; settled with all, it holds its share."""
        self.open = {peer for peer in self.open if not self.lives.settled(peer, self.at)}
        if self.open or self.me not in self.set:
            return
        own = self.even() - self.floor()
        self.share = min(WHOLE, self.share + max(0, own + self.owed))
        # What was given to it may have filled a peer's room until then: only what it always had fills from the first.
        # A part that has been full since holds no more than its part of the burst.
        since = max(0.0, self.at - self.lives.began)
        self.room += max(0, own - self.gone) / WHOLE * min(self.terms.burst, self.terms.rate * since)
        if self.lives.young(self.set):
            self.room += self.part() * self.terms.fresh
        self.room = min(self.room, self.cap())

    def floor(self) -> int:
        """What is left of the even share whatever was given."""
        return sure_share(len(self.set)) if self.me in self.set else 1

    def even(self) -> int:
        return WHOLE // len(self.set) if self.me in self.set else 0

    def wide(self) -> bool:
        """Whether an even share is less than a unit: each ingress lets in `least` at once, or nobody anything."""
        return not self.terms.strict and len(self.set) > self.terms.burst

    def part(self) -> float:
        """The share, from 0 to 1."""
        return self.share / WHOLE

    def cap(self) -> float:
        """Room at most. `least` lets a whole request through where the share is smaller than one."""
        return max(self.part() * self.terms.burst, self.terms.least if self.share else 0.0)

    def turn(self, now: float) -> None:
        """Refill; at an epoch's start the shares are even again, and no room grows by that."""
        epoch = int(now // self.length)
        if epoch > self.epoch:
            self.refill((self.epoch + 1) * self.length)
            self.epoch, self.set = epoch, self.next_set
            self.open.clear()
            self.share = self.even()
            self.given.clear()
            self.taken.clear()
            self.room = min(self.room, self.cap())
        self.refill(now)
        if self.open:
            self.settle()

    def refill(self, now: float) -> None:
        if now > self.at:
            self.room = min(self.cap(), self.room + self.part() * self.terms.rate * (now - self.at))
            self.at = now

    def take(self, now: float, units: float) -> bool:
        """Let in if there is room."""
        self.turn(now)
        self.used = now
        if self.loose(now) < units:
            return False
        self.room -= units
        return True

    def loose(self, now: float) -> float:
        """Room that no note on disk leaves to another life. A quota without a ceiling is not held to notes."""
        return self.room - self.reserve.floor(now) if self.reserve is not None and self.terms.strict else self.room

    def note(self, now: float) -> float:
        """What is to be kept of the room from now on; it is spoken for until a lower note has landed."""
        self.turn(now)
        if self.reserve is None:
            self.reserve = reserve_of(self.terms, len(self.set))
        return self.reserve.note(now, self.room if self.me in self.set else 0.0)

    def spend(self, now: float, units: float) -> None:
        """What was let in on another's word counts here too; not without end."""
        self.turn(now)
        self.room = min(self.cap(), max(-self.terms.burst, self.room - units))

    def lessen(self, now: float, spent: float) -> None:
        """What is known to be spent of the whole allowance lowers the room, and never raises it."""
        self.turn(now)
        if self.wide():
            return  # a part of what is left is less than a request, whatever is spent: `least` would be lost
        self.room = min(self.room, self.part() * max(0.0, self.terms.burst - spent))

    def give(self, now: float, peer: int, wanted: float = math.inf, leaving: bool = False) -> tuple[int, int] | None:
        """Give `peer` of what can be spared, all where the member is not at home here; the running totals."""
        self.turn(now)
        if peer not in self.set or peer == self.me or self.open:
            return None
        told = self.given.get(peer, (0, 0))
        idle = leaving or now - self.used > IDLE_S
        spare = self.share - self.floor()
        taken = self.taken.get(peer, (0, 0))[0]
        # Only its own is given on, and what came from the peer goes back: were what came from others given on, their
        # books and this one could all be lost, and no share be left to make up for it.
        out = sum(
            max(0, given - self.taken.get(other, (0, 0))[0])
            for other, (given, _) in self.given.items()
            if other != peer
        )
        own = self.even() - self.floor() - out - (told[0] - taken)
        wish = spare if leaving else max(spare // 2, taken - told[0])
        share = max(0, min(0xFFFF - told[0], wish, spare, own))
        loose = self.loose(now)
        room = max(0.0, min(loose if idle else loose / 2, wanted))
        grains = min(0xFFFF - told[1], int(room * GRAIN))
        if share or grains:
            self.share -= share
            self.room = min(self.room - grains / GRAIN, self.cap())
            told = self.given[peer] = (told[0] + share, told[1] + grains)
            self.lives.flowed(peer, (self.epoch + 1) * self.length)
        return told if told != (0, 0) else None

    def receive(self, now: float, peer: int, epoch: int, share: int, grains: int) -> None:
        """What `peer` has given in this epoch so far; older news and other epochs' change nothing."""
        self.turn(now)
        if epoch != self.epoch & 0xFF or peer == self.me or peer not in self.set or peer in self.open:
            return
        before = self.taken.get(peer, (0, 0))
        if share < before[0] or grains < before[1] or (share, grains) == before:
            return
        self.taken[peer] = (share, grains)
        self.share = min(WHOLE, self.share + share - before[0])
        self.room = min(self.cap(), self.room + (grains - before[1]) / GRAIN)
        self.lives.flowed(peer, (self.epoch + 1) * self.length)

    def answer(self, now: float, peer: int, wanted: float) -> tuple[int, ...]:
        """What a peer that has begun needs for its book: given and taken so far, and given just now."""
        self.turn(now)
        before = self.given.get(peer, (0, 0))
        given = self.give(now, peer, wanted) or before
        return *given, *self.taken.get(peer, (0, 0)), given[0] - before[0], given[1] - before[1]

    def book(self, now: float, peer: int, epoch: int, row: tuple[int, ...]) -> None:
        """A peer's book of what went between it and this ingress's earlier lives, and what it has just given."""
        self.turn(now)
        if epoch != self.epoch & 0xFF or peer not in self.set or peer == self.me:
            return
        share, grains, back, room_back, new, new_grains = row
        if peer not in self.open:  # told before: only what is new since then counts
            return self.receive(now, peer, epoch, share, grains)
        self.open.discard(peer)
        self.taken[peer], self.given[peer] = (share, grains), (back, room_back)
        self.owed += share - new - back
        self.gone += back
        self.share = min(WHOLE, self.share + new)
        self.room = min(self.cap(), self.room + new_grains / GRAIN)
        self.lives.flowed(peer, (self.epoch + 1) * self.length)
        self.settle()


def sure_share(width: int) -> int:
    """Of a set's even share, what nobody gives away."""
    return max(1, int(KEEP * (WHOLE // width)))


def reserve_of(terms: Terms, width: int) -> Reserve:
    """Of that share, the room that may be noted on disk."""
    sure = sure_share(width) / WHOLE
    return Reserve(sure * terms.rate, sure * terms.burst, terms.ahead)


def epoch_length(terms: Terms) -> float:
    """Seconds of an epoch: that in which the whole burst fills, twice over; shares find their places again in it."""
    return max(0.5, 2 * terms.burst / terms.rate)


class EscrowTable:
    """All allowances at one ingress. Those long idle are forgotten: by then an epoch has made them even and full."""

    def __init__(
        self,
        instances: int,
        me: int,
        began: float,
        plans: tuple[Terms | None, ...],
        want_every: float = WANT_S,
        each: float | None = None,
    ) -> None:
        """`want_every`: seconds at least between two messages of wants; each brings two answers a peer at most.

        `each`: of a large fleet, in which wants go to the sets of their members only, seconds for each peer asked.
        """
        self.want_every, self.each, self.told = want_every, each, -math.inf
        self.instances, self.me, self.plans = instances, me, plans
        longest = max((epoch_length(t) for t in plans if t is not None), default=1.0)
        self.lives = Incarnations(instances, me, began, longest, each is not None)
        self.allowances = OrderedDict[tuple[int, int], Allowance]()
        self.kept = 3 * longest
        self.wants: dict[tuple[int, int], float] = {}
        self.changed: dict[tuple[int, int], None] | None = None  # since they were last noted; None: nothing is kept
        self.notes: dict[tuple[int, int], SavedReservation] = {}  # of the earlier life, not asked for yet
        self.forgotten: dict[tuple[int, int], Reserve] = {}  # whose notes may still be on disk

    def restore(self, notes: Iterable[SavedReservation], active: float | None) -> None:
        """Keep rooms from now on, and begin with those of an earlier life. Before anything is asked.

        `active`: until when that life may have been at work, None where there was none.
        """
        self.changed = {}
        longest = self.kept / 3
        if active is None or active <= self.lives.began - longest:
            return  # every epoch that it was in is over
        self.lives.remembered = True
        self.notes = {(n.plan, n.customer): n for n in notes if n.plan < len(self.plans)}

    def remembered(self, key: tuple[int, int], terms: Terms, members: tuple[int, ...]) -> float | None:
        """The room that an earlier life's note restores at this one's beginning; of another set's nothing."""
        note = self.notes.pop(key, None)
        if note is None:
            return None
        if members != self.members(note.first, note.width) or self.me not in members:
            return 0.0
        return reserve_of(terms, len(members)).restored((note.room, note.at), self.lives.began)

    def members(self, first: int, width: int) -> tuple[int, ...]:
        """The ingresses of a set."""
        return tuple((first + n) % self.instances for n in range(width))

    def touched(self, key: tuple[int, int]) -> None:
        """Its room has changed: a new note is due, where notes are kept."""
        if self.changed is not None:
            self.changed[key] = None

    def changed_reservations(self, now: float, most: int) -> list[SavedReservation]:
        """Notes of allowances that have changed, `most` at once, each one at a time: until `landed`, no other."""
        out: list[SavedReservation] = []
        waiting: list[tuple[int, int]] = []
        changed = self.changed if self.changed is not None else {}
        for key in list(islice(changed, most)):
            del changed[key]
            a = self.allowances.get(key)
            if a is None:
                out.append(SavedReservation(*key, 0, 1, 0.0, -math.inf))
            elif a.reserve is not None and a.reserve.written is not None:
                waiting.append(key)
            else:
                out.append(SavedReservation(*key, a.next_set[0], len(a.next_set), a.note(now), a.at))
        for key in waiting:
            self.touched(key)
        return out

    def reservation_dropped(self, key: tuple[int, int]) -> None:
        """The note that was last given of it could not be handed over; another one will be due."""
        a = self.allowances.get(key)
        if a is not None and a.reserve is not None:
            a.reserve.lost()
        self.touched(key)

    def reservations_committed(self, keys: Iterable[tuple[int, int]]) -> None:
        """The notes that were last given of these are on disk."""
        for key in keys:
            a = self.allowances.get(key)
            if a is None:
                self.forgotten.pop(key, None)
            elif a.reserve is not None:
                a.reserve.landed()

    def of(self, now: float, plan: int, customer: int, first: int, width: int, spent: float) -> Allowance | None:
        """A member's allowance, None where its plan has none. Another set than before counts from the next epoch."""
        terms = self.plans[plan] if plan < len(self.plans) else None
        if terms is None or not 1 <= width <= self.instances:
            return None
        members = self.members(first, width)
        found = self.allowances.get((plan, customer))
        if found is None:
            kept = self.remembered((plan, customer), terms, members) if self.notes else None
            found = self.allowances[plan, customer] = Allowance(terms, members, self.me, now, self.lives, spent, kept)
            found.reserve = self.forgotten.pop((plan, customer), None)
            self.lives.want(found.open)
        found.next_set = members
        found.turn(now)  # touched before what is old is swept: it must not sweep itself
        self.allowances.move_to_end((plan, customer))
        while next(iter(self.allowances.values())).at < now - self.kept:
            key, idle = self.allowances.popitem(last=False)
            if idle.reserve is not None:
                self.forgotten[key] = idle.reserve
                self.touched(key)
        self.touched((plan, customer))
        return found

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Whether a request may be let in on this ingress's own share; if not, more is wanted from peers."""
        a = self.of(now, plan, customer, first, width, spent)
        if a is None:
            return True
        if now - a.used > a.length:  # it is asked anew: what went on meanwhile went on another's word
            a.lessen(now, spent)
        good = a.take(now, units)
        self.want(now, (plan, customer), a, 0.0 if good else units)
        return good

    def want(self, now: float, key: tuple[int, int], a: Allowance, units: float) -> None:
        """Ask peers for what is missing to `units`, also ahead of the next request."""
        short = units + min(a.terms.ahead, a.cap() / 4) - a.room
        if short > 0 and len(a.set) > 1 and not a.wide() and now - a.wanted >= WANT_S:
            a.wanted = now
            self.wants[key] = min(short, 2 * short / self.asked(a))  # of each peer: some have less

    def asked(self, a: Allowance) -> int:
        """How many of a set's other ingresses are asked at once: in a large fleet a few, others the next time."""
        others = len(a.set) - 1
        return others if self.each is None or a.open else min(others, ASKED)

    def next_asked(self, a: Allowance) -> list[int]:
        """Those of the others whose turn it is."""
        others = [p for p in a.set if p != self.me]
        count = self.asked(a)
        a.turned = (a.turned + count) % max(1, len(others))
        return [others[(a.turned + n) % len(others)] for n in range(count)]

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Units were let in without asking here."""
        a = self.allowances.get((plan, customer))
        if a is not None:
            a.spend(now, units)
            self.touched((plan, customer))
            if self.each is not None:  # where words are few shares follow the use before they are needed
                self.want(now, (plan, customer), a, 0.0)

    def head(self, mark: bytes) -> bytes:
        return mark + self.lives.life.to_bytes(HEAD - 1)

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Messages with what is wanted, each want once, to all peers or to those of its set; the rest waits."""
        if not self.wants or now - self.told < self.want_every:
            return []
        self.told = now
        # Where this ingress is not settled yet, peers are asked for their books as well.
        mark = ASK_MARK if self.unsettled(next(iter(self.wants))) else WANT_MARK
        rows: dict[int | None, list[bytes]] = {}
        taken = 0
        for key in list(islice(self.wants, 4 * ROWS)):  # the longest waiting first
            if taken < ROWS and self.unsettled(key) == (mark == ASK_MARK):
                units, a = self.wants.pop(key), self.allowances.get(key)
                if a is None:
                    continue
                row = self.row(key, 0, max(0, min(0xFFFF, int(units * GRAIN) + 1)))
                taken += 1
                for peer in (None,) if self.each is None else self.next_asked(a):
                    rows.setdefault(peer, []).append(row)
        if self.each is not None:
            self.want_every = max(WANT_S, self.each * len(rows))
        return [(peer, self.head(mark) + b"".join(lines)) for peer, lines in rows.items()]

    def unsettled(self, key: tuple[int, int]) -> bool:
        found = self.allowances.get(key)
        return found is not None and bool(found.open)

    def row(self, key: tuple[int, int], share: int, grains: int) -> bytes:
        a = self.allowances[key]
        return ROW.pack(encode_customer(*key), a.epoch & 0xFF, a.next_set[0], len(a.next_set), share, grains)

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Take in a peer's message; what it is to be answered with, if anything. Anything else is passed over."""
        mark = payload[:1]
        if mark == HELLO_MARK:
            answer = self.lives.heard(now, peer, payload)
            return [] if answer is None else [answer]
        form, head = (SETTLED, 2 * HEAD - 1) if mark == SETTLE_MARK else (ROW, HEAD)
        if (
            mark not in (WANT_MARK, GIVE_MARK, ASK_MARK, SETTLE_MARK)
            or len(payload) < head
            or (len(payload) - head) % form.size
            or peer == self.me
        ):
            return []
        if mark == SETTLE_MARK and int.from_bytes(payload[HEAD:head]) != self.lives.life:
            return []  # it was for an earlier life, and more may have been taken from that since
        if self.lives.meet(now, peer, int.from_bytes(payload[1:HEAD])) is None:
            return []
        rows: list[bytes] = []
        for values in form.iter_unpack(payload[head:]):
            plan, customer = decode_customer(values[0])
            if mark == SETTLE_MARK:
                known = self.allowances.get((plan, customer))
                if known is not None:
                    known.book(now, peer, values[1], values[2:8])
                continue
            _, epoch, first, width, share, grains = values
            a = self.of(now, plan, customer, first, width, 0.0)
            if a is None:
                continue
            if mark == GIVE_MARK:
                a.receive(now, peer, epoch, share, grains)
            elif mark == ASK_MARK:
                rows.append(
                    SETTLED.pack(encode_customer(plan, customer), a.epoch & 0xFF, *a.answer(now, peer, grains / GRAIN))
                )
            elif (told := a.give(now, peer, grains / GRAIN)) is not None:
                rows.append(self.row((plan, customer), *told))
        most, begin = ROWS, self.head(GIVE_MARK)
        if mark == ASK_MARK:
            most, begin = SETTLED_ROWS, self.head(SETTLE_MARK) + payload[1:HEAD]
        return [begin + b"".join(rows[n : n + most]) for n in range(0, len(rows), most)]

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """What an ingress that has begun has to say, to whom."""
        return self.lives.greetings(now)

    def handshake_delay(self, now: float) -> float | None:
        """Seconds until more of that is due; None where nothing is any more."""
        return self.lives.greet_in(now)

    def has_shut_down(self, peer: int) -> bool:
        """Whether a peer has said that it has ended, and has not begun again."""
        return peer in self.lives.left

    def has_restarted(self) -> bool:
        """Whether a peer has known an earlier life of this ingress."""
        return self.lives.known

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """The last words of an ingress that ends in order: shares of members that were here of late, to a peer of
        their set each; those used last go first, what does not fit is lost until the epoch ends."""
        rows: dict[int, list[bytes]] = {peer: [] for peer in self.lives.known_peers() if not self.has_shut_down(peer)}
        for key, a in reversed(self.allowances.items()):
            if now - a.at > a.length:
                break
            heirs = [peer for peer in a.set if peer in rows and len(rows[peer]) < LEAVE_ROWS * ROWS]
            if not heirs:
                continue
            heir = heirs[key[1] % len(heirs)]
            told = a.give(now, heir, leaving=True)
            self.touched(key)
            if told is not None:
                rows[heir].append(self.row(key, *told))
        out = []
        for peer, lines in rows.items():
            out += [(peer, self.head(GIVE_MARK) + b"".join(lines[n : n + ROWS])) for n in range(0, len(lines), ROWS)]
            out.append((peer, self.lives.hello(now, peer, leaving=True)))
        return out
