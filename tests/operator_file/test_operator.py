"""The operator's file: what is wrong is one line with file, line and key; what is right is shown with its origin."""

from __future__ import annotations

import json
import signal
import sqlite3
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.counter import Counter
from tests.net.program import TERMS, Program, known
from tests.net.sockets import Peer, call, ok, run
from thistleusher.cli.main import COMMANDS, main
from thistleusher.operator_file.errors import OperatorFileError
from thistleusher.operator_file.layers import MAX_FILE_BYTES
from thistleusher.operator_file.reader import read_operator_file
from thistleusher.operator_file.reference import reference, starting_file
from thistleusher.operator_file.secrets import Secret
from thistleusher.operator_file.sections import SECTIONS, Section
from thistleusher.operator_file.units import Bytes, Seconds, read_bytes, read_seconds
from thistleusher.state.records import Member, Room, pack
from thistleusher.state.store import Store

GOOD = """# an operator's file
[state]
folder = "/var/lib/x"
commit_every = "20ms"

[counters]
addresses = ["10.0.0.1:6400", "10.0.0.2:6400"]
"""


def written(tmp_path, text, name="operator.toml"):
    path = tmp_path / name
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def test_a_good_file_is_typed_and_the_last_layer_wins(tmp_path):
    path = written(tmp_path, GOOD)
    o = read_operator_file(
        path,
        {
            "THISTLEUSHER_STATE__SYNC": "full",
            "THISTLEUSHER_STATE__MAX_SIZE": '"2MiB"',
            "THISTLEUSHER_X": "1",
            "THISTLEUSHER_STATE__COMMIT_EVERY": "1s",
        },
        ["state.commit_every=30ms", "log.form=json"],
    )
    state = o.get("state")
    assert (state.folder, state.sync, state.max_size) == ("/var/lib/x", "full", 2 << 20)
    assert state.commit_every == 0.03 and isinstance(state.commit_every, Seconds)
    assert o.get("counters").placement().addresses == ("10.0.0.1:6400", "10.0.0.2:6400")
    shown = {key: (value, origin) for key, value, origin in o.effective_values()}
    assert shown["state.folder"] == ("'/var/lib/x'", f"{path}:3")
    assert shown["state.commit_every"] == ("30ms", "command line")
    assert shown["state.sync"] == ("'full'", "environment THISTLEUSHER_STATE__SYNC")
    assert shown["log.queue"] == ("10000", "default")
    assert read_operator_file(None).sections == {}


def test_variables_with_the_earlier_prefix_are_taken_and_the_present_one_wins():
    earlier = {"ROADSPUR_LOG__FORM": "json", "ROADSPUR_LOG__QUEUE": "99"}
    shown = {key: (value, origin) for key, value, origin in read_operator_file(None, earlier).effective_values()}
    assert shown["log.form"] == ("'json'", "environment ROADSPUR_LOG__FORM")
    both = read_operator_file(None, {**earlier, "THISTLEUSHER_LOG__QUEUE": "77"})
    assert (both.get("log").form, both.get("log").queue) == ("json", 77)


@pytest.mark.parametrize(
    "text,where,error",
    [
        ("[state]\nfolder = 3\n", ":2: state.folder: ", "expected text, found 3"),
        ("[state]\n", ":1: state: ", "missing required field `folder`"),
        ("[state]\nfolder = 'x'\nsnyc = 'off'\n", ":3: state.snyc: ", "did you mean sync?"),
        ("[stat]\nfolder = 'x'\n", ":1: [stat]: ", "did you mean state?"),
        ("[zzz]\n", ":1: [zzz]: ", "there are counters, log, state"),
        (
            "[state]\nfolder = 'x'\nsync = 'now'\n",
            ":3: state.sync: ",
            "'off', 'normal' or 'full', found 'now'",
        ),
        ("[state]\nfolder = 'x'\ncommit_every = 50\n", ":3: state.commit_every: ", "such as '250ms'"),
        ("[state]\nfolder = 'x'\ncommit_every = '1ms'\n", ":3: state.commit_every: ", "expected 5ms to 10s, found 1ms"),
        ("[state]\nfolder = 'x'\ncommit_every = nan\n", ":3: state.commit_every: ", "found nan"),
        ("[state]\nfolder = 'x'\nmax_size = 1e400\n", ":3: state.max_size: ", "found inf"),
        ("[state]\nfolder = 'x'\nmax_size = '1.5B'\n", ":3: state.max_size: ", "whole number of bytes"),
        ("[log]\nqueue = 3\n", ":2: log.queue: ", "expected >= 16, found 3"),
        ("[counters]\naddresses = ['a:1', 'a:1']\n", ":2: counters.addresses: ", ""),
        ("[counters]\naddresses = ['a']\n", ":2: counters.addresses: ", ""),
        ("state = 3\n", ":1: state: ", "expected a section"),
        ("[state]\nfolder = 'x'\nfolder = 'y'\n", ": ", "overwrite"),
        ("[state]\nfolder = ", ": ", "Invalid"),
        ("include = 3\n", ": include: ", "list of file names"),
        ("include = ['none.toml']\n", "none.toml: ", "No such file"),
        ("x = " + "[" * 5000, ": ", ""),
        (b"\xff\xfe", ": ", "not UTF-8 at byte 0"),
        ('"a\\nb" = 1\n', ": ", "a\\nb"),
        ("[state]\nfolder = 'x'\n\"s\\ny\" = 1\n", ": state.", "no such key"),
    ],
)
def test_what_cannot_be_used_is_one_line(tmp_path, text, where, error):
    path = written(tmp_path, text)
    with pytest.raises(OperatorFileError) as raised:
        read_operator_file(path)
    line = str(raised.value)
    assert where in line and error in line and "operator.toml" in line or "none.toml" in line
    assert "\n" not in line and len(line) < 400
    assert main(["check", "--operator", path]) == 2


