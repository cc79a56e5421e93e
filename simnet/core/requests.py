"""What simulated operators want done, and their calls to single machines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from simnet.core.ports import MakeCall

FIRST_PAUSE_S = 0.1


def _never() -> bool:
    return False


@dataclass(slots=True)
class Request:
    """What one operator wants done, over all its attempts."""

    make: MakeCall
    accepted: Callable[[Any], None]  # called when a clear answer has come
    confirmed: Callable[[Any], None]  # called when a machine answers with success, whether or not that arrives
    addresses: list[str]
    until: float
    conflicting: Callable[[], bool] = _never
    zone: str = ""  # of an evacuation
    hard: bool = False  # sent again to the first machine until that answers
    pause: float = FIRST_PAUSE_S
    tried: set[str] = field(default_factory=set)
    done: bool = False


@dataclass(slots=True)
class Attempt:
    """One call to one incarnation of a machine's process."""

    request: Request
    address: str
    incarnation: int
    redirects: int
    abandoned: bool = False
