"""`thistleusher state`: look at a state folder that no process holds. Nothing in it is changed."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from typing import Any

import click
import msgspec

from thistleusher.state.store import StateFolderError, Store


@click.group()
def state() -> None:
    """Look at a state folder."""


@contextmanager
def opened(folder: str) -> Iterator[Store]:
    """The folder, held meanwhile; StateFolderError is one line and exit code 2."""
    try:
        store = Store.existing(folder)
    except StateFolderError as error:
        raise click.ClickException(str(error)) from error
    with closing(store):
        yield store


@state.command()
@click.argument("folder")
def show(folder: str) -> None:
    """What is in it, in a few lines."""
    with opened(folder) as store:
        life, learned, listed = store.previous, store.learned(), store.endpoint_list()
        members, owed = 0, 0.0
        for m in store.members():
            members, owed = members + 1, owed + max(0.0, m.pending)
        rooms = sum(1 for _ in store.reservations())
        if life is not None:
            end = f"ended in order at {life.ended_at:.3f}" if life.ended_at else "did not end in order, or goes on"
            click.echo(f"ingress {life.name}, life {life.number}, began {life.started_at:.3f}, {end}")
        click.echo(f"{members} members, {owed:.2f} units in no count yet; {rooms} rooms")
        click.echo(
            f"{len(learned.backends) if learned else 0} backends known; "
            f"{len(listed.endpoints) if listed else 0} in the last list"
        )


@state.command()
@click.argument("folder")
def verify(folder: str) -> None:
    """Read every record; exit code 1 where one is spoilt or the file is damaged."""
    with opened(folder) as store:
        count = sum(1 for _ in store.members()) + sum(1 for _ in store.reservations())
        count += sum(x is not None for x in (store.learned(), store.endpoint_list(), store.previous))
        wrong = store.integrity_errors()
        click.echo(f"{count} records read, {store.corrupt_records} spoilt{f'; {wrong}' if wrong else ''}")
        corrupt_records = store.corrupt_records
    if corrupt_records or wrong:
        sys.exit(1)


@state.command()
@click.argument("folder")
def export(folder: str) -> None:
    """Every record as a JSON line, on standard output."""
    with opened(folder) as store:
        records: list[tuple[str, Any]] = [
            ("life", store.previous),
            ("learned", store.learned()),
            ("list", store.endpoint_list()),
        ]
        for kind, record in [r for r in records if r[1] is not None]:
            click.echo(line(kind, record))
        for m in store.members():
            click.echo(line("member", m))
        for r in store.reservations():
            click.echo(line("room", r))


def line(kind: str, record: Any) -> str:
    """A record with the names of its fields."""
    fields = record.__struct_encode_fields__ if isinstance(record, msgspec.Struct) else record._fields
    return json.dumps({"kind": kind, **dict(zip(fields, msgspec.to_builtins(record), strict=True))})
