"""Fault scripts, the requests drawn by the front, and whole fleets under faults."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from standins.deployments import MATCHING
from standins.faults import ACTIONS, Fault, ScriptError, play_script, read_script
from standins.fleet import Fleet, run_fleet
from standins.fleet_options import Options
from standins.front import Traffic, draw_requests
from standins.records import Crashed, Ran, Records
from tests.net.sockets import run

SCRIPTS = sorted(Path("examples/faults").glob("*.toml"))


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda p: p.stem)
def test_the_example_scripts_can_be_played(path):
    faults = read_script(path)
    assert faults and faults == sorted(faults) and all(f.do in ACTIONS for f in faults)


@pytest.mark.parametrize(
    "text,error",
    [
        ("x", "script.toml"),
        ("[[faults]]\n", "expected .*fault"),
        ("fault = 3", "expected .*fault"),
        ("[[fault]]\nat = 1\ndo = 'match.eat'", "fault 1: do: expected one of"),
        ("[[fault]]\nat = 1", "fault 1: do"),
        ("[[fault]]\ndo = 'counter.restart'", "fault 1: at: missing"),
        ("[[fault]]\nat = -1\ndo = 'counter.restart'", "at: expected a number of 0 or more"),
        ("[[fault]]\nat = true\ndo = 'counter.restart'", "at: expected a number"),
        ("[[fault]]\nat = 1\ndo = 'match.kill'", "target: missing"),
        ("[[fault]]\nat = 1\ndo = 'match.kill'\ntarget = 0.5", "target: expected a whole number"),
        ("[[fault]]\nat = 1\ndo = 'counter.restart'\nfor = 1", "for: counter.restart takes no such key"),
        ("[[fault]]\nat = 1\ndo = 'relay.loss'", "value: missing"),
        ("[[fault]]\nat = 1\ndo = 'relay.loss'\nvalue = 0.1\nsize = 3", "size: relay.loss takes no such key"),
    ],
)
def test_a_bad_script_is_named_by_file_fault_and_key(tmp_path, text, error):
    path = tmp_path / "script.toml"
    path.write_text(text)
    with pytest.raises(ScriptError, match=error):
        read_script(path)


def test_a_target_that_is_not_there_is_refused_before_the_start(tmp_path):
    with pytest.raises(ScriptError, match="below 2, got 2"):
        Fleet(Options(servers=2, faults=(Fault(1.0, "match.kill", 2),)), tmp_path)


def test_faults_are_switched_on_and_off_in_order():
    async def main():
        seen = []

        async def slow():
            seen.append("waited for")

        def switch(fault, on):
            seen.append((fault.do, on))
            return slow() if fault.do == "b" else None

        await play_script([Fault(0.0, "a", duration_s=0.03), Fault(0.01, "b")], switch)
        assert seen == [("a", True), ("b", True), "waited for", ("a", False)]

    run(main())


def test_traffic_is_the_same_for_a_seed_and_spreads_over_ingresses():
    traffic = Traffic(5.0, 200.0, {"basic": 5, "plus": 2}, MATCHING.classes, seed=4)
    plans = draw_requests(traffic, 3)
    assert plans == draw_requests(traffic, 3) and plans != draw_requests(
        Traffic(5.0, 200.0, {"basic": 5}, MATCHING.classes, seed=5), 3
    )
    assert 800 < len(plans) < 1200 and {p.ingress for p in plans} == {0, 1, 2}
    assert {(p.plan, p.cls) for p in plans} == {(p, c) for p in ("basic", "plus") for c in MATCHING.classes}


@pytest.mark.parametrize("script", [p.stem for p in SCRIPTS])
def test_a_fleet_keeps_the_rules_under_each_script(script):
    async def main():
        faults = tuple(
            f._replace(at=f.at / 2, duration_s=f.duration_s / 2) for f in read_script(f"examples/faults/{script}.toml")
        )
        records = Records()
        verdict, cpu, sent = await run_fleet(
            Options(servers=6, seconds=4.0, rate=60.0, faults=faults, loss=0.0), records=records
        )
        assert verdict.kept, verdict.lines()
        assert sent > 150 and cpu > 0 and sum(1 for _ in records.of_kind(Ran)) > 50
        assert sum(1 for _ in records.of_kind(Crashed)) == {"restarts": 2, "lost-hall": 4}.get(script, 0)

    asyncio.run(asyncio.wait_for(main(), 60))


def test_the_command_line_says_what_is_wrong(tmp_path):
    def standins(*args):
        done = subprocess.run([sys.executable, "-m", "standins", *args], capture_output=True, text=True, timeout=60)
        return done.returncode, done.stderr

    assert standins("fleet", "--servers", "0") == (2, "standins: --servers: expected 1 or more, got 0\n")
    code, error = standins("fleet", "--faults", str(tmp_path / "none"))
    assert code == 2 and "none: " in error and error.count("\n") == 1
    code, error = standins("audit", str(tmp_path / "none"))
    assert code == 2 and error.count("\n") == 1
