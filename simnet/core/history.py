"""What was published and acknowledged in a run of the core, and the rules LOST and CONFIG that it must keep."""

from __future__ import annotations

from typing import Any, NamedTuple

from simnet.errors import RuleViolationError
from thistleusher.transport.state_updates import State

CONFIG = "config"  # the item that holds the configuration: {"v": number, "z": contents}
NO_NUMBER = -1


class Order(NamedTuple):
    """A configuration as an operator sends it."""

    number: int
    contents: str


def order_in(state: State) -> Order:
    """Return the configuration that a state holds; number -1 where there is none."""
    item = state.value(CONFIG)
    return Order(item["v"], item["z"]) if item is not None else Order(NO_NUMBER, "")


class History:
    """All that is known of the run so far. An evacuation is None while orders for its zone are in flight."""

    def __init__(self) -> None:
        self.acknowledged = NO_NUMBER  # the highest number of a configuration
        self.published = NO_NUMBER
        self.contents: dict[int, str] = {}  # by the numbers of configurations that were in force
        self.changes: dict[int, dict[str, Any]] = {}  # by the numbers of states that were in force
        self.evacuated: dict[str, bool | None] = {}  # by zone
        self._confirmed: list[Order] = []  # in the present step

    def publish(self, state: State) -> None:
        """Record a state that is in force. Its number and its configuration's number have one content for ever."""
        changed = {name: value for name, (number, value) in state.items.items() if number == state.number}
        if self.changes.setdefault(state.number, changed) != changed:
            raise RuleViolationError(f"CONFIG: change {state.number} was {self.changes[state.number]} and is {changed}")
        order = order_in(state)
        if order.number < 0:
            return
        if self.contents.setdefault(order.number, order.contents) != order.contents:
            raise RuleViolationError(f"CONFIG: number {order.number} has changed its contents")
        self.published = max(self.published, order.number)

    def confirm(self, order: Order) -> None:
        """Record that a machine answers an order with success, whether or not the answer arrives."""
        self._confirmed.append(order)

    def acknowledge(self, number: int) -> None:
        """Record that an operator has the answer to an order."""
        self.acknowledged = max(self.acknowledged, number)

    def check(self) -> None:
        """Check after each step: what it confirmed is in force, or superseded by a higher number."""
        for order in self._confirmed:
            if self.contents.get(order.number) != order.contents and self.published <= order.number:
                raise RuleViolationError(f"CONFIG: {order} was confirmed and is not what is held under its number")
        self._confirmed.clear()

    def check_read(self, state: State, least: int, evacuated: dict[str, bool | None]) -> None:
        """Check the answer to a read that was sent when `least` and `evacuated` were known."""
        order = order_in(state)
        if order.number < least:
            raise RuleViolationError(f"LOST: read {order.number}, acknowledged was {least}")
        if order.number >= 0 and self.contents.get(order.number, order.contents) != order.contents:
            raise RuleViolationError(f"CONFIG: read other contents under number {order.number}")
        for zone, on in evacuated.items():
            if on is not None and on is self.evacuated.get(zone) and self._evacuation_in(state, zone) != on:
                value = state.value(f"evac:{zone}")
                raise RuleViolationError(f"LOST: evacuation of {zone} was acknowledged as {on}, read {value}")

    @staticmethod
    def _evacuation_in(state: State, zone: str) -> bool:
        value = state.value(f"evac:{zone}")
        return value is not None and bool(value["on"])
