"""The simulated operator: configurations and evacuations, sent to one control process after the other."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

from simnet.clock import Clock
from simnet.system.control_process import ControlProcess
from simnet.system.rules import Rules
from simnet.system.topology import CORES, configuration_document
from thistleusher.common.errors import ServiceError
from thistleusher.configuration import items as config_items
from thistleusher.control.interface import Change

PATIENCE_S = 1.0  # with one control process
RETRY_S = 0.1  # after an error
KEEP_TRYING_S = 8.0


class Operator:
    """Sends each change until a control process acknowledges it."""

    def __init__(self, clock: Clock, rng: random.Random, rules: Rules, control: Mapping[str, ControlProcess]) -> None:
        """`control`: control processes by their machines."""
        self._clock = clock
        self._rng = rng
        self._rules = rules
        self._control = control

    def put_configuration(self, version: int) -> None:
        """Send a new configuration."""

        def make(call_id: int) -> Change:
            return Change(
                call_id,
                lambda state: config_items.number_of(state) >= version,
                lambda state: config_items.changed_items(state, version, configuration_document(version)),
                "",
            )

        self._send(make, lambda: self._rules.configuration_acknowledged(version), self._clock.now + KEEP_TRYING_S)

    def evacuate(self, zone: str, on: bool) -> None:
        """Have a zone's backends get nothing, or something again."""
        name = f"evac:{zone}"
        if not on:
            self._rules.evacuation_acknowledged(zone, False)  # from now on either is allowed

        def make(call_id: int) -> Change:
            return Change(
                call_id,
                lambda state: (state.value(name) or {"on": False})["on"] == on,
                lambda state: {name: {"on": on, "n": 1}},
                "",
            )

        self._send(make, lambda: self._rules.evacuation_acknowledged(zone, on), self._clock.now + KEEP_TRYING_S)

    def _send(self, make: Callable[[int], Change], on_acknowledged: Callable[[], None], until: float) -> None:
        """Send a change to a control process, and to another one after an error or without an answer."""
        process = self._control[self._rng.choice(sorted(CORES))]
        waiting = True

        def send_again() -> None:
            nonlocal waiting
            if waiting and self._clock.now < until:
                waiting = False
                self._send(make, on_acknowledged, until)

        def answered(answer: Any) -> None:
            nonlocal waiting
            if waiting and isinstance(answer, ServiceError):
                self._clock.later(RETRY_S, send_again)
            elif waiting:
                waiting = False
                on_acknowledged()

        self._clock.later(PATIENCE_S, send_again)
        if process.running:
            process.call(make, answered)
