"""The three programs of the system, and the catalogue of their log events."""

from __future__ import annotations

from pathlib import Path

from thistleusher.cli.commands import Control, Events, ProgramOptions, Proxy, Registry
from thistleusher.common.events import render_table
from thistleusher.common.launcher import start


def run_proxy(options: Proxy) -> int:
    """Run the proxy until it ends; return its exit code."""
    return run_program("proxy", options)


def run_control(options: Control) -> int:
    """Run the configuration store until it ends; return its exit code."""
    return run_program("control", options)


def run_registry(options: Registry) -> int:
    """Run the registry until it ends; return its exit code."""
    return run_program("registry", options)


def run_program(name: str, options: ProgramOptions) -> int:
    """Run one of the programs until it ends; return its exit code."""
    return start(name, Path(options.settings) if options.settings else None, options.verbose)


def print_events(_: Events) -> int:
    """Print the catalogue of log events."""
    print(render_table(), end="")
    return 0
