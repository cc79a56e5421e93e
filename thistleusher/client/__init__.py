"""Client library: sends requests to thistleusher over httpx (extra `client`) and returns their known result.

Guarantees: each call ends as answered, as refused (it has not run and never will), or as unknown. A call that may have
run is retried only if it is declared repeatable. `Client` is for asyncio, `PlainClient` for programs without an event
loop.
"""

from thistleusher.client.calls import Answered, Ended, Refused, Unknown, UnknownEnd
from thistleusher.client.client import Client, PlainClient

__all__ = ["Answered", "Ended", "Client", "PlainClient", "Refused", "Unknown", "UnknownEnd"]
