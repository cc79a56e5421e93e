"""The command line, `thistleusher`: each command is imported only when it is asked for.

Exit codes: 0 done; 1 ended by a signal or found something wrong in what it looked at; 2 cannot be started as asked, one
line on standard error.
"""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "serve": ("thistleusher.cli.serve", "serve"),
    "check": ("thistleusher.cli.options", "check"),
    "show": ("thistleusher.cli.options", "show"),
    "init": ("thistleusher.cli.options", "init"),
    "reference": ("thistleusher.cli.options", "reference"),
    "state": ("thistleusher.cli.state", "state"),
    "bound": ("thistleusher.cli.main", "bound"),
}


class Lazy(click.Group):
    """A group whose commands are named here and imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        where = COMMANDS.get(cmd_name)
        return getattr(importlib.import_module(where[0]), where[1]) if where else None


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="thistleusher", prog_name="thistleusher")
def thistleusher() -> None:
    """An ingress that holds customers to quotas which all ingresses share."""


@click.command(context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def bound(words: tuple[str, ...]) -> int:
    """How far quotas and ceilings can be passed while the counter fails."""
    from thistleusher.cli import bound as command

    return command.main(words)


def main(argv: list[str] | None = None) -> int:
    """Run a command; what is wrong is one line."""
    try:
        return int(thistleusher.main(argv, prog_name="thistleusher", standalone_mode=False) or 0)
    except click.exceptions.Abort:
        return 1
    except click.ClickException as error:
        print(f"thistleusher: {' '.join(error.format_message().split())}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
