"""What the decision module had learned, as records that outlive its process."""

from __future__ import annotations

from typing import NamedTuple


class SavedMember(NamedTuple):
    """What one ingress knew of a member's count, to be kept or put back; the fields of `policy.store.Customer`."""

    key: int
    plan: str
    level: float
    at: float
    window: int
    told: float
    pending: float
    mine: int
    theirs: dict[int, int]
    heard: float = 0.0
    heard_in: int = -1
    excess: float = 0.0
    doubt: float = 0.0  # of `pending`: added to the count of the window `doubted`, or not
    doubted: int = -1


class LearnedClass(NamedTuple):
    """Usual time of a class's answers in seconds, and as it was when nothing was pressed; its line over units."""

    latency: float
    base: float
    seen: int = 0
    units: float = 0.0
    time: float = 0.0
    spread: float = 0.0
    both: float = 0.0


class LearnedBackend(NamedTuple):
    """What an ingress knows of one backend's process, that was born at `born`."""

    born: float
    ratio: float
    errors: float
    proof: float
    resting: float
    trial: bool


class Learned(NamedTuple):
    """What an ingress had learned of its backends by a time: speeds, ejections, how many attempts may be out."""

    at: float
    slots: float
    usable: int
    rate: float
    classes: dict[str, LearnedClass]
    backends: dict[str, LearnedBackend]


class SavedReservation(NamedTuple):
    """Headroom of a member's allowance that one ingress leaves to its next incarnation (`quota.reserve`).

    `plan`: its number in the settings; `units` at Unix time `at`, -inf where the allowance was forgotten.
    """

    plan: int
    customer: int
    first: int
    width: int
    units: float
    at: float
