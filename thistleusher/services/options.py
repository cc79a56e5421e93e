"""The section [counters] of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from thistleusher.operator_file.errors import InvalidValueError
from thistleusher.quota.placement import Placement
from thistleusher.services.addresses import read_address


@dataclass(frozen=True, slots=True)
class CounterGroupOptions:
    """Options of the counters among which the names are distributed.

    addresses: host:port of each counter; must be the same at all ingresses, in any order
    """

    addresses: tuple[str, ...]

    def __post_init__(self) -> None:
        """Raise InvalidValueError if an address is invalid, if there is none, or if one occurs twice."""
        try:
            for address in self.addresses:
                read_address(address)
            self.placement()
        except ValueError as error:
            raise InvalidValueError(found=str(error), key="addresses") from error

    def placement(self) -> Placement:
        """Return the placement of names on these counters."""
        return Placement(list(self.addresses))
