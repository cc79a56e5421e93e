"""Reads the platform's list of backends page by page and reports the changes between two readings.

Only a complete reading takes effect. A page that fails, cannot be parsed or does not arrive aborts the reading, and the
list stays as it was. If the list suddenly becomes empty, `REQUIRED_EMPTY_READINGS` consecutive readings must confirm it
before it is accepted. Only the registry that holds the singleton role calls the platform. It starts one reading every
`POLL_INTERVAL_S` with one call per page, which stays well below the platform's rate limit.

No I/O. Times are seconds on the steady clock.
"""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

POLL_INTERVAL_S = 0.4  # Interval between the starts of two readings.
MAX_RATE_FRACTION = 0.5  # Maximum fraction of the platform's rate limit that the poller uses.
MIN_RATE_PER_S = 0.5
BACKOFF_S = 1.0  # Delay before the next call after a 429 response.
REQUIRED_EMPTY_READINGS = 5
WARM_UP_TOLERANCE_S = 0.4  # End times of a warm-up that differ by less than this are treated as equal.
MAX_PAGES = 200
MAX_BACKENDS = 20_000  # twice the target's (docs/CAPACITY.md)
MAX_TEXT_LENGTH = 256  # characters of an id, an address or another text of a backend
MAX_TOKEN_LENGTH = 4096  # characters of a page token, which goes into a request's target
MAX_CAPACITY = 1_000_000  # requests at once that one backend may claim to take
TOO_MANY_REQUESTS = 429

# A published backend: s(ervice), a(ddress), z(one), c(apacity), p(hase), cold (remaining warm-up in ms).
Backend = dict[str, Any]
COMPARED_FIELDS = ("s", "a", "z", "c", "p")


class UnreadableAnswerError(ValueError):
    """The platform's response cannot be parsed."""


def read_backend(raw: dict[str, Any]) -> tuple[str, Backend]:
    """Return one backend's id and record. Raise UnreadableAnswerError if a field is missing or invalid."""
    try:
        host, _, port = raw["address"].rpartition(":")
        if not host or not 0 < int(port) < 65536 or not raw["id"]:
            raise ValueError("address or id")  # noqa: TRY301
        return _read_text(raw["id"]), {
            "s": _read_text(raw["target"]),
            "a": _read_text(raw["address"]),
            "z": _read_text(raw["zone"]),
            "c": min(MAX_CAPACITY, max(1, int(raw.get("capacity") or 1))),
            "p": _read_text(raw.get("phase", "ready")),
            "cold": max(0.0, float(raw.get("cold_left_ms") or 0.0)),
        }
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise UnreadableAnswerError(f"invalid instance: {error!r:.200}") from None


def _read_text(value: object) -> str:
    """Return a value as text. Raise ValueError if it is longer than any that is published to all proxies may be."""
    text = str(value)
    if len(text) > MAX_TEXT_LENGTH:
        raise ValueError(f"text of {len(text)} characters, {MAX_TEXT_LENGTH} at most")
    return text


class BackendPoller:
    """Reads the list repeatedly, one reading at a time."""

    def __init__(self, now: float, rate_per_s: float) -> None:
        """Create a poller whose first call is due immediately; `rate_per_s` is the platform's rate limit."""
        self.call_spacing_s = 1.0 / max(MIN_RATE_PER_S, MAX_RATE_FRACTION * rate_per_s)
        self.next_call_at = now
        self.reading_started_at = now
        self.last_complete_at = now  # Time of the last complete reading; the start of this poller until there is one.
        self.in_flight = False
        self.page_token: str | None = None  # Token of the next page; None at the start of a reading.
        self.pages = 0
        self.reading: dict[str, Backend] = {}  # Backends found so far by the current reading.
        self.empty_readings = 0
        self.has_list = False  # Whether any reading has completed.
        self.backends: dict[str, Backend] = {}
        self.warm_at: dict[str, float] = {}  # Backend -> end time of its warm-up; 0 if it is already warm.

    def begin_call(self, now: float) -> str | None:
        """Start the next call if it is due and return its request target, else None.

        The caller must end each call with `receive_page` or `call_failed`.
        """
        if self.in_flight or now < self.next_call_at:
            return None
        if self.page_token is None:
            self.reading = {}
            self.pages = 0
            self.reading_started_at = now
        self.in_flight = True
        return "/instances" + (f"?page_token={quote(self.page_token, safe='')}" if self.page_token else "")

    def call_failed(self, now: float, status: int = 0) -> None:
        """Handle a failed call: schedule a new reading, from the first page, after a delay."""
        self.in_flight = False
        self.page_token = None
        self.next_call_at = now + (BACKOFF_S if status == TOO_MANY_REQUESTS else POLL_INTERVAL_S)

    def receive_page(self, now: float, body: bytes) -> dict[str, Backend | None] | None:
        """Process a page. Return the changed backends (None: removed) once the reading is complete, else None.

        Raise UnreadableAnswerError if the page cannot be parsed; the reading then restarts from the first page.
        """
        try:
            table = json.loads(body)
            rows, token = table["instances"], table.get("next_token")
            if token and len(str(token)) > MAX_TOKEN_LENGTH:
                raise ValueError(f"page token longer than {MAX_TOKEN_LENGTH} characters")  # noqa: TRY301
            for row in rows:
                name, backend = read_backend(row)
                self.reading[name] = backend
                if len(self.reading) > MAX_BACKENDS:
                    raise ValueError(f"more than {MAX_BACKENDS} backends")  # noqa: TRY301
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.call_failed(now)
            raise UnreadableAnswerError(str(error)) from None
        self.in_flight = False
        self.pages += 1
        if token and self.pages < MAX_PAGES:
            self.page_token = str(token)
            self.next_call_at = now + self.call_spacing_s
            return None
        self.page_token = None
        self.next_call_at = max(now + self.call_spacing_s, self.reading_started_at + POLL_INTERVAL_S)
        if not self.reading and self.backends:
            self.empty_readings += 1
            if self.empty_readings < REQUIRED_EMPTY_READINGS:
                return None
        self.empty_readings = 0
        self.has_list = True
        self.last_complete_at = now
        return self._replace_list(now)

    def _replace_list(self, now: float) -> dict[str, Backend | None]:
        """Replace the list by the complete reading; return the changed backends (None: removed)."""
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
        """Return whether a backend equals its published record and its warm-up still ends at the expected time."""
        old = self.backends.get(name)
        if old is None or any(old[field] != backend[field] for field in COMPARED_FIELDS):
            return False
        known_warm_at = self.warm_at.get(name, 0.0)
        if backend["cold"] <= 0:
            return known_warm_at <= 0
        warm_at = now + backend["cold"] / 1000
        return known_warm_at > 0 and abs(warm_at - known_warm_at) < WARM_UP_TOLERANCE_S
