"""The process of one stand-alone ingress on real sockets: start-up, signals and shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import uvloop

from thistleusher.log.setup import use_plain_handler
from thistleusher.net.config import Config, InvalidConfigurationError, read_config
from thistleusher.net.daemon import Daemon

if TYPE_CHECKING:
    from thistleusher.quota import Placement
    from thistleusher.state.options import StateOptions
    from thistleusher.state.snapshotter import Snapshotter

SHUTDOWN_DELAY_S = 0.5  # delay of the shutdown after SIGTERM, because new connections arrive for up to another 0.4 s
EXIT_INTERRUPTED = 1
EXIT_UNUSABLE = 2

log = logging.getLogger("thistleusher")


class OperatorOptions(NamedTuple):
    """Options that an operator adds to the platform's configuration.

    environ: environment variables, which name the configuration file
    read_counters: reads the placement on several counters, at the start and at each reload
    state: options of the state folder
    """

    environ: Mapping[str, str]
    read_counters: Callable[[], Placement | None] | None = None
    state: StateOptions | None = None

    def placement(self) -> Placement | None:
        """Return the present placement on several counters, if any. Raises InvalidConfigurationError."""
        return self.read_counters() if self.read_counters else None


def make_snapshotter(config: Config, options: StateOptions) -> Snapshotter:
    """Open the state folder. Raises InvalidConfigurationError if it cannot be used."""
    from thistleusher.assembly import allowance_terms
    from thistleusher.core.replication_limits import retention_s
    from thistleusher.state.snapshotter import Snapshotter
    from thistleusher.state.store import StateFolderError

    try:
        return Snapshotter(
            options, config.name, config.settings, retention_s(config.settings), allowance_terms(config.settings)
        )
    except StateFolderError as error:
        raise InvalidConfigurationError(str(error)) from error


async def serve(config: Config, operator_options: OperatorOptions) -> None:
    """Serve until SIGTERM or SIGINT, then shut down in order. SIGHUP reloads the configuration."""
    loop = asyncio.get_running_loop()
    placement = operator_options.placement()
    snapshotter = make_snapshotter(config, operator_options.state) if operator_options.state else None
    daemon = Daemon(config, placement=placement, snapshotter=snapshotter)
    stop = asyncio.Event()

    def reload() -> None:
        try:
            new_config = read_config(operator_options.environ)
            new_placement = operator_options.placement()
        except InvalidConfigurationError as error:
            log.error("reload failed, configuration unchanged: %s", error)  # noqa: TRY400  (a file error: no traceback)
            return
        daemon.reload(new_config, new_placement)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await stop.wait()
    await daemon.stop(asyncio.sleep(SHUTDOWN_DELAY_S))


def run(operator_options: OperatorOptions, *, log_is_set_up: bool = False) -> int:
    """Serve and return the exit code. An error that prevents the start is printed as one line on standard error."""
    if not log_is_set_up:
        use_plain_handler()
    try:
        uvloop.run(serve(read_config(operator_options.environ), operator_options))
    except (InvalidConfigurationError, OSError) as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0
