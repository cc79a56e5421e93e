"""Public interfaces are unchanged: settings, documents, deploy files, log events and names exported by libraries.

The inputs are the examples of the users' pages. The parsed results are compared with field names if these names appear
on the wire or in a file, and by position otherwise.
"""

from __future__ import annotations

import importlib.util
import inspect
import io
import re
import tomllib
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

import thistleusher.client
import thistleusher.embed
from tests.compatibility.fixtures import FOLDER, as_json, load, named, positional
from thistleusher import wirehost
from thistleusher.common.events import Event
from thistleusher.common.settings_reader import read_node_settings
from thistleusher.configuration import items as config_items
from thistleusher.configuration.validation import read_configuration
from thistleusher.core.settings_parser import read_settings
from thistleusher.net.config import read_config
from thistleusher.operator_file.reader import read_operator_file
from thistleusher.state.options import read_options
from thistleusher.transport.state_updates import State

ROOT = Path(__file__).resolve().parents[2]
FORMS = FOLDER / "forms"
PORTS = ("prepare", "probe", "close_idle")  # methods called by the decision module, not by users


def text(name: str) -> str:
    return (FORMS / name).read_text()


def node_settings() -> Any:
    """Return the parsed settings file of one of the system's processes."""
    return named(read_node_settings(text("boot.conf")))


def configuration() -> Any:
    """Return a parsed operator's document with routes, services, limits and tenants."""
    return named(read_configuration(text("configuration.json").encode()))


def configuration_items() -> Any:
    """Return the same document as items of the control state, and as reassembled from them."""
    changed = config_items.changed_items(State(), 7, text("configuration.json").encode())
    state = State()
    state.merge(1, {name: (1, value) for name, value in changed.items()})
    document = config_items.assemble(state)
    assert document is not None
    return [changed, document.decode()]


def ingress_settings() -> Any:
    """Return an ingress's settings as parsed from the simulator's first message."""
    return positional(read_settings(text("born.txt").strip().split(" ")[3:]))


def ingress_configuration() -> Any:
    """Return an ingress's parsed configuration file."""
    return positional(read_config({"PROXY_CONFIG": str(FORMS / "config.json")}))


def operator_file() -> Any:
    """Return every key of the operator's file with its value."""
    return [list(each)[:2] for each in read_operator_file(str(FORMS / "operator.toml")).effective_values()]


def state_file() -> Any:
    """Return the parsed options file of the state folder in its older format."""
    return positional(read_options(str(FORMS / "state.toml")))


def wire() -> Any:
    """Return the replies to a script with every event that the simulator's protocol page lists, without log lines."""
    sink = io.StringIO()
    wirehost.serve(io.StringIO(text("wire.txt")), sink)
    return [line for line in sink.getvalue().splitlines() if not line.startswith("EMIT ")]


def log_events() -> Any:
    """Return the number, level and format fields of each log event."""
    return {str(e.value.number): [e.value.level, re.findall(r"%\w", e.value.text)] for e in Event}


def library(module: Any) -> Any:
    """Return the names that a library exports, with their parameters, members and methods."""
    return {name: public(getattr(module, name)) for name in sorted(module.__all__)}


def public(value: Any) -> Any:
    """Return the public interface of a value: members of an enum, parameters of a callable, methods of a class.

    The methods in `PORTS` are excluded.
    """
    if isinstance(value, type) and issubclass(value, Enum):
        return [member.name for member in value]
    if not isinstance(value, type):
        return list(inspect.signature(value).parameters) if callable(value) else type(value).__name__
    methods = {"": value, **{n: m for n, m in inspect.getmembers(value, inspect.isroutine) if not n.startswith("_")}}
    if issubclass(value, Exception | tuple):
        methods.pop("")
    own = {n: m for n, m in methods.items() if not n or n in vars(value) or any(n in vars(b) for b in bases(value))}
    return {n: list(inspect.signature(m).parameters) for n, m in own.items() if n not in PORTS}


def bases(kind: type) -> list[type]:
    """Return the class and its base classes that this project defines."""
    package = kind.__module__.partition(".")[0]
    return [base for base in kind.__mro__ if base.__module__.partition(".")[0] == package]


PRODUCED = {
    "node_settings": node_settings,
    "configuration": configuration,
    "configuration_items": configuration_items,
    "ingress_settings": ingress_settings,
    "ingress_configuration": ingress_configuration,
    "operator_file": operator_file,
    "state_file": state_file,
    "wire": wire,
    "log_events": log_events,
    "embed": lambda: library(thistleusher.embed),
    "client": lambda: library(thistleusher.client),
}


@pytest.mark.parametrize("form", PRODUCED)
def test_a_form_is_as_before(form):
    assert as_json(PRODUCED[form]()) == load("public_forms.json")[form]


def test_the_deploy_files_have_the_keys_of_their_pages():
    page = tomllib.loads(text("system.toml"))
    ours = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    keys = {key for role in page["roles"].values() for key in role}
    assert set(ours) == set(page) | {"packages"} and all(set(role) == keys for role in ours["roles"].values())
    shape = {name: (role["on"], role["share"], role["serves"]) for name, role in ours["roles"].items()}
    assert shape == {
        "proxy": ("front", 1.0, ["front", "directory"]),
        "control": ("core", 1.0, ["control"]),
        "registry": ("core", 1.0, []),
    }
    one = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert set(one) == {"build", "run", "sim", "policy", "node", "packages"}
    assert ours["packages"] and one["packages"]


def test_what_the_deploy_files_name_is_there():
    one = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert [path for path in [*one["policy"], *one["node"]] if not (ROOT / path).exists()] == []
    for command in (one["run"], one["sim"], *(role["run"] for role in system["roles"].values())):
        module = command.split(" -m ")[1].split()[0]
        assert importlib.util.find_spec(module) is not None
