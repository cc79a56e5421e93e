"""Start one of the three programs and run it until it ends. Exit codes: 0 in order, 1 cannot serve, 2 settings."""

from __future__ import annotations

import asyncio
import importlib
import sys
from pathlib import Path

import uvloop
from absl import logging

from thistleusher.common.process import SettingsFile


def start(program: str, path: Path | None = None, verbose: bool = False) -> int:
    """Run `thistleusher.<program>.program` with the settings at a path, or at the one the environment names."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    try:
        settings = SettingsFile(path)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"settings: {fault}", file=sys.stderr)
        return 2
    main = importlib.import_module(f"thistleusher.{program}.program").main
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main(settings))
    except OSError as error:
        print(f"cannot serve: {error}", file=sys.stderr)
        return 1
    return 0
