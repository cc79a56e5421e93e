"""A configuration as items of the control state, and back.

What the operator sends is one document; it is kept as items, so that a change of one route costs one route on the
disks, between replicas and on the way to the proxies.

Pure.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

from roadspur.common.configuration import Index, Tenant, kept_configuration
from roadspur.transport.news import State

NONE = -1  # the number of no configuration


def number_of(state: State) -> int:
    """The number of the configuration in a state, `NONE` where there is none."""
    held = state.value("config")
    return int(held["v"]) if held is not None else NONE


def changes(state: State, number: int, document: bytes) -> dict[str, Any]:
    """The items that a configuration sets (None: removes) in a state."""
    return {"config": {"v": number, "z": zlib.compress(document, 6)}}


def assemble(state: State) -> bytes | None:
    """The document of the configuration in a state, None where there is none."""
    held = state.value("config")
    return zlib.decompress(held["z"]) if held is not None else None


class ConfigurationFollower:
    """The configuration of a followed state, as a proxy or registry asks it."""

    def __init__(self) -> None:
        self.index: Index | None = None

    def update(self, state: State, changed: Mapping[str, Any]) -> bool:
        """Take in what news changed in a state; whether a newer configuration is in force by it."""
        if "config" not in changed or number_of(state) <= self.number:
            return False
        document = assemble(state)
        assert document is not None
        self.index = Index(kept_configuration(document))
        return True

    @property
    def number(self) -> int:
        """The number of the configuration in force."""
        return self.index.config.number if self.index is not None else NONE

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """All tenants."""
        return self.index.config.tenants if self.index is not None else {}
