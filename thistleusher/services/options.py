"""The section [counters] of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from thistleusher.operator_file.errors import InvalidValueError
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address


@dataclass(frozen=True, slots=True)
class CounterGroupOptions:
    """Counters that share the names.

    addresses: host:port of each, the same at all ingresses; the order does not matter
    """

    addresses: tuple[str, ...]

    def __post_init__(self) -> None:
        """Check the addresses; raises InvalidValueError."""
        try:
            for address in self.addresses:
                read_address(address)
            self.placement()
        except ValueError as error:
            raise InvalidValueError(found=str(error), key="addresses") from error

    def placement(self) -> Placement:
        """Return which of them owns a name."""
        return Placement(list(self.addresses))
