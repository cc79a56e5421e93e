"""The client library: requests to thistleusher with the right end for each.

Promises that a call ends with what is known of it: answered, refused and never run, or unknown; and that a call that
may not be repeated and may have run is never sent again. `Client` is for asyncio, `PlainClient` for everything else;
both need httpx (extra `client`).
"""

from thistleusher.client.calls import Answered, Ended, Refused, Unknown, UnknownEnd
from thistleusher.client.client import Client, PlainClient

__all__ = ["Answered", "Ended", "Client", "PlainClient", "Refused", "Unknown", "UnknownEnd"]
