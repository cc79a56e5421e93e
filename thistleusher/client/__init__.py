"""The client library sends requests to thistleusher over httpx (extra `client`) and returns what is known of their end.

It promises that each call ends as answered, refused and never run, or unknown, and that a call which may have run is
never sent again unless it may be repeated; `Client` is for asyncio, `PlainClient` for programs without an event loop.
"""

from thistleusher.client.calls import Answered, Ended, Refused, Unknown, UnknownEnd
from thistleusher.client.client import Client, PlainClient

__all__ = ["Answered", "Ended", "Client", "PlainClient", "Refused", "Unknown", "UnknownEnd"]
