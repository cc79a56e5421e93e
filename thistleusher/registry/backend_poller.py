"""The platform's list of backends, read page by page, and what changes between two readings of it.

A reading counts only when complete: a page that fails, cannot be read or does not come ends it, and the list stays as
it was. A list that is suddenly empty must be read `EMPTY_READINGS` times before it is believed. The calls of the whole
fleet are those of the one registry that holds the singleton role: one reading each `POLL_S`, one call a page, well
below the platform's rate limit.

Pure; seconds on the steady clock.
"""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

POLL_S = 0.4  # between the beginnings of two readings
RATE_PART = 0.5  # of the platform's calls a second, that are used at most
MIN_RATE_PER_S = 0.5
BACKOFF_S = 1.0  # after a 429
EMPTY_READINGS = 5
WARM_UP_TOLERANCE_S = 0.4  # by which the end of a warm-up may differ between readings and still be the same
MAX_PAGES = 200
TOO_MANY_REQUESTS = 429

# A backend as it is published: s(ervice), a(ddress), z(one), c(apacity), p(hase), cold: ms of warm-up that are left.
Backend = dict[str, Any]
FIXED_FIELDS = ("s", "a", "z", "c", "p")


class UnreadableAnswerError(ValueError):
    """An answer of the platform that cannot be read."""


def read_backend(raw: dict[str, Any]) -> tuple[str, Backend]:
    """Return one backend's id and record. Raise UnreadableAnswerError where a field is missing or wrong."""
    try:
        host, _, port = raw["address"].rpartition(":")
        if not host or not 0 < int(port) < 65536 or not raw["id"]:
            raise ValueError("address or id")  # noqa: TRY301
        return str(raw["id"]), {
            "s": str(raw["target"]),
            "a": raw["address"],
            "z": str(raw["zone"]),
            "c": max(1, int(raw.get("capacity") or 1)),
            "p": str(raw.get("phase", "ready")),
            "cold": max(0.0, float(raw.get("cold_left_ms") or 0.0)),
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableAnswerError(f"an instance that cannot be read: {error!r}") from None


class BackendPoller:
    """Readings of the list, one after the other."""

    def __init__(self, now: float, rate_per_s: float) -> None:
        """Begin at once; `rate_per_s` is the platform's rate limit."""
        self.call_spacing_s = 1.0 / max(MIN_RATE_PER_S, RATE_PART * rate_per_s)
        self.next_call_at = now
        self.reading_began_at = now
        self.read_at = now  # when a reading was last complete, and at first when this poller began
        self.in_flight = False
        self.page_token: str | None = None  # of the next page; None at the start of a reading
        self.pages = 0
        self.reading: dict[str, Backend] = {}  # the present reading, until it is complete
        self.empty_readings = 0
        self.has_list = False  # a reading was complete
        self.backends: dict[str, Backend] = {}
        self.warm_at: dict[str, float] = {}  # by backend, when its warm-up ends; 0 for one that is warm

    def begin_call(self, now: float) -> str | None:
        """Begin the call that is due, return its target (None: no call). `receive_page` or `call_failed` ends it."""
        if self.in_flight or now < self.next_call_at:
            return None
        if self.page_token is None:
            self.reading = {}
            self.pages = 0
            self.reading_began_at = now
        self.in_flight = True
        return "/instances" + (f"?page_token={quote(self.page_token, safe='')}" if self.page_token else "")

    def call_failed(self, now: float, status: int = 0) -> None:
        """Begin the reading anew, after a pause: the call brought nothing that can be used."""
        self.in_flight = False
        self.page_token = None
        self.next_call_at = now + (BACKOFF_S if status == TOO_MANY_REQUESTS else POLL_S)

    def receive_page(self, now: float, body: bytes) -> dict[str, Backend | None] | None:
        """Take in a page; return with the last one what has changed (None: removed).

        Raise UnreadableAnswerError where it cannot be read; the reading then begins anew.
        """
        try:
            table = json.loads(body)
            rows, token = table["instances"], table.get("next_token")
            for row in rows:
                name, backend = read_backend(row)
                self.reading[name] = backend
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.call_failed(now)
            raise UnreadableAnswerError(str(error)) from None
        self.in_flight = False
        self.pages += 1
        if token and self.pages < MAX_PAGES:
            self.page_token = str(token)
            self.next_call_at = now + self.call_spacing_s
            return None
        self.page_token = None
        self.next_call_at = max(now + self.call_spacing_s, self.reading_began_at + POLL_S)
        if not self.reading and self.backends:
            self.empty_readings += 1
            if self.empty_readings < EMPTY_READINGS:
                return None
        self.empty_readings = 0
        self.has_list = True
        self.read_at = now
        return self._replace_list(now)

    def _replace_list(self, now: float) -> dict[str, Backend | None]:
        """Put the complete reading in the list's place; return what has changed."""
        changes: dict[str, Backend | None] = {name: None for name in self.backends.keys() - self.reading.keys()}
        for name, backend in self.reading.items():
            if not self._is_unchanged(now, name, backend):
                changes[name] = backend
                is_warm = backend["cold"] <= 0
                self.warm_at[name] = 0.0 if is_warm else now + backend["cold"] / 1000
        for name in self.warm_at.keys() - self.reading.keys():
            del self.warm_at[name]
        self.backends = self.reading
        return changes

    def _is_unchanged(self, now: float, name: str, backend: Backend) -> bool:
        """Return whether a backend is as it was published, its warm-up having gone on as it should."""
        old = self.backends.get(name)
        if old is None or any(old[field] != backend[field] for field in FIXED_FIELDS):
            return False
        known_warm_at = self.warm_at.get(name, 0.0)
        if backend["cold"] <= 0:
            return known_warm_at <= 0
        warm_at = now + backend["cold"] / 1000
        return known_warm_at > 0 and abs(warm_at - known_warm_at) < WARM_UP_TOLERANCE_S
