"""Parsing of socket addresses in configuration (`host:port`)."""

from __future__ import annotations

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """Return host and port of `host:port`; the host is numeric, IPv6 in brackets.

    Raises ValueError if the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)
