"""The three programs of the system, and the catalogue of their log events."""

from __future__ import annotations

from thistleusher.cli.commands import Control, Events, Proxy, Registry
from thistleusher.common.events import page
from thistleusher.common.launcher import start


def run_proxy(options: Proxy) -> int:
    """Run the proxy until it ends; return its exit code."""
    return start("proxy", options.settings, options.verbose)


def run_control(options: Control) -> int:
    """Run the store of configuration until it ends; return its exit code."""
    return start("control", options.settings, options.verbose)


def run_registry(options: Registry) -> int:
    """Run the registry until it ends; return its exit code."""
    return start("registry", options.settings, options.verbose)


def print_events(_: Events) -> int:
    """Print the catalogue of log events."""
    print(page(), end="")
    return 0
