"""Values that must not be seen: named in the operator's file, kept in a file of their own or in the environment.

`"file:/etc/thistleusher/key"` or `"env:THISTLEUSHER_KEY"`; the value itself is
never in the operator's file, and never printed.
"""

from __future__ import annotations

import os
import stat

MOST = 64 * 1024  # bytes
FORMS = 'expected "file:PATH" or "env:NAME", never the value itself'


class Secret:
    """A secret's value. Shown as its source, in errors and in `thistleusher show` as well."""

    __slots__ = ("source", "_value")

    def __init__(self, source: str, value: bytes) -> None:
        self.source, self._value = source, value

    def reveal(self) -> bytes:
        """The value, for whoever uses it; not to be kept, logged or compared other than by `hmac.compare_digest`."""
        return self._value

    def __repr__(self) -> str:
        return f"<{self.source}>"

    __str__ = __repr__


def read_secret(text: object) -> Secret:
    """ValueError says what keeps it from being used; it never holds the value, nor what stood there in its place."""
    kind, colon, name = text.partition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not name or kind not in ("file", "env"):
        raise ValueError(FORMS)
    if kind == "env":
        value = os.environ.get(name)
        if not value:
            raise ValueError(f"{kind}:{name}: not set")
        return Secret(f"env:{name}", value.encode())
    try:
        with open(name, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            value_read = file.read(MOST + 1)
    except OSError as error:
        raise ValueError(f"file:{name}: {error.strerror}") from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ValueError(f"file:{name}: expected to be its owner's alone (mode 600), got {stat.S_IMODE(mode):o}")
    value_read = value_read.rstrip(b"\r\n")
    if not value_read or len(value_read) > MOST:
        raise ValueError(f"file:{name}: expected 1 to {MOST} bytes, got {len(value_read)}")
    return Secret(f"file:{name}", value_read)
