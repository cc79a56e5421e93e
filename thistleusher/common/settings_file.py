"""The settings file of a process, which may change while the process runs.

Loads little, because a founder's first write waits for its settings.
"""

from __future__ import annotations

import errno
from pathlib import Path

from thistleusher.common.settings_reader import node_settings_path, read_node_settings

MAX_FILE_BYTES = 1024 * 1024


def read_settings_text(path: Path) -> str:
    """Return the text of a settings file. Raise OSError if it cannot be read, is too large or is not text."""
    with path.open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise OSError(errno.EFBIG, f"larger than {MAX_FILE_BYTES} bytes", str(path))
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise OSError(errno.EILSEQ, f"not UTF-8 at byte {error.start}", str(path)) from None


class SettingsFile:
    """The settings file of this process, which is reloaded when it changes."""

    def __init__(self, path: Path | None = None) -> None:
        """Read the file at `path`, by default that of `node_settings_path`.

        Raise an ExceptionGroup of InvalidSettingError if it is invalid, OSError if it cannot be read.
        """
        self.path = path or node_settings_path()
        self.text = read_settings_text(self.path)
        self.node_settings = read_node_settings(self.text)

    def reload(self) -> bool:
        """Read the file again; return whether it contains new, valid settings, which are then in effect."""
        from thistleusher.common.events import Event, log_event  # slow to load, and not needed for the first reading

        try:
            text = read_settings_text(self.path)
            if text == self.text:
                return False
            self.text = text
            self.node_settings = read_node_settings(text)
        except OSError as error:
            log_event(Event.SETTINGS_REJECTED, error)
            return False
        except ExceptionGroup as group:
            log_event(Event.SETTINGS_REJECTED, "; ".join(str(error) for error in group.exceptions))
            return False
        log_event(Event.SETTINGS_RELOADED, ",".join(self.node_settings.seed_nodes))
        return True
