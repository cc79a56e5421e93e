"""The operator's file of the state folder, `deploy/state.toml` by custom: checked before anything starts.

    folder = "/var/lib/roadspur"
    sync = "normal"      # off, normal or full: what a loss of power may cost
    commit_ms = 50       # what a kill may cost, 5 to 10,000
    most_mb = 256        # bound of the folder's file, 1 to 65,536
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec


class StateOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how state is kept."""

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sync: Literal["off", "normal", "full"] = "normal"
    commit_ms: Annotated[int, msgspec.Meta(ge=5, le=10_000)] = 50
    most_mb: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256


def read_options(path: str) -> StateOptions:
    """The file's options; ValueError names file, key, what was found and expected, in one line."""
    try:
        return msgspec.toml.decode(Path(path).read_bytes(), type=StateOptions)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: {' '.join(str(error).split())}") from error
    except RecursionError as error:
        raise ValueError(f"{path}: nested too deeply") from error
