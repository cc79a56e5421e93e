"""Starts one of the three programs and runs it until it ends.

Loads the settings before everything that is slow to load: what a program has to do first may depend on them.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from thistleusher.common import signals
from thistleusher.common.settings_file import SettingsFile
from thistleusher.log import standard_streams

EXIT_CANNOT_SERVE = 1
EXIT_BAD_SETTINGS = 2

Main = Callable[..., Awaitable[None]]


def start(program: str, path: Path | None = None, verbose: bool = False) -> int:
    """Run `thistleusher.<program>.program` with the settings file at `path`, by default that of `node_settings_path`.

    Return the exit code: `signals.EXIT_OK` after a graceful shutdown, `EXIT_CANNOT_SERVE` if a port cannot be opened or
    a library cannot be loaded, `EXIT_BAD_SETTINGS` if the settings file is missing or invalid.
    """
    signals.install()
    standard_streams.install()
    try:
        settings = SettingsFile(path)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"settings: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        _run(program, [settings, *_begin(program, settings)], verbose)
    except ImportError as error:
        print(f"cannot load: {error}; `python3 deploy/build.py` installs what this machine needs", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    except OSError as error:
        print(f"cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    finally:
        signals.ignore()
    return signals.EXIT_OK


def _begin(program: str, settings: SettingsFile) -> list[Any]:
    """Begin what cannot wait for the program to be loaded; return further arguments of its `main`."""
    if program != "control":
        return []
    from thistleusher.control.store_opener import store_arguments, try_opening

    return [try_opening(*store_arguments(settings.node_settings))]


def _run(program: str, arguments: list[Any], verbose: bool) -> None:
    """Load a program and run it."""
    import asyncio

    import uvloop

    from thistleusher.log.setup import use_absl_handler

    use_absl_handler(verbose)
    main: Main = importlib.import_module(f"thistleusher.{program}.program").main
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(*arguments))  # type: ignore[arg-type]
