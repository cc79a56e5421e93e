"""The interface of the core for simulated clients and operators."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from simnet.clock import Clock
from simnet.core.history import History
from simnet.core.links import Links
from simnet.core.machine import Machine
from thistleusher.control.interface import Change, DeferredChange, Read

MakeCall = Callable[[int], Change | Read | DeferredChange]  # creates a call from the id that the machine assigns


class Core(Protocol):
    """A simulated core."""

    clock: Clock
    rng: random.Random
    links: Links
    history: History
    machines: dict[str, Machine]

    def call(self, machine: Machine, make: MakeCall, on_accepted: Callable[[int], None]) -> None:
        """Deliver a call to a machine; `on_accepted` gets the call id when the process accepts the call."""

    def in_contact(self, machine: Machine) -> bool:
        """Return whether a majority of a machine's voters sent it messages recently."""

    def running(self) -> list[Machine]:
        """Return the machines whose process runs."""
