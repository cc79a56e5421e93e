"""The auditor: judges the five rules and the quotas from what the stand-ins recorded.

The rules, each judged without the ingress's word: every request has exactly one final answer in time, made
for it (`lost`); nothing that may have run is run again where that has an effect (`twice`); nothing new goes
to a server longer than the grace after it was told to drain (`drain`); a cold server gets no more work than a
multiple of what it can do (`cold`); no member gets more than its ceiling (`ceiling`). Units beyond quotas
are a figure, and a broken rule (`quota`) only where a bound is stated. An answer 500 is a fault of the ingress
whatever was wrong (`fault`); in a calm run, with nothing wrong, so is every other 5xx but a 503, and no member may be
refused again and again while half of its quota is unused (`starved`).
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from standins.records import Answered, Asked, Began, Crashed, Ran, Record, Told, Up, Withdrawn

RULES = ("lost", "twice", "drain", "cold", "ceiling", "quota", "fault", "starved")
REFUSALS = (429, 503)


@dataclass(frozen=True, slots=True)
class PlanRule:
    """A plan's quota and ceiling, units and units a second; 0 for none. The errors are units allowed beyond."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    error: float | None = None
    ceiling_error: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """What is judged by. Times in seconds; `effects` gives safe, keyed or unsafe by class."""

    plans: Mapping[str, PlanRule]
    effects: Mapping[str, str]
    late: float = 0.05
    drain_grace: float = 1.0
    drain_late: float = 0.05
    cold_multiple: float = 4.0
    cold_window: float = 1.5
    ceiling_s: float = 0.15  # what the ceiling's rate gives in this time is slack
    passed_on: bool = False  # a server's own 500 is its answer: the library passes it on
    calm: bool = False  # no fault was caused
    starved_tries: int = 3  # of one member refused with room in a calm run, and
    starved_share: float = 0.05  # share of its tries, beyond which it is starved


class Breach(NamedTuple):
    """One broken rule."""

    rule: str
    at: float
    what: str


@dataclass(slots=True)
class Figures:
    """What one plan and class came to."""

    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    times: list[float] = field(default_factory=list)

    def quantile(self, share: float) -> float:
        """Return a quantile of the times of served attempts, in seconds; 0 with none."""
        times = sorted(self.times)
        return times[min(len(times) - 1, int(share * len(times)))] if times else 0.0


@dataclass(slots=True)
class Verdict:
    """The broken rules and the figures of a run."""

    breaches: list[Breach]
    figures: dict[tuple[str, str], Figures]
    over: dict[str, float]  # by plan: the most units that a member had beyond its quota
    above: dict[str, float]  # and beyond its ceiling, below 0 where it was not reached

    @property
    def kept(self) -> bool:
        """Return whether no rule was broken."""
        return not self.breaches

    def lines(self) -> list[str]:
        """Return the verdict for people, one fact a line."""
        out = [
            f"{'plan':10} {'class':14} {'tries':>7} {'served':>7} {'refused':>7} {'failed':>7}"
            f" {'p50 ms':>7} {'p99 ms':>7}"
        ]
        for (plan, cls), f in sorted(self.figures.items()):
            out.append(
                f"{plan:10} {cls:14} {f.tries:7} {f.served:7} {f.refused:7} {f.failed:7}"
                f" {f.quantile(0.5) * 1000:7.1f} {f.quantile(0.99) * 1000:7.1f}"
            )
        for plan, units in sorted(self.over.items()):
            out.append(f"beyond quota, worst member of {plan}: {units:.2f} units")
        for plan, units in sorted(self.above.items()):
            out.append(f"beyond ceiling, worst member of {plan}: {units:.2f} units")
        counts = Tally(b.rule for b in self.breaches)
        for rule in RULES:
            out.append(f"rule {rule:8} {'kept' if not counts[rule] else f'BROKEN {counts[rule]} times'}")
        out += [f"  {b.rule}: {b.what}" for b in self.breaches[:20]]
        return out


def audit(records: Iterable[Record], rules: Rules) -> Verdict:
    """Judge a whole run. Records may come in any order; cost: sorting them."""
    ordered = sorted(records, key=lambda r: r.at)
    asked: dict[str, Asked] = {}
    for r in ordered:
        if isinstance(r, Asked):
            asked[r.id] = r
        elif isinstance(r, Withdrawn):
            asked.pop(r.id, None)
    breaches = [
        *_lost(ordered, asked, rules),
        *_twice(ordered, asked, rules),
        *_drains(ordered, rules),
        *_cold(ordered, rules),
        *_faults(ordered, asked, rules),
    ]
    if rules.calm:
        breaches += _starved(ordered, asked, rules)
    over, above, beyond = _units(ordered, asked, rules)
    return Verdict(sorted([*breaches, *beyond], key=lambda b: b.at), _figures(ordered, asked), over, above)


