"""The ingress as a library: makes the daemon's decisions and answers in an asyncio program or an ASGI application.

`EmbeddedIngress` admits single requests (`async with ingress.admit(call)`); `QuotaMiddleware` admits every HTTP request
of an application. Each request gets exactly one final answer, and its units are charged at most once.
"""

from thistleusher.core.ports import Final, Verdict
from thistleusher.core.request import BadRequest
from thistleusher.core.settings import ClassSettings, Effect, Group, PlanSettings, Settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.embed.admission import Admission, NotServed
from thistleusher.embed.asgi import QuotaMiddleware, from_headers
from thistleusher.embed.call import PASS, Call
from thistleusher.embed.counter import MemoryCounter
from thistleusher.embed.ingress import EmbeddedIngress, PeerAddresses

__all__ = [
    "PASS",
    "Admission",
    "BadRequest",
    "Call",
    "ClassSettings",
    "Effect",
    "EmbeddedIngress",
    "Final",
    "Group",
    "MemoryCounter",
    "NotServed",
    "PeerAddresses",
    "PlanSettings",
    "QuotaMiddleware",
    "Settings",
    "Verdict",
    "from_headers",
    "nested_settings",
]
