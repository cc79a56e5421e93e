"""Charges that wait for the counter's answer or may still be refunded.

Nobody says that a request has ended: its charge stays refundable until `MAX_CHARGES` newer ones have pushed it out.

Invariants: a charge has one answer at most, and one refund at most; a request whose charge was refunded gets no answer.
Numbers rise within an incarnation, by which the counter tells a repeated charge from a new one.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.common.quota_timing import LOCAL_QUOTA_FROM_S, OVER_LIMIT
from thistleusher.proxy.requests import ChargeAnswered
from thistleusher.transport.messages import ChargeResult

MAX_CHARGES = 20_000  # remembered; one that is forgotten gets no answer and no refund
ANSWER_MAX_AGE_S = LOCAL_QUOTA_FROM_S  # after the charge was sent, from which its answer is too old to admit anything


class OpenCharge(NamedTuple):
    """A charge without an answer: of which request and tenant, and when it was sent, if there was a counter."""

    request: str
    tenant: str
    sent_at: float


class OpenCharges:
    """The open charges of one proxy, within one incarnation."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.last_number = 0
        self.unanswered: dict[int, OpenCharge] = {}  # by number
        self.refundable: dict[str, int] = {}  # number by request

    def open(self, now: float, request: str, tenant: str) -> int:
        """Return the number of a new charge; beyond `MAX_CHARGES` the oldest is forgotten."""
        self.last_number += 1
        number = self.last_number
        self.unanswered[number] = OpenCharge(request, tenant, now)
        if len(self.unanswered) > MAX_CHARGES:
            del self.unanswered[next(iter(self.unanswered))]
        self.refundable[request] = number
        if len(self.refundable) > MAX_CHARGES:
            del self.refundable[next(iter(self.refundable))]
        return number

    def open_anew(self, now: float) -> list[tuple[int, str]]:
        """Give the unanswered charges new numbers, for a new counter; return these and the tenants.

        Answers of the counter before it are dropped from here on.
        """
        unanswered = list(self.unanswered.values())
        self.unanswered.clear()
        return [(self.open(now, charge.request, charge.tenant), charge.tenant) for charge in unanswered]

    def refund(self, request: str) -> int | None:
        """Return the number of the charge to refund, the first time only; its answer is dropped from here on."""
        number = self.refundable.pop(request, None)
        if number is not None:
            self.unanswered.pop(number, None)
        return number

    def answered(self, now: float, result: ChargeResult) -> ChargeAnswered | None:
        """Return the answer for the request that waits for it; None where none does.

        One that comes too late counts as `OVER_LIMIT`: its window may have ended long ago.
        """
        if result.incarnation != self.incarnation:
            return None
        charge = self.unanswered.pop(result.number, None)
        if charge is None:
            return None
        if now - charge.sent_at >= ANSWER_MAX_AGE_S:
            return ChargeAnswered(charge.request, OVER_LIMIT, 0.0, result.window)
        return ChargeAnswered(charge.request, result.verdict, result.seconds, result.window)