def test_an_empty_file_is_good_and_a_huge_one_is_not_read(tmp_path):
    assert read_operator_file(written(tmp_path, "")).sections == {}
    path = tmp_path / "huge.toml"
    with path.open("wb") as file:
        file.truncate(100 << 20)
    with pytest.raises(OperatorFileError, match=f"huge.toml: larger than {MAX_FILE_BYTES} bytes"):
        read_operator_file(str(path))


def test_included_files_stand_before_and_a_circle_is_named(tmp_path):
    written(tmp_path, "[state]\nfolder = 'a'\nsync = 'off'\n", "a.toml")
    o = read_operator_file(written(tmp_path, "include = ['a.toml']\n[state]\nfolder = 'b'\n"))
    assert (o.get("state").folder, o.get("state").sync) == ("b", "off")
    assert dict((k, w) for k, _, w in o.effective_values())["state.sync"].endswith("a.toml:3")
    written(tmp_path, "include = ['operator.toml']\n", "a.toml")
    with pytest.raises(OperatorFileError, match="include: a circle"):
        read_operator_file(str(tmp_path / "operator.toml"))
    for n in range(12):
        written(tmp_path, f"include = ['n{n + 1}.toml']\n", f"n{n}.toml")
    with pytest.raises(OperatorFileError, match="files deep"):
        read_operator_file(str(tmp_path / "n0.toml"))


@pytest.mark.parametrize("word", ["state", "state=x", ".=x", "state.=x", "stat.x=1", "state.folder"])
def test_a_word_of_the_command_line_that_cannot_be_used(word, capsys):
    assert main(["show", "--set", word]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(1, 10**9))
def test_units_come_back_as_they_are_shown(n):
    assert read_bytes(str(Bytes(n))) == n
    assert read_seconds(str(Seconds(n / 1000))) == pytest.approx(n / 1000, rel=1e-9)


@pytest.mark.parametrize(
    "text",
    ["", "5", "ms", "-5ms", "5 m s", "1e3s", "nan s", "inf s", "5xs", "٣s", 5, None, True, "9" * 20 + "s", "5ms\n"],
)
def test_what_is_no_duration_or_size(text):
    for read in (read_seconds, read_bytes):
        with pytest.raises(ValueError, match="expected"):
            read(text)


def test_the_reference_page_is_true_and_a_starting_file_changes_nothing_until_it_is_edited(tmp_path):
    assert (
        Path("docs/configuration.md").read_text() == reference()
    ), "run: thistleusher reference > docs/configuration.md"
    path = tmp_path / "start.toml"
    assert main(["init", str(path)]) == 0 == main(["check", "--operator", str(path)])
    assert main(["init", str(path)]) == 2 and path.read_text() == starting_file()
    lines = [
        line.removeprefix("# ")
        for line in starting_file().splitlines()[2:]
        if line.startswith("# [") or " = " in line.split("  # ")[0]
    ]
    edited = "\n".join(lines).replace("folder = ...", 'folder = "x"').replace("= ...", '= ["a:1", "b:2"]')
    assert set(read_operator_file(written(tmp_path, edited)).sections) == set(SECTIONS)


