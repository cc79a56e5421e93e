"""Runs the processes of the simulated core: serializes their inputs and executes their outputs."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from simnet.clock import Clock
from simnet.core.links import Links
from simnet.core.machine import Input, Machine
from simnet.core.operators import Operators
from simnet.core.rules import Rules
from simnet.errors import RuleViolationError
from thistleusher.control.interface import Answer, LogEvent, Send, SendToClient, ServiceOutput, Write
from thistleusher.control.service import ControlService
from thistleusher.transport.messages import AnyMessage, StateUpdate, VoteRequest

TICK_S = 0.06  # mean interval of process ticks


class Runner:
    """Runs the processes of one core.

    `in_contact` returns whether a majority sent a machine messages recently. `note` adds a line to the log.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        links: Links,
        machines: dict[str, Machine],
        operators: Operators,
        rules: Rules,
        in_contact: Callable[[Machine], bool],
        note: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._links = links
        self._machines = machines
        self._operators = operators
        self._rules = rules
        self._in_contact = in_contact
        self._note = note

    # Inputs.

    def submit(self, machine: Machine, take: Input) -> None:
        """Queue an input of a machine's process."""
        if machine.service is None:
            return
        machine.inbox.append(take)
        if len(machine.inbox) == 1:
            self._process(machine, machine.incarnation)

    def _process(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.service is None or not machine.inbox:
            return
        ready = machine.ready_at()
        if ready > self._clock.now:
            self._clock.at(ready, lambda: self._process(machine, incarnation))
            return
        machine.begin_input(self._clock.now)
        take = machine.inbox[0]
        outputs = take(machine.service, machine.time(self._clock.now))
        machine.inbox.popleft()
        self._execute(machine, outputs)
        if machine.inbox:
            self._clock.at(self._clock.now, lambda: self._process(machine, incarnation))

    def tick(self, machine: Machine, incarnation: int) -> None:
        """Tick a machine's process now and, for the rest of its incarnation, every `TICK_S`."""
        if machine.incarnation != incarnation or machine.node is None:
            return
        # After a freeze, the tick runs before the queued inputs or between them.
        if machine.frozen_until > self._clock.now:
            self._clock.at(machine.frozen_until, lambda: self._tick_at_once(machine, incarnation))
            return
        self.submit(machine, lambda service, now: service.tick(now))
        self._clock.later(TICK_S * (0.9 + 0.2 * self._rng.random()), lambda: self.tick(machine, incarnation))

    def _tick_at_once(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.service is None:
            return
        if machine.frozen_until > self._clock.now:
            self.tick(machine, incarnation)
            return
        self._execute(machine, machine.service.tick(machine.time(self._clock.now)))
        self._clock.later(TICK_S, lambda: self.tick(machine, incarnation))

    def deliver(self, machine: Machine, sender: str, message: AnyMessage) -> None:
        """Deliver a message to a machine's process."""
        sent_at = self._links.sent_at

        def take(service: ControlService, now: float) -> list[ServiceOutput]:
            machine.last_heard[sender] = max(machine.last_heard.get(sender, 0.0), sent_at)
            if isinstance(message, VoteRequest):
                return self._take_vote_request(machine, service, now, sender, message)
            return service.receive(now, sender, message)

        self.submit(machine, take)

    @staticmethod
    def _take_vote_request(
        machine: Machine, service: ControlService, now: float, sender: str, message: VoteRequest
    ) -> list[ServiceOutput]:
        """Process a vote request, and check that a machine without a vote does not raise the promised epoch."""
        node = service.node
        promised, view = node.promised, node.view
        outputs = service.receive(now, sender, message)
        is_stranger = view is not None and sender not in view.voters and node.view == view
        if is_stranger and node.promised > promised:
            raise RuleViolationError(f"{machine.address} promised epoch {node.promised} to {sender}, which has no vote")
        return outputs

    # Outputs.

    def _execute(self, machine: Machine, outputs: Iterable[ServiceOutput]) -> None:
        self._rules.check_published(machine)
        for out in outputs:
            if isinstance(out, Send):
                if out.destination in self._machines:
                    self._links.send(machine.address, out.destination, out.message)
            elif isinstance(out, Write):
                self._write(machine, out)
            elif isinstance(out, Answer):
                self._operators.answered(machine, out)
            elif isinstance(out, SendToClient):
                self._send_to_client(machine, out)
            elif isinstance(out, LogEvent):
                self._note(f"{machine.address} " + out.event.value.text % out.fields)

    def _write(self, machine: Machine, write: Write) -> None:
        incarnation = machine.incarnation
        ends = machine.disk.begin(self._clock.now, write.records)

        def end() -> None:
            if machine.incarnation == incarnation:
                ok = machine.disk.end()
                self.submit(machine, lambda service, now: service.write_completed(now, write.token, ok))

        self._clock.at(ends, end)

    def _send_to_client(self, machine: Machine, out: SendToClient) -> None:
        """Send a message to a client.

        Raises RuleViolationError if it is an update and the machine lacks a valid lease or contact with a majority.
        """
        may_update = machine.holds_lease(self._clock.now) and self._in_contact(machine)
        if isinstance(out.message, StateUpdate) and not may_update:
            raise RuleViolationError(
                f"{machine.address} sends updates without a lease or without contact with a majority"
            )
        self._links.send(machine.address, out.name, out.message)
