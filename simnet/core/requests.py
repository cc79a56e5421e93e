"""Requests of simulated operators, and the attempts to send them to single machines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from simnet.core.ports import MakeCall

FIRST_RETRY_PAUSE_S = 0.1  # delay before the first retry


def _never() -> bool:
    return False


@dataclass(slots=True)
class Request:
    """One operator's request, over all its attempts."""

    make: MakeCall
    on_answer: Callable[[Any], None]  # called when the operator receives the answer
    on_success: Callable[[Any], None]  # called when a machine answers with success, whether or not the answer arrives
    addresses: list[str]
    until: float  # no attempt begins after this time
    conflicting: Callable[[], bool] = _never
    zone: str = ""  # zone of an evacuation, otherwise empty
    first_only: bool = False  # retries go to the first address, not to a random one
    pause: float = FIRST_RETRY_PAUSE_S  # delay before the next retry
    tried: set[str] = field(default_factory=set)
    done: bool = False


@dataclass(slots=True)
class Attempt:
    """One call of a request to one incarnation of a machine's process."""

    request: Request
    address: str
    incarnation: int
    redirects: int
    abandoned: bool = False
