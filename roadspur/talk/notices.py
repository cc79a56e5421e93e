"""Notices: which members ask far more than their quota, told to their sets while that can still be told; pure.

Who is cut off from a wide member's home and from the counter lets in one request of each member and knows nothing of
what the others of the set let in: a member that asks three times its quota then gets three times its quota. Its home
knew. So homes watch what share of a member's requests they let in, and tell the set of those that get little; in an
outage such a member's requests go on by that share, and all others as before.

Guaranteed: a member is told of once in `AGAIN_S` at most, `PER_S` messages a second leave, `MOST` members are watched
or known. A notice that is lost or old means only that its member is taken for any other. Cost: constant a request; over
the fleet (width - 1) messages of 7 bytes for each such member in `AGAIN_S`.
"""

from __future__ import annotations

import struct
from collections import OrderedDict

from roadspur.interface import name_of

NOTICE = b"\x0a"
ROW = struct.Struct(">5sB")  # member and plan; share let in, in 255ths
ROWS = (256 - 1) // ROW.size
WEIGHT, FIRST = 0.1, 8  # of a request in that share; requests before which it says nothing
LITTLE = 0.6      # share below which a set is told
AGAIN_S, KNOWN_S = 12.0, 30.0  # between two notices of a member; for which one counts
PER_S, TICK_S = 40.0, 0.1
MOST = 4096


class Watched:
    """What share of a member's requests its home lets in, of how many, and when its set was last told."""

    __slots__ = ("share", "seen", "told")

    def __init__(self) -> None:
        self.share, self.seen, self.told = 1.0, 0, -AGAIN_S


class Notices:
    """Notices of one ingress: those it has to tell as a home, and those it was told. Times in seconds of one clock."""

    def __init__(self, instances: int, me: int) -> None:
        self.instances, self.me = instances, me
        self.watched = OrderedDict[bytes, Watched]()
        self.waiting = OrderedDict[int, dict[bytes, int]]()  # by peer: members and what is to be said, the latest
        self.known = OrderedDict[bytes, tuple[float, float]]()  # share, and when it was told

    def weigh(self, now: float, key: int, plan: int, first: int, width: int, good: bool) -> None:
        """This home has decided on a request of a member's; its set is told where it gets little."""
        name = name_of(plan, key)
        w = self.watched.get(name)
        if w is None:
            w = self.watched[name] = Watched()
            if len(self.watched) > MOST:
                self.watched.popitem(last=False)
        self.watched.move_to_end(name)
        w.seen += 1
        w.share += max(WEIGHT, 1 / w.seen) * (good - w.share)
        if w.seen >= FIRST and w.share < LITTLE and now - w.told >= AGAIN_S:
            w.told = now
            for n in range(width):
                if (peer := (first + n) % self.instances) != self.me:
                    self.waiting.setdefault(peer, {})[name] = round(255 * w.share)

    def take(self) -> list[tuple[int, bytes]]:
        """Messages that leave with this tick, the longest waiting first."""
        out: list[tuple[int, bytes]] = []
        while self.waiting and len(out) < PER_S * TICK_S:
            peer, rows = self.waiting.popitem(last=False)
            words = [ROW.pack(name, share) for name, share in rows.items()]
            out.append((peer, NOTICE + b"".join(words[:ROWS])))
        return out

    def heard(self, now: float, payload: bytes) -> None:
        """A home's notice; another length is passed over."""
        if (len(payload) - 1) % ROW.size:
            return
        for name, share in ROW.iter_unpack(payload[1:]):
            self.known[name] = share / 255, now
            self.known.move_to_end(name)
            if len(self.known) > MOST:
                self.known.popitem(last=False)

    def share(self, now: float, key: int, plan: int) -> float:
        """Of a member's requests, what share its home let in; 1 where nothing was told of late."""
        share, at = self.known.get(name_of(plan, key), (1.0, now))
        return share if now - at <= KNOWN_S else 1.0
