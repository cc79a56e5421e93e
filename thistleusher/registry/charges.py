"""Deduplicates charges: each is counted at most once and refunded at most once, in whatever order messages arrive.

A charge is identified by its sender's incarnation and a number. The counter keeps the results of the last
`MAX_RECORDED_CHARGES` charges of each sender's current incarnation. A number at or below the highest evicted one is
never counted, so the memory bound can cost an answer but never causes a second count. A charge whose refund arrives
first is not counted when it arrives. A new counter starts with an empty table: it does not know the charges of another
counter and refunds none of them. A refund is a `Charge` message with the number of the charge and a negative amount.

No I/O. Times are seconds on the steady clock. Cost: one dictionary look-up per charge.
"""

from __future__ import annotations

import math

from thistleusher.common.quota_timing import ALLOWED
from thistleusher.registry.quota_counter import NO_WINDOW, CountResult, QuotaCounter
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import Charge, ChargeResult

# Number of charges kept per sender. A charge that arrives after this many later ones is neither counted nor refunded.
MAX_RECORDED_CHARGES = 256


class RecordedCharge:
    """One charge and its result."""

    __slots__ = ("tenant", "amount", "at", "result", "refunded")

    def __init__(self, tenant: str, amount: float, at: float, result: CountResult | None) -> None:
        """Store a charge and its `result`; None if the charge was refunded before it arrived."""
        self.tenant = tenant
        self.amount = amount
        self.at = at
        self.result = result
        self.refunded = result is None

    def duplicate_result(self, now: float) -> CountResult | None:
        """Return the result for a duplicate, with the time until the next window brought up to date.

        Return None if the charge was refunded before it arrived.
        """
        if self.result is None:
            return None
        return self.result._replace(seconds=max(0.0, self.result.seconds - (now - self.at)))


class SenderCharges:
    """The charges of one sender's incarnation."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.charges: dict[int, RecordedCharge] = {}
        self.highest_evicted = 0

    def record(self, number: int, charge: RecordedCharge) -> None:
        """Add a charge; evict the oldest one if there are more than `MAX_RECORDED_CHARGES`."""
        self.charges[number] = charge
        if len(self.charges) > MAX_RECORDED_CHARGES:
            first = next(iter(self.charges))
            del self.charges[first]
            self.highest_evicted = max(self.highest_evicted, first)


class ChargeTable:
    """The charges that one counter has received, by sender."""

    def __init__(self, counter: QuotaCounter) -> None:
        self.counter = counter
        self.senders: dict[str, SenderCharges] = {}

    def receive(self, now: float, sender: str, charge: Charge) -> ChargeResult | None:
        """Count or refund a charge; return the reply, or None if none is sent.

        Raise UnexpectedMessageError if the amount is 0 or not finite.
        """
        if not math.isfinite(charge.amount) or charge.amount == 0:
            raise UnexpectedMessageError(charge)
        charges = self._charges_of(sender, charge.incarnation)
        if charges is None:
            return None
        if charge.amount < 0:
            self._refund(now, charges, charge)
            return None
        result = self._count(now, charges, charge)
        if result is None:
            return None
        return ChargeResult(charge.incarnation, charge.number, result.verdict, result.seconds, result.window)

    def _charges_of(self, sender: str, incarnation: str) -> SenderCharges | None:
        """Return the charges of a sender's current incarnation; None if the message is from another incarnation."""
        proxy = self.counter.shares.proxies.get(sender)
        if proxy is None or proxy.incarnation != incarnation:
            return None
        charges = self.senders.get(sender)
        if charges is None or charges.incarnation != incarnation:
            charges = self.senders[sender] = SenderCharges(incarnation)
        return charges

    def _count(self, now: float, charges: SenderCharges, charge: Charge) -> CountResult | None:
        known = charges.charges.get(charge.number)
        if known is not None:
            return known.duplicate_result(now)
        if charge.number <= charges.highest_evicted:
            return None
        result = self.counter.charge(now, charge.tenant, charge.amount)
        charges.record(charge.number, RecordedCharge(charge.tenant, charge.amount, now, result))
        return result

    def _refund(self, now: float, charges: SenderCharges, charge: Charge) -> None:
        known = charges.charges.get(charge.number)
        if known is None:
            if charge.number > charges.highest_evicted:
                charges.record(charge.number, RecordedCharge(charge.tenant, -charge.amount, now, None))
            return
        if known.refunded or known.result is None:
            return
        known.refunded = True
        if known.result.verdict == ALLOWED and known.result.window != NO_WINDOW:
            self.counter.refund(now, known.tenant, known.amount, known.result.window, known.at)
