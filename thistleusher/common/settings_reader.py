"""Reads the settings file of a process into its record and reports the errors of an invalid file.

A valid file is read without the library that explains the errors of an invalid one
(`thistleusher.common.settings_validation`), as that is slow to load and a process may start while clients wait.
"""

from __future__ import annotations

import os
from pathlib import Path

from thistleusher.common.node_settings import InvalidSettingError, NodeSettings, parse_lines, semantic_faults
from thistleusher.common.record_reader import InvalidTableError, read_record

ENVIRONMENT_VARIABLE = "THISTLEUSHER_NODE_FILE"
DEFAULT_PATH = "/etc/thistleusher/boot.conf"


def read_node_settings(text: str) -> NodeSettings:
    """Parse the text of a settings file into a record.

    Raise an ExceptionGroup with one InvalidSettingError per error.
    """
    try:
        settings = read_record(NodeSettings, parse_lines(text))
    except InvalidSettingError as error:
        raise ExceptionGroup("settings", [error]) from None
    except InvalidTableError:
        from thistleusher.common.settings_validation import explain_node_settings

        raise ExceptionGroup("settings", explain_node_settings(parse_lines(text))) from None
    faults = [InvalidSettingError(line) for line in semantic_faults(settings)]
    if faults:
        raise ExceptionGroup("settings", faults)
    return settings


def node_settings_path() -> Path:
    """Return the path of the settings file: from `ENVIRONMENT_VARIABLE` if it is set, else `DEFAULT_PATH`."""
    return Path(os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH))
