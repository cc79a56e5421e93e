"""`thistleusher check`: validates files offline. Nothing is sent or started."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from thistleusher.cli.commands import Check
from thistleusher.cli.errors import CommandError
from thistleusher.cli.operator_files import read_layers

EXIT_INVALID = 1
EXIT_UNREADABLE = 2


def check(options: Check) -> int:
    """Check the file given with its kind, or else the operator's file; return the exit code."""
    if options.kind is None:
        return check_operator_file(options)
    if options.file is None:
        raise CommandError(f"check {options.kind}: expected a file")
    return check_file(options.kind, Path(options.file))


def check_operator_file(options: Check) -> int:
    """Check all layers of the operator's file, and the platform's configuration if one is given."""
    operator_file = read_layers(options)
    config = options.config or os.environ.get("PROXY_CONFIG")
    if config:
        from thistleusher.net.config import InvalidConfigurationError, read_config

        try:
            read_config({**os.environ, "PROXY_CONFIG": config})
        except InvalidConfigurationError as error:
            raise CommandError(str(error)) from error
    print(f"good: {', '.join(operator_file.sections) or 'no section'}{f'; {config}' if config else ''}")
    return 0


def check_file(kind: str, path: Path) -> int:
    """Check a process's settings or a configuration of the system; print one line per error."""
    try:
        summary = summary_of_settings(path) if kind == "settings" else summary_of_configuration(path)
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"{path}: {fault}", file=sys.stderr)
        return EXIT_INVALID
    print(f"{path}: valid: {summary}")
    return 0


def summary_of_settings(path: Path) -> str:
    """Return a summary of a settings file. Raises OSError, or an ExceptionGroup of all errors."""
    from thistleusher.common.settings_reader import read_node_settings

    settings = read_node_settings(path.read_text())
    return f"{settings.node_name}, {settings.machine_class or 'no class'}, zone {settings.zone}"


def summary_of_configuration(path: Path) -> str:
    """Return a summary of a configuration file. Raises OSError, or an ExceptionGroup of all errors."""
    from thistleusher.configuration.records import summary
    from thistleusher.configuration.validation import read_configuration

    figures = summary(read_configuration(path.read_bytes()))
    return ", ".join(f"{name} {value}" for name, value in figures.items())
