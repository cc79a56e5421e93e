"""The section [state] of the operator's file, and the file of its own that `--state` names:

folder = "/var/lib/thistleusher"
sync = "normal"      # off, normal or full: what a loss of power may cost
commit_ms = 50       # what a kill may cost, 5 to 10,000
most_mb = 256        # bound of the folder's file, 1 to 65,536
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from thistleusher.operator_file.layers import one_line
from thistleusher.operator_file.units import Bytes, Seconds

COMMIT = Seconds(0.005), Seconds(10.0)
SIZE = Bytes(1 << 20), Bytes(1 << 36)


class StateOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how state is kept.

    folder: of this ingress alone; made if it is not there; held by one process
    sync: what a loss of power may cost: what the system had not written, commits since the last checkpoint, or nothing
    commit_every: what a kill may cost, 5ms to 10s
    max_size: bound of the folder's file, 1MiB to 64GiB
    """

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sync: Literal["off", "normal", "full"] = "normal"
    commit_every: Seconds = Seconds(0.05)
    max_size: Bytes = Bytes(256 << 20)

    def __post_init__(self) -> None:
        for key, value, (low, high) in (("commit_every", self.commit_every, COMMIT), ("max_size", self.max_size, SIZE)):
            if not low <= value <= high:
                raise ValueError(f"{key}: expected {low} to {high}, got {value}")


class StateFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The older file, with units in its keys' names."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sync: Literal["off", "normal", "full"] = "normal"
    commit_ms: Annotated[int, msgspec.Meta(ge=5, le=10_000)] = 50
    most_mb: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256


def read_options(path: str) -> StateOptions:
    """The older file's options; ValueError names file, key, what was found and expected, in one line."""
    try:
        old = msgspec.toml.decode(Path(path).read_bytes(), type=StateFile)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: {one_line(error)}") from error
    except RecursionError as error:
        raise ValueError(f"{path}: nested too deeply") from error
    return StateOptions(old.folder, old.sync, Seconds(old.commit_ms / 1000), Bytes(old.most_mb << 20))
