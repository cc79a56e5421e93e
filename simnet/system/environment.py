"""The environment that all simulated processes of the system share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from simnet.clock import Clock
from simnet.system.network import Network
from simnet.system.process import ProcessScheduler
from simnet.system.rules import Rules


@dataclass(frozen=True, slots=True)
class Environment:
    """The clock, random generator, scheduler, network and rules of one simulated world."""

    clock: Clock
    rng: random.Random
    scheduler: ProcessScheduler
    network: Network
    rules: Rules
    clock_origins: dict[str, float]  # machine -> reading of its steady clock at virtual time 0

    def steady_time(self, machine: str) -> float:
        """Return the reading of a machine's steady clock, in seconds."""
        return self.clock_origins[machine] + self.clock.now
