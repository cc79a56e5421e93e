"""The operator's orders as changes of the control state.

What an order is known by:

- a configuration by its number and the digest of its contents (canonical JSON: neither spaces nor the order of members
  count). The highest number prevails; one no higher than the number held is acknowledged and alters nothing. One that
  was taken before is a repeat, which is never refused, nor checked again;
- an evacuation by its zone and what it asks for. It carries no id, so that a repeat cannot be told from a new order of
  the same kind: it is acknowledged without a change only while the zone is as it asks. After another operator's
  opposite order it takes effect again, as its sender relies on the acknowledgement that it gets now.

Who runs a `Change` must ask `settled` of a state that is in force, never of one that is being kept: an acknowledgement
by a state that may still be lost would confirm contents that nobody keeps. So a repeat that arrives while the first is
being kept waits for its end.

All refusals (`parse`, `evacuate`) are for a leader whose lease stands to give, as a caller takes them as final.

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
    difference,
    digest_of,
    identity_of,
    is_stored_document,
    number_of,
    split_document,
    was_accepted,
)
from thistleusher.control.interface import Change, DeferredChange, Read
from thistleusher.transport.state_updates import State

MOST_ZONE_BYTES = 400  # zones' names are keys on the disk, which bounds them at 511
DIGEST_SHOWN = 12  # digits of a digest in the log
MOST_REASON = 400  # characters of a refusal


class ParsedOrder(NamedTuple):
    """A configuration that may be kept: valid, or a repeat (`parts` is None) of one that was taken."""

    identity: Identity
    parts: DocumentParts | None


class Standing(Enum):
    """How an order stands to the configuration in force; only a `NEWER` one alters anything."""

    NEWER = "newer"
    REPEAT = "a repeat"
    OTHER_CONTENTS = "other contents under the number in force"
    PASSED_OVER = "passed over by a higher number"


def checks() -> ModuleType:
    """The module that checks configurations: loaded late, as a start must not wait for it."""
    return importlib.import_module("thistleusher.configuration.validation")


def parse(document: bytes, state: State | None = None) -> ParsedOrder:
    """A document as an order, checked whole. ExceptionGroup of `checks.BadConfiguration`.

    `state`: the state in force; what was taken into it is not checked again. Cost: one step a field.
    """
    held = identity_of(state) if state is not None and is_stored_document(state, document) else None
    if held is not None:
        return ParsedOrder(held, None)
    read = checks().read_json(document)
    identity = _identity(read.value) if state is not None and not read.faults else None
    if state is not None and identity is not None and was_accepted(state, identity):
        return ParsedOrder(identity, None)
    parts = split_document(checks().check_configuration(read).number, read.value)
    return ParsedOrder(parts.identity, parts)


def _identity(value: Any) -> Identity | None:
    """The identity of a document that was not checked, None where it can have none."""
    try:
        return Identity(int(value["version"], 16), digest_of(value))
    except (TypeError, KeyError, ValueError, RecursionError):
        return None


def standing(state: State, order: ParsedOrder) -> Standing:
    """How an order stands to the configuration in force, for the log."""
    if order.identity.number > number_of(state):
        return Standing.NEWER
    if was_accepted(state, order.identity):
        return Standing.REPEAT
    held = identity_of(state)
    same_number = held is not None and held.number == order.identity.number
    return Standing.OTHER_CONTENTS if same_number else Standing.PASSED_OVER


def replace(call: int, order: ParsedOrder) -> Change:
    """The change that a configuration asks for."""
    number, digest = order.identity

    def is_redundant(state: State) -> bool:
        return number_of(state) >= number

    def items(state: State) -> dict[str, Any]:
        assert order.parts is not None, "a repeat is settled wherever it was taken"
        return difference(state, order.parts)

    return Change(call, is_redundant, items, f"configuration {number:08x}, contents {digest[:DIGEST_SHOWN]}")


def replace_unread(call: int, document: bytes) -> DeferredChange:
    """The same of a document that is read by whoever leads then. Failure(INVALID) with all faults in one line."""

    def change(state: State) -> Change:
        try:
            order = parse(document, state)
        except ExceptionGroup as group:
            faults = "; ".join(str(error) for error in group.exceptions)
            raise ServiceError(ErrorKind.INVALID_CONFIGURATION, faults[:MOST_REASON]) from None
        made = replace(call, order)
        return made._replace(description=f"{made.description}, {standing(state, order).value}")

    return DeferredChange(call, change)


def evacuate_unread(call: int, zone: str, begin: bool) -> DeferredChange:
    """The same of an evacuation's begin or end."""
    return DeferredChange(call, lambda state: evacuate(call, zone, begin))


def evacuate(call: int, zone: str, begin: bool) -> Change:
    """The change that an evacuation's begin or end asks for. Failure(INVALID) for what can be no zone.

    The item's `n` counts the changes, so that each return of a zone is seen.
    """
    if not zone or "/" in zone or len(zone.encode("utf-8", "replace")) > MOST_ZONE_BYTES:
        raise ServiceError(ErrorKind.INVALID_CONFIGURATION, f"no such zone: {zone[:60]!r}")
    name = f"evac:{zone}"

    def is_redundant(state: State) -> bool:
        held = state.value(name)
        return (held is not None and bool(held["on"])) == begin

    def items(state: State) -> dict[str, Any]:
        held = state.value(name)
        return {name: {"on": begin, "n": (held["n"] if held else 0) + 1}}

    return Change(call, is_redundant, items, f"evacuation of {zone}: {'begin' if begin else 'finish'}")


def read(call: int) -> Read:
    """The document of the configuration in force; Failure(NO_LEADER) where there is none."""

    def answer(state: State) -> bytes | ServiceError:
        document = assemble(state)
        return document if document is not None else ServiceError(ErrorKind.NO_LEADER, "no configuration yet")

    return Read(call, answer)
