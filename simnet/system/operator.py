"""The simulated operator, which sends configurations and evacuations to the control processes."""

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

RESPONSE_TIMEOUT_S = 1.0  # response time-out per control process; then another one is tried
RETRY_S = 0.1  # delay from an error response to the next attempt
CHANGE_TIMEOUT_S = 8.0  # total time for the attempts to send one change


class Operator:
    """Sends each change until a control process acknowledges it, or `CHANGE_TIMEOUT_S` has passed."""

    def __init__(self, clock: Clock, rng: random.Random, rules: Rules, control: Mapping[str, ControlProcess]) -> None:
        """Create the operator; `control` maps machines to control processes."""
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

        self._send(make, lambda: self._rules.configuration_acknowledged(version), self._clock.now + CHANGE_TIMEOUT_S)

    def evacuate(self, zone: str, on: bool) -> None:
        """Begin or end the evacuation of a zone, whose backends get no requests meanwhile."""
        name = f"evac:{zone}"
        if not on:
            # Requests to the zone are allowed while the change that ends the evacuation is in flight.
            self._rules.evacuation_acknowledged(zone, False)

        def make(call_id: int) -> Change:
            return Change(
                call_id,
                lambda state: (state.value(name) or {"on": False})["on"] == on,
                lambda state: {name: {"on": on, "n": 1}},
                "",
            )

        self._send(make, lambda: self._rules.evacuation_acknowledged(zone, on), self._clock.now + CHANGE_TIMEOUT_S)

    def _send(self, make: Callable[[int], Change], on_acknowledged: Callable[[], None], until: float) -> None:
        """Send a change to a random control process; after an error or a time-out, retry until the time `until`."""
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

        self._clock.later(RESPONSE_TIMEOUT_S, send_again)
        if process.running:
            process.call(make, answered)
