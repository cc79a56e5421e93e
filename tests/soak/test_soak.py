"""The soak finds failures, stores them, minimizes them and replays them."""

from __future__ import annotations

import json
import logging
import random
from dataclasses import replace
from pathlib import Path

import pytest

from soak import fleets, inputs, moments, readers, suites
from soak.__main__ import main
from soak.case import KINDS, Case, CaseError, Outcome, read_case
from soak.mutate import Corpus, minimize_bytes, mutate
from soak.reader_tools import RuleBrokenError
from soak.runner import Soak, run_case
from soak.shrink import shrink
from standins.fleet import Fleet

REGRESSIONS = sorted(Path("tests/regressions").glob("*.json"))


@pytest.fixture(autouse=True)
def quiet():
    logging.disable(logging.CRITICAL)  # thousands of malformed inputs would be logged
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("path", REGRESSIONS, ids=lambda p: p.stem)
def test_what_was_found_once_does_not_come_again(path):
    case = read_case(path)
    assert case.kind == "bytes"  # fleets take seconds each: `python -m soak --replay FILE`
    assert run_case(case)[0].failure == ""


@pytest.mark.parametrize("target", sorted(readers.READERS))
def test_every_reader_takes_its_good_inputs_and_hundreds_of_spoilt_ones(target):
    check, given = readers.READERS[target]
    for data in given:
        check(data, random.Random(1))
    outcome = inputs.run(Case("bytes", 5, {"target": target, "count": 400}))
    assert outcome == Outcome(count=400)


def test_mutation_is_fixed_by_its_seed_and_what_shows_something_new_is_kept():
    corpus = [b"abc" * 10, b"xyz"]
    assert all(mutate(random.Random(n), corpus) == mutate(random.Random(n), corpus) for n in range(50))
    kept = Corpus(corpus)
    for shown in ("one", "two", "one"):
        kept.add_if_new(shown.encode(), shown)
    assert kept.inputs == [*corpus, b"one", b"two"]


def test_a_broken_reader_is_found_cut_down_and_replayed(monkeypatch, tmp_path, capsys):
    def check(data, rng):
        if b"\xff" in data and b"0" in data:
            raise RuleBrokenError("input holds both bytes")
        return len(data) % 7

    monkeypatch.setitem(readers.READERS, "answer", (check, readers.READERS["answer"][1]))
    case = Case("bytes", 3, {"target": "answer", "count": 5000})
    outcome = inputs.run(case)
    assert outcome.failure.startswith("input holds both bytes") and outcome.count < 5000
    least = inputs.minimize(case, outcome)
    assert sorted(bytes.fromhex(least.size["data"])) == [ord("0"), 0xFF]
    path = tmp_path / "found.json"
    least.write(path, outcome.failure)
    assert main(["--replay", str(path)]) == 1 and "input holds both bytes" in capsys.readouterr().out
    monkeypatch.undo()
    assert main(["--replay", str(path)]) == 0


def test_cutting_down_keeps_what_matters():
    assert minimize_bytes(b"a" * 300 + b"needle" + b"b" * 300, lambda d: b"needle" in d) == b"needle"
    assert minimize_bytes(b"abc", lambda d: True) == b""


def test_shrinking_takes_the_smallest_that_fails_by_the_same_part():
    def run(case):
        faults = case.size["faults"]
        return Outcome("x", "quota") if 7 in faults else Outcome("y", "lost") if faults else Outcome()

    def smaller_cases(case):
        faults = case.size["faults"]
        return [case.with_size(faults=faults[:n] + faults[n + 1 :]) for n in range(len(faults))]

    case = Case("fleet", 1, {"faults": list(range(10))})
    least, why = shrink(case, run(case), smaller_cases, run)
    assert least.size["faults"] == [7] and why.check == "quota"
    assert shrink(case, run(case), smaller_cases, run, tries=3)[0].size["faults"] != [
        7
    ]  # the number of tries is limited


def test_fleets_are_drawn_by_seed_and_every_script_can_be_played(tmp_path):
    assert fleets.draw(7) == fleets.draw(7) != fleets.draw(8)
    for seed in range(200):
        case = fleets.draw(seed)
        Fleet(fleets.options_of(case), tmp_path)  # raises ScriptError if a target does not exist
        for other in fleets.smaller_cases(case):
            Fleet(fleets.options_of(other), tmp_path)
            assert other != case
    assert {f[1] for s in range(200) for f in fleets.draw(s).size["faults"]} == set(fleets.ACTIONS)


