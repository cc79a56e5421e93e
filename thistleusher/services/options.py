"""The section [counters] of the operator's file."""

from __future__ import annotations

import msgspec

from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address


class CounterGroupOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Counters that share the names.

    addresses: host:port of each, the same at all ingresses; the order does not matter
    """

    addresses: tuple[str, ...]

    def __post_init__(self) -> None:
        try:
            for address in self.addresses:
                read_address(address)
            self.placement()
        except ValueError as error:
            raise ValueError(f"addresses: {error}") from error

    def placement(self) -> Placement:
        """Which of them holds a name."""
        return Placement(list(self.addresses))
