"""A simulated control process: the production `ControlService` with a simulated disk and network."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from simnet.disk import Disk
from simnet.system.environment import Environment
from simnet.system.process import Process
from simnet.system.topology import CORES, MACHINES, TOLERANCE
from thistleusher.control.interface import Answer, Change, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.leases import LeaseGrantor
from thistleusher.control.node import ControlNode
from thistleusher.control.service import ControlService
from thistleusher.transport.messages import AnyMessage, Hello


class ControlProcess(Process):
    """One control process. Its disk persists over its incarnations."""

    service: ControlService

    def __init__(self, environment: Environment, machine: str) -> None:
        super().__init__("control", machine)
        self.disk = Disk(environment.rng)
        self._environment = environment
        self._pending_calls: dict[int, Callable[[Any], None]] = {}

    def _now(self) -> float:
        return self._environment.steady_time(self.machine)

    def begin(self) -> None:
        """Start a new incarnation from the state on the disk; the first incarnation is a founder."""
        if self.incarnation == 1:
            self.disk.founding_seeds = tuple(sorted(CORES))
        stored = self.disk.stored()
        now = self._now()
        rng = random.Random(self._environment.rng.random())
        zone = MACHINES[self.machine].zone
        node = ControlNode(self.machine, zone, sorted(CORES), stored, now, rng, TOLERANCE)
        self.service = ControlService(node, LeaseGrantor(now, stored.leases))
        self._pending_calls = {}

    def end(self, power_lost: bool, disk_lost: bool) -> None:
        """Apply the end of the process to its disk.

        Without a loss of power the writes in flight complete; with it some of the last ones are lost. With `disk_lost`
        all data is lost.
        """
        if power_lost:
            self.disk.abort_writes()
        while self.disk.pending:
            self.disk.end()
        if disk_lost:
            self.disk.wipe()

    def tick(self) -> None:
        """Process the timeouts of the service."""
        self._execute(self.service.tick(self._now()))

    def connected(self, listener: str) -> None:
        """Notify the service that a connection to another core machine is established."""
        self._execute(self.service.connected(self._now(), listener.partition("@")[2]))

    def receive(self, client: str, message: AnyMessage) -> None:
        """Handle a message from another control process, a registry or a proxy."""
        if not isinstance(message, Hello):
            self._execute(self.service.receive(self._now(), client, message))

    def disconnected(self, client: str) -> None:
        """Notify the service that a client's connection has ended."""
        self.service.disconnected(client)

    def call(self, make: Callable[[int], Change], on_answer: Callable[[Any], None]) -> None:
        """Submit an operator's change; `on_answer` is called with the answer, if there is one."""
        number, outputs = self.service.submit(self._now(), make)
        self._pending_calls[number] = on_answer
        self._execute(outputs)

    def _execute(self, outputs: Sequence[ServiceOutput]) -> None:
        network = self._environment.network
        for out in outputs:
            if isinstance(out, Send):
                network.send(self, f"control@{out.destination}", out.message)
            elif isinstance(out, SendToClient):
                network.reply(self, out.name, out.message)
            elif isinstance(out, Write):
                self._write(out)
            elif isinstance(out, Answer) and out.call_id in self._pending_calls:
                self._pending_calls.pop(out.call_id)(out.answer)

    def _write(self, write: Write) -> None:
        clock, incarnation = self._environment.clock, self.incarnation

        def end() -> None:
            if self.incarnation == incarnation and self.running:
                ok = self.disk.end()
                self._environment.scheduler.run(self, lambda: self._write_completed(write.token, ok))

        clock.at(self.disk.begin(clock.now, write.records), end)

    def _write_completed(self, token: int, ok: bool) -> None:
        self._execute(self.service.write_completed(self._now(), token, ok))
