"""The auditor: checks the rules and the quotas against the events that the stand-ins recorded.

No rule relies on anything that an ingress reports. The rules are:

- `lost`: each request gets exactly one final answer, in time, and the answer is for that request.
- `twice`: a request that may have run is not run again if a repetition has an effect.
- `drain`: a draining server gets no new request after the grace period.
- `cold`: a cold server gets at most a multiple of the work that it can do.
- `ceiling`: no member gets more than its ceiling.
- `quota`: units beyond a quota are reported as a figure; they break the rule only if the plan states a bound.
- `fault`: an answer with status 500 is always a fault of the ingress. In a run without faults, so is each other 5xx
  status except 503.
- `starved`: in a run without faults, no member is refused repeatedly while half of its quota is unused.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Iterable, Iterator

from standins.records import Answered, Asked, Began, Crashed, Ran, Record, Told, Up, Withdrawn
from standins.verdict import REFUSALS, Breach, Figures, Rules, Verdict


def audit(records: Iterable[Record], rules: Rules) -> Verdict:
    """Audit a whole run. Records may come in any order; they are sorted by time first."""
    ordered = sorted(records, key=lambda r: r.at)
    asked: dict[str, Asked] = {}
    for r in ordered:
        if isinstance(r, Asked):
            asked[r.id] = r
        elif isinstance(r, Withdrawn):
            asked.pop(r.id, None)
    breaches = [
        *_find_lost(ordered, asked, rules),
        *_find_repeated(ordered, asked, rules),
        *_find_drain_breaches(ordered, rules),
        *_find_cold_overloads(ordered, rules),
        *_find_server_errors(ordered, asked, rules),
    ]
    if rules.fault_free:
        breaches += _find_starved(ordered, asked, rules)
    quota_excess, ceiling_excess, beyond = _measure_excess(ordered, asked, rules)
    return Verdict(
        sorted([*breaches, *beyond], key=lambda b: b.at), _figures(ordered, asked), quota_excess, ceiling_excess
    )


def _find_lost(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterator[Breach]:
    """Yield requests that did not get exactly one answer of their own in time."""
    crashes: dict[str, list[float]] = defaultdict(list)
    answers: dict[str, list[Answered]] = defaultdict(list)
    for record in ordered:
        if isinstance(record, Answered):
            answers[record.id].append(record)
        elif isinstance(record, Crashed):
            crashes[record.ingress].append(record.at)
    yield from _find_dropped(ordered, rules)
    for request in asked.values():
        complete = [answer for answer in answers[request.id] if answer.status > 0]
        due = request.at + request.budget + rules.answer_slack
        if not complete and any(request.at <= at <= due for at in crashes[request.ingress]):
            continue  # the ingress was killed while it handled the request
        why = _wrong_answers(request, complete, due)
        if why:
            yield Breach("lost", request.at, f"{request.id} at {request.ingress}: {why}")


def _wrong_answers(request: Asked, complete: list[Answered], due: float) -> str:
    """Return what is wrong with the complete answers to a request, or an empty string."""
    if not complete:
        return "no answer"
    if len(complete) > 1:
        return f"{len(complete)} answers"
    if complete[0].at > due:
        return f"answered {complete[0].at - due:.3f} s too late"
    if complete[0].status == 200 and complete[0].body.split(" ")[-1] != request.id:
        return f"the answer belongs to another request: {complete[0].body!r}"
    return ""


def _find_dropped(ordered: list[Record], rules: Rules) -> Iterator[Breach]:
    """Yield requests that an ingress forwarded and whose connection it then closed without being killed."""
    begun: dict[str, float] = {}
    kills = _IngressKills(rules)
    for record in ordered:
        if isinstance(record, Crashed):
            kills.on_crashed(record)
        elif isinstance(record, Began):
            begun.setdefault(record.id, record.at)
        elif isinstance(record, Withdrawn) and begun.get(record.id, record.at) < record.at:
            since = begun.pop(record.id)  # the attempt belongs to the ingress of the first withdrawal
            if not kills.killed_since(record.ingress, since):
                yield Breach(
                    "lost",
                    record.at,
                    f"{record.id} at {record.ingress}: connection closed after the request was forwarded",
                )


class _IngressKills:
    """Ingresses that were killed, according to the records read so far."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._crashed: dict[str, float] = {}  # time of the last record of a crash
        self._dying: set[str] = set()  # signalled, but not yet seen to have ended

    def on_crashed(self, record: Crashed) -> None:
        """Record that an ingress was signalled or was seen to have ended."""
        self._crashed[record.ingress] = record.at
        (self._dying.add if record.dying else self._dying.discard)(record.ingress)

    def killed_since(self, ingress: str, begun: float) -> bool:
        """Return whether an ingress was killed after the time at which one of its attempts began."""
        # Bytes that a process sent before it was killed are read later if the reader waits for a CPU.
        return ingress in self._dying or self._crashed.get(ingress, -1.0) >= begun - self._rules.answer_slack


