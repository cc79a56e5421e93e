"""Compares both forms of the ingress: the same requests must lead to the same decisions, answers and counts.

The clock and the counter are scripted, so that the forms can be compared exactly: every event passed to the decision
module and every action it returned, not only the answers. A second test runs in real time, with faults and concurrent
requests.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace
from typing import NamedTuple

import pytest

from standins.auditor import audit
from standins.counter import Counter
from standins.front import Front, RequestClass, Traffic
from standins.records import Added
from standins.verdict import PlanRule, Rules
from tests.embed.forms import FORMS, HOST, INSTANCES, Script
from tests.net.sockets import call
from thistleusher.core import events
from thistleusher.core.actions import Action, Fail, Refuse, SendToPeer
from thistleusher.core.events import Event, Outcome

STEPS = 2400
START = 1_700_000_000.0
EFFECTS = {"browse": "safe", "send-message": "keyed", "charge": "unsafe"}


class Step(NamedTuple):
    """One request of the recorded sequence."""

    wait: float
    instance: int
    name: str
    raw: bytes
    work: float
    error: bool
    true: str


def recorded(seed: int) -> list[Step]:
    """Return a sequence in which members use up quotas, change instances and retry; some requests are invalid."""
    rng = random.Random(seed)
    out: list[Step] = []
    for n in range(STEPS):
        member = min(int(rng.expovariate(0.15)), 40)
        plan = "plus" if member % 4 == 0 else "basic"
        cls = rng.choices(list(EFFECTS), (0.65, 0.25, 0.1))[0]
        units, first = rng.randint(1, 4), member % INSTANCES
        lines: dict[str, str | None] = {
            "X_Tier": plan,
            "X_Call_Terms": f"units={units},spread=3,first={first}",
            "X_Again": "1" if n % 7 == 0 else None,
            "Idempotency_Key": f"k{n}" if cls == "send-message" else None,
        }
        if n % 97 == 0:
            lines["X_Tier"] = "gold"
        if n % 101 == 0:
            lines["X_Call_Terms"] = "units=0,spread=3,first=0"
        path = f"/api/{member:016x}" if n % 103 else "/nowhere"
        raw = call(f"q{n}", cls, budget="30000m", path=path, **lines)
        raw = raw if cls != "browse" else raw.replace(b"POST ", b"GET ", 1)
        out.append(
            Step(
                rng.expovariate(25.0),
                (first + rng.choice((0, 0, 0, 1, 2))) % INSTANCES,
                f"q{n}",
                raw,
                rng.expovariate(100.0),
                rng.random() < 0.02,
                rng.choice(("", "", "1", "3.5", "junk")),
            )
        )
    return out


class RunResult(NamedTuple):
    answers: list[tuple[int, str, bytes]]
    logs: list[list[tuple[float, Event, list[Action]]]]
    added: list[tuple[str, float, float]]
    totals: dict[str, float]


async def play(form: str, steps: list[Step], folder) -> RunResult:
    script = Script(START)
    counter = Counter(clock=script.time)
    await counter.start()
    answers = []
    async with FORMS[form](script, counter, folder=folder) as group:
        for app in group.apps:
            app.error_ids = {s.name for s in steps if s.error}
            app.true = {s.name: s.true for s in steps if s.true}
        for step in steps:
            await group.advance(step.wait)
            group.apps[step.instance].work = step.work
            status, headers, body = await group.clients[step.instance].ask(step.raw)
            answers.append((status, headers.get("retry-after", ""), body if status == 200 else b""))
            if headers.get("connection") == "close" or status in (400, 404):
                group.clients[step.instance].writer.close()
                group.clients[step.instance] = await type(group.clients[0]).connect(group.ports[step.instance])
            await group.wait_until_quiescent()
        await group.advance(1.0)
        logs = [list(r.log) for r in group.recorders]
        added = [(a.name, a.amount, a.total) for a in counter.records.of_kind(Added)]
        totals = counter.totals()
    await counter.stop()
    return RunResult(answers, logs, added, totals)


def as_middleware_entry(entry):
    """Convert a daemon's log entry to the middleware's, for a request that the application answered 500 itself."""
    now, event, actions = entry
    if isinstance(event, events.AttemptEnded) and event.outcome is Outcome.ERROR and not event.done:
        assert [type(a) for a in actions] in ([Refuse], [Fail])
        return now, replace(event, done=True), []
    return entry


def test_the_same_requests_give_the_same_decisions_answers_and_counts(tmp_path):
    steps = recorded(11)

    async def main():
        return [await play(form, steps, tmp_path) for form in FORMS]

    daemon, middleware = asyncio.run(asyncio.wait_for(main(), 120))
    # The only intended difference: an application's own 500 is the final answer; a backend's 500 is not passed on.
    wrong = [
        (s.name, a, b)
        for s, a, b in zip(steps, daemon.answers, middleware.answers, strict=True)
        if a != b and not (s.error and a[0] in (502, 503) and b[0] == 500)
    ]
    assert not wrong, wrong[:5]
    for one, other in zip(daemon.logs, middleware.logs, strict=True):
        for a, b in zip(one, other, strict=True):
            assert as_middleware_entry(a) == b
    assert daemon.added == middleware.added and daemon.totals == middleware.totals
    statuses = [a[0] for a in middleware.answers]
    assert len(statuses) == STEPS and all(statuses.count(s) > n for s, n in ((200, 500), (429, 300), (400, 20)))
    assert statuses.count(404) > 10 and statuses.count(500) > 5
    sent = sum(isinstance(a, SendToPeer) and a.peer is None for log in daemon.logs for _, _, acts in log for a in acts)
    received = sum(isinstance(e, events.PeerMessage) for log in daemon.logs for _, e, _ in log)
    assert sent > 500 and received >= sent * (INSTANCES - 1)


@pytest.mark.parametrize("form", FORMS)
def test_under_faults_and_many_at_once_both_forms_keep_the_rules(form, tmp_path):
    async def main():
        counter = Counter(seed=3, delay=0.001)
        await counter.start()
        classes = {
            "browse": RequestClass("safe", 0.65, 2.0),
            "send-message": RequestClass("keyed", 0.25, 2.0),
            "charge": RequestClass("unsafe", 0.1, 2.0),
        }
        traffic = Traffic(3.0, 150.0, {"basic": 30, "plus": 6}, classes, seed=9)
        async with FORMS[form](None, counter, folder=tmp_path, timeout=0.08) as group:
            for app in group.apps:
                app.delay = 0.004
                app.error_ids = {f"op{n}.0" for n in range(0, 450, 23)}
            front = Front([(HOST, p) for p in group.ports], traffic, group.records)
            running = asyncio.create_task(front.run())

            async def sent(count):
                while front.sent < count and not running.done():  # noqa: ASYNC110 (polls a state of the same loop)
                    await asyncio.sleep(0.005)

            await sent(60)  # faults are injected by number of requests sent, not by time
            counter.lost_answer_fraction, counter.garbled_answer_fraction = 0.2, 0.2
            await sent(120)
            counter.lost_answer_fraction = counter.garbled_answer_fraction = 0.0
            counter.silence(True)
            await sent(200)
            counter.silence(False)
            await sent(260)
            counter.restart_from_zero()
            await sent(320)
            counter.refusing = True
            await sent(360)
            counter.refusing = False
            await running
        await counter.stop()
        rules = Rules(
            {"basic": PlanRule(2.4, 10.0), "plus": PlanRule(16.0, 36.0, 29.0, 65.0)},
            EFFECTS,
            passes_server_errors=form == "middleware",
        )
        verdict = audit(group.records.all, rules)
        assert verdict.kept, verdict.lines()
        assert front.sent > 360 and front.status_counts[200] > 150 and front.status_counts.get(429, 0) > 0
        return verdict

    asyncio.run(asyncio.wait_for(main(), 60))


def test_the_recorded_sequence_is_the_same_every_time():
    assert recorded(11) == recorded(11) and recorded(11) != recorded(12)
    assert time.time() > START  # the scripted time is in the past, so the real clock cannot match it
