"""How an ingress starts: the handshake by which each pair of ingresses agrees before shares are used in full.

Guaranteed, for messages lost, late, doubled and out of order:

- a pair of ingresses is reconciled only by a message that was addressed to this very incarnation of the other: it says
  whether shares have gone between them in an epoch that is not over;
- the headroom with which a fleet starts is granted to an ingress once in an unbroken chain of overlapping incarnations.

How. Whoever starts sends a handshake to all others, again and again until each has answered or the longest epoch is
over. A handshake holds the own incarnation, the receiver's as known, when the chain of incarnations that the sender is
part of began (its origin), and flags: an earlier incarnation of the receiver was known, and shares went between the
two. A pair of which both have started anew starts at nothing on both sides: what one's earlier incarnation gave to the
other's is lost with both. Where one of the two goes on, its balance is the true one.

Cost: constant a message, and one handshake each `handshake_interval` to each ingress that has not answered. The design
note is docs/bootstrap.md; `quota.incarnations` says which incarnation is listened to.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from thistleusher.quota.incarnations import Incarnations, Sender
from thistleusher.quota.messages import Handshake, HandshakeFlag, decode_handshake

JOINT_START_MS = 5000  # after a chain's origin, within which a start counts as one of those that started together
REPEAT_S = 0.4  # between two handshakes to one peer in a large fleet
FIRST_PHASE_S, SECOND_PHASE_S = 1.0, 5.0  # age until which handshakes are frequent, and less frequent
FIRST_INTERVAL_S, SECOND_INTERVAL_S, LAST_INTERVAL_S = 0.05, 0.25, 1.0
INTERVAL_TOLERANCE = 0.9  # of an interval, after which the next handshake is due: timers are not exact
MARGIN_S = 1.0  # behind the longest epoch, until which handshakes are sent


class Bootstrap:
    """Progress of one ingress's start, by handshakes. Times in seconds of the one clock."""

    def __init__(
        self, instances: int, me: int, started_at: float, longest_epoch: float, on_demand: bool = False
    ) -> None:
        """Start at `started_at`.

        longest_epoch: in seconds; after that much time this ingress needs nobody's message
        on_demand: of a large fleet only those get handshakes with whom this ingress is to reconcile (`require`)
        """
        self.me = me
        self.started_at = started_at
        self.until = started_at + longest_epoch + MARGIN_S
        self.incarnations = Incarnations(started_at)
        self.origin = self.incarnations.own
        self.on_demand = on_demand
        self.known_before = False  # a peer knew an earlier incarnation of this ingress
        self.restored = False  # its own folder knows one, of an epoch that is not over
        # By peer, when it confirmed to this incarnation that nothing had gone between the two; inf: something had.
        self.reconciled_at: dict[int, float] = {}
        self._others = [n for n in range(instances) if n != me]
        self._transfers_until: dict[int, float] = {}  # by peer, end of the last epoch in which shares went between us
        self._pending = set[int]() if on_demand else set(self._others)  # peers that are to answer a handshake
        self._last_sent_at = -math.inf
        self._sent_at: dict[int, float] = {}  # by peer, where handshakes are sent on demand

    @property
    def incarnation(self) -> int:
        """Return the number of this ingress's own incarnation."""
        return self.incarnations.own

    def record_transfer(self, peer: int, until: float) -> None:
        """Note that shares have gone to or come from a peer in an epoch that ends at `until`."""
        self._transfers_until[peer] = max(until, self._transfers_until.get(peer, 0.0))

    def handshake(self, now: float, peer: int, shutting_down: bool = False) -> bytes:
        """Return the handshake to a peer."""
        flags = 0
        if peer in self.incarnations.restarted:
            flags |= HandshakeFlag.KNEW_EARLIER
        if self._transfers_until.get(peer, 0.0) > now:
            flags |= HandshakeFlag.TRANSFERRED
        if shutting_down:
            flags |= HandshakeFlag.SHUTTING_DOWN
        known = self.incarnations.current.get(peer, 0)
        return Handshake(self.incarnation, known, self.origin, flags).encode()

    def receive(self, now: float, peer: int, payload: bytes) -> bytes | None:
        """Take in a peer's handshake; return the answer to it where the peer has not had one."""
        message = decode_handshake(payload)
        if message is None or peer == self.me:
            return None
        sender = self.incarnations.observe(now, peer, message.incarnation)
        if sender is Sender.SUPERSEDED or not 0 < message.origin <= message.incarnation:
            return None
        self.origin = min(self.origin, message.origin)
        addressed = message.receiver_incarnation == self.incarnation
        if addressed and peer not in self.reconciled_at:
            self.reconciled_at[peer] = math.inf if message.flags & HandshakeFlag.TRANSFERRED else now
            self._pending.discard(peer)
            self.known_before |= bool(message.flags & HandshakeFlag.KNEW_EARLIER)
        if message.flags & HandshakeFlag.SHUTTING_DOWN:
            self.incarnations.shut_down.add(peer)
            return None
        return self.handshake(now, peer) if sender is Sender.NEW or not addressed else None

    def handshake_interval(self, now: float) -> float:
        """Return the seconds between handshakes at this age."""
        age = now - self.started_at
        if age < FIRST_PHASE_S:
            return FIRST_INTERVAL_S
        return SECOND_INTERVAL_S if age < SECOND_PHASE_S else LAST_INTERVAL_S

    def require(self, peers: Iterable[int]) -> None:
        """Note that this ingress is to be reconciled with these, where handshakes are sent on demand."""
        if self.on_demand:
            self._pending.update(p for p in peers if p != self.me and p not in self.reconciled_at)

    def due_handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes that are due, one to each peer that has not answered."""
        interval = INTERVAL_TOLERANCE * self.handshake_interval(now)
        if now > self.until or now - self._last_sent_at < interval:
            return []
        self._last_sent_at = now
        due = list(self._pending)
        if self.on_demand:
            due = [peer for peer in due if now - self._sent_at.get(peer, -math.inf) >= REPEAT_S]
            self._sent_at.update(dict.fromkeys(due, now))
        return [(peer, self.handshake(now, peer)) for peer in sorted(due)]

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake; None where none is due any more."""
        if now > self.until or not self._pending:
            return None
        return self.handshake_interval(now)

    def known_peers(self) -> list[int]:
        """Return the peers that may hold anything of this ingress's, or wait for its message."""
        return [p for p in self._others if not self.on_demand or p in self.incarnations.current]

    def reconciled_by(self, peer: int, time: float) -> bool:
        """Return whether a peer had confirmed to this incarnation by then that no shares had gone between the two."""
        return self.reconciled_at.get(peer, math.inf) <= time

    def started_together(self, members: Iterable[int]) -> bool:
        """Return whether this ingress and the others of a set started together, as far as anybody in it knows."""
        return (
            not self.known_before
            and not self.restored
            and self.origin >= self.incarnation - JOINT_START_MS
            and all(peer in self.reconciled_at for peer in members if peer != self.me)
        )