class _OperationAttempts:
    """Counts the effects and attempts of each operation, and the attempts orphaned by a killed ingress."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._effects: Tally[str] = Tally()
        self._sent: Tally[str] = Tally()
        self._orphans: Tally[str] = Tally()  # attempts of a killed ingress that ran or may still run
        self._kills = _IngressKills(rules)
        self._begun: dict[str, float] = {}

    def on_crashed(self, record: Crashed) -> None:
        """Record that an ingress was killed."""
        self._kills.on_crashed(record)

    def on_withdrawn(self, record: Withdrawn, request: Asked) -> None:
        """Record that a request was withdrawn from an ingress that no longer accepts connections."""
        if record.id in self._begun:
            self._orphans[request.op] += self._kills.killed_since(record.ingress, self._begun.pop(record.id))

    def on_ran(self, record: Ran, request: Asked) -> Iterator[Breach]:
        """Record an effect; yield a breach if the operation had more effects than allowed."""
        if self._rules.effects[request.cls] == "safe":
            return
        self._effects[request.op] += 1
        count = self._effects[request.op]
        if count > 1 + self._orphans[request.op]:
            yield Breach("twice", record.at, f"{request.op}: effect {count} times, last at {record.server}")

    def on_began(self, record: Began, request: Asked) -> Iterator[Breach]:
        """Record an attempt at a server; yield a breach if the operation must not be sent again."""
        if record.id in self._begun and self._kills.killed_since(request.ingress, self._begun[record.id]):
            self._orphans[request.op] += 1  # sent again to the same ingress after its restart
        self._begun[record.id] = record.at
        if self._rules.effects[request.cls] != "unsafe" or record.turned_away:
            return
        self._sent[request.op] += 1
        count = self._sent[request.op]
        if count > 1 + self._orphans[request.op]:
            yield Breach("twice", record.at, f"{request.op}: unsafe, sent {count} times, last to {record.server}")


def _find_repeated(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterator[Breach]:
    """Yield repeated effects. A retry after a kill of the ingress during the first attempt is at the front's risk."""
    repeats = _OperationAttempts(rules)
    for record in ordered:
        if isinstance(record, Crashed):
            repeats.on_crashed(record)
            continue
        request = asked.get(record.id) if isinstance(record, Ran | Began | Withdrawn) else None
        if request is None:
            continue
        if isinstance(record, Withdrawn):
            repeats.on_withdrawn(record, request)
        elif isinstance(record, Ran):
            yield from repeats.on_ran(record, request)
        elif isinstance(record, Began):
            yield from repeats.on_began(record, request)


def _find_drain_breaches(ordered: list[Record], rules: Rules) -> Iterable[Breach]:
    since: dict[str, float] = {}
    for r in ordered:
        if isinstance(r, Told):
            if r.status == "SERVING":
                since.pop(r.server, None)
            else:
                since.setdefault(r.server, r.at)
        elif isinstance(r, Began) and r.server in since:
            late = r.at - since[r.server] - rules.drain_grace
            if late > rules.drain_slack:
                yield Breach("drain", r.at, f"{r.id} came to {r.server} {late:.3f} s after the grace")


