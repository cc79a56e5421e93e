"""The client library: requests to thistleusher with the right end for each.

Promises that a call ends with what is known of it: answered, refused and never run, or unknown; and that a call that
may not be repeated and may have run is never sent again. `Patron` is for asyncio, `PlainPatron` for everything else;
both need httpx (extra `client`).
"""

from roadspur.patron.calls import Answered, Ended, Refused, Unknown, UnknownEnd
from roadspur.patron.client import Patron, PlainPatron

__all__ = ["Answered", "Ended", "Patron", "PlainPatron", "Refused", "Unknown", "UnknownEnd"]
