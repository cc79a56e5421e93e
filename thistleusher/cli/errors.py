"""What keeps a command from being carried out."""

from __future__ import annotations


class CommandError(Exception):
    """A command that cannot be carried out as asked: its text is one line, the exit code is 2."""
