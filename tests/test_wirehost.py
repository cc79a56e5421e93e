"""The simulator's adapter: every event and action, absent fields, unknown settings and malformed lines."""

from __future__ import annotations

import io as stdio
import subprocess
import sys

import pytest

from thistleusher import wire_codec, wirehost
from thistleusher.core import actions, events
from thistleusher.core.events import BackendEntry, ListKind, Outcome, Phase
from thistleusher.core.settings import Effect
from thistleusher.core.text_fields import InvalidSettingError

BORN = (
    "BORN 3 17 balancers=2 me=1 zone=z0 step=0.002 extra.counter=true extra.counterTimeout=0.08 "
    "classes.count=1 classes.0.name=read classes.0.semantics=retryable classes.0.objective=2.0 "
    "classes.0.hardLimit=6.0 plans.count=1 plans.0.name=basic plans.0.rate=2.0 plans.0.storeSize=8.0 "
    "limits.maxAttempts=3 loadReport.how=piggyback loadReport.fields=latency_ms,util unheard.of=5"
)
ROW = "ROW 1 std Running 10.0.0.1:80 0 - z0"


class Recorder:
    """A fake decision module that records events and returns the given actions for each."""

    def __init__(self, answer=()):
        self.events, self.answer, self.settings = [], list(answer), None

    def __call__(self, settings, seed, now):
        self.settings, self.seed = settings, seed
        return self

    def handle(self, now, event):
        self.events.append(event)
        return self.answer


def host(answer=()):
    rec = Recorder(answer)
    h = wirehost.Host(rec)
    h.process_batch(["CLOCK 1.5", BORN])
    return h, rec


@pytest.mark.parametrize(
    "lines,event",
    [
        (
            ["UPDATE 3 SAVED 4 1", ROW],
            events.ListUpdate(
                ListKind.SAVED, 4, (BackendEntry("10.0.0.1:80", Phase.RUNNING, 1.0, "std", 0, 0.0, "z0"),)
            ),
        ),
        (["UPDATE 3 FAILED 4 0"], events.ListUpdate(ListKind.FAILED, 4, ())),
        (
            ["WORK_ITEM 3 abc read basic 99 0.24 2 3 1 6"],
            events.Request("abc", "read", "basic", 99, 0.24, 2.0, 3, 1, True, True),
        ),
        (["WORK_ITEM 3 abc read basic 99 0.24 2 - - -"], events.Request("abc", "read", "basic", 99, 0.24, 2.0)),
        (
            ["RETURNED 3 abc 0 b:1 success 0.02 1 86 3 14.5,0.62"],
            events.AttemptEnded("abc", 0, "b:1", Outcome.OK, 0.02, True, 86, 3.0, {"latency_ms": 14.5, "util": 0.62}),
        ),
        (["RETURNED 3 abc 1 b:1 void 0 0 - - -"], events.AttemptEnded("abc", 1, "b:1", Outcome.MOOT, 0.0, False)),
        (["TALLIED 3 0.002 77 success 38"], events.CounterReply(77, Outcome.OK, 0.002, 38.0)),
        (["TALLIED 3 0.08 77 timed_out -"], events.CounterReply(77, Outcome.TIMEOUT, 0.08, 0.0)),
        (["FIRED 3 9"], events.TimerFired(9)),
        (["EXPIRED 3 abc"], events.ClientGone("abc")),
        (["UNDER_WAY 3 abc 0.1 b:1 0"], events.AttemptStarted("abc", 0, "b:1", 0.1)),
        (["PROBE_DONE 3 b:1 success 0.1 -"], events.ProbeEnded("b:1", Outcome.OK, 0.1)),
        (["HEARD 3 2 68692037"], events.PeerMessage(2, b"hi 7")),
        (["HEARD 3 2 -"], events.PeerMessage(2, b"")),
    ],
)
def test_every_event(lines, event):
    h, rec = host()
    h.process_batch(["CLOCK 2", *lines])
    assert rec.events == [event]


@pytest.mark.parametrize("wire,outcome", sorted(wire_codec.OUTCOMES.items()))
def test_every_outcome(wire, outcome):
    h, rec = host()
    h.process_batch(["CLOCK 2", f"RETURNED 3 abc 0 b:1 {wire} 0.02 0 0 0 -"])
    assert rec.events[0].outcome is outcome


