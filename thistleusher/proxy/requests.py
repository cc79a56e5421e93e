"""Records of the decision module: a request in flight, where it came in, and its charge against a tenant's quota."""

from __future__ import annotations

from typing import NamedTuple

from thistleusher.configuration.index import RouteMatch
from thistleusher.core import events
from thistleusher.core.events import BackendEntry
from thistleusher.core.settings import ClassSettings

UNKNOWN_WINDOW = -1  # the charge was made in a quota window whose number the counter has not reported


class ChargeTenant(NamedTuple):
    """Action: add to a tenant's central count; a positive amount is answered by a `ChargeAnswered`.

    A negative amount refunds the request's charge, once it is certain that the charge admits nothing. `window` is the
    quota window it was charged in, `UNKNOWN_WINDOW` where no answer has named it.
    """

    request: str
    tenant: str
    amount: int
    window: int = UNKNOWN_WINDOW


class ChargeAnswered(NamedTuple):
    """Event: the counter's verdict (`ALLOWED` or `OVER_LIMIT` of `common.quota_timing`) on a charge.

    `left`: seconds until the tenant's next window. `window`: the number of the present one.
    """

    request: str
    verdict: int
    left: float
    window: int = UNKNOWN_WINDOW


class RequestContext(NamedTuple):
    """The route that a request matched and the tenant that sent it (None: public or no tenants configured)."""

    match: RouteMatch
    tenant: str | None


class RequestState:
    """A request that still needs its one final answer.

    The first five attributes are what `policy.fleet` reads of a request (`core.decision_ports.RoutedRequest`).
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
        """`allowed_regions`: those that may serve it; None where neither route nor tenant restricts them."""
        self.event = request
        self.request_class = class_settings
        self.work = 1.0
        self.failed_backends: set[str] = set()  # backends at which an attempt of it has failed
        self.ran_on: BackendEntry | None = None
        self.match = context.match
        self.tenant = context.tenant
        self.service = service
        self.allowed_regions = allowed_regions
        self.attempts = 0  # sent, whether they reached a backend or not
        self.attempt_out = False
        self.attempts_arrived = 0  # that have ended and had reached a backend
        self.may_have_run = False
        self.charge_open = False  # it was charged, and the charge may still be refunded
        self.charge_window = UNKNOWN_WINDOW
        self.charge_settled = False  # its quota has admitted it: a later answer to the charge is ignored
        self.deadline = now + request.expires_in
        self.received_at = now
        self.sent_at = 0.0  # start of the newest attempt
        self.backend = ""  # of the newest attempt
