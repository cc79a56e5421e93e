"""The command `python -m thistleusher`: one ingress on real sockets, start-up and signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import uvloop

from thistleusher.net.config import Config, InvalidConfigurationError, read_config
from thistleusher.net.counters_file import read_counters
from thistleusher.net.daemon import Daemon

if TYPE_CHECKING:
    from thistleusher.quota import Placement
    from thistleusher.state.options import StateOptions
    from thistleusher.state.snapshotter import Snapshotter

log = logging.getLogger("thistleusher")

NOTICE_S = 0.5  # after SIGTERM; new connections come for up to 0.4 s
FILE_OPTIONS = ("--counters", "--state")

USAGE = """usage: python -m thistleusher              serve as PROXY_CONFIG says
       python -m thistleusher --counters FILE   the same, with several counters
       python -m thistleusher --state FILE      the same, with a state folder; both may be given
       python -m thistleusher bound -h    how far quotas can be passed while the counter fails
with the extra 'operator' also: serve --operator FILE, check, show, init, reference, state (--help for each)
"""


def run_command(arguments: list[str]) -> int:
    """Run one of the commands beside serving, and return its exit code; each is imported only when it is asked for."""
    if arguments[0] == "bound":
        from thistleusher.cli import bound

        return bound.main(arguments[1:])
    if arguments[0] in ("-h", "--help"):
        print(USAGE, end="")
        return 0
    try:
        from thistleusher.cli.main import main as operator_main
    except ImportError:
        print(USAGE, end="", file=sys.stderr)
        return 2
    return operator_main(arguments)


class Extras(NamedTuple):
    """What an operator adds to the platform's configuration. `counters` reads its file anew, at each reload."""

    environ: Mapping[str, str]
    counters: Callable[[], Placement | None] | None = None
    state: StateOptions | None = None


def make_snapshotter(config: Config, options: StateOptions) -> Snapshotter:
    """Return the snapshotter of a state folder. Raises InvalidConfigurationError if the folder cannot be used."""
    from thistleusher.assembly import allowance_terms
    from thistleusher.policy.sharing import kept_for
    from thistleusher.state.snapshotter import Snapshotter
    from thistleusher.state.store import BadState

    settings = config.settings
    try:
        return Snapshotter(options, config.name, settings, kept_for(settings), allowance_terms(settings))
    except BadState as error:
        raise InvalidConfigurationError(str(error)) from error


def read_state_options(path: str) -> StateOptions:
    """Return the options of the file that `--state` names. Raises InvalidConfigurationError."""
    try:
        from thistleusher.state.options import read_options
    except ImportError as error:
        raise InvalidConfigurationError(f"--state needs the extra 'operator': {error}") from error
    try:
        return read_options(path)
    except ValueError as error:
        raise InvalidConfigurationError(str(error)) from error


async def serve(config: Config, extras: Extras) -> None:
    """Serve until SIGTERM or SIGINT, then shut down in order; SIGHUP reads the configuration anew."""
    loop = asyncio.get_running_loop()
    placement = extras.counters() if extras.counters else None
    snapshotter = make_snapshotter(config, extras.state) if extras.state else None
    daemon = Daemon(config, placement=placement, snapshotter=snapshotter)
    stop = asyncio.Event()

    def reload() -> None:
        try:
            new_config = read_config(extras.environ)
            new_placement = extras.counters() if extras.counters else None
        except InvalidConfigurationError as error:
            log.error("the configuration stays as it was: %s", error)  # noqa: TRY400 (one line; no trace is needed)
            return
        daemon.reload(new_config, new_placement)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await stop.wait()
    await daemon.stop(asyncio.sleep(NOTICE_S))


def run(extras: Extras, logs: bool = False) -> int:
    """Serve, and return the exit code: 2, after one plain line, if it cannot start. `logs`: they are set up already."""
    if not logs:
        logging.basicConfig(
            level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(levelname)s %(message)s"
        )
    try:
        uvloop.run(serve(read_config(extras.environ), extras))
    except (InvalidConfigurationError, OSError) as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 1
    return 0


def main() -> int:
    """Serve as PROXY_CONFIG says, or run one of the commands; return the exit code."""
    arguments = sys.argv[1:]
    files: dict[str, str] = {}
    while len(arguments) >= 2 and arguments[0] in FILE_OPTIONS and arguments[0] not in files:
        files[arguments[0]] = arguments[1]
        arguments = arguments[2:]
    if arguments:
        return run_command(arguments)
    counters_path = files.get("--counters")
    try:
        state = read_state_options(files["--state"]) if "--state" in files else None
    except InvalidConfigurationError as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return 2
    counters = (lambda: read_counters(counters_path)) if counters_path else None
    return run(Extras(os.environ, counters, state))


if __name__ == "__main__":
    sys.exit(main())
