"""Test cases, stored as small JSON files that can be replayed and minimized.

Each case is drawn from its seed alone, so that the seed is enough to reproduce it.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

KINDS = ("fleet", "bytes", "suite", "moment")


class CaseError(Exception):
    """The file of a case is invalid; the message names the path, the key and the expected value."""


@dataclass(frozen=True, slots=True)
class Case:
    """A test case. `kind` selects the runner; `size` holds its parameters as JSON values."""

    kind: str
    seed: int
    size: dict[str, Any] = field(default_factory=dict)

    def with_size(self, **changes: Any) -> Case:
        """Return the case with changed parameters in `size`."""
        return replace(self, size={**self.size, **changes})

    def write(self, path: Path, failure: str) -> None:
        """Write the case to a file, with the failure that it showed."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps({**asdict(self), "found": failure}, indent=1) + "\n", encoding="utf-8")


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a case: `failure` is empty if the case passed; `check` names the check that failed."""

    failure: str = ""
    check: str = ""
    count: int = 1  # number of requests, schedules or inputs that the case tried


def read_case(path: str | Path) -> Case:
    """Read a case's file. Raises CaseError."""
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise CaseError(f"{path}: {error}") from error
    except RecursionError as error:
        raise CaseError(f"{path}: nested too deeply") from error
    if not isinstance(data, dict) or data.get("kind") not in KINDS:
        found = data.get("kind") if isinstance(data, dict) else data
        raise CaseError(f"{path}: kind: expected one of {', '.join(KINDS)}, got {found!r}")
    seed, size = data.get("seed"), data.get("size", {})
    if isinstance(seed, bool) or not isinstance(seed, int) or not isinstance(size, dict):
        raise CaseError(f"{path}: seed, size: expected a whole number and a table, got {seed!r}, {size!r}")
    return Case(data["kind"], seed, size)
