"""The reference page and the commented template of the operator's file."""

from __future__ import annotations

from pathlib import Path

from tests.operator_file.files import written
from thistleusher.cli.main import main
from thistleusher.operator_file.reader import read_operator_file
from thistleusher.operator_file.reference import commented_template, reference
from thistleusher.operator_file.sections import SECTIONS


def test_the_reference_page_is_true_and_a_starting_file_changes_nothing_until_it_is_edited(tmp_path):
    assert (
        Path("docs/configuration.md").read_text() == reference()
    ), "run: thistleusher reference > docs/configuration.md"
    path = tmp_path / "start.toml"
    assert main(["init", str(path)]) == 0 == main(["check", "--operator", str(path)])
    assert main(["init", str(path)]) == 2 and path.read_text() == commented_template()
    lines = [
        line.removeprefix("# ")
        for line in commented_template().splitlines()[2:]
        if line.startswith("# [") or " = " in line.split("  # ")[0]
    ]
    edited = "\n".join(lines).replace("folder = ...", 'folder = "x"').replace("= ...", '= ["a:1", "b:2"]')
    assert set(read_operator_file(written(tmp_path, edited)).sections) == set(SECTIONS)
