"""Addresses for clients: the proxies that are up, those of the client's region first. Free of I/O."""

from __future__ import annotations

from typing import Any

MAX_ADDRESSES = 64  # addresses in one answer
TTL_S = 1.0  # time to live of an answer, for which a client may use it without asking again


def addresses(members: dict[str, dict[str, Any]], silent: set[str], region: str, zone: str) -> list[str]:
    """Return the front addresses for a client in `zone` of `region`, sorted, `MAX_ADDRESSES` at most.

    These are the proxies of the region that are up, otherwise those of any region that are up, otherwise all known
    proxies, as a stale list is better than none. `silent`: names of proxies that this one has not heard from recently.
    """
    up = {name: member for name, member in members.items() if member["up"] and name not in silent}
    near = [member["front"] for member in up.values() if member["region"] == region]
    anywhere = [member["front"] for member in up.values()]
    chosen = near or anywhere or [member["front"] for member in members.values()]
    return sorted(chosen)[:MAX_ADDRESSES]
