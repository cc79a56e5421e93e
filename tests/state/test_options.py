"""The legacy file of the state folder's options."""

from __future__ import annotations

import pytest

from thistleusher.state.options import read_options


@pytest.mark.parametrize(
    "text,error",
    [
        ("", "folder"),
        ("folder = 3\n", "folder"),
        ('folder = "x"\nsnyc = "off"\n', "snyc"),
        ('folder = "x"\nsync = "now"\n', "sync"),
        ('folder = "x"\ncommit_ms = 1\n', "commit_ms"),
        ("folder = ", "Invalid"),
        ("\xff", ""),
    ],
)
def test_the_older_file_is_checked_in_one_line(tmp_path, text, error):
    path = tmp_path / "state.toml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(ValueError, match="state.toml: ") as raised:
        read_options(str(path))
    assert error in str(raised.value) and "\n" not in str(raised.value)
    with pytest.raises(ValueError, match="none.toml"):
        read_options(str(tmp_path / "none.toml"))
