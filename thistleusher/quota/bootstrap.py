"""Start-up of an ingress: pairs of ingresses exchange handshakes before either uses its full share.

Guarantees, if messages are lost, delayed, duplicated or reordered:

- a pair of ingresses is reconciled only by a message addressed to the current incarnation of the receiver; the message
  says whether shares were transferred between the two in an epoch that is not over;
- the headroom of a simultaneous start is granted to an ingress once per unbroken chain of overlapping incarnations.

Protocol: an ingress that starts sends handshakes to all other ingresses and repeats them until each has answered or
the longest epoch is over. A handshake holds the sender's incarnation, the receiver's incarnation as known to the
sender, the start of the chain of overlapping incarnations to which the sender belongs (its origin), and flags: whether
the sender knew an earlier incarnation of the receiver, and whether shares were transferred between the two. If both
ingresses of a pair have restarted, both start with empty totals: transfers between their earlier incarnations are lost
on both sides. If only one has restarted, the balance of the other one is authoritative.

Cost: constant per message, and one handshake per `handshake_interval` to each ingress that has not answered. The
design note is docs/bootstrap.md. `quota.incarnations` decides which incarnation's messages are accepted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from thistleusher.quota.incarnations import Incarnations, Sender
from thistleusher.quota.messages import Handshake, HandshakeFlag, decode_handshake

SIMULTANEOUS_START_MS = 5000  # maximum time from a chain's origin to a start that still counts as simultaneous
HANDSHAKE_REPEAT_S = 0.4  # minimum interval between handshakes to the same peer if handshakes are sent on demand
FIRST_PHASE_S, SECOND_PHASE_S = 1.0, 5.0  # ages of the incarnation at which the handshake interval grows
FIRST_INTERVAL_S, SECOND_INTERVAL_S, LAST_INTERVAL_S = 0.05, 0.25, 1.0  # handshake interval in each phase
INTERVAL_TOLERANCE = 0.9  # handshakes are due after this fraction of the interval, as timers may fire early
HANDSHAKE_MARGIN_S = 1.0  # handshakes are sent until this long after the longest epoch


class Bootstrap:
    """Handshake state of one starting ingress. Times are in seconds of the shared clock."""

    def __init__(
        self, instances: int, me: int, started_at: float, longest_epoch: float, on_demand: bool = False
    ) -> None:
        """Begin an incarnation at `started_at`.

        longest_epoch: length in seconds of the longest epoch; after it this ingress needs no peer's message
        on_demand: send handshakes only to the peers given to `require`, as in a large deployment, instead of to all
        """
        self.me = me
        self.started_at = started_at
        self.handshakes_until = started_at + longest_epoch + HANDSHAKE_MARGIN_S
        self.incarnations = Incarnations(started_at)
        self.origin = self.incarnations.own
        self.on_demand = on_demand
        self.peer_knew_earlier = False  # whether a peer knew an earlier incarnation of this ingress
        # Whether the state folder has an earlier incarnation that was active in an epoch that is not over.
        self.folder_has_earlier = False
        # By peer: time at which it confirmed to this incarnation that nothing was transferred between the two; inf if
        # something was.
        self.reconciled_at: dict[int, float] = {}
        self._others = [n for n in range(instances) if n != me]
        self._transfers_until: dict[int, float] = {}  # by peer, end of the last epoch with a transfer to or from it
        self._pending = set[int]() if on_demand else set(self._others)  # peers that have not answered a handshake
        self._last_sent_at = -math.inf
        self._sent_at: dict[int, float] = {}  # by peer, time of the last handshake; used only if `on_demand`

    @property
    def incarnation(self) -> int:
        """Return the number of this ingress's own incarnation."""
        return self.incarnations.own

    def record_transfer(self, peer: int, until: float) -> None:
        """Record a transfer to or from a peer in an epoch that ends at `until`."""
        self._transfers_until[peer] = max(until, self._transfers_until.get(peer, 0.0))

    def handshake(self, now: float, peer: int, shutting_down: bool = False) -> bytes:
        """Return the encoded handshake for a peer."""
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
        """Process a peer's handshake; return the answer, or None if the handshake needs none."""
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
            self.peer_knew_earlier |= bool(message.flags & HandshakeFlag.KNEW_EARLIER)
        if message.flags & HandshakeFlag.SHUTTING_DOWN:
            self.incarnations.shut_down.add(peer)
            return None
        return self.handshake(now, peer) if sender is Sender.NEW or not addressed else None

    def handshake_interval(self, now: float) -> float:
        """Return the interval between handshakes in seconds; it grows with the age of this incarnation."""
        age = now - self.started_at
        if age < FIRST_PHASE_S:
            return FIRST_INTERVAL_S
        return SECOND_INTERVAL_S if age < SECOND_PHASE_S else LAST_INTERVAL_S

    def require(self, peers: Iterable[int]) -> None:
        """Send handshakes to these peers until they answer; has no effect unless handshakes are sent on demand."""
        if self.on_demand:
            self._pending.update(p for p in peers if p != self.me and p not in self.reconciled_at)

    def due_handshakes(self, now: float) -> list[tuple[int, bytes]]:
        """Return the handshakes that are due as (peer, message), one for each peer that has not answered."""
        interval = INTERVAL_TOLERANCE * self.handshake_interval(now)
        if now > self.handshakes_until or now - self._last_sent_at < interval:
            return []
        self._last_sent_at = now
        due = list(self._pending)
        if self.on_demand:
            due = [peer for peer in due if now - self._sent_at.get(peer, -math.inf) >= HANDSHAKE_REPEAT_S]
            self._sent_at.update(dict.fromkeys(due, now))
        return [(peer, self.handshake(now, peer)) for peer in sorted(due)]

    def handshake_delay(self, now: float) -> float | None:
        """Return the seconds until the next handshake; None if no more handshakes will be sent."""
        if now > self.handshakes_until or not self._pending:
            return None
        return self.handshake_interval(now)

    def known_peers(self) -> list[int]:
        """Return the peers that may hold shares of this ingress or wait for a message from it."""
        return [p for p in self._others if not self.on_demand or p in self.incarnations.current]

    def reconciled_by(self, peer: int, time: float) -> bool:
        """Return whether a peer had confirmed by `time` that no shares were transferred between it and this ingress."""
        return self.reconciled_at.get(peer, math.inf) <= time

    def started_together(self, members: Iterable[int]) -> bool:
        """Return whether all ingresses of a set started together, as far as any of them knows."""
        return (
            not self.peer_knew_earlier
            and not self.folder_has_earlier
            and self.origin >= self.incarnation - SIMULTANEOUS_START_MS
            and all(peer in self.reconciled_at for peer in members if peer != self.me)
        )
