"""Faults of the environment of the core: settings, clocks, answers to operators, and clients.

They are injected without regard to the tolerance.
"""

from __future__ import annotations

from functools import partial

from simnet.core.clients import Client
from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault

CLIENT_RESTART_S = 1.0  # duration of a client's restart, as a fault
CLIENT_RESET_S = 0.1  # duration of a reset of a client's connections, as a fault


class EnvironmentFaults:
    """Each public method injects a fault, and returns True."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def change_seeds(self, fault: Fault) -> bool:
        """Change the seed addresses in the settings."""
        self._context.record(fault, [], 0.0)
        self._cluster.change_seeds(self._context.choose(fault))
        return True

    def reload_settings(self, fault: Fault) -> bool:
        """Let all processes read their settings again, at random times."""
        for machine in self._cluster.running():
            self._cluster.clock.later(self._cluster.rng.random(), partial(self._cluster.reload_settings, machine))
        return True

    def step_clock(self, fault: Fault) -> bool:
        """Step the system clock. It has no effect: no part of the node reads it, which a test of the sources checks."""
        self._context.record(fault, self._context.choose(fault), 0.0)
        return True

    def lose_answers(self, fault: Fault) -> bool:
        """Let answers to operators get lost."""
        self._context.record(fault, [], fault.duration_s)
        self._cluster.operators.acks_lost_until = self._cluster.clock.now + fault.duration_s
        return True

    def kill_client(self, fault: Fault) -> bool:
        """Kill a client's process."""
        self._context.record(fault, [], CLIENT_RESTART_S)
        self._cluster.clients.restart(self._client(fault))
        return True

    def reset_client(self, fault: Fault) -> bool:
        """Reset all connections of a client."""
        self._context.record(fault, [], CLIENT_RESET_S)
        client = self._client(fault)
        for machine in self._cluster.running():
            self._cluster.clients.connect(client, machine)
        return True

    def _client(self, fault: Fault) -> Client:
        clients = self._cluster.clients.clients
        names = sorted(clients)
        return clients[names[fault.lot % len(names)]]
