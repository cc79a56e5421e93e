"""`thistleusher state`: look at a state folder that no process holds. Nothing in it is changed."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from typing import Any

import click
import msgspec

from thistleusher.state.store import BadState, Store


@click.group()
def state() -> None:
    """Look at a state folder."""


@contextmanager
def opened(folder: str) -> Iterator[Store]:
    """The folder, held meanwhile; BadState is one line and exit code 2."""
    try:
        store = Store.existing(folder)
    except BadState as error:
        raise click.ClickException(str(error)) from error
    with closing(store):
        yield store


@state.command()
@click.argument("folder")
def show(folder: str) -> None:
    """What is in it, in a few lines."""
    with opened(folder) as store:
        life, learned, listed = store.before, store.learned(), store.listed()
        members, owed = 0, 0.0
        for m in store.members():
            members, owed = members + 1, owed + max(0.0, m.pending)
        rooms = sum(1 for _ in store.rooms())
        if life is not None:
            end = f"ended in order at {life.ended:.3f}" if life.ended else "did not end in order, or goes on"
            click.echo(f"ingress {life.name}, life {life.number}, began {life.began:.3f}, {end}")
        click.echo(f"{members} members, {owed:.2f} units in no count yet; {rooms} rooms")
        click.echo(
            f"{len(learned.backends) if learned else 0} backends known; "
            f"{len(listed.places) if listed else 0} in the last list"
        )


@state.command()
@click.argument("folder")
def verify(folder: str) -> None:
    """Read every record; exit code 1 where one is spoilt or the file is damaged."""
    with opened(folder) as store:
        count = sum(1 for _ in store.members()) + sum(1 for _ in store.rooms())
        count += sum(x is not None for x in (store.learned(), store.listed(), store.before))
        wrong = store.damage()
        click.echo(f"{count} records read, {store.spoilt} spoilt{f'; {wrong}' if wrong else ''}")
        spoilt = store.spoilt
    if spoilt or wrong:
        sys.exit(1)


@state.command()
@click.argument("folder")
def export(folder: str) -> None:
    """Every record as a JSON line, on standard output."""
    with opened(folder) as store:
        records: list[tuple[str, Any]] = [
            ("life", store.before),
            ("learned", store.learned()),
            ("list", store.listed()),
        ]
        for kind, record in [r for r in records if r[1] is not None]:
            click.echo(line(kind, record))
        for m in store.members():
            click.echo(line("member", m))
        for r in store.rooms():
            click.echo(line("room", r))


def line(kind: str, record: Any) -> str:
    """A record with the names of its fields."""
    fields = record.__struct_fields__ if isinstance(record, msgspec.Struct) else record._fields
    return json.dumps({"kind": kind, **{f: msgspec.to_builtins(getattr(record, f)) for f in fields}})
