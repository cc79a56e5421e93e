"""A small service that limits its members to quotas: run it under any ASGI server."""

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.responses import JSONResponse
from starlette.routing import Route

from thistleusher.embed import (
    PASS,
    BadRequest,
    Call,
    ClassSettings,
    Effect,
    EmbeddedIngress,
    PlanSettings,
    QuotaMiddleware,
    Settings,
)

SETTINGS = Settings(
    classes=(
        ClassSettings("browse", Effect.SAFE, objective=2.0, deadline=6.0),
        ClassSettings("send-message", Effect.UNSAFE, objective=1.5, deadline=7.5),
    ),
    plans=(
        PlanSettings("basic", rate=2.0, burst=8.0),  # units a second, units at once
        PlanSettings("plus", rate=16.0, burst=36.0),
    ),
    max_units=4.0,
    settles=True,
    max_retry_after=1.0,
)
PLANS = {"ana": "basic", "iva": "plus"}
NUMBERS = {name: number for number, name in enumerate(PLANS)}


def identify(scope):
    """Return who asks for what, from the request's own headers."""
    if scope["path"] == "/health":
        return PASS
    member = dict(scope["headers"]).get(b"x-member", b"").decode("latin-1")
    if member not in PLANS:
        raise BadRequest("x-member: expected a member's name")
    browse = scope["method"] == "GET"
    return Call(NUMBERS[member], PLANS[member], "browse" if browse else "send-message", 1.0 if browse else 2.0)


async def matches(request):
    """Search, and settle what the search really cost."""
    found = ["one", "two"]
    request.scope["thistleusher.admission"].settle(0.5 * len(found))
    return JSONResponse(found)


async def send(request):
    """Send a message."""
    return JSONResponse({"sent": True})


ingress = EmbeddedIngress(SETTINGS)  # counter="10.2.0.2:6400" shares quotas with other processes
app = Starlette(
    routes=[
        Route("/matches", matches),
        Route("/messages", send, methods=["POST"]),
        Route("/health", lambda request: JSONResponse("ok")),
    ],
    lifespan=ingress.lifespan,
    middleware=[Middleware(QuotaMiddleware, ingress=ingress, identify=identify, ratelimit_fields=True)],
)
