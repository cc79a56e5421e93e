"""Simulated ingresses, customers' requests, counters and network, with every failure of the counter at exact times.

Only the decision modules are real. Admitted units are checked against reference buckets when requests are forwarded.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from tests.helpers import KEYED, SAFE, UNSAFE
from thistleusher.assembly import make_gateway
from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.events import BackendEntry, Event, ListKind, Outcome, Phase
from thistleusher.core.settings import PlanSettings, Settings
from thistleusher.quota import Placement

PLUS = PlanSettings("plus", rate=16.0, burst=36.0, ceiling_rate=29.0, ceiling_burst=65.0)
BASIC = PlanSettings("basic", rate=2.4, burst=10.0)
TIMEOUT = 0.08


def settings(me: int, instances: int = 3) -> Settings:
    return Settings(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(BASIC, PLUS),
        counter=True,
        counter_timeout=TIMEOUT,
        max_units=4.0,
        max_attempts=3,
        instances=instances,
        me=me,
        peers=True,
        peer_in_per_s=100.0,
        max_retry_after=1.0,
    )


class CounterModel:
    """A counter service with configurable faults."""

    def __init__(self, per_s: float = math.inf) -> None:
        """`per_s`: calls a second that it processes; further calls are rejected once 40 ms worth of calls wait."""
        self.per_s, self.line, self.at = per_s, 0.0, 0.0
        self.counts: dict[int, tuple[float, float]] = {}
        self.delay = 0.002
        self.silent = self.old = False
        self.lose = self.max_lifetime = 0.0
        self.adds = 0

    def full(self, now: float) -> bool:
        """Return whether the queue is full; if not, add one call to it."""
        if self.per_s == math.inf:
            return False
        self.line, self.at = max(0.0, self.line - self.per_s * (now - self.at)), now
        self.line += 1.0 if (good := self.line < 0.04 * self.per_s) else 0.0
        return not good

    def add(self, now: float, name: int, amount: float, lifetime: float) -> float:
        total, until = self.counts.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + (self.max_lifetime or lifetime)
        self.counts[name] = (total + amount, until)
        self.adds += 1
        return total if self.old else total + amount


class ReferenceBucket:
    """Reference bucket: tracks by how much a customer exceeds one bucket's rate and burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.level, self.at, self.worst = 0.0, 0.0, 0.0

    def drained_level(self, now: float) -> float:
        self.level, self.at = max(0.0, self.level - self.rate * (now - self.at)), now
        return self.level

    def add_units(self, now: float, units: float) -> None:
        self.level = self.drained_level(now) + units
        self.worst = max(self.worst, self.level - self.burst)


