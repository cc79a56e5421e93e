"""The commands and their options. Each command names its function, which is imported when the command is invoked.

File names are strings here, because cappa would enter a `Path` as a context manager, which Python deprecates.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import cappa


@dataclass
class ProgramOptions:
    """Options that the three programs share."""

    settings: Annotated[str | None, cappa.Arg(long=True, help="settings file (default: from the environment)")] = None
    verbose: Annotated[bool, cappa.Arg(long=True, help="also log debug messages")] = False


@cappa.command(
    name="proxy", help="the proxy: clients' requests to backends", invoke="thistleusher.cli.programs.run_proxy"
)
@dataclass
class Proxy(ProgramOptions):
    """Run the proxy."""


@cappa.command(name="control", help="the configuration store", invoke="thistleusher.cli.programs.run_control")
@dataclass
class Control(ProgramOptions):
    """Run the configuration store."""


@cappa.command(
    name="registry",
    help="the registry: proxies, backends, the counter service",
    invoke="thistleusher.cli.programs.run_registry",
)
@dataclass
class Registry(ProgramOptions):
    """Run the registry."""


@cappa.command(
    name="events",
    help="print the catalogue of log events, as in docs/events.md",
    invoke="thistleusher.cli.programs.print_events",
)
@dataclass
class Events:
    """Print the catalogue of log events."""


@dataclass
class OperatorFileOptions:
    """Options of every command that reads the operator's file."""

    operator: Annotated[str | None, cappa.Arg(long=True, value_name="FILE", help="The operator's file.")] = None
    assignments: Annotated[
        list[str],
        cappa.Arg(
            long="--set",
            value_name="SECTION.KEY=VALUE",
            help="A value that wins over file and environment; may be given again.",
        ),
    ] = field(default_factory=list)


@cappa.command(name="serve", help="run one stand-alone ingress", invoke="thistleusher.cli.serve.serve")
@dataclass
class Serve(OperatorFileOptions):
    """Serve in the foreground until SIGTERM; SIGHUP reloads both files."""

    config: Annotated[
        str | None,
        cappa.Arg(long=True, value_name="FILE", help="The platform's configuration (default: PROXY_CONFIG)."),
    ] = None


@cappa.command(
    name="check",
    help="validate a file and print its errors, without starting anything",
    invoke="thistleusher.cli.checks.check",
)
@dataclass
class Check(OperatorFileOptions):
    """Check the operator's file and the platform's configuration, or a single file given with its kind."""

    kind: Annotated[
        str | None,
        cappa.Arg(
            help="A process's settings, or a configuration of the system; else the operator's file.",
            choices=["settings", "configuration"],
        ),
    ] = None
    file: Annotated[str | None, cappa.Arg(help="The file of that kind.")] = None
    config: Annotated[
        str | None,
        cappa.Arg(
            long=True, value_name="FILE", help="The platform's configuration to check (default: PROXY_CONFIG, if set)."
        ),
    ] = None


@cappa.command(
    name="show",
    help="print each effective value of the operator's file and its origin",
    invoke="thistleusher.cli.operator_files.show",
)
@dataclass
class Show(OperatorFileOptions):
    """Print each effective value and its origin."""

    as_json: Annotated[bool, cappa.Arg(long="--json", help="One JSON object per line.")] = False


@cappa.command(
    name="init",
    help="write a commented operator's file",
    invoke="thistleusher.cli.operator_files.write_commented_template",
)
@dataclass
class Init:
    """Write a commented template; an existing file is not overwritten."""

    path: Annotated[str, cappa.Arg(help="The file to write.")]


@cappa.command(
    name="reference", help="print docs/configuration.md", invoke="thistleusher.cli.operator_files.print_reference"
)
@dataclass
class Reference:
    """Print the reference page of the operator's file."""


@dataclass
class StateFolder:
    """The argument that all commands on a state folder share."""

    folder: Annotated[str, cappa.Arg(help="The state folder, which no process may be using.")]


@cappa.command(name="show", invoke="thistleusher.cli.state_folder.show")
@dataclass
class StateShow(StateFolder):
    """Print a short summary of the folder."""


@cappa.command(name="verify", invoke="thistleusher.cli.state_folder.verify")
@dataclass
class StateVerify(StateFolder):
    """Read every record; exit with code 1 if a record or the file is corrupt."""


@cappa.command(name="export", invoke="thistleusher.cli.state_folder.export")
@dataclass
class StateExport(StateFolder):
    """Print each record as one JSON line."""


@cappa.command(name="state", help="inspect a state folder without changing it")
@dataclass
class State:
    """Inspect a state folder."""

    command: cappa.Subcommands[StateShow | StateVerify | StateExport]


@cappa.command(name="bound", invoke="thistleusher.cli.bound.print_bound")
@dataclass
class Bound:
    """Print by how much quotas and ceilings can be exceeded while the counter fails."""

    config: Annotated[str, cappa.Arg(help="the ingress's configuration, as PROXY_CONFIG names it")]
    outage: Annotated[float, cappa.Arg(long=True, help="duration of the failure in seconds")] = 60.0
    loss: Annotated[float, cappa.Arg(long=True, help="fraction of datagrams that are lost")] = 0.05
    delay: Annotated[float, cappa.Arg(long=True, help="delay of datagrams in seconds")] = 0.05
    skew: Annotated[float, cappa.Arg(long=True, help="difference between clocks in seconds")] = 0.0
    folders: Annotated[bool, cappa.Arg(long=True, help="every ingress has a state folder")] = False


@cappa.command(name="thistleusher", help="thistleusher: a global load balancer")
@dataclass
class Thistleusher:
    """One of the programs or tools."""

    command: cappa.Subcommands[
        Proxy | Control | Registry | Serve | Check | Show | Init | Reference | State | Bound | Events
    ]
