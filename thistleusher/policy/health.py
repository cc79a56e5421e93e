"""How the counter is doing, and how many requests call it for that."""

from __future__ import annotations

from thistleusher.core.decision_ports import CounterOf

ALONE = 8         # misses in a row after which the counter counts as down for all, not just crowded
WAIT = 0.3        # mean wait for the counter, of its time-out, that the share of requests that call aims at
STEP = 0.1        # how far an answer moves that share at least; more, by the seconds since the last one
ASK_S = 1.0       # without a call, after which a request calls whatever the share
SILENT_S = 1.0    # of misses alone, after which totals have stopped coming
ASK_LEAST, ASK_DOWN = 0.05, 0.2  # its least; while the counter is down, and least that counts as told
ASK_BACK, ASK_CUT = 0.5, 0.6  # its value when the counter is back; what a miss leaves of it


class Counters:
    """The health of each counter; a lost one costs its own names only. One counter, unless they are placed."""

    def __init__(self, placement: CounterOf | None = None) -> None:
        self.placement = placement
        self.each: dict[int, CounterHealth] = {0: CounterHealth()}

    def follow(self, placement: CounterOf) -> None:
        """Other counters from now on: what was known of each goes by its number, so all begin anew."""
        self.placement = placement
        self.each = {0: CounterHealth()}

    def of(self, name: int) -> CounterHealth:
        """The counter that holds a name."""
        number = 0 if self.placement is None else self.placement.of(name)
        found = self.each.get(number)
        if found is None:
            found = self.each[number] = CounterHealth()
        return found


class CounterHealth:
    """How readily the counter answers: share of requests that call, misses in a row, calls a request."""

    def __init__(self) -> None:
        self.ask, self.misses, self.asked = 1.0, 0, 1.0
        self.since = 0.0  # of the misses in a row
        self.met = False  # it has answered this ingress
        self.called, self.heard = 0.0, 0.0  # when it was last called, and last answered

    def missed(self, now: float) -> None:
        """A call had no usable answer in time: fewer requests call."""
        if self.misses == 0:
            self.since = now
        least = ASK_DOWN if self.down() else ASK_LEAST
        self.ask, self.misses = max(least, self.ask * ASK_CUT), self.misses + 1

    def answered(self, now: float, waited: float) -> None:
        """An answer came, after `waited` of the time-out. Few answers: each says more."""
        self.ask += min(1.0, max(STEP, now - self.heard)) * (WAIT - waited)
        self.heard = now
        self.ask = ASK_BACK if self.down() else min(1.0, max(ASK_LEAST, self.ask))
        self.misses, self.met = 0, True

    def silent(self, now: float) -> bool:
        """Whether totals have stopped coming, be it that too few calls are made to count it as down.

        One that has never answered is taken at its first word: who has only begun cannot know how long it has been so.
        """
        return (self.down() or (self.misses > 1 and now - self.since > SILENT_S)
                or (self.misses > 0 and not self.met))

    def down(self) -> bool:
        """Whether the counter counts as down for all, and not just as crowded."""
        return self.misses >= ALONE
