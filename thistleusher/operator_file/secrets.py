"""Secrets, which the operator's file references and which are stored in separate files or in the environment.

A reference is `"file:/etc/thistleusher/key"` or `"env:THISTLEUSHER_KEY"`. The value itself is never in the operator's
file and never printed.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path

from thistleusher.operator_file.errors import InvalidValueError

MAX_SECRET_BYTES = 64 * 1024
EXPECTED_FORM = '"file:PATH" or "env:NAME", never the value itself'


class Secret:
    """A secret's value. Error messages and `thistleusher show` print its source instead."""

    __slots__ = ("source", "_value")

    def __init__(self, source: str, value: bytes) -> None:
        self.source = source
        self._value = value

    def reveal(self) -> bytes:
        """Return the value. Do not store or log it, and compare it only with `hmac.compare_digest`."""
        return self._value

    def __repr__(self) -> str:
        return f"<{self.source}>"

    __str__ = __repr__


def read_secret(text: object) -> Secret:
    """Return the secret that a source names.

    Raises InvalidValueError. Its message contains neither the value nor an invalid source, which may be the value.
    """
    kind, colon, name = text.partition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not name or kind not in ("file", "env"):
        raise InvalidValueError(EXPECTED_FORM)
    value = _from_environment(name) if kind == "env" else _from_file(name)
    return Secret(f"{kind}:{name}", value)


def _from_environment(name: str) -> bytes:
    value = os.environ.get(name)
    if not value:
        raise InvalidValueError(found=f"env:{name}: not set")
    return value.encode()


def _from_file(name: str) -> bytes:
    try:
        with Path(name).open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            value = file.read(MAX_SECRET_BYTES + 1)
    except OSError as error:
        raise InvalidValueError(found=f"file:{name}: {error.strerror}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        found = f"{stat.S_IMODE(mode):o}"
        raise InvalidValueError(f"file:{name} to be accessible only by its owner (mode 600)", found)
    value = value.rstrip(b"\r\n")
    if not value or len(value) > MAX_SECRET_BYTES:
        raise InvalidValueError(f"1 to {MAX_SECRET_BYTES} bytes in file:{name}", str(len(value)))
    return value
