"""Errors of the operator's file: where a value was written, what was expected and what was found, in one line."""

from __future__ import annotations


class InvalidValueError(ValueError):
    """A value that cannot be used.

    key: the field that is meant, where the value belongs to an object of several fields
    expected, found: either may be empty; together they make the text
    """

    def __init__(self, expected: str = "", found: str = "", key: str = "") -> None:
        self.expected = expected
        self.found = found
        self.key = key
        super().__init__(describe(expected, found))


class OperatorFileError(ValueError):
    """What keeps the operator's file from being used, as one line.

    place: file and line, the environment variable, or the command line
    key: `section.key`, or empty where the file as a whole is meant
    expected, found: as in `InvalidValueError`
    """

    def __init__(self, place: str, key: str = "", expected: str = "", found: str = "") -> None:
        self.place = place
        self.key = key
        self.expected = expected
        self.found = found
        super().__init__(": ".join(part for part in (place, key, describe(expected, found)) if part))


def describe(expected: str, found: str) -> str:
    """Return the text of an expectation that was not met."""
    if not expected:
        return found
    return f"expected {expected}, found {found}" if found else f"expected {expected}"


def one_line(error: BaseException) -> str:
    """Return an error's text with each run of white space replaced by one space."""
    return " ".join(str(error).split())


def printable(name: str) -> str:
    """Return a name as it can stand in one line: at most 60 characters, quoted where it cannot be printed."""
    return name[:60] if name.isprintable() else repr(name)[:60]