def test_commands_are_imported_when_asked_for_and_end_with_their_codes(tmp_path, capsys):
    code = "import sys, thistleusher.cli.main\nassert not {'uvloop', 'msgspec', 'structlog'} & set(sys.modules)\n"
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)
    assert main(["--help"]) == 0
    text = capsys.readouterr().out
    assert all(name in text for name in COMMANDS)
    assert main(["nothing"]) == 2 and main(["show", "--nothing"]) == 2
    assert main(["show", "--json", "--set", "log.queue=99"]) == 0
    shown = [json.loads(line) for line in capsys.readouterr().out.splitlines() if line.startswith("{")]
    assert {"key": "log.queue", "value": "99", "from": "command line"} in shown
    assert main(["bound", str(tmp_path / "none")]) == 2
    done = subprocess.run([sys.executable, "-m", "thistleusher", "check"], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and "no section" in done.stdout


def test_a_folder_is_looked_at_and_left_as_it_was(tmp_path, capsys):
    folder = str(tmp_path / "state")
    assert main(["state", "show", folder]) == 2 and "no state folder" in capsys.readouterr().err
    store = Store(folder, "n0")
    store.begin("n0", 100.0)
    store.commit(
        [
            (("member", 7), pack(Member(7, "plus", 16.0, 36.0, 3.0, 100.0, 44, 5.0, 2.5, 40))),
            (("room", 1), pack(Room("plus", 7, 0, 3, 29.0, 65.0, 2.5, 100.0))),
        ]
    )
    assert main(["state", "show", folder]) == 2 and "another process holds it" in capsys.readouterr().err
    store.end(160.0)
    store.close()
    assert main(["state", "show", folder]) == 0
    out = capsys.readouterr().out
    assert "ingress n0, life 1" in out and "ended in order at 160.000" in out and "1 members, 2.50 units" in out
    assert main(["state", "verify", folder]) == 0 and "3 records read, 0 spoilt" in capsys.readouterr().out
    assert main(["state", "export", folder]) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [r["kind"] for r in rows] == ["life", "member", "room"] and rows[1]["pending"] == 2.5
    db = sqlite3.connect(tmp_path / "state" / "state.db")
    db.execute("UPDATE member SET body = x'00'")
    db.commit()
    db.close()
    with pytest.raises(SystemExit) as ended:
        main(["state", "verify", folder])
    assert ended.value.code == 1 and "1 spoilt" in capsys.readouterr().out


def test_serve_with_an_operators_file_keeps_state_and_logs_json(tmp_path):
    async def scenario():
        backend, counter = await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        program = Program(tmp_path, counter=counter.address, known=known(backend.port))
        path = written(tmp_path, f"[state]\nfolder = '{tmp_path}/state'\n[log]\nform = 'json'\n")
        program.args = ("serve", "--operator", path)
        client = await program.start()
        try:
            assert (await client.ask(call("a", X_Call_Terms=TERMS)))[0] == 200
            program.process.send_signal(signal.SIGTERM)
            lines = [json.loads(line) for line in (await program.process.stderr.read()).splitlines()]
            assert await program.process.wait() == 0
        finally:
            await program.end()
            await counter.stop()
        assert any("serves on" in x["event"] for x in lines) and all(x["level"] for x in lines)
        assert lines[-1]["event"].endswith("has stopped")
        store = Store.existing(tmp_path / "state")
        assert store.before.ended > 0 and store.listed().places[0].name == "b0"
        store.close()

    run(scenario())


@dataclass(frozen=True)
class Hidden:
    """A section with a secret.

    key: of somebody
    """

    key: Secret


def test_a_secret_is_in_a_file_of_its_owner_s_or_in_the_environment_and_never_shown(tmp_path, monkeypatch, capsys):
    monkeypatch.setitem(SECTIONS, "hidden", Section("tests.operator_file.test_operator", "Hidden", "Hidden."))
    place = tmp_path / "key"
    place.write_text("s3cret\n")

    def wrong(text):
        with pytest.raises(OperatorFileError) as raised:
            read_operator_file(written(tmp_path, f"[hidden]\nkey = {text}\n"))
        assert "s3cret" not in str(raised.value) and ":2: hidden.key: " in str(raised.value)
        return str(raised.value)

    place.chmod(0o640)
    assert "owner's alone (mode 600), found 640" in wrong(f"'file:{place}'")
    place.chmod(0o600)
    assert "never the value itself" in wrong("'s3cret'") and "never the value itself" in wrong("['s3cret']")
    assert "No such file" in wrong(f"'file:{place}x'") and "not set" in wrong("'env:THISTLEUSHER_NO_SUCH'")
    path = written(tmp_path, f"[hidden]\nkey = 'file:{place}'\n")
    secret = read_operator_file(path).get("hidden").key
    assert secret.reveal() == b"s3cret" and "s3cret" not in f"{secret}{secret!r}"
    assert main(["show", "--operator", path]) == 0 and "s3cret" not in capsys.readouterr().out
    place.write_text("")
    assert "expected 1 to" in wrong(f"'file:{place}'")
    monkeypatch.setenv("K", "s3cret")
    assert read_operator_file(written(tmp_path, "[hidden]\nkey = 'env:K'\n")).get("hidden").key.reveal() == b"s3cret"
