"""A simulated registry process: the production `Registry` with a simulated network and platform."""

from __future__ import annotations

import random
from collections.abc import Sequence

from simnet.system.environment import Environment
from simnet.system.platform import Platform
from simnet.system.process import Process
from simnet.system.topology import CORES
from thistleusher.registry.outputs import CallPlatform, Output, SendToControl, SendToSubscriber
from thistleusher.registry.registry import Registry
from thistleusher.transport.messages import AnyMessage

PLATFORM_CALLS_PER_S = 50.0
PLATFORM_LATENCY_S = 0.002  # duration of a call to the platform
PLATFORM_TIMEOUT_S = 1.0  # duration of a call while the platform is down


class RegistryProcess(Process):
    """One registry process."""

    registry: Registry

    def __init__(self, environment: Environment, platform: Platform, machine: str) -> None:
        super().__init__("registry", machine)
        self._environment = environment
        self._platform = platform

    @property
    def client_name(self) -> str:
        """The name of this incarnation for control processes and other registries."""
        return self.registry.name

    def _now(self) -> float:
        return self._environment.steady_time(self.machine)

    def holds_lease(self) -> bool:
        """Return whether this registry holds the lease on its singleton role."""
        return self.registry.lease.holds_lease(self._now())

    def begin(self) -> None:
        """Start a new incarnation without any state."""
        name = f"{self.machine}/{self.incarnation}"
        rng = random.Random(self._environment.rng.random())
        self.registry = Registry(name, self.machine, self._now(), rng, PLATFORM_CALLS_PER_S, True)

    def tick(self) -> None:
        """Process the registry's timeouts."""
        self._execute(self.registry.tick(self._now()))

    def connected(self, listener: str) -> None:
        """Subscribe to the updates of the listener."""
        subscriber = self.registry.control_state if listener.startswith("control") else self.registry.list
        self._environment.network.send(self, listener, subscriber.subscribe_request())

    def receive_reply(self, listener: str, message: AnyMessage) -> None:
        """Handle a message from a control process, or from the registry to which this one subscribes."""
        if listener.startswith("control"):
            address = listener.partition("@")[2]
            outputs, reply = self.registry.receive_from_control(self._now(), address, message)
        else:
            outputs, reply = self.registry.receive_from_peer(self._now(), message)
        self._execute(outputs)
        if reply is not None:
            self._environment.network.send(self, listener, reply)

    def receive(self, client: str, message: AnyMessage) -> None:
        """Handle a message from a proxy, or from a registry that subscribes to this one."""
        self._execute(self.registry.receive_from_subscriber(self._now(), client, message))

    def disconnected(self, client: str) -> None:
        """Remove the subscriber whose connection has ended."""
        self.registry.remove_subscriber(client)

    def _execute(self, outputs: Sequence[Output]) -> None:
        network = self._environment.network
        for out in outputs:
            if isinstance(out, SendToSubscriber):
                if not self.holds_lease():
                    kind = type(out.message).__name__
                    self._environment.rules.report(f"LEASE: {self.name} sends {kind} to {out.name} without the lease")
                network.reply(self, out.name, out.message)
            elif isinstance(out, SendToControl):
                for address in CORES:
                    if out.address in ("", address):
                        network.send(self, f"control@{address}", out.message)
            elif isinstance(out, CallPlatform):
                self._call_platform(out)

    def _call_platform(self, call: CallPlatform) -> None:
        def answered() -> None:
            status, body = self._platform.respond(call.target)
            self._execute(self.registry.receive_platform_response(self._now(), call.number, status, body))

        if self._platform.loses_call():
            return
        delay_s = PLATFORM_LATENCY_S if self._platform.is_up() else PLATFORM_TIMEOUT_S
        self._environment.scheduler.later(self, delay_s, answered)
