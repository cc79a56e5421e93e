"""Escrowed shares of an allowance: each ingress spends its own share and transfers shares to peers on demand.

Based on the bounded counter of Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing
Numeric Invariants" (SRDS 2015), with rights that accrue at a rate and are reset in every epoch.

Guarantees, if messages are lost, delayed, duplicated or reordered, and if ingresses restart without state:

- the shares in effect at all ingresses of an ingress set add up to at most 1, and their headroom to at most the burst;
- therefore, between any two times, the ingress set admits at most the burst plus the rate times the time between them.

A share is a fraction of both the burst and the rate (`quota.allowance`). Shares follow the traffic: an ingress that is
short of headroom demands more (`quota.demands`), and its peers transfer shares to it (`quota.transfers`). Messages of
superseded incarnations are ignored (`quota.incarnations`). An ingress that starts is reconciled with each peer of an
ingress set before it holds its full share there (`quota.bootstrap`). With a state folder, headroom survives a kill
(`quota.reservations`); the burst of a simultaneous start is only for ingresses whose folder has no earlier incarnation.

Assumes synchronized clocks: a skew of s seconds adds s x rate to the second bound. Cost: constant per request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota import messages, transfers
from thistleusher.quota.allowance import Allowance, TransferTotals
from thistleusher.quota.bootstrap import Bootstrap
from thistleusher.quota.demands import DEMAND_INTERVAL_S, DemandQueue
from thistleusher.quota.incarnations import Sender
from thistleusher.quota.messages import (
    BALANCE_REQUEST_MARK,
    HANDSHAKE_MARK,
    MAX_TRANSFER_ROWS,
    TRANSFER_MARK,
    BalanceMessage,
    RowMessage,
    TransferRow,
)
from thistleusher.quota.reservations import ReservationTracker, reservation_for
from thistleusher.quota.terms import GRAINS_PER_UNIT, AllowanceKey, Terms, epoch_length

RETENTION_EPOCHS = 3  # an idle allowance is evicted after this many times the longest epoch
SHUTDOWN_MESSAGES = 8  # maximum number of transfer messages to one peer at shutdown


class EscrowTable:
    """All allowances at one ingress; implements `core.decision_ports.Escrow`.

    Allowances that have long been idle are evicted. That loses nothing: by then a new epoch has reset their shares, and
    their headroom is full.
    """

    def __init__(
        self,
        instances: int,
        me: int,
        started_at: float,
        plans: tuple[Terms | None, ...],
        demand_interval: float = DEMAND_INTERVAL_S,
        interval_per_peer: float | None = None,
    ) -> None:
        """Create an empty table.

        plans: terms by the plan's number; None if a plan has no allowance
        demand_interval: minimum seconds between two messages of demands
        interval_per_peer: in a large deployment, where demands go only to peers of the ingress set, the seconds to wait
            per peer asked; None in a small one
        """
        self.instances = instances
        self.me = me
        self.plans = plans
        longest_epoch = max((epoch_length(terms) for terms in plans if terms is not None), default=1.0)
        self.longest_epoch = longest_epoch
        self.retention = RETENTION_EPOCHS * longest_epoch
        self.large_deployment = interval_per_peer is not None
        self.bootstrap = Bootstrap(instances, me, started_at, longest_epoch, on_demand=self.large_deployment)
        self.allowances = OrderedDict[AllowanceKey, Allowance]()  # least recently used first
        self.demand_queue = DemandQueue(me, demand_interval, interval_per_peer)
        self.reservations = ReservationTracker()

    # Persistence.

    def restore(self, reservations: Iterable[SavedReservation], last_active: float | None) -> None:
        """Enable reservations and restore those of an earlier incarnation. Must be called before the first request.

        `last_active`: latest time at which that incarnation may have been active; None if there was none.
        """
        self.reservations.enable()
        if last_active is None or last_active <= self.bootstrap.started_at - self.longest_epoch:
            return  # every epoch in which it was active is over
        self.bootstrap.folder_has_earlier = True
        self.reservations.restore(reservations, len(self.plans))

    def changed_reservations(self, now: float, limit: int) -> list[SavedReservation]:
        """Return changed reservations of up to `limit` allowances, at most one per allowance until it is committed."""
        return self.reservations.due(now, limit, self.allowances)

    def reservation_dropped(self, key: AllowanceKey) -> None:
        """Record that an allowance's last reservation could not be handed over for writing; a new one becomes due."""
        self.reservations.dropped(key, self.allowances.get(key))

    def reservations_committed(self, keys: Iterable[AllowanceKey]) -> None:
        """Record that the last reservations of these allowances are on disk."""
        self.reservations.committed(keys, self.allowances)

    # Verdicts.

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Return whether this ingress's own share admits a request; queue a demand to peers if headroom is short."""
        allowance = self._get_or_create(now, plan, customer, first, width, spent)
        if allowance is None:
            return True
        if now - allowance.last_used_at > allowance.epoch_length:
            # Since then, requests may have been admitted without the escrow.
            allowance.limit_to_unspent(now, spent)
        admitted = allowance.admit(now, units)
        self.demand_queue.add_if_short(now, (plan, customer), allowance, 0.0 if admitted else units)
        return admitted

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Subtract units that were admitted without the escrow."""
        key = (plan, customer)
        allowance = self.allowances.get(key)
        if allowance is None:
            return
        allowance.spend(now, units)
        self.reservations.mark_changed(key)
        if self.large_deployment:  # messages are rationed there, so shares are demanded before they are needed
            self.demand_queue.add_if_short(now, key, allowance, 0.0)

    def _get_or_create(
        self, now: float, plan: int, customer: int, first: int, width: int, spent: float
    ) -> Allowance | None:
        """Return a customer's allowance, created if needed and advanced to `now`; None if its plan has no allowance.

        A change of the ingress set takes effect in the next epoch.
        """
        terms = self.plans[plan] if plan < len(self.plans) else None
        if terms is None or not 1 <= width <= self.instances:
            return None
        key = (plan, customer)
        members = self._members(first, width)
        allowance = self.allowances.get(key)
        if allowance is None:
            allowance = self._create(now, key, terms, members, spent)
        allowance.next_members = members
        allowance.advance(now)  # before the eviction, so that this allowance does not count as idle
        self.allowances.move_to_end(key)
        self._evict_idle(now)
        self.reservations.mark_changed(key)
        return allowance

    def _create(self, now: float, key: AllowanceKey, terms: Terms, members: tuple[int, ...], spent: float) -> Allowance:
        restored_headroom = self._restored_headroom(key, terms, members)
        allowance = Allowance(terms, members, self.me, now, self.bootstrap, spent, restored_headroom)
        allowance.reservation = self.reservations.evicted.pop(key, None)
        self.allowances[key] = allowance
        self.bootstrap.require(allowance.unreconciled)
        return allowance

    def _restored_headroom(self, key: AllowanceKey, terms: Terms, members: tuple[int, ...]) -> float | None:
        """Return the headroom restored at this start by an earlier incarnation's reservation; None if there is none.

        A reservation that was made for a different ingress set restores nothing.
        """
        saved = self.reservations.claim(key)
        if saved is None:
            return None
        if members != self._members(saved.first, saved.width) or self.me not in members:
            return 0.0
        return reservation_for(terms, len(members)).restorable((saved.units, saved.at), self.bootstrap.started_at)

    def _members(self, first: int, width: int) -> tuple[int, ...]:
        """Return the ingresses of a set of `width` ingresses that begins at `first`."""
        return tuple((first + n) % self.instances for n in range(width))

    def _evict_idle(self, now: float) -> None:
        while next(iter(self.allowances.values())).at < now - self.retention:
            key, idle = self.allowances.popitem(last=False)
            if idle.reservation is not None:
                self.reservations.evicted[key] = idle.reservation
                self.reservations.mark_changed(key)

    # Messages.

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Return the demands that are due as (peer, message), with peer None for all; each is returned once."""
        return self.demand_queue.due_messages(now, self.allowances, self.bootstrap.incarnation)

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Process a peer's message and return the answers. Messages of other kinds are ignored."""
        if payload[:1] == HANDSHAKE_MARK:
            answer = self.bootstrap.receive(now, peer, payload)
            return [] if answer is None else [answer]
        message = messages.decode_rows(payload)
        if message is None or peer == self.me:
            return []
        if isinstance(message, BalanceMessage):
            self._receive_balances(now, peer, message)
            return []
        if self._is_superseded(now, peer, message.incarnation):
            return []
        if message.mark == TRANSFER_MARK:
            self._receive_transfers(now, peer, message.rows)
            return []
        if message.mark == BALANCE_REQUEST_MARK:
            return self._answer_balance_request(now, peer, message)
        return self._answer_demands(now, peer, message.rows)

    def _is_superseded(self, now: float, peer: int, incarnation: int) -> bool:
        return self.bootstrap.incarnations.observe(now, peer, incarnation) is Sender.SUPERSEDED

    def _receive_balances(self, now: float, peer: int, message: BalanceMessage) -> None:
        if message.receiver_incarnation != self.bootstrap.incarnation:
            return  # addressed to an earlier incarnation, which may have given the peer more since then
        if self._is_superseded(now, peer, message.incarnation):
            return
        for row in message.rows:
            allowance = self.allowances.get((row.plan, row.customer))
            if allowance is not None:
                transfers.reconcile(allowance, now, peer, row)

    def _receive_transfers(self, now: float, peer: int, rows: list[TransferRow]) -> None:
        for row in rows:
            allowance = self._get_or_create(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is not None:
                transfers.receive(allowance, now, peer, row.epoch, TransferTotals(row.share, row.grains))

    def _answer_demands(self, now: float, peer: int, rows: list[TransferRow]) -> list[bytes]:
        answers: list[bytes] = []
        for row in rows:
            allowance = self._get_or_create(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is None:
                continue
            given = transfers.give(allowance, now, peer, row.grains / GRAINS_PER_UNIT)
            if given is not None:
                answers.append(transfers.transfer_row((row.plan, row.customer), allowance, *given))
        return messages.encode_rows(TRANSFER_MARK, self.bootstrap.incarnation, answers)

    def _answer_balance_request(self, now: float, peer: int, message: RowMessage) -> list[bytes]:
        answers: list[bytes] = []
        for row in message.rows:
            allowance = self._get_or_create(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is None:
                continue
            key = (row.plan, row.customer)
            answers.append(transfers.balance_for(key, allowance, now, peer, row.grains / GRAINS_PER_UNIT))
        return messages.encode_balances(self.bootstrap.incarnation, message.incarnation, answers)

    # Start and shutdown.

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes that are due after this ingress's start as (peer, message)."""
        return self.bootstrap.due_handshakes(now)

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake; None if no more handshakes will be sent."""
        return self.bootstrap.handshake_delay(now)

    def has_shut_down(self, peer: int) -> bool:
        """Return whether a peer has announced its shutdown and has not restarted since."""
        return peer in self.bootstrap.incarnations.shut_down

    def has_restarted(self) -> bool:
        """Return whether a peer knew an earlier incarnation of this ingress."""
        return self.bootstrap.peer_knew_earlier

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """Return the last messages of an ingress that shuts down gracefully as (peer, message).

        The shares of each customer seen within the last epoch go to one peer of its set, the most recently used first.
        Shares that do not fit are unusable until the epoch ends. A handshake announces the end of the incarnation.
        """
        out: list[tuple[int, bytes]] = []
        for peer, rows in self._shutdown_transfers(now).items():
            transfer_messages = messages.encode_rows(TRANSFER_MARK, self.bootstrap.incarnation, rows)
            out += [(peer, message) for message in transfer_messages]
            out.append((peer, self.bootstrap.handshake(now, peer, shutting_down=True)))
        return out

    def _shutdown_transfers(self, now: float) -> dict[int, list[bytes]]:
        """Transfer all that can be spared of the recently used allowances; return the encoded rows by peer."""
        rows: dict[int, list[bytes]] = {
            peer: [] for peer in self.bootstrap.known_peers() if not self.has_shut_down(peer)
        }
        for key, allowance in reversed(self.allowances.items()):
            if now - allowance.at > allowance.epoch_length:
                break
            recipients = [
                peer
                for peer in allowance.members
                if peer in rows and len(rows[peer]) < SHUTDOWN_MESSAGES * MAX_TRANSFER_ROWS
            ]
            if not recipients:
                continue
            _, customer = key
            recipient = recipients[customer % len(recipients)]
            given = transfers.give(allowance, now, recipient, shutting_down=True)
            self.reservations.mark_changed(key)
            if given is not None:
                rows[recipient].append(transfers.transfer_row(key, allowance, *given))
        return rows
