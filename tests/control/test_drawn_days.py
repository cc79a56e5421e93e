"""Randomly drawn simulated days violate no rule, and the rule checker detects a fault."""

import ast
from pathlib import Path

import pytest

from simnet.core.days import draw
from simnet.core.runs import run
from simnet.errors import RuleViolationError
from tests.control.helpers import VIEW, finish_after, founded_core, put_configuration, wait_until_acknowledged
from thistleusher.control.interface import StoredState
from thistleusher.control.node import ControlNode
from thistleusher.transport.messages import (
    Position,
    ViewRecord,
)


@pytest.mark.parametrize("seed", [4000043, 2000105, 3000395])
def test_days_that_were_found_and_fixed(seed):
    """Guards against two eligible machines that alternate as candidates and end each other's elections forever."""
    run(seed)


@pytest.mark.parametrize("first", range(0, 80, 10))
def test_drawn_days_break_no_rule(first):
    for seed in range(first, first + 10):
        run(seed)


def test_a_day_is_the_same_each_time():
    assert run(7).log == run(7).log
    assert draw(7) == draw(7)


def test_the_time_of_day_is_read_nowhere_but_for_names():
    """The system clock may jump, so only the steady clock may be used; in the simulation each machine has its own."""
    found = []
    for package in ("common", "configuration", "transport", "control", "registry", "proxy"):
        for path in Path("thistleusher", package).rglob("*.py"):
            for part in ast.walk(ast.parse(path.read_text())):
                if not isinstance(part, ast.Attribute):
                    continue
                owner = getattr(part.value, "id", "")
                if part.attr in ("time_ns", "now", "utcnow", "today") or (part.attr == "time" and owner == "time"):
                    found.append((path.name, owner, part.attr))
    assert [f for f in found if f[1] in ("time", "datetime", "date")] == [("incarnations.py", "time", "time_ns")]


def test_the_checker_sees_a_wiped_machine_that_votes(monkeypatch):
    """If a machine with a wiped disk may vote at once, a rule is violated and the checker reports it."""
    real = ControlNode.__init__

    def init_with_vote(self, me, zone, seeds, stored, *rest, **more):
        if stored.view is None:
            stored = StoredState(promised=1, view=ViewRecord(1, "10.0.0.1", ("10.0.0.2",), dict(VIEW.voters)))
            stored.position = Position(1, 0, 0)
        real(self, me, zone, seeds, stored, *rest, **more)

    monkeypatch.setattr(ControlNode, "__init__", init_with_vote)
    core = founded_core()
    wait_until_acknowledged(core, put_configuration(core))
    with pytest.raises(RuleViolationError):
        for machine in core.machines.values():
            wiped = machine.address == "10.0.0.1"
            core.end(machine, power=True, wipe=wiped, restart_s=30.0 if machine.address == "10.0.0.2" else 0.5)
        core.operators.read()
        finish_after(core)