def test_a_small_fleet_under_a_random_script_breaks_nothing_and_a_wrong_bound_is_seen(monkeypatch):
    case = Case(
        "fleet",
        4,
        {
            "ingresses": 3,
            "servers": 4,
            "seconds": 2.0,
            "rate": 60.0,
            "basic": 2,
            "plus": 1,
            "move": 0.5,
            "faults": [[0.3, "counter.silence", 0, 1.0, 0.0], [0.5, "relay.loss", 0, 0.5, 0.2]],
        },
    )
    outcome, _ = run_case(case)
    assert outcome.failure == "" and outcome.count > 60
    sound = fleets.plan_rules
    monkeypatch.setattr(fleets, "plan_rules", lambda o: {n: replace(r, error=-5.0) for n, r in sound(o).items()})
    outcome, _ = run_case(case)
    assert outcome.check == "quota" and "beyond its quota" in outcome.failure


def test_restarts_of_all_within_a_short_time_count_as_joint():
    from standins.faults import Fault

    def kills(*at):
        return [Fault(t, "ingress.kill", n) for n, t in at]

    assert fleets.joint_restarts(kills((0, 1.0), (1, 1.1), (2, 1.2)), 3) == 1
    assert fleets.joint_restarts(kills((0, 1.0), (1, 1.1)), 3) == 0
    assert fleets.joint_restarts(kills((0, 1.0), (1, 1.1), (2, 1.2), (0, 2.0), (1, 2.0), (2, 2.0)), 3) == 2


def test_a_soak_stops_at_the_first_failure_keeps_it_and_says_so(tmp_path, monkeypatch):
    said = []
    soak = Soak(9, 0.02, 2, ("bytes",), tmp_path, log=said.append)
    report = soak.run()
    assert report.cases["bytes"] >= 2 and not report.found and report.counts["bytes"] >= 1500
    assert report.lines()[0].startswith("seed 9")
    case = Case("fleet", 4, {"ingresses": 0})  # invalid case: an exception of the soak itself is also reported
    calls = []
    pool = type(
        "Pool", (), {"submit": lambda self, *call: calls.append(call)}
    )()  # minimized in the pool, while other cases run
    soak.record_result(case, type("Done", (), {"result": lambda self: run_case(case)})(), pool)
    kept = soak.minimizations[None]
    least = Case("fleet", 4, {"ingresses": -1})
    assert calls[0][1] == case and kept == (tmp_path / "fleet-4.json", 0)
    soak.store_minimized(*kept, type("Done", (), {"result": lambda self: (least, Outcome("smaller", "soak"))})())
    assert read_case(tmp_path / "fleet-4.json") == least and report.found[0][1] == "smaller"
    assert report.found and "FOUND" in report.lines()[-1]
    assert json.loads((tmp_path / "fleet-4.json").read_text())["found"] == "smaller"


def test_suites_run_with_their_seed(monkeypatch):
    case = suites.draw(3, 2.0)
    assert case.size["examples"] == 2400 and suites.smaller_cases(case)[0].size["schedules"] == 120
    good = Case("suite", 5, {"test": "tests/quota/test_placement.py", "examples": 10, "schedules": 8})
    assert suites.run(good) == Outcome(count=8)
    assert suites.run(good.with_size(test="tests/no_such_test.py")).failure


def test_a_test_that_hangs_on_the_hour_is_found_and_one_that_does_not_is_not(tmp_path):
    path = tmp_path / "test_hour.py"
    path.write_text(
        "import subprocess, sys, time\nfrom pathlib import Path\n"
        "def test_hour():\n"
        "    child = subprocess.check_output([sys.executable, '-c', 'import time; print(time.time())'])\n"
        "    now = Path(__file__).with_name('now'); now.touch()\n"
        "    assert abs(now.stat().st_mtime - float(child)) < 60\n"
        "    assert abs(time.time() - time.time_ns() / 1e9) < 60\n"
    )
    case = Case("moment", 1, {"test": str(path), "moved": 7200.0})
    found = moments.run(case)
    assert "test_hour" in found.failure and found.check == str(path)
    assert [moments.run(c) for c in moments.smaller_cases(case)] == [Outcome()]
    drawn = [moments.draw(n).size for n in range(20 * len(moments.test_files()))]  # enough for each file to be drawn
    assert {d["test"] for d in drawn} == set(moments.test_files()) and max(d["moved"] for d in drawn) > 80_000


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{}",
        '{"kind": "fleet"}',
        '{"kind": "x", "seed": 1}',
        '{"kind": "bytes", "seed": 1.5}',
        '{"kind": "bytes", "seed": 1, "size": 3}',
    ],
)
def test_a_file_that_is_no_case_is_named(tmp_path, text, capsys):
    path = tmp_path / "case.json"
    path.write_text(text)
    with pytest.raises(CaseError, match="case.json"):
        read_case(path)
    assert main(["--replay", str(path)]) == 2 and capsys.readouterr().err.count("\n") == 1
    assert main(["--workers", "0"]) == 2
    assert set(KINDS) == {"fleet", "bytes", "suite", "moment"}
