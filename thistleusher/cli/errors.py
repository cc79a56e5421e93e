"""The error of a command that cannot be executed."""

from __future__ import annotations


class CommandError(Exception):
    """A command cannot be executed as requested. The message is one line, and the exit code is 2."""
