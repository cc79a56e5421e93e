"""What simulated clients and operators need of the core that they talk to."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from simnet.clock import Clock
from simnet.core.history import History
from simnet.core.links import Links
from simnet.core.machine import Machine
from thistleusher.control.interface import Change, DeferredChange, Read

MakeCall = Callable[[int], Change | Read | DeferredChange]  # makes a call with the id that its machine gives it


class Core(Protocol):
    """A core of machines."""

    clock: Clock
    rng: random.Random
    links: Links
    history: History
    machines: dict[str, Machine]

    def call(self, machine: Machine, make: MakeCall, taken: Callable[[int], None]) -> None:
        """Have a call reach a machine's sockets; `taken` gets its id once the process takes it."""

    def in_contact(self, machine: Machine) -> bool:
        """Return whether a majority of its voters has spoken to a machine of late."""

    def running(self) -> list[Machine]:
        """Return the machines whose process runs."""
