"""The list of backends as discovery sends it, and as a configuration's `known` holds it."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

from thistleusher.core.events import BackendEntry, Phase
from thistleusher.net.connection_pool import Endpoint
from thistleusher.services.addresses import read_address

PHASES = {"SERVING": Phase.RUNNING, "DRAINING": Phase.STOPPING, "DELETED": Phase.DELETED}


class ListedBackend(NamedTuple):
    """One backend of the list; a deleted one has no endpoint."""

    entry: BackendEntry
    endpoint: Endpoint | None


class BackendList(NamedTuple):
    """The list of backends, or a change to it."""

    version: int
    complete: bool  # the whole list, not a change
    entries: tuple[ListedBackend, ...]


def parse_backend_list(message: Any) -> BackendList:
    """Return a message of discovery as a list. Raises ValueError for anything else."""
    try:
        complete = message["snapshot"]
        if not isinstance(complete, bool):
            raise ValueError(f"snapshot: {complete!r}")  # noqa: TRY004 (one kind of error for all that is malformed)
        return BackendList(int(message["index"]), complete, tuple(_parse_entry(e) for e in message["endpoints"]))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a list of backends: {error!r}") from error


def parse_backend_list_text(text: bytes) -> BackendList:
    """Return a line of discovery as a list. Raises ValueError for anything else, also for endless nesting."""
    try:
        return parse_backend_list(json.loads(text))
    except RecursionError as error:
        raise ValueError("not a list of backends: nested too deeply") from error


def _parse_entry(fields: Any) -> ListedBackend:
    name = fields["name"]
    status = fields["status"]
    started_at = float(fields.get("since_ms") or 0) / 1000
    weight = float(fields.get("weight", 1.0))
    if not isinstance(name, str) or not name or not math.isfinite(started_at) or not math.isfinite(weight):
        raise ValueError(f"not a backend: {fields!r}")
    if status not in PHASES:
        raise ValueError(f"status: {status!r}")
    phase = PHASES[status]
    # A deleted backend needs no address any more.
    endpoint = None if phase is Phase.DELETED else Endpoint(read_address(fields["address"]), started_at)
    kind = str(fields.get("type", ""))
    cell = int(fields.get("group") or 0)
    zone = str(fields.get("zone", ""))
    return ListedBackend(BackendEntry(name, phase, weight, kind, cell, started_at, zone), endpoint)
