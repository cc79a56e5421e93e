"""The system's command line: the three programs with options, and the checker that works offline.

Exit codes: 0 done, 1 something found wrong, 2 cannot be used as asked.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from thistleusher.common.events import page
from thistleusher.common.launcher import start
from thistleusher.common.settings_reader import read_node_settings
from thistleusher.configuration.records import summary
from thistleusher.configuration.validation import read_configuration


@dataclass
class Daemon:
    """Options that the three programs share."""

    settings: Annotated[Path | None, cappa.Arg(long=True, help="settings file; else the environment's")] = None
    verbose: Annotated[bool, cappa.Arg(long=True, help="also log what only a search for causes wants")] = False


@cappa.command(name="proxy", help="the proxy: clients' requests to backends")
@dataclass
class ProxyProgram(Daemon):
    """Run the proxy."""

    def __call__(self) -> int:
        return start("proxy", self.settings, self.verbose)


@cappa.command(name="control", help="the store of configuration")
@dataclass
class ControlProgram(Daemon):
    """Run the store of configuration."""

    def __call__(self) -> int:
        return start("control", self.settings, self.verbose)


@cappa.command(name="registry", help="the registry: ingresses, backends, the counter service")
@dataclass
class RegistryProgram(Daemon):
    """Run the registry."""

    def __call__(self) -> int:
        return start("registry", self.settings, self.verbose)


@cappa.command(name="check", help="check a settings file or a configuration; says where it is wrong")
@dataclass
class Check:
    """Check a file offline; nothing is sent anywhere."""

    kind: Annotated[str, cappa.Arg(help="what the file is", choices=["settings", "configuration"])]
    file: Annotated[Path, cappa.Arg(help="the file")]

    def __call__(self) -> int:
        try:
            if self.kind == "settings":
                boot = read_node_settings(self.file.read_text())
                print(f"{self.file}: sound: {boot.node_name}, {boot.machine_class or 'no class'}, zone {boot.zone}")
            else:
                figures = summary(read_configuration(self.file.read_bytes()))
                print(f"{self.file}: sound: " + ", ".join(f"{name} {value}" for name, value in figures.items()))
        except OSError as error:
            print(f"{self.file}: {error.strerror}", file=sys.stderr)
            return 2
        except ExceptionGroup as group:
            for fault in group.exceptions:
                print(f"{self.file}: {fault}", file=sys.stderr)
            return 1
        return 0


@cappa.command(name="events", help="print the catalogue of log events, as docs/events.md holds it")
@dataclass
class Events:
    """Print the catalogue."""

    def __call__(self) -> int:
        print(page(), end="")
        return 0


@cappa.command(name="thistleusher-system", help="thistleusher: a global load balancer")
@dataclass
class System:
    """One of the programs, or a tool."""

    command: cappa.Subcommands[ProxyProgram | ControlProgram | RegistryProgram | Check | Events]


def invoke(argv: list[str] | None = None) -> int:
    """Carry out one command line; the exit code."""
    return int(cappa.invoke(System, argv=argv))
