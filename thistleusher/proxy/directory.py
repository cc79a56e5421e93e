"""The addresses that clients are directed to: ingresses that are up, those of the client's region first. Pure."""

from __future__ import annotations

from typing import Any

MAX_ADDRESSES = 64
TTL_S = 1.0  # for which a client may keep an answer


def addresses(members: dict[str, dict[str, Any]], silent: set[str], region: str, zone: str) -> list[str]:
    """Return the front addresses for a client in `zone` of `region`, sorted, `MAX_ADDRESSES` at most.

    Those of its region that are up, else those of any region; where none is up, all there are, as a somewhat stale
    list beats none. `silent`: names of ingresses that this one itself hears nothing of.
    """
    up = {name: member for name, member in members.items() if member["up"] and name not in silent}
    near = [member["front"] for member in up.values() if member["region"] == region]
    anywhere = [member["front"] for member in up.values()]
    chosen = near or anywhere or [member["front"] for member in members.values()]
    return sorted(chosen)[:MAX_ADDRESSES]
