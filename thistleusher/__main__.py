"""One ingress on real sockets: start-up and signals."""

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

NOTICE_S = 0.5  # after SIGTERM new connections go on coming for up to 0.4 s


USAGE = """usage: python -m thistleusher              serve as PROXY_CONFIG says
       python -m thistleusher --counters FILE   the same, with several counters
       python -m thistleusher --state FILE      the same, with a state folder; both may be given
       python -m thistleusher bound -h    how far quotas can be passed while the counter fails
with the extra 'operator' also: serve --operator FILE, check, show, init, reference, state (--help for each)
"""


def command(argv: list[str]) -> int:
    """The commands beside serving; each is imported only when it is asked for."""
    if argv[0] == "bound":
        from thistleusher.cli import bound

        return bound.main(argv[1:])
    if argv[0] not in ("-h", "--help"):
        try:
            from thistleusher.cli.main import main as others
        except ImportError:
            print(USAGE, end="", file=sys.stderr)
            return 2
        return others(argv)
    print(USAGE, end="")
    return 0


class Extras(NamedTuple):
    """What an operator adds to the platform's configuration. `counters` reads them anew, at each reload."""

    environ: Mapping[str, str]
    counters: Callable[[], Placement | None] | None = None
    state: StateOptions | None = None


def make_snapshotter(config: Config, options: StateOptions) -> Snapshotter:
    """The state folder; BadConfiguration says what keeps it from being used."""
    from thistleusher.assembly import allowance_terms
    from thistleusher.core.replication_limits import retention_s
    from thistleusher.state.snapshotter import Snapshotter
    from thistleusher.state.store import BadState

    try:
        return Snapshotter(
            options, config.name, config.settings, retention_s(config.settings), allowance_terms(config.settings)
        )
    except BadState as error:
        raise InvalidConfigurationError(str(error)) from error


def state_options(path: str) -> StateOptions:
    """The file that `--state` names; BadConfiguration says what is wrong with it."""
    try:
        from thistleusher.state.options import read_options
    except ImportError as error:
        raise InvalidConfigurationError(f"--state needs the extra 'operator': {error}") from error
    try:
        return read_options(path)
    except ValueError as error:
        raise InvalidConfigurationError(str(error)) from error


async def serve(config: Config, extras: Extras) -> None:
    """Serve until told to stop, then leave in order."""
    loop = asyncio.get_running_loop()
    placement = extras.counters() if extras.counters else None
    snapshotter = make_snapshotter(config, extras.state) if extras.state else None
    daemon, stop = Daemon(config, placement=placement, snapshotter=snapshotter), asyncio.Event()

    def reload() -> None:
        try:
            new = read_config(extras.environ)
            again = extras.counters() if extras.counters else None
        except InvalidConfigurationError as error:
            log.error("the configuration stays as it was: %s", error)
            return
        daemon.reload(new, again)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await stop.wait()
    await daemon.stop(asyncio.sleep(NOTICE_S))


def run(extras: Extras, logs: bool = False) -> int:
    """Serve; what keeps it from starting is one plain line and exit code 2. `logs`: they are set up already."""
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
    """Serve as PROXY_CONFIG says, or one of the commands."""
    words, files = sys.argv[1:], dict[str, str]()
    while len(words) >= 2 and words[0] in ("--counters", "--state") and words[0] not in files:
        files[words[0]] = words[1]
        words = words[2:]
    if words:
        return command(words)
    counters = files.get("--counters")
    try:
        state = state_options(files["--state"]) if "--state" in files else None
    except InvalidConfigurationError as error:
        print(f"thistleusher: {error}", file=sys.stderr)
        return 2
    return run(Extras(os.environ, (lambda: read_counters(counters)) if counters else None, state))


if __name__ == "__main__":
    sys.exit(main())
