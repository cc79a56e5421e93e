"""Commands on the operator's file: `show`, `init` and `reference`. They start no process."""

from __future__ import annotations

import json
import os
from pathlib import Path

from thistleusher.cli.commands import Init, OperatorFileOptions, Reference, Show
from thistleusher.cli.errors import CommandError
from thistleusher.operator_file.errors import OperatorFileError
from thistleusher.operator_file.reader import OperatorFile, read_operator_file


def read_layers(options: OperatorFileOptions) -> OperatorFile:
    """Return the operator's file with all its layers. Raises CommandError."""
    try:
        return read_operator_file(options.operator, os.environ, options.assignments)
    except OperatorFileError as error:
        raise CommandError(str(error)) from error


def show(options: Show) -> int:
    """Print each effective value and its origin."""
    for key, value, origin in read_layers(options).effective_values():
        if options.as_json:
            print(json.dumps({"key": key, "value": value, "from": origin}))
        else:
            print(f"{key} = {value}  # {origin}")
    return 0


def write_commented_template(options: Init) -> int:
    """Write a commented template; an existing file is not overwritten."""
    from thistleusher.operator_file.reference import commented_template

    try:
        with Path(options.path).open("x", encoding="utf-8") as file:
            file.write(commented_template())
    except OSError as error:
        raise CommandError(f"{options.path}: {error.strerror}") from error
    return 0


def print_reference(_: Reference) -> int:
    """Print docs/configuration.md."""
    from thistleusher.operator_file.reference import reference

    print(reference(), end="")
    return 0
