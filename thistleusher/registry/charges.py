"""Charges by their names: each counts once and is given back once, however often and in whatever order it comes.

A charge is named by its sender's life and a number. This counter remembers what became of the last `REMEMBERED`
charges of each sender's present life; a number at or below the highest forgotten one is never counted, so the bound
on memory costs answers and never a second count. A charge that is given back before it has come is not counted when
it comes. A new counter begins with an empty ledger: it knows no charge of another counter's, and gives none back.

Pure; seconds on the steady clock. Cost: a dictionary look-up a charge.
"""

from __future__ import annotations

import math

from thistleusher.common.quota_timing import DECIDE_LOCALLY
from thistleusher.registry.counts import NO_WINDOW, CountResult, QuotaCounter
from thistleusher.transport.errors import UnexpectedMessageError
from thistleusher.transport.messages import Charge, ChargeResult

REMEMBERED = 256  # charges of a sender's life; what comes later than so many others is neither counted nor given back


class CountedCharge:
    """One charge that is remembered."""

    __slots__ = ("tenant", "amount", "at", "count", "given_back")

    def __init__(self, tenant: str, amount: float, at: float, count: CountResult | None) -> None:
        """`count`: what became of it; None for one that was given back before it came."""
        self.tenant, self.amount, self.at, self.count = tenant, amount, at, count
        self.given_back = count is None

    def repeated(self, now: float) -> CountResult | None:
        """What a repetition is answered, None where it is not."""
        if self.count is None or self.count.verdict == DECIDE_LOCALLY:
            return self.count
        return self.count._replace(seconds=max(0.0, self.count.seconds - (now - self.at)))


class SenderCharges:
    """The charges of one life of a sender."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.charges: dict[int, CountedCharge] = {}
        self.forgotten = 0  # the highest number that is remembered no more

    def remember(self, number: int, charge: CountedCharge) -> None:
        """Add one; the first that came is forgotten beyond `REMEMBERED`."""
        self.charges[number] = charge
        if len(self.charges) > REMEMBERED:
            first = next(iter(self.charges))
            del self.charges[first]
            self.forgotten = max(self.forgotten, first)


class ChargeTable:
    """The charges that one counter has seen."""

    def __init__(self, counts: QuotaCounter) -> None:
        self.counts = counts
        self.senders: dict[str, SenderCharges] = {}

    def take(self, now: float, sender: str, charge: Charge) -> ChargeResult | None:
        """A charge, or one given back: the answer, if there is one to give.

        UnexpectedMessage where its amount is none.
        """
        if not math.isfinite(charge.amount) or charge.amount == 0:
            raise UnexpectedMessageError(charge)
        ledger = self._ledger(sender, charge.incarnation)
        if ledger is None:
            return None
        if charge.amount < 0:
            self._give_back(now, ledger, charge)
            return None
        count = self._count(now, sender, ledger, charge)
        if count is None:
            return None
        return ChargeResult(charge.incarnation, charge.number, count.verdict, count.seconds, count.window)

    def _ledger(self, sender: str, incarnation: str) -> SenderCharges | None:
        """The ledger of a sender's present life; None for a message of another life."""
        ingress = self.counts.ingresses.get(sender)
        if ingress is None or ingress.incarnation != incarnation:
            return None
        ledger = self.senders.get(sender)
        if ledger is None or ledger.incarnation != incarnation:
            ledger = self.senders[sender] = SenderCharges(incarnation)
        return ledger

    def _count(self, now: float, sender: str, ledger: SenderCharges, charge: Charge) -> CountResult | None:
        known = ledger.charges.get(charge.number)
        if known is not None:
            return known.repeated(now)
        if charge.number <= ledger.forgotten:
            return None
        count = self.counts.add(now, sender, charge.tenant, charge.amount)
        ledger.remember(charge.number, CountedCharge(charge.tenant, charge.amount, now, count))
        return count

    def _give_back(self, now: float, ledger: SenderCharges, charge: Charge) -> None:
        known = ledger.charges.get(charge.number)
        if known is None:
            if charge.number > ledger.forgotten:
                ledger.remember(charge.number, CountedCharge(charge.tenant, -charge.amount, now, None))
            return
        if known.given_back or known.count is None:
            return
        known.given_back = True
        if known.count.window != NO_WINDOW:
            self.counts.give_back(now, known.tenant, known.amount, known.count.window)
