"""What every simulated process of the system runs in."""

from __future__ import annotations

import random
from dataclasses import dataclass

from simnet.clock import Clock
from simnet.system.network import Network
from simnet.system.process import ProcessScheduler
from simnet.system.rules import Rules


@dataclass(frozen=True, slots=True)
class Environment:
    """Clock, random draws, network and rules of one world."""

    clock: Clock
    rng: random.Random
    scheduler: ProcessScheduler
    network: Network
    rules: Rules
    clock_origins: dict[str, float]  # machine -> what its steady clock showed at the beginning

    def steady_time(self, machine: str) -> float:
        """Return what a machine's steady clock shows."""
        return self.clock_origins[machine] + self.clock.now
