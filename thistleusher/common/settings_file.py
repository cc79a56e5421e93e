"""The settings file of a process, which may change while the process runs.

Loads little, because a founder's first write waits for its settings.
"""

from __future__ import annotations

from pathlib import Path

from thistleusher.common.settings_reader import node_settings_path, read_node_settings


class SettingsFile:
    """The settings file of this process, which is reloaded when it changes."""

    def __init__(self, path: Path | None = None) -> None:
        """Read the file at `path`, by default that of `node_settings_path`.

        Raise an ExceptionGroup of InvalidSettingError if it is invalid, OSError if it cannot be read.
        """
        self.path = path or node_settings_path()
        self.text = self.path.read_text()
        self.node_settings = read_node_settings(self.text)

    def reload(self) -> bool:
        """Read the file again; return whether it contains new, valid settings, which are then in effect."""
        from thistleusher.common.events import Event, log_event  # slow to load, and not needed for the first reading

        try:
            text = self.path.read_text()
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
