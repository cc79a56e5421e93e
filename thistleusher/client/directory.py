"""Addresses to send requests to: the directory's last answer, without addresses that have failed recently.

An answer is valid for its time to live. It stays in use beyond that until a newer one arrives, as a stale list is
better than none. An answer without addresses or time to live is a failure. Addresses that failed are avoided for
`AVOID_S`. If all addresses have failed, they are used again and the directories are asked again.

Free of I/O; times are seconds on the monotonic clock.
"""

from __future__ import annotations

import json
import random
from collections.abc import Sequence

AVOID_S = 2.0  # time for which an address is avoided after a failure
RETRY_INTERVAL_S = 0.2  # interval between directory requests while none answers or all addresses have failed
MAX_SERVERS_ASKED = 3  # directories that are tried one after the other per update
MAX_ADDRESSES = 64  # addresses of an answer that are used
MAX_TTL_S = 60.0  # upper bound of the time to live of an answer


class Directory:
    """One client's cached directory answer, and the recent failures of its addresses."""

    def __init__(
        self, servers: Sequence[str], name: str, region: str, zone: str, now: float, rng: random.Random
    ) -> None:
        """`servers`: `host:port` of directories that serve /resolve, nearest first. Raises ValueError if empty."""
        if not servers:
            raise ValueError("servers: expected at least one directory address, found none")
        self.servers = tuple(servers)
        self.rng = rng
        self.query = {"name": name, "region": region, "zone": zone}
        self.addresses: tuple[str, ...] = ()
        self.valid_until = now
        self.next_request_at = now
        self.failed_at: dict[str, float] = {}  # time of the last failure by address

    def is_due(self, now: float) -> bool:
        """Return whether the directories have to be asked before the next attempt."""
        # All addresses of a short list can fail long before its time to live expires.
        is_wanted = now >= self.valid_until or not self._healthy(now)
        return is_wanted and now >= self.next_request_at

    def servers_to_ask(self) -> tuple[str, ...]:
        """Return the directories to ask in turn until one answers."""
        return self.servers[:MAX_SERVERS_ASKED]

    def apply_answer(self, now: float, body: bytes, max_ttl_s: float = MAX_TTL_S) -> bool:
        """Apply a directory's answer; return False, and change nothing, if it is malformed or lacks required fields."""
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

    def record_failure(self, now: float) -> None:
        """Keep using the known addresses after no directory has answered, and schedule the next request."""
        self.next_request_at = now + RETRY_INTERVAL_S

    def avoid(self, now: float, address: str) -> None:
        """Avoid an address for `AVOID_S`, as an attempt at it has failed."""
        self.failed_at[address] = now

    def pick(self, now: float) -> str | None:
        """Return a random address for a new attempt, None if no address has ever been known."""
        candidates = self._healthy(now) or list(self.addresses)
        return self.rng.choice(candidates) if candidates else None

    def _healthy(self, now: float) -> list[str]:
        """Return the addresses that have not failed within `AVOID_S`."""
        return [a for a in self.addresses if now - self.failed_at.get(a, float("-inf")) >= AVOID_S]
