"""A configuration as items of the control state, and back.

An operator sends one document. It is stored as items, so that a change of one route transfers and stores only this
route, both between replicas and to the proxies:

- `config`: the header with the number, the digest, and the document's top-level fields that are in no other item;
- `route:NAME`, `service:NAME`, `tenant:NAME`, `limits`: one complete JSON value each, including fields that are unknown
  to this release;
- `taken:SLOT`: number and digest of each of the last `REMEMBERED_DIGESTS` configurations, to recognize repeated ones.

JSON values are stored as canonical text. Numbers of any size and any nesting are preserved, equal values have equal
texts, and a document is assembled without parsing the values.

Guarantee: the document that `assemble` returns is equal as JSON to the document that was sent under its number.

Cost of a new configuration: at the leader, one pass over the document and a comparison with each item; elsewhere, only
the items that differ. A subscriber's update costs one step per changed item and a copy of a record of five fields; its
look-ups are those of `Index`. A complete build, with one step per item, happens for the first configuration, after a
configuration that was not applied, and after one in the format of release 0.1 (one item with the compressed document),
which is still supported.

All functions are pure.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from thistleusher.common.record_reader import read_record
from thistleusher.configuration.index import Index
from thistleusher.configuration.records import Configuration, Limits, Route, Service, Tenant
from thistleusher.transport.state_updates import State

NO_CONFIGURATION = -1  # the number that stands for the absence of a configuration
REMEMBERED_DIGESTS = 64  # number of configurations whose digests are kept
HEADER = "config"
LIMITS = "limits"
ACCEPTED_PREFIX = "taken:"
TABLE_PREFIXES = {
    "routes": "route:",
    "services": "service:",
    "tenants": "tenant:",
}  # field -> item prefix
ITEM_PREFIXES = tuple(TABLE_PREFIXES.values())
COMPRESSED_FIELD = "z"  # header field of release 0.1 that holds the complete document, compressed


class Identity(NamedTuple):
    """The number and digest that identify a configuration."""

    number: int
    digest: str


class DocumentParts(NamedTuple):
    """A document in parts: its identity, the header's fields as text, the names of its tables, and its items."""

    identity: Identity
    fields: str
    tables: list[str]
    items: dict[str, str]


_encode = msgspec.json.Encoder(order="sorted").encode


def canonical_json(value: Any) -> str:
    """Return the canonical text of a JSON value. Equal values have equal texts."""
    try:
        return _encode(value).decode()
    except (OverflowError, UnicodeEncodeError):  # integers beyond 64 bits, text with lone surrogates
        return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def digest_of(value: Any) -> str:
    """Return the digest of a parsed JSON document."""
    return hashlib.sha256(canonical_json(value).encode("utf-8", "surrogatepass")).hexdigest()


def split_document(number: int, document: Mapping[str, Any]) -> DocumentParts:
    """Return the parts of a parsed JSON document."""
    items: dict[str, str] = {}
    tables: list[str] = []
    fields: dict[str, Any] = {}
    for field, value in document.items():
        if field in TABLE_PREFIXES and isinstance(value, dict):
            tables.append(field)
            items.update((TABLE_PREFIXES[field] + name, canonical_json(entry)) for name, entry in value.items())
        elif field == LIMITS:
            items[LIMITS] = canonical_json(value)
        else:
            fields[field] = value
    return DocumentParts(Identity(number, digest_of(document)), canonical_json(fields), tables, items)


def number_of(state: State) -> int:
    """Return the number of the configuration in a state, or `NO_CONFIGURATION` if there is none."""
    header = state.value(HEADER)
    return int(header["v"]) if header is not None else NO_CONFIGURATION


def identity_of(state: State) -> Identity | None:
    """Return the identity of the configuration in a state, or None if there is none."""
    header = state.value(HEADER)
    if header is None:
        return None
    if COMPRESSED_FIELD in header:
        return Identity(header["v"], digest_of(json.loads(zlib.decompress(header[COMPRESSED_FIELD]))))
    return Identity(header["v"], header["digest"])


def is_stored_document(state: State, document: bytes) -> bool:
    """Return whether a state holds exactly these bytes in the format of release 0.1, which validated less."""
    header = state.value(HEADER)
    return header is not None and COMPRESSED_FIELD in header and assemble(state) == document


def was_accepted(state: State, identity: Identity) -> bool:
    """Return whether a configuration is the one in a state or one of the remembered earlier ones."""
    if identity == identity_of(state):
        return True
    remembered = (state.value(f"{ACCEPTED_PREFIX}{slot}") for slot in range(REMEMBERED_DIGESTS))
    return list(identity) in (list(pair) for pair in remembered if pair is not None)


def changed_items(state: State, number: int, document: bytes) -> dict[str, Any]:
    """Return the items that a configuration changes in a state; None stands for a removed item."""
    return changed_items_for_parts(state, split_document(number, json.loads(document)))


