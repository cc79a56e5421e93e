"""The platform's list of backends, read page by page, and what changes between two readings of it.

A reading counts only whole: a page that fails, cannot be read or does not come ends it, and the list stays as it was.
A list that suddenly holds nothing must be read so `EMPTY` times before it is believed. The calls of all ingresses
together are those of the one that holds the duty: one reading each `POLL_S`, a call a page, well below the platform's
bound.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

POLL_S = 0.4
PART = 0.5  # of the platform's calls a second, that are made at most
BACK_S = 1.0  # after a 429
EMPTY = 5
COLD_STEP_S = 0.4
PAGES = 200


class Garbage(ValueError):
    """An answer of the platform that cannot be read."""


def entry_of(raw: dict[str, Any]) -> tuple[str, dict[str, Any]]:
    """One backend: id, and service, address, zone, slots, phase, ms for which it is cold."""
    try:
        host, _, port = raw["address"].rpartition(":")
        if not host or not 0 < int(port) < 65536 or not raw["id"]:
            raise ValueError("address or id")
        return str(raw["id"]), {
            "s": str(raw["target"]),
            "a": raw["address"],
            "z": str(raw["zone"]),
            "c": max(1, int(raw.get("capacity") or 1)),
            "p": str(raw.get("phase", "ready")),
            "cold": max(0.0, float(raw.get("cold_left_ms") or 0.0)),
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Garbage(f"an instance that cannot be read: {error!r}") from None


class BackendPoller:
    """Readings of the list, one after the other."""

    def __init__(self, now: float, rate_per_s: float) -> None:
        self.spacing = 1.0 / max(0.5, PART * rate_per_s)
        self.next = now
        self.began = now
        self.busy = False
        self.token: str | None = None
        self.pages = 0
        self.reading: dict[str, dict[str, Any]] = {}
        self.empty = 0
        self.read = False  # at least once
        self.entries: dict[str, dict[str, Any]] = {}
        self.cold_until: dict[str, float] = {}

    def due(self, now: float) -> str | None:
        """The call to make now, if any."""
        if self.busy or now < self.next:
            return None
        if self.token is None:
            self.reading, self.pages, self.began = {}, 0, now
        self.busy = True
        return "/instances" + (f"?page_token={quote(self.token, safe='')}" if self.token else "")

    def failed(self, now: float, status: int = 0) -> None:
        """The call brought nothing that can be used: the reading begins anew."""
        self.busy, self.token = False, None
        self.next = now + (BACK_S if status == 429 else POLL_S)

    def page(self, now: float, body: bytes) -> dict[str, dict[str, Any] | None] | None:
        """A page has come; with the last one, what has changed (None: gone). Garbage where it cannot be read."""
        try:
            table = json.loads(body)
            rows, token = table["instances"], table.get("next_token")
            for row in rows:
                name, entry = entry_of(row)
                self.reading[name] = entry
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.failed(now)
            raise Garbage(str(error)) from None
        self.busy = False
        self.pages += 1
        if token and self.pages < PAGES:
            self.token, self.next = str(token), now + self.spacing
            return None
        self.token = None
        self.next = max(now + self.spacing, self.began + POLL_S)
        if not self.reading and self.entries:
            self.empty += 1
            if self.empty < EMPTY:
                return None
        self.empty, self.read = 0, True
        return self._changes(now)

    def _changes(self, now: float) -> dict[str, dict[str, Any] | None]:
        changes: dict[str, dict[str, Any] | None] = {name: None for name in self.entries.keys() - self.reading.keys()}
        for name, entry in self.reading.items():
            old = self.entries.get(name)
            until = now + entry["cold"] / 1000
            known = self.cold_until.get(name, 0.0)
            same = old is not None and all(old[k] == entry[k] for k in ("s", "a", "z", "c", "p"))
            warm = entry["cold"] <= 0
            steady = (warm and known <= 0) or (not warm and known > 0 and abs(until - known) < COLD_STEP_S)
            if not (same and steady):
                changes[name] = entry
                self.cold_until[name] = 0.0 if warm else until
        for name in self.cold_until.keys() - self.reading.keys():
            del self.cold_until[name]
        self.entries = self.reading
        return changes