class World:
    """Discrete-event simulation of ingresses, counters, network and customers."""

    def __init__(
        self,
        seed: int = 1,
        instances: int = 3,
        start: float = 5000.0,
        placement: Placement | None = None,
        offsets: tuple[float, ...] = (),
        skews: tuple[float, ...] = (),
    ) -> None:
        """Create the world and start its ingresses.

        placement: distributes the names among several counters, which are in `counters_by_address`
        offsets: seconds after which each ingress starts (inf: never)
        skews: seconds by which each ingress's clock is ahead
        """
        self.now, self.rng, self.instances = start, random.Random(seed), instances
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.counters = [CounterModel() for _ in range(instances)]  # by ingress; all the same unless split
        self.use_counter(CounterModel())
        self.placement = placement
        self.counters_by_address = {a: CounterModel() for a in placement.addresses} if placement else {}
        self.loss, self.delay = 0.0, 0.01
        self.inbox = math.inf  # messages a second that an ingress accepts; further messages are lost
        self.inboxes = [(0.0, start)] * instances  # by ingress, fill level of its inbox and time of that level
        self.messages_sent = self.bytes_sent = 0  # a broadcast counts once per receiver
        self.overflowed = 0  # messages lost because the receiver's inbox was full
        self.isolated: set[int] = set()  # ingresses that can neither send nor receive datagrams
        self.gateways: list[Any] = []
        self.incarnation = [0] * instances
        self.calls: dict[int, list[tuple[int, bool]]] = {}
        self.skews = skews or (0.0,) * instances
        self.gateways = [None] * instances
        for n, offset in enumerate(offsets or (0.0,) * instances):
            if offset == 0.0:
                self.restart(n)
            elif offset != math.inf:
                self.at(offset, lambda n=n: self.restart(n))  # type: ignore[misc]
        self.numbers = itertools.count()
        self.quotas: dict[tuple[str, int], ReferenceBucket] = {}
        self.ceilings: dict[tuple[str, int], ReferenceBucket] = {}
        self.asked = self.served = self.fair = self.fair_served = 0
        self.ideal: dict[tuple[str, int], ReferenceBucket] = {}
        self.admitted_units = 0.0  # units that were forwarded to the backends
        self.requests: dict[str, events.Request] = {}
        self.began: dict[str, float] = {}  # arrival times of requests without a decision yet
        # Requests that arrived with half of the quota unused and have not been forwarded.
        self.rejected_within_quota: set[str] = set()
        self.slowest = 0.0  # longest time from a request to its first attempt or its rejection

    def use_counter(self, counter: CounterModel) -> None:
        """Connect all ingresses to one counter."""
        self.counters = [counter] * self.instances

    def split(self) -> None:
        """Connect ingress 0 to a counter of its own, which starts without counts."""
        self.counters = [CounterModel()] + self.counters[1:]

    def at(self, delay: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            when, _, what = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            what()
        self.now = end

    def place(self, placement: Placement) -> None:
        """Switch all ingresses to another set of counters at once."""
        self.placement = placement
        for address in placement.addresses:
            self.counters_by_address.setdefault(address, CounterModel())
        for gateway in self.gateways:
            gateway.counters.set_placement(placement)

    def kill(self, n: int) -> None:
        """End an ingress without a message; messages that it has sent stay in transit."""
        self.incarnation[n] += 1
        self.gateways[n] = None

    def leave(self, n: int) -> None:
        """Shut an ingress down gracefully."""
        self.give(n, events.Leaving())
        self.kill(n)

    def restart(self, n: int) -> None:
        """Start an ingress without state; replies and timers of its earlier incarnation are dropped."""
        self.incarnation[n] += 1
        self.gateways[n] = make_gateway(
            settings(n, self.instances), self.rng.getrandbits(32), self.now + self.skews[n], self.placement
        )
        self.restore_state(n)
        self.give(
            n, events.ListUpdate(ListKind.SAVED, 1, tuple(BackendEntry(f"b{i}", Phase.RUNNING) for i in range(10)))
        )

    def restore_state(self, n: int) -> None:
        """Hook for subclasses: restore state into a new ingress before its first event."""

    def give(self, n: int, event: Event, incarnation: int | None = None) -> None:
        if self.gateways[n] is None or (incarnation is not None and incarnation != self.incarnation[n]):
            return
        for a in self.gateways[n].handle(self.now + self.skews[n], event):
            self.act(n, a)

    def act(self, n: int, a: Action) -> None:
        incarnation = self.incarnation[n]
        if isinstance(a, actions.Attempt | actions.Refuse | actions.Fail) and a.request in self.began:
            self.slowest = max(self.slowest, self.now - self.began.pop(a.request))
        if isinstance(a, actions.Attempt):
            r = self.requests[a.request]
            self.record_admission(r)
            ended = events.AttemptEnded(a.request, 0, a.backend, Outcome.OK, 0.02, True)
            self.at(0.02, lambda: self.give(n, ended, incarnation))
        elif isinstance(a, actions.CounterAdd):
            self.call(n, a, incarnation)
        elif isinstance(a, actions.SetTimer):
            self.at(a.delay, lambda: self.give(n, events.TimerFired(a.token), incarnation))
        elif isinstance(a, actions.SendToPeer):
            for target in range(self.instances) if a.peer is None else (a.peer,):
                if target == n:
                    continue
                self.messages_sent, self.bytes_sent = self.messages_sent + 1, self.bytes_sent + len(a.payload)
                if not self.isolated & {n, target} and self.rng.random() >= self.loss and self.accepts_message(target):
                    late = self.delay * (0.5 + 0.5 * self.rng.random())
                    self.at(late, lambda t=target: self.give(t, events.PeerMessage(n, a.payload)))  # type: ignore[misc]

    def accepts_message(self, target: int) -> bool:
        """Return whether an ingress's inbox accepts one more message, and add it."""
        full, at = self.inboxes[target]
        full = max(0.0, full - self.inbox * (self.now - at)) if self.inbox < math.inf else 0.0
        good = full < self.inbox
        self.inboxes[target] = (full + good, self.now)
        self.overflowed += not good
        return good

    def call(self, n: int, a: actions.CounterAdd, incarnation: int) -> None:
        counter = self.counters[n]
        if self.placement is not None:
            counter = self.counters_by_address[self.placement.addresses[self.placement.of(a.name)]]

        def reply(outcome: Outcome, elapsed: float, total: float = 0.0) -> None:
            self.at(elapsed, lambda: self.give(n, events.CounterReply(a.name, outcome, elapsed, total), incarnation))

        def late() -> None:
            counter.add(self.now, a.name, a.amount, a.lifetime)

        if counter.silent:
            reply(Outcome.TIMEOUT, TIMEOUT)
        elif counter.full(self.now):
            reply(Outcome.FULL, counter.delay)
        elif counter.delay > TIMEOUT:
            self.at(counter.delay, late)
            reply(Outcome.TIMEOUT, TIMEOUT)
        else:
            total = counter.add(self.now, a.name, a.amount, a.lifetime)
            if self.rng.random() < counter.lose:
                reply(Outcome.TIMEOUT, TIMEOUT)
            else:
                reply(Outcome.OK, counter.delay, total)

    # Customers.

    def ask(
        self, n: int, member: int = 7, plan: str = "plus", units: float = 1.0, first: int = 0, width: int = 0
    ) -> None:
        """Send one request; `fair` counts those that a single bucket would admit. Default ingress set: all."""
        p = PLUS if plan == "plus" else BASIC
        name = f"r{next(self.numbers)}"
        r = self.requests[name] = events.Request(name, "read", plan, member, 6.0, units, width or self.instances, first)
        self.asked += 1
        self.began[name] = self.now
        ideal = self.ideal.setdefault((plan, member), ReferenceBucket(p.rate, p.burst))
        if ideal.drained_level(self.now) <= p.burst / 2:
            self.rejected_within_quota.add(name)
        if ideal.level + units <= p.burst:
            ideal.add_units(self.now, units)
            self.fair += 1
        self.give(n, r)

    def record_admission(self, r: events.Request) -> None:
        p = PLUS if r.plan == "plus" else BASIC
        self.served += 1
        self.admitted_units += r.units
        self.rejected_within_quota.discard(r.id)
        self.quotas.setdefault((r.plan, r.customer), ReferenceBucket(p.rate, p.burst)).add_units(self.now, r.units)
        if p.ceiling_rate:
            self.ceilings.setdefault((r.plan, r.customer), ReferenceBucket(p.ceiling_rate, p.ceiling_burst)).add_units(
                self.now, r.units
            )

    def traffic(
        self,
        seconds: float,
        rate: float,
        home: Callable[[float], int],
        plan: str = "plus",
        members: int = 1,
        units: tuple[float, ...] = (1.0, 2.0, 4.0),
    ) -> None:
        """Send requests at `rate` a second to the ingress that `home` returns for the elapsed seconds."""
        began, t = self.now, 0.0
        while (t := t + self.rng.expovariate(rate)) < seconds:
            member, u = self.rng.randrange(members), self.rng.choice(units)
            self.at(t, lambda at=t, m=member, u=u: self.ask(home(at), m, plan, u))  # type: ignore[misc]
        self.run(seconds)
        assert self.now == began + seconds

    def excess(self, plan: str = "plus") -> tuple[float, float]:
        """Return the units beyond quota and beyond ceiling of the customer that exceeds each most."""
        quota = max((s.worst for (p, _), s in self.quotas.items() if p == plan), default=0.0)
        return quota, max((s.worst for (p, _), s in self.ceilings.items() if p == plan), default=0.0)

    def kept(self) -> float:
        """Return admitted requests as a fraction of those that a single bucket would have admitted."""
        return self.served / max(1, self.fair)
