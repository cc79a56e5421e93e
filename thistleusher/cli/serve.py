"""`thistleusher serve`: one stand-alone ingress with an operator's file."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from thistleusher.cli.commands import Serve
from thistleusher.cli.errors import CommandError
from thistleusher.cli.operator_files import read_layers

if TYPE_CHECKING:
    from thistleusher.quota import Placement
    from thistleusher.services.options import CounterGroupOptions


def serve(options: Serve) -> int:
    """Serve in the foreground until SIGTERM; return the exit code. SIGHUP reloads both files."""
    from thistleusher.standalone import OperatorOptions, run

    environ = {**os.environ, **({"PROXY_CONFIG": options.config} if options.config else {})}
    operator_file = read_layers(options)

    def read_counters() -> Placement | None:
        return read_placement(options)

    operator_options = OperatorOptions(
        environ=environ,
        read_counters=read_counters if operator_file.get("counters") else None,
        state=operator_file.get("state"),
    )
    log_options = operator_file.get("log")
    if log_options is None:
        return run(operator_options)
    from thistleusher.log.queued import QueuedLog

    queued_log = QueuedLog(log_options)
    try:
        return run(operator_options, log_is_set_up=True)
    finally:
        queued_log.close()


def read_placement(options: Serve) -> Placement | None:
    """Read the layers again and return the placement. Raises InvalidConfigurationError if they are invalid."""
    from thistleusher.net.config import InvalidConfigurationError

    try:
        counters: CounterGroupOptions | None = read_layers(options).get("counters")
    except CommandError as error:
        raise InvalidConfigurationError(str(error)) from error
    return counters.placement() if counters is not None else None
