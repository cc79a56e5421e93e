"""What the decision module had learned, as records that outlive its process."""

from __future__ import annotations

from typing import NamedTuple


class SavedCustomer(NamedTuple):
    """What one ingress knew of a customer's count; its fields are those of `core.customer.Customer`.

    `acknowledged`: own units that the count contained; `admitted_quarters`, `peer_quarters`: quarter units admitted
    here and at each peer; `reported`: units that peers reported in the window `reported_window`.
    """

    key: int
    plan: str
    level: float
    at: float
    window: int
    acknowledged: float
    pending: float
    admitted_quarters: int
    peer_quarters: dict[int, int]
    reported: float = 0.0
    reported_window: int = -1
    excess: float = 0.0
    doubtful: float = 0.0  # of `pending`: added to the count of the window `doubtful_window`, or not
    doubtful_window: int = -1


class LearnedClass(NamedTuple):
    """Usual latency of a class in seconds, and as it was unloaded; its regression line over units.

    `variance`: of units; `covariance`: of units and time.
    """

    latency: float
    base: float
    seen: int = 0
    units: float = 0.0
    time: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0


class LearnedBackend(NamedTuple):
    """What an ingress knew of one backend's process, that started at `born`.

    `fault_evidence`: that it is faulty; `ejected_until` in Unix seconds.
    """

    born: float
    ratio: float
    errors: float
    fault_evidence: float
    ejected_until: float
    trial: bool


class Learned(NamedTuple):
    """What an ingress had learned of its backends by the time `at`: speeds, ejections, how many attempts may be out."""

    at: float
    slots: float
    usable: int
    rate: float
    classes: dict[str, LearnedClass]
    backends: dict[str, LearnedBackend]


class SavedReservation(NamedTuple):
    """Headroom of a customer's allowance that one ingress leaves to its next incarnation (`quota.reservations`).

    `plan`: its number in the settings; `units` at Unix time `at`, -inf where the allowance was forgotten.
    """

    plan: int
    customer: int
    first: int
    width: int
    units: float
    at: float
