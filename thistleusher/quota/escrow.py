"""Escrowed shares of an allowance: each ingress of a customer's set spends its own, and gives what others demand.

After the bounded counter of Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing
Numeric Invariants" (SRDS 2015), with rights that accrue at a rate, and begin anew in every epoch.

Guaranteed, for messages lost, late, doubled and out of order, and for ingresses that restart with nothing:

- the shares in effect at all ingresses of a set add up to at most 1, and their headroom to at most the burst;
- so between any two times the set lets in at most the burst and the rate times the time between them.

How. A share is a part of both the burst and the rate (`quota.allowance`). Shares follow the traffic: an ingress whose
headroom is short demands more (`quota.demands`), and its peers give (`quota.transfers`). Messages of an incarnation
that is over are ignored (`quota.incarnations`), and an ingress that starts is reconciled with each peer of a set before
it holds its whole share there (`quota.bootstrap`). With a state folder headroom outlives a kill
(`quota.reservations`); the joint start's burst is only for an ingress whose folder knows no earlier incarnation.

Assumed: one clock. Clocks apart by s seconds add s x rate to the second bound. Cost: constant a request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from thistleusher.core.snapshots import SavedReservation
from thistleusher.quota import messages, transfers
from thistleusher.quota.allowance import Allowance, Totals
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

RETENTION_EPOCHS = 3  # of the longest epoch, after which an idle allowance is forgotten
SHUTDOWN_MESSAGES = 8  # at most, with which an ingress that shuts down hands its shares to one peer


class EscrowTable:
    """All allowances at one ingress; implements `core.decision_ports.Escrow`.

    Those long idle are forgotten: by then an epoch has made them even and full.
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
        """Start without allowances.

        plans: terms by the plan's number; None where a plan has no allowance
        demand_interval: seconds at least between two messages of demands
        interval_per_peer: of a large fleet, in which demands go to peers of the set only, seconds for each peer asked
        """
        self.instances = instances
        self.me = me
        self.plans = plans
        longest_epoch = max((epoch_length(terms) for terms in plans if terms is not None), default=1.0)
        self.longest_epoch = longest_epoch
        self.retention = RETENTION_EPOCHS * longest_epoch
        self.large = interval_per_peer is not None
        self.bootstrap = Bootstrap(instances, me, started_at, longest_epoch, on_demand=self.large)
        self.allowances = OrderedDict[AllowanceKey, Allowance]()  # the longest idle first
        self.demand_queue = DemandQueue(me, demand_interval, interval_per_peer)
        self.reservations = ReservationTracker()

    # Persistence.

    def restore(self, reservations: Iterable[SavedReservation], last_active: float | None) -> None:
        """Record reservations from now on, and start with those of an earlier incarnation. Before anything is asked.

        `last_active`: until when that incarnation may have been active, None where there was none.
        """
        self.reservations.enable()
        if last_active is None or last_active <= self.bootstrap.started_at - self.longest_epoch:
            return  # every epoch that it was in is over
        self.bootstrap.restored = True
        self.reservations.restore(reservations, len(self.plans))

    def changed_reservations(self, now: float, limit: int) -> list[SavedReservation]:
        """Return reservations of up to `limit` allowances that have changed, each once until it is committed."""
        return self.reservations.due(now, limit, self.allowances)

    def reservation_dropped(self, key: AllowanceKey) -> None:
        """Note that an allowance's last reservation could not be handed over; another one will be due."""
        self.reservations.dropped(key, self.allowances.get(key))

    def reservations_committed(self, keys: Iterable[AllowanceKey]) -> None:
        """Note that the last reservations of these allowances are on disk."""
        self.reservations.committed(keys, self.allowances)

    # Verdicts.

    def admit(self, now: float, plan: int, customer: int, first: int, width: int, units: float, spent: float) -> bool:
        """Return whether a request may be let in on this ingress's own share; if not, demand more from peers."""
        allowance = self._use(now, plan, customer, first, width, spent)
        if allowance is None:
            return True
        if now - allowance.last_used_at > allowance.epoch_length:
            # Meanwhile requests were let in by other verdicts.
            allowance.limit_to_unspent(now, spent)
        admitted = allowance.admit(now, units)
        self.demand_queue.check(now, (plan, customer), allowance, 0.0 if admitted else units)
        return admitted

    def spend(self, now: float, plan: int, customer: int, units: float) -> None:
        """Take off units that were let in by another verdict."""
        key = (plan, customer)
        allowance = self.allowances.get(key)
        if allowance is None:
            return
        allowance.spend(now, units)
        self.reservations.mark_changed(key)
        if self.large:  # messages are few there: shares follow the use before they are needed
            self.demand_queue.check(now, key, allowance, 0.0)

    def _use(self, now: float, plan: int, customer: int, first: int, width: int, spent: float) -> Allowance | None:
        """Return a customer's allowance, brought up to now and created where needed; None where its plan has none.

        Another set than before counts from the next epoch.
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
        allowance.advance(now)  # before idle ones are forgotten: it must not be one of them
        self.allowances.move_to_end(key)
        self._forget_idle(now)
        self.reservations.mark_changed(key)
        return allowance

    def _create(self, now: float, key: AllowanceKey, terms: Terms, members: tuple[int, ...], spent: float) -> Allowance:
        restored = self._restored_headroom(key, terms, members)
        allowance = Allowance(terms, members, self.me, now, self.bootstrap, spent, restored)
        allowance.reservation = self.reservations.forgotten.pop(key, None)
        self.allowances[key] = allowance
        self.bootstrap.require(allowance.unreconciled)
        return allowance

    def _restored_headroom(self, key: AllowanceKey, terms: Terms, members: tuple[int, ...]) -> float | None:
        """Return what an earlier incarnation's reservation restores at this one's start; None without one.

        A reservation under another set restores nothing.
        """
        saved = self.reservations.claim(key)
        if saved is None:
            return None
        if members != self._members(saved.first, saved.width) or self.me not in members:
            return 0.0
        return reservation_for(terms, len(members)).restored((saved.units, saved.at), self.bootstrap.started_at)

    def _members(self, first: int, width: int) -> tuple[int, ...]:
        """Return the ingresses of a set."""
        return tuple((first + n) % self.instances for n in range(width))

    def _forget_idle(self, now: float) -> None:
        while next(iter(self.allowances.values())).at < now - self.retention:
            key, idle = self.allowances.popitem(last=False)
            if idle.reservation is not None:
                self.reservations.forgotten[key] = idle.reservation
                self.reservations.mark_changed(key)

    # Messages.

    def demands(self, now: float) -> list[tuple[int | None, bytes]]:
        """Return the demands that are due, each once, to whom; None: to all peers."""
        return self.demand_queue.due_messages(now, self.allowances, self.bootstrap.incarnation)

    def receive(self, now: float, peer: int, payload: bytes) -> list[bytes]:
        """Take in a peer's message and return the answers to it. What is not for the escrow is ignored."""
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
            return  # it was for an earlier incarnation, and more may have been taken from that since
        if self._is_superseded(now, peer, message.incarnation):
            return
        for row in message.rows:
            allowance = self.allowances.get((row.plan, row.customer))
            if allowance is not None:
                transfers.reconcile(allowance, now, peer, row)

    def _receive_transfers(self, now: float, peer: int, rows: list[TransferRow]) -> None:
        for row in rows:
            allowance = self._use(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is not None:
                transfers.receive(allowance, now, peer, row.epoch, Totals(row.share, row.grains))

    def _answer_demands(self, now: float, peer: int, rows: list[TransferRow]) -> list[bytes]:
        answers: list[bytes] = []
        for row in rows:
            allowance = self._use(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is None:
                continue
            given = transfers.give(allowance, now, peer, row.grains / GRAINS_PER_UNIT)
            if given is not None:
                answers.append(transfers.transfer_row((row.plan, row.customer), allowance, *given))
        return messages.encode_rows(TRANSFER_MARK, self.bootstrap.incarnation, answers)

    def _answer_balance_request(self, now: float, peer: int, message: RowMessage) -> list[bytes]:
        answers: list[bytes] = []
        for row in message.rows:
            allowance = self._use(now, row.plan, row.customer, row.first, row.width, 0.0)
            if allowance is None:
                continue
            key = (row.plan, row.customer)
            answers.append(transfers.balance_for(key, allowance, now, peer, row.grains / GRAINS_PER_UNIT))
        return messages.encode_balances(self.bootstrap.incarnation, message.incarnation, answers)

    # Start and shutdown.

    def handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes that are due after this ingress's start, to whom."""
        return self.bootstrap.due_handshakes(now)

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake; None where none is due any more."""
        return self.bootstrap.handshake_delay(now)

    def has_shut_down(self, peer: int) -> bool:
        """Return whether a peer has announced its shutdown, and has not started again."""
        return peer in self.bootstrap.incarnations.shut_down

    def has_restarted(self) -> bool:
        """Return whether a peer has known an earlier incarnation of this ingress."""
        return self.bootstrap.known_before

    def shutdown_messages(self, now: float) -> list[tuple[int, bytes]]:
        """Return the last messages of an ingress that shuts down in order, to whom.

        Shares of customers that were here within an epoch go to a peer of their set each, those used last first. What
        does not fit is lost until the epoch ends. A handshake says that the incarnation is over.
        """
        out: list[tuple[int, bytes]] = []
        for peer, rows in self._shutdown_transfers(now).items():
            transfer_messages = messages.encode_rows(TRANSFER_MARK, self.bootstrap.incarnation, rows)
            out += [(peer, message) for message in transfer_messages]
            out.append((peer, self.bootstrap.handshake(now, peer, shutting_down=True)))
        return out

    def _shutdown_transfers(self, now: float) -> dict[int, list[bytes]]:
        """Give all that can be spared of the recent allowances away; return the encoded rows by peer."""
        rows: dict[int, list[bytes]] = {
            peer: [] for peer in self.bootstrap.known_peers() if not self.has_shut_down(peer)
        }
        for key, allowance in reversed(self.allowances.items()):
            if now - allowance.at > allowance.epoch_length:
                break
            heirs = [
                peer
                for peer in allowance.members
                if peer in rows and len(rows[peer]) < SHUTDOWN_MESSAGES * MAX_TRANSFER_ROWS
            ]
            if not heirs:
                continue
            _, customer = key
            heir = heirs[customer % len(heirs)]
            given = transfers.give(allowance, now, heir, shutting_down=True)
            self.reservations.mark_changed(key)
            if given is not None:
                rows[heir].append(transfers.transfer_row(key, allowance, *given))
        return rows
