"""The operator's orders as changes of the control state.

How an order is identified:

- A configuration by its number and the digest of its contents (canonical JSON: neither spaces nor the order of members
  count). The highest number prevails; one no higher than the number in force is acknowledged and changes nothing. One
  that was accepted before is a repeat, which is neither refused nor validated again.
- An evacuation by its zone and what it asks for. It has no id, so a repeat can't be distinguished from a new order of
  the same kind: it is acknowledged without a change only while the zone is as it asks. After another operator's
  opposite order it takes effect again, as its sender relies on the acknowledgement that it gets now.

`Change.is_redundant` must be asked of a state in force, never of one with a pending change: an acknowledgement by a
state that may still be lost would confirm contents that nobody keeps. So a repeat that arrives while the first is
pending waits for its end.

Only a leader with a valid lease may refuse an order (`parse`, `evacuation_change`), as callers take a refusal as final.

Pure.
"""

from __future__ import annotations

import importlib
from enum import Enum
from types import ModuleType
from typing import Any, NamedTuple

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.configuration.items import (
    DocumentParts,
    Identity,
    assemble,
    changed_items_for_parts,
    digest_of,
    identity_of,
    is_stored_document,
    number_of,
    split_document,
    was_accepted,
)
from thistleusher.control.interface import Change, DeferredChange, Read
from thistleusher.transport.state_updates import State

MAX_ZONE_BYTES = 400  # zones' names are part of keys on disk, which may have 511 bytes
DIGEST_DIGITS_LOGGED = 12
MAX_REASON_LENGTH = 400  # characters of a refusal


class ParsedOrder(NamedTuple):
    """A configuration that may be accepted: valid, or a repeat (`parts` is None) of one that was."""

    identity: Identity
    parts: DocumentParts | None


class OrderStatus(Enum):
    """How an order compares with the configuration in force; only a `NEWER` one changes anything. Values are logged."""

    NEWER = "newer"
    REPEAT = "a repeat"
    CONFLICTING_CONTENTS = "other contents under the number in force"
    SUPERSEDED = "passed over by a higher number"


def validation_module() -> ModuleType:
    """Return the module that validates configurations. It is imported late, to keep the start of a process short."""
    return importlib.import_module("thistleusher.configuration.validation")


# Configurations.


def parse(document: bytes, state: State | None = None) -> ParsedOrder:
    """Return a document as an order, after complete validation.

    Raises an ExceptionGroup of `InvalidConfigurationError`. `state`: the state in force; what was accepted
    into it is not validated again. Cost: one step a field.
    """
    in_force = identity_of(state) if state is not None and is_stored_document(state, document) else None
    if in_force is not None:
        return ParsedOrder(in_force, None)
    validation = validation_module()
    read = validation.parse_json(document)
    identity = _unvalidated_identity(read.value) if state is not None and not read.faults else None
    if state is not None and identity is not None and was_accepted(state, identity):
        return ParsedOrder(identity, None)
    parts = split_document(validation.check_configuration(read).number, read.value)
    return ParsedOrder(parts.identity, parts)


def _unvalidated_identity(value: Any) -> Identity | None:
    """Return the identity of a document that was not validated, None where it can have none."""
    try:
        return Identity(int(value["version"], 16), digest_of(value))
    except (TypeError, KeyError, ValueError, RecursionError):
        return None


def classify(state: State, order: ParsedOrder) -> OrderStatus:
    """Return how an order compares with the configuration in force, for the log."""
    if order.identity.number > number_of(state):
        return OrderStatus.NEWER
    if was_accepted(state, order.identity):
        return OrderStatus.REPEAT
    in_force = identity_of(state)
    same_number = in_force is not None and in_force.number == order.identity.number
    return OrderStatus.CONFLICTING_CONTENTS if same_number else OrderStatus.SUPERSEDED


def configuration_change(call_id: int, order: ParsedOrder) -> Change:
    """Return the change that replaces the configuration."""
    number, digest = order.identity

    def is_redundant(state: State) -> bool:
        return number_of(state) >= number

    def items(state: State) -> dict[str, Any]:
        assert order.parts is not None, "a repeat is redundant wherever it was accepted"
        return changed_items_for_parts(state, order.parts)

    description = f"configuration {number:08x}, contents {digest[:DIGEST_DIGITS_LOGGED]}"
    return Change(call_id, is_redundant, items, description)


def deferred_configuration_change(call_id: int, document: bytes) -> DeferredChange:
    """Return the change that replaces the configuration, to be parsed by whoever leads then.

    A bad document raises ServiceError(INVALID_CONFIGURATION) there, with all faults in one line.
    """

    def change(state: State) -> Change:
        try:
            order = parse(document, state)
        except ExceptionGroup as group:
            faults = "; ".join(str(error) for error in group.exceptions)
            raise ServiceError(ErrorKind.INVALID_CONFIGURATION, faults[:MAX_REASON_LENGTH]) from None
        parsed = configuration_change(call_id, order)
        return parsed._replace(description=f"{parsed.description}, {classify(state, order).value}")

    return DeferredChange(call_id, change)


def read_configuration(call_id: int) -> Read:
    """Return the call that reads the configuration in force.

    Its answer is the document, or ServiceError(NO_LEADER) where there is none.
    """

    def answer(state: State) -> bytes | ServiceError:
        document = assemble(state)
        return document if document is not None else ServiceError(ErrorKind.NO_LEADER, "no configuration yet")

    return Read(call_id, answer)


# Evacuations.


def evacuation_change(call_id: int, zone: str, begin: bool) -> Change:
    """Return the change that begins or finishes an evacuation.

    Raises ServiceError(INVALID_CONFIGURATION) for what can't be a zone. The item's `n` counts the changes, so that each
    return of a zone is seen.
    """
    if not zone or "/" in zone or len(zone.encode("utf-8", "replace")) > MAX_ZONE_BYTES:
        raise ServiceError(ErrorKind.INVALID_CONFIGURATION, f"no such zone: {zone[:60]!r}")
    name = f"evac:{zone}"

    def is_redundant(state: State) -> bool:
        current = state.value(name)
        return (current is not None and bool(current["on"])) == begin

    def items(state: State) -> dict[str, Any]:
        current = state.value(name)
        return {name: {"on": begin, "n": (current["n"] if current else 0) + 1}}

    return Change(call_id, is_redundant, items, f"evacuation of {zone}: {'begin' if begin else 'finish'}")


def deferred_evacuation_change(call_id: int, zone: str, begin: bool) -> DeferredChange:
    """Return the change that begins or finishes an evacuation, to be checked by whoever leads then."""
    return DeferredChange(call_id, lambda state: evacuation_change(call_id, zone, begin))
