"""Conversion of an operator's orders into changes of the control state.

Orders are identified as follows:

- A configuration is identified by its number and the digest of its contents (canonical JSON: white space and the order
  of members do not matter). The highest number prevails; a configuration whose number is not higher than the one in
  force is acknowledged without a change. A configuration that was accepted before is a repeat, which is neither
  rejected nor validated again.
- An evacuation is identified by its zone and the requested state. It has no id, so a repeat cannot be distinguished
  from a new order of the same kind: it is acknowledged without a change only while the zone is in the requested state.
  After another operator's opposite order it takes effect again, because its sender relies on the new acknowledgement.

`Change.is_redundant` must be evaluated on the committed state, never on one with a pending change: an acknowledgement
that is based on a change that may still be lost would confirm contents that no machine stores. A repeat that arrives
while the first order is pending therefore waits for its outcome.

Only a leader with a valid lease may reject an order (`parse`, `evacuation_change`), as callers treat a rejection as
final.

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

MAX_ZONE_BYTES = 400  # the zone's name is part of a key on disk, which may have at most 511 bytes
DIGEST_DIGITS_LOGGED = 12
VALUE_BYTES = 200  # memory of one value of a configuration while it is checked
MAX_REASON_LENGTH = 400  # maximum length of the message of a rejection, in characters


class ParsedOrder(NamedTuple):
    """A configuration that may be accepted: it is valid, or repeats an accepted one (`parts` is None)."""

    identity: Identity
    parts: DocumentParts | None


class OrderStatus(Enum):
    """Relation of an order to the configuration in force; only `NEWER` changes anything. The values are logged."""

    NEWER = "newer"
    REPEAT = "repeat of an accepted configuration"
    CONFLICTING_CONTENTS = "number is in force with different contents"
    SUPERSEDED = "superseded by a higher number"


def validation_module() -> ModuleType:
    """Return the module that validates configurations. It is imported lazily to keep the start of a process short."""
    return importlib.import_module("thistleusher.configuration.validation")


# Configurations.


def check_size(document: bytes, memory_bytes: int) -> None:
    """Raise ServiceError if a document would take more memory than there is for it, once it is parsed."""
    max_values = memory_bytes // VALUE_BYTES
    if validation_module().count_values(document) > max_values:
        raise ServiceError(ErrorKind.BODY_TOO_LARGE, f"body: more than {max_values} values")


def parse(document: bytes, state: State | None = None) -> ParsedOrder:
    """Parse and fully validate a document.

    Raises an ExceptionGroup of `InvalidConfigurationError`. `state` is the committed state; a document that it has
    accepted before is not validated again. Cost: linear in the number of fields.
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
    """Return the identity of a document that was not validated, or None if it has none."""
    try:
        return Identity(int(value["version"], 16), digest_of(value))
    except (TypeError, KeyError, ValueError, RecursionError):
        return None


def classify(state: State, order: ParsedOrder) -> OrderStatus:
    """Return the relation of an order to the configuration in force, for the log."""
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
        assert order.parts is not None, "a repeat is redundant in every state that has accepted it"
        return changed_items_for_parts(state, order.parts)

    description = f"configuration {number:08x}, contents {digest[:DIGEST_DIGITS_LOGGED]}"
    return Change(call_id, is_redundant, items, description)


def deferred_configuration_change(call_id: int, document: bytes) -> DeferredChange:
    """Return the call that replaces the configuration, to be parsed by the leader that serves it.

    An invalid document raises ServiceError(INVALID_CONFIGURATION) there, with all faults in one line.
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

    Its answer is the document, or ServiceError(NO_LEADER) if there is none.
    """

    def answer(state: State) -> bytes | ServiceError:
        document = assemble(state)
        return document if document is not None else ServiceError(ErrorKind.NO_LEADER, "no configuration yet")

    return Read(call_id, answer)


# Evacuations.


def evacuation_change(call_id: int, zone: str, begin: bool) -> Change:
    """Return the change that begins or finishes an evacuation.

    Raises ServiceError(INVALID_CONFIGURATION) if `zone` is no valid zone name. The item's `n` counts the changes, so
    that readers notice each end of an evacuation.
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
    """Return the call that begins or finishes an evacuation, to be checked by the leader that serves it."""
    return DeferredChange(call_id, lambda state: evacuation_change(call_id, zone, begin))
