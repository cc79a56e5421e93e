"""Charges by their identity: each counts once and is refunded once, however often and in whatever order it arrives.

A charge is identified by its sender's incarnation and a number. This counter remembers what became of the last
`REMEMBERED_CHARGES` charges of each sender's present incarnation; a number at or below the highest forgotten one is
never counted, so the bound on memory costs answers and never a second count. A charge that is refunded before it has
arrived is not counted when it arrives. A new counter begins with an empty table: it knows no charge of another
counter's, and refunds none. A refund is a `Charge` message with the number of the charge and a negative amount.

Pure; seconds on the steady clock. Cost: a dictionary look-up a charge.
"""

from __future__ import annotations

import math

from thistleusher.common.quota_timing import ALLOWED
from thistleusher.registry.quota_counter import NO_WINDOW, CountResult, QuotaCounter
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import Charge, ChargeResult

# Of a sender's incarnation. A charge that comes later than so many others is neither counted nor refunded.
REMEMBERED_CHARGES = 256


class RememberedCharge:
    """One charge that is remembered."""

    __slots__ = ("tenant", "amount", "at", "result", "refunded")

    def __init__(self, tenant: str, amount: float, at: float, result: CountResult | None) -> None:
        """Remember a charge and its `result`; None for one that was refunded before it arrived."""
        self.tenant = tenant
        self.amount = amount
        self.at = at
        self.result = result
        self.refunded = result is None

    def repeated(self, now: float) -> CountResult | None:
        """Return the answer to a repetition, None where there is none; the time until the next window has shrunk."""
        if self.result is None:
            return None
        return self.result._replace(seconds=max(0.0, self.result.seconds - (now - self.at)))


class SenderCharges:
    """The charges of one incarnation of a sender."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.charges: dict[int, RememberedCharge] = {}
        self.highest_forgotten = 0

    def remember(self, number: int, charge: RememberedCharge) -> None:
        """Add a charge; beyond `REMEMBERED_CHARGES` the one that came first is forgotten."""
        self.charges[number] = charge
        if len(self.charges) > REMEMBERED_CHARGES:
            first = next(iter(self.charges))
            del self.charges[first]
            self.highest_forgotten = max(self.highest_forgotten, first)


class ChargeTable:
    """The charges that one counter has seen."""

    def __init__(self, counter: QuotaCounter) -> None:
        self.counter = counter
        self.senders: dict[str, SenderCharges] = {}

    def receive(self, now: float, sender: str, charge: Charge) -> ChargeResult | None:
        """Count or refund a charge; return the answer, if there is one to give.

        Raise UnexpectedMessageError where the amount is 0 or not finite.
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
        """Return the charges of a sender's present incarnation; None for a message of another one."""
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
            return known.repeated(now)
        if charge.number <= charges.highest_forgotten:
            return None
        result = self.counter.charge(now, charge.tenant, charge.amount)
        charges.remember(charge.number, RememberedCharge(charge.tenant, charge.amount, now, result))
        return result

    def _refund(self, now: float, charges: SenderCharges, charge: Charge) -> None:
        known = charges.charges.get(charge.number)
        if known is None:
            if charge.number > charges.highest_forgotten:
                charges.remember(charge.number, RememberedCharge(charge.tenant, -charge.amount, now, None))
            return
        if known.refunded or known.result is None:
            return
        known.refunded = True
        if known.result.verdict == ALLOWED and known.result.window != NO_WINDOW:
            self.counter.refund(now, known.tenant, known.amount, known.result.window, known.at)
