"""`python -m thistleusher`: runs one stand-alone ingress as configured by `PROXY_CONFIG`, or a command.

An ingress without an operator's file does not import the command line, so `--counters` and `--state` are parsed here.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from thistleusher.net.config import InvalidConfigurationError
from thistleusher.net.counters_file import read_counters
from thistleusher.standalone import EXIT_UNUSABLE, OperatorOptions, run

if TYPE_CHECKING:
    from thistleusher.quota import Placement
    from thistleusher.state.options import StateOptions

FILE_OPTIONS = ("--counters", "--state")
USAGE = """usage: python -m thistleusher              serve as configured by PROXY_CONFIG
       python -m thistleusher --counters FILE   the same, with several counters
       python -m thistleusher --state FILE      the same, with a state folder; both may be given
       python -m thistleusher bound -h    by how much quotas can be exceeded while the counter fails
with the extra 'operator' also: serve --operator FILE, check, show, init, reference, state (--help for each)
"""


def main() -> int:
    """Serve as configured by PROXY_CONFIG, or execute a command; return the exit code."""
    arguments = sys.argv[1:]
    files: dict[str, str] = {}
    while len(arguments) >= 2 and arguments[0] in FILE_OPTIONS and arguments[0] not in files:
        files[arguments[0]] = arguments[1]
        arguments = arguments[2:]
    if arguments:
        return run_command(arguments)
    try:
        state = read_state_options(files["--state"]) if "--state" in files else None
    except InvalidConfigurationError as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return run(OperatorOptions(os.environ, counters_reader(files.get("--counters")), state))


def run_command(arguments: list[str]) -> int:
    """Execute a command; the command line is imported only now."""
    if arguments[0] in ("-h", "--help"):
        print(USAGE, end="")
        return 0
    try:
        from thistleusher.cli.main import main as run_command_line
    except ImportError:
        print(USAGE, end="", file=sys.stderr)
        return EXIT_UNUSABLE
    return run_command_line(arguments)


def counters_reader(path: str | None) -> Callable[[], Placement | None] | None:
    """Return a function that reads the file given by `--counters`, or None without this option."""
    if path is None:
        return None
    return lambda: read_counters(path)


def read_state_options(path: str) -> StateOptions:
    """Read the file given by `--state`. Raises InvalidConfigurationError."""
    try:
        from thistleusher.state.options import read_options
    except ImportError as error:
        raise InvalidConfigurationError(f"--state needs the extra 'operator': {error}") from error
    try:
        return read_options(path)
    except ValueError as error:
        raise InvalidConfigurationError(str(error)) from error


if __name__ == "__main__":
    sys.exit(main())
