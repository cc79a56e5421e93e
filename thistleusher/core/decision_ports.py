"""Protocols of the decision module's parts: escrowed shares, gossip, and placement of counts on counters."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from thistleusher.core.events import BackendEntry, Request
from thistleusher.core.settings import ClassSettings
from thistleusher.core.snapshots import SavedReservation


class RoutedRequest(Protocol):
    """The fields of a request that the choice of a backend reads.

    `event` is the request as it arrived, `work` its expected work as a multiple of its class's mean. `failed_backends`
    are excluded. `ran_on` is the backend of the earliest attempt that may have run.
    """

    event: Request
    request_class: ClassSettings
    work: float
    failed_backends: set[str]
    ran_on: BackendEntry | None


class Escrow(Protocol):
    """Limits customers to this ingress's share of their allowance; implemented by `quota.escrow.EscrowTable`.

    Plans are given by number, times are Unix seconds, units are quota units. Implementations are pure.
    """

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Return whether the share admits a request; `spent`: known used units of the whole allowance."""

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Deduct units that were admitted by other means than `admit`."""

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Return due demands with their destinations; None means all peers."""

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Handle a peer's message and return the answers to it."""

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes due after this ingress's start, with their destinations."""

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake, or None if no more are due."""

    def has_shut_down(self, peer: int) -> bool:
        """Return whether a peer has announced its shutdown and not restarted, so that it admits nothing."""

    def has_restarted(self) -> bool:
        """Return whether a peer knows an earlier incarnation of this ingress."""

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """Return the final messages of an orderly shutdown, with their destinations."""

    def restore(self, reservations: Iterable[SavedReservation], last_active: float | None) -> None:
        """Restore the reservations of an earlier incarnation, and record reservations from now on.

        `last_active`: latest time at which that incarnation may have been active, or None if there was none.
        """

    def changed_reservations(self, now: float, limit: int) -> list[SavedReservation]:
        """Return reservations to be written to disk, of up to `limit` changed allowances."""

    def reservation_dropped(self, key: tuple[int, int]) -> None:
        """Record that the last reservation of a (plan, customer) will not be written to disk."""

    def reservations_committed(self, keys: Iterable[tuple[int, int]]) -> None:
        """Record that the last reservations of these (plan, customer) keys are on disk."""


class OwnerQuery(NamedTuple):
    """A peer's query to the owner of an account: its number, customer, plan's number, ingress set, and units.

    `answer`: the earlier reply, if the query is a retransmission.
    """

    number: int
    customer: int
    plan: int
    first: int
    width: int
    units: float
    answer: bytes = b""


class Gossip(Protocol):
    """Messages between many ingresses; implemented by `gossip.Gossip`. Times are in seconds."""

    def mark_changed(self, now: float, key: int, first: int, width: int, lazy: bool = False) -> None:
        """Queue an update of a customer to its ingress set; `lazy`: it may wait for other updates."""

    def record_message(self, now: float, peer: int, is_update: bool) -> None:
        """Record a message from a peer; `is_update`: it reports usage of customers common to both."""

    def customer_seen(self, now: float, first: int, width: int) -> None:
        """Keep in contact with an ingress set, because one of its customers was seen."""

    def has_work(self) -> bool:
        """Return whether there is anything to send at the next notification."""

    def due_updates(self, now: float) -> list[tuple[int, list[int]]]:
        """Return the updates due now as pairs of peer and customers."""

    def owner(self, now: float, customer: int, first: int, width: int) -> int | None:
        """Return the owner of a customer's account, or None if no candidate is responsive."""

    def create_query(self, now: float, owner: int, request: Request, plan: int) -> bytes | None:
        """Return a query for a request, or None if too many are outstanding."""

    def receive_query(self, now: float, peer: int, payload: bytes) -> OwnerQuery | None:
        """Return a peer's query, or None if it is malformed or already being decided."""

    def create_reply(self, peer: int, number: int, admitted: bool, headroom: float) -> bytes:
        """Return the reply to a peer's query."""

    def receive_reply(self, peer: int, payload: bytes) -> tuple[str, bool, float] | None:
        """Return the request's id, the verdict and the headroom, or None if no request waits for the reply."""

    def due_retransmissions(self, now: float) -> list[tuple[int, bytes]]:
        """Return queries to resend with their destinations, as they or their replies were probably lost."""

    def expired_requests(self, now: float) -> list[str]:
        """Return the requests whose owner reply or pending time has timed out."""

    def add_pending(self, request: str, deadline: float) -> bool:
        """Hold a request until `deadline` or until a peer grants shares. Return whether it can be held."""

    def take_pending(self) -> list[str]:
        """Remove and return all pending requests."""

    def timer_delay(self, now: float) -> float | None:
        """Return the seconds until the next retransmission or expiry, or None if there is none."""

    def reconcile(self, owner: int, customer: int, plan: int, units: float) -> None:
        """Queue a correction of the units that an owner has charged; it may be negative."""

    def due_reconciliations(self) -> list[tuple[int, bytes]]:
        """Return the messages of all queued corrections, with their destinations."""

    def parse_reconciliations(self, payload: bytes) -> list[tuple[int, int, float]]:
        """Return the (customer, plan number, units) corrections in a peer's message."""


class CounterPlacement(Protocol):
    """Placement of counts on several counters, which are numbered. Implementations are pure."""

    def of(self, name: int) -> int:
        """Return the number of the counter that holds a name, the same at every ingress."""
