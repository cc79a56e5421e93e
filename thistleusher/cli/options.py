"""Commands on the operator's file: `check`, `show`, `init`, `reference`. They start nothing."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from thistleusher.operator_file.errors import OperatorFileError
from thistleusher.operator_file.reader import OperatorFile, read_operator_file

F = TypeVar("F", bound=Callable[..., Any])


def layers(command: F) -> F:
    """The options of every command that reads the operator's file."""
    command = click.option(
        "--set",
        "words",
        metavar="SECTION.KEY=VALUE",
        multiple=True,
        help="A value that wins over file and environment; may be given again.",
    )(command)
    return click.option("--operator", "path", metavar="FILE", help="The operator's file.")(command)


def read(path: str | None, words: tuple[str, ...]) -> OperatorFile:
    """All layers; what is wrong with them is one line and exit code 2."""
    try:
        return read_operator_file(path, os.environ, words)
    except OperatorFileError as error:
        raise click.ClickException(str(error)) from error


@click.command()
@layers
@click.option("--config", metavar="FILE", help="The platform's configuration, too (default: PROXY_CONFIG, if set).")
def check(path: str | None, words: tuple[str, ...], config: str | None) -> None:
    """Say what is wrong with the operator's file and the configuration; start nothing."""
    options = read(path, words)
    config = config or os.environ.get("PROXY_CONFIG")
    if config:
        from thistleusher.net.config import InvalidConfigurationError, read_config

        try:
            read_config({**os.environ, "PROXY_CONFIG": config})
        except InvalidConfigurationError as error:
            raise click.ClickException(str(error)) from error
    click.echo(f"good: {', '.join(options.sections) or 'no section'}{f'; {config}' if config else ''}")


@click.command()
@layers
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def show(path: str | None, words: tuple[str, ...], as_json: bool) -> None:
    """Print each effective value and where it comes from."""
    for key, value, origin in read(path, words).effective_values():
        click.echo(
            json.dumps({"key": key, "value": value, "from": origin}) if as_json else f"{key} = {value}  # {origin}"
        )


@click.command()
@click.argument("path")
def init(path: str) -> None:
    """Write a commented starting file; one that is there is left alone."""
    from thistleusher.operator_file.reference import starting_file

    try:
        with Path(path).open("x", encoding="utf-8") as file:
            file.write(starting_file())
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from error


@click.command()
def reference() -> None:
    """Print docs/configuration.md."""
    from thistleusher.operator_file.reference import reference as page

    click.echo(page(), nl=False)
