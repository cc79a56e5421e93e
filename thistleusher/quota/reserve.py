"""What another life may count on: room that is noted on disk, and not touched before a lower note is there.

An ingress that is killed in mid-epoch begins from empty, as its earlier life may have spent all. With a folder it may
begin with what that life cannot have spent. Writing each unit ahead of its answer would cost a commit a request; so a
note says how much room is *left alone*: at most half of what is there less one large request, and never more than
`TOP` of what the ingress is always sure of. What is above it is spent without a word to the disk.

Guaranteed: at every moment the room of the living allowance is at least what each note that may be on disk restores,
the last committed one and the one on its way. So rooms after a kill are at most what they would have been without it,
and nothing is let in twice, however often an ingress is killed and whatever the last commit lost.

How. A note holds room `v` at time `t`; it restores min(top, v + sure rate x time since t): the living room refills at
least as fast, as `KEEP` of the even share is never given away. Cost: constant a request; no I/O and no clock here.
Source: reservation by leases of numbers ahead ("hi/lo"), here of units that are *not* to be used.
"""

from __future__ import annotations

KEEP = 0.5  # of its even share, that an ingress keeps back of what it gives
TOP = 0.5  # of the burst that an ingress is always sure of, that is left alone at most
PART = 0.5  # of the present room


class Reserve:
    """The notes of one allowance. Room in units, times in seconds of the allowance's clock."""

    __slots__ = ("rate", "top", "ahead", "committed", "written")

    def __init__(self, rate: float, burst: float, ahead: float) -> None:
        """`rate`, `burst`: of what the ingress is always sure of; `ahead`: units of a large request."""
        self.rate, self.top, self.ahead = rate, TOP * burst, ahead
        self.committed: tuple[float, float] | None = None  # room, at
        self.written: tuple[float, float] | None = None  # not known to be on disk yet

    def floor(self, now: float) -> float:
        """Room that must not be touched."""
        return max(self.restored(self.committed, now), self.restored(self.written, now))

    def restored(self, note: tuple[float, float] | None, now: float) -> float:
        """What a note is worth by then; a clock that was put back adds nothing."""
        if note is None:
            return 0.0
        return min(self.top, note[0] + self.rate * max(0.0, now - note[1]))

    def note(self, now: float, room: float) -> float:
        """Write down what is to be left alone from now on; it holds beside the last one until `landed`."""
        v = max(0.0, min(self.top, PART * room - self.ahead))
        self.written = (v, now)
        return v

    def lost(self) -> None:
        """The last note was not handed over: it will never be on disk."""
        self.written = None

    def landed(self) -> None:
        """The last note is on disk; the one before it is not any more."""
        if self.written is not None:
            self.committed, self.written = self.written, None
