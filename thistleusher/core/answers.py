"""HTTP status, headers and body of a final answer, the same in the daemon and in the library.

Status codes follow RFC 9110, section 15, and RFC 6585, section 4 (429). `Retry-After` holds whole seconds (RFC 9110,
section 10.2.3), or a decimal number if the clients are known to parse one. `RateLimit` and `RateLimit-Policy` follow
the IETF draft draft-ietf-httpapi-ratelimit-headers.
"""

from __future__ import annotations

import http
import json
import math

from thistleusher.core.ports import Final, Verdict
from thistleusher.core.settings import PlanSettings

STATUS = {
    Verdict.SERVED: 200,
    Verdict.OVER_QUOTA: 429,
    Verdict.NO_ROOM: 503,
    Verdict.FAILED: 502,
    Verdict.FAULT: 500,
    Verdict.INVALID: 400,
}
REASONS = {
    Verdict.OVER_QUOTA: "over-quota",
    Verdict.NO_ROOM: "no-room",
    Verdict.FAILED: "failed",
    Verdict.FAULT: "fault",
    Verdict.INVALID: "invalid",
}


def headers_of(final: Final, whole: bool = False) -> tuple[tuple[bytes, bytes], ...]:
    """Return `Retry-After` in seconds if the time at which a retry may succeed is known.

    `whole`: round up, as common clients accept only whole seconds, and add the exact time as `Retry-After-Ms`.
    """
    if final.retry_in <= 0 or final.verdict not in (Verdict.OVER_QUOTA, Verdict.NO_ROOM):
        return ()
    if not whole:
        return ((b"Retry-After", b"%.3f" % final.retry_in),)
    return (
        (b"Retry-After", b"%d" % math.ceil(final.retry_in)),
        (b"Retry-After-Ms", b"%d" % math.ceil(final.retry_in * 1000)),
    )


def problem_of(final: Final) -> bytes:
    """Return the body as problem details (RFC 9457) with `reason`, and with `retry_in` in seconds if it is known.

    The type is `about:blank`, as the problem has no semantics beyond the status code (section 4.2.1).
    """
    status = STATUS[final.verdict]
    body: dict[str, object] = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "reason": REASONS[final.verdict],
    }
    if headers_of(final):
        body["retry_in"] = round(final.retry_in, 3)
    return json.dumps(body).encode()


def ratelimit_headers(plan: PlanSettings, headroom: float) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers for a quota of `q` units per window of `w` s, with `r` units left and full again in `t` s.

    All header values are integers. `headroom` is in units. Return no headers if the plan has no quota.
    """
    if plan.rate <= 0:
        return ()
    name = plan.name.encode("ascii", "replace").replace(b"\\", b"").replace(b'"', b"")
    window = max(1, math.ceil(plan.burst / plan.rate))
    left = max(0.0, min(plan.burst, headroom))
    return (
        (b"RateLimit-Policy", b'"%s";q=%d;w=%d' % (name, int(plan.burst), window)),
        (b"RateLimit", b'"%s";r=%d;t=%d' % (name, int(left), math.ceil((plan.burst - left) / plan.rate))),
    )
