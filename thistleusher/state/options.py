"""Options of the state folder: the section `[state]` of the operator's file, and the legacy file of `--state`.

The legacy file has the units in the names of its keys:

    folder = "/var/lib/thistleusher"
    sync = "normal"      # off, normal or full: how much a power failure may lose
    commit_ms = 50       # how many milliseconds of changes a kill may lose, 5 to 10,000
    most_mb = 256        # maximum size of the database file in MiB, 1 to 65,536
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from thistleusher.operator_file.errors import InvalidValueError
from thistleusher.operator_file.reader import read_flat_file
from thistleusher.operator_file.units import Bytes, Seconds

COMMIT_EVERY_LIMITS = Seconds(0.005), Seconds(10.0)
MAX_SIZE_LIMITS = Bytes(1 << 20), Bytes(1 << 36)
BYTES_PER_MB = 1 << 20
MS_PER_S = 1000
COMMIT_MS_LIMITS = 5, 10_000
MOST_MB_LIMITS = 1, 65_536


@dataclass(frozen=True, slots=True)
class StateOptions:
    """Where and how state is stored.

    folder: folder for this ingress only, locked by one process; created if it does not exist
    sync: what a power failure may lose: `off` everything that the operating system had not written, `normal` the
        commits since the last checkpoint, `full` nothing
    commit_every: interval between commits, 5ms to 10s; a kill may lose the changes of one interval
    max_size: maximum size of the database file, 1MiB to 64GiB
    """

    folder: str
    sync: Literal["off", "normal", "full"] = "normal"
    commit_every: Seconds = Seconds(0.05)
    max_size: Bytes = Bytes(256 << 20)

    def __post_init__(self) -> None:
        """Check the ranges. Raises InvalidValueError."""
        check_folder(self.folder)
        check_range("commit_every", self.commit_every, COMMIT_EVERY_LIMITS)
        check_range("max_size", self.max_size, MAX_SIZE_LIMITS)


@dataclass(frozen=True, slots=True)
class LegacyStateFile:
    """Options of the legacy file, which has the units in the names of its keys."""

    folder: str
    sync: Literal["off", "normal", "full"] = "normal"
    commit_ms: int = 50
    most_mb: int = 256

    def __post_init__(self) -> None:
        """Check the ranges. Raises InvalidValueError."""
        check_folder(self.folder)
        check_range("commit_ms", self.commit_ms, COMMIT_MS_LIMITS)
        check_range("most_mb", self.most_mb, MOST_MB_LIMITS)


def check_folder(folder: str) -> None:
    """Raise InvalidValueError if the folder's name is empty."""
    if not folder:
        raise InvalidValueError("a folder's name", "''", key="folder")


def check_range(key: str, value: float, limits: tuple[float, float]) -> None:
    """Raise InvalidValueError if a value is outside its limits, which are inclusive."""
    low, high = limits
    if not low <= value <= high:
        raise InvalidValueError(f"{low} to {high}", str(value), key=key)


def read_options(path: str) -> StateOptions:
    """Return the options of a legacy file.

    Raises OperatorFileError, a ValueError that names the file, the key, and the expected and found values.
    """
    file: LegacyStateFile = read_flat_file(path, LegacyStateFile)
    commit_every = Seconds(file.commit_ms / MS_PER_S)
    max_size = Bytes(file.most_mb * BYTES_PER_MB)
    return StateOptions(file.folder, file.sync, commit_every, max_size)
