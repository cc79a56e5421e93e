"""Starts one of the three programs and runs it until it ends."""

from __future__ import annotations

import asyncio
import importlib
import sys
from pathlib import Path

import uvloop

from thistleusher.common.process import SettingsFile
from thistleusher.log.setup import use_absl_handler

EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_BAD_SETTINGS = 2


def start(program: str, path: Path | None = None, verbose: bool = False) -> int:
    """Run `thistleusher.<program>.program` with the settings file at `path`, by default that of `node_settings_path`.

    Return the exit code: `EXIT_OK` after a graceful shutdown, `EXIT_CANNOT_SERVE` if a port cannot be opened,
    `EXIT_BAD_SETTINGS` if the settings file is missing or invalid.
    """
    use_absl_handler(verbose)
    try:
        settings = SettingsFile(path)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"settings: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    main = importlib.import_module(f"thistleusher.{program}.program").main
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main(settings))
    except OSError as error:
        print(f"cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return EXIT_OK
