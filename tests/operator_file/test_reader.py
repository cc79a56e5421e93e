"""The operator's file: an error is one line with file, line and key, and each value is shown with its origin."""

from __future__ import annotations

import pytest

from tests.operator_file.files import written
from thistleusher.cli.main import main
from thistleusher.operator_file.errors import OperatorFileError
from thistleusher.operator_file.layers import MAX_FILE_BYTES
from thistleusher.operator_file.reader import read_operator_file
from thistleusher.operator_file.units import Seconds

GOOD = """# an operator's file
[state]
folder = "/var/lib/x"
commit_every = "20ms"

[counters]
addresses = ["10.0.0.1:6400", "10.0.0.2:6400"]
"""


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
        ("[zzz]\n", ":1: [zzz]: ", "known names: counters, log, state"),
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
    with pytest.raises(OperatorFileError, match="include: circular include"):
        read_operator_file(str(tmp_path / "operator.toml"))
    for n in range(12):
        written(tmp_path, f"include = ['n{n + 1}.toml']\n", f"n{n}.toml")
    with pytest.raises(OperatorFileError, match="files deep"):
        read_operator_file(str(tmp_path / "n0.toml"))
