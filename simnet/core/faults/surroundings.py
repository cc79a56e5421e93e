"""Faults around the core: settings, clocks, answers to operators, clients. None of them waits its turn."""

from __future__ import annotations

from functools import partial

from simnet.core.clients import Client
from simnet.core.faults.context import FaultContext
from simnet.core.faults.fault import Fault

CLIENT_RESTART_S = 1.0  # that a client's restart counts for
CLIENT_RESET_S = 0.1


class SurroundingFaults:
    """Each method has a fault happen, and returns True."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def change_seeds(self, fault: Fault) -> bool:
        """Let the settings name other seeds."""
        self._context.announce(fault, [], 0.0)
        self._cluster.change_seeds(self._context.choose(fault))
        return True

    def reload_settings(self, fault: Fault) -> bool:
        """Have all processes read their settings again, at times of their own."""
        for machine in self._cluster.running():
            self._cluster.clock.later(self._cluster.rng.random(), partial(self._cluster.reload_settings, machine))
        return True

    def step_clock(self, fault: Fault) -> bool:
        """Let the time of day jump: no part of the node reads it, which a test of the sources shows."""
        self._context.announce(fault, self._context.choose(fault), 0.0)
        return True

    def lose_answers(self, fault: Fault) -> bool:
        """Let acknowledgements get lost on their way to operators."""
        self._context.announce(fault, [], fault.duration_s)
        self._cluster.operators.acks_lost_until = self._cluster.clock.now + fault.duration_s
        return True

    def kill_client(self, fault: Fault) -> bool:
        """Kill a client's process."""
        self._context.announce(fault, [], CLIENT_RESTART_S)
        self._cluster.clients.restart(self._client(fault))
        return True

    def reset_client(self, fault: Fault) -> bool:
        """Reset all connections of a client."""
        self._context.announce(fault, [], CLIENT_RESET_S)
        client = self._client(fault)
        for machine in self._cluster.running():
            self._cluster.clients.connect(client, machine)
        return True

    def _client(self, fault: Fault) -> Client:
        clients = self._cluster.clients.clients
        names = sorted(clients)
        return clients[names[fault.lot % len(names)]]
