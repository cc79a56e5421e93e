"""Options of the state folder: the section `[state]` of the operator's file, and the older file that `--state` names.

The older file has units in its keys' names:

    folder = "/var/lib/thistleusher"
    sync = "normal"      # off, normal or full: what a loss of power may cost
    commit_ms = 50       # what a kill may cost, 5 to 10,000
    most_mb = 256        # bound of the folder's file, 1 to 65,536
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from thistleusher.operator.layers import one_line
from thistleusher.operator.units import Bytes, Seconds

COMMIT_EVERY_RANGE = (Seconds(0.005), Seconds(10.0))
MAX_SIZE_RANGE = (Bytes(1 << 20), Bytes(1 << 36))
BYTES_PER_MB = 1 << 20
MS_PER_S = 1000


class StateOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how state is stored.

    folder: used by this ingress alone and locked by one process; created if it does not exist
    sync: what a loss of power may cost: `off` what the system had not written, `normal` the commits since the last
        checkpoint, `full` nothing
    commit_every: what a kill may cost, 5ms to 10s
    max_size: bound of the folder's file, 1MiB to 64GiB
    """

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sync: Literal["off", "normal", "full"] = "normal"
    commit_every: Seconds = Seconds(0.05)
    max_size: Bytes = Bytes(256 << 20)

    def __post_init__(self) -> None:
        """Raise ValueError where a value is out of its range."""
        checks = (
            ("commit_every", self.commit_every, COMMIT_EVERY_RANGE),
            ("max_size", self.max_size, MAX_SIZE_RANGE),
        )
        for key, value, (low, high) in checks:
            if not low <= value <= high:
                raise ValueError(f"{key}: expected {low} to {high}, got {value}")


class LegacyStateFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The older file, with units in its keys' names."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sync: Literal["off", "normal", "full"] = "normal"
    commit_ms: Annotated[int, msgspec.Meta(ge=5, le=10_000)] = 50
    most_mb: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256


def read_options(path: str) -> StateOptions:
    """Return the options of the older file.

    Raises ValueError: one line that names the file, the key, what was found and what was expected.
    """
    try:
        legacy = msgspec.toml.decode(Path(path).read_bytes(), type=LegacyStateFile)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: {one_line(error)}") from error
    except RecursionError as error:
        raise ValueError(f"{path}: nested too deeply") from error
    commit_every = Seconds(legacy.commit_ms / MS_PER_S)
    max_size = Bytes(legacy.most_mb * BYTES_PER_MB)
    return StateOptions(legacy.folder, legacy.sync, commit_every, max_size)
