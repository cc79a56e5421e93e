"""What the decision module asks of its parts, as protocols: escrowed shares, gossip, placement of the counts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from thistleusher.core.events import BackendEntry, Request
from thistleusher.core.settings import ClassSettings
from thistleusher.core.snapshots import SavedReservation


class Routed(Protocol):
    """What the choice of a backend asks of a request.

    `work`: expected, in multiples of its class's mean. `bad`: backends that are left out. `ran_on`: the backend of the
    earliest attempt that may have run.
    """

    req: Request
    cls: ClassSettings
    work: float
    bad: set[str]
    ran_on: BackendEntry | None


class Escrow(Protocol):
    """Holds customers to an ingress's own share of their allowance; `thistleusher.quota` is one.

    Plans by their number in the settings, times as Unix seconds, units as charged. Pure.
    """

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Charge a request and return True if the share admits it; `spent`: known to be used of the whole allowance."""

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Charge units that were admitted by other means."""

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Return requests for peers' shares that are due, with the peer; None: to all peers."""

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Take in a peer's message, and return the answers to it."""

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the messages that an ingress which has started is to send now, with the peer."""

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until more handshakes are due; None where none are any more."""

    def has_shut_down(self, peer: int) -> bool:
        """Return whether a peer has shut down in order and not started again: it admits nothing."""

    def has_restarted(self) -> bool:
        """Return whether a peer has known an earlier incarnation of this ingress."""

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """Return the messages by which an ingress that shuts down hands its shares over, with the peer."""

    def restore(self, notes: Iterable[SavedReservation], active: float | None) -> None:
        """Reserve headroom from now on; `notes` of an earlier incarnation that was active until `active`, if any."""

    def changed_reservations(self, now: float, most: int) -> list[SavedReservation]:
        """Return reservations to be written to disk, of allowances that have changed, `most` at once."""

    def reservation_dropped(self, key: tuple[int, int]) -> None:
        """Note that the last reservation of this (plan, customer) will never be on disk."""

    def reservations_committed(self, keys: Iterable[tuple[int, int]]) -> None:
        """Note that the last reservations of these (plan, customer) are on disk."""


class OwnerQuery(NamedTuple):
    """A peer's query to the owner of an account: its number, customer, plan's number, set, and units asked for.

    `answer`: the reply that it has had, where it comes again.
    """

    number: int
    customer: int
    plan: int
    first: int
    width: int
    units: float
    answer: bytes = b""


class Gossip(Protocol):
    """Which peer is notified and asked of what in a large fleet; `thistleusher.gossip` is one. Times in seconds."""

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Note that a customer's usage has changed; `lazy`: it may wait for other updates."""

    def record_message(self, now: float, peer: int, telling: bool) -> None:
        """Note a peer's message; `telling`: a usage update, of customers that are common to both."""

    def member_seen(self, now: float, first: int, width: int) -> None:
        """Note that a customer of this set was seen."""

    def has_work(self) -> bool:
        """Return whether the next tick has anything to send."""

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the updates that are sent now: the peer, and the customers."""

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """Return the ingress that owns a customer's account; None where none of its candidates answers."""

    def create_query(self, now: float, home: int, r: Request, plan: int) -> bytes | None:
        """Return a query to the owner for a request; None where too many are out."""

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """Return a peer's query; None where it cannot be one, or is being decided on."""

    def create_reply(self, peer: int, number: int, good: bool, room: float) -> bytes:
        """Return the reply to a peer's query; `room`: the headroom in units."""

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Return the request that its owner has decided on, whether it is admitted, and the headroom, if known."""

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return queries to be sent once more, with the peer: they or their replies were likely lost."""

    def expired_requests(self, now: float) -> list[str]:
        """Return requests whose owner has not replied in time, or that were pending until now."""

    def add_pending(self, request: str, due: float) -> bool:
        """Keep a request pending until then, or until a peer grants anything; return False where too many are."""

    def take_pending(self) -> list[str]:
        """Return all that are pending; they are pending no longer."""

    def timer_delay(self, now: float) -> float | None:
        """Return the seconds until a query is overdue; None where none is out."""

    def reconcile(self, home: int, customer: int, plan: int, units: float) -> None:
        """Have the owner charge so many units more (or less) than it was asked for."""

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """Return the messages of all that waits to be reconciled, with the peer."""

    def parse_reconciliations(self, payload: bytes) -> list[tuple[int, int, float]]:
        """Return the customers, their plans' numbers and the units of a peer's reconciliations."""


class CounterOf(Protocol):
    """Placement of the counts over several counters, by their number. Pure."""

    def of(self, name: int) -> int:
        """Return the counter that holds a name, the same at every ingress."""
