"""Parser of request headers, as the protocol page defines them, into the decision module's request event."""

from __future__ import annotations

import re
from collections.abc import Iterable

from thistleusher.core import events
from thistleusher.core.settings import Effect, Settings

CALL_ID = re.compile(rb"[!-~]{1,64}")
BUDGET = re.compile(rb"([0-9]{1,10})([mu])")
UNITS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
TERMS = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=([0-9]{1,9})")
COUNT = re.compile(r"[0-9]{1,9}")
SINGLETON_HEADERS = {b"idempotency-key", b"host"}  # as are all X- headers; duplicates would be ambiguous
MAX_CUSTOMER = 1 << 33
CUSTOMER = re.compile(rb"(?:/[^/?#]*)+?/([0-9a-fA-F]{16})(?:\?.*)?")
MAX_BUDGET_S = 3600.0


class BadRequest(ValueError):  # noqa: N818  (a public name of the library)
    """A request that violates the protocol."""


class NoSuchPathError(BadRequest):
    """A path that identifies no customer."""


def customer_of(url: bytes) -> bytes:
    """Return the 16 hex digits at the end of a path. Raise NoSuchPathError for any other path."""
    match = CUSTOMER.fullmatch(url)
    if match is None:
        raise NoSuchPathError("no such path")
    return match[1]


class RequestReader:
    """Parses requests by one ingress's settings. Cost: independent of the number of classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode("latin-1", "replace"): c for c in settings.classes}
        self.plans = {p.name.encode("latin-1", "replace"): p.name for p in settings.plans}

    def read(self, customer: bytes, method: bytes, headers: Iterable[tuple[bytes, bytes]]) -> events.Request:
        """Return the request that the headers describe, with times in seconds. Raise BadRequest if they are invalid.

        `customer` is the 16 hex digits of the path.
        """
        values = _values(headers)
        number = int(customer, 16)
        call_id = values.get(b"x-call-id", b"")
        cls = self.classes.get(values.get(b"x-call-class", b""))
        plan = self.plans.get(values.get(b"x-tier", b""))
        if number >= MAX_CUSTOMER:
            raise BadRequest("no such customer")
        if CALL_ID.fullmatch(call_id) is None:
            raise BadRequest("x-call-id: expected 1 to 64 visible characters")
        if cls is None:
            raise BadRequest("x-call-class: no such class")
        if plan is None:
            raise BadRequest("x-tier: no such plan")
        if (method == b"GET") != (cls.effect is Effect.SAFE) or method not in (b"GET", b"POST"):
            raise BadRequest("the method does not fit the class")
        if cls.effect is Effect.KEYED and not values.get(b"idempotency-key"):
            raise BadRequest("idempotency-key: missing")
        expires_in = _budget(values.get(b"x-budget", b""))
        if cls.deadline > 0:  # a silent backend must not hold a request for longer than any client waits
            expires_in = min(expires_in, cls.deadline)
        units, spread, first = self.terms(values.get(b"x-call-terms", b""))
        return events.Request(
            id=call_id.decode(),
            class_name=cls.name,
            plan=plan,
            customer=number,
            expires_in=expires_in,
            units=units,
            width=spread,
            first=first,
            is_repeat=values.get(b"x-again") == b"1",
        )

    def terms(self, text: bytes) -> tuple[float, int, int]:
        """Return the units, and the width and first ingress of the customer's ingress set."""
        usual = TERMS.fullmatch(text)
        if usual is not None:
            units, spread, first = float(usual[1]), int(usual[2]), int(usual[3])
        else:
            units, spread, first = _terms(text)
        if not 0 < units <= self.settings.max_units:
            raise BadRequest(f"x-call-terms: units: expected more than 0 and up to {self.settings.max_units:g}")
        if not (1 <= spread <= self.settings.instances and first < self.settings.instances):
            raise BadRequest("x-call-terms: spread and first: no such ingresses")
        return units, spread, first


def _values(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the headers by lower-case name. The last value wins if a header may be repeated."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        key = name.lower()
        if key in values and (key.startswith(b"x-") or key in SINGLETON_HEADERS):
            raise BadRequest(f"{key.decode()}: more than one")
        values[key] = value
    return values


def _budget(text: bytes) -> float:
    """Return the seconds until the client's time-out."""
    budget = BUDGET.fullmatch(text)
    seconds = int(budget[1]) / (1e3 if budget[2] == b"m" else 1e6) if budget else 0.0
    if not 0 < seconds <= MAX_BUDGET_S:
        raise BadRequest("x-budget: expected a time such as 480m")
    return seconds


def _terms(text: bytes) -> tuple[float, int, int]:
    """Return units, spread and first of terms in any order, with blanks, and with unknown terms."""
    pairs = [part.strip().partition("=")[::2] for part in text.decode("latin-1").split(",")]
    terms = dict(pairs)
    units, spread, first = (terms.get(key, "") for key in ("units", "spread", "first"))
    if len(terms) < len(pairs) or not (UNITS.fullmatch(units) and COUNT.fullmatch(spread) and COUNT.fullmatch(first)):
        raise BadRequest("x-call-terms: expected units=, spread= and first=, each once")
    return float(units), int(spread), int(first)
