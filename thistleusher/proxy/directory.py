"""Where clients should go: ingresses that are up, those of the client's region first. Pure."""

from __future__ import annotations

from typing import Any

MOST = 64
TTL_S = 1.0


def addresses(members: dict[str, dict[str, Any]], silent: set[str], region: str, zone: str) -> list[str]:
    """Front addresses for a client: those of its region that are up, or else of anywhere; where none is, all there are.

    `silent`: names of ingresses that this one itself hears nothing of. A list that is somewhat old beats none.
    """
    up = {n: m for n, m in members.items() if m["up"] and n not in silent}
    near = [m["front"] for m in up.values() if m["region"] == region]
    chosen = near or [m["front"] for m in up.values()] or [m["front"] for m in members.values()]
    return sorted(chosen)[:MOST]
