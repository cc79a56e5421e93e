"""The commands and their options. Each names the function that carries it out, imported when it is invoked.

File names are text here: cappa would enter a `Path` as a context, which Python deprecates.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

import cappa


@dataclass
class ProgramOptions:
    """Options that the three programs share."""

    settings: Annotated[str | None, cappa.Arg(long=True, help="settings file; else the environment's")] = None
    verbose: Annotated[bool, cappa.Arg(long=True, help="also log what only a search for causes wants")] = False


@cappa.command(
    name="proxy", help="the proxy: clients' requests to backends", invoke="thistleusher.cli.programs.run_proxy"
)
@dataclass
class Proxy(ProgramOptions):
    """Run the proxy."""


@cappa.command(name="control", help="the store of configuration", invoke="thistleusher.cli.programs.run_control")
@dataclass
class Control(ProgramOptions):
    """Run the store of configuration."""


@cappa.command(
    name="registry",
    help="the registry: ingresses, backends, the counter service",
    invoke="thistleusher.cli.programs.run_registry",
)
@dataclass
class Registry(ProgramOptions):
    """Run the registry."""


@cappa.command(
    name="events",
    help="print the catalogue of log events, as docs/events.md holds it",
    invoke="thistleusher.cli.programs.print_events",
)
@dataclass
class Events:
    """Print the catalogue."""


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


@cappa.command(name="serve", help="one ingress alone, on real sockets", invoke="thistleusher.cli.serve.serve")
@dataclass
class Serve(OperatorFileOptions):
    """Serve in the foreground until SIGTERM; SIGHUP reads both files anew."""

    config: Annotated[
        str | None,
        cappa.Arg(long=True, value_name="FILE", help="The platform's configuration (default: PROXY_CONFIG)."),
    ] = None


@cappa.command(
    name="check",
    help="check a file; says where it is wrong and starts nothing",
    invoke="thistleusher.cli.checks.check",
)
@dataclass
class Check(OperatorFileOptions):
    """Check the operator's file and the platform's configuration, or the one file that is named with its kind."""

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
            long=True, value_name="FILE", help="The platform's configuration, too (default: PROXY_CONFIG, if set)."
        ),
    ] = None


@cappa.command(
    name="show",
    help="each effective value of the operator's file, and its origin",
    invoke="thistleusher.cli.operator_files.show",
)
@dataclass
class Show(OperatorFileOptions):
    """Print each effective value and where it comes from."""

    as_json: Annotated[bool, cappa.Arg(long="--json", help="One JSON object a line.")] = False


@cappa.command(
    name="init", help="write a commented operator's file", invoke="thistleusher.cli.operator_files.write_starting_file"
)
@dataclass
class Init:
    """Write a commented starting file; one that is there is left alone."""

    path: Annotated[str, cappa.Arg(help="The file to write.")]


@cappa.command(
    name="reference", help="print docs/configuration.md", invoke="thistleusher.cli.operator_files.print_reference"
)
@dataclass
class Reference:
    """Print the page of the operator's file."""


@dataclass
class StateFolder:
    """The argument of each command on a state folder."""

    folder: Annotated[str, cappa.Arg(help="The state folder, which no process may be using.")]


@cappa.command(name="show", invoke="thistleusher.cli.state_folder.show")
@dataclass
class StateShow(StateFolder):
    """Print what is in the folder, in a few lines."""


@cappa.command(name="verify", invoke="thistleusher.cli.state_folder.verify")
@dataclass
class StateVerify(StateFolder):
    """Read every record; exit code 1 where one is spoilt or the file is damaged."""


@cappa.command(name="export", invoke="thistleusher.cli.state_folder.export")
@dataclass
class StateExport(StateFolder):
    """Print every record as a JSON line."""


@cappa.command(name="state", help="look at a state folder; nothing in it is changed")
@dataclass
class State:
    """Look at a state folder."""

    command: cappa.Subcommands[StateShow | StateVerify | StateExport]


@cappa.command(name="bound", invoke="thistleusher.cli.bound.print_bound")
@dataclass
class Bound:
    """Print how far quotas and ceilings can be passed while the counter fails."""

    config: Annotated[str, cappa.Arg(help="the ingress's configuration, as PROXY_CONFIG names it")]
    outage: Annotated[float, cappa.Arg(long=True, help="seconds that the failure lasts")] = 60.0
    loss: Annotated[float, cappa.Arg(long=True, help="share of datagrams lost")] = 0.05
    delay: Annotated[float, cappa.Arg(long=True, help="seconds by which they are late")] = 0.05
    skew: Annotated[float, cappa.Arg(long=True, help="seconds that clocks are apart")] = 0.0
    folders: Annotated[bool, cappa.Arg(long=True, help="every ingress has a state folder")] = False


@cappa.command(name="thistleusher", help="thistleusher: a global load balancer")
@dataclass
class Thistleusher:
    """One of the programs, or a tool."""

    command: cappa.Subcommands[
        Proxy | Control | Registry | Serve | Check | Show | Init | Reference | State | Bound | Events
    ]
