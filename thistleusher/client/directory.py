"""The addresses that a client sends to: what the directory answered last, and which of them have failed recently.

An answer is valid for its time to live, and beyond that for as long as no newer one can be had: a stale list beats
none. An answer without addresses or time to live is a failure. Addresses that failed are avoided for `AVOID_S`, unless
all have failed; the directories are asked anew then.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import json
import random
from collections.abc import Sequence

AVOID_S = 2.0
RETRY_INTERVAL_S = 0.2  # between requests to the directories while none answers, or all addresses have failed
MAX_SERVERS_ASKED = 3  # directories that are asked one after the other
MAX_ADDRESSES = 64  # of an answer that are used
MAX_TTL_S = 60.0


class Directory:
    """The directory as one client knows it."""

    def __init__(
        self, servers: Sequence[str], name: str, region: str, zone: str, now: float, rng: random.Random
    ) -> None:
        """`servers`: `host:port` that answer /resolve, near ones first. Raises ValueError where there is none."""
        if not servers:
            raise ValueError("servers: expected one address of a directory at least, found none")
        self.servers = tuple(servers)
        self.rng = rng
        self.query = {"name": name, "region": region, "zone": zone}
        self.addresses: tuple[str, ...] = ()
        self.valid_until = now
        self.next_request_at = now
        self.failed_at: dict[str, float] = {}  # by address

    def is_due(self, now: float) -> bool:
        """Return whether the directory is to be asked before the next attempt."""
        # A short list can hold nothing but failed addresses, long before its time to live is over.
        is_wanted = now >= self.valid_until or not self._healthy(now)
        return is_wanted and now >= self.next_request_at

    def servers_to_ask(self) -> tuple[str, ...]:
        """Return the directories to ask, one after the other until one answers."""
        return self.servers[:MAX_SERVERS_ASKED]

    def answered(self, now: float, body: bytes, max_ttl_s: float = MAX_TTL_S) -> bool:
        """Take in an answer; return False where it lacks what it must have, which counts as a failure."""
        try:
            table = json.loads(body)
            addresses = [str(address) for address in table["addresses"]][:MAX_ADDRESSES]
            ttl_s = float(table["ttl_s"])
        except (ValueError, KeyError, TypeError):
            return False
        if not addresses or not 0 < ttl_s < float("inf"):
            return False
        self.addresses = tuple(addresses)
        self.valid_until = now + min(ttl_s, max_ttl_s)
        self.failed_at = {
            address: failed_at
            for address, failed_at in self.failed_at.items()
            if address in addresses and now - failed_at < AVOID_S
        }
        if not self._healthy(now):
            self.next_request_at = now + RETRY_INTERVAL_S
        return True

    def unanswered(self, now: float) -> None:
        """Go on with what is known, as no directory has answered."""
        self.next_request_at = now + RETRY_INTERVAL_S

    def avoid(self, now: float, address: str) -> None:
        """Avoid an address that has failed this client."""
        self.failed_at[address] = now

    def pick(self, now: float) -> str | None:
        """Return an address for a new attempt, drawn evenly; None where none was ever known."""
        candidates = self._healthy(now) or list(self.addresses)
        return self.rng.choice(candidates) if candidates else None

    def _healthy(self, now: float) -> list[str]:
        """Return the addresses that have not failed of late."""
        return [a for a in self.addresses if now - self.failed_at.get(a, float("-inf")) >= AVOID_S]
