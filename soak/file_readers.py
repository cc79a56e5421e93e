"""Checks of the readers of files: configurations, lists of counters, fault scripts, records and cases."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Hashable
from pathlib import Path

from soak.reader_tools import Check, RuleBrokenError, shared_folder
from standins.faults import read_script
from standins.records import read_records
from thistleusher.assembly import make_gateway
from thistleusher.net.config import read_config


def make_file_check(read: Callable[[str], object], error_type: type[Exception]) -> Check:
    """Return the check of a file reader.

    The reader may reject a file only with an error of type `error_type`, whose text is one line that names the file.
    """

    def check(data: bytes, rng: random.Random) -> Hashable:
        path = Path(shared_folder()) / f"input-{os.getpid()}"
        path.write_bytes(data)
        try:
            read(str(path))
        except error_type as error:
            text = str(error)
            if "\n" in text.strip() or path.name not in text:
                raise RuleBrokenError(f"error does not name the file in one line: {text!r}") from error
            return text.rpartition(path.name)[2][:40]
        return "read"

    return check


def read_configuration_file(path: str) -> None:
    """Read an ingress's configuration, and build the ingress's gateway from it."""
    config = read_config({"PROXY_CONFIG": path})
    make_gateway(config.settings, config.seed, 5000.0)


def read_script_file(path: str) -> None:
    """Read a fault script. Raises RuleBrokenError if it accepts a number out of range."""
    for fault in read_script(path):
        if not all(0 <= figure < 1e300 for figure in (fault.at, fault.duration_s, fault.value)):
            raise RuleBrokenError(f"fault accepted with a number out of range: {fault!r}")


def check_records(data: bytes, rng: random.Random) -> Hashable:
    """Read a file of records; return their number, or the error."""
    try:
        return len(read_records(data.decode("utf-8", "replace").splitlines(), "file"))
    except ValueError as error:
        return str(error)[:20]
