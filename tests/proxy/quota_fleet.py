"""Proxies and one counter at a time on a simulated network with many tenants; checks the requests admitted per tenant.

The proxies (cluster view, admission, local quota) and the counter (charges, counts) run the product's own code.
"""

from __future__ import annotations

import random
from types import SimpleNamespace

from simnet.clock import Clock
from thistleusher.common.incarnations import counter_name, incarnation_name, uptime_at
from thistleusher.common.node_settings import Bounds
from thistleusher.proxy.cluster_view import ClusterView
from thistleusher.proxy.commands import DeliverChargeAnswer, SendToRegistry
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.quota import RateLimit
from thistleusher.proxy.requests import UNKNOWN_WINDOW, ChargeTenant
from thistleusher.registry.charges import ChargeTable
from thistleusher.registry.quota_counter import QuotaCounter
from thistleusher.transport.messages import AdmissionReport, AdmissionReportAck, Charge, HeartbeatEcho, StateUpdate

BOUNDS = Bounds()
TICK_S = 0.05
IDLE_S = 24.0  # idle time in which unspent requests can accumulate
PERSIST_S = 0.1
MAX_DELAY_S = 0.06  # maximum network delay of a message


def allowed(rate, burst):
    """Return the number of a tenant's requests that the quota rule allows in each span."""
    return (rate * BOUNDS.quota_window_s + burst) * (1 + BOUNDS.quota_excess) + BOUNDS.quota_slack


