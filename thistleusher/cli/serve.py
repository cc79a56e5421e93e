"""`thistleusher serve`: one ingress on real sockets, with an operator's file."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import click

from thistleusher.cli.options import layers, read
from thistleusher.operator_file.reader import OperatorFile

if TYPE_CHECKING:
    from thistleusher.quota import Placement
    from thistleusher.services.options import CounterGroupOptions


@click.command()
@layers
@click.option("--config", metavar="FILE", help="The platform's configuration (default: PROXY_CONFIG).")
def serve(path: str | None, words: tuple[str, ...], config: str | None) -> int:
    """Serve in the foreground until SIGTERM; SIGHUP reads both files anew."""
    from thistleusher.__main__ import Extras, run

    environ = {**os.environ, **({"PROXY_CONFIG": config} if config else {})}
    first = read(path, words)

    def counters() -> Placement | None:
        options: CounterGroupOptions | None = read_again(path, words).get("counters")
        return options.placement() if options is not None else None

    extras = Extras(environ=environ, counters=counters if first.get("counters") else None, state=first.get("state"))
    log_options = first.get("log")
    if log_options is None:
        return run(extras)
    from thistleusher.log.setup import Logs

    logs = Logs(log_options)
    try:
        return run(extras, logs=True)
    finally:
        logs.close()


def read_again(path: str | None, words: tuple[str, ...]) -> OperatorFile:
    """The same layers as at the start; BadConfiguration where they cannot be used any more."""
    from thistleusher.net.config import InvalidConfigurationError

    try:
        return read(path, words)
    except click.ClickException as error:
        raise InvalidConfigurationError(error.format_message()) from error
