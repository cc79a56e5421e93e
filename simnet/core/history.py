"""What a simulated run must never show, and the record of what operators were told that it is held against."""

from __future__ import annotations

from typing import Any, NamedTuple

from simnet.errors import RuleViolationError
from thistleusher.transport.state_updates import State

CONFIG = "config"  # the item that holds the configuration: {"v": number, "z": contents}


class Order(NamedTuple):
    """A configuration as an operator sends it."""

    number: int
    contents: str


def held_order(state: State) -> Order:
    """The configuration in a state; number -1 where there is none."""
    held = state.value(CONFIG)
    return Order(held["v"], held["z"]) if held is not None else Order(-1, "")


class History:
    """What was published and acknowledged, and the rules that these must keep."""

    def __init__(self) -> None:
        self.acknowledged = -1  # the highest number of a configuration
        self.published = -1
        self.contents: dict[int, str] = {}  # by the numbers of configurations that were in force
        self.changes: dict[int, dict[str, Any]] = {}  # by the numbers of states that were in force
        self.evacuated: dict[str, bool | None] = {}  # by zone; None: orders for it are under way
        self._confirmed: list[Order] = []  # in the step that is under way

    def publish(self, state: State) -> None:
        """A state is in force: its number and that of its configuration have one content for ever."""
        changed = {name: value for name, (number, value) in state.items.items() if number == state.number}
        if self.changes.setdefault(state.number, changed) != changed:
            raise RuleViolationError(f"CONFIG: change {state.number} was {self.changes[state.number]} and is {changed}")
        held = held_order(state)
        if held.number < 0:
            return
        if self.contents.setdefault(held.number, held.contents) != held.contents:
            raise RuleViolationError(f"CONFIG: number {held.number} has changed its contents")
        self.published = max(self.published, held.number)

    def confirm(self, order: Order) -> None:
        """A machine has answered an order with success, whether or not the answer arrives."""
        self._confirmed.append(order)

    def acknowledge(self, number: int) -> None:
        """An operator has the answer."""
        self.acknowledged = max(self.acknowledged, number)

    def check(self) -> None:
        """After each step: what was confirmed in it is in force, or passed over by a higher number."""
        for order in self._confirmed:
            if self.contents.get(order.number) != order.contents and self.published <= order.number:
                raise RuleViolationError(f"CONFIG: {order} was confirmed and is not what is held under its number")
        self._confirmed.clear()

    def read(self, state: State, least: int, evacuated: dict[str, bool | None]) -> None:
        """A read that was sent when `least` and `evacuated` were known has its answer."""
        held = held_order(state)
        if held.number < least:
            raise RuleViolationError(f"LOST: read {held.number}, acknowledged was {least}")
        if held.number >= 0 and self.contents.get(held.number, held.contents) != held.contents:
            raise RuleViolationError(f"CONFIG: read other contents under number {held.number}")
        for zone, on in evacuated.items():
            value = state.value(f"evac:{zone}")
            if on is not None and on is self.evacuated.get(zone) and (value is not None and value["on"]) != on:
                raise RuleViolationError(f"LOST: evacuation of {zone} was acknowledged as {on}, read {value}")