class Proxy:
    """One incarnation of a proxy: its timer, its requests and its messages."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        now = fleet.clock.now
        decisions = Decisions(name, "z", "r", BOUNDS, random.Random(incarnation), now)
        self.view = ClusterView(name, incarnation, "r", lambda zone: "r", {}, decisions, now)
        self.admission = decisions.admission
        self.actions = decisions.pending_actions
        self.requests = {}
        self.set_limits()

    def set_limits(self):
        limits = {name: RateLimit(*limit) for name, limit in self.fleet.limits.items()}
        self.view.decisions.quota.set_limits(limits)

    def is_present(self):
        return self.fleet.proxies.get(self.name) is self

    def tick(self):
        if not self.is_present():
            return
        now = self.fleet.clock.now
        self.execute(self.view.tick(now, True))
        for request, decision in self.admission.decide_overdue(now, self.requests):
            self.record_decision(request, decision)
        self.flush()
        self.fleet.clock.later(TICK_S, self.tick)

    def execute(self, commands):
        for command in commands:
            if isinstance(command, SendToRegistry):
                self.fleet.to_counter(self, command.message)
            elif isinstance(command, DeliverChargeAnswer):
                request = self.requests.get(command.answer.request)
                decision = self.admission.charge_answered(self.fleet.clock.now, command.answer, request)
                if request is not None and decision is not None:
                    self.record_decision(request, decision)
                self.flush()

    def flush(self):
        due = self.actions.copy()
        self.actions.clear()
        for action in due:
            if isinstance(action, ChargeTenant):
                self.execute(self.view.charge(self.fleet.clock.now, action))

    def request(self, tenant):
        name = f"{self.fleet.next_number()}"
        request = SimpleNamespace(
            event=SimpleNamespace(id=name),
            tenant=tenant,
            charge_open=False,
            charge_window=UNKNOWN_WINDOW,
            charge_settled=False,
            attempts_arrived=0,
        )
        self.requests[name] = request
        decision = self.admission.begin(self.fleet.clock.now, request)
        if decision is not None:
            self.record_decision(request, decision)
        self.flush()

    def record_decision(self, request, decision):
        del self.requests[request.event.id]
        self.fleet.record_decision(request.tenant, decision.admitted)

    def receive(self, message):
        if self.is_present():
            commands, _ = self.view.receive_from_registry(self.fleet.clock.now, "c", message)
            self.execute(commands)


class QuotaFleet:
    """All proxies, the shares of the control state, and the counter."""

    def __init__(self, seed, proxy_count, limits):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.now = 100.0
        self.limits = dict(limits)
        self.numbers = 0
        self.shares = {}
        self.share_number = 0
        self.term = 0
        self.counter = None
        self.table = None
        self.cut_off = set()  # names of the proxies without a network connection
        self.admitted = {name: [] for name in limits}
        self.rejected = {name: [] for name in limits}
        self.proxies = {}
        for n in range(proxy_count):
            self.start(f"p{n:03d}", 100.0)
        self.replace_counter()
        self.persist_shares()
        self.clock.run(103.0)

    def next_number(self):
        self.numbers += 1
        return self.numbers

    def start(self, name, started_at=None):
        """Start or restart a proxy; a restart loses its state in memory."""
        started_at = self.clock.now if started_at is None else started_at
        proxy = self.proxies[name] = Proxy(self, name, incarnation_name(f"{name} {self.next_number()}", started_at))
        self.publish_shares(proxy)
        self.clock.later(TICK_S * self.rng.random(), proxy.tick)

    def replace_counter(self):
        self.term += 1
        self.counter = QuotaCounter(self.clock.now)
        self.table = ChargeTable(self.counter)
        self.counter.configure(self.limits, self.shares)

    def lose_counter(self):
        self.counter = None

    def persist_shares(self):
        if self.counter is not None:
            missing = self.counter.shares.new_shares(self.clock.now)
            if missing:
                self.shares.update(missing)
                self.share_number += 1
                self.counter.configure(self.limits, self.shares)
                for proxy in self.proxies.values():
                    self.publish_shares(proxy)
        self.clock.later(PERSIST_S, self.persist_shares)

    def publish_shares(self, proxy):
        if self.share_number:
            items = {f"share:{name}": (self.share_number, share) for name, share in self.shares.items()}
            proxy.view.receive_from_control(self.clock.now, StateUpdate(self.share_number, None, items))

    def set_limit(self, tenant, rate, burst):
        """Change a tenant's limit at the counter and all proxies at the same time."""
        self.limits[tenant] = (rate, burst)
        if self.counter is not None:
            self.counter.configure(self.limits, self.shares)
        for proxy in self.proxies.values():
            proxy.set_limits()

    def deliver(self, name, receive):
        if name not in self.cut_off:
            self.clock.later(0.001 + MAX_DELAY_S * self.rng.random(), lambda: name not in self.cut_off and receive())

    def to_counter(self, proxy, message):
        self.deliver(proxy.name, lambda: self.at_counter(proxy, message))

    def at_counter(self, proxy, message):
        if self.counter is None:
            return
        now, registry = self.clock.now, counter_name("c", self.term)
        if isinstance(message, Charge):
            result = self.table.receive(now, proxy.name, message)
            if result is not None:
                self.deliver(proxy.name, lambda: proxy.receive(result))
            return
        if isinstance(message, AdmissionReport):
            report = (message.incarnation, message.covered_s, message.admitted)
            if message.counter == registry and self.counter.record_admissions(now, proxy.name, *report):
                self.deliver(proxy.name, lambda: proxy.receive(AdmissionReportAck(registry)))
            return
        echoed = message.echo[1] if message.echo is not None and message.echo[0] == registry else None
        uptime_without_echo = uptime_at(message.incarnation, message.sent) if message.echo is None else None
        if self.counter.shares.record_heartbeat(now, proxy.name, message.incarnation, echoed, uptime_without_echo):
            share = self.counter.shares.proxies[proxy.name].share
            echo = HeartbeatEcho(registry, message.sent, now, share)
            self.deliver(proxy.name, lambda: proxy.receive(echo))

    def record_decision(self, tenant, is_admitted):
        (self.admitted if is_admitted else self.rejected)[tenant].append(self.clock.now)

    def send_load(self, tenant, rate, for_s, at_names=None):
        """Send a tenant's requests at a mean rate for `for_s` seconds from now on, each to a random proxy."""
        until = self.clock.now + for_s
        names = at_names or sorted(self.proxies)

        def send():
            if self.clock.now < until:
                self.proxies[self.rng.choice(names)].request(tenant)
                self.clock.later(self.rng.expovariate(rate), send)

        self.clock.later(self.rng.expovariate(rate), send)

    def max_admitted(self, tenant):
        """Return the largest number of a tenant's requests admitted within any span of the quota rule."""
        times, first, most = sorted(self.admitted[tenant]), 0, 0
        for n, at in enumerate(times):
            while times[first] <= at - BOUNDS.quota_window_s:
                first += 1
            most = max(most, n - first + 1)
        return most

    def exceeded_limits(self):
        """Return tuples (name, limit, admitted, allowed) of the tenants with more requests admitted than allowed."""
        found = []
        for name, limit in self.limits.items():
            most, bound = self.max_admitted(name), allowed(*limit)
            if most > bound:
                found.append((name, limit, most, round(bound, 1)))
        return found
