"""The host's description of a request: its member, plan, class and units; and its validation."""

from __future__ import annotations

from enum import Enum
from typing import Final, Literal, NamedTuple

from thistleusher.core import events
from thistleusher.core.request import MAX_BUDGET_S, MAX_CUSTOMER, BadRequest
from thistleusher.core.settings import ClassSettings, PlanSettings, Settings


class _Pass(Enum):
    PASS = "pass"


PASS: Final = _Pass.PASS  # result of `identify` for a request to which no quota applies
Passed = Literal[_Pass.PASS]


class Call(NamedTuple):
    """One request, as described by the host.

    `member`: a number below 2^33. `units`: more than 0. `budget`: seconds for which the client waits (0: the class's
    deadline). `spread`: number of ingresses, starting at number `first`, that get the member's requests (0: all).
    `again`: whether the client repeats an earlier request. `id`: identifies the request; if it is empty, the ingress
    generates one.
    """

    member: int
    plan: str
    class_name: str
    units: float = 1.0
    budget: float = 0.0
    spread: int = 0
    first: int = 0
    again: bool = False
    id: str = ""


def checked_request(
    settings: Settings,
    classes: dict[str, ClassSettings],
    plans: dict[str, PlanSettings],
    call: Call,
    default_id: str,
) -> events.Request:
    """Return the validated request. Raises BadRequest, which names the invalid field; nothing is charged then."""
    if not isinstance(call, Call):
        raise BadRequest(f"call: expected a Call, got {call!r}")
    if isinstance(call.member, bool) or not isinstance(call.member, int) or not 0 <= call.member < MAX_CUSTOMER:
        raise BadRequest(f"member: expected a number below 2^33, got {call.member!r}")
    if call.plan not in plans:
        raise BadRequest(f"plan: expected one of {', '.join(plans)}, got {call.plan!r}")
    cls = classes.get(call.class_name)
    if cls is None:
        raise BadRequest(f"class_name: expected one of {', '.join(classes)}, got {call.class_name!r}")
    if not _is_number(call.units) or not 0 < call.units <= settings.max_units:
        raise BadRequest(f"units: expected more than 0 and up to {settings.max_units:g}, got {call.units!r}")
    budget = call.budget or cls.deadline
    if not _is_number(budget) or not 0 < budget <= MAX_BUDGET_S:
        raise BadRequest(f"budget: expected seconds up to {MAX_BUDGET_S:g}, got {call.budget!r}")
    if cls.deadline > 0:
        budget = min(budget, cls.deadline)
    spread = call.spread or settings.instances
    if not 1 <= spread <= settings.instances or not 0 <= call.first < settings.instances:
        raise BadRequest(f"spread, first: no such ingresses: {call.spread!r}, {call.first!r}")
    return events.Request(
        call.id or default_id,
        call.class_name,
        call.plan,
        call.member,
        budget,
        float(call.units),
        spread,
        call.first,
        call.again,
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
