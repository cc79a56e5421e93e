"""A case: one thing to play, as a small JSON file that can be kept, replayed and cut down.

Every case is drawn from its seed alone, so that a printed seed is as good as the file.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

KINDS = ("fleet", "bytes", "suite", "moment")


class CaseError(Exception):
    """What is wrong with a case's file: path, key, what was expected."""


@dataclass(frozen=True, slots=True)
class Case:
    """`kind` names the part that plays it; `size` is that part's own, all plain numbers, strings and lists."""

    kind: str
    seed: int
    size: dict[str, Any] = field(default_factory=dict)

    def but(self, **changes: Any) -> Case:
        """Return the same with another size."""
        return replace(self, size={**self.size, **changes})

    def write(self, path: Path, why: str) -> None:
        """Keep it, with what it showed."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps({**asdict(self), "found": why}, indent=1) + "\n", encoding="utf-8")


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a case ended: `why` is empty where nothing is wrong. `part` names the check that found it."""

    why: str = ""
    part: str = ""
    count: int = 1  # of what was tried within it: requests, schedules, inputs


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
