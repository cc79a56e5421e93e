"""Admission of requests by the total in the counter's reply, or by local state if there is no reply."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from thistleusher.core import events
from thistleusher.core.actions import Action, CounterAdd, Log, SendToPeer
from thistleusher.core.charges import Charge, PendingRequest
from thistleusher.core.counter_calls import CounterCall, CounterCalls
from thistleusher.core.customer import Customer
from thistleusher.core.datagrams import GRANT_MARKS, OWNER_MARKS, QUERY_MARK, RECONCILE_MARK, REPLY_MARK
from thistleusher.core.decision_ports import Gossip
from thistleusher.core.events import Outcome
from thistleusher.core.settings import Settings
from thistleusher.policy.attempts import Attempts
from thistleusher.policy.fleet import Fleet
from thistleusher.policy.health import CALL_INTERVAL_S, DOWN_CALL_SHARE, DOWN_MISSES, CounterHealth
from thistleusher.policy.totals import Totals
from thistleusher.policy.usage_replication import UsageReplication

GRANT_TIMEOUT_S = 0.25  # longest time that a request waits for peers to grant it shares
OWNER_QUERY_MIN_TIMEOUTS = 5  # the account's owner is queried only if more than this many counter time-outs remain
CERTAIN_REJECTION_CALLS = 0.8  # mean calls per request above which a certain rejection makes no call
CALLS_PER_REQUEST_WEIGHT = 0.01  # weight of one request in the moving mean of calls per request
CALL_MIN_TIMEOUTS = 2  # the counter is called only if more than this many counter time-outs remain
COUNT_LIFETIME_WINDOWS = 3
COUNT_LIFETIME_MAX_S = 60.0
WRITE_BACK_MIN_UNITS = 0.5  # smallest pending usage of a customer that is written back at shutdown
WRITE_BACK_MAX_CALLS = 64  # most write-back calls at shutdown
VERDICT_WEIGHT = 0.3  # weight of one verdict in the moving share of a customer's requests that are admitted
PLAN_VERDICT_WEIGHT = VERDICT_WEIGHT / 5  # weight of one verdict in the share of all customers of a plan


@dataclass(eq=False, repr=False)
class Admission:
    """Charges requests to their customers' counts, then admits or rejects them."""

    settings: Settings
    rng: random.Random
    replication: UsageReplication
    fleet: Fleet
    attempts: Attempts
    actions: list[Action]

    def __post_init__(self) -> None:
        self.totals = Totals(self.settings, self.replication, self.actions)
        self.classes = {c.name: c for c in self.settings.classes}
        self.plans = {p.name: p for p in self.settings.plans}
        self.counter_calls = CounterCalls()
        # Moving share of admitted requests by plan, kept separately for first requests and repeats.
        self.admitted_share = {(plan, repeat): 1.0 for plan in self.plans for repeat in (False, True)}

    def request_arrived(self, now: float, event: events.Request) -> None:
        """Charge the request's units to the customer's count, or query the owner of its account."""
        cls = self.classes[event.class_name]
        plan = self.plans[event.plan]
        customer = self.replication.customers.get_or_create(now, event.customer, plan)
        customer.width = max(1, event.width)
        customer.first = event.first
        self.replication.release_stale_excess(now, customer)
        work = self.fleet.work[cls.name].expected(event.units)
        request = self.attempts.requests[event.id] = PendingRequest(event, cls, customer, now, work)
        if plan.rate <= 0 or not self.settings.counter:
            self._decide_locally(now, request)
            return
        gossip = self.replication.gossip
        if gossip is not None and not customer.has_share_below_unit():
            gossip.customer_seen(now, customer.first, customer.width)
        owner = None
        if event.expires_in > OWNER_QUERY_MIN_TIMEOUTS * self.settings.counter_timeout:
            owner = self.replication.owner_of(now, customer)
        if owner is not None and owner != self.settings.me and self._query_owner(now, request, owner):
            return
        if owner == self.settings.me:
            customer.take_ownership(now)
        self._charge(now, request)

    def _query_owner(self, now: float, request: PendingRequest, owner: int) -> bool:
        """Query the owner of an account for the verdict. Return False if no query can be sent."""
        if self._rejected_early(now, request):
            return True
        gossip = self.replication.gossip
        plan_number = self.replication.plan_numbers[request.event.plan]
        query = gossip.create_query(now, owner, request.event, plan_number) if gossip is not None else None
        if query is not None:
            self.actions.append(SendToPeer(owner, query))
        return query is not None

    def _rejected_early(self, now: float, request: PendingRequest) -> bool:
        """Reject a request that gets no slot in time, as its charge would waste quota; return whether it did so."""
        if self.fleet.has_free_slot(now) or not self.attempts.would_be_late(now, request):
            return False
        self.attempts.reject(now, request, 0.0)
        return True

    def _charge(self, now: float, charge: Charge) -> None:
        """Charge units to the count, or decide without a call while the counter is overloaded or too slow."""
        customer = charge.customer
        request = charge.event
        health = self.replication.counters.for_customer(now, customer)
        known = customer.available(now)
        health.calls_per_request *= 1 - CALLS_PER_REQUEST_WEIGHT
        # Usage at other ingresses can only lower the headroom known here, so this rejection needs no call.
        may_skip_call = health.call_share < 1 or health.calls_per_request > CERTAIN_REJECTION_CALLS
        if may_skip_call and (known < request.units or customer.short_name(now) in self.replication.exhausted):
            self._resolve(now, charge, False, (request.units - known) / customer.plan.rate)
            return
        if isinstance(charge, PendingRequest) and self._rejected_early(now, charge):
            return
        short_deadline = request.expires_in <= CALL_MIN_TIMEOUTS * self.settings.counter_timeout
        if short_deadline or (self.rng.random() >= health.call_share and now - health.last_called < CALL_INTERVAL_S):
            self._decide_locally(now, charge)
            return
        without_history = charge.exceeds_share and customer.window < customer.window_at(now) - 1
        if without_history and not self.replication.in_contact(now, customer):
            # Scale the charge up, as it also represents requests that skip the call.
            charge.units = request.units / max(DOWN_CALL_SHARE, health.call_share)
        self._add(now, customer, charge.units + customer.pending, charge)
        customer.pending = 0.0

    def _resolve(self, now: float, charge: Charge, admitted: bool, wait: float = 0.0) -> None:
        """Apply a verdict: send or reject a local request (retry in `wait` seconds), or reply to the querying peer."""
        gossip = self.replication.gossip
        if isinstance(charge, PendingRequest):
            if admitted:
                self.attempts.send(now, charge)
            else:
                self.attempts.reject(now, charge, wait)
        elif gossip is not None and charge.peer is not None:
            headroom = charge.customer.available(now)
            reply = gossip.create_reply(charge.peer, charge.query, admitted, headroom)
            self.actions.append(SendToPeer(charge.peer, reply))

    def _add(self, now: float, customer: Customer, units: float, charge: Charge | None) -> None:
        """Add units to the count of the customer's current window."""
        name = self.counter_calls.start(now, customer, units, charge)
        health = self.replication.counters.for_name(name)
        health.calls_per_request += CALLS_PER_REQUEST_WEIGHT
        health.last_called = now
        lifetime = min(COUNT_LIFETIME_MAX_S, COUNT_LIFETIME_WINDOWS * customer.window_length)
        self.actions.append(CounterAdd(name, units, lifetime))

    def counter_replied(self, now: float, event: events.CounterReply) -> None:
        """Decide the waiting request by the counter's total, or locally if the call failed."""
        call = self.counter_calls.finish(event.name)
        if call is None:
            return
        customer = call.customer
        self.replication.customers.mark_changed(customer)
        if isinstance(call.charge, PendingRequest) and call.charge.event.id not in self.attempts.requests:
            call = call._replace(charge=None)  # the client has disconnected
        health = self.replication.counters.for_name(event.name)
        if event.outcome not in (Outcome.OK, Outcome.ERROR):
            self._call_failed(now, call, event, health)
            return
        if health.is_down():
            self.actions.append(Log(f"counter answers again after {health.misses} misses"))
        health.record_answer(now, event.elapsed / self.settings.counter_timeout)
        total = event.total
        if event.outcome is not Outcome.OK:  # added, but the total is unreadable: use its lower bound
            total = call.units + (customer.total if customer.window == call.window else 0.0)
        self.totals.apply(now, customer, call.window, call.units, total, call.charged)
        if call.charge is not None:
            self._decide_by_total(now, call.charge, health)

    def _call_failed(self, now: float, call: CounterCall, event: events.CounterReply, health: CounterHealth) -> None:
        """Queue the units to be reported again, unless a later total shows that they were counted; decide locally."""
        customer = call.customer
        health.record_miss(now)
        if health.misses == DOWN_MISSES:
            self.actions.append(Log("counter gives no answer: admitting by local shares"))
        customer.pending += call.units - call.charged
        if event.outcome is Outcome.TIMEOUT:
            customer.add_unconfirmed(call.window, call.units)
        if call.charge is not None:
            self._decide_locally(now, call.charge)

    def _decide_by_total(self, now: float, charge: Charge, health: CounterHealth) -> None:
        """Admit or reject a request after its customer's bucket was corrected by a total that includes its charge."""
        customer = charge.customer
        units = charge.event.units
        admitted = customer.headroom(now) - units >= 0
        if admitted and customer.plan.ceiling_rate > 0 and not self.replication.in_contact(now, customer, strict=True):
            # Unreachable ingresses of the customer's set may use another counter, whose usage this total lacks.
            charge.from_escrow = True
            admitted = self.replication.admit_from_share(now, customer, units)
        expected = self._expected_share(now, charge)
        customer.admitted_share = expected + VERDICT_WEIGHT * (admitted - expected)
        key = charge.event.plan, charge.event.is_repeat
        common = self.admitted_share[key]
        self.admitted_share[key] = common + PLAN_VERDICT_WEIGHT * (admitted - common)
        if admitted:
            self.replication.admit(now, customer, charge.units, charge)
            self._resolve(now, charge, True)
            return
        if customer.continuous or health.call_share >= 1:
            self._add(now, customer, -charge.units, None)  # reverse the charge of the rejected request
        self._announce_exhausted(now, customer)
        self._resolve(now, charge, False, (units - customer.headroom(now)) / customer.plan.rate)

    def _announce_exhausted(self, now: float, customer: Customer) -> None:
        """Send peers the name of an exhausted window, so that they reject without a call."""
        if not self.settings.peers or self.replication.gossip is not None:
            return
        if customer.continuous or customer.level >= 1:
            return
        name = customer.short_name(now)
        if name not in self.replication.exhausted:
            self.actions.append(SendToPeer(None, name))
            self.replication.peer_message_received(now, events.PeerMessage(self.settings.me, name))

    def _expected_share(self, now: float, charge: Charge) -> float:
        """Return the admission probability: the customer's recent share, decaying to the common one of its plan."""
        customer = charge.customer
        common = self.admitted_share[charge.event.plan, charge.event.is_repeat]
        age = math.exp((customer.level_at - now) / (7 * customer.window_length))
        return common + (customer.admitted_share - common) * age

    def write_back(self, now: float) -> None:
        """Report pending usage to the counter before shutdown, largest amounts first."""
        customers = self.replication.customers.values()
        due = [c for c in customers if c.pending >= WRITE_BACK_MIN_UNITS and c.plan.rate > 0]
        for customer in sorted(due, key=lambda c: -c.pending)[:WRITE_BACK_MAX_CALLS]:
            self._add(now, customer, customer.pending, None)
            customer.pending = 0.0

    def _decide_locally(self, now: float, charge: Charge) -> None:
        """Admit against this ingress's share of the bucket and report the usage with the next call."""
        customer = charge.customer
        plan = customer.plan
        replication = self.replication
        # A ceiling must hold at all times, so peer reports are trusted only for the shorter time-out.
        in_contact = replication.in_contact(now, customer)
        if in_contact and plan.ceiling_rate > 0:
            in_contact = replication.in_contact(now, customer, strict=True)
        if plan.rate <= 0:
            admitted = True
        elif in_contact or replication.escrow is not None:
            admitted = self._admit_by_level(now, charge, in_contact)
        elif plan.ceiling_rate <= 0 and charge.exceeds_share:
            self._decide_by_probability(now, charge)
            return
        else:
            admitted = self._admit_by_even_share(now, charge)
        if admitted:
            replication.admit(now, customer, charge.event.units, charge)
            self._resolve(now, charge, True)

    def _admit_by_level(self, now: float, charge: Charge, in_contact: bool) -> bool:
        """Return whether the known level, and if needed the escrowed share, admit it; else reject or delay it."""
        customer = charge.customer
        replication = self.replication
        units = charge.event.units
        if customer.available(now) < units:
            wait = (units - customer.headroom(now)) / customer.plan.rate if in_contact else 0.0
            self._resolve(now, charge, False, wait)
            return False
        # The ceiling also holds against usage that peers have not reported yet, at the price of more rejections.
        has_ceiling = customer.plan.ceiling_rate > 0
        counter_silent = replication.counters.for_customer(now, customer).is_silent(now)
        unsure = counter_silent and (has_ceiling or replication.is_level_assumed(now, customer))
        charge.from_escrow = not in_contact or unsure or (has_ceiling and replication.gossip is not None)
        if charge.from_escrow and not replication.admit_from_share(now, customer, units):
            if not (has_ceiling and self._waits_for_grants(now, charge)):
                self._resolve(now, charge, False)
            return False
        customer.pending += units
        return True

    def _waits_for_grants(self, now: float, charge: Charge) -> bool:
        """Let a request wait once for peer grants, up to `GRANT_TIMEOUT_S`. Return whether it waits."""
        charge.grant_deadline = charge.grant_deadline or now + GRANT_TIMEOUT_S
        gossip = self.replication.gossip
        if gossip is None or not isinstance(charge, PendingRequest) or now >= charge.grant_deadline:
            return False
        return gossip.add_pending(charge.event.id, charge.grant_deadline)

    def _decide_by_probability(self, now: float, charge: Charge) -> None:
        """Admit with the recent admission probability, as a share below one request would reject every request."""
        if self.rng.random() < self._expected_share(now, charge):
            # No count saw this request. Lower the probability, as a quick return suggests above-average demand.
            charge.customer.admitted_share *= 1 - VERDICT_WEIGHT
            self._resolve(now, charge, True)
        else:
            self._resolve(now, charge, False)

    def _admit_by_even_share(self, now: float, charge: Charge) -> bool:
        """Return whether an even share of the bucket, or this ingress's larger recent share, admits it; else reject."""
        customer = charge.customer
        plan = customer.plan
        units = charge.event.units
        share = max(1.0 / customer.width, customer.local_share)
        if plan.ceiling_rate > 0:  # the ceiling bounds all shares plus what is admitted by totals
            admitted_by_totals = 0.0 if self.replication.counters.for_customer(now, customer).is_down() else 1.0
            share = min(share, max(0.0, plan.ceiling_rate / plan.rate - admitted_by_totals) / customer.width)
        overflow_s = now - customer.level_at - (plan.burst - customer.level) / plan.rate
        if overflow_s > 0:  # credit the refill beyond a full bucket, to avoid mass rejections when an outage ends
            customer.pending -= min(share * plan.rate * overflow_s, max(0.0, customer.pending))
            customer.set_level(now, plan.burst)
        own_usage = max(0.0, customer.pending)
        if own_usage + customer.in_flight + units > min(plan.burst, customer.headroom(now) + own_usage) * share:
            self._resolve(now, charge, False)
            return False
        customer.pending += units
        return True

    def peer_message_received(self, now: float, event: events.PeerMessage) -> None:
        """Handle a peer's message: a query, reply or reconciliation of an owned account, or usage and shares."""
        gossip = self.replication.gossip
        mark = event.payload[:1]
        if gossip is None or mark not in OWNER_MARKS:
            self.replication.peer_message_received(now, event)
            if gossip is not None and mark in GRANT_MARKS:
                for request in self._still_pending(gossip.take_pending()):
                    self._decide_locally(now, request)
            return
        self.replication.last_message_at[event.sender] = now
        gossip.record_message(now, event.sender, False)
        if mark == QUERY_MARK:
            self._query_received(now, gossip, event)
        elif mark == REPLY_MARK:
            self._reply_received(now, gossip, event)
        elif mark == RECONCILE_MARK:
            for key, plan_number, units in gossip.parse_reconciliations(event.payload):
                customer = self.replication.customers.ensure_owned(now, plan_number, key)
                if customer is not None:
                    customer.pending += units
                    customer.consume(now, units)

    def _query_received(self, now: float, gossip: Gossip, event: events.PeerMessage) -> None:
        """Charge the units of a peer's query, or repeat the reply if the query was already decided."""
        query = gossip.receive_query(now, event.sender, event.payload)
        if query is None:
            return
        customer = self.replication.customers.ensure_owned(now, query.plan, query.customer, query.first, query.width)
        if query.answer:
            self.actions.append(SendToPeer(event.sender, query.answer))
        elif customer is not None:
            self._charge(now, Charge.from_query(query, customer, event.sender))

    def _reply_received(self, now: float, gossip: Gossip, event: events.PeerMessage) -> None:
        """Send or reject a request by the verdict of its account's owner."""
        reply = gossip.receive_reply(event.sender, event.payload)
        if reply is None:
            return
        name, admitted, headroom = reply
        request = self.attempts.requests.get(name)
        if request is None:  # the client has disconnected
            return
        request.owner = event.sender
        request.consumed = request.event.units if admitted else 0.0
        wait = (request.event.units - headroom) / request.customer.plan.rate
        self._resolve(now, request, admitted, wait)

    def owner_timer_fired(self, now: float) -> None:
        """Resend queries that were probably lost, and decide requests whose owner reply or grants are overdue."""
        gossip = self.replication.gossip
        if gossip is None:
            return
        self.replication.notifier.send(gossip.due_retransmissions(now))
        for request in self._still_pending(gossip.expired_requests(now)):
            if request.grant_deadline:
                self._decide_locally(now, request)
            else:
                self._charge(now, request)

    def _still_pending(self, names: list[str]) -> Iterator[PendingRequest]:
        """Yield requests that are still open, looked up lazily because handling one may end another."""
        return filter(None, map(self.attempts.requests.get, names))
