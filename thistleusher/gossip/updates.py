"""The words of homes and their members' ingresses, byte by byte, and what a large fleet's talk consists of.

    07  question  number (2), member and plan (5), set: first (2), width (2), quarter units (2)    14 bytes
    08  answer    number (2), 1 let in / 0 not (1), room in quarter units, signed (2)              6 bytes
    09  settled   rows of member and plan (5), quarter units more or less, signed (2)              7 bytes a row

Numbers are big-endian. A message of another length is passed over.
"""

from __future__ import annotations

import math
import struct

from thistleusher.core import decision_ports, events
from thistleusher.core.datagrams import decode_customer, encode_customer
from thistleusher.gossip.outbox import Outbox
from thistleusher.gossip.owners import ANSWER_S, Asked, Owners
from thistleusher.gossip.pending import PendingRequests

ASK, ANSWER, SETTLED = b"\x07", b"\x08", b"\x09"
QUESTION = struct.Struct(">H5sHHH")
REPLY = struct.Struct(">HBh")
ROW = struct.Struct(">5sh")
ROWS = (256 - 1) // ROW.size
SETTLE_MOST = 4096  # members whose settlements wait at once; beyond it the oldest are forgotten
TELL_PART = 0.5  # of the messages that an ingress takes in, that it sends as tellings


class Gossip:
    """What one ingress of a large fleet says: tellings to sets, questions to homes, settlements."""

    def __init__(self, instances: int, me: int, per_s: float, rows: int, counter_timeout: float, now: float) -> None:
        """`per_s`: messages a second that an ingress takes in; `rows`: members that a telling holds."""
        self.instances, self.me = instances, me
        self.outbox = Outbox(TELL_PART * per_s, rows, now)
        self.homes = Owners(instances, me, ANSWER_S + counter_timeout)
        self.known = Asked()
        self.waiting = PendingRequests()
        self.settling: dict[int, dict[bytes, float]] = {}  # by home, units by member and plan
        self.settlings = 0  # rows of all homes

    def peers(self, first: int, width: int) -> list[int]:
        """The other ingresses of a set."""
        return [p for n in range(width) if (p := (first + n) % self.instances) != self.me]

    # Tellings.

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Something of a member has changed; `lazy`: it may wait for company."""
        peers = self.peers(first, width)
        self.outbox.note(now, key, peers, lazy)
        self.outbox.meet(now, peers)

    def record_message(self, now: float, peer: int, telling: bool) -> None:
        """A peer has sent a message; `telling`: of use by members that are common to both."""
        self.homes.heard(peer)
        if telling:
            self.outbox.owe(now, peer)
            self.outbox.meet(now, (peer,))

    def member_seen(self, now: float, first: int, width: int) -> None:
        """A member of this set was seen."""
        self.outbox.meet(now, self.peers(first, width))

    def has_work(self) -> bool:
        """Whether the next tick has anything to say."""
        return self.outbox.busy() or bool(self.settling)

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """The tellings that leave now: to whom, of which members."""
        return self.outbox.take(now)

    # Questions and their answers.

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """The ingress that keeps a member's account; None where none of its candidates answers."""
        return self.homes.of(now, customer, first, width)

    def create_query(self, now: float, home: int, r: events.Request, plan: int) -> bytes | None:
        """A question for a request; None where too many are out."""
        name, quarters = encode_customer(plan, r.customer), min(0xFFFF, round(4 * r.units))
        return self.homes.ask(
            now,
            r.id,
            home,
            r.customer,
            plan,
            r.units,
            lambda number: (ASK + QUESTION.pack(number, name, r.first, r.width, quarters)),
        )

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Questions to be put once more, to whom."""
        return self.homes.again(now)

    def receive_query(self, now: float, peer: int, payload: bytes) -> decision_ports.OwnerQuery | None:
        """A question of a peer's; None where it cannot be one, or is one that is being decided on."""
        if len(payload) != 1 + QUESTION.size:
            return None
        number, name, first, width, quarters = QUESTION.unpack_from(payload, 1)
        if not 1 <= width <= self.instances or first >= self.instances:
            return None
        known = self.known.again(now, peer, number, payload)
        if known == b"":
            return None
        plan, customer = decode_customer(name)
        return decision_ports.OwnerQuery(number, customer, plan, first, width, quarters / 4, known or b"")

    def create_reply(self, peer: int, number: int, good: bool, room: float) -> bytes:
        """The answer to a peer's. Room is rounded down: who has none must not be told of enough."""
        words = ANSWER + REPLY.pack(number, good, max(-0x8000, min(0x7FFF, math.floor(4 * room))))
        self.known.said(peer, number, words)
        return words

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Whose request a home has decided on, how, and the room that it told; None where nobody waits for it."""
        if len(payload) != 1 + REPLY.size:
            return None
        number, good, quarters = REPLY.unpack_from(payload, 1)
        found = self.homes.answered(peer, number)
        if found is None:
            return None
        question, in_time = found
        if not in_time:
            if good:  # it went another way meanwhile
                self.reconcile(peer, question.customer, question.plan, -question.units)
            return None
        return question.request, bool(good), quarters / 4

    def add_pending(self, request: str, due: float) -> bool:
        """Keep a request until then, or until a peer has given anything; whether there is room for it."""
        return self.waiting.hold(request, due)

    def take_pending(self) -> list[str]:
        """All that are kept; they are kept no longer."""
        return self.waiting.take()

    def expired_requests(self, now: float) -> list[str]:
        """Requests whose home has not answered in time, or that were held until now."""
        return self.homes.overdue(now) + self.waiting.overdue(now)

    def timer_delay(self, now: float) -> float | None:
        """Seconds until a question is to be put again, or a request has waited long enough; None where none does."""
        dues = [due for due in (self.homes.due(), self.waiting.due()) if due is not None]
        return max(0.001, min(dues) - now) if dues else None

    # Settlements.

    def reconcile(self, home: int, customer: int, plan: int, units: float) -> None:
        """Units more (or less) than a home was asked for; they go with the next tick, merged."""
        name = encode_customer(plan, customer)
        if name not in self.settling.get(home, ()):
            if self.settlings >= SETTLE_MOST:
                self.settlings -= len(self.settling.pop(next(iter(self.settling))))
            self.settlings += 1
        rows = self.settling.setdefault(home, {})
        rows[name] = rows.get(name, 0.0) + units

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """The messages of all that waits, each home's together."""
        out = []
        for home, rows in self.settling.items():
            packed = [ROW.pack(name, max(-0x8000, min(0x7FFF, round(4 * u)))) for name, u in rows.items()]
            out += [(home, SETTLED + b"".join(packed[n : n + ROWS])) for n in range(0, len(packed), ROWS)]
        self.settling.clear()
        self.settlings = 0
        return out

    @staticmethod
    def parse_reconciliations(payload: bytes) -> list[tuple[int, int, float]]:
        """Members, their plans' numbers, and units, of a peer's settlements."""
        if (len(payload) - 1) % ROW.size:
            return []
        rows = ((decode_customer(name), quarters) for name, quarters in ROW.iter_unpack(payload[1:]))
        return [(customer, plan, quarters / 4) for (plan, customer), quarters in rows]
