"""Backends as seen from this ingress's own traffic: who may be sent to, and how many attempts may be out.

Choice is by least own outstanding work over learned speed, with outlier ejection, slow start of cold
backends and one concurrency limit over all that follows latency (in the manner of TCP Vegas).
"""

from __future__ import annotations

import math
import random
import statistics
import zlib
from itertools import islice
from typing import NamedTuple

from thistleusher.core import actions, events
from thistleusher.core.actions import Action
from thistleusher.core.decision_ports import Routed
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import ClassSettings, Effect, Group, Settings
from thistleusher.core.snapshots import Learned, LearnedBackend, LearnedClass
from thistleusher.policy.work import WorkOfClass

BAD_SHARE = 0.5   # share of faults of a backend that is out of order
USUAL = (0.02, 0.4)  # least and most that the whole fleet's share of faults is taken for
PROOF, SURE = 6.0, 4.0  # log likelihood of that share over the fleet's at which one is ejected; and after its trial
EJECT_S = 3.0     # rest of an ejected backend, before each trial attempt
SLOTS, FLOOR = 6.0, 2.0  # attempts out to a backend by all ingresses together, at first and at least
AIM_PART = 0.16   # of its aim that a class's unpressed latency is taken for at most
EASE, EASE_S = 0.01, 0.3  # of the slots that a pressed answer takes, at least; a second, at most at once
SHY, SHY_S = 4.0, 10.0  # cost of a backend sure to turn a class or plan away; time by which such news ages
TAIL = 4.0        # times the unpressed latency, beyond which a longer answer says no more
PRESSED = 1.8     # times the unpressed latency, where the concurrency limit shrinks
KEEP_SHARE = 0.5  # of the fleet that outlier ejection must leave in use
COLD_SAFETY = 0.8  # of the stated cold budget that is used, as the warm rate is only an estimate
COLD_MOST = 2.0   # times what a cold backend is sure to do, beyond which it is only slow, allowed or not
NEAR, NEAR_S = 16, 3.0  # backends at least of the part that an ingress goes to; seconds between attempts at one of it
COVER = 4  # parts at least that a backend is in
SCAN, DRAWN, DRAWS = 24, 8, 4  # backends that are all looked at; of more, looked at in a draw, and draws
TIE, RATE_S = 0.02, 5.0  # chance that breaks ties, span of the rate of answers
FAULTS = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)
ANSWERS = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.FULL)


class Out(NamedTuple):
    """An attempt that is out: its class and plan, told units, expected work."""

    sent: float
    cls: str
    plan: str
    units: float
    work: float


class Backend:
    """A server as seen from the ingress's own traffic."""

    def __init__(self, entry: BackendEntry, now: float, phase: float) -> None:
        self.entry, self.usable = entry, False
        self.out: dict[str, Out] = {}  # own attempts out
        self.work = 0.0  # of those, all together
        self.aside = False  # silent: what is out there takes no room from other attempts
        self.answered = now
        self.ratio, self.errors, self.resting, self.trial = 1.0, 0.0, 0.0, False
        self.proof = 0.0  # that it is out of order, by its faults and answers (cumulative sum, Page 1954)
        self.tokens, self.tokens_at = phase, now  # a small part never comes to one without
        self.shy: dict[str, tuple[float, float]] = {}  # class or plan: turned away (1) or served (0), when


