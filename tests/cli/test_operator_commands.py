"""Commands on the operator's file: lazy imports, exit codes and one-line errors."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from thistleusher.cli.main import main

COMMANDS = (
    "proxy",
    "control",
    "registry",
    "serve",
    "check",
    "show",
    "init",
    "reference",
    "state",
    "bound",
    "events",
)


def test_commands_are_imported_when_asked_for_and_end_with_their_codes(tmp_path, capsys):
    code = (
        "import sys, thistleusher.cli.main\n"
        "assert not {'uvloop', 'msgspec', 'pydantic', 'absl', 'lmdb'} & set(sys.modules)\n"
    )
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


@pytest.mark.parametrize("word", ["state", "state=x", ".=x", "state.=x", "stat.x=1", "state.folder"])
def test_a_word_of_the_command_line_that_cannot_be_used(word, capsys):
    assert main(["show", "--set", word]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize(
    "command,library,loaded",
    [
        (["show", "--set", "log.form=json"], "pydantic", "thistleusher.log.options"),
        (["state", "show", "x"], "msgspec", "thistleusher.cli.state_folder"),
    ],
)
def test_a_command_whose_library_is_missing_says_so_in_one_line(command, library, loaded, monkeypatch, capsys):
    monkeypatch.setitem(sys.modules, library, None)
    monkeypatch.delitem(sys.modules, loaded, raising=False)
    assert main(command) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and library in error and "operator" in error
