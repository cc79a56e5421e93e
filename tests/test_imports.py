"""Imports have no cycles among modules or packages; `core` and `policy` import no package of a higher layer."""

import ast
from collections.abc import Mapping
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TREES = ("thistleusher", "simnet", "soak", "standins")
ALLOWED = {"thistleusher.core": set(), "thistleusher.policy": {"thistleusher.core"}}


def module_name(path: Path) -> str:
    """Return the dotted name of the module in a file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for tree in TREES for path in (ROOT / tree).rglob("*.py")}


def imported(source: str) -> set[str]:
    """Return the project's modules that a source imports at load time; imports inside functions are not included."""
    found = set()
    for node in ast.parse(source).body:
        if isinstance(node, ast.ImportFrom) and node.module:
            members = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= {member if member in MODULES else node.module for member in members}
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found & MODULES.keys()


def package_of(module: str) -> str:
    """Return the package that a module belongs to, two levels deep."""
    return ".".join(module.split(".")[:2])


def by_package(modules: Mapping[str, set[str]]) -> dict[str, set[str]]:
    """Return, for each package, the other packages that it imports."""
    packages: dict[str, set[str]] = {}
    for module, targets in modules.items():
        own = package_of(module)
        packages.setdefault(own, set()).update(package_of(target) for target in targets if package_of(target) != own)
    return packages


IMPORTS = {name: imported(path.read_text()) - {name} for name, path in MODULES.items()}


def test_no_circle_of_modules():
    TopologicalSorter(IMPORTS).prepare()


def test_no_circle_of_packages():
    TopologicalSorter(by_package(IMPORTS)).prepare()


@pytest.mark.parametrize("package", ALLOWED)
def test_the_lowest_packages_import_nothing_above_them(package):
    assert by_package(IMPORTS)[package] <= ALLOWED[package]


def test_a_circle_is_seen():
    with pytest.raises(CycleError):
        TopologicalSorter(by_package({"a.x.one": {"a.y.two"}, "a.y.three": {"a.x.four"}})).prepare()
