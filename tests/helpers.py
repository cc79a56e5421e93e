"""A gateway that tests drive one event at a time, with scripted replies of the counter."""

from __future__ import annotations

from typing import Any

from thistleusher.core import events
from thistleusher.core.actions import Action, Attempt, CounterAdd
from thistleusher.core.events import BackendEntry, Event, ListKind, Outcome, Phase
from thistleusher.core.settings import ClassSettings, Effect, Group, PlanSettings, Settings
from thistleusher.policy import Gateway

SAFE = ClassSettings("read", Effect.SAFE, objective=2.0, deadline=6.0)
KEYED = ClassSettings("pay", Effect.KEYED, objective=2.0, deadline=6.0, worth=5, window=1.0)
ZONED = ClassSettings("zoned", Effect.KEYED, 2.0, 6.0, group=Group.ZONE, window=1.0)
UNSAFE = ClassSettings("once", Effect.UNSAFE, objective=2.0, deadline=6.0, worth=3)
PLAN = PlanSettings("basic", rate=2.0, burst=8.0)
CEILED = PlanSettings("plus", rate=10.0, burst=20.0, ceiling_rate=16.0, ceiling_burst=32.0)


class Ingress:
    """Drives one gateway on a scripted clock.

    `counter` sets how the counter replies: "up" (the default), "silent", "refusing" or "timeout".
    """

    def __init__(self, backends: int = 4, now: float = 100.0, born: float = 0.0, seed: int = 1, **more: Any) -> None:
        args: dict[str, Any] = dict(
            classes=(SAFE, KEYED, ZONED, UNSAFE),
            plans=(PLAN, CEILED),
            counter=True,
            counter_timeout=0.08,
            max_attempts=4,
            may_cancel=True,
            settles=True,
            instances=1,
            zone="z0",
            step=0.002,
            start_capacity=0.2,
            cold_time=10.0,
            fall_multiple=2.5,
            fall_after=1.0,
            max_retry_after=1.0,
        )
        args.update(more)
        self.now, self.n = now, 0
        self.gw = Gateway(Settings(**args), seed, now)
        self.counts: dict[int, float] = {}
        self.log: list[Action] = []
        self.counter = "up"
        self.give(
            events.ListUpdate(
                ListKind.SAVED,
                1,
                tuple(
                    BackendEntry(f"b{i}", Phase.RUNNING, born=born, zone=f"z{i % 2}", cell=i) for i in range(backends)
                ),
            )
        )

    def give(self, event: Event) -> list[Action]:
        """Deliver one event, then the counter's replies to the resulting adds; return all actions."""
        todo, seen = [event], []
        while todo:
            for a in self.gw.handle(self.now, todo.pop(0)):
                seen.append(a)
                if isinstance(a, CounterAdd) and self.counter != "silent":
                    todo.append(self.count(a))
        self.log += seen
        return seen

    def count(self, a: CounterAdd) -> events.CounterReply:
        """Return the counter's reply to one add."""
        if self.counter == "refusing":
            return events.CounterReply(a.name, Outcome.CONNECT_FAILED, 0.001, 0.0)
        if self.counter == "timeout":
            return events.CounterReply(a.name, Outcome.TIMEOUT, 0.08, 0.0)
        self.counts[a.name] = self.counts.get(a.name, 0.0) + a.amount
        return events.CounterReply(a.name, Outcome.OK, 0.001, self.counts[a.name])

    def ask(
        self,
        cls: str = "read",
        units: float = 1.0,
        customer: int = 7,
        plan: str = "basic",
        expires: float = 6.0,
        width: int = 2,
    ) -> list[Action]:
        """Deliver one request; the ids of successive requests are r1, r2, ..."""
        self.n += 1
        return self.give(events.Request(f"r{self.n}", cls, plan, customer, expires, units, width))

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome = Outcome.OK,
        n: int = 0,
        elapsed: float = 0.1,
        true: float = 0.0,
        done: bool | None = None,
    ) -> list[Action]:
        """Deliver the outcome of an attempt."""
        ok = outcome is Outcome.OK if done is None else done
        return self.give(
            events.AttemptEnded(attempt.request, n, attempt.backend, outcome, elapsed, ok, true_units=true)
        )

    def beat(self, seconds: float) -> list[Action]:
        """Advance the clock by `seconds` in steps of 0.05 s and fire the timer at each step; return all actions."""
        out: list[Action] = []
        stop = self.now + seconds
        while self.now < stop - 1e-9:
            self.now += 0.05
            out += self.give(events.TimerFired(0))
        return out


def only(actions: list[Action], kind: type) -> Any:
    """Return the only action of a kind; fail if there is not exactly one."""
    found = [a for a in actions if isinstance(a, kind)]
    assert len(found) == 1, actions
    return found[0]


def some(actions: list[Action], kind: type) -> list[Any]:
    """Return all actions of a kind."""
    return [a for a in actions if isinstance(a, kind)]