@pytest.mark.parametrize(
    "action,line",
    [
        (actions.Attempt("abc", "b:1", 0.08), "SUBMIT_TO 3 abc b:1 0.080000"),
        (actions.Attempt("abc", "b:1"), "SUBMIT_TO 3 abc b:1 0"),
        (actions.CounterAdd(77, -4.0, 3.0), "COUNT 3 3.000000 77 -4"),
        (actions.CounterAdd(77, 0.5, 3.0), "COUNT 3 3.000000 77 0.500000"),
        (actions.Refuse("abc", 0.25), "DECLINE 3 abc 0.250000"),
        (actions.Fail("abc"), "FINISH_ERROR 3 abc"),
        (actions.SetTimer(0.5, 7), "DEFER 3 0.500000 7"),
        (actions.CancelAttempt("abc", 1), "DROP_ATTEMPT 3 abc 1"),
        (actions.Probe("b:1"), "TOUCH 3 b:1"),
        (actions.CloseIdle("b:1"), "CLOSE_IDLE 3 b:1"),
        (actions.SendToPeer(None, b"hi 7"), "MEMO_TO 3 * 68692037"),
        (actions.SendToPeer(2, b"a"), "MEMO_TO 3 2 61"),
        (actions.Subscribe(True), "FOLLOW 3 1"),
        (actions.FetchList(), "GET_LIST 3"),
        (actions.Log("two\nlines"), "EMIT 3 two lines"),
    ],
)
def test_every_action(action, line):
    h, _ = host([action])
    assert h.process_batch(["CLOCK 2", "FIRED 3 1"]) == [line]


def test_settings_arrive_in_the_fields_terms_and_unknown_keys_are_passed_over():
    _, rec = host()
    s = rec.settings
    assert (s.instances, s.me, s.counter, s.max_attempts, s.load_in_answers) == (2, 1, True, 3, True)
    assert s.classes[0].effect is Effect.SAFE
    assert s.plans[0].burst == 8.0 and s.plans[0].ceiling_rate == 0.0
    assert rec.seed == 17


@pytest.mark.parametrize("key", ["balancers", "classes.0.semantics", "plans.0.rate", "plans.count"])
def test_a_missing_required_setting_is_named(key):
    born = " ".join(p for p in BORN.split(" ") if not p.startswith(key + "="))
    with pytest.raises(InvalidSettingError, match=key):
        wirehost.Host(Recorder()).process_batch(["CLOCK 1", born])


def test_a_stopped_instance_is_forgotten():
    h, _ = host()
    assert h.process_batch(["CLOCK 2", "CRASH_NOW 3"]) == [] and not h.instances


def test_a_fault_in_the_decisions_is_declared_on_the_wire():
    class Broken(Recorder):
        def handle(self, now, event):
            raise RuntimeError("no\nidea")

    h = wirehost.Host(Broken())
    h.process_batch(["CLOCK 1", BORN])
    assert h.process_batch(["CLOCK 2", "FIRED 3 1"]) == ["EXCEPTION 3 RuntimeError: no idea"]


@pytest.mark.parametrize(
    "text,words",
    [
        ("TICK 1\nEND\n", ["batch", "CLOCK"]),
        ("CLOCK x\nEND\n", ["CLOCK", "clock", "number"]),
        (f"CLOCK 1\n{BORN}\nFIRED 3\nEND\n", ["FIRED", "fields"]),
        (f"CLOCK 1\n{BORN}\nFIRED 3 -4\nEND\n", ["FIRED", "ctx"]),
        (f"CLOCK 1\n{BORN}\nJUMP 3 1\nEND\n", ["message", "JUMP"]),
        ("CLOCK 1\nFIRED 3 1\nEND\n", ["FIRED", "ingress"]),
        (f"CLOCK 1\n{BORN}\nUPDATE 3 FULL 1 2\n{ROW}\nEND\n", ["UPDATE", "rows"]),
        (f"CLOCK 1\n{BORN}\nRETURNED 3 a 0 b what 0 0 0 0 -\nEND\n", ["RETURNED", "reason"]),
        (f"CLOCK 1\n{BORN}\nRETURNED 3 a 0 b success 0 1 0 0 1,2,3\nEND\n", ["RETURNED", "gauge"]),
        (f"CLOCK 1\n{BORN}\nWORK_ITEM 3 a odd basic 1 1 1 1 0 0\nEND\n", ["WORK_ITEM", "service", "odd"]),
        (f"CLOCK 1\n{BORN}\nWORK_ITEM 3 a read basic 1 nan 1 1 0 0\nEND\n", ["WORK_ITEM", "expiresIn"]),
        (f"CLOCK 1\n{BORN.replace('rate=2.0', 'rate=-2.0')}\nEND\n", ["plans.rate"]),
        ("CLOCK 1\n", ["END"]),
    ],
)
def test_malformed_lines_end_in_one_plain_line(text, words):
    command = [sys.executable, "-m", "thistleusher.wirehost"]
    got = subprocess.run(command, input=text, capture_output=True, text=True)
    assert got.returncode != 0 and got.stdout == ""
    assert got.stderr.count("\n") == 1 and "Traceback" not in got.stderr
    for word in words:
        assert word in got.stderr


def test_batches_in_replies_out():
    sink = stdio.StringIO()
    ask = "WORK_ITEM 3 5d3a91c4-21fb-4fae-a97b-58cf5277f8bc read basic 4569004829183723 0.1 2 3 1 1"
    text = f"CLOCK 1\nEND\nCLOCK 2\n{BORN}\nUPDATE 3 SAVED 1 1\n{ROW}\n{ask}\nEND\n"
    wirehost.serve(stdio.StringIO(text), sink)
    lines = sink.getvalue().split("\n")
    assert lines[0] == "DONE" and lines[-2] == "DONE" and any(x.startswith("DEFER 3") for x in lines)