def _find_cold_overloads(ordered: list[Record], rules: Rules) -> Iterable[Breach]:
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


def _find_server_errors(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    for r in ordered:
        if not isinstance(r, Answered) or r.id not in asked:
            continue
        failed = rules.fault_free and r.status > 500 and r.status not in REFUSALS
        if failed or (r.status == 500 and not rules.passes_server_errors):
            yield Breach("fault", r.at, f"{r.id} at {asked[r.id].ingress}: status {r.status}")


def _find_starved(ordered: list[Record], asked: dict[str, Asked], rules: Rules) -> Iterable[Breach]:
    """Yield members that were refused while half of their quota was unused, measured at the servers."""
    stores: dict[tuple[int, str], _LeakyBucket] = defaultdict(_LeakyBucket)
    refused: Tally[tuple[int, str]] = Tally()
    tries = Tally((a.member, a.plan) for a in asked.values())
    seen: set[str] = set()
    for r in ordered:
        a = asked.get(r.id) if isinstance(r, Began | Answered) else None
        if a is None:
            continue
        p, member_key = rules.plans[a.plan], (a.member, a.plan)
        if isinstance(r, Began) and r.id not in seen:
            seen.add(r.id)
            stores[member_key].add_units(r.at, a.units, p.rate)
        elif isinstance(r, Answered) and r.status == 429 and p.rate > 0:
            refused[member_key] += stores[member_key].add_units(r.at, 0.0, p.rate) <= p.burst / 2
    for member_key, count in sorted(refused.items()):
        if count > max(rules.starved_min_refusals, rules.starved_fraction * tries[member_key]):
            yield Breach(
                "starved",
                ordered[-1].at,
                f"member {member_key[0]} of {member_key[1]}: {count} of {tries[member_key]} tries"
                " refused with half of its quota unused",
            )


class _LeakyBucket:
    """A leaky bucket: units above the burst are beyond the limit."""

    __slots__ = ("level", "at")

    def __init__(self) -> None:
        self.level, self.at = 0.0, 0.0

    def add_units(self, at: float, units: float, rate: float) -> float:
        self.level = max(0.0, self.level - rate * (at - self.at)) + units
        self.at = at
        return self.level


def _measure_excess(
    ordered: list[Record], asked: dict[str, Asked], rules: Rules
) -> tuple[dict[str, float], dict[str, float], list[Breach]]:
    """Return the largest excess over quota and ceiling by plan, and the breaches.

    A request counts when it first reaches a server.
    """
    quota: dict[tuple[int, str], _LeakyBucket] = defaultdict(_LeakyBucket)
    ceiling: dict[tuple[int, str], _LeakyBucket] = defaultdict(_LeakyBucket)
    quota_excess: dict[str, float] = {}
    ceiling_excess: dict[str, float] = {}
    breaches: list[Breach] = []
    seen: set[str] = set()
    for r in ordered:
        if not isinstance(r, Began) or r.id in seen or r.id not in asked:
            continue
        seen.add(r.id)
        a = asked[r.id]
        p, member_key = rules.plans[a.plan], (a.member, a.plan)
        if p.rate > 0:
            beyond = quota[member_key].add_units(r.at, a.units, p.rate) - p.burst
            quota_excess[a.plan] = max(quota_excess.get(a.plan, 0.0), beyond)
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
            beyond = ceiling[member_key].add_units(r.at, a.units, p.ceiling_rate) - p.ceiling_burst
            ceiling_excess[a.plan] = max(ceiling_excess.get(a.plan, -p.ceiling_burst), beyond)
            if beyond > rules.ceiling_slack_s * p.ceiling_rate + p.ceiling_error:
                breaches.append(
                    Breach("ceiling", r.at, f"member {a.member} of {a.plan}: {beyond:.2f} units" f" beyond its ceiling")
                )
    return quota_excess, ceiling_excess, breaches


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
            f.response_times.append(r.at - a2.at)
        elif r.status in REFUSALS:
            f.refused += 1
        else:
            f.failed += 1
    return dict(out)