class Fleet:
    """All backends. `choose` looks at each of up to `SCAN`; of more at `DRAWN` at random (Mitzenmacher 2001).

    Of so many an ingress goes to its part alone (deterministic subsetting, Beyer et al. 2016, ch. 20): connections are
    used again, and what one ingress learns of a backend it learns soon. Parts lie evenly in the order of hashed ids,
    so each backend is in about as many of them; a busier ingress has a larger one.
    At all of them only where several such draws hold none that may be sent to.
    """

    def __init__(self, settings: Settings, rng: random.Random, acts: list[Action], now: float) -> None:
        self.s, self.rng, self.acts = settings, rng, acts
        self.classes = {c.name: c for c in settings.classes}
        self.backends: dict[str, Backend] = {}
        self.ready: list[Backend] = []  # those that the list says may be used, by their hashed ids
        self.near: list[Backend] = []  # this ingress's part of them
        self.near_at = -math.inf  # when that was last looked at
        self.latency = {c.name: c.objective * AIM_PART for c in settings.classes}  # usual time of an answer
        self.base = dict(self.latency)  # and what it was when nothing was pressed
        self.work = {c.name: WorkOfClass() for c in settings.classes}
        self.load = 0.0
        self.out, self.slots = 0, 0.0  # own attempts out, how many may be
        self.usual = USUAL[0]  # share of faults of the backend in the middle, as at the last fault
        self.press, self.judged, self.paused = 1.0, now, 0.0  # latency over base, when; rest below one slot
        # Share of attempts of a class or plan that were turned away.
        self.shy = dict.fromkeys((*self.classes, *(p.name for p in settings.plans)), 0.0)
        self.sharers = 1 if settings.own_backends else settings.instances  # who send to these backends
        self.usable, self.rate, self.rate_at = 0, 0.0, now  # attempts a second to one warm backend
        self.each = SLOTS / self.sharers  # slots a backend to begin with
        self.past: dict[str, LearnedBackend] = {}  # of an earlier life, for backends that the list has yet to name

    def meet(self, cls: ClassSettings) -> None:
        """A class that the settings do not name."""
        if cls.name not in self.classes:
            self.latency[cls.name] = self.base[cls.name] = cls.objective * AIM_PART
            self.work[cls.name], self.shy[cls.name] = WorkOfClass(), 0.0
        self.classes[cls.name] = cls

    def free(self, now: float) -> bool:
        """Whether the concurrency limit allows one more attempt."""
        return self.load < max(1.0, self.slots) and now >= self.paused

    def cold(self, now: float, b: Backend) -> float:
        """Share of its capacity that a backend is sure to have since its start (slow start)."""
        grown = (now - b.entry.born) / self.s.cold_time if b.entry.born > 0 and self.s.cold_time > 0 else 1.0
        return min(1.0, self.s.start_capacity + (1 - self.s.start_capacity) * max(0.0, grown))

    def choose(self, now: float, f: Routed) -> Backend | None:
        """Least own outstanding work over learned speed, among those that are healthy and allowed."""
        if not self.free(now):
            return None
        if len(self.ready) > SCAN:
            if now - self.near_at > 1.0:
                self.draw_near(now)
            for among in (*[self.near] * DRAWS, *[self.ready] * DRAWS):
                if (best := self.least(now, f, self.rng.sample(among, min(DRAWN, len(among))))) is not None:
                    return best
        return self.least(now, f, self.ready)

    def draw_near(self, now: float) -> None:
        """This ingress's part anew, without what rests. Costs a look at each backend, once a second."""
        count = len(self.ready)
        part = max(NEAR, COVER * count // self.sharers, round(NEAR_S * self.rate * self.usable))
        start = count * (self.s.me % self.sharers) // self.sharers
        ring = (self.ready[(start + n) % count] for n in range(count))
        self.near = list(islice((b for b in ring if now >= b.resting), part))
        self.near_at = now

    def least(self, now: float, f: Routed, among: list[Backend]) -> Backend | None:
        """The one of least cost; None where none of them may be sent to now."""
        best: Backend | None = None
        least = 0.0
        keyed = f.ran_on if f.cls.effect is Effect.KEYED else None
        keys = [(key, 1 + SHY * self.shy[key]) for key in (f.cls.name, f.req.plan)]
        for b in among:
            e = b.entry
            if e.backend in f.bad or now < b.resting:
                continue
            if b.trial and (b.out or f.cls.effect is Effect.UNSAFE):
                continue
            if keyed is not None and ((f.cls.group is Group.ZONE and e.zone != keyed.zone) or (
                    f.cls.group is Group.CELL and e.cell != keyed.cell)):
                continue
            if e.born > 0 and (ramp := self.cold(now, b)) < 1.0:
                gain = self.rate * self.apart() * ramp * min(COLD_SAFETY * self.s.fall_multiple, COLD_MOST)
                b.tokens = min(1.5, b.tokens + gain * (now - b.tokens_at))
                b.tokens_at = now
                if b.tokens < 1.0:
                    continue
            cost = (b.work + f.work) * b.ratio * (1 + 4 * b.errors)
            for key, usual in keys:
                if key in b.shy:
                    last, at = b.shy[key]
                    usual = 1 + SHY * (self.shy[key] + (last - self.shy[key]) * math.exp((at - now) / SHY_S))
                cost *= usual
            cost *= 1 + TIE * self.rng.random()
            if best is None or cost < least:
                best, least = b, cost
        return best

    def apart(self) -> float:
        """Times as often as a backend of all that one of this ingress's part is gone to; by as many ingresses fewer."""
        return len(self.ready) / len(self.near) if len(self.ready) > SCAN and self.near else 1.0

    def sent(self, now: float, b: Backend, f: Routed) -> None:
        """An attempt goes out."""
        b.out[f.req.id] = Out(now, f.cls.name, f.req.plan, f.req.units, f.work)
        b.work += f.work
        self.out += 1
        if not b.aside:
            self.load += f.work
        if self.cold(now, b) < 1.0:
            b.tokens -= f.work

    def ended(self, now: float, e: events.AttemptEnded) -> None:
        """An attempt has its outcome."""
        b = self.backends.get(e.backend)
        out = b.out.pop(e.request, None) if b is not None else None
        if b is not None and out is not None:
            b.work = b.work - out.work if b.out else 0.0
            self.out -= 1
            if not b.aside:
                self.load = max(0.0, self.load - out.work) if self.out else 0.0
            if b.aside and e.outcome in ANSWERS:
                b.aside = False
                self.load += b.work
            self.judge(now, b, e, out)

    def judge(self, now: float, b: Backend, e: events.AttemptEnded, out: Out) -> None:
        """Latency, errors and concurrency limit of one backend; times as of a request of its class's mean work."""
        name, plan, took = out.cls, out.plan, e.elapsed / out.work
        b.answered = now if e.outcome in ANSWERS else b.answered  # a time-out is no sign of life, nor a fault
        slow = e.outcome is Outcome.TIMEOUT and took > self.latency[name] and not b.aside
        if e.outcome is Outcome.OK or slow:
            times = min(took / self.base[name], TAIL)  # a few very costly requests are no jam
            b.ratio += 0.1 * (times - b.ratio)
            step = min(EASE_S, max(EASE, EASE_S * (now - self.judged)))  # few answers: each says more
            self.judged = now
            self.press += min(0.4, 5 * step) * (times - self.press)
            if self.press > PRESSED:  # all hold too much there: one slot a backend may be too many
                self.slots = max(FLOOR * self.usable / self.sharers, self.slots * (1 - step))
            elif self.load + 2 > self.slots:
                self.slots += min(self.slots, 1 / self.slots)
            if self.slots < 1:  # less than one attempt out on average: a rest after each
                self.paused = now + min(1.0, e.elapsed) * (1 / self.slots - 1)
        if e.outcome in (Outcome.OK, Outcome.FULL):
            for key in (name, plan):  # some turn one class or plan away: told from a full fleet by who it is
                b.shy[key] = (float(e.outcome is Outcome.FULL), now)
                self.shy[key] += 0.1 * (b.shy[key][0] - self.shy[key])
        if e.outcome is Outcome.OK:
            # Served, not sent: requests turned away made warm servers look able to take more, cold ones too.
            self.rate = self.rate * math.exp((self.rate_at - now) / RATE_S) + 1 / RATE_S / max(1, self.usable)
            self.rate_at = now
            if b.trial:
                b.trial, b.proof = False, SURE
            b.errors *= 0.8
            self.weigh(b, False)
            self.work[name].learn(out.units, e.elapsed)
            self.latency[name] += 0.05 * (took - self.latency[name])
            usual = self.base[name] + (0.01 if self.press < PRESSED else 0.0005) * (
                self.latency[name] - self.base[name])
            self.base[name] = min(usual, AIM_PART * self.classes[name].objective)  # a jam is never the norm
        elif e.outcome in FAULTS:
            self.weigh(b, True)
            b.errors += 0.3 * (1 - b.errors)
            if b.trial or b.proof >= PROOF:
                self.eject(now, b, "failing")

    def weigh(self, b: Backend, fault: bool) -> None:
        """Evidence that a backend is out of order, and not just as unlucky as half of the fleet is.

        A fault costs a look at each backend; an answer does not.
        """
        if fault:
            middle = statistics.median_low([x.errors for x in self.backends.values() if x.usable] or [0.0])
            self.usual = min(USUAL[1], max(USUAL[0], middle))
        gain = math.log(BAD_SHARE / self.usual) if fault else math.log((1 - BAD_SHARE) / (1 - self.usual))
        b.proof = max(0.0, b.proof + gain)

    def silent(self, now: float, times: float) -> list[Backend]:
        """Backends that owe answers for `times` their usual time: they are ejected."""
        owing = [b for b in self.backends.values() if b.out and times * max(1.0, b.ratio) <= sum(
            (now - max(o.sent, b.answered)) / (self.latency[o.cls] * o.work) for o in b.out.values())]
        for b in owing:
            self.eject(now, b, "silent")
        return owing

    def eject(self, now: float, b: Backend, why: str) -> None:
        """Outlier ejection: rest a while, then one trial at a time; part of the fleet is always kept."""
        resting = sum(1 for x in self.backends.values() if x.usable and now < x.resting)
        if now < b.resting or resting + 1 > (1 - KEEP_SHARE) * self.usable:
            return
        b.resting, b.trial = now + EJECT_S, True
        if why == "silent" and not b.aside:
            b.aside = True
            self.load = max(0.0, self.load - b.work)
        self.acts.append(actions.Log(f"ejected {b.entry.backend}: {why}"))

    def listed(self, now: float, e: events.ListUpdate) -> None:
        """Follow the list of servers: nothing new to what drains or is gone, slow start for what is new."""
        if e.kind is ListKind.FAILED:
            return
        for b in self.backends.values():
            b.usable = b.usable and e.kind is ListKind.CHANGE
        for entry in e.entries:
            known = self.backends.get(entry.backend)
            if known is None or entry.born != known.entry.born:  # new, or its process is
                new = self.backends[entry.backend] = Backend(entry, now, self.rng.random())
                if known is not None:
                    new.out, new.work, new.aside = known.out, known.work, known.aside
                past = self.past.pop(entry.backend, None)
                if past is not None and past.born == entry.born:
                    new.ratio, new.errors, new.proof, new.resting, new.trial = past[1:]
                known = new
            known.entry, known.usable = entry, entry.phase is Phase.RUNNING
        if e.kind is not ListKind.CHANGE:
            for name in self.backends.keys() - {entry.backend for entry in e.entries}:
                self.backends[name].entry = self.backends[name].entry._replace(phase=Phase.DELETED)
        self.backends = {n: b for n, b in self.backends.items()  # gone, and nothing of ours out there
                         if b.out or b.entry.phase is not Phase.DELETED}
        self.ready = [b for b in self.backends.values() if b.usable]
        if len(self.ready) > SCAN:
            self.ready.sort(key=lambda b: zlib.crc32(b.entry.backend.encode()))
        self.near_at = -math.inf
        self.usable = len(self.ready)
        self.slots = self.slots or max(2.0, self.each * self.usable)

    def learned(self, now: float) -> Learned:
        """What another life of this ingress can go on from. Costs a look at each backend."""
        classes = {n: LearnedClass(self.latency[n], self.base[n], w.seen, w.units, w.time, w.spread, w.both)
                   for n, w in self.work.items()}
        return Learned(now, self.slots, self.usable, self.rate, classes, {
            n: LearnedBackend(b.entry.born, b.ratio, b.errors, b.proof, b.resting, b.trial)
            for n, b in self.backends.items() if b.usable})

    def relearn(self, now: float, past: Learned) -> None:
        """Go on from there. Before any list."""
        for name, c in past.classes.items():
            if name in self.work:
                self.latency[name] = c.latency
                self.base[name] = min(c.base, AIM_PART * self.classes[name].objective)
                w = self.work[name]
                w.seen, w.units, w.time, w.spread, w.both = c[2:]
        self.past, self.rate, self.rate_at = dict(past.backends), past.rate, now
        if past.slots > 0 and past.usable > 0:
            self.each = past.slots / past.usable
