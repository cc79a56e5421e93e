"""The system's command line: the three programs, and the checker that works offline.

Exit codes: 0 done, 1 something found wrong, 2 cannot be used as asked.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before the imports: they take a while, and it would end the process

import asyncio  # noqa: E402
import sys  # noqa: E402
from collections.abc import Awaitable, Callable  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Annotated  # noqa: E402

import cappa  # noqa: E402
from absl import logging  # noqa: E402

from roadspur.catalogue.process import Settings  # noqa: E402


@dataclass
class Daemon:
    """Settings that the three programs share."""

    settings: Annotated[Path | None, cappa.Arg(long=True, help="settings file; else the environment's")] = None
    verbose: Annotated[bool, cappa.Arg(long=True, help="also log what only a search for causes wants")] = False


@cappa.command(name="desk", help="the proxy: clients' requests to backends")
@dataclass
class DeskCommand(Daemon):
    """Run the proxy."""

    def __call__(self) -> int:
        from roadspur.desk.program import main
        return run(self, main)


@cappa.command(name="stacks", help="the store of configuration")
@dataclass
class StacksCommand(Daemon):
    """Run the store of configuration."""

    def __call__(self) -> int:
        from roadspur.stacks.program import main
        return run(self, main)


@cappa.command(name="accession", help="the registry: ingresses, backends, the counter service")
@dataclass
class AccessionCommand(Daemon):
    """Run the registry."""

    def __call__(self) -> int:
        from roadspur.accession.program import main
        return run(self, main)


@cappa.command(name="check", help="check a settings file or a configuration; says where it is wrong")
@dataclass
class CheckCommand:
    """Check files offline; nothing is sent anywhere."""

    kind: Annotated[str, cappa.Arg(help="settings or configuration", choices=["settings", "configuration"])]
    file: Annotated[Path, cappa.Arg(help="the file")]

    def __call__(self) -> int:
        from roadspur.catalogue.boot import read_boot
        from roadspur.catalogue.configuration import brief, read_configuration
        try:
            if self.kind == "settings":
                boot = read_boot(self.file.read_text())
                print(f"{self.file}: sound: {boot.node_name}, {boot.machine_class or 'no class'}, zone {boot.zone}")
            else:
                figures = brief(read_configuration(self.file.read_bytes()))
                print(f"{self.file}: sound: " + ", ".join(f"{name} {value}" for name, value in figures.items()))
        except OSError as error:
            print(f"{self.file}: {error.strerror}", file=sys.stderr)
            return 2
        except ExceptionGroup as group:
            for fault in group.exceptions:
                print(f"{self.file}: {fault}", file=sys.stderr)
            return 1
        return 0


@cappa.command(name="roadspur-system", help="thistleusher: a global load balancer")
@dataclass
class System:
    """One of the programs, or the checker."""

    command: cappa.Subcommands[DeskCommand | StacksCommand | AccessionCommand | CheckCommand]


def run(options: Daemon, main: Callable[[Settings], Awaitable[None]]) -> int:
    """Run a program until it ends in order."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if options.verbose else logging.INFO)
    try:
        settings = Settings(options.settings)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(f"settings: {fault}", file=sys.stderr)
        return 2
    try:
        import uvloop
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_awaited(main(settings)))
    except OSError as error:
        print(f"cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


async def _awaited(work: Awaitable[None]) -> None:
    await work


def main() -> None:
    """The entry of `python -m roadspur.system`."""
    sys.exit(cappa.invoke(System))


if __name__ == "__main__":
    main()
