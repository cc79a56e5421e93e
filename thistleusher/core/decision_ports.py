"""What the decision module asks of its parts, as protocols: escrowed shares, gossip, the counters' placement."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from thistleusher.core.events import BackendEntry, Request
from thistleusher.core.settings import ClassSettings
from thistleusher.core.snapshots import SavedReservation


class Routed(Protocol):
    """What the choice of a backend asks of a request."""

    req: Request
    cls: ClassSettings
    work: float
    bad: set[str]
    ran_on: BackendEntry | None


class Escrow(Protocol):
    """What holds members to an ingress's own share of their allowance; `thistleusher.quota` is one.

    Plans by their number in the settings, times as Unix seconds, units as charged. Pure.
    """

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Whether a request may be let in; `spent`: what is known to be gone of the whole allowance."""

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Units were let in on another's word."""

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Messages that are due, to whom; None: to all peers."""

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """A peer's message; the answers to it, if any."""

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """What an ingress that has begun has to say now, to whom."""

    def handshake_delay(self, now: float) -> float | None:
        """Seconds until more of that is due; None where nothing is any more."""

    def has_shut_down(self, peer: int) -> bool:
        """Whether a peer has ended in order and not begun again: it lets nothing in."""

    def has_restarted(self) -> bool:
        """Whether a peer has known an earlier life of this ingress."""

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """The last words of an ingress that ends in order, to whom."""

    def restore(self, notes: Iterable[SavedReservation], active: float | None) -> None:
        """Keep rooms from now on; `notes` of an earlier life that was at work at `active`, None without one."""

    def changed_reservations(self, now: float, most: int) -> list[SavedReservation]:
        """Notes to be written to disk, of allowances that have changed."""

    def reservation_dropped(self, key: tuple[int, int]) -> None:
        """The last note of this (plan, customer) will never be on disk."""

    def reservations_committed(self, keys: Iterable[tuple[int, int]]) -> None:
        """The last notes of these (plan, customer) are on disk."""


class OwnerQuery(NamedTuple):
    """A peer's query to the owner of an account: its number, member, plan's number, set, and units asked for.

    `answer`: the one that it has had, where it comes again.
    """

    number: int
    customer: int
    plan: int
    first: int
    width: int
    units: float
    answer: bytes = b""


class Gossip(Protocol):
    """Who is told and asked what in a large fleet; `thistleusher.gossip` is one. Times in seconds."""

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Something of a member has changed; `lazy`: it may wait for company."""

    def record_message(self, now: float, peer: int, telling: bool) -> None:
        """A peer has sent a message; `telling`: an update of usage by members that are common to both."""

    def member_seen(self, now: float, first: int, width: int) -> None:
        """A member of this set was seen."""

    def has_work(self) -> bool:
        """Whether the next tick has anything to say."""

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """The tellings that leave now: to whom, of which members."""

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """The ingress that keeps a member's account; None where none of its candidates answers."""

    def create_query(self, now: float, home: int, r: Request, plan: int) -> bytes | None:
        """A question for a request; None where too many are out."""

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """A question of a peer's; None where it cannot be one, or is one that is being decided on."""

    def create_reply(self, peer: int, number: int, good: bool, room: float) -> bytes:
        """The answer to a peer's."""

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Whose request a home has decided on, how, and the room that it told; None where nobody waits for it."""

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Questions to be put once more, to whom: they or their answers were likely lost."""

    def expired_requests(self, now: float) -> list[str]:
        """Requests whose home has not answered in time, or that were held until now."""

    def add_pending(self, request: str, due: float) -> bool:
        """Keep a request until then, or until a peer has given anything; whether there is room for it."""

    def take_pending(self) -> list[str]:
        """All that are kept; they are kept no longer."""

    def timer_delay(self, now: float) -> float | None:
        """Seconds until a question is overdue; None where none is out."""

    def reconcile(self, home: int, customer: int, plan: int, units: float) -> None:
        """Units more (or less) than a home was asked for."""

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """The messages of all that waits to be settled."""

    def parse_reconciliations(self, payload: bytes) -> list[tuple[int, int, float]]:
        """Members, their plans' numbers, and units, of a peer's settlements."""


class CounterOf(Protocol):
    """Where several counters share the names: which of them holds one, by its number. Pure."""

    def of(self, name: int) -> int:
        """The same at every ingress."""
