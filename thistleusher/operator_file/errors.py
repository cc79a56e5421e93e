"""Errors of the operator's file, each one line: the location, what was expected and what was found."""

from __future__ import annotations


class InvalidValueError(ValueError):
    """A value cannot be used.

    key: the field that is meant, if the value belongs to an object with several fields
    expected, found: the parts of the message; either may be empty
    """

    def __init__(self, expected: str = "", found: str = "", key: str = "") -> None:
        self.expected = expected
        self.found = found
        self.key = key
        super().__init__(describe(expected, found))


class OperatorFileError(ValueError):
    """The operator's file cannot be used. The message is one line.

    place: the file and line, the environment variable, or the command line
    key: `section.key`, or empty if the error concerns the whole file
    expected, found: as in `InvalidValueError`
    """

    def __init__(self, place: str, key: str = "", expected: str = "", found: str = "") -> None:
        self.place = place
        self.key = key
        self.expected = expected
        self.found = found
        super().__init__(": ".join(part for part in (place, key, describe(expected, found)) if part))


def describe(expected: str, found: str) -> str:
    """Return the message for a value that differs from the expected one."""
    if not expected:
        return found
    return f"expected {expected}, found {found}" if found else f"expected {expected}"


def one_line(error: BaseException) -> str:
    """Return an error's message with each run of white space replaced by one space."""
    return " ".join(str(error).split())


def printable(name: str) -> str:
    """Return a name for use in a one-line message: at most 60 characters, quoted if it is not printable."""
    return name[:60] if name.isprintable() else repr(name)[:60]
