"""The entry point of the command line, `thistleusher`.

Exit codes: 0 for success; 1 if ended by a signal, or if a check found errors; 2 if the command cannot be executed, with
one line on standard error.
"""

from __future__ import annotations

import contextlib
import sys
from importlib import metadata
from typing import Any

import cappa
from cappa.invoke.types import InvokeResolutionError
from rich.errors import MarkupError
from rich.text import Text

from thistleusher.cli.commands import Thistleusher
from thistleusher.cli.errors import CommandError

EXIT_INTERRUPTED = 1
EXIT_UNUSABLE = 2


class HelpOutput(cappa.Output):
    """Prints help and versions, but no errors: `main` prints them as one line."""

    def error(self, message: Any, **context: Any) -> None:
        """Print nothing."""


def version_text() -> str:
    """Return the text that `--version` prints."""
    try:
        return f"thistleusher, version {metadata.version('thistleusher')}"
    except metadata.PackageNotFoundError:
        return "thistleusher, not installed"


def main(argv: list[str] | None = None) -> int:
    """Execute one command line and return its exit code."""
    version: cappa.Arg[Any] = cappa.Arg(value_name=version_text(), long="--version", help="Show the version and exit.")
    try:
        return int(cappa.invoke(Thistleusher, argv=argv, version=version, output=HelpOutput()) or 0)
    except cappa.Exit as end:
        return _end(end)
    except CommandError as error:
        return _fail(str(error))
    except (ModuleNotFoundError, InvokeResolutionError) as error:
        library = missing_library(error)
        if library is None:
            raise
        return _fail(f"this command needs {library}, which the extra 'operator' installs")
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def missing_library(error: BaseException | None) -> str | None:
    """Return the missing external module that caused an error, or None if the error has another cause."""
    while error is not None:
        if isinstance(error, ModuleNotFoundError) and error.name and not error.name.startswith("thistleusher"):
            return error.name
        error = error.__cause__ or error.__context__
    return None


def _end(end: cappa.Exit) -> int:
    """Return the exit code after a help page or an invalid command line, and print the error of the latter."""
    if end.code in (0, None):
        return 0
    message = str(end.message)
    with contextlib.suppress(MarkupError):  # raised if an argument looks like markup; it is then printed unchanged
        message = Text.from_markup(message).plain
    return _fail(message)


def _fail(message: str) -> int:
    print(f"thistleusher: {' '.join(message.split())}", file=sys.stderr)
    return EXIT_UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