def _lost(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    """Yield attempts that were taken and not answered, answered twice, too late, or with another's answer."""
    answers: dict[str, list[Answered]] = defaultdict(list)
    crashes: dict[str, list[float]] = defaultdict(list)
    for r in ordered:
        if isinstance(r, Answered):
            answers[r.id].append(r)
        elif isinstance(r, Crashed):
            crashes[r.ingress].append(r.at)
    yield from _cut_short(ordered, rules)
    for a in asked.values():
        due = a.at + a.budget + rules.late
        whole = [x for x in answers[a.id] if x.status > 0]
        if any(a.at <= at <= due for at in crashes[a.ingress]) and not whole:
            continue  # its ingress died under it
        fault = _fault_of_answers(a, whole, due)
        if fault:
            yield Breach("lost", a.at, f"{a.id} at {a.ingress}: {fault}")


def _cut_short(ordered: list[Record], rules: Rules) -> Iterable[Breach]:
    """Yield attempts that had begun when their connection ended, though their ingress had not crashed by then."""
    begun: dict[str, float] = {}
    crashes: dict[str, list[float]] = defaultdict(list)
    for r in ordered:
        if isinstance(r, Crashed):
            crashes[r.ingress].append(r.at)
        elif isinstance(r, Began):
            begun.setdefault(r.id, r.at)
        elif isinstance(r, Withdrawn) and begun.get(r.id, r.at) < r.at:
            since = begun.pop(r.id)  # what it began, it began for the ingress that it is withdrawn from first
            if not any(since - rules.late <= at for at in crashes[r.ingress]):
                yield Breach("lost", r.at, f"{r.id} at {r.ingress}: taken, and its connection ended")


def _fault_of_answers(a: Asked, whole: list[Answered], due: float) -> str:
    """Return what is wrong with an attempt's whole answers, or an empty text."""
    if not whole:
        return "no answer"
    if len(whole) > 1:
        return f"{len(whole)} answers"
    answer = whole[0]
    if answer.at > due:
        return f"answered {answer.at - due:.3f} s too late"
    if answer.status == 200 and answer.body.split(" ")[-1] != a.id:
        return f"the answer was made for {answer.body!r}"
    return ""


class _Repeats:
    """Effects of each operation, and how often it may have had them.

    A front that withdraws an attempt from an ingress that was killed under it sends it again at its own risk.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.effects: Tally[str] = Tally()
        self.sent: Tally[str] = Tally()
        self.orphans: Tally[str] = Tally()  # attempts that ran, or may yet, for an ingress that was killed
        self.crashed: dict[str, float] = {}
        self.begun: dict[str, float] = {}

    def _crashed_after(self, ingress: str, at: float) -> bool:
        return self.crashed.get(ingress, -1.0) >= at - self.rules.late

    def on_withdrawn(self, a: Asked, r: Withdrawn) -> None:
        """Count an attempt that an ingress had begun before it was killed."""
        self.orphans[a.op] += r.id in self.begun and self._crashed_after(r.ingress, self.begun.pop(r.id))

    def on_ran(self, a: Asked, r: Ran) -> Iterable[Breach]:
        """Count an effect."""
        if self.rules.effects[a.cls] == "safe":
            return
        self.effects[a.op] += 1
        if self.effects[a.op] > 1 + self.orphans[a.op]:
            yield Breach("twice", r.at, f"{a.op}: effect {self.effects[a.op]} times, last at {r.server}")

    def on_began(self, a: Asked, r: Began) -> Iterable[Breach]:
        """Count an attempt of the unsafe class that a server took up."""
        if r.id in self.begun and self._crashed_after(a.ingress, self.begun[r.id]):
            self.orphans[a.op] += 1  # sent again to the same ingress, which was up again by then
        self.begun[r.id] = r.at
        if self.rules.effects[a.cls] != "unsafe" or r.turned_away:
            return
        self.sent[a.op] += 1
        if self.sent[a.op] > 1 + self.orphans[a.op]:
            yield Breach("twice", r.at, f"{a.op}: unsafe, sent {self.sent[a.op]} times, last to {r.server}")


def _twice(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    """Yield effects that came more often than they may have."""
    repeats = _Repeats(rules)
    for r in ordered:
        if isinstance(r, Crashed):
            repeats.crashed[r.ingress] = r.at
        a = asked.get(r.id) if isinstance(r, Ran | Began | Withdrawn) else None
        if a is None:
            continue
        if isinstance(r, Withdrawn):
            repeats.on_withdrawn(a, r)
        elif isinstance(r, Ran):
            yield from repeats.on_ran(a, r)
        elif isinstance(r, Began):
            yield from repeats.on_began(a, r)


def _drains(ordered: list[Record], rules: Rules) -> Iterable[Breach]:
    since: dict[str, float] = {}
    for r in ordered:
        if isinstance(r, Told):
            if r.status == "SERVING":
                since.pop(r.server, None)
            else:
                since.setdefault(r.server, r.at)
        elif isinstance(r, Began) and r.server in since:
            late = r.at - since[r.server] - rules.drain_grace
            if late > rules.drain_late:
                yield Breach("drain", r.at, f"{r.id} came to {r.server} {late:.3f} s after the grace")


def _cold(ordered: list[Record], rules: Rules) -> Iterable[Breach]:
    up: dict[str, Up] = {}
    window: dict[str, list[Began]] = defaultdict(list)
    for r in ordered:
        if isinstance(r, Up):
            up[r.server] = r
            window[r.server] = []
        elif isinstance(r, Began) and not r.turned_away and r.server in up:
            u = up[r.server]
            if r.at - u.at > u.cold_s:
                continue
            held = window[r.server] = [b for b in window[r.server] if b.at > r.at - rules.cold_window] + [r]
            speed = u.cold + (1 - u.cold) * (r.at - u.at) / u.cold_s
            allowed = rules.cold_multiple * u.cores * speed * rules.cold_window
            work = sum(b.work for b in held)
            if work > allowed + 2 * max(b.work for b in held):
                yield Breach(
                    "cold",
                    r.at,
                    f"{r.server}: {work:.2f} s of work in {rules.cold_window:g} s, " f"{allowed:.2f} allowed",
                )


def _faults(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    for r in ordered:
        if not isinstance(r, Answered) or r.id not in asked:
            continue
        failed = rules.calm and r.status > 500 and r.status not in REFUSALS
        if failed or (r.status == 500 and not rules.passed_on):
            yield Breach("fault", r.at, f"{r.id} at {asked[r.id].ingress}: status {r.status}")


def _starved(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    """Members refused while half of their quota is unused, by what came to the servers."""
    stores: dict[tuple[int, str], _Store] = defaultdict(_Store)
    refused: Tally[tuple[int, str]] = Tally()
    tries = Tally((a.member, a.plan) for a in asked.values())
    seen: set[str] = set()
    for r in ordered:
        a = asked.get(r.id) if isinstance(r, Began | Answered) else None
        if a is None:
            continue
        p, who = rules.plans[a.plan], (a.member, a.plan)
        if isinstance(r, Began) and r.id not in seen:
            seen.add(r.id)
            stores[who].pour(r.at, a.units, p.rate)
        elif isinstance(r, Answered) and r.status == 429 and p.rate > 0:
            refused[who] += stores[who].pour(r.at, 0.0, p.rate) <= p.burst / 2
    for who, count in sorted(refused.items()):
        if count > max(rules.starved_tries, rules.starved_share * tries[who]):
            yield Breach(
                "starved",
                ordered[-1].at,
                f"member {who[0]} of {who[1]}: {count} of {tries[who]} tries" " refused with half of its quota unused",
            )


class _Store:
    """A leaky bucket: what is in it beyond the burst went over."""

    __slots__ = ("level", "at")

    def __init__(self) -> None:
        self.level, self.at = 0.0, 0.0

    def pour(self, at: float, units: float, rate: float) -> float:
        self.level = max(0.0, self.level - rate * (at - self.at)) + units
        self.at = at
        return self.level


def _units(
    ordered: list[Record], asked: dict[str, Asked], rules: Rules
) -> tuple[dict[str, float], dict[str, float], list[Breach]]:
    """Units beyond quota and ceiling, taken when a try's first attempt comes to a server."""
    quota: dict[tuple[int, str], _Store] = defaultdict(_Store)
    ceiling: dict[tuple[int, str], _Store] = defaultdict(_Store)
    over: dict[str, float] = {}
    above: dict[str, float] = {}
    breaches: list[Breach] = []
    seen: set[str] = set()
    for r in ordered:
        if not isinstance(r, Began) or r.id in seen or r.id not in asked:
            continue
        seen.add(r.id)
        a = asked[r.id]
        p, who = rules.plans[a.plan], (a.member, a.plan)
        if p.rate > 0:
            beyond = quota[who].pour(r.at, a.units, p.rate) - p.burst
            over[a.plan] = max(over.get(a.plan, 0.0), beyond)
            if p.error is not None and beyond > p.error:
                breaches.append(
                    Breach(
                        "quota",
                        r.at,
                        f"member {a.member} of {a.plan}: {beyond:.2f} units"
                        f" beyond its quota, {p.error:.2f} allowed",
                    )
                )
        if p.ceiling_rate > 0:
            beyond = ceiling[who].pour(r.at, a.units, p.ceiling_rate) - p.ceiling_burst
            above[a.plan] = max(above.get(a.plan, -p.ceiling_burst), beyond)
            if beyond > rules.ceiling_s * p.ceiling_rate + p.ceiling_error:
                breaches.append(
                    Breach("ceiling", r.at, f"member {a.member} of {a.plan}: {beyond:.2f} units" f" beyond its ceiling")
                )
    return over, above, breaches


def _figures(ordered: list[Record], asked: dict[str, Asked]) -> dict[tuple[str, str], Figures]:
    out: dict[tuple[str, str], Figures] = defaultdict(Figures)
    for a in asked.values():
        out[a.plan, a.cls].tries += 1
    for r in ordered:
        a2 = asked.get(r.id) if isinstance(r, Answered) else None
        if a2 is None or not isinstance(r, Answered):
            continue
        f = out[a2.plan, a2.cls]
        if r.status == 200:
            f.served += 1
            f.times.append(r.at - a2.at)
        elif r.status in REFUSALS:
            f.refused += 1
        else:
            f.failed += 1
    return dict(out)
