"""Which ingresses are there: who has told it of late, what the watchers say, and who may be sent clients.

An ingress is sent clients while it says that it is ready, and is neither silent here nor called silent by two
watchers. One that ends says so first. Verdicts need more than one: this registry's own silence counts as one, a
watcher's word as another.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SILENT_S = 0.9  # without a beat here
ALONE_S = 1.8  # without a beat here, after which no watcher's word is needed
WORD_S = 1.0  # for which a watcher's word counts
GONE_S = 30.0  # after which an ingress is forgotten altogether
VERDICT = 2


@dataclass(slots=True)
class Member:
    """One ingress as it told of itself."""

    attributes: dict[str, Any]
    incarnation: str
    heard: float
    ready: bool = False
    words: dict[str, float] = field(default_factory=dict)  # watchers that call it silent, and when


class Members:
    """All ingresses."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def known(self, now: float, node: str, attributes: dict[str, Any]) -> None:
        """One that an earlier registry told of."""
        own = {k: v for k, v in attributes.items() if k != "up"}
        self.members.setdefault(node, Member(own, "", now, bool(attributes.get("up"))))

    def here(
        self, now: float, node: str, attributes: dict[str, Any], incarnation: str, ready: bool, silent: list[str]
    ) -> None:
        """An ingress's beat: what it says of itself, and whom it watches in vain."""
        member = self.members.get(node)
        if member is None or member.incarnation != incarnation:
            member = self.members[node] = Member(attributes, incarnation, now)
        member.attributes, member.ready, member.heard = attributes, ready, now
        for other in silent:
            if other in self.members:
                self.members[other].words[node] = now

    def beat(self, now: float, node: str, incarnation: str) -> None:
        """A short beat: it is there, and as it last said."""
        member = self.members.get(node)
        if member is not None and member.incarnation == incarnation:
            member.heard = now

    def up(self, now: float, member: Member) -> bool:
        """Whether clients may be sent there."""
        quiet = now - member.heard
        words = sum(1 for at in member.words.values() if now - at < WORD_S)
        return member.ready and quiet < ALONE_S and words + (quiet > SILENT_S) < VERDICT

    def listed(self, now: float) -> dict[str, dict[str, Any]]:
        """Every ingress, and whether it is up."""
        for node in [n for n, m in self.members.items() if now - m.heard > GONE_S]:
            del self.members[node]
        return {node: {**m.attributes, "up": self.up(now, m)} for node, m in self.members.items()}
