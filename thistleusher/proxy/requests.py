"""Records of the decision module: requests in flight, their routes and tenants, and their charges."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.configuration.index import RouteMatch
from thistleusher.core import events
from thistleusher.core.events import BackendEntry
from thistleusher.core.settings import ClassSettings

UNKNOWN_WINDOW = -1  # the counter has not reported the number of the charge's quota window


class ChargeTenant(NamedTuple):
    """Action: add `amount` to a tenant's central count; a positive amount is answered by a `ChargeAnswered`.

    A negative amount refunds the request's charge once it is certain that the charge will not admit the request.
    `window`: quota window of the charge, `UNKNOWN_WINDOW` if no answer has named it.
    """

    request: str
    tenant: str
    amount: int
    window: int = UNKNOWN_WINDOW


class ChargeAnswered(NamedTuple):
    """Event: the counter's verdict (`ALLOWED` or `OVER_LIMIT` of `common.quota_timing`) on a charge.

    `left`: seconds until the tenant's next window. `window`: number of the current window.
    """

    request: str
    verdict: int
    left: float
    window: int = UNKNOWN_WINDOW


class RequestContext(NamedTuple):
    """The route that a request matched and its tenant (None if the route is public or no tenants are configured)."""

    match: RouteMatch
    tenant: str | None


class RequestState:
    """State of a request that has not had its final answer yet.

    `policy.fleet` reads the first five attributes (`core.decision_ports.RoutedRequest`).
    """

    __slots__ = (
        "event",
        "request_class",
        "work",
        "failed_backends",
        "ran_on",
        "match",
        "tenant",
        "service",
        "allowed_regions",
        "attempts",
        "attempts_arrived",
        "attempt_out",
        "may_have_run",
        "charge_open",
        "charge_window",
        "charge_settled",
        "deadline",
        "received_at",
        "sent_at",
        "backend",
    )

    def __init__(
        self,
        request: events.Request,
        context: RequestContext,
        class_settings: ClassSettings,
        now: float,
        service: str,
        allowed_regions: frozenset[str] | None,
    ) -> None:
        """`allowed_regions`: regions that may serve the request, None if neither route nor tenant restricts them."""
        self.event = request
        self.request_class = class_settings
        self.work = 1.0
        self.failed_backends: set[str] = set()  # backends at which an attempt has failed
        self.ran_on: BackendEntry | None = None
        self.match = context.match
        self.tenant = context.tenant
        self.service = service
        self.allowed_regions = allowed_regions
        self.attempts = 0  # attempts sent, whether they reached a backend or not
        self.attempt_out = False
        self.attempts_arrived = 0  # ended attempts that had reached a backend
        self.may_have_run = False
        self.charge_open = False  # whether there is a charge that may still be refunded
        self.charge_window = UNKNOWN_WINDOW
        self.charge_settled = False  # whether it has been admitted: a later answer to the charge is ignored
        self.deadline = now + request.expires_in
        self.received_at = now
        self.sent_at = 0.0  # start time of the newest attempt
        self.backend = ""  # backend of the newest attempt
