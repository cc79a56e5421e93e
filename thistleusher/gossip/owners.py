"""Homes: of each set that is too wide for tellings, the ingress that keeps its member's account, and who asks it.

A member of a set of a hundred comes to each ingress once a minute: none of them knows anything of it, a telling would
have to go to all, and a share would be less than a request. So one ingress of the set, the same for all, is asked
before a request goes on; it charges the member's count for it, or lets it in by what it knows: all that the member uses
comes through it. After combining (Yew, Tzeng, Lawrie 1987) at a home found by hashing (Karger et al. 1997).

Guaranteed: a question has one end, an answer or its time; at most `OUT_MOST` are out. One without an answer is put
once more, and a home that knows it says again what it has said: a message that was lost charges nothing twice. A home
that left `MISSES` questions in a row without a word is passed over for `MUTE_S`: the next one in the order takes its
place, and begins with a full store. So each change of homes can let in a burst more, and none is lost.
Cost: constant a request; over the fleet two messages of 14 and 6 bytes a request, and one of 8 bytes to settle.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

OUT_MOST = 512  # questions out at once; beyond it there is none
CANDIDATES = 3  # ingresses of a set that may be its home, in their order
MISSES = 2  # questions in a row without an answer, after which another home is asked
MUTE_S = 1.0  # for so long
ANSWER_S = 0.1  # for both ways between ingresses; without an answer by then a question is put once more
KNOWN_S, KNOWN_MOST = 1.0, 2048  # for which a home knows what it was asked, and of how many questions


class Question(NamedTuple):
    """One that is out: whose request it is for, who was asked, until when an answer helps, and for what."""

    request: str
    peer: int
    due: float
    customer: int
    plan: int
    units: float


class Asked:
    """What a home was asked of late, and has said to it. Times in seconds of one clock."""

    def __init__(self) -> None:
        self.book = OrderedDict[tuple[int, int], tuple[float, bytes, bytes]]()  # by peer and number: when, what, answer

    def again(self, now: float, peer: int, number: int, question: bytes) -> bytes | None:
        """The answer that a question has had, empty where it has none yet; None where it is new."""
        while self.book and (len(self.book) > KNOWN_MOST or next(iter(self.book.values()))[0] < now - KNOWN_S):
            self.book.popitem(last=False)
        known = self.book.get((peer, number))
        if known is not None and known[1] == question:
            return known[2]
        self.book[peer, number] = now, question, b""
        self.book.move_to_end((peer, number))
        return None

    def said(self, peer: int, number: int, answer: bytes) -> None:
        """The answer to one."""
        if (known := self.book.get((peer, number))) is not None:
            self.book[peer, number] = *known[:2], answer


class Owners:
    """Homes as seen from one ingress of the fleet. Times in seconds of one clock."""

    def __init__(self, instances: int, me: int, wait: float) -> None:
        """`wait`: seconds for an answer, once a question was put again."""
        self.instances, self.me, self.wait = instances, me, wait
        self.out = OrderedDict[int, Question]()  # by number, the oldest first
        self.first = OrderedDict[int, tuple[float, bytes]]()  # of these, put once only: until when, and the words
        self.late = OrderedDict[int, Question]()  # those whose time is up, for an answer that still comes
        self.number = 0
        self.missed: dict[int, int] = {}  # questions in a row that a peer left without a word
        self.mute: dict[int, float] = {}  # peers that are passed over, until when

    def of(self, now: float, key: int, first: int, width: int) -> int | None:
        """The home of a member's account; None where none of its candidates answers."""
        start = (key * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF) >> 32
        for n in range(min(CANDIDATES, width)):
            peer = (first + (start + n * (1 + width // CANDIDATES)) % width) % self.instances
            if peer == self.me or self.mute.get(peer, 0.0) <= now:
                return peer
        return None

    def ask(
        self, now: float, request: str, peer: int, customer: int, plan: int, units: float, words: Callable[[int], bytes]
    ) -> bytes | None:
        """The words of a question to a peer, made of its number; None where too many are out."""
        if len(self.out) >= OUT_MOST:
            return None
        self.number = number = (self.number + 1) & 0xFFFF
        self.late.pop(number, None)
        self.out[number] = Question(request, peer, now + ANSWER_S + self.wait, customer, plan, units)
        self.first[number] = now + ANSWER_S, words(number)
        return self.first[number][1]

    def again(self, now: float) -> list[tuple[int, bytes]]:
        """Questions that are to be put once more, to whom."""
        out = []
        while self.first and next(iter(self.first.values()))[0] <= now:
            number, (_, words) = self.first.popitem(last=False)
            out.append((self.out[number].peer, words))
        return out

    def heard(self, peer: int) -> None:
        """A peer has said something: it is there."""
        self.missed.pop(peer, None)
        self.mute.pop(peer, None)

    def answered(self, peer: int, number: int) -> tuple[Question, bool] | None:
        """What an answer is for, and whether it came in time; None where it was not asked for."""
        for book in (self.out, self.late):
            question = book.get(number)
            if question is not None and question.peer == peer:
                del book[number]
                self.first.pop(number, None)
                return question, book is self.out
        return None

    def overdue(self, now: float) -> list[str]:
        """Requests whose questions had no answer in time."""
        late = []
        while self.out and self.out[number := next(iter(self.out))].due <= now:
            question = self.late[number] = self.out.pop(number)
            self.first.pop(number, None)
            if len(self.late) > OUT_MOST:
                self.late.popitem(last=False)
            late.append(question.request)
            self.missed[question.peer] = self.missed.get(question.peer, 0) + 1
            if self.missed[question.peer] >= MISSES:
                self.mute[question.peer] = now + MUTE_S
        return late

    def due(self) -> float | None:
        """When the oldest question is to be put again or has had its time; None where none is out."""
        dues = [next(iter(self.out.values())).due] if self.out else []
        dues += [next(iter(self.first.values()))[0]] if self.first else []
        return min(dues, default=None)
