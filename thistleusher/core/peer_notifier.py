"""Messages of this ingress to its peers (the other ingresses).

They report usage admitted here, demand parts of peers' quota shares, and announce start and shutdown.
"""

from __future__ import annotations

from collections.abc import Iterable

from thistleusher.core.actions import Action, SendToPeer
from thistleusher.core.customer import Customer
from thistleusher.core.customer_table import CustomerTable
from thistleusher.core.decision_ports import Escrow, Gossip
from thistleusher.core.replication_limits import replication_limits
from thistleusher.core.settings import Settings
from thistleusher.core.usage_outbox import UsageOutbox


class PeerNotifier:
    """Sends messages to peers within the limits of the settings. With `gossip`, an update does not go to every peer."""

    def __init__(
        self,
        settings: Settings,
        customers: CustomerTable,
        actions: list[Action],
        now: float,
        escrow: Escrow | None,
        gossip: Gossip | None,
    ) -> None:
        self.actions = actions
        self.escrow = escrow
        self.gossip = gossip
        self.limits = replication_limits(settings, gossip is not None)
        self.messages_max = self.limits.max_messages
        self.outbox = UsageOutbox(customers)
        self.timer_set = False
        self.notify_due = False  # notify at the next tick, even without usage
        self.last_notified = now

    def usage_changed(self, now: float, customer: Customer, units: float, lazy: bool) -> None:
        """Queue a notification of units that were admitted here; `lazy`: it may wait for other updates."""
        if not self.limits.enabled or customer.has_share_below_unit():
            return
        customer.admitted_quarters += round(4 * units)
        if self.gossip is not None:
            self.gossip.mark_changed(now, customer.key, customer.first, customer.width, lazy)
        else:
            self.outbox.pending[customer.key] = customer

    def is_due(self) -> bool:
        """Return whether `notify` has anything to send at the next tick."""
        return bool(self.outbox.pending) or self.notify_due or (self.gossip is not None and self.gossip.has_work())

    def notify(self, now: float) -> None:
        """Notify peers of usage admitted here, which they otherwise learn only from their next counter call.

        Share demands are sent as well. Without gossip and without usage, the message only shows that this ingress runs.
        """
        self.timer_set = False
        self.notify_due = False
        self.last_notified = now
        self.send_demands(now)
        if self.gossip is None:
            self.send((None, message) for message in self.outbox.messages_to_all(now, self.messages_max))
            return
        updates = self.gossip.due_updates(now)
        self.send((peer, self.outbox.message_to(now, peer, keys)) for peer, keys in updates)
        self.send(self.gossip.due_reconciliations())

    def send_demands(self, now: float) -> None:
        """Send due share demands to peers."""
        if self.escrow is not None:
            self.send(self.escrow.demands(now))

    def send_handshakes(self, now: float) -> None:
        """Announce this ingress's start to peers that have not answered yet."""
        if self.escrow is not None:
            self.send(self.escrow.handshakes(now))

    def flush_on_shutdown(self, now: float) -> None:
        """Notify peers of all remaining usage and transfer this ingress's shares to them, at shutdown."""
        while self.outbox.pending:
            self.notify(now)
        if self.gossip is not None:
            self.notify(now)
        if self.escrow is not None:
            self.send(self.escrow.shutdown_messages(now))

    def send(self, messages: Iterable[tuple[int | None, bytes]]) -> None:
        """Queue messages to be sent, each to one peer or to all peers (None)."""
        self.actions += [SendToPeer(peer, payload) for peer, payload in messages]
