"""Transfers of shares and headroom between two ingresses of a set.

The giver first lowers its own share and headroom, and then sends the running totals of what it has given to that peer
in this epoch; the receiver adds the difference to the totals that it knows. So the next message makes up for a lost
one, a duplicate changes nothing, and a message of another epoch is ignored. An ingress that starts asks its peers for
their balances, i.e. for what they and its earlier incarnations have transferred to each other.
"""

from __future__ import annotations

import math

from thistleusher.quota.allowance import NO_TRANSFERS, Allowance, TransferTotals
from thistleusher.quota.messages import EPOCH_MASK, MAX_FIELD, BalanceRow, TransferRow
from thistleusher.quota.terms import GRAINS_PER_UNIT, WHOLE_SHARE, AllowanceKey

IDLE_AFTER_S = 0.5  # seconds without a request after which all spare headroom of an allowance may be given away


def transfer_row(key: AllowanceKey, allowance: Allowance, share: int, grains: int) -> bytes:
    """Return the encoded row of an allowance with the share and grains that were given or are demanded."""
    members = allowance.next_members
    return TransferRow(*key, allowance.epoch, members[0], len(members), share, grains).encode()


def give(
    allowance: Allowance, now: float, peer: int, wanted: float = math.inf, shutting_down: bool = False
) -> TransferTotals | None:
    """Give spare share and at most `wanted` units of spare headroom to `peer`.

    If the allowance is not in use here, all spare headroom may be given, otherwise half of it. Returns the running
    totals given to the peer in this epoch; None if nothing has been given.
    """
    allowance.advance(now)
    if peer not in allowance.members or peer == allowance.me or allowance.unreconciled:
        return None
    given = allowance.given_totals.get(peer, NO_TRANSFERS)
    share = _transferable_share(allowance, peer, given, shutting_down)
    idle = shutting_down or now - allowance.last_used_at > IDLE_AFTER_S
    unreserved = allowance.unreserved_headroom(now)
    headroom = max(0.0, min(unreserved if idle else unreserved / 2, wanted))
    grains = min(MAX_FIELD - given.grains, int(headroom * GRAINS_PER_UNIT))
    if share or grains:
        allowance.share -= share
        allowance.headroom = min(allowance.headroom - grains / GRAINS_PER_UNIT, allowance.max_headroom())
        given = allowance.given_totals[peer] = TransferTotals(given.share + share, given.grains + grains)
        allowance.bootstrap.record_transfer(peer, allowance.epoch_end())
    return given if given != NO_TRANSFERS else None


def _transferable_share(allowance: Allowance, peer: int, given: TransferTotals, shutting_down: bool) -> int:
    """Return the share that can be given to a peer.

    An ingress gives its own share and returns share that it received from that peer, but never passes on share that it
    received from others: if the balances with both were lost, no share would be left to make up for it.
    """
    spare = allowance.share - allowance.guaranteed_share()
    received = allowance.received_totals.get(peer, NO_TRANSFERS).share
    net_given_to_others = sum(
        max(0, totals.share - allowance.received_totals.get(other, NO_TRANSFERS).share)
        for other, totals in allowance.given_totals.items()
        if other != peer
    )
    own = allowance.even_share() - allowance.guaranteed_share() - net_given_to_others - (given.share - received)
    desired = spare if shutting_down else max(spare // 2, received - given.share)
    return max(0, min(MAX_FIELD - given.share, desired, spare, own))


def receive(allowance: Allowance, now: float, peer: int, epoch: int, totals: TransferTotals) -> None:
    """Apply the running totals given by `peer` in this epoch; older totals and other epochs change nothing."""
    allowance.advance(now)
    if not _is_current(allowance, peer, epoch) or peer in allowance.unreconciled:
        return
    before = allowance.received_totals.get(peer, NO_TRANSFERS)
    if totals.share < before.share or totals.grains < before.grains or totals == before:
        return
    allowance.received_totals[peer] = totals
    _add(allowance, peer, totals.share - before.share, totals.grains - before.grains)


def balance_for(key: AllowanceKey, allowance: Allowance, now: float, peer: int, wanted: float) -> bytes:
    """Return the encoded balance for a peer that has started: totals given and received, and what is given now."""
    allowance.advance(now)
    before = allowance.given_totals.get(peer, NO_TRANSFERS)
    given = give(allowance, now, peer, wanted) or before
    received = allowance.received_totals.get(peer, NO_TRANSFERS)
    new_share, new_grains = given.share - before.share, given.grains - before.grains
    return BalanceRow(*key, allowance.epoch, *given, *received, new_share, new_grains).encode()


def reconcile(allowance: Allowance, now: float, peer: int, row: BalanceRow) -> None:
    """Apply a peer's balance with this ingress's earlier incarnations, and what the peer has just given."""
    allowance.advance(now)
    if not _is_current(allowance, peer, row.epoch):
        return
    given_by_peer = TransferTotals(row.given_share, row.given_grains)
    if peer not in allowance.unreconciled:  # already reconciled, so only what was given since then counts
        receive(allowance, now, peer, row.epoch, given_by_peer)
        return
    allowance.unreconciled.discard(peer)
    allowance.received_totals[peer] = given_by_peer
    allowance.given_totals[peer] = TransferTotals(row.received_share, row.received_grains)
    allowance.earlier_net_share += row.given_share - row.new_share - row.received_share
    allowance.earlier_given_share += row.received_share
    _add(allowance, peer, row.new_share, row.new_grains)
    allowance.update_unreconciled()


def _is_current(allowance: Allowance, peer: int, epoch: int) -> bool:
    """Return whether a row is of the current epoch and from a peer of the ingress set."""
    return epoch == allowance.epoch & EPOCH_MASK and peer in allowance.members and peer != allowance.me


def _add(allowance: Allowance, peer: int, share: int, grains: int) -> None:
    allowance.share = min(WHOLE_SHARE, allowance.share + share)
    allowance.headroom = min(allowance.max_headroom(), allowance.headroom + grains / GRAINS_PER_UNIT)
    allowance.bootstrap.record_transfer(peer, allowance.epoch_end())
