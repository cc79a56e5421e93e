"""One ingress on real sockets: start-up and signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from roadspur.net.config import BadConfiguration, Config, read_config
from roadspur.net.counters_file import read_counters
from roadspur.net.daemon import Daemon

if TYPE_CHECKING:
    from roadspur.state.keeper import Keeper

log = logging.getLogger("roadspur")

NOTICE_S = 0.5  # after SIGTERM new connections go on coming for up to 0.4 s


USAGE = """usage: python -m roadspur              serve as PROXY_CONFIG says
       python -m roadspur --counters FILE   the same, with several counters
       python -m roadspur --state FILE      the same, with a state folder; both may be given
       python -m roadspur bound -h    how far quotas can be passed while the counter fails
"""


def command(argv: list[str]) -> int:
    """The commands beside serving; each is imported only when it is asked for."""
    if argv[0] == "bound":
        from roadspur.cli import bound

        return bound.main(argv[1:])
    wanted = argv[0] in ("-h", "--help")
    print(USAGE, end="", file=sys.stdout if wanted else sys.stderr)
    return 0 if wanted else 2


def keeper_of(config: Config, path: str) -> Keeper:
    """The state folder that an operator's file names; BadConfiguration says what keeps it from being used."""
    try:
        from roadspur.state.keeper import Keeper
        from roadspur.state.options import read_options
        from roadspur.state.store import BadState
    except ImportError as error:
        raise BadConfiguration(f"--state needs the extra 'state': {error}") from error
    from roadspur.assembly import room_terms
    from roadspur.policy.sharing import kept_for

    try:
        return Keeper(read_options(path), config.name, config.settings, kept_for(config.settings),
                      room_terms(config.settings))
    except (ValueError, BadState) as error:
        raise BadConfiguration(str(error)) from error


async def serve(config: Config, counters: str | None = None, state: str | None = None) -> None:
    """Serve until told to stop, then leave in order. `counters`, `state`: the operator's files."""
    loop = asyncio.get_running_loop()
    placement = read_counters(counters) if counters else None
    keeper = keeper_of(config, state) if state else None
    daemon, stop = Daemon(config, placement=placement, keeper=keeper), asyncio.Event()

    def reload() -> None:
        try:
            new = read_config(os.environ)
            again = read_counters(counters) if counters else None
        except BadConfiguration as error:
            log.error("the configuration stays as it was: %s", error)
            return
        daemon.reload(new, again)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await stop.wait()
    await daemon.stop(asyncio.sleep(NOTICE_S))


def main() -> int:
    """Run, or one of the commands; what keeps it from starting is one plain line and a non-zero exit."""
    words, files = sys.argv[1:], dict[str, str]()
    while len(words) >= 2 and words[0] in ("--counters", "--state") and words[0] not in files:
        files[words[0]] = words[1]
        words = words[2:]
    if words:
        return command(words)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr,
                        format="%(asctime)s %(name)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(read_config(os.environ), files.get("--counters"), files.get("--state")))
    except (BadConfiguration, OSError) as error:
        print(f"roadspur: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
