"""An example service that enforces quotas for its customers. It runs under any ASGI server."""

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
        PlanSettings("basic", rate=2.0, burst=8.0),  # Rate in units per second, burst in units.
        PlanSettings("plus", rate=16.0, burst=36.0),
    ),
    max_units=4.0,
    settles=True,
    max_retry_after=1.0,
)
PLANS = {"ana": "basic", "iva": "plus"}
NUMBERS = {name: number for number, name in enumerate(PLANS)}


def identify(scope):
    """Return the customer, plan, class and units of a request, from its path, headers and method."""
    if scope["path"] == "/health":
        return PASS
    member = dict(scope["headers"]).get(b"x-member", b"").decode("latin-1")
    if member not in PLANS:
        raise BadRequest("x-member: expected a member's name")
    browse = scope["method"] == "GET"
    return Call(NUMBERS[member], PLANS[member], "browse" if browse else "send-message", 1.0 if browse else 2.0)


async def matches(request):
    """Search, and settle the charge with the actual cost of the search."""
    found = ["one", "two"]
    request.scope["thistleusher.admission"].settle(0.5 * len(found))
    return JSONResponse(found)


async def send(request):
    """Send a message."""
    return JSONResponse({"sent": True})


ingress = EmbeddedIngress(SETTINGS)  # To share quotas with other processes, add counter="10.2.0.2:6400".
app = Starlette(
    routes=[
        Route("/matches", matches),
        Route("/messages", send, methods=["POST"]),
        Route("/health", lambda request: JSONResponse("ok")),
    ],
    lifespan=ingress.lifespan,
    middleware=[Middleware(QuotaMiddleware, ingress=ingress, identify=identify, ratelimit_fields=True)],
)
