"""What the decision module asks of its parts, as protocols: escrowed shares, gossip, placement of the counts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from thistleusher.core.events import BackendEntry, Request
from thistleusher.core.settings import ClassSettings
from thistleusher.core.snapshots import SavedReservation


class Routed(Protocol):
    """What the choice of a backend asks of a request.

    `event`: the request as it arrived. `work`: expected, in multiples of its class's mean. `failed_backends` are left
    out. `ran_on`: the backend of the earliest attempt that may have run.
    """

    event: Request
    request_class: ClassSettings
    work: float
    failed_backends: set[str]
    ran_on: BackendEntry | None


class Escrow(Protocol):
    """Holds customers to an ingress's own share of their allowance; `quota.escrow.EscrowTable` is one.

    Plans by their number in the settings, times as Unix seconds, units as charged. Pure.
    """

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Return whether a request may be let in; `spent`: units known to be gone of the whole allowance."""

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Take off units that were let in by another verdict."""

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Return the demands that are due, to whom; None: to all peers."""

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Take in a peer's message and return the answers to it."""

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes that are due after this ingress's start, to whom."""

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake; None where none is due any more."""

    def has_shut_down(self, peer: int) -> bool:
        """Return whether a peer has announced its shutdown and not started again: it lets nothing in."""

    def has_restarted(self) -> bool:
        """Return whether a peer has known an earlier incarnation of this ingress."""

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """Return the last messages of an ingress that shuts down in order, to whom."""

    def restore(self, reservations: Iterable[SavedReservation], last_active: float | None) -> None:
        """Record reservations from now on, and start with those of an earlier incarnation.

        `last_active`: until when that incarnation may have been active, None where there was none.
        """

    def changed_reservations(self, now: float, limit: int) -> list[SavedReservation]:
        """Return reservations to be written to disk, of up to `limit` allowances that have changed."""

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
    """What the ingresses of a large fleet send one another; `gossip.Gossip` is one. Times in seconds."""

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Queue an update of a customer to its set of ingresses; `lazy`: it may wait for others to go with."""

    def record_message(self, now: float, peer: int, is_update: bool) -> None:
        """Note that a peer has sent a message; `is_update`: of usage by customers that are common to both."""

    def customer_seen(self, now: float, first: int, width: int) -> None:
        """Keep in contact with a set of ingresses: a customer of that set was seen."""

    def has_work(self) -> bool:
        """Return whether the next tick has anything to send."""

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the updates that leave now: to whom, of which customers."""

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """Return the ingress that keeps a customer's account; None where none of its candidates answers."""

    def create_query(self, now: float, owner: int, request: Request, plan: int) -> bytes | None:
        """Return a query for a request; None where too many are outstanding."""

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """Return a peer's query; None where it cannot be one, or is one that is being decided on."""

    def create_reply(self, peer: int, number: int, admitted: bool, headroom: float) -> bytes:
        """Return the reply to a peer's query."""

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Return whose request an owner has decided on, how, and the headroom; None where nobody waits for it."""

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return the queries that are to be sent once more, to whom: they or their replies were likely lost."""

    def expired_requests(self, now: float) -> list[str]:
        """Return the requests whose owner has not replied in time, or that were pending until now."""

    def add_pending(self, request: str, deadline: float) -> bool:
        """Keep a request until then, or until a peer has given anything; return whether it can be kept."""

    def take_pending(self) -> list[str]:
        """Return all requests that are pending; they are so no longer."""

    def timer_delay(self, now: float) -> float | None:
        """Return the seconds until a query is to be sent again or a request expires; None where none does."""

    def reconcile(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Tell an owner of units more (or less) than it was asked for."""

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """Return the messages of all that is to be reconciled, to whom."""

    def parse_reconciliations(self, payload: bytes) -> list[tuple[int, int, float]]:
        """Return customers, their plans' numbers, and units, of a peer's message."""


class CounterOf(Protocol):
    """Placement of the counts over several counters, by their number. Pure."""

    def of(self, name: int) -> int:
        """Return the counter that holds a name, the same at every ingress."""
