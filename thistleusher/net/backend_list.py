"""Parser of the endpoint list, as discovery sends it and as the configuration's `known` contains it."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

from thistleusher.core.events import BackendEntry, Phase
from thistleusher.net.connection_pool import Endpoint
from thistleusher.services.addresses import read_address

PHASES = {"SERVING": Phase.RUNNING, "DRAINING": Phase.STOPPING, "DELETED": Phase.DELETED}


class ListedBackend(NamedTuple):
    """One entry of the endpoint list; a deleted backend has no endpoint."""

    entry: BackendEntry
    endpoint: Endpoint | None


class BackendList(NamedTuple):
    """The endpoint list, or a change to it."""

    version: int
    complete: bool  # whether this is the complete list rather than a change
    entries: tuple[ListedBackend, ...]


def parse_backend_list(message: Any) -> BackendList:
    """Return a decoded discovery message as an endpoint list. Raises ValueError for any other value."""
    try:
        complete = message["snapshot"]
        if not isinstance(complete, bool):
            raise ValueError(f"snapshot: {complete!r}")  # noqa: TRY004 (all malformed input is a ValueError)
        return BackendList(int(message["index"]), complete, tuple(_parse_entry(e) for e in message["endpoints"]))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not an endpoint list: {error!r}") from error


def parse_backend_list_text(text: bytes) -> BackendList:
    """Return a discovery message as an endpoint list. Raises ValueError for any other text, also for deep nesting."""
    try:
        return parse_backend_list(json.loads(text))
    except RecursionError as error:
        raise ValueError("not an endpoint list: nested too deeply") from error


def _parse_entry(fields: Any) -> ListedBackend:
    name = fields["name"]
    status = fields["status"]
    started_at = float(fields.get("since_ms") or 0) / 1000
    weight = float(fields.get("weight", 1.0))
    if not isinstance(name, str) or not name or not math.isfinite(started_at) or not math.isfinite(weight):
        raise ValueError(f"invalid endpoint: {fields!r}")
    if status not in PHASES:
        raise ValueError(f"status: unknown value {status!r}")
    phase = PHASES[status]
    # The address of a deleted backend is not used, and may be missing.
    endpoint = None if phase is Phase.DELETED else Endpoint(read_address(fields["address"]), started_at)
    kind = str(fields.get("type", ""))
    cell = int(fields.get("group") or 0)
    zone = str(fields.get("zone", ""))
    return ListedBackend(BackendEntry(name, phase, weight, kind, cell, started_at, zone), endpoint)
