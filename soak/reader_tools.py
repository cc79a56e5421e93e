"""Helpers of the reader checks: random chunks, a transport, and objects that a process shares between inputs."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Callable, Hashable
from typing import Any

from standins.fleet_options import Options, settings
from thistleusher.core.settings import Settings
from thistleusher.core.settings_parser import nested_settings

Check = Callable[[bytes, random.Random], Hashable]


class RuleBrokenError(AssertionError):
    """A reader violated one of the rules in `soak.readers`."""


def chunks(data: bytes, rng: random.Random) -> list[bytes]:
    """Split bytes into chunks of random lengths."""
    out, at = [], 0
    while at < len(data):
        size = rng.choice((1, 7, 100, 1400, 65536)) if len(data) < 4000 else rng.choice((1400, 65536))
        out.append(data[at : at + size])
        at += size
    return out


class Transport:
    """A transport that collects the bytes written by a protocol."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.closed = self.aborted = False

    def write(self, data: bytes) -> None:
        """Collect the bytes. Raises RuleBrokenError if the transport is closed."""
        if self.closed:
            raise RuleBrokenError("write to a closed transport")
        self.written += data

    def close(self) -> None:
        """Mark the transport as closed."""
        self.closed = True

    abort = write_eof = close

    def pause_reading(self) -> None:
        """Do nothing: all bytes are there already."""

    def resume_reading(self) -> None:
        """Do nothing: all bytes are there already."""

    def get_extra_info(self, name: str) -> None:
        """Return nothing: there is no socket."""


_shared: dict[str, Any] = {}


def shared_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop that all inputs of a process share."""
    if "loop" not in _shared:
        _shared["loop"] = asyncio.new_event_loop()
    loop: asyncio.AbstractEventLoop = _shared["loop"]
    return loop


def shared_folder() -> str:
    """Return the temporary folder that all inputs of a process share."""
    if "folder" not in _shared:
        _shared["folder"] = tempfile.TemporaryDirectory(prefix="soak-")
    return str(_shared["folder"].name)


def shared_settings() -> Settings:
    """Return the ingress settings that all inputs of a process share."""
    if "settings" not in _shared:
        _shared["settings"] = nested_settings(settings(Options(), 0))[0]
    found: Settings = _shared["settings"]
    return found
