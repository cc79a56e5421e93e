"""A settings file that is no such file is rejected with a reason, and the previous settings stay in effect."""

import pytest

from tests.common.test_node_settings import BOOT
from thistleusher.common import events, settings_file
from thistleusher.common.settings_file import MAX_FILE_BYTES, SettingsFile


@pytest.mark.parametrize(
    "data, reason",
    [(BOOT.encode() + b"#" * MAX_FILE_BYTES, "larger than"), (b"node_name=\xff\n", "not UTF-8")],
    ids=["large", "no text"],
)
def test_a_file_that_is_too_large_or_no_text_is_rejected(tmp_path, monkeypatch, data, reason):
    logged = []
    monkeypatch.setattr(events, "log_event", lambda event, *fields: logged.append((event.name, str(fields[0]))))
    path = tmp_path / "boot.conf"
    path.write_text(BOOT)
    settings = SettingsFile(path)
    before = settings.node_settings
    path.write_bytes(data)
    assert not settings.reload() and settings.node_settings is before
    assert [name for name, _ in logged] == ["SETTINGS_REJECTED"] and reason in logged[0][1]
    with pytest.raises(OSError, match=reason):
        settings_file.SettingsFile(path)
