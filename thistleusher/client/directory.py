"""Where to go: what the directory answered last, for how long it holds, and which addresses have failed of late.

An answer counts for its time to live, and beyond that for as long as no newer one can be had: an old list beats none.
An answer without addresses or time to live is a failure. Addresses that failed are gone around for `SHUN_S`, unless
all have.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import json
import random
from collections.abc import Sequence

SHUN_S = 2.0
AGAIN_S = 0.2  # between questions while none is answered
ASKED = 3  # directories that one question goes to at most
MOST = 64  # addresses of an answer that count


class Directory:
    """One client's."""

    def __init__(
        self, servers: Sequence[str], name: str, region: str, zone: str, now: float, rng: random.Random
    ) -> None:
        """`servers`: `host:port` that answer /resolve, near ones first. ValueError where there is none."""
        if not servers:
            raise ValueError("servers: expected one address of a directory at least, found none")
        self.servers, self.rng = tuple(servers), rng
        self.query = {"name": name, "region": region, "zone": zone}
        self.addresses: tuple[str, ...] = ()
        self.until = now
        self.next = now
        self.failed: dict[str, float] = {}

    def due(self, now: float) -> bool:
        """Whether the directory is to be asked before the next try."""
        return now >= self.until and now >= self.next

    def order(self) -> tuple[str, ...]:
        """Whom to ask, one after the other."""
        return self.servers[:ASKED]

    def answered(self, now: float, body: bytes, ttl_most_s: float = 60.0) -> bool:
        """Take an answer in; False where it lacks what it must have, and counts as a failure."""
        try:
            table = json.loads(body)
            addresses, ttl = [str(a) for a in table["addresses"]][:MOST], float(table["ttl_s"])
        except (ValueError, KeyError, TypeError):
            return False
        if not addresses or not 0 < ttl < float("inf"):
            return False
        self.addresses = tuple(addresses)
        self.until = now + min(ttl, ttl_most_s)
        self.failed = {a: at for a, at in self.failed.items() if a in addresses and now - at < SHUN_S}
        return True

    def unanswered(self, now: float) -> None:
        """Nobody answered: what was known goes on to count."""
        self.next = now + AGAIN_S

    def shun(self, now: float, address: str) -> None:
        """An address has failed this client."""
        self.failed[address] = now

    def pick(self, now: float) -> str | None:
        """An address for a new try, by chance; None where none was ever known."""
        well = [a for a in self.addresses if now - self.failed.get(a, float("-inf")) >= SHUN_S]
        among = well or list(self.addresses)
        return self.rng.choice(among) if among else None
