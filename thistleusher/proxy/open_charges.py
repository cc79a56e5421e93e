"""Charges that wait for the counter's answer or may still be refunded.

The end of a request is not reported to this module: its charge stays refundable until `MAX_CHARGES` newer charges have
displaced it.

Invariants: a charge gets at most one answer and at most one refund. A request whose charge was refunded gets no answer.
Charge numbers increase within an incarnation, so that the counter can tell a repeated charge from a new one.

Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.quota_timing import LOCAL_QUOTA_FROM_S, OVER_LIMIT
from thistleusher.proxy.requests import ChargeAnswered
from thistleusher.transport.messages import ChargeResult

MAX_CHARGES = 20_000  # charges kept; a charge that has been displaced gets no answer and no refund
ANSWER_MAX_AGE_S = LOCAL_QUOTA_FROM_S  # an answer that takes this long since the charge was sent admits nothing


class OpenCharge(NamedTuple):
    """A charge without an answer; `sent_at`: time of the charge, even if no counter was known then."""

    request: str
    tenant: str
    sent_at: float


class OpenCharges:
    """Open charges of one incarnation of a proxy."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.last_number = 0
        self.unanswered: dict[int, OpenCharge] = {}  # by charge number
        self.refundable: dict[str, int] = {}  # charge number by request id

    def open(self, now: float, request: str, tenant: str) -> int:
        """Record a new charge and return its number; beyond `MAX_CHARGES` the oldest charge is dropped."""
        self.last_number += 1
        number = self.last_number
        self.unanswered[number] = OpenCharge(request, tenant, now)
        if len(self.unanswered) > MAX_CHARGES:
            del self.unanswered[next(iter(self.unanswered))]
        self.refundable[request] = number
        if len(self.refundable) > MAX_CHARGES:
            del self.refundable[next(iter(self.refundable))]
        return number

    def renumber_unanswered(self, now: float) -> list[tuple[int, str]]:
        """Renumber the unanswered charges for a new counter; return pairs (number, tenant).

        Answers of the previous counter are ignored from then on.
        """
        unanswered = list(self.unanswered.values())
        self.unanswered.clear()
        return [(self.open(now, charge.request, charge.tenant), charge.tenant) for charge in unanswered]

    def refund(self, request: str) -> int | None:
        """Return the number of the charge to refund, None if there is none left; a later answer to it is ignored."""
        number = self.refundable.pop(request, None)
        if number is not None:
            self.unanswered.pop(number, None)
        return number

    def answered(self, now: float, result: ChargeResult) -> ChargeAnswered | None:
        """Return the answer for the waiting request, None if no request waits for it.

        An answer that arrives too late counts as `OVER_LIMIT`, as the window of its charge may have ended long ago.
        """
        if result.incarnation != self.incarnation:
            return None
        charge = self.unanswered.pop(result.number, None)
        if charge is None:
            return None
        if now - charge.sent_at >= ANSWER_MAX_AGE_S:
            return ChargeAnswered(charge.request, OVER_LIMIT, 0.0, result.window)
        return ChargeAnswered(charge.request, result.verdict, result.seconds, result.window)
