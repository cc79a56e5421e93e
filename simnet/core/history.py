"""The history of a run of the core: published and acknowledged changes, and the rules LOST and CONFIG on them."""

from __future__ import annotations

from typing import Any, NamedTuple

from simnet.errors import RuleViolationError
from thistleusher.transport.state_updates import State

CONFIG = "config"  # name of the configuration item, whose value is {"v": number, "z": contents}
NO_NUMBER = -1  # number of a state without a configuration


class Order(NamedTuple):
    """A configuration, as an operator sends it."""

    number: int
    contents: str


def order_in(state: State) -> Order:
    """Return the configuration in a state; its number is `NO_NUMBER` if there is none."""
    item = state.value(CONFIG)
    return Order(item["v"], item["z"]) if item is not None else Order(NO_NUMBER, "")


class History:
    """The history of a run up to now.

    An entry of `evacuated` is None while requests for its zone are in flight, since the outcome is not known.
    """

    def __init__(self) -> None:
        self.acknowledged = NO_NUMBER  # highest configuration number
        self.published = NO_NUMBER  # highest configuration number
        self.contents: dict[int, str] = {}  # configuration number -> contents that were in force
        self.changes: dict[int, dict[str, Any]] = {}  # state number -> items that it changed
        self.evacuated: dict[str, bool | None] = {}  # zone -> whether it is evacuated
        self._confirmed: list[Order] = []  # orders confirmed in the current step

    def publish(self, state: State) -> None:
        """Record a state that is in force.

        Raises RuleViolationError if its number, or the number of its configuration, had other contents before.
        """
        changed = {name: value for name, (number, value) in state.items.items() if number == state.number}
        if self.changes.setdefault(state.number, changed) != changed:
            raise RuleViolationError(f"CONFIG: change {state.number} was {self.changes[state.number]}, now {changed}")
        order = order_in(state)
        if order.number < 0:
            return
        if self.contents.setdefault(order.number, order.contents) != order.contents:
            raise RuleViolationError(f"CONFIG: the contents of configuration {order.number} have changed")
        self.published = max(self.published, order.number)

    def confirm(self, order: Order) -> None:
        """Record that a machine answered an order with success, whether or not the answer arrives."""
        self._confirmed.append(order)

    def acknowledge(self, number: int) -> None:
        """Record that an operator received the answer to an order."""
        self.acknowledged = max(self.acknowledged, number)

    def check(self) -> None:
        """Check after a step that each order it confirmed is in force, or superseded by a higher number."""
        for order in self._confirmed:
            if self.contents.get(order.number) != order.contents and self.published <= order.number:
                raise RuleViolationError(
                    f"CONFIG: {order} was confirmed, but other contents are in force under its number"
                )
        self._confirmed.clear()

    def check_read(self, state: State, least: int, evacuated: dict[str, bool | None]) -> None:
        """Check the answer to a read.

        `least` and `evacuated` are the acknowledged number and evacuations at the time when the read was sent.
        """
        order = order_in(state)
        if order.number < least:
            raise RuleViolationError(
                f"LOST: a read returned number {order.number}, but {least} was acknowledged before"
            )
        if order.number >= 0 and self.contents.get(order.number, order.contents) != order.contents:
            raise RuleViolationError(f"CONFIG: a read returned other contents under number {order.number}")
        for zone, on in evacuated.items():
            if on is not None and on is self.evacuated.get(zone) and self._evacuation_in(state, zone) != on:
                value = state.value(f"evac:{zone}")
                raise RuleViolationError(f"LOST: evacuation of {zone} was acknowledged as {on}, read {value}")

    @staticmethod
    def _evacuation_in(state: State, zone: str) -> bool:
        value = state.value(f"evac:{zone}")
        return value is not None and bool(value["on"])