def changed_items_for_parts(state: State, parts: DocumentParts) -> dict[str, Any]:
    """Return the items that a document's parts change in a state; None stands for a removed item."""
    header = state.value(HEADER) or {}
    serial = header.get("serial", 0) + 1
    present = dict(_configuration_items(state))
    changed: dict[str, Any] = {name: text for name, text in parts.items.items() if present.get(name) != text}
    changed.update(dict.fromkeys(present.keys() - parts.items.keys()))
    if COMPRESSED_FIELD in header:  # stored by release 0.1, which did not keep digests
        changed[f"{ACCEPTED_PREFIX}0"] = list(identity_of(state) or ())
    changed[f"{ACCEPTED_PREFIX}{serial % REMEMBERED_DIGESTS}"] = list(parts.identity)
    changed[HEADER] = {
        "v": parts.identity.number,
        "digest": parts.identity.digest,
        "serial": serial,
        "fields": parts.fields,
        "tables": parts.tables,
    }
    return changed


def _is_part(name: str) -> bool:
    """Return whether an item is a part of a configuration other than its header."""
    return name == LIMITS or name.startswith(ITEM_PREFIXES)


def _configuration_items(state: State) -> Iterator[tuple[str, str]]:
    for name, (_, value) in state.items.items():
        if value is not None and _is_part(name):
            yield name, value


def assemble(state: State) -> bytes | None:
    """Return the document of the configuration in a state, or None if there is none."""
    header = state.value(HEADER)
    if header is None:
        return None
    if COMPRESSED_FIELD in header:
        return zlib.decompress(header[COMPRESSED_FIELD])
    members = [header["fields"][1:-1]] if header["fields"] != "{}" else []
    members += [f'"{field}":{{{_table_members(state, TABLE_PREFIXES[field])}}}' for field in header["tables"]]
    limits = state.value(LIMITS)
    if limits is not None:
        members.append(f'"{LIMITS}":{limits}')
    return ("{" + ",".join(members) + "}").encode()


def _table_members(state: State, prefix: str) -> str:
    """Return the text of the members of one table's JSON object."""
    return ",".join(f"{canonical_json(name)}:{text}" for name, text in state.values(prefix).items())


class ConfigurationFollower:
    """The configuration of a subscribed state, with its look-up tables.

    `index` remains the same object across configurations, except after a complete build.
    """

    def __init__(self) -> None:
        self.index: Index | None = None
        self._needs_rebuild = True  # set while `index` lacks items of the state

    def update(self, state: State, changed: Mapping[str, Any]) -> bool:
        """Apply the changed items of a state; return whether a newer configuration takes effect.

        A configuration is applied only if its number is higher than that of the configuration in effect.
        """
        if HEADER not in changed and not any(map(_is_part, changed)):
            return False
        header = state.value(HEADER)
        if header is None or header["v"] <= self.number:
            self._needs_rebuild = True
            return False
        if self.index is None or self._needs_rebuild:
            self._needs_rebuild = True
            self.index = Index(_complete_configuration(state))
        else:
            self._needs_rebuild = True  # reset below; stays set if an unreadable item leaves `index` unchanged
            _apply(self.index, header, changed)
        self._needs_rebuild = COMPRESSED_FIELD in header
        return True

    @property
    def number(self) -> int:
        """Return the number of the configuration in effect, or `NO_CONFIGURATION` if there is none."""
        return self.index.config.number if self.index is not None else NO_CONFIGURATION

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """Return all tenants."""
        return self.index.config.tenants if self.index is not None else {}


def _complete_configuration(state: State) -> Configuration:
    """Return the configuration of a state, read from all of its items."""
    document = assemble(state)
    assert document is not None
    return read_record(Configuration, json.loads(document))


def _apply(index: Index, header: Mapping[str, Any], changed: Mapping[str, Any]) -> None:
    """Apply changed items to an index.

    All items are read before the first is applied, so an unreadable item leaves the index unchanged.
    """
    version = read_record(Configuration, json.loads(header["fields"])).version
    limits = index.config.limits
    if LIMITS in changed:
        limits = read_record(Limits, json.loads(changed[LIMITS] or "{}"), LIMITS)
    routes = _changed_records(Route, "routes", changed)
    services = _changed_records(Service, "services", changed)
    tenants = _changed_records(Tenant, "tenants", changed)
    index.update(version, limits, routes, services, tenants)


def _changed_records(kind: type[Any], table: str, changed: Mapping[str, Any]) -> dict[str, Any]:
    """Return the records of one table among the changed items by name; None stands for a removed record."""
    prefix = TABLE_PREFIXES[table]
    return {
        name[len(prefix) :]: read_record(kind, json.loads(text), table) if text is not None else None
        for name, text in changed.items()
        if name.startswith(prefix)
    }
