"""`thistleusher state`: inspects a state folder that no process uses, without changing it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import closing, contextmanager
from typing import Any

import msgspec

from thistleusher.cli.commands import StateExport, StateShow, StateVerify
from thistleusher.cli.errors import CommandError
from thistleusher.state.store import StateFolderError, Store

EXIT_CORRUPT = 1


@contextmanager
def open_folder(folder: str) -> Iterator[Store]:
    """Open and lock the folder for the duration of the context. Raises CommandError if it cannot be opened."""
    try:
        store = Store.open_existing(folder)
    except StateFolderError as error:
        raise CommandError(str(error)) from error
    with closing(store):
        yield store


def show(options: StateShow) -> int:
    """Print a short summary of the folder."""
    with open_folder(options.folder) as store:
        process = store.previous
        learned = store.learned()
        endpoint_list = store.endpoint_list()
        pending = [max(0.0, member.pending) for member in store.members()]
        reservation_count = sum(1 for _ in store.reservations())
    if process is not None:
        end = f"ended in order at {process.ended_at:.3f}" if process.ended_at else "no orderly shutdown is recorded"
        print(f"ingress {process.name}, life {process.number}, began {process.started_at:.3f}, {end}")
    print(f"{len(pending)} members, {sum(pending):.2f} units in no count yet; {reservation_count} rooms")
    print(
        f"{len(learned.backends) if learned else 0} backends known; "
        f"{len(endpoint_list.endpoints) if endpoint_list else 0} in the last list"
    )
    return 0


def verify(options: StateVerify) -> int:
    """Read every record and print the number of corrupt ones and any damage to the file; return the exit code."""
    with open_folder(options.folder) as store:
        count = sum(1 for _ in store.members()) + sum(1 for _ in store.reservations())
        count += sum(record is not None for record in (store.learned(), store.endpoint_list(), store.previous))
        damage = store.integrity_errors()
        corrupt = store.corrupt_records
    print(f"{count} records read, {corrupt} spoilt{f'; {damage}' if damage else ''}")
    return EXIT_CORRUPT if corrupt or damage else 0


def export(options: StateExport) -> int:
    """Print each record as one JSON line."""
    with open_folder(options.folder) as store:
        single_records: list[tuple[str, Any]] = [
            ("life", store.previous),
            ("learned", store.learned()),
            ("list", store.endpoint_list()),
        ]
        for kind, record in single_records:
            if record is not None:
                print(json_line(kind, record))
        for member in store.members():
            print(json_line("member", member))
        for reservation in store.reservations():
            print(json_line("room", reservation))
    return 0


def json_line(kind: str, record: Any) -> str:
    """Return a record as JSON, with the encoded names of its fields."""
    fields = record.__struct_encode_fields__ if isinstance(record, msgspec.Struct) else record._fields
    return json.dumps({"kind": kind, **dict(zip(fields, msgspec.to_builtins(record), strict=True))})
