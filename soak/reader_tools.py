"""What all readers under test share: reads of random lengths, a transport, and what a process keeps between inputs."""

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
    """What a reader did that it must not."""


def chunks(data: bytes, rng: random.Random) -> list[bytes]:
    """Return the same bytes, in reads of random lengths."""
    out, at = [], 0
    while at < len(data):
        size = rng.choice((1, 7, 100, 1400, 65536)) if len(data) < 4000 else rng.choice((1400, 65536))
        out.append(data[at : at + size])
        at += size
    return out


class Transport:
    """What a protocol writes to; it reads nothing."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.closed = self.aborted = False

    def write(self, data: bytes) -> None:
        """Collect what is written. Raises RuleBrokenError after the end."""
        if self.closed:
            raise RuleBrokenError("written to after its end")
        self.written += data

    def close(self) -> None:
        """End the connection."""
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
    """Return one loop for all inputs of a process."""
    if "loop" not in _shared:
        _shared["loop"] = asyncio.new_event_loop()
    loop: asyncio.AbstractEventLoop = _shared["loop"]
    return loop


def shared_folder() -> str:
    """Return one folder for all inputs of a process."""
    if "folder" not in _shared:
        _shared["folder"] = tempfile.TemporaryDirectory(prefix="soak-")
    return str(_shared["folder"].name)


def shared_settings() -> Settings:
    """Return the settings that all inputs of a process are read under."""
    if "settings" not in _shared:
        _shared["settings"] = nested_settings(settings(Options(), 0))[0]
    found: Settings = _shared["settings"]
    return found
