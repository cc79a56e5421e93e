"""Entry point of the decision module; its settings, events and actions are in `thistleusher.core`.

`Gateway` connects the modules. From the bottom up: `usage_replication` (customers' buckets and peers), `fleet`
(backends), `attempts` (sending and retries), `totals` (corrections by the counter's totals) and `admission`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from thistleusher.core import events
from thistleusher.core.actions import Action, SetTimer
from thistleusher.core.customer import Customer
from thistleusher.core.decision_ports import CounterPlacement, Escrow, Gossip
from thistleusher.core.events import Event
from thistleusher.core.per_counter import PerCounter
from thistleusher.core.settings import Settings
from thistleusher.core.snapshots import Learned, SavedCustomer
from thistleusher.policy.admission import Admission
from thistleusher.policy.attempts import SWEEP_S, Attempts
from thistleusher.policy.fleet import Fleet
from thistleusher.policy.health import CounterHealth
from thistleusher.policy.totals import carried_over
from thistleusher.policy.usage_replication import UsageReplication

# Timer tokens.
SWEEP_TIMER = 0
NOTIFY_TIMER = 1
HANDSHAKE_TIMER = 2
OWNER_TIMER = 3


class Gateway:
    """Decisions of one ingress: `handle` takes an event and returns the resulting actions.

    `now` is Unix time in seconds, agrees between all ingresses, and never decreases.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: float,
        escrow: Escrow | None = None,
        placement: CounterPlacement | None = None,
        gossip: Gossip | None = None,
    ) -> None:
        """`escrow` limits customers to shares while totals are unavailable; if it is None, even shares limit them.

        `placement` maps a count's name to one of several counters. `gossip` selects the peers of each update if there
        are too many ingresses to notify all of them.
        """
        rng = random.Random(seed)
        self.settings = settings
        self.actions: list[Action] = []
        self.counters = PerCounter(CounterHealth, placement)
        self.replication = UsageReplication(settings, self.counters, self.actions, now, escrow, gossip)
        self.notifier = self.replication.notifier
        self.fleet = Fleet(settings, rng, self.actions, now)
        self.attempts = Attempts(settings, self.fleet, self.replication, self.actions)
        self.admission = Admission(settings, rng, self.replication, self.fleet, self.attempts, self.actions)
        self.escrow = self.replication.escrow
        self.gossip = gossip
        self.started = False
        self.owner_timer_set = False
        self.handshake_timer_set = False
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            events.Request: self.admission.request_arrived,
            events.CounterReply: self.admission.counter_replied,
            events.AttemptEnded: self.attempts.attempt_ended,
            events.ListUpdate: self.fleet.apply_list_update,
            events.TimerFired: self._timer_fired,
            events.PeerMessage: self.admission.peer_message_received,
            events.ClientGone: self.attempts.client_gone,
            events.Leaving: self._leaving,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        self.actions.clear()
        if not self.started:
            self.started = True
            self.notifier.send_handshakes(now)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        self._set_timers(now)
        return self.actions.copy()

    def _set_timers(self, now: float) -> None:
        """Set each timer that is needed and not yet set. An idle ingress sets none."""
        if not self.attempts.timer_set and (self.fleet.backends.outstanding or self.attempts.queue):
            self.attempts.timer_set = True
            self.actions.append(SetTimer(SWEEP_S, SWEEP_TIMER))
        if not self.notifier.timer_set and self.notifier.is_due():
            self.notifier.timer_set = True
            self.actions.append(SetTimer(self.notifier.limits.interval_s, NOTIFY_TIMER))
        if self.gossip is not None and not self.owner_timer_set:
            delay = self.gossip.timer_delay(now)
            if delay is not None:
                self.owner_timer_set = True
                self.actions.append(SetTimer(delay, OWNER_TIMER))
        if self.escrow is not None and not self.handshake_timer_set:
            delay = self.escrow.handshake_delay(now)
            if delay is not None:
                self.handshake_timer_set = True
                self.actions.append(SetTimer(delay, HANDSHAKE_TIMER))

    def _timer_fired(self, now: float, event: events.TimerFired) -> None:
        if event.token == NOTIFY_TIMER:
            self.notifier.notify(now)
        elif event.token == HANDSHAKE_TIMER:
            self.handshake_timer_set = False
            self.notifier.send_handshakes(now)
        elif event.token == OWNER_TIMER:
            self.owner_timer_set = False
            self.admission.owner_timer_fired(now)
        else:
            self.attempts.sweep(now)

    def _leaving(self, now: float, event: events.Leaving) -> None:
        """Report usage that only this ingress knows to the counter and to peers, before shutdown."""
        self.admission.write_back(now)
        self.notifier.flush_on_shutdown(now)

    def headroom(self, now: float, key: int, plan: str) -> float:
        """Return the units left of a customer's quota, as known here. Changes no state."""
        customer = self.replication.customers.get(key)
        if customer is None or customer.plan.name != plan:
            known = self.replication.customers.plans.get(plan)
            if known is None:
                return 0.0
            customer = Customer(key, known, now)
            customer.first = self.settings.me
        missed_windows = customer.plan.rate > 0 and customer.window < customer.window_at(now) - 1
        if missed_windows and not self.replication.knows_recent_usage(now, customer):  # the next total assumes the same
            return min(customer.headroom(now), carried_over(now, customer)) - customer.in_flight
        return customer.available(now)

    def restore(self, now: float, members: Iterable[SavedCustomer], learned: Learned | None = None) -> None:
        """Restore an earlier incarnation's state and record changes from now on. Call it before the first event."""
        customers = self.replication.customers
        customers.changed = {}
        if learned is not None:
            self.fleet.restore(now, learned)
        for saved in members:
            customers.get_or_create(now, saved.key, customers.plans[saved.plan]).restore(saved)

    def take_changed(self, limit: int) -> list[SavedCustomer]:
        """Return up to `limit` customers that changed since they were last returned. Cost: linear in the result."""
        return self.replication.customers.take_changed(limit)
