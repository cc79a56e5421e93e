"""Secrets never appear in the operator's file, in error messages or in the output of `show`."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from tests.operator_file.files import written
from thistleusher.cli.main import main
from thistleusher.operator_file.errors import OperatorFileError
from thistleusher.operator_file.reader import read_operator_file
from thistleusher.operator_file.secrets import Secret
from thistleusher.operator_file.sections import SECTIONS, Section


@dataclass(frozen=True)
class Hidden:
    """A section with a secret.

    key: a test key
    """

    key: Secret


def test_a_secret_is_in_a_file_of_its_owner_s_or_in_the_environment_and_never_shown(tmp_path, monkeypatch, capsys):
    monkeypatch.setitem(SECTIONS, "hidden", Section("tests.operator_file.test_secrets", "Hidden", "Hidden."))
    place = tmp_path / "key"
    place.write_text("s3cret\n")

    def wrong(text):
        with pytest.raises(OperatorFileError) as raised:
            read_operator_file(written(tmp_path, f"[hidden]\nkey = {text}\n"))
        assert "s3cret" not in str(raised.value) and ":2: hidden.key: " in str(raised.value)
        return str(raised.value)

    place.chmod(0o640)
    assert "accessible only by its owner (mode 600), found 640" in wrong(f"'file:{place}'")
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
