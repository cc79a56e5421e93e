"""Saved state of the decision module, restored by the ingress's next incarnation."""

from __future__ import annotations

from typing import NamedTuple


class SavedCustomer(NamedTuple):
    """Saved state of a customer. The fields are those of `core.customer.Customer`.

    `acknowledged`: own units that the count included; `admitted_quarters`, `peer_quarters`: quarter units admitted
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
    doubtful: float = 0.0  # part of `pending` that the count of `doubtful_window` may already include
    doubtful_window: int = -1


class LearnedClass(NamedTuple):
    """Moving mean and unloaded latency (`base`) of a class in seconds, and its regression of time over units.

    `variance` is that of the units, `covariance` that of units and time.
    """

    latency: float
    base: float
    seen: int = 0
    units: float = 0.0
    time: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0


class LearnedBackend(NamedTuple):
    """Saved state of one backend process, which started at `born`.

    `fault_evidence` is a log-likelihood ratio, `ejected_until` is in Unix seconds.
    """

    born: float
    ratio: float
    errors: float
    fault_evidence: float
    ejected_until: float
    trial: bool


class Learned(NamedTuple):
    """Saved state of all backends at Unix time `at`: speeds, ejections, and the concurrency limit (`slots`)."""

    at: float
    slots: float
    usable: int
    rate: float
    classes: dict[str, LearnedClass]
    backends: dict[str, LearnedBackend]


class SavedReservation(NamedTuple):
    """Headroom of a customer's allowance that one ingress reserves for its next incarnation (`quota.reservations`).

    `plan` is the plan's number. `units` were left at Unix time `at`, which is -inf if the allowance was evicted.
    """

    plan: int
    customer: int
    first: int
    width: int
    units: float
    at: float
